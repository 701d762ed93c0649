"""Grants and releases of keys at upstreams, over HTTP.

A call without an answer resets its connection: what a partition holds up
is then dropped, and the call cannot arrive after it was given up.
"""

from datetime import timedelta
import json
from typing import Any

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import key_grants
from goldcresthaven import members
from goldcresthaven import upstream_pool
from goldcresthaven.platform import names

MAX_RESPONSE_BYTES = 64 << 10
MAX_CONNECTIONS = 3
# Shorter than any call's limit, so that a call knows that nothing was sent.
CONNECT_LIMIT = timedelta(milliseconds=400)


class PlatformLeases:
    """Implements ``key_grants.LeaseCalls``."""

    def __init__(self) -> None:
        self._conns = upstream_pool.UpstreamPool()

    async def close(self) -> None:
        await self._conns.close()

    async def grant(
        self,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        hold: timedelta,
        limit: timedelta,
    ) -> key_grants.GrantResult:
        body: dict[str, Any] = {
            'from': grant.first,
            'to': grant.last,
            'fence': grant.fence,
            'hold-s': hold.total_seconds(),
        }
        if grant.handover is not None:
            body['handover'] = grant.handover
        try:
            response = await self._call(address, names.GRANT_PATH, body, limit)
        except errors.ConnectionFailed:
            return key_grants.GrantResult.UNREACHABLE
        except errors.Error:
            return key_grants.GrantResult.NO_ANSWER
        match response.status:
            case 200:
                return key_grants.GrantResult.GRANTED
            case 409:
                return key_grants.GrantResult.FENCED_OFF
        return key_grants.GrantResult.NO_ANSWER

    async def release(
        self,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        limit: timedelta,
    ) -> key_grants.Released | None:
        body = {'from': grant.first, 'to': grant.last, 'fence': grant.fence}
        try:
            response = await self._call(
                address, names.RELEASE_PATH, body, limit
            )
        except errors.Error:
            return None
        if response.status != 200:
            return None
        return key_grants.Released(
            handover=http_head.find(response.headers, names.HANDOVER)
        )

    async def _call(
        self,
        address: members.Address,
        path: str,
        body: dict[str, Any],
        limit: timedelta,
    ) -> http_head.ResponseHead:
        head = http_head.RequestHead(
            method='POST',
            target=path,
            headers=(
                ('host', str(address)),
                ('content-type', 'application/json'),
            ),
        )
        async with aio.timeout(limit):
            conn = await self._take(address)
            try:
                response, _ = await http_io.fetch(
                    conn,
                    head,
                    json.dumps(body).encode(),
                    limit=MAX_RESPONSE_BYTES,
                )
            except BaseException:
                await self._conns.discard(address, conn)
                raise
            await self._conns.give_back(address, conn)
            return response

    async def _take(self, address: members.Address) -> http_io.UpstreamConn:
        try:
            async with aio.timeout(CONNECT_LIMIT):
                return await self._conns.take(address, limit=MAX_CONNECTIONS)
        except errors.DeadlineExceeded as exc:
            raise errors.ConnectionFailed(
                f'cannot connect to {address} in time',
                remedy='check that the upstream is up and reachable',
            ) from exc

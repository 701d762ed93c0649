"""Client for granting and releasing keys at upstreams, over HTTP.

When a call gets no response, its connection is reset. Bytes that a partition
delays are then dropped, so that the call cannot arrive after its timeout.

Only the first response on a connection is certainly the response to its
call; each later one may be a second copy of an earlier response. Connections
for grants are always reset and not closed in order, for the same reason: a
grant that seems to be answered may still be held back. This is set when they
are opened, so that they are also reset if the process is killed.
"""

from collections.abc import Callable
from datetime import timedelta
import json
from typing import Any

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import members
from goldcresthaven import upstream_pool
from goldcresthaven.platform import headers as platform_headers
from goldcresthaven.platform import names

MAX_RESPONSE_BYTES = 64 << 10
MAX_IDLE_CONNECTIONS = 3
# The ranges of an upstream that leaves are released in parallel.
MAX_CONNECTIONS = 16
# Shorter than the timeout of any call, so that a failure to connect is told
# apart from a timeout after the request was sent.
CONNECT_TIMEOUT = timedelta(milliseconds=400)


class _Withdrawn(errors.Error):
    """A call was not sent, because its sender may no longer send it."""


class PlatformLeases:
    """Implements ``key_grants.LeaseCalls``."""

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        # The oldest connection to an upstream carries most renewals.
        self._grants = upstream_pool.UpstreamPool()
        self._releases = upstream_pool.UpstreamPool()
        # Connections that carried a grant, until their end is noted.
        self._carriers: dict[
            members.Address,
            dict[http_io.UpstreamConn, key_grants.KeptConnection],
        ] = {}

    async def close(self) -> None:
        await self._grants.close()
        await self._releases.close()

    async def grant(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        renewal: key_grants.Connections | None,
        hold: timedelta,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> key_grants.GrantReply:
        body: dict[str, Any] = {
            'from': grant.first,
            'to': grant.last,
            'fence': grant.fence,
            'hold-s': hold.total_seconds(),
        }
        if grant.handover is not None:
            body['handover'] = grant.handover
        # The grant can be renewed over the connection that it used and over
        # those opened before that one or before this point. A later one may
        # lead to the upstream's next incarnation.
        opened_before_call = key_grants.Connections(self._grants.opened)
        conn: http_io.UpstreamConn | None = None
        with_input = await self._grants.remove_ended(address)
        if with_input:
            decision_log.note(
                'second-response',
                upstream=upstream,
                count=len(with_input),
                detail=', '.join(
                    f'connection {c.number} after {c.exchanges} calls'
                    for c in with_input
                ),
            )
        if renewal is None:
            # A second response to an earlier call must not be taken for the
            # acceptance of a new fence.
            await self._grants.make_room(address, limit=MAX_IDLE_CONNECTIONS)
        else:
            conn = self._grants.take_opened_before(address, opened=renewal)
            self._note_ends(address)
            if conn is None:
                return _reply(key_grants.GrantResult.DISCONNECTED)
        try:
            response, used = await self._call(
                self._grants,
                upstream,
                address,
                names.GRANT_PATH,
                body,
                timeout,
                conn=conn,
                may_send=may_send,
            )
        except _Withdrawn:
            return _reply(key_grants.GrantResult.WITHDRAWN)
        except errors.ConnectionFailed:
            return _reply(key_grants.GrantResult.UNREACHABLE)
        except errors.Error as exc:
            _note_failure(upstream, grant, conn, str(exc))
            return _reply(key_grants.GrantResult.NO_RESPONSE)
        finally:
            self._note_ends(address)
        if response.status != 200:
            _note_failure(upstream, grant, conn, f'status {response.status}')
            return key_grants.GrantReply(
                result=_rejection(response.status, kept=conn is not None),
                leaving=platform_headers.announces_leaving(response),
            )
        carrier = self._carrier(address, used)
        return key_grants.GrantReply(
            result=key_grants.GrantResult.GRANTED,
            connections=max(
                opened_before_call, key_grants.Connections(used.number)
            ),
            kept=None if conn is None else carrier,
            leaving=platform_headers.announces_leaving(response),
        )

    async def reset(self, address: members.Address, number: int) -> None:
        for conn in self._carriers.get(address, {}):
            if conn.number == number:
                conn.retired = True
        await self._grants.retire(address, number)
        self._note_ends(address)

    async def round_trip(self, address: members.Address) -> bool:
        try:
            conn = await self._open(self._releases, address)
        except errors.ConnectionFailed:
            return False
        await self._releases.discard(address, conn)
        return True

    def _carrier(
        self, address: members.Address, conn: http_io.UpstreamConn
    ) -> key_grants.KeptConnection:
        """Return the record of a connection that carried a grant."""
        carriers = self._carriers.setdefault(address, {})
        carrier = carriers.setdefault(
            conn,
            key_grants.KeptConnection(number=conn.number, address=address),
        )
        self._note_ends(address)
        return carrier

    def _note_ends(self, address: members.Address) -> None:
        """Record the end of connections that were reset before now."""
        carriers = self._carriers.get(address, {})
        for conn in [c for c in carriers if c.closed]:
            carrier = carriers.pop(conn)
            carrier.closed = conn.closed_in_order
            carrier.reset_at = self._clock.elapsed()

    async def release(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> key_grants.ReleaseReply:
        body = {'from': grant.first, 'to': grant.last, 'fence': grant.fence}
        try:
            response, _ = await self._call(
                self._releases,
                upstream,
                address,
                names.RELEASE_PATH,
                body,
                timeout,
                may_send=may_send,
                reuse=False,
            )
        except errors.Error:
            return key_grants.ReleaseReply(released=None)
        released: key_grants.Released | None = None
        if response.status == 200:
            released = key_grants.Released(
                handover=http_head.find(response.headers, names.HANDOVER)
            )
        return key_grants.ReleaseReply(
            released=released,
            leaving=platform_headers.announces_leaving(response),
        )

    async def _call(
        self,
        conns: upstream_pool.UpstreamPool,
        upstream: ids.UpstreamId,
        address: members.Address,
        path: str,
        body: dict[str, Any],
        timeout: timedelta,
        *,
        conn: http_io.UpstreamConn | None = None,
        may_send: Callable[[], bool],
        reuse: bool = True,
    ) -> tuple[http_head.ResponseHead, http_io.UpstreamConn]:
        """Return the response and the connection used.

        Without ``conn``, a new connection is opened, on which no late second
        response to another call can arrive.
        """
        head = http_head.RequestHead(
            method='POST',
            target=path,
            headers=(
                ('host', str(address)),
                ('content-type', 'application/json'),
                (names.EXPECT_INSTANCE, upstream),
            ),
        )
        started = self._clock.elapsed()
        async with aio.timeout(timeout):
            if conn is None:
                conn = await self._open(conns, address)
            # Timers do not run while the VM is suspended, but the hold time
            # of a grant counts from the start of the call.
            if self._is_late(started, timeout):
                await conns.discard(address, conn)
                raise errors.ConnectionFailed(
                    f'the call to {address} was delayed beyond its timeout',
                    remedy='none; the call is repeated',
                )
            if not may_send():
                await conns.discard(address, conn)
                raise _Withdrawn(
                    'the permission to send the call has ended',
                    remedy='none; the caller decides whether to repeat it',
                )
            try:
                response, _ = await http_io.fetch(
                    conn,
                    head,
                    json.dumps(body).encode(),
                    limit=MAX_RESPONSE_BYTES,
                )
            except BaseException:
                await conns.discard(address, conn)
                raise
            if reuse and _may_keep(conn, response.status):
                await conns.give_back(address, conn)
            else:
                await conns.discard(address, conn)
            return response, conn

    def _is_late(self, started: timedelta, timeout: timedelta) -> bool:
        return self._clock.elapsed() - started > timeout

    async def _open(
        self, conns: upstream_pool.UpstreamPool, address: members.Address
    ) -> http_io.UpstreamConn:
        try:
            async with aio.timeout(CONNECT_TIMEOUT):
                conn = await conns.take_new(address, limit=MAX_CONNECTIONS)
        except errors.DeadlineExceeded as exc:
            raise errors.ConnectionFailed(
                f'connecting to {address} timed out',
                remedy='check that the upstream is up and reachable',
            ) from exc
        conn.reset_on_close()
        return conn


def _may_keep(conn: http_io.UpstreamConn, status: int) -> bool:
    """Return whether a connection may carry another call.

    A copy of a rejection would be taken for the rejection of a later grant.
    """
    return status == 200 and not conn.retired and conn.is_reusable()


def _rejection(status: int, *, kept: bool) -> key_grants.GrantResult:
    """Return what a rejection proves.

    On a connection that was kept, it may be a copy of an earlier rejection,
    although the upstream has accepted the grant.
    """
    if kept:
        return key_grants.GrantResult.NO_RESPONSE
    match status:
        case 409:
            return key_grants.GrantResult.FENCED_OFF
        case 421:
            return key_grants.GrantResult.ADDRESS_REUSED
    return key_grants.GrantResult.NO_RESPONSE


def _note_failure(
    upstream: ids.UpstreamId,
    grant: key_grants.Grant,
    conn: http_io.UpstreamConn | None,
    problem: str,
) -> None:
    """Log a grant without an acceptance; ``conn`` is one that was kept."""
    place = 'a new connection'
    if conn is not None:
        place = f'call {conn.exchanges} on connection {conn.number}'
    decision_log.note(
        'grant-not-accepted',
        upstream=upstream,
        epoch=grant.fence,
        detail=f'{grant.first}-{grant.last}, {place}: {problem}',
    )


def _reply(result: key_grants.GrantResult) -> key_grants.GrantReply:
    return key_grants.GrantReply(result=result)

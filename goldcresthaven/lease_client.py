"""Sends lease requests to upstreams."""

from datetime import timedelta
import json

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import leases
from goldcresthaven import members
from goldcresthaven import upstream_pool

PATH = '/control/lease'
# Half of the lease. A later response would come too late for a grant that
# still arrives in time.
TIMEOUT = timedelta(seconds=1)
# A request without a response is repeated after 250 ms, so up to four can be
# open to an upstream that does not respond.
MAX_CONNECTIONS = 4
MAX_REPLY_BYTES = 1 << 20
_OK = 200


class LeaseClient:
    """Sends lease requests over connections of their own.

    Forwarded requests that wait for an upstream must not delay the lease
    that allows it to serve them.
    """

    def __init__(self) -> None:
        self._conns = upstream_pool.UpstreamPool()

    async def send(
        self, address: members.Address, req: leases.LeaseRequest
    ) -> leases.LeaseReply:
        """Send a request once and return the response.

        Raises ConnectionFailed, ConnectionLost, ProtocolError and
        DeadlineExceeded.
        """
        head = http_head.RequestHead(
            method='POST',
            target=PATH,
            headers=(
                ('host', str(address)),
                ('content-type', 'application/json'),
            ),
        )
        body = json.dumps(req.to_body()).encode()
        conn = await self._conns.take(address, limit=MAX_CONNECTIONS)
        try:
            async with aio.timeout(TIMEOUT):
                response, data = await http_io.fetch(
                    conn, head, body, limit=MAX_REPLY_BYTES
                )
        finally:
            await self._conns.give_back(address, conn)
        return _decode(response.status, data)

    async def close(self) -> None:
        await self._conns.close()


def _decode(status: int, data: bytes) -> leases.LeaseReply:
    try:
        body = json.loads(data)
    except (RecursionError, ValueError):
        body = None
    if status != _OK or not isinstance(body, dict):
        raise errors.ProtocolError(
            f'the response to a lease request has status {status} and no '
            'lease reply',
            remedy='make the upstream follow the contract',
        )
    return leases.LeaseReply.from_body(body)

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
# Half of a lease: a later response could no longer be used for a grant
# that arrives in time.
TIMEOUT = timedelta(seconds=1)
# A request is repeated after 250 ms without a response, so that up to four
# can be open to an upstream that does not answer.
MAX_CONNECTIONS = 4
MAX_REPLY_BYTES = 1 << 20
_OK = 200


class LeaseClient:
    """Connections for lease requests, apart from those for requests.

    Requests that wait for an upstream must not delay the lease that lets
    it serve them.
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
    except ValueError:
        body = None
    if status != _OK or not isinstance(body, dict):
        raise errors.ProtocolError(
            f'a lease request was answered by {status} without a reply',
            remedy='make the upstream follow the contract',
        )
    return leases.LeaseReply.from_body(body)

"""Serves the operator endpoints of a process over HTTP.

Every wait, the size of a body and the number of connections are bounded.
Connections beyond the limit still get responses to health and readiness
checks. Otherwise the load balancer would take the VM for down while
operators or scripts hold many connections.
"""

from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import operator_api
from goldcresthaven import operator_views as views

MAX_CONNECTIONS = 64
IDLE_TIMEOUT = timedelta(seconds=15)
BODY_TIMEOUT = timedelta(seconds=5)
# Longer than a change, which takes at most two attempts of 4 s at the store
# and one read of 1 s, and shorter than the 15 s timeout of the command line.
CALL_TIMEOUT = timedelta(seconds=12)
SEND_TIMEOUT = timedelta(seconds=5)
# How often an idle connection checks whether the process is stopping.
IDLE_CHECK_INTERVAL = timedelta(milliseconds=500)

_HEALTH_CHECK_PATHS = ('/health', '/ready')


class OperatorServer:
    """Serves the connections of one listener.

    Example::

        server = OperatorServer(api=api, clock=clock)
        listener = aio.Listener(host=host, port=port, handler=server.serve)
    """

    def __init__(
        self, *, api: operator_api.OperatorApi, clock: clock_module.Clock
    ) -> None:
        self._api = api
        self._clock = clock
        self._connections = 0
        self._stopping = False

    def close_when_idle(self) -> None:
        """Close every connection once it has no call in progress.

        An idle connection is closed within IDLE_CHECK_INTERVAL.
        """
        self._stopping = True

    async def serve(self, sock: aio.Socket) -> None:
        """Serve the calls of one connection until it is closed."""
        conn = http_io.CallerConn(sock)
        self._connections += 1
        over_limit = self._connections > MAX_CONNECTIONS
        try:
            while await self._wait_for_call(conn):
                await self._serve_call(conn, over_limit)
                if over_limit or not conn.can_continue():
                    return
                conn.next_exchange()
        finally:
            self._connections -= 1
            await conn.close()

    async def _wait_for_call(self, conn: http_io.CallerConn) -> bool:
        idle_deadline = self._clock.elapsed() + IDLE_TIMEOUT
        while not self._stopping and self._clock.elapsed() < idle_deadline:
            try:
                async with aio.timeout(IDLE_CHECK_INTERVAL):
                    return await conn.wait_for_input()
            except errors.DeadlineExceeded:
                continue
        return False

    async def _serve_call(
        self, conn: http_io.CallerConn, over_limit: bool
    ) -> None:
        try:
            async with aio.timeout(http_io.HEAD_TIMEOUT):
                head = await conn.read_head()
            if head is None:
                await conn.close()
                return
            async with aio.timeout(BODY_TIMEOUT):
                body = await _read_body(conn, head)
        except errors.RequestRejected as exc:
            await _send_refusal(conn, exc.status, exc)
            return
        except (errors.ConnectionLost, errors.DeadlineExceeded):
            await conn.close()
            return
        if over_limit and head.target not in _HEALTH_CHECK_PATHS:
            await _send_refusal(conn, 503, _too_many_connections())
            return
        await self._answer(conn, head, body)

    async def _answer(
        self,
        conn: http_io.CallerConn,
        head: http_head.RequestHead,
        body: bytes,
    ) -> None:
        path, _, query = head.target.partition('?')
        authorization = http_head.find(head.headers, 'authorization')
        try:
            async with aio.timeout(CALL_TIMEOUT):
                response = await self._api.handle(
                    method=head.method,
                    path=path,
                    query=query,
                    body=body,
                    authorization=authorization or '',
                )
        except errors.DeadlineExceeded:
            # A refusal would tell the operator that nothing was done, but
            # the change may have been stored.
            await conn.close()
            return
        await _send(conn, response, close=self._stopping)


async def _read_body(
    conn: http_io.CallerConn, head: http_head.RequestHead
) -> bytes:
    length = http_head.find(head.headers, 'content-length') or '0'
    if int(length) > operator_api.MAX_BODY_BYTES:
        raise _body_too_long()
    body = bytearray()
    while chunk := await conn.read_piece():
        body += chunk
        if len(body) > operator_api.MAX_BODY_BYTES:
            raise _body_too_long()
    return bytes(body)


def _body_too_long() -> errors.RequestRejected:
    return errors.RequestRejected(
        f'the body is longer than {operator_api.MAX_BODY_BYTES >> 10} KiB',
        remedy='split the change',
        status=413,
    )


def _too_many_connections() -> errors.Error:
    return errors.CallRefused(
        f'this process has {MAX_CONNECTIONS} operator connections open',
        remedy='close some, or ask another process',
        status=503,
    )


async def _send_refusal(
    conn: http_io.CallerConn, status: int, exc: errors.Error
) -> None:
    refusal = views.Refusal(problem=exc.problem, remedy=exc.remedy)
    response = operator_api.Response(status=status, body=views.encode(refusal))
    await _send(conn, response, close=True)
    await conn.close_after_response()


async def _send(
    conn: http_io.CallerConn, response: operator_api.Response, *, close: bool
) -> None:
    headers: http_head.Headers = (('content-type', operator_api.CONTENT_TYPE),)
    if close:
        headers = (*headers, ('connection', 'close'))
    head = http_head.ResponseHead(status=response.status, headers=headers)
    try:
        async with aio.timeout(SEND_TIMEOUT):
            await conn.send_all(head, response.body)
    except (
        errors.ConnectionLost,
        errors.DeadlineExceeded,
        errors.ProtocolError,
    ):
        await conn.close()

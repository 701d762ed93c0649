"""One attempt: a request to one upstream and its response to the caller.

Bodies are forwarded in pieces of at most 64 KiB, so the memory that an
exchange uses does not depend on the size of its bodies.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import request_history
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import upstream_pool

MAX_BODY_BYTES = 256 << 20
# How often a waiting exchange checks whether its caller is still connected.
CALLER_CHECK_INTERVAL = timedelta(milliseconds=100)

_ONE_MS = timedelta(milliseconds=1)

# This process sets these headers, so the other side's are not forwarded.
_OWN_REQUEST_HEADERS = frozenset(
    {'x-request-id', 'x-deadline-ms', 'x-shard', 'x-outcome', 'x-reason'}
)
_OWN_RESPONSE_HEADERS = frozenset(
    {'x-request-id', 'x-outcome', 'x-reason', 'x-draining', 'x-owner-epoch'}
)


class CallerFailed(Exception):
    """The caller disconnected or broke the protocol during an attempt."""

    def __init__(self, failure: retries.Failure) -> None:
        super().__init__(failure.value)
        self.failure = failure


@dataclass(kw_only=True)
class Call:
    """A caller's request while this process handles it.

    ``trace`` records what ``explain request`` shows. ``body_start`` is the
    part of the body that was read before admission; it is kept for retries.
    ``body_ended`` is set at the end of the body. ``body_consumed`` is set
    when a part after ``body_start`` is read, which rules out a retry.
    ``relayed`` is set when part of a response has been sent to the caller.
    ``close_after`` makes the response ask the caller to close the
    connection; so does ``is_draining``, which can change during the call.
    ``refused_on`` has the numbers of the connections on which the request
    was refused. A second copy of such a refusal has the same id as the
    response to the next attempt, which is made on another connection.
    """

    conn: http_io.CallerConn
    head: http_head.RequestHead
    request_id: ids.RequestId
    trace: request_history.Trace
    body_start: bytes = b''
    body_ended: bool = True
    body_consumed: bool = False
    relayed: bool = False
    close_after: bool = False
    is_draining: Callable[[], bool] = lambda: False
    body_bytes: int = 0
    refused_on: set[int] = field(default_factory=set)

    def ends_connection(self) -> bool:
        return self.close_after or self.is_draining()

    async def read_body_start(self) -> None:
        """Read up to 64 KiB of the body.

        Raises DeadlineExceeded for a slow sender, RequestRejected and
        ConnectionLost.
        """
        if not self.head.has_body:
            await self.conn.read_piece()
            return
        self.body_ended = False
        async with aio.timeout(http_io.BODY_PIECE_TIMEOUT):
            while len(self.body_start) < http_io.PIECE_BYTES:
                piece = await self._read()
                if not piece:
                    self.body_ended = True
                    return
                self.body_start += piece

    async def next_piece(self) -> bytes:
        """Return the next piece after ``body_start``, empty at the end.

        Raises CallerFailed.
        """
        if self.body_ended:
            return b''
        self.body_consumed = True
        try:
            async with aio.timeout(http_io.BODY_PIECE_TIMEOUT):
                piece = await self._read()
        except errors.RequestRejected:
            raise CallerFailed(retries.Failure.BAD_BODY) from None
        except (errors.ConnectionLost, errors.DeadlineExceeded):
            raise CallerFailed(retries.Failure.CALLER_GONE) from None
        self.body_ended = not piece
        return piece

    async def _read(self) -> bytes:
        piece = await self.conn.read_piece()
        self.body_bytes += len(piece)
        if self.body_bytes > MAX_BODY_BYTES:
            raise errors.RequestRejected(
                f'the body is longer than {MAX_BODY_BYTES} bytes',
                remedy='send it in parts',
                status=413,
            )
        return piece


@dataclass(kw_only=True)
class _Progress:
    """How far an attempt has come."""

    head: http_head.ResponseHead | None = None
    failure: retries.Failure | None = None
    bytes_written: int = 0


class Forwarder:
    """Makes attempts over pooled connections."""

    def __init__(
        self, *, conns: upstream_pool.UpstreamPool, clock: clock_module.Clock
    ) -> None:
        self._conns = conns
        self._clock = clock

    async def attempt(
        self,
        call: Call,
        routed: routing.Routed,
        admitted: dispatch.Admitted,
    ) -> retries.Attempt:
        """Make one attempt and return its result.

        The response is relayed to the caller unless it is a refusal. If the
        exchange is interrupted, its connection is closed.
        """
        started = self._clock.elapsed()
        progress = _Progress()
        try:
            async with aio.timeout(routed.deadline - started):
                await self._run(call, routed, admitted, progress)
        except errors.DeadlineExceeded:
            progress.failure = retries.Failure.DEADLINE
        except errors.ConnectionFailed:
            progress.failure = retries.Failure.CONNECT
        except errors.ProtocolError:
            progress.failure = retries.Failure.MALFORMED
        except errors.ConnectionLost:
            early = progress.head is None
            lost, cut = retries.Failure.LOST, retries.Failure.TRUNCATED
            progress.failure = lost if early else cut
        except CallerFailed as exc:
            progress.failure = exc.failure
        duration = self._clock.elapsed() - started
        return _build_attempt(call, admitted, progress, duration)

    async def _run(
        self,
        call: Call,
        routed: routing.Routed,
        admitted: dispatch.Admitted,
        progress: _Progress,
    ) -> None:
        conn = await self._conns.take(
            admitted.address,
            limit=admitted.connection_limit,
            excluded=call.refused_on,
        )
        try:
            await self._exchange(call, routed, conn, progress)
        finally:
            progress.bytes_written = conn.bytes_written
            await self._conns.give_back(admitted.address, conn)

    async def _exchange(
        self,
        call: Call,
        routed: routing.Routed,
        conn: http_io.UpstreamConn,
        progress: _Progress,
    ) -> None:
        remaining = routed.deadline - self._clock.elapsed()
        if remaining < _ONE_MS:
            raise errors.DeadlineExceeded(
                'the deadline passed before the request was sent',
                remedy='raise the deadline',
            )
        # There must be no wait between this check and the first write.
        await conn.send_head(
            _request(call, routed, remaining), call.body_start
        )
        sent_whole = await self._send_body(call, conn)
        head = await self._read_head(call, routed, conn)
        outcome = http_head.find(head.headers, 'x-outcome')
        refused = retries.is_refusal(head.status, outcome)
        _check_match(head, call.request_id, id_needed=refused and conn.reused)
        progress.head = head
        if refused:
            call.refused_on.add(conn.number)
            await conn.discard_body()
            return
        call.close_after = call.close_after or not sent_whole
        await self._relay(call, conn, head)

    async def _send_body(self, call: Call, conn: http_io.UpstreamConn) -> bool:
        """Send the rest of the body; return whether all of it was sent.

        An upstream may respond before it has read the whole body. The
        response is then read at once, because it may be a refusal and the
        upstream may never read the rest.
        """
        while piece := await call.next_piece():
            if conn.has_input():
                return False
            try:
                await conn.send_piece(piece)
            except errors.ConnectionLost:
                return False
        try:
            await conn.finish()
        except errors.ConnectionLost:
            return False
        return True

    async def _read_head(
        self, call: Call, routed: routing.Routed, conn: http_io.UpstreamConn
    ) -> http_head.ResponseHead:
        """Wait for the head of the response.

        An idempotent request is abandoned when its caller disconnects,
        because its result is not needed any more.
        """
        if not routed.idempotent:
            return await conn.read_head()
        while True:
            try:
                async with aio.timeout(CALLER_CHECK_INTERVAL):
                    return await conn.read_head()
            except errors.DeadlineExceeded:
                if call.conn.peer_closed():
                    raise CallerFailed(retries.Failure.CALLER_GONE) from None

    async def _relay(
        self,
        call: Call,
        conn: http_io.UpstreamConn,
        head: http_head.ResponseHead,
    ) -> None:
        call.relayed = True
        try:
            await call.conn.send_head(_response(call, head))
        except errors.ConnectionLost:
            raise CallerFailed(retries.Failure.CALLER_GONE) from None
        while piece := await conn.read_piece():
            try:
                await call.conn.send_piece(piece)
            except errors.ConnectionLost:
                raise CallerFailed(retries.Failure.CALLER_GONE) from None
        try:
            await call.conn.finish()
        except errors.ConnectionLost:
            raise CallerFailed(retries.Failure.CALLER_GONE) from None


def own_headers(
    request_id: ids.RequestId, outcome: str, reason: outcomes.Reason
) -> http_head.Headers:
    """Return the headers that are added to every response."""
    return (
        ('x-outcome', outcome),
        ('x-reason', reason.value),
        ('x-request-id', request_id),
    )


def _request(
    call: Call, routed: routing.Routed, remaining: timedelta
) -> http_head.RequestHead:
    kept = tuple(
        (n, v)
        for n, v in http_head.end_to_end(call.head.headers)
        if n not in _OWN_REQUEST_HEADERS
    )
    added = [
        ('x-request-id', str(call.request_id)),
        ('x-deadline-ms', str(remaining // _ONE_MS)),
    ]
    if routed.shard is not None:
        added.append(('x-shard', str(routed.shard.shard_id)))
    if http_head.find(call.head.headers, 'transfer-encoding') is not None:
        added.append(('transfer-encoding', 'chunked'))
    return http_head.RequestHead(
        method=call.head.method,
        target=call.head.target,
        headers=(*kept, *added),
    )


def _response(
    call: Call, head: http_head.ResponseHead
) -> http_head.ResponseHead:
    kept = tuple(
        (n, v)
        for n, v in http_head.end_to_end(head.headers)
        if n not in _OWN_RESPONSE_HEADERS
    )
    own = own_headers(call.request_id, 'done', outcomes.Reason.OK)
    added = list(own)
    if http_head.find(head.headers, 'transfer-encoding') is not None:
        added.append(('transfer-encoding', 'chunked'))
    if call.ends_connection():
        added.append(('connection', 'close'))
    return http_head.ResponseHead(status=head.status, headers=(*kept, *added))


def _check_match(
    head: http_head.ResponseHead,
    request_id: ids.RequestId,
    *,
    id_needed: bool,
) -> None:
    """Check that the response belongs to this request.

    ``id_needed`` is set for a refusal on a connection that was used before:
    without an id, it may be a copy of the refusal of an earlier request.
    """
    echoed = http_head.find(head.headers, 'x-request-id')
    if echoed != request_id and (id_needed or echoed is not None):
        raise errors.ProtocolError(
            'the response belongs to another request',
            remedy='check why the upstream answers late or twice',
        )


def _build_attempt(
    call: Call,
    admitted: dispatch.Admitted,
    progress: _Progress,
    duration: timedelta,
) -> retries.Attempt:
    headers = progress.head.headers if progress.head else ()
    epoch = http_head.find(headers, 'x-owner-epoch') or ''
    return retries.Attempt(
        upstream=admitted.upstream,
        bytes_written=progress.bytes_written,
        status=progress.head.status if progress.head else None,
        x_outcome=http_head.find(headers, 'x-outcome'),
        x_reason=http_head.find(headers, 'x-reason'),
        owner_epoch=ids.Epoch(int(epoch)) if epoch.isdecimal() else None,
        draining=http_head.find(headers, 'x-draining') is not None,
        failure=progress.failure,
        relayed=call.relayed,
        duration=duration,
    )

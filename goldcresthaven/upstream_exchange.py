"""One attempt of the gateway: a request to one upstream and its response.

A response reaches the caller only if it answers this request and, when it
reports success, bears the upstream's signature. The body is relayed in
pieces; one that breaks off ends the caller's connection before its end.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import registry
from goldcresthaven import request_meta
from goldcresthaven import retries
from goldcresthaven import upstream_pool

# How often a waiting exchange looks whether its caller is still there;
# work for a caller that left has to end within half a second.
CALLER_CHECK = timedelta(milliseconds=150)
BODY_TIMEOUT = timedelta(seconds=10)
# Late responses of earlier requests that are skipped on one connection.
MAX_FOREIGN = 3
MAX_FOREIGN_BYTES = 1 << 20
# Some round trips between zones, and two repeats of a lost packet. Work that
# can be repeated goes to another upstream then; other work may have arrived.
UNACKNOWLEDGED = timedelta(milliseconds=700)
# A caller that takes nothing for this long is taken for gone.
CALLER_STALL = timedelta(seconds=5)
# An upstream whose response stalls this long does not finish it.
UPSTREAM_STALL = timedelta(seconds=2)
# An upstream answers by itself when the time that it was given is over.
ANSWER_SLACK = timedelta(milliseconds=80)
_SUCCESS = range(200, 300)
_REFUSAL_STATUS = (408, 421, 429, 503)


class CallerGone(Exception):
    """The caller closed its connection or broke the protocol."""


@dataclass(kw_only=True)
class Call:
    """A caller's request while this process works on it.

    ``first`` is the part of the body that can be sent again; ``body_lost``
    is set once a later part was read.
    """

    conn: http_io.CallerConn
    head: http_head.RequestHead
    meta: request_meta.CallerMeta
    idempotent: bool
    is_draining: Callable[[], bool]
    max_body: int
    first: bytes = b''
    body_ended: bool = True
    body_lost: bool = False
    body_bytes: int = 0
    relayed: bool = False

    async def read_first(self) -> None:
        """Read the body's first 64 KiB; raises what ``read_piece`` does."""
        if not self.head.has_body:
            await self.conn.read_piece()
            return
        self.body_ended = False
        async with aio.timeout(BODY_TIMEOUT):
            while len(self.first) < http_io.PIECE_BYTES:
                piece = await self._read()
                if not piece:
                    self.body_ended = True
                    return
                self.first += piece

    async def next_piece(self) -> bytes:
        """Return the next piece after ``first``, no bytes at the end."""
        if self.body_ended:
            return b''
        self.body_lost = True
        try:
            async with aio.timeout(BODY_TIMEOUT):
                piece = await self._read()
        except errors.Error as exc:
            raise CallerGone(str(exc)) from exc
        self.body_ended = not piece
        return piece

    async def _read(self) -> bytes:
        piece = await self.conn.read_piece()
        self.body_bytes += len(piece)
        if self.body_bytes > self.max_body:
            raise errors.RequestRejected(
                f'the body is longer than {self.max_body} bytes',
                remedy='send it in parts',
                status=413,
            )
        return piece


@dataclass(kw_only=True)
class Seen:
    """What an attempt has shown so far."""

    status: int | None = None
    meta: request_meta.UpstreamMeta | None = None
    failure: retries.Failure | None = None
    bytes_written: int = 0
    first_byte: timedelta | None = None
    notes: list[str] = field(default_factory=list)

    def attempt(
        self, upstream: registry.Upstream, call: Call, elapsed: timedelta
    ) -> retries.Attempt:
        refused = self.meta is not None and self.meta.not_run
        status = self.status
        if refused and status != 421:
            status = 503
        return retries.Attempt(
            upstream=upstream.upstream_id,
            bytes_written=self.bytes_written,
            status=status,
            x_outcome='not-run' if refused else None,
            failure=self.failure,
            relayed=call.relayed,
            duration=elapsed,
        )


class Exchanger:
    """Makes attempts over a pool of connections."""

    def __init__(
        self,
        *,
        conns: upstream_pool.UpstreamPool,
        headers: request_meta.Headers,
        clock: clock_module.Clock,
    ) -> None:
        self._conns = conns
        self._headers = headers
        self._clock = clock

    async def attempt(
        self,
        call: Call,
        upstream: registry.Upstream,
        *,
        deadline: timedelta,
        connections: int,
    ) -> Seen:
        """Make one attempt; relays the response unless it is a refusal."""
        seen = Seen()
        try:
            await self._run(call, upstream, deadline, connections, seen)
        except errors.DeadlineExceeded:
            seen.failure = retries.Failure.DEADLINE
        except errors.ConnectionFailed as exc:
            seen.failure = retries.Failure.CONNECT
            seen.notes.append(exc.problem)
        except errors.ProtocolError as exc:
            seen.failure = retries.Failure.MALFORMED
            seen.notes.append(exc.problem)
        except errors.ConnectionLost as exc:
            early = seen.status is None
            lost, cut = retries.Failure.LOST, retries.Failure.TRUNCATED
            seen.failure = lost if early else cut
            seen.notes.append(exc.problem)
        except CallerGone:
            seen.failure = retries.Failure.CALLER_GONE
        return seen

    async def _run(
        self,
        call: Call,
        upstream: registry.Upstream,
        deadline: timedelta,
        connections: int,
        seen: Seen,
    ) -> None:
        async with aio.timeout(deadline - self._clock.elapsed()):
            conn = await self._conns.take(upstream.address, limit=connections)
        try:
            await self._exchange(call, upstream, deadline, conn, seen)
        except BaseException:
            seen.bytes_written = conn.bytes_written
            await self._conns.discard(upstream.address, conn)
            raise
        seen.bytes_written = conn.bytes_written
        await self._conns.give_back(upstream.address, conn)

    async def _exchange(
        self,
        call: Call,
        upstream: registry.Upstream,
        deadline: timedelta,
        conn: http_io.UpstreamConn,
        seen: Seen,
    ) -> None:
        if call.conn.peer_closed():
            raise CallerGone('the caller left before the request was sent')
        remaining = deadline - self._clock.elapsed()
        # A new connection may have taken all the time.
        if remaining <= timedelta():
            raise errors.DeadlineExceeded(
                'the deadline passed before the request was sent',
                remedy='raise the deadline',
            )
        conn.limit_unacknowledged(
            UNACKNOWLEDGED if call.idempotent else timedelta()
        )
        # Nothing may wait between this check and the first write.
        request = self._request(call, upstream, remaining)
        async with aio.timeout(remaining + ANSWER_SLACK):
            await conn.send_head(request, call.first)
            sent_whole = await self._send_body(call, conn)
            head = await self._own_response(call, conn, request)
            seen.meta = self._headers.upstream(head)
            seen.status = head.status
            seen.first_byte = self._clock.elapsed()
            if seen.meta.not_run:
                await _discard_body(conn)
                return
        _check_success(head, seen.meta, call)
        # A response that has begun is delivered, also after the deadline.
        await self._relay(call, conn, head, closing=not sent_whole)

    def _request(
        self, call: Call, upstream: registry.Upstream, remaining: timedelta
    ) -> http_head.RequestHead:
        headers = self._headers.to_upstream(
            http_head.end_to_end(call.head.headers),
            remaining=remaining,
            upstream=upstream.upstream_id,
        )
        if http_head.find(call.head.headers, 'transfer-encoding') is not None:
            headers = (*headers, ('transfer-encoding', 'chunked'))
        return http_head.RequestHead(
            method=call.head.method, target=call.head.target, headers=headers
        )

    async def _send_body(self, call: Call, conn: http_io.UpstreamConn) -> bool:
        """Send the rest of the body; False if the upstream stopped reading."""
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

    async def _own_response(
        self,
        call: Call,
        conn: http_io.UpstreamConn,
        request: http_head.RequestHead,
    ) -> http_head.ResponseHead:
        """Return the head of this request's response.

        A late second response to an earlier request on the connection is
        skipped; its id tells it apart.
        """
        for _ in range(MAX_FOREIGN + 1):
            head = await self._read_head(call, conn)
            echoed = self._headers.upstream(head).request_id
            if echoed is None or echoed == call.meta.request_id:
                return head
            await conn.skip_response(request, limit=MAX_FOREIGN_BYTES)
        raise errors.ProtocolError(
            'the responses belong to other requests',
            remedy='check why the upstream answers late or twice',
        )

    async def _read_head(
        self, call: Call, conn: http_io.UpstreamConn
    ) -> http_head.ResponseHead:
        while True:
            try:
                async with aio.timeout(CALLER_CHECK):
                    return await conn.read_head()
            except errors.DeadlineExceeded:
                if call.conn.peer_closed():
                    raise CallerGone('the caller left') from None

    async def _relay(
        self,
        call: Call,
        conn: http_io.UpstreamConn,
        head: http_head.ResponseHead,
        *,
        closing: bool,
    ) -> None:
        """Pass the response on.

        The head waits for the body's first piece, so that a response that
        breaks off at once can still be replaced.
        """
        piece = await _next_piece(conn)
        call.relayed = True
        response = _response(call, head, closing or not call.body_ended)
        await _to_caller(call.conn.send_head(response))
        while piece:
            await _to_caller(call.conn.send_piece(piece))
            piece = await _next_piece(conn)
        await _to_caller(call.conn.finish())


async def _next_piece(conn: http_io.UpstreamConn) -> bytes:
    try:
        async with aio.timeout(UPSTREAM_STALL):
            return await conn.read_piece()
    except errors.DeadlineExceeded as exc:
        raise errors.ConnectionLost(
            'the upstream stopped in the middle of its response',
            remedy='repeat the request if it is idempotent',
        ) from exc


async def _to_caller(step: Awaitable[None]) -> None:
    try:
        async with aio.timeout(CALLER_STALL):
            await step
    except (errors.ConnectionLost, errors.DeadlineExceeded) as exc:
        raise CallerGone('the caller stopped reading') from exc


def _check_success(
    head: http_head.ResponseHead, meta: request_meta.UpstreamMeta, call: Call
) -> None:
    if head.status in _SUCCESS and not meta.signed:
        raise errors.ProtocolError(
            'a response without a signature reports success',
            remedy='check the upstream',
        )
    if not call.idempotent and head.status in _REFUSAL_STATUS:
        # The status promises that nothing ran; this upstream does not.
        raise errors.ProtocolError(
            f'the status {head.status} comes without its proof',
            remedy='check the upstream',
        )


def _response(
    call: Call, head: http_head.ResponseHead, closing: bool
) -> http_head.ResponseHead:
    kept = http_head.end_to_end(head.headers)
    added: list[tuple[str, str]] = []
    if http_head.find(head.headers, 'content-length') is None:
        added.append(('transfer-encoding', 'chunked'))
    if closing or call.is_draining():
        added.append(('connection', 'close'))
    return http_head.ResponseHead(status=head.status, headers=(*kept, *added))


async def _discard_body(conn: http_io.UpstreamConn) -> None:
    """Read a refusal's body so that the connection can be used again."""
    size = 0
    try:
        while piece := await conn.read_piece():
            size += len(piece)
            if size > http_io.PIECE_BYTES:
                return
    except errors.ConnectionLost:
        return

"""One attempt: a request to one upstream, and its response.

A response is not relayed to the caller if it carries the id of another
request, or if it reports success without the upstream's signature. The body
is streamed in pieces. If it is truncated, the caller's connection is closed
before the end of the body, so that the caller notices.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import weakref

from goldcresthaven import aio
from goldcresthaven import caller_call
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import registry
from goldcresthaven import request_meta
from goldcresthaven import retries
from goldcresthaven import upstream_notices
from goldcresthaven import upstream_pool

# How often an attempt that waits for its response checks whether the caller
# is still connected. Work for a disconnected caller has to end within half a
# second.
CALLER_CHECK_INTERVAL = timedelta(milliseconds=150)
# Late responses to earlier requests that are skipped on one connection.
MAX_LATE_RESPONSES = 3
MAX_LATE_RESPONSE_BYTES = 1 << 20
# Allows for some round trips between zones and two retransmissions of a lost
# packet. After it, an idempotent request is sent to another upstream. Other
# requests have no such timeout, because they may have been received.
UNACKNOWLEDGED_TIMEOUT = timedelta(milliseconds=700)
# A response that stalls for this long is treated as truncated.
UPSTREAM_STALL_TIMEOUT = timedelta(seconds=2)
# Extra time after the deadline: the upstream knows the deadline too and
# responds by itself when it passes.
RESPONSE_SLACK = timedelta(milliseconds=80)
# Extra time after the route's timeout for a response that has begun. A request
# must have its final answer within half a second after the timeout, also on a
# busy VM.
DELIVERY_SLACK = timedelta(milliseconds=200)
_SUCCESS = range(200, 300)
_REFUSAL_STATUS = (408, 421, 429, 503)


class Withheld(Exception):
    """The upstream leaves or pauses, so that nothing may be sent to it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TimeLimits:
    """Until when an attempt may last.

    The upstream has to begin its response by ``deadline``. A response that
    has begun is relayed until ``delivery_end``, and is cut off then.
    """

    deadline: timedelta
    delivery_end: timedelta


@dataclass(kw_only=True)
class AttemptResult:
    """What is known about an attempt so far.

    ``first_byte`` is the time at which the head of the response was read.
    """

    status: int | None = None
    meta: request_meta.UpstreamMeta | None = None
    failure: retries.Failure | None = None
    bytes_written: int = 0
    first_byte: timedelta | None = None
    notes: list[str] = field(default_factory=list)

    def to_attempt(
        self,
        upstream: registry.Upstream,
        call: caller_call.Call,
        elapsed: timedelta,
    ) -> retries.Attempt:
        """Convert to the form that ``retries.classify`` takes.

        The platform's proof of a refusal is translated to status 503 with
        ``X-Outcome: not-run``; 421 is a proof by itself.
        """
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
    """Makes attempts over pooled connections."""

    def __init__(
        self,
        *,
        conns: upstream_pool.UpstreamPool,
        headers: request_meta.Headers,
        notices: upstream_notices.UpstreamNotices,
        clock: clock_module.Clock,
    ) -> None:
        self._conns = conns
        self._notices = notices
        self._headers = headers
        self._clock = clock
        # The address may have gone to another incarnation since then.
        self._opened_for: weakref.WeakKeyDictionary[
            http_io.UpstreamConn, registry.Upstream
        ] = weakref.WeakKeyDictionary()
        conns.on_unsolicited(self._record_unsolicited)

    async def attempt(
        self,
        call: caller_call.Call,
        upstream: registry.Upstream,
        *,
        limits: TimeLimits,
        connections: int,
    ) -> AttemptResult:
        """Make one attempt and relay the response unless it is a refusal."""
        result = AttemptResult()
        try:
            await self._run(call, upstream, limits, connections, result)
        except errors.DeadlineExceeded:
            result.failure = retries.Failure.DEADLINE
        except errors.ConnectionFailed as exc:
            result.failure = retries.Failure.CONNECT
            result.notes.append(exc.problem)
        except errors.ProtocolError as exc:
            result.failure = retries.Failure.MALFORMED
            result.notes.append(exc.problem)
        except errors.ConnectionLost as exc:
            before_head = result.status is None
            lost, truncated = retries.Failure.LOST, retries.Failure.TRUNCATED
            result.failure = lost if before_head else truncated
            result.notes.append(exc.problem)
        except caller_call.CallerGone:
            result.failure = retries.Failure.CALLER_GONE
        except Withheld as exc:
            result.failure = retries.Failure.WITHHELD
            result.notes.append(str(exc))
        return result

    async def _run(
        self,
        call: caller_call.Call,
        upstream: registry.Upstream,
        limits: TimeLimits,
        connections: int,
        result: AttemptResult,
    ) -> None:
        self._check_sending(upstream)
        async with aio.timeout(limits.deadline - self._clock.elapsed()):
            conn = await self._conns.take(
                upstream.address, limit=connections, excluded=call.refused_on
            )
        self._opened_for.setdefault(conn, upstream)
        try:
            await self._exchange(call, upstream, limits, conn, result)
        except BaseException:
            result.bytes_written = conn.bytes_written
            await self._conns.discard(upstream.address, conn)
            raise
        result.bytes_written = conn.bytes_written
        await self._conns.give_back(upstream.address, conn)

    async def _exchange(
        self,
        call: caller_call.Call,
        upstream: registry.Upstream,
        limits: TimeLimits,
        conn: http_io.UpstreamConn,
        result: AttemptResult,
    ) -> None:
        if call.conn.peer_closed():
            raise caller_call.CallerGone(
                'the caller disconnected before the request was sent'
            )
        remaining = limits.deadline - self._clock.elapsed()
        # Opening a connection may have used up the remaining time.
        if remaining <= timedelta():
            raise errors.DeadlineExceeded(
                'the deadline passed before the request was sent',
                remedy='raise the deadline',
            )
        conn.limit_unacknowledged(
            UNACKNOWLEDGED_TIMEOUT if call.idempotent else timedelta()
        )
        # Nothing may block between these checks and the first write.
        self._check_sending(upstream)
        request = self._request(call, upstream, remaining)
        async with aio.timeout(remaining + RESPONSE_SLACK):
            await conn.send_head(request, call.buffered_body)
            sent_whole = await self._send_body(call, conn)
            head, result.meta = await self._read_matching_head(
                call, upstream, conn, request
            )
            result.status = head.status
            result.first_byte = self._clock.elapsed()
            if result.meta.not_run:
                call.refused_on.add(conn.number)
                await conn.discard_body()
                return
        _check_response(head, result.meta, call)
        async with aio.timeout(limits.delivery_end - self._clock.elapsed()):
            await self._relay(call, conn, head, closing=not sent_whole)

    def _request(
        self,
        call: caller_call.Call,
        upstream: registry.Upstream,
        remaining: timedelta,
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

    async def _send_body(
        self, call: caller_call.Call, conn: http_io.UpstreamConn
    ) -> bool:
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

    def _check_sending(self, upstream: registry.Upstream) -> None:
        if not self._notices.may_send(upstream, self._clock.elapsed()):
            raise Withheld('the upstream leaves or has asked for a pause')

    def _record_unsolicited(
        self, conn: http_io.UpstreamConn, head: http_head.ResponseHead
    ) -> None:
        upstream = self._opened_for.get(conn)
        if upstream is not None:
            self._notices.record_response(
                upstream,
                self._headers.from_upstream(head),
                self._clock.elapsed(),
            )

    async def _read_matching_head(
        self,
        call: caller_call.Call,
        upstream: registry.Upstream,
        conn: http_io.UpstreamConn,
        request: http_head.RequestHead,
    ) -> tuple[http_head.ResponseHead, request_meta.UpstreamMeta]:
        """Return the head of the response to this request.

        Late second responses to earlier requests on the connection are
        skipped; they carry a different request id. What a skipped response
        announces about its upstream holds too.
        """
        for _ in range(MAX_LATE_RESPONSES + 1):
            head = await self._read_head(call, conn)
            meta = self._headers.from_upstream(head)
            self._notices.record_response(
                upstream, meta, self._clock.elapsed()
            )
            if meta.request_id is None:
                _check_first_response(conn, meta, call)
                return head, meta
            if meta.request_id == call.meta.request_id:
                return head, meta
            await conn.skip_response(request, limit=MAX_LATE_RESPONSE_BYTES)
        raise errors.ProtocolError(
            'the upstream only sent responses to other requests',
            remedy='check why the upstream responds late or twice',
        )

    async def _read_head(
        self, call: caller_call.Call, conn: http_io.UpstreamConn
    ) -> http_head.ResponseHead:
        while True:
            try:
                async with aio.timeout(CALLER_CHECK_INTERVAL):
                    return await conn.read_head()
            except errors.DeadlineExceeded:
                if call.conn.peer_closed():
                    raise caller_call.CallerGone(
                        'the caller disconnected'
                    ) from None

    async def _relay(
        self,
        call: caller_call.Call,
        conn: http_io.UpstreamConn,
        head: http_head.ResponseHead,
        *,
        closing: bool,
    ) -> None:
        """Relay the response to the caller.

        The head is sent only after the first piece of the body was read. A
        response that breaks off before that can still be replaced.
        """
        piece = await _next_piece(conn)
        await call.begin_response(head, closing=closing)
        while piece:
            await call.send_piece(piece)
            piece = await _next_piece(conn)
        await call.finish_response()


async def _next_piece(conn: http_io.UpstreamConn) -> bytes:
    try:
        async with aio.timeout(UPSTREAM_STALL_TIMEOUT):
            return await conn.read_piece()
    except errors.DeadlineExceeded as exc:
        raise errors.ConnectionLost(
            'the response stalled before its end',
            remedy='repeat the request if it is idempotent',
        ) from exc


def _check_first_response(
    conn: http_io.UpstreamConn,
    meta: request_meta.UpstreamMeta,
    call: caller_call.Call,
) -> None:
    """Check that a response without an id can only belong to this request.

    On a connection that was used before, it may be a second response to an
    earlier request. Upstreams echo the id of every request that has one.
    """
    if conn.reused and (call.meta.request_id or meta.not_run):
        raise errors.ProtocolError(
            'a response on a reused connection has no request id',
            remedy='check why the upstream responds without an id',
        )


def _check_response(
    head: http_head.ResponseHead,
    meta: request_meta.UpstreamMeta,
    call: caller_call.Call,
) -> None:
    if head.status in _SUCCESS and not meta.signed:
        raise errors.ProtocolError(
            'a successful response has no signature',
            remedy='check the upstream',
        )
    if not call.idempotent and head.status in _REFUSAL_STATUS:
        # To the caller, the status means that the request was not executed,
        # which this upstream does not guarantee.
        raise errors.ProtocolError(
            f'status {head.status} has no proof that the request did not run',
            remedy='check the upstream',
        )

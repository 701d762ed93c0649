"""Serves the connections of callers.

Every response has the headers X-Outcome, X-Reason and X-Request-Id. If the
upstream's response is truncated, the connection to the caller is closed
before the declared end of the body, so that the caller notices.
"""

from datetime import timedelta
import json
import secrets

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import dedup
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import forwarding
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import request_history
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import settings

# Idle connections check for a shutdown at this interval.
IDLE_CHECK_INTERVAL = timedelta(seconds=1)
IDLE_TIMEOUT = timedelta(seconds=75)
STORE_TIMEOUT = timedelta(seconds=1)

_SINGLE_HEADERS = ('idempotency-key', 'x-deadline-ms')


class CallerServer:
    """The request path of an entry process.

    ``views`` supplies the configuration, ``gate`` the admission and
    ``records`` the deduplication. /ready fails after ``drain``.
    """

    def __init__(
        self,
        *,
        views: dispatch.Views,
        gate: dispatch.Gate,
        records: dedup.Records,
        forwarder: forwarding.Forwarder,
        history: request_history.RequestHistory,
        clock: clock_module.Clock,
        limits: settings.Limits | None = None,
    ) -> None:
        self._limits = limits or settings.Limits()
        self._views = views
        self._gate = gate
        self._records = records
        self._forwarder = forwarder
        self._history = history
        self._clock = clock
        self._budget = retries.RetryBudget()
        self._connections = 0
        self._in_flight = 0
        self._draining = False
        self._stopped = False

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def connections(self) -> int:
        return self._connections

    def is_ready(self) -> bool:
        return not self._draining and self._views.current() is not None

    def drain(self) -> None:
        """Fail /ready and ask callers to close their connections."""
        self._draining = True

    def close_when_idle(self) -> None:
        """Close connections as they become idle.

        To be called when no new connections are accepted. Connections with
        a request in flight are closed after its response.
        """
        self._draining = True
        self._stopped = True

    async def serve(self, sock: aio.Socket) -> None:
        """Serve the requests of one connection."""
        conn = http_io.CallerConn(sock, head_limit=self._limits.header_size)
        self._connections += 1
        try:
            await self._serve(conn)
        finally:
            self._connections -= 1
            await conn.close()

    async def _serve(self, conn: http_io.CallerConn) -> None:
        over_limit = self._connections > self._limits.caller_connections
        while await self._wait_for_request(conn):
            self._in_flight += 1
            try:
                await self._serve_one(conn, over_limit)
            finally:
                self._in_flight -= 1
            if not conn.can_continue():
                await conn.close_when_delivered()
                return
            conn.next_exchange()

    async def _wait_for_request(self, conn: http_io.CallerConn) -> bool:
        stop = self._clock.elapsed() + IDLE_TIMEOUT
        while self._clock.elapsed() < stop:
            try:
                async with aio.timeout(IDLE_CHECK_INTERVAL):
                    return await conn.wait_for_input()
            except errors.DeadlineExceeded:
                if self._stopped and not conn.has_input():
                    return False
        return False

    async def _serve_one(
        self, conn: http_io.CallerConn, over_limit: bool
    ) -> None:
        request_id = ids.RequestId(secrets.token_hex(8))
        trace = self._history.begin(request_id)
        try:
            head = await self._read_head(conn)
        except errors.RequestRejected as exc:
            await self._reject(conn, trace, exc)
            return
        if head is None:
            await conn.close()
            return
        call = forwarding.Call(
            conn=conn,
            head=head,
            request_id=request_id,
            trace=trace,
            close_after=over_limit,
            is_draining=lambda: self._draining,
        )
        try:
            _check_supported(head)
            await call.read_body_start()
        except errors.RequestRejected as exc:
            await self._reject(conn, trace, exc)
            return
        except errors.DeadlineExceeded:
            await self._reject(conn, trace, _too_slow('body'))
            return
        except errors.ConnectionLost:
            await conn.close()
            return
        await self._answer(call, over_limit)

    async def _read_head(
        self, conn: http_io.CallerConn
    ) -> http_head.RequestHead | None:
        try:
            async with aio.timeout(http_io.HEAD_TIMEOUT):
                return await conn.read_head()
        except errors.DeadlineExceeded:
            raise _too_slow('head') from None

    async def _answer(self, call: forwarding.Call, over_limit: bool) -> None:
        path = call.head.target.split('?', 1)[0]
        if path in ('/health', '/ready'):
            up = path == '/health' or self.is_ready()
            await self._send(call, 200 if up else 503, 'done', {'up': up})
            return
        outcome = (
            outcomes.NotRun(
                reason=outcomes.Reason.SHED,
                detail='too many connections',
                retry_after=retries.RETRY_AFTER,
            )
            if over_limit
            else await self._run(call)
        )
        self._history.end(call.trace, outcome)
        if not call.relayed:
            await self._send_outcome(call, outcome)
        elif not isinstance(outcome, outcomes.Done):
            # Closing the connection shows that the response is truncated.
            await call.conn.close()
        elif not call.body_ended:
            await call.conn.close_after_response()

    async def _run(self, call: forwarding.Call) -> outcomes.Outcome:
        arrived = self._clock.elapsed()
        routed = self._route(call, arrived)
        if isinstance(routed, outcomes.NotRun):
            return routed
        timeout = min(STORE_TIMEOUT, routed.deadline - arrived)
        reserved = await self._records.reserve(routed, timeout=timeout)
        if not isinstance(reserved, dedup.Reserved):
            return reserved
        outcome = await self._run_attempts(call, routed)
        if isinstance(outcome, outcomes.NotRun):
            await self._records.release(reserved, timeout=STORE_TIMEOUT)
        return outcome

    def _route(
        self, call: forwarding.Call, arrived: timedelta
    ) -> routing.Routed | outcomes.NotRun:
        view = self._views.current()
        if view is None:
            return outcomes.NotRun(
                reason=outcomes.Reason.NOT_READY,
                detail='this process has no configuration yet',
                retry_after=retries.RETRY_AFTER,
            )
        headers = call.head.headers
        routed = routing.route(
            routing.RequestInfo(
                method=call.head.method,
                target=call.head.target,
                deadline_ms=http_head.find(headers, 'x-deadline-ms'),
                idempotency_key=http_head.find(headers, 'idempotency-key'),
            ),
            request_id=call.request_id,
            document=view.document,
            shard_map=view.shard_map,
            arrived=arrived,
        )
        call.trace.record_route(routed, view)
        return routed

    async def _run_attempts(
        self, call: forwarding.Call, routed: routing.Routed
    ) -> outcomes.Outcome:
        view = self._views.current()
        self._budget.earn(view.document.preset.retry_ratio if view else 0.0)
        attempts: list[retries.Attempt] = []
        while True:
            tried = [a.upstream for a in attempts]
            result = await self._attempt(call, routed, tried)
            if isinstance(result, outcomes.NotRun):
                return retries.final_outcome(attempts, result)
            attempts.append(result)
            outcome = retries.final_outcome(attempts, retries.classify(result))
            situation = retries.RetryContext(
                idempotent=routed.idempotent,
                replayable=not call.body_consumed,
                attempts=len(attempts),
                remaining=routed.deadline - self._clock.elapsed(),
            )
            if not retries.may_retry(result, situation, self._budget):
                return outcome
            rerouted = await self._route_again(call, routed, result)
            if rerouted is None:
                return outcome
            routed = rerouted

    async def _attempt(
        self,
        call: forwarding.Call,
        routed: routing.Routed,
        tried: list[ids.UpstreamId],
    ) -> retries.Attempt | outcomes.NotRun:
        requested = self._clock.elapsed()
        admitted = await self._gate.admit(
            routed, tried=tried, caller_gone=call.conn.peer_closed
        )
        started = self._clock.elapsed()
        call.trace.queued += started - requested
        if isinstance(admitted, outcomes.NotRun):
            return admitted
        attempt: retries.Attempt | None = None
        try:
            attempt = await self._forwarder.attempt(call, routed, admitted)
            call.trace.record_attempt(attempt, started)
            return attempt
        finally:
            await self._gate.release(routed, admitted, attempt)

    async def _route_again(
        self,
        call: forwarding.Call,
        routed: routing.Routed,
        attempt: retries.Attempt,
    ) -> routing.Routed | None:
        """Return the route for a retry, or None if a retry cannot help.

        In a keyed pool a retry makes sense only if the key has another
        owner or the connection to the same owner broke.
        """
        if not routed.pool.keyed:
            return routed
        if attempt.status == 421:
            epoch = attempt.owner_epoch or ids.Epoch(0)
            await self._views.refresh(routed, epoch)
        rerouted = self._route(call, routed.arrived)
        if isinstance(rerouted, outcomes.NotRun):
            return None
        if rerouted.owner != routed.owner:
            return rerouted
        broken = (retries.Failure.LOST, retries.Failure.TRUNCATED)
        return rerouted if attempt.failure in broken else None

    async def _send_outcome(
        self, call: forwarding.Call, outcome: outcomes.Outcome
    ) -> None:
        match outcome:
            case outcomes.NotRun():
                outcome_name = 'not-run'
            case outcomes.Unknown():
                outcome_name = 'unknown'
            case outcomes.Done():
                await call.conn.close()
                return
        after = getattr(outcome, 'retry_after', None)
        if outcome.reason is outcomes.Reason.CALLER_GONE:
            await call.conn.close()
            return
        body = {'outcome': outcome_name, 'reason': outcome.reason.value}
        body['detail'] = outcome.detail
        extra = _retry_after(after)
        await self._send(
            call, outcome.status, outcome_name, body, outcome.reason, extra
        )

    async def _send(
        self,
        call: forwarding.Call,
        status: int,
        outcome_name: str,
        body: dict[str, str] | dict[str, bool],
        reason: outcomes.Reason = outcomes.Reason.OK,
        extra: http_head.Headers = (),
    ) -> None:
        headers = (
            ('content-type', 'application/json'),
            *forwarding.own_headers(call.request_id, outcome_name, reason),
            *extra,
        )
        unread = not call.body_ended
        if call.ends_connection() or unread:
            headers = (*headers, ('connection', 'close'))
        head = http_head.ResponseHead(status=status, headers=headers)
        await _send_ignoring_errors(call.conn, head, json.dumps(body).encode())
        if unread:
            await call.conn.close_after_response()

    async def _reject(
        self,
        conn: http_io.CallerConn,
        trace: request_history.Trace,
        exc: errors.RequestRejected,
    ) -> None:
        reason = outcomes.Reason.BAD_REQUEST
        # The detail is recorded, so it does not include the text of the
        # exception, which may quote a header of the caller.
        outcome = outcomes.NotRun(
            reason=reason,
            detail='the request is malformed',
            status=exc.status,
        )
        self._history.end(trace, outcome)
        own = forwarding.own_headers(trace.request_id, 'not-run', reason)
        head = http_head.ResponseHead(
            status=exc.status,
            headers=(
                ('content-type', 'application/json'),
                *own,
                ('connection', 'close'),
            ),
        )
        body = {'outcome': 'not-run', 'reason': reason.value}
        body['detail'] = str(exc)
        await _send_ignoring_errors(conn, head, json.dumps(body).encode())
        await conn.close_after_response()


async def _send_ignoring_errors(
    conn: http_io.CallerConn, head: http_head.ResponseHead, body: bytes
) -> None:
    """Send a whole response to a caller that may have disconnected."""
    try:
        async with aio.timeout(http_io.BODY_PIECE_TIMEOUT):
            await conn.send_all(head, body)
    except (
        errors.ConnectionLost,
        errors.DeadlineExceeded,
        errors.ProtocolError,
    ):
        await conn.close()


def _check_supported(head: http_head.RequestHead) -> None:
    """Reject requests that h11 accepts but that cannot be forwarded safely.

    Raises RequestRejected.
    """
    if head.method == 'CONNECT':
        raise _refusal('CONNECT is not supported', 405)
    proxied = head.target not in ('/health', '/ready')
    if head.http_version != '1.1' and proxied:
        # An HTTP/1.0 caller could not detect a truncated response.
        raise _refusal('HTTP/1.1 is required', 505)
    for name in _SINGLE_HEADERS:
        if sum(n == name for n, _ in head.headers) > 1:
            raise _refusal(f'the header {name} is repeated', 400)
    length = http_head.find(head.headers, 'content-length') or '0'
    if int(length) > forwarding.MAX_BODY_BYTES:
        raise _refusal('the body is too long', 413)


def _refusal(problem: str, status: int) -> errors.RequestRejected:
    return errors.RequestRejected(
        problem, remedy='correct the request', status=status
    )


def _too_slow(part: str) -> errors.RequestRejected:
    return _refusal(f'the {part} of the request arrived too slowly', 408)


def _retry_after(after: timedelta | None) -> http_head.Headers:
    if after is None:
        return ()
    seconds = max(1, round(after.total_seconds()))
    return (('retry-after', str(seconds)),)

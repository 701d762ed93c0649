"""Responses that this process generates itself, instead of relaying one.

A refusal says when to retry, within the time that its caller has left.
"""

from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import caller_call
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import outcomes
from goldcresthaven import planned_stop
from goldcresthaven import request_meta
from goldcresthaven import upstream_choice

# Retry-After is kept to this share of the caller's remaining time: callers
# wait for at most a third of it.
RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER = timedelta(milliseconds=30)
SEND_TIMEOUT = timedelta(seconds=5)


class LocalResponder:
    """Sends such responses to callers."""

    def __init__(
        self,
        *,
        headers: request_meta.Headers,
        stop: planned_stop.PlannedStop,
        clock: clock_module.Clock,
    ) -> None:
        self._headers = headers
        self._stop = stop
        self._clock = clock

    async def send(
        self,
        call: caller_call.Call,
        routed: upstream_choice.RoutedRequest | outcomes.NotRun,
        outcome: outcomes.Outcome,
    ) -> None:
        """Send a response that this process generates itself."""
        if isinstance(outcome, outcomes.Done):
            # Not reached: a complete response has always been relayed.
            await call.conn.close()
            return
        if outcome.reason is outcomes.Reason.CALLER_GONE:
            await call.conn.close()
            return
        headers = self._headers.for_local_response(call.meta.request_id)
        if isinstance(outcome, outcomes.NotRun) and outcome.retry_after:
            after = self._retry_after(call, routed, outcome)
            headers = (*headers, ('retry-after', after))
        unread = not call.body_ended
        if unread or self._stop.draining:
            headers = (*headers, ('connection', 'close'))
        head = http_head.ResponseHead(status=outcome.status, headers=headers)
        await _send(call.conn, head, outcome.reason.value.encode())
        if unread:
            await call.conn.close_after_response()

    async def reject(
        self, conn: http_io.CallerConn, status: int, problem: str
    ) -> None:
        """Answer a request that cannot be read."""
        decision_log.note('request-rejected', status=status, detail=problem)
        head = http_head.ResponseHead(
            status=status, headers=(('connection', 'close'),)
        )
        await _send(conn, head, b'malformed request')
        await conn.close_after_response()

    def _retry_after(
        self,
        call: caller_call.Call,
        routed: upstream_choice.RoutedRequest | outcomes.NotRun,
        refusal: outcomes.NotRun,
    ) -> str:
        wanted = refusal.retry_after or timedelta()
        if (
            call.meta.remaining is not None
            and isinstance(routed, upstream_choice.RoutedRequest)
            and not refusal.retry_is_earliest
        ):
            spent = self._clock.elapsed() - routed.arrived
            wanted = min(
                wanted, (call.meta.remaining - spent) * RETRY_AFTER_SHARE
            )
        return f'{max(wanted, MIN_RETRY_AFTER).total_seconds():.3f}'


async def _send(
    conn: http_io.CallerConn, head: http_head.ResponseHead, body: bytes
) -> None:
    """Send a whole response; only log it if the caller has disconnected."""
    try:
        async with aio.timeout(SEND_TIMEOUT):
            await conn.send_all(head, body)
    except errors.Error as exc:
        decision_log.note('answer-not-delivered', detail=str(exc))
        await conn.close()

"""Makes the attempts of one request until its outcome is known.

Each attempt goes to an upstream that is chosen for it. Another one follows
only if the request certainly was not executed or may be repeated, if its
pool's budget allows a retry, and if the process does not stop before the
request would end.
"""

from datetime import timedelta

from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import gateway_metrics
from goldcresthaven import known_state as known_state_module
from goldcresthaven import local_responses
from goldcresthaven import outcomes
from goldcresthaven import planned_stop
from goldcresthaven import request_meta
from goldcresthaven import retries
from goldcresthaven import selection
from goldcresthaven import upstream_choice
from goldcresthaven import upstream_exchange

# Other processes can serve such a request at once.
_STOPPING = outcomes.NotRun(
    reason=outcomes.Reason.DRAINING,
    detail='the process may stop before the request ends',
    retry_after=local_responses.MIN_RETRY_AFTER,
)


class RequestRunner:
    """Runs requests whose route and pool are known.

    ``retry_budget`` is the one that all processes share.
    """

    def __init__(
        self,
        *,
        known_state: known_state_module.KnownState,
        chooser: upstream_choice.UpstreamChooser,
        exchanger: upstream_exchange.Exchanger,
        selector: selection.Selector,
        metrics: gateway_metrics.GatewayMetrics,
        retry_budget: retries.FleetBudget,
        stop: planned_stop.PlannedStop,
        clock: clock_module.Clock,
    ) -> None:
        self._known_state = known_state
        self._chooser = chooser
        self._exchanger = exchanger
        self._selector = selector
        self._metrics = metrics
        self._budgets = retries.PoolBudgets(
            allowed=retry_budget, fleet_size=lambda: known_state.fleet_size
        )
        self._stop = stop
        self._clock = clock

    async def run(
        self, routed: upstream_choice.RoutedRequest
    ) -> outcomes.Outcome:
        """Return the outcome; a complete response was relayed by then."""
        budget = self._budgets.request_arrived(routed.pool.name)
        while True:
            choice = await self._chooser.choose(routed)
            if not self._can_finish(routed):
                choice = _STOPPING
            if isinstance(choice, outcomes.NotRun):
                return retries.final_outcome(routed.past_attempts, choice)
            attempt = await self._attempt(routed, choice)
            routed.past_attempts.append(attempt)
            outcome = retries.final_outcome(
                routed.past_attempts, retries.classify(attempt)
            )
            context = retries.RetryContext(
                idempotent=routed.route.kind.idempotent,
                replayable=not routed.call.body_consumed,
                attempts=len(routed.past_attempts),
                remaining=routed.deadline - self._clock.elapsed(),
            )
            if self._is_last_attempt(routed, attempt):
                return self._with_retry_after(routed, outcome)
            if not retries.may_retry(attempt, context, budget):
                return self._with_retry_after(routed, outcome)
            self._metrics.retried()
            if attempt.status == 421:
                routed.refused_map_version = self._chooser.map_version(
                    routed.pool.name
                )
                self._known_state.maps_outdated = True

    def _can_finish(self, routed: upstream_choice.RoutedRequest) -> bool:
        return self._stop.can_finish(
            latest_end=routed.deadline + upstream_exchange.DELIVERY_SLACK,
            idempotent=routed.route.kind.idempotent,
        )

    def _is_last_attempt(
        self, routed: upstream_choice.RoutedRequest, attempt: retries.Attempt
    ) -> bool:
        """Return whether no further attempt may be made.

        Only the owner of a key can serve a request for it. If the owner is
        unreachable, the caller should retry later: another process may
        reach it, or the key may have moved.
        """
        if attempt.failure is retries.Failure.CONNECT and routed.keyed:
            return True
        sent = sum(past.bytes_written > 0 for past in routed.past_attempts)
        return sent >= routed.route.max_attempts

    def _with_retry_after(
        self, routed: upstream_choice.RoutedRequest, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        if isinstance(outcome, outcomes.NotRun):
            paused = self._chooser.refusal_during_pause(routed)
            if paused is not None:
                return paused
            return outcomes.NotRun(
                reason=outcome.reason,
                detail=outcome.detail,
                status=outcome.status,
                retry_after=upstream_choice.BUSY_RETRY_AFTER,
            )
        return outcome

    async def _attempt(
        self, routed: upstream_choice.RoutedRequest, choice: selection.Choice
    ) -> retries.Attempt:
        upstream = choice.upstream
        started = self._clock.elapsed()
        self._selector.attempt_started(upstream)
        outcome = selection.AttemptOutcome.ABANDONED
        result = upstream_exchange.AttemptResult()
        try:
            result = await self._exchanger.attempt(
                routed.call,
                upstream,
                limits=upstream_exchange.TimeLimits(
                    deadline=routed.deadline,
                    delivery_end=routed.arrived
                    + routed.route.timeout
                    + upstream_exchange.DELIVERY_SLACK,
                ),
                connections=routed.pool.max_connections,
            )
            outcome = _attempt_outcome(result)
        finally:
            now = self._clock.elapsed()
            self._selector.attempt_ended(
                upstream,
                now,
                elapsed=(result.first_byte or now) - started,
                load=result.meta.load if result.meta else None,
                outcome=outcome,
            )
        attempt = result.to_attempt(upstream, routed.call, now - started)
        if outcome is not selection.AttemptOutcome.ANSWERED:
            decision_log.note(
                'attempt-failed',
                request=routed.call.meta.request_id,
                upstream=upstream.upstream_id,
                outcome=outcome.value,
                status=result.status,
                reason=result.failure.value if result.failure else None,
                bytes=result.bytes_written,
                elapsed_ms=_ms(now - started),
                detail='; '.join([routed.choice_inputs, *result.notes]),
            )
        return attempt


def _attempt_outcome(
    result: upstream_exchange.AttemptResult,
) -> selection.AttemptOutcome:
    match result:
        case upstream_exchange.AttemptResult(
            failure=(retries.Failure.CALLER_GONE | retries.Failure.WITHHELD)
        ):
            return selection.AttemptOutcome.ABANDONED
        case upstream_exchange.AttemptResult(failure=retries.Failure.CONNECT):
            return selection.AttemptOutcome.UNREACHABLE
        case upstream_exchange.AttemptResult(status=421):
            return selection.AttemptOutcome.ABANDONED
        case upstream_exchange.AttemptResult(
            meta=request_meta.UpstreamMeta(not_run=True)
        ):
            return selection.AttemptOutcome.SHED
        case upstream_exchange.AttemptResult(
            failure=None, status=int(status)
        ) if status < 500:
            return selection.AttemptOutcome.ANSWERED
    return selection.AttemptOutcome.FAILED


def _ms(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))

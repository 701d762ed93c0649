"""Classifies the outcome of an attempt and decides about retries.

The drivers only report what happened during an attempt. What it means is
decided here, so that no driver takes a timeout for a proof that the request
was not executed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from goldcresthaven import ids
from goldcresthaven import outcomes

MAX_ATTEMPTS = 3
# Capacity of the retry budget's token bucket, which is full at the start.
BUDGET_TOKENS = 10.0
# Part of what the deployment allows that is used. The rest covers requests
# that were counted in another window than their retries.
BUDGET_SHARE = 0.5
# Limits of one process's stored retries. A token is needed for one retry.
MIN_BURST = 1.0
MAX_BURST = 3.0

RETRY_AFTER = timedelta(seconds=1)

_REASONS = {reason.value: reason for reason in outcomes.Reason}


class Failure(Enum):
    """Why an attempt ended without a complete response.

    WITHHELD means that the upstream must get no request at the moment,
    which was found just before the request would have been written.
    """

    CONNECT = 'connect'
    WITHHELD = 'withheld'
    DEADLINE = 'deadline'
    LOST = 'lost'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    CALLER_GONE = 'caller-gone'
    BAD_BODY = 'bad-body'


_NOT_RETRIABLE = frozenset(
    {Failure.DEADLINE, Failure.CALLER_GONE, Failure.BAD_BODY}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Record of one attempt.

    ``bytes_written`` counts the bytes of the request that the operating
    system accepted. ``status`` and the following fields up to ``draining``
    are from the head of the response, if one was received. ``failure`` is
    None after a complete response. ``relayed`` is set if part of the
    response was sent to the caller.
    """

    upstream: ids.UpstreamId
    bytes_written: int
    status: int | None = None
    x_outcome: str | None = None
    x_reason: str | None = None
    owner_epoch: ids.Epoch | None = None
    draining: bool = False
    failure: Failure | None = None
    relayed: bool = False
    duration: timedelta = timedelta()


def classify(attempt: Attempt) -> outcomes.Outcome:
    """Return the outcome that an attempt proves.

    A request was not executed if none of its bytes was sent, if the
    upstream does not own the key (421), or if the upstream says so (503
    with ``X-Outcome: not-run``). The head of such a response is proof even
    if its body is truncated. Any other attempt without a complete response
    is unknown.
    """
    refusal = _refusal(attempt)
    if refusal is not None:
        return refusal
    match attempt.failure:
        case None if attempt.status is not None:
            return outcomes.Done(status=attempt.status)
        case Failure.CONNECT:
            return _not_run(outcomes.Reason.CONNECT_FAILED)
        case Failure.WITHHELD if attempt.bytes_written == 0:
            return _not_run(outcomes.Reason.NO_UPSTREAM)
        case Failure.DEADLINE if attempt.bytes_written == 0:
            return _not_run(outcomes.Reason.DEADLINE_PASSED)
        case Failure.CALLER_GONE if attempt.bytes_written == 0:
            return _not_run(outcomes.Reason.CALLER_GONE)
        case Failure.BAD_BODY if attempt.bytes_written == 0:
            return outcomes.NotRun(
                reason=outcomes.Reason.BAD_REQUEST, status=400
            )
        case _ if attempt.bytes_written == 0:
            return _not_run(outcomes.Reason.CONNECT_FAILED)
        case Failure.DEADLINE:
            return _unknown(outcomes.Reason.TIMEOUT, 504)
        case Failure.TRUNCATED:
            return _unknown(outcomes.Reason.TRUNCATED)
        case Failure.MALFORMED:
            return _unknown(outcomes.Reason.BAD_RESPONSE)
        case Failure.CALLER_GONE:
            return _unknown(outcomes.Reason.CALLER_GONE)
        case Failure.BAD_BODY:
            return _unknown(outcomes.Reason.BAD_REQUEST, 400)
    return _unknown(outcomes.Reason.CONNECTION_LOST)


def final_outcome(
    earlier: list[Attempt], last: outcomes.Outcome
) -> outcomes.Outcome:
    """Return the outcome of a request after all of its attempts.

    A refused retry does not prove that an earlier attempt was not executed.
    If any attempt was unknown, the outcome is therefore never ``NotRun``.
    """
    if not isinstance(last, outcomes.NotRun):
        return last
    for attempt in earlier:
        result = classify(attempt)
        if isinstance(result, outcomes.Unknown):
            return result
    return last


def is_refusal(status: int, x_outcome: str | None) -> bool:
    """Return whether a response head proves that nothing was executed."""
    return status == 421 or (status == 503 and x_outcome == 'not-run')


def _refusal(attempt: Attempt) -> outcomes.NotRun | None:
    status = attempt.status
    if status is None or not is_refusal(status, attempt.x_outcome):
        return None
    if status == 421:
        return _not_run(outcomes.Reason.NOT_OWNER)
    return _not_run(_REASONS.get(attempt.x_reason or '', outcomes.Reason.SHED))


def _not_run(reason: outcomes.Reason) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason,
        detail='the request was not executed',
        retry_after=RETRY_AFTER,
    )


def _unknown(reason: outcomes.Reason, status: int = 502) -> outcomes.Unknown:
    return outcomes.Unknown(
        reason=reason,
        detail='the request was sent and may have been executed',
        status=status,
    )


class RetryBudget:
    """Token bucket that limits retries to a share of all requests.

    Without it, retries would multiply the load while upstreams are
    overloaded.
    """

    def __init__(self, *, tokens: float = BUDGET_TOKENS) -> None:
        self.limit = tokens
        self._tokens = tokens

    def earn(self, ratio: float) -> None:
        """Add ``ratio`` tokens for one request.

        ``ratio`` is the allowed number of retries per request.
        """
        self._tokens = min(self.limit, self._tokens + ratio)

    def spend(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetBudget:
    """The retries that a deployment allows for all processes together.

    In any window, the retries at a pool may exceed ``ratio`` times the
    requests for it by ``slack``.
    """

    ratio: float
    slack: float


class PoolBudgets:
    """This process's share of the fleet's retries, for each pool.

    A pool that fails gets no retries for the requests of other pools. The
    share of the slack shrinks with the fleet, so that the limit holds for
    any number of processes. ``fleet_size`` returns that number.
    """

    def __init__(
        self, *, allowed: FleetBudget, fleet_size: Callable[[], int]
    ) -> None:
        self._allowed = allowed
        self._fleet_size = fleet_size
        self._budgets: dict[ids.PoolName, RetryBudget] = {}

    def request_arrived(self, pool: ids.PoolName) -> RetryBudget:
        """Return the budget of a pool, to which a request has been added."""
        limit = self._burst()
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(tokens=limit)
            self._budgets[pool] = budget
        budget.limit = limit
        budget.earn(self._allowed.ratio * BUDGET_SHARE)
        return budget

    def _burst(self) -> float:
        share = self._allowed.slack * BUDGET_SHARE / self._fleet_size()
        return min(MAX_BURST, max(MIN_BURST, share))


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryContext:
    """What a retry depends on besides the last attempt.

    ``replayable`` says that the whole request body is still available.
    """

    idempotent: bool
    replayable: bool
    attempts: int
    remaining: timedelta


def may_retry(
    attempt: Attempt, context: RetryContext, budget: RetryBudget
) -> bool:
    """Return whether to retry; if so, take a token from the budget.

    A request that is not idempotent is sent again only if it is proven not
    to have been executed.
    """
    outcome = classify(attempt)
    match outcome:
        case outcomes.Done():
            return False
        case outcomes.Unknown() if not context.idempotent:
            return False
    if attempt.failure in _NOT_RETRIABLE:
        return False
    if attempt.relayed or not context.replayable:
        return False
    if context.attempts >= MAX_ATTEMPTS:
        return False
    if context.remaining <= timedelta():
        return False
    # These put no load on the upstream, so they need no token.
    if attempt.failure in (Failure.CONNECT, Failure.WITHHELD):
        return True
    return budget.spend()

"""Health of upstreams, derived from the outcomes of this process's attempts.

Reported health and load may be stale or wrong, so they only break ties (see
``balancing``). The circuit breaker opens after failures of this process's own
attempts, and an upstream that recovers gets its share of load gradually.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum

from goldcresthaven import outcomes

CONSECUTIVE_FAILURES = 5
WINDOW = 20  # latest outcomes of which WINDOW_FAILURES open the breaker
WINDOW_FAILURES = 10
OPEN_FOR = timedelta(seconds=1)
MAX_OPEN_FOR = timedelta(seconds=8)
FAIR_TIMEOUT_FACTOR = 4  # mean service times; a sooner timeout is no failure
SHED_PAUSE = timedelta(milliseconds=50)
# How long a draining upstream still gets keyed requests. Only the owner of a
# key can serve them, so this leaves time to move the keys before requests are
# refused. A drain has to take effect within 3 s.
DRAIN_GRACE = timedelta(seconds=2)
MIN_WEIGHT = 0.05

ZERO = timedelta()


class BreakerState(Enum):
    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class HealthSignal(Enum):
    """What the outcome of an attempt says about the upstream's health."""

    SUCCESS = 'good'
    FAILURE = 'bad'
    BUSY = 'busy'
    DRAINING = 'leaving'
    NEUTRAL = 'neutral'


_NOT_RUN = {
    outcomes.Reason.SHED: HealthSignal.BUSY,
    outcomes.Reason.DRAINING: HealthSignal.DRAINING,
    outcomes.Reason.CONNECT_FAILED: HealthSignal.FAILURE,
}
FIRST_SERVER_ERROR = 500


def classify(
    outcome: outcomes.Outcome, duration: timedelta, service_time: timedelta
) -> HealthSignal:
    """Return what an outcome says about the health of the upstream.

    ``duration`` is how long the attempt took, and ``service_time`` is
    the mean. Under overload, requests are dispatched shortly before
    their deadlines. A timeout after less than FAIR_TIMEOUT_FACTOR service
    times says nothing about the upstream.
    """
    match outcome:
        case outcomes.Unknown(reason=outcomes.Reason.TIMEOUT) if (
            duration < service_time * FAIR_TIMEOUT_FACTOR
        ):
            return HealthSignal.NEUTRAL
        case outcomes.Done(status=status):
            if status >= FIRST_SERVER_ERROR:
                return HealthSignal.FAILURE
            return HealthSignal.SUCCESS
        case outcomes.NotRun(reason=reason):
            return _NOT_RUN.get(reason, HealthSignal.NEUTRAL)
        case outcomes.Unknown(reason=outcomes.Reason.CALLER_GONE):
            return HealthSignal.NEUTRAL
        case outcomes.Unknown():
            return HealthSignal.FAILURE


class Condition(Enum):
    """Condition of an upstream in the operator's views."""

    UP = 'up'
    OPEN = 'open'
    SLOW_START = 'slow-start'
    DRAINING = 'draining'


@dataclass(kw_only=True, slots=True)
class Health:
    """Health of one upstream in one entry process.

    ``slow_start`` is how long an upstream gets less than its full share of
    load, counted from ``started``.
    """

    slow_start: timedelta
    started: timedelta | None = None
    breaker: BreakerState = BreakerState.CLOSED
    drain_since: timedelta | None = None
    pause_until: timedelta = ZERO
    _open_until: timedelta = ZERO
    _open_for: timedelta = OPEN_FOR
    _consecutive_failures: int = 0
    _window: list[bool] = field(default_factory=list)
    _failures: int = 0
    _probing: bool = False

    def record(self, now: timedelta, signal: HealthSignal) -> None:
        """Record the result of an attempt that has just ended."""
        match signal:
            case HealthSignal.SUCCESS:
                self._record_success(now)
            case HealthSignal.FAILURE:
                self._record_failure(now)
            case HealthSignal.BUSY:
                self._probing = False
                self.pause_until = now + SHED_PAUSE
            case HealthSignal.DRAINING:
                self._probing = False
                self.drain(now)
            case HealthSignal.NEUTRAL:
                self._probing = False

    def drain(self, now: timedelta) -> None:
        """Mark the upstream as draining; later calls change nothing."""
        if self.drain_since is None:
            self.drain_since = now

    def undrain(self, now: timedelta) -> None:
        self.drain_since = None
        self.started = now

    def is_draining(self) -> bool:
        return self.drain_since is not None

    def accepts_keyed(self, now: timedelta) -> bool:
        """Return whether requests for keys it owns may be sent."""
        since = self.drain_since
        if since is not None and now - since >= DRAIN_GRACE:
            return False
        return self._is_available(now)

    def accepts(self, now: timedelta) -> bool:
        """Return whether requests that others can serve may be sent."""
        return self.drain_since is None and self._is_available(now)

    def is_paused(self, now: timedelta) -> bool:
        """Return whether only the pause after a refusal stops requests."""
        otherwise_available = (
            self.breaker is BreakerState.CLOSED and not self.is_draining()
        )
        return otherwise_available and now < self.pause_until

    def begin(self) -> None:
        """Record the start of an attempt."""
        if self.breaker is BreakerState.HALF_OPEN:
            self._probing = True

    def weight(self, now: timedelta) -> float:
        """Return the share of load: near 0 after a start, rising to 1."""
        if self.started is None or not self.slow_start:
            return 1.0
        age = (now - self.started) / self.slow_start
        if age >= 1.0:
            self.started = None
            return 1.0
        return max(age, MIN_WEIGHT)

    def condition(self, now: timedelta) -> Condition:
        if self.is_draining():
            return Condition.DRAINING
        if self.breaker is not BreakerState.CLOSED:
            return Condition.OPEN
        if self.weight(now) < 1.0:
            return Condition.SLOW_START
        return Condition.UP

    def _is_available(self, now: timedelta) -> bool:
        if now < self.pause_until:
            return False
        if self.breaker is BreakerState.OPEN and now >= self._open_until:
            self.breaker = BreakerState.HALF_OPEN
            self._probing = False
        match self.breaker:
            case BreakerState.CLOSED:
                return True
            case BreakerState.OPEN:
                return False
            case BreakerState.HALF_OPEN:
                return not self._probing

    def _record_success(self, now: timedelta) -> None:
        self._consecutive_failures = 0
        self._add_to_window(False)
        if self.breaker is BreakerState.HALF_OPEN:
            self.breaker = BreakerState.CLOSED
            self.started = now
            self._open_for = OPEN_FOR
            self._window.clear()
            self._failures = 0
        self._probing = False

    def _record_failure(self, now: timedelta) -> None:
        self._consecutive_failures += 1
        self._add_to_window(True)
        if self.breaker is BreakerState.HALF_OPEN:
            self._open_for = min(self._open_for * 2, MAX_OPEN_FOR)
            self._open(now)
        elif (
            self._consecutive_failures >= CONSECUTIVE_FAILURES
            or self._failures >= WINDOW_FAILURES
        ):
            self._open(now)
        self._probing = False

    def _open(self, now: timedelta) -> None:
        self.breaker = BreakerState.OPEN
        self._open_until = now + self._open_for

    def _add_to_window(self, failed: bool) -> None:
        self._window.append(failed)
        self._failures += failed
        if len(self._window) > WINDOW:
            self._failures -= self._window.pop(0)

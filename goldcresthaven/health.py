"""State of upstreams as this process sees it, from its own outcomes.

Reported health and load may lag or be wrong, so they only break ties (see
``balancing``). What this process experienced itself decides: the circuit
breaker opens on failures, and an upstream that comes back gets load slowly.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum

from goldcresthaven import outcomes

CONSECUTIVE_FAILURES = 5
WINDOW = 20  # outcomes that the failure ratio is taken from
WINDOW_FAILURES = 10
OPEN_FOR = timedelta(seconds=1)
MAX_OPEN_FOR = timedelta(seconds=8)
FAIR_TIMEOUT_FACTOR = (
    4  # mean service times after which a timeout is a failure
)
SHED_PAUSE = timedelta(milliseconds=50)
# Keyed work has one place to go, so it waits this long for its keys to
# move before it is refused. Drain has to take effect within 3 s.
DRAIN_GRACE = timedelta(seconds=2)
MIN_WEIGHT = 0.05

ZERO = timedelta()


class BreakerState(Enum):
    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class HealthSignal(Enum):
    """What an attempt's outcome says about the upstream."""

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
    outcome: outcomes.Outcome, duration: timedelta, service: timedelta
) -> HealthSignal:
    """Return what an outcome says about the upstream that gave it.

    ``ran`` is the time that the attempt had and ``service`` the mean
    service time. Under overload requests are dispatched shortly before
    their deadlines, and a timeout after less than a fair time says nothing
    about the upstream.
    """
    match outcome:
        case outcomes.Unknown(reason=outcomes.Reason.TIMEOUT) if (
            duration < service * FAIR_TIMEOUT_FACTOR
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
    """What the operator is told about an upstream."""

    UP = 'up'
    OPEN = 'open'
    SLOW_START = 'slow-start'
    DRAINING = 'draining'


@dataclass(kw_only=True, slots=True)
class Health:
    """One upstream as one entry process sees it."""

    slow_start: timedelta
    started: timedelta | None = None
    breaker: BreakerState = BreakerState.CLOSED
    drain_since: timedelta | None = None
    pause_until: timedelta = ZERO
    _open_until: timedelta = ZERO
    _open_for: timedelta = OPEN_FOR
    _consecutive: int = 0
    _window: list[bool] = field(default_factory=list)
    _failures: int = 0
    _probing: bool = False

    def record(self, now: timedelta, signal: HealthSignal) -> None:
        """Take the verdict on one attempt that ended now."""
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
        """Note that the upstream is leaving; the first signal counts."""
        if self.drain_since is None:
            self.drain_since = now

    def undrain(self, now: timedelta) -> None:
        self.drain_since = None
        self.started = now

    def is_draining(self) -> bool:
        return self.drain_since is not None

    def accepts_keyed(self, now: timedelta) -> bool:
        """Return whether work that only this upstream can do may go."""
        since = self.drain_since
        if since is not None and now - since >= DRAIN_GRACE:
            return False
        return self._is_available(now)

    def accepts(self, now: timedelta) -> bool:
        """Return whether work that others could also do may go."""
        return self.drain_since is None and self._is_available(now)

    def is_paused(self, now: timedelta) -> bool:
        """Return whether only a short pause after a refusal holds work."""
        otherwise_available = (
            self.breaker is BreakerState.CLOSED and not self.is_draining()
        )
        return otherwise_available and now < self.pause_until

    def begin(self) -> None:
        """Note that an attempt starts."""
        if self.breaker is BreakerState.HALF_OPEN:
            self._probing = True

    def weight(self, now: timedelta) -> float:
        """Return the share of load, from near 0 after a start up to 1."""
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
        self._consecutive = 0
        self._add_to_window(False)
        if self.breaker is BreakerState.HALF_OPEN:
            self.breaker = BreakerState.CLOSED
            self.started = now
            self._open_for = OPEN_FOR
            self._window.clear()
            self._failures = 0
        self._probing = False

    def _record_failure(self, now: timedelta) -> None:
        self._consecutive += 1
        self._add_to_window(True)
        if self.breaker is BreakerState.HALF_OPEN:
            self._open_for = min(self._open_for * 2, MAX_OPEN_FOR)
            self._open(now)
        elif (
            self._consecutive >= CONSECUTIVE_FAILURES
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

"""Choice of the upstream for one attempt, and the estimate of its wait.

The estimate rests on the load that an upstream reported with its last
responses, on this process's own requests since then, and on the service
time that was observed. A report loses its weight with age, because the
other processes send to the same upstreams.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
import random

from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import registry
from goldcresthaven import request_meta

# Until an upstream has answered; the middle of the pools' service times.
FIRST_SERVICE = timedelta(milliseconds=150)
SERVICE_GAIN = 0.15
# Age at which half of a report's difference from the usual load is left.
REPORT_HALF_LIFE = timedelta(milliseconds=600)
# The same for the usual load's difference from the pool's mean. The owner of
# a busy key stays busy for as long as the key does.
USUAL_HALF_LIFE = timedelta(seconds=5)
USUAL_GAIN = 0.2
FAILURE_GAIN = 0.2
# An upstream that fails all requests looks this many times as slow.
FAILURE_FACTOR = 6.0
OPEN_AFTER = 3  # consecutive failures
OPEN_FOR = timedelta(seconds=1)
# A refusal says that the upstream is full now; a slot frees within this.
SHED_PAUSE = timedelta(milliseconds=120)
# Work by a cold upstream takes about twice as long.
COLD_FACTOR = 2.0
# Candidates drawn; the best of all would attract every process at once.
DRAWN = 3
# Drawn besides from the own zone for large responses. For all requests, it
# would send too many of a zone to its few upstreams.
DRAWN_NEAR = 2
# Older loads say little and are not passed on.
SHARE_AGE = timedelta(milliseconds=900)
# A load that another process passed on has to be newer by this much, or
# it would replace what this process saw itself.
NEWER_BY = timedelta(milliseconds=20)
SHARED_GAIN = 0.1
# Latency that a response of a kilobyte from another zone is worth.
ZONE_PENALTY = timedelta(milliseconds=3)
_ZERO = timedelta()


class AttemptOutcome(Enum):
    """What an attempt says about its upstream.

    UNREACHABLE: no connection could be opened.
    """

    ANSWERED = 'answered'
    UNREACHABLE = 'unreachable'
    SHED = 'shed'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


@dataclass(kw_only=True, slots=True)
class UpstreamState:
    """What this process knows of one upstream."""

    slots: int
    service: timedelta = FIRST_SERVICE
    own: int = 0
    reported: float = 0.0
    reported_at: timedelta | None = None
    usual: float = 0.0
    own_at_report: int = 0
    failure_rate: float = 0.0
    consecutive: int = 0
    open_until: timedelta = _ZERO
    shed_until: timedelta = _ZERO
    cold_until: timedelta = _ZERO
    answered: int = 0

    def load(self, now: timedelta, mean: float) -> float:
        """Estimate the requests that the upstream works on or keeps."""
        if self.reported_at is None:
            return self.own + mean * self.slots
        others = max(0.0, self.reported - self.own_at_report)
        age = now - self.reported_at
        usual = _fade(self.usual, mean * self.slots, age, USUAL_HALF_LIFE)
        return self.own + _fade(others, usual, age, REPORT_HALF_LIFE)

    def report(self, requests: int, slots: int, at: timedelta) -> None:
        """Note a load that the upstream stated."""
        first = self.reported_at is None
        gain = 1.0 if first else USUAL_GAIN
        self.usual += gain * (requests - self.usual)
        self.reported = requests
        self.reported_at = at
        self.own_at_report = self.own
        self.slots = slots


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An upstream, with the time until it is expected to have answered."""

    upstream: registry.Upstream
    expected: timedelta
    load: float
    report_age: timedelta | None


class Selector:
    """Estimates and choices over all upstreams of this process."""

    def __init__(self, *, zone: ids.ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._by_life: dict[
            tuple[ids.UpstreamId, registry.Incarnation], UpstreamState
        ] = {}
        self._mean: dict[ids.PoolName, float] = {}

    def state(self, upstream: registry.Upstream) -> UpstreamState:
        life = (upstream.upstream_id, upstream.incarnation)
        state = self._by_life.get(life)
        if state is None:
            state = UpstreamState(slots=upstream.slots)
            self._by_life[life] = state
        return state

    def note_cold(self, upstream: registry.Upstream, now: timedelta) -> None:
        """Note how long an upstream stays slow after its start."""
        self.state(upstream).cold_until = now + upstream.cold_for

    def forget(self, known: Collection[registry.Upstream]) -> None:
        """Drop the state of upstreams that are no longer registered."""
        lives = {(u.upstream_id, u.incarnation) for u in known}
        for life in list(self._by_life):
            if life not in lives and not self._by_life[life].own:
                del self._by_life[life]

    def capacity(self, upstream: registry.Upstream) -> float:
        """Return an upstream's capacity relative to a usual one."""
        state = self.state(upstream)
        return upstream.slots * (FIRST_SERVICE / state.service)

    def service(self, upstream: registry.Upstream) -> timedelta:
        """Return the observed time of a request that does not queue."""
        return self.state(upstream).service

    def estimate(self, upstream: registry.Upstream, now: timedelta) -> Choice:
        """Return an upstream with the time that it needs for a request."""
        state = self.state(upstream)
        load = state.load(now, self._mean.get(upstream.pool, 0.0))
        service = state.service
        if now < state.cold_until:
            service = service * COLD_FACTOR
        ahead = max(0.0, load + 1 - state.slots)
        expected = service + service * (ahead / state.slots)
        age = None if state.reported_at is None else now - state.reported_at
        return Choice(
            upstream=upstream, expected=expected, load=load, report_age=age
        )

    def choose(
        self,
        candidates: Sequence[registry.Upstream],
        now: timedelta,
        *,
        away_penalty: timedelta = ZONE_PENALTY,
    ) -> Choice | None:
        """Return the best of a few random candidates, or None."""
        able = [u for u in candidates if not self.is_paused(u, now)]
        able = able or list(candidates)
        if not able:
            return None
        able = self._draw(able, large=away_penalty > ZONE_PENALTY)
        choices = [self.estimate(upstream, now) for upstream in able]
        return min(choices, key=lambda c: self._score(c, away_penalty))

    def _draw(
        self, able: list[registry.Upstream], *, large: bool
    ) -> list[registry.Upstream]:
        if len(able) <= DRAWN:
            return able
        drawn = self._rng.sample(able, DRAWN)
        if large:
            near = [u for u in able if u.zone == self._zone]
            drawn += self._rng.sample(near, min(DRAWN_NEAR, len(near)))
        return drawn

    def is_paused(self, upstream: registry.Upstream, now: timedelta) -> bool:
        state = self.state(upstream)
        return now < max(state.open_until, state.shed_until)

    def recent_loads(
        self, upstreams: Iterable[registry.Upstream], now: timedelta
    ) -> list[fleet_messages.UpstreamLoad]:
        """Return the loads that were reported within ``SHARE_AGE``."""
        found = []
        for upstream in upstreams:
            state = self.state(upstream)
            seen = state.reported_at
            if seen is None or now - seen > SHARE_AGE:
                continue
            found.append(
                fleet_messages.UpstreamLoad(
                    upstream_id=upstream.upstream_id,
                    requests=round(state.reported),
                    slots=state.slots,
                    age=now - seen,
                    service=state.service,
                )
            )
        return found

    def learn(
        self,
        upstream: registry.Upstream,
        load: fleet_messages.UpstreamLoad,
        now: timedelta,
    ) -> None:
        """Take over a load that another process has seen, if newer."""
        state = self.state(upstream)
        seen = now - load.age
        known = state.reported_at
        if known is not None and seen <= known + NEWER_BY:
            return
        state.report(load.requests, load.slots, seen)
        state.service += SHARED_GAIN * (load.service - state.service)
        self._learn_mean(upstream.pool, load.requests / load.slots)

    def began(self, upstream: registry.Upstream) -> None:
        self.state(upstream).own += 1

    def ended(
        self,
        upstream: registry.Upstream,
        now: timedelta,
        *,
        elapsed: timedelta,
        load: request_meta.Load | None,
        outcome: AttemptOutcome,
    ) -> None:
        """Learn from an attempt."""
        state = self.state(upstream)
        state.own -= 1
        if load is not None:
            self._learn_load(upstream, state, now, load)
        failed = outcome is not AttemptOutcome.ANSWERED
        if outcome is not AttemptOutcome.ABANDONED:
            gain = (1.0 if failed else 0.0) - state.failure_rate
            state.failure_rate += FAILURE_GAIN * gain
        match outcome:
            case AttemptOutcome.ANSWERED:
                state.consecutive = 0
                state.answered += 1
                self._learn_service(state, now, elapsed, load)
            case AttemptOutcome.SHED:
                state.shed_until = now + SHED_PAUSE
            case AttemptOutcome.UNREACHABLE:
                state.open_until = now + OPEN_FOR
            case AttemptOutcome.FAILED:
                state.consecutive += 1
                if state.consecutive >= OPEN_AFTER:
                    state.open_until = now + OPEN_FOR

    def _learn_load(
        self,
        upstream: registry.Upstream,
        state: UpstreamState,
        now: timedelta,
        load: request_meta.Load,
    ) -> None:
        state.report(load.running + load.waiting, load.slots, now)
        self._learn_mean(upstream.pool, state.reported / load.slots)

    def _learn_mean(self, pool: ids.PoolName, per_slot: float) -> None:
        mean = self._mean.get(pool, per_slot)
        self._mean[pool] = mean + SERVICE_GAIN * (per_slot - mean)

    def _learn_service(
        self,
        state: UpstreamState,
        now: timedelta,
        elapsed: timedelta,
        load: request_meta.Load | None,
    ) -> None:
        if now < state.cold_until:
            return
        queued = load.waiting / load.slots if load else 0.0
        sample = elapsed / (1 + queued)
        state.service += SERVICE_GAIN * (sample - state.service)

    def _score(self, choice: Choice, away_penalty: timedelta) -> timedelta:
        state = self.state(choice.upstream)
        score = choice.expected * (1 + FAILURE_FACTOR * state.failure_rate)
        if choice.upstream.zone != self._zone:
            score += away_penalty
        return score


def _fade(
    value: float, towards: float, age: timedelta, half_life: timedelta
) -> float:
    """Return an old value on its way to another."""
    weight: float = 0.5 ** min(age / half_life, 30.0)
    return value * weight + towards * (1 - weight)

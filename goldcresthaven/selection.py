"""Selects the upstream for an attempt and estimates its response time.

The estimate combines the load that the upstream reported with its latest
responses, the requests that this process has sent since then, and the
observed service time. The weight of a load report decays with its age,
because other processes send requests to the same upstreams.
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

# Used until any upstream of a pool has responded.
INITIAL_SERVICE_TIME = timedelta(milliseconds=150)
# Each gain is the weight of a new sample in an exponential moving average.
SERVICE_GAIN = 0.15
# Time in which a reported load decays halfway to the smoothed load.
REPORT_HALF_LIFE = timedelta(milliseconds=600)
# Time in which the smoothed load decays halfway to the pool's mean. It is
# longer, because the owner of a hot key stays busy as long as the key is hot.
SMOOTHED_HALF_LIFE = timedelta(seconds=5)
SMOOTHED_GAIN = 0.2
FAILURE_GAIN = 0.2
# The expected time of an upstream is multiplied by 1 plus this factor times
# its failure rate.
FAILURE_FACTOR = 6.0
# Consecutive failures that open an upstream's circuit breaker, and how long it
# stays open.
OPEN_AFTER_FAILURES = 3
OPEN_FOR = timedelta(seconds=1)
# Pause after a refusal. It means that all slots are in use; one becomes free
# within this time.
SHED_PAUSE = timedelta(milliseconds=120)
# A request takes about twice as long on an upstream that has just started.
COLD_FACTOR = 2.0
# Random candidates to choose from. If all were compared, every process would
# send to the same upstream at once.
SAMPLE_SIZE = 3
# Additional candidates from this zone for large responses. For all requests,
# they would overload the few upstreams of a zone.
SAME_ZONE_SAMPLE_SIZE = 2
# Older load reports say little about the current load, so they are not passed
# on to other processes.
MAX_SHARED_AGE = timedelta(milliseconds=900)
# A load report from another process replaces this process's own only if it
# is newer by this much.
MIN_AGE_DIFFERENCE = timedelta(milliseconds=20)
SHARED_GAIN = 0.1
# Added to the expected time of upstreams in other zones: the cost of a
# response of a kilobyte between zones, expressed as latency.
ZONE_PENALTY = timedelta(milliseconds=3)
_ZERO = timedelta()


class AttemptOutcome(Enum):
    """Result of an attempt with regard to its upstream.

    UNREACHABLE means that no connection could be opened, ABANDONED that
    the attempt says nothing about the upstream's health.
    """

    ANSWERED = 'answered'
    UNREACHABLE = 'unreachable'
    SHED = 'shed'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


@dataclass(kw_only=True, slots=True)
class UpstreamEstimate:
    """Observed and reported state of one upstream.

    ``service_time`` is None until a response or a shared load has shown it.
    ``own_requests`` counts this process's requests in flight. ``last_load``
    is the load in the latest report, and ``smoothed_load`` its moving average.
    ``is_shared`` says that this report came from another process.
    """

    slots: int
    service_time: timedelta | None = None
    own_requests: int = 0
    last_load: float = 0.0
    reported_at: timedelta | None = None
    smoothed_load: float = 0.0
    is_shared: bool = False
    own_requests_at_report: int = 0
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    open_until: timedelta = _ZERO
    shed_until: timedelta = _ZERO
    cold_until: timedelta = _ZERO
    answered: int = 0

    def load(self, now: timedelta, mean_per_slot: float) -> float:
        """Estimate the requests that are running or queued there.

        ``mean_per_slot`` is the mean load per slot of the upstream's pool.
        """
        if self.reported_at is None:
            return self.own_requests + mean_per_slot * self.slots
        others = max(0.0, self.last_load - self.own_requests_at_report)
        age = now - self.reported_at
        long_term_load = _decay(
            self.smoothed_load,
            mean_per_slot * self.slots,
            age,
            SMOOTHED_HALF_LIFE,
        )
        return self.own_requests + _decay(
            others, long_term_load, age, REPORT_HALF_LIFE
        )

    def report(
        self, requests: int, slots: int, at: timedelta, *, shared: bool = False
    ) -> None:
        """Store a load that the upstream reported.

        ``shared`` means that it did so in a response to another process.
        """
        first = self.reported_at is None
        gain = 1.0 if first else SMOOTHED_GAIN
        self.smoothed_load += gain * (requests - self.smoothed_load)
        self.last_load = requests
        self.reported_at = at
        self.is_shared = shared
        self.own_requests_at_report = self.own_requests
        self.slots = slots


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An upstream with the expected time until it has responded."""

    upstream: registry.Upstream
    expected: timedelta
    load: float
    report_age: timedelta | None


class Selector:
    """Keeps the state of all upstreams and chooses among them."""

    def __init__(self, *, zone: ids.ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._by_incarnation: dict[
            tuple[ids.UpstreamId, registry.Incarnation], UpstreamEstimate
        ] = {}
        self._mean_per_slot: dict[ids.PoolName, float] = {}
        self._mean_service_time: dict[ids.PoolName, timedelta] = {}

    def state(self, upstream: registry.Upstream) -> UpstreamEstimate:
        incarnation_key = (upstream.upstream_id, upstream.incarnation)
        state = self._by_incarnation.get(incarnation_key)
        if state is None:
            state = UpstreamEstimate(slots=upstream.slots)
            self._by_incarnation[incarnation_key] = state
        return state

    def mark_cold(self, upstream: registry.Upstream, now: timedelta) -> None:
        """Record how long an upstream stays slow after its start."""
        self.state(upstream).cold_until = now + upstream.cold_for

    def remove_unregistered(
        self, registered: Collection[registry.Upstream]
    ) -> None:
        """Remove the state of upstreams that are no longer registered."""
        registered_keys = {(u.upstream_id, u.incarnation) for u in registered}
        for incarnation_key in list(self._by_incarnation):
            if (
                incarnation_key not in registered_keys
                and not self._by_incarnation[incarnation_key].own_requests
            ):
                del self._by_incarnation[incarnation_key]

    def capacity(self, upstream: registry.Upstream) -> float:
        """Return the number of slots, weighted by the upstream's speed."""
        service_time = self.service_time(upstream)
        return upstream.slots * (INITIAL_SERVICE_TIME / service_time)

    def pool_service_time(self, pool: ids.PoolName) -> timedelta:
        """Return the mean observed service time of a pool."""
        return self._mean_service_time.get(pool, INITIAL_SERVICE_TIME)

    def service_time(self, upstream: registry.Upstream) -> timedelta:
        """Return the observed service time, without queueing.

        An upstream that has not responded yet counts as fast as its pool's
        mean.
        """
        return self.state(upstream).service_time or self.pool_service_time(
            upstream.pool
        )

    def estimate(self, upstream: registry.Upstream, now: timedelta) -> Choice:
        """Return an upstream with its expected time for one more request."""
        state = self.state(upstream)
        load = state.load(now, self._mean_per_slot.get(upstream.pool, 0.0))
        service_time = self.service_time(upstream)
        if now < state.cold_until:
            service_time = service_time * COLD_FACTOR
        queued_requests = max(0.0, load + 1 - state.slots)
        expected = service_time + service_time * (
            queued_requests / state.slots
        )
        age = None if state.reported_at is None else now - state.reported_at
        return Choice(
            upstream=upstream, expected=expected, load=load, report_age=age
        )

    def choose(
        self,
        candidates: Sequence[registry.Upstream],
        now: timedelta,
        *,
        other_zone_penalty: timedelta = ZONE_PENALTY,
    ) -> Choice | None:
        """Return the best of a few random candidates.

        Returns None if there are no candidates.
        """
        available = [u for u in candidates if not self.is_paused(u, now)]
        available = available or list(candidates)
        if not available:
            return None
        available = self._sample_candidates(
            available, large_response=other_zone_penalty > ZONE_PENALTY
        )
        choices = [self.estimate(upstream, now) for upstream in available]
        return min(choices, key=lambda c: self._score(c, other_zone_penalty))

    def _sample_candidates(
        self, available: list[registry.Upstream], *, large_response: bool
    ) -> list[registry.Upstream]:
        if len(available) <= SAMPLE_SIZE:
            return available
        sample = self._rng.sample(available, SAMPLE_SIZE)
        if large_response:
            same_zone = [u for u in available if u.zone == self._zone]
            sample += self._rng.sample(
                same_zone, min(SAME_ZONE_SAMPLE_SIZE, len(same_zone))
            )
        return sample

    def is_paused(self, upstream: registry.Upstream, now: timedelta) -> bool:
        state = self.state(upstream)
        return now < max(state.open_until, state.shed_until)

    def recent_loads(
        self,
        upstreams: Iterable[registry.Upstream],
        now: timedelta,
        *,
        with_shared: bool,
    ) -> list[fleet_messages.UpstreamLoad]:
        """Return loads that are not older than ``MAX_SHARED_AGE``.

        Those whose latest report came from another process are included
        only if ``with_shared`` is set.
        """
        found = []
        for upstream in upstreams:
            state = self.state(upstream)
            reported_at = state.reported_at
            if reported_at is None or now - reported_at > MAX_SHARED_AGE:
                continue
            if state.is_shared and not with_shared:
                continue
            found.append(
                fleet_messages.UpstreamLoad(
                    upstream_id=upstream.upstream_id,
                    requests=round(state.last_load),
                    slots=state.slots,
                    age=now - reported_at,
                    service=self.service_time(upstream),
                )
            )
        return found

    def apply_shared_load(
        self,
        upstream: registry.Upstream,
        load: fleet_messages.UpstreamLoad,
        now: timedelta,
    ) -> None:
        """Apply a load that another process received, if it is newer."""
        state = self.state(upstream)
        reported_at = now - load.age
        known = state.reported_at
        if known is not None and reported_at <= known + MIN_AGE_DIFFERENCE:
            return
        state.report(load.requests, load.slots, reported_at, shared=True)
        self._record_service_time(upstream, load.service, SHARED_GAIN)
        self._update_mean(upstream.pool, load.requests / load.slots)

    def attempt_started(self, upstream: registry.Upstream) -> None:
        self.state(upstream).own_requests += 1

    def attempt_ended(
        self,
        upstream: registry.Upstream,
        now: timedelta,
        *,
        elapsed: timedelta,
        load: request_meta.Load | None,
        outcome: AttemptOutcome,
    ) -> None:
        """Update the upstream's state after an attempt."""
        state = self.state(upstream)
        state.own_requests -= 1
        if load is not None:
            self._apply_load(upstream, state, now, load)
        failed = outcome is not AttemptOutcome.ANSWERED
        if outcome is not AttemptOutcome.ABANDONED:
            gain = (1.0 if failed else 0.0) - state.failure_rate
            state.failure_rate += FAILURE_GAIN * gain
        match outcome:
            case AttemptOutcome.ANSWERED:
                state.consecutive_failures = 0
                state.answered += 1
                self._update_service(upstream, now, elapsed, load)
            case AttemptOutcome.SHED:
                state.shed_until = now + SHED_PAUSE
            case AttemptOutcome.UNREACHABLE:
                state.open_until = now + OPEN_FOR
            case AttemptOutcome.FAILED:
                state.consecutive_failures += 1
                if state.consecutive_failures >= OPEN_AFTER_FAILURES:
                    state.open_until = now + OPEN_FOR

    def _apply_load(
        self,
        upstream: registry.Upstream,
        state: UpstreamEstimate,
        now: timedelta,
        load: request_meta.Load,
    ) -> None:
        state.report(load.running + load.waiting, load.slots, now)
        self._update_mean(upstream.pool, state.last_load / load.slots)

    def _update_mean(self, pool: ids.PoolName, per_slot: float) -> None:
        mean = self._mean_per_slot.get(pool, per_slot)
        self._mean_per_slot[pool] = mean + SERVICE_GAIN * (per_slot - mean)

    def _update_service(
        self,
        upstream: registry.Upstream,
        now: timedelta,
        elapsed: timedelta,
        load: request_meta.Load | None,
    ) -> None:
        if now < self.state(upstream).cold_until:
            return
        queued = load.waiting / load.slots if load else 0.0
        sample = elapsed / (1 + queued)
        self._record_service_time(upstream, sample, SERVICE_GAIN)

    def _record_service_time(
        self, upstream: registry.Upstream, sample: timedelta, gain: float
    ) -> None:
        state = self.state(upstream)
        before = self.service_time(upstream)
        state.service_time = before + gain * (sample - before)
        mean = self._mean_service_time.get(upstream.pool, sample)
        self._mean_service_time[upstream.pool] = mean + SERVICE_GAIN * (
            state.service_time - mean
        )

    def _score(
        self, choice: Choice, other_zone_penalty: timedelta
    ) -> timedelta:
        state = self.state(choice.upstream)
        score = choice.expected * (1 + FAILURE_FACTOR * state.failure_rate)
        if choice.upstream.zone != self._zone:
            score += other_zone_penalty
        return score


def _decay(
    value: float, baseline: float, age: timedelta, half_life: timedelta
) -> float:
    """Return ``value`` after it has decayed towards ``baseline``."""
    weight: float = 0.5 ** min(age / half_life, 30.0)
    return value * weight + baseline * (1 - weight)

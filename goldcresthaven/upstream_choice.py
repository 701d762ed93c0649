"""Chooses the upstream for an attempt, or refuses the request.

A keyed request goes to the owner of its key, any other request to the
upstream with the lowest expected time. A request that cannot be completed
in time is refused before it is sent.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import caller_call
from goldcresthaven import clock as clock_module
from goldcresthaven import ids
from goldcresthaven import known_state as known_state_module
from goldcresthaven import outcomes
from goldcresthaven import registry
from goldcresthaven import retries
from goldcresthaven import routes
from goldcresthaven import selection
from goldcresthaven import upstream_notices

# Longest wait for a key without an owner. A key that moves usually has a new
# owner within the time that a release takes.
OWNER_WAIT = timedelta(milliseconds=350)
OWNER_CHECK_INTERVAL = timedelta(milliseconds=15)
# Share of the remaining time within which the upstream is expected to
# respond, by priority. Less urgent requests are refused earlier.
DEADLINE_SHARE = (1.0, 0.85, 0.7)
# A request that need not queue is sent even if it misses its latency target;
# this many times the service time is allowed.
UNQUEUED_FACTOR = 1.3
NO_OWNER_RETRY_AFTER = timedelta(milliseconds=500)
BUSY_RETRY_AFTER = timedelta(milliseconds=300)
# Added to the expected time of upstreams in other zones for downloads,
# because traffic between zones is expensive.
DOWNLOAD_PENALTY = timedelta(milliseconds=60)


@dataclass(kw_only=True)
class RoutedRequest:
    """A caller's request with its route, pool and previous attempts.

    ``refused_map_version`` is the version of the key map with which an
    upstream refused the key as not its own. ``choice_inputs`` describes the
    inputs of the last choice for the log.
    """

    call: caller_call.Call
    route: routes.Route
    pool: routes.Pool
    deadline: timedelta
    arrived: timedelta
    config_version: ids.ConfigVersion
    past_attempts: list[retries.Attempt] = field(default_factory=list)
    refused_map_version: int = 0
    choice_inputs: str = ''

    @property
    def keyed(self) -> bool:
        """Whether only the owner of the key can serve this request."""
        return self.pool.keyed and self.call.meta.key is not None


class UpstreamChooser:
    """Chooses from the key maps and the registry of this process."""

    def __init__(
        self,
        *,
        known_state: known_state_module.KnownState,
        selector: selection.Selector,
        clock: clock_module.Clock,
    ) -> None:
        self._known_state = known_state
        self._selector = selector
        self._clock = clock

    def map_version(self, pool: ids.PoolName) -> int:
        keys = self._known_state.maps.get(pool)
        return keys.version if keys else 0

    async def choose(
        self, routed: RoutedRequest
    ) -> selection.Choice | outcomes.NotRun:
        if routed.call.meta.key is not None and routed.keyed:
            return await self._choose_owner(routed, routed.call.meta.key)
        now = self._clock.elapsed()
        pool = routed.pool.name
        usable = self._known_state.registry.usable(pool, now)
        admitted = self._choose_among(routed, usable, now)
        if isinstance(admitted, selection.Choice):
            return admitted
        leaving = self._leaving_but_serving(pool, now)
        last_resort = self._choose_among(routed, leaving, now)
        if isinstance(last_resort, selection.Choice):
            return last_resort
        end = self._known_state.notices.soonest_end([*usable, *leaving], now)
        if end is not None:
            return self._refuse_paused(end, now)
        return (
            admitted
            or last_resort
            or self._no_upstream(routed, outcomes.Reason.NO_UPSTREAM)
        )

    async def _choose_owner(
        self, routed: RoutedRequest, key: int
    ) -> selection.Choice | outcomes.NotRun:
        owner = await self._wait_for_owner(routed, key)
        if owner is None:
            return self._no_upstream(routed, outcomes.Reason.NO_OWNER)
        now = self._clock.elapsed()
        end = self._known_state.notices.paused_until(owner, now)
        if end is not None:
            return self._refuse_paused(end, now)
        return self._admit(routed, self._selector.estimate(owner, now), now)

    def refusal_during_pause(
        self, routed: RoutedRequest
    ) -> outcomes.NotRun | None:
        """Return a refusal if all upstreams that could serve are paused.

        For a keyed request this is the owner of its key.
        """
        now = self._clock.elapsed()
        pool = routed.pool.name
        if routed.call.meta.key is not None and routed.keyed:
            owner = self._current_owner(routed, routed.call.meta.key)
            serving = [] if owner is None else [owner]
        else:
            serving = [
                *self._known_state.registry.usable(pool, now),
                *self._leaving_but_serving(pool, now),
            ]
        end = self._known_state.notices.soonest_end(serving, now)
        return None if end is None else self._refuse_paused(end, now)

    def _refuse_paused(
        self, end: timedelta, now: timedelta
    ) -> outcomes.NotRun:
        return outcomes.NotRun(
            reason=outcomes.Reason.PAUSED,
            detail='the first pause ends after '
            f'{(end - now).total_seconds():.3f} s',
            retry_after=self._known_state.notices.retry_after(end, now),
            retry_is_earliest=True,
        )

    def _no_upstream(
        self, routed: RoutedRequest, reason: outcomes.Reason
    ) -> outcomes.NotRun:
        return outcomes.NotRun(
            reason=reason,
            detail=f'map {self.map_version(routed.pool.name)}, registry '
            f'{self._known_state.registry.version}',
            retry_after=NO_OWNER_RETRY_AFTER,
        )

    def _choose_among(
        self,
        routed: RoutedRequest,
        upstreams: Sequence[registry.Upstream],
        now: timedelta,
    ) -> selection.Choice | outcomes.NotRun | None:
        """Return None if all of the upstreams were tried or are paused."""
        tried = {attempt.upstream for attempt in routed.past_attempts}
        choice = self._selector.choose(
            [
                upstream
                for upstream in self._known_state.notices.unpaused(
                    upstreams, now
                )
                if upstream.upstream_id not in tried
            ],
            now,
            other_zone_penalty=self._zone_penalty(routed.route),
        )
        return None if choice is None else self._admit(routed, choice, now)

    def _leaving_but_serving(
        self, pool: ids.PoolName, now: timedelta
    ) -> list[registry.Upstream]:
        """Return the upstreams that leave, but may still get requests.

        One whose entry is missing without an announcement has probably
        crashed.
        """
        return [
            upstream
            for upstream in self._known_state.registry.in_pool(pool)
            if self._is_leaving(upstream)
            and not self._has_departed(upstream, now)
        ]

    def _is_leaving(self, upstream: registry.Upstream) -> bool:
        return upstream.draining or self._known_state.notices.is_leaving(
            upstream
        )

    def _has_departed(
        self, upstream: registry.Upstream, now: timedelta
    ) -> bool:
        """Return whether an upstream left too long ago for a request."""
        since = self._known_state.registry.registered_departure(
            upstream.upstream_id, now
        )
        if since is not None and now - since > upstream_notices.REGISTRY_GRACE:
            return True
        return self._known_state.notices.has_left(upstream, now)

    def _admit(
        self, routed: RoutedRequest, choice: selection.Choice, now: timedelta
    ) -> selection.Choice | outcomes.NotRun:
        """Refuse a request that the upstream cannot complete in time."""
        age = choice.report_age
        routed.choice_inputs = (
            f'load {choice.load:.1f}, expected '
            f'{choice.expected.total_seconds():.3f} s, report '
            f'{"none" if age is None else f"{age.total_seconds():.2f} s"} old'
        )
        if choice.expected <= self._time_limit(routed, choice, now):
            return choice
        return outcomes.NotRun(
            reason=outcomes.Reason.CANNOT_MEET_DEADLINE,
            detail=routed.choice_inputs,
            retry_after=BUSY_RETRY_AFTER,
        )

    def _time_limit(
        self, routed: RoutedRequest, choice: selection.Choice, now: timedelta
    ) -> timedelta:
        """Return how long the request may take from now.

        Under overload, longer queues do not raise the throughput. A request
        that is not urgent is therefore queued only if it can still meet its
        latency target. If it has missed the target already, it may take its
        full share of the remaining time. On a slow upstream it may take the
        time that it needs there without queueing.
        """
        rank = min(routed.route.priority, len(DEADLINE_SHARE) - 1)
        time_limit = (routed.deadline - now) * DEADLINE_SHARE[rank]
        target_left = routed.route.target - (now - routed.arrived)
        if rank == 0 or target_left <= timedelta():
            return time_limit
        unqueued = (
            self._selector.service_time(choice.upstream) * UNQUEUED_FACTOR
        )
        return min(time_limit, max(target_left, unqueued))

    def _zone_penalty(self, route: routes.Route) -> timedelta:
        if route.kind is routes.RouteKind.DOWNLOAD:
            return DOWNLOAD_PENALTY
        return selection.ZONE_PENALTY

    async def _wait_for_owner(
        self, routed: RoutedRequest, key: int
    ) -> registry.Upstream | None:
        """Return the key's owner; waits briefly while the key has none.

        It does not wait longer than an owner could still serve in time.
        """
        latest_start = routed.deadline - self._selector.pool_service_time(
            routed.pool.name
        )
        give_up_at = min(self._clock.elapsed() + OWNER_WAIT, latest_start)
        while True:
            found = self._current_owner(routed, key)
            if found is not None or self._clock.elapsed() >= give_up_at:
                return found
            if routed.call.conn.peer_closed():
                return None
            await aio.sleep(OWNER_CHECK_INTERVAL)

    def _current_owner(
        self, routed: RoutedRequest, key: int
    ) -> registry.Upstream | None:
        keys = self._known_state.maps.get(routed.pool.name)
        if keys is None or keys.version <= routed.refused_map_version:
            return None
        owner = keys.find(key).owner
        now = self._clock.elapsed()
        if owner is None or self._known_state.is_moving(
            routed.pool.name, key, now
        ):
            return None
        known = self._known_state.registry.get(owner.upstream_id)
        if known is None or known.incarnation != owner.incarnation:
            return None
        return None if self._has_departed(known, now) else known

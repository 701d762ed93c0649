"""Choice of the upstream for an attempt, or the reason to refuse.

A keyed request goes to the owner of its key, any other to the upstream
with the least expected time. Work that cannot be done in time is refused
before it is sent.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import ids
from goldcresthaven import known_state as known_state_module
from goldcresthaven import outcomes
from goldcresthaven import registry
from goldcresthaven import retries
from goldcresthaven import routes
from goldcresthaven import selection
from goldcresthaven import upstream_exchange

# A key without an owner is usually served again within a release's time.
OWNER_WAIT = timedelta(milliseconds=350)
OWNER_CHECK = timedelta(milliseconds=15)
# A keyed request still goes to an owner that drains for this long.
DRAIN_USE = timedelta(milliseconds=1200)
# Share of the remaining time within which an upstream has to be able to
# answer, by priority; less urgent work is refused earlier.
PATIENCE = (1.0, 0.85, 0.7)
# An upstream without a queue is tried even if it misses the target.
ALONE_FACTOR = 1.3
NO_OWNER_RETRY = timedelta(milliseconds=500)
BUSY_RETRY = timedelta(milliseconds=300)
# A download's bytes between zones cost as much as this much latency.
DOWNLOAD_PENALTY = timedelta(milliseconds=60)


@dataclass(kw_only=True)
class Work:
    """One request on its way through the router.

    ``refused_map`` is the key map by which an upstream refused the key, and
    ``inputs`` says for the log what the last choice rested on.
    """

    call: upstream_exchange.Call
    route: routes.Route
    pool: routes.Pool
    deadline: timedelta
    arrived: timedelta
    config_version: ids.ConfigVersion
    made: list[retries.Attempt] = field(default_factory=list)
    refused_map: int = 0
    inputs: str = ''

    @property
    def keyed(self) -> bool:
        """Whether only the owner of a key can do this work."""
        return self.pool.keyed and self.call.meta.key is not None


class UpstreamChooser:
    """Chooses by what this process believes of its surroundings."""

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

    async def choose(self, work: Work) -> selection.Choice | outcomes.NotRun:
        now = self._clock.elapsed()
        if work.call.meta.key is not None and work.keyed:
            found = await self._owner(work, work.call.meta.key)
            now = self._clock.elapsed()
            choice = (
                None if found is None else self._selector.estimate(found, now)
            )
            reason = outcomes.Reason.NO_OWNER
        else:
            tried = {attempt.upstream for attempt in work.made}
            usable = self._known_state.registry.usable(work.pool.name, now)
            choice = self._selector.choose(
                [u for u in usable if u.upstream_id not in tried],
                now,
                away_penalty=self._penalty(work.route),
            )
            reason = outcomes.Reason.NO_UPSTREAM
        if choice is None:
            return outcomes.NotRun(
                reason=reason,
                detail=f'map {self.map_version(work.pool.name)}, registry '
                f'{self._known_state.registry.version}',
                retry_after=NO_OWNER_RETRY,
            )
        return self._admit(work, choice, now)

    def _admit(
        self, work: Work, choice: selection.Choice, now: timedelta
    ) -> selection.Choice | outcomes.NotRun:
        """Refuse work that the chosen upstream cannot do in time."""
        age = choice.report_age
        work.inputs = (
            f'load {choice.load:.1f}, expected '
            f'{choice.expected.total_seconds():.3f} s, report '
            f'{"none" if age is None else f"{age.total_seconds():.2f} s"} old'
        )
        if choice.expected <= self._patience(work, choice, now):
            return choice
        return outcomes.NotRun(
            reason=outcomes.Reason.CANNOT_MEET_DEADLINE,
            detail=work.inputs,
            retry_after=BUSY_RETRY,
        )

    def _patience(
        self, work: Work, choice: selection.Choice, now: timedelta
    ) -> timedelta:
        """Return how long the request may take from now.

        Under overload the throughput is the same whether queues are long
        or short, so work that is not urgent queues only as far as it can
        still meet its target. What has missed it already, or meets a slow
        upstream, may take what is left.
        """
        rank = min(work.route.priority, len(PATIENCE) - 1)
        patience = (work.deadline - now) * PATIENCE[rank]
        aim = work.route.target - (now - work.arrived)
        if rank == 0 or aim <= timedelta():
            return patience
        alone = self._selector.service(choice.upstream) * ALONE_FACTOR
        return min(patience, max(aim, alone))

    def _penalty(self, route: routes.Route) -> timedelta:
        if route.kind is routes.RouteKind.DOWNLOAD:
            return DOWNLOAD_PENALTY
        return selection.ZONE_PENALTY

    async def _owner(self, work: Work, key: int) -> registry.Upstream | None:
        """Return the key's owner; waits shortly while it has none."""
        stop = min(self._clock.elapsed() + OWNER_WAIT, work.deadline)
        while True:
            found = self._owner_now(work, key)
            if found is not None or self._clock.elapsed() >= stop:
                return found
            if work.call.conn.peer_closed():
                return None
            await aio.sleep(OWNER_CHECK)

    def _owner_now(self, work: Work, key: int) -> registry.Upstream | None:
        keys = self._known_state.maps.get(work.pool.name)
        if keys is None or keys.version <= work.refused_map:
            return None
        owner = keys.find(key).owner
        now = self._clock.elapsed()
        if owner is None or self._known_state.is_moving(
            work.pool.name, key, now
        ):
            return None
        known = self._known_state.registry.get(owner.upstream_id)
        if known is None or known.incarnation != owner.incarnation:
            return None
        left = self._known_state.registry.departure(owner.upstream_id, now)
        if left is not None and now - left > DRAIN_USE:
            return None
        return known

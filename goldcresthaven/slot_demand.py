"""Distributes an entry process's demand for slots over upstreams.

Each queued request counts towards the demand at one upstream, so the sum
over the upstreams of a group is the length of the group's queue. The first
slot that is granted serves the oldest request, whichever upstream that
request was counted at.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random

from goldcresthaven import admission
from goldcresthaven import balancing
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import slots

NO_SLACK = timedelta()
STALLED_AFTER = timedelta(milliseconds=200)  # without a new slot
STALLED_SCORE = 1000.0  # exceeds any queue, so that others are chosen


@dataclass(kw_only=True, slots=True)
class UpstreamDemand:
    """This entry's state of one upstream.

    ``demand`` counts this entry's queued requests by rank level,
    ``reported_demand`` is the demand in the latest report to the slot
    manager, and ``elsewhere`` counts the requests queued at other entries.
    ``unmet_since`` is when demand arose or a slot was last granted.
    """

    name: ids.UpstreamId
    group: 'UpstreamGroup'
    health: health.Health
    running: int = 0
    demand: list[int] = field(
        default_factory=lambda: [0] * admission.RANK_COUNT
    )
    reported_demand: list[int] = field(
        default_factory=lambda: [0] * admission.RANK_COUNT
    )
    elsewhere: list[int] = field(
        default_factory=lambda: [0] * admission.RANK_COUNT
    )
    reported_load: float = 0.0
    unmet_since: timedelta | None = None
    stalled: bool = False


class UpstreamGroup:
    """A queue and the upstreams that serve it.

    A keyed pool has one group for each owner, any other pool has one group.
    ``idle`` names the upstreams with idle slots; it is a dict to keep their
    order. ``shares`` is used while the slot manager is unavailable.
    """

    def __init__(self, *, pool: presets.Pool, preset: presets.Preset) -> None:
        self.pool = pool
        self.queue = admission.RequestQueue(preset=preset, slots=0)
        self.upstreams: dict[ids.UpstreamId, UpstreamDemand] = {}
        self.idle: dict[ids.UpstreamId, None] = {}
        self.usable: list[ids.UpstreamId] = []
        self.shares = admission.Shares(
            floors=[preset.rank(r).floor for r in outcomes.RANKS], slots=1
        )
        self.elsewhere = [0] * admission.RANK_COUNT

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply another preset to waiting and to new requests."""
        self.queue.set_preset(preset)
        self.shares.set_floors(
            [preset.rank(r).floor for r in outcomes.RANKS], slots=1
        )


class Demand:
    """Tracks the demand by upstream and which upstreams may be used."""

    def __init__(
        self, *, entry_slots: slots.EntrySlots, rng: random.Random
    ) -> None:
        self._slots = entry_slots
        self._rng = rng

    def update_backlog(
        self, state: UpstreamDemand, queued: Sequence[int]
    ) -> None:
        group = state.group
        for level in range(admission.RANK_COUNT):
            others = max(queued[level] - state.reported_demand[level], 0)
            group.elsewhere[level] += others - state.elsewhere[level]
            state.elsewhere[level] = others
        group.queue.set_elsewhere(group.elsewhere)

    def build_want(self, now: timedelta, state: UpstreamDemand) -> slots.Want:
        # No demand is reported while the upstream accepts no requests. A slot
        # that cannot be used would be returned at once and then be granted
        # again, in an endless exchange of messages.
        state.reported_demand = [0] * admission.RANK_COUNT
        if self.accepts(now, state):
            state.reported_demand = list(state.demand)
        slack: list[timedelta] = []
        for queue in state.group.queue.ranks:
            earliest = queue.earliest_deadline()
            slack.append(NO_SLACK if earliest is None else earliest - now)
        return slots.Want(
            upstream=state.name,
            queued=tuple(state.reported_demand),
            slack=tuple(slack),
        )

    def add(self, now: timedelta, group: UpstreamGroup, level: int) -> bool:
        """Count one more queued request towards one upstream's demand.

        Returns whether its manager must get a demand at once.
        """
        name = self.choose(now, group, group.usable)
        if name is None:
            name = next(iter(group.upstreams))
        state = group.upstreams[name]
        state.demand[level] += 1
        if state.unmet_since is None:
            state.unmet_since = now
        session = self._slots.session_of(name)
        if session is None:
            return False
        session.dirty.add(name)
        session.wanted.add(name)
        if state.demand[level] == 1:
            session.urgent = True
            return True
        return False

    def remove(
        self,
        group: UpstreamGroup,
        level: int,
        state: UpstreamDemand | None = None,
    ) -> None:
        """Remove one queued request from the demand.

        It is removed from ``state`` if that has demand of this level, else
        from the upstream with the highest demand.
        """
        if state is None or not state.demand[level]:
            state = max(
                group.upstreams.values(), key=lambda other: other.demand[level]
            )
        if not state.demand[level]:
            return
        state.demand[level] -= 1
        session = self._slots.session_of(state.name)
        if session is not None:
            session.dirty.add(state.name)
            if not any(state.demand):
                session.wanted.discard(state.name)
                state.unmet_since = None

    def refresh(self, now: timedelta, group: UpstreamGroup) -> None:
        """Update the usable upstreams; move demand away from the others."""
        group.usable = [
            name
            for name, state in group.upstreams.items()
            if self.accepts(now, state)
        ]
        for state in group.upstreams.values():
            if state.demand != state.reported_demand:
                self._mark_changed(state)
        usable = max(len(group.usable), 1)
        group.queue.slots = usable * group.pool.slots
        if not group.usable:
            return
        for name, state in group.upstreams.items():
            if any(state.demand) and name not in group.usable:
                self._move_demand(now, group, state, admission.RANK_COUNT)
            elif state.demand[0] and self._stalled(now, group, state):
                self._move_demand(now, group, state, 1)

    def _mark_changed(self, state: UpstreamDemand) -> None:
        session = self._slots.session_of(state.name)
        if session is not None:
            session.dirty.add(state.name)

    def _stalled(
        self, now: timedelta, group: UpstreamGroup, state: UpstreamDemand
    ) -> bool:
        """Return whether to request slots of other upstreams instead.

        Also marks the upstream as stalled. The slots of a frozen upstream
        are not released, so requests that waited only for them would exceed
        their deadlines.
        """
        since = state.unmet_since
        if len(group.usable) < 2 or since is None:
            return False
        if now - since < STALLED_AFTER:
            return False
        state.stalled = True
        return True

    def _move_demand(
        self,
        now: timedelta,
        group: UpstreamGroup,
        state: UpstreamDemand,
        levels: int,
    ) -> None:
        """Move the demand of the most urgent ``levels`` to others."""
        session = self._slots.session_of(state.name)
        for level in range(levels):
            count = state.demand[level]
            state.demand[level] = 0
            for _ in range(count):
                self.add(now, group, level)
        if session is not None:
            session.dirty.add(state.name)
            if not any(state.demand):
                session.wanted.discard(state.name)

    def choose(
        self,
        now: timedelta,
        group: UpstreamGroup,
        names: Sequence[ids.UpstreamId],
    ) -> ids.UpstreamId | None:
        upstreams = group.upstreams

        def score(name: ids.UpstreamId) -> float:
            state = upstreams[name]
            load = float(
                sum(state.demand) + sum(state.elsewhere) + state.running
            )
            if state.stalled:
                load += STALLED_SCORE
            return (load + 1) / state.health.weight(now)

        def reported(name: ids.UpstreamId) -> float:
            return upstreams[name].reported_load

        return balancing.choose(self._rng, names, score, reported)

    def accepts(self, now: timedelta, state: UpstreamDemand) -> bool:
        if state.group.pool.keyed:
            return state.health.accepts_keyed(now)
        return state.health.accepts(now)

"""How an entry process spreads its demand for slots over upstreams.

Each queued request counts towards the demand at one upstream, so that the
sum over the upstreams of a line is the length of its queue. Whichever slot
arrives first serves the oldest request, wherever it was counted.
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
STALLED_AFTER = timedelta(milliseconds=200)  # without a slot
STALLED_SCORE = 1000.0  # more than any queue, so that others are chosen


@dataclass(kw_only=True, slots=True)
class Upstream:
    """One upstream as this entry sees it; lists are by rank level."""

    name: ids.UpstreamId
    line: 'Line'
    health: health.Health
    running: int = 0
    want: list[int] = field(default_factory=lambda: [0] * admission.RANK_COUNT)
    told: list[int] = field(default_factory=lambda: [0] * admission.RANK_COUNT)
    elsewhere: list[int] = field(
        default_factory=lambda: [0] * admission.RANK_COUNT
    )
    reported_load: float = 0.0
    unmet_since: timedelta | None = None
    stalled: bool = False


class Line:
    """A queue and the upstreams that serve it.

    A keyed pool has one line for each owner, any other pool has one.
    """

    def __init__(self, *, pool: presets.Pool, preset: presets.Preset) -> None:
        self.pool = pool
        self.queue = admission.RequestQueue(preset=preset, slots=0)
        self.upstreams: dict[ids.UpstreamId, Upstream] = {}
        self.idle: dict[ids.UpstreamId, None] = {}
        self.usable: list[ids.UpstreamId] = []
        self.shares = admission.Shares(
            floors=[preset.rank(r).floor for r in outcomes.RANKS], slots=1
        )
        self.elsewhere = [0] * admission.RANK_COUNT

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply another preset to requests that wait or arrive later."""
        self.queue.set_preset(preset)
        self.shares.set_floors(
            [preset.rank(r).floor for r in outcomes.RANKS], slots=1
        )


class Demand:
    """Demand by upstream, and which upstreams may be used."""

    def __init__(
        self, *, entry_slots: slots.EntrySlots, rng: random.Random
    ) -> None:
        self._slots = entry_slots
        self._rng = rng

    def note_backlog(self, one: Upstream, queued: Sequence[int]) -> None:
        line = one.line
        for level in range(admission.RANK_COUNT):
            others = max(queued[level] - one.told[level], 0)
            line.elsewhere[level] += others - one.elsewhere[level]
            one.elsewhere[level] = others
        line.queue.set_elsewhere(line.elsewhere)

    def report(self, now: timedelta, one: Upstream) -> slots.Want:
        # A slot that cannot be used now would come back at once and be
        # granted again, in an endless exchange of messages.
        one.told = [0] * admission.RANK_COUNT
        if self.accepts(now, one):
            one.told = list(one.want)
        slack: list[timedelta] = []
        for queue in one.line.queue.ranks:
            earliest = queue.earliest()
            slack.append(NO_SLACK if earliest is None else earliest - now)
        return slots.Want(
            upstream=one.name, queued=tuple(one.told), slack=tuple(slack)
        )

    def add(self, now: timedelta, line: Line, level: int) -> bool:
        """Count one more queued request towards one upstream's demand.

        Returns whether its manager has to be told at once.
        """
        name = self.choose(now, line, line.usable)
        if name is None:
            name = next(iter(line.upstreams))
        one = line.upstreams[name]
        one.want[level] += 1
        if one.unmet_since is None:
            one.unmet_since = now
        session = self._slots.session_of(name)
        if session is None:
            return False
        session.dirty.add(name)
        session.wanted.add(name)
        if one.want[level] == 1:
            session.urgent = True
            return True
        return False

    def drop(
        self, line: Line, level: int, one: Upstream | None = None
    ) -> None:
        """Count one queued request less, at ``one`` if it has any."""
        if one is None or not one.want[level]:
            one = max(
                line.upstreams.values(), key=lambda other: other.want[level]
            )
        if not one.want[level]:
            return
        one.want[level] -= 1
        session = self._slots.session_of(one.name)
        if session is not None:
            session.dirty.add(one.name)
            if not any(one.want):
                session.wanted.discard(one.name)
                one.unmet_since = None

    def refresh(self, now: timedelta, line: Line) -> None:
        """Recompute which upstreams are usable; move demand off others."""
        line.usable = [
            name
            for name, one in line.upstreams.items()
            if self.accepts(now, one)
        ]
        for one in line.upstreams.values():
            if one.want != one.told:
                self._mark_changed(one)
        usable = max(len(line.usable), 1)
        line.queue.slots = usable * line.pool.slots
        if not line.usable:
            return
        for name, one in line.upstreams.items():
            if any(one.want) and name not in line.usable:
                self._move_want(now, line, one, admission.RANK_COUNT)
            elif one.want[0] and self._stalled(now, line, one):
                self._move_want(now, line, one, 1)

    def _mark_changed(self, one: Upstream) -> None:
        session = self._slots.session_of(one.name)
        if session is not None:
            session.dirty.add(one.name)

    def _stalled(self, now: timedelta, line: Line, one: Upstream) -> bool:
        """Return whether others should be asked instead.

        The slots of a frozen upstream do not come back, and an entry that
        asked only there would wait in vain.
        """
        since = one.unmet_since
        if len(line.usable) < 2 or since is None:
            return False
        if now - since < STALLED_AFTER:
            return False
        one.stalled = True
        return True

    def _move_want(
        self, now: timedelta, line: Line, one: Upstream, levels: int
    ) -> None:
        """Ask others for the work of the most urgent ``levels``."""
        session = self._slots.session_of(one.name)
        for level in range(levels):
            count = one.want[level]
            one.want[level] = 0
            for _ in range(count):
                self.add(now, line, level)
        if session is not None:
            session.dirty.add(one.name)
            if not any(one.want):
                session.wanted.discard(one.name)

    def choose(
        self, now: timedelta, line: Line, names: Sequence[ids.UpstreamId]
    ) -> ids.UpstreamId | None:
        upstreams = line.upstreams

        def score(name: ids.UpstreamId) -> float:
            one = upstreams[name]
            load = float(sum(one.want) + sum(one.elsewhere) + one.running)
            if one.stalled:
                load += STALLED_SCORE
            return (load + 1) / one.health.weight(now)

        def reported(name: ids.UpstreamId) -> float:
            return upstreams[name].reported_load

        return balancing.choose(self._rng, names, score, reported)

    def accepts(self, now: timedelta, one: Upstream) -> bool:
        if one.line.pool.keyed:
            return one.health.accepts_owned(now)
        return one.health.accepts(now)

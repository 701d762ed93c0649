"""Plans which keys move to which upstream.

Requests for keys that move wait until the release has ended, and moves have
a cost. Therefore keys move only away from upstreams that leave, to upstreams
without keys, and away from overloaded upstreams. Busy keys are often close
together, so the load is counted for each key and a range may be split
anywhere.
"""

from array import array
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import itertools
import math

from goldcresthaven import key_map

# With fewer requests than this, a sample says little about the load by key.
MIN_SAMPLE = 60.0
# Keys move away from an upstream whose load exceeds the mean by the first
# ratio, until it is down to the second one. The gap between the two covers
# the noise of a sample.
OVERLOAD_RATIO = 1.3
REBALANCED_RATIO = 1.05
MAX_REBALANCE_MOVES = 4  # moves in one plan that only balance load
MAX_RANGES_PER_DONOR = 3  # from one upstream to another in one plan
# Another range is not worth a move if less than this share of the wanted
# load is left.
MIN_RANGE_SHARE = 0.15
# The load of a split-off range may exceed the wanted load by this factor, so
# that a busy key still fits.
MAX_OVERSHOOT = 1.3


class KeyLoad:
    """Request counts by key; ``decay`` reduces the weight of older ones."""

    def __init__(self) -> None:
        self._counts = array('d', bytes(8 * key_map.KEY_COUNT))
        self.total = 0.0

    def count(self, key: int, weight: float = 1.0) -> None:
        self._counts[key] += weight
        self.total += weight

    def decay(self, factor: float) -> None:
        self._counts = array('d', (c * factor for c in self._counts))
        self.total *= factor

    def sums(self) -> list[float]:
        """Return the cumulative load of all keys below each key.

        The loads are shares of 1. A small sample is padded as if all keys
        were equally busy.
        """
        floor = max(1.0, MIN_SAMPLE - self.total) / key_map.KEY_COUNT
        padded_total = self.total + floor * key_map.KEY_COUNT
        shares = ((count + floor) / padded_total for count in self._counts)
        return list(itertools.accumulate(shares, initial=0.0))


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An upstream that may own keys, with its relative capacity."""

    owner: key_map.Owner
    capacity: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """The reassignment of a range, or a part of one, to an upstream."""

    source: key_map.KeyRange
    target: key_map.Owner


@dataclass(kw_only=True)
class _PlanState:
    """Loads and ranges of the candidates while a plan is computed.

    ``sums`` are the cumulative loads that ``KeyLoad.sums`` returns.
    """

    sums: list[float]
    capacity: dict[key_map.Owner, float]
    load: dict[key_map.Owner, float] = field(default_factory=dict)
    ranges: dict[key_map.Owner, list[key_map.KeyRange]] = field(
        default_factory=dict
    )

    def range_load(self, first: int, last: int) -> float:
        return self.sums[last + 1] - self.sums[first]

    def relative_load(self, owner: key_map.Owner) -> float:
        return self.load[owner] / self.capacity[owner]

    def least_loaded(self) -> key_map.Owner:
        return min(self.load, key=lambda o: (self.relative_load(o), str(o)))

    def most_loaded(self, among: Iterable[key_map.Owner]) -> key_map.Owner:
        return max(among, key=lambda o: (self.relative_load(o), str(o)))

    def mean_load(self) -> float:
        return sum(self.load.values()) / sum(self.capacity.values())

    def assign(self, piece: key_map.KeyRange, target: key_map.Owner) -> Move:
        self.load[target] += self.range_load(piece.first, piece.last)
        return Move(source=piece, target=target)

    def split_off(
        self, donor: key_map.Owner, wanted: float
    ) -> list[key_map.KeyRange]:
        """Take ranges with a total load of about ``wanted`` from a donor."""
        pieces: list[key_map.KeyRange] = []
        enough = wanted * MIN_RANGE_SHARE
        while wanted > enough and len(pieces) < MAX_RANGES_PER_DONOR:
            cuts = [
                cut
                for held in self.ranges[donor]
                for cut in _cuts(held, wanted, self)
            ]
            if not cuts:
                break
            piece = max(cuts, key=self._density)
            pieces.append(piece)
            self.ranges[donor] = [
                part
                for held in self.ranges[donor]
                for part in key_map.remainders(held, [piece])
            ]
            gained = self.range_load(piece.first, piece.last)
            self.load[donor] -= gained
            wanted -= gained
        return pieces

    def _density(self, piece: key_map.KeyRange) -> float:
        """Return a score that prefers a high load on few keys."""
        load = self.range_load(piece.first, piece.last)
        return load / math.sqrt(piece.size)


def plan(
    current: key_map.KeyMap,
    candidates: Sequence[Candidate],
    load: KeyLoad,
    *,
    fixed: Sequence[key_map.KeyRange] = (),
    rebalance: bool,
) -> list[Move]:
    """Return the moves after which a candidate owns every key.

    ``fixed`` ranges are moving already and are not planned again.
    ``rebalance`` also moves keys away from upstreams whose load is far above
    the mean.
    """
    if not candidates:
        return []
    plan_state = _initial_state(current, candidates, load, fixed)
    orphans = [
        part
        for held in current.ranges
        if held.owner not in plan_state.capacity
        for part in key_map.remainders(held, fixed)
    ]
    if len(orphans) == len(current.ranges):
        return _first_assignment(current, candidates)
    moves = [
        plan_state.assign(piece, plan_state.least_loaded())
        for orphan in orphans
        for piece in _split_orphan(orphan, plan_state)
    ]
    moves += _assign_to_empty(plan_state)
    if not moves and rebalance and load.total >= MIN_SAMPLE:
        moves = _rebalance(plan_state)
    return moves


def _initial_state(
    current: key_map.KeyMap,
    candidates: Sequence[Candidate],
    load: KeyLoad,
    fixed: Sequence[key_map.KeyRange],
) -> _PlanState:
    plan_state = _PlanState(
        sums=load.sums(), capacity={c.owner: c.capacity for c in candidates}
    )
    plan_state.load = {owner: 0.0 for owner in plan_state.capacity}
    plan_state.ranges = {owner: [] for owner in plan_state.capacity}
    for held in current.ranges:
        if held.owner in plan_state.load:
            plan_state.load[held.owner] += plan_state.range_load(
                held.first, held.last
            )
            plan_state.ranges[held.owner] += key_map.remainders(held, fixed)
    return plan_state


def _first_assignment(
    current: key_map.KeyMap, candidates: Sequence[Candidate]
) -> list[Move]:
    """Divide all keys in proportion to capacity.

    It is used when none of the previous owners is a candidate.
    """
    total_capacity = sum(c.capacity for c in candidates)
    moves = []
    assigned_capacity = 0.0
    first = key_map.FIRST_KEY
    for candidate in sorted(candidates, key=lambda c: str(c.owner)):
        assigned_capacity += candidate.capacity
        last = (
            round(assigned_capacity / total_capacity * key_map.KEY_COUNT) - 1
        )
        moves += [
            Move(
                source=held.subrange(
                    max(held.first, first), min(held.last, last)
                ),
                target=candidate.owner,
            )
            for held in current.ranges
            if held.first <= last and held.last >= first
        ]
        first = last + 1
    return moves


def _split_orphan(
    orphan: key_map.KeyRange, plan_state: _PlanState
) -> list[key_map.KeyRange]:
    """Split a range so that no receiver gets far above the mean load."""
    share = plan_state.range_load(orphan.first, orphan.last)
    fair = 1.0 / len(plan_state.capacity)
    count = min(orphan.size, max(1, math.ceil(share / fair * 2)))
    edges = [
        orphan.first + orphan.size * part // count for part in range(count + 1)
    ]
    return [
        orphan.subrange(first, after - 1)
        for first, after in zip(edges, edges[1:])
    ]


def _assign_to_empty(plan_state: _PlanState) -> list[Move]:
    """Give each upstream without load keys of the most loaded one."""
    moves: list[Move] = []
    empty_owners = sorted(
        (o for o, v in plan_state.load.items() if not v), key=str
    )
    for empty in empty_owners:
        donors = [o for o, held in plan_state.ranges.items() if held]
        if not donors:
            break
        donor = plan_state.most_loaded(donors)
        capacity = plan_state.capacity[empty] + plan_state.capacity[donor]
        wanted = plan_state.load[donor] * plan_state.capacity[empty] / capacity
        for piece in plan_state.split_off(donor, wanted):
            moves.append(plan_state.assign(piece, empty))
    return moves


def _rebalance(plan_state: _PlanState) -> list[Move]:
    moves: list[Move] = []
    mean = plan_state.mean_load()
    while len(moves) < MAX_REBALANCE_MOVES:
        top = plan_state.most_loaded(plan_state.load)
        least = plan_state.least_loaded()
        if plan_state.relative_load(top) < OVERLOAD_RATIO * mean:
            break
        excess = plan_state.relative_load(top) - REBALANCED_RATIO * mean
        spare = REBALANCED_RATIO * mean - plan_state.relative_load(least)
        wanted = min(
            excess * plan_state.capacity[top],
            spare * plan_state.capacity[least],
        )
        pieces = plan_state.split_off(top, wanted) if wanted > 0 else []
        if not pieces:
            break
        moves += [plan_state.assign(piece, least) for piece in pieces]
    return moves


def _cuts(
    held: key_map.KeyRange, wanted: float, plan_state: _PlanState
) -> list[key_map.KeyRange]:
    """Return the parts at both ends of a range with about the wanted load.

    Returns the whole range if its load does not exceed the wanted load by
    more than ``MAX_OVERSHOOT``.
    """
    held_load = plan_state.range_load(held.first, held.last)
    if held_load <= wanted * MAX_OVERSHOOT:
        return [held]
    cuts = []
    end = _cut_end(held, wanted, plan_state)
    if end >= held.first:
        cuts.append(held.subrange(held.first, end))
    start = _cut_start(held, wanted, plan_state)
    if start <= held.last:
        cuts.append(held.subrange(start, held.last))
    return cuts


def _cut_end(
    held: key_map.KeyRange, wanted: float, plan_state: _PlanState
) -> int:
    """Return the last key of a split at the start of the range."""
    limit = plan_state.sums[held.first] + wanted * MAX_OVERSHOOT
    low, high = held.first - 1, held.last - 1
    while low < high:
        middle = (low + high + 1) // 2
        if plan_state.sums[middle + 1] <= limit:
            low = middle
        else:
            high = middle - 1
    return low


def _cut_start(
    held: key_map.KeyRange, wanted: float, plan_state: _PlanState
) -> int:
    """Return the first key of a split at the end of the range."""
    limit = plan_state.sums[held.last + 1] - wanted * MAX_OVERSHOOT
    low, high = held.first + 1, held.last + 1
    while low < high:
        middle = (low + high) // 2
        if plan_state.sums[middle] >= limit:
            high = middle
        else:
            low = middle + 1
    return low

"""Decides which keys move to which upstream.

A move costs availability and is priced, so keys move only off upstreams
that leave, to upstreams that have none, and off one that is overloaded.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from goldcresthaven import key_map

BUCKETS = 1024
BUCKET_KEYS = key_map.KEY_COUNT // BUCKETS
# Requests below which a sample says little about the load by key.
MIN_SAMPLE = 60.0
# An upstream is relieved when its load is this much above the mean, and a
# neighbour can take the excess.
OVERLOAD_RATIO = 1.6
RELIEF_RATIO = 1.15


class KeyLoad:
    """Requests by bucket of keys, halved every ``decay`` call."""

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKETS
        self.total = 0.0

    def count(self, key: int) -> None:
        self._counts[key // BUCKET_KEYS] += 1.0
        self.total += 1.0

    def decay(self, factor: float) -> None:
        self._counts = [count * factor for count in self._counts]
        self.total *= factor

    def weights(self) -> list[float]:
        """Return the share of each bucket; uniform for a small sample."""
        floor = max(1.0, MIN_SAMPLE - self.total) / BUCKETS
        raw = [count + floor for count in self._counts]
        whole = sum(raw)
        return [value / whole for value in raw]


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An upstream that may own keys; ``capacity`` is relative."""

    owner: key_map.Owner
    capacity: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Keys of one range that go to another upstream."""

    source: key_map.KeyRange
    target: key_map.Owner


@dataclass(kw_only=True)
class _Books:
    """Loads while a plan is made, relative to capacity."""

    weights: list[float]
    capacity: dict[key_map.Owner, float]
    load: dict[key_map.Owner, float] = field(default_factory=dict)

    def range_load(self, first: int, last: int) -> float:
        low = first // BUCKET_KEYS
        high = last // BUCKET_KEYS
        if low == high:
            return self.weights[low] * (last - first + 1) / BUCKET_KEYS
        head = (low + 1) * BUCKET_KEYS - first
        tail = last - high * BUCKET_KEYS + 1
        return (
            self.weights[low] * head / BUCKET_KEYS
            + sum(self.weights[low + 1 : high])
            + self.weights[high] * tail / BUCKET_KEYS
        )

    def relative(self, owner: key_map.Owner) -> float:
        return self.load[owner] / self.capacity[owner]

    def least(self) -> key_map.Owner:
        return min(self.load, key=lambda o: (self.relative(o), str(o)))


def plan(
    current: key_map.KeyMap,
    candidates: Sequence[Candidate],
    load: KeyLoad,
    *,
    relieve: bool,
) -> list[Move]:
    """Return the moves that give every key a candidate as its owner.

    ``relieve`` also moves keys off the most loaded upstream if it is far
    above the mean.
    """
    if not candidates:
        return []
    books = _books(current, candidates, load)
    orphans = [r for r in current.ranges if r.owner not in books.capacity]
    if len(orphans) == len(current.ranges):
        return _first_assignment(current, candidates, books)
    moves = [
        _give(piece, books.least(), books)
        for orphan in orphans
        for piece in _pieces(orphan, books)
    ]
    if not moves:
        moves = _fill_empty(current, books)
    if not moves and relieve and load.total >= MIN_SAMPLE:
        moves = _relieve(current, books)
    return moves


def _books(
    current: key_map.KeyMap, candidates: Sequence[Candidate], load: KeyLoad
) -> _Books:
    books = _Books(
        weights=load.weights(),
        capacity={c.owner: c.capacity for c in candidates},
    )
    books.load = {owner: 0.0 for owner in books.capacity}
    for key_range in current.ranges:
        if key_range.owner in books.load:
            books.load[key_range.owner] += books.range_load(
                key_range.first, key_range.last
            )
    return books


def _first_assignment(
    current: key_map.KeyMap,
    candidates: Sequence[Candidate],
    books: _Books,
) -> list[Move]:
    """Divide all keys evenly by capacity; earlier owners are all gone."""
    whole = sum(c.capacity for c in candidates)
    moves = []
    passed = 0.0
    first = key_map.FIRST_KEY
    for candidate in sorted(candidates, key=lambda c: str(c.owner)):
        passed += candidate.capacity
        last = round(passed / whole * key_map.KEY_COUNT) - 1
        moves += [
            Move(source=part, target=candidate.owner)
            for part in _cut(current, first, last)
        ]
        first = last + 1
    return moves


def _cut(
    current: key_map.KeyMap, first: int, last: int
) -> list[key_map.KeyRange]:
    return [
        r.piece(max(r.first, first), min(r.last, last))
        for r in current.ranges
        if r.first <= last and r.last >= first
    ]


def _pieces(
    orphan: key_map.KeyRange, books: _Books
) -> list[key_map.KeyRange]:
    """Split a range so that no receiver gets much above the mean."""
    share = books.range_load(orphan.first, orphan.last)
    fair = 1.0 / len(books.capacity)
    count = min(orphan.size, max(1, math.ceil(share / fair * 2)))
    edges = [
        orphan.first + orphan.size * part // count for part in range(count + 1)
    ]
    return [
        orphan.piece(first, after - 1)
        for first, after in zip(edges, edges[1:])
    ]


def _give(
    piece: key_map.KeyRange, target: key_map.Owner, books: _Books
) -> Move:
    books.load[target] += books.range_load(piece.first, piece.last)
    return Move(source=piece, target=target)


def _fill_empty(current: key_map.KeyMap, books: _Books) -> list[Move]:
    """Give each upstream without keys part of the most loaded one's."""
    owners = {r.owner for r in current.ranges}
    moves: list[Move] = []
    touched: set[key_map.Owner] = set()
    for empty in sorted(books.capacity.keys() - owners, key=str):
        donors = [
            o for o in books.load if o in owners and o not in touched
        ]
        if not donors:
            break
        donor = max(donors, key=lambda o: (books.relative(o), str(o)))
        touched.add(donor)
        capacity = books.capacity[empty] + books.capacity[donor]
        wanted = books.load[donor] * books.capacity[empty] / capacity
        moves += _shed(current, donor, empty, wanted, books)
    return moves


def _relieve(current: key_map.KeyMap, books: _Books) -> list[Move]:
    whole = sum(books.capacity.values())
    mean = sum(books.load.values()) / whole
    top = max(books.load, key=lambda o: (books.relative(o), str(o)))
    if books.relative(top) < OVERLOAD_RATIO * mean:
        return []
    least = books.least()
    room = (RELIEF_RATIO * mean - books.relative(least)) * books.capacity[
        least
    ]
    excess = (books.relative(top) - RELIEF_RATIO * mean) * books.capacity[top]
    wanted = min(room, excess)
    if wanted <= 0:
        return []
    return _shed(current, top, least, wanted, books)


def _shed(
    current: key_map.KeyMap,
    donor: key_map.Owner,
    target: key_map.Owner,
    wanted: float,
    books: _Books,
) -> list[Move]:
    """Cut about ``wanted`` load from the end of a donor's ranges."""
    moves: list[Move] = []
    for key_range in reversed(current.owned_by(donor)):
        first = key_range.last + 1
        taken = 0.0
        while first > key_range.first and taken < wanted:
            start = max(
                key_range.first, (first - 1) // BUCKET_KEYS * BUCKET_KEYS
            )
            taken += books.range_load(start, first - 1)
            first = start
        if first > key_range.last:
            break
        moves.append(
            _give(key_range.piece(first, key_range.last), target, books)
        )
        books.load[donor] -= taken
        wanted -= taken
        if wanted <= 0:
            break
    return moves



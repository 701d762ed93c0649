"""The key map of a pool: which upstream owns which keys.

The ranges of a map cover all keys and do not overlap. The map is stored as
one row. Each write names the version that it replaces, so that two
processes cannot overwrite each other's change. Fences only increase:
``next_fence`` is above every fence that any holder of the claim may have
used.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import json

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import registry
from goldcresthaven import state_store

FIRST_KEY = 0
LAST_KEY = 65535
KEY_COUNT = LAST_KEY - FIRST_KEY + 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """One incarnation of an upstream.

    A restarted upstream is a different owner and holds no keys.
    """

    upstream_id: ids.UpstreamId
    incarnation: registry.Incarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRange:
    """The keys from ``first`` to ``last`` inclusive, with owner and fence."""

    first: int
    last: int
    owner: Owner | None
    fence: int

    @property
    def size(self) -> int:
        return self.last - self.first + 1

    def subrange(self, first: int, last: int) -> 'KeyRange':
        return KeyRange(
            first=first, last=last, owner=self.owner, fence=self.fence
        )


@dataclass(frozen=True, kw_only=True)
class KeyMap:
    """All ranges of a pool in key order.

    ``version`` is the version with which the map was written. ``coordinator``
    is the address, as ``host:port``, to which processes report keys and
    loads. ``history`` is the store's history in which the map was written,
    and None if the program that wrote it knew none.
    """

    ranges: tuple[KeyRange, ...]
    next_fence: int
    version: int = 0
    coordinator: str = ''
    history: state_store.History | None = None
    _firsts: list[int] = field(init=False, repr=False, default_factory=list)

    def __post_init__(self) -> None:
        self._firsts.extend(r.first for r in self.ranges)

    def find(self, key: int) -> KeyRange:
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def owned_by(self, owner: Owner) -> list[KeyRange]:
        return [r for r in self.ranges if r.owner == owner]

    def replace(
        self,
        changes: Sequence[KeyRange],
        *,
        next_fence: int,
        coordinator: str | None = None,
        history: state_store.History | None = None,
    ) -> 'KeyMap':
        """Return a map in which ``changes`` replace the ranges they cover.

        ``coordinator`` and ``history`` stay as they are if they are None.
        """
        unchanged: list[KeyRange] = []
        for known in self.ranges:
            unchanged.extend(remainders(known, changes))
        ordered = sorted([*unchanged, *changes], key=lambda r: r.first)
        return KeyMap(
            ranges=tuple(_merged(ordered)),
            next_fence=next_fence,
            version=self.version,
            coordinator=(
                self.coordinator if coordinator is None else coordinator
            ),
            history=self.history if history is None else history,
        )

    def at_version(self, version: int) -> 'KeyMap':
        return KeyMap(
            ranges=self.ranges,
            next_fence=self.next_fence,
            version=version,
            coordinator=self.coordinator,
            history=self.history,
        )

    def is_current(self, history: state_store.History) -> bool:
        """Return whether no later map can have been lost by a restore."""
        return self.history is None or self.history == history

    def encode(self) -> bytes:
        """Return the map as the value of its row."""
        rows = [
            [
                r.first,
                r.owner.upstream_id if r.owner else '',
                r.owner.incarnation if r.owner else 0,
                r.fence,
            ]
            for r in self.ranges
        ]
        document = {
            'next_fence': self.next_fence,
            'coordinator': self.coordinator,
            'history': self.history,
            'ranges': rows,
        }
        return json.dumps(document, separators=(',', ':')).encode()


def empty() -> KeyMap:
    """Return the map of a pool in which no key has had an owner yet."""
    whole = KeyRange(first=FIRST_KEY, last=LAST_KEY, owner=None, fence=0)
    return KeyMap(ranges=(whole,), next_fence=1)


def decode(value: bytes, *, version: int) -> KeyMap:
    """Decode the value of a row that was read with a version.

    A map that was written before the store was restored gets a version of
    the history in which it was written, so that it does not replace a newer
    map which the store has lost. Raises ProtocolError if the value is not a
    key map.
    """
    try:
        document = json.loads(value)
        rows = document['ranges']
        ends = [row[0] - 1 for row in rows[1:]] + [LAST_KEY]
        ranges = tuple(
            KeyRange(
                first=first,
                last=last,
                owner=owner_of(upstream_id, incarnation),
                fence=fence,
            )
            for (first, upstream_id, incarnation, fence), last in zip(
                rows, ends, strict=True
            )
        )
        history = document.get('history')
        if history is not None:
            number = state_store.number_of(version)
            version = state_store.version_in(history, number)
        return KeyMap(
            ranges=ranges,
            next_fence=document['next_fence'],
            version=version,
            coordinator=str(document.get('coordinator', '')),
            history=history,
        )
    except (KeyError, RecursionError, TypeError, ValueError) as exc:
        raise errors.ProtocolError(
            f'the stored key map is malformed: {exc!r}',
            remedy='check which other programs write to the table',
        ) from exc


def owner_of(upstream_id: str, incarnation: int) -> Owner | None:
    if not upstream_id:
        return None
    return Owner(
        upstream_id=ids.UpstreamId(upstream_id),
        incarnation=registry.Incarnation(incarnation),
    )


def remainders(known: KeyRange, changes: Iterable[KeyRange]) -> list[KeyRange]:
    """Return the parts of a range that none of the changes covers."""
    parts = []
    start = known.first
    for change in sorted(changes, key=lambda r: r.first):
        if change.last < start or change.first > known.last:
            continue
        if change.first > start:
            parts.append(known.subrange(start, change.first - 1))
        start = change.last + 1
    if start <= known.last:
        parts.append(known.subrange(start, known.last))
    return parts


def overlaps(key_range: KeyRange, others: Iterable[KeyRange]) -> bool:
    """Return whether a range has a key in common with any other range."""
    return any(
        other.first <= key_range.last and other.last >= key_range.first
        for other in others
    )


def _merged(ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Merge adjacent ranges that have the same owner and fence."""
    merged: list[KeyRange] = []
    for key_range in ranges:
        if merged and _can_merge(merged[-1], key_range):
            merged[-1] = merged[-1].subrange(merged[-1].first, key_range.last)
        else:
            merged.append(key_range)
    return merged


def _can_merge(left: KeyRange, right: KeyRange) -> bool:
    return left.owner == right.owner and left.fence == right.fence

"""Compare the imbalance and churn of placement schemes.

Prints for 15, 32 and 1,000 upstreams:

- imbalance: the largest number of keys of an upstream divided by the mean,
- churn: the share of keys that change owner when an upstream joins and when
  one leaves, each next to the smallest possible share.

    python -m bench.placement_compare
"""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import replace
import hashlib
import random

from goldcresthaven import ids
from goldcresthaven import placement
from goldcresthaven import shards

SIZES = (15, 32, 1000)
KEYS = 20_000
SHARDS_PER_UPSTREAM = 8
RING_POINTS = 100
LIMIT = 1.15
POOL = ids.PoolName('catalogue')

Owners = list[str]
Scheme = Callable[[Sequence[int], Sequence[str]], Owners]

_MASK = (1 << 64) - 1


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def ring(keys: Sequence[int], names: Sequence[str]) -> Owners:
    """Consistent hash ring with RING_POINTS points for each upstream."""
    points = sorted(
        (_hash(f'{n}#{i}'), n) for n in names for i in range(RING_POINTS)
    )
    positions = [p for p, _ in points]
    return [
        points[bisect.bisect(positions, key) % len(points)][1] for key in keys
    ]


def rendezvous(keys: Sequence[int], names: Sequence[str]) -> Owners:
    """Rendezvous hashing: the upstream with the highest score owns a key."""
    salted = [(_hash(n), n) for n in names]
    return [
        max(
            salted,
            key=lambda s: ((s[0] ^ key) * _ODD_MULTIPLIER & _MASK) >> 11,
        )[1]
        for key in keys
    ]


_ODD_MULTIPLIER = 0x9E3779B97F4A7C15


def jump(keys: Sequence[int], names: Sequence[str]) -> Owners:
    """Jump hash; the bucket number is the index in ``names``."""
    return [names[_jump(key, len(names))] for key in keys]


def _jump(key: int, buckets: int) -> int:
    chosen, candidate = -1, 0
    while candidate < buckets:
        chosen = candidate
        key = (key * 2862933555777941757 + 1) & _MASK
        candidate = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen


class ShardTable:
    """The product's scheme, which keeps the previous owners if possible."""

    def __init__(self, count: int) -> None:
        self._shards = list(
            shards.initial_shards(POOL, count * SHARDS_PER_UPSTREAM)
        )

    def __call__(self, keys: Sequence[int], names: Sequence[str]) -> Owners:
        usable = frozenset(ids.UpstreamId(n) for n in names)
        weights = placement.range_weights(self._shards)
        moves = placement.plan(self._shards, usable, weights, LIMIT)
        targets = {m.shard: m.target for m in moves}
        self._shards = [
            replace(s, owner=targets.get(s.shard_id, s.owner))
            for s in self._shards
        ]
        lows = [s.low for s in self._shards]
        return [
            self._shards[bisect.bisect_right(lows, k) - 1].owner or ''
            for k in keys
        ]


def imbalance(owners: Owners, names: Sequence[str]) -> float:
    """Return the largest number of keys divided by the mean."""
    counts = {n: 0 for n in names}
    for owner in owners:
        counts[owner] += 1
    return max(counts.values()) * len(names) / len(owners)


def churn(before: Owners, after: Owners) -> float:
    """Return the share of keys that changed owner."""
    changed = sum(a != b for a, b in zip(before, after))
    return changed / len(before)


def compare(count: int, keys: Sequence[int]) -> list[str]:
    """Return the line of each scheme for ``count`` upstreams."""
    names = [f'10.0.{i // 250}.{i % 250}:8000' for i in range(count)]
    joined = [*names, '10.9.9.9:8000']
    left = [n for n in names if n != names[count // 2]]
    schemes: dict[str, Callable[[], Scheme]] = {
        'ring': lambda: ring,
        'rendezvous': lambda: rendezvous,
        'jump': lambda: jump,
        'ours': lambda: ShardTable(count),
    }
    lines = []
    for label, make in schemes.items():
        start = make()
        base = start(keys, names)
        on_join = churn(base, start(keys, joined))
        again = make()
        on_leave = churn(again(keys, names), again(keys, left))
        lines.append(
            f'{count:5} {label:10} {imbalance(base, names):9.3f} '
            f'{on_join:7.4f} {1 / (count + 1):7.4f} '
            f'{on_leave:7.4f} {1 / count:7.4f}'
        )
    return lines


def main() -> None:
    rng = random.Random(1)
    print('count scheme     imbalance    join  lowest   leave  lowest')
    for count in SIZES:
        keys = [rng.getrandbits(64) for _ in range(max(KEYS, 40 * count))]
        for line in compare(count, keys):
            print(line)


if __name__ == '__main__':
    main()

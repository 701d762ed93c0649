"""Assignment of shards to upstreams with bounded load.

Each shard's owner is stored explicitly, so a change moves only the shards
that have to move. A shard without a usable owner is assigned to the least
loaded upstream. For balance a shard moves only when the ratio of the largest
load to the mean exceeds the limit, or when an upstream's load is so low that
it was probably added without shards.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
import heapq

from goldcresthaven import ids
from goldcresthaven import shards

# Upstreams below this fraction of the mean load get shards even within the
# limit. An upstream that joins 15 others raises max/mean by only 1/15, which
# is within the default limit, so it would otherwise stay empty.
UNDERLOADED = 0.5

_EPSILON = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """Change of a shard's owner from ``source`` to ``target``."""

    shard: ids.ShardId
    source: ids.UpstreamId | None
    target: ids.UpstreamId


def affinity(shard: ids.ShardId, upstream: ids.UpstreamId) -> int:
    """Return the rendezvous weight that breaks ties between upstreams."""
    text = f'{shard}\0{upstream}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def range_weights(
    pool_shards: Iterable[shards.Shard],
) -> dict[ids.ShardId, float]:
    """Return each shard's share of the hash space as its weight."""
    return {
        s.shard_id: (s.high - s.low) / shards.HASH_SPACE for s in pool_shards
    }


def imbalance(loads: Mapping[ids.UpstreamId, float]) -> float:
    """Return the largest load divided by the mean, or 1.0 without load."""
    total = sum(loads.values())
    if not total:
        return 1.0
    return max(loads.values()) * len(loads) / total


def plan(
    pool_shards: Iterable[shards.Shard],
    upstreams: frozenset[ids.UpstreamId],
    weights: Mapping[ids.ShardId, float],
    limit: float,
) -> list[Move]:
    """Return the moves of one pool's shards, necessary ones first.

    ``upstreams`` are the usable ones. Equal arguments give equal plans in
    every process, so each claim holder carries out only the moves away from
    the upstreams of its domain, and together they carry out the whole plan.
    """
    if not upstreams:
        return []
    planner = _Planner(list(pool_shards), upstreams, weights)
    planner.place_orphans()
    planner.balance(limit)
    return planner.moves()


class _Planner:
    def __init__(
        self,
        pool_shards: list[shards.Shard],
        upstreams: frozenset[ids.UpstreamId],
        weights: Mapping[ids.ShardId, float],
    ) -> None:
        self._weights = weights
        self._source = {s.shard_id: s.owner for s in pool_shards}
        self._owner: dict[ids.ShardId, ids.UpstreamId] = {}
        self._owned: dict[ids.UpstreamId, set[ids.ShardId]] = {
            u: set() for u in sorted(upstreams)
        }
        self._load = {u: 0.0 for u in sorted(upstreams)}
        self._orphans: list[ids.ShardId] = []
        self._moved: list[ids.ShardId] = []
        for shard in pool_shards:
            if shard.owner in upstreams:
                self._assign(shard.shard_id, shard.owner)
            else:
                self._orphans.append(shard.shard_id)
        self._low = [(load, u) for u, load in self._load.items()]
        self._high = [(-load, u) for u, load in self._load.items()]
        heapq.heapify(self._low)
        heapq.heapify(self._high)

    def _assign(self, shard: ids.ShardId, owner: ids.UpstreamId) -> None:
        self._owner[shard] = owner
        self._owned[owner].add(shard)
        self._load[owner] += self._weights.get(shard, 0.0)

    def _push_load(self, upstream: ids.UpstreamId) -> None:
        load = self._load[upstream]
        heapq.heappush(self._low, (load, upstream))
        heapq.heappush(self._high, (-load, upstream))

    def place_orphans(self) -> None:
        """Assign each orphan, heaviest first, to the least loaded upstream."""
        self._orphans.sort(key=lambda s: (-self._weights.get(s, 0.0), s))
        for shard in self._orphans:
            target = self._least_loaded(shard)
            self._assign(shard, target)
            self._moved.append(shard)
            self._push_load(target)

    def _least_loaded(self, shard: ids.ShardId) -> ids.UpstreamId:
        lowest = self._peek_low()
        ties = []
        while self._low and self._low[0][0] <= lowest + _EPSILON:
            load, upstream = heapq.heappop(self._low)
            if load == self._load[upstream] and upstream not in ties:
                ties.append(upstream)
        for upstream in ties:
            heapq.heappush(self._low, (self._load[upstream], upstream))
        return max(ties, key=lambda u: (affinity(shard, u), u))

    def _peek_low(self) -> float:
        while self._low[0][0] != self._load[self._low[0][1]]:
            heapq.heappop(self._low)
        return self._low[0][0]

    def _peek_high(self, stuck: set[ids.UpstreamId]) -> ids.UpstreamId | None:
        while self._high:
            load, upstream = self._high[0]
            if -load == self._load[upstream] and upstream not in stuck:
                return upstream
            heapq.heappop(self._high)
        return None

    def balance(self, limit: float) -> None:
        """Move shards from the most to the least loaded upstream.

        Ends when the largest load is within the limit and no upstream is
        underfilled, or when no move helps. An upstream whose load comes
        from one hot shard cannot be relieved by a move and is skipped.
        """
        mean = sum(self._load.values()) / len(self._load)
        underfilled = {
            u for u, load in self._load.items() if load < mean * UNDERLOADED
        }
        stuck: set[ids.UpstreamId] = set()
        for _ in range(len(self._owner) + len(self._load)):
            source = self._peek_high(stuck)
            if source is None:
                return
            self._peek_low()
            target = self._low[0][1]
            too_high = self._load[source] > mean * limit + _EPSILON
            if not too_high and target not in underfilled:
                return
            if not self._move_best(source, target):
                stuck.add(source)

    def _move_best(
        self, source: ids.UpstreamId, target: ids.UpstreamId
    ) -> bool:
        """Move the shard that best balances two upstreams.

        Returns False if no shard improves their balance.
        """
        gap = self._load[source] - self._load[target]
        useful = [
            s
            for s in self._owned[source]
            if _EPSILON < self._weights.get(s, 0.0) < gap - _EPSILON
        ]
        if not useful:
            return False
        best = min(useful, key=lambda s: (abs(self._weights[s] - gap / 2), s))
        self._owned[source].remove(best)
        self._load[source] -= self._weights[best]
        self._assign(best, target)
        self._moved.append(best)
        self._push_load(source)
        self._push_load(target)
        return True

    def moves(self) -> list[Move]:
        """Return one move for each shard whose owner changes."""
        result = []
        for shard in dict.fromkeys(self._moved):
            source, target = self._source[shard], self._owner[shard]
            if source != target:
                result.append(Move(shard=shard, source=source, target=target))
        return result

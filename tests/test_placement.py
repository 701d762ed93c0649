"""Tests of the assignment of shards to upstreams."""

import random
import unittest

from goldcresthaven import ids
from goldcresthaven import placement
from goldcresthaven import shards

POOL = ids.PoolName('catalogue')


def upstreams(count: int) -> frozenset[ids.UpstreamId]:
    return frozenset(ids.UpstreamId(f'u{i}') for i in range(count))


def reference_plan(
    pool_shards: list[shards.Shard],
    usable: frozenset[ids.UpstreamId],
    weights: dict[ids.ShardId, float],
    limit: float,
) -> dict[ids.ShardId, ids.UpstreamId]:
    """Compute the owners after a plan by a scan in every step, no heaps."""
    owner = {s.shard_id: s.owner for s in pool_shards if s.owner in usable}
    orphans = [s.shard_id for s in pool_shards if s.owner not in usable]

    def load(u: ids.UpstreamId) -> float:
        mine = sorted(s for s, o in owner.items() if o == u)
        return sum(weights[s] for s in mine)

    for shard in sorted(orphans, key=lambda s: (-weights[s], s)):
        lowest = min(load(u) for u in usable)
        ties = [u for u in usable if load(u) <= lowest + 1e-9]
        owner[shard] = max(
            ties, key=lambda u: (placement.affinity(shard, u), u)
        )
    mean = sum(weights.values()) / len(usable)
    underfilled = {u for u in usable if load(u) < mean * placement.UNDERLOADED}
    stuck: set[ids.UpstreamId] = set()
    while len(stuck) < len(usable):
        source = min(usable - stuck, key=lambda u: (-load(u), u))
        target = min(usable, key=lambda u: (load(u), u))
        if load(source) <= mean * limit + 1e-9 and target not in underfilled:
            break
        gap = load(source) - load(target)
        useful = [
            s
            for s, o in owner.items()
            if o == source and 1e-9 < weights[s] < gap - 1e-9
        ]
        if not useful:
            stuck.add(source)
            continue
        best = min(useful, key=lambda s: (abs(weights[s] - gap / 2), s))
        owner[best] = target
    return {s: o for s, o in owner.items() if o is not None}


def random_case(
    rng: random.Random,
) -> tuple[
    list[shards.Shard],
    frozenset[ids.UpstreamId],
    dict[ids.ShardId, float],
    float,
]:
    known = sorted(upstreams(rng.randint(1, 9)))
    owners = [None, ids.UpstreamId('gone'), *known]
    pool_shards = [
        shards.Shard(
            shard_id=s.shard_id,
            pool=POOL,
            low=s.low,
            high=s.high,
            owner=rng.choice(owners),
        )
        for s in shards.initial_shards(POOL, rng.randint(1, 30))
    ]
    # Sums of whole numbers are exact, so both versions get equal loads.
    weights = {
        s.shard_id: float(rng.choice((1, 1, 2, 5, 40))) for s in pool_shards
    }
    limit = rng.choice((1.0, 1.15, 1.5))
    return pool_shards, frozenset(known), weights, limit


class PlanTest(unittest.TestCase):
    def test_agrees_with_reference_plan(self) -> None:
        """Guards against heaps that hold stale loads."""
        for seed in range(300):
            rng = random.Random(seed)
            pool_shards, usable, weights, limit = random_case(rng)
            with self.subTest(seed=seed):
                moves = placement.plan(pool_shards, usable, weights, limit)
                owner = {s.shard_id: s.owner for s in pool_shards}
                for move in moves:
                    self.assertEqual(owner[move.shard], move.source)
                    owner[move.shard] = move.target
                expected = reference_plan(pool_shards, usable, weights, limit)
                self.assertEqual(owner, expected)

    def test_loss_moves_only_shards_of_lost_upstreams(self) -> None:
        """Guards against moving shards whose owner is not lost."""
        usable = upstreams(15)
        fresh = shards.initial_shards(POOL, 120)
        weights = placement.range_weights(fresh)
        owners = {
            m.shard: m.target
            for m in placement.plan(fresh, usable, weights, 1.15)
        }
        assigned = [
            shards.Shard(
                shard_id=s.shard_id,
                pool=POOL,
                low=s.low,
                high=s.high,
                owner=owners[s.shard_id],
            )
            for s in fresh
        ]
        lost = ids.UpstreamId('u3')
        moves = placement.plan(assigned, usable - {lost}, weights, 1.15)
        self.assertEqual({m.source for m in moves}, {lost})
        self.assertEqual(len(moves), 8)

    def test_joined_upstream_gets_its_share(self) -> None:
        """Guards against a new upstream that stays empty.

        When it joins, max/mean rises by only 1/15, which is within the
        limit.
        """
        fresh = shards.initial_shards(POOL, 120)
        weights = placement.range_weights(fresh)
        owned = [
            shards.Shard(
                shard_id=s.shard_id,
                pool=POOL,
                low=s.low,
                high=s.high,
                owner=ids.UpstreamId(f'u{i % 15}'),
            )
            for i, s in enumerate(fresh)
        ]
        moves = placement.plan(owned, upstreams(16), weights, 1.15)
        self.assertEqual({m.target for m in moves}, {'u15'})
        self.assertIn(len(moves), (7, 8))

    def test_no_usable_upstream_moves_nothing(self) -> None:
        """Guards against a crash when every upstream is lost."""
        fresh = shards.initial_shards(POOL, 4)
        self.assertEqual(
            placement.plan(fresh, frozenset(), {}, 1.15),
            [],
        )

    def test_neighbours_leave_a_hot_shard(self) -> None:
        """Guards against other shards that stay with a hot shard."""
        fresh = shards.initial_shards(POOL, 8)
        owned = [
            shards.Shard(
                shard_id=s.shard_id,
                pool=POOL,
                low=s.low,
                high=s.high,
                owner=ids.UpstreamId(f'u{i % 2}'),
            )
            for i, s in enumerate(fresh)
        ]
        weights = {s.shard_id: 1.0 for s in owned}
        weights[owned[0].shard_id] = 20.0
        moves = placement.plan(owned, upstreams(2), weights, 1.15)
        self.assertEqual({m.source for m in moves}, {'u0'})
        self.assertEqual(len(moves), 3)
        self.assertNotIn(owned[0].shard_id, {m.shard for m in moves})

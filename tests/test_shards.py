"""Tests of the shard map."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import shards

POOL = ids.PoolName('catalogue')


def make_map(count: int) -> shards.ShardMap:
    change = shards.MapChange(
        version=ids.MapVersion(1),
        txn=ids.TxnId('t1'),
        shards=shards.initial_shards(POOL, count),
    )
    return shards.ShardMap().apply(change)


class ShardMapTest(unittest.TestCase):
    @given(
        st.integers(min_value=1, max_value=200),
        st.integers(min_value=0, max_value=shards.HASH_SPACE - 1),
    )
    def test_lookup_agrees_with_linear_scan(
        self, count: int, key_hash: int
    ) -> None:
        """Guards against a key that falls between two shards."""
        shard_map = make_map(count)
        found = shard_map.lookup(POOL, ids.KeyHash(key_hash))
        expected = [
            s for s in shard_map.shards.values() if s.low <= key_hash < s.high
        ]
        self.assertEqual([found], expected)

    def test_change_must_be_next_version(self) -> None:
        """Guards against a lost or repeated map change."""
        for version in (0, 1, 3):
            change = shards.MapChange(
                version=ids.MapVersion(version),
                txn=ids.TxnId('t2'),
                shards=(),
            )
            with self.assertRaises(errors.MapError):
                make_map(4).apply(change)

    def test_overlap_is_rejected(self) -> None:
        """Guards against two owners of one key in the same map."""
        overlapping = shards.Shard(
            shard_id=ids.ShardId('catalogue/x'), pool=POOL, low=0, high=9
        )
        change = shards.MapChange(
            version=ids.MapVersion(2),
            txn=ids.TxnId('t2'),
            shards=(overlapping,),
        )
        with self.assertRaises(errors.MapError):
            make_map(4).apply(change)

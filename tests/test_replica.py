"""Tests of the copies of the logs and of their rows."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import log_rows
from goldcresthaven import replica
from goldcresthaven import shards
from tools import rig


def make_change(version: int, owner: str | None = 'u') -> shards.MapChange:
    shard = shards.Shard(
        shard_id=ids.ShardId('keyed/0'),
        pool=rig.KEYED,
        low=0,
        high=shards.HASH_SPACE,
        owner=ids.UpstreamId(owner) if owner else None,
    )
    return shards.MapChange(
        version=ids.MapVersion(version),
        txn=ids.TxnId(f't{version}'),
        shards=(shard,),
        removed=(ids.ShardId('old'),),
        domain=ids.DomainId('a/0'),
        epoch=ids.Epoch(3),
        reason='test',
    )


class ReplicaTest(unittest.TestCase):
    @given(st.lists(st.integers(min_value=1, max_value=9), max_size=30))
    def test_configuration_never_goes_back(self, offers: list[int]) -> None:
        """Guards against an old configuration read from a slow store."""
        copy = replica.Replica()
        seen = [0]
        for version in offers:
            copy.offer_config(ids.ConfigVersion(version), rig.make_document())
            seen.append(copy.config_version)
        self.assertEqual(sorted(seen), seen)
        self.assertEqual(max([0, *offers]), copy.config_version)

    @given(st.lists(st.integers(min_value=1, max_value=6), max_size=30))
    def test_map_changes_apply_in_order(self, offers: list[int]) -> None:
        """Guards against a change that is skipped or applied twice."""
        copy = replica.Replica()
        for version in offers:
            before = copy.shard_map.version
            copy.offer_changes([make_change(version)])
            expected = before + 1 if version == before + 1 else before
            self.assertEqual(expected, copy.shard_map.version)

    def test_no_view_without_configuration(self) -> None:
        """Guards against routing by a map without a configuration."""
        copy = replica.Replica()
        copy.offer_changes([make_change(1)])
        self.assertIsNone(copy.current())
        copy.offer_config(ids.ConfigVersion(1), rig.make_document())
        view = copy.current()
        assert view is not None
        self.assertEqual(ids.MapVersion(1), view.shard_map.version)


class LogRowsTest(unittest.TestCase):
    def test_rows_survive_json(self) -> None:
        """Guards against hash bounds above 2^53 changed by encoding."""
        for owner in ('u', None):
            change = make_change(7, owner)
            raw = json.loads(json.dumps(log_rows.encode_change(change)))
            self.assertEqual(change, log_rows.decode_change(raw))
        document = rig.make_document()
        value = log_rows.encode_config(
            version=ids.ConfigVersion(1),
            txn=ids.TxnId('t'),
            author='a',
            change='c',
            document=document,
        )
        raw = json.loads(json.dumps(value))
        self.assertEqual(document, log_rows.decode_document(raw))

    def test_malformed_rows_are_typed_errors(self) -> None:
        """Guards against a bad row that ends the poll task."""
        for value in ({}, {'version': 'x'}, {'version': 1, 'txn': 't'}):
            with self.assertRaises(errors.MapError):
                log_rows.decode_change(value)
        with self.assertRaises(errors.SettingsError):
            log_rows.decode_document({'document': {'pools': 3}})

"""Tests of the routing state and of the encoding of log rows."""

import dataclasses
from datetime import timedelta
import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import config_log
from goldcresthaven import control
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import map_codec
from goldcresthaven import ownership
from goldcresthaven import routing_state
from goldcresthaven import shards
from tools import deployment
from tools import entry_harness


def make_change(version: int, owner: str | None = 'u') -> shards.MapChange:
    shard = shards.Shard(
        shard_id=ids.ShardId('keyed/0'),
        pool=entry_harness.KEYED,
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
        homes=((ids.UpstreamId('u'), ids.DomainId('a/0')),),
    )


def make_entry(version: int) -> config_log.Entry:
    first = deployment.first_proposal(entry_harness.make_document()).entry
    return dataclasses.replace(first, version=ids.ConfigVersion(version))


class RoutingStateTest(unittest.TestCase):
    @given(st.lists(st.integers(min_value=1, max_value=9), max_size=30))
    def test_configuration_never_goes_back(self, offers: list[int]) -> None:
        """Guards against an old configuration from a stale store read."""
        state = routing_state.RoutingState()
        seen = [0]
        for version in offers:
            state.offer_config(make_entry(version))
            seen.append(state.config_version)
        self.assertEqual(sorted(seen), seen)
        self.assertEqual(max([0, *offers]), state.config_version)

    @given(st.lists(st.integers(min_value=1, max_value=6), max_size=30))
    def test_map_changes_apply_in_order(self, offers: list[int]) -> None:
        """Guards against a change that is skipped or applied twice."""
        state = routing_state.RoutingState()
        controller = ownership.Controller(
            vm=ids.VmId('e'), zone=ids.ZoneId('a'), boot='b'
        )
        for version in offers:
            before = state.shard_map.version
            event = control.MapChanges(changes=(make_change(version),))
            controller.handle(event, now=timedelta())
            state.offer_map(controller.shard_map)
            expected = before + 1 if version == before + 1 else before
            self.assertEqual(expected, state.shard_map.version)

    def test_map_never_goes_back(self) -> None:
        """Guards against an old map in a snapshot from a lagging peer."""
        state = routing_state.RoutingState()
        old = shards.ShardMap().apply(make_change(1))
        new = old.apply(make_change(2))
        self.assertTrue(state.offer_map(new))
        self.assertFalse(state.offer_map(old))
        self.assertEqual(new, state.shard_map)

    def test_no_view_without_configuration(self) -> None:
        """Guards against routing by a map without a configuration."""
        state = routing_state.RoutingState()
        state.offer_map(shards.ShardMap().apply(make_change(1)))
        self.assertIsNone(state.current())
        state.offer_config(make_entry(1))
        view = state.current()
        assert view is not None
        self.assertEqual(ids.MapVersion(1), view.shard_map.version)


class LogRowsTest(unittest.TestCase):
    def test_rows_survive_json(self) -> None:
        """Guards against hash bounds above 2^53 changed by encoding."""
        for owner in ('u', None):
            change = make_change(7, owner)
            raw = json.loads(json.dumps(map_codec.to_value(change)))
            self.assertEqual(change, map_codec.from_value(raw))
        entry = make_entry(3)
        raw = json.loads(json.dumps(config_log.encode(entry)))
        self.assertEqual(entry, config_log.decode(raw))

    def test_snapshot_is_the_same_map(self) -> None:
        """Guards against a snapshot that decodes to a different map."""
        first = make_change(1)
        whole = shards.ShardMap().apply(first).apply(make_change(2, 'v'))
        decoded = map_codec.from_snapshot(map_codec.to_snapshot(whole))
        self.assertEqual(whole, decoded)
        change = make_change(3)
        self.assertEqual(whole.apply(change), decoded.apply(change))
        shard = decoded.lookup(entry_harness.KEYED, ids.KeyHash(5))
        assert shard is not None
        self.assertEqual('v', shard.owner)

    def test_malformed_rows_raise_protocol_error(self) -> None:
        """Guards against a malformed row that ends the task reading it."""
        for value in ({}, {'version': 'x'}, {'version': 1, 'txn': 't'}):
            with self.assertRaises(errors.ProtocolError):
                map_codec.from_value(value)
        for data in (b'', b'[]', b'{"version": 1}'):
            with self.assertRaises(errors.ProtocolError):
                map_codec.from_snapshot(data)
        with self.assertRaises(errors.ProtocolError):
            config_log.decode({'document': {'pools': 3}})

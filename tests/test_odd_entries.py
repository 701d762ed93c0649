"""Tests of entries of the registry that other programs wrote.

One of them must cost that entry alone: not the page of the store's response,
the poll or the process.
"""

import base64
from datetime import timedelta
import json
import random
import types
from typing import Any
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import fleet_codec
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_map
from goldcresthaven import known_state as known_state_module
from goldcresthaven import selection
from goldcresthaven import state_store
from goldcresthaven import store_follower
from goldcresthaven import upstream_notices
from goldcresthaven.platform import decode
from goldcresthaven.platform import headers
from goldcresthaven.platform import store
from tests import fake_platform
from tests import test_platform
from tests import test_store_follower

DEEP = b'[' * 30000
NOW = timedelta(days=30)
# Values of fields that are odd, but of the type of a proper one.
ODD_FIELDS = {
    'info.slots': (10**400, 1 << 62),
    'info.zone': ('\ud800', 'a\nb', 'a' * 100_000, '\0'),
    'info.service': ('\ud800', 'x' * 100_000),
    'info.version': ('\ud800',),
    'status.sequence': (10**60, -1),
    'status.cold-left-s': (1e300, 8e13),
    'born': (10**30, -5),
    'addr': (
        '10.0.0.1: 8_0 ',
        '10.0.0.1:٨٠',
        '10.0.0.1:+80',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:' + '9' * 5000,
        'db.example:80',
        '10.0.0.1\0:80',
        ':80',
    ),
}
ODD_KEYS = ('', 'a b', 'a\r\nX: 1', 'ü', 'x' * 300, '\ud800')


def use(upstream: Any) -> None:
    """Do with an upstream what a gateway does; fails if it cannot."""
    known = known_state_module.KnownState(
        notices=upstream_notices.UpstreamNotices(rng=random.Random(1))
    )
    known.registry.apply(
        {upstream.upstream_id: upstream}, full=False, version=1, now=NOW
    )
    usable = known.registry.usable(upstream.pool, NOW)
    selector = selection.Selector(zone=ids.ZoneId('a'), rng=random.Random(1))
    selector.mark_cold(upstream, NOW)
    selector.choose(usable, NOW, other_zone_penalty=timedelta())
    selector.capacity(upstream)
    sent = headers.PlatformHeaders().to_upstream(
        (), remaining=timedelta(seconds=1), upstream=upstream.upstream_id
    )
    for _, value in sent:
        value.encode('latin-1')
    fleet_codec.encode(
        fleet_messages.Leaving(
            pool=upstream.pool,
            upstreams=(
                fleet_messages.LeavingUpstream(
                    upstream_id=upstream.upstream_id,
                    incarnation=upstream.incarnation,
                    age=timedelta(),
                ),
            ),
        )
    )
    str(upstream).encode()


class EntryTest(unittest.TestCase):
    def test_entry_with_an_odd_value_is_used(self) -> None:
        """Guards against values that fail later, outside of the decoder."""
        for path, values in ODD_FIELDS.items():
            for value in values:
                raw = test_platform.changed(path, value)
                with self.subTest(path=path, value=repr(value)[:30]):
                    found = decode.upstream(test_platform.row(raw))
                    self.assertIsNone(found)

    def test_entry_with_an_odd_key_is_used(self) -> None:
        """Guards against ids that cannot be sent in a header."""
        raw = json.dumps(test_platform.ENTRY).encode()
        for key in ODD_KEYS:
            with self.subTest(key=key[:30].encode('utf-8', 'replace')):
                found = decode.upstream(test_platform.row(raw, key))
                self.assertIsNone(found)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.sampled_from(sorted(ODD_FIELDS) + ['info', 'status']),
        st.one_of(
            st.text(alphabet=st.characters(), max_size=30),
            st.integers(),
            st.floats(),
            st.booleans(),
            st.lists(st.integers(), max_size=2),
            st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
            st.builds('{}:{}'.format, st.ip_addresses(), st.integers()),
        ),
        st.text(max_size=12),
    )
    def test_entry_that_is_decoded_can_be_used(
        self, path: str, value: Any, key: str
    ) -> None:
        """Guards against entries that are accepted and fail in use."""
        raw = test_platform.changed(path, value)
        for name in (key, 'i-1'):
            found = decode.upstream(test_platform.row(raw, name))
            if found is not None:
                use(found)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_no_entry(self, value: bytes) -> None:
        """Guards against errors that the decoder does not expect."""
        self.assertIsNone(decode.upstream(test_platform.row(value)))


class DeepNestingTest(unittest.TestCase):
    def test_deep_nesting_ends_the_process(self) -> None:
        """Guards against RecursionError, which is not a ValueError."""
        self.assertIsNone(decode.upstream(test_platform.row(DEEP)))
        with self.assertRaises(errors.ProtocolError):
            decode.config(DEEP)
        with self.assertRaises(errors.ProtocolError):
            key_map.decode(DEEP, version=1)
        self.assertIsNone(key_claims.decode(test_platform.row(DEEP)))


def page(*rows: Any) -> bytes:
    document = {'rows': rows, 'has-more': False, 'ver': 9, 'now-s': 5.5}
    return test_platform.reply(200, document)


def entry(key: Any, **fields: Any) -> dict[str, Any]:
    value = base64.b64encode(json.dumps(test_platform.ENTRY).encode())
    return {'key': key, 'value': value.decode(), 'ver': 3, **fields}


class PageTest(unittest.TestCase):
    def read(
        self, table: state_store.Table, *replies: bytes
    ) -> list[state_store.Reading | errors.StoreUnavailable]:
        scripted = test_platform.ScriptedServer(*replies)
        found: list[state_store.Reading | errors.StoreUnavailable] = []

        async def main() -> None:
            client = store.PlatformStore(
                address=await scripted.start(), clock=clock.SystemClock()
            )
            for _ in replies:
                try:
                    found.append(await client.read(table))
                except errors.StoreUnavailable as exc:
                    found.append(exc)

        test_platform.run(main)
        return found

    def test_odd_row_costs_the_page(self) -> None:
        """Guards against a registry that is never read again."""
        odd = (
            entry('odd', ver=float('inf')),
            entry('odd', ver=None),
            entry('odd', ver=10**60),
            entry('odd', ver=-1),
            entry('odd', ver=True),
            entry(7),
            {'key': 'odd'},
            'odd',
            None,
        )
        replies = [page(entry('a'), row, entry('b')) for row in odd]
        for found in self.read(state_store.Table.REGISTRY, *replies):
            assert isinstance(found, state_store.Reading), found
            self.assertEqual([row.key for row in found.rows], ['a', 'b'])
            self.assertEqual(found.unreadable, 1)

    def test_odd_value_costs_the_page(self) -> None:
        """Guards against one entry that is not base64."""
        for value in ('?', 7, 'ü'):
            rows = (entry('a'), entry('odd', value=value))
            (found,) = self.read(state_store.Table.REGISTRY, page(*rows))
            assert isinstance(found, state_store.Reading), found
            self.assertEqual(found.rows[1].value, b'')

    def test_odd_row_of_an_own_table_is_left_out(self) -> None:
        """Guards against a claim that counts as missing."""
        replies = [page(entry('pool', ver='x')), page(entry('p', value='?'))]
        for found in self.read(state_store.Table.CLAIMS, *replies):
            self.assertIsInstance(found, errors.StoreUnavailable)

    def test_deeply_nested_response_ends_the_poll(self) -> None:
        """Guards against an error that no caller expects."""
        raw = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(DEEP)
        (found,) = self.read(state_store.Table.REGISTRY, raw + DEEP)
        self.assertIsInstance(found, errors.StoreUnavailable)


class FollowerTest(unittest.TestCase):
    def test_odd_entry_stops_the_process_from_following(self) -> None:
        """Guards against a table that is not followed after an odd row."""
        counted: list[int] = []
        fake = fake_platform.FakeStore()
        known = known_state_module.KnownState(
            notices=upstream_notices.UpstreamNotices(rng=random.Random(3))
        )
        follower = store_follower.Follower(
            store=fake,
            decoder=types.SimpleNamespace(
                is_config=decode.is_config,
                config=decode.config,
                upstream=decode.upstream,
            ),
            known_state=known,
            on_registry=lambda changed: None,
            is_relay=lambda: True,
            relay_rows=lambda changes: None,
            clock=clock.SystemClock(),
            rng=random.Random(1),
            count_unreadable=counted.append,
        )
        proper = json.dumps(test_platform.ENTRY).encode()
        registry = state_store.Table.REGISTRY

        async def main() -> None:
            fake.put(registry, 'i-1', proper)
            await follower.start()
            for number, raw in enumerate((DEEP, b'\xff', b'[]', b'')):
                fake.put(registry, f'odd-{number}', raw)
            fake.put(state_store.Table.CONFIG, 'config', DEEP)
            fake.put(registry, 'i-2', proper)
            await test_store_follower.until(
                lambda: len(known.registry.all_upstreams()) == 2
            )
            await test_store_follower.until(lambda: len(counted) == 5)

        test_platform.run(main)

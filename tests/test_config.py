"""Tests of configuration changes and of the configuration log."""

import pathlib
from typing import Any
import unittest

import hypothesis
from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import config_changes as changes
from goldcresthaven import config_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import settings_files
from goldcresthaven import tables
from tests import memory_store

QASR = pathlib.Path(__file__).parent.parent / 'examples' / 'qasr.yaml'
DOCUMENT = settings_files.read_deployment(QASR)
PEAK = ids.PresetName('peak')
UPSTREAM = ids.UpstreamId('orders-1')
ZONE = ids.ZoneId('zone-a')


def renamed(name: str) -> presets.Preset:
    data = DOCUMENT.preset.model_dump(mode='json')
    return presets.Preset.model_validate({**data, 'name': name})


def field(name: str, value: str) -> changes.SetField:
    return changes.SetField(preset=PEAK, field=name, value=value)


# Each change with the difference that it makes to the first document.
GOOD: tuple[tuple[changes.Change, str], ...] = (
    (field('urgent.target', '400ms'),
     '~ presets.peak.urgent.target: 500ms -> 400ms'),
    (field('bulk_cap', '2'), '~ presets.peak.bulk_cap: none -> 2'),
    (field('bulk.floor', '0.1'), '~ presets.peak.bulk.floor: 0.05 -> 0.1'),
    (field('bulk.queue_bytes', '1MiB'),
     '~ presets.peak.bulk.queue_bytes: 4194304B -> 1048576B'),
    (changes.SwitchPreset(preset=PEAK), '~ in_force: ordinary -> peak'),
    (changes.Drain(upstream=UPSTREAM), '+ drained.orders-1: yes'),
    (changes.ConfirmLostZone(zone=ZONE), '+ lost_zones.zone-a: yes'),
    (changes.CreatePreset(preset=renamed('fair')),
     '+ presets.fair.urgent.target: 500ms'),
)  # fmt: skip
# Each change with part of its error message.
BAD: tuple[tuple[changes.Change, str], ...] = (
    (field('urgent.target', '3s'), 'above the deadline 2s; lower'),
    (field('urgent.target', '400'), 'with the unit'),
    (field('urgent.floor', '0.9'), 'floors of the ranks sum to 1.2'),
    (field('urgent.trget', '1s'), 'no field .* use .*urgent.target'),
    (field('name', 'x'), 'no field'),
    (field('urgent', 'x'), 'no field'),
    (field('claim_term', 'none'), 'not a duration'),
    (field('bulk_cap', '4'), 'every slot .* use 3 or less'),
    (field('urgent.target', '500ms'), 'no effect'),
    (changes.SetField(preset=ids.PresetName('x'), field='a', value='b'),
     'does not exist; use maintenance, ordinary or peak'),
    (changes.SwitchPreset(preset=ids.PresetName('x')), 'does not exist'),
    (changes.SwitchPreset(preset=DOCUMENT.in_force), 'no effect'),
    (changes.CreatePreset(preset=renamed('peak')), 'exists already'),
    (changes.CreatePreset(preset=renamed('a/b')), 'lower-case'),
    (changes.Undrain(upstream=UPSTREAM), 'is not drained'),
    (changes.RestoreZone(zone=ZONE), 'is not lost'),
    (changes.Drain(upstream=ids.UpstreamId('')), 'the name is empty'),
    (changes.ReplaceDocument(document=DOCUMENT), 'no effect'),
)  # fmt: skip


class ChangesTest(unittest.TestCase):
    def test_each_change_shows_its_difference(self) -> None:
        """Guards against a change with more or fewer effects than reported."""
        for change, line in GOOD:
            with self.subTest(changes.describe(change)):
                after = changes.apply(DOCUMENT, change)
                found = changes.difference(DOCUMENT, after)
                self.assertIn(line, found)
                if not isinstance(change, changes.CreatePreset):
                    self.assertEqual(found, (line,))

    def test_bad_changes_are_refused(self) -> None:
        """Guards against an invalid document that reaches the store."""
        for change, message in BAD:
            with self.subTest(changes.describe(change)):
                with self.assertRaisesRegex(errors.ChangeError, message):
                    changes.apply(DOCUMENT, change)

    def test_changes_survive_encoding(self) -> None:
        """Guards against a log row that another process cannot read."""
        for change, _ in GOOD + BAD:
            self.assertEqual(changes.decode(changes.encode(change)), change)

    def test_malformed_changes_are_refused(self) -> None:
        """Guards against a malformed change that is accepted in part."""
        rows: tuple[Any, ...] = (
            None,
            {},
            {'kind': 'burn'},
            {'kind': 'drain'},
            {'kind': 'drain', 'upstream': 'a', 'zone': 'b'},
            {'kind': 'drain', 'upstream': 1},
        )
        for data in rows:
            with self.subTest(data=data):
                with self.assertRaises(errors.ChangeError):
                    changes.decode(data)

    def test_replacement_keeps_drained_and_lost(self) -> None:
        """Guards against a new file that sends work to a drained upstream."""
        first = changes.apply(DOCUMENT, changes.Drain(upstream=UPSTREAM))
        first = changes.apply(first, changes.ConfirmLostZone(zone=ZONE))
        replacement = changes.apply(DOCUMENT, field('bulk_cap', '1'))
        second = changes.apply(
            first, changes.ReplaceDocument(document=replacement)
        )
        self.assertEqual(second.drained, (UPSTREAM,))
        self.assertEqual(second.lost_zones, (ZONE,))

    def test_change_without_a_document_is_refused(self) -> None:
        """Guards against applying a change without a document."""
        with self.assertRaisesRegex(errors.ChangeError, 'init FILE'):
            changes.apply(None, changes.Drain(upstream=UPSTREAM))


def first_entry() -> config_log.Entry:
    return config_log.propose(
        None,
        changes.ReplaceDocument(document=DOCUMENT),
        author='mira',
        txn=ids.TxnId('t0'),
    ).entry


def proposal(txn: str, author: str = 'mira') -> config_log.Proposal:
    return config_log.propose(
        first_entry(),
        changes.SwitchPreset(preset=PEAK),
        author=author,
        txn=ids.TxnId(txn),
    )


def submit(
    store: memory_store.MemoryStore, item: config_log.Proposal
) -> object:
    return memory_store.drive(config_log.submit(item, store))


class ConfigLogTest(unittest.TestCase):
    def test_outcomes(self) -> None:
        """Guards against reporting a wrong outcome for a change.

        The columns are the script of the store, whether reads fail, whether
        another operator wrote first, and the expected outcome.
        """
        accepted = config_log.Accepted
        conflict = config_log.Conflict
        refused = config_log.NotAccepted
        unknown = config_log.StillUnknown
        rows = (
            ('.', False, False, accepted),
            ('l.', False, False, accepted),
            ('ll', False, False, accepted),
            ('ll', True, False, unknown),
            ('d.', False, False, accepted),
            ('dd', False, False, unknown),
            ('dd', True, False, unknown),
            ('c.', False, False, accepted),
            ('cc', False, False, refused),
            ('lc', False, False, accepted),
            ('dc', False, False, unknown),
            ('dc', True, False, unknown),
            ('.', False, True, conflict),
            ('l.', False, True, conflict),
            ('ll', False, True, conflict),
            ('dd', False, True, conflict),
            ('dd', True, True, unknown),
            ('cc', False, True, refused),
        )
        for script, read_fails, other, expected in rows:
            with self.subTest(script=script, read=read_fails, other=other):
                store = memory_store.MemoryStore(script, read_fails=read_fails)
                if other:
                    store.apply(proposal('t9', 'tarmo').transaction)
                outcome = submit(store, proposal('t1'))
                self.assertIsInstance(outcome, expected)
                if isinstance(outcome, config_log.Conflict):
                    self.assertEqual(outcome.other.author, 'tarmo')
                if isinstance(outcome, config_log.Accepted):
                    row = store.rows[tables.log_key(2)]
                    self.assertEqual(config_log.decode(row.value).txn, 't1')

    def test_conflict_without_rows_is_read_back(self) -> None:
        """Guards against a conflict without the other operator's change."""
        interpreted = config_log.interpret(proposal('t1'), tables.Conflict())
        self.assertIsInstance(interpreted, config_log.ReadBack)

    @hypothesis.settings(derandomize=True)
    @given(st.permutations(['t1', 't2', 't3']), st.text('.ld', max_size=6))
    def test_at_most_one_operator_succeeds(
        self, order: list[str], script: str
    ) -> None:
        """Guards against reporting acceptance to two operators."""
        store = memory_store.MemoryStore(script)
        outcomes = [submit(store, proposal(txn)) for txn in order]
        successes = [o for o in outcomes if isinstance(o, config_log.Accepted)]
        self.assertLessEqual(len(successes), 1)
        if successes:
            row = store.rows[tables.log_key(2)]
            self.assertEqual(row.value['txn'], successes[0].entry.txn)

    def test_entries_survive_encoding(self) -> None:
        """Guards against a configuration that changes when it is stored."""
        entry = proposal('t1').entry
        self.assertEqual(config_log.decode(config_log.encode(entry)), entry)

    def test_unreadable_rows_are_refused(self) -> None:
        """Guards against a malformed row that is used as a configuration."""
        good = config_log.encode(first_entry())
        rows: tuple[Any, ...] = (
            None,
            {},
            {**good, 'version': 0},
            {**good, 'extra': 1},
            {**good, 'change': {'kind': 'burn'}},
            {**good, 'document': {**good['document'], 'in_force': 'x'}},
        )
        for value in rows:
            with self.subTest(value=str(value)[:40]):
                with self.assertRaises(errors.ProtocolError):
                    config_log.decode(value)

"""Tests of the validation of settings files."""

from datetime import timedelta
import pathlib
import unittest

import hypothesis
from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import errors
from goldcresthaven import presets
from goldcresthaven import settings
from goldcresthaven import settings_files
from goldcresthaven import yaml_text

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'

DEPLOYMENT = """\
pools:
  - {name: stock, keyed: true, shards: 8, slots: 4, connections: 250}
  - {name: shop, keyed: false, slots: 4, connections: 250, dedup: store}
routes:
  - {prefix: /stock/, methods: [GET], pool: stock, rank: standard,
     key_segment: 1, idempotent: true}
  - {prefix: /shop/, methods: [GET], pool: shop, rank: bulk, idempotent: true}
  - {prefix: /shop/, methods: [POST], pool: shop, rank: urgent,
     idempotent: false}
presets:
  - name: ordinary
    urgent: {target: 500ms, deadline: 2s, floor: 0.5}
    standard: {target: 1s, deadline: 3s, floor: 0.3}
    bulk: {target: 8s, deadline: 30s, floor: 0.1}
    bulk_cap: 3
    claim_term: 10s
in_force: ordinary
"""
PROCESS = """\
vm: entry-1
zone: zone-a
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
operator_address: 127.0.0.1:8082
platform_address: 127.0.0.1:8000
keys_file: /run/keys
limits:
  header_size: 16KiB
"""

# Text to replace, its replacement, and the line, field and part of the
# remedy that the reported fault must have.
BAD_DEPLOYMENTS = (
    ('keyed: true,', 'keyed: true, colour: red,', 2, 'pools[0].colour',
     'remove it'),
    ('slots: 4, connections: 250}', 'slots: many, connections: 250}', 2,
     'pools[0].slots', 'whole number'),
    ('slots: 4, connections: 250}', 'connections: 250}', 2,
     'pools[0].slots', 'add it'),
    ('slots: 4, connections: 250}', 'slots: 0, connections: 250}', 2,
     'pools[0].slots', 'use 1 or more'),
    ('dedup: store', 'dedup: maybe', 3, 'pools[1].dedup',
     "'upstream', 'store' or 'none'"),
    ('dedup: store', 'dedup: none', 9, 'routes[2].idempotent',
     'set dedup to store or upstream'),
    ('dedup: store', 'dedup: upstream', 9, 'routes[2].idempotent',
     'set dedup to store'),
    ('shards: 8, ', '', 2, 'pools[0].shards', 'about 8 for each'),
    ('shards: 8, ', 'shards: 8, fenced: false, ', 2, 'pools[0].fenced',
     'let the upstreams check leases'),
    ('name: shop, keyed: false', 'name: shop, keyed: false, shards: 3', 3,
     'pools[1].shards', 'remove shards'),
    ('name: shop,', 'name: stock,', 3, 'pools[1].name', 'rename'),
    ('name: shop, keyed: false, slots: 4',
     'name: shop, keyed: false, slots: 1', 3, 'pools[1].slots',
     'a pool of its own'),
    ('name: stock,', 'name: Stock/1,', 2, 'pools[0].name', 'lower-case'),
    ('prefix: /stock/', 'prefix: stock/', 5, 'routes[0].prefix',
     'write /stock/'),
    ('[POST]', '[post]', 8, 'routes[2].methods[0]', 'write POST'),
    ('[POST]', '[GET]', 8, 'routes[2].prefix', 'move it before'),
    ('prefix: /shop/, methods: [GET]', 'prefix: /', 8, 'routes[2].prefix',
     'move it before'),
    ('pool: stock,', 'pool: stok,', 5, 'routes[0].pool', 'shop or stock'),
    ('     key_segment: 1, ', '     ', 5, 'routes[0].key_segment',
     'set key_segment'),
    ('key_segment: 1', 'key_segment: 0', 6, 'routes[0].key_segment',
     'use 1 or more'),
    ('rank: bulk,', 'rank: bulk, key_segment: 1,', 7,
     'routes[1].key_segment', 'remove key_segment'),
    ('rank: bulk', 'rank: slow', 7, 'routes[1].rank',
     "'urgent', 'standard' or 'bulk'"),
    ('floor: 0.5', 'floor: 0.7', 11, 'presets[0]', 'sum to 1 or less'),
    ('floor: 0.5', 'floor: .nan', 12, 'presets[0].urgent.floor', 'number'),
    ('target: 500ms', 'target: 500', 12, 'presets[0].urgent.target',
     'write ms, s, min or h'),
    ('target: 500ms', 'target: 500MiB', 12, 'presets[0].urgent.target',
     'with the unit ms'),
    ('target: 500ms', 'target: 3s', 12, 'presets[0].urgent.target',
     'lower the target'),
    ('target: 500ms', 'target: 0s', 12, 'presets[0].urgent.target',
     'such as 500ms'),
    ('floor: 0.1', 'floor: 0.1, queue_bytes: 4s', 14,
     'presets[0].bulk.queue_bytes', 'B, KiB or MiB'),
    ('bulk_cap: 3', 'bulk_cap: 4', 15, 'presets[0].bulk_cap',
     'use 3 or less'),
    ('claim_term: 10s', 'claim_term: 1s', 16, 'presets[0].claim_term',
     'use 3s or more'),
    ('claim_term: 10s', 'claim_grace: 1s', 16, 'presets[0].claim_grace',
     'use 10s or more'),
    ('in_force: ordinary', 'in_force: peak', 17, 'in_force',
     'use ordinary'),
    ('in_force: ordinary', '', 1, 'in_force', 'add it'),
    ('in_force: ordinary', 'in_force: ordinary\nin_force: ordinary', 18,
     'in_force', 'remove one'),
    ('in_force: ordinary', 'in_force: [ordinary', 18, '(document)',
     'correct the syntax'),
    ('in_force: ordinary', 'in_force: !!python/none x', 17, 'in_force',
     'remove the tag'),
)  # fmt: skip
BAD_PROCESSES = (
    ('zone: zone-a', 'zone: no', 2, 'zone', 'quotes'),
    ('127.0.0.1:8080', 'localhost:8080', 3, 'caller_address',
     'an IPv4 address'),
    ('127.0.0.1:8080', '127.0.0.1', 3, 'caller_address', 'and a port'),
    ('127.0.0.1:8080', '127.0.0.1:65536', 3, 'caller_address', 'a port'),
    ('127.0.0.1:8000', '127.0.0.1:0', 6, 'platform_address', 'a port'),
    ('127.0.0.1:8080', '127.0.0.1:-1', 3, 'caller_address', 'a port'),
    ('127.0.0.1:8082', '0.0.0.0:8081', 5, 'operator_address',
     'another port'),
    ('127.0.0.1:8081', '0.0.0.0:8081', 4, 'peer_address', 'interface'),
    ('/run/keys', 'keys', 7, 'keys_file', 'an absolute path'),
    ('16KiB', '16384', 9, 'limits.header_size', 'B, KiB or MiB'),
    ('16KiB', '16k', 9, 'limits.header_size', 'B, KiB or MiB'),
    ('header_size', 'heder_size', 9, 'limits.heder_size', 'correct'),
    ('vm: entry-1', 'balancer_delay: 5', 1, 'balancer_delay', 'as in 250ms'),
)  # fmt: skip


def faults_of(text: str, *, process: bool = False) -> tuple[errors.Fault, ...]:
    parse = settings.parse_process if process else settings.parse_deployment
    try:
        parse(text, file='f.yaml')
    except errors.InvalidSettings as exc:
        return exc.faults
    return ()


class SettingsTest(unittest.TestCase):
    def test_good_files_have_no_faults(self) -> None:
        """Guards against table rows that pass because the base text is bad."""
        self.assertEqual(faults_of(DEPLOYMENT), ())
        self.assertEqual(faults_of(PROCESS, process=True), ())
        # Two addresses with port 0 on the same host do not overlap.
        any_port = PROCESS.replace(':8080', ':0').replace(':8081', ':0')
        self.assertEqual(faults_of(any_port, process=True), ())

    def test_bad_files_name_line_field_and_remedy(self) -> None:
        """Guards against a bad file that is accepted or not explained."""
        rows = [(DEPLOYMENT, False, *row) for row in BAD_DEPLOYMENTS]
        rows += [(PROCESS, True, *row) for row in BAD_PROCESSES]
        for base, process, old, new, line, field, remedy in rows:
            with self.subTest(old=old, new=new):
                self.assertIn(old, base)
                text = base.replace(old, new, 1)
                found = faults_of(text, process=process)
                places = [(f.line, f.field) for f in found]
                self.assertIn((line, field), places)
                self.assertEqual(places.count((line, field)), 1)
                fault = found[places.index((line, field))]
                self.assertIn(remedy, fault.remedy)
                self.assertEqual(fault.file, 'f.yaml')

    def test_all_faults_are_reported_once(self) -> None:
        """Guards against a check that reports only one fault per run."""
        text = DEPLOYMENT.replace('slots: 4', 'slots: x', 1)
        text = text.replace('floor: 0.5', 'floor: 0.7')
        text = text.replace('[POST]', '[post]') + 'extra: 1\nextra: 2\n'
        fields = [f.field for f in faults_of(text)]
        self.assertEqual(
            fields,
            [
                'pools[0].slots',
                'routes[2].methods[0]',
                'presets[0]',
                'extra',
                'extra',
            ],
        )

    def test_yaml_is_bounded(self) -> None:
        """Guards against a small file that exhausts memory or the stack."""
        bomb = ['a0: &a0 [x, x, x, x, x, x, x, x, x, x]']
        for i in range(1, 12):
            items = ', '.join([f'*a{i - 1}'] * 10)
            bomb.append(f'a{i}: &a{i} [{items}]')
        rows = {
            'aliases': ('\n'.join(bomb), 'remove the aliases'),
            'recursion': ('a: &a [*a]', 'remove the aliases'),
            'depth': ('a: ' + '[' * 10_000, 'reduce the nesting'),
            'size': ('#' * (yaml_text.MAX_BYTES + 1), 'split it'),
            'values': ('[' + 'a,' * 60_000 + ']', 'split the file'),
            'empty': ('', 'write the settings'),
            'number': ('a: ' + '9' * 5000, 'in quotes'),
            'control': ('a: \x00', 'UTF-8'),
            'list': ('- a', 'mapping'),
        }
        for name, (text, remedy) in rows.items():
            with self.subTest(name):
                remedies = [f.remedy for f in faults_of(text)]
                self.assertTrue(any(remedy in r for r in remedies), remedies)

    def test_aliases_within_bounds_are_kept(self) -> None:
        """Guards against limits that reject ordinary anchors."""
        text = DEPLOYMENT.replace('standard: {', 'standard: &s {')
        text += '# ' + 'x' * 100
        self.assertEqual(faults_of(text), ())

    @hypothesis.settings(derandomize=True, deadline=None)
    @given(st.data())
    def test_damaged_files_are_explained(self, data: st.DataObject) -> None:
        """Guards against a traceback for a truncated or corrupted file."""
        base = data.draw(st.sampled_from((DEPLOYMENT, PROCESS)))
        at = data.draw(st.integers(0, len(base)))
        cut = data.draw(st.integers(0, 40))
        text = base[:at] + data.draw(st.text(max_size=8)) + base[at + cut :]
        for process in (False, True):
            for fault in faults_of(text, process=process):
                self.assertTrue(fault.line >= 1 and fault.remedy, fault)

    @hypothesis.settings(derandomize=True)
    @given(st.timedeltas(timedelta(), timedelta(days=9)))
    def test_durations_survive_writing(self, value: timedelta) -> None:
        """Guards against a duration that changes when stored and read back."""
        text = presets.format_duration(value)
        self.assertEqual(presets.parse_duration(text), value)

    def test_examples_load(self) -> None:
        """Guards against examples that the current release rejects."""
        shapes = {
            'qasr.yaml': {'catalogue': (4, 250), 'orders': (4, 250),
                          'dispatch': (4, 250)},
            'kleepsuke.yaml': {'listings': (2, 230), 'redemption': (2, 230),
                               'shop': (2, 230)},
        }  # fmt: skip
        for name, pools in shapes.items():
            document = settings_files.read_deployment(EXAMPLES / name)
            found = {p.name: (p.slots, p.connections) for p in document.pools}
            self.assertEqual(found, pools)
            names = {p.name for p in document.presets}
            self.assertEqual(names, {'ordinary', 'peak', 'maintenance'})
        cfg = settings_files.read_process(EXAMPLES / 'entry.yaml')
        self.assertEqual(str(cfg.peer_address), '10.0.1.11:8081')

    def test_unreadable_files_are_explained(self) -> None:
        """Guards against a traceback for a path that does not exist."""
        with self.assertRaisesRegex(errors.SettingsError, 'check the path'):
            settings_files.read_process(EXAMPLES / 'absent.yaml')

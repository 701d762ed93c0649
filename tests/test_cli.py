"""Tests of the command line against a fake process on loopback."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
from typing import Any
import unittest
from unittest import mock
from xml.etree import ElementTree

from typer import testing

from goldcresthaven import cli
from goldcresthaven import cli_session
from goldcresthaven import config_changes
from goldcresthaven import ids
from tests import fake_process
from tests import memory_store
from tests import test_config

Exit = cli_session.Exit
EXAMPLES = test_config.QASR.parent
QASR = str(test_config.QASR)


def load_signer(keys_file: pathlib.Path, author: str) -> Any:
    return fake_process.FakeAuth()


class CliTest(unittest.TestCase):
    def setUp(self) -> None:
        self.process = fake_process.FakeProcess(test_config.DOCUMENT)
        server = fake_process.Server(self.process)
        self.enterContext(server)
        self.enterContext(
            mock.patch.object(cli_session, 'load_signer', load_signer)
        )
        self.env = {
            'GOLDCRESTHAVEN_ENTRY': server.address,
            'GOLDCRESTHAVEN_KEYS_FILE': '/run/keys',
        }

    def run_cli(self, *args: str, **kwargs: Any) -> testing.Result:
        env = {**self.env, **kwargs.pop('env', {})}
        runner = testing.CliRunner()
        return runner.invoke(cli.app, list(args), env=env, **kwargs)

    def test_reading_commands(self) -> None:
        """Guards against output that lacks essential information."""
        rows: tuple[tuple[tuple[str, ...], int, str], ...] = (
            (('status',), 0, 'entry-b1 in zone-b: NOT READY, .*BEHIND'),
            (('status',), 0, 'NO RESPONSE from entry-c1'),
            (('status',), 0, 'claim zone-a/0: held, holder entry-a1, epo'),
            (('preset', 'list'), 0, r'\* ordinary'),
            (('preset', 'show'), 0, 'ordinary(.|\n)*version 1 by tarmo'),
            (('preset', 'show', 'peak'), 0, 'peak(.|\n)*not in force'),
            (('preset', 'show', 'x'), 3, 'use maintenance, ordinary or peak'),
            (('explain', 'key', 'oak net'), 0, 'oak net .* served'),
            (('explain', 'key', 'a', '--pool', 'x'), 3, 'use catalogue'),
            (('explain', 'request', 'r1'), 0, 'may have been executed'),
            (('explain', 'request', 'r2'), 9, 'remembers the request'),
            (('timeline',), 0, 'entry-a1 claim.raise request=r1 epoch 3'),
            (('timeline',), 0, 'NO RESPONSE from entry-c1'),
            (('timeline', '--after', 'soon'), 2, 'write 2026'),
            (('timeline', '--limit', '0'), 2, 'limit'),
        )
        for args, code, text in rows:
            with self.subTest(args=args, text=text):
                result = self.run_cli(*args)
                self.assertEqual(result.exit_code, code, result.output)
                self.assertRegex(result.output, text)

    def test_json_is_printed_alone(self) -> None:
        """Guards against extra output that is not JSON."""
        rows: tuple[tuple[tuple[str, ...], str], ...] = (
            (('status',), 'local'),
            (('preset', 'list'), 'in_force'),
            (('preset', 'show'), 'urgent'),
            (('explain', 'key', 'a'), 'served'),
            (('explain', 'request', 'r1'), 'request'),
            (('timeline',), 'events'),
            (('drain', 'u1', '--dry-run'), 'difference'),
            (('zone', 'confirm-lost', 'z', '--dry-run'), 'difference'),
            (('preset', 'switch', 'peak', '--dry-run'), 'difference'),
        )
        for args, field in rows:
            with self.subTest(args=args):
                result = self.run_cli(*args, '--json')
                self.assertIn(field, json.loads(result.stdout))

    def test_changes(self) -> None:
        """Guards against an exit code that does not match the result.

        The columns are the script of the store, arguments, exit code,
        output and the version in force afterwards.
        """
        rows: tuple[tuple[str, tuple[str, ...], int, str, int], ...] = (
            ('', ('preset', 'switch', 'peak'), 0, 'accepted as version 2', 2),
            ('', ('preset', 'switch', 'peak', '--dry-run'), 0,
             'in_force: ordinary -> peak(.|\n)*nothing was stored', 1),
            ('', ('preset', 'switch', 'x'), 3, 'use maintenance', 1),
            ('', ('preset', 'set', 'peak', 'bulk_cap', '2'), 0,
             'bulk_cap: none -> 2', 2),
            ('', ('preset', 'set', 'peak', 'bulk_cap', '4'), 3,
             'use 3 or less', 1),
            ('', ('preset', 'create', 'fair', '--from', 'peak', '--set',
                  'urgent.target=400ms'), 0,
             'presets.fair.urgent.target: 400ms', 2),
            ('', ('preset', 'create', 'fair', '--set', 'urgent.target'), 2,
             'has no =', 1),
            ('', ('drain', 'u1'), 0, 'drained.u1: yes', 2),
            ('', ('undrain', 'u1'), 3, 'is not drained', 1),
            ('', ('zone', 'confirm-lost', 'z', '--yes'), 0, 'lost_zones.z', 2),
            ('', ('zone', 'restore', 'z'), 3, 'is not lost', 1),
            ('', ('init', QASR), 4, 'CONFLICT', 1),
            ('', ('init', QASR, '--replace'), 3, 'no effect', 1),
            ('', ('init', QASR + 'x'), 3, 'check the path', 1),
            ('cc', ('drain', 'u1'), 5, 'NOT ACCEPTED', 1),
            ('dd', ('drain', 'u1'), 6, 'STILL UNKNOWN', 1),
        )  # fmt: skip
        first = self.process.entry
        for script, args, code, text, version in rows:
            with self.subTest(args=args, script=script):
                self.process.entry = first
                self.process.store = memory_store.MemoryStore(script)
                result = self.run_cli(*args)
                self.assertEqual(result.exit_code, code, result.output)
                self.assertRegex(result.output, text)
                assert self.process.entry is not None
                self.assertEqual(self.process.entry.version, version)

    def test_conflict_shows_the_other_change(self) -> None:
        """Guards against overwriting another operator's change unnoticed."""
        other = config_changes.Drain(upstream=ids.UpstreamId('u9'))
        self.process.submit_as_other_operator(other)
        result = self.run_cli('preset', 'switch', 'peak')
        self.assertEqual(result.exit_code, Exit.CONFLICT)
        self.assertIn('tarmo made version 2: drain u9', result.output)

    def test_confirmation_is_asked(self) -> None:
        """Guards against confirming a lost zone by mistake."""
        for answer, code, version in (('n\n', 1, 1), ('y\n', 0, 2)):
            result = self.run_cli('zone', 'confirm-lost', 'z', input=answer)
            self.assertEqual(result.exit_code, code)
            assert self.process.entry is not None
            self.assertEqual(self.process.entry.version, version)

    def test_first_configuration(self) -> None:
        """Guards against an init command that cannot store version 1."""
        self.process.entry = None
        result = self.run_cli('drain', 'u1')
        self.assertEqual(result.exit_code, Exit.REFUSED)
        self.assertIn('init FILE', result.output)
        result = self.run_cli('init', QASR)
        self.assertEqual(result.exit_code, Exit.DONE, result.output)
        self.assertIn('accepted as version 1', result.output)

    def test_unsigned_change_is_refused(self) -> None:
        """Guards against a change that is not signed."""
        env = {'GOLDCRESTHAVEN_KEYS_FILE': ''}
        result = self.run_cli('drain', 'u1', env=env)
        self.assertEqual(result.exit_code, Exit.NOT_AUTHENTICATED)
        self.assertIn('--keys-file', result.output)

    def test_unreachable_entry_process(self) -> None:
        """Guards against a traceback when the process is unreachable."""
        with socket.create_server(('127.0.0.1', 0)) as unused:
            port = unused.getsockname()[1]
        rows = (
            (f'127.0.0.1:{port}', 7, 'name another with --entry'),
            ('entry-a1:80', 2, 'an IPv4 address and a port'),
        )
        for entry, code, text in rows:
            result = self.run_cli('status', '--entry', entry)
            self.assertEqual(result.exit_code, code, result.output)
            self.assertIn(text, ' '.join(result.output.split()))

    def test_lost_response_to_a_change_is_unknown(self) -> None:
        """Guards against a stored change that is reported as failed."""
        config = self.process.entry
        assert config is not None
        with BrokenServer(self.env['GOLDCRESTHAVEN_ENTRY']) as address:
            result = self.run_cli('drain', 'u1', '--entry', address)
        self.assertEqual(result.exit_code, Exit.STILL_UNKNOWN, result.output)
        self.assertIn('preset show', result.output)
        assert self.process.entry is not None
        self.assertEqual(self.process.entry.document.drained, ('u1',))

    def test_timeline_picture(self) -> None:
        """Guards against a picture that is invalid XML or omits a process."""
        with tempfile.TemporaryDirectory() as directory:
            file = pathlib.Path(directory) / 'picture.svg'
            result = self.run_cli('timeline', '--svg', str(file))
            self.assertEqual(result.exit_code, 0, result.output)
            root = ElementTree.fromstring(file.read_text())
            bad = str(file.parent / 'no' / 'file.svg')
            result = self.run_cli('timeline', '--svg', bad)
            self.assertEqual(result.exit_code, Exit.REFUSED)
        texts = ' '.join(root.itertext())
        for text in ('entry-a1', 'entry-b1', 'entry-c1 (no response)', '<&>'):
            self.assertIn(text, texts)

    def test_timeline_filters(self) -> None:
        """Guards against a filter option that is ignored."""
        result = self.run_cli(
            'timeline', '--key', 'a', '--process', 'p', '--request', 'r',
            '--after', '2026-01-01T00:00', '--before', '5min',
        )  # fmt: skip
        self.assertEqual(result.exit_code, 0, result.output)
        query = self.process.queries[-1]
        self.assertEqual(query.after, fake_process.START)
        self.assertEqual((query.process, query.request), ('p', 'r'))
        self.assertEqual(len(query.key_hash or ''), 16)
        self.assertIsNotNone(query.before)


class CheckTest(unittest.TestCase):
    def test_examples_and_faults(self) -> None:
        """Guards against a check that accepts an invalid file."""
        runner = testing.CliRunner()
        files = [str(path) for path in sorted(EXAMPLES.glob('*.yaml'))]
        result = runner.invoke(cli.app, ['check', *files])
        self.assertEqual(result.exit_code, 0, result.output)
        text = test_config.QASR.read_text()
        with tempfile.TemporaryDirectory() as directory:
            file = pathlib.Path(directory) / 'bad.yaml'
            file.write_text(text.replace('floor: 0.5', 'floor: 0.7'))
            result = runner.invoke(cli.app, ['check', str(file)])
            self.assertEqual(result.exit_code, Exit.REFUSED)
            self.assertIn(f'{file}:28: presets[0]: the floors', result.output)
            result = runner.invoke(cli.app, ['check', '--json', str(file)])
            self.assertEqual(json.loads(result.stdout)[0]['line'], 28)

    def test_run_checks_settings_first(self) -> None:
        """Guards against a process that starts with invalid settings."""
        result = testing.CliRunner().invoke(cli.app, ['run', QASR])
        self.assertEqual(result.exit_code, Exit.REFUSED)
        self.assertIn('peer_address', result.output)

    def test_run_starts_the_entry_process(self) -> None:
        """Guards against a run command that does not start the process."""
        entry = mock.Mock()
        file = EXAMPLES / 'entry.yaml'
        modules = {'goldcresthaven.entry': entry}
        with mock.patch.dict(sys.modules, modules):
            result = testing.CliRunner().invoke(cli.app, ['run', str(file)])
        self.assertEqual(result.exit_code, 0, result.output)
        entry.main.assert_called_once_with(file)

    def test_module_and_completion(self) -> None:
        """Guards against a missing entry point or shell completion."""
        command = [sys.executable, '-m', 'goldcresthaven']
        env = {**os.environ, '_GOLDCRESTHAVEN_COMPLETE': 'complete_bash'}
        env |= {'COMP_WORDS': 'goldcresthaven pre', 'COMP_CWORD': '1'}
        rows: tuple[tuple[list[str], dict[str, str] | None, str], ...] = (
            (['--help'], None, '6  the change was sent'),
            ([], env, 'preset'),
        )
        for args, environment, text in rows:
            done = subprocess.run(
                [*command, *args],
                env=environment,
                capture_output=True,
                text=True,
                timeout=60,
            )
            self.assertIn(text, done.stdout, done.stderr)


class BrokenServer:
    """Forwards calls, but truncates the response to each POST."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._sock = socket.create_server(('127.0.0.1', 0))
        self._thread = threading.Thread(target=self._serve)

    def __enter__(self) -> str:
        self._thread.start()
        return f'127.0.0.1:{self._sock.getsockname()[1]}'

    def __exit__(self, *args: object) -> None:
        self._thread.join(10)
        self._sock.close()

    def _serve(self) -> None:
        # The command makes three calls: it reads the configuration and the
        # name of the VM, and then sends the change.
        self._sock.settimeout(10)
        for _ in range(3):
            caller, _ = self._sock.accept()
            with caller, socket.create_connection(self._target) as upstream:
                request = caller.recv(1 << 16)
                upstream.sendall(request)
                response = b''
                while piece := upstream.recv(1 << 16):
                    response += piece
                cut = 30 if request.startswith(b'POST') else len(response)
                caller.sendall(response[:cut])

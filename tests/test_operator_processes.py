"""The operator's commands against running entry processes."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import json
import subprocess
import sys
from typing import Any

from goldcresthaven import aio
from goldcresthaven import candidates
from goldcresthaven import cli_session
from goldcresthaven import clock as clock_module
from goldcresthaven import http_head
from goldcresthaven import members
from goldcresthaven import timeline_sync
from tests import fleet_case
from tools import deployment
from tools import entry_harness
from tools import http_client
from tools import processes

Exit = cli_session.Exit
CLOCK = clock_module.SystemClock()
COMMAND_SECONDS = 30
# With this store latency, two commands that start together nearly always
# overlap. On a busy machine it may take another try.
STORE_DELAY_MS = 500
CONFLICT_TRIES = 5


def operator_of(entry: processes.Process) -> str:
    return str(entry.startup_info['operator'])


class OperatorCase(fleet_case.FleetCase):
    """Two entry processes, two keyed upstreams and one without keys."""

    def setUp(self) -> None:
        super().setUp()
        for name in ('keyed-a', 'keyed-b', 'free-a'):
            self.start_upstream(name, keyed=name.startswith('keyed'))
        self.entries = [self.start_entry(n) for n in ('entry-1', 'entry-2')]

    def run_fleet(self, test: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            await self.publish_valid()
            for entry in self.entries:
                address = fleet_case.address_of(entry)
                await self.until_served(address)
                await self.until_keyed(address)
            await test()

        entry_harness.run(main)

    async def publish_valid(self) -> None:
        """Store a document that a change can be applied to.

        The document of the entry harness routes payments to a pool without
        deduplication, and a change of it would be refused as invalid.
        """
        document = entry_harness.make_document('2s')
        routes = tuple(r for r in document.routes if r.prefix != '/pay/')
        await deployment.store_members(
            self.store_address, self.members_by_name.values()
        )
        await deployment.store_document(
            self.store_address,
            document.model_copy(update={'routes': routes}),
        )

    async def until_keyed(self, entry: members.Address) -> None:
        async def served() -> bool:
            response = await http_client.fetch(entry, 'GET', '/keyed/k')
            return response.status == 200

        await self.until(served)

    def start_command(
        self, number: int, *args: str, keys: str = 'keys.yaml'
    ) -> subprocess.Popen[str]:
        command = [sys.executable, '-m', 'goldcresthaven', *args, '--json']
        env = {
            'GOLDCRESTHAVEN_ENTRY': operator_of(self.entries[number]),
            'GOLDCRESTHAVEN_KEYS_FILE': str(self.folder / keys),
            'GOLDCRESTHAVEN_AUTHOR': f'operator-{number}',
            # A fixed environment keeps the printed text, such as its line
            # ends, the same everywhere.
            'PATH': '/usr/bin:/bin',
            'LC_ALL': 'C.UTF-8',
        }
        return subprocess.Popen(
            command,
            env=env,
            cwd=processes.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def wait_for_command(
        self, started: subprocess.Popen[str], *codes: Exit
    ) -> tuple[int, Any]:
        """Return the exit code and the decoded output, or the error text."""
        try:
            out, err = started.communicate(timeout=COMMAND_SECONDS)
        except subprocess.TimeoutExpired:
            started.kill()
            started.communicate()
            raise
        self.assertIn(started.returncode, codes, err)
        return started.returncode, json.loads(out) if out else err

    def run_command(
        self, number: int, *args: str, code: Exit = Exit.DONE, **more: str
    ) -> Any:
        """Run a command at an entry process and return its output."""
        return self.wait_for_command(
            self.start_command(number, *args, **more), code
        )[1]


class ReadingTest(OperatorCase):
    def test_status_and_explanations(self) -> None:
        """Guards against commands that work only with the fake process."""

        async def test() -> None:
            await self._check_status()
            shown = self.run_command(0, 'explain', 'key', 'k')
            self.assertTrue(shown['served'], shown)
            self.assertIn(shown['owner'], ('keyed-a', 'keyed-b'))
            self.assertIn(shown['holder'], ('entry-1', 'entry-2'))
            self.assertGreaterEqual(shown['epoch'], 1)
            await self._check_request(shown)

        self.run_fleet(test)

    async def _until_claims_are_read(self) -> None:
        """Wait for the next read of the claims by both processes.

        Keys are served as soon as the map and the leases are known. A
        process reads the claims once a second, so its status may list none
        until then.
        """
        latest = CLOCK.elapsed() + candidates.MAX_READ_GAP

        async def listed() -> bool:
            shown = [self.run_command(n, 'status') for n in (0, 1)]
            return all(s['local']['claims'] for s in shown)

        await self.until(listed)
        self.assertLess(CLOCK.elapsed(), latest)

    async def _check_status(self) -> None:
        await self._until_claims_are_read()
        for number, other in ((0, 'entry-2'), (1, 'entry-1')):
            shown = self.run_command(number, 'status')
            self.assertTrue(shown['local']['readiness']['ready'])
            self.assertEqual(shown['local']['config_version'], 1)
            self.assertEqual(shown['unreachable'], [])
            peer = shown['peers'][0]
            self.assertEqual((peer['vm'], peer['reachable']), (other, True))
            self.assertEqual(
                (peer['ready'], peer['config_version']), (True, 1)
            )
            states = {
                u['upstream']: u['state'] for u in shown['local']['upstreams']
            }
            self.assertEqual(
                states, {'keyed-a': 'up', 'keyed-b': 'up', 'free-a': 'up'}
            )
            self.assertGreater(shown['local']['memory_bytes'], 1 << 20)
            claim = shown['local']['claims'][0]
            mine = claim['holder'] == shown['local']['vm']
            self.assertEqual(claim['state'], 'held' if mine else 'other')

    async def _check_request(self, key: Any) -> None:
        """Check that a process explains a request that its peer served."""
        address = fleet_case.address_of(self.entries[1])
        response = await http_client.fetch(address, 'GET', '/keyed/k')
        name = http_head.find(response.headers, 'x-request-id') or ''
        shown = self.run_command(0, 'explain', 'request', name)['request']
        self.assertEqual(shown['process'], 'entry-2')
        self.assertEqual(shown['outcome'], 'done')
        self.assertEqual(shown['key_hash'], key['key_hash'])
        self.assertEqual(shown['shard'], key['shard'])
        self.assertEqual(shown['epoch'], key['epoch'])
        self.assertEqual(shown['attempts'][0]['upstream'], key['owner'])
        self.run_command(0, 'explain', 'request', 'x', code=Exit.NOT_FOUND)

    def test_frozen_peer_is_marked(self) -> None:
        """Guards against a response that does not name unreachable peers."""

        async def copied() -> bool:
            """Return whether entry-1 has copies of milestones of entry-2."""
            self.entries[1].send(fleet_case.STOP)
            try:
                timeline = self.run_command(0, 'timeline')
            finally:
                self.entries[1].send(fleet_case.CONTINUE)
            self.assertEqual(timeline['unreachable'], ['entry-2'])
            kinds = {
                e['kind']
                for e in timeline['events']
                if e['process'] == 'entry-2'
            }
            return 'process-started' in kinds

        async def test() -> None:
            while not await copied():
                # A process copies its milestones once a second while it is
                # running, so let it run for a while between two checks.
                await aio.sleep(2 * timeline_sync.COPY_INTERVAL)
            self.entries[1].send(fleet_case.STOP)
            try:
                status = self.run_command(0, 'status')
                asked = self.run_command(
                    0, 'explain', 'request', 'x', code=Exit.NOT_FOUND
                )
            finally:
                self.entries[1].send(fleet_case.CONTINUE)
            for shown in (status, asked):
                self.assertEqual(shown['unreachable'], ['entry-2'])

        self.run_fleet(test)


class ChangingTest(OperatorCase):
    def test_two_operators_switch_presets(self) -> None:
        """Guards against two accepted changes of the same version."""

        async def test() -> None:
            for name in ('fair', 'night'):
                self.run_command(0, 'preset', 'create', name)
            await self.until_version(1, 3)
            conflict = await self._switch_concurrently()
            self.assertEqual(conflict['state'], 'conflict')
            self.assertRegex(conflict['other_author'], 'operator-[01]')
            self.assertIn('preset', conflict['other_change'])
            timeline = self.run_command(0, 'timeline')
            kinds = [e['kind'] for e in timeline['events']]
            switched = kinds.index('preset-switched')
            self.assertIn('config-conflict', kinds[switched:])

        self.run_fleet(test)

    async def _switch_concurrently(self) -> Any:
        """Switch presets from two operators at once; return the conflict."""
        for _ in range(CONFLICT_TRIES):
            await self.set_faults(delay_ms=STORE_DELAY_MS)
            started = [
                self.start_command(0, 'preset', 'switch', 'fair'),
                self.start_command(1, 'preset', 'switch', 'night'),
            ]
            done = [
                self.wait_for_command(s, Exit.DONE, Exit.CONFLICT)
                for s in started
            ]
            await self.set_faults(delay_ms=0)
            versions = [v['version'] for code, v in done if code == Exit.DONE]
            self.assertEqual(len(versions), len(set(versions)))
            conflicts = [v for code, v in done if code == Exit.CONFLICT]
            if conflicts:
                self.assertEqual(len(versions), 1)
                return conflicts[0]
            self.run_command(0, 'preset', 'switch', 'ordinary')
            await self.until_version(1, max(versions) + 1)
        self.fail('the two commands never overlapped')

    async def until_version(self, number: int, version: int) -> None:
        async def applied() -> bool:
            shown = self.run_command(number, 'status')
            return bool(shown['local']['config_version'] == version)

        await self.until(applied)

    def test_drain_moves_the_key(self) -> None:
        """Guards against a drain that is accepted but has no effect."""

        async def test() -> None:
            owner = self.run_command(0, 'explain', 'key', 'k')['owner']
            shown = self.run_command(0, 'drain', owner)
            self.assertEqual(
                (shown['state'], shown['version']), ('accepted', 2)
            )

            async def moved() -> bool:
                found = self.run_command(1, 'explain', 'key', 'k')
                return bool(found['served'] and found['owner'] != owner)

            await self.until(moved)
            upstreams = self.run_command(1, 'status')['local']['upstreams']
            drained = next(u for u in upstreams if u['upstream'] == owner)
            self.assertEqual(drained['state'], 'draining')
            timeline = self.run_command(1, 'timeline')
            kinds = [e['kind'] for e in timeline['events']]
            accepted = kinds.index('config-accepted')
            self.assertIn('move-written', kinds[accepted:])
            timeline = self.run_command(1, 'timeline', '--key', 'k')
            details = ' '.join(e['detail'] for e in timeline['events'])
            self.assertIn('new owner', details)
            self.assertEqual(
                self.run_command(0, 'undrain', owner)['state'], 'accepted'
            )

        self.run_fleet(test)

    def test_wrong_key_and_store_down(self) -> None:
        """Guards against a change without the keys and a wrong "not stored".

        While the store is down, the process cannot know whether the change
        was stored.
        """

        async def test() -> None:
            text = (self.folder / 'keys.yaml').read_text()
            secret = text.split('secret: ')[1].strip()
            wrong = text.replace(secret, secret[::-1].lstrip('=') + '=')
            (self.folder / 'wrong.yaml').write_text(wrong)
            problem = self.run_command(
                0,
                'drain',
                'free-a',
                code=Exit.NOT_AUTHENTICATED,
                keys='wrong.yaml',
            )
            self.assertIn('wrong MAC', problem)
            await self.set_faults(down=True)
            code, _ = self.wait_for_command(
                self.start_command(0, 'drain', 'free-a'),
                Exit.NOT_ACCEPTED,
                Exit.STILL_UNKNOWN,
            )
            await self.set_faults(down=False)
            self.assertEqual(code, Exit.STILL_UNKNOWN)

        self.run_fleet(test)

    def test_stop_with_open_operator_connection(self) -> None:
        """Guards against a shutdown delayed by an idle operator connection."""

        async def test() -> None:
            address = members.Address.parse(operator_of(self.entries[0]))
            caller = http_client.Caller(address)
            await caller.fetch('GET', '/health')
            self.entries[0].terminate()

            async def leaving() -> bool:
                response = await caller.fetch('GET', '/ready')
                return response.status == 503

            await self.until(leaving)
            for _ in range(entry_harness.MAX_CHECKS):
                if self.entries[0].popen.poll() is not None:
                    break
                await aio.sleep(timedelta(milliseconds=20))
            self.assertEqual(self.entries[0].popen.poll(), 0)
            await caller.close()

        self.run_fleet(test)

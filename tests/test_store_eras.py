"""Tests of followers and clients whose store comes back from a copy.

The followers use the real client, and the stand-in store over loopback.
"""

import collections
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
import random
from typing import Any
import unittest

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import known_state as known_state_module
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import state_store
from goldcresthaven import store_follower
from goldcresthaven import table_relay
from goldcresthaven import upstream_notices
from goldcresthaven.platform import decode
from goldcresthaven.platform import store as platform_store
from standins import server
from standins import table_store
from tools import entry_harness
from tools import http_client

CONFIG = state_store.Table.CONFIG
CLAIM = state_store.Key(table=state_store.Table.CLAIMS, key='pool')
# The version of the copy, and the newest version before the restore.
COPY_VERSION, LOST_VERSION = 900, 1000
# A change has to be in force within 2 s after the store accepted it.
LIMIT = timedelta(seconds=2)
POOL = ids.PoolName('pool')
BORN = 1700000000000
REPORT_INTERVAL = timedelta(milliseconds=50)


class Process:
    """The follower of one process, with its own connections to the store."""

    def __init__(
        self,
        address: members.Address,
        *,
        relay: bool,
        relay_rows: Callable[[table_relay.RowChanges], None],
    ) -> None:
        self.clock = clock.SystemClock()
        self.known_state = known_state_module.KnownState(
            notices=upstream_notices.UpstreamNotices(rng=random.Random(3))
        )
        self.client = platform_store.PlatformStore(
            address=address, clock=clock.SystemClock()
        )
        self.follower = store_follower.Follower(
            store=self.client,
            decoder=decode,
            known_state=self.known_state,
            on_registry=lambda changed: None,
            is_relay=lambda: relay,
            relay_rows=relay_rows,
            clock=self.clock,
            rng=random.Random(1),
        )

    def config_version(self) -> int:
        config = self.known_state.config
        return config.version if config is not None else 0

    def uses(self, name: str) -> bool:
        """Return whether an upstream gets new work."""
        usable = self.known_state.registry.usable(POOL, self.clock.elapsed())
        return any(upstream.upstream_id == name for upstream in usable)

    def counts_as_gone(self, name: str) -> bool:
        upstreams = self.known_state.registry
        upstream_id = ids.UpstreamId(name)
        known = upstreams.get(upstream_id) is not None
        left = upstreams.departure(upstream_id, self.clock.elapsed())
        return not known or left is not None

    def states(self) -> list[table_relay.TableState]:
        now = self.clock.elapsed()
        states = [
            position.state(table, now)
            for table, position in self.known_state.positions.items()
        ]
        return [state for state in states if state is not None]


class EraCase(unittest.TestCase):
    """A store with a copy at version 900 and lost versions up to 1000.

    The copy has the entry of the upstream 'old' and a configuration.
    """

    async def start_store(self) -> members.Address:
        self.store = table_store.TableStore()
        listener = await entry_harness.listen(
            server.serve_with(self.store.handle)
        )
        self.address = members.Address(
            host=entry_harness.HOST, port=listener.port
        )
        self.store.version = COPY_VERSION - 2
        await self.register('old')
        await self.write_config(5)
        self.store.past = collections.deque(
            replace(copy, at=copy.at - 10.0) for copy in self.store.past
        )
        await self.write_until(LOST_VERSION)
        return self.address

    async def own(self, table: str, key: str, document: Any) -> None:
        row = table_store.make_row(table, key, document)
        await http_client.post_json(self.address, '/own', {'put': [row]})

    async def write_config(self, version: int) -> None:
        document = {
            'version': f'{version:08x}',
            'routes': {},
            'services': {},
            'limits': {},
        }
        await self.own('op', 'config', document)

    async def register(
        self, name: str, *, state: str = 'ready', born: int = BORN
    ) -> None:
        info = {'service': POOL, 'version': 'v1', 'zone': 'a', 'slots': 4}
        status = {'state': state, 'sequence': 1, 'cold-left-s': 0}
        document = {
            'addr': '127.0.0.1:9',
            'info': info,
            'status': status,
            'born': born,
        }
        await self.own('servers', name, document)

    async def unregister(self, name: str) -> None:
        entry = {'table': 'servers', 'part': '', 'key': name}
        await http_client.post_json(self.address, '/own', {'remove': [entry]})

    async def write_until(self, version: int) -> None:
        """Write rows that nobody needs, up to a version of the store."""
        for table in ('op', 'servers'):
            await self.own(table, 'other', {})
        self.store.version = version - 2
        for table in ('op', 'servers'):
            await self.own(table, 'other', {})

    async def restore(self) -> None:
        await http_client.post_json(self.address, '/restore', {'back_s': 5.0})
        self.assertEqual(self.store.version, COPY_VERSION)


class FollowerCase(EraCase):
    """Two processes that follow the store; the first relays to the other."""

    async def start(self) -> None:
        address = await self.start_store()
        self.reporting = True
        self.relay = Process(
            address, relay=True, relay_rows=lambda rows: self.send(rows)
        )
        self.other = Process(
            address, relay=False, relay_rows=lambda rows: None
        )
        self.processes = (self.relay, self.other)
        for process in self.processes:
            await process.follower.start()
        await aio.spawn(self.report())
        await self.until(lambda p: p.config_version() == 5)
        await self.until(
            lambda p: all(
                state_store.number_of(position.reached or 0) == LOST_VERSION
                for position in p.known_state.positions.values()
            )
        )
        # The other process does not poll while the relay reports.
        await aio.sleep(timedelta(seconds=1))

    def send(self, rows: table_relay.RowChanges) -> None:
        self.other.follower.apply_rows(rows, self.other.clock.elapsed())

    async def report(self) -> None:
        while True:
            if self.reporting:
                self.other.follower.apply_report(
                    self.relay.states(), self.other.clock.elapsed()
                )
            await aio.sleep(REPORT_INTERVAL)

    async def until(self, condition: Callable[[Process], bool]) -> None:
        """Wait until a condition holds for the relay and the other."""
        for name, process in zip(('relay', 'other'), self.processes):
            try:
                async with aio.timeout(LIMIT):
                    while not condition(process):
                        await aio.sleep(timedelta(milliseconds=5))
            except errors.DeadlineExceeded as exc:
                raise AssertionError(f'{name}: not reached') from exc

    async def check_that_it_stays(
        self, condition: Callable[[Process], bool], what: str
    ) -> None:
        for _ in range(30):
            for name, process in zip(('relay', 'other'), self.processes):
                self.assertTrue(condition(process), f'{name}: not {what}')
            await aio.sleep(timedelta(milliseconds=50))


class FollowerTest(FollowerCase):
    def test_first_change_after_a_restore_is_applied(self) -> None:
        """Guards against a change with a version below the known ones."""

        async def test() -> None:
            await self.start()
            await self.restore()
            await self.write_config(6)
            await self.until(lambda p: p.config_version() == 6)

        entry_harness.run(test)

    def test_change_is_applied_when_versions_have_caught_up(self) -> None:
        """Guards against a missed change below the known version.

        The lost version 901 is given out again for a new configuration, and
        the next poll follows version 1001.
        """

        async def test() -> None:
            await self.start()
            await self.restore()
            await self.write_config(6)
            await self.write_until(LOST_VERSION + 10)
            await self.until(lambda p: p.config_version() == 6)

        entry_harness.run(test)

    def test_entry_is_applied_when_versions_have_caught_up(self) -> None:
        """Guards against an upstream that stays unknown after a restore."""

        async def test() -> None:
            await self.start()
            await self.restore()
            await self.register('new')
            await self.write_until(LOST_VERSION + 10)
            await self.until(lambda p: p.uses('new'))

        entry_harness.run(test)

    def test_version_given_out_again_is_applied(self) -> None:
        """Guards against a change with exactly the known version."""

        async def test() -> None:
            await self.start()
            await self.restore()
            self.store.version = LOST_VERSION - 1
            await self.write_config(6)
            self.assertEqual(self.store.version, LOST_VERSION)
            await self.until(lambda p: p.config_version() == 6)

        entry_harness.run(test)

    def test_configuration_stays_while_the_store_has_an_older_one(
        self,
    ) -> None:
        """Guards against a configuration that becomes older again."""

        async def test() -> None:
            await self.start()
            await self.write_config(6)
            await self.until(lambda p: p.config_version() == 6)
            await self.restore()
            await self.check_that_it_stays(
                lambda p: p.config_version() == 6, 'version 6'
            )

        entry_harness.run(test)

    def test_late_reports_of_the_older_era_are_harmless(self) -> None:
        """Guards against trust in a relay that has not seen the restore."""

        async def test() -> None:
            await self.start()
            old = self.relay.states()
            self.reporting = False
            await self.restore()
            await self.write_config(6)
            await self.until(lambda p: p.config_version() == 6)
            await self.write_config(7)
            self.other.follower.apply_report(old, self.other.clock.elapsed())
            await self.until(lambda p: p.config_version() == 7)

        entry_harness.run(test)

    def test_reports_without_histories_prove_nothing(self) -> None:
        """Guards against trust in a coordinator of the version before.

        Its versions have no history, and are below those of this process.
        """

        async def test() -> None:
            await self.start()
            states = self.relay.states
            self.relay.states = lambda: [  # type: ignore[method-assign]
                replace(
                    state,
                    changed=state_store.number_of(state.changed),
                    reached=state_store.number_of(state.reached),
                )
                for state in states()
            ]
            send = self.send
            self.send = lambda rows: send(  # type: ignore[method-assign]
                replace(
                    rows,
                    base=state_store.number_of(rows.base),
                    reached=state_store.number_of(rows.reached),
                    rows=tuple(
                        replace(
                            row, version=state_store.number_of(row.version)
                        )
                        for row in rows.rows
                    ),
                )
            )
            await aio.sleep(timedelta(seconds=1))
            await self.write_config(6)
            await self.until(lambda p: p.config_version() == 6)

        entry_harness.run(test)


class EntryTest(FollowerCase):
    def test_draining_upstream_does_not_become_ready_again(self) -> None:
        """Guards against new work for an upstream that is about to end."""

        async def test() -> None:
            await self.start()
            await self.register('other-upstream')
            await self.register('old', state='draining')
            await self.until(lambda p: p.counts_as_gone('old'))
            await self.restore()
            await self.check_that_it_stays(
                lambda p: p.counts_as_gone('old'), 'draining'
            )
            await self.register('old', state='draining')
            await self.check_that_it_stays(
                lambda p: p.counts_as_gone('old'), 'draining'
            )

        entry_harness.run(test)

    def test_upstream_that_left_does_not_come_back(self) -> None:
        """Guards against use of an address whose upstream has ended."""

        async def test() -> None:
            await self.start()
            await self.unregister('old')
            await self.until(lambda p: p.counts_as_gone('old'))
            await self.restore()
            await self.check_that_it_stays(
                lambda p: p.counts_as_gone('old'), 'gone'
            )

        entry_harness.run(test)

    def test_upstream_that_started_again_is_used(self) -> None:
        """Guards against a new incarnation that counts as the ended one."""

        async def test() -> None:
            await self.start()
            await self.unregister('old')
            await self.until(lambda p: p.counts_as_gone('old'))
            await self.restore()
            await self.register('old', born=BORN + 1)
            await self.until(lambda p: p.uses('old'))

        entry_harness.run(test)

    def test_upstream_whose_entry_was_lost_stays(self) -> None:
        """Guards against moves and refusals while an entry is rewritten."""

        async def test() -> None:
            await self.start()
            await self.register('new')
            await self.until(lambda p: p.uses('new'))
            await self.restore()
            await self.check_that_it_stays(
                lambda p: not p.counts_as_gone('new'), 'present'
            )
            await self.register('new')
            await self.check_that_it_stays(
                lambda p: not p.counts_as_gone('new'), 'present'
            )
            await self.until(lambda p: p.uses('new'))

        entry_harness.run(test)

    def test_entry_that_stays_missing_counts_as_gone(self) -> None:
        """Guards against an upstream that is kept for ever."""

        async def test() -> None:
            await self.start()
            await self.register('new')
            await self.until(lambda p: p.uses('new'))
            await self.restore()
            await aio.sleep(registry.LAPSED_ENTRY_GRACE)
            await self.until(lambda p: p.counts_as_gone('new'))

        entry_harness.run(test)

    def test_refused_process_still_applies_relayed_entries(self) -> None:
        """Guards against a process that drops what a coordinator relays.

        The store refuses it when the full read after a restore is due.
        """

        async def test() -> None:
            await self.start()
            await self.restore()
            await self.until(
                lambda p: (
                    state_store.history_of(p.known_state.registry.version)
                    == self.store.era
                )
            )
            listener = await entry_harness.listen(server.serve_with(refuse))
            self.other.client._address = members.Address(
                host=entry_harness.HOST, port=listener.port
            )
            await aio.sleep(registry.LAPSED_ENTRY_GRACE + LIMIT)
            await self.register('new')
            await self.until(lambda p: p.uses('new'))

        async def refuse(exchange: server.Exchange) -> None:
            await exchange.conn.abort()

        entry_harness.run(test)


class ClientTest(EraCase):
    def test_expected_version_of_the_older_era_does_not_match(self) -> None:
        """Guards against a write over a row that only has the same version.

        A deposed coordinator expects the version of its own lost write. Its
        number was given out again for the write of another one.
        """

        async def test() -> None:
            address = await self.start_store()
            deposed = platform_store.PlatformStore(
                address=address, clock=clock.SystemClock()
            )
            other = platform_store.PlatformStore(
                address=address, clock=clock.SystemClock()
            )
            self.store.version = COPY_VERSION
            lost = await deposed.write(
                expected={CLAIM: state_store.ABSENT}, puts={CLAIM: b'lost'}
            )
            assert isinstance(lost, state_store.Committed)
            await self.restore()
            again = await other.write(
                expected={CLAIM: state_store.ABSENT}, puts={CLAIM: b'other'}
            )
            assert isinstance(again, state_store.Committed)
            self.assertEqual(
                state_store.number_of(lost.version),
                state_store.number_of(again.version),
            )
            self.assertNotEqual(lost.version, again.version)
            await deposed.read(CLAIM.table)
            result = await deposed.write(
                expected={CLAIM: lost.version}, puts={CLAIM: b'stale'}
            )
            self.assertIsInstance(result, state_store.Conflict)
            reading = await other.read(CLAIM.table)
            self.assertEqual([r.value for r in reading.rows], [b'other'])

        entry_harness.run(test)

    def test_versions_rise_with_the_era(self) -> None:
        """Guards against versions of two eras that cannot be ordered."""

        async def test() -> None:
            address = await self.start_store()
            client = platform_store.PlatformStore(
                address=address, clock=clock.SystemClock()
            )
            before = (await client.read(CONFIG)).version
            await self.restore()
            after = (await client.read(CONFIG)).version
            self.assertEqual(state_store.number_of(before), LOST_VERSION)
            self.assertEqual(state_store.number_of(after), COPY_VERSION)
            self.assertGreater(after, before)

        entry_harness.run(test)

    def test_poll_after_a_version_of_the_older_era_is_refused(self) -> None:
        """Guards against a poll that silently lacks changes.

        The store has the version again and answers the poll.
        """

        async def test() -> None:
            address = await self.start_store()
            client = platform_store.PlatformStore(
                address=address, clock=clock.SystemClock()
            )
            before = (await client.read(CONFIG)).version
            await self.restore()
            await self.write_config(6)
            await self.write_until(LOST_VERSION + 10)
            with self.assertRaises(state_store.HistoryLost):
                await client.watch(
                    CONFIG, after=before, wait=timedelta(seconds=1)
                )

        entry_harness.run(test)


if __name__ == '__main__':
    unittest.main()

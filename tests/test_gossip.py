"""Tests of gossip and of the replicated logs, on a virtual clock."""

from datetime import timedelta
import itertools
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import gossip
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import replicated_log
from proofs import gossip_sim

CONFIG = messages.LogName.CONFIG
MAP = messages.LogName.MAP
SECOND = gossip_sim.SECOND
SEEDS = range(8)


def entry(version: int, txn: str = 't') -> messages.LogEntry:
    return replicated_log.make_entry(
        version, ids.TxnId(txn), {'version': version}
    )


class GossipTest(unittest.TestCase):
    def check(self, fleet: gossip_sim.Fleet) -> None:
        """Check that all processes applied the rows in order, each once."""
        all_processes = itertools.chain(
            fleet.processes.values(), fleet.stopped_processes
        )
        for process in all_processes:
            self.assertEqual(process.mismatch_reports, 0)
            for log, applied in process.applied.items():
                rows = [e for _, e in fleet.store.rows[log][: len(applied)]]
                self.assertEqual(applied, rows)

    def test_converges_over_a_faulty_network(self) -> None:
        """Guards against lost, late, duplicated and reordered messages."""
        for seed in SEEDS:
            fleet = gossip_sim.Fleet(
                18,
                seed=seed,
                faults=gossip_sim.Faults(loss=0.3, duplicate=0.2, late=0.2),
            )
            for _ in range(30):
                vm = fleet.rng.choice(list(fleet.processes))
                fleet.write(vm, fleet.rng.choice([CONFIG, MAP]))
                fleet.run(0.2 * SECOND * fleet.rng.random())
            with self.subTest(seed):
                took = fleet.run_until_converged(60 * SECOND)
                self.assertLess(took, 10 * SECOND)
                self.check(fleet)

    def test_writer_lost_after_its_write(self) -> None:
        """Guards against losing a committed change that was not pushed."""
        fleet = gossip_sim.Fleet(18, seed=1)
        fleet.run(3 * SECOND)
        vm = next(iter(fleet.processes))
        fleet.write(vm, announce=False)
        fleet.stop(vm)
        self.assertLess(fleet.run_until_converged(60 * SECOND), 2 * SECOND)
        self.check(fleet)

    def test_partition_heals(self) -> None:
        """Guards against a zone that stays behind after a partition."""
        for seed in SEEDS:
            fleet = gossip_sim.Fleet(18, seed=seed)
            fleet.run(3 * SECOND)
            vms = list(fleet.processes)
            fleet.partition_side = {vm: int(i < 6) for i, vm in enumerate(vms)}
            fleet.sides_without_store = {1}
            for _ in range(40):
                self.assertTrue(fleet.write(vms[10]))
                fleet.run(SECOND)
            behind = fleet.processes[vms[0]]
            self.assertEqual(behind.core.version(CONFIG), 0)
            fleet.partition_side.clear()
            with self.subTest(seed):
                took = fleet.run_until_converged(60 * SECOND)
                self.assertLess(took, 5 * SECOND)
                self.check(fleet)

    def test_restart_while_store_is_down(self) -> None:
        """Guards against a restarted process with an old configuration."""
        for seed in SEEDS:
            fleet = gossip_sim.Fleet(18, seed=seed)
            vms = list(fleet.processes)
            for _ in range(20):
                fleet.write(vms[3])
                fleet.run(0.3 * SECOND)
            fleet.run(3 * SECOND)
            fleet.store.down = True
            fleet.stop(vms[0])
            process = fleet.start(vms[0])
            self.assertFalse(process.core.ready(fleet.now))
            process.core.set_peers(vms)
            fleet.run(5 * SECOND)
            with self.subTest(seed):
                self.assertTrue(process.core.ready(fleet.now))
                self.assertEqual(process.core.version(CONFIG), 20)
                self.check(fleet)

    def test_not_ready_until_a_version_is_confirmed(self) -> None:
        """Guards against versions that neither peers nor store confirmed."""
        fleet = gossip_sim.Fleet(6, seed=1)
        fleet.store.down = True
        fleet.run(30 * SECOND)
        for process in fleet.processes.values():
            self.assertFalse(process.core.ready(fleet.now))
        fleet.store.down = False
        fleet.write(next(iter(fleet.processes)))
        fleet.run(10 * SECOND)
        for process in fleet.processes.values():
            self.assertTrue(process.core.ready(fleet.now))

    def test_restart_with_a_lagging_store(self) -> None:
        """Guards against use of an old version read from a lagging replica."""
        for partitioned, version in itertools.product((True, False), (1, 2)):
            fleet = gossip_sim.Fleet(12, seed=1)
            vms = list(fleet.processes)
            fleet.write(vms[0])
            fleet.run(3 * SECOND)
            if version == 2:
                # The second change is not pushed to any peer.
                fleet.write(vms[0], announce=False)
            fleet.stop(vms[0])
            # Reads do not return the rows of the last two seconds.
            fleet.faults.stale = 2 * SECOND
            process = fleet.start(vms[0])
            process.core.set_peers(vms)
            fleet.partition_side = {vms[0]: int(partitioned)}
            while not process.core.ready(fleet.now):
                self.assertLess(fleet.now, 20 * SECOND)
                fleet.run(10 * gossip_sim.MS)
            with self.subTest(partitioned=partitioned, version=version):
                self.assertEqual(process.core.version(CONFIG), version)

    def test_lagging_membership_list(self) -> None:
        """Guards against new processes that get no changes while unlisted."""
        fleet = gossip_sim.Fleet(12, seed=2)
        fleet.run(2 * SECOND)
        old = list(fleet.processes)
        for vm in old[:6]:
            fleet.stop(vm)
        for i in range(6):
            fleet.start(ids.VmId(f'new-{i}')).core.set_peers(old)
        fleet.run(4 * SECOND)
        fleet.write(old[8])
        fleet.store.down = True
        self.assertLess(fleet.run_until_converged(60 * SECOND), 6 * SECOND)
        self.check(fleet)

    def test_stale_store_reads(self) -> None:
        """Guards against a stale store read that reverts a newer version."""
        for seed in SEEDS:
            fleet = gossip_sim.Fleet(
                18,
                seed=seed,
                faults=gossip_sim.Faults(loss=0.5, stale=5 * SECOND),
            )
            for _ in range(20):
                fleet.write(fleet.rng.choice(list(fleet.processes)))
                fleet.run(SECOND)
            with self.subTest(seed):
                fleet.run_until_converged(60 * SECOND)
                self.assertTrue(fleet.converged())
                self.check(fleet)

    def test_process_too_far_behind_gets_a_snapshot(self) -> None:
        """Guards against a process that waits for entries no peer keeps."""
        fleet = gossip_sim.Fleet(4, seed=3)
        first, *_, late = fleet.processes
        fleet.partition_side = {late: 1}
        fleet.sides_without_store = {1}
        for _ in range(replicated_log.MAX_TAIL_ENTRIES + 10):
            fleet.write(first, size=1)
        fleet.run(SECOND)
        fleet.store.down = True
        fleet.partition_side.clear()
        self.assertLess(fleet.run_until_converged(60 * SECOND), 9 * SECOND)
        self.assertEqual(fleet.processes[late].snapshots, 1)
        self.check(fleet)

    def test_store_reads_stay_below_limit(self) -> None:
        """Guards against a fleet whose reads overload the table service."""
        fleet = gossip_sim.Fleet(400, seed=4, tuning=gossip.Tuning(pull=False))
        # All processes start together and read both logs at once.
        fleet.run(SECOND)
        for _ in range(20):
            before = fleet.store_reads
            fleet.run(SECOND)
            reads = (fleet.store_reads - before) / 2
            self.assertLess(reads, 1.5 * gossip.STORE_READS_PER_SECOND)


class LogTest(unittest.TestCase):
    @settings(deadline=None)
    @given(st.lists(st.integers(1, 12), max_size=60))
    def test_any_order_of_entries(self, versions: list[int]) -> None:
        """Guards against gaps, repeats and reverts; a set is the reference."""
        log = replicated_log.Log(CONFIG)
        applied = []
        seen: set[int] = set()
        for version in versions:
            offered = log.offer(entry(version))
            self.assertEqual(offered.fresh, version not in seen)
            seen.add(version)
            applied += [e.version for e in offered.applied]
            last = next(v for v in itertools.count() if v + 1 not in seen)
            self.assertEqual(applied, list(range(1, last + 1)))

    def test_another_entry_of_the_same_version(self) -> None:
        """Guards against two rows of one version that go unreported."""
        log = replicated_log.Log(CONFIG)
        log.offer(entry(1))
        self.assertTrue(log.offer(entry(1, 'other')).differs)
        self.assertFalse(log.offer(entry(1)).differs)

    def test_memory_is_bounded(self) -> None:
        """Guards against growth with the log and with early entries."""
        log = replicated_log.Log(CONFIG)
        for version in range(1, replicated_log.MAX_TAIL_ENTRIES + 100):
            log.offer(entry(version))
        self.assertEqual(len(log._tail), replicated_log.MAX_TAIL_ENTRIES)
        for version in range(
            10_000, 10_000 + 2 * replicated_log.MAX_EARLY_ENTRIES
        ):
            log.offer(entry(version))
        self.assertEqual(len(log._early), replicated_log.MAX_EARLY_ENTRIES)

    def test_ranges_fit_a_message(self) -> None:
        """Guards against ranges of large entries that exceed a message."""
        log = replicated_log.Log(CONFIG)
        size = messages.MAX_ENTRY_BYTES - 100
        for version in range(1, 12):
            log.offer(
                replicated_log.make_entry(
                    version, ids.TxnId('t'), {'x': 'x' * (size // 3 * 2)}
                )
            )
        version = 0
        while version < 11:
            part = log.since(version)
            message = messages.Changes(ranges=(part, part))
            messages.encode(messages.Frame(message=message))
            version = part.entries[-1].version

    def test_old_snapshot_is_ignored(self) -> None:
        """Guards against a snapshot that reverts a process."""
        log = replicated_log.Log(CONFIG)
        for version in (1, 2, 3, 7, 8):
            log.offer(entry(version))
        self.assertEqual(log.skip_to(2), ())
        self.assertEqual(log.version, 3)
        self.assertEqual([e.version for e in log.skip_to(6)], [7, 8])
        self.assertEqual(log.version, 8)

    def test_early_entries_up_to_the_snapshot_are_dropped(self) -> None:
        """Guards against a buffer that fills up with applied entries."""
        log = replicated_log.Log(CONFIG)
        log.offer(entry(5))
        log.skip_to(9)
        self.assertEqual((log.version, log._early), (9, {}))

    def test_push_reaches_fanout_and_is_forwarded_once(self) -> None:
        """Guards against repeated forwarding and against none at all."""
        core = gossip.Gossip(
            vm=ids.VmId('a'), rng=random.Random(1), now=timedelta()
        )
        core.set_peers(ids.VmId(f'p{i}') for i in range(9))
        part = messages.LogRange(log=CONFIG, head=1, entries=(entry(1),))
        push = messages.Changes(ranges=(part,))
        sender = ids.VmId('p0')
        for pushes in (3, 0):
            actions = core.received(sender, push, SECOND, pulled=False)
            targets = [a.to for a in actions if isinstance(a, gossip.Push)]
            self.assertEqual(len(set(targets)), pushes)
            self.assertNotIn(sender, targets)

    def test_versions_of_a_heartbeat(self) -> None:
        """Guards against missing or too frequent pulls after a heartbeat."""
        core = gossip.Gossip(
            vm=ids.VmId('a'), rng=random.Random(1), now=timedelta()
        )
        peer = ids.VmId('p')
        cases = [(0, 0, 0), (1, 1, 1), (1, 1, 0), (2, 0, 0), (2, 5, 1)]
        for second, version, pulls in cases:
            actions = core.versions_received(
                peer, {MAP: version}, second * SECOND
            )
            targets = [a.to for a in actions if isinstance(a, gossip.Pull)]
            self.assertEqual(targets, [peer] * pulls)

    def test_burst_keeps_its_targets(self) -> None:
        """Guards against new connections for each change of a burst."""
        core = gossip.Gossip(
            vm=ids.VmId('a'), rng=random.Random(1), now=timedelta()
        )
        core.set_peers(ids.VmId(f'p{i}') for i in range(999))

        def targets(version: int, now: timedelta) -> set[str]:
            actions = core.published(CONFIG, entry(version), now)
            return {a.to for a in actions if isinstance(a, gossip.Push)}

        first = targets(1, SECOND)
        self.assertEqual(len(first), 3)
        self.assertEqual(targets(2, 1.9 * SECOND), first)
        self.assertNotEqual(targets(3, 2 * SECOND), first)

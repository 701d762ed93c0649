"""Simulates many gossip cores on a virtual clock and a faulty network.

Used by the tests of ``gossip``, the proof of promise 8 and the benchmark of
gossip costs. All random choices derive from one seed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import functools
import heapq
import itertools
import random

from goldcresthaven import gossip
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import peer_state
from goldcresthaven import replicated_log

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
CONFIG = messages.LogName.CONFIG
# WebSocket header with mask (of a message under 64 KiB), TCP and IP header.
FRAME_OVERHEAD_BYTES = 8 + 20 + 20
# A connection that is idle for longer than this has been closed.
CONNECTION_IDLE_TIMEOUT = peer_state.Limits().idle


@dataclass(kw_only=True)
class Faults:
    """Network and store faults; the probabilities are per message.

    A message that is ``late`` takes up to ``late_by`` longer, which also
    reorders messages. ``stale`` is the most that a store read lags behind.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0
    late_by: timedelta = 3 * SECOND
    latency: timedelta = MS
    stale: timedelta = timedelta()


@functools.lru_cache(maxsize=4096)
def wire_size(message: messages.Message) -> int:
    """Return the size of a message on the network, in bytes."""
    frame = messages.Frame(
        message=message, kind=messages.Kind.REQUEST, number=1 << 20
    )
    return len(messages.encode(frame)) + FRAME_OVERHEAD_BYTES


class Store:
    """The replicated logs in the store, where a version is written once."""

    def __init__(self) -> None:
        self.down = False
        self.rows: dict[
            messages.LogName, list[tuple[timedelta, messages.LogEntry]]
        ] = {name: [] for name in messages.LogName}

    def head(self, log: messages.LogName) -> int:
        return len(self.rows[log])

    def append(
        self, log: messages.LogName, entry: messages.LogEntry, now: timedelta
    ) -> bool:
        """Insert the next row; return False if the version is not the next."""
        if entry.version != self.head(log) + 1:
            return False
        self.rows[log].append((now, entry))
        return True

    def read(
        self, read: gossip.ReadStore, read_time: timedelta
    ) -> list[messages.LogEntry]:
        """Return the rows after a version that existed at ``read_time``."""
        rows = self.rows[read.log][read.after : read.after + read.limit]
        return [entry for at, entry in rows if at <= read_time]


@dataclass(kw_only=True)
class Process:
    """One run of a VM's process and the log entries that it applied."""

    vm: ids.VmId
    core: gossip.Gossip
    applied: dict[messages.LogName, list[messages.LogEntry]] = field(
        default_factory=lambda: {name: [] for name in messages.LogName}
    )
    applied_at: dict[int, timedelta] = field(default_factory=dict)
    alive: bool = True
    mismatch_reports: int = 0
    snapshots: int = 0


class Fleet:
    """The simulated processes, network and store.

    ``run`` advances the virtual time. Processes with different values in
    ``partition_side`` cannot reach each other, and those whose value is in
    ``sides_without_store`` cannot reach the store.
    """

    def __init__(
        self,
        count: int,
        *,
        seed: int,
        faults: Faults | None = None,
        tuning: gossip.Tuning | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = timedelta()
        self.faults = faults or Faults()
        self.store = Store()
        self.sent_messages = 0
        self.sent_bytes = 0
        self.connections = 0
        self.store_reads = 0
        self.processes: dict[ids.VmId, Process] = {}
        self.stopped_processes: list[Process] = []
        self.partition_side: dict[ids.VmId, int] = {}
        self.sides_without_store: set[int] = set()
        self._tuning = tuning
        self._last_used: dict[tuple[ids.VmId, ids.VmId], timedelta] = {}
        self._sequence = itertools.count()
        self._queue: list[tuple[timedelta, int, Callable[[], None]]] = []
        for i in range(count):
            self.start(ids.VmId(f'vm-{i:05d}'))
        self.set_membership(self.processes)

    # Control.

    def start(self, vm: ids.VmId) -> Process:
        """Start a process with empty state."""
        core = gossip.Gossip(
            vm=vm,
            rng=random.Random(self.rng.random()),
            now=self.now,
            tuning=self._tuning,
        )
        process = Process(vm=vm, core=core)
        self.processes[vm] = process
        first = self.rng.random() * SECOND
        self.at(self.now + first, lambda: self._tick(process))
        return process

    def stop(self, vm: ids.VmId) -> None:
        process = self.processes.pop(vm)
        process.alive = False
        self.stopped_processes.append(process)

    def set_membership(self, vms: Iterable[ids.VmId]) -> None:
        """Set the membership list of every process."""
        listed = list(vms)
        for process in self.processes.values():
            process.core.set_peers(listed)

    def at(self, when: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._sequence), action))

    def run(self, duration: timedelta) -> None:
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def write(
        self,
        vm: ids.VmId,
        log: messages.LogName = CONFIG,
        *,
        size: int = 300,
        announce: bool = True,
    ) -> bool:
        """Append the entry that follows the process's version to a log.

        Returns False if the process is not at the head of the log. With
        ``announce`` false the process does not publish the entry, as if it
        had crashed right after the write.
        """
        process = self.processes[vm]
        version = process.core.version(log) + 1
        txn = ids.TxnId(f'{vm}-{version}')
        entry = replicated_log.make_entry(version, txn, {'x': 'x' * size})
        if not self.store.append(log, entry, self.now):
            return False
        if announce:
            self.perform(process, process.core.published(log, entry, self.now))
        return True

    # Queries.

    def converged(self) -> bool:
        return all(
            p.core.version(log) == self.store.head(log)
            for p in self.processes.values()
            for log in messages.LogName
        )

    def run_until_converged(self, timeout: timedelta) -> timedelta:
        """Run until all processes are up to date; return the time taken.

        Stops once ``timeout`` has passed, even if they are not.
        """
        start = self.now
        while not self.converged() and self.now - start < timeout:
            self.run(10 * MS)
        return self.now - start

    # Effects.

    def perform(
        self, process: Process, actions: Iterable[gossip.Action]
    ) -> None:
        for action in actions:
            match action:
                case gossip.Apply():
                    process.applied[action.log].append(action.entry)
                    if action.log is CONFIG:
                        process.applied_at[action.entry.version] = self.now
                case gossip.Push():
                    self._push(process, action)
                case gossip.Pull():
                    self._pull(process, action)
                case gossip.ReadStore():
                    self._read(process, action)
                case gossip.ConfirmHead():
                    self._confirm(process, action)
                case gossip.LoadSnapshot():
                    self._snapshot(process, action)
                case gossip.ReportMismatch():
                    process.mismatch_reports += 1

    def _tick(self, process: Process) -> None:
        if process.alive:
            self.perform(process, process.core.tick(self.now))
            due = max(process.core.next_tick, self.now + MS)
            self.at(due, lambda: self._tick(process))

    def _push(self, process: Process, push: gossip.Push) -> None:
        def deliver(target: Process) -> None:
            self.perform(
                target,
                target.core.received(
                    process.vm, push.message, self.now, pulled=False
                ),
            )

        self._send(process.vm, push.to, push.message, deliver)

    def _pull(self, process: Process, pull: gossip.Pull) -> None:
        def handle_pull(target: Process) -> None:
            reply, actions = target.core.pull_received(
                process.vm, pull.message, self.now
            )
            self.perform(target, actions)

            def deliver(requester: Process) -> None:
                # Drop the reply if the VM restarted after sending the pull.
                if requester is process:
                    actions = requester.core.received(
                        target.vm, reply, self.now, pulled=True
                    )
                    self.perform(requester, actions)

            self._send(target.vm, process.vm, reply, deliver)

        self._send(process.vm, pull.to, pull.message, handle_pull)

    def _send(
        self,
        sender: ids.VmId,
        to: ids.VmId,
        message: messages.Message,
        deliver: Callable[[Process], None],
    ) -> None:
        self.sent_messages += 1
        self.sent_bytes += wire_size(message)
        self._use_connection(min(sender, to), max(sender, to))

        def arrive() -> None:
            target = self.processes.get(to)
            if target is not None and self._connected(sender, to):
                deliver(target)

        faults = self.faults
        copies = 1 + (self.rng.random() < faults.duplicate)
        for _ in range(copies):
            if self.rng.random() < faults.loss:
                continue
            delay = faults.latency * self.rng.uniform(0.5, 1.5)
            if self.rng.random() < faults.late:
                delay += faults.late_by * self.rng.random()
            self.at(self.now + delay, arrive)

    def _use_connection(self, low: ids.VmId, high: ids.VmId) -> None:
        last_used = self._last_used.get((low, high))
        if last_used is None or self.now - last_used > CONNECTION_IDLE_TIMEOUT:
            self.connections += 1
        self._last_used[low, high] = self.now

    def _connected(self, left: ids.VmId, right: ids.VmId) -> bool:
        return self.partition_side.get(left, 0) == self.partition_side.get(
            right, 0
        )

    def _read(self, process: Process, read: gossip.ReadStore) -> None:
        self.store_reads += 1

        def arrive() -> None:
            if not process.alive:
                return
            cut = (
                self.partition_side.get(process.vm, 0)
                in self.sides_without_store
            )
            if self.store.down or cut:
                process.core.store_failed(read.log)
                return
            read_time = self.now - self.faults.stale * self.rng.random()
            rows = self.store.read(read, read_time)
            self.perform(
                process, process.core.store_rows(read.log, rows, self.now)
            )

        self.at(self.now + self.faults.latency * 4, arrive)

    def _confirm(self, process: Process, confirm: gossip.ConfirmHead) -> None:
        def arrive() -> None:
            if not process.alive:
                return
            cut = (
                self.partition_side.get(process.vm, 0)
                in self.sides_without_store
            )
            if self.store.down or cut:
                process.core.store_failed(confirm.log)
                return
            rows = self.store.rows[confirm.log][confirm.version :][:1]
            if not rows:
                process.core.head_confirmed(confirm.log, confirm.version)
                return
            entries = [entry for _, entry in rows]
            self.perform(
                process,
                process.core.store_rows(confirm.log, entries, self.now),
            )

        self.at(self.now + self.faults.latency * 4, arrive)

    def _snapshot(self, process: Process, load: gossip.LoadSnapshot) -> None:
        def arrive() -> None:
            source = self.processes.get(load.peer)
            version = source.core.version(load.log) if source else 0
            if not process.alive or version <= process.core.version(load.log):
                return
            process.snapshots += 1
            entries = [e for _, e in self.store.rows[load.log][:version]]
            process.applied[load.log] = entries
            self.perform(
                process, process.core.snapshot_loaded(load.log, version)
            )

        self.at(self.now + 20 * MS, arrive)

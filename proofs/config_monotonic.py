"""Promise 8: an accepted configuration is in force everywhere and stays.

Each document lists the changes it was built from. The promise is violated
when a VM's configuration in force loses a change that an operator was told
was accepted, or when a process lacks one SETTLE after the last fault.
A VM that restarts while it cannot reach the store is the exception: its
memory is gone, and it takes the highest version that its peers know. It
must still have every accepted change SETTLE after the last fault.

Ours is the real ``gossip`` core and a compare-and-set on the configuration
log. The naive variant keeps one row that the last writer wins, reports a
write without an answer as done, and puts the last answer it read in force.
Both meet the same schedule of operators, restarts, partitions, store
outages, stale reads and lost answers.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
import json
import random

from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import replicated_log
from goldcresthaven import tables
from proofs import gossip_sim
from proofs import report

VMS = 12
ZONES = 3
FAULTY = timedelta(seconds=40)
# The time within which a change has to be in force everywhere.
SETTLE = timedelta(seconds=16)
STEP = timedelta(milliseconds=100)
ANSWER_LOST = 0.25
RETRY = timedelta(milliseconds=400)
MAX_TRIES = 60
_SECOND = gossip_sim.SECOND
_CONFIG = messages.LogName.CONFIG
_FAULTS = gossip_sim.Faults(
    lost=0.15, duplicated=0.1, late=0.1, stale=5 * _SECOND
)

Changes = frozenset[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One fault or operator command; ``vm`` and ``zone`` are indexes."""

    at: timedelta
    kind: str
    vm: int = 0
    zone: int = 0
    name: str = ''


def schedule(rng: random.Random) -> list[Event]:
    """Return the events of one run in order of time."""
    found: list[Event] = []

    def add(kind: str, at: timedelta, **fields: int | str) -> None:
        found.append(Event(at=at, kind=kind, **fields))  # type: ignore

    for i in range(14):
        at = FAULTY * rng.random()
        add('write', at, vm=rng.randrange(VMS), name=f'c{i}a')
        if rng.random() < 0.5:
            # A second operator at the same moment.
            near = at + rng.random() * timedelta(milliseconds=20)
            add('write', near, vm=rng.randrange(VMS), name=f'c{i}b')
    for _ in range(6):
        add('restart', FAULTY * rng.random(), vm=rng.randrange(VMS))
    for kind, count in (('partition', 2), ('outage', 1)):
        for _ in range(count):
            start = FAULTY * 0.8 * rng.random()
            end = min(start + 15 * _SECOND * rng.random(), FAULTY)
            zone = rng.randrange(ZONES)
            add(kind, start, zone=zone)
            add(f'end-{kind}', end, zone=zone)
    return sorted(found, key=lambda e: e.at)


class Judge:
    """Compares what is in force with what was accepted."""

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.violated = False
        self._held: dict[ids.VmId, set[str]] = {}
        self._starting: set[ids.VmId] = set()

    def restarted(self, vm: ids.VmId) -> None:
        self._starting.add(vm)

    def accept(self, name: str) -> None:
        self.accepted.add(name)

    def observe(
        self, vm: ids.VmId, in_force: Changes | None, store_reachable: bool
    ) -> None:
        """Note a VM's configuration; None while it is not ready."""
        if vm in self._starting and not store_reachable:
            self._held.pop(vm, None)
        if in_force is None:
            return
        self._starting.discard(vm)
        held = self._held.setdefault(vm, set())
        if not (held & self.accepted) <= in_force:
            self.violated = True
        held |= in_force

    def settle(self, in_force: list[Changes | None]) -> None:
        """Check the end of a run, when every process has the same."""
        if any(c is None or not self.accepted <= c for c in in_force):
            self.violated = True
        if len(set(in_force)) != 1:
            self.violated = True


class World:
    """Faults and time that both variants share."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = gossip_sim.Fleet(VMS, seed=seed, faults=_FAULTS)
        self.vms = list(self.fleet.processes)
        self.judge = Judge()
        self._closed = 0

    def zone(self, vm: ids.VmId) -> int:
        return self.vms.index(vm) % ZONES

    def partition(self, zone: int, *, closed: bool) -> None:
        """Cut a zone off from the other zones and from the store."""
        for vm in self.vms:
            if self.zone(vm) == zone:
                self.fleet.side[vm] = zone + 1 if closed else 0
        if closed:
            self.fleet.cut_off.add(zone + 1)
        else:
            self.fleet.cut_off.discard(zone + 1)

    def reachable(self, vm: ids.VmId) -> bool:
        """Return whether a VM reaches the store."""
        cut = self.fleet.side.get(vm, 0) in self.fleet.cut_off
        return not (self.fleet.store.down or cut)

    def answer_lost(self) -> bool:
        return self.rng.random() < ANSWER_LOST

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.fleet.at(self.fleet.now + delay, action)


class Ours:
    """The product's core on the world."""

    def __init__(self, world: World) -> None:
        self.world = world

    def in_force(self, vm: ids.VmId) -> Changes | None:
        process = self.world.fleet.processes[vm]
        if not process.core.ready(self.world.fleet.now):
            return None
        return _changes(process.applied[_CONFIG])

    def restart(self, vm: ids.VmId) -> None:
        self.world.fleet.stop(vm)
        process = self.world.fleet.start(vm)
        process.core.set_peers(self.world.vms)

    def write(self, vm: ids.VmId, name: str) -> None:
        """Change the configuration by a compare-and-set."""
        process = self.world.fleet.processes[vm]
        version = process.core.version(_CONFIG) + 1
        changes = _changes(process.applied[_CONFIG]) | {name}
        txn = ids.TxnId(f'{vm}-{name}')
        value = {'txn': txn, 'changes': sorted(changes)}
        key = tables.log_key(version)
        transaction = tables.Transaction(
            txn=txn,
            conditions=(
                tables.VersionIs(
                    table=tables.CONFIG_LOG, key=key, version=tables.ABSENT
                ),
            ),
            writes=(
                tables.Write(table=tables.CONFIG_LOG, key=key, value=value),
            ),
        )
        entry = replicated_log.make_entry(version, txn, value)
        self._try(process, name, transaction, entry, MAX_TRIES)

    def _try(
        self,
        process: gossip_sim.Process,
        name: str,
        transaction: tables.Transaction,
        entry: messages.LogEntry,
        tries: int,
    ) -> None:
        """Repeat an ambiguous write with the same transaction."""
        if not process.alive or not tries:
            return  # The operator is told that the result is not known.
        match self._transact(process.vm, transaction, entry):
            case tables.Ambiguous():
                self.world.after(
                    RETRY,
                    lambda: self._try(
                        process, name, transaction, entry, tries - 1
                    ),
                )
                return
            case tables.Conflict(rows=rows):
                if rows[0].value['txn'] != entry.txn:
                    return  # The operator is shown the other change.
        self.world.judge.accept(name)
        actions = process.core.published(_CONFIG, entry, self.world.fleet.now)
        self.world.fleet.perform(process, actions)

    def _transact(
        self,
        vm: ids.VmId,
        transaction: tables.Transaction,
        entry: messages.LogEntry,
    ) -> tables.Result:
        if not self.world.reachable(vm):
            return tables.Ambiguous()
        store = self.world.fleet.store
        committed = store.append(_CONFIG, entry, self.world.fleet.now)
        if self.world.answer_lost():
            return tables.Ambiguous()
        if committed:
            return tables.Committed()
        _, winner = store.rows[_CONFIG][entry.version - 1]
        row = tables.Row(
            key=transaction.writes[0].key,
            version=1,
            value=replicated_log.entry_value(winner),
        )
        return tables.Conflict(rows=(row,))


class Naive:
    """One row, the last writer wins, and the last answer is in force."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._row: list[tuple[timedelta, Changes]] = [
            (timedelta(), frozenset())
        ]
        self._held: dict[ids.VmId, Changes | None] = {
            vm: frozenset() for vm in world.vms
        }
        for vm in world.vms:
            self._poll(vm)

    def in_force(self, vm: ids.VmId) -> Changes | None:
        return self._held[vm]

    def restart(self, vm: ids.VmId) -> None:
        self._held[vm] = None

    def write(self, vm: ids.VmId, name: str) -> None:
        changes = (self._held[vm] or frozenset()) | {name}
        if self.world.reachable(vm):
            self._row.append((self.world.fleet.now, changes))
        elif not self.world.answer_lost():
            return
        # No answer is taken for success.
        self.world.judge.accept(name)
        self._held[vm] = changes
        for peer in self.world.rng.sample(self.world.vms, 3):
            self._push(vm, peer, changes)

    def _push(self, vm: ids.VmId, peer: ids.VmId, changes: Changes) -> None:
        def arrive() -> None:
            side = self.world.fleet.side
            if side.get(vm, 0) == side.get(peer, 0):
                self._held[peer] = changes

        delay = _FAULTS.late_by * self.world.rng.random()
        self.world.after(delay, arrive)

    def _poll(self, vm: ids.VmId) -> None:
        if self.world.reachable(vm):
            upto = self.world.fleet.now - _FAULTS.stale * (
                self.world.rng.random()
            )
            self._held[vm] = [
                c for at, c in self._row if at <= upto or not at
            ][-1]
        self.world.after(_SECOND, lambda: self._poll(vm))


def _changes(applied: list[messages.LogEntry]) -> Changes:
    if not applied:
        return frozenset()
    return frozenset(json.loads(applied[-1].value)['changes'])


def violated(seed: int, variant: Callable[[World], Ours | Naive]) -> bool:
    """Run one schedule and return whether the promise was violated."""
    world = World(seed)
    subject = variant(world)
    world.fleet.run(3 * _SECOND)
    subject.write(world.vms[0], 'first')
    world.fleet.run(3 * _SECOND)
    start = world.fleet.now
    pending = schedule(world.rng)
    while world.fleet.now - start < FAULTY + SETTLE:
        while pending and start + pending[0].at <= world.fleet.now:
            _carry_out(world, subject, pending.pop(0))
        world.fleet.run(STEP)
        for vm in world.vms:
            world.judge.observe(vm, subject.in_force(vm), world.reachable(vm))
    world.judge.settle([subject.in_force(vm) for vm in world.vms])
    return world.judge.violated


def _carry_out(world: World, subject: Ours | Naive, event: Event) -> None:
    match event.kind:
        case 'write':
            subject.write(world.vms[event.vm], event.name)
        case 'restart':
            world.judge.restarted(world.vms[event.vm])
            subject.restart(world.vms[event.vm])
        case 'partition' | 'end-partition':
            closed = event.kind == 'partition'
            world.partition(event.zone, closed=closed)
        case 'outage' | 'end-outage':
            world.fleet.store.down = event.kind == 'outage'


def proof() -> report.Proof:
    """Return the proof of promise 8."""
    return report.Proof(
        number=8,
        name='config-monotonic',
        naive=lambda seed: violated(seed, Naive),
        ours=lambda seed: violated(seed, Ours),
        seeds=range(100),
    )

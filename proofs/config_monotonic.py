"""Promise 8: an accepted configuration reaches every VM and is never lost.

Each document lists the changes it contains. The promise is violated if a
VM's configuration in force loses a change that was reported to the operator
as accepted, or if a VM still lacks an accepted change ``CONVERGENCE_LIMIT``
after the last fault. The first condition has one exception: a VM that
restarts while it cannot reach the store has lost its memory, so it starts
from the highest version that its peers have and may go back for a while.

The product variant uses the product's ``gossip`` core and appends to the
configuration log by compare-and-set. The naive variant keeps one row with
last-writer-wins, reports a write without a response as done, and applies
whatever it read last. Both run under the same schedule of operator commands,
restarts, partitions, store outages, stale reads and lost responses.
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
FAULT_PERIOD = timedelta(seconds=40)
# Time after the last fault within which all VMs must have every change.
CONVERGENCE_LIMIT = timedelta(seconds=16)
STEP = timedelta(milliseconds=100)
RESPONSE_LOSS_RATE = 0.25
RETRY_DELAY = timedelta(milliseconds=400)
MAX_TRIES = 60
_SECOND = gossip_sim.SECOND
_CONFIG = messages.LogName.CONFIG
_FAULTS = gossip_sim.Faults(
    loss=0.15, duplicate=0.1, late=0.1, stale=5 * _SECOND
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
    """Return the events of one run, ordered by time."""
    scheduled: list[Event] = []

    def add_event(kind: str, at: timedelta, **fields: int | str) -> None:
        scheduled.append(Event(at=at, kind=kind, **fields))  # type: ignore

    for i in range(14):
        at = FAULT_PERIOD * rng.random()
        add_event('write', at, vm=rng.randrange(VMS), name=f'c{i}a')
        if rng.random() < 0.5:
            # A second operator writes at nearly the same time.
            nearly_same = at + rng.random() * timedelta(milliseconds=20)
            add_event(
                'write', nearly_same, vm=rng.randrange(VMS), name=f'c{i}b'
            )
    for _ in range(6):
        add_event(
            'restart', FAULT_PERIOD * rng.random(), vm=rng.randrange(VMS)
        )
    for kind, count in (('partition', 2), ('outage', 1)):
        for _ in range(count):
            start = FAULT_PERIOD * 0.8 * rng.random()
            end = min(start + 15 * _SECOND * rng.random(), FAULT_PERIOD)
            zone = rng.randrange(ZONES)
            add_event(kind, start, zone=zone)
            add_event(f'end-{kind}', end, zone=zone)
    return sorted(scheduled, key=lambda e: e.at)


class ConsistencyChecker:
    """Checks the configurations in force against the accepted changes."""

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.violated = False
        self._observed: dict[ids.VmId, set[str]] = {}
        self._restarting: set[ids.VmId] = set()

    def note_restart(self, vm: ids.VmId) -> None:
        self._restarting.add(vm)

    def note_accepted(self, name: str) -> None:
        self.accepted.add(name)

    def observe(
        self, vm: ids.VmId, in_force: Changes | None, store_reachable: bool
    ) -> None:
        """Check a VM's configuration, which is None while it is not ready."""
        if vm in self._restarting and not store_reachable:
            self._observed.pop(vm, None)
        if in_force is None:
            return
        self._restarting.discard(vm)
        observed = self._observed.setdefault(vm, set())
        if not (observed & self.accepted) <= in_force:
            self.violated = True
        observed |= in_force

    def check_converged(self, in_force: list[Changes | None]) -> None:
        """Check that at the end all VMs have every change and agree."""
        if any(c is None or not self.accepted <= c for c in in_force):
            self.violated = True
        if len(set(in_force)) != 1:
            self.violated = True


class World:
    """The simulated VMs, store, faults and time of one run."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = gossip_sim.Fleet(VMS, seed=seed, faults=_FAULTS)
        self.vms = list(self.fleet.processes)
        self.checker = ConsistencyChecker()
        self._closed = 0

    def zone(self, vm: ids.VmId) -> int:
        return self.vms.index(vm) % ZONES

    def partition(self, zone: int, *, closed: bool) -> None:
        """Cut a zone off from other zones and the store, or reconnect it."""
        for vm in self.vms:
            if self.zone(vm) == zone:
                self.fleet.partition_side[vm] = zone + 1 if closed else 0
        if closed:
            self.fleet.sides_without_store.add(zone + 1)
        else:
            self.fleet.sides_without_store.discard(zone + 1)

    def reachable(self, vm: ids.VmId) -> bool:
        """Return whether a VM can reach the store."""
        cut = (
            self.fleet.partition_side.get(vm, 0)
            in self.fleet.sides_without_store
        )
        return not (self.fleet.store.down or cut)

    def response_lost(self) -> bool:
        return self.rng.random() < RESPONSE_LOSS_RATE

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.fleet.at(self.fleet.now + delay, action)


class ProductVariant:
    """The product's gossip core and compare-and-set writes."""

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
        """Add a change to the configuration by compare-and-set."""
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
        self._try_write(process, name, transaction, entry, MAX_TRIES)

    def _try_write(
        self,
        process: gossip_sim.Process,
        name: str,
        transaction: tables.Transaction,
        entry: messages.LogEntry,
        tries: int,
    ) -> None:
        """Write, and retry the same transaction while it is ambiguous."""
        if not process.alive or not tries:
            return  # The operator gets an unknown result.
        match self._transact(process.vm, transaction, entry):
            case tables.Ambiguous():
                self.world.after(
                    RETRY_DELAY,
                    lambda: self._try_write(
                        process, name, transaction, entry, tries - 1
                    ),
                )
                return
            case tables.Conflict(rows=rows):
                if rows[0].value['txn'] != entry.txn:
                    return  # The operator gets the conflicting change.
        self.world.checker.note_accepted(name)
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
        if self.world.response_lost():
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


class NaiveVariant:
    """Keeps one last-writer-wins row and applies whatever it read last."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._row_versions: list[tuple[timedelta, Changes]] = [
            (timedelta(), frozenset())
        ]
        self._in_force: dict[ids.VmId, Changes | None] = {
            vm: frozenset() for vm in world.vms
        }
        for vm in world.vms:
            self._poll(vm)

    def in_force(self, vm: ids.VmId) -> Changes | None:
        return self._in_force[vm]

    def restart(self, vm: ids.VmId) -> None:
        self._in_force[vm] = None

    def write(self, vm: ids.VmId, name: str) -> None:
        changes = (self._in_force[vm] or frozenset()) | {name}
        if self.world.reachable(vm):
            self._row_versions.append((self.world.fleet.now, changes))
        elif not self.world.response_lost():
            return
        # A missing response is treated as success.
        self.world.checker.note_accepted(name)
        self._in_force[vm] = changes
        for peer in self.world.rng.sample(self.world.vms, 3):
            self._push(vm, peer, changes)

    def _push(self, vm: ids.VmId, peer: ids.VmId, changes: Changes) -> None:
        def arrive() -> None:
            side = self.world.fleet.partition_side
            if side.get(vm, 0) == side.get(peer, 0):
                self._in_force[peer] = changes

        delay = _FAULTS.late_by * self.world.rng.random()
        self.world.after(delay, arrive)

    def _poll(self, vm: ids.VmId) -> None:
        if self.world.reachable(vm):
            read_time = self.world.fleet.now - _FAULTS.stale * (
                self.world.rng.random()
            )
            self._in_force[vm] = [
                c for at, c in self._row_versions if at <= read_time or not at
            ][-1]
        self.world.after(_SECOND, lambda: self._poll(vm))


def _changes(applied: list[messages.LogEntry]) -> Changes:
    if not applied:
        return frozenset()
    return frozenset(json.loads(applied[-1].value)['changes'])


def violated(
    seed: int, variant: Callable[[World], ProductVariant | NaiveVariant]
) -> bool:
    """Run one schedule and return whether the promise was violated."""
    world = World(seed)
    subject = variant(world)
    world.fleet.run(3 * _SECOND)
    subject.write(world.vms[0], 'first')
    world.fleet.run(3 * _SECOND)
    start = world.fleet.now
    pending = schedule(world.rng)
    while world.fleet.now - start < FAULT_PERIOD + CONVERGENCE_LIMIT:
        while pending and start + pending[0].at <= world.fleet.now:
            _apply_event(world, subject, pending.pop(0))
        world.fleet.run(STEP)
        for vm in world.vms:
            world.checker.observe(
                vm, subject.in_force(vm), world.reachable(vm)
            )
    world.checker.check_converged([subject.in_force(vm) for vm in world.vms])
    return world.checker.violated


def _apply_event(
    world: World, subject: ProductVariant | NaiveVariant, event: Event
) -> None:
    match event.kind:
        case 'write':
            subject.write(world.vms[event.vm], event.name)
        case 'restart':
            world.checker.note_restart(world.vms[event.vm])
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
        naive=lambda seed: violated(seed, NaiveVariant),
        ours=lambda seed: violated(seed, ProductVariant),
        seeds=range(100),
    )

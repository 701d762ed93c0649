"""Simulates how changes of the configuration reach the processes of a fleet.

The real ``store_follower`` of several processes runs on a virtual clock. One
process relays what it reads, as a coordinator does. A run cuts processes off
from the store, in several ways, lets the store be silent to all, drop its
history, and loses datagrams. All random choices derive from the seed.

``run`` compares when each process knew a change with the targets of the
deployment, and returns by how much changes were late.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random
from typing import Any
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import change_timing
from goldcresthaven import decision_log
from goldcresthaven import fleet_link
from goldcresthaven import ids
from goldcresthaven import known_state as known_state_module
from goldcresthaven import registry
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven import store_follower
from goldcresthaven import table_relay
from goldcresthaven import upstream_notices
from goldcresthaven import upstream_pool
from proofs import change_store
from proofs import virtual_loop

CONFIG = state_store.Table.CONFIG
DURATION = 30.0  # seconds
WARM_UP = 2.0  # seconds
# Time between two configurations; a second one may follow at once.
CHANGE_GAP = 3.0  # seconds
# Time between two writes to other tables, which raise the store's version.
WRITE_GAP = 0.25  # seconds
# The store answers in 4 ms, and packets take about 1 ms.
ROUND_TRIP = 0.006  # seconds
# From the store's answer to its use, in logs of VMs with 0.6 cores.
ANSWER_TIME = (0.005, 0.045)  # seconds
# A write is acknowledged after it can be read.
ACKNOWLEDGED_AFTER = 0.06  # seconds
CONFIG_KEY = 'newest'
# Faults of some processes, also with the coordinator, of all, and of the
# store's history.
KINDS = ('cut', 'cut-coordinator', 'silence', 'compaction')
DATAGRAM_DELAY = (0.001, 0.004)  # seconds


@dataclass(frozen=True, kw_only=True)
class Late:
    """A change that a process knew ``by`` seconds too late, or not at all."""

    process: str
    version: int
    by: float
    since_outage: float


@dataclass(kw_only=True)
class Result:
    late: list[Late] = field(default_factory=list)
    longest: float = 0.0
    longest_after_outage: float = 0.0
    calls: int = 0
    log: list[str] = field(default_factory=list)


class Decoder:
    """Decodes configurations that consist of their version."""

    def is_config(self, row: state_store.Row) -> bool:
        return row.key == CONFIG_KEY

    def config(self, value: bytes) -> routes.RouteConfig:
        return routes.RouteConfig(
            version=ids.ConfigVersion(int(value)), routes=(), pools={}
        )

    def upstream(self, row: state_store.Row) -> registry.Upstream | None:
        return None


class Link:
    """The calls of one process to the store."""

    def __init__(self, world: 'World', name: str) -> None:
        self._world = world
        self.name = name

    async def read(self, table: state_store.Table) -> state_store.Reading:
        limit = state_store.CALL_TIMEOUT.total_seconds()
        await self.send(table, limit)
        return await self._answer(self._world.store.reading(table, 0), limit)

    async def watch(
        self, table: state_store.Table, *, after: int, wait: timedelta
    ) -> state_store.Reading:
        limit = (wait + state_store.WATCH_SLACK).total_seconds()
        begun = self._world.loop.now
        await self.send(table, limit)
        reading = await self._world.store.changes(
            table, after, wait.total_seconds()
        )
        return await self._answer(
            reading, begun + limit - self._world.loop.now
        )

    async def write(self, **kwargs: object) -> state_store.WriteResult:
        raise NotImplementedError

    async def send(self, table: state_store.Table, limit: float) -> None:
        """Let the request arrive at the store, or raise StoreUnavailable."""
        world = self._world
        world.store.calls += 1
        fault = world.fault_of(self.name)
        if fault is change_store.Fault.SILENT:
            connect = upstream_pool.CONNECT_TIMEOUT.total_seconds()
            await world.sleep(min(limit, connect))
            raise change_store.unavailable('connecting timed out')
        await world.sleep(ROUND_TRIP * world.rng.uniform(1.0, 2.0))
        fault = world.fault_of(self.name)
        if fault in (change_store.Fault.SILENT, change_store.Fault.UNANSWERED):
            await world.sleep(limit)
            raise change_store.unavailable('no answer in time')
        if fault is not None:
            raise change_store.unavailable(fault.value)

    async def _answer(
        self, reading: state_store.Reading, limit: float
    ) -> state_store.Reading:
        fault = self._world.fault_of(self.name)
        if fault in (change_store.Fault.SILENT, change_store.Fault.UNANSWERED):
            await self._world.sleep(max(limit, 0.0))
            raise change_store.unavailable('the answer was lost')
        if fault is not None:
            raise change_store.unavailable(fault.value)
        await self._world.sleep(self._world.rng.uniform(*ANSWER_TIME))
        return reading


class Gateway:
    """One process that follows the tables."""

    def __init__(self, world: 'World', name: str, *, relay: bool) -> None:
        self.name = name
        self.relay = relay
        self._world = world
        self.process = virtual_loop.Process(world.loop, name)
        limits = change_timing.Limits(world.targets)
        self.known = known_state_module.KnownState(
            notices=upstream_notices.UpstreamNotices(rng=random.Random(1)),
            max_answer_age=limits.max_answer_age,
        )
        self.follower = store_follower.Follower(
            store=Link(world, name),
            decoder=Decoder(),
            known_state=self.known,
            on_registry=lambda changed: None,
            is_relay=lambda: self.relay,
            relay_rows=lambda changes: world.relay(self, changes),
            clock=self.process.clock,
            rng=world.follower_rng or random.Random(world.rng.random()),
            limits=limits,
        )
        self.process.start(self.follower.start())
        self.process.start(self._report())

    async def _report(self) -> None:
        while True:
            await aio.sleep(fleet_link.REPORT_INTERVAL)
            if not self.relay:
                continue
            now = self.process.clock.elapsed()
            states = [
                state
                for table, position in self.known.positions.items()
                if (state := position.state(table, now)) is not None
            ]
            self._world.report(self, states)


class World:
    """A fleet, its store, and the faults of one run.

    All datagrams with rows to the processes ``without_rows`` are lost. Unless
    it ``answers_requests``, a coordinator is one of an earlier program.
    """

    def __init__(
        self,
        seed: int,
        *,
        targets: change_timing.Targets = change_timing.Targets(),
        processes: int = 4,
        datagram_loss: float = 0.0,
        follower_rng: random.Random | None = None,
        loops: list[virtual_loop.Loop],
    ) -> None:
        self.rng = random.Random(seed)
        self.loop = virtual_loop.Loop(self.rng)
        loops.append(self.loop)
        self.targets = targets
        self.store = change_store.Store(self.loop)
        self.outages: list[change_store.Outage] = []
        self.datagram_loss = datagram_loss
        self.follower_rng = follower_rng
        self.without_rows: set[str] = set()
        self.answers_requests = True
        self.log: list[str] = []
        self.acknowledged: dict[int, float] = {}
        self.known_at: dict[tuple[str, int], float] = {}
        self.gateways: list[Gateway] = []
        self._version = 1
        self.store.put(CONFIG, CONFIG_KEY, self._version)
        for number in range(processes):
            self.gateways.append(
                Gateway(self, f'g{number}', relay=number == 0)
            )

    def record(self, name: str, kind: str, fields: dict[str, Any]) -> None:
        """Record a line of a process's log."""
        self.note(name, f'{kind} {fields}')
        if kind == 'config-applied':
            for version in self.acknowledged:
                if version <= fields['config_version']:
                    self.known_at.setdefault((name, version), self.loop.now)

    def note(self, name: str, line: str) -> None:
        self.log.append(f'{self.loop.now:8.3f} {name} {line}')

    async def sleep(self, seconds: float) -> None:
        await aio.sleep(timedelta(seconds=seconds))

    def fault_of(
        self, name: str, *, peers: bool = False
    ) -> change_store.Fault | None:
        for outage in self.outages:
            if outage.begin <= self.loop.now < outage.end and (
                name in outage.names and (outage.with_peers or not peers)
            ):
                return outage.fault
        return None

    def last_fault_end(self, name: str, before: float) -> float:
        """Return when the last fault of a process ended, or its begin."""
        ends = [
            outage.end
            for outage in self.outages
            if name in outage.names and outage.begin <= before
        ]
        return max(ends, default=0.0)

    def change(self, at: float) -> None:
        """Store the next configuration at a time."""

        def put() -> None:
            self._version += 1
            version = self._version
            self.store.put(CONFIG, CONFIG_KEY, version)
            self.acknowledged[version] = self.loop.now + ACKNOWLEDGED_AFTER
            self.note('store', f'configuration {version}')

        self.loop.at(at, put)

    def write_to_other_tables(self) -> None:
        """Raise the store's version in all of the run."""
        at = 0.0
        while at < DURATION:
            self.loop.at(at, lambda: self.store.put(None, '', 0))
            at += WRITE_GAP * self.rng.uniform(0.2, 2.0)

    def relay(self, sender: Gateway, changes: table_relay.RowChanges) -> None:
        def deliver(receiver: Gateway) -> None:
            if receiver.name not in self.without_rows:
                now = receiver.process.clock.elapsed()
                receiver.follower.apply_rows(changes, now)

        if sender.relay:
            self._send(sender, deliver)

    def report(
        self, sender: Gateway, states: list[table_relay.TableState]
    ) -> None:
        """Send a report; who has missed rows asks the sender for them."""

        def deliver(receiver: Gateway) -> None:
            now = receiver.process.clock.elapsed()
            missed = receiver.follower.apply_report(states, now)
            if missed and self.answers_requests:
                self._send_to(
                    receiver, sender, lambda _: answer(receiver, missed)
                )

        def answer(
            receiver: Gateway, missed: list[table_relay.MissedRows]
        ) -> None:
            found = [sender.follower.rows_since(rows) for rows in missed]

            def apply(gateway: Gateway) -> None:
                for changes in found:
                    if changes is not None:
                        now = gateway.process.clock.elapsed()
                        gateway.follower.apply_rows(changes, now)

            if sender.relay:
                self._send_to(sender, receiver, apply)

        self._send(sender, deliver)

    def _send(
        self, sender: Gateway, deliver: Callable[[Gateway], None]
    ) -> None:
        for gateway in self.gateways:
            if gateway is not sender:
                self._send_to(sender, gateway, deliver)

    def _send_to(
        self,
        sender: Gateway,
        receiver: Gateway,
        deliver: Callable[[Gateway], None],
    ) -> None:
        """Deliver a datagram, unless it is lost."""
        if self.rng.random() < self.datagram_loss or any(
            self.fault_of(gateway.name, peers=True)
            for gateway in (sender, receiver)
        ):
            return

        async def receive() -> None:
            deliver(receiver)

        def arrive() -> None:
            receiver.process.start(receive())

        self.loop.after(self.rng.uniform(*DATAGRAM_DELAY), arrive)


class _Schedule:
    """Draws the changes and the faults of a run."""

    def __init__(
        self, world: World, faults: tuple[change_store.Fault, ...]
    ) -> None:
        self._world = world
        self._rng = world.rng
        self._faults = faults

    def draw(self, kinds: tuple[str, ...]) -> None:
        world, rng = self._world, self._rng
        at = WARM_UP + rng.uniform(0.0, 1.0)
        while at < DURATION - CHANGE_GAP:
            world.change(at)
            at += CHANGE_GAP
        world.write_to_other_tables()
        at = WARM_UP + rng.uniform(2.0, 4.0)
        while at < DURATION - 10.0:
            at = self._fault(at, rng.choice(kinds)) + rng.uniform(4.0, 6.0)

    def _fault(self, at: float, kind: str) -> float:
        """Add a fault from ``at`` on, and return when it ends."""
        world, rng = self._world, self._rng
        names = [gateway.name for gateway in world.gateways]
        end = at + rng.choice((1.0, 1.5, 2.0, 3.0, 5.0, 6.0, 9.0))
        end += rng.uniform(0.0, 0.5)
        match kind:
            case 'cut':
                chosen = frozenset(rng.sample(names[1:], len(names) // 2))
            case 'cut-coordinator':
                chosen = frozenset([names[0], rng.choice(names[1:])])
                successor = next(
                    g for g in world.gateways if g.name not in chosen
                )
                world.loop.at(
                    at + rng.uniform(1.5, 2.5),
                    lambda: self._hand_over(successor),
                )
            case 'silence':
                chosen = frozenset(names)
            case 'compaction':
                self._compaction(at)
                return at + 1.0
            case _:
                raise ValueError(kind)
        world.outages.append(
            change_store.Outage(
                fault=rng.choice(self._faults),
                begin=at,
                end=end,
                names=chosen,
                with_peers=kind != 'silence' and rng.random() < 0.3,
            )
        )
        # Configurations at the begin and at the end, as operators make them.
        world.change(at + 0.1)
        world.change(end + rng.uniform(0.0, 0.2))
        return end

    def _hand_over(self, successor: Gateway) -> None:
        for gateway in self._world.gateways:
            gateway.relay = gateway is successor
        # The schedule draws the coordinator as the first process.
        self._world.gateways.sort(key=lambda gateway: not gateway.relay)

    def _compaction(self, at: float) -> None:
        world = self._world

        def begin() -> None:
            world.store.muted_until = world.loop.now + 1.0

        world.loop.at(at, begin)
        world.loop.at(at + 1.0, world.store.drop_history)


def run(
    seed: int,
    *,
    kinds: tuple[str, ...] = KINDS,
    faults: tuple[change_store.Fault, ...] = tuple(change_store.Fault),
    targets: change_timing.Targets = change_timing.Targets(),
    datagram_loss: float = 0.0,
    answers_requests: bool = True,
) -> Result:
    """Simulate one run and return which changes were known too late."""
    with simulated(
        seed, targets=targets, datagram_loss=datagram_loss
    ) as world:
        world.answers_requests = answers_requests
        _Schedule(world, faults).draw(kinds)
        world.loop.run(DURATION)
    return _judge(world)


@contextlib.contextmanager
def simulated(
    seed: int,
    *,
    targets: change_timing.Targets = change_timing.Targets(),
    processes: int = 4,
    datagram_loss: float = 0.0,
    follower_rng: random.Random | None = None,
) -> Iterator[World]:
    """Create a world; all its processes end with the block."""
    loops: list[virtual_loop.Loop] = []
    worlds: list[World] = []

    def note(kind: str, **fields: Any) -> None:
        if worlds and loops[0].current is not None:
            name = loops[0].current.process.name
            worlds[0].record(name, kind, fields)

    with (
        _virtual_time(loops),
        mock.patch.object(decision_log, 'note', note),
    ):
        world = World(
            seed,
            targets=targets,
            processes=processes,
            datagram_loss=datagram_loss,
            follower_rng=follower_rng,
            loops=loops,
        )
        worlds.append(world)
        yield world
        world.loop.closing = True
        for gateway in world.gateways:
            gateway.process.close()


@contextlib.contextmanager
def _virtual_time(loops: list[virtual_loop.Loop]) -> Iterator[None]:
    """Replace the functions of ``aio`` by those of the virtual loop."""

    async def sleep(duration: timedelta) -> None:
        await loops[0].sleep(duration)

    async def spawn(coro: Coroutine[Any, Any, Any]) -> virtual_loop.Task:
        return await loops[0].spawn(coro)

    with (
        mock.patch.object(aio, 'sleep', sleep),
        mock.patch.object(aio, 'spawn', spawn),
    ):
        yield


def _judge(world: World) -> Result:
    """Compare when each change was known with when it had to be."""
    result = Result(calls=world.store.calls, log=world.log)
    names = [gateway.name for gateway in world.gateways]
    for version, acknowledged in world.acknowledged.items():
        for name in names:
            known = world.known_at.get((name, version), DURATION)
            outage_end = world.last_fault_end(name, known)
            due = max(
                acknowledged + world.targets.applied_within.total_seconds(),
                outage_end + world.targets.connected_after.total_seconds(),
            )
            if due > DURATION:
                continue
            if known > acknowledged >= outage_end:
                result.longest = max(result.longest, known - acknowledged)
            if outage_end > acknowledged:
                result.longest_after_outage = max(
                    result.longest_after_outage, known - outage_end
                )
            if known > due:
                result.late.append(
                    Late(
                        process=name,
                        version=version,
                        by=known - due,
                        since_outage=known - outage_end,
                    )
                )
    return result

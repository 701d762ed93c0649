"""Measures the slopes from which docs/CAPACITY.md extrapolates.

Each table is measured at four or more sizes with the product's own code. A
least-squares line through the sizes gives the cost of one more unit. No
cluster is started: the claim holder runs in the simulation of the proofs,
and its processor time covers only the controller.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
import gc
import json
import random
import time
import tracemalloc

from goldcresthaven import admission
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import scheduler
from goldcresthaven import shards
from goldcresthaven import slot_manager
from goldcresthaven import slots
from proofs import ownership_sim
from proofs import sim_world

MAP_SIZES = (1_000, 4_000, 16_000, 64_000, 112_000)
DOMAIN_SIZES = (8, 16, 32, 64)
ENTRY_SIZES = (2, 8, 32, 64)
QUEUE_SIZES = (1, 8, 32, 128)
LOOKUPS = 20_000
REQUESTS = 5_000
WARM_UP = 5.0  # virtual seconds
MEASURED = 20.0  # virtual seconds
SEED = 11


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """One quantity, measured at several sizes."""

    title: str
    unit: str
    sizes: Sequence[int]
    values: Sequence[float]

    def slope(self) -> tuple[float, float]:
        """Return the cost of one more unit and the fixed cost."""
        count = len(self.sizes)
        mean_x = sum(self.sizes) / count
        mean_y = sum(self.values) / count
        sum_squares = sum((x - mean_x) ** 2 for x in self.sizes)
        sum_products = sum(
            (x - mean_x) * (y - mean_y)
            for x, y in zip(self.sizes, self.values)
        )
        per_unit = sum_products / sum_squares
        return per_unit, mean_y - per_unit * mean_x

    def print_table(self) -> None:
        per_unit, fixed = self.slope()
        cells = '  '.join(
            f'{size}: {value:.4g}'
            for size, value in zip(self.sizes, self.values)
        )
        print(f'{self.title} ({self.unit})')
        print(f'  {cells}')
        print(f'  slope {per_unit:.4g} each, fixed {fixed:.4g}')


def make_map(count: int) -> shards.ShardMap:
    """Return a map of one pool in which each owner has eight shards."""
    pool = ids.PoolName('catalogue')
    owned = tuple(
        shards.Shard(
            shard_id=shard.shard_id,
            pool=pool,
            low=shard.low,
            high=shard.high,
            owner=ids.UpstreamId(f'catalogue-{number // 8}'),
        )
        for number, shard in enumerate(shards.initial_shards(pool, count))
    )
    change = shards.MapChange(
        version=ids.MapVersion(1), txn=ids.TxnId('t1'), shards=owned
    )
    return shards.ShardMap().apply(change)


def measure_map() -> list[Table]:
    """Measure memory, lookup and change of the map by number of shards."""
    memory, lookup, change = [], [], []
    for count in MAP_SIZES:
        gc.collect()
        tracemalloc.start()
        shard_map = make_map(count)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        lookup.append(_time_lookups(shard_map))
        change.append(_time_change(shard_map))
    return [
        Table(
            title='map memory by shards',
            unit='MB',
            sizes=MAP_SIZES,
            values=memory,
        ),
        Table(
            title='map lookup by shards',
            unit='microseconds',
            sizes=MAP_SIZES,
            values=lookup,
        ),
        Table(
            title='map change of one shard by shards',
            unit='milliseconds',
            sizes=MAP_SIZES,
            values=change,
        ),
    ]


def _time_lookups(shard_map: shards.ShardMap) -> float:
    pool = ids.PoolName('catalogue')
    hashes = [shards.hash_key(str(i)) for i in range(LOOKUPS)]
    started = time.process_time()
    for key_hash in hashes:
        shard_map.lookup(pool, key_hash)
    return (time.process_time() - started) / LOOKUPS * 1e6


def _time_change(shard_map: shards.ShardMap) -> float:
    moved = next(iter(shard_map.shards.values()))
    change = shards.MapChange(
        version=ids.MapVersion(2), txn=ids.TxnId('t2'), shards=(moved,)
    )
    started = time.process_time()
    shard_map.apply(change)
    return (time.process_time() - started) * 1e3


class MeasuredWorld(ownership_sim.World):
    """A simulated world that counts the work of all its controllers."""

    def __init__(self, shape: ownership_sim.Shape) -> None:
        self.processor_seconds = 0.0
        self.leases = 0
        self.lease_bytes = 0
        self.heartbeats = 0
        self.transactions = 0
        self.reads = 0
        super().__init__(SEED, shape)

    def deliver_event(self, name: str, event: control.Event) -> None:
        node = self.entries[name]

        def work() -> None:
            now = node.clock.elapsed()
            started = time.process_time()
            actions = node.controller.handle(event, now=now)
            self.processor_seconds += time.process_time() - started
            for action in actions:
                self._perform_action(node, action)

        node.perform(work)

    def reset(self) -> None:
        self.processor_seconds = 0.0
        self.leases = self.lease_bytes = 0
        self.heartbeats = self.transactions = self.reads = 0

    def _check_sole_owner(self, granted: ownership_sim.Upstream) -> None:
        """Do nothing: the proofs check this, and it takes quadratic time."""

    def _send(self, node: ownership_sim.Entry, action: control.Action) -> None:
        match action:
            case control.SendLease():
                self.leases += 1
                body = json.dumps(action.request.to_body())
                self.lease_bytes += len(body)
            case control.SendHeartbeat():
                self.heartbeats += 1
            case control.Transact():
                self.transactions += 1
            case control.ReadMapLog() | control.ReadClaims():
                self.reads += 1
            case _:
                pass
        super()._send(node, action)


def run_measured(shape: ownership_sim.Shape) -> MeasuredWorld:
    """Run a simulation; the counts cover the time after the warm-up."""
    world = MeasuredWorld(shape)
    world.schedule.run(WARM_UP)
    world.reset()
    world.schedule.run(WARM_UP + MEASURED)
    return world


def measure_domain() -> list[Table]:
    """Measure a claim holder by the number of upstreams in its domain."""
    runs = [
        run_measured(
            ownership_sim.Shape(
                zones=1, entries=2, upstreams=count, shards=8 * count
            )
        )
        for count in DOMAIN_SIZES
    ]
    return [
        Table(
            title='holder processor time by upstreams',
            unit='% of a core, two controllers together',
            sizes=DOMAIN_SIZES,
            values=[r.processor_seconds / MEASURED * 100 for r in runs],
        ),
        Table(
            title='lease requests by upstreams',
            unit='messages a second',
            sizes=DOMAIN_SIZES,
            values=[r.leases / MEASURED for r in runs],
        ),
        Table(
            title='lease request bodies by upstreams, 8 shards each',
            unit='KB a second',
            sizes=DOMAIN_SIZES,
            values=[r.lease_bytes / MEASURED / 1e3 for r in runs],
        ),
        Table(
            title='store transactions by upstreams of one domain',
            unit='a second',
            sizes=DOMAIN_SIZES,
            values=[r.transactions / MEASURED for r in runs],
        ),
    ]


def measure_entries() -> list[Table]:
    """Measure the controllers of a zone by its number of entry VMs."""
    runs = [
        run_measured(
            ownership_sim.Shape(zones=1, entries=count, upstreams=8, shards=64)
        )
        for count in ENTRY_SIZES
    ]
    per_process = [
        r.processor_seconds / MEASURED / count * 100
        for r, count in zip(runs, ENTRY_SIZES)
    ]
    return [
        Table(
            title='controller processor time by entry VMs of the zone',
            unit='% of a core and process',
            sizes=ENTRY_SIZES,
            values=per_process,
        ),
        Table(
            title='heartbeats by entry VMs of the zone',
            unit='sent a second and process',
            sizes=ENTRY_SIZES,
            values=[
                r.heartbeats / MEASURED / count
                for r, count in zip(runs, ENTRY_SIZES)
            ],
        ),
        Table(
            title='store reads by entry VMs',
            unit='a second, all processes',
            sizes=ENTRY_SIZES,
            values=[r.reads / MEASURED for r in runs],
        ),
    ]


class SlotLoop:
    """A scheduler and its slot manager in one process, without a network."""

    def __init__(self, upstreams: int) -> None:
        self.preset = _preset()
        self.now = timedelta()
        self.messages = 0
        self.scheduler = scheduler.Scheduler(
            entry=ids.VmId('e1'),
            boot=ids.BootId('b1'),
            preset=self.preset,
            rng=random.Random(SEED),
        )
        self.manager = slot_manager.Manager(
            domain=ids.DomainId('a/0'),
            epoch=ids.Epoch(1),
            preset=self.preset,
        )
        self._set_up(upstreams)

    def _set_up(self, upstreams: int) -> None:
        pool = presets.Pool(
            name=ids.PoolName('orders'), keyed=False, slots=4, connections=250
        )
        self.scheduler.add_pool(pool)
        for number in range(upstreams):
            name = ids.UpstreamId(f'u{number}')
            self.scheduler.add_upstream(
                self.now, name, pool.name, ids.DomainId('a/0')
            )
            self.manager.add_upstream(name, slot_count=4, bulk_cap=3)
        self.perform(
            self.scheduler.set_manager(
                self.now, ids.DomainId('a/0'), ids.VmId('e1'), ids.Epoch(1)
            )
        )

    def perform(self, actions: Sequence[scheduler.Action]) -> None:
        """Perform actions; a dispatched request takes 0.1 virtual ms."""
        for action in actions:
            match action:
                case scheduler.Send():
                    self._deliver_to_manager(action.message)
                case scheduler.Dispatch():
                    self.now += timedelta(microseconds=100)
                    done = outcomes.Done(status=200)
                    self.perform(
                        self.scheduler.finished(
                            self.now, action.request.request_id, done
                        )
                    )
                case _:
                    pass

    def _deliver_to_manager(
        self, message: slots.SlotDemand | slots.SlotReturn
    ) -> None:
        self.messages += 1
        match message:
            case slots.SlotDemand():
                replies = self.manager.handle_demand(self.now, message)
            case slots.SlotReturn():
                replies = self.manager.handle_return(self.now, message)
        for reply in replies:
            self.messages += 1
            self.perform(
                self.scheduler.handle_message(self.now, reply.message)
            )

    def request(self, number: int) -> None:
        self.now += timedelta(microseconds=200)
        request = admission.Request(
            request_id=ids.RequestId(str(number)),
            pool=ids.PoolName('orders'),
            rank=outcomes.RANKS[number % len(outcomes.RANKS)],
            arrived=self.now,
            deadline=self.now + timedelta(seconds=2),
        )
        self.perform(self.scheduler.arrive(self.now, request))
        if number % 25 == 0:
            self.perform(self.scheduler.tick(self.now))


def _preset() -> presets.Preset:
    policy = presets.RankPolicy(
        target=timedelta(seconds=1),
        deadline=timedelta(seconds=2),
        floor=0.3,
    )
    return presets.Preset(
        name=ids.PresetName('ordinary'),
        urgent=policy,
        standard=policy,
        bulk=policy,
    )


def measure_scheduler() -> list[Table]:
    """Measure the load policy by the number of upstreams in one pool."""
    cost, messages = [], []
    for count in QUEUE_SIZES:
        loop = SlotLoop(count)
        started = time.process_time()
        for number in range(REQUESTS):
            loop.request(number)
        spent = time.process_time() - started
        cost.append(spent / REQUESTS * 1e6)
        messages.append(loop.messages / REQUESTS)
    return [
        Table(
            title='load policy by upstreams of a pool',
            unit='microseconds a request, entry and manager',
            sizes=QUEUE_SIZES,
            values=cost,
        ),
        Table(
            title='slot messages by upstreams of a pool',
            unit='a request',
            sizes=QUEUE_SIZES,
            values=messages,
        ),
    ]


def measure_guard() -> list[Table]:
    """Measure a lease renewal by the number of the upstream's shards."""
    sizes = (2, 8, 32, 128)
    values = []
    for count in sizes:
        guard = leases.LeaseGuard(boot=ids.BootId('b1'))
        clock = sim_world.NodeClock(sim_world.Schedule(), random.Random(SEED))
        granted = frozenset(
            ids.ShardId(f'catalogue/{i}') for i in range(count)
        )
        issuer = leases.Issuer(domain=ids.DomainId('a/0'), epoch=ids.Epoch(1))
        now = clock.elapsed()
        issuer.update_basis(guard.handle(issuer.probe(), now=now), now=now)
        rounds = 500
        started = time.process_time()
        for _ in range(rounds):
            request = issuer.grant(granted)
            json.loads(json.dumps(request.to_body()))
            issuer.update_basis(guard.handle(request, now=now), now=now)
        values.append((time.process_time() - started) / rounds * 1e6)
    return [
        Table(
            title='one lease renewal by shards of the upstream',
            unit='microseconds, both ends',
            sizes=sizes,
            values=values,
        )
    ]


MEASUREMENTS: tuple[Callable[[], list[Table]], ...] = (
    measure_map,
    measure_domain,
    measure_entries,
    measure_guard,
    measure_scheduler,
)


def main() -> None:
    """Print all tables."""
    for measure in MEASUREMENTS:
        for table in measure():
            table.print_table()


if __name__ == '__main__':
    main()

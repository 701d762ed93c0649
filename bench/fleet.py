"""Simulation of callers, network, endpoints and entry processes."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from bench import deployments
from bench import endpoint
from bench import metrics
from bench import sim
from goldcresthaven import ids
from goldcresthaven import outcomes

CONNECT_TIME = 1 * sim.MS  # to open a connection to an endpoint
# Share of callers that disconnect at a random time before their deadline,
# unless they have a response by then.
EARLY_DISCONNECTS = 0.05
KEY_MOVE_DELAY = 0.3  # seconds from the drain of an endpoint to its key moves
MAX_GOSSIP_DELAY = 0.05  # seconds until an entry process has a key move
MEMBERSHIP_LAG = 0.5  # seconds until a change is in the membership list


@dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """An attempt of a call, sent by an entry process to an endpoint."""

    entry: 'Entry'
    call: metrics.Call
    sim_endpoint: endpoint.Endpoint
    latency: float
    completed: bool = False
    job: endpoint.Job | None = None

    def replied(
        self, job: endpoint.Job, outcome: outcomes.Outcome, draining: bool
    ) -> None:
        self.entry.world.after(
            self.latency, self.entry.response_received, self, outcome, draining
        )


class Entry:
    """Base class of simulated entry processes.

    It models connections and responses; subclasses decide when and to which
    endpoint requests are sent.
    """

    def __init__(self, fleet: 'Fleet', number: int, zone: int) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.vm = ids.VmId(f'entry-{number}')
        self.zone = zone
        self.live = True
        self.accepting = True
        # The owner of each shard that this entry process currently knows.
        self.owners = {
            pool: list(owners) for pool, owners in fleet.owners.items()
        }
        self._open: dict[ids.UpstreamId, int] = {}
        self._in_use: dict[ids.UpstreamId, int] = {}

    def receive(self, call: metrics.Call) -> None:
        """Handle a request from a caller."""
        raise NotImplementedError

    def attempt_ended(
        self, attempt: Attempt, outcome: outcomes.Outcome, draining: bool
    ) -> None:
        """Handle the outcome of an attempt."""
        raise NotImplementedError

    def caller_gone(self, call: metrics.Call) -> None:
        """Handle the disconnect of a caller."""

    def owner_moved(self, pool: str, shard: int, name: ids.UpstreamId) -> None:
        self.owners[pool][shard] = name

    def member_draining(self, name: ids.UpstreamId) -> None:
        """Handle an endpoint that the membership list marks as draining."""

    def member_live(self, name: ids.UpstreamId) -> None:
        """Handle an endpoint that the membership list marks as live."""

    def shut_down(self) -> None:
        """Prepare for a planned stop."""

    def submit(
        self, call: metrics.Call, name: ids.UpstreamId, timeout: float
    ) -> Attempt:
        """Send an attempt, which ends with a response or after ``timeout``."""
        sim_endpoint = self.fleet.endpoints[name]
        latency = self.fleet.latency(self.zone, sim_endpoint.zone)
        attempt = Attempt(
            entry=self, call=call, sim_endpoint=sim_endpoint, latency=latency
        )
        call.attempts += 1
        self.fleet.metrics.attempted(call)
        job = endpoint.Job(
            rank=call.rank,
            deadline=call.deadline,
            reply=attempt.replied,
            shard=call.shard,
            disconnected_at=call.disconnected_at,
        )
        attempt.job = job
        delay = latency + self._connect(name)
        self.world.after(delay, sim_endpoint.submit, job)
        self.world.after(timeout, self._timed_out, attempt)
        return attempt

    def _connect(self, name: ids.UpstreamId) -> float:
        used = self._in_use.get(name, 0) + 1
        self._in_use[name] = used
        if used <= self._open.get(name, 0):
            return 0.0
        self._open[name] = used
        return CONNECT_TIME

    def response_received(
        self, attempt: Attempt, outcome: outcomes.Outcome, draining: bool
    ) -> None:
        if attempt.completed or not self.live:
            return
        attempt.completed = True
        self._in_use[attempt.sim_endpoint.name] -= 1
        if attempt.job is not None:
            attempt.call.slot_time = (
                attempt.job.ends_at - attempt.job.started_at
            )
        self.attempt_ended(attempt, outcome, draining)

    def _timed_out(self, attempt: Attempt) -> None:
        """End an attempt that reached its timeout and close its connection."""
        if attempt.completed or not self.live:
            return
        attempt.completed = True
        name = attempt.sim_endpoint.name
        self._in_use[name] -= 1
        self._open[name] -= 1
        self.attempt_ended(attempt, _TIMEOUT, False)

    def respond(self, call: metrics.Call, outcome: outcomes.Outcome) -> None:
        """Send a response to the caller."""
        if not call.finished:
            call.finished = True
            self.world.after(
                self.fleet.deployment.caller_latency,
                self.fleet.answered,
                call,
                outcome,
            )


# Creates an entry process of a fleet; the arguments are number and zone.
EntryFactory = Callable[['Fleet', int, int], Entry]


class Fleet:
    """The state of one run: clock, endpoints, entry processes, metrics."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        make_entry: EntryFactory,
        *,
        seed: int,
        begin: float,
        end: float,
    ) -> None:
        self.world = sim.Simulation()
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.metrics = metrics.Metrics(
            begin=begin,
            end=end,
            targets={
                rank: deployment.preset.rank(rank).target.total_seconds()
                for rank in outcomes.RANKS
            },
        )
        self.endpoints: dict[ids.UpstreamId, endpoint.Endpoint] = {}
        self.by_pool: dict[str, list[ids.UpstreamId]] = {}
        self.owners: dict[str, list[ids.UpstreamId]] = {}
        self.reported_loads: dict[ids.UpstreamId, float] = {}
        self.epochs: dict[ids.DomainId, int] = {}
        self.store_up = True
        self.hot_shard: int | None = None
        self._make_entry = make_entry
        self._calls = 0
        self._add_endpoints(seed)
        self.entries: list[Entry] = []
        self.by_vm: dict[ids.VmId, Entry] = {}
        for number in range(deployments.ENTRIES):
            self.add_entry(number)

    def _add_endpoints(self, seed: int) -> None:
        number = 0
        for pool in self.deployment.pools:
            names: list[ids.UpstreamId] = []
            for i in range(pool.endpoints):
                number += 1
                name = ids.UpstreamId(f'{pool.settings.name}-{i}')
                names.append(name)
                self.endpoints[name] = endpoint.Endpoint(
                    self.world,
                    name=name,
                    zone=number % self.deployment.zones,
                    slot_count=pool.settings.slots,
                    rng=random.Random(seed * 1000 + number),
                    on_finished=self.metrics.record_busy_time,
                )
            self.by_pool[pool.settings.name] = names
            if pool.settings.keyed:
                self.owners[pool.settings.name] = [
                    names[shard % len(names)]
                    for shard in range(pool.settings.shards)
                ]

    def add_entry(self, number: int) -> Entry:
        entry = self._make_entry(self, number, number % self.deployment.zones)
        self.entries.append(entry)
        self.by_vm[entry.vm] = entry
        return entry

    def latency(self, from_zone: int, to_zone: int) -> float:
        if from_zone == to_zone:
            return deployments.LOCAL_LATENCY
        return self.deployment.zone_latency

    # Callers

    def offer_load(
        self,
        pool: deployments.PoolShape,
        rank: outcomes.Rank,
        load: float,
        *,
        begin: float = 0.0,
        end: float = 1e9,
        is_excess: bool = False,
    ) -> None:
        """Send calls that use ``load`` of the pool's slot time.

        ``is_excess`` marks them as the overload, so that they are counted
        separately.
        """
        rate = pool.rate(rank, load)
        if rate > 0.0:
            self.world.after(
                begin + self.rng.expovariate(rate),
                self._call,
                pool,
                rank,
                rate,
                end,
                is_excess,
            )

    def _call(
        self,
        pool: deployments.PoolShape,
        rank: outcomes.Rank,
        rate: float,
        end: float,
        is_excess: bool,
    ) -> None:
        now = self.world.now
        if now >= end:
            return
        self.world.after(
            self.rng.expovariate(rate),
            self._call,
            pool,
            rank,
            rate,
            end,
            is_excess,
        )
        self._calls += 1
        policy = self.deployment.preset.rank(rank)
        deadline = policy.deadline.total_seconds()
        call = metrics.Call(
            number=self._calls,
            pool=pool.settings.name,
            rank=rank,
            sent=now,
            deadline=now + deadline,
            idempotent=rank is not outcomes.Rank.URGENT,
            is_excess=is_excess,
        )
        if pool.settings.keyed:
            call.shard = self.rng.randrange(pool.settings.shards)
            if is_excess and self.hot_shard is not None:
                call.shard = self.hot_shard
        self.metrics.sent(call)
        entry = self._pick_entry()
        latency = self.deployment.caller_latency
        self.world.after(latency, entry.receive, call)
        if self.rng.random() < EARLY_DISCONNECTS:
            disconnect_delay = self.rng.uniform(0.1, 1.0) * deadline
            self.world.after(disconnect_delay, self._disconnect, entry, call)

    def _pick_entry(self) -> Entry:
        """Choose at random, as the load balancer of the platform does."""
        while True:
            entry = self.entries[self.rng.randrange(len(self.entries))]
            if entry.accepting:
                return entry

    def _disconnect(self, entry: Entry, call: metrics.Call) -> None:
        if call.finished:
            return
        call.disconnected_at = self.world.now
        self.metrics.left(call)
        self.world.after(
            self.deployment.caller_latency, entry.caller_gone, call
        )

    def answered(self, call: metrics.Call, outcome: outcomes.Outcome) -> None:
        self.metrics.answered(self.world.now, call, outcome)

    # Events that scenarios schedule

    def replace_upstream(
        self, pool: str, index: int, down_time: float
    ) -> None:
        """Drain an endpoint, move its keys, restart it and move them back."""
        name = self.by_pool[pool][index]
        sim_endpoint = self.endpoints[name]
        sim_endpoint.draining = True
        self.world.after(MEMBERSHIP_LAG, self._membership_changed, name, True)
        if pool in self.owners:
            self.world.after(KEY_MOVE_DELAY, self.move_keys, pool, name)
        self.world.after(down_time, self._restarted, pool, name)

    def _restarted(self, pool: str, name: ids.UpstreamId) -> None:
        sim_endpoint = self.endpoints[name]
        self.metrics.new_work_while_draining += sim_endpoint.received_draining
        sim_endpoint.received_draining = 0
        sim_endpoint.restart()
        self.world.after(MEMBERSHIP_LAG, self._membership_changed, name, False)
        if pool in self.owners:
            sim_endpoint.owned = None
            names = self.by_pool[pool]
            for shard in range(len(self.owners[pool])):
                if names[shard % len(names)] == name:
                    self._move(pool, shard, name)

    def _membership_changed(
        self, name: ids.UpstreamId, draining: bool
    ) -> None:
        for entry in self.entries:
            if draining:
                entry.member_draining(name)
            else:
                entry.member_live(name)

    def move_keys(self, pool: str, name: ids.UpstreamId) -> None:
        """Move the shards of an endpoint to the others of its pool."""
        others = [
            candidate
            for candidate in self.by_pool[pool]
            if candidate != name and not self.endpoints[candidate].draining
        ]
        self.endpoints[name].owned = set()
        for shard, owner in enumerate(self.owners[pool]):
            if owner == name:
                self._move(pool, shard, others[shard % len(others)])

    def _move(self, pool: str, shard: int, name: ids.UpstreamId) -> None:
        self.owners[pool][shard] = name
        for entry in self.entries:
            delay = self.rng.uniform(0.0, MAX_GOSSIP_DELAY)
            self.world.after(delay, entry.owner_moved, pool, shard, name)

    def report_loads(self, mode: str, interval: float, lag: float) -> None:
        """Publish the loads of the endpoints every ``interval`` seconds.

        The reports arrive ``lag`` seconds late. With the mode 'wrong' they
        are 0 for zone 0 and random for the other zones.
        """
        for name, sim_endpoint in self.endpoints.items():
            load = float(sim_endpoint.load)
            if mode == 'wrong':
                load = (
                    0.0 if sim_endpoint.zone == 0 else 10.0 * self.rng.random()
                )
            self.world.after(lag, self.reported_loads.__setitem__, name, load)
        self.world.after(interval, self.report_loads, mode, interval, lag)


_TIMEOUT = outcomes.Unknown(reason=outcomes.Reason.TIMEOUT, status=504)

"""Simulated entry processes that run the load policy of the product."""

from collections.abc import Iterable
from datetime import timedelta
import random
from typing import Protocol

from bench import fleet
from bench import metrics
from bench import sim
from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import scheduler
from goldcresthaven import slot_manager
from goldcresthaven import slots

TICK = 5 * sim.MS
MANAGER_TICK = 0.25  # seconds
DETECTION_DELAY = 0.75  # seconds without heartbeats until a takeover
TAKEOVER_DELAY = 0.1  # seconds for the store transaction and the map log entry
MAX_ATTEMPTS = 3
BUDGET_CAP = 10.0


class RetryBudget(Protocol):
    """Limits retries to a share of the requests."""

    def earn(self) -> None:
        """Count a request."""

    def spend(self) -> bool:
        """Return whether a retry is allowed; if so, count it."""


class TokenBucket:
    """Retry budget to which each request adds ``ratio`` of a retry."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = BUDGET_CAP

    def earn(self) -> None:
        self._tokens = min(self._tokens + self._ratio, BUDGET_CAP)

    def spend(self) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ProductEntry(fleet.Entry):
    """Entry process with the slot managers of the claims that it holds."""

    def __init__(self, sim_fleet: fleet.Fleet, number: int, zone: int) -> None:
        super().__init__(sim_fleet, number, zone)
        self.managers: dict[ids.DomainId, slot_manager.Manager] = {}
        preset = sim_fleet.deployment.preset
        self.budget: RetryBudget = TokenBucket(preset.retry_ratio)
        self._scheduler = scheduler.Scheduler(
            entry=self.vm,
            boot=ids.BootId('1'),
            preset=preset,
            rng=random.Random(sim_fleet.rng.random()),
        )
        self._calls: dict[ids.RequestId, metrics.Call] = {}
        self._attempts: dict[ids.RequestId, fleet.Attempt] = {}
        for pool in sim_fleet.deployment.pools:
            self._scheduler.add_pool(pool.settings)
            for name in sim_fleet.by_pool[pool.settings.name]:
                self._scheduler.add_upstream(
                    timedelta(),
                    name,
                    pool.settings.name,
                    domain_of(sim_fleet.endpoints[name].zone),
                )
        offset = sim_fleet.rng.random() * TICK
        self.world.after(offset, self._tick)
        self.world.after(MANAGER_TICK, self._manager_tick)

    # Callers

    def receive(self, call: metrics.Call) -> None:
        self.budget.earn()
        if self.live:
            self._calls[request_id(call)] = call
            self._arrive(call)

    def _arrive(self, call: metrics.Call) -> None:
        owner = None
        if call.shard is not None:
            owner = self.owners[call.pool][call.shard]
        request = admission.Request(
            request_id=request_id(call),
            pool=ids.PoolName(call.pool),
            rank=call.rank,
            arrived=self.world.elapsed,
            deadline=timedelta(seconds=call.deadline),
            owner=owner,
            size=1024,
            idempotent=call.idempotent,
            attempt=call.attempts,
        )
        self._perform(self._scheduler.arrive(self.world.elapsed, request))

    def caller_gone(self, call: metrics.Call) -> None:
        if not self.live or call.finished:
            return
        name = request_id(call)
        self._perform(self._scheduler.remove_queued(self.world.elapsed, name))
        if name not in self._attempts:
            self._calls.pop(name, None)
            call.finished = True

    def attempt_ended(
        self,
        attempt: fleet.Attempt,
        outcome: outcomes.Outcome,
        draining: bool,
    ) -> None:
        call = attempt.call
        name = request_id(call)
        del self._attempts[name]
        now = self.world.elapsed
        actions = self._scheduler.finished(
            now, name, outcome, draining=draining
        )
        self._perform(actions)
        if self._should_retry(call, outcome):
            self._arrive(call)
        else:
            self._calls.pop(name, None)
            self.respond(call, outcome)

    def _should_retry(
        self, call: metrics.Call, outcome: outcomes.Outcome
    ) -> bool:
        if call.attempts >= MAX_ATTEMPTS or call.disconnected_at is not None:
            return False
        match outcome:
            case outcomes.Done():
                return False
            case outcomes.Unknown() if not call.idempotent:
                return False
        if self.world.now >= call.deadline:
            return False
        return self.budget.spend()

    # Actions

    def _perform(self, actions: Iterable[scheduler.Action]) -> None:
        for action in actions:
            match action:
                case scheduler.Dispatch(request=request, upstream=upstream):
                    call = self._calls[request.request_id]
                    timeout = max(call.deadline - self.world.now, 0.0)
                    self._attempts[request.request_id] = self.submit(
                        call, upstream, timeout
                    )
                case scheduler.Refuse(request=request, outcome=outcome):
                    call = self._calls.pop(request.request_id)
                    self.respond(call, outcome)
                case scheduler.Send(to=to, message=message):
                    self._send(to, message)

    def _send(self, to: ids.VmId, message: slots.Message) -> None:
        target = find_product_entry(self.fleet, to)
        if target is None:
            return
        if target is self:
            self.world.after(0.0, self.receive_message, message)
            return
        if self.fleet.metrics.in_window(self.world.now):
            self.fleet.metrics.messages += 1
        delay = self.fleet.latency(self.zone, target.zone)
        self.world.after(delay, target.receive_message, message)

    def receive_message(self, message: slots.Message) -> None:
        """Handle a slot message from an entry process."""
        if not self.live:
            return
        now = self.world.elapsed
        match message:
            case slots.SlotDemand(domain=domain):
                manager = self.managers.get(domain)
                if manager is not None:
                    self._send_all(manager.handle_demand(now, message))
            case slots.SlotReturn(domain=domain):
                manager = self.managers.get(domain)
                if manager is not None:
                    self._send_all(manager.handle_return(now, message))
            case slots.SlotGrant() | slots.SlotRecall():
                self._perform(self._scheduler.handle_message(now, message))

    def _send_all(
        self, outgoing: Iterable[slot_manager.AddressedMessage]
    ) -> None:
        for addressed in outgoing:
            self._send(addressed.entry, addressed.message)

    # Time and membership

    def _tick(self) -> None:
        if not self.live:
            return
        reported_loads = self.fleet.reported_loads
        for name, load in reported_loads.items():
            self._scheduler.report_load(name, load)
        self._perform(self._scheduler.tick(self.world.elapsed))
        self.world.after(TICK, self._tick)

    def _manager_tick(self) -> None:
        if not self.live:
            return
        for manager in self.managers.values():
            self._send_all(manager.tick(self.world.elapsed))
        self.world.after(MANAGER_TICK, self._manager_tick)

    def set_claim_holder(
        self, domain: ids.DomainId, manager: ids.VmId, epoch: ids.Epoch
    ) -> None:
        """Set the entry process that holds the claim of a domain."""
        if self.live:
            self._perform(
                self._scheduler.set_manager(
                    self.world.elapsed, domain, manager, epoch
                )
            )

    def owner_moved(self, pool: str, shard: int, name: ids.UpstreamId) -> None:
        old = self.owners[pool][shard]
        self.owners[pool][shard] = name
        if not self.live or old == name:
            return
        for request in self._scheduler.take_queued(old):
            self._arrive(self._calls[request.request_id])

    def member_draining(self, name: ids.UpstreamId) -> None:
        now = self.world.elapsed
        if self.live:
            self._perform(self._scheduler.drain(now, name))
        for manager in self.managers.values():
            self._send_all(manager.drain(now, name))

    def member_live(self, name: ids.UpstreamId) -> None:
        self._scheduler.undrain(self.world.elapsed, name)
        for manager in self.managers.values():
            manager.undrain(name)

    def shut_down(self) -> None:
        """Return idle slots and release claims; finish requests in flight."""
        self._perform(self._scheduler.stop(self.world.elapsed))
        for domain in list(self.managers):
            self.managers.pop(domain)
            schedule_claim(
                self.fleet, domain, delay=TAKEOVER_DELAY, former_holder=self
            )

    def crash(self) -> None:
        """Stop abruptly; others take over its claims once they detect it."""
        self.live = False
        self.accepting = False
        for domain in list(self.managers):
            self.managers.pop(domain)
            schedule_claim(
                self.fleet,
                domain,
                delay=DETECTION_DELAY + TAKEOVER_DELAY,
                former_holder=self,
            )


def request_id(call: metrics.Call) -> ids.RequestId:
    return ids.RequestId(str(call.number))


def domain_of(zone: int) -> ids.DomainId:
    return ids.DomainId(f'zone-{zone}/0')


def find_product_entry(
    sim_fleet: fleet.Fleet, vm: ids.VmId
) -> ProductEntry | None:
    entry = sim_fleet.by_vm.get(vm)
    return entry if isinstance(entry, ProductEntry) else None


def schedule_claim(
    sim_fleet: fleet.Fleet,
    domain: ids.DomainId,
    *,
    delay: float,
    former_holder: ProductEntry | None = None,
) -> None:
    """Let an entry process take the claim with a new epoch after a delay."""
    sim_fleet.world.after(
        delay, _acquire_claim, sim_fleet, domain, former_holder
    )


def _acquire_claim(
    sim_fleet: fleet.Fleet,
    domain: ids.DomainId,
    former_holder: ProductEntry | None,
) -> None:
    if not sim_fleet.store_up:
        sim_fleet.world.after(
            DETECTION_DELAY, _acquire_claim, sim_fleet, domain, former_holder
        )
        return
    products = [
        entry
        for entry in sim_fleet.entries
        if isinstance(entry, ProductEntry) and entry.live and entry.accepting
    ]
    local = [entry for entry in products if domain_of(entry.zone) == domain]
    holder = local[0] if local else products[0]
    epoch = ids.Epoch(sim_fleet.epochs.get(domain, 0) + 1)
    sim_fleet.epochs[domain] = epoch
    holder.managers[domain] = make_manager(
        sim_fleet, domain, epoch, products if former_holder is not None else []
    )
    for entry in products:
        delay = sim_fleet.latency(holder.zone, entry.zone)
        sim_fleet.world.after(
            delay, entry.set_claim_holder, domain, holder.vm, epoch
        )


def make_manager(
    sim_fleet: fleet.Fleet,
    domain: ids.DomainId,
    epoch: ids.Epoch,
    expected: list[ProductEntry],
) -> slot_manager.Manager:
    preset = sim_fleet.deployment.preset
    settle_until = timedelta()
    if expected:
        longest = max(preset.rank(r).deadline for r in outcomes.RANKS)
        settle_until = sim_fleet.world.elapsed + slots.settle_time(
            preset.claim_term, longest
        )
    manager = slot_manager.Manager(
        domain=domain,
        epoch=epoch,
        preset=preset,
        settle_until=settle_until,
        expected=[entry.vm for entry in expected],
    )
    for pool in sim_fleet.deployment.pools:
        grace = timedelta()
        if pool.settings.keyed:
            grace = slot_manager.KEYED_DRAIN_GRACE
        for name in sim_fleet.by_pool[pool.settings.name]:
            endpoint = sim_fleet.endpoints[name]
            if domain_of(endpoint.zone) == domain:
                manager.add_upstream(
                    name,
                    slot_count=pool.settings.slots,
                    bulk_cap=pool.bulk_cap,
                    drain_grace=grace,
                )
    return manager


def send_claim_holders(
    sim_fleet: fleet.Fleet, new_entry: ProductEntry
) -> None:
    """Inform a new entry process of the holders of all claims."""
    for holder in sim_fleet.entries:
        if isinstance(holder, ProductEntry) and holder.live:
            for domain in holder.managers:
                epoch = ids.Epoch(sim_fleet.epochs[domain])
                new_entry.set_claim_holder(domain, holder.vm, epoch)


def start_claims(sim_fleet: fleet.Fleet) -> None:
    """Create the first slot manager for the domain of each zone."""
    for zone in range(sim_fleet.deployment.zones):
        schedule_claim(sim_fleet, domain_of(zone), delay=0.0)

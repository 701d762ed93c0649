"""Entry processes that run the product's load policy unchanged."""

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
DETECTION = 0.75  # seconds without a heartbeat until a takeover
TAKEOVER = 0.1  # seconds for the store transaction and the map log
MAX_ATTEMPTS = 3
BUDGET_CAP = 10.0


class RetryBudget(Protocol):
    """Limits retries to a share of requests."""

    def earn(self) -> None:
        """Count one request."""

    def spend(self) -> bool:
        """Return whether one retry is allowed, and count it."""


class TokenBucket:
    """A retry budget: each request earns a share of a retry."""

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


class Product(fleet.Entry):
    """One entry process, with the slot managers of the claims it holds."""

    def __init__(self, owner: fleet.Fleet, number: int, zone: int) -> None:
        super().__init__(owner, number, zone)
        self.managers: dict[ids.DomainId, slot_manager.Manager] = {}
        preset = owner.deployment.preset
        self.budget: RetryBudget = TokenBucket(preset.retry_ratio)
        self._scheduler = scheduler.Scheduler(
            entry=self.vm,
            boot=ids.BootId('1'),
            preset=preset,
            rng=random.Random(owner.rng.random()),
        )
        self._calls: dict[ids.RequestId, metrics.Call] = {}
        self._attempts: dict[ids.RequestId, fleet.Attempt] = {}
        for pool in owner.deployment.pools:
            self._scheduler.add_pool(pool.settings)
            for name in owner.by_pool[pool.settings.name]:
                self._scheduler.add_upstream(
                    timedelta(),
                    name,
                    pool.settings.name,
                    domain_of(owner.endpoints[name].zone),
                )
        offset = owner.rng.random() * TICK
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
        self._do(self._scheduler.arrive(self.world.elapsed, request))

    def caller_gone(self, call: metrics.Call) -> None:
        if not self.live or call.finished:
            return
        name = request_id(call)
        self._do(self._scheduler.remove_queued(self.world.elapsed, name))
        if name not in self._attempts:
            self._calls.pop(name, None)
            call.finished = True

    def ended(
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
        self._do(actions)
        if self._retries(call, outcome):
            self._arrive(call)
        else:
            self._calls.pop(name, None)
            self.answer(call, outcome)

    def _retries(self, call: metrics.Call, outcome: outcomes.Outcome) -> bool:
        if call.attempts >= MAX_ATTEMPTS or call.gone is not None:
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

    def _do(self, actions: Iterable[scheduler.Action]) -> None:
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
                    self.answer(call, outcome)
                case scheduler.Send(to=to, message=message):
                    self._send(to, message)

    def _send(self, to: ids.VmId, message: slots.Message) -> None:
        target = find(self.fleet, to)
        if target is None:
            return
        if target is self:
            self.world.after(0.0, self.take, message)
            return
        if self.fleet.metrics.counts(self.world.now):
            self.fleet.metrics.messages += 1
        delay = self.fleet.latency(self.zone, target.zone)
        self.world.after(delay, target.take, message)

    def take(self, message: slots.Message) -> None:
        """Take a message from another entry process."""
        if not self.live:
            return
        now = self.world.elapsed
        match message:
            case slots.SlotDemand(domain=domain):
                manager = self.managers.get(domain)
                if manager is not None:
                    self._reply(manager.handle_demand(now, message))
            case slots.SlotReturn(domain=domain):
                manager = self.managers.get(domain)
                if manager is not None:
                    self._reply(manager.handle_return(now, message))
            case slots.SlotGrant() | slots.SlotRecall():
                self._do(self._scheduler.handle_message(now, message))

    def _reply(self, replies: Iterable[slot_manager.AddressedMessage]) -> None:
        for reply in replies:
            self._send(reply.entry, reply.message)

    # Time and membership

    def _tick(self) -> None:
        if not self.live:
            return
        reports = self.fleet.reports
        for name, load in reports.items():
            self._scheduler.report_load(name, load)
        self._do(self._scheduler.tick(self.world.elapsed))
        self.world.after(TICK, self._tick)

    def _manager_tick(self) -> None:
        if not self.live:
            return
        for manager in self.managers.values():
            self._reply(manager.tick(self.world.elapsed))
        self.world.after(MANAGER_TICK, self._manager_tick)

    def follow(
        self, domain: ids.DomainId, manager: ids.VmId, epoch: ids.Epoch
    ) -> None:
        """Learn who holds a domain's claim."""
        if self.live:
            self._do(
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

    def list_says_leaving(self, name: ids.UpstreamId) -> None:
        now = self.world.elapsed
        if self.live:
            self._do(self._scheduler.drain(now, name))
        for manager in self.managers.values():
            self._reply(manager.drain(now, name))

    def list_says_live(self, name: ids.UpstreamId) -> None:
        self._scheduler.undrain(self.world.elapsed, name)
        for manager in self.managers.values():
            manager.undrain(name)

    def shut_down(self) -> None:
        """Give idle slots back; requests in flight run to their end."""
        self._do(self._scheduler.stop(self.world.elapsed))
        for domain in list(self.managers):
            self.managers.pop(domain)
            claim(self.fleet, domain, delay=TAKEOVER, former=self)

    def lose(self) -> None:
        """Stop without notice."""
        self.live = False
        self.accepting = False
        for domain in list(self.managers):
            self.managers.pop(domain)
            claim(self.fleet, domain, delay=DETECTION + TAKEOVER, former=self)


def request_id(call: metrics.Call) -> ids.RequestId:
    return ids.RequestId(str(call.number))


def domain_of(zone: int) -> ids.DomainId:
    return ids.DomainId(f'zone-{zone}/0')


def find(owner: fleet.Fleet, vm: ids.VmId) -> Product | None:
    entry = owner.by_vm.get(vm)
    return entry if isinstance(entry, Product) else None


def claim(
    owner: fleet.Fleet,
    domain: ids.DomainId,
    *,
    delay: float,
    former: Product | None = None,
) -> None:
    """Let an entry process of the zone raise the epoch after a delay."""
    owner.world.after(delay, _claim, owner, domain, former)


def _claim(
    owner: fleet.Fleet, domain: ids.DomainId, former: Product | None
) -> None:
    if not owner.store_up:
        owner.world.after(DETECTION, _claim, owner, domain, former)
        return
    products = [
        one
        for one in owner.entries
        if isinstance(one, Product) and one.live and one.accepting
    ]
    local = [one for one in products if domain_of(one.zone) == domain]
    holder = local[0] if local else products[0]
    epoch = ids.Epoch(owner.epochs.get(domain, 0) + 1)
    owner.epochs[domain] = epoch
    holder.managers[domain] = make_manager(
        owner, domain, epoch, products if former is not None else []
    )
    for one in products:
        delay = owner.latency(holder.zone, one.zone)
        owner.world.after(delay, one.follow, domain, holder.vm, epoch)


def make_manager(
    owner: fleet.Fleet,
    domain: ids.DomainId,
    epoch: ids.Epoch,
    expected: list[Product],
) -> slot_manager.Manager:
    preset = owner.deployment.preset
    settle_until = timedelta()
    if expected:
        longest = max(preset.rank(r).deadline for r in outcomes.RANKS)
        settle_until = owner.world.elapsed + slots.settle_time(
            preset.claim_term, longest
        )
    manager = slot_manager.Manager(
        domain=domain,
        epoch=epoch,
        preset=preset,
        settle_until=settle_until,
        expected=[one.vm for one in expected],
    )
    for pool in owner.deployment.pools:
        grace = timedelta()
        if pool.settings.keyed:
            grace = slot_manager.KEYED_DRAIN_GRACE
        for name in owner.by_pool[pool.settings.name]:
            where = owner.endpoints[name]
            if domain_of(where.zone) == domain:
                manager.add_upstream(
                    name,
                    slot_count=pool.settings.slots,
                    bulk_cap=pool.bulk_cap,
                    drain_grace=grace,
                )
    return manager


def introduce(owner: fleet.Fleet, entry: Product) -> None:
    """Tell a new entry process who holds the claims."""
    for one in owner.entries:
        if isinstance(one, Product) and one.live:
            for domain in one.managers:
                epoch = ids.Epoch(owner.epochs[domain])
                entry.follow(domain, one.vm, epoch)


def start_claims(owner: fleet.Fleet) -> None:
    """Give every zone's domain its first manager."""
    for zone in range(owner.deployment.zones):
        claim(owner, domain_of(zone), delay=0.0)

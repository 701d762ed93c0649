"""Connects the load policy to the request path and to the peers.

The policy (``scheduler`` and ``slot_manager``) takes events and returns
actions. This module passes it the requests that wait in ``admit``, the slot
messages of peers and timer ticks, and carries out the returned actions.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random
from typing import Protocol

from goldcresthaven import admission
from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import operator_views
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import scheduler as scheduler_module
from goldcresthaven import slot_manager
from goldcresthaven import slots

TICK = timedelta(milliseconds=5)
SYNC_INTERVAL = timedelta(milliseconds=100)
# A manager may grant for this long after the claim was last checked.
CLAIM_CHECK_VALIDITY = 4 * TICK
# The domain of an upstream that is not in the shard map yet. It has no slot
# manager, so the upstream gets one request at a time.
NO_DOMAIN = ids.DomainId('')

Send = Callable[[ids.VmId, slots.Message], Awaitable[object]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """The claim holder of a domain, which manages the domain's slots."""

    vm: ids.VmId
    epoch: ids.Epoch


class Claims(Protocol):
    """The information about domains and claims that the gate needs."""

    def domains(self) -> Mapping[ids.UpstreamId, ids.DomainId]:
        """Return the domain of each upstream."""

    def holder(self, domain: ids.DomainId) -> Holder | None:
        """Return the holder in the latest known claim row."""

    def released(self, domain: ids.DomainId) -> bool:
        """Return whether the latest known claim row names no holder."""

    def holds(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        """Return whether this process's own claim is valid now."""

    def entries(self) -> frozenset[ids.VmId]:
        """Return the entry VMs that are not leaving."""


@dataclass(kw_only=True, slots=True)
class _Waiter:
    routed: routing.Routed
    request: admission.Request
    caller_gone: Callable[[], bool]
    done: aio.Event = field(default_factory=aio.Event)
    result: dispatch.Admitted | outcomes.NotRun | None = None


class SlotGate:
    """A ``dispatch.Gate`` that uses rank queues and slot leases.

    ``send`` queues a message to another VM; it must not wait for delivery.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        boot: ids.BootId,
        clock: clock_module.Clock,
        views: dispatch.Views,
        claims: Claims,
        send: Send,
        rng: random.Random,
    ) -> None:
        self._vm = vm
        self._boot = boot
        self._clock = clock
        self._views = views
        self._claims = claims
        self._send = send
        self._rng = rng
        self._scheduler: scheduler_module.Scheduler | None = None
        self._preset: presets.Preset | None = None
        self._pools: dict[ids.PoolName, presets.Pool] = {}
        self._upstream_domains: dict[ids.UpstreamId, ids.DomainId] = {}
        self._draining: set[ids.UpstreamId] = set()
        self._managers: dict[ids.DomainId, slot_manager.Manager] = {}
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._local_messages: collections.deque[slots.Message] = (
            collections.deque()
        )
        self._delivering = False
        self._map_version = ids.MapVersion(0)
        self._in_use: collections.Counter[ids.UpstreamId] = (
            collections.Counter()
        )

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> dispatch.Admitted | outcomes.NotRun:
        if self._scheduler is None:
            await self._sync()
        if self._scheduler is None:
            return outcomes.NotRun(
                reason=outcomes.Reason.NOT_READY,
                retry_after=retries.RETRY_AFTER,
            )
        waiter = _Waiter(
            routed=routed,
            request=_request(routed, attempt=len(tuple(tried))),
            caller_gone=caller_gone,
        )
        self._waiters[routed.request_id] = waiter
        now = self._clock.elapsed()
        try:
            await self._perform(self._scheduler.arrive(now, waiter.request))
            if waiter.result is None:
                await waiter.done.wait()
        finally:
            self._waiters.pop(routed.request_id, None)
            if waiter.result is None:
                await self._remove_queued(routed.request_id)
        assert waiter.result is not None
        return waiter.result

    async def _remove_queued(self, request_id: ids.RequestId) -> None:
        """Remove a request whose task ended or whose caller disconnected."""
        assert self._scheduler is not None
        now = self._clock.elapsed()
        await self._perform(self._scheduler.remove_queued(now, request_id))

    async def release(
        self,
        routed: routing.Routed,
        admitted: dispatch.Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        assert self._scheduler is not None
        self._in_use[admitted.upstream] -= 1
        outcome: outcomes.Outcome = outcomes.NotRun(
            reason=outcomes.Reason.CALLER_GONE
        )
        if attempt is not None:
            outcome = retries.classify(attempt)
        actions = self._scheduler.finished(
            self._clock.elapsed(),
            routed.request_id,
            outcome,
            draining=attempt is not None and attempt.draining,
        )
        await self._perform(actions)

    def in_use(self, upstream: ids.UpstreamId) -> int:
        """Return how many requests this process runs at an upstream."""
        return self._in_use[upstream]

    def condition(self, upstream: ids.UpstreamId) -> health.Condition:
        """Return an upstream's condition, from this process's attempts."""
        if self._scheduler is None:
            return health.Condition.UP
        return self._scheduler.condition(self._clock.elapsed(), upstream)

    def queues(self) -> tuple[operator_views.Queue, ...]:
        """Return the queues of this process by pool and rank."""
        now = self._clock.elapsed()
        ages: dict[tuple[ids.PoolName, str], list[timedelta]] = {}
        for waiter in self._waiters.values():
            if waiter.result is None:
                key = (waiter.routed.pool.name, waiter.routed.rank.value)
                ages.setdefault(key, []).append(now - waiter.routed.arrived)
        return tuple(
            operator_views.Queue(
                pool=pool,
                rank=rank,
                length=len(waits),
                size_bytes=0,
                oldest_ms=max(waits) // timedelta(milliseconds=1),
            )
            for (pool, rank), waits in sorted(ages.items())
        )

    async def run(self) -> None:
        """Drive the policy's timers until cancelled."""
        next_sync = timedelta()
        while True:
            now = self._clock.elapsed()
            if now >= next_sync:
                next_sync = now + SYNC_INTERVAL
                await self._sync()
                await self._refuse_disconnected(now)
            await self._tick(now)
            await aio.sleep(TICK)

    async def stop(self) -> None:
        """Return idle slots before a planned shutdown."""
        if self._scheduler is not None:
            await self._perform(self._scheduler.stop(self._clock.elapsed()))

    async def handle_message(self, message: slots.Message) -> None:
        """Handle a slot message from a peer or from this process."""
        now = self._clock.elapsed()
        match message:
            case slots.SlotDemand():
                manager = self._managers.get(message.domain)
                if manager is not None:
                    await self._reply(manager.handle_demand(now, message))
            case slots.SlotReturn():
                manager = self._managers.get(message.domain)
                if manager is not None:
                    await self._reply(manager.handle_return(now, message))
            case slots.SlotGrant() | slots.SlotRecall():
                if self._scheduler is not None:
                    await self._perform(
                        self._scheduler.handle_message(now, message)
                    )

    # Time

    async def _tick(self, now: timedelta) -> None:
        for domain, manager in self._managers.items():
            valid = self._claims.holds(domain, now=now)
            manager.claim_until = now + CLAIM_CHECK_VALIDITY if valid else now
            await self._reply(manager.tick(now))
        if self._scheduler is not None:
            await self._perform(self._scheduler.tick(now))

    async def _refuse_disconnected(self, now: timedelta) -> None:
        for waiter in list(self._waiters.values()):
            if waiter.result is None and waiter.caller_gone():
                await self._finish(
                    waiter,
                    outcomes.NotRun(reason=outcomes.Reason.CALLER_GONE),
                )
                await self._remove_queued(waiter.request.request_id)

    # Actions

    async def _perform(
        self, actions: Iterable[scheduler_module.Action]
    ) -> None:
        for action in actions:
            match action:
                case scheduler_module.Dispatch():
                    await self._dispatch(action)
                case scheduler_module.Refuse():
                    waiter = self._waiters.get(action.request.request_id)
                    if waiter is not None:
                        await self._finish(waiter, action.outcome)
                case scheduler_module.Send():
                    await self._deliver(action.to, action.message)

    async def _dispatch(self, action: scheduler_module.Dispatch) -> None:
        request_id = action.request.request_id
        waiter = self._waiters.get(request_id)
        view = self._views.current()
        member = None if view is None else view.upstreams.get(action.upstream)
        if waiter is None or view is None or member is None:
            assert self._scheduler is not None
            refusal = outcomes.NotRun(reason=outcomes.Reason.NO_UPSTREAM)
            if waiter is not None:
                await self._finish(waiter, refusal)
            now = self._clock.elapsed()
            await self._perform(
                self._scheduler.finished(now, request_id, refusal)
            )
            return
        limit = view.connection_limit(waiter.routed.pool)
        self._in_use[action.upstream] += 1
        # The granted slots may exceed this process's share of connections.
        limit = max(limit, self._in_use[action.upstream])
        admitted = dispatch.Admitted(
            upstream=action.upstream,
            address=member.address,
            connection_limit=limit,
        )
        await self._finish(waiter, admitted)

    async def _finish(
        self, waiter: _Waiter, result: dispatch.Admitted | outcomes.NotRun
    ) -> None:
        waiter.result = result
        await waiter.done.set()

    async def _reply(
        self, replies: Iterable[slot_manager.AddressedMessage]
    ) -> None:
        for reply in replies:
            await self._deliver(reply.entry, reply.message)

    async def _deliver(self, to: ids.VmId, message: slots.Message) -> None:
        if to != self._vm:
            await self._send(to, message)
            return
        # Messages to this process are queued, because handling one of them
        # may send the next one.
        self._local_messages.append(message)
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._local_messages:
                await self.handle_message(self._local_messages.popleft())
        finally:
            self._delivering = False

    # Configuration

    async def _sync(self) -> None:
        """Apply changes of the configuration, upstreams and claims."""
        view = self._views.current()
        if view is None:
            return
        now = self._clock.elapsed()
        self._sync_document(view.document)
        await self._sync_upstreams(now, view)
        await self._sync_claims(now, view)
        if view.shard_map.version != self._map_version:
            self._map_version = view.shard_map.version
            await self._move_queued(now, view)

    def _sync_document(self, document: presets.Document) -> None:
        preset = document.preset
        if self._scheduler is None:
            self._scheduler = scheduler_module.Scheduler(
                entry=self._vm, boot=self._boot, preset=preset, rng=self._rng
            )
        elif preset != self._preset:
            self._scheduler.set_preset(preset)
            for manager in self._managers.values():
                manager.set_preset(preset)
        self._preset = preset
        for pool in document.pools:
            if pool.name not in self._pools:
                self._pools[pool.name] = pool
                self._scheduler.add_pool(pool)

    async def _sync_upstreams(
        self, now: timedelta, view: dispatch.View
    ) -> None:
        assert self._scheduler is not None
        domains = self._claims.domains()
        # The upstreams of the first view are not new, so they get their full
        # load at once.
        started = bool(self._upstream_domains)
        for upstream, member in view.upstreams.items():
            if member.pool is None or member.pool not in self._pools:
                continue
            domain = domains.get(upstream, NO_DOMAIN)
            if upstream not in self._upstream_domains:
                self._scheduler.add_upstream(
                    now, upstream, member.pool, domain, new=started
                )
            elif domain != self._upstream_domains[upstream]:
                self._scheduler.set_domain(upstream, domain)
            self._upstream_domains[upstream] = domain
            await self._sync_drain(now, upstream, _is_draining(view, member))
        for upstream in self._upstream_domains.keys() - view.upstreams.keys():
            await self._sync_drain(now, upstream, True)

    async def _sync_drain(
        self, now: timedelta, upstream: ids.UpstreamId, draining: bool
    ) -> None:
        assert self._scheduler is not None
        if draining == (upstream in self._draining):
            return
        manager = self._managers.get(self._upstream_domains[upstream])
        if draining:
            self._draining.add(upstream)
            await self._perform(self._scheduler.drain(now, upstream))
            if manager is not None:
                await self._reply(manager.drain(now, upstream))
        else:
            self._draining.discard(upstream)
            self._scheduler.undrain(now, upstream)
            if manager is not None:
                manager.undrain(upstream)

    async def _sync_claims(self, now: timedelta, view: dispatch.View) -> None:
        assert self._scheduler is not None
        for domain in set(self._upstream_domains.values()):
            holder = self._claims.holder(domain)
            if self._claims.released(domain):
                await self._perform(self._scheduler.set_released(now, domain))
            if holder is None:
                continue
            if holder.vm == self._vm:
                self._sync_manager(now, domain, holder.epoch, view)
            else:
                self._managers.pop(domain, None)
            await self._perform(
                self._scheduler.set_manager(
                    now, domain, holder.vm, holder.epoch
                )
            )

    def _sync_manager(
        self,
        now: timedelta,
        domain: ids.DomainId,
        epoch: ids.Epoch,
        view: dispatch.View,
    ) -> None:
        manager = self._managers.get(domain)
        if manager is None or manager.epoch != epoch:
            manager = self._new_manager(now, domain, epoch, view)
            self._managers[domain] = manager
        for upstream, upstream_domain in self._upstream_domains.items():
            if upstream_domain == domain and not manager.manages(upstream):
                self._add_upstream(manager, upstream, view)

    def _new_manager(
        self,
        now: timedelta,
        domain: ids.DomainId,
        epoch: ids.Epoch,
        view: dispatch.View,
    ) -> slot_manager.Manager:
        preset = view.document.preset
        longest = max(preset.rank(r).deadline for r in outcomes.RANKS)
        settle = slots.settle_time(preset.claim_term, longest)
        # There was no manager before the first epoch.
        first = epoch <= 1
        return slot_manager.Manager(
            domain=domain,
            epoch=epoch,
            preset=preset,
            settle_until=now if first else now + settle,
            expected=() if first else self._claims.entries(),
        )

    def _add_upstream(
        self,
        manager: slot_manager.Manager,
        upstream: ids.UpstreamId,
        view: dispatch.View,
    ) -> None:
        member = view.upstreams.get(upstream)
        if member is None or member.pool is None:
            return
        pool = self._pools[member.pool]
        cap = slot_manager.bulk_cap(view.document.preset, pool.slots)
        grace = slot_manager.KEYED_DRAIN_GRACE if pool.keyed else timedelta()
        manager.add_upstream(
            upstream,
            slot_count=pool.slots,
            bulk_cap=cap,
            drain_grace=grace,
        )

    async def _move_queued(self, now: timedelta, view: dispatch.View) -> None:
        """Move queued keyed requests to the new owners of their shards."""
        assert self._scheduler is not None
        for waiter in list(self._waiters.values()):
            if waiter.result is not None or waiter.request.owner is None:
                continue
            owner = _owner(view, waiter.routed)
            if owner is None or owner == waiter.request.owner:
                continue
            request_id = waiter.request.request_id
            await self._perform(self._scheduler.remove_queued(now, request_id))
            waiter.request = _request(
                waiter.routed, attempt=waiter.request.attempt, owner=owner
            )
            await self._perform(self._scheduler.arrive(now, waiter.request))


def _is_draining(view: dispatch.View, member: members.Member) -> bool:
    drained = ids.UpstreamId(member.vm) in view.document.drained
    return drained or member.state is members.MemberState.LEAVING


def _owner(
    view: dispatch.View, routed: routing.Routed
) -> ids.UpstreamId | None:
    """Return the shard's current owner, or None if the shard was split."""
    if routed.shard is None:
        return None
    shard = view.shard_map.shards.get(routed.shard.shard_id)
    return None if shard is None else shard.owner


def _request(
    routed: routing.Routed,
    *,
    attempt: int,
    owner: ids.UpstreamId | None = None,
) -> admission.Request:
    return admission.Request(
        request_id=routed.request_id,
        pool=routed.pool.name,
        rank=routed.rank,
        arrived=routed.arrived,
        deadline=routed.deadline,
        owner=owner or routed.owner,
        idempotent=routed.idempotent,
        attempt=attempt,
    )

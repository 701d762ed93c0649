"""The load policy of one entry process: queues, slots, balancing, health.

Events arrive as method calls that carry the current elapsed time; each call
returns the actions that the driver must carry out. The work per event depends
on the number of upstreams of one pool at most, never on the number of queued
requests.

Example::

    for action in scheduler.arrive(clock.elapsed(), request):
        match action:
            case Dispatch(): ...
            case Refuse(): ...
            case Send(): ...
"""

from dataclasses import dataclass
from datetime import timedelta
import random

from goldcresthaven import abandoned_requests
from goldcresthaven import admission
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import slot_demand
from goldcresthaven import slots

EXPIRY_INTERVAL = timedelta(milliseconds=10)
UPKEEP_INTERVAL = timedelta(milliseconds=100)


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Send a request to an upstream now; report its end to ``finished``.

    The driver checks the deadline again before it sends the first byte.
    """

    request: admission.Request
    upstream: ids.UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Answer the caller that the request was not run."""

    request: admission.Request
    outcome: outcomes.NotRun


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message to a slot manager, which may run on this VM."""

    to: ids.VmId
    message: slots.SlotDemand | slots.SlotReturn


Action = Dispatch | Refuse | Send


@dataclass(kw_only=True, slots=True)
class _RunningRequest:
    request: admission.Request
    upstream: ids.UpstreamId
    held: slots.HeldSlot | None
    started: timedelta


class Scheduler:
    """Applies the load policy in one entry process."""

    def __init__(
        self,
        *,
        entry: ids.VmId,
        boot: ids.BootId,
        preset: presets.Preset,
        rng: random.Random,
    ) -> None:
        self._preset = preset
        self._slots = slots.EntrySlots(entry=entry, boot=boot)
        self._demand = slot_demand.Demand(entry_slots=self._slots, rng=rng)
        self._pools: dict[ids.PoolName, presets.Pool] = {}
        self._groups: dict[
            ids.UpstreamId | ids.PoolName, slot_demand.UpstreamGroup
        ] = {}
        self._upstreams: dict[ids.UpstreamId, slot_demand.UpstreamDemand] = {}
        self._running: dict[ids.RequestId, _RunningRequest] = {}
        self._queued: dict[ids.RequestId, slot_demand.UpstreamGroup] = {}
        self._abandoned = abandoned_requests.AbandonedRequests[
            _RunningRequest
        ]()
        self._actions: list[Action] = []
        self._next_expiry = admission.ZERO
        self._next_upkeep = admission.ZERO

    def add_pool(self, pool: presets.Pool) -> None:
        self._pools[pool.name] = pool
        if not pool.keyed:
            self._groups[pool.name] = slot_demand.UpstreamGroup(
                pool=pool, preset=self._preset
            )

    def add_upstream(
        self,
        now: timedelta,
        upstream: ids.UpstreamId,
        pool: ids.PoolName,
        domain: ids.DomainId,
        *,
        new: bool = False,
    ) -> None:
        """Use an upstream; a ``new`` one starts with a reduced load."""
        settings = self._pools[pool]
        if settings.keyed:
            group = slot_demand.UpstreamGroup(
                pool=settings, preset=self._preset
            )
            self._groups[upstream] = group
        else:
            group = self._groups[pool]
        upstream_health = health.Health(slow_start=self._preset.slow_start)
        if new:
            upstream_health.started = now
        state = slot_demand.UpstreamDemand(
            name=upstream, group=group, health=upstream_health
        )
        group.upstreams[upstream] = state
        self._upstreams[upstream] = state
        self._slots.add_upstream(upstream, domain)
        self._demand.refresh(now, group)

    def set_domain(
        self, upstream: ids.UpstreamId, domain: ids.DomainId
    ) -> None:
        """Set the domain of an upstream that had none or another one."""
        self._slots.add_upstream(upstream, domain)
        session = self._slots.session_of(upstream)
        if session is not None:
            session.dirty.add(upstream)
            if any(self._upstreams[upstream].demand):
                session.wanted.add(upstream)

    def set_preset(self, preset: presets.Preset) -> None:
        self._preset = preset
        for group in self._groups.values():
            group.set_preset(preset)

    def set_manager(
        self,
        now: timedelta,
        domain: ids.DomainId,
        manager: ids.VmId,
        epoch: ids.Epoch,
    ) -> list[Action]:
        """Send the demand for a domain to its new claim holder.

        Until a successor answers, queued requests are sent one at a time.
        """
        if self._slots.set_manager(domain, manager, epoch):
            for group in self._groups.values():
                self._refresh_idle(group)
            self._send_demands(now)
            for group in self._groups.values():
                self._dispatch_fallback(now, group)
        return self._take_actions()

    def set_released(
        self, now: timedelta, domain: ids.DomainId
    ) -> list[Action]:
        """Stop waiting for the slots of a manager without a claim.

        Until its successor is known, queued requests are sent one at a time.
        They would otherwise wait for slots for ``slots.MANAGER_TIMEOUT``,
        which is longer than many deadlines.
        """
        if self._slots.set_released(domain):
            for group in self._groups.values():
                self._dispatch_fallback(now, group)
        return self._take_actions()

    def report_load(self, upstream: ids.UpstreamId, load: float) -> None:
        """Record the load that an upstream reports; it only breaks ties."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.reported_load = load

    def condition(
        self, now: timedelta, upstream: ids.UpstreamId
    ) -> health.Condition:
        """Return an upstream's condition; an unknown upstream is UP."""
        state = self._upstreams.get(upstream)
        return (
            health.Condition.UP
            if state is None
            else state.health.condition(now)
        )

    def arrive(
        self, now: timedelta, request: admission.Request
    ) -> list[Action]:
        """Queue, dispatch or refuse a new request or a retry."""
        group = self._groups.get(request.owner or request.pool)
        if group is None or not group.upstreams:
            self._refuse(request, admission.no_upstream(request))
            return self._take_actions()
        if request.deadline <= now:
            self._refuse(request, admission.EXPIRED)
            return self._take_actions()
        if not len(group.queue.ranks[request.level]):
            if self._dispatch_idle(now, group, request):
                return self._take_actions()
        if not self._reachable(now, group):
            self._refuse(request, admission.no_upstream(request))
            return self._take_actions()
        refusal = group.queue.offer(now, request)
        if refusal is not None:
            self._refuse(request, refusal)
            return self._take_actions()
        self._queued[request.request_id] = group
        if self._demand.add(now, group, request.level):
            self._send_demands(now)
        return self._take_actions()

    def finished(
        self,
        now: timedelta,
        request_id: ids.RequestId,
        outcome: outcomes.Outcome,
        *,
        draining: bool = False,
    ) -> list[Action]:
        """Record the result of a dispatched attempt and reuse its slot.

        ``draining`` means that the response carried ``X-Draining``. The
        slot stays occupied while the upstream may still run the request.
        """
        running = self._running.pop(request_id)
        state = self._upstreams[running.upstream]
        rank = state.group.queue.ranks[running.request.level]
        duration = now - running.started
        state.health.record(
            now, health.classify(outcome, duration, rank.service_time)
        )
        if draining:
            state.health.drain(now)
        if isinstance(outcome, outcomes.Done):
            state.stalled = False
            rank.record_service_time(duration)
        if state.health.is_draining():
            self._handle_draining(now, state)
        until = abandoned_requests.free_at(
            outcome, started=running.started, service_time=rank.service_time
        )
        if until > now:
            self._abandoned.add(until, running)
        else:
            self._free(now, running)
        return self._take_actions()

    def _free(self, now: timedelta, running: _RunningRequest) -> None:
        state = self._upstreams[running.upstream]
        state.running -= 1
        if running.held is None:
            self._slots.end_fallback(running.upstream)
            self._dispatch_fallback(now, state.group)
        elif self._slots.release(now, running.held):
            self._use_slot(now, state, running.held)

    def remove_queued(
        self, now: timedelta, request_id: ids.RequestId
    ) -> list[Action]:
        """Remove a request from its queue, if it is still queued.

        The driver cancels requests that have been dispatched.
        """
        group = self._queued.pop(request_id, None)
        if group is not None:
            for queue in group.queue.ranks:
                request = queue.remove(request_id)
                if request is not None:
                    self._demand.remove(group, request.level)
        return self._take_actions()

    def handle_message(
        self, now: timedelta, message: slots.SlotGrant | slots.SlotRecall
    ) -> list[Action]:
        """Apply a slot manager's grant or recall."""
        match message:
            case slots.SlotGrant():
                self._handle_grant(now, message)
            case slots.SlotRecall():
                idle = self._slots.recall(message)
                if idle:
                    self._return_slots(now, idle)
        return self._take_actions()

    def drain(self, now: timedelta, upstream: ids.UpstreamId) -> list[Action]:
        """Stop using an upstream that leaves or that an operator drains."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.health.drain(now)
            self._handle_draining(now, state)
        return self._take_actions()

    def undrain(self, now: timedelta, upstream: ids.UpstreamId) -> None:
        state = self._upstreams.get(upstream)
        if state is not None:
            state.health.undrain(now)
            session = self._slots.session_of(upstream)
            if session is not None:
                session.draining.discard(upstream)
            self._demand.refresh(now, state.group)

    def take_queued(self, upstream: ids.UpstreamId) -> list[admission.Request]:
        """Remove and return the queue of a keyed owner that lost its keys.

        The caller queues the requests again with ``arrive``.
        """
        group = self._groups.get(upstream)
        if group is None:
            return []
        taken: list[admission.Request] = []
        for queue in group.queue.ranks:
            for request in queue.drain():
                del self._queued[request.request_id]
                self._demand.remove(group, request.level)
                taken.append(request)
        return taken

    def stop(self, now: timedelta) -> list[Action]:
        """Return all idle slots before a planned shutdown."""
        for state in self._upstreams.values():
            idle = self._slots.idle_slots(state.name)
            if idle:
                self._return_slots(now, idle)
        return self._take_actions()

    def tick(self, now: timedelta) -> list[Action]:
        """Expire requests, return idle slots and send demands.

        To be called every 5 ms.
        """
        for running in self._abandoned.take(now):
            self._free(now, running)
        if self._queued and now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL
            for group in self._groups.values():
                self._expire(now, group)
        if now >= self._next_upkeep:
            self._next_upkeep = now + UPKEEP_INTERVAL
            for idle in self._slots.idle_too_long(now):
                self._return_slots(now, idle)
            for group in self._groups.values():
                self._demand.refresh(now, group)
                self._dispatch_fallback(now, group)
        self._send_demands(now)
        return self._take_actions()

    def _dispatch_idle(
        self,
        now: timedelta,
        group: slot_demand.UpstreamGroup,
        request: admission.Request,
    ) -> bool:
        """Dispatch on an idle slot; return False if there is none."""
        level = request.level
        candidates = [
            name
            for name in group.idle
            if self._slots.has_idle(name, level)
            and self._demand.accepts(now, group.upstreams[name])
        ]
        name = self._demand.choose(now, group, candidates)
        if name is None:
            return False
        held = self._slots.take(now, name, level)
        if held is None:
            return False
        if not self._slots.has_idle(name, 0):
            group.idle.pop(name, None)
        self._start(now, group.upstreams[name], request, held)
        return True

    def _start(
        self,
        now: timedelta,
        state: slot_demand.UpstreamDemand,
        request: admission.Request,
        held: slots.HeldSlot | None,
    ) -> None:
        state.running += 1
        state.health.begin()
        self._running[request.request_id] = _RunningRequest(
            request=request, upstream=state.name, held=held, started=now
        )
        self._actions.append(Dispatch(request=request, upstream=state.name))

    def _use_slot(
        self,
        now: timedelta,
        state: slot_demand.UpstreamDemand,
        held: slots.HeldSlot,
    ) -> None:
        """Use an idle slot for the next request, keep it or return it."""
        group = state.group
        if not self._demand.accepts(now, state) or self._slots.must_return(
            now, held
        ):
            self._return_slots(now, [held])
            return
        slot_level = held.slot.level
        request = self._next_request(now, group, slot_level, held.recalled)
        if request is None:
            if held.recalled:
                self._return_slots(now, [held])
            else:
                group.idle[state.name] = None
            return
        # Use exactly this slot. The caller goes on with the other slots of
        # the grant, and could return one of them while it is busy.
        if not self._slots.mark_busy(now, held):
            # The lease has expired, so the request goes back to the queue.
            self._requeue(now, group, request)
            return
        self._demand.remove(group, request.level, state)
        self._start(now, state, request, held)

    def _requeue(
        self,
        now: timedelta,
        group: slot_demand.UpstreamGroup,
        request: admission.Request,
    ) -> None:
        group.queue.ranks[request.level].add(request)
        self._queued[request.request_id] = group

    def _next_request(
        self,
        now: timedelta,
        group: slot_demand.UpstreamGroup,
        slot_level: int,
        contended: bool,
    ) -> admission.Request | None:
        """Remove the next request that may use a slot of this level.

        The slot serves its own rank first, because the manager granted it
        to that rank. A more urgent rank may use it only if the slot is not
        ``contended`` by other waiting requests, because the slot is charged
        to the rank that it was granted to. Requests that cannot finish in
        time are refused.
        """
        levels = (
            (slot_level,) if contended else (slot_level, *range(slot_level))
        )
        for level in levels:
            queue = group.queue.ranks[level]
            while len(queue):
                request: admission.Request = queue.pop()
                del self._queued[request.request_id]
                if (
                    request.deadline
                    >= now + queue.service_time * admission.SERVICE_MARGIN
                ):
                    return request
                self._demand.remove(group, level)
                self._refuse(request, admission.TOO_LATE)
        return None

    def _dispatch_fallback(
        self, now: timedelta, group: slot_demand.UpstreamGroup
    ) -> None:
        """Send one request at a time while the manager is unavailable."""
        for state in group.upstreams.values():
            counts = group.queue.counts()
            if not any(counts) or not self._demand.accepts(now, state):
                continue
            session = self._slots.session_of(state.name)
            if session is not None and not session.manager_unavailable(now):
                continue
            group.shares.advance(now, counts, [0] * admission.RANK_COUNT)
            level = group.shares.choose(counts, admission.RANK_COUNT)
            if level is None or not self._slots.take_fallback(now, state.name):
                continue
            request = self._next_request(now, group, level, True)
            if request is None:
                self._slots.end_fallback(state.name)
                continue
            self._demand.remove(group, request.level, state)
            self._start(now, state, request, None)

    def _handle_grant(self, now: timedelta, grant: slots.SlotGrant) -> None:
        for report in grant.backlog:
            state = self._upstreams.get(report.upstream)
            if state is not None:
                self._demand.update_backlog(state, report.queued)
        for held in self._slots.accept_grant(now, grant):
            self._upstreams[held.slot.upstream].unmet_since = now
            self._use_slot(now, self._upstreams[held.slot.upstream], held)

    def _return_slots(
        self, now: timedelta, held: list[slots.HeldSlot]
    ) -> None:
        """Return idle slots of one domain, together with current demand."""
        wants: list[slots.Want] = []
        for name in dict.fromkeys(each.slot.upstream for each in held):
            upstream = self._upstreams[name]
            if any(upstream.demand) or any(upstream.reported_demand):
                wants.append(self._demand.build_want(now, upstream))
        message = self._slots.build_return(held, tuple(wants))
        for each in held:
            upstream = self._upstreams[each.slot.upstream]
            if not self._slots.has_idle(upstream.name, 0):
                upstream.group.idle.pop(upstream.name, None)
        session = self._slots.session_of(held[0].slot.upstream)
        if session is not None:
            self._actions.append(Send(to=session.manager, message=message))

    def _send_demands(self, now: timedelta) -> None:
        for domain, session in self._slots.sessions():
            if not self._slots.demand_due(now, session):
                continue
            wants = tuple(
                self._demand.build_want(now, self._upstreams[name])
                for name in session.dirty
            )
            message = self._slots.build_demand(now, domain, wants)
            self._actions.append(Send(to=session.manager, message=message))

    def _refresh_idle(self, group: slot_demand.UpstreamGroup) -> None:
        group.idle = {
            name: None
            for name in group.upstreams
            if self._slots.has_idle(name, 0)
        }

    def _reachable(
        self, now: timedelta, group: slot_demand.UpstreamGroup
    ) -> bool:
        """Return whether a queued request can expect an upstream."""
        if group.usable:
            return True
        self._demand.refresh(now, group)
        if group.usable:
            return True
        # An upstream that shed a request is paused for a short time only.
        return any(
            state.health.is_paused(now) for state in group.upstreams.values()
        )

    def _handle_draining(
        self, now: timedelta, state: slot_demand.UpstreamDemand
    ) -> None:
        """Report the drain, return idle slots and use other upstreams."""
        session = self._slots.session_of(state.name)
        if session is not None and state.name not in session.draining:
            session.draining.add(state.name)
            session.urgent = True
        if self._demand.accepts(now, state):
            return
        idle = self._slots.idle_slots(state.name)
        if idle:
            self._return_slots(now, idle)
        self._demand.refresh(now, state.group)

    def _expire(
        self, now: timedelta, group: slot_demand.UpstreamGroup
    ) -> None:
        for queue in group.queue.ranks:
            if not len(queue):
                continue
            for request in queue.expire(now):
                del self._queued[request.request_id]
                self._demand.remove(group, request.level)
                self._refuse(request, admission.EXPIRED)

    def _refuse(
        self, request: admission.Request, outcome: outcomes.NotRun
    ) -> None:
        self._actions.append(Refuse(request=request, outcome=outcome))

    def _take_actions(self) -> list[Action]:
        taken = self._actions
        self._actions = []
        return taken

"""The load policy of one entry process: queues, slots, balancing, health.

Events come in as method calls with the current reading of the elapsed
clock; each returns the actions that the driver has to carry out. The work
per event depends on the upstreams of one pool at most, never on the number
of queued requests.

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
    """Send a request to an upstream now; report with ``finished``.

    The driver checks the deadline again before the first byte.
    """

    request: admission.Request
    upstream: ids.UpstreamId


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Tell the caller that the request was not run."""

    request: admission.Request
    outcome: outcomes.NotRun


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message to a slot manager, which may be this VM."""

    to: ids.VmId
    message: slots.SlotDemand | slots.SlotReturn


Action = Dispatch | Refuse | Send


@dataclass(kw_only=True, slots=True)
class _Running:
    request: admission.Request
    upstream: ids.UpstreamId
    held: slots.Held | None
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
        self._lines: dict[ids.UpstreamId | ids.PoolName, slot_demand.Line] = {}
        self._upstreams: dict[ids.UpstreamId, slot_demand.Upstream] = {}
        self._running: dict[ids.RequestId, _Running] = {}
        self._queued: dict[ids.RequestId, slot_demand.Line] = {}
        self._unfinished = abandoned_requests.Unfinished[_Running]()
        self._actions: list[Action] = []
        self._next_expiry = admission.ZERO
        self._next_upkeep = admission.ZERO

    def add_pool(self, pool: presets.Pool) -> None:
        self._pools[pool.name] = pool
        if not pool.keyed:
            self._lines[pool.name] = slot_demand.Line(
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
        """Use an upstream; ``new`` ones get load slowly at first."""
        settings = self._pools[pool]
        if settings.keyed:
            line = slot_demand.Line(pool=settings, preset=self._preset)
            self._lines[upstream] = line
        else:
            line = self._lines[pool]
        state = health.Health(slow_start=self._preset.slow_start)
        if new:
            state.started = now
        one = slot_demand.Upstream(name=upstream, line=line, health=state)
        line.upstreams[upstream] = one
        self._upstreams[upstream] = one
        self._slots.add_upstream(upstream, domain)
        self._demand.refresh(now, line)

    def set_domain(
        self, upstream: ids.UpstreamId, domain: ids.DomainId
    ) -> None:
        """Note the domain of an upstream that had none so far."""
        self._slots.add_upstream(upstream, domain)
        session = self._slots.session_of(upstream)
        if session is not None:
            session.dirty.add(upstream)
            if any(self._upstreams[upstream].want):
                session.wanted.add(upstream)

    def set_preset(self, preset: presets.Preset) -> None:
        self._preset = preset
        for line in self._lines.values():
            line.set_preset(preset)

    def set_manager(
        self,
        now: timedelta,
        domain: ids.DomainId,
        manager: ids.VmId,
        epoch: ids.Epoch,
    ) -> list[Action]:
        """Send demand for a domain to its claim holder from now on."""
        if self._slots.set_manager(domain, manager, epoch):
            for line in self._lines.values():
                self._refresh_idle(line)
            self._send_demands(now)
        return self._taken()

    def report_load(self, upstream: ids.UpstreamId, load: float) -> None:
        """Note the load that an upstream claims; it only breaks ties."""
        one = self._upstreams.get(upstream)
        if one is not None:
            one.reported_load = load

    def condition(
        self, now: timedelta, upstream: ids.UpstreamId
    ) -> health.Condition:
        """Return an upstream's condition; an unknown one counts as up."""
        one = self._upstreams.get(upstream)
        return (
            health.Condition.UP if one is None else one.health.condition(now)
        )

    def arrive(
        self, now: timedelta, request: admission.Request
    ) -> list[Action]:
        """Queue, dispatch or refuse a new request or a retry."""
        line = self._lines.get(request.owner or request.pool)
        if line is None or not line.upstreams:
            self._refuse(request, admission.no_upstream(request))
            return self._taken()
        if request.deadline <= now:
            self._refuse(request, admission.EXPIRED)
            return self._taken()
        if not len(line.queue.ranks[request.level]):
            if self._dispatch_idle(now, line, request):
                return self._taken()
        if not self._reachable(now, line):
            self._refuse(request, admission.no_upstream(request))
            return self._taken()
        refusal = line.queue.offer(now, request)
        if refusal is not None:
            self._refuse(request, refusal)
            return self._taken()
        self._queued[request.request_id] = line
        if self._demand.add(now, line, request.level):
            self._send_demands(now)
        return self._taken()

    def finished(
        self,
        now: timedelta,
        request_id: ids.RequestId,
        outcome: outcomes.Outcome,
        *,
        draining: bool = False,
    ) -> list[Action]:
        """Take the result of a dispatched attempt.

        ``draining`` says that the response carried ``X-Draining``. The
        slot is free, unless the upstream may still be running the request.
        """
        running = self._running.pop(request_id)
        one = self._upstreams[running.upstream]
        rank = one.line.queue.ranks[running.request.level]
        ran = now - running.started
        one.health.record(now, health.judge(outcome, ran, rank.service))
        if draining:
            one.health.drain(now)
        if isinstance(outcome, outcomes.Done):
            one.stalled = False
            rank.observe(ran)
        if one.health.leaving():
            self._note_leaving(now, one)
        until = abandoned_requests.free_at(
            outcome, started=running.started, service=rank.service
        )
        if until > now:
            self._unfinished.add(until, running)
        else:
            self._free(now, running)
        return self._taken()

    def _free(self, now: timedelta, running: _Running) -> None:
        one = self._upstreams[running.upstream]
        one.running -= 1
        if running.held is None:
            self._slots.end_fallback(running.upstream)
            self._serve_fallback(now, one.line)
        elif self._slots.release(now, running.held):
            self._serve(now, one, running.held)

    def caller_gone(
        self, now: timedelta, request_id: ids.RequestId
    ) -> list[Action]:
        """Remove a queued request whose caller has disconnected.

        One that has been dispatched is the driver's to cancel.
        """
        line = self._queued.pop(request_id, None)
        if line is not None:
            for queue in line.queue.ranks:
                request = queue.remove(request_id)
                if request is not None:
                    self._demand.drop(line, request.level)
        return self._taken()

    def message(
        self, now: timedelta, message: slots.SlotGrant | slots.SlotRecall
    ) -> list[Action]:
        """Take a slot manager's message."""
        match message:
            case slots.SlotGrant():
                self._granted(now, message)
            case slots.SlotRecall():
                idle = self._slots.recall(message)
                if idle:
                    self._give_back(now, idle)
        return self._taken()

    def drain(self, now: timedelta, upstream: ids.UpstreamId) -> list[Action]:
        """Stop using an upstream that the list or an operator drains."""
        one = self._upstreams.get(upstream)
        if one is not None:
            one.health.drain(now)
            self._note_leaving(now, one)
        return self._taken()

    def undrain(self, now: timedelta, upstream: ids.UpstreamId) -> None:
        one = self._upstreams.get(upstream)
        if one is not None:
            one.health.undrain(now)
            session = self._slots.session_of(upstream)
            if session is not None:
                session.draining.discard(upstream)
            self._demand.refresh(now, one.line)

    def take_queued(self, upstream: ids.UpstreamId) -> list[admission.Request]:
        """Take out a keyed owner's queue, whose keys now have new owners.

        The caller offers them again with ``arrive``.
        """
        line = self._lines.get(upstream)
        if line is None:
            return []
        taken: list[admission.Request] = []
        for queue in line.queue.ranks:
            for request in queue.drain():
                del self._queued[request.request_id]
                self._demand.drop(line, request.level)
                taken.append(request)
        return taken

    def stop(self, now: timedelta) -> list[Action]:
        """Return all idle slots before a planned shutdown."""
        for one in self._upstreams.values():
            idle = self._slots.idle_of(one.name)
            if idle:
                self._give_back(now, idle)
        return self._taken()

    def tick(self, now: timedelta) -> list[Action]:
        """Do what depends on time alone; to be called every 5 ms."""
        for running in self._unfinished.take(now):
            self._free(now, running)
        if self._queued and now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL
            for line in self._lines.values():
                self._expire(now, line)
        if now >= self._next_upkeep:
            self._next_upkeep = now + UPKEEP_INTERVAL
            for idle in self._slots.idle_too_long(now):
                self._give_back(now, idle)
            for line in self._lines.values():
                self._demand.refresh(now, line)
                self._serve_fallback(now, line)
        self._send_demands(now)
        return self._taken()

    def _dispatch_idle(
        self,
        now: timedelta,
        line: slot_demand.Line,
        request: admission.Request,
    ) -> bool:
        """Dispatch on an idle slot, if there is one."""
        level = request.level
        candidates = [
            name
            for name in line.idle
            if self._slots.has_idle(name, level)
            and self._demand.accepts(now, line.upstreams[name])
        ]
        name = self._demand.choose(now, line, candidates)
        if name is None:
            return False
        held = self._slots.take(now, name, level)
        if held is None:
            return False
        if not self._slots.has_idle(name, 0):
            line.idle.pop(name, None)
        self._start(now, line.upstreams[name], request, held)
        return True

    def _start(
        self,
        now: timedelta,
        one: slot_demand.Upstream,
        request: admission.Request,
        held: slots.Held | None,
    ) -> None:
        one.running += 1
        one.health.begin()
        self._running[request.request_id] = _Running(
            request=request, upstream=one.name, held=held, started=now
        )
        self._actions.append(Dispatch(request=request, upstream=one.name))

    def _serve(
        self, now: timedelta, one: slot_demand.Upstream, held: slots.Held
    ) -> None:
        """Use an idle slot for the next request, keep it or return it."""
        line = one.line
        if not self._demand.accepts(now, one) or self._slots.must_return(
            now, held
        ):
            self._give_back(now, [held])
            return
        tag = held.slot.level
        request = self._next_request(now, line, tag, held.recalled)
        if request is None:
            if held.recalled:
                self._give_back(now, [held])
            else:
                line.idle[one.name] = None
            return
        # Exactly this slot: another one of the same grant is served next,
        # and a busy slot must not be returned.
        if not self._slots.use(now, held):
            # The lease has ended, so the request waits again.
            self._requeue(now, line, request)
            return
        self._demand.drop(line, request.level, one)
        self._start(now, one, request, held)

    def _requeue(
        self,
        now: timedelta,
        line: slot_demand.Line,
        request: admission.Request,
    ) -> None:
        line.queue.ranks[request.level].add(request)
        self._queued[request.request_id] = line

    def _next_request(
        self, now: timedelta, line: slot_demand.Line, tag: int, contended: bool
    ) -> admission.Request | None:
        """Take the next request that may use a slot with this tag.

        A slot goes to its own rank first, since the manager gave it to
        that rank. A more urgent one may have it only when nobody else
        waits, since the tagged rank pays for it.
        """
        levels = (tag,) if contended else (tag, *range(tag))
        for level in levels:
            queue = line.queue.ranks[level]
            while len(queue):
                request: admission.Request = queue.pop()
                del self._queued[request.request_id]
                if (
                    request.deadline
                    >= now + queue.service * admission.SERVICE_MARGIN
                ):
                    return request
                self._demand.drop(line, level)
                self._refuse(request, admission.TOO_LATE)
        return None

    def _serve_fallback(self, now: timedelta, line: slot_demand.Line) -> None:
        """Send one request at a time while a manager is silent."""
        for one in line.upstreams.values():
            counts = line.queue.counts()
            if not any(counts) or not self._demand.accepts(now, one):
                continue
            session = self._slots.session_of(one.name)
            if session is not None and not session.silent(now):
                continue
            line.shares.advance(now, counts, [0] * admission.RANK_COUNT)
            level = line.shares.choose(counts, admission.RANK_COUNT)
            if level is None or not self._slots.take_fallback(now, one.name):
                continue
            request = self._next_request(now, line, level, True)
            if request is None:
                self._slots.end_fallback(one.name)
                continue
            self._demand.drop(line, request.level, one)
            self._start(now, one, request, None)

    def _granted(self, now: timedelta, grant: slots.SlotGrant) -> None:
        for report in grant.backlog:
            one = self._upstreams.get(report.upstream)
            if one is not None:
                self._demand.note_backlog(one, report.queued)
        for held in self._slots.accept(now, grant):
            self._upstreams[held.slot.upstream].unmet_since = now
            self._serve(now, self._upstreams[held.slot.upstream], held)

    def _give_back(self, now: timedelta, held: list[slots.Held]) -> None:
        """Return idle slots of one domain, with news of the demand."""
        wants: list[slots.Want] = []
        for name in dict.fromkeys(one.slot.upstream for one in held):
            upstream = self._upstreams[name]
            if any(upstream.want) or any(upstream.told):
                wants.append(self._demand.report(now, upstream))
        message = self._slots.give_back(held, tuple(wants))
        for one in held:
            upstream = self._upstreams[one.slot.upstream]
            if not self._slots.has_idle(upstream.name, 0):
                upstream.line.idle.pop(upstream.name, None)
        session = self._slots.session_of(held[0].slot.upstream)
        if session is not None:
            self._actions.append(Send(to=session.manager, message=message))

    def _send_demands(self, now: timedelta) -> None:
        for domain, session in self._slots.sessions():
            if not self._slots.demand_due(now, session):
                continue
            wants = tuple(
                self._demand.report(now, self._upstreams[name])
                for name in session.dirty
            )
            message = self._slots.demand(now, domain, wants)
            self._actions.append(Send(to=session.manager, message=message))

    def _refresh_idle(self, line: slot_demand.Line) -> None:
        line.idle = {
            name: None
            for name in line.upstreams
            if self._slots.has_idle(name, 0)
        }

    def _reachable(self, now: timedelta, line: slot_demand.Line) -> bool:
        """Return whether waiting makes sense at all."""
        if line.usable:
            return True
        self._demand.refresh(now, line)
        if line.usable:
            return True
        # An upstream that shed a request is left alone for a moment only.
        return any(one.health.paused(now) for one in line.upstreams.values())

    def _note_leaving(self, now: timedelta, one: slot_demand.Upstream) -> None:
        """Tell the manager, give idle slots back, use other upstreams."""
        session = self._slots.session_of(one.name)
        if session is not None and one.name not in session.draining:
            session.draining.add(one.name)
            session.urgent = True
        if self._demand.accepts(now, one):
            return
        idle = self._slots.idle_of(one.name)
        if idle:
            self._give_back(now, idle)
        self._demand.refresh(now, one.line)

    def _expire(self, now: timedelta, line: slot_demand.Line) -> None:
        for queue in line.queue.ranks:
            if not len(queue):
                continue
            for request in queue.expire(now):
                del self._queued[request.request_id]
                self._demand.drop(line, request.level)
                self._refuse(request, admission.EXPIRED)

    def _refuse(
        self, request: admission.Request, outcome: outcomes.NotRun
    ) -> None:
        self._actions.append(Refuse(request=request, outcome=outcome))

    def _taken(self) -> list[Action]:
        taken = self._actions
        self._actions = []
        return taken

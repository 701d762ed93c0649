"""Slot leases: messages, and the side of the entry process.

The claim holder of an upstream's domain is the manager of its slots
(``slot_manager``). An entry process reports its queues to the manager and
starts a request only on a slot that it was granted. Every grant echoes the
entry's own clock reading (``basis``) from the demand that it answers; the
entry starts nothing on a slot later than basis + ``LEASE``. A grant that
was delayed in the network therefore cannot start a late lease, and the
manager knows a bound without comparing clocks.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import Annotated

from goldcresthaven import admission
from goldcresthaven import codec
from goldcresthaven import ids
from goldcresthaven import message_fields

LEASE = timedelta(seconds=1)
CLOCK_DRIFT = 1.01  # two clocks run apart by at most 1%
QUANTUM = timedelta(milliseconds=50)
IDLE_LIMIT = timedelta(seconds=1)
BATCH = timedelta(milliseconds=5)  # between two demands to one manager
REFRESH = timedelta(milliseconds=50)  # for changed counts of a known demand
RENEWAL = timedelta(milliseconds=300)  # three chances within LEASE
SILENCE = timedelta(seconds=1)


Level = Annotated[int, codec.Range(0, admission.RANK_COUNT - 1)]
Counts = Annotated[
    tuple[codec.Count, ...],
    codec.Size(admission.RANK_COUNT, admission.RANK_COUNT),
]
Slacks = Annotated[
    tuple[message_fields.Duration, ...],
    codec.Size(admission.RANK_COUNT, admission.RANK_COUNT),
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Want:
    """An entry's work for one upstream, by rank.

    ``slack`` is the time left until the earliest deadline; a remaining
    time, because elapsed clocks of two processes cannot be compared.
    """

    upstream: message_fields.Upstream
    queued: Counts
    slack: Slacks


Wants = Annotated[tuple[Want, ...], codec.Size(message_fields.MAX_ITEMS)]


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDemand:
    """Entry to manager: changed demand, and a renewal of all its slots.

    ``seq`` increases by message. ``last_lease`` is the highest lease id
    accepted so far, ``held`` the leases still held and ``draining`` the
    upstreams that told this entry that they are leaving. ``loose`` names the
    upstream of each running request that has no slot of this manager: it
    was started under a former manager, or while the manager was silent.
    """

    entry: message_fields.Vm
    boot: message_fields.Boot
    domain: message_fields.Domain
    epoch: message_fields.Epoch
    seq: codec.U63
    basis: message_fields.Duration
    wants: Wants = ()
    last_lease: message_fields.LeaseId = 0
    held: message_fields.LeaseIds = ()
    draining: message_fields.Upstreams = ()
    loose: message_fields.Upstreams = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotReturn:
    """Entry to manager: these leases will not be used again."""

    entry: message_fields.Vm
    boot: message_fields.Boot
    domain: message_fields.Domain
    epoch: message_fields.Epoch
    seq: codec.U63
    leases: message_fields.LeaseIds
    wants: Wants = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """One granted slot.

    ``contended`` says that other entries wait, so that the slot has to be
    returned after one quantum without a recall.
    """

    lease: message_fields.LeaseId
    upstream: message_fields.Upstream
    level: Level
    contended: bool = False


Slots = Annotated[tuple[Slot, ...], codec.Size(message_fields.MAX_ITEMS)]
Backlogs = Annotated[
    tuple[admission.Backlog, ...], codec.Size(message_fields.MAX_ITEMS)
]


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """Manager to entry: the answer to a demand, with new slots if any.

    ``settling`` is set by a new manager that does not know yet which slots
    its predecessor's grants still occupy.
    """

    domain: message_fields.Domain
    epoch: message_fields.Epoch
    basis: message_fields.Duration
    slots: Slots = ()
    backlog: Backlogs = ()
    settling: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRecall:
    """Manager to entry: return these leases as soon as possible."""

    domain: message_fields.Domain
    epoch: message_fields.Epoch
    leases: message_fields.LeaseIds


Message = SlotDemand | SlotReturn | SlotGrant | SlotRecall


@dataclass(kw_only=True, slots=True)
class Held:
    """A slot at the entry process."""

    slot: Slot
    domain: ids.DomainId
    granted: timedelta
    idle_since: timedelta
    busy: bool = False
    recalled: bool = False


@dataclass(kw_only=True, slots=True)
class Session:
    """What the entry knows of one domain's manager."""

    manager: ids.VmId
    epoch: ids.Epoch
    seq: int = 0
    last_lease: int = 0
    valid_until: timedelta = admission.ZERO
    settling: bool = False
    waiting_since: timedelta | None = None
    sent: timedelta = -LEASE
    urgent: bool = False  # a demand that the manager does not know of
    dirty: set[ids.UpstreamId] = field(default_factory=set)
    wanted: set[ids.UpstreamId] = field(default_factory=set)
    held: dict[int, Held] = field(default_factory=dict)
    draining: set[ids.UpstreamId] = field(default_factory=set)

    def silent(self, now: timedelta) -> bool:
        """Return whether the entry has to do without the manager."""
        if self.settling:
            return True
        since = self.waiting_since
        return since is not None and now - since >= SILENCE


class EntrySlots:
    """The slots of one entry process, over all domains."""

    def __init__(self, *, entry: ids.VmId, boot: ids.BootId) -> None:
        self._entry = entry
        self._boot = boot
        self._sessions: dict[ids.DomainId, Session] = {}
        self._domains: dict[ids.UpstreamId, ids.DomainId] = {}
        # Idle slots by upstream, one list for each level.
        self._idle: dict[ids.UpstreamId, list[list[Held]]] = {}
        self._fallback: set[ids.UpstreamId] = set()
        # Requests that run without a slot of the current manager.
        self._loose: list[ids.UpstreamId] = []

    def add_upstream(
        self, upstream: ids.UpstreamId, domain: ids.DomainId
    ) -> None:
        self._domains[upstream] = domain
        self._idle.setdefault(
            upstream, [[] for _ in range(admission.RANK_COUNT)]
        )

    def sessions(self) -> Iterator[tuple[ids.DomainId, Session]]:
        return iter(self._sessions.items())

    def session_of(self, upstream: ids.UpstreamId) -> Session | None:
        return self._sessions.get(self._domains[upstream])

    def set_manager(
        self, domain: ids.DomainId, manager: ids.VmId, epoch: ids.Epoch
    ) -> bool:
        """Follow a claim to its holder; lower epochs are ignored.

        Idle slots of the former manager are dropped. Requests that run on
        its slots go on. Returns whether the manager changed.
        """
        old = self._sessions.get(domain)
        if old is not None and epoch <= old.epoch:
            return False
        session = Session(manager=manager, epoch=epoch)
        self._sessions[domain] = session
        if old is not None:
            session.waiting_since = old.waiting_since
            for held in old.held.values():
                self._forget_idle(held)
                if held.busy:
                    self._loose.append(held.slot.upstream)
            session.wanted |= old.wanted
            session.draining |= old.draining
        for upstream, owner in self._domains.items():
            if owner == domain:
                session.dirty.add(upstream)
        session.urgent = True
        return True

    def accept(self, now: timedelta, grant: SlotGrant) -> list[Held]:
        """Take the slots of a grant; return those that may be used."""
        session = self._sessions.get(grant.domain)
        if session is None or grant.epoch != session.epoch:
            return []
        session.settling = grant.settling
        session.waiting_since = None
        valid_until = grant.basis + LEASE
        if valid_until > session.valid_until:
            session.valid_until = valid_until
        taken: list[Held] = []
        for slot in grant.slots:
            # Ids increase, so a repeated grant is recognised. A slot that
            # is passed over here is missing from the next demand's list
            # and thereby returned.
            if slot.lease <= session.last_lease or now >= valid_until:
                continue
            session.last_lease = slot.lease
            held = Held(
                slot=slot,
                domain=grant.domain,
                granted=now,
                idle_since=now,
                recalled=slot.contended,
            )
            session.held[slot.lease] = held
            self._idle[slot.upstream][slot.level].append(held)
            taken.append(held)
        return taken

    def take(
        self, now: timedelta, upstream: ids.UpstreamId, level: int
    ) -> Held | None:
        """Return an idle slot for a request of this level, now busy."""
        idle = self._idle[upstream]
        for tag in range(level, admission.RANK_COUNT):
            if idle[tag]:
                session = self._sessions[idle[tag][-1].domain]
                if now >= session.valid_until:
                    return None
                held = idle[tag].pop()
                held.busy = True
                return held
        return None

    def use(self, now: timedelta, held: Held) -> bool:
        """Make this idle slot busy; return False if its lease has ended."""
        if held.busy or now >= self._sessions[held.domain].valid_until:
            return False
        self._forget_idle(held)
        held.busy = True
        return True

    def has_idle(self, upstream: ids.UpstreamId, level: int) -> bool:
        idle = self._idle[upstream]
        return any(idle[level:])

    def take_fallback(self, now: timedelta, upstream: ids.UpstreamId) -> bool:
        """Return whether one request may go without a slot.

        Only while the manager is silent, and one at a time; the upstream
        then enforces the limit itself.
        """
        session = self.session_of(upstream)
        if session is not None and not session.silent(now):
            return False
        if upstream in self._fallback:
            return False
        self._fallback.add(upstream)
        self._loose.append(upstream)
        return True

    def end_fallback(self, upstream: ids.UpstreamId) -> None:
        self._fallback.discard(upstream)
        self._end_loose(upstream)

    def _end_loose(self, upstream: ids.UpstreamId) -> None:
        self._loose.remove(upstream)
        session = self.session_of(upstream)
        if session is not None:
            session.urgent = True

    def release(self, now: timedelta, held: Held) -> bool:
        """Make a slot idle after its request; return whether it is usable.

        A slot of a former manager, or one that expired while the request
        ran, is not.
        """
        held.busy = False
        held.idle_since = now
        session = self._sessions[held.domain]
        if session.held.get(held.slot.lease) is not held:
            self._end_loose(held.slot.upstream)
            return False
        self._idle[held.slot.upstream][held.slot.level].append(held)
        return True

    def must_return(self, now: timedelta, held: Held) -> bool:
        """Return whether a recalled slot has used up its quantum."""
        return held.recalled and now - held.granted >= QUANTUM

    def recall(self, message: SlotRecall) -> list[Held]:
        """Mark slots as recalled; return those that are idle."""
        session = self._sessions.get(message.domain)
        if session is None or message.epoch != session.epoch:
            return []
        idle: list[Held] = []
        for lease in message.leases:
            held = session.held.get(lease)
            if held is not None:
                held.recalled = True
                if not held.busy:
                    idle.append(held)
        return idle

    def give_back(
        self, held: list[Held], wants: tuple[Want, ...] = ()
    ) -> SlotReturn:
        """Return idle slots of one domain to its manager."""
        session = self._sessions[held[0].domain]
        for one in held:
            self._forget_idle(one)
            del session.held[one.slot.lease]
        session.seq += 1
        return SlotReturn(
            entry=self._entry,
            boot=self._boot,
            domain=held[0].domain,
            epoch=session.epoch,
            seq=session.seq,
            leases=tuple(one.slot.lease for one in held),
            wants=wants,
        )

    def idle_too_long(self, now: timedelta) -> list[list[Held]]:
        """Return the slots that have been idle too long, by domain."""
        found: list[list[Held]] = []
        for session in self._sessions.values():
            old = [
                held
                for held in session.held.values()
                if not held.busy
                and (
                    now - held.idle_since >= IDLE_LIMIT
                    or now >= session.valid_until
                )
            ]
            if old:
                found.append(old)
        return found

    def idle_of(self, upstream: ids.UpstreamId) -> list[Held]:
        return [held for tags in self._idle[upstream] for held in tags]

    def demand_due(self, now: timedelta, session: Session) -> bool:
        """Return whether a demand should be sent to the manager now."""
        age = now - session.sent
        if session.urgent:
            return age >= BATCH
        if session.dirty and session.wanted:
            return age >= REFRESH
        if session.held or session.wanted:
            return age >= RENEWAL
        return bool(session.dirty) and age >= RENEWAL

    def demand(
        self, now: timedelta, domain: ids.DomainId, wants: tuple[Want, ...]
    ) -> SlotDemand:
        """Build the demand to a manager; ``wants`` covers what changed."""
        session = self._sessions[domain]
        session.seq += 1
        session.sent = now
        session.urgent = False
        session.dirty.clear()
        if session.waiting_since is None:
            session.waiting_since = now
        return SlotDemand(
            entry=self._entry,
            boot=self._boot,
            domain=domain,
            epoch=session.epoch,
            seq=session.seq,
            basis=now,
            wants=wants,
            last_lease=session.last_lease,
            held=tuple(session.held),
            draining=tuple(session.draining),
            loose=tuple(u for u in self._loose if self._domains[u] == domain),
        )

    def _forget_idle(self, held: Held) -> None:
        tags = self._idle[held.slot.upstream][held.slot.level]
        for position, one in enumerate(tags):
            if one is held:
                del tags[position]
                return


def settle_time(claim_term: timedelta, longest: timedelta) -> timedelta:
    """Return when a new manager may grant without hearing from everyone.

    The former manager may grant until its claim ends. Such a slot may
    start a request for one lease, and the request may run until the
    longest deadline of the preset.
    """
    return claim_term + (LEASE + longest) * CLOCK_DRIFT

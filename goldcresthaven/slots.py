"""Slot leases: the messages and the state of the entry process.

The claim holder of an upstream's domain manages the upstream's slots (see
``slot_manager``). An entry process reports its queues to the manager and
starts a request only on a slot that the manager granted. Each grant repeats
the entry's own clock reading (``basis``) from the demand that it answers,
and renews the leases of all slots that the manager granted: the entry starts
no request on them after the latest basis + ``LEASE_DURATION``. A grant that is
delayed in the network therefore cannot make a lease end later, and the
manager knows an upper bound for the end without comparing clocks.
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

LEASE_DURATION = timedelta(seconds=1)
CLOCK_DRIFT = 1.01  # the rates of two clocks differ by at most 1%
# A recalled slot may run further requests until it was held for this long;
# it is then returned when its request ends.
QUANTUM = timedelta(milliseconds=50)
IDLE_TIMEOUT = timedelta(seconds=1)
MIN_DEMAND_INTERVAL = timedelta(milliseconds=5)  # to one manager
REFRESH_INTERVAL = timedelta(
    milliseconds=50
)  # for changed counts of a known demand
RENEWAL_INTERVAL = timedelta(milliseconds=300)  # three attempts per lease
MANAGER_TIMEOUT = timedelta(seconds=1)  # without an answer to a demand


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
    """An entry's demand for slots of one upstream, by rank.

    ``queued`` counts requests. ``slack`` is the time left until the
    earliest deadline. It is a remaining time because the elapsed clocks of
    two processes cannot be compared.
    """

    upstream: message_fields.Upstream
    queued: Counts
    slack: Slacks


Wants = Annotated[tuple[Want, ...], codec.Size(message_fields.MAX_ITEMS)]


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotDemand:
    """Entry to manager: changed demand, and a renewal of all its leases.

    ``seq`` increases with each message. ``last_lease`` is the highest lease
    id accepted so far, ``held`` lists the leases still held, and
    ``draining`` the upstreams that this entry treats as draining.
    ``loose`` names the upstream of each running request without a lease
    from this manager, which was started under a former manager or while
    the manager was unavailable.
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
    """Entry to manager: return leases that are not used any more."""

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

    ``contended`` means that other requests wait for a slot, so the entry
    treats this slot as recalled from the start.
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

    ``settling`` is set by a new manager that does not yet know which slots
    its predecessor's grants still occupy, and therefore grants none.
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
class HeldSlot:
    """A slot leased to this entry process, idle or busy."""

    slot: Slot
    domain: ids.DomainId
    granted: timedelta
    idle_since: timedelta
    busy: bool = False
    recalled: bool = False


@dataclass(kw_only=True, slots=True)
class Session:
    """The entry's state towards one domain's manager.

    All leases of the session end at ``valid_until``. ``sent`` is when the
    last demand was sent, and ``unanswered_since`` when the first demand
    after the last grant was. ``released`` is set when the manager has
    released its claim and no successor is known. ``dirty`` names the
    upstreams with unreported changes of demand, and ``wanted`` those with
    any demand.
    """

    manager: ids.VmId
    epoch: ids.Epoch
    seq: int = 0
    last_lease: int = 0
    valid_until: timedelta = admission.ZERO
    settling: bool = False
    released: bool = False
    unanswered_since: timedelta | None = None
    sent: timedelta = -LEASE_DURATION
    urgent: bool = False  # demand that the manager has no report of
    dirty: set[ids.UpstreamId] = field(default_factory=set)
    wanted: set[ids.UpstreamId] = field(default_factory=set)
    held: dict[int, HeldSlot] = field(default_factory=dict)
    draining: set[ids.UpstreamId] = field(default_factory=set)

    def manager_unavailable(self, now: timedelta) -> bool:
        """Return whether requests have to run without the manager's slots."""
        if self.settling or self.released:
            return True
        since = self.unanswered_since
        return since is not None and now - since >= MANAGER_TIMEOUT


class EntrySlots:
    """The slots of one entry process in all domains."""

    def __init__(self, *, entry: ids.VmId, boot: ids.BootId) -> None:
        self._entry = entry
        self._boot = boot
        self._sessions: dict[ids.DomainId, Session] = {}
        self._domains: dict[ids.UpstreamId, ids.DomainId] = {}
        # Idle slots by upstream, one list for each level.
        self._idle: dict[ids.UpstreamId, list[list[HeldSlot]]] = {}
        self._fallback: set[ids.UpstreamId] = set()
        # The upstream of each request that runs without a lease from the
        # current manager.
        self._unleased: list[ids.UpstreamId] = []

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
        """Use the new claim holder as manager; ignore older epochs.

        Idle slots of the former manager are dropped; requests that run on
        its slots continue. Returns whether the manager changed.
        """
        previous = self._sessions.get(domain)
        if previous is not None and epoch <= previous.epoch:
            return False
        session = Session(manager=manager, epoch=epoch)
        self._sessions[domain] = session
        if previous is not None:
            # A new manager grants nothing before all entries have reported
            # to it. It may also drop the first demand, because it does not
            # know its own claim yet.
            session.settling = True
            session.unanswered_since = previous.unanswered_since
            for held in previous.held.values():
                self._remove_idle(held)
                if held.busy:
                    self._unleased.append(held.slot.upstream)
            session.wanted |= previous.wanted
            session.draining |= previous.draining
        for upstream, owner in self._domains.items():
            if owner == domain:
                session.dirty.add(upstream)
        session.urgent = True
        return True

    def set_released(self, domain: ids.DomainId) -> bool:
        """Record that the manager has released its claim.

        Its slots may be used until their leases end. Returns whether the
        release was not known before.
        """
        session = self._sessions.get(domain)
        if session is None or session.released:
            return False
        session.released = True
        return True

    def accept_grant(self, now: timedelta, grant: SlotGrant) -> list[HeldSlot]:
        """Store the slots of a grant; return those that may be used."""
        session = self._sessions.get(grant.domain)
        if session is None or grant.epoch != session.epoch:
            return []
        session.settling = grant.settling
        session.unanswered_since = None
        valid_until = grant.basis + LEASE_DURATION
        if valid_until > session.valid_until:
            session.valid_until = valid_until
        taken: list[HeldSlot] = []
        for slot in grant.slots:
            # Lease ids increase, so repeated grants are detected. A slot
            # that is skipped here is missing from the list of held leases
            # in the next demand, which returns it.
            if slot.lease <= session.last_lease or now >= valid_until:
                continue
            session.last_lease = slot.lease
            held = HeldSlot(
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
    ) -> HeldSlot | None:
        """Return an idle slot for a request of this level; mark it busy.

        Slots of the same and of less urgent ranks are considered.
        """
        idle = self._idle[upstream]
        for slot_level in range(level, admission.RANK_COUNT):
            if idle[slot_level]:
                session = self._sessions[idle[slot_level][-1].domain]
                if now >= session.valid_until:
                    return None
                held = idle[slot_level].pop()
                held.busy = True
                return held
        return None

    def mark_busy(self, now: timedelta, held: HeldSlot) -> bool:
        """Mark an idle slot busy; return False if its lease has expired."""
        if held.busy or now >= self._sessions[held.domain].valid_until:
            return False
        self._remove_idle(held)
        held.busy = True
        return True

    def has_idle(self, upstream: ids.UpstreamId, level: int) -> bool:
        idle = self._idle[upstream]
        return any(idle[level:])

    def take_fallback(self, now: timedelta, upstream: ids.UpstreamId) -> bool:
        """Return whether one request may be sent without a slot.

        This is allowed only while the manager is unavailable, for one
        request at a time per upstream; the upstream then enforces its
        limit itself.
        """
        session = self.session_of(upstream)
        if session is not None and not session.manager_unavailable(now):
            return False
        if upstream in self._fallback:
            return False
        self._fallback.add(upstream)
        self._unleased.append(upstream)
        return True

    def end_fallback(self, upstream: ids.UpstreamId) -> None:
        self._fallback.discard(upstream)
        self._end_unleased(upstream)

    def _end_unleased(self, upstream: ids.UpstreamId) -> None:
        self._unleased.remove(upstream)
        session = self.session_of(upstream)
        if session is not None:
            session.urgent = True

    def release(self, now: timedelta, held: HeldSlot) -> bool:
        """Mark a slot idle after its request; return whether it is usable.

        A slot of a former manager is not usable. ``mark_busy`` checks
        whether the lease expired while the request ran.
        """
        held.busy = False
        held.idle_since = now
        session = self._sessions[held.domain]
        if session.held.get(held.slot.lease) is not held:
            self._end_unleased(held.slot.upstream)
            return False
        self._idle[held.slot.upstream][held.slot.level].append(held)
        return True

    def must_return(self, now: timedelta, held: HeldSlot) -> bool:
        """Return whether a recalled slot was held for its quantum."""
        return held.recalled and now - held.granted >= QUANTUM

    def recall(self, message: SlotRecall) -> list[HeldSlot]:
        """Mark slots as recalled; return those that are idle."""
        session = self._sessions.get(message.domain)
        if session is None or message.epoch != session.epoch:
            return []
        idle: list[HeldSlot] = []
        for lease in message.leases:
            held = session.held.get(lease)
            if held is not None:
                held.recalled = True
                if not held.busy:
                    idle.append(held)
        return idle

    def build_return(
        self, held: list[HeldSlot], wants: tuple[Want, ...] = ()
    ) -> SlotReturn:
        """Remove idle slots of one domain; return the message for it."""
        session = self._sessions[held[0].domain]
        for each in held:
            self._remove_idle(each)
            del session.held[each.slot.lease]
        session.seq += 1
        return SlotReturn(
            entry=self._entry,
            boot=self._boot,
            domain=held[0].domain,
            epoch=session.epoch,
            seq=session.seq,
            leases=tuple(each.slot.lease for each in held),
            wants=wants,
        )

    def idle_too_long(self, now: timedelta) -> list[list[HeldSlot]]:
        """Return slots that are idle too long or expired, by domain."""
        by_domain: list[list[HeldSlot]] = []
        for session in self._sessions.values():
            unused = [
                held
                for held in session.held.values()
                if not held.busy
                and (
                    now - held.idle_since >= IDLE_TIMEOUT
                    or now >= session.valid_until
                )
            ]
            if unused:
                by_domain.append(unused)
        return by_domain

    def idle_slots(self, upstream: ids.UpstreamId) -> list[HeldSlot]:
        return [held for by_level in self._idle[upstream] for held in by_level]

    def demand_due(self, now: timedelta, session: Session) -> bool:
        """Return whether a demand should be sent to the manager now."""
        age = now - session.sent
        if session.urgent:
            return age >= MIN_DEMAND_INTERVAL
        if session.dirty and session.wanted:
            return age >= REFRESH_INTERVAL
        if session.held or session.wanted:
            return age >= RENEWAL_INTERVAL
        return bool(session.dirty) and age >= RENEWAL_INTERVAL

    def build_demand(
        self, now: timedelta, domain: ids.DomainId, wants: tuple[Want, ...]
    ) -> SlotDemand:
        """Build a demand; ``wants`` covers the upstreams that changed."""
        session = self._sessions[domain]
        session.seq += 1
        session.sent = now
        session.urgent = False
        session.dirty.clear()
        if session.unanswered_since is None:
            session.unanswered_since = now
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
            loose=tuple(
                u for u in self._unleased if self._domains[u] == domain
            ),
        )

    def _remove_idle(self, held: HeldSlot) -> None:
        idle = self._idle[held.slot.upstream][held.slot.level]
        for position, other in enumerate(idle):
            if other is held:
                del idle[position]
                return


def settle_time(claim_term: timedelta, longest: timedelta) -> timedelta:
    """Return how long a new manager waits before it grants slots.

    It waits this long unless all entries have reported to it before. The
    former manager may grant until its claim ends. A request may start on
    such a slot within one lease and run until the preset's longest
    deadline.
    """
    return claim_term + (LEASE_DURATION + longest) * CLOCK_DRIFT

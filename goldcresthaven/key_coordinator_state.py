"""State that a process keeps while it holds the claim of a keyed pool."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import hold_bounds
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import members
from goldcresthaven import registry as registry_module
from goldcresthaven import state_store
from goldcresthaven import upstream_notices

# Fences reserved with each write of the map. The holder may use them before
# it has to write the map again.
RESERVED_FENCES = 10000
# The first fence of a history whose map is unknown is its number times this.
# No history uses as many fences.
FENCES_PER_HISTORY = 1 << 40


@dataclass(kw_only=True)
class Transfer:
    """A move in progress.

    ``source_released`` is set once the source no longer holds the keys. A
    move whose target is its source's owner only raises the fence.
    """

    move: key_plan.Move
    source_released: bool = False
    handover: str | None = None


@dataclass(kw_only=True)
class ClaimTerm:
    """One continuous period in which this process holds the claim.

    ``claim_version`` is the current version of the claim's row, and
    ``acquired_version`` the one that began the term. ``store_clock_offset``
    is an upper bound on the store's clock minus this process's clock, so
    that a stored renewal time is never too early. ``handovers`` are keyed
    by fence. ``granted`` holds the connections of the last grant of a fence.
    ``fences_reserved`` is true once the stored map names this process as
    coordinator and has a ``next_fence`` above ``fence``; nothing is granted
    before. ``predecessor`` is the address of the process that may have
    granted keys before, or empty. ``announced_version`` is the version of
    the map that was last announced to the other processes.
    ``write_unconfirmed`` is true while it is unknown whether a write was
    applied. ``proving`` is true while a round trip is being made for the
    bounds. ``end_reason`` is set when the term ends.

    ``history`` is the store's history in which the claim was last renewed,
    and ``map_row_version`` the version of the map's row in it. The map may
    be older than one that the store has lost until ``map_proven_at``; until
    then it is not written and no key is granted. ``is_resumable`` is set if
    the term ended although no successor is known. ``stated_acquired`` is what
    the claim states as its acquisition until the map is proven: that of a
    holder which has granted keys in ``history``, or 0. A term that was
    resumed has an ``acquired_version`` of an earlier history until it is
    certain that it had no successor there. ``resumed_sole`` is set if the
    term that it resumed was the only one that granted keys. ``sole_at`` is
    the last renewal of such a term that resumed this one and granted nothing.
    """

    address: str
    history: state_store.History
    claim_version: int
    acquired_version: int
    map_row_version: int
    renewed_at: timedelta
    store_clock_offset: timedelta
    keys: key_map.KeyMap
    holds: hold_bounds.HoldBounds
    fence: int
    load: key_plan.KeyLoad = field(default_factory=key_plan.KeyLoad)
    transfers: list[Transfer] = field(default_factory=list)
    renewal_due: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    renewing: set[key_map.Owner] = field(default_factory=set)
    failing_since: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    handovers: dict[int, str] = field(default_factory=dict)
    granted: dict[tuple[key_map.Owner, int], key_grants.Connections] = field(
        default_factory=dict
    )
    predecessor: str = ''
    map_proven_at: timedelta = timedelta()
    stated_acquired: int = 0
    is_resumable: bool = False
    resumed_sole: bool = False
    sole_at: timedelta = timedelta()
    announced_version: int = 0
    fences_reserved: bool = False
    write_unconfirmed: bool = False
    proving: bool = False
    end_reason: str | None = None

    def may_resume(
        self, claim: key_claims.Claim | None, history: state_store.History
    ) -> bool:
        """Return whether this term may go on in a new history of the store.

        ``claim`` is the stored claim. A holder that may have granted keys in
        the new history has a map that is unknown here. A claim that was
        acquired with the version of this term was written to resume it, and
        the answer was lost.
        """
        if history <= self.history or not self.fences_reserved:
            return False
        if claim is None or claim.history != history:
            return True
        return claim.acquired in (0, self.acquired_version)

    def supersedes(
        self, claim: key_claims.Claim | None, history: state_store.History
    ) -> bool:
        """Return whether the stored claim's holder grants by an older map.

        It acquired the claim before this term did, and resumed first. This
        term does not know what that holder has moved in the new history.
        """
        if claim is None or claim.history != history:
            return False
        known = history > self.history and self.fences_reserved
        return known and 0 < claim.acquired < self.acquired_version

    def was_sole(self, now: timedelta) -> bool:
        """Return whether no successor can have granted keys until now."""
        since = now - max(self.renewed_at, self.sole_at)
        return since < key_claims.STALE_TIMEOUT

    def has_unowned_keys(self) -> bool:
        return any(r.owner is None for r in self.keys.ranges)

    def only_resumes(self, last: 'ClaimTerm') -> bool:
        """Return whether this term resumes ``last`` and granted nothing.

        What upstreams may hold then follows from ``last`` alone, and the
        fences above its own are unused. A grant with a fence that was raised
        for a release counts too, and only ``holds`` has it.
        """
        resumes = self.acquired_version == last.acquired_version
        sent = bool(self.granted) or self.holds.has_grants()
        return resumes and not sent

    def record_resumption(self, later: 'ClaimTerm') -> None:
        """Record a term that only resumed this one, and has ended.

        If this term was sole when the later one began, nobody else can have
        granted keys until the last renewal of the later one. The time within
        which this term may be resumed still counts from its own renewal: the
        process may resume it after another one has taken over the later term.
        """
        self.is_resumable = later.is_resumable
        if later.resumed_sole:
            self.sole_at = max(self.sole_at, later.renewed_at)

    def may_have_successor(self) -> bool:
        """Return whether a history that was lost may have had a later claim.

        Such a successor has raised the fence of each owner that it reached,
        before it moved any of the owner's keys.
        """
        return state_store.history_of(self.acquired_version) < self.history

    def exclude_successor(self, now: timedelta) -> None:
        """Note it if no successor of a resumed term can have moved keys.

        All owners have accepted fences of this term, or all that a successor
        granted has ended.
        """
        owned = [r.fence for r in self.keys.ranges if r.owner is not None]
        if self.may_have_successor() and self.fences_reserved:
            if self.holds.are_accepted(owned, now):
                self.acquired_version = self.claim_version

    def record_rejection(self) -> None:
        """Record that an owner has accepted a higher fence than this term's.

        A term that was resumed had a successor then, so its map is old.
        """
        if self.may_have_successor():
            self.end_reason = self.end_reason or 'a successor was missed'

    def is_map_proven(self, now: timedelta) -> bool:
        """Return whether no hold under a map that was lost can last."""
        return now >= self.map_proven_at

    def acquisition(self, now: timedelta) -> int:
        """Return the version of the acquisition that the claim states."""
        if self.is_map_proven(now):
            return self.acquired_version
        return self.stated_acquired

    def stored_proven_at(self, now: timedelta) -> timedelta:
        """Return when the map is proven on the store's clock; zero if it is.

        The offset is an upper bound, so the time is never too early.
        """
        if self.is_map_proven(now):
            return timedelta()
        return self.map_proven_at + self.store_clock_offset

    def is_valid(self, now: timedelta) -> bool:
        """Return whether the claim was renewed recently enough to grant."""
        return now - self.renewed_at < key_claims.CLAIM_VALIDITY

    def may_renew(self, now: timedelta) -> bool:
        """Return whether grants may be renewed.

        Nothing is granted before the stored map names this process as
        coordinator, so that a successor can ask it to step down.
        """
        running = self.end_reason is None and self.fences_reserved
        return running and self.is_valid(now)

    def may_grant(
        self, now: timedelta, *, renewal: key_grants.Connections | None
    ) -> bool:
        """Return whether a grant may be sent.

        A first grant of a fence, whose ``renewal`` is None, may reach an
        upstream that has restarted and no longer knows a successor's fence.
        It may therefore be sent only while there can be no successor.
        """
        sole = self.was_sole(now)
        return self.may_renew(now) and (sole or renewal is not None)

    def owners(self) -> list[key_map.Owner]:
        """Return all owners in the order of their first keys."""
        found = (r.owner for r in self.keys.ranges if r.owner is not None)
        return list(dict.fromkeys(found))

    def moving_ranges(self) -> list[key_map.KeyRange]:
        return [transfer.move.source for transfer in self.transfers]

    def take_fence(self) -> int:
        self.fence += 1
        return self.fence

    def needs_fences(self) -> bool:
        return self.fence + RESERVED_FENCES // 2 > self.keys.next_fence

    def next_map(self, ready: Sequence[Transfer]) -> key_map.KeyMap:
        """Return the map that results from the moves in ``ready``.

        The first map of a term only raises the fences of all owners. An
        owner that accepts its new fence rejects grants that an earlier
        holder of the claim may still send.
        """
        if self.fences_reserved:
            changes = [self._reassigned(transfer) for transfer in ready]
        else:
            changes = self._ranges_with_new_fences()
        for change in changes:
            self.holds.record_range(change)
        return self.keys.replace(
            changes,
            next_fence=self.fence + RESERVED_FENCES,
            coordinator=self.address,
            history=self.history,
        )

    def apply_stored_map(self, keys: key_map.KeyMap) -> list[Transfer]:
        """Replace the map by the stored one; return the moves it completes."""
        self.keys = keys
        self.map_row_version = keys.version
        self.fences_reserved = (
            keys.coordinator == self.address and keys.next_fence > self.fence
        )
        done = [
            transfer
            for transfer in self.transfers
            if transfer.source_released
            and keys.find(transfer.move.source.first).fence
            > transfer.move.source.fence
            and keys.find(transfer.move.source.first).owner
            == transfer.move.target
        ]
        for transfer in done:
            self.transfers.remove(transfer)
            self.renewal_due.pop(transfer.move.target, None)
        return done

    def expect_other_map(self, version: int) -> None:
        """Keep this term's map although the store has another one.

        That is the one of a copy. It has the row's version ``version``, and
        is replaced by the next write.
        """
        self.map_row_version = version
        self.fences_reserved = False

    def _reassigned(self, transfer: Transfer) -> key_map.KeyRange:
        source = transfer.move.source
        target = transfer.move.target
        fence = self.take_fence()
        if source.owner == target:
            self.holds.record_new_fence(target, source.fence, fence)
        else:
            self.holds.record_unheld(fence)
        if transfer.handover is not None:
            self.handovers[fence] = transfer.handover
        return key_map.KeyRange(
            first=source.first, last=source.last, owner=target, fence=fence
        )

    def _ranges_with_new_fences(self) -> list[key_map.KeyRange]:
        """Return all owned ranges with new fences.

        Adjacent ranges of the same owner are merged.
        """
        ranges: list[key_map.KeyRange] = []
        for held in self.keys.ranges:
            if held.owner is None:
                continue
            last = ranges[-1] if ranges else None
            adjacent = last is not None and last.last + 1 == held.first
            if last is not None and adjacent and last.owner == held.owner:
                ranges[-1] = last.subrange(last.first, held.last)
                continue
            ranges.append(
                key_map.KeyRange(
                    first=held.first,
                    last=held.last,
                    owner=held.owner,
                    fence=self.take_fence(),
                )
            )
        return ranges


class OwnerStatus:
    """Looks up the owners of a key map in the registry.

    ``notices`` records what they announce in their responses.
    """

    def __init__(
        self,
        upstreams: registry_module.Registry,
        notices: upstream_notices.UpstreamNotices,
    ) -> None:
        self._upstreams = upstreams
        self._notices = notices
        self._addresses: dict[key_map.Owner, members.Address] = {}

    def address(self, owner: key_map.Owner) -> members.Address | None:
        """Return an owner's last known address."""
        known = self._same_incarnation(owner)
        if known is not None:
            self._addresses[owner] = known.address
        return self._addresses.get(owner)

    def has_left(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether the owner is leaving, gone or restarted.

        Another upstream may then get its address soon.
        """
        if self._same_incarnation(owner) is None:
            return True
        return self._upstreams.departure(owner.upstream_id, now) is not None

    def record_leaving(self, owner: key_map.Owner, now: timedelta) -> None:
        """Record that a response of the owner announced that it leaves."""
        self._notices.record_leaving(_incarnation_key(owner), now)

    def may_call(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether grants and releases may be sent to an owner.

        Another upstream may have the address of one that has left.
        """
        return self._notices.may_call(_incarnation_key(owner), now)

    def is_paused(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether the owner wants no new connections now."""
        return self._notices.is_paused(_incarnation_key(owner), now)

    def _same_incarnation(
        self, owner: key_map.Owner
    ) -> registry_module.Upstream | None:
        known = self._upstreams.get(owner.upstream_id)
        if known is None or known.incarnation != owner.incarnation:
            return None
        return known


def _incarnation_key(owner: key_map.Owner) -> registry_module.IncarnationKey:
    return (owner.upstream_id, owner.incarnation)


def owner_of(upstream: registry_module.Upstream) -> key_map.Owner:
    return key_map.Owner(
        upstream_id=ids.UpstreamId(upstream.upstream_id),
        incarnation=upstream.incarnation,
    )

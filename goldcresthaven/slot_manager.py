"""Slot leases: the manager, which runs at the claim holder of a domain.

The manager leases each slot of an upstream to one entry at a time. A slot
becomes free when the entry returns it, when a later demand shows that the
entry does not hold it, or when no demand has arrived for so long that the
lease and the longest request that it could have started have ended.

The state is in memory only, so a successor does not know the grants of its
predecessor; see ``Manager``.
"""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import admission
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import slot_state
from goldcresthaven import slots

# A keyed request can run only at the owner of its key, so an owner's slots
# are still granted for this long after a drain signal, while its keys move
# to other owners. A drain may take 3 s in total.
KEYED_DRAIN_GRACE = health.DRAIN_GRACE


def bulk_cap(preset: presets.Preset, slot_count: int) -> int:
    """Return how many of an upstream's slots BULK may hold at once."""
    cap = preset.bulk_cap
    if cap is None:
        cap = max(slot_count - 1, 1)
    return min(cap, slot_count)


Reply = slots.SlotGrant | slots.SlotRecall


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressedMessage:
    """A message and the entry that it is for."""

    entry: ids.VmId
    message: Reply


class Manager:
    """Manages the slots of one domain's upstreams under one claim.

    After a failover (``settle_until`` in the future) the manager grants no
    slots while grants of the former manager may be in use: until
    ``settle_until``, which the caller computes from the claim term, the
    lease and the longest deadline, or until every VM in ``expected`` has
    sent a demand with the new epoch. An entry that has sent one rejects the
    former manager's grants and has reported the slots on which requests
    still run.

    The caller updates ``claim_until``; no slots are granted after it. None
    means no limit. ``_longest`` holds the longest deadline by rank; no
    request that an entry starts runs longer.
    """

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        epoch: ids.Epoch,
        preset: presets.Preset,
        settle_until: timedelta = admission.ZERO,
        expected: Collection[ids.VmId] = (),
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.claim_until: timedelta | None = None
        self._settle_until = settle_until
        self._awaited_entries = set(expected)
        self._entries: dict[slot_state.ProcessKey, slot_state.EntryState] = {}
        self._upstreams: dict[ids.UpstreamId, slot_state.UpstreamSlots] = {}
        self._next_lease = 1
        self._floors: list[float] = []
        self._longest = [admission.ZERO] * admission.RANK_COUNT
        self.set_preset(preset)

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply another preset to slots granted from now on.

        Requests that started under an earlier preset may run until its
        deadlines, so the longest deadline of all presets is kept.
        """
        policies = [preset.rank(rank) for rank in outcomes.RANKS]
        self._floors = [policy.floor for policy in policies]
        self._longest = [
            max(longest, policy.deadline)
            for longest, policy in zip(self._longest, policies)
        ]
        for state in self._upstreams.values():
            cap = bulk_cap(preset, state.slot_count)
            state.set_policy(self._floors, cap)

    def add_upstream(
        self,
        upstream: ids.UpstreamId,
        *,
        slot_count: int,
        bulk_cap: int,
        drain_grace: timedelta = admission.ZERO,
    ) -> None:
        """Manage an upstream's slots.

        ``drain_grace`` is how long a draining upstream still gets work. It
        is above zero in keyed pools, because the keys have to move first.
        """
        self._upstreams[upstream] = slot_state.UpstreamSlots(
            slot_count=slot_count,
            bulk_cap=bulk_cap,
            floors=self._floors,
            drain_grace=drain_grace,
        )

    def manages(self, upstream: ids.UpstreamId) -> bool:
        return upstream in self._upstreams

    def drain(
        self, now: timedelta, upstream: ids.UpstreamId
    ) -> list[AddressedMessage]:
        """Stop granting an upstream's slots and recall the leased ones.

        If the upstream has a drain grace, this happens when it has ended.
        """
        state = self._upstreams.get(upstream)
        if state is None or state.grant_until is not None:
            return []
        state.grant_until = now + state.drain_grace
        if state.drain_grace:
            return []
        return self._recall(state.leases.values())

    def undrain(self, upstream: ids.UpstreamId) -> None:
        state = self._upstreams.get(upstream)
        if state is not None:
            state.grant_until = None

    def settled(self, now: timedelta) -> bool:
        return now >= self._settle_until

    def handle_demand(
        self, now: timedelta, message: slots.SlotDemand
    ) -> list[AddressedMessage]:
        """Answer an entry's demand and grant the slots that became free.

        A demand that arrives after a newer one is dropped, because its list
        of held leases is stale.
        """
        if message.epoch != self.epoch:
            return []
        process = (message.entry, message.boot)
        entry = self._entries.setdefault(process, slot_state.EntryState())
        if message.seq <= entry.seq:
            return []
        entry.seq = message.seq
        self._free_unheld(now, entry, message)
        entry.basis = message.basis
        entry.last_seen = now
        affected = self._apply_wants(now, process, message.wants)
        affected |= self._apply_unleased(entry, message.loose)
        messages: list[AddressedMessage] = []
        for upstream in message.draining:
            messages += self.drain(now, upstream)
        if self._awaited_entries:
            self._awaited_entries.discard(message.entry)
            if not self._awaited_entries:
                self._settle_until = now
                affected.update(self._upstreams)
        return messages + self._grant(now, affected, process)

    def handle_return(
        self, now: timedelta, message: slots.SlotReturn
    ) -> list[AddressedMessage]:
        """Free returned slots; late and repeated returns are harmless."""
        if message.epoch != self.epoch:
            return []
        process = (message.entry, message.boot)
        entry = self._entries.get(process)
        if entry is None:
            return []
        affected: set[ids.UpstreamId] = set()
        for lease_id in message.leases:
            lease = entry.leases.get(lease_id)
            if lease is not None:
                affected.add(lease.upstream)
                self._free(now, lease)
        if message.seq > max(entry.seq, entry.return_seq):
            entry.return_seq = message.seq
            affected |= self._apply_wants(now, process, message.wants)
        return self._grant(now, affected, None)

    def tick(self, now: timedelta) -> list[AddressedMessage]:
        """Free the slots of entries that sent no demand for too long.

        Also recalls the slots of upstreams whose drain grace has ended. To
        be called a few times a second.
        """
        affected: set[ids.UpstreamId] = set()
        messages: list[AddressedMessage] = []
        for upstream, state in self._upstreams.items():
            until = state.grant_until
            if until is not None and now >= until:
                messages += self._recall(
                    lease
                    for lease in state.leases.values()
                    if not lease.recalled
                )
        for process, entry in list(self._entries.items()):
            unseen_for = now - entry.last_seen
            if unseen_for < slots.LEASE_DURATION:
                continue
            for lease in list(entry.leases.values()):
                bound = slots.LEASE_DURATION + self._longest[lease.level]
                if unseen_for >= bound * slots.CLOCK_DRIFT:
                    affected.add(lease.upstream)
                    self._free(now, lease)
            for upstream, state in self._upstreams.items():
                state.remove_entry(now, process)
                affected.add(upstream)
            if (
                unseen_for
                >= (slots.LEASE_DURATION + max(self._longest))
                * slots.CLOCK_DRIFT
            ):
                affected |= self._apply_unleased(entry, ())
            if not entry.leases and not entry.unleased:
                del self._entries[process]
        return messages + self._grant(now, affected, None)

    def held(self, upstream: ids.UpstreamId) -> int:
        """Return how many slots of an upstream are leased."""
        return len(self._upstreams[upstream].leases)

    def _free_unheld(
        self,
        now: timedelta,
        entry: slot_state.EntryState,
        message: slots.SlotDemand,
    ) -> None:
        """Free the leases that, according to a demand, are not held.

        A lease above ``last_lease`` may still be in transit to the entry,
        unless it has already expired by the entry's clock.
        """
        held = set(message.held)
        for lease in list(entry.leases.values()):
            if lease.lease in held:
                continue
            late = message.basis >= lease.basis + slots.LEASE_DURATION
            if lease.lease <= message.last_lease or late:
                self._free(now, lease)

    def _free(self, now: timedelta, lease: slot_state.Lease) -> None:
        state = self._upstreams[lease.upstream]
        state.advance(now)
        del state.leases[lease.lease]
        state.held[lease.level] -= 1
        del self._entries[lease.entry].leases[lease.lease]

    def _apply_wants(
        self,
        now: timedelta,
        process: slot_state.ProcessKey,
        wants: tuple[slots.Want, ...],
    ) -> set[ids.UpstreamId]:
        affected: set[ids.UpstreamId] = set()
        for want in wants:
            state = self._upstreams.get(want.upstream)
            if state is not None:
                state.set_want(now, process, want)
                affected.add(want.upstream)
        return affected

    def _apply_unleased(
        self,
        entry: slot_state.EntryState,
        unleased: tuple[ids.UpstreamId, ...],
    ) -> set[ids.UpstreamId]:
        if unleased == entry.unleased:
            return set()
        affected = {
            u for u in entry.unleased + unleased if u in self._upstreams
        }
        for upstream in affected:
            change = unleased.count(upstream) - entry.unleased.count(upstream)
            self._upstreams[upstream].unleased += change
        entry.unleased = unleased
        return affected

    def _may_grant(self, now: timedelta) -> bool:
        if self.claim_until is not None and now >= self.claim_until:
            return False
        return self.settled(now)

    def _grant(
        self,
        now: timedelta,
        affected: Iterable[ids.UpstreamId],
        reply_to: slot_state.ProcessKey | None,
    ) -> list[AddressedMessage]:
        """Allocate free slots of the affected upstreams; build messages.

        The process ``reply_to`` gets a grant even if it has no slots.
        """
        granted: dict[slot_state.ProcessKey, list[slots.Slot]] = {}
        if reply_to is not None:
            granted[reply_to] = []
        affected = list(affected)
        messages: list[AddressedMessage] = []
        if self._may_grant(now):
            for upstream in affected:
                self._allocate(now, upstream, granted)
                messages += self._recall_for(self._upstreams[upstream])
        for process, new_slots in granted.items():
            reported = {slot.upstream for slot in new_slots}
            if process == reply_to:
                reported.update(affected)
            messages.append(
                self._grant_message(now, process, new_slots, reported)
            )
        return messages

    def _grant_message(
        self,
        now: timedelta,
        process: slot_state.ProcessKey,
        new_slots: list[slots.Slot],
        reported: Iterable[ids.UpstreamId],
    ) -> AddressedMessage:
        message = slots.SlotGrant(
            domain=self.domain,
            epoch=self.epoch,
            basis=self._entries[process].basis,
            slots=tuple(new_slots),
            backlog=tuple(
                admission.Backlog(
                    upstream=upstream,
                    queued=tuple(self._upstreams[upstream].queued),
                )
                for upstream in reported
            ),
            settling=not self.settled(now),
        )
        return AddressedMessage(entry=process[0], message=message)

    def _allocate(
        self,
        now: timedelta,
        upstream: ids.UpstreamId,
        granted: dict[slot_state.ProcessKey, list[slots.Slot]],
    ) -> None:
        state = self._upstreams[upstream]
        state.advance(now)
        while (level := state.next_level(now)) is not None:
            process = state.pop_waiting(level)
            entry = self._entries.get(process)
            if entry is None or now - entry.last_seen >= slots.LEASE_DURATION:
                continue
            lease = slot_state.Lease(
                lease=self._next_lease,
                entry=process,
                upstream=upstream,
                level=level,
                basis=entry.basis,
            )
            self._next_lease += 1
            state.leases[lease.lease] = lease
            state.held[level] += 1
            entry.leases[lease.lease] = lease
            lease.recalled = state.unmet_demand() > 0
            granted.setdefault(process, []).append(
                slots.Slot(
                    lease=lease.lease,
                    upstream=upstream,
                    level=level,
                    contended=lease.recalled,
                )
            )

    def _recall_for(
        self, state: slot_state.UpstreamSlots
    ) -> list[AddressedMessage]:
        """Recall as many slots as there are requests that wait for one."""
        unmet = state.unmet_demand()
        if not unmet or len(state.leases) < state.slot_count:
            return []
        chosen = [
            lease for lease in state.leases.values() if not lease.recalled
        ]
        return self._recall(chosen[:unmet])

    def _recall(
        self, leases: Iterable[slot_state.Lease]
    ) -> list[AddressedMessage]:
        by_entry: dict[slot_state.ProcessKey, list[int]] = {}
        for lease in leases:
            lease.recalled = True
            by_entry.setdefault(lease.entry, []).append(lease.lease)
        return [
            AddressedMessage(
                entry=process[0],
                message=slots.SlotRecall(
                    domain=self.domain,
                    epoch=self.epoch,
                    leases=tuple(lease_ids),
                ),
            )
            for process, lease_ids in by_entry.items()
        ]

"""Decides whether this process raises a domain's epoch or consents not to.

Candidates are ranked by rendezvous hash over the entry VMs of the domain's
zone. The best-ranked live candidate takes over the claim when its holder
does not respond to heartbeats. Lower-ranked VMs and VMs of other zones send
no heartbeats; they take over when the claim row is no longer renewed.
"""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import claims
from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases

HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
SUSPECT_AFTER = timedelta(milliseconds=750)
# If this process itself was paused for longer than this, missing responses say
# nothing about the peers. Without this check it would take over every claim
# that it watches.
PAUSE_THRESHOLD = timedelta(milliseconds=500)

# Only this many of the best-ranked candidates probe each other and the
# holder. A zone may have hundreds of entry VMs, which would together overload
# the holder.
PROBING_CANDIDATES = 4

# Terms for which a claim row must be unchanged before a VM that sends no
# heartbeats takes over: a VM of another zone, or a lower-ranked VM of the
# domain's zone. STAGGER is added for each rank.
UNRENEWED_TERMS = 3
UNRENEWED_TERMS_IN_ZONE = 2
STAGGER = timedelta(seconds=1)
# Without this pause two candidates that cannot reach each other would take
# the claim from one another at every read of its row.
RAISE_RETRY_INTERVAL = timedelta(seconds=2)
MAX_READ_GAP = timedelta(seconds=5)

_DEFAULT_TERM = timedelta(seconds=10)


@dataclass(kw_only=True, slots=True)
class ObservedRow:
    """The latest row of one domain that was read, and when it last changed.

    ``holder`` is the last holder that a row named, even if it has released
    the claim since.
    """

    row: claims.ClaimRow | None
    since: timedelta
    holder: ids.VmId | None = None


class Liveness:
    """Sends heartbeats to watched peers and tracks which of them respond."""

    def __init__(self) -> None:
        self._last_response: dict[ids.VmId, timedelta] = {}
        self._watched_since: dict[ids.VmId, timedelta] = {}
        self._stopped: set[ids.VmId] = set()
        self._send_at = timedelta.min
        self._probed_at = timedelta.min

    def record_response(self, vm: ids.VmId, *, now: timedelta) -> None:
        self._last_response[vm] = now
        self._stopped.discard(vm)

    def record_stop(self, vm: ids.VmId) -> None:
        """Record that a peer takes no claims until it responds again."""
        self._stopped.add(vm)

    def probe(
        self, vms: frozenset[ids.VmId], *, now: timedelta
    ) -> list[control.Action]:
        """Return the heartbeats to ``vms`` that are due."""
        if now > self._probed_at + PAUSE_THRESHOLD:
            self._watched_since = dict.fromkeys(self._watched_since, now)
        self._probed_at = now
        for vm in vms:
            self._watched_since.setdefault(vm, now)
        for vm in self._watched_since.keys() - vms:
            del self._watched_since[vm]
        self._stopped &= vms
        if now < self._send_at:
            return []
        self._send_at = now + HEARTBEAT_INTERVAL
        return [control.SendHeartbeat(vm=vm) for vm in sorted(vms)]

    def responded_after(self, vm: ids.VmId, time: timedelta) -> bool:
        """Whether a peer responded after a time."""
        return self._last_response.get(vm, timedelta.min) > time

    def alive(self, vm: ids.VmId, *, now: timedelta) -> bool:
        """Whether a watched peer responded recently or was added recently."""
        last = self._watched_since.get(vm)
        if last is None or vm in self._stopped:
            return False
        responded = self._last_response.get(vm)
        if responded is not None:
            last = max(last, responded)
        return now < last + SUSPECT_AFTER


class Candidacy:
    """Decides when this process raises the epoch of a domain."""

    def __init__(self, view: cluster_state.View) -> None:
        self._view = view
        self._liveness = Liveness()
        self._observed: dict[ids.DomainId, ObservedRow] = {}
        self._consent_until: dict[ids.DomainId, timedelta] = {}
        self._highest_epochs: dict[ids.DomainId, ids.Epoch] = {}
        self._raised_at: dict[ids.DomainId, timedelta] = {}
        # Since when this process would raise the epoch.
        self._wanted_since: dict[ids.DomainId, timedelta] = {}
        self._read_at = timedelta.min
        self._store_responded_at = timedelta.min

    def record_response(self, vm: ids.VmId, *, now: timedelta) -> None:
        self._liveness.record_response(vm, now=now)

    def record_stop(self, vm: ids.VmId) -> None:
        self._liveness.record_stop(vm)

    def row(self, domain: ids.DomainId) -> claims.ClaimRow | None:
        observed = self._observed.get(domain)
        return None if observed is None else observed.row

    def record_row(
        self,
        domain: ids.DomainId,
        row: claims.ClaimRow | None,
        *,
        now: timedelta,
    ) -> None:
        """Record a row that the store returned, unless it is outdated."""
        observed = self._observed.get(domain)
        if row is not None:
            self.record_epoch(domain, row.epoch)
        if observed is None:
            holder = None if row is None else row.holder
            self._observed[domain] = ObservedRow(
                row=row, since=now, holder=holder
            )
            return
        if row is None or observed.row == row:
            return
        old = observed.row
        if old is not None:
            if (row.epoch, row.renewal) <= (old.epoch, old.renewal):
                return
        holder = row.holder or observed.holder
        self._observed[domain] = ObservedRow(row=row, since=now, holder=holder)
        if row.holder is None:
            # Nobody holds a released claim that could be taken back.
            self._raised_at.pop(domain, None)

    def record_rows(
        self, rows: dict[ids.DomainId, claims.ClaimRow], *, now: timedelta
    ) -> None:
        """Record a read of all rows.

        After a gap without reads, the time for which a row is unchanged
        starts again: during a store outage no holder can renew.
        """
        gap = now - MAX_READ_GAP > self._read_at
        self._read_at = now
        self.record_store_response(now=now)
        for domain, row in rows.items():
            self.record_row(domain, row, now=now)
        for domain in sorted(self._view.domains() - rows.keys()):
            self.record_row(domain, None, now=now)
        if gap:
            for observed in self._observed.values():
                observed.since = now

    def record_store_response(self, *, now: timedelta) -> None:
        """Record that the store has answered a read or a write."""
        self._store_responded_at = now

    def reported_lost(self) -> dict[ids.DomainId, frozenset[ids.UpstreamId]]:
        """Return the upstreams that the holders report as lost."""
        return {
            domain: observed.row.lost
            for domain, observed in self._observed.items()
            if observed.row is not None
        }

    def record_epoch(self, domain: ids.DomainId, epoch: ids.Epoch) -> None:
        highest = self._highest_epochs.get(domain, ids.Epoch(0))
        self._highest_epochs[domain] = max(highest, epoch)

    def grant_consent(
        self, req: control.ConsentRequested, *, busy: bool, now: timedelta
    ) -> bool:
        """Consent not to raise a domain's epoch for a while, or refuse.

        ``busy`` says that this process holds the domain or that its own
        raise of the epoch is unresolved.
        """
        if busy or self._highest_epochs.get(req.domain, 0) > req.epoch:
            return False
        until = now + leases.stretched(claims.CONSENT_DURATION)
        self._consent_until[req.domain] = until
        return True

    def probes(
        self, domains: frozenset[ids.DomainId], *, now: timedelta
    ) -> list[control.Action]:
        """Return heartbeats to holders and the other probing candidates."""
        watched: set[ids.VmId] = set()
        for domain in domains:
            ranked = self._view.ranked(domain)[:PROBING_CANDIDATES]
            if self._view.vm not in ranked:
                continue
            watched.update(ranked)
            row = self.row(domain)
            if row is not None and row.holder is not None:
                watched.add(row.holder)
        watched.discard(self._view.vm)
        return self._liveness.probe(frozenset(watched), now=now)

    def ends_at(
        self, domain: ids.DomainId, wait: timedelta, *, now: timedelta
    ) -> timedelta:
        """Return when the claim of the latest known row has surely ended.

        The holder counts from when it sent the renewal that wrote the row,
        which is before this process first read the row. It can extend the
        claim after the term only with the consent of this process, and the
        grace period counts from the same renewal. Counting from the read
        rather than from the raise saves the time that it takes to detect
        the loss.
        """
        if not wait:
            return now
        until = self._consent_until.get(domain, now)
        return max(now, until, self._observed[domain].since + wait)

    def record_raise(self, domain: ids.DomainId, *, now: timedelta) -> None:
        """Record that this process has sent a raise of the epoch."""
        self._raised_at[domain] = now

    def record_raise_conflict(
        self,
        domain: ids.DomainId,
        raised: claims.ClaimRow,
        found: claims.ClaimRow,
        *,
        now: timedelta,
    ) -> None:
        """Record that a raise failed because the row had changed.

        The holder may have taken or renewed the claim after this process
        read the row and before the holder failed. Then the raise is repeated
        at once, because the holder's leases would end during
        RAISE_RETRY_INTERVAL.
        """
        renewed = found.epoch < raised.epoch
        holder = found.holder
        recent = holder is not None and self._liveness.responded_after(
            holder, now - RAISE_RETRY_INTERVAL
        )
        if renewed or recent:
            self._raised_at.pop(domain, None)

    def awaits_store(self) -> bool:
        """Whether a raise waits for a response of the store."""
        responded = self._store_responded_at
        return any(s > responded for s in self._wanted_since.values())

    def should_raise(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        """Whether this process should raise the epoch now.

        The store must have responded since this process wants to raise it.
        A raise that is sent while the store is down stays unresolved, and
        until then this process may not consent to an extension.
        """
        if not self._wants_raise(domain, now=now):
            self._wanted_since.pop(domain, None)
            return False
        since = self._wanted_since.setdefault(domain, now)
        return self._store_responded_at >= since

    def _wants_raise(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        if domain not in self._observed:
            return False
        if self._view.zone in self._view.lost_zones:
            return False
        if now < self._consent_until.get(domain, timedelta.min):
            return False
        raised = self._raised_at.get(domain)
        if raised is not None and now < raised + RAISE_RETRY_INTERVAL:
            return False
        if cluster_state.zone_of(domain) == self._view.zone:
            return self._should_raise_own_zone(domain, now=now)
        return self._should_raise_other_zone(domain, now=now)

    def _should_raise_own_zone(
        self, domain: ids.DomainId, *, now: timedelta
    ) -> bool:
        ranked = self._view.ranked(domain)
        if self._view.vm not in ranked:
            return False
        position = ranked.index(self._view.vm)
        row = self.row(domain)
        if position >= PROBING_CANDIDATES:
            return self._unrenewed(
                domain, UNRENEWED_TERMS_IN_ZONE, position, now=now
            )
        holder = None if row is None else row.holder
        if holder is not None and holder != self._view.vm:
            if self._liveness.alive(holder, now=now):
                return False
        last = self._observed[domain].holder
        better = (vm for vm in ranked[:position] if vm != last)
        return not any(self._liveness.alive(vm, now=now) for vm in better)

    def _should_raise_other_zone(
        self, domain: ids.DomainId, *, now: timedelta
    ) -> bool:
        zone = cluster_state.zone_of(domain)
        ranked = cluster_state.rank(domain, self._view.other_entries(zone))
        if self._view.vm not in ranked:
            return False
        position = ranked.index(self._view.vm)
        row = self.row(domain)
        lost = self._view.lost_zones
        if zone in lost and (row is None or row.zone in lost):
            return now >= self._observed[domain].since + position * STAGGER
        return self._unrenewed(domain, UNRENEWED_TERMS, position, now=now)

    def _unrenewed(
        self,
        domain: ids.DomainId,
        terms: int,
        position: int,
        *,
        now: timedelta,
    ) -> bool:
        observed = self._observed[domain]
        term = _DEFAULT_TERM if observed.row is None else observed.row.term
        return now >= observed.since + terms * term + position * STAGGER

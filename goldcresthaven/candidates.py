"""Which process raises a domain's epoch, and promises not to.

Candidates are ranked by rendezvous hash over the entry VMs of the
domain's zone. The best-ranked live one takes a claim over when the holder
does not respond. VMs that cannot be probed cheaply watch the claim's row.
"""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import claims
from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases

HEARTBEAT_EVERY = timedelta(milliseconds=250)
SILENT_AFTER = timedelta(milliseconds=750)
# After a pause of its own a process cannot tell which peers were silent,
# and would otherwise take over every claim that it watches.
OWN_PAUSE = timedelta(milliseconds=500)

# Only the best-ranked probe each other and the holder. A zone may have
# hundreds of entry VMs, and all probing one holder would overload it.
PROBING_CANDIDATES = 4

UNRENEWED_TERMS = 3
UNRENEWED_TERMS_IN_ZONE = 2
STAGGER = timedelta(seconds=1)
# Two candidates that cannot reach each other would otherwise take the
# claim from one another at every read of its row.
RAISE_AGAIN = timedelta(seconds=2)
READ_GAP = timedelta(seconds=5)

_DEFAULT_TERM = timedelta(seconds=10)


@dataclass(kw_only=True, slots=True)
class Watch:
    """The last row seen of one domain and since when it is unchanged.

    ``holder`` is the last one named, also after it released the claim.
    """

    row: claims.ClaimRow | None
    since: timedelta
    holder: ids.VmId | None = None


class Liveness:
    """Peers that answer heartbeats."""

    def __init__(self) -> None:
        self._heard: dict[ids.VmId, timedelta] = {}
        self._watched: dict[ids.VmId, timedelta] = {}
        self._send_at = timedelta.min
        self._probed_at = timedelta.min

    def heard(self, vm: ids.VmId, *, now: timedelta) -> None:
        self._heard[vm] = now

    def probe(
        self, vms: frozenset[ids.VmId], *, now: timedelta
    ) -> list[control.Action]:
        """Return heartbeats when they are due."""
        if now > self._probed_at + OWN_PAUSE:
            self._watched = dict.fromkeys(self._watched, now)
        self._probed_at = now
        for vm in vms:
            self._watched.setdefault(vm, now)
        for vm in self._watched.keys() - vms:
            del self._watched[vm]
        if now < self._send_at:
            return []
        self._send_at = now + HEARTBEAT_EVERY
        return [control.SendHeartbeat(vm=vm) for vm in sorted(vms)]

    def heard_after(self, vm: ids.VmId, time: timedelta) -> bool:
        """Whether a peer responded after a time."""
        return self._heard.get(vm, timedelta.min) > time

    def alive(self, vm: ids.VmId, *, now: timedelta) -> bool:
        """Whether a watched peer responded of late or is new here."""
        last = self._watched.get(vm)
        if last is None:
            return False
        heard = self._heard.get(vm)
        if heard is not None:
            last = max(last, heard)
        return now < last + SILENT_AFTER


class Candidacy:
    """Decides when this process raises the epoch of a domain."""

    def __init__(self, view: cluster_state.View) -> None:
        self._view = view
        self._live = Liveness()
        self._watches: dict[ids.DomainId, Watch] = {}
        self._promises: dict[ids.DomainId, timedelta] = {}
        self._highest: dict[ids.DomainId, ids.Epoch] = {}
        self._raised_at: dict[ids.DomainId, timedelta] = {}
        self._read_at = timedelta.min

    def heard(self, vm: ids.VmId, *, now: timedelta) -> None:
        self._live.heard(vm, now=now)

    def row(self, domain: ids.DomainId) -> claims.ClaimRow | None:
        watch = self._watches.get(domain)
        return None if watch is None else watch.row

    def seen(
        self,
        domain: ids.DomainId,
        row: claims.ClaimRow | None,
        *,
        now: timedelta,
    ) -> None:
        """Record a row as read from the store; older ones are ignored."""
        watch = self._watches.get(domain)
        if row is not None:
            self.epoch_seen(domain, row.epoch)
        if watch is None:
            holder = None if row is None else row.holder
            self._watches[domain] = Watch(row=row, since=now, holder=holder)
            return
        if row is None or watch.row == row:
            return
        old = watch.row
        if old is not None:
            if (row.epoch, row.renewal) <= (old.epoch, old.renewal):
                return
        holder = row.holder or watch.holder
        self._watches[domain] = Watch(row=row, since=now, holder=holder)

    def rows_read(
        self, rows: dict[ids.DomainId, claims.ClaimRow], *, now: timedelta
    ) -> None:
        """Record a read of all rows.

        After a time without reads the rows count as unchanged only from
        now on: during a store outage nobody can renew.
        """
        gap = now - READ_GAP > self._read_at
        self._read_at = now
        for domain, row in rows.items():
            self.seen(domain, row, now=now)
        for domain in sorted(self._view.domains() - rows.keys()):
            self.seen(domain, None, now=now)
        if gap:
            for watch in self._watches.values():
                watch.since = now

    def reported_lost(self) -> dict[ids.DomainId, frozenset[ids.UpstreamId]]:
        """Return the upstreams that the holders report as lost."""
        return {
            domain: watch.row.lost
            for domain, watch in self._watches.items()
            if watch.row is not None
        }

    def epoch_seen(self, domain: ids.DomainId, epoch: ids.Epoch) -> None:
        highest = self._highest.get(domain, ids.Epoch(0))
        self._highest[domain] = max(highest, epoch)

    def promise(
        self, ask: control.ConsentAsked, *, busy: bool, now: timedelta
    ) -> bool:
        """Promise not to raise a domain's epoch, or refuse.

        ``busy`` says that this process holds the domain or has an epoch
        raise unresolved.
        """
        if busy or self._highest.get(ask.domain, 0) > ask.epoch:
            return False
        until = now + leases.stretched(claims.PROMISE)
        self._promises[ask.domain] = until
        return True

    def probes(
        self, domains: frozenset[ids.DomainId], *, now: timedelta
    ) -> list[control.Action]:
        """Return heartbeats to the holders and candidates that matter."""
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
        return self._live.probe(frozenset(watched), now=now)

    def ends_at(
        self, domain: ids.DomainId, wait: timedelta, *, now: timedelta
    ) -> timedelta:
        """Return when the claim of the last row seen has surely ended.

        The holder counts from when it sent the renewal that wrote the
        row, which is before the row was first read here. It can go on
        after the term only with a promise of this process, and the grace
        period counts from the same renewal. Counting from the read rather
        than from the raise saves the time that it takes to notice a loss.
        """
        if not wait:
            return now
        until = self._promises.get(domain, now)
        return max(now, until, self._watches[domain].since + wait)

    def raised(self, domain: ids.DomainId, *, now: timedelta) -> None:
        """Record that this process tries to raise the epoch."""
        self._raised_at[domain] = now

    def raise_missed(
        self,
        domain: ids.DomainId,
        raised: claims.ClaimRow,
        found: claims.ClaimRow,
        *,
        now: timedelta,
    ) -> None:
        """Note that a raise met another row than the one last read.

        The holder may have taken or renewed the claim after that read and
        before it was lost. Then another try is due at once, because its
        leases would end during RAISE_AGAIN.
        """
        renewed = found.epoch < raised.epoch
        holder = found.holder
        recent = holder is not None and self._live.heard_after(
            holder, now - RAISE_AGAIN
        )
        if renewed or recent:
            self._raised_at.pop(domain, None)

    def wants(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        """Whether this process should raise the epoch now."""
        if domain not in self._watches:
            return False
        if self._view.zone in self._view.lost_zones:
            return False
        if now < self._promises.get(domain, timedelta.min):
            return False
        raised = self._raised_at.get(domain)
        if raised is not None and now < raised + RAISE_AGAIN:
            return False
        if cluster_state.zone_of(domain) == self._view.zone:
            return self._wants_own(domain, now=now)
        return self._wants_foreign(domain, now=now)

    def _wants_own(self, domain: ids.DomainId, *, now: timedelta) -> bool:
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
            if self._live.alive(holder, now=now):
                return False
        last = self._watches[domain].holder
        better = (vm for vm in ranked[:position] if vm != last)
        return not any(self._live.alive(vm, now=now) for vm in better)

    def _wants_foreign(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        zone = cluster_state.zone_of(domain)
        ranked = cluster_state.rank(domain, self._view.other_entries(zone))
        if self._view.vm not in ranked:
            return False
        position = ranked.index(self._view.vm)
        row = self.row(domain)
        lost = self._view.lost_zones
        if zone in lost and (row is None or row.zone in lost):
            return now >= self._watches[domain].since + position * STAGGER
        return self._unrenewed(domain, UNRENEWED_TERMS, position, now=now)

    def _unrenewed(
        self,
        domain: ids.DomainId,
        terms: int,
        position: int,
        *,
        now: timedelta,
    ) -> bool:
        watch = self._watches[domain]
        term = _DEFAULT_TERM if watch.row is None else watch.row.term
        return now >= watch.since + terms * term + position * STAGGER

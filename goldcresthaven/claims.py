"""Claim of one domain: its row, its validity and its extension.

A claim allows one entry process to grant leases to the upstreams of a
domain. The row in the table service decides which process holds it. The
holder counts the claim's validity from the time at which it sent the last
write that was applied, so it always stops before a successor may move shards.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import tables

# How long a peer that has given consent does not raise the epoch.
CONSENT_DURATION = timedelta(seconds=5)
CONSENT_REQUEST_INTERVAL = timedelta(milliseconds=1500)

# A renewal after a third of the term leaves two more tries before it ends.
RENEWALS_PER_TERM = 3

# An extension needs the consent of every peer in the row, so the row names
# at most this many of a zone's best-ranked entry VMs. The others have to wait
# for the grace period before they move shards.
MAX_PEERS = 16

_MS = timedelta(milliseconds=1)


def shortened(duration: timedelta) -> timedelta:
    """Return a lower bound on this clock for ``duration`` on another."""
    return duration * (1 - leases.DRIFT)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """Value of the row ``claims/<domain>``.

    ``holder`` is None after a graceful release and ``zone`` is the zone of
    the holder. A VM in ``peers`` that raises the epoch waits for ``term``
    until the old claim has ended; all other VMs wait for ``grace``.
    ``settled`` says that no claim of an earlier epoch can still be valid.
    ``txn`` names the transaction that wrote the row. ``lost`` lists the
    upstreams that the holder cannot reach, so that the holders of other
    domains move no shards to them.
    """

    epoch: ids.Epoch
    holder: ids.VmId | None
    zone: ids.ZoneId
    renewal: int
    peers: frozenset[ids.VmId]
    term: timedelta
    grace: timedelta
    settled: bool
    txn: ids.TxnId
    lost: frozenset[ids.UpstreamId] = frozenset()

    def to_value(self) -> dict[str, Any]:
        """Return the row's value for the table service."""
        return {
            'epoch': self.epoch,
            'holder': self.holder or '',
            'zone': self.zone,
            'renewal': self.renewal,
            'peers': sorted(self.peers),
            'term_ms': self.term // _MS,
            'grace_ms': self.grace // _MS,
            'settled': self.settled,
            'txn': self.txn,
            'lost': sorted(self.lost),
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> 'ClaimRow':
        """Return the claim of a row; raises ProtocolError."""
        try:
            holder = str(value['holder'])
            return cls(
                epoch=ids.Epoch(int(value['epoch'])),
                holder=ids.VmId(holder) if holder else None,
                zone=ids.ZoneId(value['zone']),
                renewal=int(value['renewal']),
                peers=frozenset(ids.VmId(vm) for vm in value['peers']),
                term=int(value['term_ms']) * _MS,
                grace=int(value['grace_ms']) * _MS,
                settled=value['settled'] is True,
                txn=ids.TxnId(value['txn']),
                lost=frozenset(ids.UpstreamId(u) for u in value['lost']),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.ProtocolError(
                f'claim row is malformed: {exc!r}',
                remedy='upgrade the older process or repair the row',
            ) from exc


@dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """Values that a holder writes into its claim row."""

    vm: ids.VmId
    zone: ids.ZoneId
    peers: frozenset[ids.VmId]
    term: timedelta
    grace: timedelta
    lost: frozenset[ids.UpstreamId] = frozenset()


def takeover_wait(
    row: ClaimRow | None,
    vm: ids.VmId,
    lost_zones: frozenset[ids.ZoneId],
) -> timedelta:
    """Return how long the old claim may last when ``vm`` raises the epoch.

    A holder that has restarted is not among the peers of its own row. Its
    earlier process no longer runs, so it waits only as long as a peer.
    """
    if row is None:
        return timedelta()
    ended = row.holder is None or row.zone in lost_zones
    if ended and row.settled:
        return timedelta()
    if vm in row.peers or vm == row.holder:
        return row.term
    return row.grace


def raised_row(
    row: ClaimRow | None,
    terms: Terms,
    *,
    wait: timedelta,
    txn: ids.TxnId,
) -> ClaimRow:
    """Return the row that raises the epoch over ``row``.

    Until the new holder has waited for the old claim to end, the row keeps
    the old peers: the old holder may still extend its claim, and it asks
    only these peers for consent.
    """
    settled = row is None or not wait
    peers, term, grace = terms.peers, terms.term, terms.grace
    if row is not None and not settled:
        peers = row.peers - {terms.vm}
        term = max(row.term, terms.term)
        grace = max(row.grace, terms.grace)
    epoch = 0 if row is None else row.epoch
    return ClaimRow(
        epoch=ids.Epoch(epoch + 1),
        holder=terms.vm,
        zone=terms.zone,
        renewal=0,
        peers=peers,
        term=term,
        grace=grace,
        settled=settled,
        txn=txn,
        lost=frozenset() if row is None else row.lost,
    )


def unchanged(domain: ids.DomainId, row: ClaimRow | None) -> tables.Condition:
    """Return the condition that the claim row still equals ``row``."""
    if row is None:
        return tables.VersionIs(
            table=tables.CLAIMS, key=domain, version=tables.ABSENT
        )
    return tables.FieldEquals(
        table=tables.CLAIMS, key=domain, name='txn', value=row.txn
    )


def write(domain: ids.DomainId, row: ClaimRow) -> tables.Write:
    """Return the write that stores a claim row."""
    return tables.Write(table=tables.CLAIMS, key=domain, value=row.to_value())


class HeldClaim:
    """A claim whose row names this process as the holder.

    ``pending`` is the row of an unresolved renewal. By ``settled_at`` every
    claim of an earlier epoch has ended.
    """

    def __init__(
        self,
        *,
        domain: ids.DomainId,
        row: ClaimRow,
        sent: timedelta,
        settled_at: timedelta,
    ) -> None:
        self.domain = domain
        self.row = row
        self.pending: ClaimRow | None = None
        self.settled_at = settled_at
        self._sent_at = sent
        self._consent_request_times: dict[tuple[ids.VmId, int], timedelta] = {}
        self._consent_until: dict[ids.VmId, timedelta] = {}
        self._consents_requested_at = sent

    @property
    def epoch(self) -> ids.Epoch:
        return self.row.epoch

    def renewal_due(self, now: timedelta) -> bool:
        return now >= self._sent_at + self._term() / RENEWALS_PER_TERM

    def valid(self, now: timedelta) -> bool:
        """Whether leases may be granted at ``now``."""
        if now < self._sent_at + shortened(self._term()):
            return True
        return self._extended(now)

    def _extended(self, now: timedelta) -> bool:
        if now >= self._sent_at + shortened(self._grace()):
            return False
        return all(
            now < self._consent_until.get(vm, timedelta.min)
            for vm in self.consenters()
        )

    def valid_by_consent(self, now: timedelta) -> bool:
        """Whether the term is over and only peers' consent extends it."""
        past_term = now >= self._sent_at + shortened(self._term())
        return past_term and self.valid(now)

    def ends_at(self, now: timedelta) -> timedelta:
        """Return when a valid claim ends unless it is renewed or extended."""
        end = self._sent_at + shortened(self._term())
        if now < end:
            return end
        consent_ends = [self._consent_until[vm] for vm in self.consenters()]
        return min([self._sent_at + shortened(self._grace()), *consent_ends])

    def consenters(self) -> frozenset[ids.VmId]:
        """Return the VMs whose consent an extension needs.

        These are the VMs that wait for only the term after they raise the
        epoch. While a renewal is unresolved, the stored row may name the
        peers of either version, so both sets are included.
        """
        if self.pending is None:
            return self.row.peers
        return self.row.peers | self.pending.peers

    def _term(self) -> timedelta:
        if self.pending is None:
            return self.row.term
        return min(self.row.term, self.pending.term)

    def _grace(self) -> timedelta:
        if self.pending is None:
            return self.row.grace
        return min(self.row.grace, self.pending.grace)

    def renewed_row(
        self, terms: Terms, *, txn: ids.TxnId, now: timedelta
    ) -> ClaimRow:
        """Return the row of the next renewal."""
        row = self.row
        settled = row.settled or now >= self.settled_at
        return ClaimRow(
            epoch=row.epoch,
            holder=terms.vm,
            zone=terms.zone,
            renewal=row.renewal + 1,
            peers=terms.peers if settled else row.peers & terms.peers,
            term=terms.term if settled else max(row.term, terms.term),
            grace=terms.grace if settled else max(row.grace, terms.grace),
            settled=settled,
            txn=txn,
            lost=terms.lost,
        )

    def released_row(self, *, txn: ids.TxnId, now: timedelta) -> ClaimRow:
        """Return the row that releases the claim."""
        row = self.row
        return ClaimRow(
            epoch=row.epoch,
            holder=None,
            zone=row.zone,
            renewal=row.renewal + 1,
            peers=row.peers,
            term=row.term,
            grace=row.grace,
            settled=row.settled or now >= self.settled_at,
            txn=txn,
            lost=row.lost,
        )

    def record_renewal(self, row: ClaimRow, *, sent: timedelta) -> None:
        """Record a renewal that was applied and first sent at ``sent``."""
        self.row = row
        self.pending = None
        self._sent_at = sent

    def consent_requests_due(
        self, now: timedelta, nonce: int
    ) -> tuple[ids.VmId, ...]:
        """Return the peers that a consent request is due for.

        Requests start when one renewal is overdue, well before the term
        ends.
        """
        if now < self._sent_at + self._term() / 2:
            return ()
        interval = min(CONSENT_REQUEST_INTERVAL, self._consent_duration() / 2)
        if now < self._consents_requested_at + interval:
            return ()
        self._consents_requested_at = now
        self._consent_request_times = {
            vm_and_nonce: at
            for vm_and_nonce, at in self._consent_request_times.items()
            if now < at + CONSENT_DURATION
        }
        peers = tuple(sorted(self.consenters()))
        for vm in peers:
            self._consent_request_times[vm, nonce] = now
        return peers

    def record_consent(self, vm: ids.VmId, nonce: int) -> None:
        """Record a peer's consent, which counts from when it was requested."""
        sent_at = self._consent_request_times.pop((vm, nonce), None)
        if sent_at is None:
            return
        until = sent_at + self._consent_duration()
        self._consent_until[vm] = max(
            until, self._consent_until.get(vm, timedelta.min)
        )

    def _consent_duration(self) -> timedelta:
        """Return how long a consent counts.

        It must not outlast the term: a peer that restarts loses the consent
        that it gave, and may then raise the epoch and wait for only the
        term.
        """
        return min(CONSENT_DURATION, self._term() / 2)

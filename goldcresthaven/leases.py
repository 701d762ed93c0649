"""Server leases: the messages, the issuer and the upstream's guard.

A lease lets one upstream serve a set of shards for a short time. The
duration counts from a clock reading that the upstream itself has sent (the
basis), so the lease ends at the same time even if the grant is delayed.
``Issuer`` is the claim holder's side for one upstream and ``LeaseGuard`` is
the upstream's side.
"""

import collections
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from goldcresthaven import errors
from goldcresthaven import ids

LEASE = timedelta(seconds=2)
RENEW_INTERVAL = timedelta(milliseconds=500)

# The rates of any two clocks differ by at most this fraction, so the rate of
# each clock may deviate from true time by half of it.
DRIFT = 0.01

_MS = timedelta(milliseconds=1)
_US = timedelta(microseconds=1)
_NS_PER_US = 1000


def stretched(duration: timedelta) -> timedelta:
    """Return an upper bound on this clock for ``duration`` on another."""
    return duration * (1 + DRIFT)


class Refusal(Enum):
    """Why an upstream did not accept a lease."""

    OLD_EPOCH = 'old-epoch'
    OLD_SEQUENCE = 'old-sequence'
    OTHER_BOOT = 'other-boot'
    UNKNOWN_BASIS = 'unknown-basis'
    STALE_BASIS = 'stale-basis'
    OTHER_DOMAIN = 'other-domain'


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRequest:
    """Body of ``POST /control/lease``.

    Without ``basis_ns`` the request is a probe and grants nothing. ``boot``
    identifies the boot of the upstream that sent the basis. ``shards``
    replaces the whole granted set.
    """

    domain: ids.DomainId
    epoch: ids.Epoch
    seq: int
    boot: ids.BootId | None = None
    basis_ns: int | None = None
    duration: timedelta = LEASE
    shards: frozenset[ids.ShardId] = frozenset()

    def to_body(self) -> dict[str, Any]:
        """Return the JSON object that is sent."""
        body: dict[str, Any] = {
            'domain': self.domain,
            'epoch': self.epoch,
            'seq': self.seq,
            'boot': self.boot,
            'duration_ms': self.duration // _MS,
            'shards': sorted(self.shards),
        }
        if self.basis_ns is not None:
            body['basis_ns'] = self.basis_ns
        return body

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> 'LeaseRequest':
        """Return the request in a JSON object; raises ProtocolError."""
        try:
            boot = body.get('boot')
            basis = body.get('basis_ns')
            return cls(
                domain=ids.DomainId(str(body['domain'])),
                epoch=ids.Epoch(int(body['epoch'])),
                seq=int(body['seq']),
                boot=None if boot is None else ids.BootId(str(boot)),
                basis_ns=None if basis is None else int(basis),
                duration=int(body['duration_ms']) * _MS,
                shards=frozenset(ids.ShardId(s) for s in body['shards']),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.ProtocolError(
                f'lease request is malformed: {exc!r}',
                remedy='send the fields of the upstream contract',
            ) from exc


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReply:
    """Response to a lease request or probe.

    ``epoch`` is the highest epoch received and ``seq`` the last sequence
    number accepted. ``shards`` are those of the lease in force. ``quiesced``
    says that no request for any other shard is executing, and ``dropped``
    that no lease of an earlier epoch is in force.
    """

    boot: ids.BootId
    clock_ns: int
    epoch: ids.Epoch
    seq: int
    accepted: bool
    reason: Refusal | None = None
    shards: frozenset[ids.ShardId] = frozenset()
    quiesced: bool = True
    dropped: bool = False

    def to_body(self) -> dict[str, Any]:
        """Return the JSON object that is sent."""
        return {
            'boot': self.boot,
            'clock_ns': self.clock_ns,
            'epoch': self.epoch,
            'seq': self.seq,
            'accepted': self.accepted,
            'reason': '' if self.reason is None else self.reason.value,
            'shards': sorted(self.shards),
            'quiesced': self.quiesced,
            'dropped': self.dropped,
        }

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> 'LeaseReply':
        """Return the reply in a JSON object; raises ProtocolError."""
        try:
            reason = body.get('reason') or None
            return cls(
                boot=ids.BootId(str(body['boot'])),
                clock_ns=int(body['clock_ns']),
                epoch=ids.Epoch(int(body['epoch'])),
                seq=int(body['seq']),
                accepted=body['accepted'] is True,
                reason=None if reason is None else Refusal(reason),
                shards=frozenset(ids.ShardId(s) for s in body['shards']),
                quiesced=body['quiesced'] is True,
                dropped=body['dropped'] is True,
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise errors.ProtocolError(
                f'lease reply is malformed: {exc!r}',
                remedy='make the upstream send the fields of the contract',
            ) from exc


@dataclass(frozen=True, kw_only=True, slots=True)
class Basis:
    """A clock reading of an upstream and when this process received it."""

    boot: ids.BootId
    clock_ns: int
    received: timedelta


class Issuer:
    """Builds the lease requests to one upstream under one epoch."""

    def __init__(self, *, domain: ids.DomainId, epoch: ids.Epoch) -> None:
        self._domain = domain
        self._epoch = epoch
        self._seq = 0
        self._basis: Basis | None = None
        self._bound = timedelta.min

    @property
    def bound(self) -> timedelta:
        """Time by which every lease of this issuer has ended."""
        return self._bound

    @property
    def seq(self) -> int:
        """Number of the last request that was built."""
        return self._seq

    def probe(self) -> LeaseRequest:
        """Return a request that obtains a basis and grants nothing."""
        self._seq += 1
        return LeaseRequest(
            domain=self._domain, epoch=self._epoch, seq=self._seq
        )

    def update_basis(self, reply: LeaseReply, *, now: timedelta) -> None:
        """Update the basis from a reply that was received at ``now``.

        Must be called only while the holder's claim is valid.
        """
        current = self._basis
        if current is not None and current.boot == reply.boot:
            if reply.clock_ns <= current.clock_ns:
                return
        self._basis = Basis(
            boot=reply.boot, clock_ns=reply.clock_ns, received=now
        )

    def usable(self, now: timedelta) -> bool:
        """Whether the basis is recent enough for a grant to be accepted."""
        basis = self._basis
        return basis is not None and now < basis.received + LEASE

    def grant(self, shards: frozenset[ids.ShardId]) -> LeaseRequest:
        """Return a grant from the latest basis and extend the bound."""
        basis = self._basis
        assert basis is not None
        self._seq += 1
        end = basis.received + stretched(LEASE)
        self._bound = max(self._bound, end)
        return LeaseRequest(
            domain=self._domain,
            epoch=self._epoch,
            seq=self._seq,
            boot=basis.boot,
            basis_ns=basis.clock_ns,
            shards=shards,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Permission to execute one request; checked again before its commit."""

    shard: ids.ShardId
    boot: ids.BootId


class LeaseGuard:
    """Decides in an upstream which shards it may serve.

    An instance belongs to one boot of the upstream and has no state of
    earlier boots. All times are readings of the upstream's own clock.

    Example::

        ticket = guard.start(shard, now=clock.elapsed())
        if ticket is None:
            ...  # respond 421, X-Outcome: not-run
        allowed = guard.commit(ticket, now=clock.elapsed())
        guard.finish(ticket)
    """

    def __init__(self, *, boot: ids.BootId) -> None:
        self._boot = boot
        self._domain: ids.DomainId | None = None
        self._epoch = ids.Epoch(0)
        self._seq = 0
        self._lease_epoch = ids.Epoch(0)
        self._shards: frozenset[ids.ShardId] = frozenset()
        self._end = timedelta.min
        self._readings: dict[int, timedelta] = {}
        self._running: collections.Counter[ids.ShardId] = collections.Counter()
        self._last_ns = 0

    @property
    def epoch(self) -> ids.Epoch:
        """Highest epoch received; sent as ``X-Owner-Epoch``."""
        return self._epoch

    def serves(self, shard: ids.ShardId, *, now: timedelta) -> bool:
        """Whether the lease is in force and covers the shard."""
        return now < self._end and shard in self._shards

    def start(self, shard: ids.ShardId, *, now: timedelta) -> Ticket | None:
        """Return a ticket, or None if no lease covers the shard now."""
        if not self.serves(shard, now=now):
            return None
        self._running[shard] += 1
        return Ticket(shard=shard, boot=self._boot)

    def commit(self, ticket: Ticket, *, now: timedelta) -> bool:
        """Whether a started request may make its effects visible."""
        if ticket.boot != self._boot:
            return False
        return self.serves(ticket.shard, now=now)

    def finish(self, ticket: Ticket) -> None:
        """Record that a started request no longer executes."""
        self._running[ticket.shard] -= 1
        if self._running[ticket.shard] <= 0:
            del self._running[ticket.shard]

    def handle(self, req: LeaseRequest, *, now: timedelta) -> LeaseReply:
        """Process a probe or a grant and return the response."""
        refusal = self._check_epoch(req)
        if refusal is None:
            self._domain = req.domain
            self._raise_epoch(req.epoch)
            if req.basis_ns is not None:
                refusal = self._check_grant(req, now=now)
                if refusal is None:
                    self._accept(req)
        return self._reply(refusal, now=now)

    def _check_epoch(self, req: LeaseRequest) -> Refusal | None:
        if self._domain not in (None, req.domain):
            return Refusal.OTHER_DOMAIN
        if req.epoch < self._epoch:
            return Refusal.OLD_EPOCH
        return None

    def _raise_epoch(self, epoch: ids.Epoch) -> None:
        if epoch > self._epoch:
            self._epoch = epoch
            self._seq = 0

    def _check_grant(
        self, req: LeaseRequest, *, now: timedelta
    ) -> Refusal | None:
        if req.seq <= self._seq:
            return Refusal.OLD_SEQUENCE
        if req.boot != self._boot:
            return Refusal.OTHER_BOOT
        sent = self._readings.get(req.basis_ns or 0)
        if sent is None:
            return Refusal.UNKNOWN_BASIS
        if now >= sent + req.duration:
            return Refusal.STALE_BASIS
        return None

    def _accept(self, req: LeaseRequest) -> None:
        self._seq = req.seq
        self._lease_epoch = req.epoch
        self._shards = req.shards
        self._end = self._readings[req.basis_ns or 0] + req.duration

    def _reply(self, refusal: Refusal | None, *, now: timedelta) -> LeaseReply:
        shards = self._shards if now < self._end else frozenset()
        old = self._lease_epoch < self._epoch
        return LeaseReply(
            boot=self._boot,
            clock_ns=self._read_clock(now),
            epoch=self._epoch,
            seq=self._seq,
            accepted=refusal is None,
            reason=refusal,
            shards=shards,
            quiesced=all(s in shards for s in self._running),
            dropped=not (old and now < self._end),
        )

    def _read_clock(self, now: timedelta) -> int:
        """Return a reading that no other response of this boot contains."""
        self._readings = {
            ns: at for ns, at in self._readings.items() if now < at + LEASE
        }
        reading = max(self._last_ns + 1, now // _US * _NS_PER_US)
        self._last_ns = reading
        self._readings[reading] = now
        return reading

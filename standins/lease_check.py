"""The upstream's side of the lease protocol, with and without fencing."""

import collections
from collections.abc import Mapping
from datetime import timedelta
import secrets
from typing import Any
from typing import Protocol

from goldcresthaven import clock as clock_module
from goldcresthaven import ids
from goldcresthaven import leases

_US = timedelta(microseconds=1)
_NS_PER_US = 1000


class Check(Protocol):
    """Decides which shards an endpoint serves; see ``leases.LeaseGuard``."""

    @property
    def epoch(self) -> ids.Epoch: ...

    def start(self, shard: str) -> leases.Ticket | None: ...

    def commit(self, ticket: leases.Ticket) -> bool: ...

    def finish(self, ticket: leases.Ticket) -> None: ...

    def handle(self, command: Mapping[str, Any]) -> dict[str, Any]:
        """Apply a grant or a probe and return the reply.

        Raises ProtocolError if the command is malformed.
        """


class FencedCheck:
    """Follows the lease protocol: checks epochs and the end of the lease."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._guard = leases.LeaseGuard(boot=_new_boot())

    @property
    def epoch(self) -> ids.Epoch:
        return self._guard.epoch

    def start(self, shard: str) -> leases.Ticket | None:
        now = self._clock.elapsed()
        return self._guard.start(ids.ShardId(shard), now=now)

    def commit(self, ticket: leases.Ticket) -> bool:
        return self._guard.commit(ticket, now=self._clock.elapsed())

    def finish(self, ticket: leases.Ticket) -> None:
        self._guard.finish(ticket)

    def handle(self, command: Mapping[str, Any]) -> dict[str, Any]:
        req = leases.LeaseRequest.from_body(command)
        return self._guard.handle(req, now=self._clock.elapsed()).to_body()


class UnfencedCheck:
    """Accepts any command and ignores the end of a lease.

    It imitates servers without fencing, whose pools are configured with
    ``fenced: false``.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._boot = _new_boot()
        self._shards: frozenset[ids.ShardId] = frozenset()
        self._running: collections.Counter[ids.ShardId] = collections.Counter()
        self.epoch = ids.Epoch(0)

    def start(self, shard: str) -> leases.Ticket | None:
        if shard not in self._shards:
            return None
        self._running[ids.ShardId(shard)] += 1
        return leases.Ticket(shard=ids.ShardId(shard), boot=self._boot)

    def commit(self, ticket: leases.Ticket) -> bool:
        return True

    def finish(self, ticket: leases.Ticket) -> None:
        self._running[ticket.shard] -= 1

    def handle(self, command: Mapping[str, Any]) -> dict[str, Any]:
        req = leases.LeaseRequest.from_body(command)
        self.epoch = req.epoch
        # A request without a basis is a probe and grants nothing.
        if req.basis_ns is not None:
            self._shards = req.shards
        return leases.LeaseReply(
            boot=self._boot,
            clock_ns=self._clock.elapsed() // _US * _NS_PER_US,
            epoch=self.epoch,
            seq=req.seq,
            accepted=True,
            shards=self._shards,
            quiesced=(+self._running).keys() <= self._shards,
        ).to_body()


def make(*, fenced: bool, clock: clock_module.Clock) -> Check:
    return FencedCheck(clock) if fenced else UnfencedCheck(clock)


def _new_boot() -> ids.BootId:
    return ids.BootId(secrets.token_hex(8))

"""What the request path asks of the policies, and a simple policy.

``caller_server`` knows admission, slots and the choice among upstreams
only through ``Gate``. ``LocalGate`` is the policy of a process that has no
connection to its peers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import operator_views
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import shards


@dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """Configuration, map and upstreams as this process knows them."""

    config_version: ids.ConfigVersion
    document: presets.Document
    shard_map: shards.ShardMap
    upstreams: dict[ids.UpstreamId, members.Member]
    entries: int = 1

    def connection_limit(self, pool: presets.Pool) -> int:
        """Connections that this process may hold to one endpoint."""
        return max(1, pool.connections // max(1, self.entries))


class Views(Protocol):
    """Source of the current view."""

    def current(self) -> View | None:
        """Return the view, or None before the first configuration."""

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        """Look for a newer map after an upstream refused a key.

        ``epoch`` is the highest that the upstream has seen. Returns when a
        newer map is in force or none could be found quickly.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """Permission to send one attempt to one upstream."""

    upstream: ids.UpstreamId
    address: members.Address
    connection_limit: int


class Gate(Protocol):
    """Admission, a slot and the choice of an upstream in one step.

    Each ``Admitted`` is released exactly once, whatever happens between.
    """

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> Admitted | outcomes.NotRun:
        """Wait for a slot until the deadline at most.

        ``tried`` names upstreams that failed this request already.
        ``caller_gone`` is cheap; the gate asks it before it grants a slot
        to a request that has waited.
        """

    async def release(
        self,
        routed: routing.Routed,
        admitted: Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        """Return the slot and report the attempt.

        ``attempt`` is None when the request ended without one.
        """


class LocalGate:
    """Slots divided evenly between entry processes, first come first served.

    The choice in pools without keys goes by the process's own counts.
    """

    def __init__(self, *, views: Views, clock: clock_module.Clock) -> None:
        self._views = views
        self._clock = clock
        self._in_use: dict[ids.UpstreamId, int] = {}
        self._freed = aio.Event()
        self._turn = 0
        self._waiting: dict[ids.RequestId, routing.Routed] = {}

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> Admitted | outcomes.NotRun:
        avoided = frozenset(tried)
        while True:
            view = self._views.current()
            if view is None:
                return _refuse(outcomes.Reason.NOT_READY)
            candidates = self._candidates(view, routed, avoided)
            if not candidates:
                return _refuse(outcomes.Reason.NO_UPSTREAM)
            chosen = self._free(view, routed, candidates)
            if chosen is not None:
                return self._grant(view, routed, chosen)
            if not await self._wait(routed):
                return _refuse(outcomes.Reason.DEADLINE_PASSED)
            if caller_gone():
                return _refuse(outcomes.Reason.CALLER_GONE)

    def in_use(self, upstream: ids.UpstreamId) -> int:
        """Return the requests that this process has at an upstream."""
        return self._in_use.get(upstream, 0)

    def queues(self) -> tuple[operator_views.Queue, ...]:
        """Return the requests that wait here, by pool and rank."""
        now = self._clock.elapsed()
        groups: dict[tuple[ids.PoolName, str], list[timedelta]] = {}
        for routed in self._waiting.values():
            key = (routed.pool.name, routed.rank.value)
            groups.setdefault(key, []).append(now - routed.arrived)
        return tuple(
            operator_views.Queue(
                pool=pool,
                rank=rank,
                length=len(ages),
                size_bytes=0,
                oldest_ms=max(ages) // timedelta(milliseconds=1),
            )
            for (pool, rank), ages in sorted(groups.items())
        )

    async def release(
        self,
        routed: routing.Routed,
        admitted: Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        self._in_use[admitted.upstream] -= 1
        await self._freed.set()

    def _candidates(
        self,
        view: View,
        routed: routing.Routed,
        avoided: frozenset[ids.UpstreamId],
    ) -> list[members.Member]:
        if routed.pool.keyed:
            owner = routed.owner
            known = view.upstreams.get(owner) if owner else None
            return [known] if known else []
        pool = [
            m
            for m in view.upstreams.values()
            if m.pool == routed.pool.name
            and m.state is members.MemberState.LIVE
            and ids.UpstreamId(m.vm) not in view.document.drained
        ]
        fresh = [m for m in pool if ids.UpstreamId(m.vm) not in avoided]
        return fresh or pool

    def _free(
        self,
        view: View,
        routed: routing.Routed,
        candidates: list[members.Member],
    ) -> members.Member | None:
        share = max(1, routed.pool.slots // max(1, view.entries))
        self._turn += 1
        start = self._turn % len(candidates)
        ordered = candidates[start:] + candidates[:start]
        best = min(ordered, key=lambda m: self._count(m))
        return best if self._count(best) < share else None

    def _count(self, member: members.Member) -> int:
        return self.in_use(ids.UpstreamId(member.vm))

    def _grant(
        self, view: View, routed: routing.Routed, chosen: members.Member
    ) -> Admitted:
        upstream = ids.UpstreamId(chosen.vm)
        self._in_use[upstream] = self._count(chosen) + 1
        return Admitted(
            upstream=upstream,
            address=chosen.address,
            connection_limit=view.connection_limit(routed.pool),
        )

    async def _wait(self, routed: routing.Routed) -> bool:
        remaining = routed.deadline - self._clock.elapsed()
        if remaining <= timedelta():
            return False
        self._freed.clear()
        self._waiting[routed.request_id] = routed
        try:
            async with aio.timeout(remaining):
                await self._freed.wait()
        except errors.DeadlineExceeded:
            return False
        finally:
            self._waiting.pop(routed.request_id, None)
        return True


def _refuse(reason: outcomes.Reason) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason,
        detail='no upstream was asked',
        retry_after=retries.RETRY_AFTER,
    )

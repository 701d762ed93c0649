"""A simple admission gate for tests of the request path.

It needs no peers: slots are divided evenly between entry processes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import retries
from goldcresthaven import routing


class LocalGate:
    """Admits requests to this process's even share of the slots.

    In pools without keys the upstream with the fewest slots in use by this
    process is chosen.
    """

    def __init__(
        self, *, views: dispatch.Views, clock: clock_module.Clock
    ) -> None:
        self._views = views
        self._clock = clock
        self._in_use: dict[ids.UpstreamId, int] = {}
        self._slot_freed = aio.Event()
        self._rotation = 0

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> dispatch.Admitted | outcomes.NotRun:
        already_tried = frozenset(tried)
        while True:
            view = self._views.current()
            if view is None:
                return _refuse(outcomes.Reason.NOT_READY)
            candidates = self._candidates(view, routed, already_tried)
            if not candidates:
                return _refuse(outcomes.Reason.NO_UPSTREAM)
            chosen = self._least_loaded(view, routed, candidates)
            if chosen is not None:
                return self._take_slot(view, routed, chosen)
            if not await self._wait(routed.deadline):
                return _refuse(outcomes.Reason.DEADLINE_PASSED)
            if caller_gone():
                return _refuse(outcomes.Reason.CALLER_GONE)

    async def release(
        self,
        routed: routing.Routed,
        admitted: dispatch.Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        self._in_use[admitted.upstream] -= 1
        await self._slot_freed.set()

    def _candidates(
        self,
        view: dispatch.View,
        routed: routing.Routed,
        already_tried: frozenset[ids.UpstreamId],
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
        untried = [
            m for m in pool if ids.UpstreamId(m.vm) not in already_tried
        ]
        return untried or pool

    def _least_loaded(
        self,
        view: dispatch.View,
        routed: routing.Routed,
        candidates: list[members.Member],
    ) -> members.Member | None:
        share = max(1, routed.pool.slots // max(1, view.entries))
        self._rotation += 1
        start = self._rotation % len(candidates)
        ordered = candidates[start:] + candidates[:start]
        best = min(ordered, key=lambda m: self._slots_in_use(m))
        return best if self._slots_in_use(best) < share else None

    def _slots_in_use(self, member: members.Member) -> int:
        return self._in_use.get(ids.UpstreamId(member.vm), 0)

    def _take_slot(
        self,
        view: dispatch.View,
        routed: routing.Routed,
        chosen: members.Member,
    ) -> dispatch.Admitted:
        upstream = ids.UpstreamId(chosen.vm)
        self._in_use[upstream] = self._slots_in_use(chosen) + 1
        return dispatch.Admitted(
            upstream=upstream,
            address=chosen.address,
            connection_limit=view.connection_limit(routed.pool),
        )

    async def _wait(self, deadline: timedelta) -> bool:
        remaining = deadline - self._clock.elapsed()
        if remaining <= timedelta():
            return False
        self._slot_freed.clear()
        try:
            async with aio.timeout(remaining):
                await self._slot_freed.wait()
        except errors.DeadlineExceeded:
            return False
        return True


def _refuse(reason: outcomes.Reason) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason,
        detail='the request was not sent to any upstream',
        retry_after=retries.RETRY_AFTER,
    )

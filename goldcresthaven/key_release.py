"""Releases keys from their owner, so that another upstream can get them.

Keys are free when the owner confirms a release, or when every hold that it
may have been granted has ended. An earlier grant may still be in flight and
be applied after the release, even if it seems to be answered: an upstream may
answer an earlier call twice. Therefore the owner first has to accept a higher
fence, over a new connection; it then rejects whatever arrives later.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import fleet_messages
from goldcresthaven import hold_bounds
from goldcresthaven import ids
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import members

# How often a release checks whether a renewal in flight has ended.
RENEWAL_POLL = timedelta(milliseconds=20)
# Pause before a release is repeated after an owner did not answer.
RETRY_PAUSE = timedelta(milliseconds=300)
# Added to the end of a hold, because a timer may fire slightly early.
END_MARGIN = timedelta(milliseconds=2)


class Releaser:
    """Releases the keys of moves while this process holds the claim.

    ``announce`` informs the other processes of keys that are about to move.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        calls: key_grants.LeaseCalls,
        owners: key_coordinator_state.OwnerStatus,
        announce: Callable[[fleet_messages.Moving], None],
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._owners = owners
        self._announce = announce
        self._clock = clock

    async def release_source(
        self,
        term: key_coordinator_state.ClaimTerm,
        transfer: key_coordinator_state.Transfer,
    ) -> None:
        """Wait until the source of a move no longer holds the keys."""
        source = transfer.move.source
        owner = source.owner
        if owner is not None:
            released = await self._release(term, source, owner)
            if released is not None:
                transfer.handover = released.handover
            elif term.end_reason is not None:
                return
        transfer.source_released = True

    async def _release(
        self,
        term: key_coordinator_state.ClaimTerm,
        source: key_map.KeyRange,
        owner: key_map.Owner,
    ) -> key_grants.Released | None:
        """Return the owner's confirmation, or None when its hold has ended."""
        await self._wait_for_renewals(term, owner)
        fence: int | None = None
        # At most one grant with a raised fence may stay unanswered, because
        # each one extends the wait.
        raised: hold_bounds.SentGrant | None = None
        accepted_at: timedelta | None = None
        started = self._clock.elapsed()
        if owner in term.failing_since:
            await self._reset_unsettled(term, owner, source.fence)
        while term.end_reason is None:
            now = self._clock.elapsed()
            free_at = _free_at(term, source, owner, accepted_at, raised)
            if now >= free_at:
                self._note_bound(term, source, owner, now - started)
                return None
            address = self._owners.address(owner)
            if (
                address is not None
                and term.may_renew(now)
                and self._owners.may_call(owner, now)
            ):
                if raised is None:
                    fence, raised = await self._raise_fence(
                        term, source, owner, address
                    )
                    if fence is not None and raised is not None:
                        accepted_at = raised.arrived_by
                if fence is not None:
                    self._announce(
                        fleet_messages.Moving(
                            pool=self._pool,
                            first=source.first,
                            last=source.last,
                        )
                    )
                    reply = await self._calls.release(
                        owner.upstream_id,
                        address,
                        key_grants.Grant(
                            first=source.first, last=source.last, fence=fence
                        ),
                        timeout=key_grants.RELEASE_TIMEOUT,
                        may_send=lambda: self._owners.may_call(
                            owner, self._clock.elapsed()
                        ),
                    )
                    if reply.leaving:
                        self._owners.record_leaving(
                            owner, self._clock.elapsed()
                        )
                    if reply.released is not None:
                        return reply.released
            if fence is None:
                await self._reset_unsettled(term, owner, source.fence)
            free_at = _free_at(term, source, owner, accepted_at, raised)
            left = free_at - self._clock.elapsed()
            await aio.sleep(min(RETRY_PAUSE, left + END_MARGIN))
        return None

    async def _reset_unsettled(
        self,
        term: key_coordinator_state.ClaimTerm,
        owner: key_map.Owner,
        fence: int,
    ) -> None:
        """Reset the connections on which a grant may be held back.

        The bounds of such grants then count from the reset.
        """
        for connection in term.holds.unsettled(owner, fence):
            await self._calls.reset(connection.address, connection.number)

    def _note_bound(
        self,
        term: key_coordinator_state.ClaimTerm,
        source: key_map.KeyRange,
        owner: key_map.Owner,
        waited: timedelta,
    ) -> None:
        """Log what set the bound that freed keys without a release."""
        bound = term.holds.describe(owner, source.fence, self._clock.elapsed())
        decision_log.note(
            'hold-ended',
            pool=self._pool,
            upstream=owner.upstream_id,
            epoch=source.fence,
            elapsed_ms=int(waited / timedelta(milliseconds=1)),
            detail=f'{source.first}-{source.last}: {bound}',
        )

    async def _wait_for_renewals(
        self, term: key_coordinator_state.ClaimTerm, owner: key_map.Owner
    ) -> None:
        while owner in term.renewing:
            await aio.sleep(RENEWAL_POLL)

    async def _raise_fence(
        self,
        term: key_coordinator_state.ClaimTerm,
        source: key_map.KeyRange,
        owner: key_map.Owner,
        address: members.Address,
    ) -> tuple[int | None, hold_bounds.SentGrant | None]:
        """Grant keys for a short time under a new fence.

        An owner that accepts the fence rejects all grants with lower fences
        that may still be in flight, so a release is then final. Returns the
        fence, or None if the owner did not accept it, and the grant, or None
        if it was certainly not accepted.
        """
        if term.keys.next_fence <= term.fence + 1 or term.write_unconfirmed:
            return None, None

        def may_send() -> bool:
            now = self._clock.elapsed()
            return term.may_grant(now, renewal=None) and self._owners.may_call(
                owner, now
            )

        if not may_send():
            return None, None
        fence = term.take_fence()
        sent = self._clock.elapsed()
        grant = term.holds.record_sent(
            owner, fence, sent, key_grants.RELEASE_TIMEOUT
        )
        reply = await self._calls.grant(
            owner.upstream_id,
            address,
            key_grants.Grant(
                first=source.first, last=source.last, fence=fence
            ),
            renewal=None,
            hold=key_grants.RELEASE_TIMEOUT,
            timeout=key_grants.CALL_TIMEOUT,
            may_send=may_send,
        )
        now = self._clock.elapsed()
        if reply.leaving:
            self._owners.record_leaving(owner, now)
        match reply.result:
            case key_grants.GrantResult.GRANTED:
                term.holds.record_answered(grant, now)
                return fence, grant
            case key_grants.GrantResult.NO_RESPONSE:
                term.holds.record_unanswered(grant, now)
                return None, grant
            case key_grants.GrantResult.FENCED_OFF:
                term.record_rejection()
        term.holds.record_refused(grant)
        return None, None


def _free_at(
    term: key_coordinator_state.ClaimTerm,
    source: key_map.KeyRange,
    owner: key_map.Owner,
    accepted_at: timedelta | None,
    raised: hold_bounds.SentGrant | None,
) -> timedelta:
    """Return when the owner's holds have ended, with the raised fence's."""
    free_at = term.holds.free_at(owner, source.fence, accepted_at=accepted_at)
    return free_at if raised is None else max(free_at, raised.end())

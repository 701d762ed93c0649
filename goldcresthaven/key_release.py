"""Releases keys from their owner, so that another upstream can get them.

Keys are free when the owner confirms a release, or when every hold that it
may have been granted has ended.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import fleet_messages
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

    ``may_grant`` returns whether a term still permits grants. ``announce``
    informs the other processes of keys that are about to move.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        calls: key_grants.LeaseCalls,
        owners: key_coordinator_state.OwnerStatus,
        announce: Callable[[fleet_messages.Moving], None],
        may_grant: Callable[[key_coordinator_state.ClaimTerm], bool],
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._owners = owners
        self._announce = announce
        self._may_grant = may_grant
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
        while owner in term.renewing:
            await aio.sleep(RENEWAL_POLL)
        free_at = term.holds.free_at(owner, source.fence)
        fence: int | None = None
        # At most one grant with a raised fence may stay unanswered, because
        # each one extends the wait.
        may_raise = True
        while term.end_reason is None:
            now = self._clock.elapsed()
            if now >= free_at:
                return None
            address = self._owners.address(owner)
            if address is not None and self._may_grant(term):
                if term.holds.is_release_final(owner, source.fence, now):
                    fence = fence or source.fence
                elif may_raise and self._owners.is_registered(owner, now):
                    fence, end = await self._raise_fence(
                        term, source, owner, address
                    )
                    free_at = max(free_at, end)
                    may_raise = end == timedelta()
                if fence is not None:
                    self._announce(
                        fleet_messages.Moving(
                            pool=self._pool,
                            first=source.first,
                            last=source.last,
                        )
                    )
                    released = await self._calls.release(
                        owner.upstream_id,
                        address,
                        key_grants.Grant(
                            first=source.first, last=source.last, fence=fence
                        ),
                        timeout=key_grants.RELEASE_TIMEOUT,
                    )
                    if released is not None:
                        return released
            left = free_at - self._clock.elapsed()
            await aio.sleep(min(RETRY_PAUSE, left + END_MARGIN))
        return None

    async def _raise_fence(
        self,
        term: key_coordinator_state.ClaimTerm,
        source: key_map.KeyRange,
        owner: key_map.Owner,
        address: members.Address,
    ) -> tuple[int | None, timedelta]:
        """Grant keys for a short time under a new fence.

        An owner that accepts the fence rejects all grants with lower fences
        that may still be in flight, so a release is then final. Returns the
        fence, or None if the owner did not accept it, and the time at which
        the short hold has ended, or zero if it was certainly not granted.
        """
        if term.keys.next_fence <= term.fence + 1 or term.write_unconfirmed:
            return None, timedelta()
        fence = term.take_fence()
        sent = self._clock.elapsed()
        undo = term.holds.record_sent(
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
        )
        end = key_grants.hold_end(sent, key_grants.RELEASE_TIMEOUT)
        match reply.result:
            case key_grants.GrantResult.GRANTED:
                return fence, end
            case key_grants.GrantResult.NO_RESPONSE:
                term.holds.record_unanswered(
                    owner, fence, sent, key_grants.RELEASE_TIMEOUT
                )
                return None, end
        undo()
        return None, timedelta()

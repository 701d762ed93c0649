"""Grants owners their keys, again and again while a claim is held."""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import ids
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import members

# A grant is answered within milliseconds; routers wait no longer for it.
ANNOUNCE_WAIT = timedelta(milliseconds=40)
GRANT_CHECK = timedelta(milliseconds=2)
# Renewals fall due before the store could be declared away.
STORE_DOUBT = timedelta(seconds=1.6)


class Renewer:
    """Renews the owners of a key map during one process's tenures.

    ``may_send`` tells whether a tenure still permits grants.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        calls: key_grants.LeaseCalls,
        owners: key_coordinator_state.OwnerView,
        may_send: Callable[[key_coordinator_state.Tenure], bool],
        longest_hold: timedelta,
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._owners = owners
        self._may_send = may_send
        self._longest_hold = longest_hold
        self._clock = clock

    async def grant_moved(
        self,
        tenure: key_coordinator_state.Tenure,
        moved: list[key_coordinator_state.Transfer],
    ) -> None:
        """Grant moved keys before their new owners are announced."""
        started = self._clock.elapsed()
        await self.renew_due(tenure, started)
        targets = {t.move.target for t in moved}
        while targets & tenure.renewing:
            if self._clock.elapsed() - started > ANNOUNCE_WAIT:
                break
            await aio.sleep(GRANT_CHECK)

    async def renew_due(
        self, tenure: key_coordinator_state.Tenure, now: timedelta
    ) -> None:
        moving = tenure.moving()
        owners = tenure.owners()
        tenure.due = {o: t for o, t in tenure.due.items() if o in owners}
        for owner in owners:
            if owner in tenure.renewing or tenure.due.get(owner, now) > now:
                continue
            address = self._owners.address(owner)
            if address is None or self._owners.has_left(owner, now):
                continue
            ranges = [
                part
                for held in tenure.keys.owned_by(owner)
                for part in key_map.remainders(held, moving)
            ]
            if not ranges:
                continue
            tenure.due[owner] = now + key_grants.RENEW_EVERY
            tenure.renewing.add(owner)
            await aio.spawn(self._renew(tenure, owner, address, ranges))

    def _hold_time(
        self, tenure: key_coordinator_state.Tenure, now: timedelta
    ) -> timedelta:
        """Return the hold to grant: long once the store may be away."""
        if now - tenure.renewed > STORE_DOUBT:
            return self._longest_hold
        return min(key_grants.HOLD, self._longest_hold)

    async def _renew(
        self,
        tenure: key_coordinator_state.Tenure,
        owner: key_map.Owner,
        address: members.Address,
        ranges: list[key_map.KeyRange],
    ) -> None:
        try:
            for key_range in ranges:
                if not await self._grant(tenure, owner, address, key_range):
                    return
        finally:
            tenure.renewing.discard(owner)

    async def _grant(
        self,
        tenure: key_coordinator_state.Tenure,
        owner: key_map.Owner,
        address: members.Address,
        key_range: key_map.KeyRange,
    ) -> bool:
        """Send one grant; returns whether the owner answered."""
        sent = self._clock.elapsed()
        hold = self._hold_time(tenure, sent)
        stale = tenure.keys.find(key_range.first).fence != key_range.fence
        if stale or not self._may_send(tenure):
            return False
        undo = tenure.book.sent(owner, key_range.fence, sent, hold)
        spot = (owner, key_range.fence)
        renewal = tenure.granted.get(spot)
        # Without an answer, no connection is known to prove anything.
        tenure.granted[spot] = key_grants.NO_CONNECTIONS
        reply = await self._calls.grant(
            owner.upstream_id,
            address,
            key_grants.Grant(
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                handover=tenure.handovers.get(key_range.fence),
            ),
            renewal=renewal,
            hold=hold,
            limit=key_grants.CALL_LIMIT,
        )
        now = self._clock.elapsed()
        result = reply.result
        if result is key_grants.GrantResult.GRANTED:
            tenure.granted[spot] = reply.connections
            tenure.handovers.pop(key_range.fence, None)
            tenure.failing.pop(owner, None)
            tenure.book.answered(owner, key_range)
            return True
        if result is key_grants.GrantResult.NO_ANSWER:
            tenure.book.unanswered(owner, key_range.fence, sent, hold)
        else:
            undo()
        if result in key_grants.NOT_SENT and renewal is None:
            del tenure.granted[spot]
        else:
            # The owner may have restarted, or a higher fence is known.
            self._refence(tenure, key_range)
        if result is not key_grants.GrantResult.DISCONNECTED:
            tenure.failing.setdefault(owner, now)
        tenure.due[owner] = now + key_grants.RENEW_EVERY / 3
        decision_log.note(
            'grant-failed',
            pool=self._pool,
            upstream=owner.upstream_id,
            outcome=result.value,
            epoch=key_range.fence,
        )
        return False

    def _refence(
        self, tenure: key_coordinator_state.Tenure, key_range: key_map.KeyRange
    ) -> None:
        """Let a range's owner have it under a higher fence.

        A fence is granted once over a new connection: the next life of the
        upstream at the address must not get the fence of the one before.
        """
        if key_range.owner is None:
            return
        if key_map.overlaps(key_range, tenure.moving()):
            return
        move = key_plan.Move(source=key_range, target=key_range.owner)
        tenure.transfers.append(
            key_coordinator_state.Transfer(move=move, freed=True)
        )

"""Grants and renews the keys of all owners while a claim is held."""

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

# A grant is normally answered within milliseconds. The announcement of a
# move waits at most this long for it.
ANNOUNCE_WAIT = timedelta(milliseconds=40)
GRANT_POLL = timedelta(milliseconds=2)
# Owners that are tried for one round trip; each attempt takes up to 0.4 s.
ROUND_TRIP_ATTEMPTS = 3
# When the last renewal of the claim is this old, the store may be
# unavailable and owners get long holds. All of their renewals fall due before
# an outage of the store would be declared.
STORE_SUSPECT_TIMEOUT = timedelta(seconds=1.6)

# Results that say nothing about the reachability of the owner.
_NOT_A_FAILURE = frozenset(
    {
        key_grants.GrantResult.DISCONNECTED,
        key_grants.GrantResult.WITHDRAWN,
    }
)


class Renewer:
    """Renews the grants of all owners while this process holds the claim.

    ``longest_hold`` is the longest hold that an upstream accepts; it is
    granted while the store may be unavailable.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        calls: key_grants.LeaseCalls,
        owners: key_coordinator_state.OwnerStatus,
        longest_hold: timedelta,
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._calls = calls
        self._owners = owners
        self._longest_hold = longest_hold
        self._clock = clock

    async def grant_moved(
        self,
        term: key_coordinator_state.ClaimTerm,
        moved: list[key_coordinator_state.Transfer],
    ) -> None:
        """Grant moved keys to their new owners before the announcement.

        Waits for the answers, but not longer than ``ANNOUNCE_WAIT``.
        """
        started = self._clock.elapsed()
        await self.renew_due(term, started)
        targets = {t.move.target for t in moved}
        while targets & term.renewing:
            if self._clock.elapsed() - started > ANNOUNCE_WAIT:
                break
            await aio.sleep(GRANT_POLL)

    async def settle(self, term: key_coordinator_state.ClaimTerm) -> None:
        """Make the bounds of a term that has ended final.

        Resets the connections whose last grants may still be held back.
        """
        while term.renewing:
            await aio.sleep(GRANT_POLL)
        for connection in term.holds.unsettled():
            await self._calls.reset(connection.address, connection.number)
        await self._prove_arrivals(term)

    async def _prove_arrivals(
        self, term: key_coordinator_state.ClaimTerm
    ) -> None:
        """Make a round trip to shorten the bounds of unanswered grants.

        Opens a connection to an owner: unlike a response on a connection
        that was kept, this cannot be a second copy.
        """
        try:
            for owner in self._reachable_owners(term)[:ROUND_TRIP_ATTEMPTS]:
                address = self._owners.address(owner)
                sent = self._clock.elapsed()
                if address and await self._calls.round_trip(address):
                    term.holds.record_round_trip(
                        sent_at=sent, answered_at=self._clock.elapsed()
                    )
                    return
        finally:
            term.proving = False

    def _reachable_owners(
        self, term: key_coordinator_state.ClaimTerm
    ) -> list[key_map.Owner]:
        """Return the owners that answer, those renewed last first.

        Owners that leave or have asked for a pause get no new connections.
        """
        now = self._clock.elapsed()
        answering = [
            owner
            for owner in term.owners()
            if owner not in term.failing_since
            and not self._owners.has_left(owner, now)
            and not self._owners.is_paused(owner, now)
        ]
        return sorted(
            answering,
            key=lambda o: term.renewal_due.get(o, timedelta()),
            reverse=True,
        )

    async def renew_due(
        self, term: key_coordinator_state.ClaimTerm, now: timedelta
    ) -> None:
        if term.holds.needs_round_trip(now) and not term.proving:
            term.proving = True
            await aio.spawn(self._prove_arrivals(term))
        moving = term.moving_ranges()
        owners = term.owners()
        term.renewal_due = {
            o: t for o, t in term.renewal_due.items() if o in owners
        }
        for owner in owners:
            if (
                owner in term.renewing
                or term.renewal_due.get(owner, now) > now
            ):
                continue
            address = self._owners.address(owner)
            if address is None or self._owners.has_left(owner, now):
                continue
            ranges = [
                part
                for held in term.keys.owned_by(owner)
                for part in key_map.remainders(held, moving)
            ]
            if not ranges:
                continue
            term.renewal_due[owner] = now + key_grants.RENEW_INTERVAL
            term.renewing.add(owner)
            await aio.spawn(self._renew(term, owner, address, ranges))

    def _hold_time(
        self, term: key_coordinator_state.ClaimTerm, now: timedelta
    ) -> timedelta:
        """Return the hold to grant: long if the store may be unavailable."""
        if now - term.renewed_at > STORE_SUSPECT_TIMEOUT:
            return self._longest_hold
        return min(key_grants.HOLD, self._longest_hold)

    async def _renew(
        self,
        term: key_coordinator_state.ClaimTerm,
        owner: key_map.Owner,
        address: members.Address,
        ranges: list[key_map.KeyRange],
    ) -> None:
        try:
            for key_range in ranges:
                if not await self._grant(term, owner, address, key_range):
                    return
        finally:
            term.renewing.discard(owner)

    async def _grant(
        self,
        term: key_coordinator_state.ClaimTerm,
        owner: key_map.Owner,
        address: members.Address,
        key_range: key_map.KeyRange,
    ) -> bool:
        """Send one grant; return whether to go on with the owner's others.

        A closed connection says nothing about them. All of them then get new
        fences with one write of the map, before their holds end.
        """
        sent = self._clock.elapsed()
        hold = self._hold_time(term, sent)
        hold_key = (owner, key_range.fence)
        renewal = term.granted.get(hold_key)

        def may_send() -> bool:
            return term.may_grant(self._clock.elapsed(), renewal=renewal)

        stale = term.keys.find(key_range.first).fence != key_range.fence
        if stale or not may_send():
            return False
        grant = term.holds.record_sent(owner, key_range.fence, sent, hold)
        # Until this grant is answered, no connection proves that the owner
        # has not restarted.
        term.granted[hold_key] = key_grants.NO_CONNECTIONS
        reply = await self._calls.grant(
            owner.upstream_id,
            address,
            key_grants.Grant(
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                handover=term.handovers.get(key_range.fence),
            ),
            renewal=renewal,
            hold=hold,
            timeout=key_grants.CALL_TIMEOUT,
            may_send=may_send,
        )
        now = self._clock.elapsed()
        if reply.leaving:
            self._owners.record_leaving(owner, now)
        result = reply.result
        if result is key_grants.GrantResult.GRANTED:
            if reply.kept is None:
                term.holds.record_answered(grant, now)
                term.holds.record_round_trip(sent_at=sent, answered_at=now)
                term.holds.record_accepted(
                    key_range, key_grants.hold_end(now, self._longest_hold)
                )
            else:
                term.holds.record_provisional(grant, now, reply.kept)
            term.granted[hold_key] = reply.connections
            term.handovers.pop(key_range.fence, None)
            term.failing_since.pop(owner, None)
            return True
        if result is key_grants.GrantResult.FENCED_OFF:
            term.record_rejection()
        if result is key_grants.GrantResult.NO_RESPONSE:
            term.holds.record_unanswered(grant, now)
        else:
            term.holds.record_refused(grant)
        if result in key_grants.NOT_SENT and renewal is None:
            del term.granted[hold_key]
        else:
            # The owner may have restarted or accepted a higher fence.
            self._schedule_new_fence(term, key_range)
        if result not in _NOT_A_FAILURE:
            term.failing_since.setdefault(owner, now)
        term.renewal_due[owner] = now + key_grants.RENEW_INTERVAL / 3
        decision_log.note(
            'grant-failed',
            pool=self._pool,
            upstream=owner.upstream_id,
            outcome=result.value,
            epoch=key_range.fence,
            elapsed_ms=int((now - sent) / timedelta(milliseconds=1)),
            detail=f'{key_range.first}-{key_range.last} for '
            f'{hold.total_seconds():.1f} s',
        )
        return result is key_grants.GrantResult.DISCONNECTED

    def _schedule_new_fence(
        self,
        term: key_coordinator_state.ClaimTerm,
        key_range: key_map.KeyRange,
    ) -> None:
        """Schedule a higher fence for a range that keeps its owner.

        A fence is granted only once over a new connection. If the upstream
        restarts at the same address, it must not get the fence of its
        previous incarnation.
        """
        if key_range.owner is None:
            return
        if key_map.overlaps(key_range, term.moving_ranges()):
            return
        move = key_plan.Move(source=key_range, target=key_range.owner)
        term.transfers.append(
            key_coordinator_state.Transfer(move=move, source_released=True)
        )

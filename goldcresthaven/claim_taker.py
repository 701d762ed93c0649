"""Takes over the claim of a pool, or resumes it after a restore of the store.

A successor keeps the recorded owners. It assumes that an earlier holder
granted the longest hold for as long as the earlier claim was valid.

After the store was restored from a copy, its claim and its map are unproven:
they may have had successors that it has lost. The last holder, which knows its
map, resumes with it. Another process takes over only when no holder does, and
grants no key before every hold that an unknown holder granted has ended.

A holder that resumes may have missed a successor, if it was cut off from it.
Until all owners have accepted its fences, no other process trusts its map. An
owner that rejects them shows that there was a successor, and ends the term.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import claim_watch
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import hold_bounds
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_map
from goldcresthaven import key_rows
from goldcresthaven import state_store
from goldcresthaven import store_history

# A holder whose term was ended by an outage or a restore of the store resumes
# within this time, far earlier than a successor without its map may grant.
RESUME_LIMIT = timedelta(seconds=8)


def resumable(
    last: key_coordinator_state.ClaimTerm | None, now: timedelta
) -> key_coordinator_state.ClaimTerm | None:
    """Return the last term if it may go on after a restore."""
    if last is None or not last.is_resumable:
        return None
    return last if now - last.renewed_at < RESUME_LIMIT else None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Basis:
    """A claim that may be taken, and the term that it continues, if any.

    ``acquired`` is the version with which the claim was taken over, as the
    new claim states it. ``proven_at`` is the end of the wait of the last
    holder, if it waited, and ``clock`` the time of the reading, both on the
    store's clock.
    """

    row_version: int
    claim: key_claims.Claim | None
    clock: timedelta
    read_at: timedelta
    history: state_store.History
    proven: bool
    proven_at: timedelta
    acquired: int
    resumed: key_coordinator_state.ClaimTerm | None


class ClaimTaker:
    """Reads the claim of one pool, and begins a term if it may be taken.

    ``address`` is the one to which other processes send their reports.
    ``known_map`` returns the newest map of a pool that this process knows.
    ``longest_hold`` is the longest hold that an upstream accepts. ``watch``
    learns when the claim has to be read again.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        identity: str,
        address: str,
        rows: key_rows.KeyRows,
        watch: claim_watch.ClaimWatch,
        known_map: Callable[[ids.PoolName], key_map.KeyMap | None],
        longest_hold: timedelta,
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._address = address
        self._rows = rows
        self._watch = watch
        self._known_map = known_map
        self._longest_hold = longest_hold
        self._clock = clock
        self._history = store_history.StoreHistory()

    async def try_take(
        self, last: key_coordinator_state.ClaimTerm | None
    ) -> key_coordinator_state.ClaimTerm | None:
        """Return a new term, or None if the claim cannot be taken now.

        ``last`` is the last term of this process.
        """
        asked = self._clock.elapsed()
        reading = await self._rows.read_claims()
        basis = self._basis(reading, last)
        if basis is None:
            return None
        sent = self._clock.elapsed()
        result = await self._rows.write_claim(
            key_claims.Claim(
                holder=self._identity,
                renewed_at=sent + basis.clock - asked,
                history=basis.history,
                acquired=basis.acquired,
                proven_at=basis.proven_at,
            ),
            expected=basis.row_version,
        )
        if isinstance(result, state_store.Conflict):
            return None
        taken = self._clock.elapsed()
        maps = await self._rows.read_maps()
        if {
            state_store.history_of(result.version),
            state_store.history_of(maps.version),
        } != {basis.history}:
            decision_log.note(
                'claim-not-taken',
                pool=self._pool,
                detail='the store was restored meanwhile',
            )
            return None
        return self._begin_term(
            basis, result, maps, renewed_at=sent, taken=taken
        )

    def _basis(
        self,
        reading: state_store.Reading,
        last: key_coordinator_state.ClaimTerm | None,
    ) -> _Basis | None:
        """Return how the claim may be taken, or None if it may not.

        Tells the watch in that case when to read the claim again.
        """
        now = self._clock.elapsed()
        row = self._rows.find(reading)
        claim = key_claims.decode(row)
        history = state_store.history_of(reading.version)
        self._history.record(history, now)
        proven = self._history.is_claim_proven(claim, history)
        resumed = resumable(last, now)
        superseded = resumed is not None and resumed.supersedes(claim, history)
        if resumed is not None and not resumed.may_resume(claim, history):
            resumed = None
        if resumed is not None and not resumed.was_sole(now):
            # A successor that the restore undid may be running. It resumes
            # first, or has stopped to send first grants by then.
            if now < self._history.seen_at + key_claims.STALE_TIMEOUT:
                return None
            if resumed.has_unowned_keys():
                # No rejection would show that a successor has granted them.
                resumed = None
        if resumed is not None:
            acquired = resumed.acquired_version
        elif claim is not None and superseded:
            # Neither map is complete. Its holder stops with its next write.
            acquired = claim.acquired
            proven = False
        elif not proven:
            # Its holder may still be granting, and resumes.
            takeover_at = self._history.seen_at + key_claims.STALE_TIMEOUT
            if now < takeover_at:
                self._watch.defer(takeover_at)
                return None
            acquired = 0
        elif key_claims.is_stale(claim, self._identity, reading.clock):
            acquired = key_claims.last_acquisition(claim, row)
        else:
            self._watch.record_claim(claim, reading.clock, now)
            return None
        return _Basis(
            row_version=row.version if row else 0,
            claim=claim,
            clock=reading.clock,
            read_at=now,
            history=history,
            proven=proven,
            proven_at=(
                key_claims.known_proven_at(claim, history)
                if resumed is None
                else timedelta()
            ),
            acquired=acquired,
            resumed=resumed,
        )

    def _begin_term(
        self,
        basis: _Basis,
        written: state_store.Committed,
        maps: state_store.Reading,
        *,
        renewed_at: timedelta,
        taken: timedelta,
    ) -> key_coordinator_state.ClaimTerm:
        claim = basis.claim
        resumed = basis.resumed
        keys = self._rows.map_in(maps)
        proven = basis.proven and self._history.is_map_proven(
            keys, basis.history
        )
        if claim is not None and keys.version != state_store.ABSENT:
            proven = proven and claim.is_map_proven()
        age = timedelta()
        own_end: timedelta | None = None
        if resumed is not None:
            keys = resumed.keys
            own_end = min(
                resumed.holds.last_end(),
                hold_bounds.inherited_end(taken, self._longest_hold),
            )
            # A successor that the store has lost may still be granting to
            # owners that accept no fence of this term.
            inherited = hold_bounds.inherited_end(
                taken + key_claims.CLAIM_VALIDITY, self._longest_hold
            )
        else:
            # An earlier holder may grant the longest hold until its claim is
            # no longer valid. An unproven claim does not show its renewal.
            if proven:
                age = key_claims.renewal_age(claim, basis.clock)
            stopped = taken + key_claims.CLAIM_VALIDITY - age
            inherited = hold_bounds.inherited_end(stopped, self._longest_hold)
            if not proven and basis.proven_at:
                # The store's clock has advanced since it was read.
                wait = basis.proven_at - basis.clock
                inherited = min(inherited, basis.read_at + wait)
        if proven and keys.version == state_store.ABSENT:
            inherited = timedelta()
        if not proven:
            keys = self._newest_known(keys)
        term = key_coordinator_state.ClaimTerm(
            address=self._address,
            history=basis.history,
            claim_version=written.version,
            acquired_version=written.version,
            map_row_version=self._rows.version_in(maps),
            renewed_at=renewed_at,
            store_clock_offset=written.clock - renewed_at,
            keys=keys,
            holds=hold_bounds.HoldBounds(
                inherited=inherited, inherited_if_accepted=own_end
            ),
            fence=keys.next_fence,
        )
        if resumed is not None:
            term.acquired_version = resumed.acquired_version
            term.fence = resumed.fence
            term.resumed_sole = resumed.was_sole(basis.read_at)
        elif not proven:
            term.map_proven_at = inherited
            term.stated_acquired = basis.acquired
            floor = basis.history * key_coordinator_state.FENCES_PER_HISTORY
            term.fence = max(term.fence, floor)
        elif keys.coordinator != self._address:
            term.predecessor = keys.coordinator
        decision_log.note(
            'claim-taken',
            pool=self._pool,
            epoch=written.version,
            map_version=keys.version,
            state=_map_state(resumed is not None, proven),
            detail=f'{len(keys.ranges)} ranges, from '
            f'{claim.holder if claim else "nobody"}, renewed '
            f'{age.total_seconds():.3f} s before; inherited holds end in '
            f'{max(inherited - taken, timedelta()).total_seconds():.3f} s',
        )
        return term

    def _newest_known(self, stored: key_map.KeyMap) -> key_map.KeyMap:
        known = self._known_map(self._pool)
        if known is None or known.version < stored.version:
            return stored
        return known


def _map_state(resumed: bool, proven: bool) -> str:
    if resumed:
        return 'resumed'
    return 'proven' if proven else 'unproven'

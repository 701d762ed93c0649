"""Renews a held claim, and writes and announces the maps of its term.

All writes go through one task, so each write is conditional on the version
that the previous one produced. After a write without an answer, the holder
renews the claim. The renewal either invalidates the lost write or conflicts
with it, which shows that it was applied.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_map
from goldcresthaven import key_renewal
from goldcresthaven import key_rows
from goldcresthaven import state_store

# How often to check whether a renewal or a map is due.
POLL_INTERVAL = timedelta(milliseconds=25)
# Pause after the store did not answer a write.
RETRY_PAUSE = timedelta(milliseconds=200)


class ClaimWriter:
    """Writes the claim and the map of one pool while the claim is held.

    ``identity`` and ``address`` are this process's, as its claims and its
    announcements state them. ``announce`` informs the other processes of a
    new map.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        identity: str,
        address: str,
        rows: key_rows.KeyRows,
        renewer: key_renewal.Renewer,
        announce: Callable[[fleet_messages.Announcement], None],
        clock: clock_module.Clock,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._address = address
        self._rows = rows
        self._renewer = renewer
        self._announce = announce
        self._clock = clock

    async def run(self, term: key_coordinator_state.ClaimTerm) -> None:
        """Renew the claim and write due maps until the term ends."""
        while term.end_reason is None:
            ready = [t for t in term.transfers if t.source_released]
            now = self._clock.elapsed()
            since = now - term.renewed_at
            waits_for_proof = not term.is_map_proven(now)
            if (
                (term.fences_reserved or waits_for_proof)
                and not ready
                and since < key_claims.RENEW_INTERVAL
            ):
                await aio.sleep(POLL_INTERVAL)
                continue
            try:
                await self._write(term, ready)
            except errors.StoreUnavailable as exc:
                term.write_unconfirmed = True
                decision_log.note(
                    'claim-write-unanswered', pool=self._pool, detail=str(exc)
                )
                await aio.sleep(RETRY_PAUSE)
            except errors.ProtocolError as exc:
                term.end_reason = str(exc)

    async def release(
        self, term: key_coordinator_state.ClaimTerm, why: str
    ) -> None:
        """End the term, so that another process can take the claim at once."""
        term.end_reason = why
        claim = self._claim(
            term, renewed_at=timedelta(), now=self._clock.elapsed()
        )
        try:
            await self._rows.write_claim(claim, expected=term.claim_version)
        except errors.StoreUnavailable as exc:
            decision_log.note('claim-not-released', detail=str(exc))

    def _claim(
        self,
        term: key_coordinator_state.ClaimTerm,
        *,
        renewed_at: timedelta,
        now: timedelta,
    ) -> key_claims.Claim:
        return key_claims.Claim(
            holder=self._identity,
            renewed_at=renewed_at,
            history=term.history,
            acquired=term.acquisition(now),
            proven_at=term.stored_proven_at(now),
        )

    async def _write(
        self,
        term: key_coordinator_state.ClaimTerm,
        ready: list[key_coordinator_state.Transfer],
    ) -> None:
        """Renew the claim, and write the map if it has to change.

        The first write of a term raises the limit of the fences, because
        another holder may have used all fences below the old limit.
        """
        sent = self._clock.elapsed()
        term.exclude_successor(sent)
        keys = term.keys
        map_due = (
            bool(ready) or term.needs_fences() or not term.fences_reserved
        )
        changed = (
            map_due and not term.write_unconfirmed and term.is_map_proven(sent)
        )
        if changed:
            keys = term.next_map(ready)
        claim = self._claim(
            term, renewed_at=sent + term.store_clock_offset, now=sent
        )
        if changed:
            result = await self._rows.write_claim_and_map(
                claim,
                keys,
                expected=term.claim_version,
                expected_map=term.map_row_version,
            )
        else:
            result = await self._rows.write_claim(
                claim, expected=term.claim_version
            )
        if _history_of(result) > term.history:
            term.end_reason = 'the store was restored'
            term.is_resumable = True
            return
        if isinstance(result, state_store.Conflict):
            await self._resolve_conflict(term)
            return
        if result.version <= term.claim_version:
            # Each write raises the version of the claim's row.
            raise errors.StoreUnavailable(
                f'the response repeats version {result.version}',
                remedy='none; the claim is renewed again',
            )
        term.write_unconfirmed = False
        term.claim_version = result.version
        term.renewed_at = sent
        term.store_clock_offset = result.clock - sent
        if not changed:
            return
        base = term.keys.version
        first_map = not term.fences_reserved
        self._apply_stored_map(term, keys.at_version(result.version))
        if first_map:
            self._announce_coordinator(term, base)
            return
        await self._renewer.grant_moved(term, ready)
        change = fleet_messages.MapChange(
            pool=self._pool,
            base=base,
            version=result.version,
            ranges=[
                held
                for t in ready
                for held in _within(term.keys, t.move.source)
            ],
        )
        self._announce(change)
        term.announced_version = result.version

    async def _resolve_conflict(
        self, term: key_coordinator_state.ClaimTerm
    ) -> None:
        """Read the claim and the map after a conflict.

        Either an unanswered write was applied, or another process has taken
        over the claim.
        """
        maps = await self._rows.read_maps()
        claims = await self._rows.read_claims()
        if state_store.history_of(claims.version) != term.history:
            # The next write finds this out.
            return
        row = self._rows.find(claims)
        if row is None or row.value is None:
            term.end_reason = 'the row of the claim was removed'
            return
        claim = key_claims.decode(row)
        if claim is None or claim.holder != self._identity:
            term.end_reason = 'another process took over the claim'
            return
        term.claim_version = row.version
        term.write_unconfirmed = False
        keys = self._rows.map_in(maps)
        if keys.history != term.history:
            # It is not this holder's map, which has to be written first.
            term.expect_other_map(self._rows.version_in(maps))
            return
        self._apply_stored_map(term, keys)
        term.announced_version = term.keys.version

    def _announce_coordinator(
        self, term: key_coordinator_state.ClaimTerm, base: int
    ) -> None:
        """Announce a map that keeps all owners of the map ``base``."""
        self._announce(
            fleet_messages.CoordinatorChange(
                pool=self._pool,
                base=base,
                version=term.keys.version,
                address=self._address,
            )
        )
        term.announced_version = term.keys.version

    def _apply_stored_map(
        self, term: key_coordinator_state.ClaimTerm, keys: key_map.KeyMap
    ) -> None:
        for transfer in term.apply_stored_map(keys):
            source = transfer.move.source
            decision_log.note(
                'keys-moved',
                pool=self._pool,
                upstream=transfer.move.target.upstream_id,
                epoch=keys.find(source.first).fence,
                map_version=keys.version,
                detail=f'{source.first}-{source.last} from '
                f'{_owner_name(source)}, '
                f'handover {transfer.handover is not None}',
            )


def _history_of(result: state_store.WriteResult) -> state_store.History:
    match result:
        case state_store.Conflict():
            return result.history
        case state_store.Committed():
            return state_store.history_of(result.version)


def _within(
    keys: key_map.KeyMap, source: key_map.KeyRange
) -> list[key_map.KeyRange]:
    """Return the parts of a map's ranges that lie inside a range."""
    return [
        held.subrange(
            max(held.first, source.first), min(held.last, source.last)
        )
        for held in keys.ranges
        if held.first <= source.last and held.last >= source.first
    ]


def _owner_name(source: key_map.KeyRange) -> str:
    return source.owner.upstream_id if source.owner else 'nobody'

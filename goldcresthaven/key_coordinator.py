"""Grants the keys of one pool while this process holds the pool's claim.

The claim is a lease: a row of the store that its holder renews. Any process
may take over a stale claim. A takeover is safe at any time, because the
successor keeps the recorded owners and renews their keys. Only moving keys
away from an owner has to wait, until the owner confirms a release or until
every hold that this process or an earlier holder may have granted has
ended.

All writes go through one task, so each write is conditional on the version
that the previous one produced. After a write without an answer, the holder
renews the claim. The renewal either invalidates the lost write or conflicts
with it, which shows that it was applied.

After the store was restored from a copy, its claim and its map are unproven:
they may have had successors that it has lost. The last holder, which knows its
map, resumes with it. Another process takes over only when no holder does, and
grants no key before every hold that an unknown holder granted has ended.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import claim_watch
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import hold_bounds
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import key_release
from goldcresthaven import key_renewal
from goldcresthaven import registry as registry_module
from goldcresthaven import state_store

# An eighth of the interval at which owners are renewed.
LOOP_INTERVAL = timedelta(milliseconds=100)
# Equal to the interval at which processes report keys and loads.
PLAN_INTERVAL = timedelta(milliseconds=300)
# The load sample has to reflect the last moves before the next ones start.
REBALANCE_INTERVAL = timedelta(milliseconds=700)
# Load balancing pauses while this many moves are in progress.
MAX_TRANSFERS = 6
# Wait after the first upstream registered before the first assignment: the
# others register within one heartbeat interval of an upstream.
FIRST_REGISTRATIONS_WAIT = timedelta(seconds=1.2)
# An owner whose grants have failed for this long counts as lost.
OWNER_LOST_TIMEOUT = timedelta(seconds=1)
# Upstreams start slowly, so a new one gets keys of other owners only after
# this time.
JOIN_DELAY = timedelta(seconds=2)
# A holder that reaches a smaller share of the owners releases its claim.
MIN_REACHABLE_SHARE = 0.5
# After a process released its claim because it reached too few owners, it does
# not read the claim for longer than another process needs to take it over.
HANDOVER_PAUSE = timedelta(seconds=5)
# A holder whose term was ended by an outage or a restore of the store resumes
# within this time, far earlier than a successor without its map may grant.
RESUME_LIMIT = timedelta(seconds=8)
# Without a restore, a store states this history.
INITIAL_HISTORY = state_store.History(1)
RESUME_POLL = timedelta(milliseconds=200)
# At 260 requests/s the sample holds about 750 requests, 50 for each owner.
LOAD_HALF_LIFE = timedelta(seconds=2)


class KeyCoordinator:
    """Watches the claim of one pool, and grants its keys while holding it.

    ``address`` is the address to which other processes report keys and
    loads. ``capacity`` returns the relative capacity of an upstream.
    ``report_age`` returns the time since the last report of a pool's
    coordinator, ``fleet_size`` the number of processes, and ``known_map``
    the newest map of a pool that this process knows. ``announce`` and
    ``request_step_down`` send datagrams. ``longest_hold`` is the longest
    hold that an upstream accepts. ``cpu_cores`` is the VM's share of CPU
    cores, and ``link_bytes_per_s`` the bandwidth of its network link.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        identity: str,
        store: state_store.StateStore,
        calls: key_grants.LeaseCalls,
        upstreams: registry_module.Registry,
        address: str,
        capacity: Callable[[registry_module.Upstream], float],
        report_age: Callable[[ids.PoolName, timedelta], timedelta],
        fleet_size: Callable[[], int],
        known_map: Callable[[ids.PoolName], key_map.KeyMap | None],
        announce: Callable[[fleet_messages.Announcement], None],
        request_step_down: Callable[[str, fleet_messages.StepDown], None],
        longest_hold: timedelta,
        cpu_cores: float,
        link_bytes_per_s: float,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._store = store
        self._upstreams = upstreams
        self._address_text = address
        self._capacity = capacity
        self._report_age = report_age
        self._announce = announce
        self._request_step_down = request_step_down
        self._longest_hold = longest_hold
        self._fleet_size = fleet_size
        self._known_map = known_map
        self._clock = clock
        self._watch = claim_watch.ClaimWatch(
            cpu_cores=cpu_cores,
            link_bytes_per_s=link_bytes_per_s,
            started=clock.elapsed(),
            rng=rng,
        )
        self._claim_key = state_store.Key(
            table=state_store.Table.CLAIMS, key=pool
        )
        self._map_key = state_store.Key(
            table=state_store.Table.ASSIGNMENTS, key=pool
        )
        self._owners = key_coordinator_state.OwnerStatus(upstreams)
        self._releaser = key_release.Releaser(
            pool=pool,
            calls=calls,
            owners=self._owners,
            announce=announce,
            clock=clock,
        )
        self._renewer = key_renewal.Renewer(
            pool=pool,
            calls=calls,
            owners=self._owners,
            longest_hold=longest_hold,
            clock=clock,
        )
        self._first_seen: dict[key_map.Owner, timedelta] = {}
        self._history: state_store.History | None = None
        self._history_seen_at = timedelta()
        self._saw_restore = False
        self._stopped = False
        self._term: key_coordinator_state.ClaimTerm | None = None
        self._last_term: key_coordinator_state.ClaimTerm | None = None

    @property
    def holds_claim(self) -> bool:
        return self._term is not None

    def count(self, keys: Iterable[int], weight: float) -> None:
        """Add requests to the load sample while this process holds the claim.

        Each key stands for ``weight`` requests.
        """
        if self._term is not None:
            for key in keys:
                self._term.load.count(key, weight)

    async def run(self) -> None:
        """Watch the claim, take it over when it is stale and hold it.

        Returns after ``stop``.
        """
        while not self._stopped:
            resumable = self._resumable_term(self._clock.elapsed())
            await aio.sleep(
                self._watch.next_delay() if resumable is None else RESUME_POLL
            )
            now = self._clock.elapsed()
            report_age = self._report_age(self._pool, now)
            if resumable is None and not self._watch.should_read(
                now, report_age, self._fleet_size()
            ):
                continue
            try:
                term = await self._try_acquire()
            except errors.StoreUnavailable as exc:
                decision_log.note('claim-unread', detail=str(exc))
                continue
            except errors.ProtocolError as exc:
                decision_log.note('claim-unreadable', detail=str(exc))
                continue
            if term is not None:
                await self._hold_claim(term)

    def fresh_map_version(self) -> int | None:
        """Return the version of the last announced map.

        A version that is not announced yet would make every process read
        the map. Returns None without a recently renewed claim.
        """
        term = self._term
        if term is None:
            return None
        since = self._clock.elapsed() - term.renewed_at
        return (
            None
            if since > key_renewal.STORE_SUSPECT_TIMEOUT
            else term.announced_version
        )

    def step_down(
        self, request: fleet_messages.StepDown
    ) -> fleet_messages.SteppedDown | None:
        """Stop granting for a successor; return what may still be held.

        Returns None if the request is outdated, or if the remaining holds
        are unknown: this process may have restarted since it granted keys,
        a grant is being sent or may be held back, or holds that an earlier
        holder granted may still last. The successor repeats its request.
        """
        term = self._term or self._last_term
        if term is None or request.claim_version <= term.claim_version:
            return None
        term.end_reason = term.end_reason or 'a successor took over the claim'
        term.is_resumable = False
        now = self._clock.elapsed()
        bounds = term.holds.bounds(now)
        if bounds is None:
            return None
        return fleet_messages.SteppedDown(
            pool=self._pool,
            claim_version=request.claim_version,
            bounds=[
                fleet_messages.HoldBound(upstream_id=name, left=end - now)
                for name, end in bounds.items()
            ],
        )

    def predecessor_stepped_down(
        self, answer: fleet_messages.SteppedDown
    ) -> None:
        """Use the reported bounds on the predecessor's holds."""
        term = self._term
        if term is None or answer.claim_version != term.acquired_version:
            return
        if not term.predecessor:
            # The term asked nobody. A resumed one inherits this process's own
            # holds, which a reply to its earlier term does not cover.
            return
        now = self._clock.elapsed()
        term.holds.set_predecessor_bounds(
            {bound.upstream_id: now + bound.left for bound in answer.bounds}
        )
        decision_log.note(
            'predecessor-stopped', pool=self._pool, count=len(answer.bounds)
        )

    async def stop(self) -> None:
        """Release the claim, so that another process can take it at once."""
        self._stopped = True
        term = self._term
        if term is not None:
            await self._release_claim(term, 'stopping')

    async def _try_acquire(self) -> key_coordinator_state.ClaimTerm | None:
        asked = self._clock.elapsed()
        reading = await self._store.read(state_store.Table.CLAIMS)
        now = self._clock.elapsed()
        row = _find(reading, self._pool)
        claim = key_claims.decode(row)
        history = state_store.history_of(reading.version)
        self._record_history(history, now)
        proven = self._is_claim_proven(claim, history)
        resumed = self._resumable_term(now)
        superseded = resumed is not None and resumed.supersedes(claim, history)
        if resumed is not None and not resumed.may_resume(claim, history):
            resumed = None
        if resumed is not None and not resumed.was_sole(now):
            # A successor that the restore undid may be running. It resumes
            # first, or has stopped to send first grants by then.
            if now < self._history_seen_at + key_claims.STALE_TIMEOUT:
                return None
        if resumed is not None:
            acquired = resumed.acquired_version
        elif claim is not None and superseded:
            # Neither map is complete. Its holder stops with its next write.
            acquired = claim.acquired
            proven = False
        elif not proven:
            # Its holder may still be granting, and resumes.
            takeover_at = self._history_seen_at + key_claims.STALE_TIMEOUT
            if now < takeover_at:
                self._watch.defer(takeover_at)
                return None
            acquired = 0
        elif key_claims.is_stale(claim, self._identity, reading.clock):
            acquired = key_claims.last_acquisition(claim, row)
        else:
            self._watch.record_claim(claim, reading.clock, now)
            return None
        sent = self._clock.elapsed()
        renewed_at = sent + reading.clock - asked
        result = await self._store.write(
            expected={self._claim_key: row.version if row else 0},
            puts={
                self._claim_key: self._encode_claim(
                    renewed_at, history, acquired
                )
            },
        )
        if isinstance(result, state_store.Conflict):
            return None
        taken = self._clock.elapsed()
        maps = await self._store.read(state_store.Table.ASSIGNMENTS)
        if {
            state_store.history_of(result.version),
            state_store.history_of(maps.version),
        } != {history}:
            decision_log.note(
                'claim-not-taken',
                pool=self._pool,
                detail='the store was restored meanwhile',
            )
            return None
        keys = _map_of(maps, self._pool)
        proven = proven and self._is_map_proven(keys, history)
        age = timedelta()
        if resumed is not None:
            keys = resumed.keys
        if resumed is not None and resumed.was_sole(now):
            inherited = min(
                resumed.holds.last_end(),
                hold_bounds.inherited_end(taken, self._longest_hold),
            )
        else:
            # An earlier holder may grant the longest hold until its claim is
            # no longer valid. An unproven claim does not show its renewal,
            # and a resumed term may have had a successor that was lost.
            if proven and resumed is None:
                age = key_claims.renewal_age(claim, reading.clock)
            stopped = taken + key_claims.CLAIM_VALIDITY - age
            inherited = hold_bounds.inherited_end(stopped, self._longest_hold)
        if proven and keys.version == state_store.ABSENT:
            inherited = timedelta()
        if not proven:
            keys = self._newest_known(keys)
        term = key_coordinator_state.ClaimTerm(
            address=self._address_text,
            history=history,
            claim_version=result.version,
            acquired_version=result.version,
            map_row_version=_version_of(maps, self._pool),
            renewed_at=sent,
            store_clock_offset=result.clock - sent,
            keys=keys,
            holds=hold_bounds.HoldBounds(inherited=inherited),
            fence=keys.next_fence,
        )
        if resumed is not None:
            term.acquired_version = resumed.acquired_version
            term.fence = resumed.fence
        elif not proven:
            term.map_proven_at = inherited
            term.stated_acquired = acquired
            floor = history * key_coordinator_state.FENCES_PER_HISTORY
            term.fence = max(term.fence, floor)
        elif keys.coordinator != self._address_text:
            term.predecessor = keys.coordinator
        decision_log.note(
            'claim-taken',
            pool=self._pool,
            epoch=result.version,
            map_version=keys.version,
            state=_map_state(resumed is not None, proven),
            detail=f'{len(keys.ranges)} ranges, from '
            f'{claim.holder if claim else "nobody"}, renewed '
            f'{age.total_seconds():.3f} s before; inherited holds end in '
            f'{max(inherited - taken, timedelta()).total_seconds():.3f} s',
        )
        return term

    def _resumable_term(
        self, now: timedelta
    ) -> key_coordinator_state.ClaimTerm | None:
        """Return the last term if it may go on after a restore."""
        last = self._last_term
        if last is None or not last.is_resumable:
            return None
        return last if now - last.renewed_at < RESUME_LIMIT else None

    def _record_history(
        self, history: state_store.History, now: timedelta
    ) -> None:
        """Record since when this process knows of the store's history."""
        if history == self._history:
            return
        self._saw_restore = self._history is not None
        self._history = history
        self._history_seen_at = now

    def _is_claim_proven(
        self, claim: key_claims.Claim | None, history: state_store.History
    ) -> bool:
        """Return whether the store cannot have lost a later claim."""
        if claim is None:
            return not self._may_have_lost_rows(history)
        return claim.is_current(history)

    def _is_map_proven(
        self, keys: key_map.KeyMap, history: state_store.History
    ) -> bool:
        """Return whether the store cannot have lost a later map."""
        if keys.version == state_store.ABSENT:
            return not self._may_have_lost_rows(history)
        return keys.is_current(history)

    def _may_have_lost_rows(self, history: state_store.History) -> bool:
        """Return whether a missing row may have been lost by a restore."""
        return self._saw_restore or history > INITIAL_HISTORY

    def _newest_known(self, stored: key_map.KeyMap) -> key_map.KeyMap:
        known = self._known_map(self._pool)
        if known is None or known.version < stored.version:
            return stored
        return known

    def _encode_claim(
        self,
        renewed_at: timedelta,
        history: state_store.History,
        acquired: int,
    ) -> bytes:
        claim = key_claims.Claim(
            holder=self._identity,
            renewed_at=renewed_at,
            history=history,
            acquired=acquired,
        )
        return claim.encode()

    async def _hold_claim(self, term: key_coordinator_state.ClaimTerm) -> None:
        self._term = term
        writer = await aio.spawn(self._write_loop(term))
        planned = rebalanced = decayed = self._clock.elapsed()
        step_down_due = planned
        try:
            while term.end_reason is None and not self._stopped:
                now = self._clock.elapsed()
                if not term.is_valid(now):
                    term.end_reason = 'the claim was not renewed in time'
                    term.is_resumable = True
                    break
                if now >= step_down_due and term.holds.needs_predecessor(now):
                    self._ask_predecessor(term)
                    step_down_due = now + key_claims.STEP_DOWN_INTERVAL
                if term.fences_reserved:
                    await self._renewer.renew_due(term, now)
                if term.fences_reserved and now - planned > PLAN_INTERVAL:
                    rebalance = now - rebalanced > REBALANCE_INTERVAL
                    await self._start_moves(term, now, rebalance)
                    rebalanced = now if rebalance else rebalanced
                    planned = now
                if now - decayed > LOAD_HALF_LIFE:
                    term.load.decay(0.5)
                    decayed = now
                await aio.sleep(LOOP_INTERVAL)
        finally:
            term.end_reason = term.end_reason or 'stopped'
            self._term = None
            self._keep_last(term)
            decision_log.note(
                'claim-lost', pool=self._pool, detail=term.end_reason
            )
            await writer.cancel()
        await aio.spawn(self._renewer.settle(term))

    def _keep_last(self, term: key_coordinator_state.ClaimTerm) -> None:
        """Keep a term that has ended, with which this process may resume."""
        last = self._last_term
        if last is not None and term.only_resumes(last):
            last.is_resumable = term.is_resumable
        else:
            self._last_term = term

    def _ask_predecessor(self, term: key_coordinator_state.ClaimTerm) -> None:
        if term.predecessor:
            request = fleet_messages.StepDown(
                pool=self._pool, claim_version=term.acquired_version
            )
            self._request_step_down(term.predecessor, request)

    # Writes to the store

    async def _write_loop(self, term: key_coordinator_state.ClaimTerm) -> None:
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
                await aio.sleep(LOOP_INTERVAL / 4)
                continue
            try:
                await self._write(term, ready)
            except errors.StoreUnavailable as exc:
                term.write_unconfirmed = True
                decision_log.note(
                    'claim-write-unanswered', pool=self._pool, detail=str(exc)
                )
                await aio.sleep(LOOP_INTERVAL * 2)
            except errors.ProtocolError as exc:
                term.end_reason = str(exc)

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
        keys = term.keys
        map_due = (
            bool(ready) or term.needs_fences() or not term.fences_reserved
        )
        changed = (
            map_due and not term.write_unconfirmed and term.is_map_proven(sent)
        )
        if changed:
            keys = term.next_map(ready)
        expected = {self._claim_key: term.claim_version}
        puts = {
            self._claim_key: self._encode_claim(
                sent + term.store_clock_offset,
                term.history,
                term.acquisition(sent),
            )
        }
        if changed:
            expected[self._map_key] = term.map_row_version
            puts[self._map_key] = keys.encode()
        result = await self._store.write(expected=expected, puts=puts)
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
        maps = await self._store.read(state_store.Table.ASSIGNMENTS)
        claims = await self._store.read(state_store.Table.CLAIMS)
        if state_store.history_of(claims.version) != term.history:
            # The next write finds this out.
            return
        row = _find(claims, self._pool)
        if row is None or row.value is None:
            term.end_reason = 'the row of the claim was removed'
            return
        claim = key_claims.decode(row)
        if claim is None or claim.holder != self._identity:
            term.end_reason = 'another process took over the claim'
            return
        term.claim_version = row.version
        term.write_unconfirmed = False
        keys = _map_of(maps, self._pool)
        if keys.history != term.history:
            # It is not this holder's map, which has to be written first.
            term.expect_other_map(_version_of(maps, self._pool))
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
                address=self._address_text,
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

    async def _release_claim(
        self, term: key_coordinator_state.ClaimTerm, why: str
    ) -> None:
        term.end_reason = why
        try:
            await self._store.write(
                expected={self._claim_key: term.claim_version},
                puts={
                    self._claim_key: self._encode_claim(
                        timedelta(),
                        term.history,
                        term.acquisition(self._clock.elapsed()),
                    )
                },
            )
        except errors.StoreUnavailable as exc:
            decision_log.note('claim-not-released', detail=str(exc))

    # Moves

    async def _start_moves(
        self,
        term: key_coordinator_state.ClaimTerm,
        now: timedelta,
        rebalance: bool,
    ) -> None:
        lost = {
            o
            for o, since in term.failing_since.items()
            if now - since > OWNER_LOST_TIMEOUT
        }
        owners = set(term.owners())
        reachable = len(owners - lost)
        if len(owners) > 1 and reachable < MIN_REACHABLE_SHARE * len(owners):
            self._watch.defer(now + HANDOVER_PAUSE)
            await self._release_claim(term, 'most owners are unreachable')
            return
        candidates = self._candidates(term, now, owners, lost)
        if candidates is None:
            return
        if not (rebalance or self._needs_plan(term, candidates)):
            return
        # Ranges that are moving count as owned by their targets.
        fixed = [
            key_map.KeyRange(
                first=t.move.source.first,
                last=t.move.source.last,
                owner=t.move.target,
                fence=t.move.source.fence,
            )
            for t in term.transfers
        ]
        moves = key_plan.plan(
            term.keys.replace(fixed, next_fence=term.keys.next_fence),
            candidates,
            term.load,
            fixed=fixed,
            rebalance=rebalance and len(fixed) < MAX_TRANSFERS,
        )
        for move in moves:
            transfer = key_coordinator_state.Transfer(move=move)
            term.transfers.append(transfer)
            await aio.spawn(self._releaser.release_source(term, transfer))

    def _needs_plan(
        self,
        term: key_coordinator_state.ClaimTerm,
        candidates: list[key_plan.Candidate],
    ) -> bool:
        """Return whether keys need an owner, or a candidate has no keys."""
        eligible = {candidate.owner for candidate in candidates}
        moving = {t.move.target for t in term.transfers}
        owners = {r.owner for r in term.keys.ranges}
        return bool(owners - eligible or eligible - owners - moving)

    def _candidates(
        self,
        term: key_coordinator_state.ClaimTerm,
        now: timedelta,
        owners: set[key_map.Owner],
        lost: set[key_map.Owner],
    ) -> list[key_plan.Candidate] | None:
        """Return the upstreams that may own keys.

        Returns None while further upstreams are expected to register.
        """
        found = []
        earliest = now
        for upstream in self._upstreams.remaining(self._pool, now):
            owner = key_coordinator_state.owner_of(upstream)
            seen = self._first_seen.setdefault(owner, now)
            earliest = min(earliest, seen)
            if owner in lost:
                continue
            found.append((owner, seen, upstream))
        if not owners and now - earliest < FIRST_REGISTRATIONS_WAIT:
            return None
        orphaned = any(
            r.owner is None
            or r.owner in lost
            or self._owners.has_left(r.owner, now)
            for r in term.keys.ranges
        )
        return [
            key_plan.Candidate(owner=owner, capacity=self._capacity(upstream))
            for owner, seen, upstream in found
            if owner in owners or orphaned or now - seen > JOIN_DELAY
        ]


def _map_state(resumed: bool, proven: bool) -> str:
    if resumed:
        return 'resumed'
    return 'proven' if proven else 'unproven'


def _history_of(result: state_store.WriteResult) -> state_store.History:
    match result:
        case state_store.Conflict():
            return result.history
        case state_store.Committed():
            return state_store.history_of(result.version)


def _find(reading: state_store.Reading, key: str) -> state_store.Row | None:
    return next((row for row in reading.rows if row.key == key), None)


def _version_of(reading: state_store.Reading, key: str) -> int:
    row = _find(reading, key)
    return state_store.ABSENT if row is None else row.version


def _map_of(reading: state_store.Reading, pool: str) -> key_map.KeyMap:
    row = _find(reading, pool)
    if row is None or row.value is None:
        return key_map.empty()
    return key_map.decode(row.value, version=row.version)


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

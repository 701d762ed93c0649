"""Grants the keys of one pool while this process holds the pool's claim.

The claim is a row of the store that its holder renews; any process takes a
stale one over. That is safe at any moment, because a successor renews the
recorded owners under their fences. Only moving keys off an owner waits:
until the owner confirmed a release, or until every hold that this process
or an earlier holder may have granted has ended.

All writes go through one task, so that each is conditional on the version
that the one before left. A write without an answer is followed by a
renewal of the claim: it either invalidates the lost write or reveals that
it was applied.
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

# An eighth of the time between two renewals of an owner.
TICK = timedelta(milliseconds=100)
# As often as processes report what they see.
PLAN_EVERY = timedelta(milliseconds=300)
# A sample of the load has to show the last moves before the next ones.
RELIEF_EVERY = timedelta(milliseconds=700)
# Balancing waits while this many moves are under way.
MAX_TRANSFERS = 6
# After the first upstream registered, the others follow within a beat.
GATHER = timedelta(seconds=1.2)
# An owner that answers no grant for this long is taken for lost.
LOST_AFTER = timedelta(seconds=1)
# Upstreams start slowly; keys of others move to a new one after this time.
JOIN_DELAY = timedelta(seconds=2)
# A holder that reaches less than this share of the owners hands over.
REACHABLE_SHARE = 0.5
# Longer than another process needs to take the claim over.
ABSTAIN = timedelta(seconds=5)
# At 260 requests/s this leaves some 750 in the sample, 50 for an owner.
LOAD_HALF_LIFE = timedelta(seconds=2)


class KeyCoordinator:
    """Follows and, when it is this process's turn, holds one pool's claim.

    ``capacity`` tells an upstream's relative capacity. ``address`` is
    where other processes report what they see of the load. ``silence``
    tells how long nothing was heard of a pool's coordinator, and
    ``fleet_size`` how many processes there are. ``announce`` and
    ``ask_to_stand_down`` send datagrams. ``processor`` is what the VM has
    in cores.
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
        silence: Callable[[ids.PoolName, timedelta], timedelta],
        fleet_size: Callable[[], int],
        announce: Callable[
            [fleet_messages.MapChange | fleet_messages.Moving], None
        ],
        ask_to_stand_down: Callable[[str, fleet_messages.StandDown], None],
        longest_hold: timedelta,
        processor: float,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._store = store
        self._upstreams = upstreams
        self._address_text = address
        self._capacity = capacity
        self._silence = silence
        self._announce = announce
        self._ask_to_stand_down = ask_to_stand_down
        self._longest_hold = longest_hold
        self._fleet_size = fleet_size
        self._clock = clock
        self._watch = claim_watch.ClaimWatch(
            processor=processor, started=clock.elapsed(), rng=rng
        )
        self._claim_key = state_store.Key(
            table=state_store.Table.CLAIMS, key=pool
        )
        self._map_key = state_store.Key(
            table=state_store.Table.ASSIGNMENTS, key=pool
        )
        self._owners = key_coordinator_state.OwnerView(upstreams)
        self._mover = key_release.Releaser(
            pool=pool,
            calls=calls,
            owners=self._owners,
            announce=announce,
            may_send=self._may_send,
            clock=clock,
        )
        self._renewer = key_renewal.Renewer(
            pool=pool,
            calls=calls,
            owners=self._owners,
            may_send=self._may_send,
            longest_hold=longest_hold,
            clock=clock,
        )
        self._first_seen: dict[key_map.Owner, timedelta] = {}
        self._stopped = False
        self._tenure: key_coordinator_state.Tenure | None = None
        self._last_tenure: key_coordinator_state.Tenure | None = None

    @property
    def holds_claim(self) -> bool:
        return self._tenure is not None

    def count(self, keys: Iterable[int], weight: float) -> None:
        """Count requests, each for ``weight`` ones, while it holds."""
        if self._tenure is not None:
            for key in keys:
                self._tenure.load.count(key, weight)

    async def run(self) -> None:
        """Follow and hold the claim until ``stop``."""
        while not self._stopped:
            await aio.sleep(self._watch.pause())
            now = self._clock.elapsed()
            silence = self._silence(self._pool, now)
            if not self._watch.is_due(now, silence, self._fleet_size()):
                continue
            try:
                tenure = await self._try_take()
            except errors.StoreUnavailable as exc:
                decision_log.note('claim-unread', detail=str(exc))
                continue
            except errors.ProtocolError as exc:
                decision_log.note('claim-unreadable', detail=str(exc))
                continue
            if tenure is not None:
                await self._hold(tenure)

    def fresh_map_version(self) -> int | None:
        """Return the announced map's version; None while in doubt.

        A version that is not announced yet would make every process read
        the map.
        """
        tenure = self._tenure
        if tenure is None:
            return None
        since = self._clock.elapsed() - tenure.renewed
        return None if since > key_renewal.STORE_DOUBT else tenure.announced

    def stand_down(
        self, request: fleet_messages.StandDown
    ) -> fleet_messages.StoodDown | None:
        """Stop granting for a successor; returns what may still be held.

        None without a tenure: the process may have restarted since it
        granted keys.
        """
        tenure = self._tenure or self._last_tenure
        if tenure is None or request.claim_version <= tenure.claim_version:
            return None
        tenure.lost = tenure.lost or 'a successor took the claim'
        now = self._clock.elapsed()
        bounds = tenure.book.bounds(now)
        if bounds is None:
            return None
        return fleet_messages.StoodDown(
            pool=self._pool,
            claim_version=request.claim_version,
            bounds=[
                fleet_messages.HoldBound(upstream_id=name, left=end - now)
                for name, end in bounds.items()
            ],
        )

    def predecessor_stood_down(self, answer: fleet_messages.StoodDown) -> None:
        """Replace the bound of a predecessor that may be anywhere."""
        tenure = self._tenure
        if tenure is None or answer.claim_version != tenure.taken_version:
            return
        now = self._clock.elapsed()
        tenure.book.predecessor_stopped(
            {bound.upstream_id: now + bound.left for bound in answer.bounds}
        )
        decision_log.note(
            'predecessor-stopped', pool=self._pool, count=len(answer.bounds)
        )

    async def stop(self) -> None:
        """Give the claim up, so that another process takes it at once."""
        self._stopped = True
        tenure = self._tenure
        if tenure is not None:
            await self._hand_over(tenure, 'stopping')

    async def _try_take(self) -> key_coordinator_state.Tenure | None:
        reading = await self._store.read(state_store.Table.CLAIMS)
        row = _find(reading, self._pool)
        claim = key_claims.decode(row)
        if not key_claims.is_stale(claim, self._identity, reading.clock):
            self._watch.saw(claim, reading.clock, self._clock.elapsed())
            return None
        sent = self._clock.elapsed()
        result = await self._store.write(
            expected={self._claim_key: row.version if row else 0},
            puts={self._claim_key: self._claim(reading.clock)},
        )
        if isinstance(result, state_store.Conflict):
            return None
        taken = self._clock.elapsed()
        maps = await self._store.read(state_store.Table.ASSIGNMENTS)
        keys = _map_of(maps, self._pool)
        # What an earlier holder may still send, and the longest hold.
        age = key_claims.renewal_age(claim, reading.clock)
        stopped = taken + key_claims.CLAIM_VALID - age
        inherited = key_grants.hold_end(stopped, self._longest_hold)
        if keys.version == state_store.ABSENT:
            inherited = timedelta()
        tenure = key_coordinator_state.Tenure(
            address=self._address_text,
            claim_version=result.version,
            taken_version=result.version,
            renewed=sent,
            store_clock=result.clock - taken,
            keys=keys,
            book=key_grants.HoldBook(inherited=inherited),
            fence=keys.next_fence,
        )
        if keys.coordinator and keys.coordinator != self._address_text:
            self._ask_to_stand_down(
                keys.coordinator,
                fleet_messages.StandDown(
                    pool=self._pool, claim_version=result.version
                ),
            )
        decision_log.note(
            'claim-taken',
            pool=self._pool,
            epoch=result.version,
            map_version=keys.version,
            detail=f'{len(keys.ranges)} ranges',
        )
        return tenure

    def _claim(self, beat: timedelta) -> bytes:
        claim = key_claims.Claim(holder=self._identity, beat=beat)
        return claim.encode()

    async def _hold(self, tenure: key_coordinator_state.Tenure) -> None:
        self._tenure = tenure
        writer = await aio.spawn(self._write_loop(tenure))
        planned = relieved = decayed = self._clock.elapsed()
        try:
            while tenure.lost is None and not self._stopped:
                now = self._clock.elapsed()
                if now - tenure.renewed > key_claims.CLAIM_VALID:
                    tenure.lost = 'not renewed in time'
                    break
                if tenure.reserved:
                    await self._renewer.renew_due(tenure, now)
                if tenure.reserved and now - planned > PLAN_EVERY:
                    relieve = now - relieved > RELIEF_EVERY
                    await self._start_moves(tenure, now, relieve)
                    relieved = now if relieve else relieved
                    planned = now
                if now - decayed > LOAD_HALF_LIFE:
                    tenure.load.decay(0.5)
                    decayed = now
                await aio.sleep(TICK)
        finally:
            tenure.lost = tenure.lost or 'stopped'
            self._tenure = None
            self._last_tenure = tenure
            decision_log.note(
                'claim-lost', pool=self._pool, detail=tenure.lost
            )
            await writer.cancel()

    def _may_send(self, tenure: key_coordinator_state.Tenure) -> bool:
        # The map names this process before it grants anything, so that a
        # successor knows whom to ask.
        valid = self._clock.elapsed() - tenure.renewed < key_claims.CLAIM_VALID
        return tenure.lost is None and tenure.reserved and valid

    # Writes to the store

    async def _write_loop(self, tenure: key_coordinator_state.Tenure) -> None:
        while tenure.lost is None:
            ready = [t for t in tenure.transfers if t.freed]
            since = self._clock.elapsed() - tenure.renewed
            if tenure.reserved and not ready and since < key_claims.BEAT:
                await aio.sleep(TICK / 4)
                continue
            try:
                await self._write(tenure, ready)
            except errors.StoreUnavailable as exc:
                tenure.doubtful = True
                decision_log.note(
                    'claim-write-unanswered', pool=self._pool, detail=str(exc)
                )
                await aio.sleep(TICK * 2)
            except errors.ProtocolError as exc:
                tenure.lost = str(exc)

    async def _write(
        self,
        tenure: key_coordinator_state.Tenure,
        ready: list[key_coordinator_state.Transfer],
    ) -> None:
        """Renew the claim, and write the map if it changes.

        The first write stores a higher limit for fences: those below the
        old one may have been used by another holder.
        """
        sent = self._clock.elapsed()
        keys = tenure.keys
        wanted = bool(ready) or tenure.needs_fences() or not tenure.reserved
        changed = wanted and not tenure.doubtful
        if changed:
            keys = tenure.next_map(ready)
        expected = {self._claim_key: tenure.claim_version}
        puts = {self._claim_key: self._claim(sent + tenure.store_clock)}
        if changed:
            expected[self._map_key] = keys.version
            puts[self._map_key] = keys.encode()
        result = await self._store.write(expected=expected, puts=puts)
        if isinstance(result, state_store.Conflict):
            await self._reread(tenure)
            return
        tenure.doubtful = False
        tenure.claim_version = result.version
        tenure.renewed = sent
        tenure.store_clock = result.clock - self._clock.elapsed()
        if changed:
            base = tenure.keys.version
            self._adopt(tenure, keys.at_version(result.version))
            await self._renewer.grant_moved(tenure, ready)
            self._announce(
                fleet_messages.MapChange(
                    pool=self._pool,
                    base=base,
                    version=result.version,
                    ranges=[
                        held
                        for t in ready
                        for held in _within(tenure.keys, t.move.source)
                    ],
                )
            )
            tenure.announced = result.version

    async def _reread(self, tenure: key_coordinator_state.Tenure) -> None:
        """Learn what became of an unanswered write, or who took over."""
        maps = await self._store.read(state_store.Table.ASSIGNMENTS)
        claims = await self._store.read(state_store.Table.CLAIMS)
        row = _find(claims, self._pool)
        if row is None or row.value is None:
            tenure.lost = 'the claim is gone'
            return
        claim = key_claims.decode(row)
        if claim is None or claim.holder != self._identity:
            tenure.lost = 'another process took the claim'
            return
        tenure.claim_version = row.version
        tenure.doubtful = False
        self._adopt(tenure, _map_of(maps, self._pool))
        tenure.announced = tenure.keys.version

    def _adopt(
        self, tenure: key_coordinator_state.Tenure, keys: key_map.KeyMap
    ) -> None:
        for transfer in tenure.adopt(keys):
            source = transfer.move.source
            decision_log.note(
                'keys-moved',
                pool=self._pool,
                upstream=transfer.move.target.upstream_id,
                epoch=keys.find(source.first).fence,
                map_version=keys.version,
                detail=f'{source.first}-{source.last} from {_name(source)}'
                f', handover {transfer.handover is not None}',
            )

    async def _hand_over(
        self, tenure: key_coordinator_state.Tenure, why: str
    ) -> None:
        tenure.lost = why
        try:
            await self._store.write(
                expected={self._claim_key: tenure.claim_version},
                puts={self._claim_key: self._claim(timedelta())},
            )
        except errors.StoreUnavailable as exc:
            decision_log.note('claim-not-released', detail=str(exc))

    # Moves

    async def _start_moves(
        self,
        tenure: key_coordinator_state.Tenure,
        now: timedelta,
        relieve: bool,
    ) -> None:
        lost = {
            o
            for o, since in tenure.failing.items()
            if now - since > LOST_AFTER
        }
        owners = tenure.owners()
        reachable = len(owners - lost)
        if len(owners) > 1 and reachable < REACHABLE_SHARE * len(owners):
            self._watch.abstain(now + ABSTAIN)
            await self._hand_over(tenure, 'most owners are unreachable')
            return
        candidates = self._candidates(tenure, now, owners, lost)
        if candidates is None:
            return
        if not (relieve or self._is_due(tenure, candidates)):
            return
        # Ranges under way count as their targets' already.
        fixed = [
            key_map.KeyRange(
                first=t.move.source.first,
                last=t.move.source.last,
                owner=t.move.target,
                fence=t.move.source.fence,
            )
            for t in tenure.transfers
        ]
        moves = key_plan.plan(
            tenure.keys.replace(fixed, next_fence=tenure.keys.next_fence),
            candidates,
            tenure.load,
            fixed=fixed,
            relieve=relieve and len(fixed) < MAX_TRANSFERS,
        )
        for move in moves:
            transfer = key_coordinator_state.Transfer(move=move)
            tenure.transfers.append(transfer)
            await aio.spawn(self._mover.free(tenure, transfer))

    def _is_due(
        self,
        tenure: key_coordinator_state.Tenure,
        candidates: list[key_plan.Candidate],
    ) -> bool:
        """Return whether keys lack an owner, or a candidate keys."""
        able = {candidate.owner for candidate in candidates}
        moving = {t.move.target for t in tenure.transfers}
        owners = {r.owner for r in tenure.keys.ranges}
        return bool(owners - able or able - owners - moving)

    def _candidates(
        self,
        tenure: key_coordinator_state.Tenure,
        now: timedelta,
        owners: set[key_map.Owner],
        lost: set[key_map.Owner],
    ) -> list[key_plan.Candidate] | None:
        """Return who may own keys; None while more should register."""
        found = []
        youngest = now
        for upstream in self._upstreams.remaining(self._pool, now):
            owner = key_coordinator_state.owner_of(upstream)
            seen = self._first_seen.setdefault(owner, now)
            youngest = min(youngest, seen)
            if owner in lost:
                continue
            found.append((owner, seen, upstream))
        if not owners and now - youngest < GATHER:
            return None
        orphaned = any(
            r.owner is None
            or r.owner in lost
            or self._owners.has_left(r.owner, now)
            for r in tenure.keys.ranges
        )
        return [
            key_plan.Candidate(owner=owner, capacity=self._capacity(upstream))
            for owner, seen, upstream in found
            if owner in owners or orphaned or now - seen > JOIN_DELAY
        ]


def _find(reading: state_store.Reading, key: str) -> state_store.Row | None:
    return next((row for row in reading.rows if row.key == key), None)


def _map_of(reading: state_store.Reading, pool: str) -> key_map.KeyMap:
    row = _find(reading, pool)
    if row is None or row.value is None:
        return key_map.empty()
    return key_map.decode(row.value, version=row.version)


def _within(
    keys: key_map.KeyMap, source: key_map.KeyRange
) -> list[key_map.KeyRange]:
    """Return the parts of a map's ranges that a range covers."""
    return [
        held.piece(max(held.first, source.first), min(held.last, source.last))
        for held in keys.ranges
        if held.first <= source.last and held.last >= source.first
    ]


def _name(source: key_map.KeyRange) -> str:
    return source.owner.upstream_id if source.owner else 'nobody'

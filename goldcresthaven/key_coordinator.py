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
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import random

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import members
from goldcresthaven import registry as registry_module
from goldcresthaven import state_store

BEAT = timedelta(milliseconds=700)
# Two beats and a slow store's answer.
STALE_AFTER = timedelta(seconds=1.6)
# A holder stops granting this long after its last renewal was sent.
CLAIM_VALID = timedelta(seconds=4)
# A beat is by the holder's idea of the store's clock, which lags by the
# time of an answer, and its call may have been slow.
BEAT_ERROR = timedelta(seconds=1.2)
# The claim is read by every process that hears nothing of its holder.
POLL_EVERY = timedelta(milliseconds=800)
SILENCE = timedelta(seconds=1)
TICK = timedelta(milliseconds=100)
PLAN_EVERY = timedelta(milliseconds=300)
RELIEF_EVERY = timedelta(milliseconds=700)
# Balancing waits while this many moves are under way.
MAX_TRANSFERS = 6
# After the first upstream registered, the others follow within a beat.
GATHER = timedelta(seconds=1.2)
# An owner that answers no grant for this long is taken for lost.
LOST_AFTER = timedelta(seconds=1)
# Renewals fall due before the store could be declared away.
STORE_DOUBT = timedelta(seconds=1.6)
# Upstreams start slowly; keys of others move to a new one after this time.
JOIN_DELAY = timedelta(seconds=2)
# A holder that reaches less than this share of the owners hands over.
REACHABLE_SHARE = 0.5
ABSTAIN = timedelta(seconds=5)
# A grant is answered within milliseconds; routers wait no longer for it.
ANNOUNCE_WAIT = timedelta(milliseconds=40)
FENCE_BLOCK = 10000
LOAD_HALF_LIFE = timedelta(seconds=2)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Claim:
    """The claim's row; ``beat`` is by the store's clock."""

    holder: str
    beat: timedelta


@dataclass(kw_only=True)
class _Transfer:
    """A move under way; ``freed`` once its source holds the keys no more."""

    move: key_plan.Move
    freed: bool = False
    handover: str | None = None


@dataclass(kw_only=True)
class _Tenure:
    """State of one period in which this process holds the claim."""

    claim_version: int
    renewed: timedelta
    store_clock: timedelta
    keys: key_map.KeyMap
    book: key_grants.HoldBook
    fence: int
    since: timedelta
    load: key_plan.KeyLoad = field(default_factory=key_plan.KeyLoad)
    transfers: list[_Transfer] = field(default_factory=list)
    due: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    renewing: set[key_map.Owner] = field(default_factory=set)
    failing: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    handovers: dict[int, str] = field(default_factory=dict)
    doubtful: bool = False
    lost: str | None = None
    taken_version: int = 0
    granted: set[tuple[key_map.Owner, int]] = field(default_factory=set)
    reserved: bool = False

    def take_fence(self) -> int:
        self.fence += 1
        return self.fence


class KeyCoordinator:
    """Follows and, when it is this process's turn, holds one pool's claim.

    ``capacity`` tells an upstream's relative capacity. ``address`` is
    where other processes report what they see of the load. ``silence``
    tells how long nothing was heard of a pool's coordinator. ``announce``
    and ``ask_to_stand_down`` send datagrams.
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
        announce: Callable[
            [fleet_messages.MapChange | fleet_messages.Moving], None
        ],
        ask_to_stand_down: Callable[[str, fleet_messages.StandDown], None],
        longest_hold: timedelta,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._identity = identity
        self._store = store
        self._calls = calls
        self._upstreams = upstreams
        self._address_text = address
        self._capacity = capacity
        self._silence = silence
        self._announce = announce
        self._ask_to_stand_down = ask_to_stand_down
        self._longest_hold = longest_hold
        self._clock = clock
        self._rng = rng
        self._claim_key = state_store.Key(
            table=state_store.Table.CLAIMS, key=pool
        )
        self._map_key = state_store.Key(
            table=state_store.Table.ASSIGNMENTS, key=pool
        )
        self._abstain_until = timedelta()
        self._addresses: dict[key_map.Owner, members.Address] = {}
        self._first_seen: dict[key_map.Owner, timedelta] = {}
        self._stopped = False
        self._tenure: _Tenure | None = None
        self._last_tenure: _Tenure | None = None

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
            await aio.sleep(POLL_EVERY * self._rng.uniform(0.2, 1.0))
            now = self._clock.elapsed()
            heard = self._silence(self._pool, now) < SILENCE
            if heard or now < self._abstain_until:
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
        """Return the map's version; None while the claim is in doubt."""
        tenure = self._tenure
        if tenure is None:
            return None
        since = self._clock.elapsed() - tenure.renewed
        return None if since > STORE_DOUBT else tenure.keys.version

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
                fleet_messages.HoldBound(
                    upstream_id=owner.upstream_id, left=end - now
                )
                for owner, end in bounds.items()
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

    def is_stale(self, row: state_store.Row | None, clock: timedelta) -> bool:
        """Return whether a claim's row may be taken over."""
        claim = _decode_claim(row)
        if claim is None or claim.holder == self._identity:
            return True
        return clock - claim.beat > STALE_AFTER

    def _age(self, row: state_store.Row | None, clock: timedelta) -> timedelta:
        """Return how long ago the last holder has renewed at least.

        A holder counts its claim from then. Zero for one that gave its
        claim up: its last renewal is not known.
        """
        claim = _decode_claim(row)
        if claim is None or not claim.beat:
            return timedelta()
        return max(timedelta(), clock - claim.beat - BEAT_ERROR)

    async def _try_take(self) -> _Tenure | None:
        reading = await self._store.read(state_store.Table.CLAIMS)
        row = _find(reading, self._pool)
        if not self.is_stale(row, reading.clock):
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
        stopped = taken + CLAIM_VALID - self._age(row, reading.clock)
        inherited = key_grants.hold_end(stopped, self._longest_hold)
        if keys.version == state_store.ABSENT:
            inherited = timedelta()
        tenure = _Tenure(
            claim_version=result.version,
            renewed=sent,
            store_clock=result.clock - taken,
            keys=keys,
            book=key_grants.HoldBook(inherited=inherited),
            fence=keys.next_fence,
            since=taken,
        )
        if keys.coordinator and keys.coordinator != self._address_text:
            self._ask_to_stand_down(
                keys.coordinator,
                fleet_messages.StandDown(
                    pool=self._pool, claim_version=result.version
                ),
            )
        tenure.taken_version = result.version
        decision_log.note(
            'claim-taken',
            pool=self._pool,
            epoch=result.version,
            map_version=keys.version,
            detail=f'{len(keys.ranges)} ranges',
        )
        return tenure

    def _claim(self, beat: timedelta) -> bytes:
        return json.dumps(
            {'holder': self._identity, 'beat': beat.total_seconds()}
        ).encode()

    async def _hold(self, tenure: _Tenure) -> None:
        self._tenure = tenure
        writer = await aio.spawn(self._write_loop(tenure))
        planned = relieved = decayed = self._clock.elapsed()
        try:
            while tenure.lost is None and not self._stopped:
                now = self._clock.elapsed()
                if now - tenure.renewed > CLAIM_VALID:
                    tenure.lost = 'not renewed in time'
                    break
                if tenure.reserved:
                    await self._renew_due(tenure, now)
                if now - planned > PLAN_EVERY:
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

    def _may_send(self, tenure: _Tenure) -> bool:
        # The map names this process before it grants anything, so that a
        # successor knows whom to ask.
        valid = self._clock.elapsed() - tenure.renewed < CLAIM_VALID
        return tenure.lost is None and tenure.reserved and valid

    # Writes to the store

    async def _write_loop(self, tenure: _Tenure) -> None:
        while tenure.lost is None:
            ready = [t for t in tenure.transfers if t.freed]
            since = self._clock.elapsed() - tenure.renewed
            if tenure.reserved and not ready and since < BEAT:
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

    async def _write(self, tenure: _Tenure, ready: list[_Transfer]) -> None:
        """Renew the claim, and write the map if it changes.

        The first write stores a higher limit for fences: those below the
        old one may have been used by another holder.
        """
        sent = self._clock.elapsed()
        keys = tenure.keys
        low = tenure.fence + FENCE_BLOCK // 2 > keys.next_fence
        changed = (
            bool(ready) or low or not tenure.reserved
        ) and not tenure.doubtful
        if changed:
            keys = self._changed_map(tenure, ready)
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
            await self._grant_moved(tenure, ready)
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

    async def _grant_moved(
        self, tenure: _Tenure, moved: list[_Transfer]
    ) -> None:
        """Grant moved keys before their new owners are announced."""
        started = self._clock.elapsed()
        await self._renew_due(tenure, started)
        targets = {t.move.target for t in moved}
        while targets & tenure.renewing:
            if self._clock.elapsed() - started > ANNOUNCE_WAIT:
                break
            await aio.sleep(TICK / 50)

    def _changed_map(
        self, tenure: _Tenure, ready: list[_Transfer]
    ) -> key_map.KeyMap:
        changes = [
            key_map.KeyRange(
                first=t.move.source.first,
                last=t.move.source.last,
                owner=t.move.target,
                fence=tenure.take_fence(),
            )
            for t in ready
        ]
        for change, transfer in zip(changes, ready):
            source = transfer.move.source
            if source.owner is not None and source.owner == change.owner:
                tenure.book.raised(source.owner, source.fence, change.fence)
            else:
                tenure.book.moved(change.fence)
            if transfer.handover is not None:
                tenure.handovers[change.fence] = transfer.handover
        if not tenure.reserved:
            changes += self._raised_ranges(tenure)
        limit = tenure.fence + FENCE_BLOCK
        return tenure.keys.replace(
            changes, next_fence=limit, coordinator=self._address_text
        )

    def _raised_ranges(self, tenure: _Tenure) -> list[key_map.KeyRange]:
        """Return all owned ranges under new fences, for a new tenure.

        An owner that accepts its new fence refuses what an earlier holder
        of the claim may still send. Neighbours of one owner become one.
        """
        ranges: list[key_map.KeyRange] = []
        for held in tenure.keys.ranges:
            if held.owner is None:
                continue
            last = ranges[-1] if ranges else None
            adjacent = last is not None and last.last + 1 == held.first
            if last is not None and adjacent and last.owner == held.owner:
                ranges[-1] = last.piece(last.first, held.last)
                continue
            ranges.append(
                key_map.KeyRange(
                    first=held.first,
                    last=held.last,
                    owner=held.owner,
                    fence=tenure.take_fence(),
                )
            )
        # ``piece`` keeps the fence, so the joined range has the new one.
        return ranges

    async def _reread(self, tenure: _Tenure) -> None:
        """Learn what became of an unanswered write, or who took over."""
        maps = await self._store.read(state_store.Table.ASSIGNMENTS)
        claims = await self._store.read(state_store.Table.CLAIMS)
        row = _find(claims, self._pool)
        if row is None or row.value is None:
            tenure.lost = 'the claim is gone'
            return
        claim = _decode_claim(row)
        if claim is None or claim.holder != self._identity:
            tenure.lost = 'another process took the claim'
            return
        tenure.claim_version = row.version
        tenure.doubtful = False
        self._adopt(tenure, _map_of(maps, self._pool))

    def _adopt(self, tenure: _Tenure, keys: key_map.KeyMap) -> None:
        tenure.keys = keys
        tenure.reserved = (
            keys.coordinator == self._address_text
            and keys.next_fence > tenure.fence
        )
        for transfer in list(tenure.transfers):
            source = transfer.move.source
            held = keys.find(source.first)
            if transfer.freed and held.owner == transfer.move.target:
                tenure.transfers.remove(transfer)
                tenure.due.pop(transfer.move.target, None)
                decision_log.note(
                    'keys-moved',
                    pool=self._pool,
                    upstream=transfer.move.target.upstream_id,
                    epoch=held.fence,
                    map_version=keys.version,
                    detail=f'{source.first}-{source.last} from {_name(source)}'
                    f', handover {transfer.handover is not None}',
                )

    async def _hand_over(self, tenure: _Tenure, why: str) -> None:
        tenure.lost = why
        try:
            await self._store.write(
                expected={self._claim_key: tenure.claim_version},
                puts={self._claim_key: self._claim(timedelta())},
            )
        except errors.StoreUnavailable as exc:
            decision_log.note('claim-not-released', detail=str(exc))

    # Renewals

    async def _renew_due(self, tenure: _Tenure, now: timedelta) -> None:
        moving = [t.move.source for t in tenure.transfers]
        owners = {r.owner for r in tenure.keys.ranges if r.owner is not None}
        tenure.due = {o: t for o, t in tenure.due.items() if o in owners}
        for owner in owners:
            if owner in tenure.renewing or tenure.due.get(owner, now) > now:
                continue
            address = self._address(owner)
            if address is None or self._has_left(owner, now):
                continue
            ranges = [
                part
                for held in tenure.keys.owned_by(owner)
                for part in _without(held, moving)
            ]
            if not ranges:
                continue
            tenure.due[owner] = now + key_grants.RENEW_EVERY
            tenure.renewing.add(owner)
            await aio.spawn(self._renew(tenure, owner, address, ranges))

    def _address(self, owner: key_map.Owner) -> members.Address | None:
        known = self._upstreams.get(owner.upstream_id)
        if known is not None and known.incarnation == owner.incarnation:
            self._addresses[owner] = known.address
        return self._addresses.get(owner)

    def _has_left(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether the owner's life is known to end or have ended.

        Its address may then soon belong to another upstream.
        """
        known = self._upstreams.get(owner.upstream_id)
        if known is None or known.incarnation != owner.incarnation:
            return True
        return self._upstreams.departure(owner.upstream_id, now) is not None

    def _hold_time(self, tenure: _Tenure, now: timedelta) -> timedelta:
        """Return the hold to grant: long once the store may be away."""
        if now - tenure.renewed > STORE_DOUBT:
            return self._longest_hold
        return min(key_grants.HOLD, self._longest_hold)

    async def _renew(
        self,
        tenure: _Tenure,
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
        tenure: _Tenure,
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
        renewal = spot in tenure.granted
        tenure.granted.add(spot)
        result = await self._calls.grant(
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
        if result is key_grants.GrantResult.GRANTED:
            tenure.handovers.pop(key_range.fence, None)
            tenure.failing.pop(owner, None)
            tenure.book.answered(owner, key_range.fence)
            return True
        if result is key_grants.GrantResult.NO_ANSWER:
            tenure.book.unanswered(owner, key_range.fence, sent, hold)
        else:
            undo()
        if result in key_grants.NOT_SENT and not renewal:
            tenure.granted.discard(spot)
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

    def _refence(self, tenure: _Tenure, key_range: key_map.KeyRange) -> None:
        """Let a range's owner have it under a higher fence.

        A fence is granted once over a new connection: the next life of the
        upstream at the address must not get the fence of the one before.
        """
        under_way = [t.move.source for t in tenure.transfers]
        if key_range.owner is None or key_map.overlaps(key_range, under_way):
            return
        move = key_plan.Move(source=key_range, target=key_range.owner)
        tenure.transfers.append(_Transfer(move=move, freed=True))

    # Moves

    async def _start_moves(
        self, tenure: _Tenure, now: timedelta, relieve: bool
    ) -> None:
        lost = {
            o
            for o, since in tenure.failing.items()
            if now - since > LOST_AFTER
        }
        owners = {r.owner for r in tenure.keys.ranges if r.owner is not None}
        reachable = len(owners - lost)
        if len(owners) > 1 and reachable < REACHABLE_SHARE * len(owners):
            self._abstain_until = now + ABSTAIN
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
            transfer = _Transfer(move=move)
            tenure.transfers.append(transfer)
            await aio.spawn(self._free(tenure, transfer))

    def _is_due(
        self, tenure: _Tenure, candidates: list[key_plan.Candidate]
    ) -> bool:
        """Return whether keys lack an owner, or a candidate keys."""
        able = {candidate.owner for candidate in candidates}
        moving = {t.move.target for t in tenure.transfers}
        owners = {r.owner for r in tenure.keys.ranges}
        return bool(owners - able or able - owners - moving)

    def _candidates(
        self,
        tenure: _Tenure,
        now: timedelta,
        owners: set[key_map.Owner],
        lost: set[key_map.Owner],
    ) -> list[key_plan.Candidate] | None:
        """Return who may own keys; None while more should register."""
        found = []
        youngest = now
        for upstream in self._upstreams.usable(self._pool, now):
            owner = key_map.Owner(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
            )
            seen = self._first_seen.setdefault(owner, now)
            youngest = min(youngest, seen)
            if owner in lost:
                continue
            found.append((owner, seen, upstream))
        if not owners and now - youngest < GATHER:
            return None
        orphaned = any(
            r.owner is None or r.owner in lost or self._has_left(r.owner, now)
            for r in tenure.keys.ranges
        )
        return [
            key_plan.Candidate(owner=owner, capacity=self._capacity(upstream))
            for owner, seen, upstream in found
            if owner in owners or orphaned or now - seen > JOIN_DELAY
        ]

    async def _free(self, tenure: _Tenure, transfer: _Transfer) -> None:
        """Make sure that a move's source holds the keys no more."""
        source = transfer.move.source
        owner = source.owner
        if owner is not None:
            released = await self._release(tenure, source, owner)
            if released is not None:
                transfer.handover = released.handover
            elif tenure.lost is not None:
                return
        transfer.freed = True

    async def _release(
        self, tenure: _Tenure, source: key_map.KeyRange, owner: key_map.Owner
    ) -> key_grants.Released | None:
        """Return the owner's confirmation, or None when its hold is over."""
        while owner in tenure.renewing:
            await aio.sleep(TICK / 5)
        free_at = tenure.book.free_at(owner, source.fence)
        fence: int | None = None
        # A raised grant without an answer extends the wait, so there is
        # one at most.
        may_raise = True
        while tenure.lost is None:
            now = self._clock.elapsed()
            if now >= free_at:
                return None
            address = self._address(owner)
            if address is not None and self._may_send(tenure):
                if tenure.book.is_settled(owner, source.fence, now):
                    fence = fence or source.fence
                elif may_raise and self._is_registered(owner):
                    fence, end = await self._raise_fence(
                        tenure, source, owner, address
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
                        limit=key_grants.RELEASE_LIMIT,
                    )
                    if released is not None:
                        return released
            left = free_at - self._clock.elapsed()
            await aio.sleep(min(TICK * 3, left + TICK / 50))
        return None

    def _is_registered(self, owner: key_map.Owner) -> bool:
        """Return whether an owner's address is certainly its own."""
        known = self._upstreams.get(owner.upstream_id)
        if known is None:
            return False
        left = self._upstreams.departure(
            owner.upstream_id, self._clock.elapsed()
        )
        return left is None or known.draining

    async def _raise_fence(
        self,
        tenure: _Tenure,
        source: key_map.KeyRange,
        owner: key_map.Owner,
        address: members.Address,
    ) -> tuple[int | None, timedelta]:
        """Grant keys shortly under a new fence.

        An owner that accepts it refuses all lower grants that may still be
        under way, so that a release is final. Returns the fence, or None
        without an answer, and when the short hold has ended.
        """
        if tenure.keys.next_fence <= tenure.fence + 1 or tenure.doubtful:
            return None, timedelta()
        fence = tenure.take_fence()
        sent = self._clock.elapsed()
        undo = tenure.book.sent(owner, fence, sent, key_grants.RELEASE_LIMIT)
        result = await self._calls.grant(
            owner.upstream_id,
            address,
            key_grants.Grant(
                first=source.first, last=source.last, fence=fence
            ),
            renewal=False,
            hold=key_grants.RELEASE_LIMIT,
            limit=key_grants.CALL_LIMIT,
        )
        end = key_grants.hold_end(sent, key_grants.RELEASE_LIMIT)
        match result:
            case key_grants.GrantResult.GRANTED:
                return fence, end
            case key_grants.GrantResult.NO_ANSWER:
                tenure.book.unanswered(
                    owner, fence, sent, key_grants.RELEASE_LIMIT
                )
                return None, end
        undo()
        return None, timedelta()


def _find(reading: state_store.Reading, key: str) -> state_store.Row | None:
    return next((row for row in reading.rows if row.key == key), None)


def _decode_claim(row: state_store.Row | None) -> _Claim | None:
    if row is None or row.value is None:
        return None
    try:
        document = json.loads(row.value)
        return _Claim(
            holder=str(document['holder']),
            beat=timedelta(seconds=document['beat']),
        )
    except (KeyError, OverflowError, TypeError, ValueError):
        decision_log.note('claim-unreadable', detail=row.key)
        return None


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


def _without(
    held: key_map.KeyRange, moving: list[key_map.KeyRange]
) -> list[key_map.KeyRange]:
    return key_map.remainders(held, moving)


def _name(source: key_map.KeyRange) -> str:
    return source.owner.upstream_id if source.owner else 'nobody'

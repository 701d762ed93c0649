"""Grants the keys of one pool while this process holds the pool's claim.

The claim is a lease: a row of the store that its holder renews. Any process
may take over a stale claim. A takeover is safe at any time, because the
successor keeps the recorded owners and renews their keys. Only moving keys
away from an owner has to wait, until the owner confirms a release or until
every hold that this process or an earlier holder may have granted has
ended.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import claim_taker
from goldcresthaven import claim_watch
from goldcresthaven import claim_writer
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_moves
from goldcresthaven import key_release
from goldcresthaven import key_renewal
from goldcresthaven import key_rows
from goldcresthaven import registry as registry_module
from goldcresthaven import state_store
from goldcresthaven import upstream_notices

# An eighth of the interval at which owners are renewed.
LOOP_INTERVAL = timedelta(milliseconds=100)
# Equal to the interval at which processes report keys and loads.
PLAN_INTERVAL = timedelta(milliseconds=300)
# The load sample has to reflect the last moves before the next ones start.
REBALANCE_INTERVAL = timedelta(milliseconds=700)
# After a process released its claim because it reached too few owners, it does
# not read the claim for longer than another process needs to take it over.
HANDOVER_PAUSE = timedelta(seconds=5)
# How often a holder whose term may go on reads the claim.
RESUME_POLL = timedelta(milliseconds=200)
# At 260 requests/s the sample holds about 750 requests, 50 for each owner.
LOAD_HALF_LIFE = timedelta(seconds=2)


class KeyCoordinator:
    """Watches the claim of one pool, and grants its keys while holding it.

    ``notices`` records what the owners' responses announce. ``address`` is the
    address to which other processes report keys and loads. ``capacity``
    returns the relative capacity of an upstream. ``report_age`` returns the
    time since the last report of a pool's coordinator, ``fleet_size`` the
    number of processes, and ``known_map`` the newest map of a pool that this
    process knows. ``announce`` and ``request_step_down`` send datagrams.
    ``longest_hold`` is the longest hold that an upstream accepts.
    ``cpu_cores`` is the VM's share of CPU cores, and ``link_bytes_per_s`` the
    bandwidth of its network link.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        identity: str,
        store: state_store.StateStore,
        calls: key_grants.LeaseCalls,
        upstreams: registry_module.Registry,
        notices: upstream_notices.UpstreamNotices,
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
        self._report_age = report_age
        self._request_step_down = request_step_down
        self._fleet_size = fleet_size
        self._clock = clock
        self._watch = claim_watch.ClaimWatch(
            cpu_cores=cpu_cores,
            link_bytes_per_s=link_bytes_per_s,
            started=clock.elapsed(),
            rng=rng,
        )
        rows = key_rows.KeyRows(pool=pool, store=store)
        self._taker = claim_taker.ClaimTaker(
            pool=pool,
            identity=identity,
            address=address,
            rows=rows,
            watch=self._watch,
            known_map=known_map,
            longest_hold=longest_hold,
            clock=clock,
        )
        owners = key_coordinator_state.OwnerStatus(upstreams, notices)
        self._planner = key_moves.MovePlanner(
            pool=pool, upstreams=upstreams, owners=owners, capacity=capacity
        )
        self._releaser = key_release.Releaser(
            pool=pool,
            calls=calls,
            owners=owners,
            announce=announce,
            clock=clock,
        )
        self._renewer = key_renewal.Renewer(
            pool=pool,
            calls=calls,
            owners=owners,
            longest_hold=longest_hold,
            clock=clock,
        )
        self._writer = claim_writer.ClaimWriter(
            pool=pool,
            identity=identity,
            address=address,
            rows=rows,
            renewer=self._renewer,
            announce=announce,
            clock=clock,
        )
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
            resumable = claim_taker.resumable(
                self._last_term, self._clock.elapsed()
            )
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
                term = await self._taker.try_take(self._last_term)
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
        """Use the reported bounds on the predecessor's holds.

        A resumed term has asked no one. Its version of acquisition is that
        of the term before, whose predecessor may still answer; the bounds of
        that answer do not cover what the earlier term granted itself.
        """
        term = self._term
        if term is None or not term.predecessor:
            return
        if answer.claim_version != term.acquired_version:
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
            await self._writer.release(term, 'stopping')

    async def _hold_claim(self, term: key_coordinator_state.ClaimTerm) -> None:
        self._term = term
        writer = await aio.spawn(self._writer.run(term))
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
                if now - planned > PLAN_INTERVAL:
                    planned = now
                    if term.fences_reserved:
                        rebalance = now - rebalanced > REBALANCE_INTERVAL
                        await self._start_moves(term, now, rebalance)
                        rebalanced = now if rebalance else rebalanced
                    else:
                        self._planner.note_upstreams(now)
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
            last.record_resumption(term)
        else:
            self._last_term = term

    def _ask_predecessor(self, term: key_coordinator_state.ClaimTerm) -> None:
        if term.predecessor:
            request = fleet_messages.StepDown(
                pool=self._pool, claim_version=term.acquired_version
            )
            self._request_step_down(term.predecessor, request)

    async def _start_moves(
        self,
        term: key_coordinator_state.ClaimTerm,
        now: timedelta,
        rebalance: bool,
    ) -> None:
        if key_moves.reaches_too_few(term, now):
            self._watch.defer(now + HANDOVER_PAUSE)
            await self._writer.release(term, 'most owners are unreachable')
            return
        for move in self._planner.plan(term, now, rebalance=rebalance):
            transfer = key_coordinator_state.Transfer(move=move)
            term.transfers.append(transfer)
            await aio.spawn(self._releaser.release_source(term, transfer))

"""Decides when keys have to move, and which upstreams may own them.

Upstreams register one by one, start slowly and fail for moments, and a move
costs its keys a pause. So an upstream gets keys only after a wait, and an
owner counts as lost only after its grants have failed for a while.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import ids
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import registry as registry_module

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


def reaches_too_few(
    term: key_coordinator_state.ClaimTerm, now: timedelta
) -> bool:
    """Return whether another process should hold the claim.

    A holder that cannot reach most owners is probably cut off itself.
    """
    owners = set(term.owners())
    reachable = len(owners - _lost_owners(term, now))
    return len(owners) > 1 and reachable < MIN_REACHABLE_SHARE * len(owners)


class MovePlanner:
    """Plans the moves of one pool.

    ``capacity`` returns the relative capacity of an upstream.
    """

    def __init__(
        self,
        *,
        pool: ids.PoolName,
        upstreams: registry_module.Registry,
        owners: key_coordinator_state.OwnerStatus,
        capacity: Callable[[registry_module.Upstream], float],
    ) -> None:
        self._pool = pool
        self._upstreams = upstreams
        self._owners = owners
        self._capacity = capacity
        self._first_seen: dict[key_map.Owner, timedelta] = {}

    def note_upstreams(self, now: timedelta) -> None:
        """Remember which upstreams are registered before the first plan.

        They need no further wait if nothing could be planned so far.
        """
        for upstream in self._upstreams.remaining(self._pool, now):
            owner = key_coordinator_state.owner_of(upstream)
            self._first_seen.setdefault(owner, now)

    def plan(
        self,
        term: key_coordinator_state.ClaimTerm,
        now: timedelta,
        *,
        rebalance: bool,
    ) -> list[key_plan.Move]:
        """Return the moves to start now.

        Without ``rebalance``, keys move only if some need an owner or an
        upstream has none.
        """
        candidates = self._candidates(term, now)
        if candidates is None:
            return []
        if not (rebalance or _needs_plan(term, candidates)):
            return []
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
        return key_plan.plan(
            term.keys.replace(fixed, next_fence=term.keys.next_fence),
            candidates,
            term.load,
            fixed=fixed,
            rebalance=rebalance and len(fixed) < MAX_TRANSFERS,
        )

    def _candidates(
        self, term: key_coordinator_state.ClaimTerm, now: timedelta
    ) -> list[key_plan.Candidate] | None:
        """Return the upstreams that may own keys.

        Returns None while further upstreams are expected to register.
        """
        owners = set(term.owners())
        lost = _lost_owners(term, now)
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


def _lost_owners(
    term: key_coordinator_state.ClaimTerm, now: timedelta
) -> set[key_map.Owner]:
    return {
        owner
        for owner, since in term.failing_since.items()
        if now - since > OWNER_LOST_TIMEOUT
    }


def _needs_plan(
    term: key_coordinator_state.ClaimTerm,
    candidates: list[key_plan.Candidate],
) -> bool:
    """Return whether keys need an owner, or a candidate has no keys."""
    eligible = {candidate.owner for candidate in candidates}
    moving = {t.move.target for t in term.transfers}
    owners = {r.owner for r in term.keys.ranges}
    return bool(owners - eligible or eligible - owners - moving)

"""Grants of keys to upstreams, and until when one may still hold them.

An upstream counts a grant's hold from the arrival of the call, on a clock
that may run 2% slow. A call that was given up is reset and cannot arrive
later. So a hold ends at the latest ``CALL_LIMIT`` plus the hold, with that
drift, after the call was sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType
from typing import Protocol

from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import members

CLOCK_DRIFT = 0.02  # of an upstream's clock, stated by the platform
# Twice the store's slowest round trip between zones, and a queue.
CALL_LIMIT = timedelta(milliseconds=500)
# Covers a running request of the longest route, whose end a release awaits.
RELEASE_LIMIT = timedelta(seconds=2)
# Time between an upstream's own expiry and our belief in it.
EXPIRY_MARGIN = timedelta(milliseconds=100)
# Short, so that the keys of a lost upstream are served again within 4 s.
HOLD = timedelta(seconds=3)
RENEW_INTERVAL = timedelta(milliseconds=800)


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Keys from ``first`` to ``last`` under a fence.

    ``handover`` is what the last holder returned when it released them.
    """

    first: int
    last: int
    fence: int
    handover: str | None = None


class GrantResult(Enum):
    """What became of a grant.

    DISCONNECTED: nothing was sent, because no connection is left that was
    open when the owner was granted the keys, and it may have restarted.
    ELSEWHERE: another upstream has the address now.
    """

    GRANTED = 'granted'
    FENCED_OFF = 'fenced-off'
    UNREACHABLE = 'unreachable'
    DISCONNECTED = 'disconnected'
    ADDRESS_REUSED = 'elsewhere'
    NO_ANSWER = 'no-answer'


NOT_SENT = frozenset(
    {
        GrantResult.UNREACHABLE,
        GrantResult.DISCONNECTED,
        GrantResult.ADDRESS_REUSED,
    }
)
_HoldKey = tuple[key_map.Owner, int]


# The connections to an upstream that were open at some moment.
Connections = NewType('Connections', int)
NO_CONNECTIONS = Connections(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """What became of a grant, and the connections open when it was sent.

    One that opened later may lead to the upstream's next life.
    """

    result: GrantResult
    connections: Connections = NO_CONNECTIONS


@dataclass(frozen=True, kw_only=True, slots=True)
class Released:
    """An upstream confirmed that it has stopped work on the keys."""

    handover: str | None


class LeaseCalls(Protocol):
    """Calls to upstreams, implemented by ``platform``."""

    async def grant(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: Grant,
        *,
        renewal: Connections | None,
        hold: timedelta,
        limit: timedelta,
    ) -> GrantReply:
        """Grant or renew keys.

        A ``renewal`` uses only a connection that was open when the last
        grant of the same fence was sent, whose reply named them. It proves
        that the same life of the upstream answers.
        """

    async def release(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: Grant,
        *,
        limit: timedelta,
    ) -> Released | None:
        """Take keys back; None without a confirmation."""


def hold_end(sent: timedelta, hold: timedelta) -> timedelta:
    """Return when a hold granted by a call sent at ``sent`` has ended."""
    return sent + CALL_LIMIT + hold * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN


class HoldBounds:
    """Upper bounds on the holds of one pool, by owner and fence.

    ``inherited`` bounds what earlier holders of the claim may have granted.
    It applies to a fence until it is cleared: by an owner that accepted it,
    because that owner refuses all lower ones, or by a move of keys that
    nobody held any more.
    """

    def __init__(self, *, inherited: timedelta) -> None:
        self._inherited = inherited
        self._predecessor: dict[ids.UpstreamId, timedelta] | None = None
        self._uninherited: set[int] = set()
        self._ranges_by_fence: dict[int, tuple[int, int]] = {}
        self._bounds: dict[_HoldKey, timedelta] = {}
        self._unanswered: dict[_HoldKey, timedelta] = {}

    def record_sent(
        self, owner: key_map.Owner, fence: int, at: timedelta, hold: timedelta
    ) -> Callable[[], None]:
        """Note a grant that is about to be sent.

        Returns a function that takes the note back, for a call that proves
        not to have arrived or to have been refused.
        """
        hold_key = (owner, fence)
        before = self._bounds.get(hold_key, timedelta())
        self._bounds[hold_key] = max(before, hold_end(at, hold))

        def undo() -> None:
            self._bounds[hold_key] = before

        return undo

    def record_unanswered(
        self, owner: key_map.Owner, fence: int, at: timedelta, hold: timedelta
    ) -> None:
        """Note a grant whose answer did not come."""
        hold_key = (owner, fence)
        end = hold_end(at, hold)
        self._unanswered[hold_key] = max(
            self._unanswered.get(hold_key, end), end
        )

    def record_range(self, key_range: key_map.KeyRange) -> None:
        """Note the keys for which a fence was taken."""
        self._ranges_by_fence[key_range.fence] = (
            key_range.first,
            key_range.last,
        )

    def record_accepted(
        self, owner: key_map.Owner, key_range: key_map.KeyRange
    ) -> None:
        """Note that an owner accepted a fence; it refuses lower ones.

        It does so for the keys of this grant only. The part of a range
        that was split clears nothing.
        """
        granted_keys = (key_range.first, key_range.last)
        if self._ranges_by_fence.get(key_range.fence) == granted_keys:
            self._uninherited.add(key_range.fence)
            self._unanswered.pop((owner, key_range.fence), None)

    def record_unheld(self, fence: int) -> None:
        """Note a fence of keys that nobody held when they moved."""
        self._uninherited.add(fence)

    def record_new_fence(
        self, owner: key_map.Owner, old: int, new: int
    ) -> None:
        """Note that an owner's keys get a higher fence.

        Until the owner accepts it, what it was granted before counts.
        """
        for end_times in (self._bounds, self._unanswered):
            if (owner, old) in end_times:
                end_times[(owner, new)] = end_times[(owner, old)]
        if old in self._uninherited:
            self._uninherited.add(new)

    def free_at(self, owner: key_map.Owner, fence: int) -> timedelta:
        """Return when an owner can no longer hold keys under a fence."""
        bound = self._bounds.get((owner, fence), timedelta())
        return max(self._inherited_for(owner, fence), bound)

    def is_release_final(
        self, owner: key_map.Owner, fence: int, now: timedelta
    ) -> bool:
        """Return whether a release under a fence is final.

        Otherwise a grant that is still under way may revive the hold.
        """
        unanswered = self._unanswered.get((owner, fence), timedelta())
        return now > max(self._inherited_for(owner, fence), unanswered)

    def set_predecessor_bounds(
        self, owner_ends: dict[ids.UpstreamId, timedelta]
    ) -> None:
        """Note when the last grants of the predecessor end, by owner."""
        self._predecessor = owner_ends

    def bounds(self, now: timedelta) -> dict[ids.UpstreamId, timedelta] | None:
        """Return until when any life of an upstream may hold anything.

        It includes what the predecessor told. None while grants of an
        earlier holder, whose extent is not known, may last.
        """
        if self._predecessor is None and now < self._inherited:
            return None
        owner_ends = dict(self._predecessor or {})
        for end_times in (self._bounds, self._unanswered):
            for (owner, _), end in end_times.items():
                known = owner_ends.get(owner.upstream_id, end)
                owner_ends[owner.upstream_id] = max(known, end)
        return {name: end for name, end in owner_ends.items() if end > now}

    def _inherited_for(self, owner: key_map.Owner, fence: int) -> timedelta:
        if fence in self._uninherited:
            return timedelta()
        if self._predecessor is None:
            return self._inherited
        return self._predecessor.get(owner.upstream_id, timedelta())

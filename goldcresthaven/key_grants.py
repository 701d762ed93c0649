"""Grants of keys to upstreams, and bounds on how long the keys are held.

A hold is the time for which an upstream may serve granted keys. The
upstream counts it from the arrival of the call, on a clock that may run 2%
slow. A call that times out is reset and cannot arrive later. Therefore a
hold ends at most ``CALL_TIMEOUT`` plus its duration, stretched by the drift,
after the call was sent.
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

CLOCK_DRIFT = 0.02  # of upstreams' clocks, as documented by the platform
# Twice the store's slowest round trip between zones, plus queueing.
CALL_TIMEOUT = timedelta(milliseconds=500)
# A release waits for running requests to end, so this covers the timeout of
# the slowest route.
RELEASE_TIMEOUT = timedelta(seconds=2)
# Added to the latest time at which a hold may expire at the upstream.
EXPIRY_MARGIN = timedelta(milliseconds=100)
# Short enough to serve the keys of a lost upstream again within 4 s.
HOLD = timedelta(seconds=3)
RENEW_INTERVAL = timedelta(milliseconds=800)


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The keys from ``first`` to ``last`` under a fence.

    ``handover`` is the value that the previous owner returned when it
    released them.
    """

    first: int
    last: int
    fence: int
    handover: str | None = None


class GrantResult(Enum):
    """The outcome of a grant.

    DISCONNECTED: nothing was sent. All connections that were open when the
    keys were granted are closed, so the owner may have restarted.
    ADDRESS_REUSED: another upstream has the address now.
    """

    GRANTED = 'granted'
    FENCED_OFF = 'fenced-off'
    UNREACHABLE = 'unreachable'
    DISCONNECTED = 'disconnected'
    ADDRESS_REUSED = 'elsewhere'
    NO_RESPONSE = 'no-answer'


NOT_SENT = frozenset(
    {
        GrantResult.UNREACHABLE,
        GrantResult.DISCONNECTED,
        GrantResult.ADDRESS_REUSED,
    }
)
_HoldKey = tuple[key_map.Owner, int]


# Identifies the connections to an upstream that were open at some time.
Connections = NewType('Connections', int)
NO_CONNECTIONS = Connections(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """The outcome of a grant, and the connections open when it was sent.

    A connection that was opened later may lead to the upstream after a
    restart.
    """

    result: GrantResult
    connections: Connections = NO_CONNECTIONS


@dataclass(frozen=True, kw_only=True, slots=True)
class Released:
    """An upstream's confirmation that it has stopped work on the keys."""

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
        timeout: timedelta,
    ) -> GrantReply:
        """Grant or renew keys.

        A renewal is sent only over one of the connections in ``renewal``,
        which the reply to the previous grant of the same fence named. This
        proves that the upstream has not restarted since.
        """

    async def release(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: Grant,
        *,
        timeout: timedelta,
    ) -> Released | None:
        """Ask the owner to release keys.

        Returns None if it does not confirm the release.
        """


def hold_end(sent: timedelta, hold: timedelta) -> timedelta:
    """Return when the hold of a grant sent at ``sent`` has ended for sure."""
    return sent + CALL_TIMEOUT + hold * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN


class HoldBounds:
    """Upper bounds on the holds of one pool, by owner and fence.

    ``inherited`` bounds the holds that earlier holders of the claim may
    have granted. It applies to a fence until its owner accepts that fence,
    because the owner rejects all lower ones from then on. It does not apply
    to the fence of keys that nobody held when they moved.
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
        """Record a grant that is about to be sent.

        Returns a function that restores the previous bound. It is called if
        the grant certainly did not arrive or was refused.
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
        """Record a grant that was not answered."""
        hold_key = (owner, fence)
        end = hold_end(at, hold)
        self._unanswered[hold_key] = max(
            self._unanswered.get(hold_key, end), end
        )

    def record_range(self, key_range: key_map.KeyRange) -> None:
        """Record the range of keys that a new fence covers."""
        self._ranges_by_fence[key_range.fence] = (
            key_range.first,
            key_range.last,
        )

    def record_accepted(
        self, owner: key_map.Owner, key_range: key_map.KeyRange
    ) -> None:
        """Record that an owner accepted a fence and rejects lower ones.

        It rejects them only for the keys of this grant. Accepting a part of
        a range that was split therefore changes nothing.
        """
        granted_keys = (key_range.first, key_range.last)
        if self._ranges_by_fence.get(key_range.fence) == granted_keys:
            self._uninherited.add(key_range.fence)
            self._unanswered.pop((owner, key_range.fence), None)

    def record_unheld(self, fence: int) -> None:
        """Record the fence of keys that nobody held when they moved."""
        self._uninherited.add(fence)

    def record_new_fence(
        self, owner: key_map.Owner, old: int, new: int
    ) -> None:
        """Record that an owner's keys get a higher fence.

        The bounds of the old fence also apply to the new one, because the
        owner may still hold keys that were granted under the old fence.
        """
        for end_times in (self._bounds, self._unanswered):
            if (owner, old) in end_times:
                end_times[(owner, new)] = end_times[(owner, old)]
        if old in self._uninherited:
            self._uninherited.add(new)

    def free_at(self, owner: key_map.Owner, fence: int) -> timedelta:
        """Return when an owner certainly holds no more keys under a fence."""
        bound = self._bounds.get((owner, fence), timedelta())
        return max(self._inherited_for(owner, fence), bound)

    def is_release_final(
        self, owner: key_map.Owner, fence: int, now: timedelta
    ) -> bool:
        """Return whether a release under a fence is final.

        Otherwise a grant that is still in flight may renew the hold after
        the release.
        """
        unanswered = self._unanswered.get((owner, fence), timedelta())
        return now > max(self._inherited_for(owner, fence), unanswered)

    def set_predecessor_bounds(
        self, owner_ends: dict[ids.UpstreamId, timedelta]
    ) -> None:
        """Record when the predecessor's last holds end, by upstream."""
        self._predecessor = owner_ends

    def bounds(self, now: timedelta) -> dict[ids.UpstreamId, timedelta] | None:
        """Return when the last hold of each upstream ends.

        It covers all incarnations of an upstream, and the bounds that the
        predecessor reported. Returns None while holds that an earlier holder
        granted to unknown upstreams may still last.
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

"""Bounds on how long upstreams may hold the keys that were granted to them.

The time of a hold counts from the arrival of its grant, so each bound rests
on the latest possible arrival. An answered grant arrived before its answer.
Responses carry no id, and an upstream may send one twice. On a connection
that was used before, a response is therefore provisional: it may be a second
copy of an earlier one, while the grant itself is held back by a partition.
A grant without an answer may still be on its way after its connection was
reset: packets wait in the queue of a congested link, and a reset does not
overtake them. It has arrived, or never will, once a call that was sent after
the reset over the same link has been answered.

A later grant does not shorten a hold, whatever its fence and its duration. An
owner that accepts a higher fence keeps the hold that it has until it ends.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map

# No link keeps a packet for longer than this. It bounds the arrival of a
# grant until a later call has been answered.
PACKET_LIFETIME = timedelta(seconds=3)
# After this many later responses on its connection, a provisional grant has
# arrived. One such response could be a copy too; two consecutive copies,
# each while a call is held back, are not expected.
CONFIRMING_RESPONSES = 2
# Later than any bound; stands for the end of a provisional grant's hold.
UNKNOWN_END = timedelta(days=36500)
_HoldKey = tuple[key_map.Owner, int]


@dataclass(kw_only=True, slots=True, eq=False)
class SentGrant:
    """One call that grants keys for a duration of ``hold``.

    ``arrived_by`` is the latest time of its arrival, once that is known.
    ``reset_at`` is the time at which a call without an answer was given up
    and its connection reset. ``refused`` is set if the grant was certainly
    not sent or not accepted. ``answered_at`` is the time of a provisional
    response.
    """

    sent_at: timedelta
    hold: timedelta
    arrived_by: timedelta | None = None
    reset_at: timedelta | None = None
    refused: bool = False
    answered_at: timedelta | None = None

    @property
    def is_open(self) -> bool:
        """Whether the call has neither been answered nor given up."""
        return (
            self.arrived_by is None
            and self.reset_at is None
            and self.answered_at is None
            and not self.refused
        )

    @property
    def is_provisional(self) -> bool:
        """Whether its only evidence is a response that may be a copy."""
        return (
            self.answered_at is not None
            and self.arrived_by is None
            and self.reset_at is None
        )

    def end(self) -> timedelta:
        """Return when the hold has ended for sure."""
        if self.refused:
            return timedelta()
        if self.is_provisional:
            return UNKNOWN_END
        arrived_by = self.arrived_by
        if arrived_by is None:
            given_up = self.reset_at or self.sent_at + key_grants.CALL_TIMEOUT
            arrived_by = given_up + PACKET_LIFETIME
        return key_grants.hold_end(arrived_by, self.hold)

    def describe(self, now: timedelta) -> str:
        """Return what is known of the call, with ages in seconds."""
        known = (
            ('sent', self.sent_at),
            ('provisionally answered', self.answered_at),
            ('reset', self.reset_at),
            ('arrived by', self.arrived_by),
        )
        ages = [
            f'{name} {(now - at).total_seconds():.3f} s ago'
            for name, at in known
            if at is not None
        ]
        if self.refused:
            ages.append('not accepted')
        return f'{self.hold.total_seconds():.1f} s, {", ".join(ages)}'


def inherited_end(stopped: timedelta, longest: timedelta) -> timedelta:
    """Return when all holds of a holder that stopped granting have ended.

    ``longest`` is the longest hold that it may have granted.
    """
    given_up = stopped + key_grants.CALL_TIMEOUT
    return key_grants.hold_end(given_up + PACKET_LIFETIME, longest)


class HoldBounds:
    """Upper bounds on the holds of one pool, by owner and fence.

    ``inherited`` bounds the holds that earlier holders of the claim may
    have granted. After an owner has accepted a fence, the bound given to
    ``record_accepted`` applies if it is earlier, and ``inherited_if_accepted``
    if it is given. None applies to the fence of keys that nobody held when
    they moved.
    """

    def __init__(
        self,
        *,
        inherited: timedelta,
        inherited_if_accepted: timedelta | None = None,
    ) -> None:
        self._inherited = inherited
        self._inherited_if_accepted = inherited_if_accepted
        self._predecessor: dict[ids.UpstreamId, timedelta] | None = None
        self._unheld: set[int] = set()
        self._accepted_until: dict[int, timedelta] = {}
        self._ranges_by_fence: dict[int, tuple[int, int]] = {}
        self._grants: dict[_HoldKey, list[SentGrant]] = {}
        self._unproven: list[SentGrant] = []
        self._provisional: dict[
            key_grants.KeptConnection, list[SentGrant]
        ] = {}

    def needs_predecessor(self, now: timedelta) -> bool:
        """Return whether the predecessor's bounds would shorten a wait."""
        return self._predecessor is None and now < self._inherited

    def record_sent(
        self, owner: key_map.Owner, fence: int, at: timedelta, hold: timedelta
    ) -> SentGrant:
        """Record a grant that is about to be sent."""
        grant = SentGrant(sent_at=at, hold=hold)
        known = self._grants.get((owner, fence), ())
        kept = [g for g in known if g.is_open or g.end() > at]
        self._grants[(owner, fence)] = [*kept, grant]
        return grant

    def record_answered(self, grant: SentGrant, at: timedelta) -> None:
        """Record that an owner accepted a grant."""
        grant.arrived_by = at
        self._settle()

    def record_provisional(
        self,
        grant: SentGrant,
        at: timedelta,
        connection: key_grants.KeptConnection,
    ) -> None:
        """Record a response that may be a copy of an earlier one.

        It confirms earlier grants on the same connection.
        """
        grant.answered_at = at
        grants = self._provisional.setdefault(connection, [])
        grants.append(grant)
        while len(grants) > CONFIRMING_RESPONSES:
            grants.pop(0).arrived_by = at

    def unsettled(
        self, owner: key_map.Owner | None = None, fence: int = 0
    ) -> list[key_grants.KeptConnection]:
        """Return the connections on which bounds still depend.

        They are limited to those of one owner's fence if ``owner`` is given.
        After a connection was reset, its grants count from the reset.
        """
        self._settle()
        if owner is None:
            return list(self._provisional)
        wanted = self._grants.get((owner, fence), ())
        return [
            connection
            for connection, grants in self._provisional.items()
            if any(grant in wanted for grant in grants)
        ]

    def needs_round_trip(self, now: timedelta) -> bool:
        """Return whether a round trip would shorten a bound."""
        self._settle()
        self._unproven = [g for g in self._unproven if g.end() > now]
        return bool(self._unproven)

    def record_refused(self, grant: SentGrant) -> None:
        """Record a grant that certainly was not sent or not accepted."""
        grant.refused = True

    def record_unanswered(self, grant: SentGrant, reset_at: timedelta) -> None:
        """Record that the connection of an unanswered grant was reset."""
        grant.reset_at = reset_at
        self._unproven.append(grant)

    def record_round_trip(
        self, *, sent_at: timedelta, answered_at: timedelta
    ) -> None:
        """Record a call that was answered, to any destination.

        The answer must not be a copy: it opened a connection, or was the
        first one on it. Packets leave a link in their order. Those of a
        connection that was reset before the call have therefore arrived or
        been dropped.
        """
        self._settle()
        waiting = []
        for grant in self._unproven:
            if grant.reset_at is not None and grant.reset_at <= sent_at:
                grant.arrived_by = answered_at
            else:
                waiting.append(grant)
        self._unproven = waiting

    def record_range(self, key_range: key_map.KeyRange) -> None:
        """Record the range of keys that a new fence covers."""
        self._ranges_by_fence[key_range.fence] = (
            key_range.first,
            key_range.last,
        )

    def record_accepted(
        self, key_range: key_map.KeyRange, until: timedelta
    ) -> None:
        """Record that the owner of a range accepted its fence.

        It then rejects lower fences, so that no earlier hold can end after
        ``until``, but only for the keys of this grant. Accepting a part of
        a range that was split therefore changes nothing.
        """
        granted_keys = (key_range.first, key_range.last)
        if self._inherited_if_accepted is not None:
            until = min(until, self._inherited_if_accepted)
        if self._ranges_by_fence.get(key_range.fence) == granted_keys:
            self._accepted_until.setdefault(key_range.fence, until)

    def are_accepted(self, fences: Iterable[int], now: timedelta) -> bool:
        """Return whether inherited holds of other owners are excluded."""
        known = self._accepted_until.keys() | self._unheld
        return now >= self._inherited or known.issuperset(fences)

    def record_unheld(self, fence: int) -> None:
        """Record the fence of keys that nobody held when they moved."""
        self._unheld.add(fence)

    def record_new_fence(
        self, owner: key_map.Owner, old: int, new: int
    ) -> None:
        """Record that an owner's keys get a higher fence.

        The bounds of the old fence also apply to the new one, because the
        owner may still hold keys that were granted under the old fence.
        """
        if (owner, old) in self._grants:
            self._grants[(owner, new)] = list(self._grants[(owner, old)])
        if old in self._unheld:
            self._unheld.add(new)
        if old in self._accepted_until:
            self._accepted_until[new] = self._accepted_until[old]

    def free_at(
        self,
        owner: key_map.Owner,
        fence: int,
        *,
        accepted_at: timedelta | None = None,
    ) -> timedelta:
        """Return when an owner certainly holds no more keys under a fence.

        ``accepted_at`` is the time by which the owner had accepted a higher
        fence for the keys, if it has. It rejects what arrives later.
        """
        self._settle()
        grants = self._grants.get((owner, fence), ())
        end = _latest_end(grants)
        if accepted_at is not None:
            holds = (g.hold for g in grants if not g.refused)
            longest = max(holds, default=timedelta())
            end = min(end, key_grants.hold_end(accepted_at, longest))
        return max(self._inherited_for(owner, fence), end)

    def describe(
        self, owner: key_map.Owner, fence: int, now: timedelta
    ) -> str:
        """Return what sets the bound on an owner's fence, for the log."""
        inherited = self._inherited_for(owner, fence)
        grants = self._grants.get((owner, fence), ())
        last = max(grants, key=lambda grant: grant.end(), default=None)
        if last is not None and last.end() >= inherited:
            return f'a grant of {last.describe(now)}'
        if self._predecessor is None:
            return 'the inherited bound'
        return "the predecessor's bound"

    def has_grants(self) -> bool:
        """Return whether a grant was sent that may have been accepted."""
        return any(
            not grant.refused
            for known in self._grants.values()
            for grant in known
        )

    def last_end(self) -> timedelta:
        """Return when all holds have ended for sure, also inherited ones."""
        self._settle()
        grants = [g for known in self._grants.values() for g in known]
        inherited = [self._inherited]
        if self._predecessor is not None:
            inherited = list(self._predecessor.values())
        return max([_latest_end(grants), *inherited])

    def set_predecessor_bounds(
        self, owner_ends: dict[ids.UpstreamId, timedelta]
    ) -> None:
        """Record when the predecessor's last holds end, by upstream."""
        self._predecessor = owner_ends

    def bounds(self, now: timedelta) -> dict[ids.UpstreamId, timedelta] | None:
        """Return when the last hold of each upstream ends.

        It covers all incarnations of an upstream, and the bounds that the
        predecessor reported. Returns None while a grant is being sent or is
        provisional, and while holds that an earlier holder granted to
        unknown upstreams may still last.
        """
        grants = [g for known in self._grants.values() for g in known]
        self._settle()
        if any(grant.is_open or grant.is_provisional for grant in grants):
            return None
        if self.needs_predecessor(now):
            return None
        owner_ends = dict(self._predecessor or {})
        for (owner, _), known in self._grants.items():
            end = _latest_end(known)
            earlier = owner_ends.get(owner.upstream_id, end)
            owner_ends[owner.upstream_id] = max(earlier, end)
        return {name: end for name, end in owner_ends.items() if end > now}

    def _settle(self) -> None:
        """Derive the arrival of grants whose connections have ended.

        If the upstream closed the connection in order and each of its
        responses was read, a copy among them would mean that it has dropped
        a call, which then never arrives.
        """
        ended = [c for c in self._provisional if c.closed or c.reset_at]
        for connection in ended:
            for grant in self._provisional.pop(connection):
                if connection.closed:
                    grant.arrived_by = grant.answered_at
                else:
                    grant.reset_at = connection.reset_at
                    self._unproven.append(grant)

    def _inherited_for(self, owner: key_map.Owner, fence: int) -> timedelta:
        if fence in self._unheld:
            return timedelta()
        inherited = self._inherited
        if self._predecessor is not None:
            inherited = self._predecessor.get(owner.upstream_id, timedelta())
        return min(inherited, self._accepted_until.get(fence, inherited))


def _latest_end(grants: Iterable[SentGrant]) -> timedelta:
    return max((grant.end() for grant in grants), default=timedelta())

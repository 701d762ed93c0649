"""The registered upstreams, and since when each one has been leaving.

The registry lags. While the store is unavailable, entries expire although
their upstreams are still running. ``Registry.store_recovered`` therefore
starts a grace period, during which an upstream with an expired entry is
kept until it has had time to register again.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import NewType

from goldcresthaven import ids
from goldcresthaven import members

Incarnation = NewType('Incarnation', int)
"""Distinguishes an upstream from earlier runs under the same id."""

IncarnationKey = tuple[ids.UpstreamId, Incarnation]

# Expired entries reappear within about 2 s after the store recovers.
LAPSED_ENTRY_GRACE = timedelta(seconds=2.3)


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """A registered upstream.

    ``cold_for`` is the remaining time for which it is slow after its start,
    counted from the moment at which it reported the value. ``sequence``
    increases with each change of its entry.
    """

    upstream_id: ids.UpstreamId
    pool: ids.PoolName
    address: members.Address
    zone: ids.ZoneId
    slots: int
    draining: bool
    incarnation: Incarnation
    cold_for: timedelta = timedelta()
    sequence: int = field(default=0, compare=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """An upstream that is draining or whose entry is missing.

    ``since`` is the time from which it counts as leaving. ``suspected`` means
    that its entry may only have expired during an outage of the store;
    ``since`` is then the end of the grace period, otherwise the earliest time
    at which the upstream may have started to leave.
    """

    since: timedelta
    suspected: bool = False


def incarnation_key(upstream: Upstream) -> IncarnationKey:
    return (upstream.upstream_id, upstream.incarnation)


class Registry:
    """The upstreams that the last applied read of the table contained.

    An upstream that drains or was removed stays known for
    ``DEPARTED_RETENTION``, because its keys may still have to be released.
    ``leaving`` holds since when incarnations are leaving by their own
    responses. They count as departed, whatever a row says.
    """

    DEPARTED_RETENTION = timedelta(seconds=20)

    def __init__(
        self, *, leaving: Mapping[IncarnationKey, timedelta] | None = None
    ) -> None:
        self._leaving = {} if leaving is None else leaving
        self._upstreams: dict[ids.UpstreamId, Upstream] = {}
        self._departures: dict[ids.UpstreamId, Departure] = {}
        self._lapse_grace_until = timedelta()
        self._restored_until = timedelta()
        self._by_pool: dict[ids.PoolName, list[Upstream]] | None = None
        self.version = 0

    def store_recovered(self, now: timedelta) -> None:
        """Start the grace period for entries that expired during an outage."""
        self._lapse_grace_until = now + LAPSED_ENTRY_GRACE

    def store_restored(self, now: timedelta) -> None:
        """Start the grace period after the store lost its last changes.

        Until the upstreams have written their entries again, entries of
        earlier incarnations are ignored.
        """
        self.store_recovered(now)
        self._restored_until = self._lapse_grace_until

    def apply(
        self,
        changes: Mapping[ids.UpstreamId, Upstream | None],
        *,
        full: bool,
        version: int,
        now: timedelta,
        changed_since: timedelta | None = None,
    ) -> list[ids.UpstreamId]:
        """Apply changed entries, or a complete table if ``full``.

        The value None marks a removed entry. ``changed_since`` is the
        earliest time at which the changes may have happened; the default is
        ``now``. Returns the upstreams that were added, removed or changed.
        """
        changed_since = (
            now if changed_since is None else min(changed_since, now)
        )
        merged = dict(changes)
        if full:
            for known in self._upstreams:
                merged.setdefault(known, None)
        changed_ids = [
            upstream_id
            for upstream_id, upstream in merged.items()
            if self._apply_one(upstream_id, upstream, now, changed_since)
        ]
        self.version = max(self.version, version)
        self._remove_departed(now)
        self._by_pool = None
        return changed_ids

    def get(self, upstream_id: ids.UpstreamId) -> Upstream | None:
        return self._upstreams.get(upstream_id)

    def all_upstreams(self) -> list[Upstream]:
        """Return all known upstreams, including those that are leaving."""
        return list(self._upstreams.values())

    def departure(
        self, upstream_id: ids.UpstreamId, now: timedelta
    ) -> timedelta | None:
        """Return since when an upstream has been leaving or gone.

        Returns None if it is not leaving, or if its entry may only have
        expired during an outage.
        """
        since = self.registered_departure(upstream_id, now)
        known = self._upstreams.get(upstream_id) if self._leaving else None
        if known is None:
            return since
        announced = self._leaving.get(incarnation_key(known))
        if announced is None or since is None:
            return since if announced is None else announced
        return min(since, announced)

    def registered_departure(
        self, upstream_id: ids.UpstreamId, now: timedelta
    ) -> timedelta | None:
        """Return since when an upstream leaves by its entry alone."""
        departure = self._departures.get(upstream_id)
        if departure is None:
            return None
        if departure.suspected and now < self._lapse_grace_until:
            return None
        return departure.since

    def in_pool(self, pool: ids.PoolName) -> list[Upstream]:
        """Return all known upstreams of a pool, including leaving ones."""
        if self._by_pool is None:
            self._by_pool = {}
            for upstream in self._upstreams.values():
                self._by_pool.setdefault(upstream.pool, []).append(upstream)
        return self._by_pool.get(pool, [])

    def remaining(self, pool: ids.PoolName, now: timedelta) -> list[Upstream]:
        """Return the upstreams of a pool that are not known to be leaving.

        They include upstreams with entries that may have expired during an
        outage.
        """
        return [
            upstream
            for upstream in self.in_pool(pool)
            if self.departure(upstream.upstream_id, now) is None
        ]

    def usable(self, pool: ids.PoolName, now: timedelta) -> list[Upstream]:
        """Return the upstreams of a pool that accept new work.

        If at least half of the remaining upstreams are registered, it was
        probably only this process that was cut off from the store, so an
        upstream without an entry has left. Only the registered ones are then
        returned.
        """
        remaining = self.remaining(pool, now)
        registered = [
            u for u in remaining if u.upstream_id not in self._departures
        ]
        if 2 * len(registered) >= len(remaining):
            return registered
        return remaining

    def _apply_one(
        self,
        upstream_id: ids.UpstreamId,
        upstream: Upstream | None,
        now: timedelta,
        changed_since: timedelta,
    ) -> bool:
        known = self._upstreams.get(upstream_id)
        if upstream is not None and self._is_outdated(upstream, now):
            return False
        if upstream is None:
            if known is None or upstream_id in self._departures:
                return False
            suspected = now < self._lapse_grace_until
            since = self._lapse_grace_until if suspected else changed_since
            self._departures[upstream_id] = Departure(
                since=since, suspected=suspected
            )
            return True
        self._upstreams[upstream_id] = upstream
        if upstream.draining:
            if upstream_id not in self._departures:
                self._departures[upstream_id] = Departure(since=changed_since)
        else:
            self._departures.pop(upstream_id, None)
        return upstream != known

    def _is_outdated(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an entry is older than what is known.

        A store that was restored from a copy has such entries. The entry of
        an upstream that has left is outdated unless it was written since.
        """
        known = self._upstreams.get(upstream.upstream_id)
        if known is None:
            return False
        if upstream.incarnation != known.incarnation:
            return (
                now < self._restored_until
                and upstream.incarnation < known.incarnation
            )
        departure = self._departures.get(upstream.upstream_id)
        has_left = departure is not None and not departure.suspected
        return (
            upstream.sequence < known.sequence
            or has_left
            and upstream.sequence == known.sequence
            and not upstream.draining
        )

    def _remove_departed(self, now: timedelta) -> None:
        for upstream_id, departure in list(self._departures.items()):
            if now - departure.since > self.DEPARTED_RETENTION:
                del self._departures[upstream_id]
                self._upstreams.pop(upstream_id, None)

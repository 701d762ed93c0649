"""The state of the fleet and the store that one process knows."""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import decision_log
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import registry as registry_module
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven import table_relay
from goldcresthaven import upstream_notices

# Tables that operators and upstreams write.
FOLLOWED_TABLES = (state_store.Table.CONFIG, state_store.Table.REGISTRY)
# Deployments have one to two upstreams for each process.
UPSTREAMS_PER_PROCESS = 2.0
# Longest time for a release and the write of its move. An announcement that
# no new map has followed by then is discarded.
MOVE_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True, kw_only=True, slots=True)
class _MovingKeys:
    moving: fleet_messages.Moving
    until: timedelta


class KnownState:
    """The last known configuration, registry and key maps.

    ``positions`` holds the position up to which each table was followed.
    ``maps_outdated`` requests a read of the key maps. ``notices`` are what
    the upstreams' responses announce. ``max_answer_age`` limits the use of a
    coordinator's reports.
    """

    def __init__(
        self,
        *,
        notices: upstream_notices.UpstreamNotices,
        max_answer_age: timedelta = table_relay.MAX_ANSWER_AGE,
    ) -> None:
        self.config: routes.RouteConfig | None = None
        self.notices = notices
        self.registry = registry_module.Registry(leaving=notices.leaving_since)
        self.maps: dict[ids.PoolName, key_map.KeyMap] = {}
        self.positions = {
            table: table_relay.Position(max_answer_age=max_answer_age)
            for table in FOLLOWED_TABLES
        }
        self.maps_read = False
        self._reported_fleet_size: int | None = None
        self._coordinator_reported_at: dict[ids.PoolName, timedelta] = {}
        self._moving: list[_MovingKeys] = []
        self.maps_outdated = False

    @property
    def fleet_size(self) -> int:
        """The number of processes that a coordinator last reported.

        Before the first report it is estimated from the number of upstreams.
        """
        if self._reported_fleet_size is not None:
            return self._reported_fleet_size
        upstreams = len(self.registry.all_upstreams())
        return max(1, round(upstreams / UPSTREAMS_PER_PROCESS))

    def record_fleet_size(self, processes: int) -> None:
        self._reported_fleet_size = max(1, processes)

    def is_complete(self) -> bool:
        """Return whether requests can be routed."""
        registry_known = self.positions[state_store.Table.REGISTRY].answered_at
        return (
            self.config is not None
            and registry_known is not None
            and self.maps_read
        )

    def record_coordinator_report(
        self, pool: ids.PoolName, map_version: int, now: timedelta
    ) -> None:
        """Record a report of a pool's coordinator.

        The maps count as outdated if the coordinator has a newer one.
        """
        known = self.maps.get(pool)
        self._coordinator_reported_at[pool] = now
        if known is None or known.version < map_version:
            self.maps_outdated = True
        elif (
            _lacks_history(map_version, known.version)
            and state_store.number_of(known.version) != map_version
        ):
            self.maps_outdated = True

    def record_moving(
        self, moving: fleet_messages.Moving, now: timedelta
    ) -> None:
        """Record that keys are about to get another owner."""
        self._moving = [m for m in self._moving if now < m.until]
        self._moving.append(
            _MovingKeys(moving=moving, until=now + MOVE_TIMEOUT)
        )

    def is_moving(self, pool: ids.PoolName, key: int, now: timedelta) -> bool:
        """Return whether a key is about to get another owner."""
        return any(
            m.moving.pool == pool
            and m.moving.first <= key <= m.moving.last
            and now < m.until
            for m in self._moving
        )

    def _remove_moved(self, change: fleet_messages.MapChange) -> None:
        self._moving = [
            m
            for m in self._moving
            if m.moving.pool != change.pool
            or not any(
                r.first <= m.moving.first <= r.last for r in change.ranges
            )
        ]

    def coordinator_report_age(
        self, pool: ids.PoolName, now: timedelta
    ) -> timedelta:
        """Return the time since the last report of a pool's coordinator."""
        return now - self._coordinator_reported_at.get(pool, timedelta())

    def apply_coordinator_change(
        self, change: fleet_messages.CoordinatorChange, now: timedelta
    ) -> None:
        """Apply the first map of a new coordinator, which keeps all owners."""
        known = self._map_at(change.pool, change.base)
        if known is None:
            return
        self.maps[change.pool] = known.replace(
            (), next_fence=known.next_fence, coordinator=change.address
        ).at_version(change.version)
        self._coordinator_reported_at[change.pool] = now
        decision_log.note(
            'map-applied',
            pool=change.pool,
            map_version=change.version,
            detail=f'new coordinator {change.address}',
        )

    def _map_at(self, pool: ids.PoolName, base: int) -> key_map.KeyMap | None:
        """Return the known map if a change of version ``base`` applies to it.

        If earlier changes are missing, the follower has to read the map.
        """
        known = self.maps.get(pool)
        if (
            known is None
            or known.version < base
            or _lacks_history(base, known.version)
        ):
            self.maps_outdated = True
            return None
        return known if known.version == base else None

    def apply_map_change(self, change: fleet_messages.MapChange) -> None:
        """Apply a map change that a coordinator announced."""
        self._remove_moved(change)
        known = self._map_at(change.pool, change.base)
        if known is None:
            return
        self.maps[change.pool] = known.replace(
            change.ranges, next_fence=known.next_fence
        ).at_version(change.version)
        decision_log.note(
            'map-applied',
            pool=change.pool,
            map_version=change.version,
            count=len(change.ranges),
            detail='announced',
        )


def _lacks_history(stated: int, known: int) -> bool:
    """Return whether only the known version of a map contains a history.

    The other one was stated by a program of the version before. It is not
    comparable, even if the known version is higher.
    """
    return (
        stated != state_store.ABSENT
        and state_store.history_of(stated) == state_store.FIRST_HISTORY
        and state_store.history_of(known) != state_store.FIRST_HISTORY
    )

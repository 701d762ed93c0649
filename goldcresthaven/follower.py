"""Keeps configuration, registry and key maps current from the store.

Each table is read once and then watched by long polls. A poll that is not
answered counts as an outage; when the store answers again, the registry is
told, because its entries may have lapsed meanwhile.
"""

from collections.abc import Callable
from datetime import timedelta
import random
from typing import Protocol

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import registry as registry_module
from goldcresthaven import routes
from goldcresthaven import state_store

# How long a poll waits for a change. A poll that the store swallows is
# noticed only then: for configuration and registry that has to be within
# the 3 s after which a calm machine counts and the 2 s that a change may
# take. A stale key map costs a refusal and no promise.
WATCH_WAIT = {
    state_store.Table.CONFIG: timedelta(seconds=4),
    state_store.Table.REGISTRY: timedelta(seconds=4),
    state_store.Table.ASSIGNMENTS: timedelta(seconds=10),
}
# Pause after a change, so that a series of changes costs few calls. An
# upstream that leaves may get work for 2 s after it said so.
SETTLE = {
    state_store.Table.CONFIG: timedelta(milliseconds=50),
    state_store.Table.REGISTRY: timedelta(milliseconds=350),
    state_store.Table.ASSIGNMENTS: timedelta(milliseconds=60),
}
FIRST_RETRY = timedelta(milliseconds=100)
LONGEST_RETRY = timedelta(seconds=1)
# Silence after which entries of the registry may have lapsed.
OUTAGE = timedelta(seconds=1.5)


class Decoder(Protocol):
    """Decodes rows that others write; implemented by ``platform``."""

    def is_config(self, row: state_store.Row) -> bool: ...

    def config(self, value: bytes) -> routes.RouteConfig: ...

    def upstream(
        self, row: state_store.Row
    ) -> registry_module.Upstream | None: ...


class Beliefs:
    """What this process believes of its surroundings.

    ``heard`` tells for each table when the store last answered.
    """

    def __init__(self) -> None:
        self.config: routes.RouteConfig | None = None
        self.registry = registry_module.Registry()
        self.maps: dict[ids.PoolName, key_map.KeyMap] = {}
        self.heard: dict[state_store.Table, timedelta] = {}
        self.changed = aio.Event()

    def is_complete(self) -> bool:
        """Return whether requests can be routed."""
        return self.config is not None and len(self.heard) == len(_FOLLOWED)


_FOLLOWED = (
    state_store.Table.CONFIG,
    state_store.Table.REGISTRY,
    state_store.Table.ASSIGNMENTS,
)


class Follower:
    def __init__(
        self,
        *,
        store: state_store.StateStore,
        decoder: Decoder,
        beliefs: Beliefs,
        on_registry: Callable[[list[registry_module.Upstream]], None],
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._beliefs = beliefs
        self._on_registry = on_registry
        self._clock = clock
        self._rng = rng

    async def start(self) -> None:
        for table in _FOLLOWED:
            await aio.spawn(self._follow(table))

    async def _follow(self, table: state_store.Table) -> None:
        after: int | None = None
        pause = FIRST_RETRY
        failed_since: timedelta | None = None
        while True:
            started = self._clock.elapsed()
            try:
                whole = after is None
                if after is None:
                    reading = await self._store.read(table)
                else:
                    reading = await self._store.watch(
                        table, after=after, wait=WATCH_WAIT[table]
                    )
            except state_store.HistoryLost:
                decision_log.note('history-lost', detail=table.value)
                after = None
                continue
            except errors.StoreUnavailable as exc:
                if failed_since is None:
                    failed_since = started
                    decision_log.note(
                        'store-lost', detail=f'{table.value}: {exc}'
                    )
                await aio.sleep(pause * self._rng.uniform(0.5, 1.5))
                pause = min(pause * 2, LONGEST_RETRY)
                continue
            now = self._clock.elapsed()
            if failed_since is not None:
                self._note_return(table, now - failed_since, now)
                failed_since = None
            pause = FIRST_RETRY
            after = max(after or 0, reading.version)
            await self._apply(table, reading, whole, now)
            if reading.rows:
                await aio.sleep(SETTLE[table])

    def _note_return(
        self, table: state_store.Table, away: timedelta, now: timedelta
    ) -> None:
        decision_log.note(
            'store-regained',
            detail=table.value,
            elapsed_ms=round(away.total_seconds() * 1000),
        )
        if away > OUTAGE:
            self._beliefs.registry.reconnected(now)

    async def _apply(
        self,
        table: state_store.Table,
        reading: state_store.Reading,
        whole: bool,
        now: timedelta,
    ) -> None:
        self._beliefs.heard[table] = now
        if not reading.rows and not whole:
            return
        match table:
            case state_store.Table.CONFIG:
                self._apply_config(reading)
            case state_store.Table.REGISTRY:
                self._apply_registry(reading, whole, now)
            case state_store.Table.ASSIGNMENTS:
                self._apply_maps(reading)
        await self._beliefs.changed.set()
        self._beliefs.changed.clear()

    def _apply_config(self, reading: state_store.Reading) -> None:
        for row in reading.rows:
            if not self._decoder.is_config(row) or row.value is None:
                continue
            try:
                cfg = self._decoder.config(row.value)
            except errors.ProtocolError as exc:
                decision_log.note('config-unreadable', detail=str(exc))
                continue
            known = self._beliefs.config
            if known is not None and cfg.version <= known.version:
                continue
            self._beliefs.config = cfg
            decision_log.note(
                'config-applied',
                config_version=cfg.version,
                count=len(cfg.routes),
            )

    def _apply_registry(
        self, reading: state_store.Reading, whole: bool, now: timedelta
    ) -> None:
        changes: dict[ids.UpstreamId, registry_module.Upstream | None] = {}
        for row in reading.rows:
            upstream = self._decoder.upstream(row)
            if upstream is None and row.value is not None:
                decision_log.note('entry-unreadable', upstream=row.key[:64])
            changes[ids.UpstreamId(row.key)] = upstream
        registry = self._beliefs.registry
        touched = registry.apply(
            changes, whole=whole, version=reading.version, now=now
        )
        present = []
        for upstream_id in touched:
            known = changes.get(upstream_id)
            if known is not None:
                present.append(known)
            decision_log.note(
                'upstream-changed',
                upstream=upstream_id,
                state=_state_of(known),
                map_version=reading.version,
            )
        self._on_registry(present)

    def _apply_maps(self, reading: state_store.Reading) -> None:
        for row in reading.rows:
            if row.value is None:
                continue
            pool = ids.PoolName(row.key)
            known = self._beliefs.maps.get(pool)
            if known is not None and known.version >= row.version:
                continue
            try:
                keys = key_map.decode(row.value, version=row.version)
            except errors.ProtocolError as exc:
                decision_log.note('map-unreadable', detail=str(exc))
                continue
            self._beliefs.maps[pool] = keys
            decision_log.note(
                'map-applied',
                pool=pool,
                map_version=row.version,
                count=len(keys.ranges),
            )


def _state_of(upstream: registry_module.Upstream | None) -> str:
    if upstream is None:
        return 'removed'
    return 'draining' if upstream.draining else 'ready'

"""Keeps configuration, registry and key maps current from the store.

Each table is read once. Afterwards a coordinator watches it by long polls
and passes the changes on; the other processes do so only while no
coordinator is heard. A poll that is not answered counts as an outage; when
the store answers again, the registry is told, because its entries may have
lapsed meanwhile.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random
from typing import Protocol

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import known_state
from goldcresthaven import registry as registry_module
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven import table_relay

# How long a poll waits for a change. A poll that the store swallows is
# noticed only then: that has to be within the 3 s after which a calm
# machine counts and the 2 s that a change may take.
WATCH_WAIT = {
    state_store.Table.CONFIG: timedelta(seconds=4),
    state_store.Table.REGISTRY: timedelta(seconds=4),
}
# A coordinator polls more often: what it passes on is believed only while
# the store's last answer is recent.
RELAY_WAIT = timedelta(milliseconds=700)
# Pause after a change, so that a series of changes costs few calls. An
# upstream that leaves may get work for 2 s after it said so.
SETTLE = {
    state_store.Table.CONFIG: timedelta(milliseconds=50),
    state_store.Table.REGISTRY: timedelta(milliseconds=350),
}
# The same for a coordinator, whose calls serve all processes.
RELAY_SETTLE = timedelta(milliseconds=150)
RELAY_CHECK = timedelta(milliseconds=50)
# Time between an answer and the next poll within which a change counts as
# new when it is read.
GAP = timedelta(milliseconds=400)
# Spread of the calls of processes that have missed the same change.
RELAY_SPREAD = timedelta(milliseconds=150)
# A coordinator answers the first report of a process within this time.
FIRST_REPORT = timedelta(milliseconds=900)
MAP_CHECK = timedelta(milliseconds=50)
# Least time between two reads of the key maps by one process.
MAP_READ_PAUSE = timedelta(milliseconds=250)
# A coordinator sends three datagrams a second.
SILENCE = timedelta(seconds=1.2)
SILENT_READ = timedelta(seconds=1.5)
# Reads while coordinators are heard; covers one that nobody else follows.
CALM_READ = timedelta(seconds=30)
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


class Follower:
    """Follows the tables of others and the key maps.

    ``is_relay`` tells whether this process passes changes on, ``pass_on``
    does so.
    """

    def __init__(
        self,
        *,
        store: state_store.StateStore,
        decoder: Decoder,
        beliefs: known_state.Beliefs,
        on_registry: Callable[[list[registry_module.Upstream]], None],
        is_relay: Callable[[], bool],
        pass_on: Callable[[table_relay.RowChanges], None],
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._beliefs = beliefs
        self._on_registry = on_registry
        self._is_relay = is_relay
        self._pass_on = pass_on
        self._clock = clock
        self._rng = rng

    async def start(self) -> None:
        await aio.spawn(self._follow(state_store.Table.CONFIG))
        await aio.spawn(self._follow(state_store.Table.REGISTRY))
        await aio.spawn(self._follow_maps())

    async def _follow_maps(self) -> None:
        """Read the key maps when the coordinators' word does not do.

        They announce changes; the store is read at the start, after a
        missed change, and while a coordinator is silent.
        """
        failing = False
        while True:
            started = self._clock.elapsed()
            self._beliefs.maps_doubted = False
            try:
                reading = await self._store.read(state_store.Table.ASSIGNMENTS)
                self._beliefs.maps_read = True
                self._apply_maps(reading)
                failing = False
            except errors.StoreUnavailable as exc:
                if not failing:
                    decision_log.note('maps-unread', detail=str(exc))
                failing = True
            await self._wait_for_doubt(started)

    async def _wait_for_doubt(self, read_at: timedelta) -> None:
        spread = self._rng.uniform(0.7, 1.3)
        while True:
            await aio.sleep(MAP_CHECK)
            now = self._clock.elapsed()
            if now - read_at < MAP_READ_PAUSE * spread:
                continue
            if self._beliefs.maps_doubted:
                return
            silent = any(
                self._beliefs.coordinator_silence(pool, now) > SILENCE
                for pool in self._beliefs.maps
            )
            if not self._beliefs.maps or silent:
                if now - read_at > SILENT_READ * spread:
                    return
            elif now - read_at > CALM_READ * spread:
                return

    def hear(
        self, states: Iterable[table_relay.TableState], now: timedelta
    ) -> None:
        """Take the report of a coordinator on the tables it follows."""
        for state in states:
            position = self._beliefs.positions.get(state.table)
            if position is not None:
                position.hear(state, now)

    def take(self, changes: table_relay.RowChanges, now: timedelta) -> None:
        """Apply rows that a coordinator passed on."""
        position = self._beliefs.positions.get(changes.table)
        rows = position.missing(changes) if position is not None else ()
        if rows:
            self._apply(changes.table, rows, changes.reached, False, now)

    async def _follow(self, table: state_store.Table) -> None:
        pause = FIRST_RETRY
        failed_since: timedelta | None = None
        position = self._beliefs.positions[table]
        process_started = self._clock.elapsed()
        while True:
            # A long poll that a store in trouble swallows is noticed late,
            # so it is asked briefly until it answers.
            whole = position.reached is None or failed_since is not None
            if not whole:
                await self._wait_while_told(table, process_started)
            started = self._clock.elapsed()
            base, heard = position.reached, position.heard
            try:
                reading = await self._ask(table, None if whole else base)
            except state_store.HistoryLost:
                decision_log.note('history-lost', detail=table.value)
                position.forget()
                continue
            except errors.StoreUnavailable as exc:
                if failed_since is None:
                    failed_since = position.heard or started
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
            # A change while nobody waited for it may be that old.
            gap = heard is not None and started - heard > GAP
            since = heard if gap and heard is not None else now
            rows = position.answered(reading, now, whole=whole)
            if rows or (whole and rows is not None):
                self._apply(table, rows, reading.version, whole, since)
            if not rows:
                continue
            if not whole and base is not None:
                self._pass_on(
                    table_relay.RowChanges(
                        table=table,
                        base=base,
                        reached=reading.version,
                        rows=rows,
                    )
                )
            relay = self._is_relay()
            await aio.sleep(RELAY_SETTLE if relay else SETTLE[table])

    async def _wait_while_told(
        self, table: state_store.Table, started: timedelta
    ) -> None:
        """Return when the store has to be asked about a table."""
        position = self._beliefs.positions[table]
        patience = RELAY_SPREAD * self._rng.random()
        told = False
        while not self._is_relay():
            now = self._clock.elapsed()
            if position.must_ask(now, patience):
                if now - started > FIRST_REPORT:
                    break
            elif not told:
                told = True
                self._note_relay('relay-found', table, position)
            await aio.sleep(RELAY_CHECK)
        if told:
            self._note_relay('relay-lost', table, position)

    def _note_relay(
        self,
        kind: str,
        table: state_store.Table,
        position: table_relay.Position,
    ) -> None:
        """Log that a coordinator's word on a table counts, or no longer."""
        heard = position.heard or timedelta()
        age = self._clock.elapsed() - heard
        decision_log.note(
            kind,
            state=table.value,
            map_version=position.reached,
            elapsed_ms=round(age.total_seconds() * 1000),
        )

    async def _ask(
        self, table: state_store.Table, after: int | None
    ) -> state_store.Reading:
        if after is None:
            return await self._store.read(table)
        wait = RELAY_WAIT if self._is_relay() else WATCH_WAIT[table]
        return await self._store.watch(table, after=after, wait=wait)

    def _note_return(
        self, table: state_store.Table, away: timedelta, now: timedelta
    ) -> None:
        decision_log.note(
            'store-regained',
            detail=table.value,
            elapsed_ms=round(away.total_seconds() * 1000),
        )
        if away > OUTAGE and table is state_store.Table.REGISTRY:
            self._beliefs.registry.reconnected(now)

    def _apply(
        self,
        table: state_store.Table,
        rows: tuple[state_store.Row, ...],
        version: int,
        whole: bool,
        since: timedelta,
    ) -> None:
        match table:
            case state_store.Table.CONFIG:
                self._apply_config(rows)
            case state_store.Table.REGISTRY:
                self._apply_registry(rows, version, whole, since)

    def _apply_config(self, rows: tuple[state_store.Row, ...]) -> None:
        for row in rows:
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
        self,
        rows: tuple[state_store.Row, ...],
        version: int,
        whole: bool,
        since: timedelta,
    ) -> None:
        changes: dict[ids.UpstreamId, registry_module.Upstream | None] = {}
        for row in rows:
            upstream = self._decoder.upstream(row)
            if upstream is None and row.value is not None:
                decision_log.note('entry-unreadable', upstream=row.key[:64])
            changes[ids.UpstreamId(row.key)] = upstream
        registry = self._beliefs.registry
        touched = registry.apply(
            changes,
            whole=whole,
            version=version,
            now=self._clock.elapsed(),
            since=since,
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
                map_version=version,
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

"""Applies rows of the configuration and the registry to the known state.

A row that cannot be decoded costs that row alone.
"""

from collections.abc import Callable
from datetime import timedelta
import random
from typing import Protocol

from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import known_state as known_state_module
from goldcresthaven import registry as registry_module
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven import table_relay
from goldcresthaven import table_rows

# Spreads the reads of the registry after a restore of the store, of which all
# processes learn at the same time. They find only entries that were ignored.
RESTORED_READ_SPREAD = timedelta(seconds=1)


class Decoder(Protocol):
    """Decodes rows of other programs; implemented by ``platform``."""

    def is_config(self, row: state_store.Row) -> bool: ...

    def config(self, value: bytes) -> routes.RouteConfig: ...

    def upstream(
        self, row: state_store.Row
    ) -> registry_module.Upstream | None: ...


class TableUpdates:
    """Applies rows, and keeps them to pass on to other processes.

    ``rows`` are those of each table. ``on_registry`` is called with the
    upstreams that changed. ``count_unreadable`` counts rows that are ignored.
    """

    def __init__(
        self,
        *,
        decoder: Decoder,
        known_state: known_state_module.KnownState,
        on_registry: Callable[[list[registry_module.Upstream]], None],
        clock: clock_module.Clock,
        rng: random.Random,
        count_unreadable: Callable[[int], None],
    ) -> None:
        self._decoder = decoder
        self._known_state = known_state
        self._on_registry = on_registry
        self._clock = clock
        self._rng = rng
        self._count_unreadable = count_unreadable
        self.rows = {
            table: table_rows.TableRows()
            for table in known_state_module.FOLLOWED_TABLES
        }

    def apply(
        self,
        table: state_store.Table,
        rows: tuple[state_store.Row, ...],
        *,
        version: int,
        full: bool,
        changed_since: timedelta,
        source: table_relay.Source,
    ) -> None:
        """Apply rows that are complete up to a version.

        With ``full`` they are the whole table. Otherwise they changed after
        ``changed_since`` at the earliest.
        """
        if full:
            self.rows[table].replace(rows, version)
        else:
            self.rows[table].update(rows)
        match table:
            case state_store.Table.CONFIG:
                self._apply_config(rows, source)
            case state_store.Table.REGISTRY:
                self._apply_registry(rows, version, full, changed_since)

    def _apply_config(
        self, rows: tuple[state_store.Row, ...], source: table_relay.Source
    ) -> None:
        for row in rows:
            if not self._decoder.is_config(row) or row.value is None:
                continue
            try:
                cfg = self._decoder.config(row.value)
            except errors.ProtocolError as exc:
                self._count_unreadable(1)
                decision_log.note('config-unreadable', detail=str(exc))
                continue
            known = self._known_state.config
            if known is not None and cfg.version <= known.version:
                continue
            self._known_state.config = cfg
            decision_log.note(
                'config-applied',
                config_version=cfg.version,
                count=len(cfg.routes),
                source=source.value,
            )

    def _apply_registry(
        self,
        rows: tuple[state_store.Row, ...],
        version: int,
        full: bool,
        changed_since: timedelta,
    ) -> None:
        changes: dict[ids.UpstreamId, registry_module.Upstream | None] = {}
        for row in rows:
            upstream = self._decoder.upstream(row)
            if upstream is None and row.value is not None:
                self._count_unreadable(1)
                decision_log.note('entry-unreadable', upstream=row.key[:64])
            changes[ids.UpstreamId(row.key)] = upstream
        registry = self._known_state.registry
        if registry.version and state_store.history_of(
            registry.version
        ) < state_store.history_of(version):
            decision_log.note('registry-restored', map_version=version)
            now = self._clock.elapsed()
            registry.store_restored(now)
            self._known_state.positions[
                state_store.Table.REGISTRY
            ].schedule_full_read(
                now
                + registry_module.LAPSED_ENTRY_GRACE
                + RESTORED_READ_SPREAD * self._rng.random()
            )
        changed_ids = registry.apply(
            changes,
            full=full,
            version=version,
            now=self._clock.elapsed(),
            changed_since=changed_since,
        )
        present = []
        for upstream_id in changed_ids:
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


def _state_of(upstream: registry_module.Upstream | None) -> str:
    if upstream is None:
        return 'removed'
    return 'draining' if upstream.draining else 'ready'

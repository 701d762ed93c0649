"""Keeps the replica up to date from the platform."""

from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import log_rows
from goldcresthaven import replica
from goldcresthaven import routing
from goldcresthaven import store_client
from goldcresthaven import tables

POLL_INTERVAL = timedelta(seconds=1)
# At least this time lies between two reads caused by refused keys, so that
# a burst of refusals does not become a burst of reads.
REFRESH_INTERVAL = timedelta(milliseconds=100)


class Follower:
    """Polls the logs and the membership list; serves ``dispatch.Views``."""

    def __init__(
        self,
        *,
        store: store_client.StoreClient,
        copy: replica.Replica,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store
        self._copy = copy
        self._clock = clock
        self._next_refresh = timedelta()
        self._task: aio.Task | None = None

    def current(self) -> dispatch.View | None:
        return self._copy.current()

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        """Read the map log now, unless another request has just done so."""
        now = self._clock.elapsed()
        if now < self._next_refresh:
            await aio.sleep(REFRESH_INTERVAL)
            return
        self._next_refresh = now + REFRESH_INTERVAL
        try:
            await self._poll_map()
        except errors.Error:
            return

    async def start(self) -> None:
        self._task = await aio.spawn(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            await self._task.cancel()

    async def poll(self) -> None:
        """Read everything once.

        Raises StoreUnavailable, MapError and SettingsError.
        """
        await self._poll_config()
        self._copy.set_members(await self._store.members())
        await self._poll_map()

    async def _run(self) -> None:
        while True:
            try:
                await self.poll()
            except errors.Error:
                # The copy in memory stays in force during an outage.
                pass
            await aio.sleep(POLL_INTERVAL)

    async def _poll_config(self) -> None:
        while True:
            after = tables.log_key(self._copy.config_version)
            rows = await self._store.rows(tables.CONFIG_LOG, after=after)
            if not rows:
                return
            last = rows[-1]
            self._copy.offer_config(
                ids.ConfigVersion(int(last.value['version'])),
                log_rows.decode_document(last.value),
            )

    async def _poll_map(self) -> None:
        while True:
            after = tables.log_key(self._copy.shard_map.version)
            rows = await self._store.rows(tables.MAP_LOG, after=after)
            changes = [log_rows.decode_change(r.value) for r in rows]
            if not self._copy.offer_changes(changes):
                return

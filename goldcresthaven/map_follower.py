"""Reads the key maps when announcements are not enough.

Coordinators announce changes. The store is read at the start, after a missed
change, and while a coordinator does not report.
"""

from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import known_state as known_state_module
from goldcresthaven import state_store
from goldcresthaven import store_retry

CHECK_INTERVAL = timedelta(milliseconds=100)
# Minimum time between two reads of the key maps by one process.
MIN_READ_INTERVAL = timedelta(milliseconds=250)
# A coordinator sends three reports a second.
COORDINATOR_TIMEOUT = timedelta(seconds=1.2)
READ_INTERVAL_WITHOUT_REPORTS = timedelta(seconds=1.5)
# While the store does not answer, reads of the maps are this much rarer.
FAILING_READ_FACTOR = 2.0
# Interval of reads while all known coordinators report. It finds the maps of
# coordinators that this process does not know yet.
READ_INTERVAL_WITH_REPORTS = timedelta(seconds=30)


class MapFollower:
    """Follows the key maps of all pools.

    ``answers`` shows when the store answers again after an outage; it is
    shared with the other tables.
    """

    def __init__(
        self,
        *,
        store: state_store.StateStore,
        known_state: known_state_module.KnownState,
        answers: store_retry.StoreAnswers,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._answers = answers
        self._known_state = known_state
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Read the maps at the start, and again whenever they are due."""
        failing = False
        while True:
            started = self._clock.elapsed()
            self._known_state.maps_outdated = False
            try:
                reading = await self._store.read(state_store.Table.ASSIGNMENTS)
                self._known_state.maps_read = True
                self._apply(reading)
                self._answers.record(self._clock.elapsed())
                failing = False
            except errors.StoreUnavailable as exc:
                if not failing:
                    decision_log.note('maps-unread', detail=str(exc))
                failing = True
            ended = self._clock.elapsed()
            await self._wait_until_read_needed(started, ended, failing=failing)

    async def _wait_until_read_needed(
        self, read_at: timedelta, ended: timedelta, *, failing: bool
    ) -> None:
        """Return when to repeat the read that ran until ``ended``."""
        jitter = self._rng.uniform(0.7, 1.3)
        if failing:
            jitter *= FAILING_READ_FACTOR
        while True:
            await aio.sleep(CHECK_INTERVAL)
            now = self._clock.elapsed()
            if now - read_at < MIN_READ_INTERVAL * jitter:
                continue
            if self._known_state.maps_outdated:
                return
            if failing and self._answers.answered_since(ended):
                return
            report_missing = any(
                self._known_state.coordinator_report_age(pool, now)
                > COORDINATOR_TIMEOUT
                for pool in self._known_state.maps
            )
            if not self._known_state.maps or report_missing:
                if now - read_at > READ_INTERVAL_WITHOUT_REPORTS * jitter:
                    return
            elif now - read_at > READ_INTERVAL_WITH_REPORTS * jitter:
                return

    def _apply(self, reading: state_store.Reading) -> None:
        for row in reading.rows:
            if row.value is None:
                continue
            pool = ids.PoolName(row.key)
            known = self._known_state.maps.get(pool)
            if known is not None and known.version >= row.version:
                continue
            try:
                keys = key_map.decode(row.value, version=row.version)
            except errors.ProtocolError as exc:
                decision_log.note('map-unreadable', detail=str(exc))
                continue
            if known is not None and known.version >= keys.version:
                # The store was restored from a copy that has an older map.
                continue
            self._known_state.maps[pool] = keys
            decision_log.note(
                'map-applied',
                pool=pool,
                map_version=keys.version,
                count=len(keys.ranges),
            )

"""A table store for the simulation of key coordinators.

A call may be slow, its response may be lost, and a call without a response
may be applied later. The store may be unreachable for a while and come back
from an older copy. As on the wire, rows and expected versions are numbers of
one counter, which goes back with the copy; the client adds the history in
which the store responded.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from goldcresthaven import errors
from goldcresthaven import state_store
from proofs import coordinator_world
from proofs import virtual_loop

STORE_TIMEOUT = 1.0  # seconds


@dataclass(frozen=True, kw_only=True)
class Copy:
    """All rows as they were from the time ``at`` on."""

    at: float
    rows: Mapping[state_store.Key, state_store.Row]
    version: int


class Store:
    """A table store whose calls may be slow, lost or applied late.

    Rows and ``Copy`` have the store's own numbers as versions; results have
    versions with the history. ``history`` is 0 for a store that never was
    restored from a copy. Calls that arrive during ``outages``, which may
    overlap, are lost. ``response_delay`` returns how much later than usual a
    response leaves the store.
    """

    def __init__(
        self,
        loop: virtual_loop.Loop,
        faults: coordinator_world.Faults,
        uplinks: coordinator_world.Uplinks,
    ) -> None:
        self._loop = loop
        self._faults = faults
        self.uplinks = uplinks
        self._rows: dict[state_store.Key, state_store.Row] = {}
        self._version = 0
        self.history = state_store.FIRST_HISTORY
        self.outages = 0
        self.response_delay: Callable[[], float] = lambda: 0.0
        self._copies = [Copy(at=loop.now, rows={}, version=0)]

    def restore(self, seconds_back: float) -> None:
        """Continue with the rows of a past time, in a new history."""
        moment = self._loop.now - seconds_back
        older = [copy for copy in self._copies if copy.at <= moment]
        copy = older[-1] if older else self._copies[0]
        self._rows = dict(copy.rows)
        self._version = copy.version
        self.history = state_store.History(self.history + 1)
        self._keep_copy()

    def _keep_copy(self) -> None:
        self._copies.append(
            Copy(
                at=self._loop.now,
                rows=dict(self._rows),
                version=self._version,
            )
        )

    def client(self, process: str) -> 'StoreClient':
        return StoreClient(self._loop, self._faults, self, process)

    def reading(self, table: state_store.Table) -> state_store.Reading:
        rows = tuple(
            state_store.Row(
                key=row.key,
                version=state_store.version_in(self.history, row.version),
                value=row.value,
            )
            for key, row in self._rows.items()
            if key.table is table
        )
        return state_store.Reading(
            rows=rows,
            version=state_store.version_in(self.history, self._version),
            clock=self._clock(),
        )

    def apply(
        self,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        for key, version in expected.items():
            row = self._rows.get(key)
            found = row.version if row else state_store.ABSENT
            if found != state_store.number_of(version):
                return state_store.Conflict(history=self.history)
        return self._put(puts)

    def _put(
        self, puts: Mapping[state_store.Key, bytes]
    ) -> state_store.WriteResult:
        self._version += 1
        for key, value in puts.items():
            self._rows[key] = state_store.Row(
                key=key.key, version=self._version, value=value
            )
        self._keep_copy()
        return state_store.Committed(
            version=state_store.version_in(self.history, self._version),
            clock=self._clock(),
        )

    def apply_unconditionally(
        self,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        return self._put(puts)

    def _clock(self) -> timedelta:
        return timedelta(seconds=50.0 + self._loop.now)


class StoreClient:
    """Implements ``state_store.StateStore`` for one process."""

    def __init__(
        self,
        loop: virtual_loop.Loop,
        faults: coordinator_world.Faults,
        store: Store,
        process: str,
    ) -> None:
        self._loop = loop
        self._faults = faults
        self._store = store
        self._process = process

    async def read(self, table: state_store.Table) -> state_store.Reading:
        reading: state_store.Reading = await self._call(
            lambda: self._store.reading(table)
        )
        return reading

    async def watch(
        self, table: state_store.Table, *, after: int, wait: timedelta
    ) -> state_store.Reading:
        raise NotImplementedError

    async def write(
        self,
        *,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        result: state_store.WriteResult = await self._call(
            lambda: self._store.apply(expected, puts)
        )
        return result

    async def _call(self, perform: Any) -> Any:
        faults = self._faults
        rng = self._loop.rng
        task = self._loop.current
        assert task is not None
        wait = virtual_loop.Wait(self._loop)
        cut = (self._process, 'store') in faults.cut
        delay = self._store.uplinks.delay(self._process)
        if rng.random() < faults.store_slow:
            delay = rng.uniform(0.05, 6.0)
        lost = rng.random() < faults.store_lost

        def call() -> None:
            if self._store.outages:
                return
            result = perform()
            if not lost:
                self._loop.after(
                    coordinator_world.LATENCY + self._store.response_delay(),
                    lambda: wait.wake(result),
                )

        if not cut:
            self._loop.after(delay, call)
        error = errors.StoreUnavailable('no response', remedy='none')
        self._loop.after(STORE_TIMEOUT, lambda: wait.wake(error))
        return await wait

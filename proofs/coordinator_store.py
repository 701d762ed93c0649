"""A table store for the simulation of key coordinators.

A call may be slow, its response may be lost, and a call without a response
may be applied later.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from goldcresthaven import errors
from goldcresthaven import state_store
from proofs import coordinator_world
from proofs import virtual_loop

STORE_TIMEOUT = 1.0  # seconds


class Store:
    """A table store whose calls may be slow, lost or applied late."""

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

    def client(self, process: str) -> 'StoreClient':
        return StoreClient(self._loop, self._faults, self, process)

    def reading(self, table: state_store.Table) -> state_store.Reading:
        rows = tuple(r for k, r in self._rows.items() if k.table is table)
        return state_store.Reading(
            rows=rows, version=self._version, clock=self._clock()
        )

    def apply(
        self,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        for key, version in expected.items():
            row = self._rows.get(key)
            if (row.version if row else state_store.ABSENT) != version:
                return state_store.Conflict()
        return self._put(puts)

    def _put(
        self, puts: Mapping[state_store.Key, bytes]
    ) -> state_store.WriteResult:
        self._version += 1
        for key, value in puts.items():
            self._rows[key] = state_store.Row(
                key=key.key, version=self._version, value=value
            )
        return state_store.Committed(
            version=self._version, clock=self._clock()
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
            result = perform()
            if not lost:
                self._loop.after(
                    coordinator_world.LATENCY, lambda: wait.wake(result)
                )

        if not cut:
            self._loop.after(delay, call)
        error = errors.StoreUnavailable('no response', remedy='none')
        self._loop.after(STORE_TIMEOUT, lambda: wait.wake(error))
        return await wait

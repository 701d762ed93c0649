"""The store of the simulation of changes, and its faults."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from goldcresthaven import errors
from goldcresthaven import state_store
from proofs import virtual_loop


class Fault(Enum):
    """What happens to calls of the processes that a fault concerns.

    ``SILENT`` ones get no answer, not even to the opening packet; ``BUSY``
    ones are refused at once, and ``RESET`` ones lose the connection.
    ``UNANSWERED`` calls connect and get no answer.
    """

    SILENT = 'silent'
    UNANSWERED = 'unanswered'
    BUSY = 'busy'
    RESET = 'reset'


@dataclass(kw_only=True)
class Outage:
    """A fault from ``begin`` to ``end``, in seconds."""

    fault: Fault
    begin: float
    end: float
    names: frozenset[str]
    with_peers: bool = False


def unavailable(problem: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(problem, remedy='none, a simulation')


class Store:
    """The rows and the history of the store, and who waits for changes."""

    def __init__(self, loop: virtual_loop.Loop) -> None:
        self._loop = loop
        self.version = 0
        self.kept_from = 0
        self.muted_until = 0.0
        self.calls = 0
        self._rows: dict[tuple[state_store.Table, str], state_store.Row] = {}
        self._waits: list[virtual_loop.Wait] = []

    def put(
        self, table: state_store.Table | None, key: str, value: int
    ) -> None:
        """Write a row; without a table only the version rises."""
        self.version += 1
        if table is None:
            return
        self._rows[(table, key)] = state_store.Row(
            key=key, version=self.version, value=str(value).encode()
        )
        if self._loop.now >= self.muted_until:
            self.wake()

    def wake(self) -> None:
        waits, self._waits = self._waits, []
        for wait in waits:
            wait.wake()

    def drop_history(self) -> None:
        """Drop all changes, and fail the polls that wait for one."""
        self.kept_from = self.version
        waits, self._waits = self._waits, []
        for wait in waits:
            wait.wake(unavailable('the poll was closed'))

    def reading(
        self, table: state_store.Table, after: int
    ) -> state_store.Reading:
        rows = [
            row
            for (place, _), row in self._rows.items()
            if place is table and row.version > after
        ]
        return state_store.Reading(
            rows=tuple(sorted(rows, key=lambda row: row.version)),
            version=self.version,
            clock=timedelta(seconds=self._loop.now),
        )

    async def changes(
        self, table: state_store.Table, after: int, wait: float
    ) -> state_store.Reading:
        """Return the rows that changed, as soon as there is one."""
        if after < self.kept_from:
            raise state_store.HistoryLost('history lost', remedy='read all')
        end = self._loop.now + wait
        while not self.reading(table, after).rows and self._loop.now < end:
            pending = virtual_loop.Wait(self._loop)
            self._waits.append(pending)
            self._loop.at(end, pending.wake)
            await pending
        return self.reading(table, after)

"""The interface to the platform's table store.

``platform`` implements it for the real store; the tests use an in-memory
fake. Values are bytes, so that tables written by other programs can be read
through the same client.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from goldcresthaven import errors

ABSENT = 0
"""The version of a row that does not exist."""


class Table(Enum):
    """The tables that the router reads.

    It writes only ``CLAIMS`` and ``ASSIGNMENTS``.
    """

    CONFIG = 'config'
    REGISTRY = 'registry'
    CLAIMS = 'claims'
    ASSIGNMENTS = 'assignments'


class HistoryLost(errors.Error):
    """The store no longer keeps the requested changes.

    The caller has to read the complete table.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of a table; ``value`` is None if the row was removed."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """Rows of a table, complete up to ``version``.

    ``clock`` is the store's monotonic clock.
    """

    rows: tuple[Row, ...]
    version: int
    clock: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    table: Table
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """All writes were applied and got the version ``version``."""

    version: int
    clock: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """An expected version did not match, so nothing was written."""


WriteResult = Committed | Conflict


class StateStore(Protocol):
    """Calls to the store.

    Each call raises StoreUnavailable if no usable answer arrives in time. A
    write may have been applied in that case, or may still be applied later
    if the expected versions match at that time.
    """

    async def read(self, table: Table) -> Reading:
        """Return all rows of a table."""

    async def watch(
        self, table: Table, *, after: int, wait: timedelta
    ) -> Reading:
        """Return the rows that changed after a version.

        Waits at most ``wait`` for the first change. Raises HistoryLost if
        the store no longer keeps the changes after ``after``.
        """

    async def write(
        self, *, expected: Mapping[Key, int], puts: Mapping[Key, bytes]
    ) -> WriteResult:
        """Write all rows if every expected version matches, else none."""

"""What the router needs of the platform's store.

``platform`` implements this once for the platform; the tests use a small
store of their own. Values are bytes, so that the tables of others can be
read through the same client.
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
    """The tables that the router reads; it writes only its own two."""

    CONFIG = 'config'
    REGISTRY = 'registry'
    CLAIMS = 'claims'
    ASSIGNMENTS = 'assignments'


class HistoryLost(errors.Error):
    """The changes asked for are no longer kept; read the whole table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row; ``value`` is None for a removed one."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """Rows as of ``version``; ``clock`` is the store's steady clock."""

    rows: tuple[Row, ...]
    version: int
    clock: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    table: Table
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """All writes were applied under ``version``."""

    version: int
    clock: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """An expected version differed; nothing was written."""


WriteResult = Committed | Conflict


class StateStore(Protocol):
    """Calls to the store.

    Each raises StoreUnavailable when no usable answer came in time; a
    write may then have been applied, or may be applied later if its
    expectations still hold.
    """

    async def read(self, table: Table) -> Reading:
        """Return all rows of a table."""

    async def watch(
        self, table: Table, *, after: int, wait: timedelta
    ) -> Reading:
        """Return the rows that changed after a version.

        Waits for the first change at most ``wait``. Raises HistoryLost.
        """

    async def write(
        self, *, expected: Mapping[Key, int], puts: Mapping[Key, bytes]
    ) -> WriteResult:
        """Write all rows if each expected version matches."""

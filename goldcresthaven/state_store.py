"""The interface to the platform's table store.

``platform`` implements it for the real store; the tests use an in-memory
fake. Values are bytes, so that tables written by other programs can be read
through the same client.

A store that is restored from a copy begins a new history: it has lost the
last writes, and counts its versions on from an older one. The versions here
therefore consist of the number of the history and the store's version within
it. They increase across a restore, and never name two contents of a row.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType
from typing import Protocol

from goldcresthaven import errors

ABSENT = 0
"""The version of a row that does not exist."""

# Longest duration of a read or a write. A response takes 4 ms; with a slow
# store, 60 times as long.
CALL_TIMEOUT = timedelta(seconds=1)
# Longest time from the end of a poll's wait to its response.
WATCH_SLACK = timedelta(milliseconds=700)

History = NewType('History', int)
"""Counts how often the store was restored from an older copy."""

FIRST_HISTORY = History(0)
"""The history of a store that does not say how often it was restored."""

# Leaves room for 2**23 histories in the 63 bits of a message's integers.
_NUMBER_BITS = 40
MAX_NUMBER = (1 << _NUMBER_BITS) - 1
"""The highest version of its own that a store can give out."""


def version_in(history: History, number: int) -> int:
    """Return the version for the store's version ``number`` in a history."""
    return history << _NUMBER_BITS | number


def history_of(version: int) -> History:
    """Return the history in which the store gave out a version."""
    return History(version >> _NUMBER_BITS)


def number_of(version: int) -> int:
    """Return the store's own version, which is unique in its history."""
    return version & MAX_NUMBER


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

    ``clock`` is the store's monotonic clock. ``unreadable`` counts rows of
    other programs that are left out because they cannot be read.
    """

    rows: tuple[Row, ...]
    version: int
    clock: timedelta
    unreadable: int = 0


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
    """An expected version did not match, so nothing was written.

    ``history`` is the store's history at that time.
    """

    history: History = FIRST_HISTORY


WriteResult = Committed | Conflict


class StateStore(Protocol):
    """Calls to the store.

    Each call raises StoreUnavailable if no usable answer arrives within
    ``CALL_TIMEOUT``, or for a poll within ``WATCH_SLACK`` after its wait. A
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
        the store no longer keeps the changes after ``after``, or if
        ``after`` is of an earlier history.
        """

    async def write(
        self, *, expected: Mapping[Key, int], puts: Mapping[Key, bytes]
    ) -> WriteResult:
        """Write all rows if every expected version matches, else none."""

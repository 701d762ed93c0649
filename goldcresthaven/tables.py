"""Data types of the platform's table service.

The code without I/O builds transactions from these types; ``store_client``
sends them to the service.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from goldcresthaven import ids

CLAIMS = 'claims'
MAP_LOG = 'map_log'
CONFIG_LOG = 'config_log'
RUNS = 'runs'

ABSENT = 0

_LOG_KEY_DIGITS = 16


def log_key(version: int) -> str:
    """Return the key of a log row; keys sort in the order of versions."""
    return f'{version:0{_LOG_KEY_DIGITS}d}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as the table service returned it."""

    key: str
    version: int
    value: Mapping[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionIs:
    """The row has this version; ``ABSENT`` if it must not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldEquals:
    """The row exists and one of its fields has this value."""

    table: str
    key: str
    name: str
    value: str | int


Condition = VersionIs | FieldEquals


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A row's new value."""

    table: str
    key: str
    value: Mapping[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds.

    ``txn`` is unique. The writer stores it in the rows that it inserts, so
    that it recognises its own write after a lost response.
    """

    txn: ids.TxnId
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction was applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A condition failed and nothing was written.

    ``rows`` holds the current rows whose conditions failed, except for
    rows that do not exist.
    """

    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Ambiguous:
    """No usable response; the transaction may or may not have been applied.

    ``sent`` is False only when no byte of the transaction was sent.
    """

    detail: str = ''
    sent: bool = True


Result = Committed | Conflict | Ambiguous

"""How far a process has followed a table, and whether it has to ask.

A coordinator follows the store and passes on what changed, so that the
calls to the store do not grow with the number of processes. Everybody else
believes a coordinator for as long as the store's last answer to it is
recent, and asks the store itself otherwise, or when a change was missed.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import state_store

# The store's last answer to a coordinator may be this old. A change has to
# be in force 2 s after the store has accepted it, and asking takes a while.
MAX_ANSWER_AGE = timedelta(seconds=1.3)
# A coordinator reports three times a second; two reports may be lost.
REPORT_TIMEOUT = timedelta(seconds=1)
# A changed row travels beside the report that mentions it.
ROWS_GRACE = timedelta(milliseconds=150)
_NEVER = timedelta(days=-1)


@dataclass(frozen=True, kw_only=True, slots=True)
class TableState:
    """What a coordinator tells about a table.

    ``changed`` is the version of the newest change that it has applied,
    ``reached`` the version up to which there is no other, and ``age`` the
    time since the store told it so.
    """

    table: state_store.Table
    changed: int
    reached: int
    age: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class RowChanges:
    """Rows that changed after the version ``base`` and up to ``reached``."""

    table: state_store.Table
    base: int
    reached: int
    rows: tuple[state_store.Row, ...]


@dataclass(kw_only=True)
class Position:
    """How far one process has followed a table; None before a first read.

    ``heard`` is when the store answered last, to this process or to the
    coordinator that passed the answer on.
    """

    reached: int | None = None
    changed: int = 0
    answered_at: timedelta | None = None
    _trusted_until: timedelta = field(default=_NEVER, init=False)
    _behind_since: timedelta | None = field(default=None, init=False)

    def accept_reading(
        self, reading: state_store.Reading, now: timedelta, *, full: bool
    ) -> tuple[state_store.Row, ...] | None:
        """Note an answer of the store to this process.

        Returns the rows to apply, or None if what a coordinator has passed
        on meanwhile is newer than the whole table.
        """
        self.answered_at = now
        reached = self.reached or 0
        if full and reading.version < reached:
            return None
        rows = reading.rows
        if not full:
            rows = tuple(row for row in rows if row.version > reached)
        self._advance(reading.version)
        if rows:
            self.changed = max(self.changed, reading.version)
        return rows

    def require_full_read(self) -> None:
        """Note that the store keeps the changes since no longer."""
        self.reached = None

    def state(
        self, table: state_store.Table, now: timedelta
    ) -> TableState | None:
        """Return what to tell others, None before the first answer."""
        if self.reached is None or self.answered_at is None:
            return None
        return TableState(
            table=table,
            changed=self.changed,
            reached=self.reached,
            age=now - self.answered_at,
        )

    def apply_report(self, state: TableState, now: timedelta) -> None:
        """Note the report of a coordinator."""
        if state.age > MAX_ANSWER_AGE or self.reached is None:
            return
        trusted = min(REPORT_TIMEOUT, MAX_ANSWER_AGE - state.age)
        self._trusted_until = max(self._trusted_until, now + trusted)
        if self.reached < state.changed:
            self._behind_since = self._behind_since or now
            return
        self._advance(state.reached)
        self.changed = max(self.changed, state.changed)
        answered_at = now - state.age
        self.answered_at = (
            answered_at
            if self.answered_at is None
            else max(self.answered_at, answered_at)
        )

    def accept_rows(self, changes: RowChanges) -> tuple[state_store.Row, ...]:
        """Return the rows to apply of those that a coordinator passed on.

        There are none if changes before them are not known; those are
        asked for after the next report.
        """
        if self.reached is None or self.reached < changes.base:
            return ()
        reached = self.reached
        rows = tuple(row for row in changes.rows if row.version > reached)
        self._advance(changes.reached)
        if rows:
            self.changed = max(self.changed, changes.reached)
        return rows

    def needs_read(self, now: timedelta, extra_grace: timedelta) -> bool:
        """Return whether the store has to be asked.

        ``patience`` is added to the time that a passed-on change may take,
        so that the processes that missed one do not ask at once.
        """
        if self.reached is None or now > self._trusted_until:
            return True
        behind = self._behind_since
        return behind is not None and now - behind > ROWS_GRACE + extra_grace

    def _advance(self, version: int) -> None:
        self._behind_since = None
        if self.reached is None or self.reached < version:
            self.reached = version

"""The position up to which a process has followed a table of the store.

A coordinator follows the store and relays changed rows, so that the number
of calls to the store does not grow with the number of processes. The other
processes rely on a coordinator while the store's last answer to it is
recent. Otherwise, and after a missed change, they poll the store themselves.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum

from goldcresthaven import state_store

# Time between two reports of a coordinator.
REPORT_INTERVAL = timedelta(milliseconds=300)
# Maximum age of the store's last answer to a coordinator whose reports are
# used; less if the deployment demands that changes are known sooner.
MAX_ANSWER_AGE = timedelta(seconds=1.3)
# Two reports may be lost.
REPORT_TIMEOUT = timedelta(seconds=1)
# Changed rows and the report that mentions them are sent in separate
# datagrams, so the rows may arrive later.
ROWS_GRACE = timedelta(milliseconds=150)
_NEVER = timedelta(days=-1)


class Source(Enum):
    """How a process learned of changes of a table.

    ``RELAYED`` changes came from a coordinator, ``REQUESTED`` ones after its
    report had shown that they were missing, ``POLLED`` ones from a poll of the
    store, and ``READ`` ones from a read of the whole table.
    """

    RELAYED = 'relayed'
    REQUESTED = 'requested'
    POLLED = 'polled'
    READ = 'read'


@dataclass(frozen=True, kw_only=True, slots=True)
class TableState:
    """A coordinator's report on a table.

    ``changed`` is the version of the newest change that it has applied. It
    knows all changes up to the version ``reached``. ``age`` is the time
    since the store confirmed this.
    """

    table: state_store.Table
    changed: int
    reached: int
    age: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class RowChanges:
    """The rows that changed after version ``base`` and up to ``reached``.

    ``base`` is the version of the sender's previous change of the table. A
    higher one, which only writes to other tables gave out, would be unknown
    to the receivers.
    """

    table: state_store.Table
    base: int
    reached: int
    rows: tuple[state_store.Row, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MissedRows:
    """The rows that changed after a version, which a process lacks."""

    table: state_store.Table
    after: int


@dataclass(kw_only=True)
class Position:
    """The version of a table up to which one process knows all changes.

    ``reached`` is None before the first read. ``answered_at`` is the time of
    the store's last answer, to this process or to the coordinator that
    reported it. A coordinator takes the earliest time at which the store can
    have made it. Reports are used if this is not longer than
    ``max_answer_age`` ago.
    """

    max_answer_age: timedelta = MAX_ANSWER_AGE
    reached: int | None = None
    changed: int = 0
    answered_at: timedelta | None = None
    _trusted_until: timedelta = field(default=_NEVER, init=False)
    _behind_since: timedelta | None = field(default=None, init=False)
    _full_read_at: timedelta | None = field(default=None, init=False)

    @property
    def was_reported(self) -> bool:
        """Whether a coordinator has ever reported on the table."""
        return self._trusted_until != _NEVER

    def accept_reading(
        self, reading: state_store.Reading, made_at: timedelta, *, full: bool
    ) -> tuple[state_store.Row, ...] | None:
        """Record an answer that the store made for this process.

        Returns the rows to apply. Returns None for a full read that is older
        than the changes that a coordinator has relayed in the meantime.
        """
        self.answered_at = made_at
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
        """Require a full read, because the store has dropped older changes."""
        self.reached = None

    def schedule_full_read(self, at: timedelta) -> None:
        """Require a full read from ``at`` on."""
        self._full_read_at = at

    def is_full_read_due(self, now: timedelta) -> bool:
        """Return whether a scheduled full read has to start.

        Until it has succeeded, relayed rows are accepted as before.
        """
        return self._full_read_at is not None and now >= self._full_read_at

    def end_full_read(self) -> None:
        """Record that the scheduled full read has succeeded."""
        self._full_read_at = None

    def state(
        self, table: state_store.Table, now: timedelta
    ) -> TableState | None:
        """Return the state to report, or None before the first answer."""
        if self.reached is None or self.answered_at is None:
            return None
        return TableState(
            table=table,
            changed=self.changed,
            reached=self.reached,
            age=now - self.answered_at,
        )

    def apply_report(self, state: TableState, now: timedelta) -> bool:
        """Apply a coordinator's report; return whether it was usable."""
        if state.age > self.max_answer_age or self.reached is None:
            return False
        if state_store.history_of(state.reached) < state_store.history_of(
            self.reached
        ):
            # The coordinator has not seen the last restore, or its program
            # does not know of restores. The versions cannot be compared.
            return False
        trusted = min(REPORT_TIMEOUT, self.max_answer_age - state.age)
        self._trusted_until = max(self._trusted_until, now + trusted)
        if self.reached < state.changed:
            self._behind_since = self._behind_since or now
            return True
        self._advance(state.reached)
        self.changed = max(self.changed, state.changed)
        answered_at = now - state.age
        self.answered_at = (
            answered_at
            if self.answered_at is None
            else max(self.answered_at, answered_at)
        )
        return True

    def lacks_changes_before(self, changes: RowChanges) -> bool:
        """Return whether changes before the relayed ones may be missing."""
        return self.reached is None or self.reached < changes.base

    def accept_rows(self, changes: RowChanges) -> tuple[state_store.Row, ...]:
        """Record rows that a coordinator relayed; return those to apply.

        Returns none if earlier changes are missing. The next report then
        shows that the store has to be polled.
        """
        if self.reached is None or self.lacks_changes_before(changes):
            return ()
        reached = self.reached
        rows = tuple(row for row in changes.rows if row.version > reached)
        self._advance(changes.reached)
        if rows:
            self.changed = max(self.changed, changes.reached)
        return rows

    def needs_read(self, now: timedelta, extra_grace: timedelta) -> bool:
        """Return whether this process has to poll the store.

        ``extra_grace`` is added to the time that relayed rows may take to
        arrive. It differs between processes, so that those that missed the
        same change do not poll at the same time.
        """
        if self.reached is None or now > self._trusted_until:
            return True
        if self.is_full_read_due(now):
            return True
        behind = self._behind_since
        return behind is not None and now - behind > ROWS_GRACE + extra_grace

    def _advance(self, version: int) -> None:
        self._behind_since = None
        if self.reached is None or self.reached < version:
            self.reached = version

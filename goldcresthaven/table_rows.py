"""The rows of a table that a process knows, to pass on to other processes.

A process that missed relayed rows asks a coordinator for what has changed
since the version that it knows. It need not reach the store for that.
"""

from collections.abc import Iterable

from goldcresthaven import state_store

# Removed rows are kept so that their removal can be passed on. A process that
# has missed an older removal reads the store.
MAX_REMOVED = 500


class TableRows:
    """All rows of a table, and the last ones that were removed."""

    def __init__(self) -> None:
        self._rows: dict[str, state_store.Row] = {}
        self._removed: dict[str, state_store.Row] = {}
        # All changes after this version are known; None before the first read.
        self._complete_from: int | None = None

    def missing_from(self, rows: Iterable[state_store.Row]) -> list[str]:
        """Return the keys that a read of the whole table no longer has."""
        return sorted(self._rows.keys() - {row.key for row in rows})

    def replace(self, rows: tuple[state_store.Row, ...], version: int) -> None:
        """Record a read of the whole table, complete up to a version."""
        if self._complete_from is None:
            self._complete_from = version
        for key in self.missing_from(rows):
            self._remove(state_store.Row(key=key, version=version, value=None))
        self.update(rows)

    def update(self, rows: Iterable[state_store.Row]) -> None:
        """Record rows that changed or were removed."""
        for row in rows:
            if row.value is None:
                self._remove(row)
            else:
                self._removed.pop(row.key, None)
                self._rows[row.key] = row

    def since(self, version: int) -> tuple[state_store.Row, ...] | None:
        """Return what changed after a version, or None if that is unknown."""
        if self._complete_from is None or version < self._complete_from:
            return None
        found = [
            row
            for rows in (self._rows, self._removed)
            for row in rows.values()
            if row.version > version
        ]
        return tuple(sorted(found, key=lambda row: (row.version, row.key)))

    def _remove(self, row: state_store.Row) -> None:
        self._rows.pop(row.key, None)
        self._removed.pop(row.key, None)
        self._removed[row.key] = row
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._complete_from = max(
                self._complete_from or oldest.version, oldest.version
            )

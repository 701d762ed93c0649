"""This process's copy of a replicated log.

Entries are applied in order, each once, so that the version never
decreases. The most recent entries are kept in a bounded tail for peers that
are behind. Early entries, which arrive before their predecessors, are kept
in a second bounded buffer until the gap is filled.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import json
from typing import Any

from goldcresthaven import ids
from goldcresthaven import messages

# Enough for several hours at 34,000 changes a day of a few KiB each.
MAX_TAIL_ENTRIES = 4096
MAX_TAIL_BYTES = 8 << 20
MAX_EARLY_ENTRIES = 1024
MAX_EARLY_BYTES = 4 << 20
# Two ranges of this size fit into one message, including the frame.
MAX_RANGE_BYTES = 500 << 10
MAX_RANGE_ITEMS = 512
_ENTRY_OVERHEAD_BYTES = 160


def make_entry(
    version: int, txn: ids.TxnId, value: Mapping[str, Any]
) -> messages.LogEntry:
    """Return the entry for a row, with the value as canonical JSON."""
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return messages.LogEntry(version=version, txn=txn, value=text.encode())


def split(
    entries: Sequence[messages.LogEntry],
) -> list[tuple[messages.LogEntry, ...]]:
    """Return the entries in groups that each fit into one range."""
    groups: list[tuple[messages.LogEntry, ...]] = []
    group: list[messages.LogEntry] = []
    size = 0
    for entry in entries:
        size += _size(entry)
        if group and (size > MAX_RANGE_BYTES or len(group) >= MAX_RANGE_ITEMS):
            groups.append(tuple(group))
            group, size = [], _size(entry)
        group.append(entry)
    return [*groups, tuple(group)] if group else groups


def entry_value(entry: messages.LogEntry) -> Any:
    """Return the row's value that ``make_entry`` encoded."""
    return json.loads(entry.value)


def _size(entry: messages.LogEntry) -> int:
    return len(entry.value) + _ENTRY_OVERHEAD_BYTES


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferResult:
    """Result of offering an entry to a log.

    ``fresh`` means that the entry was new. ``applied`` are the entries to
    apply now, in order. ``differs`` means that a different entry of the same
    version was applied before, which can only be caused by a fault in the
    store or in the sender.
    """

    fresh: bool = False
    applied: tuple[messages.LogEntry, ...] = ()
    differs: bool = False


class Log:
    """One process's copy of one log."""

    def __init__(self, name: messages.LogName) -> None:
        self.name = name
        self.version = 0
        self._tail: collections.deque[messages.LogEntry] = collections.deque()
        self._tail_bytes = 0
        self._early: dict[int, messages.LogEntry] = {}
        self._early_bytes = 0

    @property
    def first_kept(self) -> int:
        """Version of the oldest entry that is still kept."""
        return self.version - len(self._tail) + 1

    def offer(self, entry: messages.LogEntry) -> OfferResult:
        """Add an entry that came from the store, a peer or this process."""
        if entry.version <= self.version:
            return OfferResult(differs=self._differs(entry))
        if entry.version > self.version + 1:
            return OfferResult(fresh=self._keep_early(entry))
        applied = [entry]
        self._append(entry)
        while (early := self._early.pop(self.version + 1, None)) is not None:
            self._early_bytes -= _size(early)
            applied.append(early)
            self._append(early)
        return OfferResult(fresh=True, applied=tuple(applied))

    def skip_to(self, version: int) -> tuple[messages.LogEntry, ...]:
        """Continue at a snapshot's version; return early entries to apply.

        A snapshot that is not newer than this copy is ignored.
        """
        if version <= self.version:
            return ()
        self.version = version
        self._tail.clear()
        self._tail_bytes = 0
        early = [self._early[v] for v in sorted(self._early)]
        self._early.clear()
        self._early_bytes = 0
        return tuple(a for e in early for a in self.offer(e).applied)

    def since(self, version: int) -> messages.LogRange:
        """Return the entries after ``version``, as many as one range holds."""
        if version >= self.version:
            return messages.LogRange(log=self.name, head=self.version)
        if version + 1 < self.first_kept:
            return messages.LogRange(
                log=self.name, head=self.version, too_old=True
            )
        start = version + 1 - self.first_kept
        missing = itertools.islice(self._tail, start, start + MAX_RANGE_ITEMS)
        return messages.LogRange(
            log=self.name, head=self.version, entries=split(list(missing))[0]
        )

    def _append(self, entry: messages.LogEntry) -> None:
        self.version = entry.version
        self._tail.append(entry)
        self._tail_bytes += _size(entry)
        while (
            len(self._tail) > MAX_TAIL_ENTRIES
            or self._tail_bytes > MAX_TAIL_BYTES
        ):
            self._tail_bytes -= _size(self._tail.popleft())

    def _differs(self, entry: messages.LogEntry) -> bool:
        pos = entry.version - self.first_kept
        return pos >= 0 and self._tail[pos].txn != entry.txn

    def _keep_early(self, entry: messages.LogEntry) -> bool:
        if (
            entry.version in self._early
            or len(self._early) >= MAX_EARLY_ENTRIES
            or self._early_bytes + _size(entry) > MAX_EARLY_BYTES
        ):
            return False
        self._early[entry.version] = entry
        self._early_bytes += _size(entry)
        return True

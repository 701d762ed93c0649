"""Writes changes to the map log, one at a time.

A change has version N + 1. It is applied only if that row is absent and, for
a move, if the claim still has the writer's epoch. A change whose result is
unknown blocks the next one until the store has responded.
"""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import map_codec
from goldcresthaven import pending_transactions
from goldcresthaven import shards
from goldcresthaven import tables


@dataclass(frozen=True, kw_only=True, slots=True)
class Draft:
    """A map change without its version.

    ``domain`` and ``epoch`` identify the claim that the change needs, if any.
    """

    reason: str
    updated: tuple[shards.Shard, ...] = ()
    removed: tuple[ids.ShardId, ...] = ()
    domain: ids.DomainId | None = None
    epoch: ids.Epoch = ids.Epoch(0)
    homes: tuple[tuple[ids.UpstreamId, ids.DomainId], ...] = ()


def conditions(change: shards.MapChange) -> tuple[tables.Condition, ...]:
    """Return the conditions under which a change may be written."""
    absent = tables.VersionIs(
        table=tables.MAP_LOG,
        key=tables.log_key(change.version),
        version=tables.ABSENT,
    )
    if change.domain is None:
        return (absent,)
    same_epoch = tables.FieldEquals(
        table=tables.CLAIMS,
        key=change.domain,
        name='epoch',
        value=change.epoch,
    )
    return (absent, same_epoch)


class MapWriter:
    """Writes the map changes of this process and tracks the pending one."""

    def __init__(
        self, transactions: pending_transactions.PendingTransactions
    ) -> None:
        self._transactions = transactions
        self._change: shards.MapChange | None = None

    @property
    def busy(self) -> bool:
        return self._change is not None

    def unresolved_shards(self) -> frozenset[ids.ShardId]:
        """Return the shards in the change whose write is unresolved."""
        change = self._change
        if change is None:
            return frozenset()
        changed = frozenset(s.shard_id for s in change.shards)
        return changed | set(change.removed)

    def write(
        self, draft: Draft, after: ids.MapVersion, *, now: timedelta
    ) -> control.Transact:
        """Return the action that writes a change after version ``after``."""
        txn = self._transactions.new_id()
        change = shards.MapChange(
            version=ids.MapVersion(after + 1),
            txn=txn,
            shards=draft.updated,
            removed=draft.removed,
            domain=draft.domain,
            epoch=draft.epoch,
            reason=draft.reason,
            homes=draft.homes,
        )
        self._change = change
        row = tables.Write(
            table=tables.MAP_LOG,
            key=tables.log_key(change.version),
            value=map_codec.to_value(change),
        )
        transaction = tables.Transaction(
            txn=txn, conditions=conditions(change), writes=(row,)
        )
        return self._transactions.send(transaction, now=now)

    def resolved(
        self, txn: ids.TxnId, result: tables.Result
    ) -> tuple[shards.MapChange | None, tuple[shards.MapChange, ...]]:
        """Return this process's change if it was applied, else the others'.

        After a lost response the log row shows which transaction wrote it.
        """
        change = self._change
        if change is None or change.txn != txn:
            return None, ()
        self._change = None
        if isinstance(result, tables.Committed):
            return change, ()
        if not isinstance(result, tables.Conflict):
            return None, ()
        found = tuple(
            map_codec.from_value(row.value)
            for row in result.rows
            if row.key == tables.log_key(change.version)
        )
        if any(other.txn == txn for other in found):
            return change, ()
        return None, found

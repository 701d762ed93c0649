"""Transactions whose result is not known yet.

A transaction without a usable response may have applied. It is repeated
with the same id until the store answers, because until then its writer
can neither report it nor do something else instead.
"""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import tables

RETRY_EVERY = timedelta(milliseconds=500)

# The driver answers every transaction sooner; this covers a lost event.
ANSWER_WITHIN = timedelta(seconds=5)


@dataclass(kw_only=True, slots=True)
class Pending:
    """One unresolved transaction.

    ``first_sent`` counts for the validity of a claim: the transaction may
    have applied at any time after it.
    """

    transaction: tables.Transaction
    first_sent: timedelta
    retry_at: timedelta


class PendingTransactions:
    """The unresolved transactions of this process."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._count = 0
        self._pending: dict[ids.TxnId, Pending] = {}

    def new_id(self) -> ids.TxnId:
        """Return an id that no other transaction has."""
        self._count += 1
        return ids.TxnId(f'{self._prefix}/{self._count}')

    def send(
        self, transaction: tables.Transaction, *, now: timedelta
    ) -> control.Transact:
        """Register a transaction and return the action that sends it."""
        self._pending[transaction.txn] = Pending(
            transaction=transaction,
            first_sent=now,
            retry_at=now + ANSWER_WITHIN,
        )
        return control.Transact(transaction=transaction)

    def resolve(
        self, event: control.TransactResult, *, now: timedelta
    ) -> Pending | None:
        """Return the transaction that a result settles, or None."""
        pending = self._pending.get(event.txn)
        if pending is None:
            return None
        if isinstance(event.result, tables.Ambiguous):
            pending.retry_at = now + RETRY_EVERY
            return None
        return self._pending.pop(event.txn)

    def retries(self, now: timedelta) -> list[control.Action]:
        """Return the transactions to be sent again."""
        actions: list[control.Action] = []
        for pending in self._pending.values():
            if now >= pending.retry_at:
                pending.retry_at = now + ANSWER_WITHIN
                actions.append(
                    control.Transact(transaction=pending.transaction)
                )
        return actions

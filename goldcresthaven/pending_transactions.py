"""Transactions with an unknown result.

A transaction without a usable response may have been applied. It is
retried with the same id until the store answers, because until then its
writer can neither report the result nor write something else instead.
"""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import tables

RETRY_INTERVAL = timedelta(milliseconds=500)

# The control driver reports the result of every transaction earlier than this,
# even if it is Ambiguous. The timeout covers a lost ``TransactResult``.
ANSWER_TIMEOUT = timedelta(seconds=5)


@dataclass(kw_only=True, slots=True)
class PendingTransaction:
    """One unresolved transaction.

    The validity of a claim counts from ``first_sent``, because the
    transaction may have been applied at any time after it.
    """

    transaction: tables.Transaction
    first_sent: timedelta
    retry_at: timedelta


class PendingTransactions:
    """The unresolved transactions of this process."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._count = 0
        self._pending: dict[ids.TxnId, PendingTransaction] = {}

    def new_id(self) -> ids.TxnId:
        """Return a new unique id."""
        self._count += 1
        return ids.TxnId(f'{self._prefix}/{self._count}')

    def send(
        self, transaction: tables.Transaction, *, now: timedelta
    ) -> control.Transact:
        """Register a transaction and return the action that sends it."""
        self._pending[transaction.txn] = PendingTransaction(
            transaction=transaction,
            first_sent=now,
            retry_at=now + ANSWER_TIMEOUT,
        )
        return control.Transact(transaction=transaction)

    def resolve(
        self, event: control.TransactResult, *, now: timedelta
    ) -> PendingTransaction | None:
        """Remove and return the transaction that a result resolves.

        Returns None, and keeps the transaction for a retry, if the result
        is ambiguous.
        """
        pending = self._pending.get(event.txn)
        if pending is None:
            return None
        if isinstance(event.result, tables.Ambiguous):
            pending.retry_at = now + RETRY_INTERVAL
            return None
        return self._pending.pop(event.txn)

    def retries(self, now: timedelta) -> list[control.Action]:
        """Return the actions that resend transactions without an answer."""
        actions: list[control.Action] = []
        for pending in self._pending.values():
            if now >= pending.retry_at:
                pending.retry_at = now + ANSWER_TIMEOUT
                actions.append(
                    control.Transact(transaction=pending.transaction)
                )
        return actions

"""Records that prevent sending a non-idempotent request twice.

If two entry processes receive the same payment, a row of the ``runs`` table
decides between them: only the process that inserts it may send the request.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
import hashlib
import secrets
from typing import Protocol

from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import routing
from goldcresthaven import tables

# About 10 MiB of keys; the oldest are removed first.
MAX_LOCAL_KEYS = 65_536

_SENT = 'sent'
_NOT_RUN = 'not-run'


class Store(Protocol):
    """The part of the store client that the records need."""

    async def transact(
        self, txn: tables.Transaction, *, timeout: timedelta
    ) -> tables.Result: ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The right to send a request.

    ``local_key`` is the key of the record in memory and ``row_key`` that of
    the row in the store; they are None where there is no such record.
    """

    txn: ids.TxnId
    local_key: str | None = None
    row_key: str | None = None


def row_key(pool: ids.PoolName, idempotency_key: str) -> str:
    """Return the key of a request's row in the ``runs`` table."""
    text = f'{len(pool)}:{pool}{idempotency_key}'
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


class Records:
    """Reserves and releases the right to send non-idempotent requests."""

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._local: OrderedDict[str, None] = OrderedDict()

    async def reserve(
        self, routed: routing.Routed, *, timeout: timedelta
    ) -> Reserved | outcomes.NotRun | outcomes.Unknown:
        """Record that the request is about to be sent.

        Returns Unknown with ``ALREADY_SENT`` for a repeat, and NotRun if
        the store did not answer within ``timeout``.
        """
        txn = ids.TxnId(secrets.token_hex(12))
        key = routed.idempotency_key
        if routed.idempotent or key is None:
            return Reserved(txn=txn)
        name = row_key(routed.pool.name, key)
        match routed.pool.dedup:
            case presets.Dedup.UPSTREAM:
                return Reserved(txn=txn)
            case presets.Dedup.NONE:
                return self._reserve_local(name, txn)
            case presets.Dedup.STORE:
                return await self._reserve_row(name, txn, timeout)

    async def release(self, reserved: Reserved, *, timeout: timedelta) -> None:
        """Allow a repeat of a request that is known not to have run.

        If the store does not answer, the record stays. A repeat is then
        answered as unknown, which is safe.
        """
        if reserved.local_key is not None:
            self._local.pop(reserved.local_key, None)
        if reserved.row_key is None:
            return
        own_record = tables.FieldEquals(
            table=tables.RUNS,
            key=reserved.row_key,
            name='txn',
            value=reserved.txn,
        )
        await self._store.transact(
            _write(reserved.row_key, reserved.txn, _NOT_RUN, own_record),
            timeout=timeout,
        )

    def _reserve_local(
        self, name: str, txn: ids.TxnId
    ) -> Reserved | outcomes.Unknown:
        if name in self._local:
            return _already_sent()
        self._local[name] = None
        if len(self._local) > MAX_LOCAL_KEYS:
            self._local.popitem(last=False)
        return Reserved(txn=txn, local_key=name)

    async def _reserve_row(
        self, name: str, txn: ids.TxnId, timeout: timedelta
    ) -> Reserved | outcomes.NotRun | outcomes.Unknown:
        absent = tables.VersionIs(
            table=tables.RUNS, key=name, version=tables.ABSENT
        )
        result = await self._store.transact(
            _write(name, txn, _SENT, absent), timeout=timeout
        )
        if isinstance(result, tables.Conflict):
            row = next((r for r in result.rows if r.key == name), None)
            if row is None or row.value.get('state') != _NOT_RUN:
                return _already_sent()
            unchanged = tables.VersionIs(
                table=tables.RUNS, key=name, version=row.version
            )
            result = await self._store.transact(
                _write(name, txn, _SENT, unchanged), timeout=timeout
            )
        match result:
            case tables.Committed():
                return Reserved(txn=txn, row_key=name)
            case tables.Conflict():
                return _already_sent()
            case tables.Ambiguous():
                return outcomes.NotRun(
                    reason=outcomes.Reason.STORE_UNAVAILABLE,
                    detail='the store did not confirm the record in time',
                    retry_after=timedelta(seconds=1),
                )


def _write(
    name: str, txn: ids.TxnId, state: str, condition: tables.Condition
) -> tables.Transaction:
    value = {'txn': txn, 'state': state}
    return tables.Transaction(
        txn=txn,
        conditions=(condition,),
        writes=(tables.Write(table=tables.RUNS, key=name, value=value),),
    )


def _already_sent() -> outcomes.Unknown:
    return outcomes.Unknown(
        reason=outcomes.Reason.ALREADY_SENT,
        detail='a request with this Idempotency-Key was sent before',
        status=409,
    )

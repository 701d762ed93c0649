"""Client of the platform's table service, object store and member list.

A write without a response may have been applied. Such a transaction is sent
again; if it conflicts, the conflicting rows show whether the first attempt
wrote them.
"""

from collections.abc import Mapping
from datetime import timedelta
import json
from typing import Any
import urllib.parse

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import tables
from goldcresthaven import upstream_pool

REQUEST_TIMEOUT = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=50)
TRANSACT_TIMEOUT = timedelta(seconds=4)
MAX_RESPONSE_BYTES = 16 << 20
MAX_CONNECTIONS = 8
SCAN_LIMIT = 1000


class StoreClient:
    """Client of the platform; safe to use from several tasks.

    Every method except ``transact`` raises StoreUnavailable when no usable
    response arrives in time.
    """

    def __init__(
        self,
        *,
        address: members.Address,
        clock: clock_module.Clock,
        request_timeout: timedelta = REQUEST_TIMEOUT,
    ) -> None:
        self._address = address
        self._clock = clock
        self._timeout = request_timeout
        self._conns = upstream_pool.UpstreamPool()

    async def close(self) -> None:
        await self._conns.close()

    async def transact(
        self,
        txn: tables.Transaction,
        *,
        timeout: timedelta = TRANSACT_TIMEOUT,
    ) -> tables.Result:
        """Apply a transaction, repeating it until its result is known.

        Returns Ambiguous when ``timeout`` passes without a response. Its
        ``sent`` says whether the store may have received the transaction.
        """
        body = json.dumps(_encode_transaction(txn)).encode()
        stop = self._clock.elapsed() + timeout
        maybe_applied = False
        detail = 'no response'
        while self._clock.elapsed() < stop:
            try:
                left = stop - self._clock.elapsed()
                status, data = await self._call(
                    'POST', '/v1/transact', body, min(left, self._timeout)
                )
            except errors.ConnectionFailed as exc:
                detail = str(exc)
            except errors.StoreUnavailable as exc:
                maybe_applied = True
                detail = str(exc)
            else:
                result = _read_result(status, data)
                if isinstance(result, tables.Conflict) and maybe_applied:
                    return resolve(txn, result)
                if not isinstance(result, tables.Ambiguous):
                    return result
                maybe_applied = True
                detail = result.detail
            await aio.sleep(RETRY_PAUSE)
        return tables.Ambiguous(detail=detail, sent=maybe_applied)

    async def row(self, table: str, key: str) -> tables.Row | None:
        path = f'/v1/rows/{_quote(table)}/{_quote(key)}'
        status, data = await self._read('GET', path)
        if status == 404:
            return None
        return _decode_row(_parse(status, data))

    async def rows(
        self, table: str, *, after: str = '', limit: int = SCAN_LIMIT
    ) -> tuple[tables.Row, ...]:
        """Return up to ``limit`` rows whose key is above ``after``."""
        query = urllib.parse.urlencode({'after': after, 'limit': limit})
        path = f'/v1/rows/{_quote(table)}?{query}'
        document = _parse(*await self._read('GET', path))
        return tuple(_decode_row(r) for r in _list(document, 'rows'))

    async def members(self) -> tuple[members.Member, ...]:
        document = _parse(*await self._read('GET', '/v1/members'))
        return tuple(_decode_member(m) for m in _list(document, 'members'))

    async def put_object(self, name: str, data: bytes) -> None:
        path = f'/v1/objects/{_quote(name)}'
        status, _ = await self._read('PUT', path, data)
        if status not in (200, 201, 204):
            raise _unavailable(f'storing {name} failed with status {status}')

    async def get_object(self, name: str) -> bytes | None:
        status, data = await self._read('GET', f'/v1/objects/{_quote(name)}')
        if status == 404:
            return None
        if status != 200:
            raise _unavailable(f'reading {name} failed with status {status}')
        return data

    async def _read(
        self, method: str, path: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        try:
            return await self._call(method, path, body, self._timeout)
        except errors.ConnectionFailed as exc:
            raise _unavailable(str(exc)) from exc

    async def _call(
        self, method: str, path: str, body: bytes, timeout: timedelta
    ) -> tuple[int, bytes]:
        """Send one request and return the status and body of the response.

        Raises ConnectionFailed when nothing was sent and StoreUnavailable
        when the request may have been executed.
        """
        conn = await self._conns.take(self._address, limit=MAX_CONNECTIONS)
        head = http_head.RequestHead(
            method=method,
            target=path,
            headers=(
                ('host', str(self._address)),
                ('content-type', 'application/json'),
            ),
        )
        try:
            async with aio.timeout(timeout):
                response, data = await http_io.fetch(
                    conn, head, body, limit=MAX_RESPONSE_BYTES
                )
        except errors.Error as exc:
            raise _unavailable(str(exc)) from exc
        finally:
            await self._conns.give_back(self._address, conn)
        return response.status, data


def resolve(
    txn: tables.Transaction, conflict: tables.Conflict
) -> tables.Result:
    """Return the result of a repeated transaction that got a conflict.

    The first attempt was applied if a row that the transaction writes now
    contains its ``txn``. Rows with a ``txn`` are not replaced while their
    writer waits for the result, so the ``txn`` in the row identifies the
    transaction that was applied. A row without a ``txn`` proves the write
    only if it has exactly the written value. If another process may have
    written the row since, the result stays unknown.
    """
    found = {row.key: row for row in conflict.rows}
    inserted = {
        (c.table, c.key)
        for c in txn.conditions
        if isinstance(c, tables.VersionIs) and c.version == tables.ABSENT
    }
    for write in txn.writes:
        row = found.get(write.key)
        if row is None:
            continue
        if 'txn' in write.value:
            mine = row.value.get('txn') == txn.txn
            return tables.Committed() if mine else conflict
        if dict(row.value) == dict(write.value):
            return tables.Committed()
    if any((w.table, w.key) in inserted for w in txn.writes):
        return conflict
    return tables.Ambiguous(
        detail='another transaction has changed the row since'
    )


def _unavailable(problem: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'the platform gave no usable response: {problem}',
        remedy='wait for it to recover; nothing was reported as accepted',
    )


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe='')


def _encode_transaction(txn: tables.Transaction) -> dict[str, Any]:
    return {
        'txn': txn.txn,
        'conditions': [_encode_condition(c) for c in txn.conditions],
        'writes': [
            {'table': w.table, 'key': w.key, 'value': dict(w.value)}
            for w in txn.writes
        ],
    }


def _encode_condition(condition: tables.Condition) -> dict[str, Any]:
    match condition:
        case tables.VersionIs():
            return {
                'table': condition.table,
                'key': condition.key,
                'version': condition.version,
            }
        case tables.FieldEquals():
            return {
                'table': condition.table,
                'key': condition.key,
                'field': condition.name,
                'equals': condition.value,
            }


def _read_result(status: int, data: bytes) -> tables.Result:
    if status not in (200, 409):
        return tables.Ambiguous(detail=f'the response has status {status}')
    try:
        document = _parse(200, data)
        if document.get('committed') is True and status == 200:
            return tables.Committed()
        rows = tuple(_decode_row(r) for r in _list(document, 'rows'))
    except errors.StoreUnavailable as exc:
        return tables.Ambiguous(detail=str(exc))
    return tables.Conflict(rows=rows)


def _parse(status: int, data: bytes) -> Mapping[str, Any]:
    if status != 200:
        raise _unavailable(f'the response has status {status}')
    try:
        document = json.loads(data)
    except (RecursionError, ValueError) as exc:
        raise _unavailable(f'the response is not JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise _unavailable('the response is not a JSON object')
    return document


def _list(document: Mapping[str, Any], name: str) -> list[Any]:
    found = document.get(name)
    if not isinstance(found, list):
        raise _unavailable(f'the response has no list {name!r}')
    return found


def _decode_row(raw: Any) -> tables.Row:
    try:
        return tables.Row(
            key=str(raw['key']),
            version=int(raw['version']),
            value=dict(raw['value']),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise _unavailable(f'a row is malformed: {exc!r}') from exc


def _decode_member(raw: Any) -> members.Member:
    try:
        pool = raw.get('pool')
        return members.Member(
            vm=ids.VmId(raw['vm']),
            zone=ids.ZoneId(raw['zone']),
            role=members.Role(raw['role']),
            state=members.MemberState(raw['state']),
            address=members.Address.parse(raw['address']),
            pool=ids.PoolName(pool) if pool else None,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise _unavailable(f'a member is malformed: {exc!r}') from exc

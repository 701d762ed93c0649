"""Client of the platform's store, over HTTP.

A connection carries one call at a time. When a call gets no response, its
connection is reset, so that bytes that a partition delays are dropped instead
of arriving later.

Each response states how often the store was restored from a copy. Versions of
the store's tables are combined with this number, so that a version from before
a restore is never taken for one that the store gives out again.
"""

import base64
from collections.abc import Mapping
from datetime import timedelta
import json
from typing import Any
import urllib.parse

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import members
from goldcresthaven import state_store
from goldcresthaven import upstream_pool
from goldcresthaven.platform import names

# Calls that follow each other use one connection. After a longer pause the
# connection may have gone silent long before the call that would show it.
MAX_IDLE = timedelta(seconds=1)
MAX_RESPONSE_BYTES = 4 << 20
MAX_CONNECTIONS = 12
PAGE_ROWS = 500
ERA_DIGITS = 6
_MS = timedelta(milliseconds=1)
_FOREIGN_TABLES = frozenset(
    {state_store.Table.CONFIG, state_store.Table.REGISTRY}
)


class PlatformStore:
    """Implements ``state_store.StateStore``."""

    def __init__(
        self, *, address: members.Address, clock: clock_module.Clock
    ) -> None:
        self._address = address
        self._conns = upstream_pool.UpstreamPool(
            max_idle=upstream_pool.MaxIdle(duration=MAX_IDLE, clock=clock)
        )
        self._history = state_store.FIRST_HISTORY

    async def close(self) -> None:
        await self._conns.close()

    async def read(self, table: state_store.Table) -> state_store.Reading:
        rows: list[state_store.Row] = []
        unreadable = 0
        start = ''
        version: int | None = None
        while True:
            history, document = await self._get(
                '/rows-get',
                {
                    'table': names.TABLES[table],
                    'part': '',
                    'from': start,
                    'limit': PAGE_ROWS,
                },
                state_store.CALL_TIMEOUT,
            )
            page, skipped = _rows(table, document, history)
            rows += page
            unreadable += skipped
            # Each page is a separate snapshot. Changes since the first page
            # have to be read again, so its version is returned.
            if version is None:
                version = _version(document, history)
            elif state_store.history_of(version) != history:
                raise _unavailable('the store was restored during the read')
            if not document.get('has-more'):
                return state_store.Reading(
                    rows=tuple(rows),
                    version=version,
                    clock=_clock(document),
                    unreadable=unreadable,
                )
            if not page:
                raise _unavailable('a page has no readable row')
            start = page[-1].key + '\0'

    async def watch(
        self, table: state_store.Table, *, after: int, wait: timedelta
    ) -> state_store.Reading:
        history = state_store.history_of(after)
        if history >= self._history:
            history, document = await self._get(
                '/rows-feed',
                {
                    'table': names.TABLES[table],
                    'after': state_store.number_of(after),
                    'wait-ms': int(wait / _MS),
                },
                wait + state_store.WATCH_SLACK,
            )
            if history == state_store.history_of(after):
                rows, unreadable = _rows(table, document, history)
                return state_store.Reading(
                    rows=tuple(rows),
                    version=_version(document, history),
                    clock=_clock(document),
                    unreadable=unreadable,
                )
        raise state_store.HistoryLost(
            'the store was restored from a copy',
            remedy='read the whole table',
        )

    async def write(
        self,
        *,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        versions = [v for v in expected.values() if v != state_store.ABSENT]
        if any(state_store.history_of(v) < self._history for v in versions):
            # The same number may belong to another content by now.
            return state_store.Conflict(history=self._history)
        body = {
            'expect': [
                {**_key(k), 'ver': state_store.number_of(v)}
                for k, v in expected.items()
            ],
            'put': [
                {**_key(k), 'value': base64.b64encode(v).decode()}
                for k, v in puts.items()
            ],
            'remove': [],
        }
        status, history, data = await self._call(
            'POST',
            '/rows-tx',
            json.dumps(body).encode(),
            state_store.CALL_TIMEOUT,
        )
        if status == 412:
            return state_store.Conflict(history=history)
        document = _document(status, data)
        return state_store.Committed(
            version=_version(document, history), clock=_clock(document)
        )

    async def _get(
        self, path: str, query: Mapping[str, str | int], timeout: timedelta
    ) -> tuple[state_store.History, dict[str, Any]]:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        status, history, data = await self._call('GET', target, b'', timeout)
        if status == 410:
            raise state_store.HistoryLost(
                'the store no longer has the requested history',
                remedy='read the whole table',
            )
        return history, _document(status, data)

    async def _call(
        self, method: str, target: str, body: bytes, timeout: timedelta
    ) -> tuple[int, state_store.History, bytes]:
        head = http_head.RequestHead(
            method=method,
            target=target,
            headers=(
                ('host', str(self._address)),
                ('content-type', 'application/json'),
            ),
        )
        try:
            async with aio.timeout(timeout):
                conn = await self._conns.take(
                    self._address, limit=MAX_CONNECTIONS
                )
                try:
                    response, data = await http_io.fetch(
                        conn, head, body, limit=MAX_RESPONSE_BYTES
                    )
                except BaseException:
                    await self._conns.discard(self._address, conn)
                    raise
                await self._conns.give_back(self._address, conn)
        except (
            errors.ConnectionFailed,
            errors.ConnectionLost,
            errors.DeadlineExceeded,
            errors.ProtocolError,
        ) as exc:
            raise _unavailable(str(exc)) from exc
        return response.status, self._history_of(response), data

    def _history_of(
        self, response: http_head.ResponseHead
    ) -> state_store.History:
        """Return the history that a response belongs to.

        A response that was delayed may belong to an earlier history than the
        newest one. A store without the header is never restored.
        """
        text = http_head.find(response.headers, names.STORE_ERA)
        if text is None:
            return self._history
        if not (text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS):
            raise _unavailable(f'the era {text[:20]!r} is not a number')
        history = state_store.History(int(text))
        if history > self._history:
            decision_log.note(
                'store-history',
                detail=f'history {history} after {self._history}',
            )
            self._history = history
        return history


def _key(key: state_store.Key) -> dict[str, str]:
    return {'table': names.TABLES[key.table], 'part': '', 'key': key.key}


def _document(status: int, data: bytes) -> dict[str, Any]:
    if status != 200:
        raise _unavailable(f'the store responded with status {status}')
    try:
        document = json.loads(data)
    except (RecursionError, ValueError) as exc:
        raise _unavailable(f'the response is not JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise _unavailable('the response is not a JSON object')
    return document


def _rows(
    table: state_store.Table,
    document: Mapping[str, Any],
    history: state_store.History,
) -> tuple[list[state_store.Row], int]:
    """Decode the rows of a response; return also how many are left out.

    An unreadable row of a table that other programs write costs that row
    alone. In a table of this program it may be a claim or a map, and the
    response is not used.
    """
    raw = document.get('rows')
    if not isinstance(raw, list):
        raise _unavailable('the response has no list of rows')
    rows: list[state_store.Row] = []
    for entry in raw:
        try:
            rows.append(_row(table, entry, history))
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            if table not in _FOREIGN_TABLES:
                raise _unavailable(f'a row is unreadable: {exc!r}') from exc
            decision_log.note(
                'row-unreadable', state=table.value, detail=repr(exc)[:200]
            )
    return rows, len(raw) - len(rows)


def _row(
    table: state_store.Table,
    row: Mapping[str, Any],
    history: state_store.History,
) -> state_store.Row:
    """Decode a row; raises one of several errors if it is unreadable.

    Another program's value that is not base64 is passed on as empty.
    """
    key, number = row['key'], row['ver']
    if type(key) is not str or type(number) is not int:
        raise ValueError('the key or the version has another type')
    if not 0 < number <= state_store.MAX_NUMBER:
        raise ValueError('the version is out of range')
    value: bytes | None = None
    if not row.get('deleted') and row.get('value') is not None:
        try:
            value = base64.b64decode(row['value'], validate=True)
        except (TypeError, ValueError):
            if table not in _FOREIGN_TABLES:
                raise
            value = b''
    return state_store.Row(
        key=key, version=state_store.version_in(history, number), value=value
    )


def _version(document: Mapping[str, Any], history: state_store.History) -> int:
    return state_store.version_in(history, _integer(document, 'ver'))


def _integer(document: Mapping[str, Any], name: str) -> int:
    value = document.get(name)
    if not isinstance(value, int):
        raise _unavailable(f'the response has no integer field {name}')
    return value


def _clock(document: Mapping[str, Any]) -> timedelta:
    value = document.get('now-s')
    if not isinstance(value, int | float):
        raise _unavailable('the response has no clock reading')
    try:
        return timedelta(seconds=value)
    except (OverflowError, ValueError) as exc:
        raise _unavailable(f'the clock reading is {value}') from exc


def _unavailable(problem: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        problem, remedy='check the store and the path to it'
    )

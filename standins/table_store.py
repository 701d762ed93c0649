"""The store of the users' platform: rows, transactions and long polls.

``python -m standins.table_store`` prints one JSON line with its address.
Besides the platform's calls it accepts ``POST /faults`` to inject faults,
``POST /own`` with rows that an operator writes, and ``POST /beat`` with an
upstream's registration entry, which also counts as its heartbeat. ``POST
/restore`` with ``back_s`` replaces all tables by their state of some seconds
ago; with ``rewrite_s``, the writes of the operator and the upstreams that
this undid are repeated after that time.
"""

import base64
import collections
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import signal
import time
from typing import Any
import urllib.parse

from goldcresthaven import aio
from standins import server

HOST = '127.0.0.1'
# Only operators and upstreams may write these tables; transactions from
# gateways that write to them are refused.
SERVERS_TABLE = 'servers'
EXTERNAL_TABLES = frozenset({'op', SERVERS_TABLE})
MAX_ROWS = 500
POLL_INTERVAL = timedelta(milliseconds=10)
# Entries of upstreams without a heartbeat for this long are removed.
HEARTBEAT_TIMEOUT_S = 2.7
HEARTBEAT_CHECK_INTERVAL = timedelta(milliseconds=100)
# Delay between the connection's abort and the write under the fault 'late'.
LATE_WRITE_DELAY = timedelta(seconds=1.5)
# Restores reach back this far. The platform's copies are some seconds old.
MAX_RESTORE_S = 30.0
ERA_HEADER = 'store-era'
_RowKey = tuple[str, str, str]


@dataclass(kw_only=True)
class Faults:
    """Active faults.

    ``status`` is the error status with which every call is refused, and
    ``silent`` leaves calls without an answer. ``lose`` is the number of
    writes still to apply without an answer. ``late`` is the number of writes
    whose connection is aborted first and that are applied afterwards, if
    their expectations hold then. Feeds from a version below ``forgotten``
    are refused, because the history up to it counts as deleted.
    """

    status: int = 0
    silent: bool = False
    delay_ms: int = 0
    lose: int = 0
    late: int = 0
    forgotten: int = 0


@dataclass(frozen=True, kw_only=True)
class Row:
    version: int
    value: str | None


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """All rows as they were from the time ``at`` on."""

    at: float
    rows: Mapping[_RowKey, Row]
    version: int


@dataclass(frozen=True, kw_only=True)
class ExternalWrite:
    """A transaction of the operator or an upstream."""

    at: float
    raw: Mapping[str, Any]


@dataclass(kw_only=True)
class TableStore:
    """Rows by table, part and key.

    A removed row stays as a row without a value, so that feeds can report
    the version of its removal. ``era`` rises with each restore. ``past``
    contains the states of the last ``MAX_RESTORE_S``, the oldest first.
    """

    rows: dict[_RowKey, Row] = field(default_factory=dict)
    version: int = 0
    era: int = 1
    past: collections.deque[Snapshot] = field(
        default_factory=collections.deque
    )
    external_writes: collections.deque[ExternalWrite] = field(
        default_factory=collections.deque
    )
    faults: Faults = field(default_factory=Faults)
    calls: int = 0
    heartbeats: dict[_RowKey, float] = field(default_factory=dict)

    async def handle(self, exchange: server.Exchange) -> None:
        body = await exchange.read_body()
        if exchange.path == '/faults':
            self.faults = Faults(**json.loads(body))
            await self._reply(exchange, 200, {'calls': self.calls})
            return
        if exchange.path == '/own':
            self._apply_external(json.loads(body))
            await self._reply(exchange, 200, {'ver': self.version})
            return
        if exchange.path == '/beat':
            changed = self._record_heartbeat(body)
            await self._reply(exchange, 200, {'changed': changed})
            return
        if exchange.path == '/restore':
            await self.restore(**json.loads(body))
            reply = {'era': self.era, 'ver': self.version}
            await self._reply(exchange, 200, reply)
            return
        self.calls += 1
        if self.faults.delay_ms:
            await aio.sleep(timedelta(milliseconds=self.faults.delay_ms))
        if self.faults.silent:
            while self.faults.silent:
                await aio.sleep(POLL_INTERVAL)
            await exchange.conn.abort()
            return
        if self.faults.status:
            await self._reply(exchange, self.faults.status, {})
            return
        await self._answer(exchange, body)

    def _record_heartbeat(self, body: bytes) -> bool:
        """Record an upstream's heartbeat, and store its entry if it changed.

        A new sequence number alone is no change. Returns whether the entry
        was stored.
        """
        entry = json.loads(body)
        document = entry['document']
        row_key = (SERVERS_TABLE, '', entry['key'])
        self.heartbeats[row_key] = time.monotonic()
        known = self.rows.get(row_key)
        if known is not None and known.value is not None:
            old = json.loads(base64.b64decode(known.value))
            old['status']['sequence'] = document['status']['sequence']
            if old == document:
                return False
        row = make_row(row_key[0], row_key[2], document)
        self._apply_external({'put': [row]})
        return True

    async def remove_expired(self) -> None:
        """Remove the entries of upstreams whose heartbeats have stopped."""
        while True:
            await aio.sleep(HEARTBEAT_CHECK_INTERVAL)
            now = time.monotonic()
            for row_key, beat in list(self.heartbeats.items()):
                if now - beat > HEARTBEAT_TIMEOUT_S:
                    del self.heartbeats[row_key]
                    self.remove(row_key)

    def remove(self, row_key: _RowKey) -> None:
        """Remove a row, as the store itself does with expired entries."""
        entry = dict(zip(('table', 'part', 'key'), row_key))
        self._apply({'remove': [entry]})

    async def _answer(self, exchange: server.Exchange, body: bytes) -> None:
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                exchange.head.target.partition('?')[2], keep_blank_values=True
            ).items()
        }
        match exchange.head.method, exchange.path:
            case 'POST', '/rows-tx':
                await self._transact(exchange, json.loads(body))
            case 'GET', '/rows-get':
                await self._reply(exchange, 200, self._page(query))
            case 'GET', '/rows-feed':
                await self._feed(exchange, query)
            case _:
                await self._reply(exchange, 404, {})

    async def _transact(
        self, exchange: server.Exchange, raw: Mapping[str, Any]
    ) -> None:
        if any(
            e['table'] in EXTERNAL_TABLES for e in raw['put'] + raw['remove']
        ):
            await self._reply(exchange, 403, {})
            return
        if self.faults.late:
            self.faults.late -= 1
            await exchange.conn.abort()
            await aio.sleep(LATE_WRITE_DELAY)
            if not self._failed_expectations(raw):
                self._apply(raw)
            return
        failed = self._failed_expectations(raw)
        if failed:
            await self._reply(
                exchange, 412, {'rows': failed, **self._version_field()}
            )
            return
        self._apply(raw)
        if self.faults.lose:
            self.faults.lose -= 1
            await exchange.conn.abort()
            return
        await self._reply(exchange, 200, self._version_field())

    def _failed_expectations(
        self, raw: Mapping[str, Any]
    ) -> list[dict[str, Any]]:
        """Return the rows of all expectations if any of them fails."""
        wanted = [(_row_key(e), e['ver']) for e in raw['expect']]
        if all(self._version_of(row_key) == ver for row_key, ver in wanted):
            return []
        return [self._encode_row(row_key) for row_key, _ in wanted]

    def _version_of(self, row_key: _RowKey) -> int:
        row = self.rows.get(row_key)
        return row.version if row and row.value is not None else 0

    def _apply(self, raw: Mapping[str, Any]) -> None:
        self.version += 1
        for entry in raw.get('put', ()):
            self.rows[_row_key(entry)] = Row(
                version=self.version, value=entry['value']
            )
        for entry in raw.get('remove', ()):
            self.rows[_row_key(entry)] = Row(version=self.version, value=None)

        now = time.monotonic()
        self.past.append(
            Snapshot(at=now, rows=dict(self.rows), version=self.version)
        )
        while len(self.past) > 1 and self.past[1].at < now - MAX_RESTORE_S:
            self.past.popleft()

    def _apply_external(self, raw: Mapping[str, Any]) -> None:
        """Apply a transaction of the operator or an upstream."""
        now = time.monotonic()
        self._apply(raw)
        self.external_writes.append(ExternalWrite(at=now, raw=raw))
        while self.external_writes[0].at < now - MAX_RESTORE_S:
            self.external_writes.popleft()

    async def restore(
        self, *, back_s: float, rewrite_s: float | None = None
    ) -> None:
        """Replace all tables by their state of ``back_s`` ago.

        If that is before the oldest state that is kept, this one is used.
        Versions after the restored one are given out again. After
        ``rewrite_s``, the lost writes to external tables are repeated.
        """
        now = time.monotonic()
        older = [copy for copy in self.past if copy.at <= now - back_s]
        copies = older[-1:] or list(self.past)[:1]
        copy = copies[0] if copies else Snapshot(at=now, rows={}, version=0)
        lost = [e for e in self.external_writes if e.at > copy.at]
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.era += 1
        self.past.append(
            Snapshot(at=now, rows=copy.rows, version=copy.version)
        )
        # Entries that had expired in the meantime expire again.
        for row_key, row in self.rows.items():
            if row_key[0] == SERVERS_TABLE and row.value is not None:
                self.heartbeats.setdefault(row_key, now)
        if rewrite_s is not None:
            await aio.spawn(
                self._repeat(lost, timedelta(seconds=rewrite_s), self.version)
            )

    async def _repeat(
        self,
        writes: list[ExternalWrite],
        delay: timedelta,
        restored_version: int,
    ) -> None:
        """Repeat writes, except to rows that were written since a restore.

        Their writers have replaced the rows by newer content.
        """
        await aio.sleep(delay)
        newer = {
            row_key
            for row_key, row in self.rows.items()
            if row.version > restored_version
        }
        for write in writes:
            raw = {
                kind: [
                    entry
                    for entry in write.raw.get(kind, ())
                    if _row_key(entry) not in newer
                ]
                for kind in ('put', 'remove')
            }
            if raw['put'] or raw['remove']:
                self._apply_external(raw)

    def _page(self, query: Mapping[str, str]) -> dict[str, Any]:
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        found = sorted(
            row_key
            for row_key, row in self.rows.items()
            if row_key[:2] == (query['table'], query.get('part', ''))
            and row_key[2] >= query.get('from', '')
            and row.value is not None
        )
        return {
            'rows': [self._encode_row(row_key) for row_key in found[:limit]],
            'has-more': len(found) > limit,
            **self._version_field(),
        }

    async def _feed(
        self, exchange: server.Exchange, query: Mapping[str, str]
    ) -> None:
        after = int(query['after'])
        if after < self.faults.forgotten or after > self.version:
            await self._reply(exchange, 410, {})
            return
        era = self.era
        deadline = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            found = sorted(
                (
                    row_key
                    for row_key, row in self.rows.items()
                    if row_key[0] == query['table'] and row.version > after
                ),
                key=lambda row_key: self.rows[row_key].version,
            )
            if self.faults.silent or self.era != era:
                await exchange.conn.abort()
                return
            if found or time.monotonic() >= deadline:
                break
            if exchange.conn.peer_closed():
                return
            await aio.sleep(POLL_INTERVAL)
        rows = [self._encode_row(row_key) for row_key in found]
        await self._reply(
            exchange, 200, {'rows': rows, **self._version_field()}
        )

    def _encode_row(self, row_key: _RowKey) -> dict[str, Any]:
        row = self.rows.get(row_key, Row(version=0, value=None))
        encoded = dict(zip(('table', 'part', 'key'), row_key))
        if row.value is None:
            return {**encoded, 'ver': row.version, 'deleted': True}
        return {**encoded, 'ver': row.version, 'value': row.value}

    async def _reply(
        self, exchange: server.Exchange, status: int, body: Any
    ) -> None:
        await exchange.reply(status, body, ((ERA_HEADER, str(self.era)),))

    def _version_field(self) -> dict[str, Any]:
        return {'ver': self.version, 'now-s': time.monotonic()}


def make_row(table: str, key: str, document: Any) -> dict[str, Any]:
    """Return a row to put; its value is the document as JSON in base64."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {'table': table, 'part': '', 'key': key, 'value': value}


def _row_key(entry: Mapping[str, Any]) -> _RowKey:
    return entry['table'], entry.get('part', ''), entry['key']


async def main() -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    store = TableStore()
    listener = aio.Listener(
        host=HOST, port=0, handler=server.serve_with(store.handle)
    )
    await listener.start()
    await aio.spawn(store.remove_expired())
    print(json.dumps({'listen': f'{HOST}:{listener.port}'}), flush=True)
    await stop.wait()


if __name__ == '__main__':
    aio.run(main)

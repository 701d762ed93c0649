"""The users' platform's store: rows, transactions and long polls.

``python -m standins.table_store`` prints one JSON line with its address.
Besides the platform's calls it takes ``POST /faults``, ``POST /own`` with
the rows that an operator writes, and ``POST /beat`` with the entry of an
upstream.
"""

import base64
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
# Tables that only operators and upstreams may write.
FOREIGN_ENTRIES = 'servers'
FOREIGN = frozenset({'op', FOREIGN_ENTRIES})
MAX_ROWS = 500
FEED_CHECK = timedelta(milliseconds=10)
# An entry without a heartbeat for this long is removed.
LAPSE_S = 2.7
LAPSE_CHECK = timedelta(milliseconds=100)
# A write that is applied late is applied within this time.
LATE = timedelta(seconds=1.5)
_Spot = tuple[str, str, str]


@dataclass(kw_only=True)
class Faults:
    """Faults in force.

    ``status`` refuses every call, ``silent`` answers none, ``lose`` counts
    the writes that are applied but not answered, and ``late`` those that
    are applied some time after their connection broke. ``forgotten`` is
    the version up to which the history is gone.
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


@dataclass(kw_only=True)
class TableStore:
    """Rows by table, part and key; a removed row keeps its version."""

    rows: dict[_Spot, Row] = field(default_factory=dict)
    version: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: int = 0
    beats: dict[_Spot, float] = field(default_factory=dict)

    async def handle(self, exchange: server.Exchange) -> None:
        body = await exchange.read_body()
        if exchange.path == '/faults':
            self.faults = Faults(**json.loads(body))
            await exchange.reply(200, {'calls': self.calls})
            return
        if exchange.path == '/own':
            self._apply(json.loads(body))
            await exchange.reply(200, {'ver': self.version})
            return
        if exchange.path == '/beat':
            await exchange.reply(200, {'changed': self._beat(body)})
            return
        self.calls += 1
        if self.faults.delay_ms:
            await aio.sleep(timedelta(milliseconds=self.faults.delay_ms))
        if self.faults.silent:
            while self.faults.silent:
                await aio.sleep(FEED_CHECK)
            await exchange.conn.abort()
            return
        if self.faults.status:
            await exchange.reply(self.faults.status, {})
            return
        await self._answer(exchange, body)

    def _beat(self, body: bytes) -> bool:
        """Store an entry if more than its sequence number changed."""
        entry = json.loads(body)
        document = entry['document']
        spot = (FOREIGN_ENTRIES, '', entry['key'])
        self.beats[spot] = time.monotonic()
        known = self.rows.get(spot)
        if known is not None and known.value is not None:
            old = json.loads(base64.b64decode(known.value))
            old['status']['sequence'] = document['status']['sequence']
            if old == document:
                return False
        self._apply({'put': [own_row(spot[0], spot[2], document)]})
        return True

    async def drop_lapsed(self) -> None:
        """Remove the entries of upstreams that have fallen silent."""
        while True:
            await aio.sleep(LAPSE_CHECK)
            now = time.monotonic()
            for spot, beat in list(self.beats.items()):
                if now - beat > LAPSE_S:
                    del self.beats[spot]
                    entry = dict(zip(('table', 'part', 'key'), spot))
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
                await exchange.reply(200, self._page(query))
            case 'GET', '/rows-feed':
                await self._feed(exchange, query)
            case _:
                await exchange.reply(404, {})

    async def _transact(
        self, exchange: server.Exchange, raw: Mapping[str, Any]
    ) -> None:
        if any(e['table'] in FOREIGN for e in raw['put'] + raw['remove']):
            await exchange.reply(403, {})
            return
        if self.faults.late:
            self.faults.late -= 1
            await exchange.conn.abort()
            await aio.sleep(LATE)
            if not self._unmet(raw):
                self._apply(raw)
            return
        unmet = self._unmet(raw)
        if unmet:
            await exchange.reply(412, {'rows': unmet, **self._stamp()})
            return
        self._apply(raw)
        if self.faults.lose:
            self.faults.lose -= 1
            await exchange.conn.abort()
            return
        await exchange.reply(200, self._stamp())

    def _unmet(self, raw: Mapping[str, Any]) -> list[dict[str, Any]]:
        """Return the current rows if any expectation does not hold."""
        wanted = [(_spot(e), e['ver']) for e in raw['expect']]
        if all(self._version_of(spot) == ver for spot, ver in wanted):
            return []
        return [self._plain(spot) for spot, _ in wanted]

    def _version_of(self, spot: _Spot) -> int:
        row = self.rows.get(spot)
        return row.version if row and row.value is not None else 0

    def _apply(self, raw: Mapping[str, Any]) -> None:
        self.version += 1
        for entry in raw.get('put', ()):
            self.rows[_spot(entry)] = Row(
                version=self.version, value=entry['value']
            )
        for entry in raw.get('remove', ()):
            self.rows[_spot(entry)] = Row(version=self.version, value=None)

    def _page(self, query: Mapping[str, str]) -> dict[str, Any]:
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        found = sorted(
            spot
            for spot, row in self.rows.items()
            if spot[:2] == (query['table'], query.get('part', ''))
            and spot[2] >= query.get('from', '')
            and row.value is not None
        )
        return {
            'rows': [self._plain(spot) for spot in found[:limit]],
            'has-more': len(found) > limit,
            **self._stamp(),
        }

    async def _feed(
        self, exchange: server.Exchange, query: Mapping[str, str]
    ) -> None:
        after = int(query['after'])
        if after < self.faults.forgotten:
            await exchange.reply(410, {})
            return
        end = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            found = sorted(
                (
                    spot
                    for spot, row in self.rows.items()
                    if spot[0] == query['table'] and row.version > after
                ),
                key=lambda spot: self.rows[spot].version,
            )
            if self.faults.silent:
                await exchange.conn.abort()
                return
            if found or time.monotonic() >= end:
                break
            if exchange.conn.peer_closed():
                return
            await aio.sleep(FEED_CHECK)
        rows = [self._plain(spot) for spot in found]
        await exchange.reply(200, {'rows': rows, **self._stamp()})

    def _plain(self, spot: _Spot) -> dict[str, Any]:
        row = self.rows.get(spot, Row(version=0, value=None))
        plain = dict(zip(('table', 'part', 'key'), spot))
        if row.value is None:
            return {**plain, 'ver': row.version, 'deleted': True}
        return {**plain, 'ver': row.version, 'value': row.value}

    def _stamp(self) -> dict[str, Any]:
        return {'ver': self.version, 'now-s': time.monotonic()}


def own_row(table: str, key: str, document: Any) -> dict[str, Any]:
    """Return an entry to put; the value is encoded as JSON."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {'table': table, 'part': '', 'key': key, 'value': value}


def _spot(entry: Mapping[str, Any]) -> _Spot:
    return entry['table'], entry.get('part', ''), entry['key']


async def main() -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    store = TableStore()
    listener = aio.Listener(
        host=HOST, port=0, handler=server.serve_with(store.handle)
    )
    await listener.start()
    await aio.spawn(store.drop_lapsed())
    print(json.dumps({'listen': f'{HOST}:{listener.port}'}), flush=True)
    await stop.wait()


if __name__ == '__main__':
    aio.run(main)

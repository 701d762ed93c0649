"""The platform: table service, object store and membership list.

``python -m standins.platform`` prints one JSON line with its address.
Besides the published protocol it accepts ``POST /faults`` to inject faults
and ``PUT /v1/members`` to set the membership list.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import signal
from typing import Any
import urllib.parse

from goldcresthaven import aio
from standins import server

HOST = '127.0.0.1'


@dataclass(kw_only=True)
class Faults:
    """Active faults.

    ``down`` closes every connection without an answer. ``lose_answers`` is
    the number of transactions still to apply without sending their answer.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@dataclass(kw_only=True)
class StoredRow:
    """The value of a row and the number of writes to it."""

    version: int
    value: Any


@dataclass(kw_only=True)
class Platform:
    """The stored tables, objects and members, and their HTTP interface."""

    tables: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    members: list[Any] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    async def handle(self, exchange: server.Exchange) -> None:
        body = await exchange.read_body()
        if exchange.path == '/faults':
            self._set_faults(json.loads(body))
            await exchange.reply(200, vars(self.faults))
            return
        if self.faults.down:
            await exchange.conn.close()
            return
        if self.faults.delay_ms:
            await aio.sleep(timedelta(milliseconds=self.faults.delay_ms))
        status, answer = self._answer(exchange, body)
        if exchange.path == '/v1/transact' and self._should_drop_answer():
            await exchange.conn.close()
            return
        await exchange.reply(status, answer)

    def _set_faults(self, raw: Mapping[str, Any]) -> None:
        self.faults = Faults(
            down=bool(raw.get('down', False)),
            delay_ms=int(raw.get('delay_ms', 0)),
            lose_answers=int(raw.get('lose_answers', 0)),
        )

    def _should_drop_answer(self) -> bool:
        """Return whether to drop an answer, and count it if so."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def _answer(
        self, exchange: server.Exchange, body: bytes
    ) -> tuple[int, Any]:
        path, _, query = exchange.head.target.partition('?')
        parts = [urllib.parse.unquote(p) for p in path.split('/')[1:]]
        match exchange.head.method, parts:
            case 'POST', ['v1', 'transact']:
                return self.transact(json.loads(body))
            case 'GET', ['v1', 'rows', table]:
                return 200, self._scan(table, urllib.parse.parse_qs(query))
            case 'GET', ['v1', 'rows', table, key]:
                return self._row(table, key)
            case 'PUT', ['v1', 'objects', name]:
                self.objects[name] = body
                return 200, {}
            case 'GET', ['v1', 'objects', name]:
                found = self.objects.get(name)
                return (404, {}) if found is None else (200, found)
            case 'GET', ['v1', 'members']:
                return 200, {'members': self.members}
            case 'PUT', ['v1', 'members']:
                self.members = json.loads(body)['members']
                return 200, {}
        return 404, {}

    def transact(self, raw: Mapping[str, Any]) -> tuple[int, Any]:
        """Apply a transaction if all of its conditions hold.

        Otherwise the answer contains the current rows of the conditions that
        failed.
        """
        failed = [c for c in raw['conditions'] if not self._is_met(c)]
        if failed:
            rows = [
                {'table': c['table'], **_encode(c['key'], found)}
                for c in failed
                if (found := self._find(c['table'], c['key'])) is not None
            ]
            return 409, {'committed': False, 'rows': rows}
        for write in raw['writes']:
            table = self.tables.setdefault(write['table'], {})
            old = table.get(write['key'])
            version = old.version + 1 if old else 1
            table[write['key']] = StoredRow(
                version=version, value=write['value']
            )
        return 200, {'committed': True}

    def _is_met(self, condition: Mapping[str, Any]) -> bool:
        found = self._find(condition['table'], condition['key'])
        if 'field' in condition:
            if found is None:
                return False
            current = found.value.get(condition['field'])
            return bool(current == condition['equals'])
        version = found.version if found else 0
        return bool(version == condition['version'])

    def _find(self, table: str, key: str) -> StoredRow | None:
        return self.tables.get(table, {}).get(key)

    def _row(self, table: str, key: str) -> tuple[int, Any]:
        found = self._find(table, key)
        return (404, {}) if found is None else (200, _encode(key, found))

    def _scan(self, table: str, query: Mapping[str, list[str]]) -> Any:
        after = query.get('after', [''])[0]
        limit = int(query.get('limit', ['1000'])[0])
        rows = self.tables.get(table, {})
        keys = sorted(k for k in rows if k > after)[:limit]
        return {'rows': [_encode(k, rows[k]) for k in keys]}


def _encode(key: str, stored: StoredRow) -> dict[str, Any]:
    return {'key': key, 'version': stored.version, 'value': stored.value}


async def main() -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    platform = Platform()
    listener = aio.Listener(
        host=HOST, port=0, handler=server.serve_with(platform.handle)
    )
    await listener.start()
    print(json.dumps({'listen': f'{HOST}:{listener.port}'}), flush=True)
    await stop.wait()


if __name__ == '__main__':
    aio.run(main)

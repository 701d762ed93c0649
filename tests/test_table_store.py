"""Tests of the stand-in store: eras and restores from a copy."""

import base64
import collections
from dataclasses import replace
import json
from typing import Any
import unittest
import urllib.parse

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import members
from standins import server
from standins import table_store
from tools import entry_harness
from tools import http_client

OWN_TABLE = 'goldcresthaven-keys'
WAIT = {'wait-ms': 0}


def row(table: str, key: str, value: str) -> dict[str, Any]:
    return table_store.make_row(table, key, value)


class RestoreTest(unittest.TestCase):
    async def start(self) -> None:
        self.store = table_store.TableStore()
        listener = await entry_harness.listen(
            server.serve_with(self.store.handle)
        )
        self.address = members.Address(
            host=entry_harness.HOST, port=listener.port
        )

    async def post(self, path: str, document: Any) -> http_client.Response:
        body = json.dumps(document).encode()
        return await http_client.fetch(self.address, 'POST', path, body=body)

    async def own(self, key: str, value: str) -> None:
        await self.post('/own', {'put': [row('op', key, value)]})

    async def transact(self, expect: int, value: str) -> http_client.Response:
        entry = {'table': OWN_TABLE, 'part': '', 'key': 'k', 'ver': expect}
        put = [row(OWN_TABLE, 'k', value)]
        return await self.post(
            '/rows-tx', {'expect': [entry], 'put': put, 'remove': []}
        )

    async def get(self, path: str, **query: Any) -> http_client.Response:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        return await http_client.fetch(self.address, 'GET', target)

    async def values(self, table: str) -> dict[str, Any]:
        response = await self.get('/rows-get', table=table)
        return {
            found['key']: json.loads(base64.b64decode(found['value']))
            for found in response.json()['rows']
        }

    def age_states(self, seconds: float) -> None:
        """Make all that has happened so far older."""
        past = [replace(c, at=c.at - seconds) for c in self.store.past]
        writes = [
            replace(w, at=w.at - seconds) for w in self.store.external_writes
        ]
        self.store.past = collections.deque(past)
        self.store.external_writes = collections.deque(writes)

    def test_every_response_has_the_era(self) -> None:
        """Guards against a response that does not say its era."""

        async def test() -> None:
            await self.start()
            responses = [
                await self.get('/rows-get', table='op'),
                await self.get('/rows-feed', table='op', after=9, **WAIT),
                await self.transact(0, 'a'),
                await self.transact(7, 'b'),
                await self.get('/unknown'),
                await self.post('/faults', {'status': 503}),
                await self.get('/rows-get', table='op'),
            ]
            self.assertEqual(
                [response.status for response in responses],
                [200, 410, 200, 412, 404, 200, 503],
            )
            eras = [
                http_head.find(response.headers, 'store-era')
                for response in responses
            ]
            self.assertEqual(eras, ['1'] * len(responses))
            restored = await self.post('/restore', {'back_s': 1.0})
            found = http_head.find(restored.headers, 'store-era')
            self.assertEqual(found, '2')
            self.assertEqual(restored.json()['era'], 2)

        entry_harness.run(test)

    def test_rows_and_versions_go_back(self) -> None:
        """Guards against a restore that keeps a row or a version."""

        async def test() -> None:
            await self.start()
            await self.own('config', 'old')
            await self.transact(0, 'old')
            self.age_states(5.0)
            await self.transact(2, 'lost')
            await self.own('config', 'lost')
            await self.own('added', 'lost')
            await self.post('/restore', {'back_s': 3.0})
            self.assertEqual(await self.values('op'), {'config': 'old'})
            self.assertEqual(await self.values(OWN_TABLE), {'k': 'old'})
            # The version 3 of the row was given out before the restore.
            again = await self.transact(2, 'new')
            self.assertEqual(again.json()['ver'], 3)
            self.assertEqual(await self.values(OWN_TABLE), {'k': 'new'})

        entry_harness.run(test)

    def test_feed_after_an_unknown_version_is_refused(self) -> None:
        """Guards against a feed that hides that versions went back."""

        async def test() -> None:
            await self.start()
            await self.own('config', 'old')
            self.age_states(5.0)
            await self.own('config', 'lost')
            await self.post('/restore', {'back_s': 3.0})
            lost = await self.get('/rows-feed', table='op', after=2, **WAIT)
            self.assertEqual(lost.status, 410)
            known = await self.get('/rows-feed', table='op', after=1, **WAIT)
            self.assertEqual((known.status, known.json()['ver']), (200, 1))

        entry_harness.run(test)

    def test_open_feed_is_aborted(self) -> None:
        """Guards against a feed that spans two eras."""

        async def test() -> None:
            await self.start()
            await self.own('config', 'old')
            lost: list[errors.Error] = []

            async def wait_for_change() -> None:
                try:
                    await self.get(
                        '/rows-feed',
                        **{'table': 'op', 'after': 1, 'wait-ms': 20000},
                    )
                except errors.Error as exc:
                    lost.append(exc)

            feed = await aio.spawn(wait_for_change())
            await entry_harness.wait_for(lambda: self.store.calls == 1)
            await self.post('/restore', {'back_s': 0.0})
            await feed.join()
            self.assertEqual(len(lost), 1)

        entry_harness.run(test)

    def test_external_writes_are_repeated_in_order(self) -> None:
        """Guards against a lost write that stays lost, or a wrong order."""

        async def test() -> None:
            await self.start()
            await self.own('config', 'old')
            self.age_states(5.0)
            await self.own('config', 'middle')
            await self.transact(0, 'lost')
            await self.own('config', 'newest')
            await self.own('replaced', 'lost')
            await self.post('/restore', {'back_s': 3.0, 'rewrite_s': 0.2})
            self.assertEqual(await self.values('op'), {'config': 'old'})
            await self.own('replaced', 'newer')
            await entry_harness.wait_for(lambda: self.store.version == 4)
            self.assertEqual(
                await self.values('op'),
                {'config': 'newest', 'replaced': 'newer'},
            )
            self.assertEqual(await self.values(OWN_TABLE), {})

        entry_harness.run(test)

    def test_expired_entry_expires_again(self) -> None:
        """Guards against entries of ended upstreams that stay for ever."""

        async def test() -> None:
            await self.start()
            key = (table_store.SERVERS_TABLE, '', 'u1')
            entry = {'status': {'sequence': 1}}
            await self.post('/beat', {'key': 'u1', 'document': entry})
            self.age_states(5.0)
            del self.store.heartbeats[key]
            self.store.remove(key)
            self.assertEqual(await self.values('servers'), {})
            await self.post('/restore', {'back_s': 3.0, 'rewrite_s': 0.0})
            self.assertEqual(list(await self.values('servers')), ['u1'])
            self.assertIn(key, self.store.heartbeats)

        entry_harness.run(test)


if __name__ == '__main__':
    unittest.main()

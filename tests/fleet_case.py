"""Base of the process tests: one platform, entries and upstreams.

Each test class starts its own processes and ends only these.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import json
import pathlib
import signal
import tempfile
from typing import Any
import unittest

import yaml

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import ids
from goldcresthaven import log_rows
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards
from goldcresthaven import store_client
from goldcresthaven import tables
from tools import fleet
from tools import http_client
from tools import processes
from tools import rig


class FleetCase(unittest.TestCase):
    """Processes of the pools ``keyed-a``, ``free-a`` and ``stored-a``."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = self.start('platform', 'standins.platform')
        self.store_address = members.Address.parse(
            self.platform.hello['listen']
        )
        self.listed: dict[str, members.Member] = {}

    def start(self, name: str, module: str, *args: str) -> processes.Process:
        process = processes.start(name, module, *args)
        self.addCleanup(process.stop)
        return process

    def start_upstream(self, name: str, **more: Any) -> processes.Process:
        """Start an upstream; its pool is the name's first part."""
        cfg = json.dumps([{'name': name, **more}])
        process = self.start(name, 'standins.upstream', cfg)
        self.listed[name] = members.Member(
            vm=ids.VmId(name),
            zone=ids.ZoneId('a'),
            role=members.Role.UPSTREAM,
            state=members.MemberState.LIVE,
            address=members.Address.parse(process.hello['endpoints'][name]),
            pool=ids.PoolName(name.partition('-')[0]),
        )
        return process

    def start_entry(self, name: str = 'entry') -> processes.Process:
        path = self.folder / f'{name}.yaml'
        settings = {
            'vm': name,
            'zone': 'a',
            'listen': '127.0.0.1:0',
            'platform': str(self.store_address),
            'stop_delay': '300ms',
        }
        path.write_text(yaml.safe_dump(settings))
        return self.start(name, 'goldcresthaven.entry', str(path))

    async def publish(self, deadline: str = '2s') -> None:
        """Store the configuration, a map and the member list."""
        store = store_client.StoreClient(
            address=self.store_address, clock=clock.SystemClock()
        )
        document = rig.make_document(deadline)
        await fleet.insert(
            store, tables.CONFIG_LOG, encode_config(1, document)
        )
        view = rig.make_view({n: m.address for n, m in self.listed.items()})
        change = shards.MapChange(
            version=ids.MapVersion(1),
            txn=ids.TxnId('map'),
            shards=tuple(view.shard_map.shards.values()),
        )
        await fleet.insert(
            store, tables.MAP_LOG, log_rows.encode_change(change)
        )
        await store.close()
        body = {
            'members': [fleet.encode_member(m) for m in self.listed.values()]
        }
        answer = await http_client.ask_once(
            self.store_address,
            'PUT',
            '/v1/members',
            body=json.dumps(body).encode(),
        )
        self.assertEqual(200, answer.status)

    async def set_faults(self, **faults: Any) -> None:
        await http_client.post_json(self.store_address, '/faults', faults)

    async def executions(self, name: str, key: str) -> int:
        answer = await http_client.ask_once(
            self.listed[name].address, 'GET', '/executions'
        )
        return int(answer.json()['counts'].get(key, 0))

    async def in_use(self, name: str) -> int:
        answer = await http_client.ask_once(
            self.listed[name].address, 'GET', '/load'
        )
        return int(answer.json()['in_use'])

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds; fails after bounded checks."""
        for _ in range(rig.CHECKS):
            if await condition():
                return
            await aio.sleep(timedelta(milliseconds=20))
        self.fail('the condition did not become true')

    async def until_served(self, entry: members.Address) -> None:
        async def served() -> bool:
            answer = await http_client.ask_once(entry, 'GET', '/free/probe')
            return answer.status == 200

        await self.until(served)


def encode_config(version: int, document: presets.Document) -> dict[str, Any]:
    return log_rows.encode_config(
        version=ids.ConfigVersion(version),
        txn=ids.TxnId(f'config-{version}'),
        author='test',
        change='test',
        document=document,
    )


def address_of(entry: processes.Process) -> members.Address:
    return members.Address.parse(entry.hello['listen'])


STOP = signal.SIGSTOP
CONTINUE = signal.SIGCONT
KILL = signal.SIGKILL

"""Base of the process tests: one platform, entries and upstreams.

Each test starts its own processes and stops only these.
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

from goldcresthaven import aio
from goldcresthaven import ids
from goldcresthaven import members
from tools import deployment
from tools import entry_harness
from tools import http_client
from tools import processes


class FleetCase(unittest.TestCase):
    """Starts the processes of a fleet and stops them after the test.

    The upstreams are ``keyed-a``, ``free-a`` and ``stored-a``, named after
    their pools.
    """

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.platform = self.start('platform', 'standins.platform')
        self.store_address = members.Address.parse(
            self.platform.startup_info['listen']
        )
        self.members_by_name: dict[str, members.Member] = {}

    def start(self, name: str, module: str, *args: str) -> processes.Process:
        process = processes.start(name, module, *args)
        self.addCleanup(process.stop)
        return process

    def start_upstream(self, name: str, **more: Any) -> processes.Process:
        """Start an upstream; its pool is the part of its name before ``-``."""
        cfg = json.dumps([{'name': name, **more}])
        process = self.start(name, 'standins.upstream', cfg)
        self.members_by_name[name] = members.Member(
            vm=ids.VmId(name),
            zone=ids.ZoneId('a'),
            role=members.Role.UPSTREAM,
            state=members.MemberState.LIVE,
            address=members.Address.parse(
                process.startup_info['endpoints'][name]
            ),
            pool=ids.PoolName(name.partition('-')[0]),
        )
        return process

    def start_entry(
        self, name: str = 'entry', **settings: str
    ) -> processes.Process:
        path = deployment.Files(folder=self.folder).write_settings(
            vm=name, zone='a', platform=str(self.store_address), **settings
        )
        process = self.start(name, 'goldcresthaven', 'run', str(path))
        self.members_by_name[name] = deployment.entry_member(
            vm=name, zone='a', startup_info=process.startup_info
        )
        return process

    async def publish(self, deadline: str = '2s') -> None:
        """Store the configuration and the member list."""
        await self.store_member_list()
        await deployment.store_document(
            self.store_address, entry_harness.make_document(deadline)
        )

    async def store_member_list(self) -> None:
        await deployment.store_members(
            self.store_address, self.members_by_name.values()
        )

    async def set_faults(self, **faults: Any) -> None:
        await http_client.post_json(self.store_address, '/faults', faults)

    async def executions(self, name: str, key: str) -> int:
        response = await http_client.fetch(
            self.members_by_name[name].address, 'GET', '/executions'
        )
        return int(response.json()['counts'].get(key, 0))

    async def in_use(self, name: str) -> int:
        response = await http_client.fetch(
            self.members_by_name[name].address, 'GET', '/load'
        )
        return int(response.json()['in_use'])

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait for a condition; fails after a limited number of checks."""
        for _ in range(entry_harness.MAX_CHECKS):
            if await condition():
                return
            await aio.sleep(timedelta(milliseconds=20))
        self.fail('the condition did not become true')

    async def until_served(self, entry: members.Address) -> None:
        async def served() -> bool:
            response = await http_client.fetch(entry, 'GET', '/free/probe')
            return response.status == 200

        await self.until(served)


def address_of(entry: processes.Process) -> members.Address:
    return members.Address.parse(entry.startup_info['caller'])


STOP = signal.SIGSTOP
CONTINUE = signal.SIGCONT
KILL = signal.SIGKILL

"""``make run``: a local fleet like Qasr's, under load of all ranks.

Each component is a separate process on loopback.
"""

import collections
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import settings_files
from tools import deployment
from tools import http_client
from tools import load
from tools import processes

ZONES = ('a', 'b', 'c')
ENTRIES_PER_ZONE = 2
# Number of endpoints in all zones together, as in Qasr's deployment.
ENDPOINTS = {'catalogue': 15, 'orders': 6, 'dispatch': 6}
LOAD_DURATION = timedelta(seconds=20)
LOAD_PAUSE = timedelta(milliseconds=30)
READY_CHECKS = 200
READY_PAUSE = timedelta(milliseconds=100)

SETTINGS = processes.ROOT / 'examples' / 'qasr.yaml'


class FleetError(Exception):
    """The fleet did not start or did not become ready."""


@dataclass(kw_only=True)
class Fleet:
    """The processes of a running fleet and their addresses."""

    folder: pathlib.Path
    document: presets.Document
    platform: processes.Process | None = None
    started: list[processes.Process] = field(default_factory=list)
    upstreams: dict[ids.UpstreamId, members.Member] = field(
        default_factory=dict
    )
    entries: dict[ids.VmId, members.Member] = field(default_factory=dict)
    callers: dict[ids.VmId, members.Address] = field(default_factory=dict)

    @property
    def platform_address(self) -> members.Address:
        if self.platform is None:
            raise FleetError('the platform has not been started')
        return members.Address.parse(self.platform.startup_info['listen'])

    def start(self) -> None:
        """Start all processes and wait until each one listens."""
        self.platform = processes.start('platform', 'standins.platform')
        self.started.append(self.platform)
        pending = [
            self._launch_upstream(f'{pool}-{zone}{number}', pool)
            for zone in ZONES
            for pool, count in ENDPOINTS.items()
            for number in range(count // len(ZONES))
        ]
        pending += [
            self._launch_entry(zone, number)
            for zone in ZONES
            for number in range(ENTRIES_PER_ZONE)
        ]
        for name, popen in pending:
            process = processes.wait_ready(name, popen)
            self.started.append(process)
            self._add_member(process)

    def stop(self) -> list[str]:
        """Stop all processes; return those that did not end cleanly."""
        failed = []
        for process in self.started:
            process.terminate()
        for process in self.started:
            code = process.stop()
            if code != 0:
                failed.append(f'{process.name} ended with code {code}')
        return failed

    def remove_ended(self) -> None:
        """Remove processes that the user ended while the fleet was kept."""
        for process in list(self.started):
            code = process.popen.poll()
            if code is not None:
                print(f'{process.name} had ended with code {code}')
                self.started.remove(process)

    def _launch_upstream(self, name: str, pool: str) -> tuple[str, Any]:
        cfg = self.document.pool(ids.PoolName(pool))
        endpoint = {
            'name': name,
            'keyed': cfg.keyed,
            'dedup': cfg.dedup is presets.Dedup.UPSTREAM,
            'slots': cfg.slots,
        }
        popen = processes.launch('standins.upstream', json.dumps([endpoint]))
        return name, popen

    def _launch_entry(self, zone: str, number: int) -> tuple[str, Any]:
        vm = f'entry-{zone}{number}'
        path = deployment.Files(folder=self.folder).write_settings(
            vm=vm,
            zone=zone,
            platform=str(self.platform_address),
            balancer_delay='500ms',
        )
        return vm, processes.launch('goldcresthaven', 'run', str(path))

    def _add_member(self, process: processes.Process) -> None:
        if 'endpoints' in process.startup_info:
            for name, address in process.startup_info['endpoints'].items():
                self._add_upstream(name, address)
            return
        vm = ids.VmId(process.name)
        self.entries[vm] = deployment.entry_member(
            vm=vm, zone=process.name[6], startup_info=process.startup_info
        )
        self.callers[vm] = members.Address.parse(
            process.startup_info['caller']
        )

    def _add_upstream(self, name: str, address: str) -> None:
        pool, _, zone_and_number = name.rpartition('-')
        self.upstreams[ids.UpstreamId(name)] = members.Member(
            vm=ids.VmId(name),
            zone=ids.ZoneId(zone_and_number[0]),
            role=members.Role.UPSTREAM,
            state=members.MemberState.LIVE,
            address=members.Address.parse(address),
            pool=ids.PoolName(pool),
        )


async def publish(fleet: Fleet) -> None:
    """Store the deployment document and the membership list."""
    listed = [*fleet.upstreams.values(), *fleet.entries.values()]
    await deployment.store_members(fleet.platform_address, listed)
    await deployment.store_document(fleet.platform_address, fleet.document)


async def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every entry is ready and serves a key."""
    for vm, address in fleet.callers.items():
        for _ in range(READY_CHECKS):
            ready = await http_client.fetch(address, 'GET', '/ready')
            probe = await http_client.fetch(address, 'GET', '/catalogue/probe')
            if ready.status == 200 and probe.status == 200:
                break
            await aio.sleep(READY_PAUSE)
        else:
            raise FleetError(f'{vm} did not become ready')


async def count_executions(fleet: Fleet) -> collections.Counter[str]:
    """Return the number of executions of each idempotency key."""
    total: collections.Counter[str] = collections.Counter()
    for member in fleet.upstreams.values():
        response = await http_client.fetch(
            member.address, 'GET', '/executions'
        )
        total.update(response.json()['counts'])
    return total


async def run_load(fleet: Fleet, failures: list[str]) -> None:
    """Publish the configuration, send the load and check the guarantees.

    Violations are appended to ``failures``. With ``KEEP=1`` in the
    environment the fleet keeps running afterwards.
    """
    await publish(fleet)
    await wait_until_ready(fleet)
    traffic = load.Load(
        entries=list(fleet.callers.values()),
        clock=clock_module.SystemClock(),
        pause=LOAD_PAUSE,
    )
    await traffic.run(LOAD_DURATION)
    executions = await count_executions(fleet)
    for tally in traffic.tallies.values():
        keys = tally.idempotency_keys
        tally.run_twice = sum(executions[k] > 1 for k in keys)
        misreported = sum(executions[k] > 0 for k in tally.not_run_keys)
        if misreported:
            failures.append(
                f'{misreported} requests reported as not run were executed'
            )
    print(load.format_table(traffic.tallies), flush=True)
    for rank, tally in traffic.tallies.items():
        if tally.run_twice:
            failures.append(
                f'{tally.run_twice} {rank.name} requests were executed twice'
            )
        if not tally.answered:
            failures.append(f'no {rank.name} request was answered')
    if failures:
        return
    if os.environ.get('KEEP') == '1':
        await keep_running(fleet)
    else:
        print('To look around in a running fleet: KEEP=1 make run')
        print('What to try there: docs/tutorial.md; to operate one: README.md')


async def keep_running(fleet: Fleet) -> None:
    """Keep the fleet running until this process is interrupted."""
    env = fleet.folder / 'env'
    env.write_text(shell_exports(fleet))
    table = fleet.folder / 'processes.txt'
    table.write_text(process_table(fleet))
    print('The fleet is running. In another terminal, in this directory:')
    print(f'    . {env}')
    print('    goldcresthaven status')
    print(f'Its processes and their addresses: {table}')
    print('docs/tutorial.md is a tour; Ctrl-C stops the fleet.', flush=True)
    await aio.wait_for_signal(signal.SIGINT, signal.SIGTERM)
    fleet.remove_ended()


def shell_exports(fleet: Fleet) -> str:
    """Return shell lines that point the command line to the fleet."""
    first = next(p for p in fleet.started if 'operator' in p.startup_info)
    caller = first.startup_info['caller']
    keys = deployment.Files(folder=fleet.folder).write_keys()
    return (
        f'export GOLDCRESTHAVEN_ENTRY={first.startup_info["operator"]}\n'
        f'export GOLDCRESTHAVEN_KEYS_FILE={keys}\n'
        f'export CALLERS={caller}\n'
        f'goldcresthaven() {{ {sys.executable} -m goldcresthaven "$@"; }}\n'
    )


def process_table(fleet: Fleet) -> str:
    """Return a line for each process: its name, id and addresses."""
    lines = []
    for process in fleet.started:
        startup_info = process.startup_info
        shown = startup_info.get('endpoints') or {
            k: v for k, v in startup_info.items() if k != 'vm'
        }
        found = ' '.join(f'{k}={v}' for k, v in sorted(shown.items()))
        lines.append(f'{process.name} {process.popen.pid} {found}')
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Run the fleet and return the exit code."""
    failures: list[str] = []
    with tempfile.TemporaryDirectory(prefix='goldcresthaven-') as name:
        fleet = Fleet(
            folder=pathlib.Path(name),
            document=settings_files.read_deployment(SETTINGS),
        )
        try:
            fleet.start()
            aio.run(run_load, fleet, failures)
        except (FleetError, processes.StartError, errors.Error) as exc:
            failures.append(str(exc))
        finally:
            failures += fleet.stop()
    for failure in failures:
        print(f'FAILED: {failure}', file=sys.stderr)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())

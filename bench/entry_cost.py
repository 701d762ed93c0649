"""Measure the processor time per request of an entry process.

The result is compared with a bare h11 forwarder. Rounds of the two alternate
in the same run, so that other load on the machine affects both equally.
"""

from dataclasses import dataclass
from datetime import timedelta
import json
import pathlib
import sys
import tempfile

from goldcresthaven import aio
from goldcresthaven import ids
from goldcresthaven import members
from tools import deployment
from tools import entry_harness
from tools import http_client
from tools import processes

ROUNDS = 5
CALLERS = 4
REQUESTS_PER_CALLER = 250
TARGET = '/free/x'
NS_PER_US = 1000
READY_CHECKS = 200
READY_PAUSE = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """Processor time per request in microseconds, median over the rounds."""

    bare_us: float
    entry_us: float

    @property
    def ratio(self) -> float:
        return self.entry_us / self.bare_us


def processor_ns(process: processes.Process) -> int:
    """Return the processor time that a process has used so far."""
    path = pathlib.Path(f'/proc/{process.popen.pid}/schedstat')
    return int(path.read_text().split()[0])


def address_of(process: processes.Process) -> members.Address:
    """Return the address for callers of the entry or bare forwarder."""
    startup_info = process.startup_info
    return members.Address.parse(
        startup_info.get('caller') or startup_info['listen']
    )


async def send_round(address: members.Address) -> None:
    """Send one round of requests over keep-alive connections."""

    async def caller() -> None:
        conn = http_client.Caller(address)
        for _ in range(REQUESTS_PER_CALLER):
            response = await conn.fetch('GET', TARGET)
            if response.status != 200:
                raise RuntimeError(
                    f'a request got status {response.status} instead of 200'
                )
        await conn.close()

    tasks = [await aio.spawn(caller()) for _ in range(CALLERS)]
    for task in tasks:
        await task.join()


async def measure_round_us(process: processes.Process) -> float:
    before = processor_ns(process)
    await send_round(address_of(process))
    used = processor_ns(process) - before
    return used / NS_PER_US / (CALLERS * REQUESTS_PER_CALLER)


class ProcessGroup:
    """Starts and stops the processes of one measurement."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._started: list[processes.Process] = []

    def start(self, name: str, module: str, *args: str) -> processes.Process:
        process = processes.start(name, module, *args)
        self._started.append(process)
        return process

    def stop(self) -> None:
        for process in reversed(self._started):
            process.stop()

    def start_entry(self, platform: str) -> processes.Process:
        path = deployment.Files(folder=self._folder).write_settings(
            vm='entry', zone='a', platform=platform, balancer_delay='0ms'
        )
        return self.start('entry', 'goldcresthaven', 'run', str(path))


async def store_setup(platform: str, upstream: str) -> None:
    """Store the configuration and the upstream in the platform API."""
    address = members.Address.parse(platform)
    await deployment.store_document(address, entry_harness.make_document())
    member = members.Member(
        vm=ids.VmId('free-a'),
        zone=ids.ZoneId('a'),
        role=members.Role.UPSTREAM,
        state=members.MemberState.LIVE,
        address=members.Address.parse(upstream),
        pool=entry_harness.FREE,
    )
    await deployment.store_members(address, [member])


async def wait_ready(entry: processes.Process) -> None:
    address = address_of(entry)
    for _ in range(READY_CHECKS):
        response = await http_client.fetch(address, 'GET', TARGET)
        if response.status == 200:
            return
        await aio.sleep(READY_PAUSE)
    raise RuntimeError('the entry process did not become ready')


def measure() -> Figures:
    """Run all rounds and return the medians."""
    figures: list[Figures] = []
    with tempfile.TemporaryDirectory() as name:
        group = ProcessGroup(pathlib.Path(name))
        try:
            aio.run(_measure, group, figures)
        finally:
            group.stop()
    return figures[0]


async def _measure(group: ProcessGroup, figures: list[Figures]) -> None:
    endpoint = json.dumps([{'name': 'free-a', 'slots': 99, 'service_ms': 0}])
    upstreams = group.start('upstream', 'standins.upstream', endpoint)
    upstream = upstreams.startup_info['endpoints']['free-a']
    bare = group.start('bare', 'bench.bare_forwarder', upstream)
    platform = group.start('platform', 'standins.platform')
    entry = group.start_entry(platform.startup_info['listen'])
    await store_setup(platform.startup_info['listen'], upstream)
    await wait_ready(entry)
    await measure_round_us(bare)
    await measure_round_us(entry)
    rounds = [
        (await measure_round_us(bare), await measure_round_us(entry))
        for _ in range(ROUNDS)
    ]
    middle = ROUNDS // 2
    figures.append(
        Figures(
            bare_us=sorted(b for b, _ in rounds)[middle],
            entry_us=sorted(e for _, e in rounds)[middle],
        )
    )


def main() -> int:
    figures = measure()
    print(
        f'entry_cost us/request bare {figures.bare_us:.0f} '
        f'entry {figures.entry_us:.0f} ratio {figures.ratio:.2f}'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())

"""Benchmark of the load policy with real processes on loopback.

``python -m bench.real_overload`` starts a small fleet twice, with the gate of
the product and with a naive gate. It sends an open-loop load of three ranks
in three phases, and prints the results next to those of a simulation with
the same rates and service times. With ``--write`` it also writes
docs/measurements-overload.md.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import pathlib
import random
import sys
import tempfile

from bench import entry_cost
from bench import overload_entry
from bench import overload_load
from bench import overload_report
from bench import overload_virtual
from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import presets
from tools import deployment
from tools import http_client
from tools import processes

SEED = 1
ZONES = ('a', 'b')
ENTRIES_PER_ZONE = 2
ENDPOINTS_PER_ZONE = 2
SLOTS = 2
ENDPOINTS = ENDPOINTS_PER_ZONE * len(ZONES)
# Mean service times in ms. With these, three times the capacity is 310
# requests per second in total, which four entry processes can handle.
SERVICE_MS = {
    outcomes.Rank.URGENT: 100.0,
    outcomes.Rank.STANDARD: 100.0,
    outcomes.Rank.BULK: 200.0,
}
SERVICE_SHAPE = 4.0  # as in the simulation
QUEUE_LIMIT = 100  # waiting requests at an upstream, as in the simulation
MIX = {
    outcomes.Rank.URGENT: 0.2,
    outcomes.Rank.STANDARD: 0.15,
    outcomes.Rank.BULK: 0.15,
}
EXCESS = 3.0  # load of the overloading rank, in multiples of all slots
PHASES = {
    'half load': MIX,
    'BULK at 3 times': MIX | {outcomes.Rank.BULK: EXCESS},
    'URGENT at 3 times': MIX | {outcomes.Rank.URGENT: EXCESS},
}
DURATION = timedelta(seconds=8)
# Long enough for all entry processes to get claims, leases and slot sessions.
WARM_UP = timedelta(seconds=3)
READY_CHECKS = 200
READY_PAUSE = timedelta(milliseconds=100)

DOCUMENT = presets.Document.model_validate(
    {
        'pools': [
            {
                'name': 'work',
                'keyed': False,
                'slots': SLOTS,
                'connections': 250,
                'dedup': 'none',
            }
        ],
        'routes': [
            {
                'prefix': f'/{rank.value}/',
                'pool': 'work',
                'rank': rank.value,
                'idempotent': rank is not outcomes.Rank.URGENT,
            }
            for rank in outcomes.RANKS
        ],
        'presets': [
            {
                'name': 'ordinary',
                'urgent': {'target': '500ms', 'deadline': '2s', 'floor': 0.5},
                'standard': {'target': '1s', 'deadline': '3s', 'floor': 0.3},
                'bulk': {'target': '4s', 'deadline': '6s', 'floor': 0.1},
            }
        ],
        'in_force': 'ordinary',
    }
)


@dataclass(kw_only=True)
class Fleet:
    """The processes of a run with one policy."""

    policy: str
    folder: pathlib.Path
    started: list[processes.Process] = field(default_factory=list)
    entries: list[processes.Process] = field(default_factory=list)
    settings: list[pathlib.Path] = field(default_factory=list)
    member_list: list[members.Member] = field(default_factory=list)
    platform: str = ''

    def start(self) -> None:
        platform = self._start('platform', 'standins.platform')
        self.platform = platform.startup_info['listen']
        endpoints = [
            {
                'name': f'work-{zone}{number}',
                'slots': SLOTS,
                'services': {
                    f'/{rank.value}/': mean
                    for rank, mean in SERVICE_MS.items()
                },
                'service_shape': SERVICE_SHAPE,
                'queue_limit': QUEUE_LIMIT,
            }
            for zone in ZONES
            for number in range(ENDPOINTS_PER_ZONE)
        ]
        upstreams = self._start(
            'upstreams', 'standins.upstream', json.dumps(endpoints)
        )
        for name, address in upstreams.startup_info['endpoints'].items():
            self.member_list.append(_upstream(name, address))
        for zone in ZONES:
            for number in range(ENTRIES_PER_ZONE):
                self._start_entry(f'entry-{zone}{number}', zone)

    def stop(self) -> list[str]:
        """Stop all processes; describe those that did not exit with 0."""
        for process in self.started:
            process.terminate()
        codes = {process.name: process.stop() for process in self.started}
        return [
            f'{name} exited with code {code}'
            for name, code in codes.items()
            if code != 0
        ]

    def upstreams(self) -> list[members.Member]:
        return [m for m in self.member_list if m.role is members.Role.UPSTREAM]

    def caller_addresses(self) -> list[members.Address]:
        return [entry_cost.address_of(process) for process in self.entries]

    def messages_sent(self) -> int:
        return sum(overload_entry.read_sent(path) for path in self.settings)

    def busy_ns(self) -> dict[str, int]:
        """Return the processor time that each process has used so far."""
        return {
            process.name: entry_cost.processor_ns(process)
            for process in self.started
        }

    async def peak(self) -> int:
        """Return the highest peak of an endpoint since the last call."""
        found = []
        for member in self.upstreams():
            response = await http_client.fetch(member.address, 'GET', '/peak')
            found.append(int(response.json()['peak']))
        return max(found)

    def _start_entry(self, vm: str, zone: str) -> None:
        path = deployment.Files(folder=self.folder).write_settings(
            vm=vm, zone=zone, platform=self.platform
        )
        process = self._start(
            vm, 'bench.overload_entry', self.policy, str(path)
        )
        self.entries.append(process)
        self.settings.append(path)
        self.member_list.append(
            deployment.entry_member(
                vm=vm, zone=zone, startup_info=process.startup_info
            )
        )

    def _start(self, name: str, module: str, *args: str) -> processes.Process:
        process = processes.start(name, module, *args)
        self.started.append(process)
        return process


def _upstream(name: str, address: str) -> members.Member:
    return members.Member(
        vm=ids.VmId(name),
        zone=ids.ZoneId(name[-2]),
        role=members.Role.UPSTREAM,
        state=members.MemberState.LIVE,
        address=members.Address.parse(address),
        pool=DOCUMENT.pools[0].name,
    )


def rates(phase: str) -> dict[outcomes.Rank, float]:
    """Return the requests per second of each rank."""
    slots = SLOTS * ENDPOINTS
    return {
        rank: load * slots * 1000.0 / SERVICE_MS[rank]
        for rank, load in PHASES[phase].items()
    }


def goodput(tallies: overload_load.Tallies) -> float:
    """Return the share of all slot time that answered requests account for.

    Each counts with its mean service time, so the share can exceed 1 if
    mostly short requests are answered.
    """
    used = sum(
        tally.answered * SERVICE_MS[rank] for rank, tally in tallies.items()
    )
    return used / 1000.0 / (SLOTS * ENDPOINTS * DURATION.total_seconds())


async def wait_until_ready(fleet: Fleet) -> None:
    for address in fleet.caller_addresses():
        for _ in range(READY_CHECKS):
            response = await http_client.fetch(address, 'GET', '/standard/x')
            if response.status == 200:
                break
            await aio.sleep(READY_PAUSE)
        else:
            raise processes.StartError(f'{address} did not become ready')


async def run_phases(
    fleet: Fleet, phases: list[str], found: list[overload_report.Result]
) -> None:
    """Send the load of each phase and record the results."""
    platform = members.Address.parse(fleet.platform)
    await deployment.store_members(platform, fleet.member_list)
    await deployment.store_document(platform, DOCUMENT)
    await wait_until_ready(fleet)
    preset = DOCUMENT.preset
    load = overload_load.OpenLoad(
        entries=fleet.caller_addresses(),
        targets={rank: preset.rank(rank).target for rank in outcomes.RANKS},
        clock=clock_module.SystemClock(),
        rng=random.Random(SEED),
    )
    await load.run(rates('half load'), WARM_UP)
    for phase in phases:
        found.append(await run_phase(fleet, load, phase))
    await load.close()


async def run_phase(
    fleet: Fleet, load: overload_load.OpenLoad, phase: str
) -> overload_report.Result:
    await fleet.peak()
    messages_before = fleet.messages_sent()
    busy = fleet.busy_ns()
    tallies = await load.run(rates(phase), DURATION)
    spent = fleet.busy_ns()
    sent = sum(tally.sent for tally in tallies.values())
    nanoseconds = DURATION.total_seconds() * 1e9
    return overload_report.Result(
        policy=fleet.policy,
        phase=phase,
        run='real',
        tallies=tallies,
        goodput=goodput(tallies),
        messages=(fleet.messages_sent() - messages_before) / max(sent, 1),
        peak=await fleet.peak(),
        busiest=max((spent[name] - busy[name]) / nanoseconds for name in busy),
        lag_ms=load.lag_ms,
    )


def run_real(
    policy: str, phases: list[str]
) -> tuple[list[overload_report.Result], list[str]]:
    """Return the results and the processes that failed."""
    found: list[overload_report.Result] = []
    with tempfile.TemporaryDirectory(prefix='goldcresthaven-') as name:
        fleet = Fleet(policy=policy, folder=pathlib.Path(name))
        try:
            fleet.start()
            aio.run(run_phases, fleet, phases, found)
        finally:
            failures = fleet.stop()
    return found, failures


def run_virtual(policy: str, phase: str) -> overload_report.Result:
    tallies, messages = overload_virtual.run(
        policy,
        DOCUMENT,
        endpoints=ENDPOINTS,
        entries=len(ZONES) * ENTRIES_PER_ZONE,
        zones=len(ZONES),
        service_ms=SERVICE_MS,
        loads=PHASES[phase],
        seconds=DURATION.total_seconds(),
    )
    return overload_report.Result(
        policy=policy,
        phase=phase,
        run='virtual',
        tallies=tallies,
        goodput=goodput(tallies),
        messages=messages,
    )


def main(args: list[str]) -> int:
    results: list[overload_report.Result] = []
    failures: list[str] = []
    for policy in overload_report.POLICIES:
        real, failed = run_real(policy, list(PHASES))
        failures += failed
        for result in real:
            results += [result, run_virtual(policy, result.phase)]
    failures += overload_report.violations(results, slots=SLOTS)
    text = overload_report.tables(results)
    print(text)
    for failure in failures:
        print(f'FAILED: {failure}', file=sys.stderr)
    if '--write' in args:
        overload_report.write(text, failures)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

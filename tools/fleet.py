"""``make run``: a local fleet of Qasr's shape under load of all ranks.

Every part is a process of its own on loopback. Until the ownership
controller is part of the entry process, this launcher writes the first map
and renews the leases itself.
"""

import collections
from collections.abc import Mapping
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

import yaml

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import log_rows
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards
from goldcresthaven import store_client
from goldcresthaven import tables
from tools import http_client
from tools import load
from tools import processes

ZONES = ('a', 'b', 'c')
ENTRIES_PER_ZONE = 2
# Endpoints over all zones, as in Qasr's deployment.
ENDPOINTS = {'catalogue': 15, 'orders': 6, 'dispatch': 6}
LEASE = timedelta(seconds=2)
RENEWAL = timedelta(milliseconds=500)
LOAD_DURATION = timedelta(seconds=20)
PAUSE = timedelta(milliseconds=30)
READY_CHECKS = 200
READY_PAUSE = timedelta(milliseconds=100)
_MS = timedelta(milliseconds=1)

SETTINGS = processes.ROOT / 'examples' / 'qasr.yaml'


class FleetError(Exception):
    """The fleet did not come up, or a promise was broken."""


@dataclass(kw_only=True)
class Fleet:
    """The processes of a running fleet."""

    folder: pathlib.Path
    document: presets.Document
    platform: processes.Process | None = None
    started: list[processes.Process] = field(default_factory=list)
    upstreams: dict[ids.UpstreamId, members.Member] = field(
        default_factory=dict
    )
    entries: list[members.Member] = field(default_factory=list)

    @property
    def platform_address(self) -> members.Address:
        if self.platform is None:
            raise FleetError('the platform has not been started')
        return members.Address.parse(self.platform.hello['listen'])

    def start(self) -> None:
        """Start all processes and wait until each one listens."""
        self.platform = processes.start('platform', 'standins.platform')
        self.started.append(self.platform)
        pending = [
            self._launch_upstreams(zone, pool)
            for zone in ZONES
            for pool in ENDPOINTS
        ]
        pending += [
            self._launch_entry(zone, number)
            for zone in ZONES
            for number in range(ENTRIES_PER_ZONE)
        ]
        for name, popen in pending:
            process = processes.wait_ready(name, popen)
            self.started.append(process)
            self._note(process)

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

    def _launch_upstreams(self, zone: str, pool: str) -> tuple[str, Any]:
        cfg = self.document.pool(ids.PoolName(pool))
        count = ENDPOINTS[pool] // len(ZONES)
        endpoints = [
            {
                'name': f'{pool}-{zone}{number}',
                'keyed': cfg.keyed,
                'dedup': cfg.dedup is presets.Dedup.UPSTREAM,
                'slots': cfg.slots,
            }
            for number in range(count)
        ]
        name = f'upstreams {zone}/{pool}'
        popen = processes.launch('standins.upstream', json.dumps(endpoints))
        return name, popen

    def _launch_entry(self, zone: str, number: int) -> tuple[str, Any]:
        vm = f'entry-{zone}{number}'
        path = self.folder / f'{vm}.yaml'
        settings = {
            'vm': vm,
            'zone': zone,
            'listen': '127.0.0.1:0',
            'platform': str(self.platform_address),
            'stop_delay': '500ms',
        }
        path.write_text(yaml.safe_dump(settings))
        return vm, processes.launch('goldcresthaven.entry', str(path))

    def _note(self, process: processes.Process) -> None:
        if 'endpoints' in process.hello:
            for name, address in process.hello['endpoints'].items():
                self._note_upstream(name, address)
            return
        self.entries.append(
            members.Member(
                vm=ids.VmId(process.name),
                zone=ids.ZoneId(process.name[6]),
                role=members.Role.ENTRY,
                state=members.MemberState.LIVE,
                address=members.Address.parse(process.hello['listen']),
            )
        )

    def _note_upstream(self, name: str, address: str) -> None:
        pool, _, place = name.rpartition('-')
        self.upstreams[ids.UpstreamId(name)] = members.Member(
            vm=ids.VmId(name),
            zone=ids.ZoneId(place[0]),
            role=members.Role.UPSTREAM,
            state=members.MemberState.LIVE,
            address=members.Address.parse(address),
            pool=ids.PoolName(pool),
        )


def read_document() -> presets.Document:
    raw = yaml.safe_load(SETTINGS.read_text())
    return presets.Document.model_validate(raw)


def first_map(fleet: Fleet) -> shards.MapChange:
    """Return the change that divides the keyed pools evenly."""
    assigned = []
    for pool in fleet.document.pools:
        if not pool.keyed:
            continue
        names = sorted(
            name for name, m in fleet.upstreams.items() if m.pool == pool.name
        )
        for number, shard in enumerate(
            shards.initial_shards(pool.name, pool.shards)
        ):
            assigned.append(
                shards.Shard(
                    shard_id=shard.shard_id,
                    pool=shard.pool,
                    low=shard.low,
                    high=shard.high,
                    owner=names[number % len(names)],
                )
            )
    return shards.MapChange(
        version=ids.MapVersion(1),
        txn=ids.TxnId('first-map'),
        shards=tuple(assigned),
        reason='first map',
    )


def encode_member(member: members.Member) -> Mapping[str, Any]:
    return {
        'vm': member.vm,
        'zone': member.zone,
        'role': member.role.value,
        'state': member.state.value,
        'address': str(member.address),
        'pool': member.pool,
    }


async def insert(
    store: store_client.StoreClient, table: str, value: Mapping[str, Any]
) -> None:
    """Write version 1 of a log.

    Raises FleetError when it could not be committed.
    """
    key = tables.log_key(1)
    txn = tables.Transaction(
        txn=ids.TxnId(value['txn']),
        conditions=(tables.VersionIs(table=table, key=key, version=0),),
        writes=(tables.Write(table=table, key=key, value=value),),
    )
    result = await store.transact(txn)
    if not isinstance(result, tables.Committed):
        raise FleetError(f'cannot write {table}: {result}')


async def publish(fleet: Fleet, change: shards.MapChange) -> None:
    """Store the configuration, the map and the membership list."""
    store = store_client.StoreClient(
        address=fleet.platform_address, clock=clock_module.SystemClock()
    )
    config = log_rows.encode_config(
        version=ids.ConfigVersion(1),
        txn=ids.TxnId('first-config'),
        author='fleet',
        change='first configuration',
        document=fleet.document,
    )
    listed = [*fleet.upstreams.values(), *fleet.entries]
    body = {'members': [encode_member(m) for m in listed]}
    answer = await http_client.ask_once(
        fleet.platform_address,
        'PUT',
        '/v1/members',
        body=json.dumps(body).encode(),
    )
    if answer.status != 200:
        raise FleetError('cannot store the membership list')
    await insert(store, tables.CONFIG_LOG, config)
    await insert(store, tables.MAP_LOG, log_rows.encode_change(change))
    await store.close()


class LeaseSender:
    """Renews one upstream's lease until it is cancelled."""

    def __init__(
        self, *, address: members.Address, owned: frozenset[ids.ShardId]
    ) -> None:
        self._caller = http_client.Caller(address)
        self._owned = sorted(owned)
        self._last: Mapping[str, Any] | None = None
        self._seq = 0

    async def run(self) -> None:
        try:
            while True:
                await self._try_to_renew()
                await aio.sleep(RENEWAL if self._last else READY_PAUSE)
        finally:
            await self._caller.close()

    async def _try_to_renew(self) -> None:
        try:
            await self._renew()
        except errors.Error:
            self._last = None

    async def _renew(self) -> None:
        self._seq += 1
        command: dict[str, Any] = {
            'domain': 'fleet/0',
            'epoch': 1,
            'seq': self._seq,
            'duration_ms': LEASE // _MS,
            'shards': self._owned,
            'boot': '',
        }
        granting = self._last is not None
        if self._last is not None:
            command['boot'] = self._last['boot']
            command['basis_ns'] = self._last['clock_ns']
        answer = await self._caller.ask(
            'POST',
            '/control/lease',
            body=json.dumps(command).encode(),
            limit=LEASE,
        )
        reply = answer.json()
        self._last = reply if reply['accepted'] else None
        if not granting:
            await self._renew()


async def start_leases(fleet: Fleet, change: shards.MapChange) -> None:
    shard_map = shards.ShardMap().apply(change)
    for name, member in fleet.upstreams.items():
        owned = shard_map.owned_by(name)
        if owned:
            sender = LeaseSender(address=member.address, owned=owned)
            await aio.spawn(sender.run())


async def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every entry serves a key of every zone."""
    for entry in fleet.entries:
        for _ in range(READY_CHECKS):
            ready = await http_client.ask_once(entry.address, 'GET', '/ready')
            probe = await http_client.ask_once(
                entry.address, 'GET', '/catalogue/probe'
            )
            if ready.status == 200 and probe.status == 200:
                break
            await aio.sleep(READY_PAUSE)
        else:
            raise FleetError(f'{entry.vm} did not become ready')


async def count_executions(fleet: Fleet) -> collections.Counter[str]:
    """Return how often each idempotency key ran on any upstream."""
    total: collections.Counter[str] = collections.Counter()
    for member in fleet.upstreams.values():
        answer = await http_client.ask_once(
            member.address, 'GET', '/executions'
        )
        total.update(answer.json()['counts'])
    return total


async def exercise(fleet: Fleet, failures: list[str]) -> None:
    """Publish the configuration, send the load and check the promises."""
    change = first_map(fleet)
    await publish(fleet, change)
    await start_leases(fleet, change)
    await wait_until_ready(fleet)
    traffic = load.Load(
        entries=[e.address for e in fleet.entries],
        clock=clock_module.SystemClock(),
        pause=PAUSE,
    )
    await traffic.run(LOAD_DURATION)
    executions = await count_executions(fleet)
    for tally in traffic.tallies.values():
        keys = tally.idempotency_keys
        tally.run_twice = sum(executions[k] > 1 for k in keys)
        lies = sum(executions[k] > 0 for k in tally.not_run_keys)
        if lies:
            failures.append(f'{lies} requests reported as not run did run')
    print(load.table(traffic.tallies))
    for rank, tally in traffic.tallies.items():
        if tally.run_twice:
            failures.append(f'{tally.run_twice} {rank.name} ran twice')
        if not tally.answered:
            failures.append(f'no {rank.name} request was answered')
    if os.environ.get('KEEP') == '1' and not failures:
        await keep(fleet)


async def keep(fleet: Fleet) -> None:
    """Leave the fleet running until this launcher is interrupted."""
    for entry in fleet.entries:
        print(f'{entry.vm} http://{entry.address}')
    print(f'platform http://{fleet.platform_address}')
    print('stop the fleet with Ctrl-C', flush=True)
    await aio.wait_for_signal(signal.SIGINT)


def main() -> int:
    """Run the fleet; returns the exit code."""
    failures: list[str] = []
    with tempfile.TemporaryDirectory(prefix='goldcresthaven-') as name:
        fleet = Fleet(folder=pathlib.Path(name), document=read_document())
        try:
            fleet.start()
            aio.run(exercise, fleet, failures)
        except (FleetError, processes.StartError, errors.Error) as exc:
            failures.append(str(exc))
        finally:
            failures += fleet.stop()
    for failure in failures:
        print(f'FAILED: {failure}', file=sys.stderr)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())

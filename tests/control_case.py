"""Base class of the process tests of claims, leases and moves.

Callers request the same keys continuously. Every response contains the
upstream that committed it and the time of the commit, so that a test can
compare the owners with the map log and measure how long a key was unserved.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
import itertools
import json

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import ids
from goldcresthaven import map_codec
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards
from tests import fleet_case
from tools import deployment
from tools import entry_harness
from tools import http_client

KEYS = tuple(f'key-{number}' for number in range(12))
SHARDS = 12
# Shortest term that the settings allow.
TERM = timedelta(seconds=3)
GRACE = timedelta(seconds=60)
PAUSE = timedelta(milliseconds=50)
# A stopped entry process accepts connections but never responds.
REQUEST_TIMEOUT = timedelta(milliseconds=600)
DEADLINE: http_head.Headers = (('x-deadline-ms', '300'),)
CLOCK = clock_module.SystemClock()


def make_document() -> presets.Document:
    document = entry_harness.make_document()
    pools = tuple(
        p.model_copy(update={'shards': SHARDS}) if p.keyed else p
        for p in document.pools
    )
    chosen = tuple(
        p.model_copy(update={'claim_term': TERM, 'claim_grace': GRACE})
        for p in document.presets
    )
    return document.model_copy(update={'pools': pools, 'presets': chosen})


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyResponse:
    """One complete response; both times are of this machine's clock."""

    received: timedelta
    committed_ns: int
    upstream: str


class Callers:
    """Requests every key through the given entries until stopped."""

    def __init__(self, entries: Sequence[members.Address]) -> None:
        self.entries = list(entries)
        self.served: dict[str, list[KeyResponse]] = {k: [] for k in KEYS}
        self.refused: set[str] = set()
        self.refusals: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )
        # The entries and keys whose last response was served.
        self.served_by: set[tuple[members.Address, str]] = set()
        self.failed: list[str] = []
        self._tasks: list[aio.Task] = []

    async def start(self) -> None:
        self._tasks = [
            await aio.spawn(self._request_repeatedly(key)) for key in KEYS
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            await task.cancel()

    def all_served(self) -> bool:
        """Return whether each entry served each key at the last request."""
        pairs = set(itertools.product(self.entries, KEYS))
        return pairs <= self.served_by

    def longest_gap(self, key: str, since: timedelta) -> timedelta:
        """Return the longest time without a response after ``since``."""
        times = [s.received for s in self.served[key] if s.received > since]
        times = [since, *times, CLOCK.elapsed()]
        return max(b - a for a, b in itertools.pairwise(times))

    def time_since_response(self, key: str) -> timedelta:
        """Return the time since the last response."""
        return CLOCK.elapsed() - self.served[key][-1].received

    def owner(self, key: str) -> str | None:
        served = self.served[key]
        return served[-1].upstream if served else None

    def owners(self, key: str) -> list[str]:
        """Return the upstreams in the order in which they committed."""
        ordered = sorted(self.served[key], key=lambda s: s.committed_ns)
        return [
            name
            for name, _ in itertools.groupby(ordered, key=lambda s: s.upstream)
        ]

    async def _request_repeatedly(self, key: str) -> None:
        for number in itertools.count():
            address = self.entries[number % len(self.entries)]
            try:
                response = await http_client.fetch(
                    address,
                    'GET',
                    f'/keyed/{key}',
                    headers=DEADLINE,
                    timeout=REQUEST_TIMEOUT,
                )
            except errors.Error as exc:
                self.failed.append(f'{address} {key}: {exc}')
                self.served_by.discard((address, key))
            else:
                self._record_response(key, address, response)
            await aio.sleep(PAUSE)

    def _record_response(
        self,
        key: str,
        address: members.Address,
        response: http_client.Response,
    ) -> None:
        if response.outcome != 'done':
            self.refused.add(key)
            self.served_by.discard((address, key))
            self.refusals[key].add(f'{response.outcome} {response.reason}')
            return
        self.refused.discard(key)
        self.served_by.add((address, key))
        body = response.json()
        self.served[key].append(
            KeyResponse(
                received=CLOCK.elapsed(),
                committed_ns=body['committed_ns'],
                upstream=body['upstream'],
            )
        )


class ControlCase(fleet_case.FleetCase):
    """Three entries and three keyed upstreams in one zone."""

    entry_count = 3

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = {
            name: self.start_upstream(name, keyed=True, service_ms=2)
            for name in ('keyed-a', 'keyed-b', 'keyed-c')
        }
        self.entries = {
            name: self.start_entry(name)
            for name in [f'entry-{n}' for n in range(self.entry_count)]
        }

    def address(self, vm: str) -> members.Address:
        return fleet_case.address_of(self.entries[vm])

    async def begin(self) -> Callers:
        """Publish members and settings and wait until all keys are served.

        Each entry has to serve each key. An entry that is not ready yet
        would refuse requests after the start of a test.
        """
        await self.store_member_list()
        await deployment.store_document(self.store_address, make_document())
        callers = Callers([self.address(vm) for vm in self.entries])
        await callers.start()

        async def settled() -> bool:
            return callers.all_served()

        await self.until(settled)
        callers.failed.clear()
        callers.refusals.clear()
        return callers

    async def holder(self) -> str | None:
        """Return the holder in the domain's claim row."""
        response = await http_client.fetch(
            self.store_address, 'GET', '/v1/rows/claims'
        )
        rows = response.json()['rows']
        holder = rows[0]['value'].get('holder') if rows else None
        return None if holder is None else str(holder)

    async def until_holder_is_not(self, vm: str) -> str:
        found: list[str] = []

        async def replaced() -> bool:
            holder = await self.holder()
            if holder in (None, vm):
                return False
            found.append(str(holder))
            return True

        await self.until(replaced)
        return found[0]

    async def until_served_after(
        self, callers: Callers, keys: Sequence[str], since: timedelta
    ) -> timedelta:
        """Return the time from ``since`` until all keys were served."""

        def first(key: str) -> timedelta | None:
            later = (s.received for s in callers.served[key])
            return next((t for t in later if t > since), None)

        async def served() -> bool:
            return all(first(key) is not None for key in keys)

        await self.until(served)
        return max(first(key) or since for key in keys) - since

    async def check_owners(self, callers: Callers) -> None:
        """Check that each key's owners appear in the order of the map log."""
        response = await http_client.fetch(
            self.store_address, 'GET', '/v1/rows/map_log'
        )
        shard_map = shards.ShardMap()
        history: dict[str, list[str | None]] = {key: [] for key in KEYS}
        for row in response.json()['rows']:
            shard_map = shard_map.apply(map_codec.from_value(row['value']))
            for key in KEYS:
                history[key].append(_owner(shard_map, key))
        for key in KEYS:
            steps = iter(history[key])
            owners = callers.owners(key)
            self.assertTrue(
                all(owner in steps for owner in owners),
                f'{key}: served by {owners}, map log {history[key]}',
            )

    def report(self, what: str, measured: timedelta) -> None:
        seconds = measured.total_seconds()
        print(json.dumps({'measured': what, 'seconds': round(seconds, 2)}))


def _owner(shard_map: shards.ShardMap, key: str) -> ids.UpstreamId | None:
    shard = shard_map.lookup(entry_harness.KEYED, shards.hash_key(key))
    return None if shard is None else shard.owner

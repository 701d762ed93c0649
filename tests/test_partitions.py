"""Process tests of partitions that TCP relays on loopback simulate."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from datetime import timedelta
import pathlib
import random
import secrets
import subprocess  # nosec
from typing import Any

from goldcresthaven import auth
from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import map_codec
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import peer_link
from goldcresthaven import peer_session
from goldcresthaven import shards
from goldcresthaven import store_client
from goldcresthaven import tables
from tests import control_case
from tests import tcp_relay
from tools import deployment
from tools import entry_harness
from tools import http_client
from tools import processes

CLOCK = control_case.CLOCK
PLATFORM = 'platform'
QUERY_TIMEOUT = timedelta(seconds=1)
# A claim that peers do not extend by consent ends within one term.
BEYOND_TERM = control_case.TERM * 1.5
# While no lease ends, keys are served without longer gaps.
MAX_GAP = leases.LEASE
# Idempotency key of the requests that arrive after the keys have moved.
LATE_KEY = 'late'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Versions:
    """The versions that a process has applied."""

    config: int
    map: int


class Observer:
    """A peer that queries processes for their versions without relays."""

    def __init__(
        self, keys_file: pathlib.Path, addresses: dict[str, members.Address]
    ) -> None:
        vm = ids.VmId('observer')
        ring = auth.parse_keys(keys_file.read_text())
        self.seen: dict[str, list[Versions]] = {}
        self._links = peer_link.PeerLinks(
            identity=peer_session.Identity(
                vm=vm, zone=ids.ZoneId('a'), boot=ids.BootId('observer')
            ),
            security=peer_session.Security(
                verifier=auth.Verifier(ring, target=vm, time=CLOCK),
                time=CLOCK,
                nonce=lambda: secrets.token_bytes(auth.NONCE_BYTES),
            ),
            time=CLOCK,
            address_of=lambda name: addresses.get(name),
            handler=self._ignore,
            on_event=lambda event: None,
            rng=random.Random(1),
        )

    async def query(self, vm: str) -> Versions:
        """Return and record the versions of a process."""
        heartbeat = messages.Heartbeat(
            stamp=events.Stamp(),
            map_version=ids.MapVersion(0),
            config_version=ids.ConfigVersion(0),
        )
        reply = await self._links.request(
            ids.VmId(vm), heartbeat, QUERY_TIMEOUT
        )
        assert isinstance(reply, messages.HeartbeatAck), reply
        versions = Versions(config=reply.config_version, map=reply.map_version)
        self.seen.setdefault(vm, []).append(versions)
        return versions

    async def close(self) -> None:
        await self._links.close()

    async def _ignore(
        self, vm: ids.VmId, message: messages.Message
    ) -> messages.Message | None:
        return None


class PartitionCase(control_case.ControlCase):
    """Keyed upstreams in zone a; entries connect through relays."""

    entry_count = 0

    def run_with(
        self, entries: dict[str, str], test: Callable[[], Awaitable[None]]
    ) -> None:
        """Start the entries, given with their zones, and run a test."""

        async def main() -> None:
            self.network = tcp_relay.Network()
            launched = {
                vm: await self._start_entry(vm, zone)
                for vm, zone in entries.items()
            }
            for vm, zone in entries.items():
                self._register(vm, zone, launched[vm])
            for vm in entries:
                for name, member in self.members_by_name.items():
                    if name != vm:
                        await self.network.link(vm, name, member.address)
            await test()

        entry_harness.run(main)

    async def _start_entry(
        self, vm: str, zone: str
    ) -> subprocess.Popen[bytes]:
        platform = await self.network.link(vm, PLATFORM, self.store_address)
        path = deployment.Files(folder=self.folder).write_settings(
            vm=vm, zone=zone, platform=str(platform)
        )
        popen = processes.launch('goldcresthaven', 'run', str(path))
        self.addCleanup(popen.kill)
        return popen

    def _register(
        self, vm: str, zone: str, popen: subprocess.Popen[bytes]
    ) -> None:
        process = processes.wait_ready(vm, popen)
        self.addCleanup(process.stop)
        self.entries[vm] = process
        self.members_by_name[vm] = deployment.entry_member(
            vm=vm, zone=zone, startup_info=process.startup_info
        )

    async def claim(self) -> dict[str, Any]:
        """Return the claim row of the only domain with upstreams."""
        response = await http_client.fetch(
            self.store_address, 'GET', '/v1/rows/claims/a%2F0'
        )
        value: dict[str, Any] = response.json()['value']
        return value

    async def until_past_term(self, since: timedelta) -> None:
        async def passed() -> bool:
            return CLOCK.elapsed() - since > BEYOND_TERM

        await self.until(passed)

    async def check_not_renewed(self, old: dict[str, Any]) -> None:
        """Check that the claim continued without renewals in the store.

        One renewal may have been in flight when the link was cut. A claim
        holder that reaches the store renews three times in a term.
        """
        new = await self.claim()
        self.assertEqual(old['epoch'], new['epoch'])
        self.assertLessEqual(new['renewal'], old['renewal'] + 1)

    async def until_renewed(self, old: dict[str, Any]) -> None:
        async def renewed() -> bool:
            new = await self.claim()
            return bool(
                (new['epoch'], new['renewal']) > (old['epoch'], old['renewal'])
            )

        await self.until(renewed)

    def check_no_gap(
        self, callers: control_case.Callers, since: timedelta
    ) -> None:
        gap = max(callers.longest_gap(k, since) for k in control_case.KEYS)
        detail = f'{dict(callers.refusals)} {callers.failed[-3:]}'
        self.assertLess(gap, MAX_GAP, detail)


class ZoneTest(PartitionCase):
    def test_cut_off_from_the_platform(self) -> None:
        """Guards against a zone that stops serving without the store."""
        zones = {'entry-a0': 'a', 'entry-a1': 'a', 'entry-b0': 'b'}

        async def test() -> None:
            callers = await self.begin()
            cut = CLOCK.elapsed()
            await self.network.cut(['entry-a0', 'entry-a1'], [PLATFORM])
            before = await self.claim()
            await self.until_past_term(cut)
            await self.check_not_renewed(before)
            self.check_no_gap(callers, cut)
            await self.network.heal()
            await self.until_renewed(before)
            self.check_no_gap(callers, cut)
            await callers.stop()
            await self.check_owners(callers)

        self.run_with(zones, test)

    def test_cut_off_from_the_platform_and_other_zones(self) -> None:
        """Guards against a cut-off zone that stops or gets a second owner."""
        zones = {'entry-a0': 'a', 'entry-a1': 'a', 'entry-b0': 'b'}

        async def test() -> None:
            callers = await self.begin()
            inside = control_case.Callers(
                [self.address('entry-a0'), self.address('entry-a1')]
            )
            await callers.stop()
            await inside.start()
            cut = CLOCK.elapsed()
            side = ['entry-a0', 'entry-a1', *self.upstreams]
            await self.network.cut(side, [PLATFORM, 'entry-b0'])
            before = await self.claim()
            outside = control_case.Callers([self.address('entry-b0')])
            await outside.start()

            async def all_refused() -> bool:
                return outside.refused == set(control_case.KEYS)

            await self.until(all_refused)
            await self.until_past_term(cut)
            await self.check_not_renewed(before)
            self.check_no_gap(inside, cut)
            self.assertFalse(any(outside.served.values()))
            await self.network.heal()
            await self.until_renewed(before)
            await self.until_served_after(
                outside, control_case.KEYS, CLOCK.elapsed()
            )
            self.check_no_gap(inside, cut)
            for group in (inside, outside):
                await group.stop()
                await self.check_owners(group)

        self.run_with(zones, test)


class PeerLinkTest(PartitionCase):
    def test_cut_and_healed(self) -> None:
        """Guards against a process that stays behind or reverts.

        The process cannot reach the store, so that it gets changes only
        from its peer.
        """
        zones = {'entry-0': 'a', 'entry-1': 'a'}

        async def test() -> None:
            callers = await self.begin()
            await callers.stop()
            keys = self.folder / 'keys.yaml'
            observer = Observer(
                keys,
                {v: self.members_by_name[v].address for v in self.entries},
            )
            await self.network.cut(['entry-1'], [PLATFORM, 'entry-0'])
            before = await observer.query('entry-1')
            await self._drain('keyed-c')

            async def moved() -> bool:
                seen = await observer.query('entry-0')
                return (
                    seen.config > before.config
                    and seen.map > before.map
                    and await self._owned('keyed-c') == 0
                )

            await self.until(moved)
            self.assertEqual(before, await observer.query('entry-1'))
            await self.network.heal(['entry-1'], ['entry-0'])

            async def caught_up() -> bool:
                own = await observer.query('entry-1')
                return own == await observer.query('entry-0')

            await self.until(caught_up)
            for seen in observer.seen.values():
                for name in ('config', 'map'):
                    versions = [getattr(v, name) for v in seen]
                    self.assertEqual(sorted(versions), versions)
            await observer.close()

        self.run_with(zones, test)

    async def _owned(self, name: str) -> int:
        """Return how many shards an upstream owns in the map log."""
        response = await http_client.fetch(
            self.store_address, 'GET', '/v1/rows/map_log'
        )
        shard_map = shards.ShardMap()
        for row in response.json()['rows']:
            shard_map = shard_map.apply(map_codec.from_value(row['value']))
        return len(shard_map.owned_by(ids.UpstreamId(name)))

    async def _drain(self, name: str) -> None:
        """Store a drain, as a call of an operator does."""
        document = control_case.make_document().model_copy(
            update={'drained': (ids.UpstreamId(name),)}
        )
        entry = config_log.Entry(
            version=ids.ConfigVersion(config_log.FIRST + 1),
            txn=ids.TxnId('drain'),
            author='test',
            change=config_changes.Drain(upstream=ids.UpstreamId(name)),
            document=document,
        )
        proposal = config_log.Proposal(before=None, entry=entry)
        store = store_client.StoreClient(
            address=self.store_address, clock=CLOCK
        )
        result = await store.transact(proposal.transaction)
        await store.close()
        self.assertIsInstance(result, tables.Committed)


class UpstreamTest(PartitionCase):
    def test_requests_arrive_after_the_move(self) -> None:
        """Guards against upstreams that accept late requests and grants.

        The data that the entries send to an upstream is held until its keys
        have moved, and delivered after that.
        """
        zones = {'entry-0': 'a', 'entry-1': 'a'}

        async def test() -> None:
            callers = await self.begin()
            old_owner = 'keyed-a'
            moved_keys = [
                k for k in control_case.KEYS if callers.owner(k) == old_owner
            ]
            self.assertTrue(moved_keys)
            held = CLOCK.elapsed()
            self.network.hold(self.entries, [old_owner])
            headers = (('idempotency-key', LATE_KEY), *control_case.DEADLINE)

            async def sent() -> bool:
                # The outcome is unknown only if the request was sent.
                response = await http_client.fetch(
                    self.address('entry-0'),
                    'GET',
                    f'/keyed/{moved_keys[0]}',
                    headers=headers,
                )
                return response.outcome == 'unknown'

            await self.until(sent)
            await self.until_served_after(
                callers, moved_keys, held + leases.LEASE
            )
            self.assertNotIn(old_owner, {callers.owner(k) for k in moved_keys})
            await self.network.heal()

            async def refused() -> bool:
                return any(
                    c.replies.startswith(b'HTTP/1.1 421')
                    for c in self.network.conns
                )

            await self.until(refused)
            response = await http_client.fetch(
                self.members_by_name[old_owner].address, 'GET', '/executions'
            )
            self.assertNotIn(LATE_KEY, response.json()['counts'])
            await callers.stop()
            await self.check_owners(callers)

        self.run_with(zones, test)

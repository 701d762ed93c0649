"""Simulates the key coordinators of a pool under delays and failures.

The real ``key_coordinator`` with its renewals, releases and grants, and the
real client for grants, run on a virtual clock. A run delays awaits, timers
and sends by 0.05 to 3 s, cuts and chokes links, loses and delays answers,
slows the store, and ends and starts processes and upstreams. All random
choices derive from the seed. Extended runs add more second copies of
responses, rejections, short partitions and a slow holder with a full link.
Runs with copies aim at one case: the last renewals of a holder that loses its
claim are held back, and copies of earlier responses answer them. So do runs
with a missed successor: a holder that was cut off from the store and from its
successor finds a copy of the store that does not know the successor.
"""

from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random
from typing import Any
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import decision_log
from goldcresthaven import fleet_messages
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import key_coordinator
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import state_store
from goldcresthaven import upstream_notices
from goldcresthaven import upstream_pool
from goldcresthaven.platform import leases
from goldcresthaven.platform import names
from proofs import coordinator_store
from proofs import coordinator_world
from proofs import virtual_loop

POOL = ids.PoolName('catalogue')
LAST_KEY = 255
LONGEST_HOLD = timedelta(seconds=10)
DURATION = 16.0  # seconds
# A split may outlast the holds that a predecessor can have granted.
SPLIT_DURATION = 40.0  # seconds
SPLIT_SHARE = 0.15  # of all runs
# Covers the longest holds that the successor granted.
MISSED_SUCCESSOR_DURATION = 30.0  # seconds
STALLS = (0.05, 0.2, 0.6, 1.2, 3.0)  # seconds
# Largest ages of the copies from which the store comes back. Most runs are
# shorter than the last one, so that the copy has no rows.
COPY_AGES = (3.0, 8.0, 20.0)  # seconds


@dataclass(kw_only=True)
class Outcome:
    """The result of one run; ``log`` is filled only on request."""

    violations: list[str] = field(default_factory=list)
    grants: int = 0
    log: list[str] = field(default_factory=list)


class _Member:
    """One process of the fleet, which may be ended and started again."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        self.starts = 0
        self.start()

    def start(self) -> None:
        world = self.world
        loop = world.loop
        self.starts += 1
        rate = loop.rng.uniform(0.9999, 1.0001)
        self.process = virtual_loop.Process(loop, self.name, rate=rate)
        world.processes.append(self.process)
        notices = upstream_notices.UpstreamNotices(rng=random.Random(1))
        self.registry = registry.Registry(leaving=notices.leaving_since)
        for upstream in world.network.by_address.values():
            self.learn(upstream)
        pools = (
            coordinator_world.Pool(world.network, self.name),
            coordinator_world.Pool(world.network, self.name),
        )
        with mock.patch.object(
            upstream_pool, 'UpstreamPool', side_effect=pools
        ):
            calls = leases.PlatformLeases(clock=self.process.clock)
        self.coordinator = key_coordinator.KeyCoordinator(
            pool=POOL,
            identity=f'{self.name}/{self.starts}',
            store=world.store.client(self.name),
            calls=_StallingCalls(calls, world),
            upstreams=self.registry,
            notices=notices,
            address=f'{self.name}:7200',
            capacity=lambda upstream: float(upstream.slots),
            report_age=lambda pool, now: timedelta(seconds=60),
            fleet_size=lambda: 2,
            known_map=lambda pool: None,
            announce=lambda message: None,
            request_step_down=self._request_step_down,
            longest_hold=LONGEST_HOLD,
            cpu_cores=1.0,
            link_bytes_per_s=1e8,
            clock=self.process.clock,
            rng=random.Random(loop.rng.random()),
        )
        self.process.start(self.coordinator.run())
        self.process.start(self._count())

    def start_if_ended(self) -> None:
        """Start the process again, unless another event has started it.

        Two processes never share an address: one of them would answer the
        requests to step down that are meant for the other.
        """
        if self.process.ended:
            self.start()

    def learn(
        self, upstream: coordinator_world.Upstream, *, draining: bool = False
    ) -> None:
        """Learn of an upstream, as the table followers would."""
        name = ids.UpstreamId(upstream.name)
        now = self.process.clock.elapsed()
        entry = registry.Upstream(
            upstream_id=name,
            pool=POOL,
            address=members.Address(host=upstream.name, port=80),
            zone=ids.ZoneId('a'),
            slots=4,
            draining=draining,
            incarnation=registry.Incarnation(upstream.incarnation),
        )
        self.registry.apply({name: entry}, full=False, version=1, now=now)

    def forget(self, name: str) -> None:
        """Learn that an upstream's entry is gone."""
        now = self.process.clock.elapsed()
        self.registry.apply(
            {ids.UpstreamId(name): None}, full=False, version=1, now=now
        )

    async def _count(self) -> None:
        rng = self.world.loop.rng
        while True:
            await self.process.sleep(0.3)
            keys = [_random_key(rng) for _ in range(30)]
            self.coordinator.count(keys, 1.0)

    def _request_step_down(
        self, to: str, request: fleet_messages.StepDown
    ) -> None:
        name = to.split(':')[0]
        self.world.send(
            self.name, name, lambda m: m.answer_step_down(self.name, request)
        )

    def answer_step_down(
        self, sender: str, request: fleet_messages.StepDown
    ) -> None:
        answer = self.coordinator.step_down(request)
        if answer is not None:
            self.world.send(
                self.name,
                sender,
                lambda m: m.coordinator.predecessor_stepped_down(answer),
            )


class _StallingCalls:
    """Stalls a process between its decision to grant and the call."""

    def __init__(self, calls: leases.PlatformLeases, world: 'World') -> None:
        self._calls = calls
        self._world = world

    async def grant(self, *args: Any, **kwargs: Any) -> key_grants.GrantReply:
        await self._world.stall_current()
        return await self._calls.grant(*args, **kwargs)

    async def release(
        self, *args: Any, **kwargs: Any
    ) -> key_grants.ReleaseReply:
        await self._world.stall_current()
        return await self._calls.release(*args, **kwargs)

    async def reset(self, *args: Any, **kwargs: Any) -> None:
        await self._world.stall_current()
        await self._calls.reset(*args, **kwargs)

    async def round_trip(self, *args: Any, **kwargs: Any) -> bool:
        return await self._calls.round_trip(*args, **kwargs)


class World:
    """The processes, upstreams, links and faults of one run."""

    def __init__(
        self,
        seed: int,
        *,
        extended: bool = False,
        takeover: bool = False,
        copies: bool = False,
        restores: bool = False,
        missed_successor: bool = False,
    ) -> None:
        rng = random.Random(seed)
        self.loop = virtual_loop.Loop(rng)
        self.faults = coordinator_world.Faults()
        self.checker = coordinator_world.Checker(self.loop)
        self.network = coordinator_world.Network(
            self.loop, self.faults, self.checker
        )
        self.store = coordinator_store.Store(
            self.loop, self.faults, self.network.uplinks
        )
        self.processes: list[virtual_loop.Process] = []
        self.call_stall = 0.0
        self.duration = DURATION
        self.isolated = ''
        self.entries: dict[str, list[_Entry]] = {}
        for i in range(rng.randint(2, 4)):
            self._keep_entry(f'u{i}', self.network.start_upstream(f'u{i}'))
        self.members = [_Member(self, f'n{i}') for i in range(3)]
        if copies:
            self._plan_copies(random.Random(f'copies {seed}'))
        elif missed_successor:
            self._plan_missed_successor(random.Random(f'missed {seed}'))
        else:
            self._plan_faults()
        if extended:
            self._plan_extra_faults(random.Random(f'extended {seed}'))
        if takeover:
            self._plan_takeover(random.Random(f'takeover {seed}'))
        if restores:
            self._plan_restores(seed)

    def send(self, sender: str, receiver: str, deliver: Any) -> None:
        """Deliver a datagram to a process, unless it is lost."""
        rng = self.loop.rng
        target = next((m for m in self.members if m.name == receiver), None)
        if target is None or rng.random() < 0.1:
            return
        if self.isolated in (sender, receiver):
            return
        process = target.process
        delay = self.network.uplinks.delay(sender)
        delay += rng.choice((0.0, 0.0, 0.3, 1.0))
        self.loop.after(delay, lambda: process.run(lambda: deliver(target)))

    async def stall_current(self) -> None:
        if self.loop.rng.random() >= self.call_stall:
            return
        task = self.loop.current
        assert task is not None
        duration = self.loop.rng.choice(STALLS)
        task.process.stall(duration)
        await task.process.sleep(duration)

    def _plan_faults(self) -> None:
        """Choose what goes wrong in this run, and when."""
        rng = self.loop.rng
        faults = self.faults
        for name, most in (
            ('late_grant', 0.2),
            ('lost_response', 0.2),
            ('store_slow', 0.3),
            ('store_lost', 0.3),
            ('slow_release', 0.5),
            ('late_send', 0.2),
            ('second_response', 0.2),
        ):
            if rng.random() < 0.3:
                setattr(faults, name, rng.uniform(0.0, most))
        if rng.random() < 0.3:
            self.call_stall = rng.uniform(0.0, 0.1)
        if rng.random() < 0.5:
            share = rng.uniform(0.0, 0.01)
            self.loop.before_step = lambda process: self._maybe_stall(
                process, share
            )
        events = (
            self._freeze,
            self._cut_store,
            self._cut_upstream,
            self._choke,
            self._end_process,
            self._restart_upstream,
            self._drain_upstream,
            self._remove_upstream,
            self._add_upstream,
        )
        if rng.random() < SPLIT_SHARE:
            self.duration = SPLIT_DURATION
            self.loop.at(rng.uniform(2.0, 6.0), self._split)
        for _ in range(rng.randint(1, 6)):
            event = rng.choice(events)
            self.loop.at(rng.uniform(1.0, self.duration - 3.0), event)

    def _plan_extra_faults(self, rng: random.Random) -> None:
        """Add faults that copy, reject or hold back calls on connections."""
        faults = self.faults
        faults.extra = rng
        faults.longest_copy_delay = rng.uniform(0.3, 3.0)
        if rng.random() < 0.7:
            faults.second_response = rng.uniform(0.1, 0.6)
        if rng.random() < 0.3:
            faults.error_response = rng.uniform(0.0, 0.2)
        if rng.random() < 0.2:
            faults.close_unanswered = rng.uniform(0.0, 0.1)
        events = (
            self._cut_briefly,
            self._cut_briefly,
            self._refuse_holder,
            self._overload_holder,
        )
        for _ in range(rng.randint(1, 5)):
            event = rng.choice(events)
            self.loop.at(rng.uniform(2.0, self.duration - 3.0), event)

    def _plan_takeover(self, rng: random.Random) -> None:
        """Hold back the last renewals of a holder that the store refuses.

        Responses are often sent twice, and the others cannot reach the
        upstream, so that the successor has to rely on the holder's bounds.
        """
        self.faults.second_response = 0.6
        self.faults.longest_copy_delay = rng.uniform(0.6, 1.5)
        self.loop.at(rng.uniform(5.0, 7.0), lambda: self._take_over(rng))

    def _take_over(self, rng: random.Random) -> None:
        member = self._some_member()
        host = rng.choice(list(self.network.by_address))
        others = [m.name for m in self.members if m is not member]
        self._cut_for([(name, host) for name in others], 8.0)
        self._cut_for([(member.name, 'store')], 6.0)
        for _ in range(3):
            self.loop.after(
                rng.uniform(0.5, 4.0),
                lambda: self._cut_for(
                    [(member.name, host)], rng.uniform(0.3, 1.5)
                ),
            )

    def _plan_copies(self, rng: random.Random) -> None:
        """Answer renewals that are held back by copies of other responses.

        It begins when the holder loses the store. The others cannot reach
        the upstream, so that the successor relies on the holder's bounds.
        """
        self.faults.copies_are_read = True
        status = rng.choice((200, 200, 409))
        self.loop.at(
            rng.uniform(5.0, 7.0), lambda: self._answer_by_copies(rng, status)
        )

    def _answer_by_copies(self, rng: random.Random, status: int) -> None:
        holders = [m.name for m in self.members if m.coordinator.holds_claim]
        if not holders:
            return
        holder = holders[0]
        host = rng.choice(list(self.network.by_address))
        others = [m.name for m in self.members if m.name != holder]
        self._cut_for([(name, host) for name in others], 9.0)
        self._cut_for([(holder, 'store')], 6.0)
        end = self.loop.now + 4.0

        def hold_back(
            process: str, conn: coordinator_world.Conn, path: str
        ) -> None:
            if (process, conn.upstream.name) != (holder, host):
                return
            renewal = path == names.GRANT_PATH and conn.exchanges > 1
            if not renewal or self.loop.now > end or rng.random() < 0.2:
                return
            self._cut_for([(holder, host)], rng.uniform(0.3, 1.25))
            self.loop.after(
                rng.uniform(0.005, 0.3),
                lambda: self.network.send_copy(conn, status),
            )

        self.network.before_call = hold_back

    def _cut_for(self, links: list[tuple[str, str]], seconds: float) -> None:
        self.faults.cut |= set(links)
        self.loop.after(
            seconds, lambda: self.faults.cut.difference_update(links)
        )

    def _cut_briefly(self) -> None:
        """Cut a process off from an upstream for about one renewal."""
        name = self.loop.rng.choice(list(self.network.by_address))
        links = [(self._some_member().name, name)]
        self.faults.cut |= set(links)
        self.loop.after(
            self.loop.rng.uniform(0.3, 2.5),
            lambda: self.faults.cut.difference_update(links),
        )

    def _refuse_holder(self) -> None:
        """Let the store refuse the claim's holder, and be slow for others."""
        self._cut_store()
        self.faults.store_slow = max(self.faults.store_slow, 0.2)

    def _overload_holder(self) -> None:
        """Delay the tasks of one process and fill its link."""
        member = self._some_member()
        rng = self.loop.rng
        self.faults.choked[member.name] = rng.uniform(0.5, 3.0)
        for _ in range(rng.randint(1, 4)):
            delay = rng.uniform(0.0, 3.0)
            self.loop.after(
                delay, lambda: member.process.stall(rng.choice(STALLS))
            )

        def end() -> None:
            self.faults.choked.pop(member.name, None)

        self.loop.after(rng.uniform(1.0, 4.0), end)

    def _maybe_stall(
        self, process: virtual_loop.Process, share: float
    ) -> None:
        if self.loop.rng.random() < share:
            process.stall(self.loop.rng.choice(STALLS))

    def _freeze(self) -> None:
        member = self._some_member()
        member.process.stall(self.loop.rng.uniform(0.2, 8.0))

    def _cut_store(self) -> None:
        self._cut_links([(self._some_member().name, 'store')])

    def _cut_upstream(self) -> None:
        name = self.loop.rng.choice(list(self.network.by_address))
        some = [m for m in self.members if self.loop.rng.random() < 0.6]
        self._cut_links([(m.name, name) for m in some])

    def _split(self) -> None:
        """Cut a process and some upstreams off from all others."""
        rng = self.loop.rng
        name = self._some_member().name
        self.isolated = name
        links = [(name, 'store')]
        for host in list(self.network.by_address):
            if rng.random() < 0.6:
                others = [m.name for m in self.members if m.name != name]
                links += [(other, host) for other in others]
        self.faults.cut |= set(links)

        def heal() -> None:
            self.isolated = ''
            self.faults.cut.difference_update(links)

        self.loop.after(rng.uniform(1.0, 30.0), heal)

    def _cut_links(self, links: list[tuple[str, str]]) -> None:
        self.faults.cut |= set(links)
        self.loop.after(
            self.loop.rng.uniform(0.3, 8.0),
            lambda: self.faults.cut.difference_update(links),
        )

    def _choke(self) -> None:
        name = self._some_member().name
        self.faults.choked[name] = self.loop.rng.uniform(0.05, 3.0)

        def end() -> None:
            self.faults.choked.pop(name, None)

        self.loop.after(self.loop.rng.uniform(0.3, 4.0), end)

    def _end_process(self) -> None:
        member = self._some_member()
        member.process.end()
        self.loop.after(self.loop.rng.uniform(0.1, 2.0), member.start_if_ended)

    def _restart_upstream(self) -> None:
        name = self.loop.rng.choice(list(self.network.by_address))
        self._tell_all(self.network.start_upstream(name))

    def _add_upstream(self) -> None:
        name = f'u{len(self.network.by_address)}'
        self._tell_all(self.network.start_upstream(name))

    def _drain_upstream(self) -> None:
        name = self.loop.rng.choice(list(self.network.by_address))
        self._tell_all(self.network.by_address[name], draining=True)

    def _remove_upstream(self) -> None:
        name = self.loop.rng.choice(list(self.network.by_address))
        self._keep_entry(name, None)
        for member in self.members:
            self._later(member, lambda m: m.forget(name))

    def _tell_all(
        self, upstream: coordinator_world.Upstream, *, draining: bool = False
    ) -> None:
        self._keep_entry(upstream.name, upstream, draining=draining)
        for member in self.members:
            self._later(member, lambda m: m.learn(upstream, draining=draining))

    def _later(self, member: _Member, action: Any) -> None:
        delay = self.loop.rng.choice((0.02, 0.3, 2.0))
        self.loop.after(
            delay, lambda: member.process.run(lambda: action(member))
        )

    def _some_member(self) -> _Member:
        """Return a process, more often one that holds the claim."""
        rng = self.loop.rng
        holders = [m for m in self.members if m.coordinator.holds_claim]
        if holders and rng.random() < 0.7:
            return rng.choice(holders)
        return rng.choice(self.members)

    def _plan_restores(self, seed: int) -> None:
        """Choose when the store goes back to an older copy.

        The choices have their own source of random numbers, so that the
        other faults of a seed are the same with and without restores.
        """
        rng = random.Random(f'restores {seed}')
        self.store.history = state_store.History(1)
        for _ in range(rng.choice((1, 1, 2, 3))):
            at = rng.uniform(0.5, self.duration - 3.0)
            self._restore_store(rng, at)
            if rng.random() < 0.3:
                self._restore_store(rng, at + rng.uniform(0.1, 4.0))
            self._plan_beside_restore(rng, at)

    def _plan_missed_successor(self, rng: random.Random) -> None:
        """Let a store without the successor's rows return to its predecessor.

        The successor has moved keys, and is cut off when the store comes
        back.
        """
        self.store.history = state_store.History(1)
        self.duration = MISSED_SUCCESSOR_DURATION
        self.loop.at(rng.uniform(5.0, 6.0), lambda: self._miss(rng))

    def _miss(self, rng: random.Random) -> None:
        holders = [m.name for m in self.members if m.coordinator.holds_claim]
        if not holders:
            return
        holder = holders[0]
        seconds = rng.uniform(4.2, 6.8)
        self.isolated = holder
        self._cut_for([(holder, 'store')], seconds)
        if rng.random() < 0.5:
            self.loop.after(rng.uniform(0.0, 1.0), self._add_upstream)
        else:
            self.loop.after(rng.uniform(2.2, 3.5), self._drain_upstream)

        def leave() -> None:
            self.store.outages += 1

        def come_back() -> None:
            for member in self.members:
                if member.name != holder and member.coordinator.holds_claim:
                    self.isolated = member.name
                    self._cut_for(
                        [(member.name, 'store')], rng.uniform(3.0, 10.0)
                    )
            self.store.restore(seconds + 0.2)
            self.store.outages -= 1

        outage = rng.choice((0.0, rng.uniform(0.0, 2.5)))
        self.loop.after(seconds - outage, leave)
        self.loop.after(seconds, come_back)

    def _keep_entry(
        self,
        name: str,
        upstream: coordinator_world.Upstream | None,
        *,
        draining: bool = False,
    ) -> None:
        entry = _Entry(at=self.loop.now, upstream=upstream, draining=draining)
        self.entries.setdefault(name, []).append(entry)

    def _restore_store(self, rng: random.Random, at: float) -> None:
        """Make the store unreachable, then let it continue from a copy."""
        seconds_back = rng.uniform(0.0, rng.choice(COPY_AGES))

        def leave() -> None:
            self.store.outages += 1

        def come_back() -> None:
            self.store.restore(seconds_back)
            self.store.outages -= 1
            self._restore_entries(rng, self.loop.now - seconds_back)

        self.loop.at(at, leave)
        self.loop.at(at + rng.uniform(0.0, 3.0), come_back)

    def _restore_entries(self, rng: random.Random, moment: float) -> None:
        """Show older entries of upstreams, which then register again."""
        for name, entries in self.entries.items():
            older = [entry for entry in entries if entry.at <= moment]
            if older and older[-1] is entries[-1]:
                continue
            rewritten = rng.uniform(0.0, 2.0)
            copy = older[-1] if older else None
            for member in self.members:
                delay = rng.choice((0.02, 0.3))
                self._show_entry(member, name, copy, delay)
                self._show_entry(member, name, entries[-1], rewritten + delay)

    def _show_entry(
        self, member: _Member, name: str, entry: '_Entry | None', delay: float
    ) -> None:
        def show() -> None:
            member.registry.store_recovered(member.process.clock.elapsed())
            if entry is None or entry.upstream is None:
                member.forget(name)
            else:
                member.learn(entry.upstream, draining=entry.draining)

        self.loop.after(delay, lambda: member.process.run(show))

    def _plan_beside_restore(self, rng: random.Random, at: float) -> None:
        """Let other faults overlap with a restore, in some of the runs."""
        start = max(at - rng.uniform(0.0, 2.0), 0.1)
        for event in (self._end_process, self._cut_store, self._freeze):
            if rng.random() < 0.3:
                self.loop.at(start, event)
        if rng.random() < 0.3:
            # The client waits for at most coordinator_store.STORE_TIMEOUT.
            self.store.response_delay = lambda: (
                rng.uniform(0.0, 1.0) if rng.random() < 0.2 else 0.0
            )


@dataclass(frozen=True, kw_only=True)
class _Entry:
    """The entry of an upstream from a time on; None once it is removed."""

    at: float
    upstream: coordinator_world.Upstream | None
    draining: bool = False


@contextlib.contextmanager
def _simulated(world_loop: list[virtual_loop.Loop]) -> Iterator[None]:
    """Replace what would touch real sockets and clocks."""

    async def sleep(duration: timedelta) -> None:
        await world_loop[0].sleep(duration)

    async def spawn(coro: Any) -> virtual_loop.Task:
        return await world_loop[0].spawn(coro)

    async def fetch(
        conn: coordinator_world.Conn, head: Any, body: bytes, *, limit: int
    ) -> Any:
        return await conn.pool.fetch(conn, head, body, limit=limit)

    patches = (
        (aio, 'sleep', sleep),
        (aio, 'spawn', spawn),
        (aio, 'timeout', lambda d: world_loop[0].timeout(d)),
        (http_io, 'fetch', fetch),
        (key_map, 'LAST_KEY', LAST_KEY),
        (key_map, 'KEY_COUNT', LAST_KEY + 1),
    )
    with contextlib.ExitStack() as stack:
        for target, name, value in patches:
            stack.enter_context(mock.patch.object(target, name, value))
        yield


def run(
    seed: int,
    *,
    extended: bool = False,
    takeover: bool = False,
    copies: bool = False,
    restores: bool = False,
    missed_successor: bool = False,
    log: bool = False,
) -> Outcome:
    """Run one schedule and return its violations.

    With ``restores``, the store also goes back to older copies.
    """
    outcome = Outcome()
    loops: list[virtual_loop.Loop] = []

    def note(kind: str, **fields: Any) -> None:
        if log:
            now = loops[0].now if loops else 0.0
            name = ''
            if loops and loops[0].current is not None:
                name = loops[0].current.process.name
            outcome.log.append(f'{now:.3f} {name} {kind} {fields}')

    with (
        _simulated(loops),
        mock.patch.object(decision_log, 'note', note),
    ):
        world = World(
            seed,
            extended=extended,
            takeover=takeover,
            copies=copies,
            restores=restores,
            missed_successor=missed_successor,
        )
        loops.append(world.loop)
        world.loop.run(world.duration)
        world.loop.closing = True
        for process in world.processes:
            process.close()
    outcome.violations = world.checker.violations
    outcome.grants = world.checker.grants
    return outcome


def _random_key(rng: random.Random) -> int:
    """Return a key; some are far busier than others."""
    if rng.random() < 0.5:
        return rng.randrange(LAST_KEY // 8 + 1)
    return rng.randrange(LAST_KEY + 1)

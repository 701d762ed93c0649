"""Upstreams and links for the simulation of key coordinators.

The upstreams follow the platform's description: the time of a grant counts
from its arrival, a grant that got no response may be applied seconds later,
and a release is answered when running requests have ended. They also check
each grant against what the other upstreams hold.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import json
import random
from typing import Any

from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import members
from goldcresthaven.platform import names
from proofs import virtual_loop

LATENCY = 0.002  # seconds, in one direction
# Upstreams' clocks run up to 2% slow.
SLOWEST_CLOCK = 0.98


@dataclass(kw_only=True)
class Faults:
    """Probabilities of faults, and the links that are cut or choked.

    ``choked`` links delay bytes, and a reset does not overtake them. Cut
    links hold bytes back until they heal, unless the sender resets the
    connection. Links are pairs of a process and an upstream or ``store``.
    ``extra`` draws the faults that extended runs add, so that the seeds of
    the other runs keep their schedules. With ``error_response`` an upstream
    answers 500 to a grant that it has applied; with ``close_unanswered`` it
    applies a grant and closes the connection in order, without a response.
    With ``copies_are_read``, a copy that is taken for the response to a call
    leaves nothing unread on its connection, as on a real one. Without it the
    connection then ends, so that no later call uses it.
    """

    cut: set[tuple[str, str]] = field(default_factory=set)
    choked: dict[str, float] = field(default_factory=dict)
    late_grant: float = 0.0
    lost_response: float = 0.0
    second_response: float = 0.0
    store_slow: float = 0.0
    store_lost: float = 0.0
    slow_release: float = 0.0
    late_send: float = 0.0
    longest_copy_delay: float = 1.0  # seconds
    error_response: float = 0.0
    close_unanswered: float = 0.0
    copies_are_read: bool = False
    extra: random.Random = field(default_factory=random.Random)


@dataclass(kw_only=True, slots=True)
class Hold:
    first: int
    last: int
    fence: int
    end: float


class Checker:
    """Collects the violations of sole ownership."""

    def __init__(self, loop: virtual_loop.Loop) -> None:
        self._loop = loop
        self.upstreams: list[Upstream] = []
        self.violations: list[str] = []
        self.grants = 0

    def check(self, upstream: 'Upstream', hold: Hold) -> None:
        """Check a grant that an upstream is about to apply."""
        self.grants += 1
        for other in self.upstreams:
            if other is upstream:
                continue
            for held in other.holds if other.alive else ():
                overlap = min(held.end, hold.end) - self._loop.now
                if overlap > 0 and _overlap(held, hold):
                    self._violation(
                        f'{upstream.name} gets {hold.first}-{hold.last} with '
                        f'fence {hold.fence}, which {other.name} holds for '
                        f'{overlap:.3f} s with fence {held.fence}'
                    )
            for first, last, fence in other.taken:
                above = hold.fence > fence
                if not above and first <= hold.last and last >= hold.first:
                    self._violation(
                        f'{upstream.name} gets {hold.first}-{hold.last} with '
                        f'fence {hold.fence}, but {other.name} had {fence}'
                    )

    def _violation(self, text: str) -> None:
        self.violations.append(f'{self._loop.now:.3f} s: {text}')


class Upstream:
    """One incarnation of an upstream."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        loop: virtual_loop.Loop,
        faults: Faults,
        checker: Checker,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.holds: list[Hold] = []
        self.taken: list[tuple[int, int, int]] = []
        self._loop = loop
        self._faults = faults
        self._checker = checker
        self._clock_rate = loop.rng.uniform(SLOWEST_CLOCK, 1.0)
        checker.upstreams.append(self)

    def grant(self, body: Mapping[str, Any], arrived: float) -> int:
        first, last, fence = body['from'], body['to'], body['fence']
        for known_first, known_last, known in self.taken:
            if known > fence and known_first <= last and known_last >= first:
                return 409
        end = arrived + body['hold-s'] / self._clock_rate
        hold = Hold(first=first, last=last, fence=fence, end=end)
        if end > self._loop.now:
            self._checker.check(self, hold)
        self.taken = [
            t for t in self.taken if not (first <= t[0] and t[1] <= last)
        ]
        self.taken.append((first, last, fence))
        # A hold that ends later than the new one is not shortened.
        self.holds = [h for h in self.holds if h.end > self._loop.now]
        self.holds.append(hold)
        return 200

    def release(self, body: Mapping[str, Any]) -> None:
        self._remove(body['from'], body['to'])

    def _remove(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.end <= self._loop.now:
                continue
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            for part in ((hold.first, first - 1), (last + 1, hold.last)):
                if part[0] <= part[1]:
                    kept.append(
                        Hold(
                            first=part[0],
                            last=part[1],
                            fence=hold.fence,
                            end=hold.end,
                        )
                    )
        self.holds = kept


class Conn:
    """A connection of a process to one incarnation of an upstream."""

    def __init__(self, pool: 'Pool', upstream: Upstream, number: int) -> None:
        self.pool = pool
        self.upstream = upstream
        self.number = number
        self.aborted = False
        self.closed_by_upstream = False
        self.closed_in_order = False
        self.retired = False
        self.exchanges = 1
        self.forgotten = False
        self.stray_input = False
        self.waiting: virtual_loop.Wait | None = None

    @property
    def closed(self) -> bool:
        return self.aborted or self.forgotten

    def is_reusable(self) -> bool:
        return not self.stray_input and not self.closed_by_upstream

    def reset_on_close(self) -> None:
        """Does nothing: bytes of an ended process arrive as without it."""

    def note_end(self) -> None:
        self.closed_in_order = not self.stray_input


class Uplinks:
    """The links by which processes send; packets leave them in order."""

    def __init__(self, loop: virtual_loop.Loop, faults: Faults) -> None:
        self._loop = loop
        self._faults = faults
        self._last: dict[str, float] = {}

    def delay(self, process: str) -> float:
        """Return the delay of a packet that a process sends now."""
        now = self._loop.now
        arrival = now + LATENCY + self._faults.choked.get(process, 0.0)
        self._last[process] = max(arrival, self._last.get(process, 0.0))
        return self._last[process] - now


class Network:
    """Carries calls to upstreams, with the current faults.

    ``before_call`` is called with the process, the connection and the path
    of each call before it is sent.
    """

    def __init__(
        self, loop: virtual_loop.Loop, faults: Faults, checker: Checker
    ) -> None:
        self._loop = loop
        self._faults = faults
        self._checker = checker
        self.uplinks = Uplinks(loop, faults)
        self.by_address: dict[str, Upstream] = {}
        self.before_call: Callable[[str, Conn, str], None] = (
            lambda process, conn, path: None
        )

    def start_upstream(self, name: str) -> Upstream:
        """Start an upstream, or start it again with nothing known."""
        before = self.by_address.get(name)
        if before is not None:
            before.alive = False
        upstream = Upstream(
            name=name,
            incarnation=before.incarnation + 1 if before else 1,
            loop=self._loop,
            faults=self._faults,
            checker=self._checker,
        )
        self.by_address[name] = upstream
        return upstream

    async def connect(self, process: str, host: str) -> None:
        if (process, host) in self._faults.cut:
            await virtual_loop.Wait(self._loop)
        wait = virtual_loop.Wait(self._loop)
        self._loop.after(self.uplinks.delay(process) + LATENCY, wait.wake)
        await wait

    async def call(
        self, process: str, conn: Conn, path: str, body: dict[str, Any]
    ) -> http_head.ResponseHead:
        rng = self._loop.rng
        self.before_call(process, conn, path)
        if rng.random() < self._faults.late_send:
            await self._late_send()
        wait = virtual_loop.Wait(self._loop)
        conn.waiting = wait
        delay = self.uplinks.delay(process)
        choked = delay > 2 * LATENCY
        self._loop.after(
            delay, lambda: self._arrive(process, conn, path, body, choked)
        )
        response: http_head.ResponseHead = await wait
        conn.waiting = None
        return response

    async def _late_send(self) -> None:
        """Delay a send by less than the margin that the product allows."""
        task = self._loop.current
        assert task is not None
        delay = self._loop.rng.uniform(0.0, 0.05)
        task.process.stall(delay)
        await task.process.sleep(delay)

    def _arrive(
        self,
        process: str,
        conn: Conn,
        path: str,
        body: dict[str, Any],
        choked: bool,
    ) -> None:
        if conn.aborted and not choked:
            return
        if (process, conn.upstream.name) in self._faults.cut:
            self._loop.after(
                0.02,
                lambda: self._arrive(process, conn, path, body, False),
            )
            return
        if not conn.upstream.alive or conn.closed_by_upstream:
            self._respond(conn, _connection_lost())
            return
        arrived = self._loop.now
        rng = self._loop.rng
        if path == names.RELEASE_PATH:
            conn.upstream.release(body)
            delay = LATENCY
            if rng.random() < self._faults.slow_release:
                delay = rng.uniform(0.1, 2.5)
            headers = ((names.HANDOVER, f'h{body["fence"]}'),)
            self._loop.after(
                delay, lambda: self._respond(conn, _response(200, headers))
            )
            return
        delay = 0.0
        if rng.random() < self._faults.late_grant:
            delay = rng.uniform(0.1, 3.0)

        def apply() -> None:
            status = 500
            if conn.upstream.alive:
                status = conn.upstream.grant(body, arrived)
            if _happens(self._faults.extra, self._faults.close_unanswered):
                self._loop.after(LATENCY, lambda: _close_unanswered(conn))
                return
            if _happens(self._faults.extra, self._faults.error_response):
                status = 500
            self._loop.after(
                LATENCY, lambda: self._respond(conn, _response(status))
            )

        self._loop.after(delay, apply)

    def _respond(
        self, conn: Conn, response: http_head.ResponseHead | BaseException
    ) -> None:
        rng = self._loop.rng
        if rng.random() < self._faults.lost_response or conn.aborted:
            return
        if self._faults.copies_are_read:
            _deliver(conn, response)
        elif conn.waiting is not None:
            conn.waiting.wake(response)
        if rng.random() < self._faults.second_response:
            delay = rng.uniform(0.0, self._faults.longest_copy_delay)
            self._loop.after(delay, lambda: self._stray(conn, response))

    def send_copy(self, conn: Conn, status: int) -> None:
        """Deliver a copy of an earlier response with this status."""
        self._stray(conn, _response(status))

    def _stray(
        self, conn: Conn, response: http_head.ResponseHead | BaseException
    ) -> None:
        """Deliver a second copy of a response."""
        if conn.closed_by_upstream:
            return
        if self._faults.copies_are_read:
            _deliver(conn, response)
            return
        if conn.waiting is not None:
            conn.waiting.wake(response)
        conn.stray_input = True


class Pool:
    """Replaces ``upstream_pool.UpstreamPool`` for one process."""

    def __init__(self, network: Network, process: str) -> None:
        self._network = network
        self._process = process
        self._idle: dict[members.Address, list[Conn]] = {}
        self.opened = 0

    async def make_room(self, address: members.Address, *, limit: int) -> None:
        await self.remove_ended(address)
        idle = self._idle.setdefault(address, [])
        if len(idle) >= limit:
            newest = max(idle, key=lambda conn: conn.number)
            idle.remove(newest)
            await self.discard(address, newest)

    async def remove_ended(self, address: members.Address) -> list[Conn]:
        idle = self._idle.setdefault(address, [])
        ended = [conn for conn in idle if not _is_idle(conn)]
        for conn in ended:
            conn.note_end()
            idle.remove(conn)
            await self.discard(address, conn)
        return [conn for conn in ended if conn.stray_input]

    async def retire(self, address: members.Address, number: int) -> None:
        await self.remove_ended(address)
        for conn in self.remove_idle(address, number):
            await self.discard(address, conn)

    def remove_idle(self, address: members.Address, number: int) -> list[Conn]:
        idle = self._idle.setdefault(address, [])
        removed = [conn for conn in idle if conn.number == number]
        for conn in removed:
            idle.remove(conn)
        return removed

    async def take_new(self, address: members.Address, *, limit: int) -> Conn:
        return await self.open(address)

    async def open(self, address: members.Address) -> Conn:
        await self._network.connect(self._process, address.host)
        conn = self.connect_now(address)
        if conn is None:
            raise errors.ConnectionFailed(
                f'{address} refuses connections', remedy='none'
            )
        return conn

    def connect_now(self, address: members.Address) -> Conn | None:
        upstream = self._network.by_address.get(address.host)
        if upstream is None or not upstream.alive:
            return None
        self.opened += 1
        return Conn(self, upstream, self.opened)

    def take_idle(self, address: members.Address) -> Conn | None:
        idle = self._idle.setdefault(address, [])
        while idle:
            conn = idle.pop()
            if _is_idle(conn):
                return conn
        return None

    def take_opened_before(
        self, address: members.Address, *, opened: int
    ) -> Conn | None:
        idle = self._idle.setdefault(address, [])
        for conn in sorted(idle, key=lambda conn: conn.number):
            if conn.number <= opened and _is_idle(conn):
                idle.remove(conn)
                conn.exchanges += 1
                return conn
        return None

    async def give_back(self, address: members.Address, conn: Conn) -> None:
        if not conn.stray_input and not conn.closed_by_upstream:
            self._idle.setdefault(address, []).append(conn)

    async def discard(self, address: members.Address, conn: Conn) -> None:
        conn.aborted = True
        conn.waiting = None

    async def fetch(
        self,
        conn: Conn,
        head: http_head.RequestHead,
        body: bytes,
        *,
        limit: int,
    ) -> tuple[http_head.ResponseHead, bytes]:
        response = await self._network.call(
            self._process, conn, head.target, json.loads(body)
        )
        return response, b''


def _is_idle(conn: Conn) -> bool:
    return (
        conn.upstream.alive
        and not conn.closed_by_upstream
        and not conn.aborted
        and not conn.stray_input
    )


def _deliver(
    conn: Conn, response: http_head.ResponseHead | BaseException
) -> None:
    """Hand a response to the call that waits, or leave it unread."""
    waiting, conn.waiting = conn.waiting, None
    if waiting is not None:
        waiting.wake(response)
    elif not conn.aborted:
        conn.stray_input = True


def _close_unanswered(conn: Conn) -> None:
    conn.closed_by_upstream = True
    if conn.waiting is not None:
        conn.waiting.wake(_connection_lost())


def _happens(rng: random.Random, probability: float) -> bool:
    return probability > 0 and rng.random() < probability


def _overlap(left: Hold, right: Hold) -> bool:
    return left.first <= right.last and left.last >= right.first


def _response(
    status: int, headers: http_head.Headers = ()
) -> http_head.ResponseHead:
    return http_head.ResponseHead(status=status, headers=headers)


def _connection_lost() -> errors.ConnectionLost:
    return errors.ConnectionLost('the connection was reset', remedy='none')

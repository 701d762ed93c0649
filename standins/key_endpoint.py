"""An upstream of the users' platform.

It serves the keys that it was granted, limits concurrent requests by slots
and registers itself in the store.

``python -m standins.key_endpoint JSON`` runs one incarnation of one
upstream. It prints a JSON line with its address, then one for each event
that the platform's rules apply to: a grant of keys (``hold``), their release
(``released``), the start of a request's execution (``run``), a request that
arrives while it leaves (``arrived``), and one that it turns away with a
Retry-After (``turned-away``). It also prints failed heartbeats
(``not-registered``).

On SIGTERM it leaves: its responses say so, and it still serves for the drain
time and a little longer. On SIGUSR1 it turns requests away for some seconds.
"""

import collections
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import random
import signal
import sys
import time
from typing import Any

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import members
from standins import server
from tools import http_client

HEADER_PREFIX = 'x-goldcresthaven-'
CHECK_INTERVAL = timedelta(milliseconds=20)
# A clock check that comes this late shows that the process was paused, for
# example by SIGSTOP.
MIN_PAUSE_S = 0.2
# A call read within this time after a pause is taken to have arrived during
# the pause.
RESUME_WINDOW_S = 0.1
STORE_TIMEOUT = timedelta(seconds=1)


@dataclass(kw_only=True)
class Settings:
    """Settings of one incarnation of an upstream.

    ``advertised`` is the address that it registers. ``clock_rate`` below 1
    makes the clock that measures grants run slow. ``born`` is the start time
    in milliseconds, which tells the incarnations of an upstream apart.
    Without ``reports_draining`` its entry stays ready while it leaves. It
    ends ``linger_s`` after the drain time.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    advertised: str
    store: str
    born: int
    slots: int = 4
    queue: int = 12
    work_ms: float = 30.0
    heartbeat_s: float = 0.9
    drain_s: float = 2.0
    linger_s: float = 0.5
    reports_draining: bool = True
    pause_s: float = 3.0
    clock_rate: float = 1.0
    sharded: bool = False


@dataclass(kw_only=True)
class Grant:
    """A range of keys that may be served until ``until``.

    ``fence`` is the grant's fencing token.
    """

    first: int
    last: int
    fence: int
    until: float


@dataclass(kw_only=True)
class Endpoint:
    """One incarnation of the upstream.

    ``running`` counts the requests in execution by key, and ``fences`` keeps
    the highest fencing token that was granted for each key. ``active`` is
    the number of slots in use. ``paused_at`` and ``resumed_at`` are the
    bounds of the last pause of the process.
    """

    cfg: Settings
    grants: list[Grant] = field(default_factory=list)
    running: collections.Counter[int] = field(
        default_factory=collections.Counter
    )
    fences: dict[int, int] = field(default_factory=dict)
    active: int = 0
    waiting: collections.deque[aio.Event] = field(
        default_factory=collections.deque
    )
    sequence: int = 0
    draining: bool = False
    turns_away_until: float = 0.0
    last_check: float = field(default_factory=time.monotonic)
    paused_at: float = 0.0
    resumed_at: float = -1e9

    async def handle(self, exchange: server.Exchange) -> None:
        expected = exchange.header(HEADER_PREFIX + 'expect-instance')
        if expected not in (None, self.cfg.name):
            await exchange.skip_body()
            await self._refuse(exchange, 421)
            return
        match exchange.path:
            case '/grant':
                await self._grant(exchange)
            case '/release':
                await self._release(exchange)
            case _:
                await self._admit(exchange)

    # Keys

    async def _grant(self, exchange: server.Exchange) -> None:
        raw = json.loads(await exchange.read_body())
        now = applied = time.monotonic()
        # The call waited in the socket while this process was paused, so
        # the grant has to count from before the pause.
        if now - self.resumed_at < RESUME_WINDOW_S:
            now = self.paused_at
        first, last, fence = raw['from'], raw['to'], raw['fence']
        highest_fence = max(
            (self.fences.get(k, 0) for k in range(first, last + 1))
        )
        if highest_fence > fence:
            await exchange.reply(409, {}, self._leaving_header())
            return
        # A hold that ends later than the new one is not shortened.
        self.grants = [grant for grant in self.grants if grant.until > now]
        for key in range(first, last + 1):
            self.fences[key] = fence
        until = now + raw['hold-s'] / self.cfg.clock_rate
        self.grants.append(
            Grant(first=first, last=last, fence=fence, until=until)
        )
        self.emit(
            'hold',
            first=first,
            last=last,
            fence=fence,
            start=applied,
            until=until,
        )
        await exchange.reply(200, {}, self._leaving_header())

    async def _release(self, exchange: server.Exchange) -> None:
        raw = json.loads(await exchange.read_body())
        first, last = raw['from'], raw['to']
        self._remove_range(first, last)
        while any(self.running[key] for key in range(first, last + 1)):
            await aio.sleep(CHECK_INTERVAL / 4)
        self.emit('released', first=first, last=last, at=time.monotonic())
        handover = ((HEADER_PREFIX + 'handover', f'{self.cfg.name}-{first}'),)
        await exchange.reply(200, {}, (*handover, *self._leaving_header()))

    def _remove_range(self, first: int, last: int) -> None:
        """Remove a range of keys from all grants, keeping their other keys."""
        kept = []
        for grant in self.grants:
            if grant.first < first <= grant.last:
                kept.append(_narrow(grant, grant.first, first - 1))
            if grant.first <= last < grant.last:
                kept.append(_narrow(grant, last + 1, grant.last))
            if grant.last < first or grant.first > last:
                kept.append(grant)
        self.grants = kept

    def _find_grant(self, key: int) -> Grant | None:
        now = time.monotonic()
        return next(
            (
                grant
                for grant in self.grants
                if grant.first <= key <= grant.last and now < grant.until
            ),
            None,
        )

    # Requests

    async def _admit(self, exchange: server.Exchange) -> None:
        """Execute a request in a slot; refuse it if the queue is full."""
        await exchange.skip_body()
        request = exchange.header(HEADER_PREFIX + 'attempt-id') or ''
        now = time.monotonic()
        if self.draining:
            self.emit('arrived', request=request, at=now)
        if now < self.turns_away_until:
            await self._turn_away(exchange, request, now)
            return
        key_header = exchange.header(HEADER_PREFIX + 'shard-key')
        key = (
            int(key_header)
            if key_header is not None and self.cfg.sharded
            else None
        )
        if self.active >= self.cfg.slots:
            if len(self.waiting) >= self.cfg.queue:
                await self._refuse(exchange, 503)
                return
            slot_free = aio.Event()
            self.waiting.append(slot_free)
            await slot_free.wait()
        else:
            self.active += 1
        try:
            await self._execute(exchange, key)
        finally:
            if self.waiting:
                await self.waiting.popleft().set()
            else:
                self.active -= 1

    async def _execute(
        self, exchange: server.Exchange, key: int | None
    ) -> None:
        if exchange.conn.peer_closed():
            return
        grant = None if key is None else self._find_grant(key)
        if key is not None and grant is None:
            await self._refuse(exchange, 421)
            return
        request = exchange.header(HEADER_PREFIX + 'attempt-id') or ''
        self.emit(
            'run',
            request=request,
            key=key,
            fence=grant.fence if grant else None,
            at=time.monotonic(),
        )
        if key is not None:
            self.running[key] += 1
        try:
            drawn_ms = random.expovariate(1 / self.cfg.work_ms)
            await aio.sleep(timedelta(milliseconds=min(drawn_ms, 400)))
        finally:
            if key is not None:
                self.running[key] -= 1
        body = f'{request} by {self.cfg.name} '.encode() * 20
        stamp = (
            (HEADER_PREFIX + 'server-stamp', f'{self.cfg.name}.{request}'),
        )
        await exchange.reply(200, body, (*self._headers(exchange), *stamp))

    async def _turn_away(
        self, exchange: server.Exchange, request: str, now: float
    ) -> None:
        """Refuse a request and ask for a pause."""
        left = self.turns_away_until - now
        await self._refuse(exchange, 503, ('retry-after', f'{left:.3f}'))
        self.emit(
            'turned-away',
            request=request,
            at=now,
            until=self.turns_away_until,
        )

    async def _refuse(
        self,
        exchange: server.Exchange,
        status: int,
        *extra: tuple[str, str],
    ) -> None:
        not_executed = (HEADER_PREFIX + 'not-executed', '1')
        headers = (*self._headers(exchange), not_executed, *extra)
        await exchange.reply(status, {}, headers)

    def _headers(self, exchange: server.Exchange) -> http_head.Headers:
        load = f'{self.active},{len(self.waiting)},{self.cfg.slots}'
        return (
            (
                HEADER_PREFIX + 'attempt-id',
                exchange.header(HEADER_PREFIX + 'attempt-id') or '',
            ),
            (HEADER_PREFIX + 'instance-load', load),
            *self._leaving_header(),
        )

    def _leaving_header(self) -> http_head.Headers:
        return (('server-leaving', '1'),) if self.draining else ()

    # Registration

    async def detect_pauses(self) -> None:
        while True:
            await aio.sleep(CHECK_INTERVAL)
            now = time.monotonic()
            if now - self.last_check > MIN_PAUSE_S:
                self.paused_at, self.resumed_at = self.last_check, now
            self.last_check = now

    async def register(self) -> None:
        while True:
            await self.send_heartbeat()
            await aio.sleep(timedelta(seconds=self.cfg.heartbeat_s))

    async def send_heartbeat(self) -> None:
        self.sequence += 1
        entry = {'key': self.cfg.name, 'document': self._entry()}
        try:
            async with aio.timeout(STORE_TIMEOUT):
                await http_client.post_json(
                    members.Address.parse(self.cfg.store),
                    '/beat',
                    entry,
                )
        except errors.Error as exc:
            self.emit('not-registered', detail=str(exc))

    def _entry(self) -> Mapping[str, Any]:
        return {
            'info': {
                'service': self.cfg.service,
                'version': 'v1',
                'zone': self.cfg.zone,
                'slots': self.cfg.slots,
            },
            'status': {
                'state': self._state(),
                'sequence': self.sequence,
                'cold-left-s': 0,
            },
            'addr': self.cfg.advertised,
            'born': self.cfg.born,
        }

    def _state(self) -> str:
        reports = self.draining and self.cfg.reports_draining
        return 'draining' if reports else 'ready'

    async def turn_away_on(self, signals: aio.SignalWaiter) -> None:
        while True:
            await signals.wait()
            self.turns_away_until = time.monotonic() + self.cfg.pause_s

    def emit(self, event: str, **fields: Any) -> None:
        print(json.dumps({'event': event, **fields}), flush=True)


def _narrow(grant: Grant, first: int, last: int) -> Grant:
    return Grant(first=first, last=last, fence=grant.fence, until=grant.until)


async def main(raw: str) -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    cfg = Settings(**json.loads(raw))
    endpoint = Endpoint(cfg=cfg)
    listener = aio.Listener(
        host=cfg.host,
        port=cfg.port,
        handler=server.serve_with(endpoint.handle),
    )
    await listener.start()
    print(json.dumps({'listen': f'{cfg.host}:{listener.port}'}), flush=True)
    await aio.spawn(endpoint.detect_pauses())
    await aio.spawn(endpoint.turn_away_on(aio.SignalWaiter(signal.SIGUSR1)))
    registration = await aio.spawn(endpoint.register())
    await stop.wait()
    # The listener still serves requests and releases during the drain.
    endpoint.draining = True
    if cfg.reports_draining:
        await registration.cancel()
        await endpoint.send_heartbeat()
    await aio.sleep(timedelta(seconds=cfg.drain_s + cfg.linger_s))


if __name__ == '__main__':
    aio.run(main, sys.argv[1])

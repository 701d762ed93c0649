"""An upstream of the users' platform: keys by grant, slots, a registration.

``python -m standins.key_endpoint JSON`` runs one life of one upstream. It
prints a JSON line with its address, then one for each event that the
platform's rules speak of: holds that begin and end, runs that begin.
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

HEADER = 'x-goldcresthaven-'
TICK = timedelta(milliseconds=20)
# A tick this late shows that the process was stopped for a while.
PAUSE_S = 0.2
# Calls read this soon after a pause had arrived before its end.
THAW_S = 0.1
CALL_LIMIT = timedelta(seconds=1)


@dataclass(kw_only=True)
class Settings:
    """One life of an upstream.

    ``advertised`` is the address that it registers. ``clock_rate`` below 1
    makes the clock that measures holds run slow.
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
    clock_rate: float = 1.0
    sharded: bool = False


@dataclass(kw_only=True)
class Hold:
    first: int
    last: int
    fence: int
    until: float


@dataclass(kw_only=True)
class Endpoint:
    cfg: Settings
    holds: list[Hold] = field(default_factory=list)
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
    ticked: float = field(default_factory=time.monotonic)
    paused_at: float = 0.0
    thawed_at: float = -1e9

    async def handle(self, exchange: server.Exchange) -> None:
        expected = exchange.header(HEADER + 'expect-instance')
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
                await self._work(exchange)

    # Keys

    async def _grant(self, exchange: server.Exchange) -> None:
        raw = json.loads(await exchange.read_body())
        now = time.monotonic()
        # A call that waited while this process was stopped arrived then.
        if now - self.thawed_at < THAW_S:
            now = self.paused_at
        first, last, fence = raw['from'], raw['to'], raw['fence']
        known = max((self.fences.get(k, 0) for k in range(first, last + 1)))
        if known > fence:
            await exchange.reply(409, {})
            return
        self._drop(first, last)
        for key in range(first, last + 1):
            self.fences[key] = fence
        until = now + raw['hold-s'] / self.cfg.clock_rate
        self.holds.append(
            Hold(first=first, last=last, fence=fence, until=until)
        )
        self.tell(
            'hold', first=first, last=last, fence=fence, start=now, until=until
        )
        await exchange.reply(200, {})

    async def _release(self, exchange: server.Exchange) -> None:
        raw = json.loads(await exchange.read_body())
        first, last = raw['from'], raw['to']
        self._drop(first, last)
        while any(self.running[key] for key in range(first, last + 1)):
            await aio.sleep(TICK / 4)
        self.tell('released', first=first, last=last, at=time.monotonic())
        handover = ((HEADER + 'handover', f'{self.cfg.name}-{first}'),)
        await exchange.reply(200, {}, handover)

    def _drop(self, first: int, last: int) -> None:
        """Give up the keys of a range, keeping the rest of each hold."""
        kept = []
        for hold in self.holds:
            if hold.first < first <= hold.last:
                kept.append(_part(hold, hold.first, first - 1))
            if hold.first <= last < hold.last:
                kept.append(_part(hold, last + 1, hold.last))
            if hold.last < first or hold.first > last:
                kept.append(hold)
        self.holds = kept

    def _holds_key(self, key: int) -> Hold | None:
        now = time.monotonic()
        return next(
            (
                hold
                for hold in self.holds
                if hold.first <= key <= hold.last and now < hold.until
            ),
            None,
        )

    # Requests

    async def _work(self, exchange: server.Exchange) -> None:
        await exchange.skip_body()
        text = exchange.header(HEADER + 'shard-key')
        key = int(text) if text is not None and self.cfg.sharded else None
        if self.active >= self.cfg.slots:
            if len(self.waiting) >= self.cfg.queue:
                await self._refuse(exchange, 503)
                return
            turn = aio.Event()
            self.waiting.append(turn)
            await turn.wait()
        else:
            self.active += 1
        try:
            await self._run(exchange, key)
        finally:
            if self.waiting:
                await self.waiting.popleft().set()
            else:
                self.active -= 1

    async def _run(self, exchange: server.Exchange, key: int | None) -> None:
        if exchange.conn.peer_closed():
            return
        hold = None if key is None else self._holds_key(key)
        if key is not None and hold is None:
            await self._refuse(exchange, 421)
            return
        request = exchange.header(HEADER + 'attempt-id') or ''
        self.tell(
            'run',
            request=request,
            key=key,
            fence=hold.fence if hold else None,
            at=time.monotonic(),
        )
        if key is not None:
            self.running[key] += 1
        try:
            work = random.expovariate(1 / self.cfg.work_ms)
            await aio.sleep(timedelta(milliseconds=min(work, 400)))
        finally:
            if key is not None:
                self.running[key] -= 1
        body = f'{request} by {self.cfg.name} '.encode() * 20
        stamp = ((HEADER + 'server-stamp', f'{self.cfg.name}.{request}'),)
        await exchange.reply(200, body, (*self._headers(exchange), *stamp))

    async def _refuse(self, exchange: server.Exchange, status: int) -> None:
        proof = ((HEADER + 'not-executed', '1'),)
        headers = (*self._headers(exchange), *proof)
        await exchange.reply(status, {}, headers)

    def _headers(self, exchange: server.Exchange) -> http_head.Headers:
        load = f'{self.active},{len(self.waiting)},{self.cfg.slots}'
        return (
            (
                HEADER + 'attempt-id',
                exchange.header(HEADER + 'attempt-id') or '',
            ),
            (HEADER + 'instance-load', load),
        )

    # Registration

    async def watch_clock(self) -> None:
        while True:
            await aio.sleep(TICK)
            now = time.monotonic()
            if now - self.ticked > PAUSE_S:
                self.paused_at, self.thawed_at = self.ticked, now
            self.ticked = now

    async def register(self) -> None:
        while True:
            await self.write_entry()
            await aio.sleep(timedelta(seconds=self.cfg.heartbeat_s))

    async def write_entry(self) -> None:
        self.sequence += 1
        entry = {'key': self.cfg.name, 'document': self._entry()}
        try:
            async with aio.timeout(CALL_LIMIT):
                await http_client.post_json(
                    members.Address.parse(self.cfg.store),
                    '/beat',
                    entry,
                )
        except errors.Error as exc:
            self.tell('not-registered', detail=str(exc))

    def _entry(self) -> Mapping[str, Any]:
        return {
            'info': {
                'service': self.cfg.service,
                'version': 'v1',
                'zone': self.cfg.zone,
                'slots': self.cfg.slots,
            },
            'status': {
                'state': 'draining' if self.draining else 'ready',
                'sequence': self.sequence,
                'cold-left-s': 0,
            },
            'addr': self.cfg.advertised,
            'born': self.cfg.born,
        }

    def tell(self, event: str, **fields: Any) -> None:
        print(json.dumps({'event': event, **fields}), flush=True)


def _part(hold: Hold, first: int, last: int) -> Hold:
    return Hold(first=first, last=last, fence=hold.fence, until=hold.until)


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
    await aio.spawn(endpoint.watch_clock())
    registration = await aio.spawn(endpoint.register())
    await stop.wait()
    endpoint.draining = True
    await registration.cancel()
    await endpoint.write_entry()
    await aio.sleep(timedelta(seconds=cfg.drain_s + 0.5))


if __name__ == '__main__':
    aio.run(main, sys.argv[1])

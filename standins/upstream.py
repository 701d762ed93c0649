"""Upstreams of entry processes: several endpoints in one process.

``python -m standins.upstream JSON`` takes a list of endpoint settings and
prints one JSON line with the address of each endpoint.
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
import urllib.parse

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import leases
from standins import lease_check
from standins import server

HOST = '127.0.0.1'
PIECE = bytes(http_io.PIECE_BYTES)


@dataclass(kw_only=True)
class Settings:
    """Behaviour of one endpoint; ``POST /behaviour`` changes it.

    ``services`` overrides the mean service time ``service_ms`` by path
    prefix, in milliseconds. Service times are gamma distributed with shape
    ``service_shape``, and constant when it is 0. Up to ``queue_limit``
    requests beyond ``slots`` wait in order of arrival; further ones are
    refused. ``load_report`` replaces the number of slots in use that
    ``GET /load`` reports.
    """

    name: str
    keyed: bool = False
    fenced: bool = True
    dedup: bool = False
    slots: int = 4
    service_ms: float = 5.0
    services: Mapping[str, float] = field(default_factory=dict)
    service_shape: float = 0.0
    queue_limit: int = 0
    draining: bool = False
    load_report: int | None = None


@dataclass(kw_only=True)
class Upstream:
    """One endpoint.

    ``executions`` counts the executions of each idempotency key; ``started``
    contains the keys that duplicate detection refuses. ``peak`` is the
    largest number of concurrent requests, running, waiting or being refused,
    since the last ``GET /peak``.
    """

    cfg: Settings
    lease: lease_check.Check
    executions: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    started: set[str] = field(default_factory=set)
    in_use: int = 0
    served: int = 0
    peak: int = 0
    waiting: collections.deque[aio.Event] = field(
        default_factory=collections.deque
    )

    async def handle(self, exchange: server.Exchange) -> None:
        match exchange.path:
            case '/control/lease':
                await self._handle_lease(exchange)
            case '/load':
                await exchange.skip_body()
                await exchange.reply(200, self._load())
            case '/peak':
                await exchange.skip_body()
                peak, self.peak = self.peak, self.in_use + len(self.waiting)
                await exchange.reply(200, {'peak': peak})
            case '/executions':
                await exchange.skip_body()
                await exchange.reply(200, {'counts': self.executions})
            case '/repeats':
                await exchange.skip_body()
                await exchange.reply(200, {'repeats': self._repeats()})
            case '/behaviour':
                changes = json.loads(await exchange.read_body())
                for name, value in changes.items():
                    setattr(self.cfg, name, value)
                await exchange.reply(200, {})
            case _:
                await self._serve(exchange)

    def _load(self) -> dict[str, Any]:
        reported = self.cfg.load_report
        in_use = self.in_use if reported is None else reported
        return {
            'in_use': in_use,
            'slots': self.cfg.slots,
            'served': self.served,
        }

    def _repeats(self) -> dict[str, int]:
        return {k: n for k, n in self.executions.items() if n > 1}

    async def _handle_lease(self, exchange: server.Exchange) -> None:
        try:
            reply = self.lease.handle(json.loads(await exchange.read_body()))
        except (ValueError, errors.ProtocolError) as exc:
            await exchange.reply(400, {'error': str(exc)})
            return
        await exchange.reply(200, reply)

    async def _serve(self, exchange: server.Exchange) -> None:
        """Serve a request; refuse it if its shard is not owned."""
        if not self.cfg.keyed:
            await self._admit(exchange, None)
            return
        ticket = self.lease.start(exchange.header('x-shard') or '')
        if ticket is None:
            await self._refuse(exchange, 421, 'not-owner')
            return
        try:
            await self._admit(exchange, ticket)
        finally:
            self.lease.finish(ticket)

    async def _admit(
        self, exchange: server.Exchange, ticket: leases.Ticket | None
    ) -> None:
        """Serve a request in a slot; refuse it if the queue is full."""
        if not await self._take_slot():
            await self._refuse(exchange, 503, 'queue-full')
            return
        try:
            await self._deduplicate(exchange, ticket)
        finally:
            await self._free_slot()

    async def _take_slot(self) -> bool:
        self.peak = max(self.peak, self.in_use + len(self.waiting) + 1)
        if self.in_use < self.cfg.slots:
            self.in_use += 1
            return True
        if len(self.waiting) >= self.cfg.queue_limit:
            return False
        slot_free = aio.Event()
        self.waiting.append(slot_free)
        await slot_free.wait()
        return True

    async def _free_slot(self) -> None:
        if self.waiting:
            # The slot passes to the longest waiting request, so in_use stays.
            await self.waiting.popleft().set()
        else:
            self.in_use -= 1

    async def _deduplicate(
        self, exchange: server.Exchange, ticket: leases.Ticket | None
    ) -> None:
        """Execute a request unless it repeats an idempotency key."""
        key = exchange.header('idempotency-key')
        if self.cfg.dedup and key in self.started:
            await self._refuse(exchange, 409, 'already-sent')
            return
        if key is not None:
            self.started.add(key)
        await self._execute(exchange, ticket, key)

    def _draw_service_time(self, path: str) -> timedelta:
        mean = self.cfg.service_ms
        for prefix, value in self.cfg.services.items():
            if path.startswith(prefix):
                mean = value
        shape = self.cfg.service_shape
        if shape:
            mean = random.gammavariate(shape, mean / shape)
        return timedelta(milliseconds=mean)

    async def _execute(
        self,
        exchange: server.Exchange,
        ticket: leases.Ticket | None,
        key: str | None,
    ) -> None:
        received = await exchange.skip_body()
        await aio.sleep(self._draw_service_time(exchange.path))
        if ticket is not None and not self.lease.commit(ticket):
            if key is not None:
                self.started.discard(key)
            await self._refuse(exchange, 421, 'not-owner')
            return
        committed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        if key is not None:
            self.executions[key] += 1
        self.served += 1
        query = urllib.parse.urlsplit(exchange.head.target).query
        size = urllib.parse.parse_qs(query).get('size')
        if size is not None:
            await self._stream(exchange, int(size[0]))
            return
        body = {
            'upstream': self.cfg.name,
            'target': exchange.head.target,
            'received': received,
            'committed_ns': committed_ns,
            'deadline_ms': exchange.header('x-deadline-ms'),
        }
        await exchange.reply(200, body, self._headers(exchange))

    async def _stream(self, exchange: server.Exchange, size: int) -> None:
        headers = (
            *self._headers(exchange),
            ('transfer-encoding', 'chunked'),
        )
        await exchange.conn.send_head(
            http_head.ResponseHead(status=200, headers=headers)
        )
        while size > 0:
            await exchange.conn.send_piece(PIECE[:size])
            size -= len(PIECE)
        await exchange.conn.finish()

    async def _refuse(
        self, exchange: server.Exchange, status: int, reason: str
    ) -> None:
        await exchange.skip_body()
        headers = (
            ('x-outcome', 'unknown' if status == 409 else 'not-run'),
            ('x-reason', reason),
            ('x-owner-epoch', str(self.lease.epoch)),
            *self._headers(exchange),
        )
        await exchange.reply(status, {'reason': reason}, headers)

    def _headers(self, exchange: server.Exchange) -> http_head.Headers:
        request_id = exchange.header('x-request-id') or 'none'
        headers = (('x-request-id', request_id),)
        if self.cfg.draining:
            return (*headers, ('x-draining', '1'))
        return headers


async def main(raw: str) -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    addresses = {}
    clock = clock_module.SystemClock()
    for item in json.loads(raw):
        cfg = Settings(**item)
        upstream = Upstream(
            cfg=cfg, lease=lease_check.make(fenced=cfg.fenced, clock=clock)
        )
        listener = aio.Listener(
            host=HOST, port=0, handler=server.serve_with(upstream.handle)
        )
        await listener.start()
        addresses[cfg.name] = f'{HOST}:{listener.port}'
    print(json.dumps({'endpoints': addresses}), flush=True)
    await stop.wait()


if __name__ == '__main__':
    aio.run(main, sys.argv[1])

"""Promise 7: a planned shutdown interrupts no request in flight.

Callers are caught at every stage: not accepted yet, on a connection that
was idle, in the middle of a body, waiting for the upstream, and in the
middle of the response.
The naive variant closes its sockets as soon as SIGTERM arrives.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from datetime import timedelta
import random
import socket
from typing import Any

from goldcresthaven import aio
from goldcresthaven import entry
from proofs import report
from tools import entry_harness

CALLERS = 4
SEEDS = range(30)
STAGES = ('backlog', 'idle', 'body', 'waiting', 'response')
LAST_STAGES = ('backlog', 'idle')
BODY = b'x' * 100

Stop = Callable[[entry_harness.EntryHarness], Coroutine[Any, Any, None]]


async def stop_at_once(path: entry_harness.EntryHarness) -> None:
    """End like a process without a SIGTERM handler."""
    await path.listener.stop()
    for sock in path.accepted:
        await sock.shutdown(socket.SHUT_RDWR)


async def stop_gracefully(path: entry_harness.EntryHarness) -> None:
    """End as the entry process does."""
    await entry.stop_callers(path.server, path.listener, timedelta())
    await path.conns.close()


class Upstream:
    """Holds its responses, or half of them, until it is released."""

    def __init__(self) -> None:
        self.release = aio.Event()

    async def script(
        self, upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
    ) -> None:
        try:
            while head := await entry_harness.read_head(upstream, sock):
                response = entry_harness.ok_response(BODY)
                split = len(response) // 2 if b'/response' in head else 0
                await sock.sendall(response[:split])
                await self.release.wait()
                await sock.sendall(response[split:])
        except OSError:
            return


class Caller:
    """One request that is in flight when the shutdown begins."""

    def __init__(self, stage: str, sock: aio.Socket | None, port: int) -> None:
        self.stage = stage
        self._maybe_sock = sock
        self._port = port
        self.answer = b''

    @property
    def _sock(self) -> aio.Socket:
        assert self._maybe_sock is not None
        return self._maybe_sock

    async def begin(self) -> None:
        if self._maybe_sock is None:
            raw = entry_harness.connect_at_once(self._port)
            self._maybe_sock = aio.wrap(raw)
        head = f'POST /free/{self.stage} HTTP/1.1\r\nHost: a\r\n'
        length = f'Content-Length: {len(BODY)}\r\n\r\n'
        data = head.encode() + length.encode()
        body = BODY[:50] if self.stage == 'body' else BODY
        await self._sock.sendall(data + body)

    async def end(self) -> None:
        if self.stage == 'body':
            try:
                await self._sock.sendall(BODY[50:])
            except OSError:
                return
        try:
            while BODY not in self.answer:
                piece = await self._sock.recv(65536)
                if not piece:
                    break
                self.answer += piece
        except OSError:
            pass
        await self._sock.close()

    def is_whole(self) -> bool:
        head, _, body = self.answer.partition(b'\r\n\r\n')
        return b' 200 ' in head.split(b'\r\n')[0] and body == BODY


async def _violated(seed: int, stop: Stop) -> bool:
    rng = random.Random(seed)
    stages = [rng.choice(STAGES) for _ in range(CALLERS)]
    held = Upstream()
    upstream = await entry_harness.start_scripted(held.script)
    path = await entry_harness.start(
        {'free-a': upstream.address}, deadline='5s'
    )
    callers = [await _connect(stage, path) for stage in stages]
    await _settle(callers, path, upstream)
    for caller in callers:
        # The others began before; these race with the shutdown.
        if caller.stage in LAST_STAGES:
            await caller.begin()
    stopping = await aio.spawn(stop(path))
    await aio.sleep(timedelta(milliseconds=10))
    await held.release.set()
    for caller in callers:
        await caller.end()
    await stopping.join()
    return not all(caller.is_whole() for caller in callers)


async def _connect(stage: str, path: entry_harness.EntryHarness) -> Caller:
    if stage == 'backlog':
        return Caller(stage, None, path.listener.port)
    sock = await aio.connect(entry_harness.HOST, path.listener.port)
    caller = Caller(stage, sock, path.listener.port)
    if stage not in LAST_STAGES:
        await caller.begin()
    return caller


async def _settle(
    callers: list[Caller],
    path: entry_harness.EntryHarness,
    upstream: entry_harness.ScriptedUpstream,
) -> None:
    """Wait until each request has reached its stage."""
    early = ('waiting', 'response')
    sent = sum(c.stage in early for c in callers)
    begun = sum(c.stage not in LAST_STAGES for c in callers)
    await entry_harness.wait_for(lambda: len(upstream.received) == sent)
    await entry_harness.wait_for(lambda: path.server.in_flight == begun)


def check(seed: int, stop: Stop) -> bool:
    """Return whether the shutdown cut off a request in flight."""
    found: list[bool] = []

    async def run() -> None:
        found.append(await _violated(seed, stop))

    entry_harness.run(run)
    return found[0]


def proof() -> report.Proof:
    return report.Proof(
        number=7,
        name='graceful-stop',
        naive=lambda seed: check(seed, stop_at_once),
        ours=lambda seed: check(seed, stop_gracefully),
        seeds=SEEDS,
    )

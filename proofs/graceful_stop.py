"""Promise 7: a planned shutdown interrupts no request in flight.

The shutdown begins while requests are at different stages: on a connection
that is not accepted yet, on a connection that was idle, in the middle of the
request body, waiting for the upstream, and in the middle of the response.
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
RACING_STAGES = ('backlog', 'idle')
BODY = b'x' * 100

Stop = Callable[[entry_harness.EntryHarness], Coroutine[Any, Any, None]]


async def stop_at_once(harness: entry_harness.EntryHarness) -> None:
    """Stop like a process without a SIGTERM handler."""
    await harness.listener.stop()
    for sock in harness.accepted:
        await sock.shutdown(socket.SHUT_RDWR)


async def stop_gracefully(harness: entry_harness.EntryHarness) -> None:
    """Stop as the entry process does."""
    await entry.stop_callers(harness.server, harness.listener, timedelta())
    await harness.conns.close()


class Upstream:
    """Sends nothing or half a response until ``release`` is set."""

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
    """A caller with one request at a given stage when the shutdown begins."""

    def __init__(self, stage: str, sock: aio.Socket | None, port: int) -> None:
        self.stage = stage
        self._maybe_sock = sock
        self._port = port
        self.response_data = b''

    @property
    def _sock(self) -> aio.Socket:
        assert self._maybe_sock is not None
        return self._maybe_sock

    async def send_request(self) -> None:
        if self._maybe_sock is None:
            raw = entry_harness.connect_at_once(self._port)
            self._maybe_sock = aio.wrap(raw)
        head = f'POST /free/{self.stage} HTTP/1.1\r\nHost: a\r\n'
        length = f'Content-Length: {len(BODY)}\r\n\r\n'
        data = head.encode() + length.encode()
        body = BODY[:50] if self.stage == 'body' else BODY
        await self._sock.sendall(data + body)

    async def finish_request(self) -> None:
        if self.stage == 'body':
            try:
                await self._sock.sendall(BODY[50:])
            except OSError:
                return
        try:
            while BODY not in self.response_data:
                chunk = await self._sock.recv(65536)
                if not chunk:
                    break
                self.response_data += chunk
        except OSError:
            pass
        await self._sock.close()

    def has_complete_response(self) -> bool:
        head, _, body = self.response_data.partition(b'\r\n\r\n')
        return b' 200 ' in head.split(b'\r\n')[0] and body == BODY


async def _run_violates(seed: int, stop: Stop) -> bool:
    rng = random.Random(seed)
    stages = [rng.choice(STAGES) for _ in range(CALLERS)]
    holding_upstream = Upstream()
    upstream = await entry_harness.start_scripted(holding_upstream.script)
    harness = await entry_harness.start(
        {'free-a': upstream.address}, deadline='5s'
    )
    callers = [await _connect(stage, harness) for stage in stages]
    await _wait_for_stages(callers, harness, upstream)
    for caller in callers:
        # The other requests are already in flight. These are sent just before
        # the shutdown and race with it.
        if caller.stage in RACING_STAGES:
            await caller.send_request()
    stopping = await aio.spawn(stop(harness))
    await aio.sleep(timedelta(milliseconds=10))
    await holding_upstream.release.set()
    for caller in callers:
        await caller.finish_request()
    await stopping.join()
    return not all(caller.has_complete_response() for caller in callers)


async def _connect(stage: str, harness: entry_harness.EntryHarness) -> Caller:
    if stage == 'backlog':
        return Caller(stage, None, harness.listener.port)
    sock = await aio.connect(entry_harness.HOST, harness.listener.port)
    caller = Caller(stage, sock, harness.listener.port)
    if stage not in RACING_STAGES:
        await caller.send_request()
    return caller


async def _wait_for_stages(
    callers: list[Caller],
    harness: entry_harness.EntryHarness,
    upstream: entry_harness.ScriptedUpstream,
) -> None:
    """Wait until every request that was sent has reached its stage."""
    fully_sent_stages = ('waiting', 'response')
    sent = sum(c.stage in fully_sent_stages for c in callers)
    begun = sum(c.stage not in RACING_STAGES for c in callers)
    await entry_harness.wait_for(lambda: len(upstream.received) == sent)
    await entry_harness.wait_for(lambda: harness.server.in_flight == begun)


def check(seed: int, stop: Stop) -> bool:
    """Return whether a request got no complete response."""
    violations: list[bool] = []

    async def run() -> None:
        violations.append(await _run_violates(seed, stop))

    entry_harness.run(run)
    return violations[0]


def proof() -> report.Proof:
    return report.Proof(
        number=7,
        name='graceful-stop',
        naive=lambda seed: check(seed, stop_at_once),
        ours=lambda seed: check(seed, stop_gracefully),
        seeds=SEEDS,
    )

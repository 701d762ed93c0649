"""Tests of a planned stop of a gateway process, in calm, with slow upstreams.

Callers keep their connections and go on sending until the process is gone.
"""

from dataclasses import dataclass
from datetime import timedelta
import functools
import itertools
import json
import os
import pathlib
import random
import re
import signal
import subprocess  # nosec
import sys
import tempfile
from typing import Any
import unittest

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import members
from goldcresthaven import routes
from standins import table_store
from tests import test_gateway
from tools import entry_harness
from tools import http_client
from tools import processes

FRONT_PORT, READY_PORT, PEER_PORT = 7401, 7402, 7403
GRACE = timedelta(seconds=6)
# Together with the time at which the last idle connection is closed, it goes
# beyond the time that remains before the process must end.
TIMEOUT = timedelta(seconds=3.5)
# Times that the upstream takes for a request, in seconds.
WORK_S = (1.0, 3.0)
PAUSE = timedelta(milliseconds=50)
# Connections that are idle when the stop begins. Each sends one request, the
# next one 50 ms later, until after the last idle connection is closed.
IDLE_CALLERS = 80
BUSY_CALLERS = 20
# The process checks idle connections at this interval. They are opened over
# such an interval, so that some are checked last.
IDLE_CHECK_INTERVAL = timedelta(seconds=1)
START_LIMIT = timedelta(seconds=15)
# All is over before the platform would kill the process.
TEST_LIMIT = timedelta(seconds=40)


@dataclass(kw_only=True)
class Sent:
    """A request, when it was sent after SIGTERM, and its reply.

    The reply is empty if the connection was closed without one.
    """

    request: str
    at: timedelta
    reply: bytes = b''


class Upstream:
    """Executes each request slowly and records its id."""

    def __init__(self) -> None:
        self.executed: list[str] = []
        self._rng = random.Random(7)
        self._listener = aio.Listener(
            host=entry_harness.HOST, port=0, handler=self._serve
        )

    async def start(self) -> str:
        await self._listener.start()
        return f'{entry_harness.HOST}:{self._listener.port}'

    async def _serve(self, sock: aio.Socket) -> None:
        while text := await read_message(sock):
            request = test_gateway.request_id(text.decode())
            self.executed.append(request)
            work = 0.0 if request == 'probe' else self._rng.uniform(*WORK_S)
            await aio.sleep(timedelta(seconds=work))
            await test_gateway.respond()(sock, text.decode())


async def read_message(sock: aio.Socket) -> bytes:
    """Return one message; empty if the connection ended before its end."""
    data = b''
    try:
        while piece := await sock.recv(65536):
            data += piece
            head, found, body = data.partition(b'\r\n\r\n')
            length = re.search(rb'content-length: (\d+)', head.lower())
            if found and len(body) >= (int(length[1]) if length else 0):
                return data
    except OSError:
        pass
    return b''


def message(request: str) -> bytes:
    return (
        'POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n'
        f'{test_gateway.ID}: {request}\r\n\r\n'
    ).encode()


class PlannedStopTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        store = processes.start('store', 'standins.table_store')
        self.addCleanup(store.stop)
        self.store = members.Address.parse(store.startup_info['listen'])
        # The port for metrics is fixed, so each test has its own address.
        number = os.getpid()
        self.host = f'127.{210 + number % 40}.{number // 40 % 250}.9'
        self.front = members.Address(host=self.host, port=FRONT_PORT)
        self.clock = clock.SystemClock()
        self.sent: list[Sent] = []
        self.numbers = itertools.count()

    async def configure(self, upstream: Upstream, *keyed_pools: str) -> None:
        route = {
            'host': 'h.example',
            'prefix': '/a/',
            'service': 'orders',
            'route-kind': 'unsafe',
            'timeout-s': TIMEOUT.total_seconds(),
            'target-latency-s': TIMEOUT.total_seconds(),
            'priority': 0,
            'max-attempts': 1,
        }
        config = {
            'version': '00000003',
            'routes': {'order': route},
            'services': {
                name: {'sharded': name != 'orders', 'max-conns': 500}
                for name in ('orders', *keyed_pools)
            },
            'limits': {'idle-timeout-s': 30},
        }
        entry = {
            'info': {
                'service': 'orders',
                'version': 'v1',
                'zone': 'a',
                'slots': 500,
            },
            'status': {'state': 'ready', 'sequence': 1, 'cold-left-s': 0},
            'addr': await upstream.start(),
            'born': 1,
        }
        rows = [
            table_store.make_row('op', 'config', config),
            table_store.make_row('servers', 'u0', entry),
        ]
        await http_client.post_json(self.store, '/own', {'put': rows})

    def start_gateway(self) -> subprocess.Popen[bytes]:
        file = self.folder / 'gateway.toml'
        file.write_text(
            'node = "g0"\nzone = "a"\n'
            f'ip = "{self.host}"\ninternal-ports = [{PEER_PORT}]\n'
            f'bounds = ["grace-s={GRACE.total_seconds()}", "hold-max-s=6", '
            '"retry-budget-ratio=0.2", "budget-slack=100"]\n'
            f'[listen]\nfront = "{self.front}"\n'
            f'ready = "{self.host}:{READY_PORT}"\n'
            '[limits]\ncpu-share = 1.0\ncores = 1\nlink-mbps = 700.0\n'
            f'[platform-api]\naddr = "{self.store}"\n'
        )
        with (self.folder / 'gateway.log').open('wb') as log:
            popen = subprocess.Popen(
                [sys.executable, '-m', 'goldcresthaven.gateway_process'],
                cwd=processes.ROOT,
                env={**os.environ, 'GOLDCRESTHAVEN_SETTINGS': str(file)},
                stdout=log,
            )
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        return popen

    async def until_served(self) -> None:
        async with aio.timeout(START_LIMIT):
            while True:
                try:
                    sock = await aio.connect(self.host, FRONT_PORT)
                except errors.ConnectionFailed:
                    await aio.sleep(PAUSE)
                    continue
                await sock.sendall(message('probe'))
                reply = await read_message(sock)
                await sock.close()
                if b' 200 ' in reply:
                    return
                await aio.sleep(PAUSE)

    async def ask(self, sock: aio.Socket) -> bool:
        """Send a request; return whether the connection can be used again."""
        sent = Sent(
            request=f'r{next(self.numbers)}',
            at=self.clock.elapsed() - self.stopped_at,
        )
        try:
            await sock.sendall(message(sent.request))
        except OSError:
            return False
        self.sent.append(sent)
        sent.reply = await read_message(sock)
        return b'connection: close' not in sent.reply.lower() and bool(
            sent.reply
        )

    async def call_late(self, sock: aio.Socket, delay: timedelta) -> None:
        await aio.sleep(delay)
        await self.ask(sock)
        await sock.close()

    async def call_repeatedly(self) -> None:
        """Send requests, over new connections where necessary."""
        while True:
            try:
                sock = await aio.connect(self.host, FRONT_PORT)
            except errors.ConnectionFailed:
                return
            while await self.ask(sock):
                await aio.sleep(PAUSE)
            await sock.close()
            await aio.sleep(PAUSE)

    def test_only_requests_that_can_end_in_time_are_passed_on(self) -> None:
        """Guards against orders that are cut off, and needless refusals."""
        # (route kind, time until the stop in seconds, whether connections
        # are closed already, expected status); the route's timeout is 0.8 s.
        cases = (
            (routes.RouteKind.UNSAFE, 1.5, True, '200'),
            (routes.RouteKind.UNSAFE, 0.7, False, '503'),
            (routes.RouteKind.SAFE, 0.7, False, '200'),
            (routes.RouteKind.SAFE, 0.7, True, '503'),
        )

        async def main(
            kind: routes.RouteKind, left: float, closing: bool, expected: str
        ) -> None:
            router = test_gateway.Router(kind=kind)
            upstream = test_gateway.Upstream()
            await router.start(upstream)
            stop_at = router.clock.elapsed() + timedelta(seconds=left)
            router.gateway.drain(stop_at=stop_at)
            if closing:
                router.gateway.close_when_idle()
            reply = await router.ask(method='POST')
            self.assertEqual(reply.split(' ')[1], expected)
            self.assertEqual(len(upstream.requests), int(expected == '200'))

        for case in cases:
            with self.subTest(case=case):
                aio.run(functools.partial(main, *case))

    def test_stop_does_not_wait_for_the_store(self) -> None:
        """Guards against a listener that stays open while the store hangs."""
        aio.run(self._stop_without_store)

    async def _stop_without_store(self) -> None:
        pools = ('k0', 'k1', 'k2', 'k3')
        await self.configure(Upstream(), *pools)
        popen = self.start_gateway()
        await self.until_served()
        claims = '/rows-get?table=goldcresthaven-claims&part='
        async with aio.timeout(START_LIMIT):
            while True:
                found = await http_client.fetch(self.store, 'GET', claims)
                if len(found.json()['rows']) == len(pools):
                    break
                await aio.sleep(PAUSE)
        await http_client.post_json(self.store, '/faults', {'silent': True})
        popen.send_signal(signal.SIGTERM)
        stopped_at = self.clock.elapsed()
        async with aio.timeout(TEST_LIMIT):
            while popen.poll() is None:
                await aio.sleep(PAUSE)
        took = self.clock.elapsed() - stopped_at
        self.assertLess(took, timedelta(seconds=4))

    def test_no_request_is_cut_off(self) -> None:
        """Guards against requests that are taken too late to be finished."""
        aio.run(self._stop_under_load)

    async def _stop_under_load(self) -> None:
        upstream = Upstream()
        await self.configure(upstream)
        popen = self.start_gateway()
        await self.until_served()
        self.stopped_at = self.clock.elapsed()
        tasks = [
            await aio.spawn(self.call_repeatedly())
            for _ in range(BUSY_CALLERS)
        ]
        idle = []
        for _ in range(IDLE_CALLERS):
            idle.append(await aio.connect(self.host, FRONT_PORT))
            await aio.sleep(IDLE_CHECK_INTERVAL / IDLE_CALLERS)
        await aio.sleep(IDLE_CHECK_INTERVAL / 2)
        popen.send_signal(signal.SIGTERM)
        self.stopped_at = self.clock.elapsed()
        for number, sock in enumerate(idle):
            tasks.append(await aio.spawn(self.call_late(sock, number * PAUSE)))
        async with aio.timeout(TEST_LIMIT):
            for task in tasks:
                await task.join()
            while popen.poll() is None:
                await aio.sleep(PAUSE)
        self.assertLess(self.clock.elapsed() - self.stopped_at, GRACE)
        self.check(set(upstream.executed))

    def check(self, executed: set[str]) -> None:
        found: dict[str, list[Any]] = {'lost': [], 'refused': [], 'other': []}
        counts = {'answered': 0, 'refused': 0, 'not read': 0}
        for sent in self.sent:
            at = round(sent.at.total_seconds(), 2)
            ran = sent.request in executed
            match sent.reply.split(b' ')[1:2]:
                case [b'200']:
                    counts['answered'] += 1
                case [b'503'] if not ran:
                    counts['refused'] += 1
                    self.assertIn(b'retry-after', sent.reply.lower())
                    self.assertIn(b'connection: close', sent.reply.lower())
                case [b'503']:
                    found['refused'].append(at)
                case [] if not ran:
                    counts['not read'] += 1
                case []:
                    found['lost'].append(at)
                case status:
                    found['other'].append((at, status))
        print(json.dumps({'planned stop': counts}))
        self.assertEqual(found, {'lost': [], 'refused': [], 'other': []})
        self.assertGreater(counts['answered'], BUSY_CALLERS)


if __name__ == '__main__':
    unittest.main()

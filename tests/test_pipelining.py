"""Tests of callers that send requests before the first response."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import re
import unittest

from goldcresthaven import aio
from goldcresthaven import routes
from tests import test_gateway

LIMIT = timedelta(seconds=5)
# Work for a caller that has left must end within half a second.
CALLER_GONE_LIMIT = timedelta(milliseconds=500)


def request(number: int, *, extra: str = '') -> bytes:
    return (
        f'GET /a/{number} HTTP/1.1\r\nHost: h.example\r\n'
        f'{test_gateway.ID}: r{number}\r\n'
        f'X-Goldcresthaven-Deadline-Ms: 1500\r\n{extra}\r\n'
    ).encode()


def slow(seconds: float, body: str) -> test_gateway.Script:
    async def script(sock: aio.Socket, text: str) -> None:
        await aio.sleep(timedelta(seconds=seconds))
        await test_gateway.respond(body)(sock, text)

    return script


async def receive(sock: aio.Socket) -> str:
    """Return all bytes until the connection closes."""
    data = b''
    async with aio.timeout(LIMIT):
        while piece := await sock.recv(65536):
            data += piece
    return data.decode()


def run(test: Callable[[], Awaitable[None]]) -> None:
    aio.run(test)


class PipeliningTest(unittest.TestCase):
    def test_responses_keep_the_order_of_the_requests(self) -> None:
        """Guards against a later response that overtakes an earlier one."""

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream(
                slow(0.3, 'first'), slow(0.0, 'second'), slow(0.1, 'third')
            )
            await router.start(upstream)
            sock = await router.connect()
            last = request(3, extra='Connection: close\r\n')
            await sock.sendall(request(1) + request(2) + last)
            received = await receive(sock)
            ids = re.findall(rf'{test_gateway.ID}: (\S+)', received, re.I)
            self.assertEqual(ids, ['r1', 'r2', 'r3'])
            bodies = re.findall('first|second|third', received)
            self.assertEqual(bodies, ['first', 'second', 'third'])

        run(main)

    def test_request_behind_a_close_is_not_sent(self) -> None:
        """Guards against a request that runs but counts as not read."""

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream()
            await router.start(upstream)
            sock = await router.connect()
            first = request(1, extra='Connection: close\r\n')
            await sock.sendall(first + request(2) + request(3))
            received = await receive(sock)
            self.assertEqual(received.count('HTTP/1.1 200'), 1)
            self.assertEqual(len(upstream.requests), 1)

        run(main)

    def test_work_ends_when_a_caller_with_open_requests_leaves(self) -> None:
        """Guards against a close that is hidden by requests sent ahead."""

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream(slow(3.0, 'late'))
            await router.start(upstream)
            sock = await router.connect()
            await sock.sendall(request(1))
            await self._until(lambda: len(upstream.requests) == 1, LIMIT)
            await sock.sendall(request(2) + request(3))
            await sock.close()
            await self._until(
                lambda: router.gateway.in_flight == 0, CALLER_GONE_LIMIT
            )
            self.assertEqual(len(upstream.requests), 1)

        run(main)

    def test_malformed_request_behind_a_good_one(self) -> None:
        """Guards against a good request that fails with a malformed one."""

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream(slow(0.2, 'good'))
            await router.start(upstream)
            sock = await router.connect()
            await sock.sendall(request(1) + b'GET bad\r\n\r\n' + request(3))
            received = await receive(sock)
            statuses = re.findall(r'HTTP/1.1 (\d+)', received)
            self.assertEqual(statuses, ['200', '400'])
            self.assertIn('good', received)
            self.assertEqual(len(upstream.requests), 1)

        run(main)

    def test_stop_with_requests_sent_ahead(self) -> None:
        """Guards against a planned stop that cuts off a request.

        The first one is answered; the others are behind a response that
        closes the connection, so that the caller sends them again.
        """

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream(slow(0.4, 'first'))
            await router.start(upstream)
            sock = await router.connect()
            await sock.sendall(request(1) + request(2) + request(3))
            await self._until(lambda: len(upstream.requests) == 1, LIMIT)
            router.gateway.drain()
            router.gateway.close_when_idle()
            received = await receive(sock)
            self.assertEqual(received.count('HTTP/1.1 200'), 1)
            self.assertIn('connection: close', received.lower())
            self.assertIn('first', received)
            self.assertEqual(len(upstream.requests), 1)

        run(main)

    def test_response_is_whole_when_a_request_crosses_the_close(self) -> None:
        """Guards against a stop that resets a response on its way."""
        body = 'x' * 3_000_000

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream(slow(0.1, body))
            await router.start(upstream)
            sock = await router.connect()
            await sock.sendall(request(1))
            await self._until(lambda: len(upstream.requests) == 1, LIMIT)
            router.gateway.drain()
            router.gateway.close_when_idle()
            received = await sock.recv(65536)
            await sock.sendall(request(2))
            try:
                while piece := await sock.recv(65536):
                    received += piece
                    # The caller is slower than the gateway.
                    await aio.sleep(timedelta(milliseconds=1))
            except ConnectionResetError:
                pass
            head, _, relayed = received.partition(b'\r\n\r\n')
            self.assertIn(b'connection: close', head.lower())
            self.assertEqual(len(relayed), len(body))
            self.assertEqual(len(upstream.requests), 1)

        run(main)

    def test_unsafe_request_sent_ahead_is_sent_once(self) -> None:
        """Guards against an order that runs twice behind another one."""

        async def main() -> None:
            router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
            upstream = test_gateway.Upstream()
            await router.start(upstream)
            sock = await router.connect()
            last = request(2, extra='Connection: close\r\n')
            await sock.sendall(request(1) + last)
            received = await receive(sock)
            self.assertEqual(received.count('HTTP/1.1 200'), 2)
            self.assertEqual(len(upstream.requests), 2)

        run(main)

    async def _until(
        self, condition: Callable[[], bool], limit: timedelta
    ) -> None:
        async with aio.timeout(limit):
            while not condition():
                await aio.sleep(timedelta(milliseconds=10))

"""Tests of upstreams and callers that send without end, at full speed."""

from datetime import timedelta
import time
import unittest

from goldcresthaven import aio
from goldcresthaven import routes
from tests import endless_peer
from tests import fake_platform
from tests import test_gateway
from tools import entry_harness

# Requests have to end within this time after the timeout of their route.
LATE = timedelta(seconds=0.5)
# The route's timeout, as the platform's file states it.
TIMEOUT = fake_platform.route().timeout
HEAD = (
    f'HTTP/1.1 200 OK\r\n{test_gateway.STAMP}{test_gateway.ID}: r1\r\n'
).encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
PIECE = b'x' * (1 << 16)
BODIES = {
    'chunks': (CHUNKED, f'{len(PIECE):x}\r\n'.encode() + PIECE + b'\r\n'),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 4096),
    'a length': (HEAD + b'Content-Length: 99999999999\r\n\r\n', PIECE),
    'no length': (HEAD + b'\r\n', PIECE),
}
# How long requests of other callers may take meanwhile. All of them are sent
# to an upstream that answers at once, and the route's timeout is 0.8 s.
OTHER_LIMIT = TIMEOUT


class EndlessBodyTest(unittest.TestCase):
    def relay(
        self, start: bytes, repeated: bytes
    ) -> tuple[endless_peer.Reply, list[float]]:
        """Return a caller's reply and the durations of other requests."""
        server = endless_peer.EndlessServer(repeated, start=start)
        self.addCleanup(server.close)
        durations: list[float] = []
        replies: list[endless_peer.Reply] = []

        async def main() -> None:
            router = test_gateway.Router()
            await router.start()
            other = test_gateway.Router()
            await other.start(test_gateway.Upstream())
            router.register('endless', server.port)
            client = endless_peer.Client(router.port, test_gateway.request())
            while not client.is_done():
                started = time.monotonic()
                reply = await other.ask()
                durations.append(time.monotonic() - started)
                self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            replies.append(client.reply)

        entry_harness.run(main)
        return replies[0], durations

    def test_answer_without_end_is_passed_on_past_the_timeout(self) -> None:
        """Guards against requests that never end while bytes arrive."""
        for name, (start, repeated) in BODIES.items():
            with self.subTest(name):
                reply, _ = self.relay(start, repeated)
                self.assertLess(
                    reply.elapsed_s, (TIMEOUT + LATE).total_seconds()
                )
                self.assertTrue(reply.reset)
                self.assertFalse(reply.end.endswith(b'\r\n0\r\n\r\n'))

    def test_answer_at_full_speed_stops_the_process(self) -> None:
        """Guards against a relay that lets no other request run."""
        for name, (start, repeated) in BODIES.items():
            with self.subTest(name):
                _, durations = self.relay(start, repeated)
                self.assertLess(max(durations), OTHER_LIMIT.total_seconds())


class EndlessRequestTest(unittest.TestCase):
    def test_request_at_full_speed_stops_the_process(self) -> None:
        """Guards against a caller's body that lets no other request run."""
        request = (
            f'POST /a/x HTTP/1.1\r\nHost: h.example\r\n{test_gateway.ID}: r1'
            '\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
        ).encode()

        async def take_all(sock: aio.Socket, text: str) -> None:
            while await sock.recv(1 << 20):
                pass

        for name in ('chunks', 'tiny chunks'):
            _, repeated = BODIES[name]
            durations: list[float] = []

            async def main(
                repeated: bytes = repeated, durations: list[float] = durations
            ) -> None:
                router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
                await router.start(test_gateway.Upstream(take_all))
                other = test_gateway.Router()
                await other.start(test_gateway.Upstream())
                client = endless_peer.Client(
                    router.port, request, endless=repeated
                )
                while not client.is_done():
                    started = time.monotonic()
                    reply = await other.ask()
                    durations.append(time.monotonic() - started)
                    self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
                self.assertLess(
                    client.reply.elapsed_s, (TIMEOUT + LATE).total_seconds()
                )

            with self.subTest(name):
                entry_harness.run(main)
                self.assertLess(max(durations), OTHER_LIMIT.total_seconds())

"""Tests of peers whose bytes are no answer and never end, at full speed.

Whoever calls them has to give up in time, and must not keep the bytes.
"""

from datetime import timedelta
import resource
import time
import unittest

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import members
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven.platform import leases
from goldcresthaven.platform import store
from tests import endless_peer
from tests import test_endless_responses
from tests import test_gateway
from tools import entry_harness

CHUNKED = test_endless_responses.CHUNKED
HEAD = test_endless_responses.HEAD
PIECE = test_endless_responses.PIECE
REFUSAL = (
    f'HTTP/1.1 503 Busy\r\n{test_gateway.NOT_RUN}{test_gateway.ID}: r1\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
).encode()
LATE = (
    f'HTTP/1.1 200 OK\r\n{test_gateway.STAMP}{test_gateway.ID}: r0\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
).encode()
CHUNK = f'{len(PIECE):x}\r\n'.encode() + PIECE + b'\r\n'
ANSWERS = {
    'bytes that are no head': (b'', PIECE),
    'a head without end': (HEAD, b'X-A: b\r\n' * 4096),
    'interim responses': (b'', b'HTTP/1.1 102 P\r\n\r\n' * 2048),
    'a chunk extension': (CHUNKED + b'5;', PIECE),
    'chunks with extensions': (
        CHUNKED,
        (b'1;' + b'a' * 8000 + b'\r\nx\r\n') * 8,
    ),
    'trailers': (CHUNKED + b'0\r\n', b'X-A: b\r\n' * 4096),
    'a late response to another request': (LATE, CHUNK),
    'a refusal': (REFUSAL, CHUNK),
    'a refusal of tiny chunks': (REFUSAL, b'1\r\nx\r\n' * 4096),
}
# Room for the buffers of a request, of which the largest has 4 MiB (the
# store's answers). The peers send hundreds of megabytes in a second.
MAX_GROWTH_BYTES = 16 << 20
# Longest time until the upstream notices that its caller has left.
GONE_LIMIT = timedelta(seconds=0.5)
# A refusal is known from its head, so it must not wait for the deadline.
REFUSED_WITHIN = test_endless_responses.TIMEOUT / 2


def peak_memory() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10


class UpstreamTest(unittest.TestCase):
    def serve(
        self, start: bytes, repeated: bytes
    ) -> endless_peer.EndlessServer:
        server = endless_peer.EndlessServer(repeated, start=start)
        self.addCleanup(server.close)
        return server

    def test_bytes_that_are_no_answer_fill_the_memory(self) -> None:
        """Guards against requests without an answer, and bytes that are kept.

        An unsafe request is sent once.
        """
        limit = test_endless_responses.TIMEOUT + test_endless_responses.LATE
        for name, (start, repeated) in ANSWERS.items():
            server = self.serve(start, repeated)
            before = peak_memory()

            async def main(
                server: endless_peer.EndlessServer = server,
            ) -> endless_peer.Reply:
                router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
                await router.start()
                router.register('endless', server.port)
                client = endless_peer.Client(
                    router.port, test_gateway.request(method='POST')
                )
                while not client.is_done():
                    await aio.sleep(timedelta(milliseconds=5))
                return client.reply

            with self.subTest(name):
                replies: list[endless_peer.Reply] = []

                async def run() -> None:
                    replies.append(await main())

                entry_harness.run(run)
                reply = replies[0]
                self.assertLess(reply.elapsed_s, limit.total_seconds())
                self.assertLess(peak_memory() - before, MAX_GROWTH_BYTES)
                self.assertEqual(server.requests, 1)
                if 'refusal' in name:
                    self.assertTrue(
                        reply.start.startswith(b'HTTP/1.1 503'), reply.start
                    )
                else:
                    self.assertNotIn(b'HTTP/1.1 503', reply.start)

    def test_refusal_with_a_body_without_end_is_passed_on_late(self) -> None:
        """Guards against a caller that waits for the body of a refusal.

        The head alone proves that the request was not executed.
        """
        for name in ('a refusal', 'a refusal of tiny chunks'):
            server = self.serve(*ANSWERS[name])
            durations: list[float] = []

            async def main(
                server: endless_peer.EndlessServer = server,
                durations: list[float] = durations,
            ) -> None:
                router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
                await router.start()
                router.register('endless', server.port)
                started = time.monotonic()
                reply = await router.ask(method='POST')
                durations.append(time.monotonic() - started)
                self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)

            with self.subTest(name):
                entry_harness.run(main)
                self.assertLess(durations[0], REFUSED_WITHIN.total_seconds())

    def test_answer_goes_on_after_its_caller_has_left(self) -> None:
        """Guards against work for callers that have left."""
        server = self.serve(CHUNKED, CHUNK)

        async def main() -> None:
            router = test_gateway.Router()
            await router.start()
            router.register('endless', server.port)
            sock = await router.connect()
            await sock.sendall(test_gateway.request())
            await sock.recv(1 << 16)
            await sock.close()
            async with aio.timeout(GONE_LIMIT):
                while server.active:
                    await aio.sleep(timedelta(milliseconds=5))

        entry_harness.run(main)


class ControlTest(unittest.TestCase):
    """Calls to the store and for grants."""

    def test_answer_to_a_grant_without_end(self) -> None:
        """Guards against a grant that hangs, or fills the memory."""
        for name, (start, repeated) in ANSWERS.items():
            server = endless_peer.EndlessServer(repeated, start=start)
            self.addCleanup(server.close)
            before = peak_memory()

            async def main(
                server: endless_peer.EndlessServer = server,
            ) -> None:
                calls = leases.PlatformLeases(clock=clock.SystemClock())
                async with aio.timeout(key_grants.CALL_TIMEOUT * 2):
                    reply = await calls.grant(
                        ids.UpstreamId('i-1'),
                        members.Address(
                            host=endless_peer.HOST, port=server.port
                        ),
                        key_grants.Grant(first=0, last=9, fence=4),
                        renewal=None,
                        hold=timedelta(seconds=3),
                        timeout=key_grants.CALL_TIMEOUT,
                        may_send=lambda: True,
                    )
                self.assertIsNot(reply.result, key_grants.GrantResult.GRANTED)

            with self.subTest(name):
                entry_harness.run(main)
                self.assertLess(peak_memory() - before, MAX_GROWTH_BYTES)

    def test_answer_of_the_store_without_end(self) -> None:
        """Guards against a read that hangs, or fills the memory."""
        for name, (start, repeated) in ANSWERS.items():
            server = endless_peer.EndlessServer(repeated, start=start)
            self.addCleanup(server.close)
            before = peak_memory()

            async def main(
                server: endless_peer.EndlessServer = server,
            ) -> None:
                client = store.PlatformStore(
                    address=members.Address(
                        host=endless_peer.HOST, port=server.port
                    ),
                    clock=clock.SystemClock(),
                )
                async with aio.timeout(state_store.CALL_TIMEOUT * 2):
                    with self.assertRaises(errors.StoreUnavailable):
                        await client.read(state_store.Table.REGISTRY)

            with self.subTest(name):
                entry_harness.run(main)
                self.assertLess(peak_memory() - before, MAX_GROWTH_BYTES)

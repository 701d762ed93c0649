"""Tests of upstreams that send an earlier refusal a second time.

Such a copy says nothing about the request that is now in progress. A caller
must not be told "not run" for it, and it must not go to another upstream.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
import functools
import itertools
import unittest

from goldcresthaven import aio
from goldcresthaven import routes
from tests import fake_platform
from tests import test_gateway
from tools import entry_harness

# Longer than data needs between two sockets of this machine.
PAUSE = timedelta(milliseconds=40)
STATUSES = ('503 Busy', '429 Busy', '421 Other', '408 Late', '400 Bad')
# Statuses that promise the caller that the request was not executed.
PROMISES = ('408', '421', '429', '503')


@dataclass(frozen=True, kw_only=True)
class Copy:
    """How the second copy of the refusal of request r1 is sent.

    ``pieces`` are sent with a pause after each. With ``joined``, the
    response to the next request follows in the same write.
    """

    status: str
    identified: bool
    pieces: int
    joined: bool

    def data(self) -> bytes:
        return refusal(self.status, 'r1' if self.identified else None)

    async def send(self, sock: aio.Socket) -> None:
        data = self.data()
        # The first cut is in the middle of the head.
        size = -(-len(data) // self.pieces)
        for start in range(0, len(data), size):
            await sock.sendall(data[start : start + size])
            await aio.sleep(PAUSE)


COPIES = [
    Copy(status=status, identified=identified, pieces=pieces, joined=joined)
    for status, identified, (pieces, joined) in itertools.product(
        STATUSES, (True, False), ((1, False), (2, False), (1, True))
    )
]


def refusal(status: str, request: str | None) -> bytes:
    echoed = '' if request is None else f'{test_gateway.ID}: {request}\r\n'
    return (
        f'HTTP/1.1 {status}\r\n{test_gateway.NOT_RUN}{echoed}'
        'Content-Length: 4\r\n\r\nbusy'
    ).encode()


def success(request: str) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\n{test_gateway.STAMP}'
        f'{test_gateway.ID}: {request}\r\nContent-Length: 3\r\n\r\nran'
    ).encode()


async def ask(
    router: test_gateway.Router, request: str, extra: str = ''
) -> str:
    text = test_gateway.request(method='POST', extra=extra)
    sock = await router.connect()
    await sock.sendall(text.replace(b': r1\r\n', f': {request}\r\n'.encode()))
    return (await entry_harness.read_until_closed(sock)).decode()


def run(test: Callable[[], Awaitable[None]]) -> None:
    aio.run(test)


class RepeatedRefusalTest(unittest.TestCase):
    def check(self, reply: str, *upstreams: test_gateway.Upstream) -> None:
        """Check the reply to r2, which an upstream executes."""
        status = reply.split(' ')[1]
        self.assertNotIn(status, PROMISES, reply)
        self.assertIn(status, ('200', '502'), reply)
        runs = [
            request
            for upstream in upstreams
            for request in upstream.requests
            if test_gateway.request_id(request) == 'r2'
        ]
        self.assertLessEqual(len(runs), 1)

    def test_copy_behind_the_next_request(self) -> None:
        """Guards against a copy read as the response to a running order."""
        for copy in COPIES:
            with self.subTest(copy=copy):
                run(functools.partial(self._send_copy_behind, copy))

    async def _send_copy_behind(self, copy: Copy) -> None:
        router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
        spare = test_gateway.Upstream()
        spare_port = await spare.start()

        async def refuse(sock: aio.Socket, text: str) -> None:
            await sock.sendall(refusal('503 Busy', 'r1'))

        async def repeat_and_run(sock: aio.Socket, text: str) -> None:
            # From here on, the request could also go to another upstream.
            router.register('spare', spare_port)
            if copy.joined:
                await sock.sendall(copy.data() + success('r2'))
                return
            await copy.send(sock)
            try:
                await sock.sendall(success('r2'))
            except OSError:
                # The gateway has closed the connection.
                return

        upstream = test_gateway.Upstream(refuse, repeat_and_run)
        await router.start(upstream)
        await ask(router, 'r1')
        reply = await ask(router, 'r2')
        self.check(reply, upstream, spare)
        self.assertEqual(len(upstream.requests), 2)

    def test_copy_before_the_next_request(self) -> None:
        """Guards against a copy that waits for the next order."""
        for copy in COPIES:

            async def refuse_twice(
                sock: aio.Socket, text: str, copy: Copy = copy
            ) -> None:
                first = refusal('503 Busy', 'r1')
                if copy.joined:
                    await sock.sendall(first + copy.data())
                    return
                await sock.sendall(first)
                await aio.sleep(PAUSE)
                await copy.send(sock)

            async def run_it(sock: aio.Socket, text: str) -> None:
                await sock.sendall(success('r2'))

            for wait in (timedelta(), PAUSE * 1.5, PAUSE * 4):

                async def main(wait: timedelta = wait) -> None:
                    router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
                    upstream = test_gateway.Upstream(refuse_twice, run_it)
                    await router.start(upstream)
                    await ask(router, 'r1')
                    await aio.sleep(wait)
                    self.check(await ask(router, 'r2'), upstream)

                with self.subTest(copy=copy, wait=wait):
                    run(main)

    def test_copy_is_no_proof_in_the_entry_process(self) -> None:
        """Guards against the same faults in the entry's request path."""
        head = b'X-Outcome: not-run\r\nContent-Length: 0\r\n\r\n'
        copies = (
            b'HTTP/1.1 503 Busy\r\n' + head,
            b'HTTP/1.1 421 Other\r\n' + head,
            b'HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\n' + head,
        )

        async def main(copy: bytes) -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                await entry_harness.read_head(upstream, sock)
                await sock.sendall(entry_harness.ok_response(b'ran'))
                await entry_harness.read_head(upstream, sock)
                # From here on, a retry could go to another upstream.
                path.views.view = entry_harness.make_view(
                    {'free-a': upstream.address, 'free-b': spare.address}
                )
                await sock.sendall(copy)
                await sock.recv(65536)

            upstream = await entry_harness.start_scripted(script)
            spare = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b'ran'))
            )
            path = await entry_harness.start({'free-a': upstream.address})
            for key in ('first', 'second'):
                response = await path.fetch(
                    'POST', '/pay/', headers=(('idempotency-key', key),)
                )
            self.assertEqual(response.outcome, 'unknown')
            self.assertEqual(upstream.connections, 1)
            self.assertEqual(spare.received, [])

        for copy in copies:
            with self.subTest(copy=copy):
                entry_harness.run(functools.partial(main, copy))

    def test_copy_of_the_first_try_is_no_answer_to_the_second(self) -> None:
        """Guards against a copy that bears the id of the running order.

        Both tries at the owner of a key have the caller's id.
        """
        for status in STATUSES[:3]:
            with self.subTest(status=status):
                run(functools.partial(self._send_copy_of_first_try, status))

    async def _send_copy_of_first_try(self, status: str) -> None:
        router = test_gateway.Router(
            kind=routes.RouteKind.UNSAFE, pool=fake_platform.POOL
        )
        refused_on: list[aio.Socket] = []

        async def refuse(sock: aio.Socket, text: str) -> None:
            refused_on.append(sock)
            await sock.sendall(refusal(status, 'r2'))
            # A refused key is tried again with the next version of the map.
            await aio.sleep(PAUSE)
            router.assign('u0', 6)

        async def repeat_and_run(sock: aio.Socket, text: str) -> None:
            await refused_on[0].sendall(refusal(status, 'r2'))
            await aio.sleep(PAUSE)
            await sock.sendall(success('r2'))

        upstream = test_gateway.Upstream(refuse, repeat_and_run)
        await router.start(upstream)
        router.assign('u0', 5)
        reply = await ask(router, 'r2', f'{test_gateway.KEY}: 7\r\n')
        self.assertEqual(len(upstream.requests), 2)
        self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

    def test_copy_of_the_first_try_in_the_entry_process(self) -> None:
        """Guards against the same fault in the entry's request path."""

        async def main() -> None:
            socks: list[aio.Socket] = []
            ids: list[bytes] = []

            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                while head := await entry_harness.read_head(upstream, sock):
                    socks.append(sock)
                    ids.append(head.lower().split(b'x-request-id: ')[1][:16])
                    copy = (
                        b'HTTP/1.1 503 Busy\r\nX-Outcome: not-run\r\n'
                        b'X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n'
                    ) % ids[0]
                    await socks[0].sendall(copy)
                    if len(socks) == 2:
                        await aio.sleep(PAUSE)
                        ran = entry_harness.ok_response(b'ran')
                        await sock.sendall(ran)

            upstream = await entry_harness.start_scripted(script)
            path = await entry_harness.start({'free-a': upstream.address})
            response = await path.fetch(
                'POST', '/pay/', headers=(('idempotency-key', 'k'),)
            )
            self.assertEqual(len(set(ids)), 1)
            self.assertEqual(len(socks), 2)
            self.assertEqual(response.outcome, 'done')

        entry_harness.run(main)


if __name__ == '__main__':
    unittest.main()

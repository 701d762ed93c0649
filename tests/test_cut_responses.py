"""Tests of responses that break off, with each possible place of the cut.

No caller may take a part of a response for a complete one.
"""

from collections.abc import Iterator
import functools
import unittest

import h11

from goldcresthaven import aio
from goldcresthaven import routes
from tests import test_gateway
from tests import test_pipelining
from tools import entry_harness

BODY = 'b' * 123
HEAD = (
    'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
    f'HTTP/1.1 200 OK\r\n{test_gateway.STAMP}{test_gateway.ID}: r1\r\n'
)
WITH_LENGTH = f'{HEAD}Content-Length: {len(BODY)}\r\n\r\n{BODY}'
CHUNKED = (
    f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
    f'{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n'
)
UNFRAMED = f'{HEAD}\r\n{BODY}'


def cuts() -> Iterator[tuple[str, bool]]:
    """Return each start of a response, and whether a reset follows it.

    A response without a length that ends with an orderly close is complete.
    """
    for response in (WITH_LENGTH, CHUNKED, UNFRAMED):
        head_size = response.index(BODY)
        for size in range(len(response)):
            # Inside of the body, one place is like another.
            if head_size + 2 < size < head_size + len(BODY) - 2:
                continue
            yield response[:size], True
            if response != UNFRAMED or size < head_size:
                yield response[:size], False


def complete_responses(data: bytes) -> list[tuple[int, bytes]]:
    """Return the status and body of each complete response."""
    found: list[tuple[int, bytes]] = []
    while data:
        conn = h11.Connection(h11.CLIENT)
        conn.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        conn.send(h11.EndOfMessage())
        conn.receive_data(data)
        status, body = 0, b''
        while not isinstance(event := conn.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return found
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.Data):
                body += event.data
        found.append((status, body))
        data = conn.trailing_data[0]
    return found


class CutResponseTest(unittest.TestCase):
    def test_cut_response_never_looks_complete(self) -> None:
        """Guards against a 200 with an empty or short body."""
        for start, resets in cuts():
            for kind in (routes.RouteKind.SAFE, routes.RouteKind.UNSAFE):
                with self.subTest(start=start, resets=resets, kind=kind):
                    aio.run(functools.partial(self._ask, start, resets, kind))

    async def _ask(
        self, start: str, resets: bool, kind: routes.RouteKind
    ) -> None:
        script = cutting(start, resets)
        router = test_gateway.Router(kind=kind)
        upstream = test_gateway.Upstream(script, script)
        await router.start(upstream)
        sock = await router.connect()
        await sock.sendall(test_gateway.request())
        data = await entry_harness.read_until_closed(sock)
        responses = complete_responses(data)
        if b' 200 ' in data:
            self.assertIn(BODY[:1], start.rpartition('\r\n\r\n')[2])
            self.assertEqual(responses, [])
        else:
            self.assertEqual([status for status, _ in responses], [502])
        if kind is routes.RouteKind.UNSAFE:
            self.assertEqual(len(upstream.requests), 1)

    def test_cut_response_before_requests_sent_ahead(self) -> None:
        """Guards against the rest of a response taken from the next one."""
        for start, resets in cuts():
            with self.subTest(start=start, resets=resets):
                aio.run(functools.partial(self._ask_ahead, start, resets))

    async def _ask_ahead(self, start: str, resets: bool) -> None:
        router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
        upstream = test_gateway.Upstream(cutting(start, resets))
        await router.start(upstream)
        sock = await router.connect()
        last = test_pipelining.request(2, extra='Connection: close\r\n')
        await sock.sendall(test_pipelining.request(1) + last)
        data = await entry_harness.read_until_closed(sock)
        responses = complete_responses(data)
        if b' 502 ' in data:
            self.assertEqual(responses[0][0], 502)
            self.assertEqual(responses[1:], [(200, b'whole')])
        else:
            self.assertEqual(responses, [])
            self.assertEqual(len(upstream.requests), 1)


def cutting(start: str, resets: bool) -> test_gateway.Script:
    async def script(sock: aio.Socket, text: str) -> None:
        await sock.sendall(start.encode())
        if resets:
            aio.reset_on_close(sock)
        await sock.close()

    return script


if __name__ == '__main__':
    unittest.main()

"""Tests HTTP parsing with random input."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from tools import entry_harness

PARTS = (
    b'GET /free/x HTTP/1.1\r\n',
    b'POST /free/x HTTP/1.1\r\n',
    b'Host: a\r\n',
    b'Content-Length: 3\r\n',
    b'Content-Length: 0\r\n',
    b'content-length : 3\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding:\tchunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b' folded\r\n',
    b'\r\n',
    b'\n',
    b'abc',
    b'3\r\nabc\r\n',
    b'0\r\n\r\n',
    b'\0',
)
EXPECTED = (errors.RequestRejected, errors.ConnectionLost)


async def read_requests(data: bytes) -> list[http_head.RequestHead]:
    """Parse bytes sent by a caller and return the complete requests."""
    left, right = entry_harness.socket_pair()
    await left.sendall(data)
    await left.close()
    conn = http_io.CallerConn(right)
    found = []
    try:
        while (head := await conn.read_head()) is not None:
            while await conn.read_piece():
                pass
            found.append(head)
            response = http_head.ResponseHead(status=200, headers=())
            await conn.send_all(response, b'')
            if not conn.can_continue():
                break
            conn.next_exchange()
    except EXPECTED:
        pass
    await conn.close()
    return found


class FuzzTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(st.sampled_from(PARTS), st.binary(max_size=6)),
            max_size=14,
        )
    )
    def test_requests_have_one_framing(self, parts: list[bytes]) -> None:
        """Guards against crashes and ambiguous message framing."""

        async def test() -> None:
            for head in await read_requests(b''.join(parts)):
                names = [n for n, _ in head.headers]
                framing = ('content-length', 'transfer-encoding')
                self.assertLessEqual(sum(n in framing for n in names), 1)
                self.assertLessEqual(names.count('host'), 1)

        entry_harness.run(test)

"""Tests of responses whose connection is reset, next to ones that end."""

from datetime import timedelta
import socket
import unittest

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from tests import test_gateway
from tools import entry_harness

BODY = b'0123456789abcdef' * 250
# More than the buffers of two connections hold, so that sending it blocks.
LONG_BODY_BYTES = 16 << 20
# Long enough for bytes to arrive on the loopback interface.
ARRIVAL = timedelta(milliseconds=100)


def response_start(body: bytes) -> bytes:
    """Return a response without a length, so that closing it ends it."""
    head = (
        f'HTTP/1.1 200 OK\r\n{test_gateway.STAMP}{test_gateway.ID}: r1\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


async def reset_midway(sock: aio.Socket, request: str) -> None:
    """Respond while the request is still being sent, then reset."""
    await aio.sleep(ARRIVAL)
    await sock.sendall(response_start(BODY[: len(BODY) // 2]))
    aio.reset_on_close(sock)
    await sock.close()


async def end_in_order(sock: aio.Socket, request: str) -> None:
    """Respond and end while the request is still being sent; read on."""
    await aio.sleep(ARRIVAL)
    await sock.sendall(response_start(BODY))
    await sock.shutdown(socket.SHUT_WR)
    while await sock.recv(1 << 20):
        pass


async def send_order(router: test_gateway.Router) -> bytes:
    """Send a long request; return the reply up to a close or a reset."""
    sock = await router.connect()
    extra = f'Content-Length: {LONG_BODY_BYTES}\r\n'
    head = test_gateway.request(method='POST', extra=extra)
    sending = await aio.spawn(send_until_closed(sock, head))
    reply = b''
    try:
        async with aio.timeout(test_gateway.LIMIT):
            while piece := await sock.recv(1 << 16):
                reply += piece
    except ConnectionResetError:
        pass
    await sending.cancel()
    await sock.close()
    return reply


async def send_until_closed(sock: aio.Socket, head: bytes) -> None:
    try:
        await sock.sendall(head + b'z' * LONG_BODY_BYTES)
    except OSError:
        return


class EarlyResponseTest(unittest.TestCase):
    def reply(self, script: test_gateway.Script) -> bytes:
        replies: list[bytes] = []

        async def main() -> None:
            router = test_gateway.Router()
            await router.start(test_gateway.Upstream(script))
            replies.append(await send_order(router))

        test_gateway.run(main)
        return replies[0]

    def test_reset_of_an_early_response_looks_like_its_end(self) -> None:
        """Guards against half a response that looks whole after a reset."""
        reply = self.reply(reset_midway)
        self.assertNotIn(b'\r\n0\r\n', reply)

    def test_early_response_that_ends_in_order_is_relayed_whole(self) -> None:
        """Guards against cutting a whole response that came early."""
        reply = self.reply(end_in_order)
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'), reply[:100])
        self.assertIn(BODY, reply)
        self.assertTrue(reply.endswith(b'\r\n0\r\n\r\n'), reply[-20:])


class ConnectionTest(unittest.TestCase):
    """The upstream's end of a connection, as the system reports it."""

    async def connect(self, script: test_gateway.Script) -> aio.Socket:
        async def serve(sock: aio.Socket) -> None:
            await script(sock, '')

        listener = aio.Listener(host=test_gateway.HOST, port=0, handler=serve)
        await listener.start()
        return await aio.connect(test_gateway.HOST, listener.port)

    async def begin(self, script: test_gateway.Script) -> http_io.UpstreamConn:
        """Return a connection on which a request with a body was begun."""
        sock = await self.connect(script)
        conn = http_io.UpstreamConn(sock, accept_unframed=True)
        head = http_head.RequestHead(
            method='POST',
            target='/a',
            headers=(('host', 'a'), ('content-length', '1000')),
        )
        await conn.send_head(head)
        return conn

    def test_reset_that_a_failed_send_reports_is_remembered(self) -> None:
        """Guards against a reset that only one call of the system reports."""

        async def main() -> None:
            conn = await self.begin(reset_midway)
            await aio.sleep(ARRIVAL * 2)
            with self.assertRaises(errors.ConnectionLost):
                await conn.send_piece(b'z')
            await conn.read_head()
            with self.assertRaises(errors.ConnectionLost):
                while await conn.read_piece():
                    pass

        entry_harness.run(main)

    def test_reset_after_the_end_of_a_response_leaves_it_whole(self) -> None:
        """Guards against refusing a response that had ended before a reset."""

        async def respond_and_close(sock: aio.Socket, request: str) -> None:
            await sock.recv(1 << 16)
            await sock.sendall(response_start(BODY))
            await sock.close()

        async def main() -> None:
            conn = await self.begin(respond_and_close)
            await aio.sleep(ARRIVAL)
            # The closed upstream resets the connection for what is sent now.
            await conn.send_piece(b'z')
            await aio.sleep(ARRIVAL)
            with self.assertRaises(errors.ConnectionLost):
                await conn.send_piece(b'z')
            await conn.read_head()
            body = b''
            while piece := await conn.read_piece():
                body += piece
            self.assertEqual(body, BODY)

        entry_harness.run(main)

"""Tests of the wrapper around curio."""

from datetime import timedelta
import unittest

from goldcresthaven import aio
from goldcresthaven import errors
from tools import entry_harness

SHORT = timedelta(milliseconds=20)
LONG = timedelta(seconds=20)


class TimeoutTest(unittest.TestCase):
    def test_only_the_expired_block_raises(self) -> None:
        """Guards against a timeout reported by the wrong nested block."""
        cases = ((SHORT, LONG, 'outer'), (LONG, SHORT, 'inner'))

        async def nested(outer: timedelta, inner: timedelta) -> str:
            try:
                async with aio.timeout(outer):
                    try:
                        async with aio.timeout(inner):
                            await aio.sleep(LONG)
                    except errors.DeadlineExceeded:
                        return 'inner'
            except errors.DeadlineExceeded:
                return 'outer'
            return 'none'

        async def test() -> None:
            for outer, inner, expected in cases:
                with self.subTest(expected):
                    self.assertEqual(expected, await nested(outer, inner))
            async with aio.timeout(SHORT):
                pass
            await aio.sleep(2 * SHORT)

        entry_harness.run(test)

    def test_peek_consumes_nothing(self) -> None:
        """Guards against bytes lost by checking for a closed connection."""

        async def test() -> None:
            left, right = entry_harness.socket_pair()
            self.assertIsNone(aio.peek(right))
            await left.sendall(b'ab')
            self.assertEqual(b'a', aio.peek(right))
            self.assertEqual(b'ab', await right.recv(9))
            await left.close()
            self.assertEqual(b'', aio.peek(right))
            await right.close()

        entry_harness.run(test)


class ListenerTest(unittest.TestCase):
    def test_stop_accepts_connections_in_the_backlog(self) -> None:
        """Guards against connections reset by closing the listener."""

        async def test() -> None:
            async def echo(sock: aio.Socket) -> None:
                await sock.sendall(await sock.recv(9))

            listener = aio.Listener(
                host=entry_harness.HOST, port=0, handler=echo
            )
            await listener.start()
            # The accept task must be waiting before the caller connects.
            await aio.sleep(SHORT)
            raw = entry_harness.connect_at_once(listener.port)
            raw.sendall(b'hello')
            await listener.stop()
            self.assertEqual(
                b'hello', await entry_harness.read_until_closed(aio.wrap(raw))
            )
            await listener.wait_closed()

        entry_harness.run(test)

    def test_no_connection_is_accepted_after_the_end(self) -> None:
        """Guards against a failed exit by a connection at the end.

        A readiness probe that arrived while a stopped gateway ended its
        tasks made it exit with code 1.
        """
        callers = []

        async def linger() -> None:
            try:
                await aio.sleep(LONG)
            finally:
                # curio ends the newest tasks first, and the one that accepts
                # connections after this one.
                callers.append(entry_harness.connect_at_once(listener.port))
                await aio.sleep(SHORT)

        async def serve(sock: aio.Socket) -> None:
            await sock.recv(9)

        async def main() -> None:
            await listener.start()
            await aio.spawn(linger())
            await aio.sleep(SHORT)

        listener = aio.Listener(host=entry_harness.HOST, port=0, handler=serve)
        try:
            aio.run(main)
        finally:
            for caller in callers:
                caller.close()
        self.assertEqual(len(callers), 1)

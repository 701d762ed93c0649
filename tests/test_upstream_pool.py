"""Tests of how connections to upstreams end."""

from datetime import timedelta
import unittest

from goldcresthaven import aio
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import members
from goldcresthaven import upstream_pool
from tools import entry_harness

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
LIMIT = 4
# Long enough for bytes to arrive on the loopback interface.
ARRIVAL = timedelta(milliseconds=50)
REQUEST = http_head.RequestHead(
    method='POST', target='/a', headers=(('host', 'a'),)
)


class EndTest(unittest.TestCase):
    def closed_in_order(self, *, reset: bool, retire: bool) -> bool:
        """Return how the end of an idle connection is recorded."""

        async def respond_and_end(sock: aio.Socket) -> None:
            await sock.recv(1 << 16)
            await sock.sendall(RESPONSE)
            # The response is read before the connection ends.
            await aio.sleep(ARRIVAL)
            if reset:
                aio.reset_on_close(sock)
            await sock.close()

        found: list[http_io.UpstreamConn] = []

        async def main() -> None:
            listener = aio.Listener(
                host=entry_harness.HOST, port=0, handler=respond_and_end
            )
            await listener.start()
            address = members.Address(
                host=entry_harness.HOST, port=listener.port
            )
            pool = upstream_pool.UpstreamPool()
            conn = await pool.take_new(address, limit=LIMIT)
            await http_io.fetch(conn, REQUEST, b'', limit=0)
            await pool.give_back(address, conn)
            await aio.sleep(ARRIVAL * 2)
            if retire:
                await pool.retire(address, conn.number)
            else:
                await pool.remove_ended(address)
            found.append(conn)

        entry_harness.run(main)
        return found[0].closed_in_order

    def test_reset_of_an_idle_connection_counts_as_an_orderly_close(
        self,
    ) -> None:
        """Guards against a grant that counts as answered after a reset.

        Bytes that the connection held back are then lost.
        """
        for retire in (False, True):
            with self.subTest(retire=retire):
                self.assertFalse(
                    self.closed_in_order(reset=True, retire=retire)
                )

    def test_orderly_close_is_recorded(self) -> None:
        """Guards against waiting for bytes that have certainly arrived."""
        for retire in (False, True):
            with self.subTest(retire=retire):
                self.assertTrue(
                    self.closed_in_order(reset=False, retire=retire)
                )

"""Minimal HTTP forwarder: accepts connections, parses with h11, forwards.

``python -m bench.bare_forwarder HOST:PORT`` forwards to the given upstream
and prints the address that it listens on. It has no routing, limits,
deadlines or outcomes. ``bench.entry_cost`` uses it as the baseline for the
processor time of an entry process.
"""

import json
import signal
import sys

import h11

from goldcresthaven import aio
from goldcresthaven import members

HOST = '127.0.0.1'
RECV_BYTES = 64 << 10


class Forwarder:
    """Opens one upstream connection for each caller connection."""

    def __init__(self, upstream: members.Address) -> None:
        self._upstream = upstream

    async def serve(self, caller: aio.Socket) -> None:
        upstream = await aio.connect(self._upstream.host, self._upstream.port)
        server = h11.Connection(h11.SERVER)
        client = h11.Connection(h11.CLIENT)
        try:
            while await self._copy(caller, server, upstream, client):
                await self._copy(upstream, client, caller, server)
                server.start_next_cycle()
                client.start_next_cycle()
        finally:
            await upstream.close()

    async def _copy(
        self,
        source: aio.Socket,
        reader: h11.Connection,
        target: aio.Socket,
        writer: h11.Connection,
    ) -> bool:
        """Copy one message; return False if the source closed first."""
        while True:
            event = reader.next_event()
            if event is h11.NEED_DATA:
                reader.receive_data(await source.recv(RECV_BYTES))
                continue
            if isinstance(event, h11.ConnectionClosed):
                return False
            assert not isinstance(event, h11._util.Sentinel)
            data = writer.send(event)
            if data:
                await target.sendall(data)
            if isinstance(event, h11.EndOfMessage):
                return True


async def main(upstream: str) -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    forwarder = Forwarder(members.Address.parse(upstream))
    listener = aio.Listener(host=HOST, port=0, handler=forwarder.serve)
    await listener.start()
    print(json.dumps({'listen': f'{HOST}:{listener.port}'}), flush=True)
    await stop.wait()


if __name__ == '__main__':
    aio.run(main, sys.argv[1])

"""A TCP relay on loopback that delays, holds, resets or refuses traffic."""

from dataclasses import dataclass
from datetime import timedelta
import socket

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import members

RECV_BYTES = 64 << 10
HOLD_CHECK = timedelta(milliseconds=20)


@dataclass(kw_only=True)
class Trouble:
    """What a relay does to its connections.

    Bytes that are held are delivered when the trouble is over, unless one
    side has reset the connection.
    """

    delay: timedelta = timedelta()
    hold_out: bool = False
    hold_back: bool = False
    refuse: bool = False


class Relay:
    """Listens at one address and connects to another."""

    def __init__(self, *, host: str, target: members.Address | None) -> None:
        self.target = target
        self.trouble = Trouble()
        self._pairs: list[tuple[aio.Socket, aio.Socket]] = []
        self._listener = aio.Listener(host=host, port=0, handler=self._serve)
        self.address = members.Address(host=host, port=self._listener.port)

    async def start(self) -> None:
        await self._listener.start()

    async def reset_all(self) -> None:
        """Reset every open connection on both sides."""
        for pair in self._pairs:
            for sock in pair:
                aio.reset_on_close(sock)
                await _end(sock)

    async def _serve(self, client: aio.Socket) -> None:
        if self.trouble.refuse or self.target is None:
            aio.reset_on_close(client)
            return
        try:
            server = await aio.connect(self.target.host, self.target.port)
        except errors.ConnectionFailed:
            aio.reset_on_close(client)
            return
        pair = (client, server)
        self._pairs.append(pair)
        back = await aio.spawn(self._pump(server, client, back=True))
        try:
            await self._pump(client, server, back=False)
        finally:
            await back.cancel()
            await server.close()
            if pair in self._pairs:
                self._pairs.remove(pair)

    async def _pump(
        self, source: aio.Socket, sink: aio.Socket, *, back: bool
    ) -> None:
        """Pass bytes on until one side ends; a reset is passed on too."""
        try:
            while data := await source.recv(RECV_BYTES):
                if self.trouble.delay:
                    await aio.sleep(self.trouble.delay)
                while self._holds(back):
                    await aio.sleep(HOLD_CHECK)
                    # Bytes under way are lost if their sender resets.
                    if aio.peek(source) == b'':
                        aio.reset_on_close(sink)
                        return
                await sink.sendall(data)
        except OSError:
            aio.reset_on_close(sink)
        finally:
            await _end(sink)

    def _holds(self, back: bool) -> bool:
        return self.trouble.hold_back if back else self.trouble.hold_out


async def _end(sock: aio.Socket) -> None:
    """Wake the tasks that use a socket; its owner closes it then."""
    try:
        await sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side has ended the connection already.
        return

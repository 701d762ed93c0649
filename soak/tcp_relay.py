"""A loopback TCP relay that can delay, hold, reset or refuse traffic."""

from dataclasses import dataclass
from datetime import timedelta
import socket

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import members

RECV_BYTES = 64 << 10
HOLD_POLL_INTERVAL = timedelta(milliseconds=20)


@dataclass(kw_only=True)
class RelayFaults:
    """The faults that a relay applies to its connections.

    ``hold_requests`` holds the bytes from the client and ``hold_replies``
    those from the server. Held bytes are delivered when the fault ends,
    unless one side has closed or reset the connection by then.
    """

    delay: timedelta = timedelta()
    hold_requests: bool = False
    hold_replies: bool = False
    refuse: bool = False


class Relay:
    """Forwards connections from its own address to a target."""

    def __init__(self, *, host: str, target: members.Address | None) -> None:
        self.target = target
        self.faults = RelayFaults()
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
                await _shut_down(sock)

    async def _serve(self, client: aio.Socket) -> None:
        if self.faults.refuse or self.target is None:
            aio.reset_on_close(client)
            return
        try:
            server = await aio.connect(self.target.host, self.target.port)
        except errors.ConnectionFailed:
            aio.reset_on_close(client)
            return
        pair = (client, server)
        self._pairs.append(pair)
        replies = await aio.spawn(self._forward(server, client, replies=True))
        try:
            await self._forward(client, server, replies=False)
        finally:
            await replies.cancel()
            await server.close()
            if pair in self._pairs:
                self._pairs.remove(pair)

    async def _forward(
        self, source: aio.Socket, sink: aio.Socket, *, replies: bool
    ) -> None:
        """Forward bytes until the source ends or resets the connection.

        The end, or the reset, is forwarded to the sink.
        """
        try:
            while data := await source.recv(RECV_BYTES):
                if self.faults.delay:
                    await aio.sleep(self.faults.delay)
                while self._is_held(replies):
                    await aio.sleep(HOLD_POLL_INTERVAL)
                    # Held bytes are lost if their sender resets or closes
                    # the connection.
                    if aio.peek(source) == b'':
                        aio.reset_on_close(sink)
                        return
                await sink.sendall(data)
        except OSError:
            aio.reset_on_close(sink)
        finally:
            await _shut_down(sink)

    def _is_held(self, replies: bool) -> bool:
        return (
            self.faults.hold_replies if replies else self.faults.hold_requests
        )


async def _shut_down(sock: aio.Socket) -> None:
    """Shut a socket down, so that the tasks that use it end.

    The task that owns the socket closes it afterwards.
    """
    try:
        await sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection was already ended by the other side.
        return

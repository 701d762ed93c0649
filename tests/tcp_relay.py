"""TCP relays on loopback that cut, hold and release traffic.

There is one relay for each pair of a connecting and a listening process.
All processes get the same membership list, so the relay to the platform
replaces its addresses by those of the relays that the reading process must
use.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import socket

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import members
from tools import entry_harness

RECV_BYTES = 64 << 10
Link = frozenset[str]


@dataclass(kw_only=True, eq=False)
class Conn:
    """A relayed connection.

    ``replies`` collects what the target sends after data for it was held,
    even if the client has closed its end.
    """

    link: Link
    client: aio.Socket
    target: aio.Socket
    held: bool = False
    ended: aio.Event = field(default_factory=aio.Event)
    replies: bytearray = field(default_factory=bytearray)


class Network:
    """The links between the processes of a test.

    Example::

        address = await network.link('entry-0', 'platform', real_address)
        await network.cut(['entry-0'], ['platform'])
        await network.heal()
    """

    def __init__(self) -> None:
        self.conns: list[Conn] = []
        self._cut: set[Link] = set()
        self._held: set[Link] = set()
        self._healed = aio.Event()
        self._relays: dict[str, dict[bytes, bytes]] = {}

    async def link(
        self, source: str, name: str, target: members.Address
    ) -> members.Address:
        """Return the address of a new relay from ``source`` to ``name``."""
        relay_addresses = self._relays.setdefault(source, {})

        async def serve(client: aio.Socket) -> None:
            await self._serve(
                client, frozenset((source, name)), target, relay_addresses
            )

        listener = await entry_harness.listen(serve)
        address = members.Address(host=entry_harness.HOST, port=listener.port)
        relay_addresses[str(target).encode()] = str(address).encode()
        return address

    async def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Close the connections between two groups and refuse new ones."""
        self._cut |= _links(left, right)
        for conn in self.conns:
            if conn.link in self._cut:
                await _shut_down(conn.client, socket.SHUT_RDWR)
                await _shut_down(conn.target, socket.SHUT_RDWR)

    def hold(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Hold the data that two groups send each other until ``heal``."""
        self._held |= _links(left, right)

    async def heal(
        self, left: Iterable[str] = (), right: Iterable[str] = ()
    ) -> None:
        """Restore the links between two groups, or all if none is given."""
        links = _links(left, right)
        for affected in (self._cut, self._held):
            affected -= links or set(affected)
        healed, self._healed = self._healed, aio.Event()
        await healed.set()

    async def _serve(
        self,
        client: aio.Socket,
        link: Link,
        target: members.Address,
        relay_addresses: Mapping[bytes, bytes],
    ) -> None:
        if link in self._cut:
            return
        try:
            sock = await aio.connect(target.host, target.port)
        except errors.ConnectionFailed:
            return
        conn = Conn(link=link, client=client, target=sock)
        self.conns.append(conn)
        replies_task = await aio.spawn(
            self._relay_replies(conn, relay_addresses)
        )
        try:
            await self._relay_requests(conn)
            await conn.ended.wait()
        finally:
            await replies_task.cancel()
            await sock.close()

    async def _relay_requests(self, conn: Conn) -> None:
        """Relay the data that the client sends."""
        while data := await _receive(conn.client):
            if conn.link in self._held:
                conn.held = True
                await self._wait_until_released(conn.link)
            if not await _send(conn.target, data):
                break
        await _shut_down(conn.target, socket.SHUT_WR)

    async def _relay_replies(
        self, conn: Conn, relay_addresses: Mapping[bytes, bytes]
    ) -> None:
        """Relay the data that the target sends."""
        while data := await _receive(conn.target):
            if conn.held:
                conn.replies += data
            await self._wait_until_released(conn.link)
            await _send(conn.client, _translate(data, relay_addresses))
        await _shut_down(conn.client, socket.SHUT_RDWR)
        await conn.ended.set()

    async def _wait_until_released(self, link: Link) -> None:
        while link in self._held:
            await self._healed.wait()


def _links(left: Iterable[str], right: Iterable[str]) -> set[Link]:
    others = list(right)
    return {frozenset((a, b)) for a in left for b in others}


def _translate(data: bytes, relay_addresses: Mapping[bytes, bytes]) -> bytes:
    """Replace the addresses of processes by those of their relays.

    The length stays the same, because ports that the system chooses have
    five digits.
    """
    for target, address in relay_addresses.items():
        assert len(target) == len(address)
        data = data.replace(target, address)
    return data


async def _receive(sock: aio.Socket) -> bytes:
    try:
        return await sock.recv(RECV_BYTES)
    except OSError:
        return b''


async def _send(sock: aio.Socket, data: bytes) -> bool:
    try:
        await sock.sendall(data)
    except OSError:
        return False
    return True


async def _shut_down(sock: aio.Socket, how: int) -> None:
    try:
        await sock.shutdown(how)
    except OSError:
        return

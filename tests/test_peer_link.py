"""Tests of peer connections over loopback."""

from collections.abc import Callable
from collections.abc import Coroutine
from datetime import timedelta
import os
import random
import socket
from typing import Any
import unittest

from websockets import frames as ws_frames

from goldcresthaven import aio
from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import peer_link
from goldcresthaven import peer_session
from goldcresthaven import peer_state
from tests import test_auth

A, B = ids.VmId('vm-a'), ids.VmId('vm-b')
SECOND = timedelta(seconds=1)
TICK = timedelta(milliseconds=5)
QUERY = messages.StatusQuery()
BIG = messages.SnapshotReply(
    log=messages.LogName.MAP,
    version=1,
    offset=0,
    total=1,
    data=bytes(messages.MAX_SNAPSHOT_CHUNK_BYTES),
)


def numbered(number: int) -> messages.Message:
    return messages.SnapshotQuery(log=messages.LogName.MAP, offset=number)


def security(vm: str, ring: auth.KeyRing) -> peer_session.Security:
    system = clock.SystemClock()
    return peer_session.Security(
        verifier=auth.Verifier(ring, target=vm, time=system),
        time=system,
        nonce=lambda: os.urandom(auth.NONCE_BYTES),
    )


def identity(vm: ids.VmId) -> peer_session.Identity:
    return peer_session.Identity(
        vm=vm, zone=ids.ZoneId('z1'), boot=ids.BootId(f'{vm}-1')
    )


class Node:
    """Peer links with a handler that records messages and replies."""

    def __init__(
        self,
        vm: ids.VmId,
        addresses: dict[ids.VmId, members.Address],
        *,
        keys: str = 'k1',
        limits: peer_state.Limits | None = None,
    ) -> None:
        self.vm = vm
        self.addresses = addresses
        self.received: list[messages.Message] = []
        self.events: list[peer_state.LinkEvent] = []
        self.answer_delay = timedelta()
        self.links = peer_link.PeerLinks(
            identity=identity(vm),
            security=security(vm, test_auth.ring(*keys.split())),
            time=clock.SystemClock(),
            address_of=addresses.get,
            handler=self.handle,
            on_event=self.events.append,
            rng=random.Random(1),
            limits=limits,
        )

    async def start(self) -> None:
        port = await self.links.listen('127.0.0.1', 0)
        self.addresses[self.vm] = members.Address(host='127.0.0.1', port=port)

    async def handle(
        self, vm: ids.VmId, message: messages.Message
    ) -> messages.Message | None:
        self.received.append(message)
        if isinstance(message, messages.StatusQuery):
            await aio.sleep(self.answer_delay)
            return messages.Refusal(reason=f'{self.vm} to {vm}')
        if isinstance(message, messages.TimelineQuery):
            raise errors.ProtocolError('no timeline', remedy='none')
        return None

    def has_event(self, kind: peer_state.LinkEventKind) -> bool:
        return any(e.kind is kind for e in self.events)


async def until(condition: Callable[[], bool]) -> None:
    async with aio.timeout(10 * SECOND):
        while not condition():
            await aio.sleep(TICK)


class PeerLinkTest(unittest.TestCase):
    def run_pair(
        self,
        body: Callable[[Node, Node], Coroutine[Any, Any, None]],
        *,
        keys_b: str = 'k1',
        limits: peer_state.Limits | None = None,
    ) -> None:
        """Run ``body`` with two listening nodes and close them."""
        finished = []

        async def main() -> None:
            addresses: dict[ids.VmId, members.Address] = {}
            a = Node(A, addresses, limits=limits)
            b = Node(B, addresses, keys=keys_b)
            await a.start()
            await b.start()
            try:
                await body(a, b)
            finally:
                await a.links.close(TICK)
                await b.links.close(TICK)
            finished.append(True)

        aio.run(main)
        self.assertTrue(finished)

    def test_requests_both_ways_over_one_connection(self) -> None:
        """Guards against a second connection for the other direction."""

        async def body(a: Node, b: Node) -> None:
            for node, other in ((a, b), (b, a)):
                reply = await node.links.request(other.vm, QUERY, SECOND)
                self.assertEqual(
                    reply,
                    messages.Refusal(reason=f'{other.vm} to {node.vm}'),
                )
            reply = await a.links.request(B, messages.TimelineQuery(), SECOND)
            self.assertIsInstance(reply, messages.Refusal)
            self.assertEqual(len(a.events), 1)
            self.assertEqual(len(b.events), 1)

        self.run_pair(body)

    def test_send_while_closing(self) -> None:
        """Guards against a traceback each time that a connection closes.

        It occurred when a frame was queued after the peer had closed the
        connection and before the reader had received the close frame.
        """

        async def body(a: Node, b: Node) -> None:
            await a.links.request(B, QUERY, SECOND)
            link = a.links._peers[B].link
            assert link is not None
            link.session.close()
            with self.assertRaises(errors.ConnectionLost):
                link.session.send(b'')
            await a.links.send(B, QUERY)
            await until(lambda: a.has_event(peer_state.LinkEventKind.CLOSED))
            self.assertNotIn('handler', a.events[-1].detail)

        self.run_pair(body)

    def test_crossed_connections(self) -> None:
        """Guards against losing both of two simultaneous connections."""

        async def body(a: Node, b: Node) -> None:
            replies: list[messages.Message] = []

            async def ask(node: Node, other: Node) -> None:
                replies.append(
                    await node.links.request(other.vm, QUERY, 3 * SECOND)
                )

            tasks = [
                await aio.spawn(ask(a, b)),
                await aio.spawn(ask(b, a)),
            ]
            for task in tasks:
                await task.join()
            self.assertEqual(len(replies), 2)
            await until(
                lambda: len(a.links._links) == len(b.links._links) == 1
            )
            (left,) = a.links._links
            (right,) = b.links._links
            self.assertEqual(left.initiator, right.initiator)

        self.run_pair(body)

    def test_order_and_large_messages(self) -> None:
        """Guards against reordering and a limit below 1 MiB."""

        async def body(a: Node, b: Node) -> None:
            sent: list[messages.Message] = [BIG]
            sent += [numbered(i) for i in range(99)]
            for message in sent:
                self.assertTrue(await a.links.send(B, message))
            await until(lambda: len(b.received) == len(sent))
            self.assertEqual(b.received, sent)

        self.run_pair(body)

    def test_slow_peer_is_dropped(self) -> None:
        """Guards against a peer that does not read and so blocks others."""

        async def body(a: Node, b: Node) -> None:
            await a.links.request(B, QUERY, SECOND)
            b.answer_delay = 60 * SECOND
            await a.links.send(B, QUERY)
            started = clock.SystemClock().elapsed()
            while not a.has_event(peer_state.LinkEventKind.TOO_SLOW):
                await a.links.send(B, BIG)
                await aio.sleep(timedelta())
            took = clock.SystemClock().elapsed() - started
            self.assertLess(took, 5 * SECOND)
            peer = a.links._peers[B]
            self.assertLessEqual(peer.queued_bytes, 2 << 20)

        self.run_pair(body)

    def test_send_after_the_peer_closed(self) -> None:
        """Guards against an exception other than ConnectionLost."""
        ring = test_auth.ring('k1')
        server = peer_session.ServerSession(
            identity=identity(B), security=security(B, ring)
        )
        client = peer_session.ClientSession(
            identity=identity(A),
            security=security(A, ring),
            target=B,
            authority='127.0.0.1:1',
        )
        while client.peer is None:
            server.receive(client.output())
            client.receive(server.output())
        client.send(messages.encode(messages.Frame(message=QUERY)))
        self.assertEqual(1, len(server.receive(client.output())))
        server.close()
        with self.assertRaises(errors.ConnectionLost):
            client.receive(server.output())
        with self.assertRaises(errors.ConnectionLost):
            client.send(messages.encode(messages.Frame(message=QUERY)))

    def test_unresponsive_peer(self) -> None:
        """Guards against a connection that stays open without replies."""

        async def body(a: Node, b: Node) -> None:
            await a.links.request(B, QUERY, SECOND)
            b.answer_delay = 60 * SECOND
            with self.assertRaises(errors.DeadlineExceeded):
                await a.links.request(B, QUERY, 20 * TICK)
            await until(lambda: not a.links.connected)

        self.run_pair(body)

    def test_reconnect_with_backoff(self) -> None:
        """Guards against too many connection attempts to a stopped peer."""

        async def body(a: Node, b: Node) -> None:
            await a.links.request(B, QUERY, SECOND)
            await b.links.close(TICK)
            await until(lambda: not a.links.connected)
            for _ in range(200):
                await a.links.send(B, QUERY)
                await aio.sleep(timedelta(milliseconds=1))
            failed = [
                e
                for e in a.events
                if e.kind is peer_state.LinkEventKind.FAILED
            ]
            self.assertIn(len(failed), (1, 2, 3))
            restarted = Node(B, a.addresses)
            await restarted.start()
            await until_reply(a)
            await restarted.links.close(TICK)

        async def until_reply(node: Node) -> None:
            for _ in range(400):
                try:
                    await node.links.request(B, QUERY, SECOND)
                    return
                except errors.Error:
                    await aio.sleep(TICK)
            self.fail('no reconnect')

        self.run_pair(body)

    def test_peer_with_wrong_key_is_refused(self) -> None:
        """Guards against accepting a peer without the shared key."""

        async def body(a: Node, b: Node) -> None:
            with self.assertRaises(errors.Error):
                await a.links.request(B, QUERY, SECOND)
            self.assertTrue(b.has_event(peer_state.LinkEventKind.REFUSED))
            self.assertEqual(b.received, [])

        self.run_pair(body, keys_b='k2')

    def test_hostile_clients(self) -> None:
        """Guards against accepting invalid input from a client.

        The link events distinguish failed authentication from bad data.
        """
        key = test_auth.ring('k1')
        frame = messages.encode(messages.Frame(message=QUERY))

        def client() -> peer_session.ClientSession:
            return peer_session.ClientSession(
                identity=identity(A),
                security=security(A, key),
                target=B,
                authority='127.0.0.1:1',
            )

        async def body(a: Node, b: Node) -> None:
            once, damaged, large = (encoded_hello(client()) for _ in range(3))
            too_much = bytes(messages.MAX_MESSAGE_BYTES + 1)
            cases: list[tuple[str, bytes | None, list[bytes], str]] = [
                ('no HTTP', b'\x00\xff\r\n', [], 'malformed'),
                ('long line', b'GET /' + b'x' * 9999, [], 'malformed'),
                ('other path', b'GET / HTTP/1.1\r\n\r\n', [], 'malformed'),
                ('no Hello', None, [frame], 'malformed'),
                ('not CBOR', None, [b'\xff\xff'], 'malformed'),
                ('large before Hello', None, [bytes(5000)], 'malformed'),
                ('first use', None, [once], 'opened'),
                ('replayed handshake', None, [once], 'refused'),
                ('bad frame', None, [damaged, b'\x80'], 'malformed'),
                ('oversized', None, [large, too_much], 'malformed'),
            ]
            for name, raw, frames, expected in cases:
                with self.subTest(name):
                    b.events.clear()
                    await attack(b.addresses[B], raw, frames)
                    await until(lambda: expected in changes(b))
            self.assertEqual(b.received, [])
            reply = await a.links.request(B, QUERY, SECOND)
            self.assertIsInstance(reply, messages.Refusal)

        def encoded_hello(session: peer_session.ClientSession) -> bytes:
            return messages.encode(messages.Frame(message=session._hello))

        def changes(node: Node) -> list[str]:
            return [e.kind.value for e in node.events]

        async def attack(
            address: members.Address, raw: bytes | None, frames: list[bytes]
        ) -> None:
            sock = await aio.connect(address.host, address.port)
            request = client()
            try:
                await sock.sendall(request.output() if raw is None else raw)
                if raw is None:
                    await sock.recv(4096)
                for data in frames:
                    await sock.sendall(masked(data))
                    await aio.sleep(4 * TICK)
            except OSError:
                pass  # The node may close before all is sent.
            await sock.close()

        def masked(data: bytes) -> bytes:
            frame = ws_frames.Frame(ws_frames.Opcode.BINARY, data)
            return frame.serialize(mask=True)

        self.run_pair(body)

    def test_client_that_never_authenticates(self) -> None:
        """Guards against connections that stay open without authentication."""

        async def body(a: Node, b: Node) -> None:
            address = a.addresses[A]
            socks = [
                socket.create_connection((address.host, address.port))
                for _ in range(4)
            ]
            try:
                await until(
                    lambda: a.has_event(peer_state.LinkEventKind.REFUSED)
                )
                await until(
                    lambda: a.has_event(peer_state.LinkEventKind.FAILED)
                )
            finally:
                for sock in socks:
                    sock.close()

        self.run_pair(
            body,
            limits=peer_state.Limits(unauthenticated=2, handshake=20 * TICK),
        )

"""Runs the request path of an entry in this process for tests.

The upstreams are scripted, and all connections are loopback sockets.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import socket
from typing import Any

from goldcresthaven import aio
from goldcresthaven import caller_server
from goldcresthaven import clock as clock_module
from goldcresthaven import dedup
from goldcresthaven import dispatch
from goldcresthaven import forwarding
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import request_history
from goldcresthaven import routing
from goldcresthaven import settings
from goldcresthaven import shards
from goldcresthaven import tables
from goldcresthaven import upstream_pool
from tools import http_client
from tools import local_gate

HOST = '127.0.0.1'
TEST_TIMEOUT = timedelta(seconds=30)
MAX_CHECKS = 500
CHECK_INTERVAL = timedelta(milliseconds=10)

ConnectionHandler = Callable[[aio.Socket], Coroutine[Any, Any, None]]

KEYED = ids.PoolName('keyed')
FREE = ids.PoolName('free')
STORED = ids.PoolName('stored')


_listeners: list[aio.Listener] = []
_pools: list[upstream_pool.UpstreamPool] = []


async def listen(handler: ConnectionHandler) -> aio.Listener:
    """Start a listener that runs until the test ends."""
    listener = aio.Listener(host=HOST, port=0, handler=handler)
    await listener.start()
    _listeners.append(listener)
    return listener


def socket_pair() -> tuple[aio.Socket, aio.Socket]:
    left, right = socket.socketpair()
    return aio.wrap(left), aio.wrap(right)


def connect_at_once(port: int) -> socket.socket:
    """Connect synchronously, so that no task can accept in the meantime."""
    return socket.create_connection((HOST, port))


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run an async test with a timeout, then stop its listeners and pools."""

    async def limited() -> None:
        try:
            async with aio.timeout(TEST_TIMEOUT):
                await test()
        finally:
            while _listeners:
                await _listeners.pop().stop()
            while _pools:
                await _pools.pop().close()

    aio.run(limited)


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fails after ``MAX_CHECKS`` checks."""
    for _ in range(MAX_CHECKS):
        if condition():
            return
        await aio.sleep(CHECK_INTERVAL)
    raise AssertionError('the condition did not become true in time')


def make_document(deadline: str = '2s') -> presets.Document:
    rank = {'target': '500ms', 'deadline': deadline, 'floor': 0.3}
    raw = {
        'pools': [
            {
                'name': KEYED,
                'keyed': True,
                'shards': 1,
                'slots': 4,
                'connections': 8,
            },
            {
                'name': FREE,
                'keyed': False,
                'slots': 4,
                'connections': 8,
                'dedup': 'none',
            },
            {
                'name': STORED,
                'keyed': False,
                'slots': 4,
                'connections': 8,
                'dedup': 'store',
            },
        ],
        'routes': [
            {
                'prefix': '/keyed/',
                'pool': KEYED,
                'rank': 'standard',
                'key_segment': 1,
                'idempotent': True,
            },
            {
                'prefix': '/pay/',
                'pool': FREE,
                'rank': 'urgent',
                'idempotent': False,
            },
            {
                'prefix': '/book/',
                'pool': STORED,
                'rank': 'urgent',
                'idempotent': False,
            },
            {
                'prefix': '/free/',
                'pool': FREE,
                'rank': 'bulk',
                'idempotent': True,
            },
        ],
        'presets': [
            {'name': 'ordinary', 'urgent': rank, 'standard': rank}
            | {'bulk': rank}
        ],
        'in_force': 'ordinary',
    }
    return presets.Document.model_validate(raw)


@dataclass(kw_only=True)
class FixedViews:
    """Provides a view that only the test changes."""

    view: dispatch.View | None
    on_refresh: Callable[[], None] = lambda: None

    def current(self) -> dispatch.View | None:
        return self.view

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        self.on_refresh()


@dataclass(kw_only=True)
class UnavailableStore:
    """A store that is unreachable: every transaction is ambiguous."""

    async def transact(
        self, txn: tables.Transaction, *, timeout: timedelta
    ) -> tables.Result:
        return tables.Ambiguous(detail='no store')


@dataclass(kw_only=True)
class ScriptedUpstream:
    """An upstream that runs a script for each connection."""

    listener: aio.Listener
    connections: int = 0
    received: list[bytes] = field(default_factory=list)

    @property
    def address(self) -> members.Address:
        return members.Address(host=HOST, port=self.listener.port)


async def start_scripted(
    script: Callable[
        [ScriptedUpstream, aio.Socket], Coroutine[Any, Any, None]
    ],
) -> ScriptedUpstream:
    async def handle(sock: aio.Socket) -> None:
        upstream.connections += 1
        await script(upstream, sock)

    upstream = ScriptedUpstream(listener=await listen(handle))
    return upstream


async def read_head(upstream: ScriptedUpstream, sock: aio.Socket) -> bytes:
    """Read until the blank line that ends a head; add it to ``received``."""
    data = b''
    while b'\r\n\r\n' not in data:
        piece = await sock.recv(65536)
        if not piece:
            break
        data += piece
    upstream.received.append(data)
    return data


def answering(*responses: bytes, close: bool = True) -> Any:
    """Return a script that answers each request with the next response.

    Afterwards the connection is closed, or left open until the other side
    closes it if ``close`` is false.
    """

    async def script(upstream: ScriptedUpstream, sock: aio.Socket) -> None:
        for response in responses:
            if not await read_head(upstream, sock):
                return
            await sock.sendall(response)
        while not close and await sock.recv(65536):
            pass

    return script


@dataclass(kw_only=True)
class EntryHarness:
    """A running request path and the parts that tests look at."""

    server: caller_server.CallerServer
    listener: aio.Listener
    views: FixedViews
    conns: upstream_pool.UpstreamPool
    history: request_history.RequestHistory
    accepted: list[aio.Socket] = field(default_factory=list)

    @property
    def address(self) -> members.Address:
        return members.Address(host=HOST, port=self.listener.port)

    async def fetch(
        self, method: str, target: str, **kwargs: Any
    ) -> http_client.Response:
        return await http_client.fetch(self.address, method, target, **kwargs)

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes and return everything until the connection closes."""
        sock = await aio.connect(HOST, self.listener.port)
        await sock.sendall(data)
        return await read_until_closed(sock)


async def read_until_closed(sock: aio.Socket) -> bytes:
    parts = []
    try:
        while piece := await sock.recv(65536):
            parts.append(piece)
    except OSError:
        pass
    await sock.close()
    return b''.join(parts)


async def start(
    upstreams: dict[str, members.Address],
    *,
    deadline: str = '2s',
    store: dedup.Store | None = None,
    clock: clock_module.Clock | None = None,
    conns: upstream_pool.UpstreamPool | None = None,
    records: dedup.Records | None = None,
    limits: settings.Limits | None = None,
    server_type: type[caller_server.CallerServer] = (
        caller_server.CallerServer
    ),
) -> EntryHarness:
    """Start a request path; the first upstream owns all keys of 'keyed'."""
    clock = clock or clock_module.SystemClock()
    views = FixedViews(view=make_view(upstreams, deadline))
    conns = conns or upstream_pool.UpstreamPool()
    _pools.append(conns)
    history = request_history.RequestHistory(vm=ids.VmId('entry'), clock=clock)
    server = server_type(
        views=views,
        gate=local_gate.LocalGate(views=views, clock=clock),
        records=records or dedup.Records(store=store or UnavailableStore()),
        forwarder=forwarding.Forwarder(conns=conns, clock=clock),
        history=history,
        clock=clock,
        limits=limits,
    )
    accepted: list[aio.Socket] = []

    async def serve(sock: aio.Socket) -> None:
        accepted.append(sock)
        await server.serve(sock)

    return EntryHarness(
        server=server,
        listener=await listen(serve),
        views=views,
        conns=conns,
        history=history,
        accepted=accepted,
    )


def make_view(
    upstreams: dict[str, members.Address], deadline: str = '2s'
) -> dispatch.View:
    names = list(upstreams)
    owner = ids.UpstreamId(names[0]) if names else None
    shard = shards.Shard(
        shard_id=ids.ShardId('keyed/0'),
        pool=KEYED,
        low=0,
        high=shards.HASH_SPACE,
        owner=owner,
    )
    change = shards.MapChange(
        version=ids.MapVersion(1), txn=ids.TxnId('t'), shards=(shard,)
    )
    listed = {}
    for name, address in upstreams.items():
        pool, _, _ = name.partition('-')
        listed[ids.UpstreamId(name)] = members.Member(
            vm=ids.VmId(name),
            zone=ids.ZoneId('a'),
            role=members.Role.UPSTREAM,
            state=members.MemberState.LIVE,
            address=address,
            pool=ids.PoolName(pool),
        )
    return dispatch.View(
        config_version=ids.ConfigVersion(1),
        document=make_document(deadline),
        shard_map=shards.ShardMap().apply(change),
        upstreams=listed,
    )


def ok_response(body: bytes, *extra: bytes) -> bytes:
    """Return the bytes of a complete response with status 200."""
    lines = [b'HTTP/1.1 200 OK', b'Content-Length: %d' % len(body), *extra]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def reason_header(response: bytes) -> str | None:
    """Return the value of X-Reason from the bytes of a response."""
    for line in response.split(b'\r\n'):
        if line.lower().startswith(b'x-reason:'):
            return line.split(b':', 1)[1].strip().decode()
    return None

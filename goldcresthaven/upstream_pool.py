"""Pool of connections to upstreams.

A connection is reused only after a complete exchange.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Container
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import members

CONNECT_TIMEOUT = timedelta(seconds=1)


UnsolicitedHandler = Callable[
    [http_io.UpstreamConn, http_head.ResponseHead], None
]


@dataclass(kw_only=True, slots=True)
class _Endpoint:
    idle: deque[http_io.UpstreamConn] = field(default_factory=deque)
    open_count: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class MaxIdle:
    """How long a connection may be idle before it is no longer used.

    Connections may go silent without a reset, which only a timeout shows.
    """

    duration: timedelta
    clock: clock_module.Clock


class UpstreamPool:
    """Open connections by address.

    ``opened`` counts all connections since the start. A connection is taken
    out of ``idle`` for an exchange, so that no task reads the response of
    another. It is put back only if the exchange was complete; otherwise a
    late response could be taken for the response to the next request.
    """

    def __init__(
        self,
        *,
        accept_unframed: bool = False,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
        max_idle: MaxIdle | None = None,
    ) -> None:
        self._max_idle = max_idle
        self._connect_timeout = connect_timeout
        self._accept_unframed = accept_unframed
        self._endpoints: dict[members.Address, _Endpoint] = {}
        self.opened = 0
        self._on_unsolicited: UnsolicitedHandler | None = None

    def on_unsolicited(self, handler: UnsolicitedHandler) -> None:
        """Pass on heads of responses that end idle connections."""
        self._on_unsolicited = handler

    def open_count(self, address: members.Address) -> int:
        endpoint = self._endpoints.get(address)
        return endpoint.open_count if endpoint else 0

    async def take(
        self,
        address: members.Address,
        *,
        limit: int,
        excluded: Container[int] = (),
    ) -> http_io.UpstreamConn:
        """Return an idle or a new connection.

        Its number is not in ``excluded``. Raises ConnectionFailed if no
        connection can be opened, or if this process already has ``limit``
        connections to the endpoint.
        """
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        while (conn := _pop_idle(endpoint, excluded)) is not None:
            if conn.is_idle() and not self._is_overdue(conn):
                conn.begin()
                return conn
            head = conn.unsolicited_head() if self._on_unsolicited else None
            if self._on_unsolicited is not None and head is not None:
                self._on_unsolicited(conn, head)
            await self._close(endpoint, conn)
        if endpoint.idle and endpoint.open_count >= limit:
            await self._close(endpoint, endpoint.idle.popleft())
        return await self.take_new(address, limit=limit)

    async def take_new(
        self, address: members.Address, *, limit: int
    ) -> http_io.UpstreamConn:
        """Return a new connection; raises the same errors as ``take``."""
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        if endpoint.open_count >= limit:
            raise errors.ConnectionFailed(
                f'all {limit} connections to {address} are in use',
                remedy='raise the connection limit or add upstreams',
            )
        return await self._open(endpoint, address)

    async def make_room(self, address: members.Address, *, limit: int) -> None:
        """Reset idle connections until fewer than ``limit`` are open.

        Those that the upstream has closed go first, then the newest ones:
        an old connection also serves what was sent over newer ones.
        """
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        await self.remove_ended(address)
        while endpoint.open_count >= limit and len(endpoint.idle) > 1:
            newest = max(endpoint.idle, key=lambda conn: conn.number)
            endpoint.idle.remove(newest)
            await self.discard(address, newest)

    async def remove_ended(
        self, address: members.Address
    ) -> list[http_io.UpstreamConn]:
        """Reset idle connections that were closed or have unread input.

        Returns those with input: nobody waited for it, so it is a second
        copy of a response, or not a response to a call.
        """
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        with_input = []
        for conn in list(endpoint.idle):
            if conn.is_idle():
                continue
            if conn.has_input():
                with_input.append(conn)
            else:
                conn.note_end()
            endpoint.idle.remove(conn)
            await self.discard(address, conn)
        return with_input

    async def retire(self, address: members.Address, number: int) -> None:
        """Reset an idle connection; one in use must not be kept."""
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        for conn in list(endpoint.idle):
            if conn.number == number:
                if not conn.is_idle() and not conn.has_input():
                    conn.note_end()
                endpoint.idle.remove(conn)
                await self.discard(address, conn)

    def take_opened_before(
        self, address: members.Address, *, opened: int
    ) -> http_io.UpstreamConn | None:
        """Return the oldest idle connection opened before a given moment.

        Using one connection as long as possible leaves no last grant on the
        others, which would have to be reset for a bound on it.
        ``opened`` is the value of the attribute ``opened`` at that moment.
        """
        endpoint = self._endpoints.setdefault(address, _Endpoint())
        for conn in sorted(endpoint.idle, key=lambda conn: conn.number):
            if conn.number <= opened and conn.is_idle():
                endpoint.idle.remove(conn)
                conn.begin()
                return conn
        return None

    async def give_back(
        self, address: members.Address, conn: http_io.UpstreamConn
    ) -> None:
        """Keep the connection if its exchange was complete, else close it."""
        endpoint = self._endpoints[address]
        if conn.is_reusable():
            if self._max_idle is not None:
                conn.idle_since = self._max_idle.clock.elapsed()
            endpoint.idle.append(conn)
        else:
            await self._close(endpoint, conn)

    async def discard(
        self, address: members.Address, conn: http_io.UpstreamConn
    ) -> None:
        """Reset a connection; bytes that are still in transit are dropped."""
        self._endpoints[address].open_count -= 1
        await conn.abort()

    async def close(self) -> None:
        """Close all idle connections."""
        for endpoint in self._endpoints.values():
            while endpoint.idle:
                await self._close(endpoint, endpoint.idle.pop())

    def _is_overdue(self, conn: http_io.UpstreamConn) -> bool:
        """Return whether a connection was idle for longer than allowed."""
        allowed = self._max_idle
        if allowed is None or conn.idle_since is None:
            return False
        return allowed.clock.elapsed() - conn.idle_since > allowed.duration

    async def _open(
        self, endpoint: _Endpoint, address: members.Address
    ) -> http_io.UpstreamConn:
        endpoint.open_count += 1
        try:
            async with aio.timeout(self._connect_timeout):
                sock = await aio.connect(address.host, address.port)
        except errors.DeadlineExceeded as exc:
            endpoint.open_count -= 1
            raise errors.ConnectionFailed(
                f'connecting to {address} timed out',
                remedy='check that the upstream is up and reachable',
            ) from exc
        except BaseException:
            endpoint.open_count -= 1
            raise
        self.opened += 1
        return http_io.UpstreamConn(
            sock, accept_unframed=self._accept_unframed, number=self.opened
        )

    async def _close(
        self, endpoint: _Endpoint, conn: http_io.UpstreamConn
    ) -> None:
        endpoint.open_count -= 1
        await conn.close()


def _pop_idle(
    endpoint: _Endpoint, excluded: Container[int]
) -> http_io.UpstreamConn | None:
    """Remove and return the connection that was used last, if there is one."""
    for index in reversed(range(len(endpoint.idle))):
        conn = endpoint.idle[index]
        if conn.number not in excluded:
            del endpoint.idle[index]
            return conn
    return None

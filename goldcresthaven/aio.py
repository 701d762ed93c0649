"""Typed wrapper around curio.

curio is unmaintained and has no type annotations. Drivers use only this
module, so that replacing curio later changes one module.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from datetime import timedelta
import fcntl
import logging
import signal
import socket
import struct
import sys
import termios
from types import TracebackType
from typing import Any
from typing import cast
from typing import Protocol

import curio
from curio import io as curio_io
from curio import network
from curio import task as curio_task

from goldcresthaven import errors

# curio warns whenever a block overruns its timeout without blocking, which
# would flood the log of an overloaded process. Callers recheck the deadlines
# that matter.
logging.getLogger('curio.time').setLevel(logging.ERROR)

Cancelled = curio.CancelledError

LISTEN_BACKLOG = 512
# A dead idle connection that was not reset is detected within
# KEEPALIVE_INTERVAL_S * (1 + KEEPALIVE_PROBES) seconds.
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)
# Steps that a task takes at most before others run. Each relays up to 64 KiB.
STEPS_PER_TURN = 8


class Socket(Protocol):
    """The methods of curio's socket that drivers use."""

    async def recv(self, maxsize: int) -> bytes: ...

    async def send(self, data: bytes | memoryview) -> int: ...

    async def sendall(self, data: bytes) -> None: ...

    async def shutdown(self, how: int) -> None: ...

    async def close(self) -> None: ...


class Task(Protocol):
    """A running task."""

    async def cancel(self) -> bool: ...

    async def join(self) -> Any: ...

    @property
    def terminated(self) -> bool: ...


class Event:
    """A flag that tasks can wait for."""

    def __init__(self) -> None:
        self._event = curio.Event()

    def is_set(self) -> bool:
        return bool(self._event.is_set())

    def clear(self) -> None:
        self._event.clear()

    async def set(self) -> None:
        await self._event.set()

    async def wait(self) -> None:
        await self._event.wait()


def run(main: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run an async function until it returns.

    ContextTask gives each task its own context variables. With curio's
    default tasks, eliot's action context leaks from one request into
    another.

    No connection is accepted after the function has returned: curio fails if
    a task starts while it ends the others.
    """

    async def run_and_stop_accepting() -> None:
        try:
            await main(*args)
        finally:
            for listener in list(_accepting):
                await listener.stop_accepting()

    with curio.Kernel(taskcls=curio_task.ContextTask) as kernel:
        kernel.run(run_and_stop_accepting)


async def spawn(coro: Coroutine[Any, Any, Any]) -> Task:
    """Start a background task, which need not be joined."""
    return cast(Task, await curio.spawn(coro, daemon=True))


class Turns:
    """Lets other tasks run after some steps of a loop.

    curio changes tasks, and checks timeouts, only where a task waits. A loop
    whose peer is always ready never waits.
    """

    def __init__(self) -> None:
        self._steps = 0

    async def step(self) -> None:
        """Count a step; nothing may be in flight that a timeout would lose."""
        self._steps += 1
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await curio.sleep(0)


async def sleep(duration: timedelta) -> None:
    await curio.sleep(max(duration.total_seconds(), 0.0))


class timeout:
    """Limit the duration of a block.

    Raises DeadlineExceeded when the block does not finish in time. It is a
    class because contextlib would need an async generator, which curio
    rejects in a task that is discarded before it finishes.
    """

    def __init__(self, duration: timedelta) -> None:
        self._seconds = max(duration.total_seconds(), 0.0)
        self._inner = curio.timeout_after(self._seconds)

    async def __aenter__(self) -> None:
        await self._inner.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        try:
            await self._inner.__aexit__(kind, value, traceback)
        except curio.TaskTimeout:
            raise self._deadline_exceeded() from None
        # If the timeout of an outer block had expired, curio would have raised
        # TimeoutCancellationError above. A TaskTimeout that it lets pass
        # belongs to this block.
        if kind is curio.TaskTimeout:
            raise self._deadline_exceeded() from None

    def _deadline_exceeded(self) -> errors.DeadlineExceeded:
        return errors.DeadlineExceeded(
            f'no result within {self._seconds:.3f} s',
            remedy='retry later or raise the deadline',
        )


async def connect(host: str, port: int) -> Socket:
    """Open a TCP connection.

    Raises ConnectionFailed, in which case nothing has been sent.
    """
    # curio's helper resolves the host name in a thread. Hosts are IP addresses
    # here, so no thread is needed.
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    sock = curio_io.Socket(raw)
    try:
        await sock.connect((host, port))
    except OSError as exc:
        await sock.close()
        raise errors.ConnectionFailed(
            f'cannot connect to {host}:{port}: {exc}',
            remedy='check that the process is up and reachable',
        ) from exc
    except Cancelled:
        await sock.close()
        raise
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S
    )
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return cast(Socket, sock)


def peek(sock: Socket) -> bytes | None:
    """Return the next received byte without blocking or consuming it.

    Returns None when no data has arrived, and empty bytes when the other
    side has closed the connection. Raises OSError if the connection has
    failed; the system reports this once, and an orderly end from then on.
    """
    raw = cast(Any, sock)._socket
    if raw is None:
        return b''
    try:
        return bytes(raw.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None


def receive_nowait(sock: Socket, size: int) -> bytes | None:
    """Return received data without blocking, or None if there is none.

    Returns empty bytes when the other side has closed the connection, and
    raises OSError as ``peek`` does.
    """
    raw = cast(Any, sock)._socket
    if raw is None:
        return b''
    try:
        return bytes(raw.recv(size))
    except BlockingIOError:
        return None


def limit_unacknowledged(sock: Socket, duration: timedelta) -> None:
    """Limit how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).

    After that the connection is dropped. With zero the default of the
    operating system applies, which is minutes.
    """
    raw = cast(Any, sock)._socket
    if raw is not None:
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(duration / timedelta(milliseconds=1)),
        )


def unacknowledged(sock: Socket) -> int:
    """Return how many sent bytes the other side has not acknowledged yet."""
    raw = cast(Any, sock)._socket
    if raw is None:
        return 0
    try:
        found = fcntl.ioctl(raw, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(found, sys.byteorder)


def reset_on_close(sock: Socket) -> None:
    """Make closing the socket reset its connection."""
    raw = cast(Any, sock)._socket
    if raw is not None:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )


def wrap(sock: socket.socket) -> Socket:
    """Wrap a plain socket, such as one of a socket pair, for drivers."""
    return cast(Socket, curio_io.Socket(sock))


# The listeners of this process that accept connections.
_accepting: 'set[Listener]' = set()


class Listener:
    """A listening TCP socket that starts one task per connection."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: Callable[[Socket], Coroutine[Any, Any, None]],
    ) -> None:
        self._handler = handler
        self._open_connections = 0
        self._connection_ended = Event()
        self._sock = network.tcp_server_socket(
            host, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self._task: Task | None = None
        self._turns = Turns()

    @property
    def port(self) -> int:
        return int(self._sock.getsockname()[1])

    async def start(self) -> None:
        self._task = await spawn(self._accept())
        _accepting.add(self)

    async def stop_accepting(self) -> None:
        """Stop accepting; the socket and its backlog stay open."""
        _accepting.discard(self)
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def stop(self) -> None:
        """Stop accepting; connections already accepted continue.

        Closing the socket resets the connections in the backlog, so these
        are accepted first.
        """
        if self._task is None:
            return
        await self.stop_accepting()
        while (client := self._accept_nowait()) is not None:
            await self._start_handler(client)
        await self._sock.close()

    async def wait_closed(self) -> None:
        """Wait until all accepted connections have ended."""
        while self._open_connections:
            self._connection_ended.clear()
            await self._connection_ended.wait()

    async def _accept(self) -> None:
        while True:
            await self._turns.step()
            try:
                client, _ = await self._sock.accept()
            except OSError:
                # Out of file descriptors, or the caller has already
                # disconnected. An uncaught exception would end this task, and
                # no connection would be accepted any more.
                await sleep(ACCEPT_RETRY_DELAY)
                continue
            await self._start_handler(client)

    def _accept_nowait(self) -> Any:
        try:
            raw, _ = self._sock._socket.accept()
        except OSError:
            return None
        return curio_io.Socket(raw)

    async def _start_handler(self, client: Any) -> None:
        self._open_connections += 1
        await spawn(self._serve(client))

    async def _serve(self, client: Any) -> None:
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._handler(client)
        except OSError:
            return
        finally:
            self._open_connections -= 1
            await client.close()
            await self._connection_ended.set()


class DatagramSocket:
    """A UDP socket; datagrams that cannot be sent at once are dropped."""

    def __init__(self, *, host: str, port: int) -> None:
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.bind((host, port))
        self._raw = raw
        self._sock = curio_io.Socket(raw)
        self._turns = Turns()

    @property
    def port(self) -> int:
        return int(self._raw.getsockname()[1])

    def send(self, data: bytes, host: str, port: int) -> bool:
        """Send a datagram; returns whether the system accepted it."""
        try:
            self._raw.sendto(data, (host, port))
        except OSError:
            return False
        return True

    async def receive(self, size: int) -> tuple[bytes, str, int]:
        """Return the next datagram and the address of its sender."""
        await self._turns.step()
        data, (host, port) = await self._sock.recvfrom(size)
        return bytes(data), str(host), int(port)

    async def close(self) -> None:
        await self._sock.close()


class SignalWaiter:
    """Waits for signals that arrive after it was created.

    curio 1.6 has no signal support. The handler writes to a socket pair,
    which wakes the selector of curio's kernel.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._write_end, read_end = socket.socketpair()
        self._write_end.setblocking(False)
        self._read_end = wrap(read_end)
        for number in numbers:
            signal.signal(number, self._on_signal)

    async def wait(self) -> None:
        """Wait until one of the signals has arrived."""
        await self._read_end.recv(1)

    def _on_signal(self, number: int, frame: Any) -> None:
        try:
            self._write_end.send(b'1')
        except BlockingIOError:
            pass


async def wait_for_signal(*numbers: signal.Signals) -> None:
    """Wait until one of the signals arrives."""
    await SignalWaiter(*numbers).wait()

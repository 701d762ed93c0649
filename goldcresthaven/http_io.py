"""HTTP/1.1 over sockets, on top of h11.

A truncated message is always reported as an error and never taken for a
complete one. Each exchange has its own h11 connection object. The bytes of a
head are collected and checked here before they are passed to h11: h11 merges
repeated Content-Length headers and accepts bare line feeds, and either can
make two programs disagree on where a message ends.
"""

from collections.abc import Iterable
from datetime import timedelta
import errno
import socket
from typing import Any

import h11

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head

PIECE_BYTES = 64 << 10
HEAD_LIMIT_BYTES = 32 << 10
MAX_INFORMATIONAL = 8
# Requests that a caller sends ahead are buffered up to this size.
READ_AHEAD_BYTES = 64 << 10

HEAD_TIMEOUT = timedelta(seconds=5)
BODY_PIECE_TIMEOUT = timedelta(seconds=10)
# The body of a refusal is read only to use the connection again, and the
# caller waits meanwhile.
DISCARD_TIMEOUT = timedelta(milliseconds=100)
MAX_DISCARDED_BYTES = 64 << 10
LINGER_TIMEOUT = timedelta(seconds=1)
LINGER_PIECES = 64
# About one round trip between zones.
DELIVERY_CHECK_INTERVAL = timedelta(milliseconds=10)
# How often a blocked write checks whether the response has already begun.
WRITE_CHECK_INTERVAL = timedelta(milliseconds=100)

_HEAD_END = b'\r\n\r\n'


def _decode(headers: Iterable[tuple[bytes, bytes]]) -> http_head.Headers:
    return tuple(
        (n.decode('latin-1'), v.decode('latin-1')) for n, v in headers
    )


def _encode(headers: http_head.Headers) -> list[tuple[bytes, bytes]]:
    return [(n.encode('latin-1'), v.encode('latin-1')) for n, v in headers]


class _Conn:
    """Common parts of the server and the client side of a connection.

    ``bytes_written`` counts the bytes of the current exchange that the
    operating system accepted; zero proves that nothing was sent. A broken
    connection was reset or has timed out: what was received on it may not be
    all that the other side sent.
    """

    _role: type[Any]

    def __init__(
        self, sock: aio.Socket, *, head_limit: int = HEAD_LIMIT_BYTES
    ) -> None:
        self._sock = sock
        self._head_limit = head_limit
        self._buf = bytearray()
        self._h11 = self._new_h11()
        self._ended = False
        self._broken = False
        self._turns = aio.Turns()
        self.bytes_written = 0
        self.closed = False

    def _new_h11(self) -> h11.Connection:
        return h11.Connection(
            self._role, max_incomplete_event_size=self._head_limit
        )

    async def close(self) -> None:
        if not self.closed:
            self.closed = True
            await self._sock.close()

    async def abort(self) -> None:
        """Close with a reset; the kernel drops bytes it has not sent yet."""
        if not self.closed:
            aio.reset_on_close(self._sock)
            await self.close()

    def peer_closed(self) -> bool:
        """Return whether the other side is known to have closed."""
        return self.closed or self._peek() == b''

    def has_input(self) -> bool:
        """Return whether there is received data that was not read yet."""
        return bool(self._buf) or bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return the next byte, empty at the end or after a failure."""
        try:
            return aio.peek(self._sock)
        except OSError:
            self._broken = True
            return b''

    def _receive_nowait(self) -> bytes | None:
        """Return received data, empty at the end or after a failure."""
        try:
            return aio.receive_nowait(self._sock, PIECE_BYTES)
        except OSError:
            self._broken = True
            return b''

    async def wait_for_input(self) -> bool:
        """Wait for the first byte of a message; False if the peer closed."""
        if self._buf:
            await self._turns.step()
            return True
        return await self._receive()

    async def _receive(self) -> bool:
        await self._turns.step()
        try:
            data = await self._sock.recv(PIECE_BYTES)
        except OSError:
            self._broken = True
            return False
        self._buf += data
        return bool(data)

    async def _read_raw_head(self) -> bytes | None:
        """Return a head with its blank line; None if the peer closed."""
        start = 0
        while (end := self._buf.find(_HEAD_END, start)) < 0:
            start = max(0, len(self._buf) - len(_HEAD_END))
            if len(self._buf) > self._head_limit:
                raise self._protocol_error('the head is too long', 431)
            if not await self._receive():
                return None
        size = end + len(_HEAD_END)
        if size > self._head_limit:
            raise self._protocol_error('the head is too long', 431)
        head = bytes(self._buf[:size])
        del self._buf[:size]
        problem = http_head.check_head(head)
        if problem is not None:
            raise self._protocol_error(problem, 400)
        return head

    def _protocol_error(
        self, problem: str, status: int
    ) -> errors.ProtocolError:
        return errors.ProtocolError(
            f'{problem} (status {status})',
            remedy='correct the sender of the message',
        )

    def _feed_buffer(self) -> None:
        if self._buf:
            self._h11.receive_data(bytes(self._buf))
            self._buf.clear()

    async def _read_piece(self) -> bytes:
        """Return the next piece of the body; empty at its end."""
        await self._turns.step()
        self._feed_buffer()
        while True:
            event = self._h11.next_event()
            match event:
                case h11.Data():
                    return bytes(event.data)
                case h11.EndOfMessage():
                    self._ended = True
                    return b''
                case h11.PAUSED | h11.ConnectionClosed():
                    return b''
            if await self._receive():
                self._feed_buffer()
            elif not self._close_ends_message():
                raise errors.ConnectionLost(
                    'the connection closed before the message ended',
                    remedy='repeat the request if it is idempotent',
                )

    def _close_ends_message(self) -> bool:
        """Return whether an orderly close ends the message."""
        return False

    async def _send(self, event: h11.Event) -> None:
        try:
            data = self._h11.send(event)
        except h11.LocalProtocolError as exc:
            raise errors.ProtocolError(
                f'cannot send the message: {exc}',
                remedy='correct the sender of the message',
            ) from exc
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self._send_some(view) :]

    async def _send_some(self, view: memoryview) -> int:
        try:
            sent = await self._sock.send(view)
        except OSError as exc:
            # The system reports a reset once. It reports EPIPE if the other
            # side had ended its direction before.
            if exc.errno != errno.EPIPE:
                self._broken = True
            raise errors.ConnectionLost(
                f'the connection failed while sending: {exc}',
                remedy='repeat the request if it is idempotent',
            ) from exc
        self.bytes_written += sent
        return sent

    def _next_exchange(self) -> None:
        trailing, _ = self._h11.trailing_data
        self._buf[:0] = trailing
        self._h11 = self._new_h11()
        self._ended = False
        self.bytes_written = 0


class CallerConn(_Conn):
    """The server side of a connection."""

    _role = h11.SERVER

    async def read_head(self) -> http_head.RequestHead | None:
        """Return the head of the next request; None if the caller closed.

        Raises RequestRejected if the head is malformed or ambiguous.
        """
        raw = await self._read_raw_head()
        if raw is None:
            return None
        try:
            self._h11.receive_data(raw)
            event = self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise _rejected(str(exc), exc.error_status_hint) from exc
        if not isinstance(event, h11.Request):
            raise _rejected('the request has no head', 400)
        return http_head.RequestHead(
            method=event.method.decode('latin-1'),
            target=event.target.decode('latin-1'),
            headers=_decode(event.headers),
            http_version=event.http_version.decode('latin-1'),
        )

    def peer_closed(self) -> bool:
        """Return whether the caller is known to have closed.

        A close is behind the requests that the caller has sent ahead, so
        these are received first, up to ``READ_AHEAD_BYTES``.
        """
        while not self.closed and len(self._buf) < READ_AHEAD_BYTES:
            data = self._receive_nowait()
            if data is None:
                return False
            if not data:
                return True
            self._buf += data
        return self.closed

    def _protocol_error(
        self, problem: str, status: int
    ) -> errors.ProtocolError:
        return _rejected(problem, status)

    async def read_piece(self) -> bytes:
        """Return the next piece of the request body; empty at its end.

        Raises RequestRejected for a malformed body, and ConnectionLost if
        the caller closed before its end.
        """
        if self._h11.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        try:
            return await self._read_piece()
        except h11.RemoteProtocolError as exc:
            raise _rejected(str(exc), exc.error_status_hint) from exc

    async def send_head(self, head: http_head.ResponseHead) -> None:
        await self._send(
            h11.Response(
                status_code=head.status, headers=_encode(head.headers)
            )
        )

    async def send_piece(self, data: bytes) -> None:
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        await self._send(h11.EndOfMessage())

    async def send_all(
        self, head: http_head.ResponseHead, body: bytes
    ) -> None:
        """Send a whole response in one write."""
        headers = (*head.headers, ('content-length', str(len(body))))
        response = h11.Response(
            status_code=head.status, headers=_encode(headers)
        )
        try:
            parts = [
                self._h11.send(response),
                self._h11.send(h11.Data(data=body)),
                self._h11.send(h11.EndOfMessage()),
            ]
        except h11.LocalProtocolError as exc:
            raise errors.ProtocolError(
                f'cannot send the response: {exc}',
                remedy='report this fault',
            ) from exc
        await self._write(b''.join(p for p in parts if p))

    async def close_after_response(self) -> None:
        """Close in a way that lets the caller read the response.

        If input is left unread, closing resets the connection. That can
        discard a response that the caller has not read yet.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            async with aio.timeout(LINGER_TIMEOUT):
                for _ in range(LINGER_PIECES):
                    if not await self._sock.recv(PIECE_BYTES):
                        break
        except (OSError, errors.DeadlineExceeded):
            pass
        await self.close()

    async def close_when_delivered(self) -> None:
        """Close once the caller's machine has received all responses.

        Closing resets the connection if a request that was sent ahead is
        unread, and the system then drops what it has not sent. The request
        is left unread, because callers send unread requests again.
        """
        if self.closed:
            return
        try:
            await self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            await self.close()
            return
        for _ in range(LINGER_TIMEOUT // DELIVERY_CHECK_INTERVAL):
            if not aio.unacknowledged(self._sock):
                break
            await aio.sleep(DELIVERY_CHECK_INTERVAL)
        await self.close()

    def can_continue(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            not self.closed
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )

    def next_exchange(self) -> None:
        self._next_exchange()


class UpstreamConn(_Conn):
    """The client side of a connection."""

    _role = h11.CLIENT
    _method = ''

    def __init__(
        self,
        sock: aio.Socket,
        *,
        accept_unframed: bool = False,
        number: int = 0,
    ) -> None:
        """Initialize the client side of a connected socket.

        ``accept_unframed`` allows response bodies without a length, which
        end when the upstream closes. ``number`` is the position in the
        order in which a pool opened its connections. A ``retired``
        connection is not kept after its exchange. ``exchanges`` counts the
        calls on it, with the current one. ``closed_in_order`` is set
        by ``note_end``, and ``idle_since`` by a pool.
        """
        super().__init__(sock)
        self.number = number
        self.idle_since: timedelta | None = None
        self._accept_unframed = accept_unframed
        self._unframed = False
        self._unacknowledged = timedelta()
        self.retired = False
        self.exchanges = 1
        self.closed_in_order = False

    @property
    def reused(self) -> bool:
        """Whether a response may belong to an earlier exchange."""
        return self.exchanges > 1

    def begin(self) -> None:
        """Prepare for the next exchange on this connection."""
        self._next_exchange()
        self.exchanges += 1

    def reset_on_close(self) -> None:
        """Reset the connection at its end, also if the process is killed."""
        aio.reset_on_close(self._sock)

    def limit_unacknowledged(self, duration: timedelta) -> None:
        """Fail if sent bytes stay unacknowledged for longer; 0 disables."""
        if duration != self._unacknowledged:
            aio.limit_unacknowledged(self._sock, duration)
            self._unacknowledged = duration

    async def send_head(
        self, head: http_head.RequestHead, first_piece: bytes = b''
    ) -> None:
        """Send the head, together with the first piece of the body."""
        self._method = head.method
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=_encode(head.headers),
        )
        try:
            data = self._h11.send(request) or b''
            if first_piece:
                data += self._h11.send(h11.Data(data=first_piece)) or b''
        except h11.LocalProtocolError as exc:
            raise errors.ProtocolError(
                f'cannot send the request: {exc}', remedy='report this fault'
            ) from exc
        await self._write(data)

    async def send_piece(self, data: bytes) -> None:
        """Send a piece of the body.

        Raises ConnectionLost also if the upstream has responded and no
        longer reads the request; ``read_head`` then returns the response.
        """
        try:
            framed = self._h11.send(h11.Data(data=data)) or b''
        except h11.LocalProtocolError as exc:
            raise errors.ProtocolError(
                f'cannot send the body: {exc}', remedy='report this fault'
            ) from exc
        view = memoryview(framed)
        while view:
            try:
                async with aio.timeout(WRITE_CHECK_INTERVAL):
                    sent = await self._send_some(view)
            except errors.DeadlineExceeded:
                if self.has_input():
                    raise errors.ConnectionLost(
                        'the upstream responded before reading the request',
                        remedy='read its response',
                    ) from None
                continue
            view = view[sent:]

    async def finish(self) -> None:
        await self._send(h11.EndOfMessage())

    async def read_head(self) -> http_head.ResponseHead:
        """Return the head of the final response.

        Raises ConnectionLost if the connection ends before it, and
        ProtocolError for a malformed head or if a truncated body could not
        be distinguished from a complete one.
        """
        for _ in range(MAX_INFORMATIONAL):
            raw = await self._read_raw_head()
            if raw is None:
                raise errors.ConnectionLost(
                    'the upstream closed before its response',
                    remedy='repeat the request if it is idempotent',
                )
            event = self._parse(raw)
            if isinstance(event, h11.Response):
                self._check_framing(event)
                return http_head.ResponseHead(
                    status=event.status_code, headers=_decode(event.headers)
                )
        raise self._protocol_error('there are too many interim responses', 502)

    def _parse(self, raw: bytes) -> h11.Response | h11.InformationalResponse:
        try:
            self._h11.receive_data(raw)
            event = self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise self._protocol_error(str(exc), 502) from exc
        if isinstance(event, (h11.Response, h11.InformationalResponse)):
            return event
        raise self._protocol_error('the response has no head', 502)

    def _check_framing(self, event: h11.Response) -> None:
        names = {name for name, _ in event.headers}
        framed = names & {b'content-length', b'transfer-encoding'}
        empty = event.status_code in (204, 304) or self._method == 'HEAD'
        self._unframed = not framed and not empty
        if self._unframed and not self._accept_unframed:
            # Such a body ends when the connection is closed, so that a
            # truncated response would look complete.
            raise self._protocol_error(
                'the response does not state its length', 502
            )

    def _close_ends_message(self) -> bool:
        if not self._unframed or self._broken:
            return False
        self._h11.receive_data(b'')
        return True

    async def skip_response(
        self, request: http_head.RequestHead, *, limit: int
    ) -> None:
        """Read and discard the rest of a response to an earlier request.

        The next response on the connection is then the one to ``request``.
        Raises the same errors as ``read_piece``, and ProtocolError for a
        body of more than ``limit`` bytes.
        """
        size = 0
        while piece := await self.read_piece():
            size += len(piece)
            if size > limit:
                raise self._protocol_error('a late response is too long', 502)
        trailing, closed = self._h11.trailing_data
        if closed or self._unframed:
            raise errors.ConnectionLost(
                'the connection was closed after a late response',
                remedy='repeat the request if it is idempotent',
            )
        self._buf[:0] = trailing
        self._h11 = self._new_h11()
        self._h11.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=_encode(request.headers),
            )
        )

    async def read_piece(self) -> bytes:
        """Return the next piece of the response body; empty at its end.

        Raises ConnectionLost if the response is truncated.
        """
        try:
            return await self._read_piece()
        except h11.RemoteProtocolError as exc:
            raise errors.ConnectionLost(
                f'the response body is malformed: {exc}',
                remedy='repeat the request if it is idempotent',
            ) from exc

    async def discard_body(self) -> None:
        """Read the body of a refusal, so that the connection can be reused.

        If it is long, slow or broken, the connection is not reusable then.
        """
        size = 0
        try:
            async with aio.timeout(DISCARD_TIMEOUT):
                while piece := await self.read_piece():
                    size += len(piece)
                    if size > MAX_DISCARDED_BYTES:
                        return
        except (errors.ConnectionLost, errors.DeadlineExceeded):
            return

    def is_reusable(self) -> bool:
        """Return whether the exchange is complete, so that reuse is safe."""
        return (
            not self.closed
            and not self._buf
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and self._h11.trailing_data == (b'', False)
            and not self._unframed
        )

    def is_idle(self) -> bool:
        """Return whether the connection is open and nothing was received.

        Data received between two exchanges would be taken for the response
        to the next request.
        """
        return not self._buf and self._peek() is None

    def note_end(self) -> None:
        """Record whether the upstream closed and all it sent was read."""
        at_end = not self._buf and self._peek() == b''
        self.closed_in_order = at_end and not self._broken

    def unsolicited_head(self) -> http_head.ResponseHead | None:
        """Return the head of a response that no request asked for, if any.

        An upstream may send one before it closes an idle connection. The
        connection cannot be used after this call.
        """
        received = self._receive_nowait() or b''
        parser = self._new_h11()
        parser.send(
            h11.Request(method='GET', target='/', headers=[('host', 'none')])
        )
        try:
            parser.receive_data(bytes(self._buf) + received)
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return None
        if not isinstance(event, h11.Response):
            return None
        return http_head.ResponseHead(
            status=event.status_code, headers=_decode(event.headers)
        )


def _rejected(problem: str, status: int) -> errors.RequestRejected:
    return errors.RequestRejected(
        problem, remedy='correct the request', status=status
    )


async def fetch(
    conn: UpstreamConn, head: http_head.RequestHead, body: bytes, *, limit: int
) -> tuple[http_head.ResponseHead, bytes]:
    """Send a small request and return the whole response.

    Raises ProtocolError if the response body exceeds ``limit`` bytes, and
    the errors of ``read_head`` and ``read_piece``.
    """
    headers = (*head.headers, ('content-length', str(len(body))))
    full = http_head.RequestHead(
        method=head.method, target=head.target, headers=headers
    )
    await conn.send_head(full, body)
    await conn.finish()
    response = await conn.read_head()
    # One buffer: a list would need 40 bytes for each byte of tiny chunks.
    received = bytearray()
    while piece := await conn.read_piece():
        received += piece
        if len(received) > limit:
            raise errors.ProtocolError(
                f'the response is longer than {limit} bytes',
                remedy='request less data at once',
            )
    return response, bytes(received)

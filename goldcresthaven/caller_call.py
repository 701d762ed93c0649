"""A caller's request while this process handles it.

The beginning of its body is kept, so that an attempt can be repeated. The
rest is read only as an upstream takes it. A caller that disconnects or stops
reading while a response is relayed to it is reported as gone.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import request_meta

BODY_TIMEOUT = timedelta(seconds=10)
# A caller that reads nothing for this long is treated as disconnected.
CALLER_STALL_TIMEOUT = timedelta(seconds=5)


class CallerGone(Exception):
    """The caller closed its connection or violated the protocol."""


@dataclass(kw_only=True)
class Call:
    """A caller's request while this process handles it.

    ``buffered_body`` is the beginning of the body, which is kept for a
    retry. ``body_consumed`` is set once a later part was read; the request
    can then no longer be sent again. ``refused_on`` has the numbers of the
    connections on which the request was refused. A second copy of such a
    refusal has the same id as the response to the next attempt, so that
    attempt is made on another connection.
    """

    conn: http_io.CallerConn
    head: http_head.RequestHead
    meta: request_meta.CallerMeta
    idempotent: bool
    is_draining: Callable[[], bool]
    max_body: int
    buffered_body: bytes = b''
    body_ended: bool = True
    body_consumed: bool = False
    body_bytes: int = 0
    relayed: bool = False
    refused_on: set[int] = field(default_factory=set)

    async def buffer_body(self, timeout: timedelta) -> None:
        """Buffer the first 64 KiB of the body.

        Raises the same errors as ``CallerConn.read_piece``, and
        DeadlineExceeded.
        """
        if not self.head.has_body:
            await self.conn.read_piece()
            return
        self.body_ended = False
        async with aio.timeout(timeout):
            while len(self.buffered_body) < http_io.PIECE_BYTES:
                piece = await self._read()
                if not piece:
                    self.body_ended = True
                    return
                self.buffered_body += piece

    async def next_piece(self) -> bytes:
        """Return the next piece after the buffered ones, empty at the end."""
        if self.body_ended:
            return b''
        self.body_consumed = True
        try:
            async with aio.timeout(BODY_TIMEOUT):
                piece = await self._read()
        except errors.Error as exc:
            raise CallerGone(str(exc)) from exc
        self.body_ended = not piece
        return piece

    async def begin_response(
        self, head: http_head.ResponseHead, *, closing: bool
    ) -> None:
        """Send the head of an upstream's response.

        With ``closing``, it asks the caller to close the connection.
        """
        self.relayed = True
        response = self._response_head(head, closing or not self.body_ended)
        await _send(self.conn.send_head(response))

    async def send_piece(self, piece: bytes) -> None:
        await _send(self.conn.send_piece(piece))

    async def finish_response(self) -> None:
        await _send(self.conn.finish())

    def _response_head(
        self, head: http_head.ResponseHead, closing: bool
    ) -> http_head.ResponseHead:
        kept = http_head.end_to_end(head.headers)
        added: list[tuple[str, str]] = []
        if http_head.find(head.headers, 'content-length') is None:
            added.append(('transfer-encoding', 'chunked'))
        if closing or self.is_draining():
            added.append(('connection', 'close'))
        return http_head.ResponseHead(
            status=head.status, headers=(*kept, *added)
        )

    async def _read(self) -> bytes:
        piece = await self.conn.read_piece()
        self.body_bytes += len(piece)
        if self.body_bytes > self.max_body:
            raise errors.RequestRejected(
                f'the body is longer than {self.max_body} bytes',
                remedy='send it in parts',
                status=413,
            )
        return piece


async def _send(step: Awaitable[None]) -> None:
    try:
        async with aio.timeout(CALLER_STALL_TIMEOUT):
            await step
    except (errors.ConnectionLost, errors.DeadlineExceeded) as exc:
        raise CallerGone('the caller stopped reading') from exc

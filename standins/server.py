"""A minimal HTTP server for the stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
from typing import Any

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io


@dataclass(kw_only=True)
class Exchange:
    """One request, with methods to read its body and to reply."""

    conn: http_io.CallerConn
    head: http_head.RequestHead

    @property
    def path(self) -> str:
        return self.head.target.split('?', 1)[0]

    def header(self, name: str) -> str | None:
        return http_head.find(self.head.headers, name)

    async def read_body(self) -> bytes:
        parts = []
        while piece := await self.conn.read_piece():
            parts.append(piece)
        return b''.join(parts)

    async def skip_body(self) -> int:
        """Read the body without keeping it; return its size."""
        size = 0
        while piece := await self.conn.read_piece():
            size += len(piece)
        return size

    async def reply(
        self, status: int, body: Any, headers: http_head.Headers = ()
    ) -> None:
        """Send a response; a body that is not bytes is encoded as JSON."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = http_head.ResponseHead(status=status, headers=headers)
        await self.conn.send_all(head, data)


Handler = Callable[[Exchange], Awaitable[None]]


def serve_with(handler: Handler) -> Callable[[aio.Socket], Any]:
    """Return a connection handler that passes each request to ``handler``.

    The connection is kept alive between requests where HTTP allows it.
    """

    async def serve(sock: aio.Socket) -> None:
        conn = http_io.CallerConn(sock)
        try:
            while (head := await conn.read_head()) is not None:
                await handler(Exchange(conn=conn, head=head))
                if not conn.can_continue():
                    return
                conn.next_exchange()
        except errors.Error:
            return
        finally:
            await conn.close()

    return serve

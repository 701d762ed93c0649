"""A minimal HTTP client for the tools, benchmarks and process tests."""

from dataclasses import dataclass
from datetime import timedelta
import json
from typing import Any

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import members

MAX_BODY = 1 << 20


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: http_head.Headers
    body: bytes

    @property
    def outcome(self) -> str | None:
        return http_head.find(self.headers, 'x-outcome')

    @property
    def reason(self) -> str | None:
        return http_head.find(self.headers, 'x-reason')

    def json(self) -> Any:
        return json.loads(self.body)


class Caller:
    """A caller with one keep-alive connection, which is reopened if closed."""

    def __init__(self, address: members.Address) -> None:
        self._address = address
        self._conn: http_io.UpstreamConn | None = None

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: http_head.Headers = (),
        body: bytes = b'',
        timeout: timedelta = timedelta(seconds=30),
    ) -> Response:
        """Send a request and return the response.

        Raises ConnectionFailed if nothing was sent, and ConnectionLost,
        ProtocolError or DeadlineExceeded if the request may have been sent.
        """
        conn = await self._open()
        head = http_head.RequestHead(
            method=method,
            target=target,
            headers=self._with_host(headers),
        )
        try:
            async with aio.timeout(timeout):
                response, data = await http_io.fetch(
                    conn, head, body, limit=MAX_BODY
                )
        finally:
            if not conn.is_reusable():
                await self.close()
        if http_head.find(response.headers, 'connection') == 'close':
            await self.close()
        return Response(
            status=response.status, headers=response.headers, body=data
        )

    def _with_host(self, headers: http_head.Headers) -> http_head.Headers:
        if http_head.find(headers, 'host') is not None:
            return headers
        return (('host', str(self._address)), *headers)

    async def close(self) -> None:
        if self._conn is not None:
            await self._conn.close()
            self._conn = None

    async def _open(self) -> http_io.UpstreamConn:
        if self._conn is not None and self._conn.is_idle():
            self._conn.begin()
            return self._conn
        await self.close()
        sock = await aio.connect(self._address.host, self._address.port)
        self._conn = http_io.UpstreamConn(sock)
        return self._conn


async def fetch(
    address: members.Address,
    method: str,
    target: str,
    *,
    headers: http_head.Headers = (),
    body: bytes = b'',
    timeout: timedelta = timedelta(seconds=30),
) -> Response:
    """Send a request on a new connection and return the response."""
    caller = Caller(address)
    try:
        return await caller.fetch(
            method, target, headers=headers, body=body, timeout=timeout
        )
    finally:
        await caller.close()


async def post_json(address: members.Address, path: str, value: Any) -> Any:
    """Send a command as JSON to a stand-in and return its JSON response."""
    response = await fetch(
        address, 'POST', path, body=json.dumps(value).encode()
    )
    if response.status != 200:
        raise errors.ProtocolError(
            f'{path} failed with status {response.status}',
            remedy='check the stand-in',
        )
    return response.json()

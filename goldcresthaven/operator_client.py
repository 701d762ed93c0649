"""Blocking HTTP client of the command line.

The command line is a separate, short-lived process, so it uses plain
blocking sockets. Connecting and sending have a timeout, and each call has
a deadline for the complete response.
"""

from datetime import timedelta
import json
import socket
from typing import Any
from typing import TypeVar
import urllib.parse

import h11

from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import operator_api
from goldcresthaven import operator_views as views

TIMEOUT = timedelta(seconds=15)

_MAX_RESPONSE_BYTES = 16 << 20
_RECEIVE_BYTES = 64 << 10
_MIN_SOCKET_TIMEOUT = timedelta(milliseconds=1)

T = TypeVar('T')


class OperatorClient:
    """Calls the operator endpoints of one entry process."""

    def __init__(
        self,
        *,
        entry: members.Address,
        signer: operator_api.Signer | None = None,
        timeout: timedelta = TIMEOUT,
        time: clock.Clock | None = None,
    ) -> None:
        self._entry = entry
        self._signer = signer
        self._timeout = timeout
        self._clock = time or clock.SystemClock()

    def get(self, view_type: type[T], path: str, **params: str | None) -> T:
        """Read a view; parameters that are None are left out.

        Raises CallRefused, ConnectionFailed, ConnectionLost or
        ProtocolError.
        """
        present = {k: v for k, v in params.items() if v is not None}
        query = urllib.parse.urlencode(present)
        target = f'{path}?{query}' if query else path
        return self._call(view_type, 'GET', target, b'')

    def post(self, view_type: type[T], path: str, body: dict[str, Any]) -> T:
        """Send a write, signed when there is a signer.

        Raises the errors of ``get``, and AuthError when the signature is
        refused. After ConnectionLost the write may have been executed.
        """
        return self._call(view_type, 'POST', path, json.dumps(body).encode())

    def _call(
        self, view_type: type[T], method: str, target: str, body: bytes
    ) -> T:
        headers = [
            ('Host', str(self._entry)),
            ('Content-Length', str(len(body))),
            ('Connection', 'close'),
        ]
        if method != 'GET' and self._signer is not None:
            vm = self._target_vm()
            credential = self._signer.sign(
                vm=vm, method=method, target=target, body=body
            )
            headers.append(('Authorization', credential))
        request = h11.Request(method=method, target=target, headers=headers)
        status, response_body = self._exchange(request, body)
        return _decode(view_type, status, response_body)

    def _target_vm(self) -> ids.VmId:
        """Return the VM of the entry process, for which a change is signed."""
        try:
            return self.get(views.Health, '/health').vm
        except errors.ConnectionLost as exc:
            # ConnectionLost would mean that the change may have been sent,
            # but only the name of the VM was requested so far.
            raise errors.ConnectionFailed(
                exc.problem, remedy=exc.remedy
            ) from exc

    def _exchange(
        self, request: h11.Request, body: bytes
    ) -> tuple[int, bytes]:
        deadline = self._clock.elapsed() + self._timeout
        with self._connect() as sock:
            conn = h11.Connection(our_role=h11.CLIENT)
            try:
                sock.sendall(_request_bytes(conn, request, body))
                return self._receive(conn, sock, deadline)
            except (OSError, h11.RemoteProtocolError) as exc:
                raise errors.ConnectionLost(
                    f'{self._entry} did not send a complete response: {exc}',
                    remedy='check the process with `goldcresthaven status`, '
                    'or name another with --entry',
                ) from exc

    def _connect(self) -> socket.socket:
        address = (self._entry.host, self._entry.port)
        try:
            return socket.create_connection(
                address, timeout=self._timeout.total_seconds()
            )
        except OSError as exc:
            raise errors.ConnectionFailed(
                f'cannot connect to the entry process {self._entry}: {exc}',
                remedy='check that it is running, or name another with '
                '--entry',
            ) from exc

    def _receive(
        self, conn: h11.Connection, sock: socket.socket, deadline: timedelta
    ) -> tuple[int, bytes]:
        status = 0
        body = bytearray()
        while True:
            match conn.next_event():
                case h11.NEED_DATA:
                    remaining = max(
                        deadline - self._clock.elapsed(), _MIN_SOCKET_TIMEOUT
                    )
                    sock.settimeout(remaining.total_seconds())
                    conn.receive_data(sock.recv(_RECEIVE_BYTES))
                case h11.Response() as response:
                    status = response.status_code
                case h11.Data() as data:
                    body += data.data
                    _check_response_size(body)
                case h11.EndOfMessage():
                    return status, bytes(body)


def _request_bytes(
    conn: h11.Connection, request: h11.Request, body: bytes
) -> bytes:
    events = (request, h11.Data(data=body), h11.EndOfMessage())
    return b''.join(conn.send(event) or b'' for event in events)


def _check_response_size(body: bytearray) -> None:
    if len(body) > _MAX_RESPONSE_BYTES:
        raise errors.ProtocolError(
            f'the response is longer than {_MAX_RESPONSE_BYTES >> 20} MiB',
            remedy='narrow the query',
        )


def _decode(view_type: type[T], status: int, body: bytes) -> T:
    if _is_refusal(body):
        refusal = views.decode(views.Refusal, body)
        if status == 401:
            raise errors.AuthError(refusal.problem, remedy=refusal.remedy)
        raise errors.CallRefused(
            refusal.problem, remedy=refusal.remedy, status=status
        )
    return views.decode(view_type, body)


def _is_refusal(body: bytes) -> bool:
    """Return whether the body is a Refusal; no view has a ``remedy``."""
    try:
        data = json.loads(body)
    except (RecursionError, ValueError):
        return False
    return isinstance(data, dict) and {'problem', 'remedy'} == set(data)

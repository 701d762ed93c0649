"""Peers that send without end, or read all of it, each in its own thread.

They run beside the event loop under test, so that its sockets are always
ready and it never has to wait for them.
"""

import contextlib
from dataclasses import dataclass
import socket
import threading
import time

HOST = '127.0.0.1'
READ_BYTES = 1 << 16
# A peer that the code under test never closes ends after this time (seconds).
SEND_LIMIT_S = 6.0


class EndlessServer:
    """Sends ``start`` and then ``repeated`` until its client closes.

    ``sent`` counts the bytes that it has sent, ``requests`` its clients', and
    ``active`` the connections on which it still sends.
    """

    def __init__(self, repeated: bytes, *, start: bytes = b'') -> None:
        self.sent = 0
        self.requests = 0
        self.active = 0
        self._start, self._repeated = start, repeated
        self._listener = socket.create_server((HOST, 0))
        self.port = int(self._listener.getsockname()[1])
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Accept no further connections."""
        # Closing alone does not end a blocked accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            if not sock.recv(READ_BYTES):
                return
            self.requests += 1
            self.active += 1
            try:
                sock.sendall(self._start)
                self.sent += send_endlessly(sock, self._repeated)
            finally:
                self.active -= 1


def send_endlessly(sock: socket.socket, data: bytes) -> int:
    """Send until the other side closes; return the number of bytes."""
    sent = 0
    end = time.monotonic() + SEND_LIMIT_S
    with contextlib.suppress(OSError):
        while time.monotonic() < end:
            sent += sock.send(data)
    return sent


@dataclass(kw_only=True)
class Reply:
    """What a client received until the connection ended, and when."""

    start: bytes = b''
    end: bytes = b''
    size: int = 0
    elapsed_s: float = 0.0
    reset: bool = False


class Client:
    """Sends a request and reads the whole reply."""

    def __init__(
        self, port: int, request: bytes, *, endless: bytes = b''
    ) -> None:
        self.reply = Reply()
        self._port, self._request, self._endless = port, request, endless
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def is_done(self) -> bool:
        return not self._thread.is_alive()

    def _run(self) -> None:
        started = time.monotonic()
        sock = socket.create_connection((HOST, self._port))
        with sock:
            sock.settimeout(SEND_LIMIT_S)
            sock.sendall(self._request)
            if self._endless:
                threading.Thread(
                    target=send_endlessly,
                    args=(sock, self._endless),
                    daemon=True,
                ).start()
            try:
                self._read(sock)
            except ConnectionResetError:
                self.reply.reset = True
        self.reply.elapsed_s = time.monotonic() - started

    def _read(self, sock: socket.socket) -> None:
        while piece := sock.recv(READ_BYTES):
            reply = self.reply
            if len(reply.start) < READ_BYTES:
                reply.start += piece
            reply.end = (reply.end + piece)[-16:]
            reply.size += len(piece)

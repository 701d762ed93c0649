"""A faulty endpoint whose answer never ends, and a requester that reads it.

``endless.py server NAME MBIT`` prints its port. It answers each request with a
head as of a sound endpoint and then a body without end, until its caller
closes; with ``whole`` as a further argument, with a body of 64 KB that ends.
All connections together send at most MBIT Mbit/s; 0 means no limit.
``endless.py client HOST PORT PATH LIMIT_S`` sends one GET request, reads the
answer until it ends or its time limit has passed, and closes.
"""

import secrets
import socket
import sys
import threading
import time

PREFIX = 'X-Goldcresthaven-'
PIECE = b'x' * (1 << 16)
CHUNK = f'{len(PIECE):x}\r\n'.encode() + PIECE + b'\r\n'


class Link:
    """Limits the rate at which all connections together send."""

    def __init__(self, mbit: float) -> None:
        self.bytes_per_s = mbit * 125_000
        self.lock = threading.Lock()
        self.free_at = time.monotonic()

    def wait(self, size: int) -> None:
        if not self.bytes_per_s:
            return
        with self.lock:
            now = time.monotonic()
            self.free_at = max(self.free_at, now) + size / self.bytes_per_s
            delay = self.free_at - now
        if delay > 0.002:
            time.sleep(delay)


def serve(sock: socket.socket, name: str, whole: bool, link: Link) -> None:
    try:
        data = b''
        while True:
            while b'\r\n\r\n' not in data:
                piece = sock.recv(65536)
                if not piece:
                    return
                data += piece
            raw, _, data = data.partition(b'\r\n\r\n')
            attempt = expected = ''
            for line in raw.decode('latin-1').split('\r\n'):
                field, _, value = line.partition(':')
                if field.lower() == (PREFIX + 'Attempt-Id').lower():
                    attempt = value.strip()
                if field.lower() == (PREFIX + 'Expect-Instance').lower():
                    expected = value.strip()
            if expected and expected != name:
                sock.sendall(
                    f'HTTP/1.1 421 X\r\n{PREFIX}Not-Executed: 1\r\n'
                    f'{PREFIX}Attempt-Id: {attempt}\r\n'
                    f'Content-Length: 0\r\n\r\n'.encode()
                )
                continue
            print('run', attempt, flush=True)
            sock.sendall(
                f'HTTP/1.1 200 OK\r\n{PREFIX}Attempt-Id: {attempt}\r\n'
                f'{PREFIX}Server-Stamp: {name}.{attempt}\r\n'
                f'Transfer-Encoding: chunked\r\n\r\n'.encode()
            )
            if whole:
                sock.sendall(CHUNK + b'0\r\n\r\n')
                continue
            while True:
                link.wait(len(CHUNK))
                sock.sendall(CHUNK)
    except OSError:
        return
    finally:
        sock.close()


def server(name: str, mbit: float, whole: bool) -> None:
    link = Link(mbit)
    listener = socket.create_server(('127.0.0.1', 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=serve, args=(sock, name, whole, link), daemon=True
        ).start()


def client(host: str, port: int, path: str, limit_s: float) -> None:
    started = time.monotonic()
    end = started + limit_s
    sock = socket.create_connection((host, port), timeout=limit_s)
    sock.sendall(
        f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'{PREFIX}Attempt-Id: {secrets.token_hex(8)}\r\n'
        f'{PREFIX}Deadline-Ms: {int(limit_s * 1000)}\r\n\r\n'.encode()
    )
    size, last, outcome = 0, b'', 'no end within the time limit'
    buf = bytearray(1 << 20)
    try:
        while time.monotonic() < end:
            sock.settimeout(max(0.01, end - time.monotonic()))
            count = sock.recv_into(buf)
            if not count:
                outcome = 'closed early'
                break
            size += count
            last = (last + bytes(buf[max(0, count - 5) : count]))[-5:]
            if last == b'0\r\n\r\n':
                outcome = 'whole'
                break
    except TimeoutError:
        pass
    except OSError:
        outcome = 'closed early'
    sock.close()
    print(f'{outcome}, {size} bytes, {time.monotonic() - started:.3f} s')


if __name__ == '__main__':
    if sys.argv[1] == 'server':
        server(sys.argv[2], float(sys.argv[3]), sys.argv[4:] == ['whole'])
    else:
        client(sys.argv[2], int(sys.argv[3]), sys.argv[4], float(sys.argv[5]))

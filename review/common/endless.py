"""A faulty endpoint whose answer never ends, and a requester that reads it.

``endless.py server NAME`` prints its port. It answers each request with a
head as of a sound endpoint and then a body without end, until its caller
closes; with ``whole`` as the third argument, with a body of 1 MB that ends.
``endless.py client HOST PORT PATH LIMIT_S`` sends one GET request, reads the
answer until it ends or its time limit has passed, and closes.
"""

import secrets
import socket
import sys
import threading
import time

PREFIX = 'X-Goldcresthaven-'
PIECE = b'x' * (1 << 20)
CHUNK = f'{len(PIECE):x}\r\n'.encode() + PIECE + b'\r\n'


def serve(sock: socket.socket, name: str, whole: bool) -> None:
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
                sock.sendall(CHUNK)
    except OSError:
        return
    finally:
        sock.close()


def server(name: str, whole: bool) -> None:
    listener = socket.create_server(('127.0.0.1', 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=serve, args=(sock, name, whole), daemon=True
        ).start()


def client(host: str, port: int, path: str, limit_s: float) -> None:
    end = time.monotonic() + limit_s
    sock = socket.create_connection((host, port), timeout=limit_s)
    sock.sendall(
        f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'{PREFIX}Attempt-Id: {secrets.token_hex(8)}\r\n'
        f'{PREFIX}Deadline-Ms: {int(limit_s * 1000)}\r\n\r\n'.encode()
    )
    size, last = 0, b''
    buf = bytearray(1 << 20)
    try:
        while time.monotonic() < end:
            sock.settimeout(max(0.01, end - time.monotonic()))
            count = sock.recv_into(buf)
            if not count:
                break
            size += count
            last = bytes(buf[max(0, count - 5):count])
            if last == b'0\r\n\r\n':
                break
    except OSError as exc:
        print(type(exc).__name__, flush=True)
    sock.close()
    print(f'{size} bytes, ended {last == b"0" + 2 * chr(13).encode()}')


if __name__ == '__main__':
    if sys.argv[1] == 'server':
        server(sys.argv[2], sys.argv[3:] == ['whole'])
    else:
        client(sys.argv[2], int(sys.argv[3]), sys.argv[4], float(sys.argv[5]))

"""MIXED: an answer that is reset on the way is delivered as a whole one.

An endpoint answers a long order before it has read all of it. Its answer has
no length, and its connection is reset in the middle of the answer. The
gateway has to show its requester that the answer is not complete.
"""

import asyncio
import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import testbed

PREFIX = testbed.PREFIX
ENDPOINTS = 3
REQUESTS = 10
# Below max-body-bytes, and more than the buffers of the two connections hold.
ORDER_BYTES = 16 << 20
MAX_BODY_BYTES = 64 << 20
# By then the gateway waits until the endpoint reads on.
ANSWER_AFTER_S = 0.3
ANSWER = b'0123456789abcdef' * 250
SENT_BEFORE_RESET = len(ANSWER) // 2
RESET = struct.pack('ii', 1, 0)


class EarlyEndpoint:
    """Answers each request before it has read the request's body."""

    def __init__(self, bed: testbed.Testbed, name: str, breaks: bool) -> None:
        self.bed, self.name, self.breaks = bed, name, breaks
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.tasks: set[asyncio.Task[None]] = set()

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self.serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        data = b''
        while b'\r\n\r\n' not in data:
            piece = await loop.sock_recv(sock, 4096)
            if not piece:
                sock.close()
                return
            data += piece
        headers = {}
        for line in data.partition(b'\r\n\r\n')[0].decode().split('\r\n'):
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        attempt = headers[(PREFIX + 'Attempt-Id').lower()]
        self.bed.note('run', endpoint=self.name, request=attempt)
        await asyncio.sleep(ANSWER_AFTER_S)
        head = (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Attempt-Id: {attempt}\r\n'
            f'{PREFIX}Server-Stamp: {self.name}.{attempt}\r\n'
            'Connection: close\r\n\r\n'
        ).encode()
        if self.breaks:
            await loop.sock_sendall(sock, head + ANSWER[:SENT_BEFORE_RESET])
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.bed.note('reset', endpoint=self.name, request=attempt)
        else:
            await loop.sock_sendall(sock, head + ANSWER)
            sock.shutdown(socket.SHUT_WR)
            try:
                while await loop.sock_recv(sock, 1 << 16):
                    pass
            except OSError:
                pass
        sock.close()


async def case(bed: testbed.Testbed, trouble: bool) -> bool:
    await bed.start_store()
    await bed.configure(
        {'order': testbed.route('order', 'orders', 'unsafe', timeout_s=2.5)},
        {'orders': {'max-conns': 248}},
        {**testbed.LIMITS, 'max-body-bytes': MAX_BODY_BYTES},
    )
    accepting = []
    for number in range(ENDPOINTS):
        early = EarlyEndpoint(bed, f'i-{number}', breaks=trouble)
        accepting.append(asyncio.create_task(early.accept()))
        await testbed.Endpoint(
            bed, early.name, 'orders', port=early.port, listen=False
        ).start()
    gateway = bed.start_gateway('front-1')
    await bed.wait_ready(gateway)
    await asyncio.sleep(1)
    wrong = 0
    for number in range(REQUESTS):
        conn = testbed.Conn(gateway.host, gateway.front, bed=bed)
        answer = await conn.request(
            'POST', f'/order/{number}', limit_ms=5000, body=b'z' * ORDER_BYTES
        )
        conn.close()
        is_wrong = answer.status == 200 and answer.body != ANSWER
        wrong += is_wrong
        bed.say(
            f'request {answer.request}: status {answer.status}, '
            f'{len(answer.body)} of {len(ANSWER)} bytes'
            f'{", taken for a whole answer" if is_wrong else ""} '
            f'{answer.problem}'
        )
    bed.say(f'{wrong} of {REQUESTS} broken answers looked whole')
    return wrong > 0


testbed.main(case, __file__)

"""Tests of the request path against failing upstreams."""

from collections.abc import Container
from datetime import timedelta
import unittest
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import forwarding
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import members
from goldcresthaven import upstream_pool
from tools import entry_harness

DEAD = members.Address(host=entry_harness.HOST, port=1)
LONG_BODY = 16 << 20
POST = b'POST /free/x HTTP/1.1\r\nHost: a\r\n'

# (what is wrong, the response, the expected status, the expected reason)
BAD_RESPONSES = (
    ('nothing', b'', 502, 'connection-lost'),
    ('half a head', b'HTTP/1.1 200 OK\r\nContent-', 502, 'connection-lost'),
    ('no HTTP', b'hello\r\n\r\n', 502, 'bad-response'),
    (
        'both length and coding',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        502,
        'bad-response',
    ),
    (
        'two lengths',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
        502,
        'bad-response',
    ),
    ('no length', b'HTTP/1.1 200 OK\r\n\r\nabc', 502, 'bad-response'),
    (
        'a long head',
        b'HTTP/1.1 200 OK\r\nX: ' + b'a' * (33 << 10) + b'\r\n\r\n',
        502,
        'bad-response',
    ),
    (
        'endless interim responses',
        b'HTTP/1.1 102 P\r\n\r\n' * 20,
        502,
        'bad-response',
    ),
    (
        'the response to another request',
        entry_harness.ok_response(b'secret', b'X-Request-Id: other'),
        502,
        'bad-response',
    ),
)

TRUNCATED = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz',
)


async def send_ignoring_errors(sock: aio.Socket, size: int) -> None:
    """Send a body to a peer that may stop reading."""
    try:
        await sock.sendall(b'x' * size)
    except (OSError, AttributeError):
        # The reading task closed the socket.
        return


class PausedClock(clock.SystemClock):
    """A clock that jumps ahead, as after a pause of the process."""

    def __init__(self) -> None:
        self.pause = timedelta()

    def elapsed(self) -> timedelta:
        return super().elapsed() + self.pause


class PausedPool(upstream_pool.UpstreamPool):
    """A pool that pauses the process for a minute in ``take``."""

    def __init__(self, paused: PausedClock) -> None:
        super().__init__()
        self._paused = paused

    async def take(
        self,
        address: members.Address,
        *,
        limit: int,
        excluded: Container[int] = (),
    ) -> http_io.UpstreamConn:
        conn = await super().take(address, limit=limit, excluded=excluded)
        self._paused.pause = timedelta(minutes=1)
        return conn


class UpstreamSideTest(unittest.TestCase):
    def test_bad_responses_are_unknown(self) -> None:
        """Guards against treating a broken response as complete."""

        async def test() -> None:
            for name, response, status, reason in BAD_RESPONSES:
                upstream = await entry_harness.start_scripted(
                    entry_harness.answering(response)
                )
                path = await entry_harness.start({'free-a': upstream.address})
                headers = (('idempotency-key', name),)
                with self.subTest(name):
                    answer = await path.fetch('POST', '/pay/', headers=headers)
                    self.assertEqual(status, answer.status)
                    self.assertEqual('unknown', answer.outcome)
                    self.assertEqual(reason, answer.reason)
                    self.assertEqual(1, upstream.connections)
                    self.assertNotIn(b'secret', answer.body)

        entry_harness.run(test)

    def test_truncated_response_looks_truncated(self) -> None:
        """Guards against a truncated response that looks complete."""

        async def test() -> None:
            for response in TRUNCATED:
                upstream = await entry_harness.start_scripted(
                    entry_harness.answering(response)
                )
                path = await entry_harness.start({'free-a': upstream.address})
                with self.subTest(response):
                    with self.assertRaises(errors.ConnectionLost):
                        await path.fetch('GET', '/free/x')

        entry_harness.run(test)

    def test_late_response_is_dropped(self) -> None:
        """Guards against reusing a connection after a timeout.

        The next request would get the late response.
        """

        async def test() -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                first = upstream.connections == 1
                await entry_harness.read_head(upstream, sock)
                if first:
                    await aio.sleep(timedelta(milliseconds=500))
                await sock.sendall(
                    entry_harness.ok_response(b'late' if first else b'own')
                )
                await sock.recv(65536)

            upstream = await entry_harness.start_scripted(script)
            path = await entry_harness.start({'free-a': upstream.address})
            limit = (('x-deadline-ms', '200'),)
            late = await path.fetch('GET', '/free/1', headers=limit)
            self.assertEqual(504, late.status)
            self.assertEqual('unknown', late.outcome)
            own = await path.fetch('GET', '/free/2')
            self.assertEqual(b'own', own.body)

        entry_harness.run(test)

    def test_bytes_between_exchanges_end_reuse(self) -> None:
        """Guards against unexpected bytes read as the next response."""

        async def test() -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                await entry_harness.read_head(upstream, sock)
                await sock.sendall(
                    entry_harness.ok_response(b'one')
                    + entry_harness.ok_response(b'two')
                )
                await sock.recv(65536)

            upstream = await entry_harness.start_scripted(script)
            path = await entry_harness.start({'free-a': upstream.address})
            for _ in range(3):
                response = await path.fetch('GET', '/free/x')
                self.assertEqual(b'one', response.body)
            self.assertEqual(3, upstream.connections)

        entry_harness.run(test)

    def test_refused_request_is_retried_elsewhere(self) -> None:
        """Guards against refused payments that are lost or run twice."""

        async def test() -> None:
            refusal = (
                b'HTTP/1.1 503 Busy\r\nX-Outcome: not-run\r\n'
                b'X-Reason: queue-full\r\nContent-Length: 0\r\n\r\n'
            )
            busy = await entry_harness.start_scripted(
                entry_harness.answering(refusal)
            )
            free = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b'ok'))
            )
            path = await entry_harness.start(
                {'free-a': busy.address, 'free-b': free.address}
            )
            key = (('idempotency-key', 'k'),)
            response = await path.fetch('POST', '/pay/', headers=key)
            self.assertEqual('done', response.outcome)
            self.assertEqual(1, len(free.received))

        entry_harness.run(test)

    def test_payment_is_sent_once_after_a_timeout(self) -> None:
        """Guards against resending a payment that may have run."""

        async def test() -> None:
            upstream = await entry_harness.start_scripted(
                entry_harness.answering(close=False)
            )
            path = await entry_harness.start({'free-a': upstream.address})
            headers = (('idempotency-key', 'k'), ('x-deadline-ms', '300'))
            response = await path.fetch('POST', '/pay/', headers=headers)
            self.assertEqual(
                (504, 'unknown'), (response.status, response.outcome)
            )
            self.assertEqual(1, upstream.connections)
            again = await path.fetch('POST', '/pay/', headers=headers)
            self.assertEqual((409, 'unknown'), (again.status, again.outcome))
            self.assertEqual('already-sent', again.reason)

        entry_harness.run(test)

    def test_request_to_unreachable_upstream_is_not_run(self) -> None:
        """Guards against outcome "unknown" for a request that was not sent."""

        async def test() -> None:
            path = await entry_harness.start({'free-a': DEAD})
            key = (('idempotency-key', 'k'),)
            for _ in range(2):
                response = await path.fetch('POST', '/pay/', headers=key)
                self.assertEqual('not-run', response.outcome)
                self.assertEqual('connect-failed', response.reason)
                self.assertIsNotNone(
                    http_head.find(response.headers, 'retry-after')
                )

        entry_harness.run(test)

    def test_deadline_is_checked_before_the_first_byte(self) -> None:
        """Guards against sending a request after its deadline.

        The process pauses between admission and the first byte.
        """

        async def test() -> None:
            upstream = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b''))
            )
            paused = PausedClock()
            path = await entry_harness.start(
                {'free-a': upstream.address},
                clock=paused,
                conns=PausedPool(paused),
            )
            key = (('idempotency-key', 'k'),)
            response = await path.fetch('POST', '/pay/', headers=key)
            self.assertEqual('not-run', response.outcome)
            self.assertEqual('deadline-passed', response.reason)
            self.assertEqual([], [r for r in upstream.received if r])

        entry_harness.run(test)

    def test_slow_response_is_truncated_at_the_deadline(self) -> None:
        """Guards against a slow response that occupies a slot."""

        async def test() -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                await entry_harness.read_head(upstream, sock)
                await sock.sendall(
                    entry_harness.ok_response(b'x' * 999)[:-998]
                )
                try:
                    while True:
                        await aio.sleep(timedelta(milliseconds=10))
                        await sock.sendall(b'x')
                except OSError:
                    return

            upstream = await entry_harness.start_scripted(script)
            path = await entry_harness.start({'free-a': upstream.address})
            limit = (('x-deadline-ms', '100'),)
            with self.assertRaises(errors.ConnectionLost):
                await path.fetch('GET', '/free/x', headers=limit)
            self.assertEqual(0, path.conns.open_count(upstream.address))

        entry_harness.run(test)

    def test_early_refusal_of_a_long_body_is_read(self) -> None:
        """Guards against outcome "unknown" for an early refusal.

        The upstream refuses before it has read the body.
        """

        async def test() -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                await entry_harness.read_head(upstream, sock)
                await sock.sendall(
                    b'HTTP/1.1 421 Not owner\r\nContent-Length: 0\r\n\r\n'
                )
                await stopped.wait()

            stopped = aio.Event()
            upstream = await entry_harness.start_scripted(script)
            path = await entry_harness.start({'free-a': upstream.address})
            sock = await aio.connect(entry_harness.HOST, path.address.port)
            length = b'Content-Length: %d\r\n\r\n' % LONG_BODY
            await sock.sendall(POST + length)
            sending = await aio.spawn(send_ignoring_errors(sock, LONG_BODY))
            response = await entry_harness.read_until_closed(sock)
            await sending.join()
            await stopped.set()
            self.assertIn(b'x-outcome: not-run', response)
            self.assertIn(b'x-reason: not-owner', response)

        entry_harness.run(test)

    def test_body_that_breaks_after_dispatch_is_unknown(self) -> None:
        """Guards against outcome "not-run" after part of a body was sent."""
        chunk = b'%x\r\n' % http_io.PIECE_BYTES
        piece = chunk + b'x' * http_io.PIECE_BYTES + b'\r\n'
        cases = (piece * 2 + b'zz\r\n', piece * 4)

        async def test() -> None:
            async def script(
                upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
            ) -> None:
                await entry_harness.read_head(upstream, sock)
                while await sock.recv(65536):
                    pass

            for body in cases:
                upstream = await entry_harness.start_scripted(script)
                path = await entry_harness.start({'free-a': upstream.address})
                head = POST + b'Transfer-Encoding: chunked\r\n\r\n'
                response = await path.send_raw(head + body)
                self.assertIn(b'x-outcome: unknown', response)
                self.assertIn(b'x-reason: bad-request', response)
                self.assertEqual(0, path.conns.open_count(upstream.address))

        limit = 3 * http_io.PIECE_BYTES
        with mock.patch.object(forwarding, 'MAX_BODY_BYTES', limit):
            entry_harness.run(test)

    def test_connections_to_an_endpoint_are_limited(self) -> None:
        """Guards against exceeding an endpoint's connection limit."""

        async def test() -> None:
            upstream = await entry_harness.start_scripted(
                entry_harness.answering(close=False)
            )
            pool = upstream_pool.UpstreamPool()
            held = [
                await pool.take(upstream.address, limit=2) for _ in range(2)
            ]
            with self.assertRaises(errors.ConnectionFailed):
                await pool.take(upstream.address, limit=2)
            for conn in held:
                await pool.give_back(upstream.address, conn)
            self.assertEqual(0, pool.open_count(upstream.address))

        entry_harness.run(test)

    def test_request_goes_to_new_owner_after_421(self) -> None:
        """Guards against refusing or repeating requests on a stale map."""

        async def test() -> None:
            refusal = (
                b'HTTP/1.1 421 Not owner\r\nX-Owner-Epoch: 4\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            old = await entry_harness.start_scripted(
                entry_harness.answering(refusal)
            )
            new = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b'new'))
            )
            path = await entry_harness.start({'keyed-a': old.address})
            both = {'keyed-b': new.address, 'keyed-a': old.address}

            def move() -> None:
                path.views.view = entry_harness.make_view(both)

            path.views.on_refresh = move
            response = await path.fetch('GET', '/keyed/k')
            self.assertEqual(b'new', response.body)
            self.assertEqual(1, len(old.received))

        entry_harness.run(test)

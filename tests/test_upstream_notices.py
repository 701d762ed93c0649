"""Tests what upstreams announce in responses: leaving and pauses."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import random
import re
from typing import Any
from typing import cast
import unittest
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import decision_log
from goldcresthaven import fleet_codec
from goldcresthaven import fleet_messages
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import request_meta
from goldcresthaven import retries
from goldcresthaven import routes
from goldcresthaven import selection
from goldcresthaven import upstream_notices
from goldcresthaven.platform import headers as platform_headers
from tests import fake_platform
from tests import test_gateway

NOW = timedelta(seconds=50)
MS = timedelta(milliseconds=1)
DRAIN = timedelta(milliseconds=700)
ALLOWED = DRAIN - upstream_notices.DRAIN_MARGIN
AFTER_DRAIN = ALLOWED + 60 * MS
LEAVING = 'Server-Leaving: 1\r\n'
NOT_RUN = test_gateway.NOT_RUN
STAMP = test_gateway.STAMP
KEYED = f'{test_gateway.KEY}: 7\r\n'


def meta(
    *, leaving: bool = False, pause: timedelta | None = None
) -> request_meta.UpstreamMeta:
    return request_meta.UpstreamMeta(
        request_id=None,
        signed=True,
        not_run=False,
        load=None,
        leaving=leaving,
        pause=pause,
    )


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observed: list[upstream_notices.Notice] = []
        self.notices = self.create(1)
        self.upstream = fake_platform.upstream('u1')
        self.table = registry.Registry(leaving=self.notices.leaving_since)
        self.apply(self.upstream)

    def create(self, seed: int) -> upstream_notices.UpstreamNotices:
        return upstream_notices.UpstreamNotices(
            rng=random.Random(seed), observe=self.observed.append
        )

    def apply(self, upstream: registry.Upstream, at: timedelta = NOW) -> None:
        self.table.apply(
            {upstream.upstream_id: upstream}, full=False, version=1, now=at
        )

    def report(self, age: timedelta) -> fleet_messages.LeavingUpstream:
        return fleet_messages.LeavingUpstream(
            upstream_id=ids.UpstreamId('u1'), incarnation=1, age=age
        )

    def test_leaving_counts_from_the_first_response(self) -> None:
        """Guards against a clock that each further response restarts."""
        for at in range(3):
            self.notices.record_response(
                self.upstream, meta(leaving=True), NOW + at * 500 * MS
            )
        last_send = NOW + upstream_notices.DEFAULT_DRAIN
        last_send -= upstream_notices.DRAIN_MARGIN
        self.assertTrue(self.notices.may_send(self.upstream, last_send - MS))
        self.assertFalse(self.notices.may_send(self.upstream, last_send))
        self.assertEqual(len(self.observed), 1)

    def test_older_row_or_report_does_not_take_leaving_back(self) -> None:
        """Guards against use of an upstream that a stale row calls ready."""
        self.notices.record_response(self.upstream, meta(leaving=True), NOW)
        later = NOW + timedelta(seconds=3)
        self.apply(self.upstream, later)
        self.notices.record_reports([self.report(timedelta())], later)
        self.notices.record_response(self.upstream, meta(), later)
        self.assertFalse(self.notices.may_send(self.upstream, later))
        self.assertEqual(
            self.table.departure(self.upstream.upstream_id, later), NOW
        )
        self.assertEqual(self.table.usable(fake_platform.POOL, later), [])

    def test_drain_in_a_row_is_not_taken_back_by_an_older_row(self) -> None:
        """Guards against use of an upstream after an older relayed row."""
        draining = fake_platform.upstream('u1', draining=True)
        self.apply(draining)
        self.notices.record_draining(draining, NOW, NOW)
        self.apply(self.upstream, NOW + timedelta(seconds=1))
        later = NOW + upstream_notices.REGISTRY_GRACE
        self.assertFalse(self.notices.may_send(self.upstream, later))
        self.assertEqual(self.table.usable(fake_platform.POOL, later), [])

    def test_next_incarnation_is_used_at_once(self) -> None:
        """Guards against a notice that outlives its incarnation."""
        self.notices.record_response(
            self.upstream,
            meta(leaving=True, pause=timedelta(seconds=9)),
            NOW,
        )
        restarted = fake_platform.upstream('u1', incarnation=2)
        later = NOW + timedelta(seconds=3)
        self.apply(restarted, later)
        self.assertTrue(self.notices.may_send(restarted, later))
        self.assertEqual(
            self.table.usable(fake_platform.POOL, later), [restarted]
        )

    def test_report_starts_the_clock_when_the_other_process_saw_it(
        self,
    ) -> None:
        """Guards against a drain time that starts anew at each process."""
        self.notices.record_reports([self.report(400 * MS)], NOW)
        allowed = upstream_notices.DEFAULT_DRAIN
        allowed -= upstream_notices.DRAIN_MARGIN
        last_send = NOW - 400 * MS + allowed
        self.assertTrue(self.notices.may_send(self.upstream, last_send - MS))
        self.assertFalse(self.notices.may_send(self.upstream, last_send))

    def test_notice_survives_as_long_as_its_row(self) -> None:
        """Guards against use of an upstream whose row stays for days."""
        self.notices.record_response(self.upstream, meta(leaving=True), NOW)
        days_later = NOW + timedelta(days=2)
        self.notices.remove_unregistered([self.upstream], days_later)
        self.assertFalse(self.notices.may_send(self.upstream, days_later))
        self.notices.remove_unregistered([], days_later)
        self.assertEqual(dict(self.notices.leaving_since), {})

    def test_each_source_is_observed_once(self) -> None:
        """Guards against a log without the source of a notice."""
        self.notices.record_draining(self.upstream, NOW, NOW)
        other = fake_platform.upstream('u2')
        self.notices.record_response(other, meta(leaving=True), NOW)
        self.notices.record_response(self.upstream, meta(leaving=True), NOW)
        found = [
            (notice.upstream_id, notice.source)
            for notice in self.observed
            if isinstance(notice, upstream_notices.LeavingFound)
        ]
        self.assertEqual(
            found,
            [
                ('u1', upstream_notices.Source.REGISTRY),
                ('u2', upstream_notices.Source.RESPONSE),
            ],
        )

    def test_pauses_of_a_fleet_end_spread_out(self) -> None:
        """Guards against a return of all VMs at the same instant."""
        pause = timedelta(seconds=4)
        ends = []
        for seed in range(50):
            notices = self.create(seed)
            notices.record_response(self.upstream, meta(pause=pause), NOW)
            end = notices.paused_until(self.upstream, NOW)
            assert end is not None
            ends.append(end - NOW)
        self.assertGreaterEqual(min(ends), pause)
        self.assertGreater(max(ends) - min(ends), 500 * MS)
        self.assertLessEqual(
            max(ends), pause + upstream_notices.MAX_PAUSE_SPREAD
        )

    def test_later_pause_does_not_shorten_an_earlier_one(self) -> None:
        """Guards against requests within the longer of two pauses."""
        for seconds in (5, 1):
            self.notices.record_response(
                self.upstream, meta(pause=timedelta(seconds=seconds)), NOW
            )
        at = NOW + timedelta(seconds=4.9)
        self.assertFalse(self.notices.may_send(self.upstream, at))
        at = NOW + timedelta(seconds=6.5)
        self.assertTrue(self.notices.may_send(self.upstream, at))
        self.assertEqual(len(self.observed), 1)


class HeadersTest(unittest.TestCase):
    def decode(
        self, status: int, *headers: tuple[str, str]
    ) -> request_meta.UpstreamMeta:
        return platform_headers.PlatformHeaders().from_upstream(
            http_head.ResponseHead(status=status, headers=headers)
        )

    def test_leaving_is_decoded_from_every_response_of_the_upstream(
        self,
    ) -> None:
        """Guards against a notice that is missed in a failure.

        A 421 may come from another upstream at the same address.
        """
        for status, expected in (
            (200, True),
            (404, True),
            (408, True),
            (429, True),
            (500, True),
            (503, True),
            (421, False),
        ):
            with self.subTest(status=status):
                found = self.decode(status, ('server-leaving', '1'))
                self.assertEqual(found.leaving, expected)
        self.assertFalse(self.decode(200, ('server-leaving', '0')).leaving)
        self.assertFalse(self.decode(200).leaving)

    def test_pause_is_decoded_from_a_503_only(self) -> None:
        """Guards against a pause that an upstream did not ask for."""
        header = ('retry-after', '1.25')
        self.assertEqual(self.decode(503, header).pause, 1250 * MS)
        self.assertIsNone(self.decode(429, header).pause)
        self.assertIsNone(self.decode(200, header).pause)
        self.assertIsNone(self.decode(503).pause)

    def test_malformed_pauses(self) -> None:
        """Guards against an upstream without work after a faulty value.

        Each faulty value gets a line in the log.
        """
        longest = platform_headers.MAX_PAUSE
        for text, expected in (
            ('-1', None),
            ('nan', None),
            ('inf', None),
            ('1e400', None),
            ('soon', None),
            ('', None),
            ('1_0', None),
            ('\u0661', None),
            ('1234567890', None),
            ('0.1234567891', None),
            ('123456789', longest),
            ('1e9', longest),
            ('301', longest),
            ('0', timedelta()),
            (' 2 ', timedelta(seconds=2)),
        ):
            with self.subTest(text=text):
                with mock.patch.object(decision_log, 'note') as note:
                    found = self.decode(503, ('retry-after', text)).pause
                self.assertEqual(found, expected)
                lines = []
                if expected is None:
                    lines = [mock.call('pause-unreadable', detail=text)]
                elif expected == longest:
                    lines = [mock.call('pause-too-long', detail=text)]
                self.assertEqual(note.mock_calls, lines)


def slow(delay: timedelta, script: test_gateway.Script) -> test_gateway.Script:
    async def delayed(sock: aio.Socket, request: str) -> None:
        await aio.sleep(delay)
        await script(sock, request)

    return delayed


def leaving_response() -> test_gateway.Script:
    return test_gateway.respond(extra=STAMP + LEAVING)


def pausing(seconds: float) -> test_gateway.Script:
    return test_gateway.respond(
        '',
        status='503 Busy',
        extra=f'{NOT_RUN}Retry-After: {seconds}\r\n',
    )


def retry_after(reply: str) -> float:
    found = re.search(r'retry-after: ([\d.]+)', reply)
    assert found is not None, reply
    return float(found[1])


class RequestCase(unittest.TestCase):
    def run_with(
        self, test: Callable[[], Awaitable[None]], limit: float = 8
    ) -> None:
        async def limited() -> None:
            async with aio.timeout(timedelta(seconds=limit)):
                await test()

        aio.run(limited)

    def router(
        self,
        pool: ids.PoolName = test_gateway.UNKEYED,
        *,
        kind: routes.RouteKind = routes.RouteKind.SAFE,
        drain: timedelta = DRAIN,
    ) -> test_gateway.Router:
        return test_gateway.Router(pool=pool, kind=kind, drain=drain)

    async def delay_connections(
        self, router: test_gateway.Router, delay: timedelta
    ) -> None:
        """Make requests wait between their placing and their sending."""
        take = router.connections.take

        async def delayed(
            address: members.Address, **options: Any
        ) -> http_io.UpstreamConn:
            conn = await take(address, **options)
            await aio.sleep(delay)
            return conn

        cast(Any, router.connections).take = delayed


class LeavingTest(RequestCase):
    def test_last_upstream_serves_until_its_time_ends(self) -> None:
        """Guards against refusals by a pool whose last upstream leaves.

        After its time, nothing may go there on an open connection either.
        """

        async def main() -> None:
            upstream = test_gateway.Upstream(leaving_response())
            router = self.router()
            await router.start(upstream)
            for _ in range(2):
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            await aio.sleep(AFTER_DRAIN)
            self.assertEqual(router.connections.opened, 1)
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertIn('retry-after', reply)
            self.assertEqual(len(upstream.requests), 2)

        self.run_with(main)

    def requests_beside_a_loaded_upstream(self, queued: int) -> int:
        """Return how many of 4 requests a leaving upstream gets.

        The other upstream of the pool reports ``queued`` waiting requests.
        """
        load = 'X-Goldcresthaven-Instance-Load'
        loaded = test_gateway.respond(extra=f'{STAMP}{load}: 4,{queued},4\r\n')
        idle = test_gateway.respond(extra=f'{STAMP}{LEAVING}{load}: 0,0,4\r\n')
        first = test_gateway.Upstream(*[idle] * 9)
        second = test_gateway.Upstream(*[loaded] * 5)

        async def main() -> None:
            router = self.router(drain=upstream_notices.DEFAULT_DRAIN)
            await router.start(first)
            await router.ask()
            await router.add('u9', second)
            while not second.requests:
                await router.ask()
            first.requests.clear()
            for _ in range(4):
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

        self.run_with(main)
        return len(first.requests)

    def test_other_upstreams_get_the_work_at_once(self) -> None:
        """Guards against work for a leaving upstream beside others.

        It gets none although the others are busier.
        """
        self.assertEqual(self.requests_beside_a_loaded_upstream(36), 0)

    def test_work_that_no_other_can_do_in_time_goes_there(self) -> None:
        """Guards against refusals while a leaving upstream still serves."""
        self.assertEqual(self.requests_beside_a_loaded_upstream(900), 4)

    def test_crashed_upstream_is_no_last_resort(self) -> None:
        """Guards against attempts at an upstream whose entry has expired.

        It has announced nothing, and a connection to it may only time out.
        """

        async def main() -> None:
            upstream = test_gateway.Upstream()
            router = self.router()
            await router.start(upstream)
            router.known_state.registry.apply(
                {ids.UpstreamId('u0'): None},
                full=False,
                version=2,
                now=router.clock.elapsed(),
            )
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertEqual(router.connections.opened, 0)

        self.run_with(main)

    def test_waiting_request_is_not_sent_after_the_time(self) -> None:
        """Guards against a request that was placed before the time ended."""

        async def main() -> None:
            upstream = test_gateway.Upstream(leaving_response())
            router = self.router(kind=routes.RouteKind.UNSAFE)
            await router.start(upstream)
            await router.ask(method='POST')
            await self.delay_connections(router, AFTER_DRAIN)
            reply = await router.ask(method='POST')
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertEqual(len(upstream.requests), 1)

        self.run_with(main)

    def test_retry_does_not_go_there_after_the_time(self) -> None:
        """Guards against a retry on an upstream that may have ended."""

        async def main() -> None:
            first = test_gateway.Upstream(leaving_response())
            shed = test_gateway.respond('', status='503 Busy', extra=NOT_RUN)
            second = test_gateway.Upstream(slow(AFTER_DRAIN, shed))
            router = self.router()
            await router.start(first)
            await router.ask()
            await router.add('u9', second)
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertEqual(len(second.requests), 1)
            self.assertEqual(len(first.requests), 1)

        self.run_with(main)

    def test_request_sent_ahead_is_not_sent_after_the_time(self) -> None:
        """Guards against a request that waited behind a slow response.

        The slow request was sent in time and gets its response.
        """

        async def main() -> None:
            upstream = test_gateway.Upstream(
                leaving_response(), slow(AFTER_DRAIN, leaving_response())
            )
            router = self.router()
            await router.start(upstream)
            await router.ask()
            sock = await router.connect()
            first = test_gateway.request().replace(
                b'Connection: close\r\n', b''
            )
            await sock.sendall(first + test_gateway.request())
            data = b''
            while piece := await sock.recv(65536):
                data += piece
            statuses = re.findall(r'HTTP/1.1 (\d+)', data.decode())
            self.assertEqual(statuses, ['200', '503'])
            self.assertEqual(len(upstream.requests), 2)

        self.run_with(main)

    def test_rejection_starts_the_clock(self) -> None:
        """Guards against a notice that is read in successes only."""

        async def main() -> None:
            shed = test_gateway.respond(
                '', status='503 Busy', extra=NOT_RUN + LEAVING
            )
            upstream = test_gateway.Upstream(shed)
            router = self.router()
            await router.start(upstream)
            await router.ask()
            await aio.sleep(AFTER_DRAIN)
            await router.ask()
            self.assertEqual(len(upstream.requests), 1)

        self.run_with(main)

    def test_late_response_starts_the_clock(self) -> None:
        """Guards against a notice in a second, skipped response."""

        async def late(sock: aio.Socket, request: str) -> None:
            await sock.sendall(
                f'HTTP/1.1 200 OK\r\n{STAMP}{LEAVING}{test_gateway.ID}: r0'
                '\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await test_gateway.respond()(sock, request)

        async def main() -> None:
            upstream = test_gateway.Upstream(late)
            router = self.router()
            await router.start(upstream)
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            await aio.sleep(AFTER_DRAIN)
            await router.ask()
            self.assertEqual(len(upstream.requests), 1)

        self.run_with(main)

    def requests_after_an_idle_connection_ended(
        self, next_incarnation: int
    ) -> int:
        """Return how many requests an upstream got in all.

        It ends an idle connection with a response that says that it leaves;
        the second request finds this, and the third comes after the time.
        """

        async def ending(sock: aio.Socket, request: str) -> None:
            await test_gateway.respond()(sock, request)
            await aio.sleep(50 * MS)
            head = f'HTTP/1.1 408 Idle\r\n{LEAVING}Content-Length: 0\r\n\r\n'
            await sock.sendall(head.encode())

        upstream = test_gateway.Upstream(ending)

        async def main() -> None:
            router = self.router()
            await router.start(upstream)
            await router.ask()
            await aio.sleep(150 * MS)
            router.register(
                'u0', router_port(router), incarnation=next_incarnation
            )
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            await aio.sleep(AFTER_DRAIN)
            await router.ask()

        self.run_with(main)
        return len(upstream.requests)

    def test_response_that_ends_an_idle_connection(self) -> None:
        """Guards against a notice that is dropped with its connection.

        It does not count against the next incarnation at the address.
        """
        self.assertEqual(self.requests_after_an_idle_connection_ended(1), 2)
        self.assertEqual(self.requests_after_an_idle_connection_ended(2), 3)

    def test_keyed_request_is_refused_after_the_time(self) -> None:
        """Guards against requests to an owner whose time has run out.

        The registry still says ready and the map still names it. A request
        that could not be served after the move is refused at once.
        """

        async def main() -> None:
            upstream = test_gateway.Upstream(
                slow(400 * MS, leaving_response())
            )
            router = self.router(fake_platform.POOL)
            await router.start(upstream)
            router.assign('u0', 5)
            reply = await router.ask(extra=KEYED)
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            await aio.sleep(AFTER_DRAIN)
            router.register('u0', router_port(router))
            sock = await router.connect()
            started = router.clock.elapsed()
            short = test_gateway.request(extra=KEYED).replace(
                b'Deadline-Ms: 1500', b'Deadline-Ms: 340'
            )
            await sock.sendall(short)
            reply = (await sock.recv(65536)).decode()
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertLess(router.clock.elapsed() - started, 250 * MS)
            self.assertIn('retry-after', reply)
            self.assertEqual(len(upstream.requests), 1)

        self.run_with(main)

    def test_keyed_request_waits_for_the_move(self) -> None:
        """Guards against a refusal while the key is about to move."""

        async def main() -> None:
            old = test_gateway.Upstream(leaving_response())
            new = test_gateway.Upstream(test_gateway.respond('from the next'))
            router = self.router(fake_platform.POOL)
            await router.start(old, new)
            router.assign('u0', 5)
            await router.ask(extra=KEYED)
            await aio.sleep(AFTER_DRAIN)

            async def move() -> None:
                await aio.sleep(100 * MS)
                router.assign('u1', 6)

            await aio.spawn(move())
            reply = await router.ask(extra=KEYED)
            self.assertTrue(reply.endswith('from the next'), reply)
            self.assertEqual(len(old.requests), 1)

        self.run_with(main)

    def test_reused_address_is_used_at_once(self) -> None:
        """Guards against a notice that is kept for an address.

        The next upstream there may have another id or be the same one after
        a restart. A late row of the one that left stays without effect.
        """
        for name, incarnation in (('u0', 2), ('u5', 1)):

            async def main() -> None:
                upstream = test_gateway.Upstream(leaving_response())
                router = self.router()
                await router.start(upstream)
                await router.ask()
                await aio.sleep(AFTER_DRAIN)
                port = router_port(router)
                router.register('u0', port)
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
                self.assertEqual(len(upstream.requests), 1)
                router.register(name, port, incarnation=incarnation)
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

            with self.subTest(name=name):
                self.run_with(main)

    def test_another_upstream_at_the_address_is_not_taken_for_it(self) -> None:
        """Guards against a notice of an upstream that answers with 421."""

        async def main() -> None:
            moved = test_gateway.respond(
                '', status='421 Misdirected', extra=NOT_RUN + LEAVING
            )
            upstream = test_gateway.Upstream(moved)
            router = self.router()
            await router.start(upstream)
            await router.ask()
            await aio.sleep(AFTER_DRAIN)
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

        self.run_with(main)


def router_port(router: test_gateway.Router) -> int:
    return router.known_state.registry.all_upstreams()[0].address.port


class PauseTest(RequestCase):
    def test_paused_upstream_gets_nothing_until_the_end(self) -> None:
        """Guards against requests to an upstream that asked for a pause.

        Placing and retries take the others, even if these are full.
        """

        async def main() -> None:
            first = test_gateway.Upstream(pausing(0.5))
            shed = test_gateway.respond('', status='503 Busy', extra=NOT_RUN)
            second = test_gateway.Upstream(shed, shed, shed)
            router = self.router()
            await router.start(first)
            await router.ask()
            await router.add('u9', second)
            await aio.sleep(selection.SHED_PAUSE)
            for _ in range(3):
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertEqual(len(first.requests), 1)
            self.assertEqual(len(second.requests), 3)
            await aio.sleep(timedelta(seconds=0.6))
            router.known_state.registry.apply(
                {ids.UpstreamId('u9'): None},
                full=False,
                version=2,
                now=router.clock.elapsed() - timedelta(seconds=5),
            )
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)
            self.assertEqual(len(first.requests), 2)

        self.run_with(main)

    def test_malformed_pause_does_not_end_the_work(self) -> None:
        """Guards against refusals by a pool after a faulty value."""
        for text in ('soon', '-1', 'nan', '1e400', '9' * 400):

            async def main() -> None:
                shed = test_gateway.respond(
                    '',
                    status='503 Busy',
                    extra=f'{NOT_RUN}Retry-After: {text}\r\n',
                )
                upstream = test_gateway.Upstream(shed)
                router = self.router()
                await router.start(upstream)
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
                self.assertLess(retry_after(reply), 2)
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

            with self.subTest(text=text):
                self.run_with(main)

    def test_pool_with_all_paused_rejects_at_once(self) -> None:
        """Guards against requests and early returns during all pauses.

        Retry-After is not cut to the caller's deadline, and differs between
        the callers.
        """

        async def main() -> None:
            first = test_gateway.Upstream(pausing(8))
            second = test_gateway.Upstream(pausing(5))
            router = self.router()
            await router.start(first, second)
            began = router.clock.elapsed()
            reply = await router.ask()
            while len(first.requests) + len(second.requests) < 2:
                reply = await router.ask()
            asked = []
            for _ in range(5):
                reply = await router.ask()
                self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
                left = 5 - (router.clock.elapsed() - began).total_seconds()
                self.assertGreaterEqual(retry_after(reply), left)
                asked.append(retry_after(reply))
            self.assertGreater(max(asked) - min(asked), 0.05)
            self.assertEqual(len(first.requests) + len(second.requests), 2)
            self.assertEqual(router.connections.opened, 2)

        self.run_with(main)

    def test_owner_of_a_key_pauses_across_a_claim_change(self) -> None:
        """Guards against a pause that ends with a new coordinator's map.

        A further owner of the key is used at once.
        """

        async def main() -> None:
            upstream = test_gateway.Upstream(pausing(6))
            other = test_gateway.Upstream()
            router = self.router(fake_platform.POOL)
            await router.start(upstream, other)
            router.assign('u0', 5)
            reply = await router.ask(extra=KEYED)
            self.assertGreaterEqual(retry_after(reply), 5.5)
            router.known_state.apply_coordinator_change(
                fleet_messages.CoordinatorChange(
                    pool=fake_platform.POOL,
                    base=5,
                    version=6,
                    address='127.0.0.1:9',
                ),
                router.clock.elapsed(),
            )
            self.assertEqual(
                router.known_state.maps[fake_platform.POOL].version, 6
            )
            reply = await router.ask(extra=KEYED)
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertGreaterEqual(retry_after(reply), 5)
            self.assertEqual(len(upstream.requests), 1)
            router.assign('u1', 7)
            reply = await router.ask(extra=KEYED)
            self.assertTrue(reply.startswith('HTTP/1.1 200'), reply)

        self.run_with(main)

    def test_waiting_request_is_not_sent_after_a_pause_began(self) -> None:
        """Guards against a request that was placed before the pause."""

        async def main() -> None:
            upstream = test_gateway.Upstream()
            router = self.router()
            await router.start(upstream)
            await self.delay_connections(router, 200 * MS)

            async def pause() -> None:
                await aio.sleep(80 * MS)
                known = router.known_state.registry.all_upstreams()[0]
                router.known_state.notices.record_response(
                    known,
                    meta(pause=timedelta(seconds=4)),
                    router.clock.elapsed(),
                )

            await aio.spawn(pause())
            reply = await router.ask()
            self.assertTrue(reply.startswith('HTTP/1.1 503'), reply)
            self.assertGreaterEqual(retry_after(reply), 3.5)
            self.assertEqual(upstream.requests, [])

        self.run_with(main)

    def test_pause_does_not_raise_the_retry_budget(self) -> None:
        """Guards against retries beyond the fleet's limit during pauses.

        Requests that were withheld were never sent and need no token.
        """
        refused = retries.Attempt(
            upstream=ids.UpstreamId('u1'),
            bytes_written=9,
            status=503,
            x_outcome='not-run',
        )
        withheld = retries.Attempt(
            upstream=ids.UpstreamId('u1'),
            bytes_written=0,
            failure=retries.Failure.WITHHELD,
        )
        context = retries.RetryContext(
            idempotent=True,
            replayable=True,
            attempts=1,
            remaining=timedelta(seconds=1),
        )
        spent = retries.RetryBudget(tokens=0.0)
        self.assertFalse(retries.may_retry(refused, context, spent))
        self.assertTrue(retries.may_retry(withheld, context, spent))

    def test_fifty_upstreams_that_pause_together(self) -> None:
        """Guards against requests while a whole pool has asked for a pause."""
        notices = upstream_notices.UpstreamNotices(rng=random.Random(4))
        pool = [fake_platform.upstream(f'u{n}') for n in range(50)]
        for number, upstream in enumerate(pool):
            at = NOW + number * 40 * MS
            self.assertIsNone(notices.soonest_end(pool, at))
            notices.record_response(
                upstream, meta(pause=timedelta(seconds=3)), at
            )
        at = NOW + timedelta(seconds=2)
        self.assertEqual(notices.unpaused(pool, at), [])
        end = notices.soonest_end(pool, at)
        assert end is not None
        self.assertGreaterEqual(end, NOW + timedelta(seconds=3))
        self.assertGreaterEqual(notices.retry_after(end, at), end - at)


class MessageTest(unittest.TestCase):
    def test_leaving_upstreams_survive_the_encoding(self) -> None:
        """Guards against a report that names another incarnation."""
        message = fleet_messages.Leaving(
            pool=fake_platform.POOL,
            upstreams=[
                fleet_messages.LeavingUpstream(
                    upstream_id=ids.UpstreamId('u1'),
                    incarnation=1_700_000_000_000,
                    age=30 * MS,
                )
            ],
        )
        found = fleet_codec.decode(fleet_codec.encode(message))
        self.assertEqual(found, message)

    def test_each_upstream_is_reported_twice_and_relayed_by_some(self) -> None:
        """Guards against datagrams without end, and against none at all."""
        notices = upstream_notices.UpstreamNotices(rng=random.Random(4))
        pool = [fake_platform.upstream(f'u{n}') for n in range(150)]
        for upstream in pool:
            notices.record_response(upstream, meta(leaving=True), NOW)
        names: list[str] = []
        for _ in range(6):
            taken = notices.take_unreported(NOW, relaying=False)
            self.assertLessEqual(len(taken), fleet_messages.MAX_LEAVING)
            names += [each.upstream_id for each in taken]
        self.assertEqual(
            sorted(names), sorted(2 * [f'u{n}' for n in range(150)])
        )
        for relaying, expected in ((False, 0), (True, 1)):
            other = upstream_notices.UpstreamNotices(rng=random.Random(4))
            other.record_reports(taken or [self.reported()], NOW)
            found = other.take_unreported(NOW, relaying=relaying)
            self.assertEqual(len(found), expected)

    def reported(self) -> fleet_messages.LeavingUpstream:
        return fleet_messages.LeavingUpstream(
            upstream_id=ids.UpstreamId('u1'), incarnation=1, age=timedelta()
        )


if __name__ == '__main__':
    unittest.main()

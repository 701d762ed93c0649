"""Process tests with real signals, real sockets and a real store outage."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import json

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import lease_client
from goldcresthaven import leases
from goldcresthaven import members
from tests import fleet_case
from tools import entry_harness
from tools import http_client

SLOW_MS = 60_000
STREAM_BYTES = 64 << 20
# Streaming in both directions needs a few buffers of 64 KiB; the rest is
# headroom for the allocator.
MAX_GROWTH_KIB = 8 << 10


def idempotency_headers(
    key: str, deadline_ms: int | None = None
) -> http_head.Headers:
    headers = (('idempotency-key', key),)
    if deadline_ms is None:
        return headers
    return (*headers, ('x-deadline-ms', str(deadline_ms)))


def memory_kib(pid: int, name: str) -> int:
    """Return a memory field of ``/proc/PID/status``.

    VmRSS is the current resident memory, VmHWM its peak.
    """
    with open(f'/proc/{pid}/status') as status:
        line = next(s for s in status if s.startswith(name))
    return int(line.split()[1])


class UpstreamLossTest(fleet_case.FleetCase):
    async def _wait_in_use(self, name: str, count: int = 1) -> None:
        async def busy() -> bool:
            return await self.in_use(name) == count

        await self.until(busy)

    def _run_with_entry(
        self, test: Callable[[members.Address], Awaitable[None]]
    ) -> None:
        entry = self.start_entry()

        async def main() -> None:
            await self.publish('30s')
            address = fleet_case.address_of(entry)
            await self.until_served(address)
            await test(address)

        entry_harness.run(main)

    def test_upstream_killed_during_a_request(self) -> None:
        """Guards against "not-run" when an upstream dies during a request."""
        upstream = self.start_upstream('free-a')

        async def test(entry: members.Address) -> None:
            await self._slow_down('free-a')
            fetching = await aio.spawn(
                http_client.fetch(
                    entry, 'POST', '/pay/', headers=idempotency_headers('k')
                )
            )
            await self._wait_in_use('free-a')
            upstream.send(fleet_case.KILL)
            response = await fetching.join()
            self.assertEqual(502, response.status)
            self.assertEqual('unknown', response.outcome)
            self.assertEqual('connection-lost', response.reason)

        self._run_with_entry(test)

    def test_frozen_and_resumed(self) -> None:
        """Guards against a late response and a second run after a freeze.

        An upstream is stopped past the deadline of a request and resumed.
        Its late response must not reach another caller, and a retry of the
        request must not run.
        """
        upstream = self.start_upstream('free-a')

        async def test(entry: members.Address) -> None:
            upstream.send(fleet_case.STOP)
            response = await http_client.fetch(
                entry, 'POST', '/pay/', headers=idempotency_headers('k', 300)
            )
            self.assertEqual(504, response.status)
            self.assertEqual('unknown', response.outcome)
            upstream.send(fleet_case.CONTINUE)

            async def ran() -> bool:
                return await self.executions('free-a', 'k') == 1

            await self.until(ran)
            for number in range(5):
                target = f'/free/{number}'
                later = await http_client.fetch(entry, 'GET', target)
                self.assertEqual(target, later.json()['target'])
            again = await http_client.fetch(
                entry, 'POST', '/pay/', headers=idempotency_headers('k')
            )
            self.assertEqual('already-sent', again.reason)
            self.assertEqual(1, await self.executions('free-a', 'k'))

        self._run_with_entry(test)

    def test_connection_cut_by_caller(self) -> None:
        """Guards against slots held for callers that have disconnected."""
        # The stand-in does not detect the closed connection. It gets many
        # slots, so that only the four slots of the entry are the limit.
        self.start_upstream('free-a', slots=100)

        async def test(entry: members.Address) -> None:
            await self._slow_down('free-a')
            for number in range(1, 5):
                sock = await aio.connect(entry.host, entry.port)
                await sock.sendall(b'GET /free/x HTTP/1.1\r\nHost: a\r\n\r\n')
                await self._wait_in_use('free-a', number)
                await sock.close()
            await self._slow_down('free-a', 1)
            later = await http_client.fetch(
                entry, 'GET', '/free/x', headers=(('x-deadline-ms', '2000'),)
            )
            self.assertEqual('done', later.outcome)

        self._run_with_entry(test)

    def test_not_owner_runs_nothing(self) -> None:
        """Guards against an upstream without a lease serving a key."""
        self.start_upstream('keyed-a', keyed=True)
        self.start_upstream('free-a')

        async def test(entry: members.Address) -> None:
            async def refused() -> bool:
                response = await http_client.fetch(
                    entry, 'GET', '/keyed/k', headers=idempotency_headers('k')
                )
                self.assertEqual('not-run', response.outcome)
                return response.reason == 'not-owner'

            await self.until(refused)
            self.assertEqual(0, await self.executions('keyed-a', 'k'))

        # An upstream accepts leases of one domain only. After this lease it
        # refuses those of the entry process.
        entry_harness.run(self._lease_to_another_domain)
        self._run_with_entry(test)

    async def _lease_to_another_domain(self) -> None:
        probe = leases.LeaseRequest(
            domain=ids.DomainId('other/0'), epoch=ids.Epoch(1), seq=1
        )
        address = self.members_by_name['keyed-a'].address
        await http_client.post_json(
            address, lease_client.PATH, probe.to_body()
        )

    def test_lease_that_ends_during_a_freeze(self) -> None:
        """Guards against a run by an upstream whose lease has expired.

        The lease expires while the upstream is stopped with a request.
        """
        upstream = self.start_upstream('keyed-a', keyed=True, service_ms=50)
        self.start_upstream('free-a')

        async def test(entry: members.Address) -> None:
            async def served() -> bool:
                response = await http_client.fetch(entry, 'GET', '/keyed/k')
                return response.outcome == 'done'

            await self.until(served)
            upstream.send(fleet_case.STOP)
            # The deadline is longer than the lease.
            headers = idempotency_headers(
                'k', 2 * leases.LEASE // timedelta(milliseconds=1)
            )
            frozen = await http_client.fetch(
                entry, 'GET', '/keyed/k', headers=headers
            )
            self.assertEqual('unknown', frozen.outcome)
            upstream.send(fleet_case.CONTINUE)
            await self.until(served)
            self.assertEqual(0, await self.executions('keyed-a', 'k'))

        self._run_with_entry(test)

    def test_streaming_needs_bounded_memory(self) -> None:
        """Guards against bodies that are buffered whole in the entry."""
        self.start_upstream('free-a')
        entry = self.start_entry('streaming')

        async def test(_: members.Address) -> None:
            address = fleet_case.address_of(entry)
            await self.until_served(address)
            before = memory_kib(entry.popen.pid, 'VmRSS')
            await self._download(address)
            await self._upload(address)
            growth = memory_kib(entry.popen.pid, 'VmHWM') - before
            self.assertLess(growth, MAX_GROWTH_KIB)

        self._run_with_entry(test)

    async def _slow_down(self, name: str, service_ms: int = SLOW_MS) -> None:
        await http_client.post_json(
            self.members_by_name[name].address,
            '/behaviour',
            {'service_ms': service_ms},
        )

    async def _download(self, entry: members.Address) -> None:
        sock = await aio.connect(entry.host, entry.port)
        conn = http_io.UpstreamConn(sock)
        target = f'/free/x?size={STREAM_BYTES}'
        await conn.send_head(
            http_head.RequestHead(
                method='GET', target=target, headers=(('host', 'a'),)
            )
        )
        await conn.finish()
        await conn.read_head()
        size = 0
        while piece := await conn.read_piece():
            size += len(piece)
        self.assertEqual(STREAM_BYTES, size)
        await conn.close()

    async def _upload(self, entry: members.Address) -> None:
        sock = await aio.connect(entry.host, entry.port)
        conn = http_io.UpstreamConn(sock)
        headers = (('host', 'a'), ('content-length', str(STREAM_BYTES)))
        await conn.send_head(
            http_head.RequestHead(
                method='POST', target='/free/x', headers=headers
            )
        )
        piece = bytes(http_io.PIECE_BYTES)
        for _ in range(STREAM_BYTES // len(piece)):
            await conn.send_piece(piece)
        await conn.finish()
        await conn.read_head()
        body = await conn.read_piece()
        self.assertEqual(STREAM_BYTES, json.loads(body)['received'])
        await conn.close()


class StoreLossTest(fleet_case.FleetCase):
    def test_store_down_and_losing_answers(self) -> None:
        """Guards against bookings that run twice or without a record.

        The store loses a response and then goes down. During the outage
        requests that need a record are refused, and others are served with
        the configuration known so far.
        """
        self.start_upstream('free-a')
        self.start_upstream('stored-a')
        entry = fleet_case.address_of(self.start_entry())

        async def post_booking(key: str) -> http_client.Response:
            return await http_client.fetch(
                entry, 'POST', '/book/', headers=idempotency_headers(key)
            )

        async def test() -> None:
            await self.publish()
            await self.until_served(entry)
            await self.set_faults(lose_answers=1)
            first = await post_booking('lost-answer')
            self.assertEqual('done', first.outcome)
            again = await post_booking('lost-answer')
            self.assertEqual('already-sent', again.reason)
            await self.set_faults(down=True)
            refused = await post_booking('down')
            self.assertEqual('not-run', refused.outcome)
            free = await http_client.fetch(entry, 'GET', '/free/x')
            self.assertEqual('done', free.outcome)
            await self.set_faults()
            served = await post_booking('down')
            self.assertEqual('done', served.outcome)
            for key in ('lost-answer', 'down'):
                runs = await self.executions('stored-a', key)
                self.assertEqual(1, runs)

        entry_harness.run(test)


class StopTest(fleet_case.FleetCase):
    def test_sigterm_interrupts_no_request(self) -> None:
        """Guards against a graceful shutdown that interrupts requests."""
        self.start_upstream('free-a', service_ms=1500)
        entry = self.start_entry()
        address = fleet_case.address_of(entry)

        async def test() -> None:
            await self.publish('10s')
            await self.until_served(address)
            fetching = [
                await aio.spawn(
                    http_client.fetch(address, 'GET', f'/free/{n}')
                )
                for n in range(3)
            ]

            async def all_run() -> bool:
                return await self.in_use('free-a') == 3

            await self.until(all_run)
            entry.terminate()

            async def not_ready() -> bool:
                response = await http_client.fetch(address, 'GET', '/ready')
                return response.status == 503

            await self.until(not_ready)
            during = await http_client.fetch(address, 'GET', '/free/new')
            self.assertEqual('done', during.outcome)
            connection = http_head.find(during.headers, 'connection')
            self.assertEqual('close', connection)
            for task in fetching:
                response = await task.join()
                self.assertEqual('done', response.outcome)

            async def gone() -> bool:
                try:
                    sock = await aio.connect(address.host, address.port)
                except errors.ConnectionFailed:
                    return True
                await sock.close()
                return False

            await self.until(gone)

        entry_harness.run(test)
        self.assertEqual(0, entry.stop())

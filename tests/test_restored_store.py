"""Process tests of a store that comes back from an older copy."""

from datetime import timedelta
import random
import signal
import time

from goldcresthaven import aio
from goldcresthaven import members
from soak import callers
from soak import checks
from soak import fleet
from tests import restore_case
from tools import http_client

ADDED = 'added'
# Requests may reach an upstream for this long after it began to leave.
MAX_USE_AFTER_DRAIN_S = 2.5
# The copy lacks what was written in the last seconds.
BACK_S = 3.0
MAX_GAP_S = 1.0


class RestoredRouteTest(restore_case.RestoreCase):
    async def _check_added(self, since: float) -> None:
        """Check that all gateways serve the added route in time, and stay.

        ``since`` is the time from which the store answers with the route.
        """
        served: dict[str, float] = {}
        lost: list[str] = []
        while time.monotonic() - since < 2 * restore_case.MAX_IN_FORCE_S:
            for gateway in self.fleet.gateways:
                status = await self.status(gateway, ADDED)
                if status == 200:
                    served.setdefault(gateway.name, time.monotonic() - since)
                elif status == 404 and gateway.name in served:
                    lost.append(gateway.name)
            await aio.sleep(restore_case.POLL_INTERVAL)
        late = {
            gateway.name: served.get(gateway.name)
            for gateway in self.fleet.gateways
            if served.get(gateway.name, 1e9) > restore_case.MAX_IN_FORCE_S
        }
        self.assertEqual(late, {}, 'route not served in time')
        self.assertEqual(lost, [], 'route came back older')

    async def _write_other_rows(self, count: int) -> None:
        """Raise the store's version by rows that nobody needs."""
        for number in range(count):
            key = f'other-{number}'
            row = {'table': 'op', 'part': '', 'key': key, 'value': ''}
            await self.command('/own', {'put': [row]})

    def test_route_added_after_the_restore(self) -> None:
        """Guards against a change whose version was given out before.

        The versions of the last seconds are lost, so that the new route gets
        one that gateways have already passed.
        """

        async def test() -> None:
            await aio.sleep(timedelta(seconds=1))
            await self._write_other_rows(40)
            await aio.sleep(timedelta(seconds=0.7))
            await self.leave()
            await aio.sleep(timedelta(seconds=0.3))
            await self.come_back(back_s=2.0)
            await self.fleet.configure(swapped=False, added=(ADDED,))
            await self._check_added(time.monotonic())

        self.run_test(test)

    def test_route_added_after_an_unnoticed_restore(self) -> None:
        """Guards against a lost change where versions have caught up.

        The version that follows the restored ones is soon above those that
        gateways have seen, so that nothing shows what they have missed.
        """

        async def test() -> None:
            await aio.sleep(timedelta(seconds=1))
            await self._write_other_rows(10)
            await aio.sleep(timedelta(seconds=0.7))
            await self.command('/restore', {'back_s': 2.0})
            await self.fleet.configure(swapped=False, added=(ADDED,))
            await self._write_other_rows(40)
            await self._check_added(time.monotonic())

        self.run_test(test)

    def test_route_acknowledged_before_the_restore(self) -> None:
        """Guards against a confirmed route that is lost with the copy.

        The store accepts the route while it does not answer the gateways,
        and it is written again after the restore.
        """

        async def test() -> None:
            await aio.sleep(timedelta(seconds=1))
            await self._write_other_rows(40)
            await aio.sleep(timedelta(seconds=0.7))
            await self.leave()
            await self.fleet.configure(swapped=False, added=(ADDED,))
            await aio.sleep(timedelta(seconds=0.3))
            await self.come_back(back_s=2.0, rewrite_s=0.5)
            await self._check_added(time.monotonic() + 0.5)

        self.run_test(test)

    def test_route_in_force_stays(self) -> None:
        """Guards against a configuration that becomes older again."""

        async def test() -> None:
            await self.fleet.configure(swapped=False, added=(ADDED,))
            await self._check_added(time.monotonic())
            await self.leave()
            await aio.sleep(timedelta(seconds=1))
            await self.come_back(back_s=9.0, rewrite_s=2.0)
            await self._check_added(time.monotonic())

        self.run_test(test)


class RestoredOwnersTest(restore_case.RestoreCase):
    async def _with_load(self) -> tuple[callers.Callers, list[aio.Task]]:
        load = callers.Callers(
            gateways=self.fleet.gateways, rng=random.Random(2)
        )
        return load, await load.run()

    async def _stop(
        self, load: callers.Callers, tasks: list[aio.Task]
    ) -> None:
        load.stopped = True
        for task in tasks:
            await task.join()

    async def _holds(self, upstream: fleet.Upstream) -> bool:
        now = time.monotonic()
        return any(
            owned.holder.startswith(f'{upstream.name}/') and owned.until > now
            for owned in self.events().held
        )

    def _check_owners(self) -> None:
        events = self.events()
        self.assertEqual(restore_case.overlaps(events), [])
        self.assertEqual(checks.check_owners(events), [])

    def test_moves_in_the_lost_seconds(self) -> None:
        """Guards against two upstreams that hold the keys of a lost move."""

        async def test() -> None:
            load, tasks = await self._with_load()
            upstream = await self.fleet.add_upstream(fleet.KEYED_POOL)
            started = time.monotonic()
            await self.until(lambda: self._holds(upstream))
            await aio.sleep(timedelta(seconds=1))
            await self.leave()
            await aio.sleep(timedelta(seconds=1))
            back_s = time.monotonic() - started + 0.5
            await self.come_back(back_s=back_s, rewrite_s=1.0)
            await aio.sleep(timedelta(seconds=12))
            await self._stop(load, tasks)
            self.fleet.kill_all()
            self._check_owners()
            events = self.events()
            events.runs = [
                run
                for run in events.runs
                if not run.request.startswith(restore_case.PROBE)
            ]
            found = checks.check_requests(load.sent, events)
            self.assertEqual(found, [])

        self.run_test(test)

    def test_second_restore_soon_after_the_first(self) -> None:
        """Guards against two owners when the store goes back twice."""

        async def test() -> None:
            load, tasks = await self._with_load()
            upstream = await self.fleet.add_upstream(fleet.KEYED_POOL)
            started = time.monotonic()
            await self.until(lambda: self._holds(upstream))
            for _ in range(2):
                await self.leave()
                await aio.sleep(timedelta(seconds=1))
                back_s = time.monotonic() - started + 0.5
                await self.come_back(back_s=back_s, rewrite_s=0.5)
                await aio.sleep(timedelta(seconds=2))
            await aio.sleep(timedelta(seconds=10))
            await self._stop(load, tasks)
            self.fleet.kill_all()
            self._check_owners()

        self.run_test(test)

    def test_gateway_that_starts_during_the_outage(self) -> None:
        """Guards against grants by a process that knows only the copy."""

        async def test() -> None:
            load, tasks = await self._with_load()
            upstream = await self.fleet.add_upstream(fleet.KEYED_POOL)
            started = time.monotonic()
            await self.until(lambda: self._holds(upstream))
            await self.leave()
            for gateway in self.fleet.gateways:
                gateway.incarnations[-1].send(signal.SIGKILL)
                gateway.incarnations[-1].popen.wait()
                self.fleet.start_gateway(gateway)
            await aio.sleep(timedelta(seconds=1))
            back_s = time.monotonic() - started + 0.5
            await self.come_back(back_s=back_s, rewrite_s=1.0)
            await aio.sleep(timedelta(seconds=14))
            await self.until(self.all_serve)
            await self._stop(load, tasks)
            self.fleet.kill_all()
            self._check_owners()

        self.run_test(test)

    def test_upstream_whose_entry_was_lost_keeps_its_keys(self) -> None:
        """Guards against moves and refusals while an entry is rewritten."""

        async def test() -> None:
            load, tasks = await self._with_load()
            upstream = await self.fleet.add_upstream(fleet.KEYED_POOL)
            started = time.monotonic()
            await self.until(lambda: self._holds(upstream))
            await aio.sleep(timedelta(seconds=2))
            await self.leave()
            await aio.sleep(timedelta(seconds=0.5))
            back_s = time.monotonic() - started + 0.5
            restored = time.monotonic()
            await self.come_back(back_s=back_s, rewrite_s=1.5)
            await aio.sleep(timedelta(seconds=6))
            until = time.monotonic()
            kept = await self._holds(upstream)
            await self._stop(load, tasks)
            self.fleet.kill_all()
            runs = sorted(
                run.at
                for run in self.events().runs
                if run.holder == f'{upstream.name}/0'
                and restored - MAX_GAP_S < run.at < until
            )
            self.assertTrue(kept, 'the upstream holds nothing any more')
            gaps = [b - a for a, b in zip(runs, [*runs[1:], until])]
            self.assertLess(max(gaps, default=1e9), MAX_GAP_S)
            self._check_owners()

        self.run_test(test)


class RestoredEntryTest(restore_case.RestoreCase):
    async def _call_often(self, seconds: float) -> None:
        """Send requests to both pools for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for gateway in self.fleet.gateways:
                for route in ('read', ADDED):
                    await self.status(gateway, route)

    def test_draining_upstream_does_not_become_ready_again(self) -> None:
        """Guards against new work for an upstream that is about to end.

        The copy has its entry from before it reported to be draining.
        """

        async def test() -> None:
            await self.fleet.configure(swapped=False, added=(ADDED,))
            leaving = [
                self.fleet.upstreams[0],
                self.fleet.upstreams[-1],
            ]
            for upstream in leaving:
                proc = upstream.incarnations[-1]
                proc.send(signal.SIGKILL)
                proc.popen.wait()
                await self.fleet.start_upstream(upstream, drain_s=12.0)
            await self._call_often(6.0)
            began = time.monotonic()
            for upstream in leaving:
                upstream.incarnations[-1].send(signal.SIGTERM)
            await self._call_often(BACK_S)
            await self.leave()
            await self.come_back(
                back_s=time.monotonic() - began + 1.0, rewrite_s=2.0
            )
            await self._call_often(4.0)
            self.fleet.kill_all()
            names = {f'{upstream.name}/1' for upstream in leaving}
            late = [
                f'{run.holder} after {run.at - began:.3f} s'
                for run in self.events().runs
                if run.holder in names
                and run.at - began > MAX_USE_AFTER_DRAIN_S
            ]
            self.assertEqual(late, [])
            granted = [
                f'{owned.holder} after {owned.start - began:.3f} s'
                for owned in self.events().held
                if owned.holder in names
                and owned.start - began > MAX_USE_AFTER_DRAIN_S
            ]
            self.assertEqual(granted, [])

        self.run_test(test)

    def test_ended_upstream_does_not_come_back(self) -> None:
        """Guards against use of an address whose upstream has ended.

        The copy has the entries of upstreams that left before the outage.
        """

        async def test() -> None:
            await self.fleet.configure(swapped=False, added=(ADDED,))
            received: list[bytes] = []

            async def receive(sock: aio.Socket) -> None:
                while data := await sock.recv(65536):
                    received.append(data.split(b'\r\n')[0])

            listener = aio.Listener(host='127.0.0.1', port=0, handler=receive)
            await listener.start()
            leaving = [self.fleet.upstreams[0], self.fleet.upstreams[-1]]
            began = time.monotonic()
            for upstream in leaving:
                upstream.incarnations[-1].send(signal.SIGTERM)
            for upstream in leaving:
                proc = upstream.incarnations[-1]
                await self.until(lambda: _has_ended(proc))
                upstream.relay.target = members.Address(
                    host='127.0.0.1', port=listener.port
                )
            await self.until(self._entries_are_gone)
            await self._call_often(1.0)
            received.clear()
            await self.leave()
            await self.come_back(back_s=time.monotonic() - began + 1.0)
            await self._call_often(4.0)
            await listener.stop()
            self.assertEqual(received, [])

        self.run_test(test)

    async def _entries_are_gone(self) -> bool:
        response = await http_client.fetch(
            self.fleet.store, 'GET', '/rows-get?table=servers'
        )
        return len(response.json()['rows']) == len(self.fleet.upstreams) - 2


async def _has_ended(proc: fleet.Proc) -> bool:
    return proc.popen.poll() is not None

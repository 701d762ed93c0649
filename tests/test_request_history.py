"""Tests of the history of recent requests of a process."""

from datetime import timedelta
import unittest

from goldcresthaven import clock
from goldcresthaven import events
from goldcresthaven import http_head
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import operator_views as views
from goldcresthaven import outcomes
from goldcresthaven import request_history
from goldcresthaven import timeline
from tools import entry_harness

VM = ids.VmId('a')
DEAD = members.Address(host=entry_harness.HOST, port=1)
QUEUE_FULL = outcomes.NotRun(reason=outcomes.Reason.QUEUE_FULL)


class HistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.timeline = timeline.Timeline(
            vm=VM,
            boot=ids.BootId('b'),
            hybrid_clock=timeline.HybridClock(self.clock),
        )

    def history(self, limit: int) -> request_history.RequestHistory:
        return request_history.RequestHistory(
            vm=VM, clock=self.clock, timeline=self.timeline, limit=limit
        )

    def test_oldest_are_evicted(self) -> None:
        """Guards against memory use that grows with each request."""
        for limit in (0, 3):
            history = self.history(limit)
            names = [ids.RequestId(f'r{i}') for i in range(10)]
            for name in names:
                history.end(history.begin(name), outcomes.Done(status=200))
            kept = [n for n in names if history.find(n) is not None]
            self.assertEqual(kept, names[len(names) - limit :])

    def test_times_and_status_are_recorded(self) -> None:
        """Guards against a wrong duration, receive time or status."""
        history = self.history(1)
        trace = history.begin(ids.RequestId('r'))
        self.clock.advance(timedelta(milliseconds=1500))
        history.end(trace, QUEUE_FULL)
        found = history.find(ids.RequestId('r'))
        assert found is not None
        self.assertEqual(found.duration_ms, 1500.0)
        self.assertEqual(found.received, clock.DEFAULT_START)
        self.assertEqual((found.outcome, found.status), ('not-run', 503))

    def test_burst_of_rejections_does_not_fill_the_timeline(self) -> None:
        """Guards against rejections that evict the events that caused them."""
        history = self.history(1)
        for _ in range(3):
            for i in range(500):
                history.end(history.begin(ids.RequestId(f'r{i}')), QUEUE_FULL)
            self.clock.advance(timedelta(seconds=1))
        found, _ = self.timeline.select(events.Filter(), 9999)
        self.assertEqual(len(found), 3 * request_history.EVENTS_PER_SECOND)
        self.assertEqual(found[0].kind, events.Kind.REQUEST_ENDED)
        self.assertIn('not-run queue-full', found[0].text)

    def test_successful_requests_are_no_events(self) -> None:
        """Guards against a timeline full of successful requests."""
        history = self.history(1)
        trace = history.begin(ids.RequestId('r'))
        history.end(trace, outcomes.Done(status=200))
        self.assertEqual(self.timeline.select(events.Filter(), 9), ((), False))


class RequestPathTest(unittest.TestCase):
    def test_each_answer_can_be_explained(self) -> None:
        """Guards against responses whose request id is not in the history.

        The columns are the target, and the outcome, reason, pool and
        results of the attempts that the history must contain.
        """
        rows: tuple[tuple[str, str, str, str | None, list[str]], ...] = (
            ('/keyed/secret', 'done', 'ok', 'keyed', ['done']),
            ('/free/x', 'not-run', 'connect-failed', 'free', ['not-run'] * 3),
            ('/none', 'not-run', 'no-route', None, []),
            ('/../x', 'not-run', 'bad-request', None, []),
        )

        async def main() -> None:
            upstream = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b'body'))
            )
            running = await entry_harness.start(
                {'keyed-a': upstream.address, 'free-a': DEAD}
            )
            for target, outcome, reason, pool, results in rows:
                with self.subTest(target):
                    response = await running.fetch('GET', target)
                    found = self.find(running, response.headers)
                    self.assertEqual(found.outcome, outcome)
                    self.assertEqual(found.reason, reason)
                    self.assertEqual(found.status, response.status)
                    self.assertEqual(found.pool, pool)
                    made = [a.result for a in found.attempts]
                    self.assertEqual(made, results)
                    self.assertNotIn(b'secret', views.encode(found))
            bad = await running.send_raw(
                b'GET /free/x HTTP/1.1\r\nsec ret: a\r\n\r\n'
            )
            raw = next(
                line.split(b': ')[1].decode()
                for line in bad.split(b'\r\n')
                if line.startswith(b'x-request-id')
            )
            found = self.find(running, (('x-request-id', raw),))
            self.assertEqual(found.status, 400)
            self.assertNotIn(b'sec ret', views.encode(found))

        entry_harness.run(main)

    def test_probes_are_not_kept(self) -> None:
        """Guards against health checks that evict real requests."""

        async def main() -> None:
            running = await entry_harness.start({})
            response = await running.fetch('GET', '/health')
            name = http_head.find(response.headers, 'x-request-id') or ''
            self.assertIsNone(running.history.find(ids.RequestId(name)))

        entry_harness.run(main)

    def find(
        self, running: entry_harness.EntryHarness, headers: http_head.Headers
    ) -> views.Request:
        name = http_head.find(headers, 'x-request-id') or ''
        found = running.history.find(ids.RequestId(name))
        assert found is not None, name
        return found

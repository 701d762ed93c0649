"""Tests logs and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextvars
from datetime import timedelta
import json
import os
import pathlib
import socket
import threading
from typing import Any
import unittest

import curio
import eliot
import statsd

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import gateway_metrics
from goldcresthaven import metrics
from goldcresthaven import telemetry

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.clock = clock.ManualClock()
        self.writer = telemetry.LogWriter(
            sink=self.sink, time=self.clock, context={'vm': 'vm-a'}
        )
        self.writer.install()
        self.addCleanup(self.writer.remove)

    def sink(self, line: bytes) -> bool:
        self.lines.append(line)
        return True

    def logged(self) -> list[Any]:
        return [json.loads(line) for line in self.lines]

    def test_only_listed_fields(self) -> None:
        """Guards against secrets and bodies in the log."""
        eliot.log_message(
            message_type='peer',
            peer='vm-b',
            secret='hunter2',
            body='order 7',
            detail=b'raw body',
            reason='x' * 9000,
        )
        (fields,) = self.logged()
        self.assertEqual(fields['peer'], 'vm-b')
        self.assertEqual(fields['vm'], 'vm-a')
        self.assertEqual(fields['hidden_fields'], 2)
        text = self.lines[0].decode()
        for leaked in ('hunter2', 'order 7', 'raw body'):
            self.assertNotIn(leaked, text)
        self.assertLess(len(text), telemetry.MAX_LINE_BYTES)
        wide = {name: 'é' * 9000 for name in telemetry.LOGGED_FIELDS}
        self.writer({**wide, 'message_type': 'wide'})
        self.assertLessEqual(len(self.lines[1]), telemetry.MAX_LINE_BYTES)

    def test_rate_limit_counts_what_it_suppresses(self) -> None:
        """Guards against unlimited log lines, or lines lost uncounted."""
        for _ in range(1000):
            eliot.log_message(message_type='overload')
        eliot.log_message(message_type='rare')
        self.assertEqual(len(self.lines), 51)
        self.clock.advance(timedelta(seconds=1))
        eliot.log_message(message_type='overload')
        self.assertEqual(self.logged()[-1]['suppressed'], 950)
        for _ in range(30):
            eliot.log_message(message_type='overload')
        self.writer.flush()
        self.writer.flush()
        last = self.logged()[-1]
        self.assertEqual(last['message_type'], telemetry.SUPPRESSED)
        self.assertEqual(
            (last['detail'], last['suppressed']), ('overload', 11)
        )
        self.assertEqual(self.writer.suppressed, 961)

    def test_types_are_bounded(self) -> None:
        """Guards against unbounded memory if types are built from data."""
        for i in range(2 * telemetry.MAX_TYPES):
            eliot.log_message(message_type=f'type-{i}')
        self.assertLessEqual(
            len(self.writer._buckets), telemetry.MAX_TYPES + 1
        )

    def test_stalled_reader_does_not_block(self) -> None:
        """Guards against a full pipe that blocks the event loop."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        sink = telemetry.DescriptorSink(writer, os.write)
        line = b'x' * telemetry.MAX_LINE_BYTES
        results: list[bool] = []

        def fill() -> None:
            results.extend(sink(line) for _ in range(100))

        thread = threading.Thread(target=fill, daemon=True)
        thread.start()
        thread.join(10)
        self.assertFalse(thread.is_alive())
        self.assertTrue(results[0])
        self.assertFalse(results[-1])
        os.read(reader, 1 << 20)
        self.assertTrue(sink(line))


def action_of(line: Any) -> tuple[str, tuple[int, ...]]:
    """Return the identity of the action that a line belongs to."""
    return (line['task_uuid'], tuple(line['task_level'][:-1]))


class ContextTest(unittest.TestCase):
    """Two tasks that take turns, each with a request of its own."""

    def mixed_up(
        self, runner: Callable[[Callable[[], Awaitable[None]]], Any]
    ) -> int:
        """Return how many lines are logged under the other request."""
        logged: list[Any] = []

        async def request(name: str) -> None:
            with eliot.start_action(action_type='request', request=name):
                for _ in range(5):
                    await curio.sleep(0)
                    eliot.log_message(message_type='step', request=name)

        async def main() -> None:
            tasks = [await curio.spawn(request(name)) for name in 'ab']
            for task in tasks:
                await task.join()

        eliot.add_destinations(logged.append)
        try:
            # Run in a copy of the context, so that nothing leaks into the
            # context of other tests.
            contextvars.copy_context().run(runner, main)
        finally:
            eliot.remove_destination(logged.append)
        owner = {
            action_of(line): line['request']
            for line in logged
            if line.get('action_status') == 'started'
        }
        steps = [x for x in logged if x.get('message_type') == 'step']
        self.assertEqual(len(steps), 10)
        return sum(owner.get(action_of(x)) != x['request'] for x in steps)

    def test_no_leak_between_tasks(self) -> None:
        """Guards against log lines under the wrong request."""
        self.assertEqual(self.mixed_up(aio.run), 0)

    def test_default_task_class_leaks(self) -> None:
        """Shows why ``aio.run`` sets the task class."""

        def run_with_default(main: Any) -> None:
            with curio.Kernel() as kernel:
                kernel.run(main)

        self.assertGreater(self.mixed_up(run_with_default), 0)


class MetricsTest(unittest.TestCase):
    def test_metrics_are_documented(self) -> None:
        """Guards against an outdated table in the documentation."""
        text = (DOCS / 'metrics.md').read_text()
        gateway = gateway_metrics.GatewayMetrics().to_markdown()
        self.assertEqual(text, f'{metrics.to_markdown()}\n{gateway}')

    def test_names_are_checked(self) -> None:
        """Guards against undocumented metrics."""
        collected = metrics.Metrics(None)
        with self.assertRaises(KeyError):
            collected.count('no.such.metric')
        for suffix in ('', 'vm-17'):
            with self.assertRaises(ValueError):
                collected.count('request.done', suffix=suffix)
        with self.assertRaises(ValueError):
            collected.gauge('request.done', 1, suffix='urgent')

    def test_datagrams(self) -> None:
        """Guards against sending one datagram per request."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(('127.0.0.1', 0))
            server.settimeout(10)
            host, port = server.getsockname()
            client = statsd.StatsClient(host, port, prefix=metrics.PREFIX)
            self.addCleanup(client.close)
            collected = metrics.Metrics(client)
            for _ in range(500):
                collected.count('request.done', suffix='urgent')
                collected.timing('store.time', timedelta(milliseconds=2))
            collected.gauge('map.version', 7)
            collected.flush()
            lines: list[str] = []
            while len(lines) < 2 + metrics.MAX_TIMINGS:
                lines += server.recv(2048).decode().split('\n')
        self.assertIn('goldcresthaven.request.done.urgent:500|c', lines)
        self.assertIn('goldcresthaven.map.version:7|g', lines)
        self.assertEqual(
            lines.count('goldcresthaven.store.time:2.000000|ms'),
            metrics.MAX_TIMINGS,
        )

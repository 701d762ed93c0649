"""Counters and latency histograms of the gateway, in Prometheus format."""

from datetime import timedelta

import prometheus_client as prom

from goldcresthaven import outcomes
from goldcresthaven import upstream_notices

# Seconds; from the fastest response of an upstream to the longest timeout.
BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0)


class GatewayMetrics:
    """Metrics of one process, in a separate Prometheus registry."""

    def __init__(self) -> None:
        self._registry = prom.CollectorRegistry()
        self._requests = prom.Counter(
            'requests',
            'Requests by route kind and outcome.',
            ('kind', 'outcome', 'reason'),
            namespace='goldcresthaven',
            registry=self._registry,
        )
        self._latency = prom.Histogram(
            'request_seconds',
            'Time from the request to the end of its answer.',
            ('kind', 'outcome'),
            namespace='goldcresthaven',
            buckets=BUCKETS,
            registry=self._registry,
        )
        self._retries = prom.Counter(
            'retries',
            'Attempts after the first of a request.',
            namespace='goldcresthaven',
            registry=self._registry,
        )
        self._leaving = prom.Counter(
            'upstreams_leaving',
            'Upstreams found leaving, by the source that showed it first.',
            ('source',),
            namespace='goldcresthaven',
            registry=self._registry,
        )
        self._pauses = prom.Counter(
            'upstream_pauses',
            'Pauses that upstreams asked for with a 503.',
            namespace='goldcresthaven',
            registry=self._registry,
        )

        self._unreadable = prom.Counter(
            'unreadable_rows',
            'Rows of the configuration and the registry that were ignored.',
            namespace='goldcresthaven',
            registry=self._registry,
        )

    def request(
        self, kind: str, outcome: outcomes.Outcome, elapsed: timedelta
    ) -> None:
        """Record a request that has ended."""
        name = type(outcome).__name__
        reason = getattr(outcome, 'reason', outcomes.Reason.OK).value
        self._requests.labels(kind, name, reason).inc()
        self._latency.labels(kind, name).observe(elapsed.total_seconds())

    def upstream_notice(self, notice: upstream_notices.Notice) -> None:
        """Record that an upstream leaves, or that it asks for a pause."""
        match notice:
            case upstream_notices.LeavingFound():
                self._leaving.labels(notice.source.value).inc()
            case upstream_notices.PauseStarted():
                self._pauses.inc()

    def retried(self) -> None:
        self._retries.inc()

    def unreadable_rows(self, count: int) -> None:
        """Record that rows which other programs wrote were ignored."""
        self._unreadable.inc(count)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return bytes(prom.generate_latest(self._registry))

    def to_markdown(self) -> str:
        """Return the second part of docs/metrics.md."""
        lines = [
            '## Gateway',
            '',
            'Scraped over HTTP in Prometheus format.',
            '',
            '| name | kind | meaning |',
            '|---|---|---|',
        ]
        for family in self._registry.collect():
            suffix = '_total' if family.type == 'counter' else ''
            lines.append(
                f'| `{family.name}{suffix}` | {family.type} '
                f'| {family.documentation} |'
            )
        return '\n'.join(lines) + '\n'

"""Counters and latency histograms of the gateway, in Prometheus format."""

from datetime import timedelta

import prometheus_client as prom

from goldcresthaven import outcomes

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

    def request(
        self, kind: str, outcome: outcomes.Outcome, elapsed: timedelta
    ) -> None:
        """Record a request that has ended."""
        name = type(outcome).__name__
        reason = getattr(outcome, 'reason', outcomes.Reason.OK).value
        self._requests.labels(kind, name, reason).inc()
        self._latency.labels(kind, name).observe(elapsed.total_seconds())

    def retried(self) -> None:
        self._retries.inc()

    def render(self) -> bytes:
        """Return all metrics as text."""
        return bytes(prom.generate_latest(self._registry))

"""Metrics in the statsd protocol, batched into few datagrams once a second.

METRICS lists all names and units; docs/metrics.md is generated from it.
Between two flushes counters are summed and gauges overwritten, so the cost
does not grow with the load. At most MAX_TIMINGS timings per name are sent
in a second.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any
from typing import Protocol

from goldcresthaven import outcomes

PREFIX = 'goldcresthaven'
FLUSH_INTERVAL = timedelta(seconds=1)
MAX_TIMINGS = 100
_MS = timedelta(milliseconds=1)


class Kind(Enum):
    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMING = 'timing'


class Dimension(Enum):
    """What a metric is split by.

    The name of each series is the metric's name with the dimension's value
    as suffix.
    """

    NONE = ''
    RANK = 'rank'
    REASON = 'reason'


_DIMENSION_VALUES = {
    Dimension.NONE: frozenset({''}),
    Dimension.RANK: frozenset(rank.value for rank in outcomes.Rank),
    Dimension.REASON: frozenset(reason.value for reason in outcomes.Reason),
}


@dataclass(frozen=True, slots=True)
class Metric:
    """One row of the METRICS table."""

    name: str
    kind: Kind
    unit: str
    dimension: Dimension
    description: str


_C, _G, _T = Kind.COUNTER, Kind.GAUGE, Kind.TIMING
_N, _R, _REASON = Dimension.NONE, Dimension.RANK, Dimension.REASON

METRICS = (
    Metric('request.received', _C, 'requests', _R, 'accepted from callers'),
    Metric('request.done', _C, 'requests', _R, 'complete upstream response'),
    Metric('request.not-run', _C, 'requests', _R, 'provably not executed'),
    Metric('request.unknown', _C, 'requests', _R, 'sent, without proof'),
    Metric('request.refused', _C, 'requests', _REASON, 'not run, by reason'),
    Metric('request.time', _T, 'ms', _R, 'from headers to outcome'),
    Metric('request.wait', _T, 'ms', _R, 'from admission to dispatch'),
    Metric('request.retried', _C, 'attempts', _R, 'attempts after the first'),
    Metric('queue.length', _G, 'requests', _R, 'waiting for a slot'),
    Metric('queue.bytes', _G, 'bytes', _R, 'held by waiting requests'),
    Metric('slot.held', _G, 'slots', _R, 'leased from managers'),
    Metric('slot.used', _G, 'slots', _R, 'with a request in flight'),
    Metric('upstream.connections', _G, 'connections', _N, 'to upstreams'),
    Metric('upstream.opened', _C, 'connections', _N, 'opened to upstreams'),
    Metric('upstream.open-breakers', _G, 'upstreams', _N, 'not sent to'),
    Metric('claim.held', _G, 'domains', _N, 'claims held by this process'),
    Metric('claim.extended', _C, 'extensions', _N, 'past the term by consent'),
    Metric('claim.lost', _C, 'claims', _N, 'given up or taken over'),
    Metric('lease.granted', _C, 'leases', _N, 'accepted by upstreams'),
    Metric('lease.refused', _C, 'leases', _N, 'refused by upstreams'),
    Metric('shard.moved', _C, 'shards', _N, 'moves written'),
    Metric('map.version', _G, 'version', _N, 'applied map version'),
    Metric('config.version', _G, 'version', _N, 'applied configuration'),
    Metric('change.delay', _T, 'ms', _N, 'from commit to applied here'),
    Metric('gossip.pushed', _C, 'messages', _N, 'Changes pushed to peers'),
    Metric('gossip.pulled', _C, 'messages', _N, 'PullChanges sent'),
    Metric('store.time', _T, 'ms', _N, 'answered calls to the store'),
    Metric('store.failed', _C, 'calls', _N, 'without a usable response'),
    Metric('peer.connections', _G, 'connections', _N, 'to entry processes'),
    Metric('peer.sent', _C, 'bytes', _N, 'written to peers'),
    Metric('peer.received', _C, 'bytes', _N, 'read from peers'),
    Metric('peer.refused', _C, 'connections', _N, 'failed authentication'),
    Metric('peer.malformed', _C, 'connections', _N, 'broke the protocol'),
    Metric('peer.too-slow', _C, 'connections', _N, 'dropped as too slow'),
    Metric('peer.suspected', _C, 'peers', _N, 'no response for 750 ms'),
    Metric('log.suppressed', _C, 'lines', _N, 'over the limit of a type'),
    Metric('log.dropped', _C, 'lines', _N, 'standard error not read'),
    Metric('loop.lag', _T, 'ms', _N, 'lateness of a 50 ms timer'),
)
_BY_NAME = {metric.name: metric for metric in METRICS}


class Pipeline(Protocol):
    """The methods of the statsd client's pipeline that are used here."""

    def incr(self, stat: str, count: int) -> Any: ...

    def gauge(self, stat: str, value: float) -> Any: ...

    def timing(self, stat: str, delta: float) -> Any: ...

    def send(self) -> Any: ...


class Client(Protocol):
    """The method of ``statsd.StatsClient`` that is used here."""

    def pipeline(self) -> Any: ...


class Metrics:
    """Collects values until ``flush`` sends them.

    Example::

        metrics.count('request.done', suffix=rank.value)
    """

    def __init__(self, client: Client | None) -> None:
        self._client = client
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}

    def count(self, name: str, value: int = 1, *, suffix: str = '') -> None:
        full = _full_name(name, Kind.COUNTER, suffix)
        self._counts[full] = self._counts.get(full, 0) + value

    def gauge(self, name: str, value: float, *, suffix: str = '') -> None:
        self._gauges[_full_name(name, Kind.GAUGE, suffix)] = value

    def timing(self, name: str, value: timedelta, *, suffix: str = '') -> None:
        full = _full_name(name, Kind.TIMING, suffix)
        values = self._timings.setdefault(full, [])
        if len(values) < MAX_TIMINGS:
            values.append(value / _MS)

    def flush(self) -> None:
        """Send the collected values; over UDP this never blocks or fails."""
        counts, self._counts = self._counts, {}
        gauges, self._gauges = self._gauges, {}
        timings, self._timings = self._timings, {}
        if self._client is None:
            return
        pipe: Pipeline = self._client.pipeline()
        for name, count in counts.items():
            pipe.incr(name, count)
        for name, value in gauges.items():
            pipe.gauge(name, value)
        for name, values in timings.items():
            for value in values:
                pipe.timing(name, value)
        pipe.send()


def _full_name(name: str, kind: Kind, suffix: str) -> str:
    metric = _BY_NAME[name]
    if (
        metric.kind is not kind
        or suffix not in _DIMENSION_VALUES[metric.dimension]
    ):
        raise ValueError(
            f'{name} is a {metric.kind.value} by '
            f'{metric.dimension.value!r}, not a {kind.value} with suffix '
            f'{suffix!r}; see METRICS'
        )
    return f'{name}.{suffix}' if suffix else name


def to_markdown() -> str:
    """Return the first part of docs/metrics.md."""
    lines = [
        '# Metrics',
        '',
        f'Sent by statsd once a second under the prefix `{PREFIX}.`. A '
        'metric that is split has the rank or reason appended to its name, '
        'as in `request.done.urgent`. Of timings at most '
        f'{MAX_TIMINGS} a second are sent for each name.',
        '',
        '| name | kind | unit | by | meaning |',
        '|---|---|---|---|---|',
    ]
    lines += [
        f'| `{m.name}` | {m.kind.value} | {m.unit} | {m.dimension.value} '
        f'| {m.description} |'
        for m in METRICS
    ]
    return '\n'.join(lines) + '\n'

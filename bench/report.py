"""Bounds of the metrics, and the lines that the benchmark prints.

The bounds come from sections 8 and 14 of the design, never from measured
values.
"""

from dataclasses import dataclass
from pathlib import Path

from bench import runs

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'

MIN_URGENT_IN_TARGET = 0.99  # share of URGENT calls answered in their target
MIN_FLOOR_SHARE = 0.90  # share of the slot time that a floor guarantees
MIN_FULL_LOAD_SHARE = 0.95  # goodput at 10x relative to that at 1x
MAX_LATE_WORK = 0.02  # share of the busy time that is after a deadline
MAX_IMBALANCE = 1.15  # busy time of the busiest endpoint relative to the mean
MAX_RETRIES = 0.10  # per call


@dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """A lower limit if ``at_least`` is true, otherwise an upper limit."""

    limit: float
    at_least: bool

    def met(self, value: float) -> bool:
        if self.at_least:
            return value >= self.limit
        return value <= self.limit

    def __str__(self) -> str:
        return f'{">=" if self.at_least else "<="}{self.limit:g}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """A metric of a scenario with its bound, for both routers."""

    scenario: str
    metric: str
    naive: float | None
    ours: float
    bound: Bound | None
    known: bool = False

    @property
    def missed(self) -> bool:
        return self.bound is not None and not self.bound.met(self.ours)

    @property
    def verdict(self) -> str:
        if self.bound is None:
            return '-'
        if not self.missed:
            return 'ok'
        return 'KNOWN-RED' if self.known else 'MISSED'

    def __str__(self) -> str:
        ratio = '-'
        naive = '-'
        if self.naive is not None:
            naive = f'{self.naive:.4g}'
            if self.naive:
                ratio = f'{self.ours / self.naive:.3g}'
        bound = '-' if self.bound is None else str(self.bound)
        return (
            f'{self.scenario} {self.metric} {naive} {self.ours:.4g} '
            f'{ratio} {bound} {self.verdict}'
        )


def bound_of(scenario: str, metric: str) -> Bound | None:
    """Return the bound of a metric.

    ``scenario`` is the name without the deployment.
    """
    overload = scenario.startswith(('overload', 'hot-key'))
    if metric == 'late_work':
        return Bound(limit=MAX_LATE_WORK, at_least=False)
    if metric == 'retries':
        return Bound(limit=MAX_RETRIES, at_least=False)
    if metric == 'imbalance' and scenario == 'ordinary':
        return Bound(limit=MAX_IMBALANCE, at_least=False)
    if metric == 'goodput_of_full_load':
        return Bound(limit=MIN_FULL_LOAD_SHARE, at_least=True)
    if metric.endswith('.kept'):
        return Bound(limit=MIN_FLOOR_SHARE, at_least=True)
    if metric.startswith('urgent.') and not metric.endswith('p99_ms'):
        if overload or scenario == 'ordinary':
            return Bound(limit=MIN_URGENT_IN_TARGET, at_least=True)
    return None


def known_red() -> set[tuple[str, str]]:
    """Return the (scenario, metric) pairs that KNOWN-RED.txt lists.

    Lines of the benchmark start with ``bench DEPLOYMENT/SCENARIO METRIC``.
    """
    found: set[tuple[str, str]] = set()
    if not KNOWN_RED.exists():
        return found
    for line in KNOWN_RED.read_text().splitlines():
        words = line.rstrip(':').split()
        if len(words) >= 3 and words[0] == 'bench':
            found.add((words[1], words[2].rstrip(':')))
    return found


def lines(
    deployment: str,
    scenario: str,
    naive: runs.Figures,
    ours: runs.Figures,
    known: set[tuple[str, str]],
) -> list[Line]:
    """Return the lines of a scenario in a deployment."""
    name = f'{deployment}/{scenario}'
    return [
        Line(
            scenario=name,
            metric=metric,
            naive=naive.get(metric),
            ours=value,
            bound=bound_of(scenario, metric),
            known=(name, metric) in known,
        )
        for metric, value in ours.items()
    ]

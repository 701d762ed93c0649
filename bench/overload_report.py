"""Result tables and measurement page of ``bench.real_overload``."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from bench import overload_load
from goldcresthaven import outcomes
from tools import processes

PAGE = processes.ROOT / 'docs' / 'measurements-overload.md'
POLICIES = ('ours', 'naive')

_RANKS_HEAD = (
    '| policy | phase | rank | run | sent | answered | within target '
    '| not run | unknown | p50 ms | p99 ms |\n'
    '|---|---|---|---|---|---|---|---|---|---|---|'
)
_PHASES_HEAD = (
    '| policy | phase | run | peak at one endpoint | messages per request '
    '| goodput | busiest process | generator late by | refusals and unknown |'
    '\n|---|---|---|---|---|---|---|---|---|'
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Result of one phase of a real or virtual run.

    ``peak`` is the largest number of concurrent requests at an endpoint, as
    counted by the upstream. ``busiest`` is the share of a core that the
    busiest process used. ``lag_ms`` is the longest time by which the load
    generator sent a request late.
    """

    policy: str
    phase: str
    run: str
    tallies: overload_load.Tallies
    goodput: float
    messages: float
    peak: int | None = None
    busiest: float | None = None
    lag_ms: float | None = None


def violations(results: Iterable[Result], *, slots: int) -> list[str]:
    """Return the guarantees that the product's policy violated.

    Only real runs of the product are checked, not the naive gate.
    """
    found = []
    for result in results:
        if result.policy != 'ours' or result.run != 'real':
            continue
        if result.peak is not None and result.peak > slots:
            found.append(
                f'{result.phase}: {result.peak} concurrent requests at an '
                f'endpoint with {slots} slots'
            )
        unknown = sum(tally.unknown for tally in result.tallies.values())
        if unknown:
            found.append(
                f'{result.phase}: {unknown} requests with unknown outcome, '
                'although no failure was injected'
            )
    return found


def tables(results: Sequence[Result]) -> str:
    """Return the tables by rank and by phase in Markdown."""
    lines = [_RANKS_HEAD]
    for result in results:
        lines += [_rank_row(result, rank) for rank in result.tallies]
    lines += ['', _PHASES_HEAD]
    lines += [_phase_row(result) for result in results]
    return '\n'.join(lines)


def _rank_row(result: Result, rank: outcomes.Rank) -> str:
    tally = result.tallies[rank]
    share = tally.in_target / max(tally.sent, 1)
    cells = (
        result.policy,
        result.phase,
        rank.name,
        result.run,
        str(tally.sent),
        str(tally.answered),
        f'{tally.in_target} ({share:.1%})',
        str(tally.not_run),
        str(tally.unknown),
        f'{tally.quantile(0.5):.0f}',
        f'{tally.quantile(0.99):.0f}',
    )
    return _row(cells)


def _phase_row(result: Result) -> str:
    reasons: collections.Counter[str] = collections.Counter()
    for tally in result.tallies.values():
        reasons += tally.reasons
    cells = (
        result.policy,
        result.phase,
        result.run,
        '-' if result.peak is None else str(result.peak),
        f'{result.messages:.2f}',
        f'{result.goodput:.2f}',
        '-' if result.busiest is None else f'{result.busiest:.0%}',
        '-' if result.lag_ms is None else f'{result.lag_ms:.0f} ms',
        ', '.join(f'{n} {name}' for name, n in reasons.most_common()) or '-',
    )
    return _row(cells)


def _row(cells: Iterable[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'


def write(text: str, failures: Sequence[str]) -> None:
    """Write the page with the tables and the violated guarantees."""
    found = '\n'.join(f'- {failure}' for failure in failures)
    parts = [_INTRODUCTION, text, _DIFFERENCES]
    if found:
        parts.insert(2, f'Violated guarantees in this run:\n\n{found}')
    PAGE.write_text('\n\n'.join(parts) + '\n')


_INTRODUCTION = """\
# Measurements of overload

## Overload with real processes

Written by `python -m bench.real_overload --write`, seed 1, on a machine
shared with other jobs: 4 entry processes in 2 zones, 4 endpoints with 2
slots each, gamma distributed service times with means of 100 ms (URGENT,
STANDARD) and 200 ms (BULK). Half load is 20% URGENT, 15% STANDARD and 15%
BULK of the slot time; then one rank rises to three times the capacity. Each
phase takes 8 s, one after the other in the same processes. The naive gate
sends each request to a random upstream, which serves in order of arrival.
Goodput is the mean service time of the answered requests as a share of slot
time, so it may exceed 1 when short ones are answered. The peak counts
requests that the upstream refused or let wait."""

_DIFFERENCES = """\
Differences to the virtual benchmark:

- A virtual run starts without a history, and here each phase follows
  another. This uncovered that a rank below its floor ran into debt; since
  the correction in `admission.Shares` STANDARD agrees with the virtual run.
  BULK still does worse after its own excess; debt for service above its
  floor is the likely cause, which is not proved.
- The virtual endpoint queues what exceeds its slots, and its figures do not
  show that. The real upstreams once counted a third request at 2 slots after
  a timeout, because the entry freed the slot while the upstream still worked
  on the request. The slot now stays occupied for four mean service times
  (`abandoned_requests`), and the peak is 2 in the run above.
- Timeouts are the unknown outcomes. A request is sent when two mean
  service times are left, and a gamma distributed service with shape 4 takes
  longer in 4 of 100 cases. The virtual runs have them too.
- The rest is chance, since the arrivals of the two runs are drawn
  separately; with the product's policy latency and message counts are
  close to the virtual ones. No process used a core fully, so the processor
  does not limit these figures.
- In the naive runs the excess of one phase probably still fills the
  upstreams' queues when the next begins: 100 BULK requests take 10 s at 2
  slots, and they run although the entry gave up. The virtual run begins with
  empty queues."""

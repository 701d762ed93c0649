"""Checks of the promises, from what callers and upstreams have seen."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import json
from typing import Any

from soak import callers
from soak import faults
from soak import fleet

REFUSALS = frozenset({408, 421, 429, 503})
UNSAFE = frozenset({'book', 'pay'})
# Share of the requests of the calm time at the end that have to be served.
CALM_SHARE = 0.95
# The platform ends a process by force after the grace time.
STOP_S = fleet.GRACE_S + 0.5


@dataclass(frozen=True, kw_only=True)
class Held:
    """Keys that one life of an upstream held for a time."""

    holder: str
    first: int
    last: int
    fence: int
    start: float
    until: float


@dataclass(frozen=True, kw_only=True)
class Run:
    holder: str
    request: str
    key: int | None
    at: float


@dataclass(kw_only=True)
class Events:
    """What all lives of all upstreams have printed."""

    held: list[Held]
    runs: list[Run]


def read_events(upstreams: Iterable[fleet.Upstream]) -> Events:
    events = Events(held=[], runs=[])
    for upstream in upstreams:
        for number, life in enumerate(upstream.lives):
            holder = f'{upstream.name}/{number}'
            lines = life.log.read_text().splitlines()
            _read_life(events, holder, [_parse(line) for line in lines])
    return events


def _parse(line: str) -> Mapping[str, Any]:
    try:
        document = json.loads(line)
    except ValueError:
        # The last line of a process that was killed while it wrote.
        return {}
    return document if isinstance(document, dict) else {}


def _read_life(
    events: Events, holder: str, lines: Iterable[Mapping[str, Any]]
) -> None:
    open_holds: list[Held] = []
    for line in lines:
        match line.get('event'):
            case 'hold':
                held = Held(
                    holder=holder,
                    first=line['first'],
                    last=line['last'],
                    fence=line['fence'],
                    start=line['start'],
                    until=line['until'],
                )
                open_holds = _end_part(events, open_holds, held, held.start)
                open_holds.append(held)
            case 'released':
                part = _part(holder, line['first'], line['last'])
                open_holds = _end_part(events, open_holds, part, line['at'])
            case 'run':
                events.runs.append(
                    Run(
                        holder=holder,
                        request=line['request'],
                        key=line['key'],
                        at=line['at'],
                    )
                )
    events.held += open_holds


def _part(holder: str, first: int, last: int) -> Held:
    return Held(
        holder=holder, first=first, last=last, fence=0, start=0, until=0
    )


def _end_part(
    events: Events, holds: Iterable[Held], part: Held, at: float
) -> list[Held]:
    """End the holds on a range at a time; returns those still open."""
    still: list[Held] = []
    for held in holds:
        first = max(held.first, part.first)
        last = min(held.last, part.last)
        if first > last:
            still.append(held)
            continue
        events.held.append(_piece(held, first, last, min(at, held.until)))
        if held.first < first:
            still.append(_piece(held, held.first, first - 1, held.until))
        if held.last > last:
            still.append(_piece(held, last + 1, held.last, held.until))
    return still


def _piece(held: Held, first: int, last: int, until: float) -> Held:
    return Held(
        holder=held.holder,
        first=first,
        last=last,
        fence=held.fence,
        start=held.start,
        until=until,
    )


def check_requests(sent: Sequence[callers.Sent], events: Events) -> list[str]:
    """Return the violations that single requests show."""
    problems = []
    runs = collections.Counter(run.request for run in events.runs)
    known = {one.request for one in sent}
    for request in runs:
        if request not in known:
            problems.append(f'{request} ran, and nobody sent it')
    for one in sent:
        count = runs[one.request]
        if one.route in UNSAFE and count > 1:
            problems.append(f'{one.request} ({one.route}) ran {count} times')
        if one.status in REFUSALS and count and one.route in UNSAFE:
            problems.append(f'{one.request} ran and was answered {one.status}')
        if one.status == 503 and one.retry_after is None:
            problems.append(f'{one.request}: a refusal without a time')
        if one.status == 200:
            problems += _check_success(one, count)
        elif one.status is not None and one.stamped:
            problems.append(f'{one.request}: a failure bears a signature')
    return problems


def _check_success(one: callers.Sent, count: int) -> list[str]:
    if not one.stamped or one.echoed != one.request:
        return [f'{one.request}: success without its signature or id']
    if set(one.body.split(b' by ')[0].split()) != {one.request.encode()}:
        return [f'{one.request}: the body answers another request']
    if len(one.body) % 20 or not count:
        return [f'{one.request}: the body is not whole, or nothing ran']
    return []


def check_owners(events: Events) -> list[str]:
    """Return keys that two lives held, and began requests on, at a time."""
    problems = []
    by_key: dict[int, list[Run]] = collections.defaultdict(list)
    for run in events.runs:
        if run.key is not None:
            by_key[run.key].append(run)
    for key, runs in by_key.items():
        held = sorted(
            (h for h in events.held if h.first <= key <= h.last),
            key=lambda h: h.start,
        )
        problems += _check_fences(key, held)
        for one, two in itertools.combinations(held, 2):
            if one.holder != two.holder:
                problems += _check_overlap(key, one, two, runs)
    return problems


def _check_overlap(
    key: int, one: Held, two: Held, runs: Sequence[Run]
) -> list[str]:
    start, end = max(one.start, two.start), min(one.until, two.until)
    users = {run.holder for run in runs if start <= run.at <= end}
    if start >= end or not {one.holder, two.holder} <= users:
        return []
    return [
        f'key {key} is held by {one.holder} and {two.holder} for '
        f'{end - start:.3f} s'
    ]


def _check_fences(key: int, held: Sequence[Held]) -> list[str]:
    problems = []
    highest: dict[str, int] = {}
    for one in held:
        others = [f for holder, f in highest.items() if holder != one.holder]
        # A renewal of the fence by which a life holds the key is no takeover.
        first = highest.get(one.holder, 0) < one.fence
        if first and others and one.fence <= max(others):
            problems.append(
                f'key {key}: {one.holder} took fence {one.fence} after '
                f'{max(others)}'
            )
        highest[one.holder] = max(highest.get(one.holder, 0), one.fence)
    return problems


def check_processes(
    gateways: Iterable[fleet.Gateway], stops: Iterable[faults.Stop]
) -> list[str]:
    """Return gateways that ended by themselves, or stopped badly."""
    problems = []
    for gateway in gateways:
        for life in gateway.lives:
            if life.popen.poll() is not None and not life.stopped_by_us:
                problems.append(
                    f'{gateway.name} ended by itself, code '
                    f'{life.popen.returncode}, see {life.errors}'
                )
            if life.errors.stat().st_size:
                problems.append(f'{gateway.name} wrote to {life.errors}')
    for stop in stops:
        # One that has not begun to listen has nothing to end; the signal
        # may find it before it can handle it.
        failed = stop.serving and stop.code != 0
        if stop.ended - stop.at > STOP_S or failed:
            problems.append(
                f'{stop.gateway} took {stop.ended - stop.at:.1f} s to stop, '
                f'code {stop.code}'
            )
    return problems


def check_calm(sent: Sequence[callers.Sent], since: float) -> list[str]:
    """Return a problem if requests after all faults are not served."""
    late = [one for one in sent if one.at >= since and one.ended]
    served = sum(one.status == 200 for one in late)
    if not late or served < CALM_SHARE * len(late):
        return [f'{served} of {len(late)} requests served after all faults']
    return []

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
MIN_SERVED_SHARE = 0.95
# The platform ends a process by force after the grace time.
MAX_STOP_S = fleet.GRACE_S + 0.5


@dataclass(frozen=True, kw_only=True)
class OwnedRange:
    """Keys that one life of an upstream held for a time."""

    holder: str
    first: int
    last: int
    fence: int
    start: float
    until: float


@dataclass(frozen=True, kw_only=True)
class Execution:
    holder: str
    request: str
    key: int | None
    at: float


@dataclass(kw_only=True)
class Events:
    """What all lives of all upstreams have printed."""

    held: list[OwnedRange]
    runs: list[Execution]


def read_events(upstreams: Iterable[fleet.Upstream]) -> Events:
    events = Events(held=[], runs=[])
    for upstream in upstreams:
        for number, incarnation in enumerate(upstream.incarnations):
            holder = f'{upstream.name}/{number}'
            lines = incarnation.log.read_text().splitlines()
            _read_incarnation(events, holder, [_parse(line) for line in lines])
    return events


def _parse(line: str) -> Mapping[str, Any]:
    try:
        document = json.loads(line)
    except ValueError:
        # The last line of a process that was killed while it wrote.
        return {}
    return document if isinstance(document, dict) else {}


def _read_incarnation(
    events: Events, holder: str, lines: Iterable[Mapping[str, Any]]
) -> None:
    open_ranges: list[OwnedRange] = []
    for line in lines:
        match line.get('event'):
            case 'hold':
                held = OwnedRange(
                    holder=holder,
                    first=line['first'],
                    last=line['last'],
                    fence=line['fence'],
                    start=line['start'],
                    until=line['until'],
                )
                open_ranges = _close_range(
                    events, open_ranges, held, held.start
                )
                open_ranges.append(held)
            case 'released':
                part = _released_range(holder, line['first'], line['last'])
                open_ranges = _close_range(
                    events, open_ranges, part, line['at']
                )
            case 'run':
                events.runs.append(
                    Execution(
                        holder=holder,
                        request=line['request'],
                        key=line['key'],
                        at=line['at'],
                    )
                )
    events.held += open_ranges


def _released_range(holder: str, first: int, last: int) -> OwnedRange:
    return OwnedRange(
        holder=holder, first=first, last=last, fence=0, start=0, until=0
    )


def _close_range(
    events: Events, holds: Iterable[OwnedRange], part: OwnedRange, at: float
) -> list[OwnedRange]:
    """End the holds on a range at a time; returns those still open."""
    still_open: list[OwnedRange] = []
    for held in holds:
        first = max(held.first, part.first)
        last = min(held.last, part.last)
        if first > last:
            still_open.append(held)
            continue
        events.held.append(_subrange(held, first, last, min(at, held.until)))
        if held.first < first:
            still_open.append(
                _subrange(held, held.first, first - 1, held.until)
            )
        if held.last > last:
            still_open.append(_subrange(held, last + 1, held.last, held.until))
    return still_open


def _subrange(
    held: OwnedRange, first: int, last: int, until: float
) -> OwnedRange:
    return OwnedRange(
        holder=held.holder,
        first=first,
        last=last,
        fence=held.fence,
        start=held.start,
        until=until,
    )


def check_requests(
    sent: Sequence[callers.SentRequest], events: Events
) -> list[str]:
    """Return the violations that single requests show."""
    problems = []
    runs = collections.Counter(run.request for run in events.runs)
    sent_ids = {one.request for one in sent}
    for request in runs:
        if request not in sent_ids:
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


def _check_success(one: callers.SentRequest, count: int) -> list[str]:
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
    by_key: dict[int, list[Execution]] = collections.defaultdict(list)
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
    key: int, one: OwnedRange, two: OwnedRange, runs: Sequence[Execution]
) -> list[str]:
    start, end = max(one.start, two.start), min(one.until, two.until)
    users = {run.holder for run in runs if start <= run.at <= end}
    if start >= end or not {one.holder, two.holder} <= users:
        return []
    return [
        f'key {key} is held by {one.holder} and {two.holder} for '
        f'{end - start:.3f} s'
    ]


def _check_fences(key: int, held: Sequence[OwnedRange]) -> list[str]:
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
    gateways: Iterable[fleet.Gateway], stops: Iterable[faults.GatewayStop]
) -> list[str]:
    """Return gateways that ended by themselves, or stopped badly."""
    problems = []
    for gateway in gateways:
        for incarnation in gateway.incarnations:
            if (
                incarnation.popen.poll() is not None
                and not incarnation.stopped_by_us
            ):
                problems.append(
                    f'{gateway.name} ended by itself, code '
                    f'{incarnation.popen.returncode}, see {incarnation.errors}'
                )
            if incarnation.errors.stat().st_size:
                problems.append(
                    f'{gateway.name} wrote to {incarnation.errors}'
                )
    for stop in stops:
        # One that has not begun to listen has nothing to end; the signal
        # may find it before it can handle it.
        failed = stop.serving and stop.code != 0
        if stop.ended - stop.at > MAX_STOP_S or failed:
            problems.append(
                f'{stop.gateway} took {stop.ended - stop.at:.1f} s to stop, '
                f'code {stop.code}'
            )
    return problems


def check_recovery(
    sent: Sequence[callers.SentRequest], since: float
) -> list[str]:
    """Return a problem if requests after all faults are not served."""
    late = [one for one in sent if one.at >= since and one.ended]
    served = sum(one.status == 200 for one in late)
    if not late or served < MIN_SERVED_SHARE * len(late):
        return [f'{served} of {len(late)} requests served after all faults']
    return []

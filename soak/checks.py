"""Checks of the guarantees, from the records of callers and upstreams."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import itertools
import json
from typing import Any

from soak import callers
from soak import faults
from soak import fleet

REFUSALS = frozenset({408, 421, 429, 503})
UNSAFE = frozenset({'book', 'pay'})
# Share of the requests in the steady period at the end that must be served.
MIN_SERVED_SHARE = 0.95
# The platform kills a stopping process after the grace period.
MAX_STOP_S = fleet.GRACE_S + 0.5
# Requests may still arrive for this long after an upstream has asked for a
# pause, and this many until its end.
PAUSE_NOTICE_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
# A fault excuses a lost connection for this long, because its effects, such
# as retransmissions, last longer than the fault.
STABLE_S = 2.0
# The caller may notice a lost connection before the fault is recorded.
CUT_SLACK_S = 0.2


@dataclass(frozen=True, kw_only=True)
class OwnedRange:
    """A range of keys that one incarnation of an upstream held for a time."""

    holder: str
    first: int
    last: int
    fence: int
    start: float
    until: float


@dataclass(frozen=True, kw_only=True)
class Execution:
    """The start of a request's execution by an incarnation of an upstream."""

    holder: str
    request: str
    key: int | None
    at: float


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached an upstream while it was leaving."""

    holder: str
    request: str
    at: float


@dataclass(frozen=True, kw_only=True)
class TurnedAway:
    """A request that an upstream refused, with a pause up to ``until``."""

    holder: str
    request: str
    at: float
    until: float


@dataclass(kw_only=True)
class Events:
    """The events that all incarnations of all upstreams printed."""

    held: list[OwnedRange]
    runs: list[Execution]
    arrivals: list[Arrival] = field(default_factory=list)
    turned_away: list[TurnedAway] = field(default_factory=list)


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
        # The process was killed while it wrote its last line.
        return {}
    return document if isinstance(document, dict) else {}


def _read_incarnation(
    events: Events, holder: str, lines: Iterable[Mapping[str, Any]]
) -> None:
    open_ranges: list[OwnedRange] = []
    for line in lines:
        match line.get('event'):
            case 'hold':
                # A grant does not shorten the holds before it.
                open_ranges.append(
                    OwnedRange(
                        holder=holder,
                        first=line['first'],
                        last=line['last'],
                        fence=line['fence'],
                        start=line['start'],
                        until=line['until'],
                    )
                )
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
            case 'arrived':
                events.arrivals.append(
                    Arrival(
                        holder=holder, request=line['request'], at=line['at']
                    )
                )
            case 'turned-away':
                events.turned_away.append(
                    TurnedAway(
                        holder=holder,
                        request=line['request'],
                        at=line['at'],
                        until=line['until'],
                    )
                )
    events.held += open_ranges


def _released_range(holder: str, first: int, last: int) -> OwnedRange:
    return OwnedRange(
        holder=holder, first=first, last=last, fence=0, start=0, until=0
    )


def _close_range(
    events: Events,
    open_ranges: Iterable[OwnedRange],
    part: OwnedRange,
    at: float,
) -> list[OwnedRange]:
    """End the ownership of the keys in ``part`` at a time.

    Appends what has ended to ``events`` and returns the ranges, or the rest
    of them, that are still open.
    """
    still_open: list[OwnedRange] = []
    for held in open_ranges:
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
    """Return the violations that are visible in single requests."""
    problems = []
    runs = collections.Counter(run.request for run in events.runs)
    sent_ids = {req.request for req in sent}
    for request in runs:
        if request not in sent_ids:
            problems.append(f'{request} was executed, but no caller sent it')
    for req in sent:
        count = runs[req.request]
        if req.route in UNSAFE and count > 1:
            problems.append(
                f'{req.request} ({req.route}) was executed {count} times'
            )
        if req.status in REFUSALS and count and req.route in UNSAFE:
            problems.append(
                f'{req.request} was executed but refused with {req.status}'
            )
        if req.status == 503 and req.retry_after is None:
            problems.append(f'{req.request}: status 503 without Retry-After')
        if req.status == 200:
            problems += _check_success(req, count)
        elif req.status is not None and req.stamped:
            problems.append(
                f'{req.request}: error response with a server stamp'
            )
    return problems


def _check_success(req: callers.SentRequest, count: int) -> list[str]:
    if not req.stamped or req.echoed != req.request:
        return [f'{req.request}: success without server stamp or attempt id']
    if set(req.body.split(b' by ')[0].split()) != {req.request.encode()}:
        return [f'{req.request}: the body belongs to another request']
    if len(req.body) % 20 or not count:
        return [f'{req.request}: incomplete body, or not executed']
    return []


def check_owners(events: Events) -> list[str]:
    """Return violations of exclusive ownership.

    These are keys that two incarnations owned at the same time, if both of
    them started to execute requests for the key during the overlap, and
    takeovers of a key with a fence that is not above those of the others.
    """
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
        for left, right in itertools.combinations(held, 2):
            if left.holder != right.holder:
                problems += _check_overlap(key, left, right, runs)
    return problems


def _check_overlap(
    key: int, left: OwnedRange, right: OwnedRange, runs: Sequence[Execution]
) -> list[str]:
    start, end = max(left.start, right.start), min(left.until, right.until)
    served_by = {run.holder for run in runs if start <= run.at <= end}
    if start >= end or not {left.holder, right.holder} <= served_by:
        return []
    return [
        f'key {key} was owned by {left.holder} and {right.holder} for '
        f'{end - start:.3f} s'
    ]


def _check_fences(key: int, held: Sequence[OwnedRange]) -> list[str]:
    problems = []
    highest: dict[str, int] = {}
    for owned in held:
        others = [f for holder, f in highest.items() if holder != owned.holder]
        # A renewal keeps the fence of the grant; only a higher fence than the
        # incarnation's own means that it has taken over the key.
        is_takeover = highest.get(owned.holder, 0) < owned.fence
        if is_takeover and others and owned.fence <= max(others):
            problems.append(
                f'key {key}: {owned.holder} was granted fence '
                f'{owned.fence} after {max(others)}'
            )
        highest[owned.holder] = max(highest.get(owned.holder, 0), owned.fence)
    return problems


def check_leaving(
    sent: Sequence[callers.SentRequest],
    events: Events,
    disturbances: Sequence[faults.Disturbance],
) -> list[str]:
    """Return the requests that reached a leaving upstream too late.

    A request is late if its caller sent it after the drain time, counted
    from an answer of the incarnation, with its mark, that the same gateway
    passed on. A restart or freeze of the gateway since this answer excuses
    it. The answers that a restarted gateway passes on bind it again.
    """
    by_request = {req.request: req for req in sent}
    passed_on: dict[tuple[str, str], list[float]] = collections.defaultdict(
        list
    )
    for run in events.runs:
        req = by_request.get(run.request)
        if req is None or not req.leaving or not _answered_by(req, run):
            continue
        passed_on[(run.holder, req.gateway)].append(req.ended)
    problems = []
    for arrival in events.arrivals:
        req = by_request.get(arrival.request)
        if req is None:
            continue
        delays = [
            req.at - since
            for since in passed_on[(arrival.holder, req.gateway)]
            if req.at > since + fleet.DRAIN_S
            and not _disturbed(disturbances, {req.gateway}, since, arrival.at)
        ]
        if delays:
            problems.append(
                f'{req.request} reached {arrival.holder} by {req.gateway} '
                f'{max(delays):.3f} s after it was found leaving'
            )
    return problems


def _answered_by(req: callers.SentRequest, run: Execution) -> bool:
    words = req.body.split(b' ', 3)
    return words[2:3] == [run.holder.partition('/')[0].encode()]


def check_pauses(
    sent: Sequence[callers.SentRequest],
    events: Events,
    disturbances: Sequence[faults.Disturbance],
) -> list[str]:
    """Return the pauses in which too many requests reached an upstream.

    Each answer that asks for a pause binds the gateway that got it until
    the end of that pause. A restart or freeze of the gateway, or a cut of
    the path, excuses it from the answers before. A freeze of the upstream
    only excuses requests that callers had sent before the notice ended: the
    upstream reads them late.
    """
    by_request = {req.request: req for req in sent}
    answers: dict[tuple[str, str], list[TurnedAway]] = collections.defaultdict(
        list
    )
    for each in events.turned_away:
        if each.request in by_request:
            gateway = by_request[each.request].gateway
            answers[(each.holder, gateway)].append(each)
    problems = []
    for (holder, gateway), seen in answers.items():
        name = holder.partition('/')[0]
        excused = {gateway, f'path to {name}'}
        freezes = [d for d in disturbances if d.name == name]
        late_counts = [
            sum(
                _is_late(other, by_request[other.request], answer, freezes)
                for other in seen
            )
            for answer in seen
            if not _disturbed(disturbances, excused, answer.at, answer.until)
        ]
        most = max(late_counts, default=0)
        if most > MAX_ARRIVALS_IN_PAUSE:
            problems.append(
                f'{most} requests reached {holder} by {gateway} in a pause'
            )
    return problems


def _is_late(
    other: TurnedAway,
    req: callers.SentRequest,
    answer: TurnedAway,
    freezes: Iterable[faults.Disturbance],
) -> bool:
    """Return whether a request came in the pause, after the notice.

    ``freezes`` are those of the upstream.
    """
    frozen = any(d.start <= other.at and answer.at <= d.end for d in freezes)
    since = req.at if frozen else other.at
    return since > answer.at + PAUSE_NOTICE_S and other.at < answer.until


def check_cut_off(
    sent: Sequence[callers.SentRequest],
    events: Events,
    disturbances: Sequence[faults.Disturbance],
) -> list[str]:
    """Return the requests that ran, but whose caller lost its connection.

    Only unplanned faults of the gateway, the upstream or the path between
    them excuse it, up to ``STABLE_S`` before the request: a planned stop, a
    reload and a change of the configuration cut nothing off.
    """
    holders = {run.request: run.holder for run in events.runs}
    unplanned = [d for d in disturbances if not d.planned]
    problems = []
    for req in sent:
        holder = holders.get(req.request)
        if holder is None or not req.cut_off:
            continue
        name = holder.partition('/')[0]
        excused = {req.gateway, name, f'end of {name}', f'path to {name}'}
        if not _disturbed(
            unplanned, excused, req.at - STABLE_S, req.ended + CUT_SLACK_S
        ):
            problems.append(
                f'{req.request} ran at {holder}, but {req.gateway} cut its '
                f'connection after {req.ended - req.at:.3f} s: {req.problem}'
            )
    return problems


def _disturbed(
    disturbances: Iterable[faults.Disturbance],
    names: set[str],
    start: float,
    end: float,
) -> bool:
    return any(
        d.name in names and d.start <= end and start <= d.end
        for d in disturbances
    )


def check_processes(
    gateways: Iterable[fleet.Gateway], stops: Iterable[faults.GatewayStop]
) -> list[str]:
    """Return gateways that exited unexpectedly or did not stop cleanly.

    Output on standard error counts as a problem too.
    """
    problems = []
    for gateway in gateways:
        for incarnation in gateway.incarnations:
            if (
                incarnation.popen.poll() is not None
                and not incarnation.stopped_by_us
            ):
                problems.append(
                    f'{gateway.name} exited unexpectedly with code '
                    f'{incarnation.popen.returncode}, see {incarnation.errors}'
                )
            if incarnation.errors.stat().st_size:
                problems.append(
                    f'{gateway.name} wrote to {incarnation.errors}'
                )
    for stop in stops:
        # SIGTERM may arrive before a starting gateway has installed its
        # handler; one that does not listen yet may end with any code.
        failed = stop.serving and stop.code != 0
        took = stop.ended - stop.at - stop.frozen_s
        if took > MAX_STOP_S or failed:
            problems.append(
                f'{stop.gateway} took {took:.1f} s to stop, '
                f'exit code {stop.code}'
            )
    return problems


def check_recovery(
    sent: Sequence[callers.SentRequest], since: float
) -> list[str]:
    """Return a problem if too few requests after recovery were served."""
    finished = [req for req in sent if req.at >= since and req.ended]
    served = sum(req.status == 200 for req in finished)
    if not finished or served < MIN_SERVED_SHARE * len(finished):
        return [f'{served} of {len(finished)} requests served after recovery']
    return []

"""The recent requests of a process, for ``explain request``.

The number of requests is bounded, and the oldest are evicted first. Keys,
headers and bodies are not kept, only the hash of the key. Requests that
failed or were retried are also added to the timeline as events. Their rate
is limited, because a burst of rejected requests must not evict the events
that explain its cause.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from datetime import timedelta

from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import outcomes
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import timeline as timeline_module

# About 1 KiB each; also the default of ``limits.recent_requests``.
MAX_REQUESTS = 4096
# The timeline keeps 8,192 events, so a burst of failed requests fills it only
# after several minutes. Milestones have a separate buffer.
EVENTS_PER_SECOND = 20

_SECOND = timedelta(seconds=1)
_ONE_MS = timedelta(milliseconds=1)

EpochLookup = Callable[[ids.UpstreamId], ids.Epoch | None]


@dataclass(kw_only=True, slots=True)
class Trace:
    """Data that the request path records about a request in progress.

    ``received`` is wall time, ``arrived`` is elapsed time.
    """

    request_id: ids.RequestId
    received: datetime
    arrived: timedelta
    routed: routing.Routed | None = None
    config_version: ids.ConfigVersion | None = None
    preset: ids.PresetName | None = None
    queued: timedelta = timedelta()
    attempts: list[views.Attempt] = field(default_factory=list)

    def record_route(
        self,
        routed: routing.Routed | outcomes.NotRun,
        view: dispatch.View | None,
    ) -> None:
        """Record the route, or only the versions if it was rejected.

        A later route replaces an earlier one.
        """
        if view is not None:
            self.config_version = view.config_version
            self.preset = view.document.in_force
        if isinstance(routed, routing.Routed):
            self.routed = routed

    def record_attempt(
        self, attempt: retries.Attempt, started: timedelta
    ) -> None:
        """Record an attempt; ``started`` is elapsed time."""
        outcome = retries.classify(attempt)
        kind, reason = describe(outcome)
        self.attempts.append(
            views.Attempt(
                upstream=attempt.upstream,
                started=self.received + (started - self.arrived),
                duration_ms=attempt.duration / _ONE_MS,
                result=kind,
                reason=reason.value,
            )
        )


def describe(outcome: outcomes.Outcome) -> tuple[str, outcomes.Reason]:
    """Return the ``X-Outcome`` value of an outcome and its reason."""
    match outcome:
        case outcomes.Done():
            return 'done', outcomes.Reason.OK
        case outcomes.NotRun():
            return 'not-run', outcome.reason
        case outcomes.Unknown():
            return 'unknown', outcome.reason


class RequestHistory:
    """The latest finished requests of one process.

    ``epoch_of`` returns the epoch of an owner's claim as known to this
    process.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        clock: clock_module.Clock,
        timeline: timeline_module.Timeline | None = None,
        epoch_of: EpochLookup = lambda upstream: None,
        limit: int = MAX_REQUESTS,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._timeline = timeline
        self._epoch_of = epoch_of
        self._limit = limit
        self._requests: collections.OrderedDict[
            ids.RequestId, views.Request
        ] = collections.OrderedDict()
        self._window_start = timedelta()
        self._window_events = 0

    def begin(self, request_id: ids.RequestId) -> Trace:
        return Trace(
            request_id=request_id,
            received=self._clock.now(),
            arrived=self._clock.elapsed(),
        )

    def end(self, trace: Trace, outcome: outcomes.Outcome) -> None:
        """Store a finished request."""
        request = self._to_view(trace, outcome)
        self._add_event(trace, request)
        if self._limit == 0:
            return
        self._requests[request.request] = request
        if len(self._requests) > self._limit:
            self._requests.popitem(last=False)

    def find(self, request_id: ids.RequestId) -> views.Request | None:
        return self._requests.get(request_id)

    def _to_view(
        self, trace: Trace, outcome: outcomes.Outcome
    ) -> views.Request:
        kind, reason = describe(outcome)
        routed = trace.routed
        owner = routed.owner if routed else None
        key_hash = routed.key_hash if routed else None
        shard = routed.shard if routed else None
        return views.Request(
            request=trace.request_id,
            process=self._vm,
            received=trace.received,
            duration_ms=(self._clock.elapsed() - trace.arrived) / _ONE_MS,
            outcome=kind,
            reason=reason.value,
            status=outcome.status,
            rank=routed.rank.value if routed else None,
            pool=routed.pool.name if routed else None,
            key_hash=None if key_hash is None else f'{key_hash:016x}',
            shard=shard.shard_id if shard else None,
            epoch=self._epoch_of(owner) if owner else None,
            config_version=trace.config_version,
            preset=trace.preset,
            queued_ms=trace.queued / _ONE_MS,
            detail=getattr(outcome, 'detail', ''),
            attempts=tuple(trace.attempts),
        )

    def _add_event(self, trace: Trace, request: views.Request) -> None:
        if self._timeline is None:
            return
        if request.outcome == 'done' and len(request.attempts) < 2:
            return
        if not self._event_allowed():
            return
        routed = trace.routed
        tried = ', '.join(a.upstream for a in request.attempts)
        where = f' after {tried}' if tried else ''
        self._timeline.add(
            events.Kind.REQUEST_ENDED,
            f'{request.outcome} {request.reason}{where}',
            request_id=request.request,
            key_hash=routed.key_hash if routed else None,
            shard=request.shard,
            upstream=routed.owner if routed else None,
            epoch=request.epoch,
            config_version=request.config_version,
        )

    def _event_allowed(self) -> bool:
        now = self._clock.elapsed()
        if now - self._window_start >= _SECOND:
            self._window_start = now
            self._window_events = 0
        self._window_events += 1
        return self._window_events <= EVENTS_PER_SECOND

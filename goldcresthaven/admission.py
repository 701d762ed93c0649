"""Queues by rank, order of service, and refusal of work that is hopeless.

Requests wait at the entry process, never at the upstream: in one queue per
pool, or per owner in keyed pools. ``RequestQueue`` bounds and orders them,
``Shares`` decides which rank is next and is used by the slot manager and,
while the manager is silent, by the entry process itself.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import heapq
from typing import Annotated

from goldcresthaven import codec
from goldcresthaven import ids
from goldcresthaven import message_fields
from goldcresthaven import outcomes
from goldcresthaven import presets

RANK_COUNT = len(outcomes.RANKS)
# Enum members hash through Python code; the hot path uses list indexes.
LEVEL = {rank: level for level, rank in enumerate(outcomes.RANKS)}
BULK_LEVEL = LEVEL[outcomes.Rank.BULK]

ZERO = timedelta()
MIN_RETRY_AFTER = timedelta(seconds=1)  # Retry-After has whole seconds
DEFAULT_SERVICE = timedelta(milliseconds=50)  # until one was measured
# Mean service times that must be left at dispatch. With 1, about half of
# the requests sent at that point ended after their deadlines.
SERVICE_MARGIN = 2
SERVICE_WEIGHT = 0.1  # weight of a new sample in the mean service time
# A rank may be this far ahead of or behind its floor, in seconds of one
# slot. Without a lower bound a rank that filled spare slots would later
# wait for as long.
CREDIT_LIMIT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Request:
    """A request as the load policy sees it.

    ``arrived`` and ``deadline`` are readings of the process's elapsed
    clock. ``owner`` is the upstream that owns the key, or None in unkeyed
    pools. ``size`` counts bytes held in memory while the request waits.
    """

    request_id: ids.RequestId
    pool: ids.PoolName
    rank: outcomes.Rank
    arrived: timedelta
    deadline: timedelta
    owner: ids.UpstreamId | None = None
    size: int = 0
    idempotent: bool = False
    attempt: int = 0
    level: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        object.__setattr__(self, 'level', LEVEL[self.rank])


class Shares:
    """Which rank is served next at one upstream: urgent first, with floors.

    While ranks compete, a rank with work earns its floor times the slots
    and pays for the slots that it holds. A rank with credit left is
    owed service and goes before the others; the rest goes by rank. A rank
    without work earns until its debt is gone, since what it leaves unused
    counts towards its floor.
    """

    def __init__(self, *, floors: Sequence[float], slots: int) -> None:
        self.set_floors(floors, slots=slots)
        self._credit = [0.0] * RANK_COUNT
        self._updated = ZERO

    def set_floors(self, floors: Sequence[float], *, slots: int) -> None:
        """Apply other floors; credit earned so far stays."""
        self._income = [floor * slots for floor in floors]

    def advance(
        self, now: timedelta, waiting: Sequence[int], held: Sequence[int]
    ) -> None:
        """Account for the time since the last call."""
        elapsed = (now - self._updated).total_seconds()
        self._updated = now
        if elapsed <= 0.0:
            return
        contended = any(waiting)
        for level in range(RANK_COUNT):
            if not contended or not (waiting[level] or held[level]):
                self._recover(level, elapsed)
                continue
            gain = self._income[level] - held[level]
            credit = self._credit[level] + elapsed * gain
            self._credit[level] = min(
                max(credit, -CREDIT_LIMIT_S), CREDIT_LIMIT_S
            )

    def _recover(self, level: int, elapsed: float) -> None:
        credit = self._credit[level]
        if credit < 0.0:
            gained = elapsed * self._income[level]
            self._credit[level] = min(credit + gained, 0.0)

    def choose(self, waiting: Sequence[int], allowed: int) -> int | None:
        """Return the level to serve next, or None when none may be served.

        ``allowed`` is the number of levels that may be served, counted
        from the most urgent: 2 excludes BULK.
        """
        first = None
        for level in range(allowed):
            if waiting[level]:
                if self._credit[level] > 0.0:
                    return level
                if first is None:
                    first = level
        return first


@dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """Requests waiting for one upstream over all entries, by rank."""

    upstream: message_fields.Upstream
    queued: Annotated[
        tuple[codec.Count, ...], codec.Size(RANK_COUNT, RANK_COUNT)
    ]


class RankQueue:
    """Requests of one rank in order of arrival, bounded by count and bytes."""

    def __init__(self, policy: presets.RankPolicy) -> None:
        self.policy = policy
        self.bytes = 0
        self.service = DEFAULT_SERVICE
        self._requests: collections.OrderedDict[ids.RequestId, Request] = (
            collections.OrderedDict()
        )
        self._deadlines: list[tuple[timedelta, ids.RequestId]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def full(self, size: int) -> bool:
        """Return whether a request of this size has no place."""
        policy = self.policy
        if len(self._requests) >= policy.queue_length:
            return True
        return self.bytes + size > policy.queue_bytes

    def add(self, request: Request) -> None:
        self._requests[request.request_id] = request
        self.bytes += request.size
        heapq.heappush(self._deadlines, (request.deadline, request.request_id))

    def remove(self, request_id: ids.RequestId) -> Request | None:
        """Take out one request, wherever it stands."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            self.bytes -= request.size
        return request

    def pop(self) -> Request:
        """Take out the oldest request."""
        _, request = self._requests.popitem(last=False)
        self.bytes -= request.size
        return request

    def drain(self) -> list[Request]:
        """Take out everything."""
        taken = list(self._requests.values())
        self._requests.clear()
        self._deadlines.clear()
        self.bytes = 0
        return taken

    def expire(self, now: timedelta) -> list[Request]:
        """Take out the requests whose deadline has passed."""
        expired: list[Request] = []
        heap = self._deadlines
        while heap and heap[0][0] <= now:
            request = self.remove(heapq.heappop(heap)[1])
            if request is not None:
                expired.append(request)
        return expired

    def earliest(self) -> timedelta | None:
        """Return the earliest deadline, or None when nothing waits."""
        heap = self._deadlines
        while heap and heap[0][1] not in self._requests:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def observe(self, service: timedelta) -> None:
        """Include a measured service time in the mean."""
        self.service += (service - self.service) * SERVICE_WEIGHT


class RequestQueue:
    """The queue of one pool, or of one owner in a keyed pool.

    ``slots`` is the number of slots behind the queue over all its
    upstreams. The waits are estimated from what the slot managers report
    of the queues of all entries, because slots are given out in order of
    deadline over all of them.
    """

    def __init__(self, *, preset: presets.Preset, slots: int) -> None:
        self.slots = slots
        self.ranks = [RankQueue(preset.rank(rank)) for rank in outcomes.RANKS]
        self._floors = [r.policy.floor for r in self.ranks]
        self._elsewhere = [0] * RANK_COUNT

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply other limits; requests that wait stay in the queue."""
        for queue, rank in zip(self.ranks, outcomes.RANKS):
            queue.policy = preset.rank(rank)
        self._floors = [r.policy.floor for r in self.ranks]

    def set_elsewhere(self, queued: Sequence[int]) -> None:
        """Record how many requests wait at the other entries, by rank."""
        self._elsewhere = list(queued)

    def counts(self) -> list[int]:
        return [len(queue) for queue in self.ranks]

    def expected_wait(self, level: int) -> timedelta:
        """Return the wait of a request of this level that arrives now.

        The result is the shorter of two bounds: everything of its own and
        higher ranks goes first, or its own rank drains at its floor.
        """
        ranks = self.ranks
        slots = max(self.slots, 1)
        work = []
        for i in range(RANK_COUNT):
            ahead = len(ranks[i]) + self._elsewhere[i]
            work.append(ranks[i].service.total_seconds() * ahead)
        if not work[level]:
            return ZERO
        lower = sum(
            self._floors[i] for i in range(level + 1, RANK_COUNT) if work[i]
        )
        by_rank = sum(work[: level + 1]) / (slots * max(1.0 - lower, 0.05))
        floor = self._floors[level]
        if floor <= 0.0:
            return timedelta(seconds=by_rank)
        by_floor = work[level] / (slots * floor)
        return timedelta(seconds=min(by_rank, by_floor))

    def offer(
        self, now: timedelta, request: Request
    ) -> outcomes.NotRun | None:
        """Add a request, or return why it is refused."""
        queue = self.ranks[request.level]
        remaining = request.deadline - now
        if remaining <= ZERO:
            return _refusal(outcomes.Reason.DEADLINE_PASSED, ZERO)
        wait = self.expected_wait(request.level)
        if queue.full(request.size):
            return _refusal(outcomes.Reason.QUEUE_FULL, wait)
        needed = wait + queue.service * SERVICE_MARGIN
        if needed > remaining and len(queue):
            excess = needed - remaining
            return _refusal(outcomes.Reason.CANNOT_MEET_DEADLINE, excess)
        queue.add(request)
        return None


def _refusal(
    reason: outcomes.Reason, retry_after: timedelta
) -> outcomes.NotRun:
    return outcomes.NotRun(
        reason=reason, retry_after=max(retry_after, MIN_RETRY_AFTER)
    )


TOO_LATE = outcomes.NotRun(
    reason=outcomes.Reason.CANNOT_MEET_DEADLINE,
    retry_after=MIN_RETRY_AFTER,
)
EXPIRED = outcomes.NotRun(
    reason=outcomes.Reason.DEADLINE_PASSED,
    retry_after=MIN_RETRY_AFTER,
)


def no_upstream(request: Request) -> outcomes.NotRun:
    """Return the refusal of a request that no upstream may take."""
    reason = outcomes.Reason.NO_UPSTREAM
    if request.owner is not None:
        reason = outcomes.Reason.NO_OWNER
    return outcomes.NotRun(reason=reason, retry_after=MIN_RETRY_AFTER)

"""Queues by rank, order of service, and refusal of requests.

Requests wait at the entry process, never at the upstream: in one queue per
pool, or one per owner in keyed pools. ``RequestQueue`` bounds and orders
them and refuses those that cannot meet their deadlines. ``Shares`` decides
which rank is served next. The slot manager uses it, and so does the entry
process while the manager is unavailable.
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
# The hot path uses list indexes, because hashing an enum member runs Python
# code.
LEVEL_BY_RANK = {rank: level for level, rank in enumerate(outcomes.RANKS)}
BULK_LEVEL = LEVEL_BY_RANK[outcomes.Rank.BULK]

ZERO = timedelta()
MIN_RETRY_AFTER = timedelta(seconds=1)  # Retry-After has whole seconds
DEFAULT_SERVICE_TIME = timedelta(milliseconds=50)  # before the first sample
# A request is dispatched only if this many mean service times are left until
# its deadline. With 1, about half of the requests sent at that point ended
# after their deadlines.
SERVICE_MARGIN = 2
SERVICE_TIME_WEIGHT = 0.1  # weight of a new sample in the mean service time
# Limit of a rank's credit and debt against its floor, in seconds of one slot.
# Without a limit on debt, a rank that used spare slots for some time would
# later go without service for as long.
CREDIT_LIMIT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Request:
    """The properties of a request that the load policy uses.

    ``arrived`` and ``deadline`` are readings of the process's elapsed
    clock. ``owner`` is the upstream that owns the key, or None in unkeyed
    pools. ``size`` is the memory in bytes that the waiting request uses.
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
        object.__setattr__(self, 'level', LEVEL_BY_RANK[self.rank])


class Shares:
    """Chooses the rank to serve next: urgent first, with guaranteed floors.

    While requests wait, a rank with work earns credit at the rate of its
    floor times the number of slots, and spends credit for the slots that it
    holds. Ranks with positive credit are served before the others, and the
    order within both groups is by rank. A rank without work earns only
    until its debt is paid, because the service that it leaves unused counts
    towards its floor.
    """

    def __init__(self, *, floors: Sequence[float], slots: int) -> None:
        self.set_floors(floors, slots=slots)
        self._credit = [0.0] * RANK_COUNT
        self._updated = ZERO

    def set_floors(self, floors: Sequence[float], *, slots: int) -> None:
        """Apply other floors; keep the current credit."""
        self._earning_rates = [floor * slots for floor in floors]

    def advance(
        self, now: timedelta, waiting: Sequence[int], held: Sequence[int]
    ) -> None:
        """Update the credit for the time since the last call."""
        elapsed = (now - self._updated).total_seconds()
        self._updated = now
        if elapsed <= 0.0:
            return
        contended = any(waiting)
        for level in range(RANK_COUNT):
            if not contended or not (waiting[level] or held[level]):
                self._reduce_debt(level, elapsed)
                continue
            gain = self._earning_rates[level] - held[level]
            credit = self._credit[level] + elapsed * gain
            self._credit[level] = min(
                max(credit, -CREDIT_LIMIT_S), CREDIT_LIMIT_S
            )

    def _reduce_debt(self, level: int, elapsed: float) -> None:
        credit = self._credit[level]
        if credit < 0.0:
            gained = elapsed * self._earning_rates[level]
            self._credit[level] = min(credit + gained, 0.0)

    def choose(self, waiting: Sequence[int], allowed: int) -> int | None:
        """Return the level to serve next, or None if none can be served.

        ``allowed`` is the number of levels that may be served, starting
        with the most urgent: 2 excludes BULK.
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
    """Requests of all entries that wait for one upstream, by rank."""

    upstream: message_fields.Upstream
    queued: Annotated[
        tuple[codec.Count, ...], codec.Size(RANK_COUNT, RANK_COUNT)
    ]


class RankQueue:
    """Requests of one rank in order of arrival, bounded by count and bytes."""

    def __init__(self, policy: presets.RankPolicy) -> None:
        self.policy = policy
        self.bytes = 0
        self.service_time = DEFAULT_SERVICE_TIME
        self._requests: collections.OrderedDict[ids.RequestId, Request] = (
            collections.OrderedDict()
        )
        self._deadlines: list[tuple[timedelta, ids.RequestId]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def is_full(self, size: int) -> bool:
        """Return whether a request of this size would exceed a limit."""
        policy = self.policy
        if len(self._requests) >= policy.queue_length:
            return True
        return self.bytes + size > policy.queue_bytes

    def add(self, request: Request) -> None:
        self._requests[request.request_id] = request
        self.bytes += request.size
        heapq.heappush(self._deadlines, (request.deadline, request.request_id))

    def remove(self, request_id: ids.RequestId) -> Request | None:
        """Remove one request, whatever its position in the queue."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            self.bytes -= request.size
        return request

    def pop(self) -> Request:
        """Remove and return the oldest request."""
        _, request = self._requests.popitem(last=False)
        self.bytes -= request.size
        return request

    def drain(self) -> list[Request]:
        """Remove and return all requests."""
        taken = list(self._requests.values())
        self._requests.clear()
        self._deadlines.clear()
        self.bytes = 0
        return taken

    def expire(self, now: timedelta) -> list[Request]:
        """Remove and return the requests whose deadlines have passed."""
        expired: list[Request] = []
        heap = self._deadlines
        while heap and heap[0][0] <= now:
            request = self.remove(heapq.heappop(heap)[1])
            if request is not None:
                expired.append(request)
        return expired

    def earliest_deadline(self) -> timedelta | None:
        """Return the earliest deadline, or None if the queue is empty."""
        heap = self._deadlines
        while heap and heap[0][1] not in self._requests:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def record_service_time(self, service_time: timedelta) -> None:
        """Add a sample to the moving mean of service times."""
        self.service_time += (
            service_time - self.service_time
        ) * SERVICE_TIME_WEIGHT


class RequestQueue:
    """The queue of one pool, or of one owner in a keyed pool.

    ``slots`` is the number of slots of all upstreams that serve the queue.
    Waits are estimated from the queues of all entries, which the slot
    managers report, because slots are granted in order of deadline across
    all entries.
    """

    def __init__(self, *, preset: presets.Preset, slots: int) -> None:
        self.slots = slots
        self.ranks = [RankQueue(preset.rank(rank)) for rank in outcomes.RANKS]
        self._floors = [r.policy.floor for r in self.ranks]
        self._elsewhere = [0] * RANK_COUNT

    def set_preset(self, preset: presets.Preset) -> None:
        """Apply other limits; keep the waiting requests."""
        for queue, rank in zip(self.ranks, outcomes.RANKS):
            queue.policy = preset.rank(rank)
        self._floors = [r.policy.floor for r in self.ranks]

    def set_elsewhere(self, queued: Sequence[int]) -> None:
        """Set how many requests wait at the other entries, by rank."""
        self._elsewhere = list(queued)

    def counts(self) -> list[int]:
        return [len(queue) for queue in self.ranks]

    def expected_wait(self, level: int) -> timedelta:
        """Return the expected wait of a request that arrives now.

        This is the shorter of two estimates. In one, all requests of the
        same and of more urgent ranks are served first, with the slots that
        the floors of less urgent ranks leave; in the other, the rank's
        queue is served at the rate of its floor.
        """
        ranks = self.ranks
        slots = max(self.slots, 1)
        work = []
        for i in range(RANK_COUNT):
            ahead = len(ranks[i]) + self._elsewhere[i]
            work.append(ranks[i].service_time.total_seconds() * ahead)
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
        """Queue a request, or return the reason for its refusal."""
        queue = self.ranks[request.level]
        remaining = request.deadline - now
        if remaining <= ZERO:
            return _refusal(outcomes.Reason.DEADLINE_PASSED, ZERO)
        wait = self.expected_wait(request.level)
        if queue.is_full(request.size):
            return _refusal(outcomes.Reason.QUEUE_FULL, wait)
        needed = wait + queue.service_time * SERVICE_MARGIN
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
    """Return the refusal of a request that no upstream can serve."""
    reason = outcomes.Reason.NO_UPSTREAM
    if request.owner is not None:
        reason = outcomes.Reason.NO_OWNER
    return outcomes.NotRun(reason=reason, retry_after=MIN_RETRY_AFTER)

"""Slots of abandoned requests that an upstream may still run.

A timeout ends a request at the entry process, but not at the upstream. If
the slot were reused at once, the upstream would run two requests on it, so
it stays occupied until the upstream has most likely finished.
"""

from datetime import timedelta
import heapq
from typing import Generic
from typing import TypeVar

from goldcresthaven import outcomes

# How long such a slot stays occupied from the start of its request, in mean
# service times. If service times have a gamma distribution of shape 4, then
# 4% of them exceed two means and 0.01% exceed four.
OCCUPIED_SERVICE_TIMES = 4

T = TypeVar('T')


def free_at(
    outcome: outcomes.Outcome,
    *,
    started: timedelta,
    service_time: timedelta,
) -> timedelta:
    """Return when the slot of an attempt may be reused.

    ``service_time`` is the mean. The result may be in the past.
    """
    match outcome:
        case outcomes.Unknown(
            reason=outcomes.Reason.TIMEOUT | outcomes.Reason.CALLER_GONE
        ):
            return started + service_time * OCCUPIED_SERVICE_TIMES
        case _:
            return started


class AbandonedRequests(Generic[T]):
    """A queue of occupied slots by the time at which they become free."""

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, int, T]] = []
        self._added = 0

    def add(self, until: timedelta, item: T) -> None:
        self._added += 1
        heapq.heappush(self._heap, (until, self._added, item))

    def take(self, now: timedelta) -> list[T]:
        """Remove and return the items that are free at ``now``."""
        free = []
        while self._heap and self._heap[0][0] <= now:
            free.append(heapq.heappop(self._heap)[2])
        return free

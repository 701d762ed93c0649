"""Slots of requests that were given up while an upstream may still run them.

A timeout ends the request here, but not at the upstream. A slot that is
used again at once would then carry two requests, so it stays occupied
until the upstream has most likely finished.
"""

from datetime import timedelta
import heapq
from typing import Generic
from typing import TypeVar

from goldcresthaven import outcomes

# Of service times with a gamma distribution of shape 4, 4% exceed two means
# and 0.01% exceed four.
SERVICE_TIMES = 4

T = TypeVar('T')


def free_at(
    outcome: outcomes.Outcome,
    *,
    started: timedelta,
    service: timedelta,
) -> timedelta:
    """Return when the slot of an attempt may be used again.

    ``service`` is the mean service time. The result may lie in the past.
    """
    match outcome:
        case outcomes.Unknown(
            reason=outcomes.Reason.TIMEOUT | outcomes.Reason.CALLER_GONE
        ):
            return started + service * SERVICE_TIMES
        case _:
            return started


class Unfinished(Generic[T]):
    """Occupied slots in the order in which they become free."""

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, int, T]] = []
        self._added = 0

    def add(self, until: timedelta, item: T) -> None:
        self._added += 1
        heapq.heappush(self._heap, (until, self._added, item))

    def take(self, now: timedelta) -> list[T]:
        """Remove and return what is free at ``now``."""
        found = []
        while self._heap and self._heap[0][0] <= now:
            found.append(heapq.heappop(self._heap)[2])
        return found

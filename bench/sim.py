"""Virtual clock and event queue of the simulation."""

from collections.abc import Callable
from datetime import timedelta
import heapq
from typing import Any

MS = 0.001  # seconds


class Simulation:
    """Runs callbacks in order of virtual time.

    Callbacks for the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._count = 0

    @property
    def elapsed(self) -> timedelta:
        return timedelta(seconds=self.now)

    def after(
        self, delay: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        self._count += 1
        heapq.heappush(
            self._queue, (self.now + delay, self._count, callback, args)
        )

    def run(self, until: float) -> None:
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = until

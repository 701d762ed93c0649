"""Limits how much of a VM's network link one purpose uses."""

from goldcresthaven import clock as clock_module


class ByteBudget:
    """Limits the bytes that are sent for a purpose, in bytes per second.

    A second's worth may be sent at once.
    """

    def __init__(self, *, rate: float, clock: clock_module.Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._credit = rate
        self._updated_at = clock.elapsed()

    def take(self, count: int) -> bool:
        """Use up credit for some bytes; return whether there was enough."""
        now = self._clock.elapsed()
        elapsed = (now - self._updated_at).total_seconds()
        self._credit = min(self._rate, self._credit + elapsed * self._rate)
        self._updated_at = now
        if self._credit < count:
            return False
        self._credit -= count
        return True

"""Clocks, passed in wherever a decision depends on time.

The core never reads the system clock directly, so that tests and benchmarks
can run the same code on a virtual clock.
"""

from datetime import datetime
from datetime import timedelta
from datetime import timezone
import time
from typing import Protocol

DEFAULT_START = datetime(2026, 1, 1, tzinfo=timezone.utc)


class Clock(Protocol):
    """Source of wall time and of elapsed time."""

    def now(self) -> datetime:
        """Return the wall time in UTC, only for display and timelines."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary fixed point.

        It never goes backwards and keeps counting while the VM is
        suspended, so it is safe for leases and deadlines.
        """


class SystemClock:
    """The clock of the VM.

    Elapsed time is CLOCK_BOOTTIME. CLOCK_MONOTONIC stops while the VM is
    suspended, so a lease holder that resumes would still treat an expired
    lease as valid.
    """

    def now(self) -> datetime:
        return datetime.now(timezone.utc)

    def elapsed(self) -> timedelta:
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that moves only when ``advance`` is called.

    ``rate`` scales each advance, to model a clock that drifts.
    """

    def __init__(
        self, *, start: datetime = DEFAULT_START, rate: float = 1.0
    ) -> None:
        self._start = start
        self._elapsed = timedelta()
        self._rate = rate

    def now(self) -> datetime:
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        return self._elapsed

    def advance(self, by: timedelta) -> None:
        """Move the clock forward by ``by`` times its rate."""
        self._elapsed += by * self._rate

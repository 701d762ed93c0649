"""Decides when a table is read again after the store gave no answer.

All processes call the store while it is unavailable to a coordinator too, so
the pauses grow and are spread. A process that was cut off must know what
changed before it counts as connected again. Therefore a pause counts from the
start of the call that failed, and it ends when the store answers a call for
another table. A call that times out may have used up its pause, so a part of
the pause counts from its end: otherwise the processes of a fleet, which lose
the store at the same time, would also call it at the same time.
"""

from dataclasses import dataclass
from datetime import timedelta
import random

FIRST_PAUSE = timedelta(milliseconds=100)
MIN_SPREAD = 0.9
MAX_SPREAD = 1.1
MIN_SPREAD_AFTER_END = 0.25
MAX_SPREAD_AFTER_END = 1.25


@dataclass(frozen=True, kw_only=True, slots=True)
class LongestPauses:
    """The longest pauses, counted from the start and the end of a call.

    ``change_timing`` derives them from the time within which a change has to
    be known after an outage.
    """

    from_start: timedelta
    from_end: timedelta


# Used if the deployment allows as much.
LONGEST = LongestPauses(
    from_start=timedelta(seconds=2.5), from_end=timedelta(seconds=1.25)
)


class StoreAnswers:
    """The time at which the store last answered this process."""

    def __init__(self) -> None:
        self._last: timedelta | None = None

    def record(self, now: timedelta) -> None:
        self._last = now

    def answered_since(self, time: timedelta) -> bool:
        """Return whether the store answered a call after ``time``."""
        return self._last is not None and self._last > time


class RetrySchedule:
    """The retries of one table; ``answers`` is shared by all tables."""

    def __init__(
        self,
        *,
        answers: StoreAnswers,
        rng: random.Random,
        longest: LongestPauses = LONGEST,
    ) -> None:
        self._answers = answers
        self._rng = rng
        self._max_pause = longest.from_start / MAX_SPREAD
        self._max_pause_after_end = longest.from_end / MAX_SPREAD_AFTER_END
        self._pause = FIRST_PAUSE
        self._failed_at = timedelta()
        self._due = timedelta()

    def record_failure(self, started: timedelta, now: timedelta) -> None:
        """Record that a call from ``started`` to ``now`` was not answered."""
        self._failed_at = now
        self._due = max(
            started + self._pause * self._rng.uniform(MIN_SPREAD, MAX_SPREAD),
            now
            + min(self._pause, self._max_pause_after_end)
            * self._rng.uniform(MIN_SPREAD_AFTER_END, MAX_SPREAD_AFTER_END),
        )
        self._pause = min(self._pause * 2, self._max_pause)

    def record_answer(self, now: timedelta) -> None:
        self._pause = FIRST_PAUSE
        self._answers.record(now)

    def is_due(self, now: timedelta) -> bool:
        """Return whether to call the store again after a failure."""
        return now >= self._due or self._answers.answered_since(
            self._failed_at
        )

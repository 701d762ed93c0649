"""Tests of the pauses after the store gave no answer."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import store_retry

CALL_TIMEOUT = timedelta(seconds=1)
# A process that was cut off is expected to know all changes after this time.
CONNECTED_AFTER = timedelta(seconds=3)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


FLEET = 195


class RetryScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers = store_retry.StoreAnswers()

    def schedule(self, seed: int = 0) -> store_retry.RetrySchedule:
        return store_retry.RetrySchedule(
            answers=self.answers, rng=random.Random(seed)
        )

    def test_pause_counts_from_the_start_of_a_call_that_hangs(self) -> None:
        """Guards against a change that is read too late after a cut.

        The last call before the end of the cut hangs until its timeout.
        """
        for seed in range(50):
            retry = self.schedule(seed)
            started = seconds(100)
            for _ in range(10):
                ended = started + CALL_TIMEOUT
                retry.record_failure(started, ended)
                now = ended
                while not retry.is_due(now):
                    now += seconds(0.01)
                self.assertLess(now - started, CONNECTED_AFTER - seconds(0.3))
                started = now

    def test_calls_of_a_fleet_that_time_out_do_not_stay_together(self) -> None:
        """Guards against a store that gets all calls of a fleet at once.

        All processes lost the store within 0.1 s, and each call hangs until
        its timeout. From the third retry on, at most half of the fleet calls
        within 0.1 s.
        """
        calls: list[list[float]] = []
        for seed in range(FLEET):
            retry = self.schedule(seed)
            started = seconds(100 + 0.1 * seed / FLEET)
            starts = []
            for _ in range(6):
                retry.record_failure(started, started + CALL_TIMEOUT)
                now = started + CALL_TIMEOUT
                while not retry.is_due(now):
                    now += seconds(0.01)
                started = now
                starts.append(now.total_seconds())
            calls.append(starts)
        for retry_number in range(2, 6):
            starts = sorted(starts[retry_number] for starts in calls)
            together = max(
                sum(first <= start < first + 0.1 for start in starts)
                for first in starts
            )
            self.assertLess(together, FLEET / 2)

    def test_answer_for_another_table_ends_the_pause(self) -> None:
        """Guards against tables that are read up to 3 s after each other."""
        retry, other = self.schedule(1), self.schedule(2)
        for _ in range(8):
            retry.record_failure(seconds(100), seconds(100))
        self.assertFalse(retry.is_due(seconds(101)))
        other.record_answer(seconds(101))
        self.assertTrue(retry.is_due(seconds(101)))

    def test_answer_from_before_a_failure_does_not_end_its_pause(self) -> None:
        """Guards against calls without a pause while one table fails."""
        retry, other = self.schedule(1), self.schedule(2)
        other.record_answer(seconds(99))
        retry.record_failure(seconds(99), seconds(100))
        self.assertFalse(retry.is_due(seconds(99.05)))

    def test_pauses_grow_and_start_anew_after_an_answer(self) -> None:
        """Guards against a fleet that calls a store that is down too often."""
        retry = self.schedule()
        now = seconds(100)
        pauses = []
        for _ in range(8):
            retry.record_failure(now, now)
            started = now
            while not retry.is_due(now):
                now += seconds(0.01)
            pauses.append(now - started)
        self.assertLess(pauses[0], seconds(0.14))
        for pause in pauses[5:]:
            self.assertGreaterEqual(pause, seconds(1.5))
        retry.record_answer(now)
        now += seconds(5)
        retry.record_failure(now, now)
        self.assertTrue(retry.is_due(now + seconds(0.14)))

"""Tests of when a process reads a claim."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import claim_watch
from goldcresthaven import key_claims

START = timedelta(seconds=50)
REPORT_OVERDUE = claim_watch.REPORT_TIMEOUT + timedelta(milliseconds=1)
ROUNDS = 2000


def watch(cpu_cores: float = 1.0) -> claim_watch.ClaimWatch:
    return claim_watch.ClaimWatch(
        cpu_cores=cpu_cores, started=START, rng=random.Random(3)
    )


class ClaimWatchTest(unittest.TestCase):
    def mean_readers(self, fleet_size: int, report_age: timedelta) -> float:
        """Return the mean number of processes that read in one round."""
        claim_reads = watch()
        due = sum(
            claim_reads.should_read(START, report_age, fleet_size)
            for _ in range(ROUNDS)
        )
        return due / ROUNDS * fleet_size

    def test_holder_that_is_heard_is_not_looked_at(self) -> None:
        """Guards against reads while the holder reports."""
        self.assertEqual(
            self.mean_readers(2, claim_watch.REPORT_TIMEOUT / 2), 0
        )

    def test_readers_do_not_grow_with_the_fleet(self) -> None:
        """Guards against reads by all processes at the same time."""
        self.assertEqual(self.mean_readers(5, REPORT_OVERDUE), 5)
        for size in (100, 14_000):
            with self.subTest(size=size):
                self.assertLess(self.mean_readers(size, REPORT_OVERDUE), 20)

    def test_long_silence_brings_more_readers(self) -> None:
        """Guards against a claim that only partitioned processes read."""
        long = claim_watch.LONG_REPORT_TIMEOUT * 2
        self.assertGreater(
            self.mean_readers(200, long),
            2 * self.mean_readers(200, REPORT_OVERDUE),
        )

    def test_live_claim_is_looked_at_when_it_may_be_stale(self) -> None:
        """Guards against reads before a claim can be stale, and late reads."""
        claim_reads = watch()
        clock = timedelta(seconds=900)
        renewed_at = clock - timedelta(seconds=1)
        claim_reads.record_claim(
            key_claims.Claim(holder='n1', renewed_at=renewed_at), clock, START
        )
        left = key_claims.STALE_TIMEOUT - timedelta(seconds=1)
        self.assertFalse(
            claim_reads.should_read(START + left * 0.9, REPORT_OVERDUE, 1)
        )
        self.assertTrue(
            claim_reads.should_read(START + left, REPORT_OVERDUE, 1)
        )

    def test_beat_of_the_future_does_not_end_the_watch(self) -> None:
        """Guards against a claim that no process takes over.

        Its renewal time is ahead of the store's clock.
        """
        claim_reads = watch()
        renewed_at = timedelta(seconds=99)
        claim_reads.record_claim(
            key_claims.Claim(holder='n1', renewed_at=renewed_at),
            timedelta(),
            START,
        )
        later = START + key_claims.STALE_TIMEOUT
        self.assertTrue(claim_reads.should_read(later, REPORT_OVERDUE, 1))

    def test_small_machine_waits_for_large_ones(self) -> None:
        """Guards against a coordinator with too little CPU."""
        small = watch(cpu_cores=0.3)
        self.assertFalse(small.should_read(START, timedelta(days=1), 1))
        later = START + claim_watch.SMALL_VM_DELAY
        self.assertFalse(small.should_read(later, REPORT_OVERDUE, 1))
        report_age = REPORT_OVERDUE + claim_watch.SMALL_VM_DELAY
        self.assertTrue(small.should_read(later, report_age, 1))


if __name__ == '__main__':
    unittest.main()

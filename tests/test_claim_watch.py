"""Tests of when a process reads a claim."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import claim_watch
from goldcresthaven import key_claims

START = timedelta(seconds=50)
REPORT_OVERDUE = claim_watch.REPORT_TIMEOUT + timedelta(milliseconds=1)
ROUNDS = 2000


def new_watch(
    cpu_cores: float = 1.0, link_bytes_per_s: float = 1e8
) -> claim_watch.ClaimWatch:
    return claim_watch.ClaimWatch(
        cpu_cores=cpu_cores,
        link_bytes_per_s=link_bytes_per_s,
        started=START,
        rng=random.Random(3),
    )


class ClaimWatchTest(unittest.TestCase):
    def mean_readers(self, fleet_size: int, report_age: timedelta) -> float:
        """Return the mean number of processes that read in one round."""
        watch = new_watch()
        due = sum(
            watch.should_read(START, report_age, fleet_size)
            for _ in range(ROUNDS)
        )
        return due / ROUNDS * fleet_size

    def test_claim_is_not_read_while_its_holder_reports(self) -> None:
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

    def test_more_processes_read_after_a_long_time_without_reports(
        self,
    ) -> None:
        """Guards against a claim that only partitioned processes read."""
        long_report_age = claim_watch.LONG_REPORT_TIMEOUT * 2
        self.assertGreater(
            self.mean_readers(200, long_report_age),
            2 * self.mean_readers(200, REPORT_OVERDUE),
        )

    def test_valid_claim_is_read_again_when_it_may_be_stale(self) -> None:
        """Guards against reads before a claim can be stale, and late reads."""
        watch = new_watch()
        clock = timedelta(seconds=900)
        renewed_at = clock - timedelta(seconds=1)
        watch.record_claim(
            key_claims.Claim(holder='n1', renewed_at=renewed_at), clock, START
        )
        left = key_claims.STALE_TIMEOUT - timedelta(seconds=1)
        self.assertFalse(
            watch.should_read(START + left * 0.9, REPORT_OVERDUE, 1)
        )
        self.assertTrue(watch.should_read(START + left, REPORT_OVERDUE, 1))

    def test_renewal_time_in_the_future_does_not_stop_reads(self) -> None:
        """Guards against a claim that no process takes over.

        Its renewal time is ahead of the store's clock.
        """
        watch = new_watch()
        renewed_at = timedelta(seconds=99)
        watch.record_claim(
            key_claims.Claim(holder='n1', renewed_at=renewed_at),
            timedelta(),
            START,
        )
        later = START + key_claims.STALE_TIMEOUT
        self.assertTrue(watch.should_read(later, REPORT_OVERDUE, 1))

    def test_small_vm_waits_for_larger_ones(self) -> None:
        """Guards against a coordinator with too little CPU."""
        small = new_watch(cpu_cores=0.3)
        self.assertFalse(small.should_read(START, timedelta(days=1), 1))
        later = START + claim_watch.SMALL_VM_DELAY
        self.assertFalse(small.should_read(later, REPORT_OVERDUE, 1))
        report_age = REPORT_OVERDUE + claim_watch.SMALL_VM_DELAY
        self.assertTrue(small.should_read(later, report_age, 1))

    def test_small_link_waits_for_larger_ones(self) -> None:
        """Guards against a coordinator whose reports do not arrive.

        The number of polls of the store depended on which VM coordinated
        (Toits Solides, grown, quiet-1); small links are the likely reason.
        """
        small = new_watch(link_bytes_per_s=625_000.0)
        large = new_watch()
        late = START + claim_watch.SMALL_VM_DELAY / 2
        self.assertTrue(large.should_read(late, REPORT_OVERDUE, 1))
        self.assertFalse(small.should_read(late, REPORT_OVERDUE, 1))
        later = START + claim_watch.SMALL_VM_DELAY
        overdue = REPORT_OVERDUE + claim_watch.SMALL_VM_DELAY
        self.assertTrue(small.should_read(later, overdue, 1))
        least = new_watch(cpu_cores=0.3, link_bytes_per_s=625_000.0)
        self.assertFalse(least.should_read(later, overdue, 1))


if __name__ == '__main__':
    unittest.main()

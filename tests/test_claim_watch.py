"""Tests of when a process looks at a claim."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import claim_watch
from goldcresthaven import key_claims

START = timedelta(seconds=50)
SILENT = claim_watch.SILENCE + timedelta(milliseconds=1)
ROUNDS = 2000


def watch(processor: float = 1.0) -> claim_watch.ClaimWatch:
    return claim_watch.ClaimWatch(
        processor=processor, started=START, rng=random.Random(3)
    )


class ClaimWatchTest(unittest.TestCase):
    def readers(self, fleet_size: int, silence: timedelta) -> float:
        """Return how many of a fleet look in one round, on average."""
        one = watch()
        due = sum(
            one.is_due(START, silence, fleet_size) for _ in range(ROUNDS)
        )
        return due / ROUNDS * fleet_size

    def test_holder_that_is_heard_is_not_looked_at(self) -> None:
        """Guards against calls while all is well."""
        self.assertEqual(self.readers(2, claim_watch.SILENCE / 2), 0)

    def test_readers_do_not_grow_with_the_fleet(self) -> None:
        """Guards against a store that every process asks at once."""
        self.assertEqual(self.readers(5, SILENT), 5)
        for size in (100, 14_000):
            with self.subTest(size=size):
                self.assertLess(self.readers(size, SILENT), 20)

    def test_long_silence_brings_more_readers(self) -> None:
        """Guards against a claim that only cut-off processes look at."""
        long = claim_watch.LONG_SILENCE * 2
        self.assertGreater(
            self.readers(200, long), 2 * self.readers(200, SILENT)
        )

    def test_live_claim_is_looked_at_when_it_may_be_stale(self) -> None:
        """Guards against polls that can show nothing, and a late one."""
        one = watch()
        clock = timedelta(seconds=900)
        beat = clock - timedelta(seconds=1)
        one.saw(key_claims.Claim(holder='n1', beat=beat), clock, START)
        left = key_claims.STALE_AFTER - timedelta(seconds=1)
        self.assertFalse(one.is_due(START + left * 0.9, SILENT, 1))
        self.assertTrue(one.is_due(START + left, SILENT, 1))

    def test_beat_of_the_future_does_not_end_the_watch(self) -> None:
        """Guards against a claim that nobody takes over."""
        one = watch()
        beat = timedelta(seconds=99)
        one.saw(key_claims.Claim(holder='n1', beat=beat), timedelta(), START)
        later = START + key_claims.STALE_AFTER
        self.assertTrue(one.is_due(later, SILENT, 1))

    def test_small_machine_waits_for_large_ones(self) -> None:
        """Guards against a coordinator that cannot keep up."""
        small = watch(processor=0.3)
        self.assertFalse(small.is_due(START, timedelta(days=1), 1))
        later = START + claim_watch.RELUCTANCE
        self.assertFalse(small.is_due(later, SILENT, 1))
        silence = SILENT + claim_watch.RELUCTANCE
        self.assertTrue(small.is_due(later, silence, 1))


if __name__ == '__main__':
    unittest.main()

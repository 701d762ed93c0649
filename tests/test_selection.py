"""Tests the selection of upstreams and its load estimates."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import request_meta
from goldcresthaven import selection
from tests import fake_platform

NOW = timedelta(seconds=50)
MS = timedelta(milliseconds=1)
ANSWERED = selection.AttemptOutcome.ANSWERED
FAILED = selection.AttemptOutcome.FAILED
SHED = selection.AttemptOutcome.SHED


class SelectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = selection.Selector(
            zone=ids.ZoneId('a'), rng=random.Random(9)
        )
        self.one = fake_platform.upstream('u1')
        self.two = fake_platform.upstream('u2')

    def end(
        self,
        name: str,
        outcome: selection.AttemptOutcome,
        *,
        waiting: int | None = None,
        at: timedelta = NOW,
        elapsed: timedelta = 100 * MS,
    ) -> None:
        upstream = {'u1': self.one, 'u2': self.two}[name]
        load = None
        if waiting is not None:
            load = request_meta.Load(running=4, waiting=waiting, slots=4)
        self.selector.attempt_started(upstream)
        self.selector.attempt_ended(
            upstream, at, elapsed=elapsed, load=load, outcome=outcome
        )

    def chosen(self, at: timedelta = NOW) -> str:
        choice = self.selector.choose([self.one, self.two], at)
        assert choice is not None
        return choice.upstream.upstream_id

    def test_busy_upstream_is_avoided(self) -> None:
        """Guards against queueing while another upstream has free slots."""
        self.end('u1', ANSWERED, waiting=12)
        self.end('u2', ANSWERED, waiting=0)
        self.assertEqual(self.chosen(), 'u2')

    def test_own_requests_count_at_once(self) -> None:
        """Guards against a burst of requests based on one old report."""
        self.end('u1', ANSWERED, waiting=0)
        self.end('u2', ANSWERED, waiting=1)
        for _ in range(8):
            self.selector.attempt_started(self.one)
        self.assertEqual(self.chosen(), 'u2')

    def test_report_loses_its_weight_with_age(self) -> None:
        """Guards against avoiding an upstream because of an old report."""
        for _ in range(40):
            self.end('u2', ANSWERED, waiting=0)
        self.end('u1', ANSWERED, waiting=12)
        early = self.selector.estimate(self.one, NOW).load
        late = self.selector.estimate(
            self.one, NOW + timedelta(seconds=20)
        ).load
        self.assertLess(late, early / 2)

    def test_busy_owner_is_assumed_to_stay_busy(self) -> None:
        """Guards against requests to an upstream whose slots are all used.

        Load reports of the owner of a hot key had lost most of their weight
        after a second, so a fifth of the requests sent to it were refused
        (Qasr, grown).
        """
        for _ in range(20):
            self.end('u1', ANSWERED, waiting=12)
            for _ in range(4):
                self.end('u2', ANSWERED, waiting=0)
        later = NOW + timedelta(seconds=1.5)
        self.assertGreater(self.selector.estimate(self.one, later).load, 12)
        self.assertLess(self.selector.estimate(self.two, later).load, 6)

    def test_failing_upstream_is_paused_and_tried_again(self) -> None:
        """Guards against requests to a failing upstream, and a lasting ban."""
        for _ in range(selection.OPEN_AFTER_FAILURES):
            self.end('u1', FAILED)
        self.assertTrue(self.selector.is_paused(self.one, NOW))
        self.assertEqual(self.chosen(), 'u2')
        later = NOW + selection.OPEN_FOR
        self.assertFalse(self.selector.is_paused(self.one, later))

    def test_unreachable_upstream_is_paused_at_once(self) -> None:
        """Guards against waiting twice for the same unreachable upstream."""
        self.end('u1', selection.AttemptOutcome.UNREACHABLE)
        self.assertTrue(self.selector.is_paused(self.one, NOW))
        self.assertEqual(self.chosen(), 'u2')

    def test_same_zone_is_always_among_the_candidates(self) -> None:
        """Guards against downloads from other zones without need.

        With 27 upstreams in five zones, all three random candidates were in
        other zones for half of the downloads (Kleepsuke, grown).
        """
        other_zone = [
            fake_platform.upstream(f'away{number}', zone='b')
            for number in range(20)
        ]
        for _ in range(50):
            choice = self.selector.choose(
                [*other_zone, self.one], NOW, other_zone_penalty=60 * MS
            )
            assert choice is not None
            self.assertEqual(choice.upstream.upstream_id, 'u1')

    def test_joined_upstream_counts_as_fast_as_its_pool(self) -> None:
        """Guards against upstreams that join and get no requests.

        Work took 24 to 78 ms, but an upstream without responses counted as
        taking 150 ms and was never the best choice (Toits Solides, scale-1:
        upstreams that joined and got nothing).
        """
        for number in range(40):
            self.end(
                ('u1', 'u2')[number % 2], ANSWERED, waiting=0, elapsed=24 * MS
            )
        joined = fake_platform.upstream('u3')
        expected = self.selector.estimate(joined, NOW).expected
        self.assertLess(expected, selection.INITIAL_SERVICE_TIME)
        chosen = set()
        for number in range(60):
            choice = self.selector.choose([self.one, self.two, joined], NOW)
            assert choice is not None
            chosen.add(choice.upstream.upstream_id)
            self.selector.attempt_started(choice.upstream)
        self.assertIn('u3', chosen)

    def test_joined_upstream_does_not_count_as_faster(self) -> None:
        """Guards against a burst of requests to a slow pool's new upstream."""
        for _ in range(40):
            self.end('u1', ANSWERED, waiting=0, elapsed=500 * MS)
        joined = fake_platform.upstream('u3')
        expected = self.selector.estimate(joined, NOW).expected
        known = self.selector.estimate(self.one, NOW).expected
        self.assertGreater(expected, 0.9 * known)
        self.assertAlmostEqual(
            self.selector.capacity(joined),
            self.selector.capacity(self.one),
            delta=1.0,
        )

    def test_all_paused_still_gives_a_choice(self) -> None:
        """Guards against refusing requests while all upstreams are paused."""
        self.end('u1', SHED)
        self.end('u2', SHED)
        self.assertIn(self.chosen(), ('u1', 'u2'))

    def test_shared_load_counts_only_if_newer(self) -> None:
        """Guards against a stale shared load that replaces a newer one."""
        self.end('u1', ANSWERED, waiting=10)

        def shared_load(age: timedelta) -> float:
            load = fleet_messages.UpstreamLoad(
                upstream_id=ids.UpstreamId('u1'),
                requests=1,
                slots=4,
                age=age,
                service=100 * MS,
            )
            later = NOW + 100 * MS
            self.selector.apply_shared_load(self.one, load, later)
            return self.selector.estimate(self.one, later).load

        self.assertGreater(shared_load(timedelta(seconds=2)), 8)
        self.assertLess(shared_load(timedelta()), 3)

    def test_next_incarnation_starts_without_failures(self) -> None:
        """Guards against failures that count against the next incarnation."""
        for _ in range(selection.OPEN_AFTER_FAILURES):
            self.end('u1', FAILED)
        restarted = fake_platform.upstream('u1', incarnation=2)
        self.assertFalse(self.selector.is_paused(restarted, NOW))


if __name__ == '__main__':
    unittest.main()

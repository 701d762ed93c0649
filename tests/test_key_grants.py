"""Tests of the bounds on how long upstreams may hold keys."""

from datetime import timedelta
import unittest

from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map
from tests import fake_platform

NOW = timedelta(seconds=100)
HOLD = timedelta(seconds=3)
INHERITED = NOW + timedelta(seconds=14)
OWNER = fake_platform.owner('u1')
OLD_FENCE = 5
OWN_FENCE = 12


class HoldBoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holds = key_grants.HoldBounds(inherited=INHERITED)
        self.holds.record_unheld(OWN_FENCE)

    def test_hold_counts_from_the_latest_arrival_on_a_slow_clock(self) -> None:
        """Guards against a second owner while the first still holds keys."""
        end = key_grants.hold_end(NOW, HOLD)
        latest = NOW + key_grants.CALL_TIMEOUT + HOLD * 1.02
        self.assertGreater(end, latest)

    def test_inherited_bound_applies_only_to_earlier_fences(self) -> None:
        """Guards against waits that are too short or too long."""
        self.assertEqual(self.holds.free_at(OWNER, OLD_FENCE), INHERITED)
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), timedelta())

    def test_call_that_did_not_arrive_extends_nothing(self) -> None:
        """Guards against a lost upstream that keeps its keys forever."""
        self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        first = self.holds.free_at(OWNER, OWN_FENCE)
        undo = self.holds.record_sent(OWNER, OWN_FENCE, NOW + HOLD, HOLD)
        undo()
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), first)

    def test_release_is_not_final_while_a_grant_may_arrive(self) -> None:
        """Guards against a late grant that takes effect after a release."""
        self.assertTrue(self.holds.is_release_final(OWNER, OWN_FENCE, NOW))
        self.holds.record_unanswered(OWNER, OWN_FENCE, NOW, HOLD)
        self.assertFalse(self.holds.is_release_final(OWNER, OWN_FENCE, NOW))
        end = key_grants.hold_end(NOW, HOLD)
        later = end + timedelta(milliseconds=1)
        self.assertTrue(self.holds.is_release_final(OWNER, OWN_FENCE, later))
        self.assertFalse(self.holds.is_release_final(OWNER, OLD_FENCE, later))

    def test_raised_fence_keeps_earlier_bounds_until_it_is_accepted(
        self,
    ) -> None:
        """Guards against a new fence that loses an earlier grant's bound."""
        self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_unanswered(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_new_fence(OWNER, OWN_FENCE, 20)
        end = key_grants.hold_end(NOW, HOLD)
        self.assertEqual(self.holds.free_at(OWNER, 20), end)
        self.assertFalse(self.holds.is_release_final(OWNER, 20, NOW))
        whole = key_map.KeyRange(first=0, last=99, owner=OWNER, fence=20)
        self.holds.record_range(whole)
        self.holds.record_accepted(OWNER, whole.subrange(0, 49))
        self.assertFalse(self.holds.is_release_final(OWNER, 20, NOW))
        self.holds.record_accepted(OWNER, whole)
        self.assertTrue(self.holds.is_release_final(OWNER, 20, NOW))
        self.assertEqual(self.holds.free_at(OWNER, 20), end)

    def test_predecessors_answer_replaces_the_inherited_bound(self) -> None:
        """Guards against 14 s without an owner after each takeover."""
        end = NOW + timedelta(seconds=2)
        self.holds.set_predecessor_bounds({ids.UpstreamId('u1'): end})
        self.assertEqual(self.holds.free_at(OWNER, OLD_FENCE), end)
        other = fake_platform.owner('u2')
        self.assertEqual(self.holds.free_at(other, OLD_FENCE), timedelta())

    def test_bounds_are_unknown_while_inherited_ones_last(self) -> None:
        """Guards against a grant that is lost over several takeovers."""
        self.assertIsNone(self.holds.bounds(NOW))
        self.holds.record_sent(OWNER, OWN_FENCE, INHERITED, HOLD)
        later = INHERITED + timedelta(seconds=1)
        self.assertEqual(
            self.holds.bounds(later),
            {OWNER.upstream_id: key_grants.hold_end(INHERITED, HOLD)},
        )

    def test_bounds_include_those_that_the_predecessor_reported(self) -> None:
        """Guards against a grant that is lost after two takeovers in a row."""
        end = NOW + timedelta(seconds=8)
        self.holds.set_predecessor_bounds({OWNER.upstream_id: end})
        self.assertEqual(self.holds.bounds(NOW), {OWNER.upstream_id: end})

    def test_bounds_cover_all_incarnations_of_an_upstream(self) -> None:
        """Guards against a restart that hides the hold before it."""
        self.holds.set_predecessor_bounds({})
        self.holds.record_sent(OWNER, OWN_FENCE, NOW + HOLD, HOLD)
        restarted = fake_platform.owner('u1', incarnation=2)
        self.holds.record_sent(restarted, OWN_FENCE + 1, NOW, HOLD)
        end = key_grants.hold_end(NOW + HOLD, HOLD)
        self.assertEqual(self.holds.bounds(NOW), {OWNER.upstream_id: end})


if __name__ == '__main__':
    unittest.main()

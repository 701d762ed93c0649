"""Tests of the bounds on how long upstreams may hold keys."""

from datetime import timedelta
import unittest

from goldcresthaven import hold_bounds
from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import members
from tests import fake_platform

NOW = timedelta(seconds=100)
HOLD = timedelta(seconds=3)
INHERITED = NOW + timedelta(seconds=14)
OWNER = fake_platform.owner('u1')
OLD_FENCE = 5
OWN_FENCE = 12


class HoldBoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holds = hold_bounds.HoldBounds(inherited=INHERITED)
        self.holds.record_unheld(OWN_FENCE)

    def kept_connection(self) -> key_grants.KeptConnection:
        address = members.Address(host='u1', port=80)
        return key_grants.KeptConnection(number=1, address=address)

    def test_hold_counts_from_the_latest_arrival_on_a_slow_clock(self) -> None:
        """Guards against a second owner while the first still holds keys."""
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        answered = NOW + timedelta(milliseconds=700)
        self.holds.record_answered(grant, answered)
        latest = answered + HOLD / 0.98
        self.assertGreater(self.holds.free_at(OWNER, OWN_FENCE), latest)

    def test_inherited_bound_applies_only_to_earlier_fences(self) -> None:
        """Guards against waits that are too short or too long."""
        self.assertEqual(self.holds.free_at(OWNER, OLD_FENCE), INHERITED)
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), timedelta())

    def test_call_that_did_not_arrive_extends_nothing(self) -> None:
        """Guards against a lost upstream that keeps its keys forever."""
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_answered(grant, NOW)
        first = self.holds.free_at(OWNER, OWN_FENCE)
        second = self.holds.record_sent(OWNER, OWN_FENCE, NOW + HOLD, HOLD)
        self.holds.record_refused(second)
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), first)

    def test_grant_in_the_queue_of_a_link_may_still_arrive(self) -> None:
        """Guards against a grant that arrives after its connection's reset.

        On a congested link, packets of a connection that was reset were
        delivered 3 s later (coordinator simulation, seed 1103).
        """
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        reset_at = NOW + key_grants.CALL_TIMEOUT
        self.holds.record_unanswered(grant, reset_at)
        unproven = self.holds.free_at(OWNER, OWN_FENCE)
        latest = reset_at + hold_bounds.PACKET_LIFETIME + HOLD / 0.98
        self.assertGreater(unproven, latest)
        earlier = reset_at - timedelta(milliseconds=1)
        answered = reset_at + timedelta(milliseconds=20)
        self.holds.record_round_trip(sent_at=earlier, answered_at=answered)
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), unproven)
        self.holds.record_round_trip(sent_at=reset_at, answered_at=answered)
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE),
            key_grants.hold_end(answered, HOLD),
        )

    def test_copy_of_an_acceptance_does_not_end_a_hold_early(self) -> None:
        """Guards against a second owner after a response was sent twice.

        A second copy of a response was taken for the response to the next
        grant on the connection, which a partition held back (coordinator
        simulation, seed 3384: two owners for 2.6 s).
        """
        kept = self.kept_connection()
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_provisional(grant, NOW, kept)
        self.holds.set_predecessor_bounds({})
        self.assertIsNone(self.holds.bounds(NOW))
        late = NOW + timedelta(seconds=20)
        self.assertGreater(self.holds.free_at(OWNER, OWN_FENCE), late)
        self.assertEqual(self.holds.unsettled(OWNER, OWN_FENCE), [kept])
        kept.reset_at = NOW + timedelta(seconds=1)
        self.assertGreater(
            self.holds.free_at(OWNER, OWN_FENCE),
            kept.reset_at + hold_bounds.PACKET_LIFETIME + HOLD / 0.98,
        )
        self.assertTrue(self.holds.needs_round_trip(NOW))
        answered = NOW + timedelta(seconds=1.2)
        self.holds.record_round_trip(
            sent_at=kept.reset_at, answered_at=answered
        )
        end = key_grants.hold_end(answered, HOLD)
        self.assertEqual(self.holds.free_at(OWNER, OWN_FENCE), end)

    def test_accepted_fence_does_not_end_a_longer_hold(self) -> None:
        """Guards against a second owner while an earlier, longer hold lasts.

        The owner held its keys for 10 s, the last grant was for 3 s, and it
        then accepted a higher fence (Kleepsuke, grown, trouble-1).
        """
        long = 3 * HOLD
        for second, hold in enumerate((long, HOLD)):
            at = NOW + timedelta(seconds=second)
            grant = self.holds.record_sent(OWNER, OWN_FENCE, at, hold)
            self.holds.record_answered(grant, at)
        self.holds.set_predecessor_bounds({})
        accepted = NOW + timedelta(seconds=2)
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE, accepted_at=accepted),
            key_grants.hold_end(NOW, long),
        )

    def test_orderly_close_ends_a_hold_as_early_as_before(self) -> None:
        """Guards against keys of a dead upstream that wait 0.8 s longer."""
        kept = self.kept_connection()
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_provisional(grant, NOW, kept)
        kept.reset_at = NOW + timedelta(seconds=1)
        kept.closed = True
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE),
            key_grants.hold_end(NOW, HOLD),
        )

    def test_later_responses_confirm_a_grant(self) -> None:
        """Guards against a long hold that counts from a reset hours later."""
        kept = self.kept_connection()
        for second in range(4):
            at = NOW + timedelta(seconds=second)
            hold = 3 * HOLD if second == 0 else HOLD
            grant = self.holds.record_sent(OWNER, OWN_FENCE, at, hold)
            self.holds.record_provisional(grant, at, kept)
        kept.reset_at = NOW + timedelta(seconds=20)
        self.holds.record_round_trip(
            sent_at=kept.reset_at, answered_at=kept.reset_at
        )
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE),
            key_grants.hold_end(kept.reset_at, HOLD),
        )

    def test_accepted_higher_fence_bounds_held_back_grants(self) -> None:
        """Guards against a needless wait for the reset of connections."""
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_provisional(grant, NOW, self.kept_connection())
        accepted = NOW + timedelta(seconds=1)
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE, accepted_at=accepted),
            key_grants.hold_end(accepted, HOLD),
        )

    def test_description_says_what_sets_a_bound(self) -> None:
        """Guards against a move whose wait cannot be explained later."""
        text = self.holds.describe(OWNER, OLD_FENCE, NOW)
        self.assertEqual(text, 'the inherited bound')
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        kept = self.kept_connection()
        self.holds.record_provisional(grant, NOW, kept)
        later = NOW + timedelta(seconds=1.5)
        self.assertEqual(
            self.holds.describe(OWNER, OWN_FENCE, later),
            'a grant of 3.0 s, sent 1.500 s ago, '
            'provisionally answered 1.500 s ago',
        )

    def test_grant_whose_reset_was_late_counts_from_the_reset(self) -> None:
        """Guards against a late event loop that shortens a bound."""
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        reset_at = NOW + timedelta(seconds=2)
        self.holds.record_unanswered(grant, reset_at)
        self.holds.record_round_trip(sent_at=reset_at, answered_at=reset_at)
        self.assertEqual(
            self.holds.free_at(OWNER, OWN_FENCE),
            key_grants.hold_end(reset_at, HOLD),
        )

    def test_raised_fence_keeps_earlier_bounds(self) -> None:
        """Guards against a new fence that loses an earlier grant's bound."""
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.holds.record_unanswered(grant, NOW)
        end = self.holds.free_at(OWNER, OWN_FENCE)
        self.holds.record_new_fence(OWNER, OWN_FENCE, 20)
        self.assertEqual(self.holds.free_at(OWNER, 20), end)
        self.holds.record_accepted(
            key_map.KeyRange(first=0, last=99, owner=OWNER, fence=20), NOW
        )
        self.assertEqual(self.holds.free_at(OWNER, 20), end)

    def test_part_of_a_range_does_not_clear_the_inherited_bound(self) -> None:
        """Guards against a predecessor's grant of the rest of the range."""
        whole = key_map.KeyRange(first=0, last=99, owner=OWNER, fence=20)
        accepted_until = NOW + timedelta(seconds=11)
        self.holds.record_range(whole)
        self.holds.record_accepted(whole.subrange(0, 49), accepted_until)
        self.assertEqual(self.holds.free_at(OWNER, 20), INHERITED)
        self.holds.record_accepted(whole, accepted_until)
        self.assertEqual(self.holds.free_at(OWNER, 20), accepted_until)

    def test_accepted_fence_does_not_shorten_a_predecessors_hold(self) -> None:
        """Guards against two owners after a long hold and a takeover."""
        key_range = key_map.KeyRange(first=0, last=99, owner=OWNER, fence=20)
        self.holds.record_range(key_range)
        end = NOW + timedelta(seconds=9)
        self.holds.set_predecessor_bounds({OWNER.upstream_id: end})
        self.holds.record_accepted(key_range, NOW + timedelta(seconds=10))
        grant = self.holds.record_sent(OWNER, 20, NOW, HOLD)
        self.holds.record_answered(grant, NOW)
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
        self.assertTrue(self.holds.needs_predecessor(NOW))
        self.assertIsNone(self.holds.bounds(NOW))
        grant = self.holds.record_sent(OWNER, OWN_FENCE, INHERITED, HOLD)
        later = INHERITED + timedelta(seconds=1)
        self.holds.record_answered(grant, later)
        self.assertFalse(self.holds.needs_predecessor(later))
        self.assertEqual(
            self.holds.bounds(later),
            {OWNER.upstream_id: key_grants.hold_end(later, HOLD)},
        )

    def test_bounds_are_unknown_while_a_grant_is_being_sent(self) -> None:
        """Guards against a late reset after the bounds were reported."""
        self.holds.set_predecessor_bounds({})
        grant = self.holds.record_sent(OWNER, OWN_FENCE, NOW, HOLD)
        self.assertIsNone(self.holds.bounds(NOW))
        self.holds.record_refused(grant)
        self.assertEqual(self.holds.bounds(NOW), {})

    def test_bounds_include_those_that_the_predecessor_reported(self) -> None:
        """Guards against a grant that is lost after two takeovers in a row."""
        end = NOW + timedelta(seconds=8)
        self.holds.set_predecessor_bounds({OWNER.upstream_id: end})
        self.assertEqual(self.holds.bounds(NOW), {OWNER.upstream_id: end})

    def test_bounds_cover_all_incarnations_of_an_upstream(self) -> None:
        """Guards against a restart that hides the hold before it."""
        self.holds.set_predecessor_bounds({})
        later = self.holds.record_sent(OWNER, OWN_FENCE, NOW + HOLD, HOLD)
        restarted = fake_platform.owner('u1', incarnation=2)
        first = self.holds.record_sent(restarted, OWN_FENCE + 1, NOW, HOLD)
        self.holds.record_answered(first, NOW)
        self.holds.record_answered(later, NOW + HOLD)
        end = key_grants.hold_end(NOW + HOLD, HOLD)
        self.assertEqual(self.holds.bounds(NOW), {OWNER.upstream_id: end})


if __name__ == '__main__':
    unittest.main()

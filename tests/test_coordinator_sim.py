"""Tests of sole ownership with the simulated coordinators."""

import unittest

from proofs import coordinator_knockouts
from proofs import coordinator_sim

SEEDS = range(150)
# Enough for a rule whose absence is found in one of 40 runs.
KNOCKOUT_SEEDS = range(1000, 1300)
# A second copy of a response on a connection that was kept was taken for the
# response to the next grant, which a partition held back.
COPIED_RESPONSE_SEEDS = (3384, 8318, 14079)
TAKEOVER_SEEDS = (32, 182, 250)
EXTENDED_SEEDS = (99, 1647, 3268, 3402, 3817, *range(4000, 4050))


class CoordinatorSimTest(unittest.TestCase):
    def test_no_schedule_violates_sole_ownership(self) -> None:
        """Guards against two upstreams that hold a key."""
        for seed in SEEDS:
            outcome = coordinator_sim.run(seed)
            self.assertEqual(outcome.violations, [], seed)

    def test_keys_do_not_move_while_a_longer_hold_lasts(self) -> None:
        """Guards against two owners after a long hold and a takeover."""
        for seed in (271, 297, 511, 1184, 1374, 1439):
            outcome = coordinator_sim.run(seed)
            self.assertEqual(outcome.violations, [], seed)

    def test_copied_response_does_not_end_a_hold_early(self) -> None:
        """Guards against two owners after a response that was sent twice."""
        for seed in COPIED_RESPONSE_SEEDS:
            outcome = coordinator_sim.run(seed)
            self.assertEqual(outcome.violations, [], seed)
        for seed in EXTENDED_SEEDS:
            outcome = coordinator_sim.run(seed, extended=True)
            self.assertEqual(outcome.violations, [], seed)
        for seed in TAKEOVER_SEEDS:
            outcome = coordinator_sim.run(seed, takeover=True)
            self.assertEqual(outcome.violations, [], seed)

    def test_schedules_grant_keys(self) -> None:
        """Guards against a simulation in which nothing happens."""
        grants = sum(coordinator_sim.run(seed).grants for seed in range(20))
        self.assertGreater(grants, 400)

    def test_runs_repeat(self) -> None:
        """Guards against a seed that does not reproduce its violation."""
        first = coordinator_sim.run(7, log=True)
        second = coordinator_sim.run(7, log=True)
        self.assertEqual(first.log, second.log)

    def test_frequent_violations_are_found(self) -> None:
        """Guards against a checker that no longer finds anything."""
        frequent = (
            'keys move only when their holds have ended',
            'holds of earlier holders of the claim count',
            'an owner accepts a higher fence before a release',
        )
        for knockout in coordinator_knockouts.KNOCKOUTS:
            if knockout.rule in frequent:
                found = any(knockout.violates(s) for s in KNOCKOUT_SEEDS)
                self.assertTrue(found, knockout.rule)

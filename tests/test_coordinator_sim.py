"""Tests of sole ownership with the simulated coordinators."""

import random
import unittest

from goldcresthaven import state_store
from proofs import coordinator_knockouts
from proofs import coordinator_sim
from proofs import coordinator_store
from proofs import coordinator_world
from proofs import virtual_loop

SEEDS = range(150)
# Enough for a rule whose absence is found in one of 40 runs.
KNOCKOUT_SEEDS = range(1000, 1300)
# A second copy of a response on a connection that was kept was taken for the
# response to the next grant, which a partition held back.
COPIED_RESPONSE_SEEDS = (3384, 8318, 14079)
TAKEOVER_SEEDS = (32, 182, 250)
EXTENDED_SEEDS = (99, 1647, 3268, 3402, 3817, *range(4000, 4050))

# Each rule on copies of responses, and a seed that violates without it.
COPIES_RULES = {
    'an acceptance on a kept connection is provisional': 0,
    'a rejection on a kept connection proves nothing': 100,
    'unread input or a reset is no orderly close': 7,
    'connections are reset before a bound on their last grants': 13,
}
# Runs with restores that violated sole ownership, and their other faults.
RESTORE_SEEDS: dict[int, dict[str, bool]] = {
    9317: {'takeover': True},
    9558: {'extended': True},
    9708: {'takeover': True},
    11095: {'takeover': True},
    28378: {},
    100117: {},
    103163: {},
    103618: {},
    104706: {},
    108145: {},
    110089: {},
    120951: {},
}
MISSED_SUCCESSOR_SEEDS = (19, 53, 61, 82, 92, 114, 119, 152, 154, 172, 193)
COPIES_SEEDS = (*range(30), 93, 100, 110, 116, 123, 127, 137, 169)


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

    def test_copy_does_not_hide_a_renewal_that_is_held_back(self) -> None:
        """Guards against a copy that bounds the hold of a later grant."""
        for seed in COPIES_SEEDS:
            outcome = coordinator_sim.run(seed, copies=True)
            self.assertEqual(outcome.violations, [], seed)

    def test_rules_on_copies_are_needed(self) -> None:
        """Guards against runs that no longer reach what the rules prevent."""
        for knockout in coordinator_knockouts.KNOCKOUTS:
            seed = COPIES_RULES.get(knockout.rule)
            if seed is not None:
                self.assertTrue(knockout.violates(seed), knockout.rule)

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


class RestoredStoreTest(unittest.TestCase):
    """Runs in which the store goes back to older copies."""

    def test_no_restore_violates_sole_ownership(self) -> None:
        """Guards against two upstreams that hold a key after a restore."""
        for seed in SEEDS:
            outcome = coordinator_sim.run(seed, restores=True)
            self.assertEqual(outcome.violations, [], seed)

    def test_restores_that_violated_before(self) -> None:
        """Guards against two owners after a holder missed its successor."""
        for seed, kinds in RESTORE_SEEDS.items():
            outcome = coordinator_sim.run(seed, restores=True, **kinds)
            self.assertEqual(outcome.violations, [], seed)

    def test_earlier_holder_that_resumes_first_is_not_ignored(self) -> None:
        """Guards against two owners after two holders resumed in turn."""
        outcome = coordinator_sim.run(1254, restores=True)
        self.assertEqual(outcome.violations, [])

    def test_holder_lets_a_lost_successor_resume_first(self) -> None:
        """Guards against two owners while two holders are running."""
        outcome = coordinator_sim.run(22511, restores=True)
        self.assertEqual(outcome.violations, [])

    def test_holds_of_a_lost_successor_count(self) -> None:
        """Guards against moves while an unknown holder's grants last."""
        outcome = coordinator_sim.run(18330, restores=True)
        self.assertEqual(outcome.violations, [])

    def test_late_bounds_do_not_end_the_holds_of_a_resumed_term(self) -> None:
        """Guards against two owners after a late reply of a predecessor."""
        outcome = coordinator_sim.run(5840, restores=True)
        self.assertEqual(outcome.violations, [])

    def test_runs_repeat(self) -> None:
        """Guards against a seed that does not reproduce its violation."""
        first = coordinator_sim.run(7, log=True, restores=True)
        second = coordinator_sim.run(7, log=True, restores=True)
        self.assertEqual(first.log, second.log)

    def test_missed_successor_leaves_one_owner(self) -> None:
        """Guards against a holder that resumes with its successor's keys."""
        for seed in MISSED_SUCCESSOR_SEEDS:
            outcome = coordinator_sim.run(seed, missed_successor=True)
            self.assertEqual(outcome.violations, [], seed)
        outcome = coordinator_sim.run(1254, restores=True)
        self.assertEqual(outcome.violations, [])

    def test_restore_gives_versions_out_again(self) -> None:
        """Guards against a restore that keeps rows or versions."""
        loop = virtual_loop.Loop(random.Random(1))
        faults = coordinator_world.Faults()
        uplinks = coordinator_world.Uplinks(loop, faults)
        store = coordinator_store.Store(loop, faults, uplinks)
        key = state_store.Key(table=state_store.Table.CLAIMS, key='a')
        store.history = state_store.History(1)
        for value in (b'old', b'lost'):
            store.apply({}, {key: value})
            loop.after(5.0, lambda: None)
            loop.run(loop.now + 5.0)
        store.restore(7.0)
        reading = store.reading(state_store.Table.CLAIMS)
        self.assertEqual([row.value for row in reading.rows], [b'old'])
        self.assertEqual(
            reading.version, state_store.version_in(state_store.History(2), 1)
        )
        again = store.apply({key: reading.rows[0].version}, {key: b'new'})
        assert isinstance(again, state_store.Committed)
        self.assertEqual(
            again.version, state_store.version_in(state_store.History(2), 2)
        )

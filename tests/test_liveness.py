"""Tests of the liveness of watched peers."""

from datetime import timedelta
import unittest

from goldcresthaven import candidates
from goldcresthaven import control
from goldcresthaven import ids

A, B = ids.VmId('a'), ids.VmId('b')
BOTH = frozenset((A, B))
MS = timedelta(milliseconds=1)


class LivenessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = timedelta(seconds=1)
        self.liveness = candidates.Liveness()
        self.sent = 0

    def run_for(
        self, ms: int, *, responding: tuple[ids.VmId, ...]
    ) -> list[tuple[int, ids.VmId]]:
        """Tick every 50 ms; return when each peer became suspected."""
        suspected = []
        for step in range(ms // 50):
            before = {
                vm for vm in BOTH if self.liveness.alive(vm, now=self.now)
            }
            if step:
                self.now += 50 * MS
            for action in self.liveness.probe(BOTH, now=self.now):
                assert isinstance(action, control.SendHeartbeat)
                self.sent += 1
                if action.vm in responding:
                    self.liveness.record_response(action.vm, now=self.now)
            suspected += [
                (step * 50, vm)
                for vm in sorted(before)
                if not self.liveness.alive(vm, now=self.now)
            ]
        return suspected

    def test_unresponsive_peer_is_suspected(self) -> None:
        """Guards against a lost holder that is never suspected."""
        self.assertEqual(self.run_for(2000, responding=(A,)), [(750, B)])
        self.assertTrue(self.liveness.alive(A, now=self.now))
        # Both are probed every 250 ms, the first time at once.
        self.assertEqual(self.sent, 2 * 8)

    def test_peer_that_returns(self) -> None:
        """Guards against a peer that stays suspected after it responds."""
        self.run_for(1000, responding=(A,))
        self.liveness.record_response(B, now=self.now)
        self.assertTrue(self.liveness.alive(B, now=self.now))
        self.assertEqual(self.run_for(1000, responding=(A,))[0][1], B)

    def test_pause_of_this_process_causes_no_suspicion(self) -> None:
        """Guards against takeovers by a process that was paused."""
        self.run_for(500, responding=(A, B))
        self.now += timedelta(seconds=60)
        self.liveness.probe(BOTH, now=self.now)
        self.assertTrue(self.liveness.alive(A, now=self.now))
        self.assertEqual(self.run_for(500, responding=(A, B)), [])
        found = self.run_for(1000, responding=())
        self.assertEqual([vm for _, vm in found], [A, B])

    def test_new_peer_has_the_full_time(self) -> None:
        """Guards against suspecting a peer before it had time to respond."""
        self.run_for(1000, responding=())
        self.liveness.probe(frozenset((A,)), now=self.now)
        self.assertFalse(self.liveness.alive(B, now=self.now))
        self.liveness.probe(BOTH, now=self.now)
        self.assertTrue(self.liveness.alive(B, now=self.now))
        self.assertFalse(self.liveness.alive(A, now=self.now))

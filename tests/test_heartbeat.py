"""Tests of the suspicion of watched peers."""

from datetime import timedelta
import unittest

from goldcresthaven import clock
from goldcresthaven import heartbeat
from goldcresthaven import ids

A, B = ids.VmId('a'), ids.VmId('b')
MS = timedelta(milliseconds=1)


class WatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.watch = heartbeat.Watch(self.clock)
        self.watch.watch([A, B])
        self.sent = 0

    def run_for(
        self, ms: int, *, answering: tuple[ids.VmId, ...]
    ) -> list[tuple[int, ids.VmId]]:
        """Tick every 50 ms; returns when each peer became suspected."""
        suspected = []
        for _ in range(ms // 50):
            self.clock.advance(50 * MS)
            beats = self.watch.tick()
            self.sent += len(beats.send)
            for vm in beats.send:
                if vm in answering:
                    self.watch.answered(vm)
            now = self.clock.elapsed() // MS
            suspected += [(now, vm) for vm in beats.suspected]
        return suspected

    def test_silent_peer_is_suspected_once(self) -> None:
        """Guards against a lost holder that nobody replaces."""
        self.assertEqual(self.run_for(2000, answering=(A,)), [(750, B)])
        self.assertTrue(self.watch.is_suspected(B))
        self.assertFalse(self.watch.is_suspected(A))
        self.assertEqual(self.watch.silence(B), 2000 * MS)
        # Both are probed every 250 ms, the first time at once.
        self.assertEqual(self.sent, 2 * 8)

    def test_peer_that_returns(self) -> None:
        """Guards against a suspicion that lasts for ever."""
        self.run_for(1000, answering=(A,))
        self.assertTrue(self.watch.answered(B))
        self.assertFalse(self.watch.answered(B))
        self.assertEqual(self.run_for(1000, answering=(A,))[0][1], B)

    def test_own_pause_suspects_nobody(self) -> None:
        """Guards against takeovers by a process that was itself paused."""
        self.run_for(500, answering=(A, B))
        self.clock.advance(timedelta(seconds=60))
        self.assertEqual(self.run_for(500, answering=(A, B)), [])
        found = self.run_for(1000, answering=())
        self.assertEqual([vm for _, vm in found], [A, B])

    def test_watched_again(self) -> None:
        """Guards against an old silence held against a new holder."""
        self.run_for(700, answering=())
        self.watch.watch([A])
        self.watch.watch([A, B])
        self.assertEqual([v for _, v in self.run_for(100, answering=())], [A])
        self.assertFalse(self.watch.is_suspected(B))
        self.assertFalse(self.watch.answered(ids.VmId('other')))

"""Tests of the stand-in upstream's side of the lease contract."""

from typing import Any
import unittest
from unittest import mock

from standins import lease_check

MS = lease_check.NS_PER_MS


def command(check: lease_check.LeaseCheck, **more: Any) -> dict[str, Any]:
    base = {
        'epoch': 2,
        'seq': 1,
        'boot': check.boot,
        'duration_ms': 2000,
        'shards': ['s'],
    }
    return base | more


class LeaseCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_000_000 * MS
        patch = mock.patch.object(lease_check, 'clock_ns', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.check = lease_check.LeaseCheck()

    def grant(self, **more: Any) -> dict[str, Any]:
        return self.check.handle(command(self.check, **more), frozenset())

    def test_lease_ends_by_the_basis(self) -> None:
        """Guards against a lease that counts from its receipt."""
        basis = self.grant()['clock_ns']
        self.now += 1500 * MS
        self.assertTrue(self.grant(seq=2, basis_ns=basis)['accepted'])
        self.assertTrue(self.check.owns('s'))
        self.assertFalse(self.check.owns('t'))
        self.now += 600 * MS
        self.assertFalse(self.check.owns('s'))

    def test_commands_that_must_be_refused(self) -> None:
        """Guards against a stand-in that is weaker than the contract."""
        basis = self.grant()['clock_ns']
        self.assertTrue(self.grant(seq=5, basis_ns=basis)['accepted'])
        cases = (
            ('old-epoch', {'epoch': 1, 'seq': 9, 'basis_ns': basis}),
            ('old-seq', {'seq': 5, 'basis_ns': basis}),
            ('unknown-basis', {'seq': 6, 'basis_ns': basis + 1}),
            ('unknown-basis', {'seq': 6, 'basis_ns': basis, 'boot': 'b'}),
        )
        for reason, more in cases:
            with self.subTest(reason):
                self.assertEqual(reason, self.grant(**more)['reason'])
        self.now += 2001 * MS
        late = self.grant(seq=7, basis_ns=basis)
        self.assertEqual('old-basis', late['reason'])

    def test_higher_epoch_drops_the_lease(self) -> None:
        """Guards against two holders that both grant the same shard."""
        basis = self.grant()['clock_ns']
        self.grant(seq=2, basis_ns=basis)
        self.assertTrue(self.grant(epoch=3)['dropped'])
        self.assertFalse(self.check.owns('s'))

    def test_shard_with_a_running_request_is_not_quiesced(self) -> None:
        """Guards against a move while a request is still executing."""
        basis = self.grant()['clock_ns']
        for seq, shards, running, expected in (
            (2, ['s'], {'s'}, True),
            (3, [], {'s'}, False),
            (4, [], {'s'}, False),
            (5, [], set(), True),
        ):
            more = command(self.check, seq=seq, shards=shards, basis_ns=basis)
            answer = self.check.handle(more, frozenset(running))
            self.assertEqual(expected, answer['quiesced'])

    def test_unfenced_variant_accepts_anything(self) -> None:
        """Guards against a weak variant that is safe by accident."""
        self.check.fenced = False
        old = self.grant(epoch=0, seq=0, basis_ns=0, boot='b')
        self.assertTrue(old['accepted'])
        self.assertTrue(self.check.owns('s'))

"""Tests of the upstream's side of the lease protocol."""

from datetime import timedelta
from typing import Any
import unittest

from goldcresthaven import clock
from standins import lease_check

MS = timedelta(milliseconds=1)


def command(**changes: Any) -> dict[str, Any]:
    base = {
        'domain': 'a/0',
        'epoch': 2,
        'seq': 1,
        'boot': None,
        'duration_ms': 2000,
        'shards': ['s'],
    }
    return base | changes


class LeaseCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.clock.advance(1000 * MS)
        self.check = lease_check.FencedCheck(self.clock)
        self.boot = self.check.handle(command())['boot']

    def grant(self, **changes: Any) -> dict[str, Any]:
        return self.check.handle(command(**{'boot': self.boot} | changes))

    def owns(self, shard: str) -> bool:
        ticket = self.check.start(shard)
        if ticket is None:
            return False
        self.check.finish(ticket)
        return True

    def test_lease_counts_from_the_basis(self) -> None:
        """Guards against a lease that counts from its receipt.

        It has to count from the basis, a time of the upstream's clock that
        the grant names.
        """
        basis = self.grant()['clock_ns']
        self.clock.advance(1500 * MS)
        self.assertTrue(self.grant(seq=2, basis_ns=basis)['accepted'])
        self.assertTrue(self.owns('s'))
        self.assertFalse(self.owns('t'))
        self.clock.advance(499 * MS)
        ticket = self.check.start('s')
        assert ticket is not None
        self.clock.advance(1 * MS)
        self.assertFalse(self.owns('s'))
        self.assertFalse(self.check.commit(ticket))

    def test_commands_that_must_be_refused(self) -> None:
        """Guards against a stand-in that checks less than the protocol."""
        basis = self.grant()['clock_ns']
        self.assertTrue(self.grant(seq=5, basis_ns=basis)['accepted'])
        cases = (
            ('old-epoch', {'epoch': 1, 'seq': 9, 'basis_ns': basis}),
            ('old-sequence', {'seq': 5, 'basis_ns': basis}),
            ('unknown-basis', {'seq': 6, 'basis_ns': basis + 9999}),
            ('other-boot', {'seq': 6, 'basis_ns': basis, 'boot': 'b'}),
            ('other-domain', {'seq': 6, 'basis_ns': basis, 'domain': 'b/0'}),
        )
        for reason, changes in cases:
            with self.subTest(reason):
                reply = self.grant(**changes)
                self.assertEqual(reason, reply['reason'])
                self.assertFalse(reply['accepted'])
        self.clock.advance(2000 * MS)
        late = self.grant(seq=7, basis_ns=basis)
        self.assertFalse(late['accepted'])
        self.assertIn(late['reason'], ('stale-basis', 'unknown-basis'))

    def test_higher_epoch_replaces_the_lease(self) -> None:
        """Guards against two claim holders that both grant the same shard."""
        basis = self.grant()['clock_ns']
        self.assertTrue(self.grant(seq=2, basis_ns=basis)['accepted'])
        # A probe of the new epoch leaves the old lease valid, and the reply
        # reports it.
        new = self.grant(epoch=3)
        self.assertFalse(new['dropped'])
        self.assertEqual(['s'], new['shards'])
        self.assertEqual(
            'old-epoch', self.grant(seq=3, basis_ns=basis)['reason']
        )
        self.grant(epoch=3, seq=2, basis_ns=new['clock_ns'], shards=['t'])
        self.assertFalse(self.owns('s'))
        self.assertTrue(self.owns('t'))
        self.assertTrue(self.grant(epoch=3)['dropped'])

    def test_shard_with_a_running_request_is_not_quiesced(self) -> None:
        """Guards against a move while a request is still executing."""
        basis = self.grant()['clock_ns']
        self.assertTrue(self.grant(seq=2, basis_ns=basis)['quiesced'])
        ticket = self.check.start('s')
        assert ticket is not None
        for seq, shards, expected in ((3, ['s'], True), (4, [], False)):
            reply = self.grant(seq=seq, shards=shards, basis_ns=basis)
            self.assertEqual(expected, reply['quiesced'])
        self.assertFalse(self.check.commit(ticket))
        self.check.finish(ticket)
        reply = self.grant(seq=5, shards=[], basis_ns=basis)
        self.assertTrue(reply['quiesced'])

    def test_unfenced_variant_accepts_anything(self) -> None:
        """Guards against an unfenced variant that is safe by accident.

        It has to accept stale commands and ignore the end of the lease.
        """
        check = lease_check.UnfencedCheck(self.clock)
        old = check.handle(command(epoch=0, seq=0, basis_ns=0, boot='b'))
        self.assertTrue(old['accepted'])
        self.clock.advance(60_000 * MS)
        ticket = check.start('s')
        assert ticket is not None
        self.assertTrue(check.commit(ticket))

"""Tests of the upstream's lease guard and the issuer."""

from datetime import timedelta
import unittest

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import leases

DOMAIN = ids.DomainId('z0/0')
SHARD = ids.ShardId('catalogue/0')
OTHER = ids.ShardId('catalogue/1')
BOOT = ids.BootId('u0/1')


def at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def request(
    *,
    epoch: int = 1,
    seq: int = 1,
    basis: int | None = None,
    boot: ids.BootId = BOOT,
    shard: ids.ShardId = SHARD,
    domain: ids.DomainId = DOMAIN,
) -> leases.LeaseRequest:
    return leases.LeaseRequest(
        domain=domain,
        epoch=ids.Epoch(epoch),
        seq=seq,
        boot=boot,
        basis_ns=basis,
        shards=frozenset({shard}),
    )


class GuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = leases.LeaseGuard(boot=BOOT)
        probe = self.guard.handle(request(epoch=5), now=at(100))
        self.basis = probe.clock_ns

    def grant(self, *, seq: int = 2) -> leases.LeaseReply:
        req = request(epoch=5, seq=seq, basis=self.basis)
        return self.guard.handle(req, now=at(100.1))

    def test_lease_counts_from_basis(self) -> None:
        """Guards against a lease that lasts longer after a delayed grant."""
        req = request(epoch=5, seq=2, basis=self.basis)
        self.assertTrue(self.guard.handle(req, now=at(101.9)).accepted)
        self.assertTrue(self.guard.serves(SHARD, now=at(101.95)))
        self.assertFalse(self.guard.serves(SHARD, now=at(102)))

    def test_refusals(self) -> None:
        """Guards against grants with an old epoch, sequence or boot."""
        self.assertTrue(self.grant(seq=7).accepted)
        basis = self.basis
        refusal = leases.Refusal
        cases = (
            (request(epoch=4, seq=9, basis=basis), refusal.OLD_EPOCH),
            (request(epoch=5, seq=7, basis=basis), refusal.OLD_SEQUENCE),
            (request(epoch=5, seq=9, basis=1), refusal.UNKNOWN_BASIS),
            (
                request(epoch=5, seq=9, basis=basis, boot=ids.BootId('u0/0')),
                refusal.OTHER_BOOT,
            ),
            (
                request(epoch=6, seq=9, basis=basis, domain=ids.DomainId('x')),
                refusal.OTHER_DOMAIN,
            ),
        )
        for req, reason in cases:
            with self.subTest(reason=reason):
                reply = self.guard.handle(req, now=at(100.2))
                self.assertFalse(reply.accepted)
                self.assertEqual(reply.reason, reason)
        late = request(epoch=5, seq=9, basis=basis)
        reply = self.guard.handle(late, now=at(102))
        self.assertEqual(reply.reason, refusal.STALE_BASIS)

    def test_commit_after_lease_end_is_refused(self) -> None:
        """Guards against a commit after the upstream was frozen."""
        self.grant()
        ticket = self.guard.start(SHARD, now=at(101))
        assert ticket is not None
        self.assertTrue(self.guard.commit(ticket, now=at(101.9)))
        self.assertFalse(self.guard.commit(ticket, now=at(102.1)))

    def test_quiesced_waits_for_executing_request(self) -> None:
        """Guards against a move that interrupts a request in flight."""
        self.grant()
        ticket = self.guard.start(SHARD, now=at(100.2))
        assert ticket is not None
        req = request(epoch=5, seq=3, basis=self.basis, shard=OTHER)
        self.assertFalse(self.guard.handle(req, now=at(100.3)).quiesced)
        self.guard.finish(ticket)
        probe = request(epoch=5, seq=4)
        self.assertTrue(self.guard.handle(probe, now=at(100.4)).quiesced)

    def test_probe_of_higher_epoch_keeps_lease_until_grant(self) -> None:
        """Guards against a gap in service when a holder is replaced."""
        self.grant()
        reply = self.guard.handle(request(epoch=6), now=at(100.5))
        self.assertFalse(reply.dropped)
        self.assertTrue(self.guard.serves(SHARD, now=at(100.6)))
        old = self.guard.handle(
            request(epoch=5, seq=9, basis=self.basis), now=at(100.7)
        )
        self.assertEqual(old.reason, leases.Refusal.OLD_EPOCH)
        self.assertEqual(old.epoch, 6)
        new = request(epoch=6, seq=2, basis=reply.clock_ns)
        self.assertTrue(self.guard.handle(new, now=at(100.8)).dropped)

    def test_restart_forgets_lease(self) -> None:
        """Guards against serving after a restart without a new lease."""
        self.grant()
        restarted = leases.LeaseGuard(boot=ids.BootId('u0/2'))
        self.assertFalse(restarted.serves(SHARD, now=at(100.2)))
        req = request(epoch=5, seq=3, basis=self.basis)
        reply = restarted.handle(req, now=at(100.3))
        self.assertEqual(reply.reason, leases.Refusal.OTHER_BOOT)


class IssuerTest(unittest.TestCase):
    def test_bound_covers_every_lease(self) -> None:
        """Guards against a move before the old owner's lease has ended."""
        issuer = leases.Issuer(domain=DOMAIN, epoch=ids.Epoch(1))
        guard = leases.LeaseGuard(boot=BOOT)
        reply = guard.handle(issuer.probe(), now=at(10))
        issuer.update_basis(reply, now=at(500))
        req = issuer.grant(frozenset({SHARD}))
        self.assertTrue(guard.handle(req, now=at(10.5)).accepted)
        self.assertEqual(issuer.bound, at(502.02))

    def test_older_reply_does_not_replace_basis(self) -> None:
        """Guards against replies that arrive out of order."""
        issuer = leases.Issuer(domain=DOMAIN, epoch=ids.Epoch(1))
        guard = leases.LeaseGuard(boot=BOOT)
        first = guard.handle(issuer.probe(), now=at(10))
        second = guard.handle(issuer.probe(), now=at(11))
        issuer.update_basis(second, now=at(50))
        issuer.update_basis(first, now=at(51))
        req = issuer.grant(frozenset())
        self.assertEqual(req.basis_ns, second.clock_ns)


class BodyTest(unittest.TestCase):
    def test_bodies_read_back(self) -> None:
        """Guards against a field that is lost in a JSON body."""
        guard = leases.LeaseGuard(boot=BOOT)
        probe = request()
        reply = guard.handle(probe, now=at(1))
        grant = request(seq=2, basis=reply.clock_ns)
        refused = guard.handle(request(epoch=0), now=at(1))
        for req in (probe, grant):
            again = leases.LeaseRequest.from_body(req.to_body())
            self.assertEqual(again, req)
        for answer in (reply, refused):
            back = leases.LeaseReply.from_body(answer.to_body())
            self.assertEqual(back, answer)

    def test_malformed_bodies_are_rejected(self) -> None:
        """Guards against a crash on a body that breaks the contract."""
        for body in ({}, {'domain': 'x', 'epoch': 'high'}):
            with self.subTest(body=body):
                with self.assertRaises(errors.ProtocolError):
                    leases.LeaseRequest.from_body(body)
                with self.assertRaises(errors.ProtocolError):
                    leases.LeaseReply.from_body(body)

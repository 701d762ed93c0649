"""Tests of the claim rows and claims of one domain."""

from dataclasses import replace
from datetime import timedelta
import unittest

from goldcresthaven import claims
from goldcresthaven import ids

A = ids.VmId('a')
B = ids.VmId('b')
C = ids.VmId('c')
ZONE = ids.ZoneId('z0')
ROW = claims.ClaimRow(
    epoch=ids.Epoch(3),
    holder=A,
    zone=ZONE,
    renewal=7,
    peers=frozenset({B}),
    term=timedelta(seconds=10),
    grace=timedelta(seconds=600),
    settled=True,
    txn=ids.TxnId('a/1'),
)
TERMS = claims.Terms(
    vm=B,
    zone=ZONE,
    peers=frozenset({A, C}),
    term=ROW.term,
    grace=ROW.grace,
)


def at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def held(row: claims.ClaimRow = ROW) -> claims.HeldClaim:
    return claims.HeldClaim(
        domain=ids.DomainId('z0/0'), row=row, sent=at(0), settled_at=at(0)
    )


class ClaimTest(unittest.TestCase):
    def test_row_reads_back(self) -> None:
        """Guards against a field that is lost in the table's row."""
        lost = frozenset({ids.UpstreamId('u0')})
        for row in (ROW, replace(ROW, holder=None, lost=lost)):
            again = claims.ClaimRow.from_value(row.to_value())
            self.assertEqual(again, row)

    def test_validity_counts_from_sending(self) -> None:
        """Guards against a claim kept too long by a slow clock."""
        claim = held()
        self.assertTrue(claim.valid(at(9.89)))
        self.assertFalse(claim.valid(at(9.9)))

    def test_extension_needs_every_peer(self) -> None:
        """Guards against an extension while one peer may take over."""
        row = replace(ROW, peers=frozenset({B, C}))
        claim = held(row)
        self.assertEqual(claim.consent_requests_due(at(8), 1), (B, C))
        claim.record_consent(B, 1)
        self.assertFalse(claim.valid(at(11)))
        claim.record_consent(C, 1)
        self.assertTrue(claim.valid(at(11)))
        self.assertFalse(claim.valid(at(13)))

    def test_late_consent_counts_from_the_request(self) -> None:
        """Guards against counting a delayed consent from its arrival."""
        claim = held()
        claim.consent_requests_due(at(6), 1)
        claim.record_consent(B, 1)
        self.assertTrue(claim.valid(at(10.9)))
        self.assertFalse(claim.valid(at(11)))

    def test_extension_without_gaps_at_the_shortest_term(self) -> None:
        """Guards against an extension that lapses between two consents.

        With the shortest term a consent lasts 1.5 s, and it was requested
        again only after 1.5 s.
        """
        claim = held(replace(ROW, term=at(3)))
        requested: list[tuple[int, timedelta]] = []
        for number in range(400):
            now = number * at(0.05)
            while requested and now >= requested[0][1] + at(0.25):
                claim.record_consent(B, requested.pop(0)[0])
            self.assertTrue(claim.valid(now), now)
            if claim.consent_requests_due(now, number):
                requested.append((number, now))

    def test_unresolved_renewal_adds_its_peers(self) -> None:
        """Guards against a peer named only by a renewal of unknown result."""
        claim = held()
        claim.pending = replace(ROW, peers=frozenset({C}))
        claim.consent_requests_due(at(8), 1)
        claim.record_consent(B, 1)
        self.assertFalse(claim.valid(at(11)))

    def test_takeover_wait(self) -> None:
        """Guards against a takeover before the old claim has ended."""
        released = replace(ROW, holder=None)
        unsettled = replace(released, settled=False)
        none: frozenset[ids.ZoneId] = frozenset()
        cases = (
            ('no row', None, C, none, 0),
            ('peer', ROW, B, none, 10),
            ('restarted holder', ROW, A, none, 10),
            ('other VM', ROW, C, none, 600),
            ('released', released, C, none, 0),
            ('released before it had waited', unsettled, C, none, 600),
            ('zone switched off', ROW, C, frozenset({ZONE}), 0),
        )
        for name, row, vm, lost, seconds in cases:
            with self.subTest(name):
                wait = claims.takeover_wait(row, vm, lost)
                self.assertEqual(wait, at(seconds))

    def test_second_takeover_inherits_the_peers(self) -> None:
        """Guards against two quick takeovers during the first holder's claim.

        The first holder may still extend its claim with the consent of its
        own peers, so a VM that is not one of them must wait for the grace
        period.
        """
        raised = claims.raised_row(
            ROW, TERMS, wait=at(10), txn=ids.TxnId('b/1')
        )
        self.assertFalse(raised.settled)
        self.assertEqual(raised.peers, frozenset())
        wait = claims.takeover_wait(raised, C, frozenset())
        self.assertEqual(wait, at(600))

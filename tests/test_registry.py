"""Tests of which upstreams count as registered, leaving or removed."""

from datetime import timedelta
import unittest

from goldcresthaven import ids
from goldcresthaven import registry
from tests import fake_platform

NOW = timedelta(seconds=30)
U1 = ids.UpstreamId('u1')


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = registry.Registry()
        self.apply(fake_platform.upstream('u1'))

    def apply(
        self,
        upstream: registry.Upstream | None,
        *,
        at: timedelta = NOW,
        full: bool = False,
    ) -> None:
        changes = {} if full else {U1: upstream}
        self.registry.apply(changes, full=full, version=1, now=at)

    def usable(self, at: timedelta) -> list[str]:
        found = self.registry.usable(fake_platform.POOL, at)
        return [upstream.upstream_id for upstream in found]

    def test_leaving_upstream_gets_no_new_requests(self) -> None:
        """Guards against requests to an upstream that drains."""
        self.apply(fake_platform.upstream('u1', draining=True))
        self.assertEqual(self.usable(NOW), [])
        self.assertEqual(self.registry.departure(U1, NOW), NOW)

    def test_departure_counts_from_its_earliest_possible_time(self) -> None:
        """Guards against requests to a key's owner that left long ago."""
        changed_since = NOW - timedelta(seconds=1)
        leaving = fake_platform.upstream('u1', draining=True)
        self.registry.apply(
            {U1: leaving},
            full=False,
            version=1,
            now=NOW,
            changed_since=changed_since,
        )
        self.assertEqual(self.registry.departure(U1, NOW), changed_since)

    def test_removed_upstream_gets_no_new_requests(self) -> None:
        """Guards against requests to an upstream that was removed."""
        self.apply(None)
        self.assertEqual(self.usable(NOW), [])

    def test_entry_missing_from_a_full_read_is_removed(self) -> None:
        """Guards against an upstream that left while changes were missed."""
        self.apply(None, full=True)
        self.assertEqual(self.usable(NOW), [])

    def test_expired_entry_is_usable_until_the_grace_period_ends(self) -> None:
        """Guards against a pool without upstreams after a store outage."""
        self.registry.store_recovered(NOW)
        self.apply(None, full=True)
        self.assertEqual(self.usable(NOW + timedelta(seconds=1)), ['u1'])
        late = NOW + registry.LAPSED_ENTRY_GRACE
        self.assertEqual(self.usable(late), [])

    def test_missing_entry_beside_registered_ones_is_not_usable(self) -> None:
        """Guards against requests to an upstream that left during a partition.

        A process that was cut off from the store for 12 s used an upstream
        that had left in the meantime for another 2.3 s and more (Qasr,
        scale-2, seed 647301399003).
        """
        others = {
            ids.UpstreamId(name): fake_platform.upstream(name)
            for name in ('u2', 'u3')
        }
        self.registry.apply(others, full=False, version=1, now=NOW)
        self.registry.store_recovered(NOW)
        self.registry.apply(others, full=True, version=2, now=NOW)
        self.assertEqual(sorted(self.usable(NOW)), ['u2', 'u3'])
        left = self.registry.remaining(fake_platform.POOL, NOW)
        self.assertEqual(len(left), 3)

    def test_entry_that_returns_within_the_grace_period_never_left(
        self,
    ) -> None:
        """Guards against moves of keys after an outage of the store."""
        self.registry.store_recovered(NOW)
        self.apply(None, full=True)
        self.apply(fake_platform.upstream('u1'), at=NOW + timedelta(seconds=2))
        late = NOW + timedelta(seconds=9)
        self.assertEqual(self.usable(late), ['u1'])

    def test_departed_upstream_is_retained_for_its_keys(self) -> None:
        """Guards against the loss of the address of the last owner of keys."""
        self.apply(None)
        self.assertIsNotNone(self.registry.get(U1))
        late = (
            NOW + registry.Registry.DEPARTED_RETENTION + timedelta(seconds=1)
        )
        self.registry.apply({}, full=False, version=2, now=late)
        self.assertIsNone(self.registry.get(U1))


if __name__ == '__main__':
    unittest.main()

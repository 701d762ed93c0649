"""Tests of the proof of promise 8 with a few of its seeds."""

import unittest

from proofs import config_monotonic


class ConfigMonotonicTest(unittest.TestCase):
    def test_only_the_naive_variant_violates(self) -> None:
        """Guards against a proof that passes even when the code is wrong.

        With seeds 45 and 88 a restarted process returned to an old version,
        because it relied on a lagging replica of the store, and with seed
        88 also on three peers.
        """
        for seed in (0, 1, 45, 88):
            with self.subTest(seed):
                self.assertFalse(
                    config_monotonic.violated(
                        seed, config_monotonic.ProductVariant
                    )
                )
                self.assertTrue(
                    config_monotonic.violated(
                        seed, config_monotonic.NaiveVariant
                    )
                )

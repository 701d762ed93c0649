"""Tests of the proof of promise 8 on a few of its seeds."""

import unittest

from proofs import config_monotonic


class ConfigMonotonicTest(unittest.TestCase):
    def test_few_seeds(self) -> None:
        """Guards against a proof that passes whatever the code does.

        In 45 and 88 a restarted process trusted a lagging replica of the
        store, in 88 also three peers, and returned to an old version.
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

"""Tests of the benchmark's deployments."""

import unittest

from bench import deployments


class LoadTest(unittest.TestCase):
    def test_every_pool_of_the_example_has_a_shape(self) -> None:
        """Guards against a pool that is renamed only in the example.

        ``make bench`` would fail with a KeyError before the first run.
        """
        for name in deployments.NAMES:
            with self.subTest(name):
                loaded = deployments.load(name)
                self.assertEqual(
                    [shape.settings for shape in loaded.pools],
                    list(loaded.document.pools),
                )

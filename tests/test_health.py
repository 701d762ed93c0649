"""Tests the health of upstreams in an entry process."""

from collections.abc import Callable
from datetime import timedelta
import unittest

from goldcresthaven import health

NOW = timedelta(seconds=100)
SLOW_START = timedelta(seconds=10)


def fail(one: health.Health) -> None:
    for _ in range(health.CONSECUTIVE_FAILURES):
        one.record(NOW, health.HealthSignal.FAILURE)


CASES: tuple[tuple[Callable[[health.Health], None], health.Condition], ...] = (
    (lambda one: None, health.Condition.UP),
    (fail, health.Condition.OPEN),
    (lambda one: one.undrain(NOW), health.Condition.SLOW_START),
    (lambda one: one.drain(NOW), health.Condition.DRAINING),
)


class ConditionTest(unittest.TestCase):
    def test_condition_of_an_upstream(self) -> None:
        """Guards against a status that shows a failing upstream as up."""
        for change, expected in CASES:
            with self.subTest(expected):
                one = health.Health(slow_start=SLOW_START)
                change(one)
                self.assertIs(one.condition(NOW), expected)

    def test_slow_start_ends(self) -> None:
        """Guards against an upstream that never gets its full share."""
        one = health.Health(slow_start=SLOW_START)
        one.undrain(NOW)
        self.assertIs(one.condition(NOW + SLOW_START), health.Condition.UP)

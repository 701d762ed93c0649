"""Tests of what a process believes of tables that a coordinator follows."""

from datetime import timedelta
import unittest

from goldcresthaven import state_store
from goldcresthaven import table_relay

TABLE = state_store.Table.REGISTRY
NOW = timedelta(seconds=100)
MOMENT = timedelta(milliseconds=1)
AT_ONCE = timedelta()


def row(version: int, key: str = 'i-1') -> state_store.Row:
    return state_store.Row(key=key, version=version, value=b'v')


def reading(version: int, *rows: state_store.Row) -> state_store.Reading:
    return state_store.Reading(rows=rows, version=version, clock=timedelta())


def state(
    changed: int, reached: int, age: timedelta = timedelta()
) -> table_relay.TableState:
    return table_relay.TableState(
        table=TABLE, changed=changed, reached=reached, age=age
    )


def changes(
    base: int, reached: int, *rows: state_store.Row
) -> table_relay.RowChanges:
    return table_relay.RowChanges(
        table=TABLE, base=base, reached=reached, rows=rows
    )


class PositionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.position = table_relay.Position()
        self.position.answered(reading(10, row(7)), NOW, whole=True)

    def asks(self, now: timedelta) -> bool:
        return self.position.must_ask(now, AT_ONCE)

    def test_report_makes_a_call_needless_for_a_while(self) -> None:
        """Guards against belief in a coordinator that fell silent."""
        self.assertTrue(self.asks(NOW))
        self.position.hear(state(7, 20), NOW)
        self.assertFalse(self.asks(NOW + MOMENT))
        self.assertEqual(self.position.reached, 20)
        late = NOW + table_relay.LONGEST_SILENCE + MOMENT
        self.assertTrue(self.asks(late))

    def test_old_answer_of_the_store_is_not_enough(self) -> None:
        """Guards against belief in a coordinator without the store."""
        self.position.hear(state(7, 20, table_relay.LONGEST_AGE), NOW)
        self.assertTrue(self.asks(NOW + MOMENT))
        nearly = table_relay.LONGEST_AGE - 2 * MOMENT
        self.position.hear(state(7, 20, nearly), NOW)
        self.assertFalse(self.asks(NOW + MOMENT))
        self.assertTrue(self.asks(NOW + 3 * MOMENT))

    def test_missed_change_has_to_be_asked_for(self) -> None:
        """Guards against an upstream that is believed to stay."""
        self.position.hear(state(15, 20), NOW)
        self.assertFalse(self.asks(NOW))
        later = NOW + table_relay.ROWS_GRACE + MOMENT
        self.position.hear(state(15, 21), later)
        self.assertTrue(self.asks(later))
        self.position.answered(reading(21, row(15)), later, whole=False)
        self.assertFalse(self.asks(later))

    def test_rows_after_a_gap_are_not_applied(self) -> None:
        """Guards against a table with a hole after a lost datagram."""
        self.assertEqual(self.position.missing(changes(12, 14, row(14))), ())
        self.assertEqual(self.position.reached, 10)

    def test_rows_that_are_known_are_not_applied_again(self) -> None:
        """Guards against a row that goes back to an older version."""
        found = self.position.missing(changes(8, 14, row(9), row(13, 'i-2')))
        self.assertEqual(found, (row(13, 'i-2'),))
        found = self.position.missing(changes(8, 13, row(13, 'i-2')))
        self.assertEqual(found, ())
        self.assertEqual(self.position.reached, 14)

    def test_slow_answer_of_the_store_changes_nothing(self) -> None:
        """Guards against an answer that a passed-on row has overtaken."""
        self.position.missing(changes(10, 14, row(14)))
        late = self.position.answered(reading(12, row(12)), NOW, whole=False)
        self.assertEqual(late, ())
        whole = self.position.answered(reading(12, row(12)), NOW, whole=True)
        self.assertIsNone(whole)
        self.assertEqual(self.position.reached, 14)

    def test_nothing_is_believed_before_a_first_read(self) -> None:
        """Guards against a process without most of a table's rows."""
        position = table_relay.Position()
        position.hear(state(7, 20), NOW)
        self.assertTrue(position.must_ask(NOW, AT_ONCE))
        self.assertEqual(position.missing(changes(0, 14, row(14))), ())
        self.assertIsNone(position.state(TABLE, NOW))

    def test_what_is_told_carries_the_age_of_the_answer(self) -> None:
        """Guards against an age that a second coordinator makes young."""
        self.position.hear(state(7, 20, timedelta(seconds=1)), NOW)
        told = self.position.state(TABLE, NOW + timedelta(seconds=1))
        assert told is not None
        self.assertEqual(told.reached, 20)
        self.assertEqual(told.age, timedelta(seconds=1))


if __name__ == '__main__':
    unittest.main()

"""Tests of the timeline."""

import dataclasses
from datetime import timedelta
import random
from typing import Any
import unittest
from xml.etree import ElementTree

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import cli_text
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import operator_timeline
from goldcresthaven import operator_views as views
from goldcresthaven import timeline
from goldcresthaven import timeline_svg
from tests import fake_process
from tests import test_messages

MS = timedelta(milliseconds=1)
NOTE = events.Kind.NOTE
MOVE = events.Kind.MOVE_WRITTEN


def make_timeline(
    vm: str, time: clock.Clock, **sizes: int
) -> timeline.Timeline:
    return timeline.Timeline(
        vm=ids.VmId(vm),
        boot=ids.BootId('b1'),
        hybrid_clock=timeline.HybridClock(time),
        **sizes,
    )


def texts(found: Any) -> list[str]:
    return [event.text for event in found]


class HybridClockTest(unittest.TestCase):
    def test_causes_before_effects(self) -> None:
        """Guards against an effect that sorts before its cause."""
        for seed in range(50):
            rng = random.Random(seed)
            times = [
                clock.ManualClock(rate=rng.uniform(0.5, 2)) for _ in 'abc'
            ]
            for time in times:
                time.advance(timedelta(seconds=rng.uniform(0, 20)))
            hybrids = [timeline.HybridClock(time) for time in times]
            last = [events.Stamp()] * 3
            for _ in range(200):
                i, j = rng.sample(range(3), 2)
                for time in times:
                    time.advance(rng.choice([0, 0, 1, 5]) * MS)
                sent = hybrids[i].next()
                received = hybrids[j].receive(sent)
                self.assertGreater(sent, last[i])
                self.assertGreater(received, max(sent, last[j]))
                last[i], last[j] = sent, received

    def test_wrong_clock_of_a_peer(self) -> None:
        """Guards against one wrong clock that shifts all other clocks."""
        time = clock.ManualClock()
        hybrid = timeline.HybridClock(time)
        before = hybrid.next()
        after = hybrid.receive(events.Stamp(wall_ms=1 << 60))
        self.assertGreater(after, before)
        self.assertLess(after.wall_ms - before.wall_ms, 1000)

    def test_counter_overflow(self) -> None:
        """Guards against a stamp that cannot be encoded."""
        time = clock.ManualClock()
        hybrid = timeline.HybridClock(time)
        wall = hybrid.next().wall_ms + 9
        full = events.Stamp(wall_ms=wall, counter=(1 << 32) - 1)
        self.assertEqual(hybrid.receive(full), events.Stamp(wall_ms=wall + 1))


class MergeTest(unittest.TestCase):
    @settings(deadline=None)
    @given(
        st.lists(st.integers(0, 4), max_size=60),
        st.lists(st.lists(st.integers(0, 59)), max_size=4),
        test_messages.objects(events.Filter),
        st.booleans(),
    )
    def test_agrees_with_slow_sort(
        self,
        steps: list[int],
        buffers: list[list[int]],
        event_filter: events.Filter,
        everything: bool,
    ) -> None:
        """Guards against lost, repeated or misplaced events."""
        made = [
            events.Event(
                vm=ids.VmId(f'vm{step % 3}'),
                boot=ids.BootId('b'),
                seq=seq,
                stamp=events.Stamp(wall_ms=sum(steps[:seq]) // 2),
                kind=NOTE,
            )
            for seq, step in enumerate(steps)
        ]
        if everything:
            event_filter = events.Filter()
        picked = [[made[i] for i in b if i < len(made)] for b in buffers]
        slow: list[events.Event] = []
        for event in (e for b in picked for e in b):
            if event not in slow and event_filter.matches(event):
                slow.append(event)
        slow.sort(key=lambda e: (e.stamp.wall_ms, e.vm, e.seq))
        self.assertEqual(timeline.merge(picked, event_filter), slow)


class TimelineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()

    def test_ring_and_milestones(self) -> None:
        """Guards against unbounded buffers and displaced milestones."""
        event_log = make_timeline(
            'a', self.clock, max_events=10, max_milestones=3
        )
        for i in range(5):
            event_log.add(MOVE, f'move {i}')
        for i in range(50):
            event_log.add(NOTE, f'note {i}')
        found, truncated = event_log.select(events.Filter(), 100)
        expected = [f'move {i}' for i in (2, 3, 4)]
        expected += [f'note {i}' for i in range(40, 50)]
        self.assertEqual(texts(found), expected)
        self.assertFalse(truncated)
        found, truncated = event_log.select(events.Filter(), 2)
        self.assertEqual(texts(found), ['note 48', 'note 49'])
        self.assertTrue(truncated)

    def test_copies_survive_the_process(self) -> None:
        """Guards against losing the milestones of a failed VM."""
        event_log = make_timeline('a', self.clock)
        peers = [
            make_timeline(vm, self.clock, max_copied_milestones=2)
            for vm in 'bc'
        ]
        event_log.add(NOTE, 'not copied')
        for i in range(3):
            event_log.add(MOVE, f'move {i}')
        sent = event_log.take_uncopied()
        self.assertEqual(event_log.take_uncopied(), ())
        for peer in peers:
            peer.store_copies(sent + sent[-1:])
        buffers = [p.select(events.Filter(), 100)[0] for p in peers]
        self.assertEqual(texts(timeline.merge(buffers)), ['move 1', 'move 2'])

    def test_copies_go_to_different_zones(self) -> None:
        """Guards against a zone failure that destroys all copies."""
        names = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
        zones = {ids.VmId(v): ids.ZoneId(z) for v, z in names.items()}
        for seed in range(20):
            rng = random.Random(seed)
            picked = timeline.choose_copy_peers(zones, ids.ZoneId('a'), rng)
            found = [zones[vm] for vm in picked]
            self.assertEqual(len(set(found)), 2)
            self.assertNotEqual(found[0], 'a')
        alone = {ids.VmId('a1'): ids.ZoneId('a')}
        rng = random.Random(1)
        self.assertEqual(
            timeline.choose_copy_peers(alone, ids.ZoneId('a'), rng), ('a1',)
        )
        self.assertEqual(
            timeline.choose_copy_peers({}, ids.ZoneId('a'), rng), ()
        )

    def test_reply_fits_a_message(self) -> None:
        """Guards against a reply that exceeds the message size limit."""
        event_log = make_timeline('a', self.clock)
        for i in range(3000):
            event_log.add(NOTE, f'{i} ' + 'x' * events.MAX_TEXT_BYTES)
        found, _ = event_log.select(events.Filter(), 4000)
        fitting = messages.newest_that_fit(found)
        self.assertEqual(fitting[-1], found[-1])
        self.assertGreater(len(fitting), 1000)
        reply = messages.TimelineReply(events=fitting, truncated=True)
        messages.encode(messages.Frame(message=reply))

    def test_filters(self) -> None:
        """Guards against a filter that selects other events."""
        event_log = make_timeline('a', self.clock)
        event_log.add(NOTE, 'one', key_hash=1, request_id='r1')
        self.clock.advance(timedelta(seconds=1))
        event_log.add(MOVE, 'two', key_hash=2, request_id='r2')
        second = event_log.select(events.Filter(), 9)[0][1].stamp.wall_ms
        cases: list[tuple[dict[str, Any], list[str]]] = [
            ({}, ['one', 'two']),
            ({'key_hash': 1}, ['one']),
            ({'request_id': 'r2'}, ['two']),
            ({'vm': 'b'}, []),
            ({'kinds': (MOVE,)}, ['two']),
            ({'since_ms': second}, ['two']),
            ({'until_ms': second}, ['one']),
        ]
        for fields, expected in cases:
            with self.subTest(fields):
                found, _ = event_log.select(events.Filter(**fields), 9)
                self.assertEqual(texts(found), expected)

    def test_rendering(self) -> None:
        """Guards against unmarked gaps and unescaped text in the output."""
        event_log = make_timeline('a', self.clock)
        event_log.add(
            events.Kind.EPOCH_RAISED,
            'evil\x1b[2J\n<b>&' + 'é' * 999,
            domain='z1/0',
            epoch=4,
            key_hash=255,
        )
        other = make_timeline('b', self.clock)
        other.add(events.Kind.CLAIM_LOST, domain='z1/0', epoch=4)
        view = operator_timeline.merge(
            [
                part.select(events.Filter(), 9)[0]
                for part in (event_log, other)
            ],
            events.Filter(),
            limit=9,
            unreachable=(ids.VmId('lost-vm'),),
            incomplete=(ids.VmId('b'),),
        )
        text = cli_text.format_timeline(view)
        lines = text.split('\n')
        self.assertEqual(len(lines), 4)
        self.assertIn('older events are left out by b', lines[0])
        self.assertIn('epoch-raised key=00000000000000ff', lines[1])
        self.assertIn('domain=z1/0 epoch=4 evil', lines[1])
        self.assertIn('NO RESPONSE from lost-vm; only', lines[3])
        self.assertNotIn('\x1b', text)
        root = ElementTree.fromstring(timeline_svg.render(view))
        names = [e.tag.rpartition('}')[2] for e in root.iter()]
        self.assertEqual(names.count('circle'), 2)
        shown = ' '.join(root.itertext())
        self.assertIn('lost-vm (no response)', shown)
        self.assertIn('older events are left out', shown)
        # Three columns and the link between the two events of one epoch.
        self.assertEqual(names.count('line'), 4)

    def test_picture_is_bounded(self) -> None:
        """Guards against an unbounded picture, and unmarked omitted events."""
        event_log = make_timeline('a', self.clock)
        for i in range(timeline_svg.MAX_ROWS + 5):
            event_log.add(NOTE, f'note {i}')
        view = operator_timeline.merge(
            [event_log.select(events.Filter(), 9999)[0]],
            events.Filter(),
            limit=views.MAX_EVENTS,
            unreachable=(),
            incomplete=(),
        )
        self.assertFalse(view.truncated)
        root = ElementTree.fromstring(timeline_svg.render(view))
        names = [e.tag.rpartition('}')[2] for e in root.iter()]
        self.assertEqual(names.count('circle'), timeline_svg.MAX_ROWS)
        shown = ' '.join(root.itertext())
        self.assertIn('older events are left out', shown)
        self.assertNotIn('note 4 ', shown)

    def test_operator_query_is_converted(self) -> None:
        """Guards against an operator query that is not converted in full."""
        event_log = make_timeline('a', self.clock)
        shard_map = fake_process.FakeProcess(None).shard_map()
        event_log.add(NOTE, 'one', key_hash=1, request_id='r1')
        self.clock.advance(timedelta(seconds=1))
        event_log.add(MOVE, 'two', key_hash=2, request_id='r2')
        found = event_log.select(events.Filter(), 9)[0]
        second = operator_timeline.to_view(found[1]).at
        cases: list[tuple[dict[str, Any], list[str]]] = [
            ({}, ['one', 'two']),
            ({'limit': 1}, ['two']),
            ({'key_hash': f'{1:016x}'}, ['one']),
            ({'request': 'r2'}, ['two']),
            ({'milestones': True}, ['two']),
            ({'process': 'b'}, []),
            ({'after': second}, ['two']),
            ({'before': second}, ['one']),
        ]
        for fields, expected in cases:
            with self.subTest(fields):
                query = views.TimelineQuery(**fields)
                view = operator_timeline.merge(
                    [found],
                    operator_timeline.to_filter(query, shard_map),
                    limit=query.limit,
                    unreachable=(),
                    incomplete=(),
                )
                self.assertEqual([e.detail for e in view.events], expected)
                self.assertEqual(view.truncated, 'limit' in fields)
        for text in ('x', '-1', '1' * 17):
            with self.assertRaises(errors.CallRefused):
                query = views.TimelineQuery(key_hash=text)
                operator_timeline.to_filter(query, shard_map)

    def test_key_has_the_moves_of_its_shard(self) -> None:
        """Guards against a key's events that lack the moves of its shard."""
        event_log = make_timeline('a', self.clock)
        event_log.add(MOVE, 'moved', shard='catalogue/0')
        event_log.add(MOVE, 'another', shard='catalogue/1')
        event_log.add(NOTE, 'asked', key_hash=7)
        event_filter = operator_timeline.to_filter(
            views.TimelineQuery(key_hash=f'{7:016x}'),
            fake_process.FakeProcess(None).shard_map(),
        )
        found, _ = event_log.select(event_filter, 9)
        self.assertEqual(texts(found), ['moved', 'asked'])

    def test_event_with_an_invalid_time_is_shown(self) -> None:
        """Guards against a query that fails because of one invalid event."""
        event = make_timeline('a', self.clock).add(NOTE, 'x')
        stamp = events.Stamp(wall_ms=(1 << 63) - 1)
        odd = dataclasses.replace(event, stamp=stamp)
        self.assertEqual(operator_timeline.to_view(odd).at.year, 9999)

"""Tests of the load policy of one entry process."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import scheduler
from goldcresthaven import slots

POOL = presets.Pool(
    name=ids.PoolName('orders'), keyed=False, slots=2, connections=10
)
POLICY = presets.RankPolicy.model_validate(
    {'target': '500ms', 'deadline': '2s', 'floor': 0.3}
)
PRESET = presets.Preset(
    name=ids.PresetName('test'), urgent=POLICY, standard=POLICY, bulk=POLICY
)
UPSTREAM = ids.UpstreamId('orders-0')
DOMAIN = ids.DomainId('zone-0/0')
EPOCH = ids.Epoch(1)
NOW = timedelta(seconds=1)


def make_scheduler() -> scheduler.Scheduler:
    entry = scheduler.Scheduler(
        entry=ids.VmId('entry-0'),
        boot=ids.BootId('1'),
        preset=PRESET,
        rng=random.Random(1),
    )
    entry.add_pool(POOL)
    entry.add_upstream(NOW, UPSTREAM, POOL.name, DOMAIN)
    entry.set_manager(NOW, DOMAIN, ids.VmId('entry-1'), EPOCH)
    return entry


def make_request(number: int) -> admission.Request:
    return admission.Request(
        request_id=ids.RequestId(str(number)),
        pool=POOL.name,
        rank=outcomes.Rank.URGENT,
        arrived=NOW,
        deadline=NOW + timedelta(seconds=2),
    )


def make_grant(*leases: int) -> slots.SlotGrant:
    return slots.SlotGrant(
        domain=DOMAIN,
        epoch=EPOCH,
        basis=NOW,
        slots=tuple(
            slots.Slot(lease=lease, upstream=UPSTREAM, level=0, contended=True)
            for lease in leases
        ),
    )


def returned(actions: list[scheduler.Action]) -> list[int]:
    return [
        lease
        for action in actions
        if isinstance(action, scheduler.Send)
        and isinstance(action.message, slots.SlotReturn)
        for lease in action.message.leases
    ]


class SchedulerTest(unittest.TestCase):
    def test_busy_slot_is_not_returned(self) -> None:
        """Guards against returning a slot on which a request runs.

        When a grant had two slots and one request waited, the slot that
        ran the request was returned as unused.
        """
        entry = make_scheduler()
        entry.arrive(NOW, make_request(1))
        actions = entry.handle_message(NOW, make_grant(1, 2))
        self.assertIn(
            scheduler.Dispatch,
            [type(action) for action in actions],
        )
        self.assertEqual(returned(actions), [2])
        done = outcomes.Done(status=200)
        later = NOW + timedelta(milliseconds=60)
        actions = entry.finished(later, ids.RequestId('1'), done)
        self.assertEqual(returned(actions), [1])

    def test_slot_stays_occupied_after_a_timeout(self) -> None:
        """Guards against a second request on a slot that is still in use.

        The upstream continues a request that timed out at the entry. When
        the slot was freed at once, an endpoint ran 3 requests on 2 slots.
        """
        for reason, occupied in (
            (outcomes.Reason.TIMEOUT, True),
            (outcomes.Reason.CONNECTION_LOST, False),
        ):
            with self.subTest(reason):
                entry = make_scheduler()
                entry.arrive(NOW, make_request(1))
                entry.arrive(NOW, make_request(2))
                entry.handle_message(NOW, make_grant(1))
                later = NOW + timedelta(milliseconds=20)
                actions = entry.finished(
                    later,
                    ids.RequestId('1'),
                    outcomes.Unknown(reason=reason),
                )
                dispatched = [
                    a for a in actions if isinstance(a, scheduler.Dispatch)
                ]
                self.assertEqual(len(dispatched), 0 if occupied else 1)
                actions = entry.tick(NOW + timedelta(milliseconds=400))
                self.assertEqual(
                    scheduler.Dispatch in [type(a) for a in actions]
                    or returned(actions) == [1],
                    occupied,
                )

    def test_slots_of_unusable_upstream_are_not_requested(self) -> None:
        """Guards against endless grants and returns of unusable slots."""
        entry = make_scheduler()
        entry.arrive(NOW, make_request(1))
        entry.drain(NOW, UPSTREAM)
        actions = entry.handle_message(NOW, make_grant(1))
        wants = [
            want.queued
            for action in actions
            if isinstance(action, scheduler.Send)
            for want in action.message.wants
        ]
        self.assertEqual(returned(actions), [1])
        self.assertEqual({sum(queued) for queued in wants}, {0})

    def test_request_of_disconnected_caller_is_not_sent(self) -> None:
        """Guards against work for callers who have disconnected."""
        entry = make_scheduler()
        entry.arrive(NOW, make_request(1))
        entry.remove_queued(NOW, ids.RequestId('1'))
        actions = entry.handle_message(NOW, make_grant(1))
        self.assertNotIn(
            scheduler.Dispatch, [type(action) for action in actions]
        )

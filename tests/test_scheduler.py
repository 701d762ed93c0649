"""Tests of the scheduler of one entry process."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import scheduler
from goldcresthaven import slots
from tools import rig

DOMAIN = ids.DomainId('a/0')
UPSTREAM = ids.UpstreamId('free-a')
EPOCH = ids.Epoch(1)
NOW = timedelta(seconds=100)
REQUEST = ids.RequestId('r1')


class GrantTest(unittest.TestCase):
    def test_more_contended_slots_than_requests(self) -> None:
        """Guards against a slot that is returned while a request runs.

        The manager then gave it to another entry, and the end of the
        request crashed its task.
        """
        document = rig.make_document()
        one = scheduler.Scheduler(
            entry=ids.VmId('entry'),
            boot=ids.BootId('1'),
            preset=document.preset,
            rng=random.Random(1),
        )
        one.add_pool(document.pool(rig.FREE))
        one.add_upstream(NOW, UPSTREAM, rig.FREE, DOMAIN)
        one.set_manager(NOW, DOMAIN, ids.VmId('manager'), EPOCH)
        one.arrive(
            NOW,
            admission.Request(
                request_id=REQUEST,
                pool=rig.FREE,
                rank=outcomes.Rank.URGENT,
                arrived=NOW,
                deadline=NOW + timedelta(seconds=1),
            ),
        )
        granted = tuple(
            slots.Slot(lease=n, upstream=UPSTREAM, level=0, contended=True)
            for n in (1, 2)
        )
        grant = slots.SlotGrant(
            domain=DOMAIN, epoch=EPOCH, basis=NOW, slots=granted
        )
        actions = one.message(NOW, grant)
        dispatched = [a for a in actions if isinstance(a, scheduler.Dispatch)]
        self.assertEqual(1, len(dispatched))
        self.assertEqual({2}, returned(actions))
        later = NOW + slots.QUANTUM
        actions = one.finished(later, REQUEST, outcomes.Done(status=200))
        self.assertEqual({1}, returned(actions))


def returned(actions: list[scheduler.Action]) -> set[int]:
    return {
        lease
        for action in actions
        if isinstance(action, scheduler.Send)
        and isinstance(action.message, slots.SlotReturn)
        for lease in action.message.leases
    }

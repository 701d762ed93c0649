"""Tests of the connection between the slot gate and the peers."""

import dataclasses
from datetime import timedelta
import unittest

from goldcresthaven import clock
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import metrics
from goldcresthaven import node as node_module
from goldcresthaven import slot_links
from goldcresthaven import slots
from tests import test_auth
from tools import entry_harness

SENDER, OTHER = ids.VmId('sender'), ids.VmId('other')
DEMAND = slots.SlotDemand(
    entry=OTHER,
    boot=ids.BootId('1'),
    domain=ids.DomainId('a/0'),
    epoch=ids.Epoch(1),
    seq=1,
    basis=timedelta(),
)
RETURN = slots.SlotReturn(
    entry=OTHER,
    boot=ids.BootId('1'),
    domain=ids.DomainId('a/0'),
    epoch=ids.Epoch(1),
    seq=1,
    leases=(1,),
)


class SenderTest(unittest.TestCase):
    def test_message_for_another_entry_is_refused(self) -> None:
        """Guards against a peer that takes or frees another entry's slots."""
        node = node_module.Node(
            vm=ids.VmId('manager'),
            zone=ids.ZoneId('a'),
            ring=test_auth.ring('k1'),
            clock=clock.SystemClock(),
            metrics=metrics.Metrics(None),
        )
        slot_links.connect(node, entry_harness.FixedViews(view=None))

        async def test() -> None:
            for message in (DEMAND, RETURN):
                reply = await node.handle(SENDER, message)
                self.assertIsInstance(reply, messages.Refusal)
                own = dataclasses.replace(message, entry=SENDER)
                self.assertIsNone(await node.handle(SENDER, own))

        entry_harness.run(test)

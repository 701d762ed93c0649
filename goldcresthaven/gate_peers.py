"""Connects the gate to this process's claims and to its peers."""

from collections.abc import Mapping
from datetime import timedelta

from goldcresthaven import dispatch
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import slot_gate
from goldcresthaven import slots


class NodeClaims:
    """What the controller of this process knows; ``slot_gate.Claims``."""

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    def domains(self) -> Mapping[ids.UpstreamId, ids.DomainId]:
        return self._node.state.shard_map.homes

    def holder(self, domain: ids.DomainId) -> slot_gate.Holder | None:
        vm = self._node.holder(domain)
        if vm is None:
            return None
        return slot_gate.Holder(vm=vm, epoch=self._node.epoch(domain))

    def holds(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        return self._node.controller.holds(domain, now=now)

    def entries(self) -> frozenset[ids.VmId]:
        return frozenset(
            vm
            for vm, member in self._node.state.entries.items()
            if member.state is members.MemberState.LIVE
        )


def make_gate(
    node: node_module.Node, views: dispatch.Views
) -> slot_gate.SlotGate:
    """Return the gate and register it for the slot messages of peers."""
    gate = slot_gate.SlotGate(
        vm=node.vm,
        boot=node.boot,
        clock=node.clock,
        views=views,
        claims=NodeClaims(node),
        send=node.send,
        rng=node.rng,
    )

    async def received(
        vm: ids.VmId, message: slots.Message
    ) -> messages.Message | None:
        match message:
            case slots.SlotDemand(entry=entry) | slots.SlotReturn(entry=entry):
                if entry != vm:
                    return messages.Refusal(reason='sent for another VM')
        await gate.received(message)
        return None

    node.on(slots.SlotDemand, received)
    node.on(slots.SlotGrant, received)
    node.on(slots.SlotReturn, received)
    node.on(slots.SlotRecall, received)
    return gate

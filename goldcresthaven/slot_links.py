"""Connects the slot gate to the peers and claims of the entry process."""

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
    """Domains and claims from the state of the ownership controller."""

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    def domains(self) -> Mapping[ids.UpstreamId, ids.DomainId]:
        return self._node.state.shard_map.homes

    def holder(self, domain: ids.DomainId) -> slot_gate.Holder | None:
        vm = self._node.holder(domain)
        epoch = self._node.controller.epoch(domain)
        if vm is None or epoch is None:
            return None
        return slot_gate.Holder(vm=vm, epoch=epoch)

    def released(self, domain: ids.DomainId) -> bool:
        controller = self._node.controller
        known = controller.epoch(domain) is not None
        return known and controller.holder(domain) is None

    def holds(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        return self._node.controller.holds(domain, now=now)

    def entries(self) -> frozenset[ids.VmId]:
        others = self._node.peers().values()
        live = members.MemberState.LIVE
        running = {m.vm for m in others if m.state is live}
        return frozenset(running - self._node.stopped_peers | {self._node.vm})


def connect(
    node: node_module.Node,
    views: dispatch.Views,
    send: slot_gate.Send | None = None,
) -> slot_gate.SlotGate:
    """Return a gate that exchanges slot messages with the peers.

    ``send`` replaces the node's own function, for example to count messages.
    """
    gate = slot_gate.SlotGate(
        vm=node.vm,
        boot=node.boot,
        clock=node.clock,
        views=views,
        claims=NodeClaims(node),
        send=send or node.links.send,
        rng=node.rng,
    )

    async def handle(
        vm: ids.VmId, message: slots.Message
    ) -> messages.Message | None:
        match message:
            case slots.SlotDemand(entry=entry) | slots.SlotReturn(entry=entry):
                if entry != vm:
                    return messages.Refusal(reason='sent for another VM')
                # A process that restarted on the VM can hold slots again.
                node.stopped_peers.discard(vm)
        await gate.handle_message(message)
        return None

    node.on(slots.SlotDemand, handle)
    node.on(slots.SlotReturn, handle)
    node.on(slots.SlotGrant, handle)
    node.on(slots.SlotRecall, handle)
    return gate

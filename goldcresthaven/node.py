"""State, peer connections and telemetry shared within an entry process."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import random
import secrets
from typing import Any
from typing import TypeVar

from goldcresthaven import auth
from goldcresthaven import clock as clock_module
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import metrics as metrics_module
from goldcresthaven import ownership
from goldcresthaven import peer_link
from goldcresthaven import peer_session
from goldcresthaven import peer_state
from goldcresthaven import routing_state
from goldcresthaven import timeline as timeline_module

M = TypeVar('M')
Handler = Callable[[ids.VmId, M], Awaitable[messages.Message | None]]

_LINK_METRICS = {
    peer_state.LinkEventKind.REFUSED: 'peer.refused',
    peer_state.LinkEventKind.MALFORMED: 'peer.malformed',
    peer_state.LinkEventKind.TOO_SLOW: 'peer.too-slow',
}


class Node:
    """The objects that the components of one entry process share.

    ``ready`` means that the map and the configuration are recent enough to
    be used, ``stopping`` that this process is releasing its claims.
    ``state`` determines how requests are routed, ``controller`` holds the
    claims, ``timeline`` records events and ``metrics`` counts. Handlers of
    messages are registered before ``listen``.

    Example::

        node.on(messages.PullChanges, answer_pull)
        holder = node.holder(domain)
        await node.send(holder, messages.ClaimReleased(domain=domain))
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        zone: ids.ZoneId,
        ring: auth.KeyRing,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        max_events: int = timeline_module.MAX_EVENTS,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.boot = ids.BootId(secrets.token_hex(8))
        self.clock = clock
        self.metrics = metrics
        self.rng = random.Random(secrets.randbits(64))
        self.hybrid_clock = timeline_module.HybridClock(clock)
        self.timeline = timeline_module.Timeline(
            vm=vm,
            boot=self.boot,
            hybrid_clock=self.hybrid_clock,
            max_events=max_events,
        )
        self.verifier = auth.Verifier(ring, target=vm, time=clock)
        self.controller = ownership.Controller(
            vm=vm, zone=zone, boot=self.boot
        )
        self.state = routing_state.RoutingState()
        # VMs whose process has released its claim. It does so when it stops,
        # after its last request.
        self.stopped_peers: set[ids.VmId] = set()
        self.ready = False
        self.stopping = False
        self._handlers: dict[type[Any], Handler[Any]] = {}
        self.links = self._make_links()

    def current(self) -> dispatch.View | None:
        """Return the view used for routing requests, or None.

        It is None until ``ready``, because a process that has just started
        may only have an old configuration.
        """
        return self.state.current() if self.ready else None

    def holder(self, domain: ids.DomainId) -> ids.VmId | None:
        """Return the last known claim holder of a domain, or None.

        After its own claim has ended, a process does not return itself.
        """
        holder = self.controller.holder(domain)
        if holder == self.vm and not self.holds(domain):
            return None
        return holder

    def holds(self, domain: ids.DomainId) -> bool:
        """Return whether this process holds the domain's claim now."""
        return self.controller.holds(domain, now=self.clock.elapsed())

    def domain_of(self, upstream: ids.UpstreamId) -> ids.DomainId | None:
        """Return the domain of an upstream, or None if it has none yet."""
        return self.state.shard_map.homes.get(upstream)

    def peers(self) -> dict[ids.VmId, members.Member]:
        """Return the other entry VMs in the membership list."""
        return {
            v: m for v, m in self.state.entry_members.items() if v != self.vm
        }

    def on(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of a message type; see ``PeerLinks``.

        The handler must not wait for I/O. Its result is the reply to a
        request.
        """
        assert kind not in self._handlers
        self._handlers[kind] = handler

    async def handle(
        self, vm: ids.VmId, message: messages.Message
    ) -> messages.Message | None:
        """Pass a peer's message to its handler and return the reply.

        Raises ProtocolError when its type has no handler.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.ProtocolError(
                f'{type(message).__name__} is not handled here',
                remedy='check that both processes run adjacent releases',
            )
        return await handler(vm, message)

    async def listen(self, address: members.Address) -> int:
        """Accept peers and return the port, chosen if it is 0."""
        return await self.links.listen(address.host, address.port)

    async def send(self, vm: ids.VmId, message: messages.Message) -> bool:
        """Queue a message for a peer; see ``PeerLinks.send``."""
        return await self.links.send(vm, message)

    async def request(
        self, vm: ids.VmId, message: messages.Message, timeout: timedelta
    ) -> messages.Message:
        """Return a peer's reply; see ``PeerLinks.request``."""
        return await self.links.request(vm, message, timeout)

    def _make_links(self) -> peer_link.PeerLinks:
        return peer_link.PeerLinks(
            identity=peer_session.Identity(
                vm=self.vm, zone=self.zone, boot=self.boot
            ),
            security=peer_session.Security(
                verifier=self.verifier,
                time=self.clock,
                nonce=lambda: secrets.token_bytes(auth.NONCE_BYTES),
            ),
            time=self.clock,
            address_of=self._address_of,
            handler=self.handle,
            on_event=self._count_link_event,
            rng=self.rng,
        )

    def _address_of(self, vm: ids.VmId) -> members.Address | None:
        member = self.state.entry_members.get(vm)
        return None if member is None else member.address

    def _count_link_event(self, event: peer_state.LinkEvent) -> None:
        name = _LINK_METRICS.get(event.kind)
        if name is not None:
            self.metrics.count(name)

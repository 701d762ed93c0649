"""Queries that an operator's call sends to the peers of this process.

Peers are queried in parallel, with a timeout for each and one for all of
them. Peers that do not reply are listed in the result, so that missing
data is not mistaken for empty data.
"""

from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import Generic
from typing import TypeVar

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import operator_views as views
from goldcresthaven import request_history

PEER_TIMEOUT = timedelta(seconds=1)
# Less than the operator server's timeout for a call.
TOTAL_TIMEOUT = timedelta(seconds=8)
# Number of concurrent queries; limits the memory for their replies.
MAX_PARALLEL = 32

M = TypeVar('M')


@dataclass(kw_only=True)
class Replies(Generic[M]):
    """The replies by peer, and the peers without a valid reply."""

    replies: dict[ids.VmId, M] = field(default_factory=dict)
    unreachable: set[ids.VmId] = field(default_factory=set)

    @property
    def unreachable_vms(self) -> tuple[ids.VmId, ...]:
        return tuple(sorted(self.unreachable))


class PeerQueries:
    """Sends queries to peers and answers theirs."""

    def __init__(
        self,
        *,
        node: node_module.Node,
        history: request_history.RequestHistory,
    ) -> None:
        self._node = node
        self._history = history
        self._started = node.clock.elapsed()
        node.on(messages.StatusQuery, self._answer_status)
        node.on(messages.RequestQuery, self._answer_request)

    async def query_all(
        self, message: messages.Message, kind: type[M]
    ) -> Replies[M]:
        """Send a query to all peers and return their replies."""
        collected: Replies[M] = Replies(unreachable=set(self._node.peers()))
        remaining = sorted(collected.unreachable)

        async def work() -> None:
            while remaining:
                vm = remaining.pop()
                reply = await self._query_one(vm, message)
                if isinstance(reply, kind):
                    collected.replies[vm] = reply
                    collected.unreachable.discard(vm)

        tasks = [
            await aio.spawn(work())
            for _ in range(min(MAX_PARALLEL, len(remaining)))
        ]
        try:
            async with aio.timeout(TOTAL_TIMEOUT):
                for task in tasks:
                    await task.join()
        except errors.DeadlineExceeded:
            pass
        finally:
            for task in tasks:
                await task.cancel()
        return collected

    async def _query_one(
        self, vm: ids.VmId, message: messages.Message
    ) -> messages.Message | None:
        try:
            return await self._node.request(vm, message, PEER_TIMEOUT)
        except errors.Error:
            return None

    async def status(self) -> tuple[views.Peer, ...]:
        """Return each peer in the membership list with its versions."""
        listed = self._node.peers()
        found = await self.query_all(
            messages.StatusQuery(), messages.StatusReply
        )
        return tuple(
            _to_peer(listed[vm], found.replies.get(vm))
            for vm in sorted(listed)
        )

    async def find_request(
        self, request: ids.RequestId
    ) -> tuple[views.Request | None, tuple[ids.VmId, ...]]:
        """Find a request in the histories of the peers.

        Returns the request, or None and the peers that did not reply.
        """
        found = await self.query_all(
            messages.RequestQuery(request_id=request), messages.RequestReply
        )
        for reply in found.replies.values():
            if reply.found:
                return views.decode(views.Request, reply.found), ()
        return None, found.unreachable_vms

    async def _answer_status(
        self, vm: ids.VmId, message: messages.StatusQuery
    ) -> messages.Message | None:
        view = self._node.current()
        uptime = self._node.clock.elapsed() - self._started
        return messages.StatusReply(
            vm=self._node.vm,
            zone=self._node.zone,
            boot=self._node.boot,
            ready=view is not None and not self._node.stopping,
            map_version=self._node.state.shard_map.version,
            config_version=(
                ids.ConfigVersion(0) if view is None else view.config_version
            ),
            preset='' if view is None else view.document.in_force,
            uptime_ms=uptime // timedelta(milliseconds=1),
        )

    async def _answer_request(
        self, vm: ids.VmId, message: messages.RequestQuery
    ) -> messages.Message | None:
        found = self._history.find(message.request_id)
        return messages.RequestReply(
            found=b'' if found is None else views.encode(found)
        )


def _to_peer(
    member: members.Member, reply: messages.StatusReply | None
) -> views.Peer:
    if reply is None:
        return views.Peer(vm=member.vm, zone=member.zone, reachable=False)
    return views.Peer(
        vm=member.vm,
        zone=reply.zone,
        reachable=True,
        ready=reply.ready,
        config_version=reply.config_version,
        map_version=reply.map_version,
    )

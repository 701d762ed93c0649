"""Copies milestones to peers and answers timeline queries."""

from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import timeline

COPY_INTERVAL = timedelta(seconds=1)
CONFIRM_TIMEOUT = timedelta(milliseconds=500)


class TimelineSync:
    """Exchanges timeline events with peers."""

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._task: aio.Task | None = None
        self._unsent: list[events.Event] = []
        node.on(messages.Milestones, self._store_copies)
        node.on(messages.TimelineQuery, self._answer_query)

    async def start(self) -> None:
        self._node.timeline.add(events.Kind.PROCESS_STARTED)
        self._task = await aio.spawn(self._run())

    async def stop(self) -> None:
        """Send the remaining milestones before the process exits."""
        if self._task is not None:
            await self._task.cancel()
        await self.copy()

    async def copy(self) -> None:
        """Send new milestones to two peers.

        If no peer confirms them, they are sent again the next time.
        """
        peers = {vm: m.zone for vm, m in self._node.peers().items()}
        if not peers:
            return
        self._unsent += self._node.timeline.take_uncopied()
        if not self._unsent:
            return
        fitting = messages.newest_that_fit(self._unsent)
        self._unsent = list(fitting)
        message = messages.Milestones(events=fitting)
        targets = timeline.choose_copy_peers(
            peers, self._node.zone, self._node.rng
        )
        confirmed = [await self._send(vm, message) for vm in targets]
        if any(confirmed):
            self._unsent.clear()

    async def _send(self, vm: ids.VmId, message: messages.Milestones) -> bool:
        """Return whether a peer confirmed that it stored the copies.

        A confirmation is needed because a queued message can be lost while
        a connection is opened, for example when both processes have just
        started.
        """
        try:
            await self._node.request(vm, message, CONFIRM_TIMEOUT)
        except errors.Error:
            return False
        return True

    async def _run(self) -> None:
        while True:
            await aio.sleep(COPY_INTERVAL)
            await self.copy()

    async def _store_copies(
        self, vm: ids.VmId, message: messages.Milestones
    ) -> messages.Message | None:
        self._node.timeline.store_copies(message.events)
        return messages.Milestones(events=())

    async def _answer_query(
        self, vm: ids.VmId, message: messages.TimelineQuery
    ) -> messages.Message | None:
        found, truncated = self._node.timeline.select(
            message.wanted, message.limit
        )
        fitting = messages.newest_that_fit(found)
        return messages.TimelineReply(
            events=fitting, truncated=truncated or len(fitting) < len(found)
        )

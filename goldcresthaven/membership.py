"""Keeps the membership list up to date and sends it to peers on request.

The list is read from the platform at the same interval as the store. A
process that starts while the platform is down knows no addresses. Peers
that still have it in their list connect to it, and it queries them for
theirs.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import gossip
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import store_client

QUERY_TIMEOUT = timedelta(seconds=1)
# A member has about 150 bytes, so that a reply stays far below the message
# limit.
PAGE_ITEMS = 1000


class Membership:
    """Reads the list in the background and answers ``MembersQuery``.

    ``on_change`` is called after the list in ``node.state`` has changed.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        store: store_client.StoreClient,
        on_change: Callable[[], Awaitable[None]],
    ) -> None:
        self._node = node
        self._store = store
        self._on_change = on_change
        self._task: aio.Task | None = None
        node.on(messages.MembersQuery, self._answer_query)

    async def start(self) -> None:
        self._task = await aio.spawn(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._adopt(await self._store.members())
            except errors.Error:
                if not self._node.state.listed:
                    await self._query_peers()
            await aio.sleep(
                self._interval() * self._node.rng.uniform(0.9, 1.1)
            )

    def _interval(self) -> timedelta:
        entry_count = len(self._node.state.entry_members)
        by_size = timedelta(
            seconds=entry_count / gossip.STORE_READS_PER_SECOND
        )
        return max(gossip.MIN_STORE_INTERVAL, by_size)

    async def _adopt(self, listed: tuple[members.Member, ...]) -> None:
        if self._node.state.set_members(listed):
            await self._on_change()

    async def _query_peers(self) -> None:
        for vm in sorted(self._node.links.connected):
            try:
                listed = await self._query_peer(vm)
            except (errors.Error, ValueError):
                continue
            if listed:
                await self._adopt(listed)
                return

    async def _query_peer(self, vm: ids.VmId) -> tuple[members.Member, ...]:
        found: list[members.Member] = []
        more = True
        while more:
            query = messages.MembersQuery(after=found[-1].vm if found else '')
            reply = await self._node.request(vm, query, QUERY_TIMEOUT)
            if not isinstance(reply, messages.MembersReply):
                return ()
            found += map(_decode, reply.members)
            more = reply.more and bool(reply.members)
        return tuple(found)

    async def _answer_query(
        self, vm: ids.VmId, message: messages.MembersQuery
    ) -> messages.Message | None:
        remaining = sorted(
            (m for m in self._node.state.listed if m.vm > message.after),
            key=lambda m: m.vm,
        )
        page = remaining[:PAGE_ITEMS]
        return messages.MembersReply(
            members=tuple(map(_encode, page)), more=len(remaining) > len(page)
        )


def _encode(member: members.Member) -> messages.ListedMember:
    return messages.ListedMember(
        vm=member.vm,
        zone=member.zone,
        role=member.role,
        state=member.state,
        address=str(member.address),
        pool=member.pool,
    )


def _decode(listed: messages.ListedMember) -> members.Member:
    """Return the member; raise ValueError if its address is invalid."""
    return members.Member(
        vm=listed.vm,
        zone=listed.zone,
        role=listed.role,
        state=listed.state,
        address=members.Address.parse(listed.address),
        pool=listed.pool,
    )

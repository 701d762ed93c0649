"""I/O for ``gossip``: performs its actions for both logs.

Entries come from peers, from the store and from this process. Each applied
entry or snapshot is passed to ``on_applied``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import json

import eliot

from goldcresthaven import aio
from goldcresthaven import config_log
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import gossip
from goldcresthaven import ids
from goldcresthaven import map_codec
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import replicated_log
from goldcresthaven import routing
from goldcresthaven import shards
from goldcresthaven import snapshots
from goldcresthaven import store_client
from goldcresthaven import tables

PULL_TIMEOUT = timedelta(seconds=1)
# Minimum time between two pulls caused by refused keys, so that a burst of
# refusals does not become a burst of pulls.
REFRESH_INTERVAL = timedelta(milliseconds=100)
# How long a refused request waits for a newer map: a pull from the claim
# holder, which takes a few milliseconds, and then a read of the store.
REFRESH_WAIT = timedelta(milliseconds=200)

Applied = config_log.Entry | shards.MapChange | shards.ShardMap
OnApplied = Callable[[Applied], Awaitable[None]]
ReadMap = Callable[[], Awaitable[None]]


class GossipDriver:
    """Replicates both logs of this process; implements ``dispatch.Views``.

    ``on_applied`` receives each entry once and in order. ``read_map``
    requests a read of the map log from the controller, which schedules
    those reads; its rows are passed to ``map_rows``.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        store: store_client.StoreClient,
        on_applied: OnApplied,
        read_map: ReadMap,
    ) -> None:
        self._node = node
        self._store = store
        self._on_applied = on_applied
        self._read_map = read_map
        self._gossip = gossip.Gossip(
            vm=node.vm, rng=node.rng, now=node.clock.elapsed()
        )
        self._snapshot_sources = {
            name: snapshots.SnapshotSource(name, node.clock)
            for name in messages.LogName
        }
        self._head_checks = 0
        self._next_refresh = timedelta()
        self._newer_map = aio.Event()
        node.on(messages.Changes, self._receive_push)
        node.on(messages.PullChanges, self._answer_pull)
        node.on(messages.SnapshotQuery, self._answer_snapshot_query)

    def ready(self) -> bool:
        """Return whether the local logs are recent enough to be used."""
        return self._gossip.ready(self._node.clock.elapsed())

    def version(self, log: messages.LogName) -> int:
        return self._gossip.version(log)

    def current(self) -> dispatch.View | None:
        return self._node.current()

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        """Wait a short time for a newer map.

        Requests it from the claim holder and, if no newer map arrives, from
        the store, unless this was done within ``REFRESH_INTERVAL``.
        """
        changed = self._newer_map
        now = self._node.clock.elapsed()
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_INTERVAL
            await aio.spawn(self._catch_up(routed))
        try:
            async with aio.timeout(REFRESH_WAIT):
                await changed.wait()
        except errors.DeadlineExceeded:
            return

    async def wake_map_waiters(self) -> None:
        """Wake the requests that wait for a newer map."""
        old, self._newer_map = self._newer_map, aio.Event()
        await old.set()

    def members_changed(self) -> None:
        self._gossip.set_peers(self._node.peers())

    async def tick(self) -> None:
        await self._perform(self._gossip.tick(self._node.clock.elapsed()))

    async def publish_config(self, entry: config_log.Entry) -> None:
        """Publish a configuration that this process has stored."""
        value = config_log.encode(entry)
        await self._publish(
            messages.LogName.CONFIG,
            replicated_log.make_entry(entry.version, entry.txn, value),
        )

    async def publish_change(self, change: shards.MapChange) -> None:
        """Publish a map change that this process has stored."""
        value = map_codec.to_value(change)
        await self._publish(
            messages.LogName.MAP,
            replicated_log.make_entry(change.version, change.txn, value),
        )

    async def map_rows(self, rows: tuple[tables.Row, ...]) -> None:
        """Handle the rows of the map log after this process's version."""
        await self._store_rows(messages.LogName.MAP, rows)

    def read_failed(self, log: messages.LogName) -> None:
        self._gossip.store_failed(log)

    async def versions_received(
        self,
        vm: ids.VmId,
        message: messages.Heartbeat | messages.HeartbeatAck,
    ) -> None:
        """Handle the versions in a peer's heartbeat."""
        versions = {
            messages.LogName.MAP: int(message.map_version),
            messages.LogName.CONFIG: int(message.config_version),
        }
        now = self._node.clock.elapsed()
        await self._perform(self._gossip.versions_received(vm, versions, now))

    # Handlers of peer messages.

    async def _receive_push(
        self, vm: ids.VmId, message: messages.Changes
    ) -> messages.Message | None:
        now = self._node.clock.elapsed()
        await self._perform(
            self._gossip.received(vm, message, now, pulled=False)
        )
        return None

    async def _answer_pull(
        self, vm: ids.VmId, message: messages.PullChanges
    ) -> messages.Message:
        now = self._node.clock.elapsed()
        reply, actions = self._gossip.pull_received(vm, message, now)
        await self._perform(actions)
        return reply

    async def _answer_snapshot_query(
        self, vm: ids.VmId, message: messages.SnapshotQuery
    ) -> messages.Message:
        state = self._node.state
        version: int = state.config_version
        if message.log is messages.LogName.MAP:
            version = state.shard_map.version
        return self._snapshot_sources[message.log].answer(
            message, version, self._snapshot_encoder(message.log)
        )

    def _snapshot_encoder(self, log: messages.LogName) -> Callable[[], bytes]:
        state = self._node.state
        if log is messages.LogName.MAP:
            return lambda: map_codec.to_snapshot(state.shard_map)
        if state.config_entry is None:
            return lambda: b''
        value = config_log.encode(state.config_entry)
        return lambda: json.dumps(value).encode()

    # Actions.

    async def _perform(self, actions: list[gossip.Action]) -> None:
        for action in actions:
            match action:
                case gossip.Apply():
                    await self._apply(action.log, action.entry)
                case gossip.Push():
                    self._node.metrics.count('gossip.pushed')
                    await self._node.send(action.to, action.message)
                case gossip.Pull():
                    self._node.metrics.count('gossip.pulled')
                    await aio.spawn(self._pull(action))
                case gossip.ReadStore():
                    await self._read_store(action)
                case gossip.ConfirmHead():
                    await aio.spawn(self._confirm_head(action))
                case gossip.LoadSnapshot():
                    await aio.spawn(self._load_snapshot(action))
                case gossip.ReportMismatch():
                    self._report_mismatch(action)

    async def _publish(
        self, log: messages.LogName, entry: messages.LogEntry
    ) -> None:
        now = self._node.clock.elapsed()
        await self._perform(self._gossip.published(log, entry, now))

    async def _apply(
        self, log: messages.LogName, entry: messages.LogEntry
    ) -> None:
        try:
            applied = _decode_entry(log, entry)
        except errors.Error as exc:
            # The log has already advanced past this entry. A later
            # configuration replaces it; until then the operator's status
            # shows the older version.
            self._report_problem(f'{log.value} {entry.version}: {exc}')
            return
        await self._on_applied(applied)

    async def _pull(self, action: gossip.Pull) -> None:
        try:
            reply = await self._node.request(
                action.to, action.message, PULL_TIMEOUT
            )
        except errors.Error:
            return
        if isinstance(reply, messages.Changes):
            now = self._node.clock.elapsed()
            await self._perform(
                self._gossip.received(action.to, reply, now, pulled=True)
            )

    async def _catch_up(self, routed: routing.Routed) -> None:
        before = self._node.state.shard_map.version
        holder = self._remote_holder(routed)
        if holder is not None:
            await self._pull(self._gossip.pull_from(holder))
        if self._node.state.shard_map.version == before:
            await self._read_map()

    def _remote_holder(self, routed: routing.Routed) -> ids.VmId | None:
        if routed.owner is None:
            return None
        domain = self._node.domain_of(routed.owner)
        holder = None if domain is None else self._node.holder(domain)
        return None if holder == self._node.vm else holder

    async def _read_store(self, action: gossip.ReadStore) -> None:
        if action.log is messages.LogName.CONFIG:
            await aio.spawn(self._read_config(action))
        elif not self._node.ready:
            await self._read_map()

    async def _read_config(self, action: gossip.ReadStore) -> None:
        try:
            rows = await self._store.rows(
                tables.CONFIG_LOG,
                after=tables.log_key(action.after),
                limit=action.limit,
            )
        except errors.Error:
            self._gossip.store_failed(action.log)
            return
        await self._store_rows(action.log, rows)

    async def _store_rows(
        self, log: messages.LogName, rows: tuple[tables.Row, ...]
    ) -> None:
        now = self._node.clock.elapsed()
        try:
            entries = [_row_to_entry(row) for row in rows]
        except errors.ProtocolError as exc:
            self._gossip.store_failed(log)
            self._report_problem(str(exc))
            return
        await self._perform(self._gossip.store_rows(log, entries, now))
        if log is messages.LogName.MAP and len(rows) >= gossip.STORE_ROWS:
            # The controller reads all pages of the map log, so that this
            # is its end although the result is longer than one page.
            await self._perform(self._gossip.store_rows(log, (), now))

    async def _confirm_head(self, action: gossip.ConfirmHead) -> None:
        self._head_checks += 1
        condition = tables.VersionIs(
            table=action.log.value,
            key=tables.log_key(action.version + 1),
            version=tables.ABSENT,
        )
        node = self._node
        transaction = tables.Transaction(
            txn=ids.TxnId(f'{node.vm}/{node.boot}/head/{self._head_checks}'),
            conditions=(condition,),
            writes=(),
        )
        match await self._store.transact(transaction):
            case tables.Committed():
                self._gossip.head_confirmed(action.log, action.version)
            case tables.Conflict(rows=rows):
                await self._store_rows(action.log, rows)
            case tables.Ambiguous():
                self._gossip.store_failed(action.log)

    async def _load_snapshot(self, action: gossip.LoadSnapshot) -> None:
        transfer = snapshots.SnapshotTransfer(action.log)
        try:
            while not transfer.complete:
                reply = await self._node.request(
                    action.peer, transfer.query(), PULL_TIMEOUT
                )
                if not isinstance(reply, messages.SnapshotReply):
                    return
                transfer.add(reply)
            await self._apply_snapshot(action.log, transfer)
        except errors.Error as exc:
            self._report_problem(f'snapshot from {action.peer}: {exc}')

    async def _apply_snapshot(
        self, log: messages.LogName, transfer: snapshots.SnapshotTransfer
    ) -> None:
        if transfer.version <= self._gossip.version(log):
            return
        if log is messages.LogName.MAP:
            await self._on_applied(map_codec.from_snapshot(transfer.data))
        else:
            value = json.loads(transfer.data)
            await self._on_applied(config_log.decode(value))
        await self._perform(
            self._gossip.snapshot_loaded(log, transfer.version)
        )

    def _report_mismatch(self, action: gossip.ReportMismatch) -> None:
        self._report_problem(
            f'{action.source} has a different {action.log.value} row '
            f'{action.version} than the one applied here'
        )

    def _report_problem(self, detail: str) -> None:
        self._node.timeline.add(events.Kind.NOTE, detail)
        eliot.log_message(message_type='log-entry', detail=detail)


def _decode_entry(log: messages.LogName, entry: messages.LogEntry) -> Applied:
    value = replicated_log.entry_value(entry)
    if log is messages.LogName.MAP:
        return map_codec.from_value(value)
    return config_log.decode(value)


def _row_to_entry(row: tables.Row) -> messages.LogEntry:
    try:
        version = int(row.value['version'])
        txn = ids.TxnId(str(row.value['txn']))
    except (KeyError, TypeError, ValueError) as exc:
        raise errors.ProtocolError(
            f'log row {row.key} is malformed: {exc!r}',
            remedy='repair the row',
        ) from exc
    return replicated_log.make_entry(version, txn, row.value)

"""Carries out the actions of ``ownership.Controller``.

Each action that waits for I/O runs in a separate task, so that one slow
upstream, peer or store call does not delay the others.
"""

from datetime import timedelta
import traceback

import eliot

from goldcresthaven import aio
from goldcresthaven import claims
from goldcresthaven import config_log
from goldcresthaven import control
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import gossip_driver
from goldcresthaven import ids
from goldcresthaven import lease_client
from goldcresthaven import map_codec
from goldcresthaven import messages
from goldcresthaven import milestone_records
from goldcresthaven import node as node_module
from goldcresthaven import shards
from goldcresthaven import store_client
from goldcresthaven import store_reader
from goldcresthaven import tables

# A peer that takes longer is suspected anyway, so a later response would not
# change its state.
HEARTBEAT_TIMEOUT = timedelta(milliseconds=750)
CONSENT_TIMEOUT = timedelta(seconds=1)
RELEASE_TIMEOUT = timedelta(seconds=3)
# Failed reads in a row; a single lost response does not count as an outage.
FAILURES_FOR_DOWN = 2
_MS = timedelta(milliseconds=1)


class ControlDriver:
    """Runs the controller and the gossip of the map and configuration logs.

    ``gossip`` serves ``dispatch.Views`` and also receives the entries that
    this process has stored.

    Example::

        driver = ControlDriver(node=node, store=store)
        await driver.start()
        await driver.release_claims()
    """

    def __init__(
        self, *, node: node_module.Node, store: store_client.StoreClient
    ) -> None:
        self._node = node
        self._store = store
        self._controller = node.controller
        self._leases = lease_client.LeaseClient()
        self._map_reader = store_reader.Reader(self._read_map)
        self._claims_reader = store_reader.Reader(self._read_claims)
        self._early_entries: list[gossip_driver.Applied] = []
        self._released = aio.Event()
        self._store_failures = 0
        self._task: aio.Task | None = None
        self.gossip = gossip_driver.GossipDriver(
            node=node,
            store=store,
            on_applied=self._applied,
            read_map=self._request_map_read,
        )
        node.on(messages.Heartbeat, self._heartbeat)
        node.on(messages.ConsentRequest, self._consent_requested)
        node.on(messages.ClaimReleased, self._release_notified)

    def store_is_up(self) -> bool:
        """Whether fewer than FAILURES_FOR_DOWN reads in a row have failed."""
        return self._store_failures < FAILURES_FOR_DOWN

    async def start(self) -> None:
        self._task = await aio.spawn(self._run())

    async def release_claims(
        self, timeout: timedelta = RELEASE_TIMEOUT
    ) -> None:
        """Release all claims; returns after ``timeout`` at the latest.

        While the store is unreachable a claim cannot be released; it ends
        because it is no longer renewed or extended.
        """
        self._node.stopping = True
        if not self._node.ready:
            return
        try:
            async with aio.timeout(timeout):
                await self.handle_event(control.Stopping())
                await self._released.wait()
        except errors.DeadlineExceeded:
            return

    async def stop(self) -> None:
        if self._task is not None:
            await self._task.cancel()
        await self._leases.close()

    async def handle_event(self, event: control.Event) -> None:
        """Pass an event to the controller and carry out its actions."""
        now = self._node.clock.elapsed()
        await self._perform(self._controller.handle(event, now=now))

    async def members_changed(self) -> None:
        """Process a new membership list in ``node.state``."""
        self.gossip.members_changed()
        if self._node.ready:
            listed = self._node.state.listed
            await self.handle_event(control.MembersRead(members=listed))

    async def _run(self) -> None:
        while True:
            due = self._node.clock.elapsed() + control.TICK_INTERVAL
            try:
                await self._tick()
            except errors.Error as exc:
                self._log_failure(str(exc))
            except Exception:
                # A fault in one event must not stop the renewal of claims
                # and leases that other keys depend on.
                self._log_failure(traceback.format_exc(limit=-3))
            await aio.sleep(due - self._node.clock.elapsed())
            late = self._node.clock.elapsed() - due
            self._node.metrics.timing('loop.lag', max(late, timedelta()))

    async def _tick(self) -> None:
        await self.gossip.tick()
        if not self._node.ready and self.gossip.ready():
            await self._start_controller()
        if self._node.ready:
            await self.handle_event(control.Tick())

    async def _start_controller(self) -> None:
        """Pass on the members and the log entries received so far."""
        self._node.ready = True
        await self.members_changed()
        early, self._early_entries = self._early_entries, []
        for applied in early:
            await self._handle_applied(applied)

    async def _applied(self, applied: gossip_driver.Applied) -> None:
        if isinstance(applied, config_log.Entry):
            self._node.state.offer_config(applied)
            self._node.timeline.add(
                events.Kind.CONFIG_APPLIED, config_version=applied.version
            )
        if self._node.ready:
            await self._handle_applied(applied)
        else:
            self._early_entries.append(applied)

    async def _handle_applied(self, applied: gossip_driver.Applied) -> None:
        match applied:
            case config_log.Entry():
                await self.handle_event(
                    control.ConfigApplied(document=applied.document)
                )
            case shards.MapChange():
                await self.handle_event(control.MapChanges(changes=(applied,)))
            case shards.ShardMap():
                await self.handle_event(control.MapLoaded(shard_map=applied))

    # Actions.

    async def _perform(self, actions: list[control.Action]) -> None:
        await self._offer_map()
        for action in actions:
            await self._perform_one(action)

    async def _offer_map(self) -> None:
        if self._node.state.offer_map(self._controller.shard_map):
            version = self._controller.shard_map.version
            self._node.timeline.add(
                events.Kind.MAP_APPLIED, map_version=version
            )
            await self.gossip.wake_map_waiters()

    async def _perform_one(self, action: control.Action) -> None:
        match action:
            case control.Transact():
                await aio.spawn(self._transact(action.transaction))
            case control.ReadMapLog():
                await self._map_reader.schedule(action)
            case control.ReadClaims():
                await self._claims_reader.schedule(action)
            case control.SendLease():
                await aio.spawn(self._send_lease(action))
            case control.SendHeartbeat():
                await aio.spawn(self._send_heartbeat(action.vm))
            case control.SendConsentRequest():
                await aio.spawn(self._send_consent_request(action))
            case control.MapCommitted():
                milestone_records.record_moves(
                    action.change, timeline=self._node.timeline
                )
                await self.gossip.publish_change(action.change)
            case control.NotifyRelease():
                message = messages.ClaimReleased(domain=action.domain)
                await self._node.send(action.vm, message)
            case control.Milestone():
                self._record(action)
            case control.AllClaimsReleased():
                await self._released.set()

    def _record(self, milestone: control.Milestone) -> None:
        milestone_records.record(
            milestone,
            timeline=self._node.timeline,
            metrics=self._node.metrics,
        )

    async def _transact(self, transaction: tables.Transaction) -> None:
        started = self._node.clock.elapsed()
        result = await self._store.transact(transaction)
        if isinstance(result, tables.Ambiguous):
            self._node.metrics.count('store.failed')
        else:
            took = self._node.clock.elapsed() - started
            self._node.metrics.timing('store.time', took)
        await self.handle_event(
            control.TransactResult(txn=transaction.txn, result=result)
        )

    async def _request_map_read(self) -> None:
        """Request a map log read for the gossip; no claim waits for it."""
        after = self._controller.shard_map.version
        await self._map_reader.schedule(
            control.ReadMapLog(token=0, after=after)
        )

    async def _read_map(self, action: control.ReadMapLog) -> None:
        gossip_version = self.gossip.version(messages.LogName.MAP)
        after = tables.log_key(min(action.after, gossip_version))
        try:
            rows = await store_reader.read_table(
                self._store, tables.MAP_LOG, after=after
            )
            changes = tuple(map_codec.from_value(row.value) for row in rows)
        except errors.Error as exc:
            self.gossip.read_failed(messages.LogName.MAP)
            self._store_failed(exc)
            return
        self._store_responded()
        await self.gossip.map_rows(rows)
        if self._node.ready:
            await self.handle_event(
                control.MapLogRead(token=action.token, changes=changes)
            )

    async def _read_claims(self, action: control.ReadClaims) -> None:
        try:
            rows = await store_reader.read_table(self._store, tables.CLAIMS)
            event = control.ClaimsRead(token=action.token, rows=rows)
            await self.handle_event(event)
        except errors.Error as exc:
            self._store_failed(exc)
            return
        self._store_responded()

    def _store_failed(self, exc: errors.Error) -> None:
        self._node.metrics.count('store.failed')
        self._store_failures += 1
        if self._store_failures == FAILURES_FOR_DOWN:
            self._node.timeline.add(events.Kind.STORE_DOWN, str(exc))

    def _store_responded(self) -> None:
        if self._store_failures >= FAILURES_FOR_DOWN:
            self._node.timeline.add(events.Kind.STORE_BACK)
        self._store_failures = 0

    async def _send_lease(self, action: control.SendLease) -> None:
        member = self._node.state.upstreams.get(action.upstream)
        if member is None:
            return
        try:
            reply = await self._leases.send(member.address, action.request)
        except errors.Error:
            return
        name = 'lease.granted' if reply.accepted else 'lease.refused'
        if action.request.basis_ns is not None:
            self._node.metrics.count(name)
        await self.handle_event(
            control.LeaseReplied(
                upstream=action.upstream, request=action.request, reply=reply
            )
        )

    async def _send_heartbeat(self, vm: ids.VmId) -> None:
        message = messages.Heartbeat(
            stamp=self._node.hybrid_clock.next(),
            map_version=self._node.state.shard_map.version,
            config_version=self._node.state.config_version,
        )
        try:
            reply = await self._node.request(vm, message, HEARTBEAT_TIMEOUT)
        except errors.Error:
            return
        if isinstance(reply, messages.HeartbeatAck):
            self._node.hybrid_clock.receive(reply.stamp)
            await self.gossip.versions_received(vm, reply)
            await self.handle_event(control.HeartbeatAcked(vm=vm))

    async def _send_consent_request(
        self, action: control.SendConsentRequest
    ) -> None:
        message = messages.ConsentRequest(
            domain=action.domain,
            epoch=action.epoch,
            duration_ms=claims.CONSENT_DURATION // _MS,
        )
        try:
            reply = await self._node.request(
                action.vm, message, CONSENT_TIMEOUT
            )
        except errors.Error:
            return
        if isinstance(reply, messages.ConsentReply):
            await self.handle_event(
                control.ConsentReplied(
                    vm=action.vm,
                    domain=action.domain,
                    epoch=action.epoch,
                    nonce=action.nonce,
                    granted=reply.granted,
                )
            )

    # Handlers of peer messages.

    async def _heartbeat(
        self, vm: ids.VmId, message: messages.Heartbeat
    ) -> messages.Message | None:
        stamp = self._node.hybrid_clock.receive(message.stamp)
        await self.gossip.versions_received(vm, message)
        # An acknowledgement keeps lower-ranked candidates from taking over,
        # so a process that takes no claims must refuse.
        if not self._node.ready or self._node.stopping:
            return messages.Refusal(reason='takes no claims')
        return messages.HeartbeatAck(
            stamp=stamp,
            map_version=self._node.state.shard_map.version,
            config_version=self._node.state.config_version,
        )

    async def _consent_requested(
        self, vm: ids.VmId, message: messages.ConsentRequest
    ) -> messages.Message | None:
        if message.duration_ms > claims.CONSENT_DURATION // _MS:
            return messages.Refusal(reason='promise is too long')
        now = self._node.clock.elapsed()
        event = control.ConsentRequested(
            vm=vm, domain=message.domain, epoch=message.epoch, nonce=0
        )
        granted = False
        others: list[control.Action] = []
        for action in self._controller.handle(event, now=now):
            if isinstance(action, control.SendConsentReply):
                granted = action.granted
            else:
                others.append(action)
        await self._perform(others)
        return messages.ConsentReply(
            domain=message.domain, epoch=message.epoch, granted=granted
        )

    async def _release_notified(
        self, vm: ids.VmId, message: messages.ClaimReleased
    ) -> messages.Message | None:
        self._node.stopped_peers.add(vm)
        if self._node.ready:
            await self.handle_event(
                control.ReleaseNotified(vm=vm, domain=message.domain)
            )
        return None

    def _log_failure(self, detail: str) -> None:
        eliot.log_message(message_type='control-failed', detail=detail)

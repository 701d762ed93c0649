"""Sends and receives the datagrams between the processes of a fleet.

Every process reports to the coordinators that the key maps name. A
coordinator sends merged loads, changes of its map, and changed rows of the
tables that it follows to the processes that have reported recently.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from datetime import timedelta
from typing import Protocol

from goldcresthaven import aio
from goldcresthaven import byte_budget
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_codec
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_coordinator
from goldcresthaven import known_state as known_state_module
from goldcresthaven import members
from goldcresthaven import selection
from goldcresthaven import table_relay

REPORT_INTERVAL = table_relay.REPORT_INTERVAL
# A coordinator sends nothing to processes whose last report is this old.
REPORTER_TIMEOUT = timedelta(seconds=2)
# Share of a VM's network link for merged loads; responses need the rest.
LOADS_LINK_SHARE = 0.15
# Larger sets of rows are not relayed but read from the store, because a
# datagram is lost if any one of its fragments is lost.
MAX_ROWS_BYTES = 8 << 10
# Share of a VM's network link for rows that other processes have missed. What
# exceeds it is read from the store.
MISSED_ROWS_LINK_SHARE = 0.15
# Addresses of processes that one report of a coordinator names. With 200
# processes and three reports a second, all are named within 8 s.
PEERS_PER_REPORT = 8
# A process that was not named for this long has left.
PEER_TIMEOUT = timedelta(seconds=30)


class TableFollower(Protocol):
    """Receives the reports and rows that coordinators send about tables."""

    def apply_report(
        self, states: Iterable[table_relay.TableState], now: timedelta
    ) -> Iterable[table_relay.MissedRows]: ...

    def apply_rows(
        self, changes: table_relay.RowChanges, now: timedelta
    ) -> None: ...

    def rows_since(
        self, missed: table_relay.MissedRows
    ) -> table_relay.RowChanges | None: ...


Coordinators = Mapping[ids.PoolName, key_coordinator.KeyCoordinator]


class FleetLink:
    """Exchanges datagrams with the other processes of the fleet.

    ``take_requested_keys`` returns the keys of a pool that were requested
    since the previous call. ``link_bytes_per_s`` is the bandwidth of the
    VM's network link.
    """

    def __init__(
        self,
        *,
        socket: aio.DatagramSocket,
        known_state: known_state_module.KnownState,
        selector: selection.Selector,
        take_requested_keys: Callable[[ids.PoolName], list[int]],
        coordinators: Coordinators,
        link_bytes_per_s: float,
        clock: clock_module.Clock,
    ) -> None:
        self._socket = socket
        self._known_state = known_state
        self._selector = selector
        self._take_requested_keys = take_requested_keys
        self._coordinators = coordinators
        self._loads_rate = LOADS_LINK_SHARE * link_bytes_per_s
        self._missed_rows = byte_budget.ByteBudget(
            rate=MISSED_ROWS_LINK_SHARE * link_bytes_per_s, clock=clock
        )
        self._clock = clock
        self._reporters: dict[members.Address, timedelta] = {}
        self._peers: dict[members.Address, timedelta] = {}
        self._next_peer = 0
        self._loads_credit = 0.0  # bytes
        self._next_loads = 0

    async def start(self, tables: TableFollower) -> None:
        """Start to send and receive; pass reports on tables to ``tables``."""
        await aio.spawn(self._receive(tables))
        await aio.spawn(self._report())

    def is_relay(self) -> bool:
        """Return whether this process relays table changes to the others."""
        return any(c.holds_claim for c in self._coordinators.values())

    def relay_rows(self, changes: table_relay.RowChanges) -> None:
        """Send changed rows to all processes that report to this one."""
        for pool, coordinator in self._coordinators.items():
            if coordinator.fresh_map_version() is None:
                continue
            message = fleet_messages.RelayedRows(pool=pool, changes=changes)
            data = fleet_codec.encode(message)
            if len(data) <= MAX_ROWS_BYTES:
                self._send_all(data)
            return

    def announce(self, change: fleet_messages.Announcement) -> None:
        """Announce a change of the key map, and apply it here as well."""
        if isinstance(change, fleet_messages.CoordinatorChange):
            self._adopt_peers(members.Address.parse(change.address))
        self._send_all(fleet_codec.encode(change))
        self._handle_announcement(change)

    def _adopt_peers(self, own: members.Address) -> None:
        """Treat the processes that predecessors named as reporters."""
        now = self._clock.elapsed()
        for address, named_at in self._peers.items():
            if now - named_at < PEER_TIMEOUT and address != own:
                self._reporters.setdefault(address, now)

    def _handle_announcement(
        self, change: fleet_messages.Announcement
    ) -> None:
        match change:
            case fleet_messages.CoordinatorChange():
                self._known_state.apply_coordinator_change(
                    change, self._clock.elapsed()
                )
            case fleet_messages.MapChange():
                self._known_state.apply_map_change(change)
            case fleet_messages.Moving():
                self._known_state.record_moving(change, self._clock.elapsed())

    def request_step_down(
        self, target: str, request: fleet_messages.StepDown
    ) -> None:
        """Ask a predecessor at an address to step down for its successor."""
        self._send(request, members.Address.parse(target))

    def _send_all(self, data: bytes) -> None:
        for address in self._reporters:
            self._send_data(data, address)

    def _send(
        self, message: fleet_messages.Message, address: members.Address
    ) -> None:
        self._send_data(fleet_codec.encode(message), address)

    def _send_data(self, data: bytes, address: members.Address) -> None:
        if not self._socket.send(data, address.host, address.port):
            decision_log.note('datagram-not-sent', peer=str(address))

    async def _report(self) -> None:
        while True:
            await aio.sleep(REPORT_INTERVAL)
            now = self._clock.elapsed()
            self._report_leaving(now)
            for pool, keys in self._known_state.maps.items():
                requested = self._take_requested_keys(pool)
                coordinator = self._coordinators.get(pool)
                if coordinator is not None and coordinator.holds_claim:
                    coordinator.count(requested, 1.0)
                    self._send_coordinator_report(pool, coordinator, now)
                elif keys.coordinator:
                    address = members.Address.parse(keys.coordinator)
                    self._send(self._own_report(pool, requested, now), address)

    def _report_leaving(self, now: timedelta) -> None:
        """Send newly found leaving upstreams to the coordinators.

        A coordinator sends them to all processes that report to it.
        """
        pools = [p for p, c in self._coordinators.items() if c.holds_claim]
        upstreams = self._known_state.notices.take_unreported(
            now, relaying=bool(pools)
        )
        if not upstreams:
            return
        for pool, keys in self._known_state.maps.items():
            message = fleet_messages.Leaving(pool=pool, upstreams=upstreams)
            if keys.coordinator and pool not in pools:
                address = members.Address.parse(keys.coordinator)
                self._send(message, address)
        if pools:
            message = fleet_messages.Leaving(
                pool=pools[0], upstreams=upstreams
            )
            self._send_all(fleet_codec.encode(message))

    def _own_report(
        self, pool: ids.PoolName, requested: list[int], now: timedelta
    ) -> fleet_messages.Report:
        sample = requested[: fleet_messages.MAX_KEYS]
        return fleet_messages.Report(
            pool=pool,
            keys=sample,
            weight=len(requested) / len(sample) if sample else 1.0,
            # The coordinator has the loads of other processes from these or
            # from itself. Returned loads would count once more, and as
            # younger by the time that the datagrams took.
            loads=self._loads(now, with_shared=False),
        )

    def _send_coordinator_report(
        self,
        pool: ids.PoolName,
        coordinator: key_coordinator.KeyCoordinator,
        now: timedelta,
    ) -> None:
        self._reporters = {
            address: reported_at
            for address, reported_at in self._reporters.items()
            if now - reported_at < REPORTER_TIMEOUT
        }
        version = coordinator.fresh_map_version()
        if version is None:
            # A holder that cannot renew its claim sends no reports, so that
            # the other processes check the claim in the store.
            return
        positions = self._known_state.positions.items()
        states = [position.state(table, now) for table, position in positions]
        report = fleet_messages.CoordinatorReport(
            pool=pool,
            map_version=version,
            loads=(),
            tables=[state for state in states if state is not None],
            processes=len(self._reporters) + 1,
            peers=self._peers_to_name(),
        )
        with_loads = self._send_loads_in_turn(report, now)
        data = fleet_codec.encode(report)
        for address in self._reporters:
            if address not in with_loads:
                self._send_data(data, address)

    def _send_loads_in_turn(
        self, report: fleet_messages.CoordinatorReport, now: timedelta
    ) -> set[members.Address]:
        """Send the report with all loads to some processes; return these.

        All processes get it in turn. If it went to all at once, the burst
        would fill the queue of a small VM's link, which then drops reports
        and announcements.
        """
        addresses = list(self._reporters)
        interval = REPORT_INTERVAL.total_seconds()
        self._loads_credit += self._loads_rate * interval
        data = fleet_codec.encode(
            dataclasses.replace(
                report, loads=self._loads(now, with_shared=True)
            )
        )
        count = min(len(addresses), int(self._loads_credit / len(data)))
        if count == len(addresses):
            self._loads_credit = 0.0
        else:
            self._loads_credit -= count * len(data)
        first = self._next_loads
        chosen = {
            addresses[number % len(addresses)]
            for number in range(first, first + count)
        }
        self._next_loads = first + count
        for address in chosen:
            self._send_data(data, address)
        return chosen

    def _peers_to_name(self) -> list[str]:
        addresses = list(self._reporters)
        if self._next_peer >= len(addresses):
            self._next_peer = 0
        first = self._next_peer
        self._next_peer += PEERS_PER_REPORT
        return [str(a) for a in addresses[first : self._next_peer]]

    def _loads(
        self, now: timedelta, *, with_shared: bool
    ) -> list[fleet_messages.UpstreamLoad]:
        return self._selector.recent_loads(
            self._known_state.registry.all_upstreams(),
            now,
            with_shared=with_shared,
        )

    def _apply_loads(
        self, loads: fleet_messages.Loads, now: timedelta
    ) -> None:
        for load in loads:
            upstream = self._known_state.registry.get(load.upstream_id)
            if upstream is not None:
                self._selector.apply_shared_load(upstream, load, now)

    async def _receive(self, tables: TableFollower) -> None:
        while True:
            data, host, port = await self._socket.receive(
                fleet_codec.MAX_BYTES
            )
            sender = members.Address(host=host, port=port)
            try:
                self._handle(fleet_codec.decode(data), sender, tables)
            except errors.ProtocolError as exc:
                decision_log.note(
                    'datagram-unreadable', peer=str(sender), detail=str(exc)
                )

    def _send_missed_rows(
        self,
        request: fleet_messages.RowsRequest,
        sender: members.Address,
        tables: TableFollower,
    ) -> None:
        """Answer a process that has missed rows; else it reads the store."""
        changes = tables.rows_since(
            table_relay.MissedRows(table=request.table, after=request.after)
        )
        if changes is None:
            return
        data = fleet_codec.encode(
            fleet_messages.RelayedRows(pool=request.pool, changes=changes)
        )
        if len(data) <= MAX_ROWS_BYTES and self._missed_rows.take(len(data)):
            self._send_data(data, sender)

    def _handle(
        self,
        message: fleet_messages.Message,
        sender: members.Address,
        tables: TableFollower,
    ) -> None:
        now = self._clock.elapsed()
        coordinator = self._coordinators.get(message.pool)
        match message:
            case fleet_messages.Report():
                self._reporters[sender] = now
                self._apply_loads(message.loads, now)
                if coordinator is not None:
                    coordinator.count(message.keys, message.weight)
            case fleet_messages.CoordinatorReport():
                self._apply_loads(message.loads, now)
                self._known_state.record_coordinator_report(
                    message.pool, message.map_version, now
                )
                self._known_state.record_fleet_size(message.processes)
                for peer in message.peers:
                    self._peers[members.Address.parse(peer)] = now
                for missed in tables.apply_report(message.tables, now):
                    request = fleet_messages.RowsRequest(
                        pool=message.pool,
                        table=missed.table,
                        after=missed.after,
                    )
                    decision_log.note(
                        'rows-requested',
                        state=missed.table.value,
                        map_version=missed.after,
                        peer=str(sender),
                    )
                    self._send(request, sender)
            case fleet_messages.Leaving():
                self._known_state.notices.record_reports(
                    message.upstreams, now
                )
            case fleet_messages.RelayedRows():
                tables.apply_rows(message.changes, now)
            case fleet_messages.RowsRequest():
                if (
                    coordinator is not None
                    and coordinator.fresh_map_version() is not None
                ):
                    self._send_missed_rows(message, sender, tables)
            case (
                fleet_messages.MapChange()
                | fleet_messages.Moving()
                | fleet_messages.CoordinatorChange()
            ):
                self._handle_announcement(message)
            case fleet_messages.StepDown():
                if coordinator is not None:
                    answer = coordinator.step_down(message)
                    if answer is not None:
                        self._send(answer, sender)
            case fleet_messages.SteppedDown():
                if coordinator is not None:
                    coordinator.predecessor_stepped_down(message)

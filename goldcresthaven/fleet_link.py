"""Sends and receives the datagrams between the processes of a fleet.

Every process reports to the coordinators named by the key maps. The
coordinator answers those that have reported lately with merged loads, with
changes of its map, and with rows of the tables that it follows.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_coordinator
from goldcresthaven import known_state
from goldcresthaven import members
from goldcresthaven import selection
from goldcresthaven import table_relay

REPORT_EVERY = timedelta(milliseconds=300)
# Processes that have been silent this long get nothing from a coordinator.
REPORTER_AGE = timedelta(seconds=2)
# Share of a VM's link that merged loads may take; responses need the rest.
LOADS_LINK_SHARE = 0.15
# More rows at once are left to be read from the store: a datagram of many
# fragments is lost with any of them.
MAX_ROWS_BYTES = 8 << 10


class TableFollower(Protocol):
    """Takes what coordinators tell about the store's tables."""

    def hear(
        self, states: Iterable[table_relay.TableState], now: timedelta
    ) -> None: ...

    def take(
        self, changes: table_relay.RowChanges, now: timedelta
    ) -> None: ...


Coordinators = Mapping[ids.PoolName, key_coordinator.KeyCoordinator]


class FleetLink:
    def __init__(
        self,
        *,
        socket: aio.Datagrams,
        beliefs: known_state.Beliefs,
        selector: selection.Selector,
        take_keys: Callable[[ids.PoolName], list[int]],
        coordinators: Coordinators,
        link_bytes_per_s: float,
        clock: clock_module.Clock,
    ) -> None:
        self._socket = socket
        self._beliefs = beliefs
        self._selector = selector
        self._take_keys = take_keys
        self._coordinators = coordinators
        self._loads_rate = LOADS_LINK_SHARE * link_bytes_per_s
        self._clock = clock
        self._reporters: dict[members.Address, timedelta] = {}
        self._loads_due: dict[ids.PoolName, timedelta] = {}

    async def start(self, tables: TableFollower) -> None:
        """Begin; what coordinators tell about tables goes to ``tables``."""
        await aio.spawn(self._receive(tables))
        await aio.spawn(self._report())

    def is_relay(self) -> bool:
        """Return whether other processes rely on this one for tables."""
        return any(c.holds_claim for c in self._coordinators.values())

    def pass_on(self, changes: table_relay.RowChanges) -> None:
        """Send changed rows to all that report to this process."""
        for pool, coordinator in self._coordinators.items():
            if coordinator.fresh_map_version() is None:
                continue
            message = fleet_messages.PassedOn(pool=pool, changes=changes)
            data = fleet_messages.encode(message)
            if len(data) <= MAX_ROWS_BYTES:
                self._send_all(data)
            return

    def announce(
        self, change: fleet_messages.MapChange | fleet_messages.Moving
    ) -> None:
        """Tell all that report, and this process, about keys that move."""
        self._send_all(fleet_messages.encode(change))
        self._take_announcement(change)

    def _take_announcement(
        self, change: fleet_messages.MapChange | fleet_messages.Moving
    ) -> None:
        match change:
            case fleet_messages.MapChange():
                self._beliefs.apply_map_change(change)
            case fleet_messages.Moving():
                self._beliefs.note_moving(change, self._clock.elapsed())

    def ask_to_stand_down(
        self, target: str, request: fleet_messages.StandDown
    ) -> None:
        """Send a predecessor's address the request of its successor."""
        self._send(request, members.Address.parse(target))

    def _send_all(self, data: bytes) -> None:
        for address in self._reporters:
            self._send_data(data, address)

    def _send(
        self, message: fleet_messages.Message, address: members.Address
    ) -> None:
        self._send_data(fleet_messages.encode(message), address)

    def _send_data(self, data: bytes, address: members.Address) -> None:
        if not self._socket.send(data, address.host, address.port):
            decision_log.note('datagram-not-sent', peer=str(address))

    async def _report(self) -> None:
        while True:
            await aio.sleep(REPORT_EVERY)
            now = self._clock.elapsed()
            for pool, keys in self._beliefs.maps.items():
                seen = self._take_keys(pool)
                coordinator = self._coordinators.get(pool)
                if coordinator is not None and coordinator.holds_claim:
                    coordinator.count(seen, 1.0)
                    self._send_merged(pool, coordinator, now)
                elif keys.coordinator:
                    address = members.Address.parse(keys.coordinator)
                    self._send(self._own_report(pool, seen, now), address)

    def _own_report(
        self, pool: ids.PoolName, seen: list[int], now: timedelta
    ) -> fleet_messages.Report:
        sample = seen[: fleet_messages.MAX_KEYS]
        return fleet_messages.Report(
            pool=pool,
            keys=sample,
            weight=len(seen) / len(sample) if sample else 1.0,
            loads=self._loads(now),
        )

    def _send_merged(
        self,
        pool: ids.PoolName,
        coordinator: key_coordinator.KeyCoordinator,
        now: timedelta,
    ) -> None:
        self._reporters = {
            address: seen
            for address, seen in self._reporters.items()
            if now - seen < REPORTER_AGE
        }
        version = coordinator.fresh_map_version()
        if version is None:
            # A holder in doubt stays silent, so that the others look at
            # the store for a successor.
            return
        due = self._loads_due.get(pool, now) <= now
        positions = self._beliefs.positions.items()
        states = [position.state(table, now) for table, position in positions]
        merged = fleet_messages.Merged(
            pool=pool,
            map_version=version,
            loads=self._loads(now) if due else (),
            tables=[state for state in states if state is not None],
            processes=len(self._reporters) + 1,
        )
        data = fleet_messages.encode(merged)
        if due:
            size = len(data) * len(self._reporters)
            pause = timedelta(seconds=size / self._loads_rate)
            self._loads_due[pool] = now + pause
        self._send_all(data)

    def _loads(self, now: timedelta) -> list[fleet_messages.UpstreamLoad]:
        return self._selector.recent_loads(
            self._beliefs.registry.everything(), now
        )

    def _learn(self, loads: fleet_messages.Loads, now: timedelta) -> None:
        for load in loads:
            upstream = self._beliefs.registry.get(load.upstream_id)
            if upstream is not None:
                self._selector.apply_shared_load(upstream, load, now)

    async def _receive(self, tables: TableFollower) -> None:
        while True:
            data, host, port = await self._socket.receive(
                fleet_messages.MAX_BYTES
            )
            sender = members.Address(host=host, port=port)
            try:
                self._take(fleet_messages.decode(data), sender, tables)
            except errors.ProtocolError as exc:
                decision_log.note(
                    'datagram-unreadable', peer=str(sender), detail=str(exc)
                )

    def _take(
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
                self._learn(message.loads, now)
                if coordinator is not None:
                    coordinator.count(message.keys, message.weight)
            case fleet_messages.Merged():
                self._learn(message.loads, now)
                self._beliefs.hear_coordinator(
                    message.pool, message.map_version, now
                )
                self._beliefs.fleet_size = message.processes
                tables.hear(message.tables, now)
            case fleet_messages.PassedOn():
                tables.take(message.changes, now)
            case fleet_messages.MapChange() | fleet_messages.Moving():
                self._take_announcement(message)
            case fleet_messages.StandDown():
                if coordinator is not None:
                    answer = coordinator.stand_down(message)
                    if answer is not None:
                        self._send(answer, sender)
            case fleet_messages.StoodDown():
                if coordinator is not None:
                    coordinator.predecessor_stood_down(message)

"""Sends and receives load reports between the processes of a fleet.

Every process reports to the coordinators named by the key maps. The
coordinator sends the merged loads back to those that have reported lately.
"""

from collections.abc import Callable
from collections.abc import Mapping
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import follower
from goldcresthaven import ids
from goldcresthaven import key_coordinator
from goldcresthaven import load_reports
from goldcresthaven import members
from goldcresthaven import selection

REPORT_EVERY = timedelta(milliseconds=300)
# Processes that have been silent this long get no merged loads.
REPORTER_AGE = timedelta(seconds=2)

Coordinators = Mapping[ids.PoolName, key_coordinator.KeyCoordinator]


class LoadExchange:
    def __init__(
        self,
        *,
        address: members.Address,
        beliefs: follower.Beliefs,
        selector: selection.Selector,
        take_keys: Callable[[ids.PoolName], list[int]],
        coordinators: Coordinators,
        clock: clock_module.Clock,
    ) -> None:
        self._address = address
        self._socket = aio.Datagrams(host=address.host, port=address.port)
        self._beliefs = beliefs
        self._selector = selector
        self._take_keys = take_keys
        self._coordinators = coordinators
        self._clock = clock
        self._reporters: dict[members.Address, timedelta] = {}

    async def start(self) -> None:
        await aio.spawn(self._receive())
        await aio.spawn(self._report())

    async def _report(self) -> None:
        while True:
            await aio.sleep(REPORT_EVERY)
            now = self._clock.elapsed()
            for pool, keys in self._beliefs.maps.items():
                seen = self._take_keys(pool)
                coordinator = self._coordinators.get(pool)
                if coordinator is not None and coordinator.holds_claim:
                    coordinator.count(seen, 1.0)
                    self._send_merged(pool, now)
                elif keys.coordinator:
                    self._send_report(pool, keys.coordinator, seen, now)

    def _send_report(
        self, pool: ids.PoolName, target: str, seen: list[int], now: timedelta
    ) -> None:
        sample = seen[: load_reports.MAX_KEYS]
        report = load_reports.Report(
            kind=load_reports.Kind.REPORT,
            pool=pool,
            keys=sample,
            weight=len(seen) / len(sample) if sample else 1.0,
            loads=self._loads(now),
        )
        if report.keys or report.loads:
            address = members.Address.parse(target)
            data = load_reports.encode(report)
            self._socket.send(data, address.host, address.port)

    def _send_merged(self, pool: ids.PoolName, now: timedelta) -> None:
        self._reporters = {
            address: seen
            for address, seen in self._reporters.items()
            if now - seen < REPORTER_AGE
        }
        merged = load_reports.Report(
            kind=load_reports.Kind.MERGED,
            pool=pool,
            keys=(),
            weight=1.0,
            loads=self._loads(now),
        )
        data = load_reports.encode(merged)
        for address in self._reporters:
            self._socket.send(data, address.host, address.port)

    def _loads(self, now: timedelta) -> list[load_reports.UpstreamLoad]:
        return self._selector.recent_loads(
            self._beliefs.registry.everything(), now
        )

    async def _receive(self) -> None:
        while True:
            data, host, port = await self._socket.receive(
                load_reports.MAX_BYTES
            )
            try:
                report = load_reports.decode(data)
            except errors.ProtocolError as exc:
                decision_log.note('report-unreadable', detail=str(exc))
                continue
            now = self._clock.elapsed()
            for load in report.loads:
                upstream = self._beliefs.registry.get(load.upstream_id)
                if upstream is not None:
                    self._selector.learn(upstream, load, now)
            if report.kind is load_reports.Kind.MERGED:
                continue
            sender = members.Address(host=host, port=port)
            self._reporters[sender] = now
            coordinator = self._coordinators.get(report.pool)
            if coordinator is not None:
                coordinator.count(report.keys, report.weight)

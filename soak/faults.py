"""Injects a random series of faults, drawn from a seed."""

from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum
import random
import signal
import time
from typing import Any

from goldcresthaven import aio
from soak import fleet
from soak import tcp_relay
from tools import http_client

# Between the starts of two faults. Most faults last longer, so they overlap.
GAP_RANGE_S = (0.3, 2.5)
DURATION_RANGE_S = (0.5, 4.0)
STORE_DELAY_MS = 240
RELAY_DELAY = timedelta(milliseconds=80)
RESTART_S = (0.3, 1.5)
# A restored store was away for a moment, and its copy is some seconds old.
# Lost writes of operators and upstreams are repeated within 2 s.
AWAY_RANGE_S = (0.0, 3.0)
COPY_AGE_RANGE_S = (0.0, 20.0)
REWRITE_RANGE_S = (0.0, 2.0)
# Within this time all upstreams of a pool leave or turn requests away.
TOGETHER_S = 2.0
# Interval at which the exit of a process is checked, and between repeated
# reload signals. The wait for an exit has no limit: a stopping process has to
# end by itself within the grace period.
EXIT_POLL_INTERVAL = timedelta(milliseconds=50)

# Of a series of signals, restarts or changes.
SERIES_GAP_RANGE_S = (0.0, 0.8)
SERIES_COUNTS = (2, 3, 4)

_Fault = Callable[['FaultInjector'], Coroutine[Any, Any, None]]
_SeriesFault = Callable[
    ['FaultInjector', random.Random], Coroutine[Any, Any, None]
]


class Together(Enum):
    """What all upstreams of a pool can do at the same time."""

    DRAIN = 'drain'
    TURN_AWAY = 'turn-away'


@dataclass(frozen=True, kw_only=True)
class GatewayStop:
    """A stop of a gateway by SIGTERM, recorded for the checks.

    ``serving`` says whether the gateway had started to listen. It could not
    work for ``frozen_s`` of the time between ``at`` and ``ended``.
    """

    gateway: str
    serving: bool
    at: float
    ended: float
    code: int | None
    frozen_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """The time in which a process or a network path had a fault.

    A stop that the platform announces by SIGTERM is ``planned``.
    """

    name: str
    start: float
    end: float
    planned: bool = False


@dataclass(kw_only=True)
class FaultInjector:
    """Injects faults into a fleet.

    ``affected`` contains the names of the processes and network paths that
    have a fault now; they get no second one. ``log_entries`` lists the
    faults with their times. ``disturbances`` lists freezes, restarts and
    cuts, for the rules that these excuse. With ``restore_rng``, the store is
    also restored from older copies, and with ``series_rng``, there are also
    series of signals, restarts and changes; these choices come from sources
    of their own, so that a seed has the same other faults without them.
    """

    cluster: fleet.Fleet
    rng: random.Random
    restore_rng: random.Random | None = None
    series_rng: random.Random | None = None
    affected: set[str] = field(default_factory=set)
    stops: list[GatewayStop] = field(default_factory=list)
    log_entries: list[tuple[float, str]] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    routes_swapped: bool = False

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all have ended."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            await aio.sleep(timedelta(seconds=self.rng.uniform(*GAP_RANGE_S)))
            fault = self.rng.choice(FAULTS)
            tasks.append(await aio.spawn(fault(self)))
            rng = self.restore_rng
            if rng is not None and rng.random() < 1 / len(FAULTS):
                tasks.append(await aio.spawn(self.restore_store(rng)))
            rng = self.series_rng
            if rng is not None and rng.random() < len(SERIES) / len(FAULTS):
                series = rng.choice(SERIES)
                tasks.append(await aio.spawn(series(self, rng)))
        for task in tasks:
            await task.join()

    def record(self, text: str) -> None:
        self.log_entries.append((time.monotonic(), text))

    def _record_disturbance(
        self, name: str, start: float, *, planned: bool = False
    ) -> None:
        self.disturbances.append(
            Disturbance(
                name=name, start=start, end=time.monotonic(), planned=planned
            )
        )

    async def wait_duration(self) -> None:
        await aio.sleep(timedelta(seconds=self.rng.uniform(*DURATION_RANGE_S)))

    # The store

    async def store_fault(self) -> None:
        if 'store' in self.affected:
            return
        self.affected.add('store')
        kind: dict[str, Any] = self.rng.choice(
            (
                {'status': 503},
                {'status': 429},
                {'silent': True},
                {'delay_ms': STORE_DELAY_MS},
                {'lose': 5},
                {'late': 5},
                {'forgotten': 1 << 40},
            )
        )
        self.record(f'store {kind}')
        await self._set_store_faults(kind)
        await self.wait_duration()
        await self._set_store_faults({})
        self.record('store recovered')
        self.affected.discard('store')

    async def restore_store(self, rng: random.Random) -> None:
        """Let the store come back from a copy, sometimes twice in a row."""
        if 'store' in self.affected:
            return
        self.affected.add('store')
        for _ in range(rng.choice((1, 1, 2))):
            away = rng.uniform(*AWAY_RANGE_S)
            request = {
                'back_s': rng.uniform(*COPY_AGE_RANGE_S),
                'rewrite_s': rng.uniform(*REWRITE_RANGE_S),
            }
            self.record(f'store away for {away:.1f} s, restore {request}')
            await self._set_store_faults({'silent': True})
            await aio.sleep(timedelta(seconds=away))
            await http_client.post_json(
                self.cluster.store, '/restore', request
            )
            await self._set_store_faults({})
        self.record('store restored')
        self.affected.discard('store')

    async def _set_store_faults(self, kind: dict[str, Any]) -> None:
        await http_client.post_json(self.cluster.store, '/faults', kind)

    async def disturb_store_path(self) -> None:
        gateway = self.rng.choice(self.cluster.gateways)
        await self._disturb_relay(
            gateway.store_relay, f'{gateway.name} to store'
        )

    async def disturb_upstream_path(self) -> None:
        upstream = self.rng.choice(self.cluster.upstreams)
        await self._disturb_relay(upstream.relay, f'path to {upstream.name}')

    async def _disturb_relay(self, target: tcp_relay.Relay, name: str) -> None:
        if name in self.affected:
            return
        self.affected.add(name)
        start = time.monotonic()
        kind = self.rng.choice(
            ('delay', 'reset', 'refuse', 'silent', 'one-way', 'answers')
        )
        self.record(f'{name}: {kind}')
        match kind:
            case 'delay':
                target.faults.delay = RELAY_DELAY
            case 'reset':
                await target.reset_all()
            case 'refuse':
                target.faults.refuse = True
                await target.reset_all()
            case 'silent':
                target.faults.hold_requests = target.faults.hold_replies = True
            case 'one-way':
                target.faults.hold_requests = True
            case 'answers':
                target.faults.hold_replies = True
        await self.wait_duration()
        target.faults = tcp_relay.RelayFaults()
        self.record(f'{name}: recovered')
        self._record_disturbance(name, start)
        self.affected.discard(name)

    # Processes

    async def gateway_signal(self) -> None:
        gateway = self.rng.choice(self.cluster.gateways)
        if gateway.name in self.affected:
            return
        self.affected.add(gateway.name)
        start = time.monotonic()
        kind = self.rng.choice(('pause', 'kill', 'stop', 'reload'))
        self.record(f'{gateway.name}: {kind}')
        proc = gateway.incarnations[-1]
        match kind:
            case 'pause':
                await self._pause(proc)
            case 'kill':
                await self._kill(proc)
                self.cluster.start_gateway(gateway)
            case 'stop':
                await self._stop(gateway, proc)
                self.cluster.start_gateway(gateway)
            case 'reload':
                for _ in range(3):
                    proc.send(signal.SIGHUP)
                    await aio.sleep(EXIT_POLL_INTERVAL)
        if kind != 'reload':
            self._record_disturbance(
                gateway.name, start, planned=kind == 'stop'
            )
        self.affected.discard(gateway.name)

    async def restart_one_in_series(self, rng: random.Random) -> None:
        """Restart one gateway several times, each as soon as it is back.

        Further signals arrive while it starts and while it stops.
        """
        gateway = rng.choice(self.cluster.gateways)
        if gateway.name in self.affected:
            return
        self.affected.add(gateway.name)
        for _ in range(rng.choice(SERIES_COUNTS)):
            await self._signal_in_series(gateway, rng)
            await aio.sleep(_draw_gap(rng))
        self.affected.discard(gateway.name)

    async def restart_all_in_turn(self, rng: random.Random) -> None:
        """Stop and restart all gateways, with overlapping stops."""
        gateways = list(self.cluster.gateways)
        rng.shuffle(gateways)
        tasks = []
        for gateway in gateways:
            if gateway.name not in self.affected:
                self.affected.add(gateway.name)
                tasks.append(
                    await aio.spawn(self._restart_in_turn(gateway, rng))
                )
                await aio.sleep(_draw_gap(rng))
        for task in tasks:
            await task.join()

    async def _restart_in_turn(
        self, gateway: fleet.Gateway, rng: random.Random
    ) -> None:
        await self._signal_in_series(gateway, rng)
        self.affected.discard(gateway.name)

    async def _signal_in_series(
        self, gateway: fleet.Gateway, rng: random.Random
    ) -> None:
        """Send overlapping signals to a gateway, the last to end it.

        After the first SIGTERM, the gateway may be frozen, be signalled
        again or be killed before it has ended.
        """
        proc = gateway.incarnations[-1]
        serving = proc.log.stat().st_size > 0
        kinds = [
            *rng.choices(('reload', 'none'), k=2),
            'stop',
            *rng.choices(('reload', 'stop', 'freeze', 'none'), k=2),
            *rng.choices(('kill', 'none'), (1, 3)),
        ]
        kinds = [kind for kind in kinds if kind != 'none']
        self.record(f'{gateway.name}: {", ".join(kinds)}')
        start, frozen_s = time.monotonic(), 0.0
        stopping_since = start
        for kind in kinds:
            match kind:
                case 'reload' if serving:
                    # The signal ends a process that has no handler yet.
                    proc.send(signal.SIGHUP)
                case 'stop':
                    if not proc.stopped_by_us:
                        stopping_since = time.monotonic()
                    proc.stopped_by_us = True
                    proc.send(signal.SIGTERM)
                case 'freeze':
                    frozen_s += await self._freeze_briefly(proc, rng)
                case 'kill':
                    proc.send(signal.SIGKILL)
            await aio.sleep(_draw_gap(rng))
        await self._wait_exit(proc)
        if 'kill' not in kinds:
            self.stops.append(
                GatewayStop(
                    gateway=gateway.name,
                    serving=serving,
                    at=stopping_since,
                    ended=time.monotonic(),
                    code=proc.popen.returncode,
                    frozen_s=frozen_s,
                )
            )
        self.cluster.start_gateway(gateway)
        self._record_disturbance(
            gateway.name,
            start,
            planned=not {'freeze', 'kill'} & set(kinds),
        )

    async def _freeze_briefly(
        self, proc: fleet.Proc, rng: random.Random
    ) -> float:
        """Freeze a process and return for how many seconds."""
        start = time.monotonic()
        proc.send(signal.SIGSTOP)
        await aio.sleep(_draw_gap(rng))
        proc.send(signal.SIGCONT)
        return time.monotonic() - start

    async def kill_all_gateways(self) -> None:
        """Kill all gateways at the same time, in half of the calls."""
        names = {gateway.name for gateway in self.cluster.gateways}
        if names & self.affected or self.rng.random() < 0.5:
            return
        self.affected |= names
        self.record('all gateways: kill')
        start = time.monotonic()
        for gateway in self.cluster.gateways:
            gateway.incarnations[-1].stopped_by_us = True
            gateway.incarnations[-1].send(signal.SIGKILL)
        await self._restart_pause()
        for gateway in self.cluster.gateways:
            gateway.incarnations[-1].popen.wait()
            self.cluster.start_gateway(gateway)
            self._record_disturbance(gateway.name, start)
        self.affected -= names

    async def upstream_signal(self) -> None:
        upstream = self.rng.choice(self.cluster.upstreams)
        if upstream.name in self.affected:
            return
        kind = self.rng.choice(('pause', 'kill', 'drain', 'turn-away'))
        await self._signal_upstream(upstream, kind)

    async def all_upstreams_of_a_pool(self) -> None:
        """Let all upstreams of a pool leave, or turn requests away.

        Upstreams that have a fault are left out.
        """
        pool = self.rng.choice((fleet.KEYED_POOL, fleet.PLAIN_POOL))
        kind = self.rng.choice(tuple(Together))
        await self.signal_together(pool, kind)

    async def signal_together(self, pool: str, kind: Together) -> None:
        """Signal all upstreams of a pool within ``TOGETHER_S``."""
        self.record(f'all of {pool}: {kind.value}')
        tasks = [
            await aio.spawn(
                self._signal_later(
                    upstream, kind.value, self.rng.uniform(0, TOGETHER_S)
                )
            )
            for upstream in self.cluster.upstreams
            if upstream.pool == pool
        ]
        for task in tasks:
            await task.join()

    async def _signal_later(
        self, upstream: fleet.Upstream, kind: str, delay_s: float
    ) -> None:
        await aio.sleep(timedelta(seconds=delay_s))
        if upstream.name not in self.affected:
            await self._signal_upstream(upstream, kind)

    async def _signal_upstream(
        self, upstream: fleet.Upstream, kind: str
    ) -> None:
        self.affected.add(upstream.name)
        self.record(f'{upstream.name}: {kind}')
        proc = upstream.incarnations[-1]
        start = time.monotonic()
        match kind:
            case 'pause':
                await self._pause(proc)
                self._record_disturbance(upstream.name, start)
            case 'turn-away':
                proc.send(signal.SIGUSR1)
            case 'kill':
                await self._kill(proc)
                await self.cluster.start_upstream(upstream)
                self._record_disturbance(f'end of {upstream.name}', start)
            case 'drain':
                proc.stopped_by_us = True
                proc.send(signal.SIGTERM)
                await self._wait_exit(proc)
                # Its process ends by itself, between two of the checks.
                end = time.monotonic() - EXIT_POLL_INTERVAL.total_seconds()
                self._record_disturbance(f'end of {upstream.name}', end)
                await self.cluster.start_upstream(upstream)
        self.affected.discard(upstream.name)

    async def change_config(self) -> None:
        self.routes_swapped = not self.routes_swapped
        self.record(
            f'new configuration, routes swapped: {self.routes_swapped}'
        )
        await self.cluster.configure(swapped=self.routes_swapped)

    async def change_config_in_series(self, rng: random.Random) -> None:
        """Store several versions of the configuration in a row."""
        for _ in range(rng.choice(SERIES_COUNTS)):
            await self.change_config()
            await aio.sleep(_draw_gap(rng))

    async def _pause(self, proc: fleet.Proc) -> None:
        proc.send(signal.SIGSTOP)
        await self.wait_duration()
        proc.send(signal.SIGCONT)

    async def _kill(self, proc: fleet.Proc) -> None:
        proc.stopped_by_us = True
        proc.send(signal.SIGKILL)
        await self._wait_exit(proc)
        await self._restart_pause()

    async def _stop(self, gateway: fleet.Gateway, proc: fleet.Proc) -> None:
        at = time.monotonic()
        serving = proc.log.stat().st_size > 0
        proc.stopped_by_us = True
        proc.send(signal.SIGTERM)
        await self._wait_exit(proc)
        self.stops.append(
            GatewayStop(
                gateway=gateway.name,
                serving=serving,
                at=at,
                ended=time.monotonic(),
                code=proc.popen.returncode,
            )
        )

    async def _wait_exit(self, proc: fleet.Proc) -> None:
        while proc.popen.poll() is None:
            await aio.sleep(EXIT_POLL_INTERVAL)

    async def _restart_pause(self) -> None:
        await aio.sleep(timedelta(seconds=self.rng.uniform(*RESTART_S)))


def _draw_gap(rng: random.Random) -> timedelta:
    return timedelta(seconds=rng.uniform(*SERIES_GAP_RANGE_S))


SERIES: tuple[_SeriesFault, ...] = (
    FaultInjector.restart_one_in_series,
    FaultInjector.restart_all_in_turn,
    FaultInjector.change_config_in_series,
)
FAULTS: tuple[_Fault, ...] = (
    FaultInjector.store_fault,
    FaultInjector.disturb_store_path,
    FaultInjector.disturb_upstream_path,
    FaultInjector.disturb_upstream_path,
    FaultInjector.gateway_signal,
    FaultInjector.gateway_signal,
    FaultInjector.upstream_signal,
    FaultInjector.upstream_signal,
    FaultInjector.kill_all_gateways,
    FaultInjector.all_upstreams_of_a_pool,
    FaultInjector.change_config,
)

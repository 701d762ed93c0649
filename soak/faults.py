"""A random series of faults, drawn from a seed."""

from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random
import signal
import time
from typing import Any

from goldcresthaven import aio
from soak import fleet
from soak import tcp_relay
from tools import http_client

# Between the starts of two faults; most last longer, so that they overlap.
GAP_S = (0.3, 2.5)
LAST_S = (0.5, 4.0)
SLOW_CALL_MS = 240
DELAY = timedelta(milliseconds=80)
RESTART_S = (0.3, 1.5)
# A stopping process ends by itself within the grace time.
STOP_CHECK = timedelta(milliseconds=50)

_Fault = Callable[['Faults'], Coroutine[Any, Any, None]]


@dataclass(frozen=True, kw_only=True)
class Stop:
    """A planned stop of a gateway, for the checks.

    ``serving`` says that it had started to listen.
    """

    gateway: str
    serving: bool
    at: float
    ended: float
    code: int | None


@dataclass(kw_only=True)
class Faults:
    """Injects faults until ``end``; ``busy`` names what is in trouble."""

    world: fleet.Fleet
    rng: random.Random
    busy: set[str] = field(default_factory=set)
    stops: list[Stop] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    swapped: bool = False

    async def run(self, seconds: float) -> None:
        """Start faults for a while, then wait until all are over."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            await aio.sleep(timedelta(seconds=self.rng.uniform(*GAP_S)))
            fault = self.rng.choice(FAULTS)
            tasks.append(await aio.spawn(fault(self)))
        for task in tasks:
            await task.join()

    def note(self, text: str) -> None:
        self.notes.append((time.monotonic(), text))

    async def last(self) -> None:
        await aio.sleep(timedelta(seconds=self.rng.uniform(*LAST_S)))

    # The store

    async def store_trouble(self) -> None:
        if 'store' in self.busy:
            return
        self.busy.add('store')
        kind: dict[str, Any] = self.rng.choice(
            (
                {'status': 503},
                {'status': 429},
                {'silent': True},
                {'delay_ms': SLOW_CALL_MS},
                {'lose': 5},
                {'late': 5},
                {'forgotten': 1 << 40},
            )
        )
        self.note(f'store {kind}')
        await self._set_store(kind)
        await self.last()
        await self._set_store({})
        self.note('store well')
        self.busy.discard('store')

    async def _set_store(self, kind: dict[str, Any]) -> None:
        await http_client.post_json(self.world.store, '/faults', kind)

    async def store_path(self) -> None:
        gateway = self.rng.choice(self.world.gateways)
        await self._relay(gateway.store, f'{gateway.name} to store')

    async def upstream_path(self) -> None:
        upstream = self.rng.choice(self.world.upstreams)
        await self._relay(upstream.relay, f'path to {upstream.name}')

    async def _relay(self, target: tcp_relay.Relay, name: str) -> None:
        if name in self.busy:
            return
        self.busy.add(name)
        kind = self.rng.choice(
            ('delay', 'reset', 'refuse', 'silent', 'one-way', 'answers')
        )
        self.note(f'{name}: {kind}')
        match kind:
            case 'delay':
                target.trouble.delay = DELAY
            case 'reset':
                await target.reset_all()
            case 'refuse':
                target.trouble.refuse = True
                await target.reset_all()
            case 'silent':
                target.trouble.hold_out = target.trouble.hold_back = True
            case 'one-way':
                target.trouble.hold_out = True
            case 'answers':
                target.trouble.hold_back = True
        await self.last()
        target.trouble = tcp_relay.Trouble()
        self.note(f'{name}: well')
        self.busy.discard(name)

    # Processes

    async def gateway_signal(self) -> None:
        gateway = self.rng.choice(self.world.gateways)
        if gateway.name in self.busy:
            return
        self.busy.add(gateway.name)
        kind = self.rng.choice(('pause', 'kill', 'stop', 'reload'))
        self.note(f'{gateway.name}: {kind}')
        proc = gateway.lives[-1]
        match kind:
            case 'pause':
                await self._pause(proc)
            case 'kill':
                await self._kill(proc)
                self.world.start_gateway(gateway)
            case 'stop':
                await self._stop(gateway, proc)
                self.world.start_gateway(gateway)
            case 'reload':
                for _ in range(3):
                    proc.send(signal.SIGHUP)
                    await aio.sleep(STOP_CHECK)
        self.busy.discard(gateway.name)

    async def every_gateway(self) -> None:
        """Kill all gateways at the same moment."""
        names = {gateway.name for gateway in self.world.gateways}
        if names & self.busy or self.rng.random() < 0.5:
            return
        self.busy |= names
        self.note('all gateways: kill')
        for gateway in self.world.gateways:
            gateway.lives[-1].stopped_by_us = True
            gateway.lives[-1].send(signal.SIGKILL)
        await self._restart_pause()
        for gateway in self.world.gateways:
            gateway.lives[-1].popen.wait()
            self.world.start_gateway(gateway)
        self.busy -= names

    async def upstream_signal(self) -> None:
        upstream = self.rng.choice(self.world.upstreams)
        if upstream.name in self.busy:
            return
        self.busy.add(upstream.name)
        kind = self.rng.choice(('pause', 'kill', 'drain'))
        self.note(f'{upstream.name}: {kind}')
        proc = upstream.lives[-1]
        match kind:
            case 'pause':
                await self._pause(proc)
            case 'kill':
                await self._kill(proc)
                self.world.start_upstream(upstream)
            case 'drain':
                proc.stopped_by_us = True
                proc.send(signal.SIGTERM)
                await self._ended(proc)
                self.world.start_upstream(upstream)
        self.busy.discard(upstream.name)

    async def new_config(self) -> None:
        self.swapped = not self.swapped
        self.note(f'configuration, swapped {self.swapped}')
        await self.world.configure(swapped=self.swapped)

    async def _pause(self, proc: fleet.Proc) -> None:
        proc.send(signal.SIGSTOP)
        await self.last()
        proc.send(signal.SIGCONT)

    async def _kill(self, proc: fleet.Proc) -> None:
        proc.stopped_by_us = True
        proc.send(signal.SIGKILL)
        await self._ended(proc)
        await self._restart_pause()

    async def _stop(self, gateway: fleet.Gateway, proc: fleet.Proc) -> None:
        at = time.monotonic()
        serving = proc.log.stat().st_size > 0
        proc.stopped_by_us = True
        proc.send(signal.SIGTERM)
        await self._ended(proc)
        self.stops.append(
            Stop(
                gateway=gateway.name,
                serving=serving,
                at=at,
                ended=time.monotonic(),
                code=proc.popen.returncode,
            )
        )

    async def _ended(self, proc: fleet.Proc) -> None:
        while proc.popen.poll() is None:
            await aio.sleep(STOP_CHECK)

    async def _restart_pause(self) -> None:
        await aio.sleep(timedelta(seconds=self.rng.uniform(*RESTART_S)))


FAULTS: tuple[_Fault, ...] = (
    Faults.store_trouble,
    Faults.store_path,
    Faults.upstream_path,
    Faults.upstream_path,
    Faults.gateway_signal,
    Faults.gateway_signal,
    Faults.upstream_signal,
    Faults.upstream_signal,
    Faults.every_gateway,
    Faults.new_config,
)

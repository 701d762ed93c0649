"""The processes of one soak run: the store, upstreams and gateways.

Every gateway has its own loopback address. There is a relay in front
of each upstream, and one between each gateway and the store.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import json
import os
import pathlib
import random
import signal
import subprocess  # nosec
import sys
import time
from typing import Any

from goldcresthaven import aio
from goldcresthaven import members
from soak import tcp_relay
from standins import table_store
from tools import http_client
from tools import processes

GATEWAY_COUNT = 4
KEYED_COUNT = 5
PLAIN_COUNT = 3
KEYED_POOL = 'keyed'
PLAIN_POOL = 'plain'
HOST_NAME = 'soak.example'
FRONT_PORT, READY_PORT, PEER_PORT = 7301, 7302, 7303
ZONES = ('a', 'b')
IDLE_TIMEOUT_S = 5
HOLD_MAX_S = 6
GRACE_S = 6
DRAIN_S = 2.0
# An upstream that leaves stays for this long after the drain time, so that it
# sees the requests that come too late.
LINGER_S = 2.5
# An upstream that turns requests away does so for this long. If all upstreams
# of a large pool do so, each gateway sends few requests to each of them, and
# the check needs a longer time to see too many.
PAUSE_S = 3.0
LONG_PAUSE_S = 10.0
# Rates of the clocks that measure grants; the platform allows 2% deviation.
CLOCK_RATES = (1.0, 0.98, 1.01)
MAX_LOG_BYTES = 64 << 20
# Interval at which a starting process is checked.
START_POLL_INTERVAL = timedelta(milliseconds=20)


@dataclass(kw_only=True)
class Proc:
    """A started process.

    ``log`` and ``errors`` are the files with its standard output and error.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: pathlib.Path
    errors: pathlib.Path
    stopped_by_us: bool = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)


@dataclass(kw_only=True)
class Upstream:
    """An upstream, its relay and its processes, the newest last."""

    name: str
    pool: str
    zone: str
    relay: tcp_relay.Relay
    incarnations: list[Proc] = field(default_factory=list)


@dataclass(kw_only=True)
class Gateway:
    """A gateway, its relay to the store and its processes, the newest last."""

    name: str
    host: str
    zone: str
    store_relay: tcp_relay.Relay
    incarnations: list[Proc] = field(default_factory=list)

    @property
    def address(self) -> members.Address:
        return members.Address(host=self.host, port=FRONT_PORT)


class Fleet:
    """Starts, restarts and ends the processes of the soak."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        rng: random.Random,
        plain_count: int = PLAIN_COUNT,
        pause_s: float = PAUSE_S,
    ) -> None:
        self._folder = folder
        self.pause_s = pause_s
        self._plain_count = plain_count
        self.rng = rng
        self._count = 0
        self.config_version = 0
        self.upstreams: list[Upstream] = []
        self.gateways: list[Gateway] = []
        self.started: list[Proc] = []
        # Derived from the process id, so that concurrent soak runs use
        # different loopback addresses.
        number = os.getpid()
        self._net = f'127.{10 + number % 200}.{number // 200 % 250}'

    async def start(self) -> None:
        popen = self._launch('store', 'standins.table_store')
        self.store = await self._read_address(popen)
        await self.configure(swapped=False)
        for number in range(KEYED_COUNT + self._plain_count):
            await self.add_upstream(
                KEYED_POOL if number < KEYED_COUNT else PLAIN_POOL
            )
        for number in range(GATEWAY_COUNT):
            gateway = Gateway(
                name=f'g{number}',
                host=f'{self._net}.{number + 1}',
                zone=ZONES[number % len(ZONES)],
                store_relay=tcp_relay.Relay(
                    host=f'{self._net}.100', target=self.store
                ),
            )
            await gateway.store_relay.start()
            self.gateways.append(gateway)
            self.start_gateway(gateway)

    async def add_upstream(self, pool: str) -> Upstream:
        """Start one more upstream of a pool."""
        number = len(self.upstreams)
        upstream = Upstream(
            name=f'u{number}',
            pool=pool,
            zone=ZONES[number % len(ZONES)],
            relay=tcp_relay.Relay(host=f'{self._net}.100', target=None),
        )
        await upstream.relay.start()
        self.upstreams.append(upstream)
        await self.start_upstream(upstream)
        return upstream

    async def configure(
        self, *, swapped: bool, added: Sequence[str] = ()
    ) -> None:
        """Store the next version of the configuration.

        ``swapped`` moves the route 'pay' from the plain to the keyed pool.
        ``added`` names further routes, which lead to the plain pool.
        """
        self.config_version += self.rng.randint(1, 9)
        urgent = KEYED_POOL if swapped else PLAIN_POOL
        routes = {
            'read': _route('read', KEYED_POOL, 'safe'),
            'book': _route('book', KEYED_POOL, 'unsafe'),
            'pay': _route('pay', urgent, 'unsafe'),
            **{name: _route(name, PLAIN_POOL, 'safe') for name in added},
        }
        document = {
            'version': f'{self.config_version:08x}',
            'routes': routes,
            'services': {
                KEYED_POOL: {'sharded': True, 'max-conns': 200},
                PLAIN_POOL: {'max-conns': 200},
            },
            'limits': {'idle-timeout-s': IDLE_TIMEOUT_S},
        }
        await http_client.post_json(
            self.store,
            '/own',
            {'put': [table_store.make_row('op', 'config', document)]},
        )

    async def start_upstream(
        self, upstream: Upstream, *, drain_s: float = DRAIN_S
    ) -> None:
        """Start a new process of an upstream and point the relay to it.

        Returns when it listens. The callers and relays of this process go on
        meanwhile.
        """
        settings = {
            'name': upstream.name,
            'service': upstream.pool,
            'zone': upstream.zone,
            'host': f'{self._net}.100',
            'port': 0,
            'advertised': str(upstream.relay.address),
            'store': str(self.store),
            'born': int(time.time() * 1000),
            'linger_s': LINGER_S,
            'pause_s': self.pause_s,
            'reports_draining': self.rng.random() < 0.5,
            'clock_rate': self.rng.choice(CLOCK_RATES),
            'sharded': upstream.pool == KEYED_POOL,
            'drain_s': drain_s,
        }
        proc = self._launch(
            upstream.name, 'standins.key_endpoint', json.dumps(settings)
        )
        upstream.incarnations.append(proc)
        upstream.relay.target = await self._read_address(proc)

    def start_gateway(self, gateway: Gateway) -> None:
        file = self._folder / f'{gateway.name}.toml'
        file.write_text(
            f'node = "{gateway.name}"\nzone = "{gateway.zone}"\n'
            f'ip = "{gateway.host}"\ninternal-ports = [{PEER_PORT}]\n'
            f'bounds = ["grace-s={GRACE_S}", "hold-max-s={HOLD_MAX_S}", '
            f'"drain-s={DRAIN_S}", '
            f'"retry-budget-ratio=0.2", "budget-slack=100"]\n'
            f'[listen]\nfront = "{gateway.address}"\n'
            f'ready = "{gateway.host}:{READY_PORT}"\n'
            '[limits]\ncpu-share = 1.0\ncores = 1\nlink-mbps = 700.0\n'
            f'[platform-api]\naddr = "{gateway.store_relay.address}"\n'
        )
        gateway.incarnations.append(
            self._launch(
                gateway.name,
                'goldcresthaven.gateway_process',
                env={'GOLDCRESTHAVEN_SETTINGS': str(file)},
            )
        )

    def kill_all(self) -> None:
        """Kill all processes that this fleet started and wait for them."""
        for proc in self.started:
            if proc.popen.poll() is None:
                proc.popen.kill()
            proc.popen.wait()

    def _launch(
        self, name: str, module: str, *args: str, env: Mapping[str, str] = {}
    ) -> Proc:
        self._count += 1
        stem = self._folder / f'{self._count:03d}-{name}'
        log, errors = stem.with_suffix('.log'), stem.with_suffix('.err')
        with log.open('wb') as out, errors.open('wb') as err:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *args],
                cwd=processes.ROOT,
                env={**os.environ, **env},
                stdout=out,
                stderr=err,
                start_new_session=True,
            )
        proc = Proc(name=name, popen=popen, log=log, errors=errors)
        self.started.append(proc)
        return proc

    async def _read_address(self, proc: Proc) -> members.Address:
        """Return the address in the first line of a stand-in's output."""
        end = time.monotonic() + processes.START_TIMEOUT_S
        while time.monotonic() < end:
            text = proc.log.read_text()
            if '\n' in text:
                first_line = json.loads(text.partition('\n')[0])
                return members.Address.parse(first_line['listen'])
            await aio.sleep(START_POLL_INTERVAL)
        raise processes.StartError(f'{proc.name} did not print its address')


def _route(name: str, pool: str, kind: str) -> dict[str, Any]:
    return {
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'service': pool,
        'route-kind': kind,
        'timeout-s': 1.2,
        'target-latency-s': 0.5,
        'priority': 0 if name == 'pay' else 1,
        'max-attempts': 2,
    }

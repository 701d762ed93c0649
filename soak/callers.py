"""Callers that reuse their connections and record every answer."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random
import secrets
import time

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_head
from soak import fleet
from tools import http_client

HEADER_PREFIX = 'x-goldcresthaven-'
CALLERS = 16
KEYS = tuple(range(0, 65536, 1777))
PAUSE_RANGE_S = (0.02, 0.2)
# The last callers leave their connections idle, up to four fifths of the idle
# timeout, so that these are still open when a stopping gateway closes them.
IDLE_CALLERS = 4
IDLE_RANGE_S = (0.5, 0.8 * fleet.IDLE_TIMEOUT_S)
DEADLINE_MS = 1500
# A caller closes its connection if the answer has not arrived by then.
CALLER_TIMEOUT = timedelta(milliseconds=DEADLINE_MS + 500)
ROUTES = ('read', 'book', 'pay')
# The routes to the pool without keys, while the configuration is the first.
PLAIN_ROUTES = ('pay',)
# Pause after a failed request, also if its connection was only accepted by
# the listen backlog of a paused process.
RECONNECT_PAUSE = timedelta(milliseconds=50)


@dataclass(kw_only=True)
class SentRequest:
    """One request; ``status`` is None if no complete answer arrived.

    ``leaving`` says whether the answer had the mark of an upstream that
    leaves, and ``stamped`` whether it had a server stamp. ``echoed`` is the
    attempt id in the answer, and ``problem`` is the error of a request
    without a complete answer; ``cut_off`` says whether its connection was
    lost. ``at`` and ``ended`` are monotonic times.
    """

    request: str
    route: str
    gateway: str
    at: float
    key: int
    status: int | None = None
    stamped: bool = False
    leaving: bool = False
    echoed: str | None = None
    body: bytes = b''
    retry_after: str | None = None
    problem: str | None = None
    cut_off: bool = False
    ended: float = 0.0


@dataclass(kw_only=True)
class Callers:
    """Send requests to all gateways until ``stopped`` is set.

    Each request takes one of ``routes``, which may change meanwhile.
    """

    gateways: list[fleet.Gateway]
    rng: random.Random
    routes: Sequence[str] = ROUTES
    sent: list[SentRequest] = field(default_factory=list)
    stopped: bool = False

    async def run(self) -> list[aio.Task]:
        return [
            await aio.spawn(self._send_requests(number))
            for number in range(CALLERS)
        ]

    async def _send_requests(self, number: int) -> None:
        # The connection is reused until the gateway closes it or a request
        # on it fails.
        gateway = self.gateways[number % len(self.gateways)]
        caller = http_client.Caller(gateway.address)
        idle = number >= CALLERS - IDLE_CALLERS
        pause_range = IDLE_RANGE_S if idle else PAUSE_RANGE_S
        while not self.stopped:
            await self._send_request(caller, gateway)
            await aio.sleep(timedelta(seconds=self.rng.uniform(*pause_range)))
        await caller.close()

    async def _send_request(
        self, caller: http_client.Caller, gateway: fleet.Gateway
    ) -> None:
        route = self.rng.choice(self.routes)
        sent = SentRequest(
            request=secrets.token_hex(8),
            route=route,
            gateway=gateway.name,
            at=time.monotonic(),
            key=self.rng.choice(KEYS),
        )
        self.sent.append(sent)
        headers: http_head.Headers = (
            (HEADER_PREFIX + 'attempt-id', sent.request),
            (HEADER_PREFIX + 'deadline-ms', str(DEADLINE_MS)),
            (HEADER_PREFIX + 'shard-key', str(sent.key)),
            ('host', fleet.HOST_NAME),
        )
        try:
            response = await caller.fetch(
                'GET' if route == 'read' else 'POST',
                f'/{route}/x',
                headers=headers,
                timeout=CALLER_TIMEOUT,
            )
        except errors.Error as exc:
            sent.problem = str(exc)
            sent.cut_off = isinstance(exc, errors.ConnectionLost)
            sent.ended = time.monotonic()
            await aio.sleep(RECONNECT_PAUSE)
            return
        sent.ended = time.monotonic()
        sent.status = response.status
        sent.body = response.body
        sent.stamped = bool(
            http_head.find(response.headers, HEADER_PREFIX + 'server-stamp')
        )
        sent.leaving = (
            http_head.find(response.headers, 'server-leaving') == '1'
        )
        sent.echoed = http_head.find(
            response.headers, HEADER_PREFIX + 'attempt-id'
        )
        sent.retry_after = http_head.find(response.headers, 'retry-after')

"""Callers that keep their connections and note every answer."""

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
DEADLINE_MS = 1500
# A caller that has no answer by then has given up.
CALLER_TIMEOUT = timedelta(milliseconds=DEADLINE_MS + 500)
ROUTES = ('read', 'book', 'pay')
# Also covers a connection that is opened by a stopped process's backlog.
RECONNECT_PAUSE = timedelta(milliseconds=50)


@dataclass(kw_only=True)
class SentRequest:
    """One request; ``status`` is None without a complete answer."""

    request: str
    route: str
    gateway: str
    at: float
    key: int
    status: int | None = None
    stamped: bool = False
    echoed: str | None = None
    body: bytes = b''
    retry_after: str | None = None
    problem: str | None = None
    ended: float = 0.0


@dataclass(kw_only=True)
class Callers:
    """Ask all gateways until they are told to stop."""

    gateways: list[fleet.Gateway]
    rng: random.Random
    sent: list[SentRequest] = field(default_factory=list)
    stopped: bool = False

    async def run(self) -> list[aio.Task]:
        return [
            await aio.spawn(self._send_requests(number))
            for number in range(CALLERS)
        ]

    async def _send_requests(self, number: int) -> None:
        # Uses its connection until the process is gone.
        gateway = self.gateways[number % len(self.gateways)]
        caller = http_client.Caller(gateway.address)
        while not self.stopped:
            await self._send_request(caller, gateway)
            await aio.sleep(
                timedelta(seconds=self.rng.uniform(*PAUSE_RANGE_S))
            )
        await caller.close()

    async def _send_request(
        self, caller: http_client.Caller, gateway: fleet.Gateway
    ) -> None:
        route = self.rng.choice(ROUTES)
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
            answer = await caller.fetch(
                'GET' if route == 'read' else 'POST',
                f'/{route}/x',
                headers=headers,
                timeout=CALLER_TIMEOUT,
            )
        except errors.Error as exc:
            sent.problem = str(exc)
            sent.ended = time.monotonic()
            await aio.sleep(RECONNECT_PAUSE)
            return
        sent.ended = time.monotonic()
        sent.status = answer.status
        sent.body = answer.body
        sent.stamped = bool(
            http_head.find(answer.headers, HEADER_PREFIX + 'server-stamp')
        )
        sent.echoed = http_head.find(
            answer.headers, HEADER_PREFIX + 'attempt-id'
        )
        sent.retry_after = http_head.find(answer.headers, 'retry-after')

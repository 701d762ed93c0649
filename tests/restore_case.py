"""A fleet of real processes for tests with a store that is restored."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import pathlib
import random
import tempfile
import time
from typing import Any
import unittest
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import errors
from soak import callers
from soak import checks
from soak import fleet
from tools import http_client

TEST_TIMEOUT = timedelta(seconds=60)
POLL_INTERVAL = timedelta(milliseconds=50)
PROBE_TIMEOUT = timedelta(seconds=2)
# The ids of requests that a test sends itself start with this.
PROBE = 'probe'
# A change has to be in force within 2 s after the store accepted it. The rest
# covers delays on a busy machine.
MAX_IN_FORCE_S = 3.0
# Time for the first claim, the first grants and a steady relay of tables.
WARM_UP_S = 4.0


class RestoreCase(unittest.TestCase):
    """Starts three gateways, three keyed and two plain upstreams."""

    def setUp(self) -> None:
        for name, value in (
            ('GATEWAY_COUNT', 3),
            ('KEYED_COUNT', 3),
            ('PLAIN_COUNT', 2),
        ):
            patch = mock.patch.object(fleet, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleet.Fleet(
            folder=pathlib.Path(folder.name), rng=random.Random(1)
        )
        self.addCleanup(self.fleet.kill_all)

    def run_test(self, test: Callable[[], Awaitable[None]]) -> None:
        async def limited() -> None:
            async with aio.timeout(TEST_TIMEOUT):
                await self.fleet.start()
                await self.until(self.all_serve)
                await aio.sleep(timedelta(seconds=WARM_UP_S))
                await test()

        aio.run(limited)

    async def all_serve(self) -> bool:
        for gateway in self.fleet.gateways:
            if await self.status(gateway, 'read') != 200:
                return False
        return True

    async def until(
        self, condition: Callable[[], Awaitable[bool]], limit_s: float = 20.0
    ) -> float:
        """Wait until a condition holds; return how long it took."""
        started = time.monotonic()
        while not await condition():
            took = time.monotonic() - started
            self.assertLess(took, limit_s, 'not reached in time')
            await aio.sleep(POLL_INTERVAL)
        return time.monotonic() - started

    async def status(self, gateway: fleet.Gateway, route: str) -> int | None:
        """Send one request; return its status, None without a response."""
        prefix = callers.HEADER_PREFIX
        try:
            response = await http_client.fetch(
                gateway.address,
                'GET',
                f'/{route}/x',
                headers=(
                    (prefix + 'attempt-id', f'{PROBE}{time.monotonic_ns()}'),
                    (prefix + 'deadline-ms', '1500'),
                    (prefix + 'shard-key', '0'),
                    ('host', fleet.HOST_NAME),
                ),
                timeout=PROBE_TIMEOUT,
            )
        except errors.Error:
            return None
        return response.status

    async def command(self, path: str, document: Any) -> None:
        await http_client.post_json(self.fleet.store, path, document)

    async def leave(self) -> None:
        """Leave all calls to the store without an answer.

        The operator and the upstreams still reach it.
        """
        await self.command('/faults', {'silent': True})

    async def come_back(
        self, *, back_s: float, rewrite_s: float | None = None
    ) -> None:
        """Let the store answer again, with the rows of ``back_s`` ago."""
        await self.command(
            '/restore', {'back_s': back_s, 'rewrite_s': rewrite_s}
        )
        await self.command('/faults', {})

    def events(self) -> checks.Events:
        return checks.read_events(self.fleet.upstreams)


def overlaps(events: checks.Events) -> list[str]:
    """Return the ranges that two upstreams held at the same time."""
    problems = []
    held = sorted(events.held, key=lambda owned: owned.start)
    for number, left in enumerate(held):
        for right in held[number + 1 :]:
            if right.start >= left.until:
                continue
            first = max(left.first, right.first)
            last = min(left.last, right.last)
            overlap = min(left.until, right.until) - right.start
            if left.holder != right.holder and first <= last and overlap > 0:
                problems.append(
                    f'{first}-{last}: {left.holder} with fence {left.fence} '
                    f'and {right.holder} with {right.fence} for '
                    f'{overlap:.3f} s'
                )
    return problems

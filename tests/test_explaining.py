"""Tests that the cause of a failed request can be found in the log.

They cause failures of each kind and follow the steps of docs/OPERATIONS.md
in the log lines of the gateway.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import re
from typing import Any
import unittest

from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import routes
from goldcresthaven import telemetry
from tests import fake_platform
from tests import test_gateway

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
KEY = 'X-Goldcresthaven-Shard-Key: 77\r\n'
Line = dict[str, Any]


class ExplainingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[Line] = []
        writer = telemetry.LogWriter(
            sink=self._keep, time=clock.SystemClock(), rate=1000.0
        )
        writer.install()
        self.addCleanup(writer.remove)

    def _keep(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True

    def run_requests(self, test: Callable[[], Awaitable[None]]) -> None:
        aio.run(test)

    def of_request(self, kind: str) -> Line:
        """Return the only line of this type for request r1."""
        found = [
            line
            for line in self.lines
            if line.get('request') == 'r1' and line['message_type'] == kind
        ]
        self.assertEqual(len(found), 1, self.lines)
        return found[0]

    def test_refused_without_an_owner(self) -> None:
        """Guards against a refusal without its inputs in the log."""

        async def main() -> None:
            router = test_gateway.Router(pool=fake_platform.POOL)
            await router.start(test_gateway.Upstream())
            router.assign('somebody-else', 5)
            await router.ask(extra=KEY)

        self.run_requests(main)
        line = self.of_request('request-refused')
        self.assertEqual(line['outcome'], 'no-owner')
        self.assertEqual(line['map_version'], 5)
        self.assertEqual(line['key_hash'], 77)
        self.assertEqual(line['pool'], fake_platform.POOL)

    def test_unknown_after_a_lost_connection(self) -> None:
        """Guards against an unknown outcome without an attempt in the log."""

        async def main() -> None:
            router = test_gateway.Router(kind=routes.RouteKind.UNSAFE)
            await router.start(
                test_gateway.Upstream(test_gateway.reset_connection)
            )
            await router.ask(method='POST')

        self.run_requests(main)
        line = self.of_request('request-unknown')
        self.assertEqual(line['outcome'], 'connection-lost')
        attempt = self.of_request('attempt-failed')
        self.assertEqual(attempt['upstream'], line['upstream'])
        self.assertGreater(attempt['bytes'], 0)

    def test_refused_because_the_upstream_is_cut_off(self) -> None:
        """Guards against logging an unreachable upstream as overload."""

        async def main() -> None:
            router = test_gateway.Router()
            upstream = test_gateway.Upstream()
            await router.start(upstream)
            await upstream.stop()
            await router.ask()

        self.run_requests(main)
        attempt = self.of_request('attempt-failed')
        self.assertEqual(attempt['reason'], 'connect')
        self.assertEqual(attempt['bytes'], 0)
        line = self.of_request('request-refused')
        self.assertIn(line['outcome'], ('connect-failed', 'no-upstream'))

    def test_documented_log_types_exist(self) -> None:
        """Guards against log types in the page that do not exist."""
        kinds = set(
            re.findall(r'"message_type": "([a-z-]+)"', PAGE.read_text())
        )
        self.assertGreater(len(kinds), 5)
        package = PAGE.parent.parent / 'goldcresthaven'
        code = ''.join(file.read_text() for file in package.glob('*.py'))
        for kind in sorted(kinds):
            with self.subTest(kind=kind):
                self.assertIn(f"'{kind}'", code)


if __name__ == '__main__':
    unittest.main()

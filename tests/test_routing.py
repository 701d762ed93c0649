"""Tests of routing a request to its owner."""

from datetime import timedelta
import unittest

from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import routing
from tools import entry_harness

VIEW = entry_harness.make_view({'keyed-a': members.Address(host='h', port=1)})
NOW = timedelta(seconds=100)


def route_request(
    target: str, deadline_ms: str | None = None
) -> routing.Routed | outcomes.NotRun:
    return routing.route(
        routing.RequestInfo(
            method='GET',
            target=target,
            deadline_ms=deadline_ms,
            idempotency_key='k',
        ),
        request_id=ids.RequestId('r'),
        document=VIEW.document,
        shard_map=VIEW.shard_map,
        arrived=NOW,
    )


class RoutingTest(unittest.TestCase):
    def test_encodings_of_a_key_have_one_owner(self) -> None:
        """Guards against two owners of a key that is encoded in two ways."""
        found = set()
        for target in ('/keyed/oak', '/keyed/%6Fak', '/keyed/oak/x?a=b'):
            routed = route_request(target)
            assert isinstance(routed, routing.Routed)
            found.add((routed.key, routed.key_hash, routed.owner))
        self.assertEqual(1, len(found))

    def test_shorter_deadline_applies(self) -> None:
        """Guards against callers that extend the preset's deadline."""
        cases = ((None, 2000), ('5', 5), ('999999999999', 2000), ('0', 0))
        for text, expected in cases:
            routed = route_request('/free/x', text)
            assert isinstance(routed, routing.Routed)
            left = routed.deadline - NOW
            self.assertEqual(timedelta(milliseconds=expected), left)

    def test_invalid_deadlines_and_paths_are_refused(self) -> None:
        """Guards against requests that an upstream interprets differently."""
        cases = (
            ('/free/x', '-1'),
            ('/free/x', '1.5'),
            ('/free/x', '\u0661'),
            ('/free/x', ''),
            ('/keyed/../pay/x', None),
            ('/keyed/a%2f..%2fb', None),
            ('/keyed/..%5cb', None),
            ('http://other/free/x', None),
        )
        for target, deadline in cases:
            with self.subTest(target=target, deadline=deadline):
                result = route_request(target, deadline)
                assert isinstance(result, outcomes.NotRun)
                self.assertEqual(400, result.status)

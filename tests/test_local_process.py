"""Tests of the status that a process reports to its operator."""

from datetime import timedelta
import unittest
from unittest import mock

from goldcresthaven import clock
from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import local_process
from goldcresthaven import members
from goldcresthaven import operator_views as views
from goldcresthaven import store_client
from tests import test_config
from tools import entry_harness

DEAD = members.Address(host=entry_harness.HOST, port=1)


class ConfigStoreTest(unittest.TestCase):
    def test_unreachable_store_has_stored_nothing(self) -> None:
        """Guards against a "still unknown" result of a change never sent."""
        proposal = config_log.propose(
            None,
            config_changes.ReplaceDocument(document=test_config.DOCUMENT),
            author='mira',
            txn=ids.TxnId('t'),
        )

        async def main() -> None:
            store = store_client.StoreClient(
                address=DEAD, clock=clock.SystemClock()
            )
            short = timedelta(milliseconds=100)
            with mock.patch.object(local_process, 'STORE_TIMEOUT', short):
                outcome = await config_log.submit(
                    proposal, local_process.ConfigStore(store)
                )
            self.assertIsInstance(outcome, config_log.NotAccepted)
            await store.close()

        entry_harness.run(main)


class UpstreamStateTest(unittest.TestCase):
    def test_worst_state_is_shown(self) -> None:
        """Guards against an upstream shown as up while it gets no requests."""
        rows = (
            ('live', False, False, 'up'),
            ('live', True, False, 'draining'),
            ('leaving', False, False, 'draining'),
            ('leaving', True, True, 'lost'),
        )
        for state, drained, lost, expected in rows:
            with self.subTest(state=state, drained=drained, lost=lost):
                found = self.upstream(state, drained=drained, lost=lost)
                self.assertEqual(found.state, expected)
                self.assertEqual(found.reason == '', expected == 'up')

    def test_failing_upstream_is_shown(self) -> None:
        """Guards against a status that hides an open circuit breaker."""
        found = self.upstream(
            'live',
            drained=False,
            lost=False,
            condition=health.Condition.OPEN,
        )
        self.assertEqual(found.state, 'open')
        self.assertNotEqual(found.reason, '')

    def upstream(
        self,
        state: str,
        *,
        drained: bool,
        lost: bool,
        condition: health.Condition = health.Condition.UP,
    ) -> views.Upstream:
        name = ids.UpstreamId('u')
        member = members.Member(
            vm=ids.VmId('u'),
            zone=ids.ZoneId('a'),
            role=members.Role.UPSTREAM,
            state=members.MemberState(state),
            address=DEAD,
            pool=ids.PoolName('free'),
        )
        node = mock.Mock()
        node.domain_of.return_value = None
        node.state.upstreams = {name: member}
        node.controller.lost_upstreams.return_value = (
            frozenset({name}) if lost else frozenset()
        )
        view = mock.Mock()
        view.document.drained = (name,) if drained else ()
        view.document.pools = ()
        node.current.return_value = view
        node.controller.claim_states.return_value = ()
        request_stats = mock.Mock()
        request_stats.in_use.return_value = 0
        request_stats.queues.return_value = ()
        request_stats.condition.return_value = condition
        conns = mock.Mock()
        conns.open_count.return_value = 0
        process = local_process.LocalProcess(
            node=node,
            request_stats=request_stats,
            conns=conns,
            history=mock.Mock(),
            queries=mock.Mock(),
            store=mock.Mock(),
            publish=mock.Mock(),
            is_ready=lambda: True,
            store_is_up=lambda: True,
        )
        return process.local().upstreams[0]

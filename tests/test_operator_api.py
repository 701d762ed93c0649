"""Tests of the operator endpoints without sockets."""

import json
from typing import Any
import unittest

from goldcresthaven import config_changes
from goldcresthaven import ids
from goldcresthaven import operator_api
from goldcresthaven import operator_views as views
from tests import fake_process
from tests import memory_store
from tests import test_config

SWITCH = {'kind': 'switch-preset', 'preset': 'peak'}


def post(
    process: fake_process.FakeProcess,
    path: str,
    body: Any,
    authorization: str = fake_process.AUTHORIZATION,
) -> operator_api.Response:
    return send(process, 'POST', path, json.dumps(body), authorization)


def send(
    process: fake_process.FakeProcess,
    method: str,
    target: str,
    body: str = '',
    authorization: str = '',
) -> operator_api.Response:
    api = operator_api.OperatorApi(
        process=process, verifier=fake_process.FakeAuth()
    )
    path, _, query = target.partition('?')
    call = api.handle(
        method=method,
        path=path,
        query=query,
        body=body.encode(),
        authorization=authorization,
    )
    return memory_store.drive(call)


class OperatorApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.process = fake_process.FakeProcess(test_config.DOCUMENT)

    def test_refused_calls(self) -> None:
        """Guards against an invalid call that is accepted."""
        changes = '/v1/config/changes'
        signed = fake_process.AUTHORIZATION
        long = ' ' * (operator_api.MAX_BODY_BYTES + 1)
        rows = (
            ('GET', '/v1/nothing', '', '', 404, 'same release'),
            ('DELETE', '/v1/status', '', '', 405, 'use GET'),
            ('GET', changes, '', '', 405, 'use POST'),
            ('GET', '/v1/explain/key', '', '', 400, 'add key=...'),
            ('GET', '/v1/explain/key?key=a&key=b', '', '', 400, 'once'),
            ('GET', '/v1/explain/key?key=a&pool=x', '', '', 422, 'catalogue'),
            ('GET', '/v1/explain/key?key', '', '', 400, 'name=value'),
            ('GET', '/v1/timeline?limit=0', '', '', 400, '1 or more'),
            ('GET', '/v1/timeline?after=now', '', '', 400, 'a time such'),
            ('GET', '/v1/timeline?who=x', '', '', 400, 'remove it'),
            ('POST', changes, '{}', '', 401, '--keys-file'),
            ('POST', '/v1/drain', '{"upstream":"a"}', 'x', 401, 'keys'),
            ('POST', changes, '{}', signed, 400, 'add it'),
            ('POST', changes, '[', signed, 400, ''),
            ('POST', changes, long, signed, 400, 'split'),
            ('POST', changes, '{"change":{}}', signed, 422, ''),
            ('POST', '/v1/drain', '{"upstream":""}', signed, 400, ''),
        )
        before = self.process.entry
        for method, target, body, auth, status, remedy in rows:
            with self.subTest(method=method, target=target, body=body[:20]):
                response = send(self.process, method, target, body, auth)
                self.assertEqual(response.status, status)
                refusal = views.decode(views.Refusal, response.body)
                self.assertIn(remedy, refusal.remedy)
        self.assertEqual(self.process.entry, before)
        self.assertEqual(self.process.store.rows, {})

    def test_change_states(self) -> None:
        """Guards against a wrong state in the response to a change."""
        rows: tuple[tuple[str, dict[str, Any], int, str], ...] = (
            ('', {'dry_run': True}, 200, 'dry-run'),
            ('', {}, 200, 'accepted'),
            ('', {'expected': 1}, 200, 'accepted'),
            ('', {'expected': 0}, 409, 'conflict'),
            ('', {'expected': 2}, 503, 'not-accepted'),
            ('cc', {}, 503, 'not-accepted'),
            ('dd', {}, 504, 'still-unknown'),
            ('l.', {}, 200, 'accepted'),
        )
        for script, extra, status, state in rows:
            with self.subTest(script=script, extra=extra):
                process = fake_process.FakeProcess(test_config.DOCUMENT)
                process.store = memory_store.MemoryStore(script)
                body = {'change': SWITCH, **extra}
                response = post(process, '/v1/config/changes', body)
                self.assertEqual(response.status, status)
                result = views.decode(views.ChangeResult, response.body)
                self.assertEqual(result.state.value, state)
                self.assertTrue(result.advice)
                stored = len(process.store.rows)
                self.assertEqual(stored, 1 if state == 'accepted' else 0)

    def test_conflict_shows_the_other_change(self) -> None:
        """Guards against overwriting another operator's change unnoticed."""
        other = config_changes.Drain(upstream=ids.UpstreamId('u9'))
        self.process.submit_as_other_operator(other)
        response = post(self.process, '/v1/config/changes', {'change': SWITCH})
        result = views.decode(views.ChangeResult, response.body)
        self.assertEqual(result.state, views.ChangeState.CONFLICT)
        self.assertEqual(result.other_author, 'tarmo')
        self.assertEqual(result.other_change, 'drain u9')

    def test_drain_and_undrain(self) -> None:
        """Guards against an undrain that leaves the upstream drained."""
        for path, drained in (('/v1/drain', ('u1',)), ('/v1/undrain', ())):
            response = post(self.process, path, {'upstream': 'u1'})
            self.assertEqual(response.status, 200)
            assert self.process.entry is not None
            self.assertEqual(self.process.entry.document.drained, drained)
            self.assertEqual(self.process.entry.author, 'mira')

    def test_mistakes_are_detected(self) -> None:
        """Guards against confirming a running zone as lost, and typos."""
        lost = 'confirm-lost-zone'
        rows = (
            ({'kind': lost, 'zone': 'zone-a'}, 422, 'switch off every VM'),
            ({'kind': lost, 'zone': 'zone-b'}, 422, 'switch off every VM'),
            ({'kind': lost, 'zone': 'zone-c'}, 200, '"warning":""'),
            ({'kind': lost, 'zone': 'zone-d'}, 200, 'check the name'),
            ({'kind': 'drain', 'upstream': 'catalogue-1'}, 200,
             '"warning":""'),
            ({'kind': 'drain', 'upstream': 'catalog-1'}, 200,
             'check the name'),
        )  # fmt: skip
        for change, status, text in rows:
            with self.subTest(change=change):
                body = {'change': change, 'dry_run': True}
                response = post(self.process, '/v1/config/changes', body)
                self.assertEqual(response.status, status)
                self.assertIn(text, response.body.decode())

    def test_readiness(self) -> None:
        """Guards against callers being sent to a process that is not ready."""
        for ready, status in ((True, 200), (False, 503)):
            self.process.ready = ready
            self.assertEqual(
                send(self.process, 'GET', '/ready').status, status
            )
            self.assertEqual(send(self.process, 'GET', '/health').status, 200)

    def test_status_marks_peers(self) -> None:
        """Guards against a status without its stale and unreachable peers."""
        response = send(self.process, 'GET', '/v1/status')
        status = views.decode(views.Status, response.body)
        self.assertEqual(status.behind, ('entry-b1',))
        self.assertEqual(status.unreachable, ('entry-c1',))

    def test_key_is_explained(self) -> None:
        """Guards against a refused key that is reported as served."""
        rows = (
            ('up', 'entry-a1', True, 'owns the shard'),
            ('slow-start', 'entry-a1', True, 'slow-start'),
            ('lost', 'entry-a1', False, 'is lost'),
            ('up', None, False, 'nobody'),
        )
        for state, holder, served, text in rows:
            with self.subTest(state=state, holder=holder):
                self.process.owner_state = state
                self.process.holder = ids.VmId(holder) if holder else None
                target = '/v1/explain/key?key=oak%20net'
                response = send(self.process, 'GET', target)
                found = views.decode(views.KeyExplanation, response.body)
                self.assertEqual(found.served, served)
                self.assertEqual(found.key, 'oak net')
                self.assertIn(text, found.explanation)

    def test_request_is_explained(self) -> None:
        """Guards against reporting a request without a record as not run."""
        rows = (
            ('r1', 200, 'may have been executed'),
            ('r2', 404, 'no process that responded remembers'),
        )
        for request, status, text in rows:
            target = f'/v1/explain/request?request={request}'
            response = send(self.process, 'GET', target)
            self.assertEqual(response.status, status)
            found = views.decode(views.RequestExplanation, response.body)
            self.assertIn(text, found.explanation)
            self.assertEqual(found.unreachable, ('entry-c1',))

    def test_timeline_filters_reach_the_process(self) -> None:
        """Guards against a filter that is not passed on to the process."""
        target = (
            '/v1/timeline?request=r1&process=entry-a1&limit=9'
            '&key_hash=00ff&after=2026-01-01T00:00:00Z'
        )
        response = send(self.process, 'GET', target)
        self.assertEqual(response.status, 200)
        expected = views.TimelineQuery(
            request=ids.RequestId('r1'),
            process=ids.VmId('entry-a1'),
            limit=9,
            key_hash='00ff',
            after=fake_process.START,
        )
        self.assertEqual(self.process.queries, [expected])

    def test_process_without_configuration(self) -> None:
        """Guards against a crash before the first configuration."""
        process = fake_process.FakeProcess(None)
        self.assertEqual(send(process, 'GET', '/v1/config').status, 503)
        self.assertEqual(send(process, 'GET', '/v1/status').status, 200)
        response = post(process, '/v1/drain', {'upstream': 'u1'})
        self.assertEqual(response.status, 422)

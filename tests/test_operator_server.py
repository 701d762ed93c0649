"""Tests of the operator endpoints over real sockets, and of signatures."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
import json
from typing import Any
import unittest
from unittest import mock

from goldcresthaven import aio
from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import config_changes
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import operator_api
from goldcresthaven import operator_auth
from goldcresthaven import operator_server
from tests import fake_process
from tests import test_config
from tools import entry_harness
from tools import http_client

VM = ids.VmId('entry-a1')
PATH = '/v1/config/changes'
SECOND = timedelta(seconds=1)


def ring(*names: str) -> auth.KeyRing:
    return auth.KeyRing(
        keys=tuple(auth.Key(key_id=n, secret=n.encode() * 32) for n in names)
    )


def change_body() -> bytes:
    change = config_changes.SwitchPreset(preset=ids.PresetName('peak'))
    value = {'change': config_changes.encode(change), 'expected': 1}
    return json.dumps(value).encode()


class SignatureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.verifier = operator_auth.OperatorVerifier(
            auth.Verifier(ring('new', 'old'), target=VM, time=self.clock)
        )

    def sign(self, **changes: Any) -> str:
        keys = changes.pop('keys', ring('new'))
        time = changes.pop('time', self.clock)
        signer = operator_auth.OperatorSigner(keys, author='mira', time=time)
        call = {'vm': VM, 'method': 'POST', 'target': PATH, 'body': b'{}'}
        return signer.sign(**{**call, **changes})

    def verify(self, signature: str) -> str:
        return self.verifier.verify(
            method='POST', target=PATH, body=b'{}', authorization=signature
        )

    def test_accepted_with_both_keys_of_a_rotation(self) -> None:
        """Guards against refusing valid signatures during a key rotation."""
        for key in ('new', 'old'):
            signature = self.sign(keys=ring(key))
            self.assertEqual(self.verify(signature), 'mira')

    def test_invalid_signatures_are_refused(self) -> None:
        """Guards against forged, altered, redirected and outdated changes."""
        late = clock.ManualClock()
        late.advance(timedelta(seconds=31))
        early = clock.ManualClock(start=clock.DEFAULT_START - SECOND)
        rows: tuple[tuple[str, str], ...] = (
            ('not signed', ''),
            ('holds no valid credential', 'Basic bWlyYQ=='),
            ('holds no valid credential', 'goldcresthaven-hmac-sha256 xx'),
            ('wrong MAC', self.sign(keys=auth.KeyRing(
                keys=(auth.Key(key_id='new', secret=b'x' * 32),)))),
            ('is not accepted', self.sign(keys=ring('lost'))),
            ('wrong MAC', self.sign(body=b'{"dry_run": true}')),
            ('wrong MAC', self.sign(target='/v1/drain')),
            ('wrong MAC', self.sign(method='PUT')),
            ('is for', self.sign(vm=ids.VmId('entry-b1'))),
            ('-31.0 s old', self.sign(time=late)),
            ('before this process started', self.sign(time=early)),
        )  # fmt: skip
        for problem, signature in rows:
            with self.subTest(problem=problem):
                with self.assertRaisesRegex(errors.AuthError, problem):
                    self.verify(signature)

    def test_replay_and_age(self) -> None:
        """Guards against replaying a recorded change."""
        signature = self.sign()
        self.verify(signature)
        with self.assertRaisesRegex(errors.AuthError, 'used before'):
            self.verify(signature)
        signature = self.sign()
        self.clock.advance(timedelta(seconds=31))
        with self.assertRaisesRegex(errors.AuthError, 'synchronise'):
            self.verify(signature)

    def test_peer_credential_is_no_signature(self) -> None:
        """Guards against accepting a peer credential for a change."""
        credential = auth.create(
            ring('new'),
            purpose=auth.Purpose.PEER,
            actor='entry-b1',
            target=VM,
            now=self.clock.now(),
            nonce=bytes(auth.NONCE_BYTES),
            body=auth.request_body('POST', PATH, b'{}'),
        )
        with self.assertRaisesRegex(errors.AuthError, 'wrong MAC'):
            self.verify(auth.to_header(credential))

    def test_author_is_bounded(self) -> None:
        """Guards against signing with a name that no process accepts."""
        for author in ('', 'm' * 129):
            with self.assertRaisesRegex(errors.SettingsError, '--author'):
                operator_auth.OperatorSigner(
                    ring('new'), author=author, time=self.clock
                )


class ServerTest(unittest.TestCase):
    def serve(
        self, test: Callable[[members.Address], Awaitable[None]]
    ) -> None:
        self.process = fake_process.FakeProcess(test_config.DOCUMENT)
        system = clock.SystemClock()
        verifier = auth.Verifier(ring('new'), target=VM, time=system)
        api = operator_api.OperatorApi(
            process=self.process,
            verifier=operator_auth.OperatorVerifier(verifier),
        )
        self.server = operator_server.OperatorServer(api=api, clock=system)

        async def main() -> None:
            listener = aio.Listener(
                host='127.0.0.1', port=0, handler=self.server.serve
            )
            await listener.start()
            await test(members.Address(host='127.0.0.1', port=listener.port))
            await listener.stop()
            self.server.close_when_idle()
            await listener.wait_closed()

        entry_harness.run(main)

    def test_health_readiness_and_reads(self) -> None:
        """Guards against health checks and reads that fail over HTTP."""

        async def test(address: members.Address) -> None:
            caller = http_client.Caller(address)
            rows = (
                ('/health', 200, 'alive', True),
                ('/ready', 200, 'ready', True),
                ('/v1/explain/key?key=a%20b', 200, 'key', 'a b'),
                ('/v1/nothing', 404, 'problem', mock.ANY),
                ('/v1/explain/key', 400, 'problem', mock.ANY),
            )
            for target, status, field, value in rows:
                response = await caller.fetch('GET', target)
                self.assertEqual((target, response.status), (target, status))
                self.assertEqual(response.json()[field], value)
            self.process.ready = False
            response = await caller.fetch('GET', '/ready')
            self.assertEqual(response.status, 503)
            await caller.close()

        self.serve(test)

    def test_only_signed_changes(self) -> None:
        """Guards against unsigned and replayed changes over HTTP."""
        body = change_body()

        async def test(address: members.Address) -> None:
            signer = operator_auth.OperatorSigner(
                ring('new'), author='mira', time=clock.SystemClock()
            )
            signature = signer.sign(
                vm=VM, method='POST', target=PATH, body=body
            )
            rows = (('', 401), (signature, 200), (signature, 401))
            for value, status in rows:
                headers = (('authorization', value),) if value else ()
                response = await http_client.fetch(
                    address, 'POST', PATH, headers=headers, body=body
                )
                self.assertEqual(response.status, status)
            assert self.process.entry is not None
            self.assertEqual(self.process.entry.version, 2)
            self.assertEqual(self.process.entry.author, 'mira')

        self.serve(test)

    def test_bodies_are_bounded(self) -> None:
        """Guards against a call that exhausts the memory of the process."""

        async def test(address: members.Address) -> None:
            body = bytes(operator_api.MAX_BODY_BYTES + 1)
            response = await http_client.fetch(
                address, 'POST', PATH, body=body
            )
            self.assertEqual(response.status, 413)

        self.serve(test)

    def test_slow_calls_end(self) -> None:
        """Guards against connections held open by a sender that is idle.

        When a call takes too long, the connection is closed without a
        response, because a response to a change would state whether it was
        stored.
        """
        short = timedelta(milliseconds=50)

        async def hang(*args: Any, **kwargs: Any) -> None:
            await aio.sleep(timedelta(seconds=30))

        async def test(address: members.Address) -> None:
            rows = (
                ('IDLE_TIMEOUT', b''),
                ('BODY_TIMEOUT', b'POST /v1/drain HTTP/1.1\r\nHost: a\r\n'
                 b'Content-Length: 9\r\n\r\n{'),
                ('CALL_TIMEOUT', b'GET /v1/status HTTP/1.1\r\nHost: a\r\n'
                 b'\r\n'),
            )  # fmt: skip
            for name, sent in rows:
                with (
                    self.subTest(name),
                    mock.patch.object(operator_server, name, short),
                    mock.patch.object(
                        operator_server, 'IDLE_CHECK_INTERVAL', short
                    ),
                    mock.patch.object(self.process, 'peers', hang),
                ):
                    sock = await aio.connect(address.host, address.port)
                    if sent:
                        await sock.sendall(sent)
                    async with aio.timeout(timedelta(seconds=5)):
                        self.assertEqual(await sock.recv(1), b'')
                    await sock.close()

        self.serve(test)

    def test_health_checks_beyond_connection_limit(self) -> None:
        """Guards against a VM replaced while operators hold connections.

        The load balancer must still get responses to its checks.
        """

        async def test(address: members.Address) -> None:
            held = [
                await aio.connect(address.host, address.port)
                for _ in range(operator_server.MAX_CONNECTIONS)
            ]
            await aio.sleep(timedelta(milliseconds=50))
            rows = (('/health', 200), ('/ready', 200), ('/v1/status', 503))
            for target, status in rows:
                response = await http_client.fetch(address, 'GET', target)
                self.assertEqual((target, response.status), (target, status))
            for sock in held:
                await sock.close()

        self.serve(test)

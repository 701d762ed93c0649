"""Tests of the authentication of peers and operators."""

import base64
import dataclasses
from datetime import timedelta
from typing import Any
import unittest

from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import errors

SECOND = timedelta(seconds=1)


def ring(*names: str) -> auth.KeyRing:
    return auth.KeyRing(
        keys=tuple(auth.Key(key_id=n, secret=n.encode() * 32) for n in names)
    )


def keys_text(*names: str) -> str:
    lines = ['keys:']
    for name in names:
        secret = base64.b64encode(name.encode() * 32).decode()
        lines += [f'  - id: {name}', f'    secret: {secret}']
    return '\n'.join(lines)


class AuthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.verifier = auth.Verifier(
            ring('new', 'old'), target='vm-b', time=self.clock
        )
        self.created_count = 0

    def create(self, **changes: Any) -> Any:
        self.created_count += 1
        args: dict[str, Any] = {
            'ring': ring('new'),
            'purpose': auth.Purpose.PEER,
            'actor': 'vm-a',
            'target': 'vm-b',
            'now': self.clock.now(),
            'nonce': self.created_count.to_bytes(auth.NONCE_BYTES, 'big'),
            'challenge': b'c',
            'body': b'body',
        }
        args |= changes
        return auth.create(args.pop('ring'), **args)

    def verify(self, credential: Any) -> str:
        return self.verifier.verify(
            credential,
            purpose=auth.Purpose.PEER,
            challenge=b'c',
            body=b'body',
        )

    def test_both_keys_of_a_rotation(self) -> None:
        """Guards against refused connections during a key rotation."""
        for name in ('new', 'old'):
            self.assertEqual(self.verify(self.create(ring=ring(name))), 'vm-a')
        self.verifier.set_keys(ring('newer', 'new'))
        with self.assertRaises(errors.AuthError):
            self.verify(self.create(ring=ring('old')))

    def test_invalid_credentials_are_refused(self) -> None:
        """Guards against misdirected, mistimed or altered credentials."""
        other_secret = auth.KeyRing(
            keys=(auth.Key(key_id='new', secret=b'x' * 32),)
        )
        good = self.create()
        beyond_window = timedelta(seconds=31)
        cases = {
            'unknown key id': self.create(ring=ring('other')),
            'wrong secret': self.create(ring=other_secret),
            'other target': self.create(target='vm-c'),
            'other purpose': self.create(purpose=auth.Purpose.OPERATOR),
            'other challenge': self.create(challenge=b'd'),
            'other body': self.create(body=b'BODY'),
            'before start': self.create(now=self.clock.now() - SECOND),
            'far ahead': self.create(now=self.clock.now() + beyond_window),
            'short nonce': self.create(nonce=b''),
            'other actor': dataclasses.replace(good, actor='vm-x'),
            'other nonce': dataclasses.replace(good, nonce=bytes(16)),
            'moved boundary': dataclasses.replace(
                good, actor='vm-av', target='m-b'
            ),
        }
        for name, credential in cases.items():
            with self.subTest(name), self.assertRaises(errors.AuthError):
                self.verify(credential)
        self.verify(good)

    def test_replayed_credential_is_refused(self) -> None:
        """Guards against a recorded credential that is accepted again."""
        credential = self.create(now=self.clock.now() + 20 * SECOND)
        self.verify(credential)
        for _ in range(70):
            with self.assertRaises(errors.AuthError):
                self.verify(credential)
            self.clock.advance(SECOND)

    def test_replay_after_restart(self) -> None:
        """Guards against a replay to a process that lost its nonces."""
        credential = self.create()
        self.verify(credential)
        self.clock.advance(SECOND)
        self.verifier = auth.Verifier(
            ring('new'), target='vm-b', time=self.clock
        )
        with self.assertRaises(errors.AuthError):
            self.verify(credential)

    def test_nonces_are_bounded(self) -> None:
        """Guards against memory that grows with each connection."""
        for _ in range(auth.MAX_NONCES):
            self.verify(self.create())
        with self.assertRaises(errors.AuthError):
            self.verify(self.create())
        self.clock.advance(2 * auth.REPLAY_WINDOW)
        self.assertEqual(self.verify(self.create()), 'vm-a')

    def test_header_round_trip(self) -> None:
        """Guards against a header credential that fits another request."""
        body = auth.request_body('POST', '/v1/preset', b'{}')
        credential = self.create(purpose=auth.Purpose.OPERATOR, body=body)
        received = auth.from_header(auth.to_header(credential))
        self.assertEqual(received, credential)
        other = auth.request_body('POST', '/v1/drain', b'{}')
        for content, accepted in ((other, False), (body, True)):
            try:
                self.verifier.verify(
                    received,
                    purpose=auth.Purpose.OPERATOR,
                    challenge=b'c',
                    body=content,
                )
            except errors.AuthError:
                self.assertFalse(accepted)
            else:
                self.assertTrue(accepted)
        for text in ('', 'Basic eDp5', 'goldcresthaven-hmac-sha256 !'):
            with self.subTest(text), self.assertRaises(errors.AuthError):
                auth.from_header(text)

    def test_keys_file(self) -> None:
        """Guards against a bad keys file and secrets in error messages."""
        parsed = auth.parse_keys(keys_text('a', 'b'))
        self.assertEqual(parsed, ring('a', 'b'))
        self.assertNotIn('secret', repr(parsed))
        secret = base64.b64encode(b'topsecret').decode()
        cases = [
            '',
            'keys: []',
            keys_text('a', 'b', 'c'),
            keys_text('a', 'a'),
            f'keys: [{{id: a, secret: {secret}}}]',
            f'keys: [{{id: a, secret: "!{secret}"}}]',
            f'keys: [{{id: a, secret: {secret}, x: 1}}]',
            f'keys: [{{id: a, secret: {secret}',
        ]
        for text in cases:
            with self.subTest(text):
                with self.assertRaises(errors.SettingsError) as caught:
                    auth.parse_keys(text)
                self.assertNotIn(secret, str(caught.exception))

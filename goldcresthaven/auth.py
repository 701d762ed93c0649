"""HMAC-SHA256 authentication of peers and operators.

A credential contains its key id, actor, target, time and nonce. Its MAC
also covers its purpose and the signed content. Because of the target, a
recorded credential cannot be replayed to another process. A credential is
accepted once, and only if it was created after the verifier started:
nonces are kept in memory, so that older ones are unknown after a restart.

The keys file is YAML; the first key signs and both are accepted::

    keys:
      - id: "2026-12"
        secret: base64 of at least 32 bytes
      - id: "2026-06"
        secret: ...
"""

import base64
import binascii
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from datetime import timedelta
from enum import Enum
import hashlib
import hmac
from typing import Any

import yaml

from goldcresthaven import clock
from goldcresthaven import codec
from goldcresthaven import errors
from goldcresthaven import messages

MIN_SECRET_BYTES = 32
MAX_KEYS = 2
NONCE_BYTES = 16
# Tolerated difference between the wall clocks of VMs; also limits how long
# nonces are kept.
REPLAY_WINDOW = timedelta(seconds=30)
# A nonce is kept for twice the window, so this allows 270 credentials a
# second.
MAX_NONCES = 16_384
_MS = timedelta(milliseconds=1)
_UNIX = datetime.fromisoformat('1970-01-01T00:00:00+00:00')
_SCHEME = 'goldcresthaven-hmac-sha256'


class Purpose(Enum):
    """What a credential is for; it is not valid for another purpose."""

    PEER = 'peer'
    OPERATOR = 'operator'


@dataclass(frozen=True, kw_only=True, slots=True)
class Key:
    """A shared key; ``repr``, and so the logs, do not show its secret."""

    key_id: str
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyRing:
    """The accepted keys; the first one signs."""

    keys: tuple[Key, ...]

    def find(self, key_id: str) -> Key | None:
        return next((k for k in self.keys if k.key_id == key_id), None)


def parse_keys(text: str, *, source: str = 'keys_file') -> KeyRing:
    """Return the keys in the text of a keys file.

    Raises SettingsError; its message never contains a secret.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError:
        # The parser's message quotes the line, which may contain a secret.
        raise _keys_error(source, 'is not valid YAML') from None
    if not isinstance(document, dict) or set(document) != {'keys'}:
        raise _keys_error(source, 'must contain "keys" and nothing else')
    items = document['keys']
    if not isinstance(items, list) or not 1 <= len(items) <= MAX_KEYS:
        raise _keys_error(source, f'must list 1 to {MAX_KEYS} keys')
    keys = tuple(_parse_key(item, i, source) for i, item in enumerate(items))
    if len({k.key_id for k in keys}) != len(keys):
        raise _keys_error(source, 'lists two keys with the same id')
    return KeyRing(keys=keys)


def _parse_key(item: Any, index: int, source: str) -> Key:
    where = f'keys[{index}]'
    if not isinstance(item, dict) or set(item) != {'id', 'secret'}:
        raise _keys_error(source, f'{where} must have "id" and "secret"')
    key_id, secret = item['id'], item['secret']
    if not isinstance(key_id, str) or not 1 <= len(key_id) <= 32:
        raise _keys_error(source, f'{where}.id must be 1 to 32 characters')
    if not key_id.isascii() or not key_id.isprintable() or ' ' in key_id:
        raise _keys_error(source, f'{where}.id must be printable ASCII')
    try:
        raw = base64.b64decode(str(secret), validate=True)
    except (binascii.Error, ValueError):
        raise _keys_error(source, f'{where}.secret is not base64') from None
    if len(raw) < MIN_SECRET_BYTES:
        raise _keys_error(
            source, f'{where}.secret has fewer than {MIN_SECRET_BYTES} bytes'
        )
    return Key(key_id=key_id, secret=raw)


def _keys_error(source: str, problem: str) -> errors.SettingsError:
    return errors.SettingsError(
        f'{source} {problem}',
        remedy='write it as the doc comment of goldcresthaven.auth shows',
    )


def _mac(
    key: Key, purpose: Purpose, credential: messages.Credential, body: bytes
) -> bytes:
    parts = (
        _SCHEME.encode(),
        purpose.value.encode(),
        credential.key_id.encode(),
        credential.actor.encode(),
        credential.target.encode(),
        str(credential.time_ms).encode(),
        credential.nonce,
        credential.challenge,
        hashlib.sha256(body).digest(),
    )
    # Length prefixes: two different lists must not give the same text.
    text = b''.join(len(p).to_bytes(4, 'big') + p for p in parts)
    return hmac.digest(key.secret, text, 'sha256')


def create(
    ring: KeyRing,
    *,
    purpose: Purpose,
    actor: str,
    target: str,
    now: datetime,
    nonce: bytes,
    challenge: bytes = b'',
    body: bytes = b'',
) -> messages.Credential:
    """Return a credential signed with the first key of the ring.

    ``nonce`` is NONCE_BYTES random bytes that were never used before.
    """
    key = ring.keys[0]
    unsigned = messages.Credential(
        key_id=key.key_id,
        actor=actor,
        target=target,
        time_ms=(now - _UNIX) // _MS,
        nonce=nonce,
        mac=b'',
        challenge=challenge,
    )
    return messages.Credential(
        key_id=key.key_id,
        actor=actor,
        target=target,
        time_ms=unsigned.time_ms,
        nonce=nonce,
        mac=_mac(key, purpose, unsigned, body),
        challenge=challenge,
    )


class Verifier:
    """Verifies credentials that are addressed to one process.

    ``set_keys`` replaces the keys during a rotation.
    """

    def __init__(
        self, ring: KeyRing, *, target: str, time: clock.Clock
    ) -> None:
        self._ring = ring
        self._target = target
        self._clock = time
        self._started = time.now()
        self._nonce_expiry: OrderedDict[bytes, timedelta] = OrderedDict()

    @property
    def ring(self) -> KeyRing:
        return self._ring

    def set_keys(self, ring: KeyRing) -> None:
        self._ring = ring

    def verify(
        self,
        credential: messages.Credential,
        *,
        purpose: Purpose,
        challenge: bytes = b'',
        body: bytes = b'',
    ) -> str:
        """Return the actor of a valid credential.

        Raises AuthError otherwise. The caller logs its message and must not
        send it to the other side.
        """
        key = self._ring.find(credential.key_id)
        if key is None:
            raise _auth_error(
                f'key id {credential.key_id!r} is not accepted',
                'install the current keys_file on both sides',
            )
        expected = _mac(key, purpose, credential, body)
        if not hmac.compare_digest(expected, credential.mac):
            raise _auth_error(
                f'wrong MAC for key id {credential.key_id!r}',
                'install the same keys_file on both sides',
            )
        if credential.target != self._target:
            raise _auth_error(
                f'credential is for {credential.target!r}, this is '
                f'{self._target!r}',
                'wait until the membership list is up to date',
            )
        if not hmac.compare_digest(credential.challenge, challenge):
            raise _auth_error(
                'credential was created for another challenge',
                'connect again',
            )
        self._check_time(credential)
        self._check_nonce(credential.nonce)
        return credential.actor

    def _check_time(self, credential: messages.Credential) -> None:
        created = timedelta(milliseconds=credential.time_ms)
        skew = (self._clock.now() - _UNIX) - created
        if abs(skew) > REPLAY_WINDOW:
            raise _auth_error(
                f'credential is {skew.total_seconds():.1f} s old',
                'synchronise the clocks of both VMs',
            )
        if created < (self._started - _UNIX) // _MS * _MS:
            raise _auth_error(
                'credential was created before this process started',
                'connect again',
            )

    def _check_nonce(self, nonce: bytes) -> None:
        now = self._clock.elapsed()
        while self._nonce_expiry:
            oldest = next(iter(self._nonce_expiry))
            if self._nonce_expiry[oldest] > now:
                break
            del self._nonce_expiry[oldest]
        if len(nonce) != NONCE_BYTES:
            raise _auth_error('nonce has the wrong size', 'connect again')
        if nonce in self._nonce_expiry:
            raise _auth_error('credential was used before', 'connect again')
        if len(self._nonce_expiry) >= MAX_NONCES:
            raise _auth_error(
                f'more than {MAX_NONCES} credentials within '
                f'{2 * REPLAY_WINDOW}',
                'find the peer or operator that connects too often',
            )
        # If the sender's clock is ahead by the whole window, its credential
        # is valid for twice the window.
        self._nonce_expiry[nonce] = now + 2 * REPLAY_WINDOW


def _auth_error(problem: str, remedy: str) -> errors.AuthError:
    return errors.AuthError(problem, remedy=remedy)


def request_body(method: str, path: str, content: bytes) -> bytes:
    """Return the content of an HTTP request that a credential signs."""
    return codec.dumps([method, path, content])


def to_header(credential: messages.Credential) -> str:
    """Return the value of the ``Authorization`` header of a request."""
    data = codec.dumps(codec.dump(credential))
    return f'{_SCHEME} {base64.b64encode(data).decode()}'


def from_header(text: str) -> messages.Credential:
    """Return the credential in an ``Authorization`` header.

    Raises AuthError.
    """
    scheme, _, encoded = text.partition(' ')
    try:
        if scheme != _SCHEME:
            raise ValueError(scheme)
        data = base64.b64decode(encoded, validate=True)
        value = codec.loads(data, max_size=messages.MAX_HELLO_BYTES)
        return codec.load(messages.Credential, value)
    except (binascii.Error, ValueError, errors.ProtocolError) as exc:
        raise _auth_error(
            'the Authorization header holds no valid credential',
            'use the goldcresthaven command of the same release',
        ) from exc

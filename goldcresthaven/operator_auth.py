"""Signatures of the operator's changes, in the Authorization header.

The command line signs a change with the shared keys. The signature names
the VM that the change is sent to, and only that VM accepts it. It covers
the name of the operator but does not prove it, because all operators share
the keys.
"""

from collections.abc import Callable
import pathlib
import secrets

from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import settings_files

MAX_AUTHOR_BYTES = 128


def _random_nonce() -> bytes:
    return secrets.token_bytes(auth.NONCE_BYTES)


class OperatorSigner:
    """Signs the operator's calls; implements ``operator_api.Signer``."""

    def __init__(
        self,
        ring: auth.KeyRing,
        *,
        author: str,
        time: clock.Clock,
        nonce: Callable[[], bytes] = _random_nonce,
    ) -> None:
        if not 1 <= len(author.encode()) <= MAX_AUTHOR_BYTES:
            raise errors.SettingsError(
                f'the author name must have 1 to {MAX_AUTHOR_BYTES} bytes',
                remedy='give a name of that length with --author',
            )
        self._ring = ring
        self._author = author
        self._clock = time
        self._nonce = nonce

    def sign(
        self, *, vm: ids.VmId, method: str, target: str, body: bytes
    ) -> str:
        credential = auth.create(
            self._ring,
            purpose=auth.Purpose.OPERATOR,
            actor=self._author,
            target=vm,
            now=self._clock.now(),
            nonce=self._nonce(),
            body=auth.request_body(method, target, body),
        )
        return auth.to_header(credential)


class OperatorVerifier:
    """Authenticates changes; implements ``operator_api.Verifier``.

    ``verifier`` also checks the credentials of peers. Each credential is
    bound to a purpose, so a peer's credential is refused here.
    """

    def __init__(self, verifier: auth.Verifier) -> None:
        self._verifier = verifier

    def verify(
        self, *, method: str, target: str, body: bytes, authorization: str
    ) -> str:
        if not authorization:
            raise errors.AuthError(
                'the change is not signed',
                remedy='name the file with the shared keys with --keys-file',
            )
        return self._verifier.verify(
            auth.from_header(authorization),
            purpose=auth.Purpose.OPERATOR,
            body=auth.request_body(method, target, body),
        )


def load_signer(keys_file: pathlib.Path, author: str) -> OperatorSigner:
    """Return a signer for the operator named ``author``.

    Raises SettingsError when the keys cannot be read.
    """
    text = settings_files.read_text(keys_file)
    ring = auth.parse_keys(text, source=str(keys_file))
    return OperatorSigner(ring, author=author, time=clock.SystemClock())

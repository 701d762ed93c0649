"""What the headers of a request and of a response say, decoded.

``Headers`` is implemented by ``platform``; the request path knows no
header of the platform by name.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from goldcresthaven import http_head
from goldcresthaven import ids


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerMeta:
    """A caller's headers.

    ``remaining`` is how long the caller will wait; ``key`` is the number
    that a keyed pool is divided by.
    """

    request_id: ids.RequestId
    remaining: timedelta | None
    key: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Requests that an upstream works on and keeps waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamMeta:
    """An upstream's headers.

    ``signed`` says that the response bears the upstream's signature;
    ``not_run`` is its proof that the request was not executed.
    """

    request_id: ids.RequestId | None
    signed: bool
    not_run: bool
    load: Load | None


class Headers(Protocol):
    """Decodes and encodes headers."""

    def from_caller(self, headers: http_head.Headers) -> CallerMeta:
        """Decode a caller's headers."""

    def to_upstream(
        self,
        headers: http_head.Headers,
        *,
        remaining: timedelta,
        upstream: ids.UpstreamId,
    ) -> http_head.Headers:
        """Return the caller's headers with those that an upstream needs."""

    def from_upstream(self, head: http_head.ResponseHead) -> UpstreamMeta:
        """Decode an upstream's response head."""

    def for_local_response(
        self, request_id: ids.RequestId
    ) -> http_head.Headers:
        """Return the headers of a response that the router made itself."""

    def is_ready_probe(self, target: str) -> bool:
        """Return whether a request asks whether this process is ready."""

"""Decoded metadata from the headers of requests and responses.

``Headers`` is implemented in ``platform``, so that the request path does not
depend on the names of the platform's headers.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from goldcresthaven import http_head
from goldcresthaven import ids


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerMeta:
    """Metadata of a request.

    ``remaining`` is how long the caller will wait. ``key`` is the key hash
    that determines the owner in a keyed pool.
    """

    request_id: ids.RequestId
    remaining: timedelta | None
    key: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Running and queued requests of an upstream, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamMeta:
    """Metadata of a response.

    ``signed`` says that the response carries the upstream's signature, and
    ``not_run`` that it proves that the request was not executed. With
    ``leaving``, the upstream announces that it is about to end. ``pause`` is
    how long it wants no requests from this process.
    """

    request_id: ids.RequestId | None
    signed: bool
    not_run: bool
    load: Load | None
    leaving: bool = False
    pause: timedelta | None = None


class Headers(Protocol):
    """Decodes and encodes the metadata in headers."""

    def from_caller(self, headers: http_head.Headers) -> CallerMeta:
        """Decode the headers of a caller's request."""

    def to_upstream(
        self,
        headers: http_head.Headers,
        *,
        remaining: timedelta,
        upstream: ids.UpstreamId,
    ) -> http_head.Headers:
        """Return the caller's headers plus those that an upstream needs."""

    def from_upstream(self, head: http_head.ResponseHead) -> UpstreamMeta:
        """Decode the head of an upstream's response."""

    def for_local_response(
        self, request_id: ids.RequestId
    ) -> http_head.Headers:
        """Return the headers of a response that the router generates."""

    def is_ready_probe(self, target: str) -> bool:
        """Return whether a request is a readiness probe."""

"""The three results of a request, each with its reason.

``Done`` is a complete upstream response. ``NotRun`` is a proof that the
request was not executed, so that it may be sent again. ``Unknown`` means
that it was sent and there is no proof either way. The results are values,
not exceptions: each is an ordinary end of a request.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Rank(Enum):
    """Priority class of a request, most urgent first."""

    URGENT = 'urgent'
    STANDARD = 'standard'
    BULK = 'bulk'


RANKS = tuple(Rank)


class Reason(Enum):
    """Why a request ended as it did; sent as ``X-Reason``."""

    OK = 'ok'
    BAD_REQUEST = 'bad-request'
    NO_ROUTE = 'no-route'
    KEY_MISSING = 'key-missing'
    IDEMPOTENCY_KEY_MISSING = 'idempotency-key-missing'
    NOT_READY = 'not-ready'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    NO_UPSTREAM = 'no-upstream'
    DEADLINE_PASSED = 'deadline-passed'
    CANNOT_MEET_DEADLINE = 'cannot-meet-deadline'
    QUEUE_FULL = 'queue-full'
    SHED = 'shed'
    DRAINING = 'draining'
    CONNECT_FAILED = 'connect-failed'
    STORE_UNAVAILABLE = 'store-unavailable'
    ALREADY_SENT = 'already-sent'
    TIMEOUT = 'timeout'
    CONNECTION_LOST = 'connection-lost'
    TRUNCATED = 'truncated'
    BAD_RESPONSE = 'bad-response'
    CALLER_GONE = 'caller-gone'


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The upstream's complete response was relayed.

    ``status`` is the upstream's HTTP status.
    """

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request was provably not executed.

    ``status`` is the HTTP status for the caller and ``retry_after`` the
    time after which a repeat makes sense, if any.
    """

    reason: Reason
    detail: str = ''
    status: int = 503
    retry_after: timedelta | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request was sent, and nothing proves whether it was executed."""

    reason: Reason
    detail: str = ''
    status: int = 502


Outcome = Done | NotRun | Unknown

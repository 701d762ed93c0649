"""The three possible outcomes of a request, each with its reason.

``Done`` means that the upstream sent a complete response. ``NotRun`` means
that the request is proven not to have been executed, so that it may be sent
again. ``Unknown`` means that it was sent and may or may not have been
executed. Outcomes are values rather than exceptions, because all three occur
in normal operation.
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
    """Reason for the outcome of a request; sent as ``X-Reason``."""

    OK = 'ok'
    BAD_REQUEST = 'bad-request'
    NO_ROUTE = 'no-route'
    OUTDATED_CONFIG = 'outdated-config'
    KEY_MISSING = 'key-missing'
    IDEMPOTENCY_KEY_MISSING = 'idempotency-key-missing'
    NOT_READY = 'not-ready'
    NO_OWNER = 'no-owner'
    NOT_OWNER = 'not-owner'
    NO_UPSTREAM = 'no-upstream'
    PAUSED = 'paused'
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
    """The request is proven not to have been executed.

    ``status`` is the HTTP status for the caller and ``retry_after`` the
    time after which the caller may try again, if any. With
    ``retry_is_earliest`` an earlier retry would certainly be refused again.
    """

    reason: Reason
    detail: str = ''
    status: int = 503
    retry_after: timedelta | None = None
    retry_is_earliest: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request was sent and may or may not have been executed."""

    reason: Reason
    detail: str = ''
    status: int = 502


Outcome = Done | NotRun | Unknown

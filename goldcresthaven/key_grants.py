"""Grants of keys to upstreams.

A hold is the time for which an upstream may serve granted keys. The
upstream counts it from the arrival of the call, on a clock that may run 2%
slow. ``hold_bounds`` derives from this when a hold has ended.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType
from typing import Protocol

from goldcresthaven import ids
from goldcresthaven import members

CLOCK_DRIFT = 0.02  # of upstreams' clocks, as documented by the platform
# Twice the store's slowest round trip between zones, plus queueing.
CALL_TIMEOUT = timedelta(milliseconds=500)
# A release waits for running requests to end, so this covers the timeout of
# the slowest route.
RELEASE_TIMEOUT = timedelta(seconds=2)
# Added to the latest time at which a hold may expire at the upstream.
EXPIRY_MARGIN = timedelta(milliseconds=100)
# Short enough to serve the keys of a lost upstream again within 4 s.
HOLD = timedelta(seconds=3)
RENEW_INTERVAL = timedelta(milliseconds=800)


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The keys from ``first`` to ``last`` under a fence.

    ``handover`` is the value that the previous owner returned when it
    released them.
    """

    first: int
    last: int
    fence: int
    handover: str | None = None


class GrantResult(Enum):
    """The outcome of a grant.

    DISCONNECTED: nothing was sent. All connections that were open when the
    keys were granted are closed, so the owner may have restarted.
    ADDRESS_REUSED: another upstream has the address now.
    WITHDRAWN: nothing was sent, because the sender may no longer grant.
    """

    GRANTED = 'granted'
    FENCED_OFF = 'fenced-off'
    UNREACHABLE = 'unreachable'
    DISCONNECTED = 'disconnected'
    ADDRESS_REUSED = 'elsewhere'
    NO_RESPONSE = 'no-answer'
    WITHDRAWN = 'withdrawn'


NOT_SENT = frozenset(
    {
        GrantResult.UNREACHABLE,
        GrantResult.DISCONNECTED,
        GrantResult.ADDRESS_REUSED,
        GrantResult.WITHDRAWN,
    }
)


# Identifies the connections to an upstream that were open at some time.
Connections = NewType('Connections', int)
NO_CONNECTIONS = Connections(0)


@dataclass(kw_only=True, slots=True, eq=False)
class KeptConnection:
    """A connection that has carried more than one grant.

    ``reset_at`` is the time by which this side had reset it. ``closed`` is
    set if the upstream closed it in order, and all that it sent was read as
    responses.
    """

    number: int
    address: members.Address
    reset_at: timedelta | None = None
    closed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantReply:
    """The outcome of a grant, and the connections open when it was sent.

    A connection that was opened later may lead to the upstream after a
    restart. ``kept`` is the connection of an acceptance that may be a second
    copy of the response to an earlier call on it; None if it cannot be one.
    ``leaving`` says that the response announced that the upstream leaves. An
    earlier response announces it of the same incarnation, so a copy is as
    good.
    """

    result: GrantResult
    connections: Connections = NO_CONNECTIONS
    kept: KeptConnection | None = None
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Released:
    """An upstream's confirmation that it has stopped work on the keys."""

    handover: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseReply:
    """The outcome of a release.

    ``released`` is None if the upstream did not confirm it. ``leaving`` says
    that the response announced that the upstream leaves.
    """

    released: Released | None
    leaving: bool = False


class LeaseCalls(Protocol):
    """Calls to upstreams, implemented by ``platform``."""

    async def grant(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: Grant,
        *,
        renewal: Connections | None,
        hold: timedelta,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> GrantReply:
        """Grant or renew keys.

        ``may_send`` is asked when the connection is ready, because opening
        it may take longer than the sender's permission to grant lasts.

        A renewal is sent only over one of the connections in ``renewal``,
        which the reply to the previous grant of the same fence named. This
        proves that the upstream has not restarted since. A rejection on
        such a connection may be a second copy of an earlier one, so it
        counts as no response.
        """

    async def reset(self, address: members.Address, number: int) -> None:
        """Reset a connection for grants, after the call that is using it.

        ``number`` is that of the connection. The bytes that a partition
        holds back are dropped.
        """

    async def round_trip(self, address: members.Address) -> bool:
        """Return whether a new connection could be opened; it is closed."""

    async def release(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: Grant,
        *,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> ReleaseReply:
        """Ask the owner to release keys.

        ``may_send`` is asked when the connection is ready.
        """


def hold_end(arrived_by: timedelta, hold: timedelta) -> timedelta:
    """Return when the hold of a grant has ended for sure.

    ``arrived_by`` is the latest time at which the grant may have arrived.
    """
    return arrived_by + hold / (1 - CLOCK_DRIFT) + EXPIRY_MARGIN

"""What the request path asks of the policies.

``caller_server`` knows admission, slots and the choice among upstreams
only through ``Gate``; ``slot_gate`` has the product's policy.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import shards


@dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """Configuration, map and upstreams as this process knows them."""

    config_version: ids.ConfigVersion
    document: presets.Document
    shard_map: shards.ShardMap
    upstreams: dict[ids.UpstreamId, members.Member]
    entries: int = 1

    def connection_limit(self, pool: presets.Pool) -> int:
        """Connections that this process may hold to one endpoint.

        Connections in use need a slot, so those of all processes together
        are kept out of the shares; see ``slot_gate``.
        """
        spare = pool.connections - pool.slots
        return max(1, spare // max(1, self.entries))


class Views(Protocol):
    """Source of the current view."""

    def current(self) -> View | None:
        """Return the view, or None before the first configuration."""

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        """Look for a newer map after an upstream refused a key.

        ``epoch`` is the highest that the upstream has seen. Returns when a
        newer map is in force or none could be found quickly.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """Permission to send one attempt to one upstream."""

    upstream: ids.UpstreamId
    address: members.Address
    connection_limit: int


class Gate(Protocol):
    """Admission, a slot and the choice of an upstream in one step.

    Each ``Admitted`` is released exactly once, whatever happens between.
    """

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> Admitted | outcomes.NotRun:
        """Wait for a slot until the deadline at most.

        ``tried`` names upstreams that failed this request already.
        ``caller_gone`` is cheap; the gate asks it before it grants a slot
        to a request that has waited.
        """

    async def release(
        self,
        routed: routing.Routed,
        admitted: Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        """Return the slot and report the attempt.

        ``attempt`` is None when the request ended without one.
        """

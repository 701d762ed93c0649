"""Interfaces between the request path and the load policy.

``caller_server`` uses admission, slots and the choice among upstreams only
through ``Gate``. ``slot_gate`` implements the gate of the product.
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
    """The configuration, shard map and upstreams known to this process."""

    config_version: ids.ConfigVersion
    document: presets.Document
    shard_map: shards.ShardMap
    upstreams: dict[ids.UpstreamId, members.Member]
    entries: int = 1

    def connection_limit(self, pool: presets.Pool) -> int:
        """Return how many connections this process may hold per endpoint.

        Each connection in use needs a slot. The connections for all slots
        are therefore reserved, and the processes share the rest evenly;
        see ``slot_gate``.
        """
        spare = pool.connections - pool.slots
        return max(1, spare // max(1, self.entries))


class Views(Protocol):
    """Supplies the current view."""

    def current(self) -> View | None:
        """Return the view, or None before there is a configuration."""

    async def refresh(self, routed: routing.Routed, epoch: ids.Epoch) -> None:
        """Fetch a newer shard map after an upstream refused a key.

        ``epoch`` is the highest epoch that the upstream has seen. Returns
        when a newer map is in use or none could be found quickly.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """Permission to send one attempt to one upstream."""

    upstream: ids.UpstreamId
    address: members.Address
    connection_limit: int


class Gate(Protocol):
    """Admits a request, acquires a slot and chooses the upstream.

    Each ``Admitted`` must be released exactly once, even after an error.
    """

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> Admitted | outcomes.NotRun:
        """Wait for a slot, until the deadline at most.

        ``tried`` names the upstreams that already failed this request.
        ``caller_gone`` returns whether the caller has disconnected; it is
        cheap, and the gate calls it while the request waits.
        """

    async def release(
        self,
        routed: routing.Routed,
        admitted: Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        """Release the slot and record the attempt.

        ``attempt`` is None if no attempt was completed.
        """

"""Controller of the domains that this process holds.

Every entry process runs one. It takes events with the time and returns
actions; see ``control``.
"""

from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import shards


class Controller:
    """Claims domains, grants server leases and moves shards."""

    def __init__(self, *, vm: ids.VmId, zone: ids.ZoneId, boot: str) -> None:
        self._vm = vm
        self._zone = zone
        self._boot = boot
        self.shard_map = shards.ShardMap()

    def handle(
        self, event: control.Event, *, now: timedelta
    ) -> list[control.Action]:
        """Process one event and return what has to be done."""
        raise NotImplementedError

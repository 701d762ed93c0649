"""What this process routes requests by.

The controller's map, the newest configuration and the membership list are
put together here. Each only moves forward: an older entry is ignored.
"""

from dataclasses import dataclass
from dataclasses import field

from goldcresthaven import config_log
from goldcresthaven import dispatch
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import shards


@dataclass(kw_only=True)
class RoutingState:
    """The state in force; every part of the process reads it here."""

    entry: config_log.Entry | None = None
    shard_map: shards.ShardMap = field(default_factory=shards.ShardMap)
    listed: tuple[members.Member, ...] = ()
    entries: dict[ids.VmId, members.Member] = field(default_factory=dict)
    upstreams: dict[ids.UpstreamId, members.Member] = field(
        default_factory=dict
    )
    _view: dispatch.View | None = None

    @property
    def config_version(self) -> ids.ConfigVersion:
        if self.entry is None:
            return ids.ConfigVersion(0)
        return self.entry.version

    def current(self) -> dispatch.View | None:
        """Return the view, or None before the first configuration."""
        return self._view

    def offer_config(self, entry: config_log.Entry) -> bool:
        """Adopt a configuration if it is newer; return whether it was."""
        if entry.version <= self.config_version:
            return False
        self.entry = entry
        self._rebuild()
        return True

    def offer_map(self, shard_map: shards.ShardMap) -> bool:
        """Adopt a map if it is newer; return whether it was."""
        if shard_map.version <= self.shard_map.version:
            return False
        self.shard_map = shard_map
        self._rebuild()
        return True

    def set_members(self, listed: tuple[members.Member, ...]) -> bool:
        """Adopt the platform's membership list; return whether it differs."""
        if listed == self.listed:
            return False
        self.listed = listed
        self.entries = {
            m.vm: m for m in listed if m.role is members.Role.ENTRY
        }
        self.upstreams = {
            ids.UpstreamId(m.vm): m
            for m in listed
            if m.role is members.Role.UPSTREAM
        }
        self._rebuild()
        return True

    def _rebuild(self) -> None:
        if self.entry is None:
            return
        self._view = dispatch.View(
            config_version=self.config_version,
            document=self.entry.document,
            shard_map=self.shard_map,
            upstreams=self.upstreams,
            entries=max(1, len(self.entries)),
        )

"""The state that determines how this process routes requests.

It combines the controller's shard map, the newest configuration and the
membership list. Older versions of the map or the configuration are ignored.
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
    """The current map, configuration and membership list of the process.

    ``entry_members`` and ``upstreams`` are the members in ``listed`` by role.
    """

    config_entry: config_log.Entry | None = None
    shard_map: shards.ShardMap = field(default_factory=shards.ShardMap)
    listed: tuple[members.Member, ...] = ()
    entry_members: dict[ids.VmId, members.Member] = field(default_factory=dict)
    upstreams: dict[ids.UpstreamId, members.Member] = field(
        default_factory=dict
    )
    _view: dispatch.View | None = None

    @property
    def config_version(self) -> ids.ConfigVersion:
        if self.config_entry is None:
            return ids.ConfigVersion(0)
        return self.config_entry.version

    def current(self) -> dispatch.View | None:
        """Return the view for routing, or None without a configuration."""
        return self._view

    def offer_config(self, entry: config_log.Entry) -> bool:
        """Use a configuration if it is newer; return whether it was."""
        if entry.version <= self.config_version:
            return False
        self.config_entry = entry
        self._rebuild()
        return True

    def offer_map(self, shard_map: shards.ShardMap) -> bool:
        """Use a map if it is newer; return whether it was."""
        if shard_map.version <= self.shard_map.version:
            return False
        self.shard_map = shard_map
        self._rebuild()
        return True

    def set_members(self, listed: tuple[members.Member, ...]) -> bool:
        """Use a membership list; return whether it differs from the last."""
        if listed == self.listed:
            return False
        self.listed = listed
        self.entry_members = {
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
        if self.config_entry is None:
            return
        self._view = dispatch.View(
            config_version=self.config_version,
            document=self.config_entry.document,
            shard_map=self.shard_map,
            upstreams=self.upstreams,
            entries=max(1, len(self.entry_members)),
        )

"""This process's copy of the configuration and of the map.

Both only move forward: an older or repeated entry is ignored, and an entry
that does not follow the copy is left for later.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from goldcresthaven import dispatch
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards


@dataclass(kw_only=True)
class Replica:
    """State that requests are routed by."""

    config_version: ids.ConfigVersion = ids.ConfigVersion(0)
    document: presets.Document | None = None
    shard_map: shards.ShardMap = field(default_factory=shards.ShardMap)
    listed: tuple[members.Member, ...] = ()
    _view: dispatch.View | None = None

    def current(self) -> dispatch.View | None:
        """Return the view, or None before the first configuration."""
        return self._view

    def offer_config(
        self, version: ids.ConfigVersion, document: presets.Document
    ) -> bool:
        """Adopt a configuration if it is newer; return whether it was."""
        if version <= self.config_version:
            return False
        self.config_version = version
        self.document = document
        self._rebuild()
        return True

    def offer_changes(self, changes: Iterable[shards.MapChange]) -> bool:
        """Apply the map changes that follow; return whether any did.

        Raises MapError when a change that follows does not fit.
        """
        before = self.shard_map.version
        for change in sorted(changes, key=lambda c: c.version):
            if change.version == self.shard_map.version + 1:
                self.shard_map = self.shard_map.apply(change)
        if self.shard_map.version == before:
            return False
        self._rebuild()
        return True

    def set_members(self, listed: tuple[members.Member, ...]) -> None:
        """Adopt the platform's membership list."""
        if listed != self.listed:
            self.listed = listed
            self._rebuild()

    def _rebuild(self) -> None:
        if self.document is None:
            return
        entries = sum(m.role is members.Role.ENTRY for m in self.listed)
        self._view = dispatch.View(
            config_version=self.config_version,
            document=self.document,
            shard_map=self.shard_map,
            upstreams={
                ids.UpstreamId(m.vm): m
                for m in self.listed
                if m.role is members.Role.UPSTREAM
            },
            entries=max(1, entries),
        )

"""What the ownership controller knows about its surroundings."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import hashlib

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards

MAX_DOMAIN_SIZE = 64


def rank(subject: str, candidates: Iterable[ids.VmId]) -> tuple[ids.VmId, ...]:
    """Return the VMs by rendezvous hash, the best-ranked first."""

    def weight(vm: ids.VmId) -> tuple[bytes, str]:
        text = f'{subject}\0{vm}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest(), vm

    return tuple(sorted(candidates, key=weight, reverse=True))


def zone_of(domain: ids.DomainId) -> ids.ZoneId:
    """Return the zone of a domain."""
    return ids.ZoneId(domain.rpartition('/')[0])


@dataclass(kw_only=True, slots=True)
class _Derived:
    """Results that hold until the map, list or configuration changes."""

    owned: dict[ids.UpstreamId, frozenset[ids.ShardId]] | None = None
    upstreams: dict[ids.UpstreamId, members.Member] | None = None
    domains: frozenset[ids.DomainId] | None = None
    entry_count: int | None = None
    present: frozenset[ids.PoolName] | None = None
    ranked: dict[ids.DomainId, tuple[ids.VmId, ...]] = field(
        default_factory=dict
    )


@dataclass(kw_only=True, slots=True)
class View:
    """Current map, members, configuration and loads of this process."""

    vm: ids.VmId
    zone: ids.ZoneId
    shard_map: shards.ShardMap = field(default_factory=shards.ShardMap)
    vms: dict[ids.VmId, members.Member] = field(default_factory=dict)
    document: presets.Document | None = None
    loads: dict[ids.ShardId, float] = field(default_factory=dict)
    hot_keys: tuple[control.HotKey, ...] = ()
    _derived: _Derived = field(default_factory=_Derived)

    def set_map(self, shard_map: shards.ShardMap) -> None:
        self.shard_map = shard_map
        self._derived = _Derived()

    def set_members(self, listed: Iterable[members.Member]) -> None:
        self.vms = {m.vm: m for m in listed}
        self._derived = _Derived()

    def set_document(self, document: presets.Document) -> None:
        self.document = document
        self._derived = _Derived()

    def owned(self) -> dict[ids.UpstreamId, frozenset[ids.ShardId]]:
        """Return the shards of each owner in the current map."""
        if self._derived.owned is None:
            owned: dict[ids.UpstreamId, set[ids.ShardId]] = {}
            for shard in self.shard_map.shards.values():
                if shard.owner is not None:
                    owned.setdefault(shard.owner, set()).add(shard.shard_id)
            self._derived.owned = {u: frozenset(s) for u, s in owned.items()}
        return self._derived.owned

    def entry_count(self) -> int:
        """Return the number of listed entry VMs."""
        if self._derived.entry_count is None:
            self._derived.entry_count = sum(
                m.role is members.Role.ENTRY for m in self.vms.values()
            )
        return self._derived.entry_count

    def present_pools(self) -> frozenset[ids.PoolName]:
        """Return the pools that have shards."""
        if self._derived.present is None:
            self._derived.present = frozenset(
                s.pool for s in self.shard_map.shards.values()
            )
        return self._derived.present

    def pool_shards(self, pool: ids.PoolName) -> list[shards.Shard]:
        return [s for s in self.shard_map.shards.values() if s.pool == pool]

    def keyed_upstreams(self) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that need leases."""
        pools = {p.name for p in self.keyed_pools()}
        listed = self.upstreams().items()
        keyed = frozenset(u for u, m in listed if m.pool in pools)
        return keyed | self.owned().keys()

    def domains(self) -> frozenset[ids.DomainId]:
        """Return the domains with an upstream that is listed or owns."""
        if self._derived.domains is None:
            homes = self.shard_map.homes
            self._derived.domains = frozenset(
                homes[u]
                for u in self.upstreams().keys() | self.owned().keys()
                if u in homes
            )
        return self._derived.domains

    def ranked(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        """Return the entry VMs of a domain's zone, the best first."""
        known = self._derived.ranked
        if domain not in known:
            known[domain] = rank(domain, self.entries(zone_of(domain)))
        return known[domain]

    @property
    def lost_zones(self) -> frozenset[ids.ZoneId]:
        if self.document is None:
            return frozenset()
        return frozenset(self.document.lost_zones)

    def entries(self, zone: ids.ZoneId) -> list[ids.VmId]:
        """Return the entry VMs of a zone that are not leaving."""
        return [
            m.vm
            for m in self.vms.values()
            if m.role is members.Role.ENTRY
            and m.zone == zone
            and m.state is members.MemberState.LIVE
        ]

    def other_entries(self, zone: ids.ZoneId) -> list[ids.VmId]:
        """Return the entry VMs outside a zone, without the lost zones."""
        return [
            m.vm
            for m in self.vms.values()
            if m.role is members.Role.ENTRY
            and m.zone != zone
            and m.zone not in self.lost_zones
            and m.state is members.MemberState.LIVE
        ]

    def keyed_pools(self) -> tuple[presets.Pool, ...]:
        if self.document is None:
            return ()
        return tuple(p for p in self.document.pools if p.keyed)

    def member(self, upstream: ids.UpstreamId) -> members.Member | None:
        return self.vms.get(ids.VmId(upstream))

    def upstreams(self) -> dict[ids.UpstreamId, members.Member]:
        """Return the listed upstreams, leaving ones included."""
        if self._derived.upstreams is None:
            self._derived.upstreams = {
                ids.UpstreamId(m.vm): m
                for m in self.vms.values()
                if m.role is members.Role.UPSTREAM
            }
        return self._derived.upstreams

    def must_leave(self, upstream: ids.UpstreamId) -> bool:
        """Whether an upstream has to give up its shards."""
        if self.document is None:
            return False
        if upstream in self.document.drained:
            return True
        member = self.member(upstream)
        if member is None:
            return False
        leaving = member.state is members.MemberState.LEAVING
        return leaving or member.zone in self.lost_zones

    def usable(self, pool: ids.PoolName) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that may be given shards of a pool."""
        return frozenset(
            upstream
            for upstream, member in self.upstreams().items()
            if member.pool == pool
            and upstream in self.shard_map.homes
            and not self.must_leave(upstream)
        )

    def new_homes(
        self,
    ) -> tuple[tuple[ids.UpstreamId, ids.DomainId], ...]:
        """Return domains for the upstreams that the map does not know.

        Each takes the first bucket of its zone that has room. Upstreams
        that are neither listed nor owners take no room.
        """
        homes = self.shard_map.homes
        listed = self.upstreams()
        if listed.keys() <= homes.keys():
            return ()
        owners = self.owned()
        sizes: dict[ids.DomainId, int] = {}
        for upstream, domain in homes.items():
            if upstream in listed or upstream in owners:
                sizes[domain] = sizes.get(domain, 0) + 1
        result = []
        for upstream in sorted(listed.keys() - homes.keys()):
            domain = _first_with_room(listed[upstream].zone, sizes)
            sizes[domain] = sizes.get(domain, 0) + 1
            result.append((upstream, domain))
        return tuple(result)


def _first_with_room(
    zone: ids.ZoneId, sizes: dict[ids.DomainId, int]
) -> ids.DomainId:
    bucket = 0
    while True:
        domain = ids.DomainId(f'{zone}/{bucket}')
        if sizes.get(domain, 0) < MAX_DOMAIN_SIZE:
            return domain
        bucket += 1

"""Map, members, configuration and loads that the controller works with."""

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
    """Return the VMs in the order of their rendezvous hash, best first."""

    def weight(vm: ids.VmId) -> tuple[bytes, str]:
        text = f'{subject}\0{vm}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest(), vm

    return tuple(sorted(candidates, key=weight, reverse=True))


def zone_of(domain: ids.DomainId) -> ids.ZoneId:
    """Return the zone of a domain."""
    return ids.ZoneId(domain.rpartition('/')[0])


@dataclass(kw_only=True, slots=True)
class _Cache:
    """Cached results; reset when map, members or configuration change."""

    owned: dict[ids.UpstreamId, frozenset[ids.ShardId]] | None = None
    upstreams: dict[ids.UpstreamId, members.Member] | None = None
    domains: frozenset[ids.DomainId] | None = None
    entry_count: int | None = None
    mapped_pools: frozenset[ids.PoolName] | None = None
    ranked: dict[ids.DomainId, tuple[ids.VmId, ...]] = field(
        default_factory=dict
    )


@dataclass(kw_only=True, slots=True)
class View:
    """Map, members, configuration and loads that this process has now."""

    vm: ids.VmId
    zone: ids.ZoneId
    shard_map: shards.ShardMap = field(default_factory=shards.ShardMap)
    vms: dict[ids.VmId, members.Member] = field(default_factory=dict)
    document: presets.Document | None = None
    loads: dict[ids.ShardId, float] = field(default_factory=dict)
    hot_keys: tuple[control.HotKey, ...] = ()
    _cache: _Cache = field(default_factory=_Cache)

    def set_map(self, shard_map: shards.ShardMap) -> None:
        self.shard_map = shard_map
        self._cache = _Cache()

    def set_members(self, listed: Iterable[members.Member]) -> None:
        self.vms = {m.vm: m for m in listed}
        self._cache = _Cache()

    def set_document(self, document: presets.Document) -> None:
        self.document = document
        self._cache = _Cache()

    def owned(self) -> dict[ids.UpstreamId, frozenset[ids.ShardId]]:
        """Return the shards of each upstream that owns any in the map."""
        if self._cache.owned is None:
            owned: dict[ids.UpstreamId, set[ids.ShardId]] = {}
            for shard in self.shard_map.shards.values():
                if shard.owner is not None:
                    owned.setdefault(shard.owner, set()).add(shard.shard_id)
            self._cache.owned = {u: frozenset(s) for u, s in owned.items()}
        return self._cache.owned

    def entry_count(self) -> int:
        """Return the number of listed entry VMs."""
        if self._cache.entry_count is None:
            self._cache.entry_count = sum(
                m.role is members.Role.ENTRY for m in self.vms.values()
            )
        return self._cache.entry_count

    def mapped_pools(self) -> frozenset[ids.PoolName]:
        """Return the pools that have shards in the map."""
        if self._cache.mapped_pools is None:
            self._cache.mapped_pools = frozenset(
                s.pool for s in self.shard_map.shards.values()
            )
        return self._cache.mapped_pools

    def pool_shards(self, pool: ids.PoolName) -> list[shards.Shard]:
        return [s for s in self.shard_map.shards.values() if s.pool == pool]

    def keyed_upstreams(self) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that need leases."""
        pools = {p.name for p in self.keyed_pools()}
        listed = self.upstreams().items()
        keyed = frozenset(u for u, m in listed if m.pool in pools)
        return keyed | self.owned().keys()

    def domains(self) -> frozenset[ids.DomainId]:
        """Return the domains with an upstream that is listed or an owner."""
        if self._cache.domains is None:
            homes = self.shard_map.homes
            self._cache.domains = frozenset(
                homes[u]
                for u in self.upstreams().keys() | self.owned().keys()
                if u in homes
            )
        return self._cache.domains

    def ranked(self, domain: ids.DomainId) -> tuple[ids.VmId, ...]:
        """Return the entry VMs of a domain's zone, the best-ranked first."""
        cached = self._cache.ranked
        if domain not in cached:
            cached[domain] = rank(domain, self.entries(zone_of(domain)))
        return cached[domain]

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
        """Return the live entry VMs outside a zone and the lost zones."""
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
        """Return the listed upstreams, including those that are leaving."""
        if self._cache.upstreams is None:
            self._cache.upstreams = {
                ids.UpstreamId(m.vm): m
                for m in self.vms.values()
                if m.role is members.Role.UPSTREAM
            }
        return self._cache.upstreams

    def must_release_shards(self, upstream: ids.UpstreamId) -> bool:
        """Whether all shards have to move away from an upstream."""
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
        """Return the upstreams to which shards of a pool may be assigned."""
        return frozenset(
            upstream
            for upstream, member in self.upstreams().items()
            if member.pool == pool
            and upstream in self.shard_map.homes
            and not self.must_release_shards(upstream)
        )

    def new_homes(
        self,
    ) -> tuple[tuple[ids.UpstreamId, ids.DomainId], ...]:
        """Return domains for the listed upstreams that are not in the map.

        Each is put into the first domain of its zone that has room.
        Upstreams that are neither listed nor owners are not counted.
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

"""Shards and the map from keys to their owners.

A pool's keys are hashed to 64 bits and the hash space is divided into
ranges. The map is immutable: applying a change creates a new map with the
next version, so a reader never sees a partly applied change.
"""

import bisect
from dataclasses import dataclass
from dataclasses import field
import hashlib
from typing import Self

from goldcresthaven import errors
from goldcresthaven import ids

HASH_BITS = 64
HASH_SPACE = 1 << HASH_BITS


def hash_key(key: str) -> ids.KeyHash:
    """Return the 64-bit hash of a key, the same in every process."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return ids.KeyHash(int.from_bytes(digest, 'big'))


@dataclass(frozen=True, kw_only=True, slots=True)
class Shard:
    """A range ``[low, high)`` of a pool's hash space and its owner.

    ``owner`` is None while no upstream has been assigned.
    """

    shard_id: ids.ShardId
    pool: ids.PoolName
    low: int
    high: int
    owner: ids.UpstreamId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MapChange:
    """One entry of the map log, with the shards that it adds or replaces.

    ``removed`` names the shards that a split or merge removes. ``version``
    is the map's version after the change. ``domain`` and ``epoch`` identify
    the claim under which it was written. By ``txn`` the writer of a
    transaction with an unknown result recognises its own entry. ``homes``
    assigns a domain to each upstream that is new in the map.
    """

    version: ids.MapVersion
    txn: ids.TxnId
    shards: tuple[Shard, ...]
    removed: tuple[ids.ShardId, ...] = ()
    domain: ids.DomainId | None = None
    epoch: ids.Epoch = ids.Epoch(0)
    reason: str = ''
    homes: tuple[tuple[ids.UpstreamId, ids.DomainId], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pool:
    lows: tuple[int, ...]
    shards: tuple[Shard, ...]


@dataclass(frozen=True, kw_only=True)
class ShardMap:
    """All shards of all pools at one version.

    ``homes`` holds the domain of each upstream. It is part of the map
    because the membership lists of two processes may differ, and then the
    claim holders of two domains could both grant leases to one upstream.

    Example::

        shard = shard_map.lookup(pool, hash_key('bakery-7'))
    """

    version: ids.MapVersion = ids.MapVersion(0)
    shards: dict[ids.ShardId, Shard] = field(default_factory=dict)
    homes: dict[ids.UpstreamId, ids.DomainId] = field(default_factory=dict)
    _pools: dict[ids.PoolName, _Pool] = field(
        default_factory=dict, repr=False, compare=False
    )

    def lookup(
        self, pool: ids.PoolName, key_hash: ids.KeyHash
    ) -> Shard | None:
        """Return the shard that contains the key, or None."""
        index = self._pools.get(pool)
        if index is None:
            return None
        pos = bisect.bisect_right(index.lows, key_hash) - 1
        if pos < 0 or key_hash >= index.shards[pos].high:
            return None
        return index.shards[pos]

    def owned_by(self, upstream: ids.UpstreamId) -> frozenset[ids.ShardId]:
        """Return the shards assigned to an upstream."""
        return frozenset(
            s.shard_id for s in self.shards.values() if s.owner == upstream
        )

    def apply(self, change: MapChange) -> Self:
        """Return the map after one change.

        Raises MapError when the change is not the next version, makes
        ranges overlap or changes the domain of an upstream.
        """
        if change.version != self.version + 1:
            raise errors.MapError(
                f'map change {change.version} does not follow version '
                f'{self.version}',
                remedy='fetch the missing changes first',
            )
        shards = dict(self.shards)
        for shard_id in change.removed:
            shards.pop(shard_id, None)
        for shard in change.shards:
            shards[shard.shard_id] = shard
        touched = {s.pool for s in change.shards}
        touched |= {
            self.shards[i].pool for i in change.removed if i in self.shards
        }
        pools = dict(self._pools)
        for pool in touched:
            pools[pool] = _index(pool, shards)
        return type(self)(
            version=change.version,
            shards=shards,
            homes=_add_homes(self.homes, change),
            _pools=pools,
        )


def _add_homes(
    homes: dict[ids.UpstreamId, ids.DomainId], change: MapChange
) -> dict[ids.UpstreamId, ids.DomainId]:
    if not change.homes:
        return homes
    for upstream, domain in change.homes:
        if homes.get(upstream, domain) != domain:
            raise errors.MapError(
                f'upstream {upstream} cannot move to the domain {domain}',
                remedy='reject the change and read the map log again',
            )
    return homes | dict(change.homes)


def _index(pool: ids.PoolName, shards: dict[ids.ShardId, Shard]) -> _Pool:
    ordered = sorted(
        (s for s in shards.values() if s.pool == pool), key=lambda s: s.low
    )
    for left, right in zip(ordered, ordered[1:]):
        if left.high > right.low:
            raise errors.MapError(
                f'shards {left.shard_id} and {right.shard_id} overlap',
                remedy='reject the change and read the map log again',
            )
    return _Pool(lows=tuple(s.low for s in ordered), shards=tuple(ordered))


def initial_shards(pool: ids.PoolName, count: int) -> tuple[Shard, ...]:
    """Return ``count`` unassigned shards of equal size that cover a pool."""
    bounds = [HASH_SPACE * i // count for i in range(count + 1)]
    return tuple(
        Shard(
            shard_id=ids.ShardId(f'{pool}/{i}'),
            pool=pool,
            low=bounds[i],
            high=bounds[i + 1],
        )
        for i in range(count)
    )

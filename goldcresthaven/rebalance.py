"""Builds map changes: new pools, moves and splits for hot keys."""

from collections.abc import Iterable
from dataclasses import replace

from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import placement
from goldcresthaven import shards

# Requests per second of a pool. Below this rate the measured load is mostly
# noise, and the shares of the hash space are the better weights.
MIN_LOAD = 50.0

# Fraction of a shard's weight that is its share of the hash space even under
# load, so that idle shards are spread too.
RANGE_SHARE = 0.1

# A key is hot when it causes at least this fraction of the mean load of an
# upstream. A hot key gets a separate shard.
HOT_SHARE = 0.5


def weights(
    view: cluster_state.View, pool_shards: list[shards.Shard]
) -> dict[ids.ShardId, float]:
    """Return the weights of one pool's shards; they add up to 1."""
    ranges = placement.range_weights(pool_shards)
    loads = {s: view.loads.get(s, 0.0) for s in ranges}
    total = sum(loads.values())
    if total < MIN_LOAD:
        return ranges
    return {
        s: RANGE_SHARE * share + (1 - RANGE_SHARE) * loads[s] / total
        for s, share in ranges.items()
    }


def plan_pool(
    view: cluster_state.View,
    pool: ids.PoolName,
    lost: frozenset[ids.UpstreamId],
) -> list[placement.Move]:
    """Return the moves of one pool's shards, none to a lost upstream."""
    if view.document is None:
        return []
    pool_shards = view.pool_shards(pool)
    return placement.plan(
        pool_shards,
        view.usable(pool) - lost,
        weights(view, pool_shards),
        view.document.preset.imbalance_limit,
    )


def new_pool_shards(view: cluster_state.View) -> tuple[shards.Shard, ...]:
    """Return assigned shards of the keyed pools that have none in the map.

    Upstreams without a domain count as usable, because the same change
    assigns them one.
    """
    present = view.mapped_pools()
    result: list[shards.Shard] = []
    for pool in view.keyed_pools():
        if pool.name in present or not pool.shards:
            continue
        usable = frozenset(
            u
            for u, member in view.upstreams().items()
            if member.pool == pool.name and not view.must_release_shards(u)
        )
        if not usable:
            continue
        fresh = shards.initial_shards(pool.name, pool.shards)
        result.extend(assigned(fresh, usable))
    return tuple(result)


def assigned(
    fresh: tuple[shards.Shard, ...], upstreams: frozenset[ids.UpstreamId]
) -> list[shards.Shard]:
    """Assign new shards to upstreams with about equal load."""
    moves = placement.plan(
        fresh, upstreams, placement.range_weights(fresh), 1.0
    )
    owners = {m.shard: m.target for m in moves}
    return [replace(s, owner=owners.get(s.shard_id)) for s in fresh]


def moved(
    shard_map: shards.ShardMap,
    targets: dict[ids.ShardId, ids.UpstreamId],
) -> tuple[shards.Shard, ...]:
    """Return the shards with their new owners."""
    return tuple(
        replace(shard_map.shards[s], owner=target)
        for s, target in sorted(targets.items())
    )


def hot_shards(
    view: cluster_state.View,
) -> Iterable[tuple[shards.Shard, control.HotKey]]:
    """Return the shards that contain a hot key and other keys."""
    for hot in view.hot_keys:
        shard = view.shard_map.lookup(hot.pool, hot.key_hash)
        if shard is None or shard.high - shard.low == 1:
            continue
        upstreams = view.usable(hot.pool)
        loads = (
            view.loads.get(s.shard_id, 0.0) for s in view.pool_shards(hot.pool)
        )
        total = sum(loads)
        if total < MIN_LOAD or not upstreams:
            continue
        if hot.load >= HOT_SHARE * total / len(upstreams):
            yield shard, hot


def split(
    shard: shards.Shard, key_hash: ids.KeyHash
) -> tuple[shards.Shard, ...]:
    """Split a shard into two or three, one of them only for ``key_hash``.

    All of them keep the owner, so a split alone moves no key.
    """
    bounds = [shard.low, key_hash, key_hash + 1, shard.high]
    return tuple(
        replace(
            shard,
            shard_id=ids.ShardId(f'{shard.pool}/{low:016x}-{high:016x}'),
            low=low,
            high=high,
        )
        for low, high in zip(bounds, bounds[1:])
        if low < high
    )


def loads_after(
    view: cluster_state.View, change: shards.MapChange
) -> dict[ids.ShardId, float]:
    """Return the estimated loads after a change, until the next measurement.

    Every process distributes the load of a split shard over its parts. If
    only the writer of the split did so, the other processes would treat the
    hot key's upstream as idle, and the holders of two domains would move
    the same shards back and forth.
    """
    result = dict(view.loads)
    for removed in change.removed:
        shard = view.shard_map.shards.get(removed)
        load = result.pop(removed, 0.0)
        if shard is None:
            continue
        parts = [
            s
            for s in change.shards
            if s.pool == shard.pool and shard.low <= s.low < shard.high
        ]
        hot = {
            p.shard_id: h.load
            for p in parts
            for h in view.hot_keys
            if (h.pool, h.key_hash) == (p.pool, p.low) and p.high == p.low + 1
        }
        rest = max(0.0, load - sum(hot.values()))
        width = sum(p.high - p.low for p in parts if p.shard_id not in hot)
        for part in parts:
            share = rest * (part.high - part.low) / max(1, width)
            result[part.shard_id] = hot.get(part.shard_id, share)
    return result

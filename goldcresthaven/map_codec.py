"""Conversion of map changes to JSON values for log rows and messages."""

from collections.abc import Mapping
import json
from typing import Any

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import shards


def to_value(change: shards.MapChange) -> dict[str, Any]:
    """Return a map change as JSON values.

    The bounds of a range are strings, because they exceed the integers that
    some JSON parsers represent exactly.
    """
    return {
        'version': change.version,
        'txn': change.txn,
        'shards': [_shard_to_value(s) for s in change.shards],
        'removed': list(change.removed),
        'domain': change.domain,
        'epoch': change.epoch,
        'reason': change.reason,
        'homes': dict(change.homes),
    }


def from_value(value: Mapping[str, Any]) -> shards.MapChange:
    """Return the map change in JSON values; raises ProtocolError."""
    try:
        domain = value.get('domain')
        return shards.MapChange(
            version=ids.MapVersion(int(value['version'])),
            txn=ids.TxnId(str(value['txn'])),
            shards=tuple(_shard_from_value(s) for s in value['shards']),
            removed=tuple(ids.ShardId(s) for s in value['removed']),
            domain=None if domain is None else ids.DomainId(domain),
            epoch=ids.Epoch(int(value['epoch'])),
            reason=str(value.get('reason', '')),
            homes=tuple(
                (ids.UpstreamId(u), ids.DomainId(d))
                for u, d in value['homes'].items()
            ),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise errors.ProtocolError(
            f'map change is malformed: {exc!r}',
            remedy='upgrade the older process or repair the row',
        ) from exc


def to_snapshot(shard_map: shards.ShardMap) -> bytes:
    """Return a whole map as JSON, as one change that creates it."""
    whole = shards.MapChange(
        version=shard_map.version,
        txn=ids.TxnId('snapshot'),
        shards=tuple(shard_map.shards.values()),
        homes=tuple(shard_map.homes.items()),
    )
    return json.dumps(to_value(whole)).encode()


def from_snapshot(data: bytes) -> shards.ShardMap:
    """Return the map in a snapshot; raises ProtocolError or MapError."""
    try:
        value = json.loads(data)
    except (RecursionError, ValueError) as exc:
        raise errors.ProtocolError(
            f'map snapshot is not JSON: {exc}',
            remedy='load it from another peer',
        ) from exc
    whole = from_value(value)
    before = ids.MapVersion(whole.version - 1)
    return shards.ShardMap(version=before).apply(whole)


def _shard_to_value(shard: shards.Shard) -> dict[str, Any]:
    return {
        'shard': shard.shard_id,
        'pool': shard.pool,
        'low': str(shard.low),
        'high': str(shard.high),
        'owner': shard.owner,
    }


def _shard_from_value(value: Mapping[str, Any]) -> shards.Shard:
    owner = value['owner']
    return shards.Shard(
        shard_id=ids.ShardId(value['shard']),
        pool=ids.PoolName(value['pool']),
        low=int(value['low']),
        high=int(value['high']),
        owner=None if owner is None else ids.UpstreamId(owner),
    )

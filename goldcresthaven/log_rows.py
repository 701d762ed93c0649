"""Rows of the map log and the configuration log, as JSON values."""

from collections.abc import Mapping
from typing import Any

import pydantic

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import shards


def encode_change(change: shards.MapChange) -> dict[str, Any]:
    """Return the value of the map log row for a change."""
    return {
        'version': change.version,
        'txn': change.txn,
        'shards': [_encode_shard(s) for s in change.shards],
        'removed': list(change.removed),
        'domain': change.domain,
        'epoch': change.epoch,
        'reason': change.reason,
    }


def decode_change(value: Mapping[str, Any]) -> shards.MapChange:
    """Return the change stored in a map log row.

    Raises MapError when the row does not have the right form.
    """
    try:
        domain = value.get('domain')
        return shards.MapChange(
            version=ids.MapVersion(int(value['version'])),
            txn=ids.TxnId(value['txn']),
            shards=tuple(_decode_shard(s) for s in value['shards']),
            removed=tuple(ids.ShardId(i) for i in value.get('removed', ())),
            domain=ids.DomainId(domain) if domain else None,
            epoch=ids.Epoch(int(value.get('epoch', 0))),
            reason=str(value.get('reason', '')),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise errors.MapError(
            f'a map log row is malformed: {exc!r}',
            remedy='compare the versions of the programs that write it',
        ) from exc


def encode_config(
    *,
    version: ids.ConfigVersion,
    txn: ids.TxnId,
    author: str,
    change: str,
    document: presets.Document,
) -> dict[str, Any]:
    """Return the value of the configuration log row for a document."""
    return {
        'version': version,
        'txn': txn,
        'author': author,
        'change': change,
        'document': document.model_dump(mode='json'),
    }


def decode_document(value: Mapping[str, Any]) -> presets.Document:
    """Return the document stored in a configuration log row.

    Raises SettingsError when it is not valid.
    """
    try:
        return presets.Document.model_validate(value.get('document'))
    except pydantic.ValidationError as exc:
        raise errors.SettingsError(
            f'the stored configuration is invalid: {exc}',
            remedy='store a valid version with the operator command',
        ) from exc


def _encode_shard(shard: shards.Shard) -> dict[str, Any]:
    return {
        'id': shard.shard_id,
        'pool': shard.pool,
        'low': shard.low,
        'high': shard.high,
        'owner': shard.owner,
    }


def _decode_shard(raw: Mapping[str, Any]) -> shards.Shard:
    owner = raw['owner']
    return shards.Shard(
        shard_id=ids.ShardId(raw['id']),
        pool=ids.PoolName(raw['pool']),
        low=int(raw['low']),
        high=int(raw['high']),
        owner=ids.UpstreamId(owner) if owner else None,
    )

"""Converts the operator's timeline queries and the events of all processes.

A query becomes an ``events.Filter``, which the processes evaluate. Their
events are merged into one ``operator_views.Timeline``.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from datetime import datetime
from datetime import timedelta
from datetime import timezone

from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import shards
from goldcresthaven import timeline

# A key has one shard in each keyed pool; ``events.Filter`` encodes at most
# this number.
MAX_SHARDS_PER_KEY = 16

_MILESTONE_KINDS = tuple(
    sorted(events.MILESTONES, key=lambda kind: kind.value)
)
_MS = timedelta(milliseconds=1)
_UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)
_MAX_DATETIME = datetime.max.replace(tzinfo=timezone.utc)
_MAX_KEY_HASH = (1 << 64) - 1


def to_filter(
    query: views.TimelineQuery, shard_map: shards.ShardMap
) -> events.Filter:
    """Return the filter that is sent to the processes.

    For a key it also selects the events of the key's shards, because a
    move of the shard changes the owner of the key. Raises CallRefused when
    the key hash is malformed.
    """
    key_hash = _parse_hash(query.key_hash)
    return events.Filter(
        key_hash=key_hash,
        shards=_shards_of(key_hash, shard_map),
        kinds=_MILESTONE_KINDS if query.milestones else (),
        request_id=query.request,
        vm=query.process,
        since_ms=0 if query.after is None else _to_ms(query.after),
        until_ms=(
            events.Filter().until_ms
            if query.before is None
            else _to_ms(query.before)
        ),
    )


def _shards_of(
    key_hash: ids.KeyHash | None, shard_map: shards.ShardMap
) -> tuple[ids.ShardId, ...]:
    if key_hash is None:
        return ()
    pools = sorted({s.pool for s in shard_map.shards.values()})
    found = (shard_map.lookup(pool, key_hash) for pool in pools)
    known = [shard.shard_id for shard in found if shard is not None]
    return tuple(known[:MAX_SHARDS_PER_KEY])


def _parse_hash(text: str | None) -> ids.KeyHash | None:
    if text is None:
        return None
    try:
        value = int(text, 16)
    except ValueError:
        value = -1
    if not 0 <= value <= _MAX_KEY_HASH:
        raise errors.CallRefused(
            f'{text!r} is not the hash of a key',
            remedy='take key_hash from `goldcresthaven explain key --json`',
            status=400,
        )
    return ids.KeyHash(value)


def _to_ms(time: datetime) -> int:
    return max(0, (time - _UNIX_EPOCH) // _MS)


def to_view(event: events.Event) -> views.Event:
    """Return the view of an event; its detail has no control characters."""
    return views.Event(
        at=_to_time(event.stamp.wall_ms),
        counter=event.stamp.counter,
        process=event.vm,
        kind=event.kind.value,
        detail=timeline.format_detail(event),
        request=event.request_id,
        key_hash=(
            None if event.key_hash is None else f'{event.key_hash:016x}'
        ),
        domain=event.domain,
        epoch=event.epoch,
    )


def _to_time(wall_ms: int) -> datetime:
    try:
        return _UNIX_EPOCH + wall_ms * _MS
    except OverflowError:
        return _MAX_DATETIME


def merge(
    buffers: Iterable[Sequence[events.Event]],
    event_filter: events.Filter,
    *,
    limit: int,
    unreachable: Iterable[ids.VmId],
    incomplete: Iterable[ids.VmId],
) -> views.Timeline:
    """Return the newest events of all processes in causal order.

    ``incomplete`` names the processes that sent only their newest matching
    events.
    """
    matching = timeline.merge(buffers, event_filter)
    incomplete_vms = tuple(sorted(incomplete))
    return views.Timeline(
        events=tuple(to_view(event) for event in matching[-limit:]),
        unreachable=tuple(sorted(unreachable)),
        truncated=bool(incomplete_vms) or len(matching) > limit,
        incomplete=incomplete_vms,
    )

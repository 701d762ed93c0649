"""Records the controller's milestones in timeline, log and metrics."""

from typing import Any

import eliot

from goldcresthaven import control
from goldcresthaven import events
from goldcresthaven import metrics as metrics_module
from goldcresthaven import shards
from goldcresthaven import timeline as timeline_module

# A process keeps 8,192 events, and a change may move thousands of shards,
# whose events would displace all others.
MAX_MOVE_EVENTS = 16

_EVENT_KINDS = {
    control.MilestoneKind.CLAIM_TAKEN: events.Kind.CLAIM_ACQUIRED,
    control.MilestoneKind.CLAIM_LOST: events.Kind.CLAIM_LOST,
    control.MilestoneKind.CLAIM_EXTENDED: events.Kind.CLAIM_EXTENDED,
    control.MilestoneKind.CLAIM_RELEASED: events.Kind.CLAIM_LOST,
    control.MilestoneKind.UPSTREAM_LOST: events.Kind.UPSTREAM_STATE,
    control.MilestoneKind.UPSTREAM_BACK: events.Kind.UPSTREAM_STATE,
    control.MilestoneKind.SHARDS_MOVED: events.Kind.MOVE_WRITTEN,
    control.MilestoneKind.SHARD_SPLIT: events.Kind.MOVE_WRITTEN,
    control.MilestoneKind.MAP_CREATED: events.Kind.MOVE_WRITTEN,
}
_COUNTERS = {
    control.MilestoneKind.CLAIM_EXTENDED: 'claim.extended',
    control.MilestoneKind.CLAIM_LOST: 'claim.lost',
}
_FIELD_NAMES = {
    'domain': 'domain',
    'epoch': 'epoch',
    'upstream': 'upstream',
    'version': 'map_version',
}


def record(
    milestone: control.Milestone,
    *,
    timeline: timeline_module.Timeline,
    metrics: metrics_module.Metrics,
) -> None:
    """Record a milestone in the timeline, the log and the metrics."""
    text = milestone.kind.value
    reason = milestone.data.get('reason')
    if reason is not None:
        text = f'{milestone.data.get("shards", 0)} shards {reason}'
    fields: dict[str, Any] = {
        name: milestone.data[key]
        for key, name in _FIELD_NAMES.items()
        if milestone.data.get(key)
    }
    timeline.add(_EVENT_KINDS[milestone.kind], text, **fields)
    eliot.log_message(message_type='milestone', detail=text, **fields)
    counter = _COUNTERS.get(milestone.kind)
    if counter is not None:
        metrics.count(counter)
    if milestone.kind is control.MilestoneKind.SHARDS_MOVED:
        metrics.count('shard.moved', int(milestone.data['shards']))


def record_moves(
    change: shards.MapChange, *, timeline: timeline_module.Timeline
) -> None:
    """Record the new owner of each shard that a change moves.

    Only these events show the history of a key. They are not milestones,
    because the loss of one upstream would fill the milestone buffer.
    For a change of more than ``MAX_MOVE_EVENTS`` shards only the milestone
    with the number of shards is recorded.
    """
    if len(change.shards) > MAX_MOVE_EVENTS:
        return
    for shard in change.shards:
        timeline.add(
            events.Kind.MAP_APPLIED,
            f'new owner ({change.reason})',
            shard=shard.shard_id,
            upstream=shard.owner,
            domain=change.domain,
            epoch=change.epoch,
            map_version=change.version,
        )

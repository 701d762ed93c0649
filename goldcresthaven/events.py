"""Typed timeline events and their hybrid logical clock stamps.

Processes exchange these data classes in messages. The module ``timeline``
has the clock, the buffer and the merge.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Annotated

from goldcresthaven import codec
from goldcresthaven import ids

MAX_ID_BYTES = 128
MAX_TEXT_BYTES = 512

Id = Annotated[str, codec.Size(MAX_ID_BYTES)]
ShardId = Annotated[ids.ShardId, codec.Size(MAX_ID_BYTES)]


class Kind(Enum):
    """The type of an event."""

    PROCESS_STARTED = 'process-started'
    PROCESS_STOPPING = 'process-stopping'
    CLAIM_ACQUIRED = 'claim-acquired'
    CLAIM_RENEWED = 'claim-renewed'
    CLAIM_EXTENDED = 'claim-extended'
    CLAIM_LOST = 'claim-lost'
    EPOCH_RAISED = 'epoch-raised'
    CONSENT_GIVEN = 'consent-given'
    CONSENT_REFUSED = 'consent-refused'
    LEASE_GRANTED = 'lease-granted'
    LEASE_REFUSED = 'lease-refused'
    LEASE_ENDED = 'lease-ended'
    MOVE_STARTED = 'move-started'
    MOVE_WRITTEN = 'move-written'
    MAP_APPLIED = 'map-applied'
    CONFIG_APPLIED = 'config-applied'
    CONFIG_ACCEPTED = 'config-accepted'
    CONFIG_CONFLICT = 'config-conflict'
    PRESET_SWITCHED = 'preset-switched'
    UPSTREAM_STATE = 'upstream-state'
    PEER_SUSPECTED = 'peer-suspected'
    PEER_BACK = 'peer-back'
    STORE_DOWN = 'store-down'
    STORE_BACK = 'store-back'
    REQUEST_RECEIVED = 'request-received'
    REQUEST_SENT = 'request-sent'
    REQUEST_RETRIED = 'request-retried'
    REQUEST_ENDED = 'request-ended'
    MESSAGE_SENT = 'message-sent'
    MESSAGE_RECEIVED = 'message-received'
    OVERLOAD = 'overload'
    NOTE = 'note'


MILESTONES = frozenset(
    {
        Kind.PROCESS_STARTED,
        Kind.PROCESS_STOPPING,
        Kind.CLAIM_ACQUIRED,
        Kind.CLAIM_LOST,
        Kind.EPOCH_RAISED,
        Kind.MOVE_WRITTEN,
        Kind.CONFIG_ACCEPTED,
        Kind.CONFIG_CONFLICT,
        Kind.PRESET_SWITCHED,
        Kind.UPSTREAM_STATE,
        Kind.STORE_DOWN,
        Kind.STORE_BACK,
    }
)
"""Kinds of events that are kept longer and copied to peers."""


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Stamp:
    """Hybrid logical time: milliseconds since 1970 UTC, then a counter."""

    wall_ms: codec.U63 = 0
    counter: Annotated[int, codec.Range(0, (1 << 32) - 1)] = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One event of one process.

    ``seq`` numbers the events of one boot, so (vm, boot, seq) identifies
    an event and all its copies.
    """

    vm: Annotated[ids.VmId, codec.Size(MAX_ID_BYTES)]
    boot: Annotated[ids.BootId, codec.Size(MAX_ID_BYTES)]
    seq: codec.U63
    stamp: Stamp
    kind: Kind
    text: Annotated[str, codec.Size(MAX_TEXT_BYTES)] = ''
    key_hash: Annotated[ids.KeyHash | None, codec.Range(0, codec.MAX_U64)] = (
        None
    )
    request_id: Annotated[ids.RequestId | None, codec.Size(MAX_ID_BYTES)] = (
        None
    )
    shard: Annotated[ids.ShardId | None, codec.Size(MAX_ID_BYTES)] = None
    upstream: Annotated[ids.UpstreamId | None, codec.Size(MAX_ID_BYTES)] = None
    domain: Annotated[ids.DomainId | None, codec.Size(MAX_ID_BYTES)] = None
    epoch: Annotated[ids.Epoch | None, codec.Range(0, codec.MAX_U63)] = None
    map_version: Annotated[
        ids.MapVersion | None, codec.Range(0, codec.MAX_U63)
    ] = None
    config_version: Annotated[
        ids.ConfigVersion | None, codec.Range(0, codec.MAX_U63)
    ] = None

    @property
    def identity(self) -> tuple[str, str, int]:
        return (self.vm, self.boot, self.seq)


@dataclass(frozen=True, kw_only=True, slots=True)
class Filter:
    """Selects the events of a query; an unset field matches everything.

    Times are milliseconds since 1970 UTC, ``since_ms`` is inclusive and
    ``until_ms`` exclusive. With ``shards``, ``key_hash`` also matches the
    events of these shards.
    """

    key_hash: Annotated[ids.KeyHash | None, codec.Range(0, codec.MAX_U64)] = (
        None
    )
    request_id: Annotated[ids.RequestId | None, codec.Size(MAX_ID_BYTES)] = (
        None
    )
    vm: Annotated[ids.VmId | None, codec.Size(MAX_ID_BYTES)] = None
    since_ms: codec.U63 = 0
    until_ms: codec.U63 = codec.MAX_U63
    kinds: Annotated[tuple[Kind, ...], codec.Size(64)] = field(default=())
    shards: Annotated[tuple[ShardId, ...], codec.Size(16)] = ()

    def matches(self, event: Event) -> bool:
        return (
            self.since_ms <= event.stamp.wall_ms < self.until_ms
            and self._matches_key(event)
            and self.request_id in (None, event.request_id)
            and self.vm in (None, event.vm)
            and (not self.kinds or event.kind in self.kinds)
        )

    def _matches_key(self, event: Event) -> bool:
        if self.key_hash in (None, event.key_hash):
            return True
        return event.shard is not None and event.shard in self.shards

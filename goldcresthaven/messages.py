"""Messages between entry processes.

A frame on the wire is the CBOR array ``[tag, kind, number, fields...]``.
Tags are never reused. ``codec`` describes how fields may be added.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Annotated
from typing import Any

from goldcresthaven import codec
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import message_fields
from goldcresthaven import slots

MAX_MESSAGE_BYTES = 1 << 20
# Limit before authentication; a Hello has about 250 bytes.
MAX_HELLO_BYTES = 4096
# Leaves room in a message for the frame and an entry of the second log.
MAX_ENTRY_BYTES = 384 << 10
MAX_SNAPSHOT_CHUNK_BYTES = 512 << 10
MAX_ITEMS = message_fields.MAX_ITEMS
# Limit on all events of a message; leaves room for the frame.
MAX_EVENT_BYTES = MAX_MESSAGE_BYTES - 1024


class LogName(Enum):
    """The two replicated logs; values are the table names."""

    MAP = 'map_log'
    CONFIG = 'config_log'


class Kind(Enum):
    """Whether a frame is a one-way message, a request or a reply."""

    ONE_WAY = 'm'
    REQUEST = 'q'
    REPLY = 'r'


@dataclass(frozen=True, kw_only=True, slots=True)
class Credential:
    """Proof of identity; ``auth`` creates and verifies it.

    ``challenge`` is the nonce received from the other side, or empty if
    none has been received.
    """

    key_id: Annotated[str, codec.Size(64)]
    actor: Annotated[str, codec.Size(128)]
    target: Annotated[str, codec.Size(128)]
    time_ms: codec.U63
    nonce: Annotated[bytes, codec.Size(32)]
    mac: Annotated[bytes, codec.Size(32)]
    challenge: Annotated[bytes, codec.Size(32)] = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First frame in each direction of a connection."""

    vm: message_fields.Vm
    zone: message_fields.Zone
    boot: message_fields.Boot
    credential: Credential


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Checks whether a peer is alive and reports the sender's versions."""

    stamp: events.Stamp
    map_version: message_fields.MapVersion
    config_version: message_fields.ConfigVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatAck:
    """Reply to Heartbeat with the replying process's versions."""

    stamp: events.Stamp
    map_version: message_fields.MapVersion
    config_version: message_fields.ConfigVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One row of a log.

    ``value`` is the row's value as canonical JSON, so that its bytes are
    identical in all processes. ``gossip`` does not decode it.
    """

    version: Annotated[int, codec.Range(1, codec.MAX_U63)]
    txn: Annotated[ids.TxnId, codec.Size(128)]
    value: Annotated[bytes, codec.Size(MAX_ENTRY_BYTES)]


@dataclass(frozen=True, kw_only=True, slots=True)
class LogRange:
    """Consecutive entries of a log, and the sender's version as ``head``.

    ``too_old`` means that the sender no longer keeps entries that the
    receiver is missing, so the receiver needs a snapshot.
    """

    log: LogName
    head: codec.U63
    entries: Annotated[tuple[LogEntry, ...], codec.Size(MAX_ITEMS)] = ()
    too_old: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Log entries, pushed to a peer or sent in reply to PullChanges.

    ``authoritative`` means that the sender is ready: its versions were
    confirmed to be recent. A process that has just started relies only on
    such replies.
    """

    ranges: Annotated[tuple[LogRange, ...], codec.Size(2)]
    authoritative: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LogVersion:
    """The version of a log that the sender has applied."""

    log: LogName
    version: codec.U63


@dataclass(frozen=True, kw_only=True, slots=True)
class PullChanges:
    """Requests the entries after the sender's versions."""

    have: Annotated[tuple[LogVersion, ...], codec.Size(2)]


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotQuery:
    """Requests a chunk of a peer's snapshot of a log.

    Version 0 means the latest. Queries for later chunks contain the version
    of the first, because chunks of two versions must not be mixed.
    """

    log: LogName
    version: codec.U63 = 0
    offset: codec.U63 = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotReply:
    """A chunk of a snapshot; ``total`` 0 means that it is not available."""

    log: LogName
    version: codec.U63
    offset: codec.U63
    total: codec.U63
    data: Annotated[bytes, codec.Size(MAX_SNAPSHOT_CHUNK_BYTES)] = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsentRequest:
    """Asks a peer not to raise the domain's epoch for ``duration_ms``."""

    domain: message_fields.Domain
    epoch: message_fields.Epoch
    duration_ms: message_fields.DurationMs


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsentReply:
    """``epoch`` is the highest epoch of the domain known to the peer."""

    domain: message_fields.Domain
    epoch: message_fields.Epoch
    granted: bool
    duration_ms: message_fields.DurationMs = 0
    reason: Annotated[str, codec.Size(256)] = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReleased:
    """The sender has released a domain's claim, so it can be acquired now."""

    domain: message_fields.Domain


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedMember:
    """One VM of the membership list; ``address`` is ``host:port``."""

    vm: message_fields.Vm
    zone: message_fields.Zone
    role: members.Role
    state: members.MemberState
    address: Annotated[str, codec.Size(64)]
    pool: Annotated[ids.PoolName | None, codec.Size(128)] = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MembersQuery:
    """Requests the members with ids greater than ``after``, sorted by id.

    A process that starts while the platform is down sends it to its peers.
    """

    after: Annotated[str, codec.Size(128)] = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class MembersReply:
    """A page of the membership list; ``more`` means it is not the last."""

    members: Annotated[
        tuple[ListedMember, ...], codec.Size(message_fields.MAX_ITEMS)
    ]
    more: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteLeaseRequest:
    """Requests a lease from the claim holder to send to a shard's owner.

    Not sent yet: route leases are reserved for keyed upstreams that do not
    check leases themselves, which the configuration rejects so far.
    """

    domain: message_fields.Domain
    shard: message_fields.ShardKey
    map_version: message_fields.MapVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteLeaseGrant:
    """A lease whose duration starts when its request was sent.

    If it is refused, ``owner`` is None and ``duration_ms`` is 0.
    """

    domain: message_fields.Domain
    shard: message_fields.ShardKey
    epoch: message_fields.Epoch
    duration_ms: message_fields.DurationMs = 0
    owner: Annotated[ids.UpstreamId | None, codec.Size(128)] = None
    reason: Annotated[str, codec.Size(256)] = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineQuery:
    """Requests the newest ``limit`` matching events of a process."""

    wanted: events.Filter = field(default_factory=events.Filter)
    limit: Annotated[int, codec.Range(1, MAX_ITEMS)] = 1000


Events = Annotated[tuple[events.Event, ...], codec.Size(MAX_ITEMS)]


@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineReply:
    """``truncated`` means that older matching events were left out."""

    events: Events
    truncated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Milestones:
    """A process's milestones, which peers keep in case its VM is lost.

    The reply that confirms them is an empty ``Milestones``.
    """

    events: Events


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusQuery:
    """Requests the state of a process."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReply:
    """State of one process; ``details`` is JSON for the operator."""

    vm: message_fields.Vm
    zone: message_fields.Zone
    boot: message_fields.Boot
    ready: bool
    map_version: message_fields.MapVersion
    config_version: message_fields.ConfigVersion
    preset: Annotated[str, codec.Size(128)] = ''
    uptime_ms: codec.U63 = 0
    details: Annotated[bytes, codec.Size(64 << 10)] = b'{}'


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestQuery:
    """Requests a caller's request from a process's history."""

    request_id: Annotated[ids.RequestId, codec.Size(128)]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestReply:
    """``found`` is JSON for the operator; empty if it was not found."""

    found: Annotated[bytes, codec.Size(64 << 10)] = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Reply to a request that the peer could not handle."""

    reason: Annotated[str, codec.Size(256)]


Message = (
    Hello
    | Heartbeat
    | HeartbeatAck
    | Changes
    | PullChanges
    | SnapshotQuery
    | SnapshotReply
    | ConsentRequest
    | ConsentReply
    | slots.SlotDemand
    | slots.SlotGrant
    | slots.SlotReturn
    | slots.SlotRecall
    | RouteLeaseRequest
    | RouteLeaseGrant
    | TimelineQuery
    | TimelineReply
    | Milestones
    | StatusQuery
    | StatusReply
    | Refusal
    | ClaimReleased
    | MembersQuery
    | MembersReply
    | RequestQuery
    | RequestReply
)

TAGS: dict[int, type[Any]] = {
    1: Hello,
    2: Heartbeat,
    3: HeartbeatAck,
    4: Changes,
    5: PullChanges,
    6: SnapshotQuery,
    7: SnapshotReply,
    8: ConsentRequest,
    9: ConsentReply,
    10: slots.SlotDemand,
    11: slots.SlotGrant,
    12: slots.SlotReturn,
    13: slots.SlotRecall,
    14: RouteLeaseRequest,
    15: RouteLeaseGrant,
    16: TimelineQuery,
    17: TimelineReply,
    18: Milestones,
    19: StatusQuery,
    20: StatusReply,
    21: Refusal,
    22: ClaimReleased,
    23: MembersQuery,
    24: MembersReply,
    25: RequestQuery,
    26: RequestReply,
}
_TAG_OF = {cls: tag for tag, cls in TAGS.items()}
_KINDS = {kind.value: kind for kind in Kind}
_HEAD_ITEMS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A message with its kind.

    ``number`` is the same in a request and its reply, and 0 in one-way
    frames.
    """

    message: Message
    kind: Kind = Kind.ONE_WAY
    number: int = 0


def encode(frame: Frame) -> bytes:
    """Return the encoded frame.

    Raises ProtocolError when a field exceeds its limits or the frame
    exceeds MAX_MESSAGE_BYTES.
    """
    tag = _TAG_OF[type(frame.message)]
    head = [tag, frame.kind.value, frame.number]
    data = codec.dumps(head + codec.dump(frame.message))
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.ProtocolError(
            f'a {type(frame.message).__name__} of {len(data)} bytes exceeds '
            f'{MAX_MESSAGE_BYTES}',
            remedy='split it into several messages',
        )
    return data


def newest_that_fit(
    found: Sequence[events.Event],
) -> tuple[events.Event, ...]:
    """Return as many of the last events as fit into one message."""
    size = 0
    count = 0
    for event in reversed(found):
        size += len(codec.dumps(codec.dump(event)))
        if size > MAX_EVENT_BYTES or count >= MAX_ITEMS:
            break
        count += 1
    return tuple(found[len(found) - count :])


def decode(data: bytes, *, max_size: int = MAX_MESSAGE_BYTES) -> Frame:
    """Return the decoded frame.

    Raises ProtocolError if the data is not a valid frame.
    """
    value = codec.loads(data, max_size=max_size)
    if type(value) is not list or len(value) < _HEAD_ITEMS:
        raise _bad_frame('not an array with tag, kind and number')
    tag, kind, number = value[:_HEAD_ITEMS]
    if type(tag) is not int or tag not in TAGS:
        raise _bad_frame('unknown message tag')
    if type(kind) is not str or kind not in _KINDS:
        raise _bad_frame('unknown frame kind')
    if type(number) is not int or not 0 <= number <= codec.MAX_U63:
        raise _bad_frame('invalid request number')
    if (number == 0) != (_KINDS[kind] is Kind.ONE_WAY):
        raise _bad_frame('request number does not fit the frame kind')
    message = codec.load(TAGS[tag], value[_HEAD_ITEMS:])
    return Frame(message=message, kind=_KINDS[kind], number=number)


def _bad_frame(problem: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        f'invalid frame: {problem}',
        remedy='check that both processes run adjacent releases',
    )

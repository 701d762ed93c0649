"""Data classes of the responses to the operator.

The entry process creates them, ``operator_api`` encodes them as JSON, and
the command line decodes them. Times are UTC. Durations are in
milliseconds and have the suffix ``_ms``.
"""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import Annotated
from typing import Any
from typing import ClassVar
from typing import TypeVar

import pydantic

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import problems

T = TypeVar('T')

# Bounds the memory and the response size of one merged timeline.
MAX_EVENTS = 5000


@dataclass(frozen=True, kw_only=True, slots=True)
class Health:
    """Response of the liveness check of the load balancer.

    The process responds, so its VM need not be replaced. The command line
    signs a change for ``vm``.
    """

    vm: ids.VmId
    alive: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Readiness:
    """Whether the load balancer may send callers to this process.

    ``reason`` says why not.
    """

    ready: bool
    reason: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The claim of a process on a domain, as known to this process.

    The holder grants the leases of the upstreams in the domain. ``state``
    is held, extended (valid only by the consent of the peers), lost (this
    process is the recorded holder, but the claim is no longer valid), other
    (held by another process) or free. ``expires_in_ms`` is set only while
    this process holds the claim.
    """

    domain: ids.DomainId
    epoch: ids.Epoch
    holder: ids.VmId | None
    state: str
    expires_in_ms: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """An upstream and its current state at this process.

    ``state`` is one word such as up, slow-start, open (the circuit breaker
    is open), draining or lost.
    """

    upstream: ids.UpstreamId
    pool: ids.PoolName
    zone: ids.ZoneId
    state: str
    domain: ids.DomainId | None = None
    reason: str = ''
    slots: int = 0
    slots_in_use: int = 0
    connections: int = 0
    reported_load: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Another entry process and the versions that it has applied.

    The versions are None when it did not respond.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    reachable: bool
    ready: bool = False
    config_version: ids.ConfigVersion | None = None
    map_version: ids.MapVersion | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """The queue of this process for the requests of one pool and rank."""

    pool: ids.PoolName
    rank: str
    length: int
    size_bytes: int
    oldest_ms: int = 0
    refused: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Local:
    """The status of the process itself, known without its peers."""

    vm: ids.VmId
    zone: ids.ZoneId
    boot: ids.BootId
    readiness: Readiness
    config_version: ids.ConfigVersion | None
    map_version: ids.MapVersion
    preset: ids.PresetName | None
    store: str
    memory_bytes: int
    claims: tuple[Claim, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    queues: tuple[Queue, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """The status of one process and of its peers.

    ``behind`` lists peers with an older configuration than the newest one
    applied by any process, ``unreachable`` those that did not respond.
    """

    local: Local
    peers: tuple[Peer, ...]
    behind: tuple[ids.VmId, ...]
    unreachable: tuple[ids.VmId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyExplanation:
    """The owner of a key, or the reason why its requests are refused."""

    pool: ids.PoolName
    key: str
    key_hash: str
    map_version: ids.MapVersion
    served: bool
    explanation: str
    advice: str
    shard: ids.ShardId | None = None
    owner: ids.UpstreamId | None = None
    owner_state: str | None = None
    domain: ids.DomainId | None = None
    epoch: ids.Epoch | None = None
    holder: ids.VmId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One attempt to execute a request at one upstream."""

    upstream: ids.UpstreamId
    started: datetime
    duration_ms: float
    result: str
    reason: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """The record of a finished request.

    It contains no key, header or body of the caller. ``outcome`` is done,
    not-run or unknown.
    """

    request: ids.RequestId
    process: ids.VmId
    received: datetime
    duration_ms: float
    outcome: str
    reason: str
    status: int
    rank: str | None = None
    pool: ids.PoolName | None = None
    key_hash: str | None = None
    shard: ids.ShardId | None = None
    epoch: ids.Epoch | None = None
    config_version: ids.ConfigVersion | None = None
    preset: ids.PresetName | None = None
    queued_ms: float = 0.0
    detail: str = ''
    attempts: tuple[Attempt, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestExplanation:
    """The outcome of a request, from the records of all processes.

    ``request`` is None when no process that responded has a record of it.
    """

    request: Request | None
    explanation: str
    unreachable: tuple[ids.VmId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One event of the timeline.

    ``at`` and ``counter`` are the hybrid logical time. Events sorted by
    (at, counter, process) are in causal order.
    """

    at: datetime
    counter: int
    process: ids.VmId
    kind: str
    detail: str = ''
    request: ids.RequestId | None = None
    key_hash: str | None = None
    domain: ids.DomainId | None = None
    epoch: ids.Epoch | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """Events in causal order and the processes that did not respond.

    The only events of an unreachable process are the milestones of which
    its peers hold copies. ``truncated`` means that older matching events
    were left out; ``incomplete`` names the processes that left some out.
    """

    events: tuple[Event, ...]
    unreachable: tuple[ids.VmId, ...] = ()
    truncated: bool = False
    incomplete: tuple[ids.VmId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineQuery:
    """Selects the newest ``limit`` events that match the other fields.

    A field that is None matches all events. ``after`` is inclusive and
    ``before`` exclusive.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = pydantic.ConfigDict(
        extra='forbid'
    )
    key_hash: str | None = None
    request: ids.RequestId | None = None
    process: ids.VmId | None = None
    after: pydantic.AwareDatetime | None = None
    before: pydantic.AwareDatetime | None = None
    milestones: bool = False
    limit: Annotated[int, pydantic.Field(ge=1, le=MAX_EVENTS)] = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """The configuration that a process has applied."""

    version: ids.ConfigVersion
    txn: ids.TxnId
    author: str
    change: str
    document: presets.Document


@dataclass(frozen=True, kw_only=True, slots=True)
class PresetList:
    """All presets and the name of the one in force."""

    version: ids.ConfigVersion
    in_force: ids.PresetName
    presets: tuple[presets.Preset, ...]


class ChangeState(Enum):
    """Result of a submitted change."""

    DRY_RUN = 'dry-run'
    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    NOT_ACCEPTED = 'not-accepted'
    STILL_UNKNOWN = 'still-unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeResult:
    """Result of a submitted change and advice for the operator.

    ``difference`` lists what the change does to the document. In a conflict
    ``other_author`` and ``other_change`` describe the change that was
    stored first. ``warning`` is set when the change may be a mistake, such
    as a mistyped name.
    """

    state: ChangeState
    version: ids.ConfigVersion | None
    advice: str
    difference: tuple[str, ...] = ()
    detail: str = ''
    warning: str = ''
    other_author: str = ''
    other_change: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The call was refused and had no effect."""

    problem: str
    remedy: str


def encode(view: object) -> bytes:
    """Encode a view as JSON."""
    adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(type(view))
    return adapter.dump_json(view)


def decode(view_type: type[T], body: bytes) -> T:
    """Decode a view from JSON.

    Raises ProtocolError when the text is not such a view. Unknown keys are
    ignored, so that responses of a newer process can be decoded.
    """
    try:
        return pydantic.TypeAdapter(view_type).validate_json(body)
    except pydantic.ValidationError as exc:
        found = problems.as_text(problems.from_validation(exc))
        raise errors.ProtocolError(
            f'the entry process sent an invalid response: {found}',
            remedy='use the command line of the same release',
        ) from None

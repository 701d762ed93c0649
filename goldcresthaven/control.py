"""Events and actions of the ownership controller.

The driver passes each event to the controller with the time of its clock
and carries out the returned actions in order. A response that never arrives
needs no event, except that every ``Transact`` gets a ``TransactResult``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum

from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import shards
from goldcresthaven import tables

TICK_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Sent every ``TICK_INTERVAL``, so that the controller can act on time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MembersRead:
    """The platform's membership list."""

    members: tuple[members.Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigApplied:
    """A configuration was applied in this process."""

    document: presets.Document


@dataclass(frozen=True, kw_only=True, slots=True)
class MapLoaded:
    """A map snapshot; ignored unless it is newer than the current map."""

    shard_map: shards.ShardMap


@dataclass(frozen=True, kw_only=True, slots=True)
class MapChanges:
    """Consecutive map log entries from a peer."""

    changes: tuple[shards.MapChange, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MapLogRead:
    """The store's response to ``ReadMapLog``, up to the end of the log."""

    token: int
    changes: tuple[shards.MapChange, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsRead:
    """All rows of the claims table, with the token of ``ReadClaims``."""

    token: int
    rows: tuple[tables.Row, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactResult:
    """The result of one ``Transact``; a timeout is ``Ambiguous``."""

    txn: ids.TxnId
    result: tables.Result


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReplied:
    """An upstream's response to a ``SendLease``."""

    upstream: ids.UpstreamId
    request: leases.LeaseRequest
    reply: leases.LeaseReply


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatAcked:
    """A peer responded to a heartbeat of this process."""

    vm: ids.VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsentRequested:
    """A holder asks this process not to raise a domain's epoch."""

    vm: ids.VmId
    domain: ids.DomainId
    epoch: ids.Epoch
    nonce: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsentReplied:
    """A peer's response to a ``SendConsentRequest``."""

    vm: ids.VmId
    domain: ids.DomainId
    epoch: ids.Epoch
    nonce: int
    granted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class HotKey:
    """A key that causes a large share of its pool's load.

    ``load`` is the number of requests per second for the key.
    """

    pool: ids.PoolName
    key_hash: ids.KeyHash
    load: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadMeasured:
    """Requests per second by shard, and hot keys, over all entry processes."""

    by_shard: Mapping[ids.ShardId, float]
    hot_keys: tuple[HotKey, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseNotified:
    """``vm`` reports that it has released a domain's claim and stops."""

    vm: ids.VmId
    domain: ids.DomainId


@dataclass(frozen=True, kw_only=True, slots=True)
class Stopping:
    """The process shuts down gracefully and has to release its claims."""


Event = (
    Tick
    | MembersRead
    | ConfigApplied
    | MapLoaded
    | MapChanges
    | MapLogRead
    | ClaimsRead
    | TransactResult
    | LeaseReplied
    | HeartbeatAcked
    | ConsentRequested
    | ConsentReplied
    | LoadMeasured
    | ReleaseNotified
    | Stopping
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Transact:
    """Send a transaction to the store once; the controller does retries."""

    transaction: tables.Transaction


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadMapLog:
    """Read the store's map log from after a version to its end."""

    token: int
    after: ids.MapVersion


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadClaims:
    """Read all rows of the claims table."""

    token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SendLease:
    """POST a lease request or probe to an upstream, without retries."""

    upstream: ids.UpstreamId
    request: leases.LeaseRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to a peer."""

    vm: ids.VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class SendConsentRequest:
    """Ask a peer not to raise a domain's epoch."""

    vm: ids.VmId
    domain: ids.DomainId
    epoch: ids.Epoch
    nonce: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SendConsentReply:
    """Send the response to a peer's ``ConsentRequested``."""

    vm: ids.VmId
    domain: ids.DomainId
    epoch: ids.Epoch
    nonce: int
    granted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class MapCommitted:
    """Push to peers a map change that this process has committed."""

    change: shards.MapChange


@dataclass(frozen=True, kw_only=True, slots=True)
class NotifyRelease:
    """Tell a peer that a domain's claim was released."""

    vm: ids.VmId
    domain: ids.DomainId


class MilestoneKind(Enum):
    CLAIM_TAKEN = 'claim-taken'
    CLAIM_LOST = 'claim-lost'
    CLAIM_EXTENDED = 'claim-extended'
    CLAIM_RELEASED = 'claim-released'
    UPSTREAM_LOST = 'upstream-lost'
    UPSTREAM_BACK = 'upstream-back'
    SHARDS_MOVED = 'shards-moved'
    SHARD_SPLIT = 'shard-split'
    MAP_CREATED = 'map-created'


@dataclass(frozen=True, kw_only=True, slots=True)
class Milestone:
    """An event to record in the timeline, with its data."""

    kind: MilestoneKind
    data: Mapping[str, str | int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class AllClaimsReleased:
    """Every claim has been released; the process may exit."""


Action = (
    Transact
    | ReadMapLog
    | ReadClaims
    | SendLease
    | SendHeartbeat
    | SendConsentRequest
    | SendConsentReply
    | MapCommitted
    | NotifyRelease
    | Milestone
    | AllClaimsReleased
)

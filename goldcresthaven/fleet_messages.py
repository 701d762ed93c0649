"""Messages between the processes of a fleet, one in each datagram.

Each process handles only some of the requests. It reports the keys of its
recent requests, and the loads that upstreams sent it, to the coordinator.
The coordinator balances keys by these reports and sends the merged loads back.
It also announces changes of the key map, and relays changed rows of the tables
that it follows, so that only processes that miss a datagram have to ask for
them, or to read the store. A new coordinator asks its predecessor to step
down; the answer may shorten a wait. Apart from that, nothing depends on the
arrival of a datagram.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import state_store
from goldcresthaven import table_relay

# Limits of one report. The weight of its keys makes up for further keys;
# further loads are left out.
MAX_KEYS = 200
MAX_LOADS = 300
# Limit of one datagram, which is then about 4 KiB; the others follow later.
MAX_LEAVING = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamLoad:
    """An upstream's load as one process observed it ``age`` ago.

    ``requests`` counts running and queued requests. ``service`` is the mean
    service time that the process has measured.
    """

    upstream_id: ids.UpstreamId
    requests: int
    slots: int
    age: timedelta
    service: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The keys and loads that one process has observed.

    Each key stands for ``weight`` requests.
    """

    pool: ids.PoolName
    keys: Sequence[int]
    weight: float
    loads: Sequence[UpstreamLoad]


@dataclass(frozen=True, kw_only=True, slots=True)
class CoordinatorReport:
    """The periodic report of a coordinator with a recently renewed claim.

    ``map_version`` is the version of the last key map that it announced.
    ``tables`` are the states of the tables that it follows. ``processes`` is
    the number of processes that have reported recently, plus itself.
    ``peers`` are the addresses, as ``host:port``, of some of these.
    Successive reports name different ones, so that a successor knows all.
    """

    pool: ids.PoolName
    map_version: int
    loads: Sequence[UpstreamLoad]
    tables: Sequence[table_relay.TableState] = ()
    processes: int = 1
    peers: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayedRows:
    """Changed rows that a coordinator has just received from the store."""

    pool: ids.PoolName
    changes: table_relay.RowChanges


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsRequest:
    """A request for the rows of a table that changed after a version.

    A process sends it to a coordinator whose report shows that it has missed
    relayed rows. The answer is a ``RelayedRows``, or nothing.
    """

    pool: ids.PoolName
    table: state_store.Table
    after: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MapChange:
    """The change from map version ``base`` to ``version``.

    ``ranges`` are the moved ranges as they are in the new map. Raised fences
    of other ranges are not included.
    """

    pool: ids.PoolName
    base: int
    version: int
    ranges: Sequence[key_map.KeyRange]


@dataclass(frozen=True, kw_only=True, slots=True)
class CoordinatorChange:
    """The first map of a new coordinator, which keeps all owners.

    It replaces the version ``base``. ``address`` is the coordinator's, as
    ``host:port``.
    """

    pool: ids.PoolName
    base: int
    version: int
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Moving:
    """Keys that their owner is being asked to release.

    Requests for them wait for the next map instead of being refused.
    """

    pool: ids.PoolName
    first: int
    last: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StepDown:
    """A new coordinator's request to its predecessor to stop granting."""

    pool: ids.PoolName
    claim_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldBound:
    """An upper bound on the time left of the sender's holds at an upstream."""

    upstream_id: ids.UpstreamId
    left: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class SteppedDown:
    """The predecessor's confirmation that it has stopped granting.

    Upstreams that are not in ``bounds`` hold no grants of the predecessor.
    """

    pool: ids.PoolName
    claim_version: int
    bounds: Sequence[HoldBound]


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingUpstream:
    """An incarnation that was found leaving ``age`` ago."""

    upstream_id: ids.UpstreamId
    incarnation: int
    age: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """Upstreams whose responses have announced that they leave.

    It is a message of its own, because earlier versions of the program
    reject a report with further fields as a whole.
    """

    pool: ids.PoolName
    upstreams: Sequence[LeavingUpstream]


Announcement = MapChange | CoordinatorChange | Moving
Loads = Sequence[UpstreamLoad]
Message = (
    Report
    | CoordinatorReport
    | RelayedRows
    | RowsRequest
    | MapChange
    | CoordinatorChange
    | Moving
    | StepDown
    | SteppedDown
    | Leaving
)

"""Datagrams between the processes of a fleet, as CBOR.

Each process handles only some of the requests. It reports the keys of its
recent requests, and the loads that upstreams sent it, to the coordinator.
The coordinator balances keys by these reports and sends the merged loads
back. It also announces changes of the key map, and relays changed rows of
the tables that it follows, so that only processes that miss a datagram have
to read the store. A new coordinator asks its predecessor to step down; the
answer may shorten a wait. Apart from that, nothing depends on the arrival of
a datagram.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any
import zlib

import cbor2

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import members
from goldcresthaven import state_store
from goldcresthaven import table_relay

# Limits of one report. The weight of its keys makes up for further keys;
# further loads are left out.
MAX_KEYS = 200
MAX_LOADS = 300
# Limit of one datagram, which is then about 4 KiB; the others follow later.
MAX_LEAVING = 100
# The operating system reassembles UDP datagrams of up to this size.
MAX_BYTES = 60_000
# Limit of relayed rows after decompression, in bytes.
MAX_ROWS_SIZE = 1 << 20
_MS = timedelta(milliseconds=1)


class Kind(Enum):
    REPORT = 1
    COORDINATOR_REPORT = 2
    MAP_CHANGE = 3
    STEP_DOWN = 4
    STEPPED_DOWN = 5
    MOVING = 6
    COORDINATOR_CHANGE = 8
    RELAYED_ROWS = 9
    LEAVING = 10


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
    | MapChange
    | CoordinatorChange
    | Moving
    | StepDown
    | SteppedDown
    | Leaving
)


def encode(message: Message) -> bytes:
    return cbor2.dumps(_encode_fields(message))


def _encode_fields(message: Message) -> list[Any]:
    match message:
        case Report():
            return [
                Kind.REPORT.value,
                message.pool,
                list(message.keys[:MAX_KEYS]),
                message.weight,
                _encode_loads(message.loads),
            ]
        case CoordinatorReport():
            return [
                Kind.COORDINATOR_REPORT.value,
                message.pool,
                message.map_version,
                _encode_loads(message.loads),
                [_encode_table(state) for state in message.tables],
                message.processes,
                list(message.peers),
            ]
        case CoordinatorChange():
            return [
                Kind.COORDINATOR_CHANGE.value,
                message.pool,
                message.base,
                message.version,
                message.address,
            ]
        case RelayedRows():
            changes = message.changes
            return [
                Kind.RELAYED_ROWS.value,
                message.pool,
                changes.table.value,
                changes.base,
                changes.reached,
                _compress_rows(changes.rows),
            ]
        case MapChange():
            return [
                Kind.MAP_CHANGE.value,
                message.pool,
                message.base,
                message.version,
                [_encode_range(r) for r in message.ranges],
            ]
        case Moving():
            return [
                Kind.MOVING.value,
                message.pool,
                message.first,
                message.last,
            ]
        case StepDown():
            return [
                Kind.STEP_DOWN.value,
                message.pool,
                message.claim_version,
            ]
        case SteppedDown():
            return [
                Kind.STEPPED_DOWN.value,
                message.pool,
                message.claim_version,
                [[b.upstream_id, _ms(b.left)] for b in message.bounds],
            ]
        case Leaving():
            return [
                Kind.LEAVING.value,
                message.pool,
                [
                    [u.upstream_id, u.incarnation, _ms(u.age)]
                    for u in message.upstreams
                ],
            ]


def decode(data: bytes) -> Message:
    """Decode a datagram; raises ProtocolError if it is malformed."""
    try:
        kind, pool, *fields = cbor2.loads(data)
        return _decode_message(Kind(kind), ids.PoolName(str(pool)), fields)
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        TypeError,
        ValueError,
    ) as exc:
        raise errors.ProtocolError(
            f'a datagram between processes is malformed: {exc!r}',
            remedy='check which other programs send to the port',
        ) from exc


def _decode_message(
    kind: Kind, pool: ids.PoolName, fields: list[Any]
) -> Message:
    match kind:
        case Kind.REPORT:
            keys, weight, loads = fields
            return Report(
                pool=pool,
                keys=[_decode_key(key) for key in keys],
                weight=float(weight),
                loads=[_decode_load(load) for load in loads],
            )
        case Kind.COORDINATOR_REPORT:
            version, loads, tables, processes, *later = fields
            # Earlier versions of the program name no peers.
            peers = later[0] if later else ()
            return CoordinatorReport(
                pool=pool,
                map_version=int(version),
                loads=[_decode_load(load) for load in loads],
                tables=[_decode_table(state) for state in tables],
                processes=int(processes),
                peers=tuple(_decode_address(peer) for peer in peers),
            )
        case Kind.COORDINATOR_CHANGE:
            base, version, address = fields
            return CoordinatorChange(
                pool=pool,
                base=int(base),
                version=int(version),
                address=_decode_address(address),
            )
        case Kind.RELAYED_ROWS:
            table, base, reached, rows = fields
            return RelayedRows(
                pool=pool,
                changes=table_relay.RowChanges(
                    table=state_store.Table(table),
                    base=int(base),
                    reached=int(reached),
                    rows=_decompress_rows(rows),
                ),
            )
        case Kind.MAP_CHANGE:
            base, version, ranges = fields
            return MapChange(
                pool=pool,
                base=int(base),
                version=int(version),
                ranges=[_decode_range(r) for r in ranges],
            )
        case Kind.MOVING:
            first, last = fields
            return Moving(
                pool=pool, first=_decode_key(first), last=_decode_key(last)
            )
        case Kind.STEP_DOWN:
            (version,) = fields
            return StepDown(pool=pool, claim_version=int(version))
        case Kind.STEPPED_DOWN:
            version, bounds = fields
            return SteppedDown(
                pool=pool,
                claim_version=int(version),
                bounds=[
                    HoldBound(
                        upstream_id=ids.UpstreamId(str(upstream_id)),
                        left=int(left) * _MS,
                    )
                    for upstream_id, left in bounds
                ],
            )
        case Kind.LEAVING:
            (upstreams,) = fields
            return Leaving(
                pool=pool, upstreams=[_decode_leaving(u) for u in upstreams]
            )


def _ms(duration: timedelta) -> int:
    return round(duration / _MS)


def _encode_loads(loads: Sequence[UpstreamLoad]) -> list[list[Any]]:
    return [
        [
            load.upstream_id,
            load.requests,
            load.slots,
            _ms(load.age),
            _ms(load.service),
        ]
        for load in loads[:MAX_LOADS]
    ]


def _encode_table(state: table_relay.TableState) -> list[Any]:
    return [
        state.table.value,
        state.changed,
        state.reached,
        _ms(state.age),
    ]


def _decode_table(values: Any) -> table_relay.TableState:
    table, changed, reached, age = values
    if int(age) < 0 or int(changed) > int(reached):
        raise ValueError('the version or age of a table is out of range')
    return table_relay.TableState(
        table=state_store.Table(table),
        changed=int(changed),
        reached=int(reached),
        age=int(age) * _MS,
    )


def _compress_rows(rows: Sequence[state_store.Row]) -> bytes:
    """Return rows in a form that few fragments of a datagram hold.

    Rows of the registry resemble each other, and at a rolling release some
    change in each relay interval. The same bytes go to every process.
    """
    values = [[row.key, row.version, row.value] for row in rows]
    return zlib.compress(cbor2.dumps(values))


def _decompress_rows(data: Any) -> tuple[state_store.Row, ...]:
    if not isinstance(data, bytes):
        raise ValueError('the rows are not bytes')
    decompressor = zlib.decompressobj()
    try:
        values = decompressor.decompress(data, MAX_ROWS_SIZE)
    except zlib.error as exc:
        raise ValueError(f'the rows are malformed: {exc}') from exc
    if not decompressor.eof:
        raise ValueError(f'the rows are longer than {MAX_ROWS_SIZE} bytes')
    return tuple(_decode_row(row) for row in cbor2.loads(values))


def _decode_row(values: Any) -> state_store.Row:
    key, version, value = values
    if value is not None and not isinstance(value, bytes):
        raise ValueError('the value of a row is not bytes')
    return state_store.Row(key=str(key), version=int(version), value=value)


def _encode_range(held: key_map.KeyRange) -> list[Any]:
    owner = held.owner
    return [
        held.first,
        held.last,
        owner.upstream_id if owner else '',
        owner.incarnation if owner else 0,
        held.fence,
    ]


def _decode_address(value: Any) -> str:
    return str(members.Address.parse(str(value)))


def _decode_key(value: Any) -> int:
    key = int(value)
    if not key_map.FIRST_KEY <= key <= key_map.LAST_KEY:
        raise ValueError(
            f'key {key} is not between {key_map.FIRST_KEY} and '
            f'{key_map.LAST_KEY}'
        )
    return key


def _decode_load(values: Any) -> UpstreamLoad:
    upstream_id, requests, slots, age, service = values
    if int(slots) < 1 or int(requests) < 0 or int(age) < 0:
        raise ValueError('the load of an upstream is out of range')
    return UpstreamLoad(
        upstream_id=ids.UpstreamId(str(upstream_id)),
        requests=int(requests),
        slots=int(slots),
        age=int(age) * _MS,
        service=max(1, int(service)) * _MS,
    )


def _decode_leaving(values: Any) -> LeavingUpstream:
    upstream_id, incarnation, age = values
    if int(age) < 0:
        raise ValueError('the age of an announcement is negative')
    return LeavingUpstream(
        upstream_id=ids.UpstreamId(str(upstream_id)),
        incarnation=int(incarnation),
        age=int(age) * _MS,
    )


def _decode_range(values: Any) -> key_map.KeyRange:
    first, last, upstream_id, incarnation, fence = values
    if _decode_key(first) > _decode_key(last):
        raise ValueError('the last key of a range is before its first key')
    return key_map.KeyRange(
        first=int(first),
        last=int(last),
        owner=key_map.owner_of(str(upstream_id), int(incarnation)),
        fence=int(fence),
    )

"""The encoding of the messages between processes, as CBOR.

A datagram is a list of the message's kind, its pool and its fields in order.
Other versions of the program read it too, so kinds keep their numbers and
fields their places. Whatever arrives is checked before it is used, because
any program can send to the port.
"""

from collections.abc import Sequence
from datetime import timedelta
from enum import Enum
from typing import Any
import zlib

import cbor2

from goldcresthaven import errors
from goldcresthaven import fleet_messages
from goldcresthaven import ids
from goldcresthaven import key_map
from goldcresthaven import members
from goldcresthaven import state_store
from goldcresthaven import table_relay

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
    ROWS_REQUEST = 11


def encode(message: fleet_messages.Message) -> bytes:
    return cbor2.dumps(_encode_fields(message))


def _encode_fields(message: fleet_messages.Message) -> list[Any]:
    match message:
        case fleet_messages.Report():
            return [
                Kind.REPORT.value,
                message.pool,
                list(message.keys[: fleet_messages.MAX_KEYS]),
                message.weight,
                _encode_loads(message.loads),
            ]
        case fleet_messages.CoordinatorReport():
            return [
                Kind.COORDINATOR_REPORT.value,
                message.pool,
                message.map_version,
                _encode_loads(message.loads),
                [_encode_table(state) for state in message.tables],
                message.processes,
                list(message.peers),
            ]
        case fleet_messages.CoordinatorChange():
            return [
                Kind.COORDINATOR_CHANGE.value,
                message.pool,
                message.base,
                message.version,
                message.address,
            ]
        case fleet_messages.RelayedRows():
            changes = message.changes
            return [
                Kind.RELAYED_ROWS.value,
                message.pool,
                changes.table.value,
                changes.base,
                changes.reached,
                _compress_rows(changes.rows),
            ]
        case fleet_messages.RowsRequest():
            return [
                Kind.ROWS_REQUEST.value,
                message.pool,
                message.table.value,
                message.after,
            ]
        case fleet_messages.MapChange():
            return [
                Kind.MAP_CHANGE.value,
                message.pool,
                message.base,
                message.version,
                [_encode_range(r) for r in message.ranges],
            ]
        case fleet_messages.Moving():
            return [
                Kind.MOVING.value,
                message.pool,
                message.first,
                message.last,
            ]
        case fleet_messages.StepDown():
            return [
                Kind.STEP_DOWN.value,
                message.pool,
                message.claim_version,
            ]
        case fleet_messages.SteppedDown():
            return [
                Kind.STEPPED_DOWN.value,
                message.pool,
                message.claim_version,
                [[b.upstream_id, _ms(b.left)] for b in message.bounds],
            ]
        case fleet_messages.Leaving():
            return [
                Kind.LEAVING.value,
                message.pool,
                [
                    [u.upstream_id, u.incarnation, _ms(u.age)]
                    for u in message.upstreams
                ],
            ]


def decode(data: bytes) -> fleet_messages.Message:
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
) -> fleet_messages.Message:
    match kind:
        case Kind.REPORT:
            keys, weight, loads = fields
            return fleet_messages.Report(
                pool=pool,
                keys=[_decode_key(key) for key in keys],
                weight=float(weight),
                loads=[_decode_load(load) for load in loads],
            )
        case Kind.COORDINATOR_REPORT:
            version, loads, tables, processes, *later = fields
            # Earlier versions of the program name no peers.
            peers = later[0] if later else ()
            return fleet_messages.CoordinatorReport(
                pool=pool,
                map_version=int(version),
                loads=[_decode_load(load) for load in loads],
                tables=[_decode_table(state) for state in tables],
                processes=int(processes),
                peers=tuple(_decode_address(peer) for peer in peers),
            )
        case Kind.COORDINATOR_CHANGE:
            base, version, address = fields
            return fleet_messages.CoordinatorChange(
                pool=pool,
                base=int(base),
                version=int(version),
                address=_decode_address(address),
            )
        case Kind.RELAYED_ROWS:
            table, base, reached, rows = fields
            return fleet_messages.RelayedRows(
                pool=pool,
                changes=table_relay.RowChanges(
                    table=state_store.Table(table),
                    base=int(base),
                    reached=int(reached),
                    rows=_decompress_rows(rows),
                ),
            )
        case Kind.ROWS_REQUEST:
            table, after = fields
            return fleet_messages.RowsRequest(
                pool=pool,
                table=state_store.Table(table),
                after=int(after),
            )
        case Kind.MAP_CHANGE:
            base, version, ranges = fields
            return fleet_messages.MapChange(
                pool=pool,
                base=int(base),
                version=int(version),
                ranges=[_decode_range(r) for r in ranges],
            )
        case Kind.MOVING:
            first, last = fields
            return fleet_messages.Moving(
                pool=pool, first=_decode_key(first), last=_decode_key(last)
            )
        case Kind.STEP_DOWN:
            (version,) = fields
            return fleet_messages.StepDown(
                pool=pool, claim_version=int(version)
            )
        case Kind.STEPPED_DOWN:
            version, bounds = fields
            return fleet_messages.SteppedDown(
                pool=pool,
                claim_version=int(version),
                bounds=[
                    fleet_messages.HoldBound(
                        upstream_id=ids.UpstreamId(str(upstream_id)),
                        left=int(left) * _MS,
                    )
                    for upstream_id, left in bounds
                ],
            )
        case Kind.LEAVING:
            (upstreams,) = fields
            return fleet_messages.Leaving(
                pool=pool, upstreams=[_decode_leaving(u) for u in upstreams]
            )


def _ms(duration: timedelta) -> int:
    return round(duration / _MS)


def _encode_loads(
    loads: Sequence[fleet_messages.UpstreamLoad],
) -> list[list[Any]]:
    return [
        [
            load.upstream_id,
            load.requests,
            load.slots,
            _ms(load.age),
            _ms(load.service),
        ]
        for load in loads[: fleet_messages.MAX_LOADS]
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


def _decode_load(values: Any) -> fleet_messages.UpstreamLoad:
    upstream_id, requests, slots, age, service = values
    if int(slots) < 1 or int(requests) < 0 or int(age) < 0:
        raise ValueError('the load of an upstream is out of range')
    return fleet_messages.UpstreamLoad(
        upstream_id=ids.UpstreamId(str(upstream_id)),
        requests=int(requests),
        slots=int(slots),
        age=int(age) * _MS,
        service=max(1, int(service)) * _MS,
    )


def _decode_leaving(values: Any) -> fleet_messages.LeavingUpstream:
    upstream_id, incarnation, age = values
    if int(age) < 0:
        raise ValueError('the age of an announcement is negative')
    return fleet_messages.LeavingUpstream(
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

"""What processes tell each other about the load, as CBOR datagrams.

Each process sees few requests. It sends the keys of its recent requests
and the loads that upstreams reported to the coordinator, which merges them
for balancing keys and sends the merged loads back to all that report. A
lost datagram costs precision only, and nothing that must hold rests on it.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import cbor2

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_map

# A datagram stays below the smallest usual MTU.
MAX_KEYS = 200
MAX_LOADS = 60
MAX_BYTES = 8192
_MS = timedelta(milliseconds=1)


class Kind(Enum):
    REPORT = 1
    MERGED = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamLoad:
    """An upstream's load as one process saw it ``age`` ago.

    ``requests`` counts those it works on and keeps waiting; ``service`` is
    the mean service time that the process has observed.
    """

    upstream_id: ids.UpstreamId
    requests: int
    slots: int
    age: timedelta
    service: timedelta


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """One datagram; ``keys`` is empty in a merged one.

    ``weight`` is the number of requests that each key stands for.
    """

    kind: Kind
    pool: ids.PoolName
    keys: Sequence[int]
    weight: float
    loads: Sequence[UpstreamLoad]


def encode(report: Report) -> bytes:
    return cbor2.dumps(
        [
            report.kind.value,
            report.pool,
            list(report.keys[:MAX_KEYS]),
            report.weight,
            [
                [
                    load.upstream_id,
                    load.requests,
                    load.slots,
                    round(load.age / _MS),
                    round(load.service / _MS),
                ]
                for load in report.loads[:MAX_LOADS]
            ],
        ]
    )


def decode(data: bytes) -> Report:
    """Decode a datagram; raises ProtocolError."""
    try:
        kind, pool, keys, weight, loads = cbor2.loads(data)
        return Report(
            kind=Kind(kind),
            pool=ids.PoolName(str(pool)),
            keys=[_key(key) for key in keys],
            weight=float(weight),
            loads=[_load(load) for load in loads],
        )
    except (
        cbor2.CBORDecodeError,
        OverflowError,
        TypeError,
        ValueError,
    ) as exc:
        raise errors.ProtocolError(
            f'a load report cannot be read: {exc!r}',
            remedy='check who else sends to the port',
        ) from exc


def _key(value: Any) -> int:
    key = int(value)
    if not key_map.FIRST_KEY <= key <= key_map.LAST_KEY:
        raise ValueError(f'{key} is not a key')
    return key


def _load(values: Any) -> UpstreamLoad:
    upstream_id, requests, slots, age, service = values
    if int(slots) < 1 or int(requests) < 0 or int(age) < 0:
        raise ValueError('a load is out of range')
    return UpstreamLoad(
        upstream_id=ids.UpstreamId(str(upstream_id)),
        requests=int(requests),
        slots=int(slots),
        age=int(age) * _MS,
        service=max(1, int(service)) * _MS,
    )

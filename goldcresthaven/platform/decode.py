"""Decodes table rows that the operator and the upstreams write.

The registry's rows are not trusted, because anyone may have written them.
Each field is checked, and an invalid entry is ignored.
"""

from collections.abc import Mapping
from datetime import timedelta
import ipaddress
import json
import math
import re
from typing import Any

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven.platform import names

_MAX_PORT = 65535
_PORT_DIGITS = 5
# The store's own limit for keys, in bytes.
MAX_NAME_CHARS = 200
# An upstream's id is sent in a header.
_HEADER_TEXT = re.compile(r'[!-~]{1,200}')
# Larger integers are not exact in programs that count in floats.
MAX_COUNT = 1 << 53
# No upstream of this kind serves so many requests at once.
MAX_SLOTS = 1 << 16
# Upstreams are slow for seconds after their start.
MAX_COLD = timedelta(hours=1)


def is_config(row: state_store.Row) -> bool:
    """Return whether a row holds the current configuration."""
    return row.key == names.CONFIG_KEY


def config(value: bytes) -> routes.RouteConfig:
    """Decode a configuration; raises ProtocolError if it is invalid."""
    try:
        document = json.loads(value)
        return routes.RouteConfig(
            version=ids.ConfigVersion(int(document['version'], 16)),
            routes=tuple(
                _route(name, fields)
                for name, fields in document['routes'].items()
            ),
            pools={
                ids.PoolName(name): _pool(name, fields)
                for name, fields in document['services'].items()
            },
            limits=_limits(document.get('limits', {})),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        raise errors.ProtocolError(
            f'the configuration is invalid: {exc!r}',
            remedy='write a valid configuration',
        ) from exc


def _route(name: str, fields: Mapping[str, Any]) -> routes.Route:
    return routes.Route(
        name=name,
        host=fields['host'].lower(),
        prefix=fields['prefix'],
        kind=routes.RouteKind(fields['route-kind']),
        weighted_pools=_weighted_pools(fields),
        timeout=timedelta(seconds=fields['timeout-s']),
        target=timedelta(
            seconds=fields.get('target-latency-s', fields['timeout-s'])
        ),
        priority=int(fields.get('priority', 0)),
        max_attempts=max(1, int(fields.get('max-attempts', 1))),
    )


def _weighted_pools(
    fields: Mapping[str, Any],
) -> tuple[routes.WeightedPool, ...]:
    split = fields.get('split')
    if not split:
        pool = ids.PoolName(fields['service'])
        return (routes.WeightedPool(pool=pool, weight=1.0),)
    return tuple(
        routes.WeightedPool(
            pool=ids.PoolName(part['service']), weight=float(part['weight'])
        )
        for part in split
    )


def _pool(name: str, fields: Mapping[str, Any]) -> routes.Pool:
    return routes.Pool(
        name=ids.PoolName(name),
        keyed=bool(fields.get('sharded', False)),
        max_connections=int(fields['max-conns']),
    )


def _limits(fields: Mapping[str, Any]) -> routes.CallerLimits:
    default = routes.CallerLimits()
    return routes.CallerLimits(
        header_bytes=int(fields.get('max-header-bytes', default.header_bytes)),
        body_bytes=int(fields.get('max-body-bytes', default.body_bytes)),
        header_timeout=_seconds(
            fields, 'header-timeout-s', default.header_timeout
        ),
        idle_timeout=_seconds(fields, 'idle-timeout-s', default.idle_timeout),
    )


def _seconds(
    fields: Mapping[str, Any], name: str, default: timedelta
) -> timedelta:
    value = fields.get(name)
    return default if value is None else timedelta(seconds=value)


def upstream(row: state_store.Row) -> registry.Upstream | None:
    """Decode an entry of the registry; None if it is invalid or removed."""
    if row.value is None:
        return None
    try:
        return _upstream(row.key, json.loads(row.value))
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None


def _upstream(key: str, fields: Mapping[str, Any]) -> registry.Upstream | None:
    info = fields['info']
    status = fields['status']
    state = status['state']
    cold = status['cold-left-s']
    is_valid = (
        state in ('ready', 'draining')
        and _is_count(fields['born'])
        and _is_count(status['sequence'])
        and _is_count(info['slots'])
        and 0 < info['slots'] <= MAX_SLOTS
        # Compare types exactly, because bool is a subclass of int.
        and type(cold) in (int, float)
        and math.isfinite(cold)
        and cold <= MAX_COLD.total_seconds()
        and _HEADER_TEXT.fullmatch(key) is not None
        and all(
            _is_name(text)
            for text in (info['service'], info['zone'], info['version'])
        )
    )
    address = _address(fields['addr'])
    if not is_valid or address is None:
        return None
    return registry.Upstream(
        upstream_id=ids.UpstreamId(key),
        pool=ids.PoolName(info['service']),
        address=address,
        zone=ids.ZoneId(info['zone']),
        slots=info['slots'],
        draining=state == 'draining',
        incarnation=registry.Incarnation(fields['born']),
        cold_for=timedelta(seconds=max(0.0, cold)),
        sequence=status['sequence'],
    )


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_COUNT


def _is_name(value: Any) -> bool:
    """Return whether a value can be a name in logs, labels and messages."""
    return (
        type(value) is str
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
    )


def _address(value: Any) -> members.Address | None:
    """Decode an IP address and a port; names are not looked up."""
    host, _, port = value.rpartition(':')
    if not (port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS):
        return None
    number = int(port)
    ipaddress.ip_address(host)
    if not 0 < number <= _MAX_PORT:
        return None
    return members.Address(host=host, port=number)

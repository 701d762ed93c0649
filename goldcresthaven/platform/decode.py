"""Decodes table rows that the operator and the upstreams write.

The registry's rows are not trusted, because anyone may have written them.
Each field is checked, and an invalid entry is ignored.
"""

from collections.abc import Mapping
from datetime import timedelta
import json
import math
from typing import Any

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import routes
from goldcresthaven import state_store
from goldcresthaven.platform import names

_MAX_PORT = 65535


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
    # Compare types exactly, because bool is a subclass of int.
    born = fields['born']
    slots = info['slots']
    cold = status['cold-left-s']
    host, _, port = fields['addr'].rpartition(':')
    is_valid = (
        state in ('ready', 'draining')
        and type(born) is int
        and type(slots) is int
        and slots > 0
        and type(status['sequence']) is int
        and type(cold) in (int, float)
        and math.isfinite(cold)
        and all(
            type(text) is str and text
            for text in (info['service'], info['zone'], info['version'], host)
        )
        and 0 < int(port) <= _MAX_PORT
    )
    if not is_valid:
        return None
    return registry.Upstream(
        upstream_id=ids.UpstreamId(key),
        pool=ids.PoolName(info['service']),
        address=members.Address(host=host, port=int(port)),
        zone=ids.ZoneId(info['zone']),
        slots=slots,
        draining=state == 'draining',
        incarnation=registry.Incarnation(born),
        cold_for=timedelta(seconds=max(0.0, cold)),
        sequence=status['sequence'],
    )

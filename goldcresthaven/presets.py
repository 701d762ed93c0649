"""Models of the configuration document: pools, routes and presets.

Each version of the document is one row of the configuration log. The
models are validated when a document is read, so the rest of the program
can rely on their values.
"""

from collections.abc import Iterator
from datetime import timedelta
from enum import Enum
import re
from typing import Annotated
from typing import Any

import pydantic

from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import problems

# The digits are bounded because timedelta overflows at about 1e9 days.
_DURATION = re.compile(r'(\d{1,9}(?:\.\d{1,9})?)(ms|s|min|h)')
_UNIT_SECONDS = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}
_SIZE = re.compile(r'(\d{1,12})(B|KiB|MiB)')
_UNIT_BYTES = {'B': 1, 'KiB': 1 << 10, 'MiB': 1 << 20}


def parse_duration(value: Any) -> timedelta:
    """Parse a duration written as a number and a unit, as in ``250ms``.

    Raises ValueError when the unit is missing or not ms, s, min or h.
    """
    if isinstance(value, timedelta):
        return value
    if isinstance(value, (int, float)):
        raise ValueError(
            f'{value} has no unit; write ms, s, min or h, as in 250ms'
        )
    match = _DURATION.fullmatch(str(value))
    if match is None:
        raise ValueError(
            f'{value!r} is not a duration; write a number with the unit '
            'ms, s, min or h, as in 250ms'
        )
    return timedelta(seconds=float(match[1]) * _UNIT_SECONDS[match[2]])


def format_duration(value: timedelta) -> str:
    """Return a duration as text that ``parse_duration`` accepts."""
    if value >= timedelta(seconds=1):
        return _decimal(value.total_seconds(), 6) + 's'
    return _decimal(value / timedelta(milliseconds=1), 3) + 'ms'


def _decimal(number: float, places: int) -> str:
    text = f'{number:.{places}f}'
    return text.rstrip('0').rstrip('.')


def parse_size(value: Any) -> int:
    """Parse a number of bytes written with a unit, as in ``64KiB``.

    Raises ValueError when the unit is missing or not B, KiB or MiB.
    """
    if isinstance(value, int):
        raise ValueError(
            f'{value} has no unit; write B, KiB or MiB, as in 64KiB'
        )
    match = _SIZE.fullmatch(str(value))
    if match is None:
        raise ValueError(
            f'{value!r} is not a size; write a number with the unit '
            'B, KiB or MiB, as in 64KiB'
        )
    return int(match[1]) * _UNIT_BYTES[match[2]]


Duration = Annotated[
    timedelta,
    pydantic.BeforeValidator(parse_duration),
    pydantic.PlainSerializer(format_duration),
]
Size = Annotated[
    int,
    pydantic.BeforeValidator(parse_size),
    pydantic.PlainSerializer(lambda value: f'{value}B'),
]


class Model(pydantic.BaseModel):
    """Base of all settings models: immutable, rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra='forbid', allow_inf_nan=False
    )


class Dedup(Enum):
    """Who prevents a repeated non-idempotent request from running twice."""

    UPSTREAM = 'upstream'
    STORE = 'store'
    NONE = 'none'


class Pool(Model):
    """Upstreams that offer the same service.

    In a keyed pool each key has exactly one owner. ``slots`` and
    ``connections`` limit the requests in flight and the connections per
    endpoint, summed over all entry processes. ``fenced`` means that the
    upstreams enforce leases and epochs.
    """

    name: ids.PoolName
    keyed: bool
    slots: int = pydantic.Field(ge=1)
    connections: int = pydantic.Field(ge=1)
    shards: int = pydantic.Field(default=0, ge=0)
    fenced: bool = True
    dedup: Dedup = Dedup.UPSTREAM


class Route(Model):
    """A rule that assigns requests to a pool and a rank.

    It matches by path prefix and optionally by method. ``key_segment`` is
    the index of the path segment that holds the key, counted from 0 after
    the leading slash: in ``/catalogue/oak-net`` the key is segment 1. The
    first matching route wins.
    """

    prefix: str
    methods: tuple[str, ...] = ()
    pool: ids.PoolName
    rank: outcomes.Rank
    key_segment: int | None = pydantic.Field(default=None, ge=0)
    idempotent: bool


class RankPolicy(Model):
    """Service levels of one rank under a preset.

    ``target`` is the target response time, ``deadline`` the longest time
    that a request may take, and ``floor`` the share of slot time that is
    guaranteed to the rank while it has requests waiting.
    """

    target: Duration
    deadline: Duration
    floor: float = pydantic.Field(ge=0.0, le=1.0)
    queue_length: int = pydantic.Field(default=256, ge=1)
    queue_bytes: Size = 4 << 20


class Preset(Model):
    """A named set of settings that an operator switches at once."""

    name: ids.PresetName
    urgent: RankPolicy
    standard: RankPolicy
    bulk: RankPolicy
    bulk_cap: int | None = pydantic.Field(default=None, ge=1)
    claim_term: Duration = timedelta(seconds=10)
    claim_grace: Duration = timedelta(minutes=10)
    imbalance_limit: float = pydantic.Field(default=1.15, ge=1.0)
    retry_ratio: float = pydantic.Field(default=0.1, ge=0.0, le=1.0)
    slow_start: Duration = timedelta(seconds=10)

    def rank(self, rank: outcomes.Rank) -> RankPolicy:
        match rank:
            case outcomes.Rank.URGENT:
                return self.urgent
            case outcomes.Rank.STANDARD:
                return self.standard
            case outcomes.Rank.BULK:
                return self.bulk


class Document(Model):
    """One version of the entire configuration."""

    pools: tuple[Pool, ...]
    routes: tuple[Route, ...]
    presets: tuple[Preset, ...]
    in_force: ids.PresetName
    drained: tuple[ids.UpstreamId, ...] = ()
    lost_zones: tuple[ids.ZoneId, ...] = ()

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        return next(p for p in self.presets if p.name == self.in_force)

    def pool(self, name: ids.PoolName) -> Pool:
        return next(p for p in self.pools if p.name == name)

    @pydantic.model_validator(mode='after')
    def _check_references(self) -> 'Document':
        found = reference_problems(
            pools=dict(enumerate(self.pools)),
            routes=dict(enumerate(self.routes)),
            presets=dict(enumerate(self.presets)),
            in_force=self.in_force,
        )
        if found:
            raise ValueError(problems.as_text(found))
        return self


def reference_problems(
    *,
    pools: dict[int, Pool],
    routes: dict[int, Route],
    presets: dict[int, Preset],
    in_force: ids.PresetName | None,
) -> tuple[problems.Problem, ...]:
    """Return problems with duplicate names and dangling references.

    The items are keyed by their index in the document, so that the valid
    items of a partly invalid document can be checked too.
    """
    found = list(
        _duplicate_names('pools', {i: p.name for i, p in pools.items()})
    )
    found += _duplicate_names(
        'presets', {i: p.name for i, p in presets.items()}
    )
    names = [p.name for p in presets.values()]
    if in_force is not None and in_force not in names:
        found.append(
            problems.Problem(
                path=('in_force',),
                problem=f'the preset {in_force!r} does not exist',
                remedy=f'use {problems.format_choices(names)}',
            )
        )
    keyed = {p.name: p.keyed for p in pools.values()}
    for i, route in routes.items():
        found += _route_problems(i, route, keyed)
    return tuple(found)


def _duplicate_names(
    section: str, names: dict[int, str]
) -> Iterator[problems.Problem]:
    seen: dict[str, int] = {}
    for i, name in names.items():
        first = seen.setdefault(name, i)
        if first != i:
            yield problems.Problem(
                path=(section, i, 'name'),
                problem=f'{section}[{first}] already has the name {name!r}',
                remedy='rename or remove one of them',
            )


def _route_problems(
    i: int, route: Route, keyed: dict[ids.PoolName, bool]
) -> Iterator[problems.Problem]:
    if route.pool not in keyed:
        yield problems.Problem(
            path=('routes', i, 'pool'),
            problem=f'the pool {route.pool!r} does not exist',
            remedy=f'use {problems.format_choices(list(keyed))}',
        )
    elif keyed[route.pool] and route.key_segment is None:
        yield problems.Problem(
            path=('routes', i, 'key_segment'),
            problem=f'the pool {route.pool!r} is keyed and needs this field',
            remedy='set key_segment to the path segment that holds the key',
        )

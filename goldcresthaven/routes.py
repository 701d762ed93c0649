"""Routes and pools of the current configuration, and route matching.

The operator writes the configuration. A configuration is immutable: a
process only replaces it as a whole, and never by a lower version.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum
import random

from goldcresthaven import ids


class RouteKind(Enum):
    """Kind of a route's requests.

    Only UNSAFE requests are not idempotent. DOWNLOAD responses are large.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def idempotent(self) -> bool:
        return self is not RouteKind.UNSAFE


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedPool:
    """A pool and its share of the requests of one route."""

    pool: ids.PoolName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests for one host with a path that starts with ``prefix``.

    ``timeout`` is the longest time until the response, and ``target`` is
    the latency that the operator wants. ``priority`` 0 is the most urgent.
    One request is sent to at most ``max_attempts`` upstreams.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_pools: tuple[WeightedPool, ...]
    timeout: timedelta
    target: timedelta
    priority: int
    max_attempts: int

    def choose_pool(self, rng: random.Random) -> ids.PoolName:
        """Choose a random pool according to the weights."""
        if len(self.weighted_pools) == 1:
            return self.weighted_pools[0].pool
        weights = [
            weighted_pool.weight for weighted_pool in self.weighted_pools
        ]
        return rng.choices(self.weighted_pools, weights)[0].pool


@dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Settings of a group of upstreams.

    In a ``keyed`` pool, each key has one owner. ``max_connections`` is the
    limit of connections to one upstream, for all processes together.
    """

    name: ids.PoolName
    keyed: bool
    max_connections: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for the requests of callers."""

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, kw_only=True)
class RouteConfig:
    """One version of the configuration."""

    version: ids.ConfigVersion
    routes: tuple[Route, ...]
    pools: Mapping[ids.PoolName, Pool]
    limits: CallerLimits = CallerLimits()
    _by_host: dict[str, list[Route]] = field(
        default_factory=dict, init=False, repr=False
    )

    def __post_init__(self) -> None:
        for route in _longest_first(self.routes):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        path = target.partition('?')[0]
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _longest_first(routes: Sequence[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.prefix))


def _host_name(host: str) -> str:
    return host.partition(':')[0].lower()

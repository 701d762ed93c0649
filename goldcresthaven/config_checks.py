"""Consistency checks of a configuration document.

The models in ``presets`` accept every document that the program can run
with, so that a row written by an older release can still be read. The
checks here are stricter: they reject a new document that would not behave
as its author expects.
"""

from collections.abc import Iterator
from datetime import timedelta
import re

from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import problems

# Names are parts of shard ids (pool/number) and of URL paths.
_NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_METHOD = re.compile(r'[A-Z]{1,16}')
# A claim is renewed through the store after each third of its term. A shorter
# term could end during one slow response of the store.
_MIN_CLAIM_TERM = timedelta(seconds=3)
# Tolerates rounding errors in sums of floors such as 0.7 + 0.2 + 0.1.
_FLOOR_ROUNDING = 1e-9


def check(document: presets.Document) -> tuple[problems.Problem, ...]:
    """Return all problems of a document."""
    return check_items(
        pools=dict(enumerate(document.pools)),
        routes=dict(enumerate(document.routes)),
        presets_=dict(enumerate(document.presets)),
        in_force=document.in_force,
    )


def check_items(
    *,
    pools: dict[int, presets.Pool],
    routes: dict[int, presets.Route],
    presets_: dict[int, presets.Preset],
    in_force: ids.PresetName | None,
) -> tuple[problems.Problem, ...]:
    """Return the problems of items that are given by their index."""
    found = list(
        presets.reference_problems(
            pools=pools, routes=routes, presets=presets_, in_force=in_force
        )
    )
    by_name = {p.name: p for p in pools.values()}
    shared = _pools_shared_with_bulk(by_name, list(routes.values()))
    for i, pool in pools.items():
        found += _pool_problems(i, pool, shared)
    for i, route in routes.items():
        found += _route_problems(i, route, by_name)
    found += _unreachable_problems(routes)
    for i, preset in presets_.items():
        found += _preset_problems(i, preset, shared)
    return tuple(found)


def _pools_shared_with_bulk(
    pools: dict[ids.PoolName, presets.Pool], routes: list[presets.Route]
) -> list[presets.Pool]:
    """Return the pools that serve bulk and at least one other rank."""
    ranks: dict[ids.PoolName, set[outcomes.Rank]] = {}
    for route in routes:
        ranks.setdefault(route.pool, set()).add(route.rank)
    return [
        pool
        for name, pool in pools.items()
        if outcomes.Rank.BULK in ranks.get(name, ()) and len(ranks[name]) > 1
    ]


def _name_problem(
    path: problems.Path, name: str
) -> Iterator[problems.Problem]:
    if _NAME.fullmatch(name) is None:
        yield problems.Problem(
            path=path,
            problem=f'{name!r} is not a name',
            remedy='use 1 to 63 lower-case letters, digits and hyphens',
        )


def _pool_problems(
    i: int, pool: presets.Pool, shared: list[presets.Pool]
) -> Iterator[problems.Problem]:
    yield from _name_problem(('pools', i, 'name'), pool.name)
    if pool.keyed and pool.shards == 0:
        yield problems.Problem(
            path=('pools', i, 'shards'),
            problem='a keyed pool has no shards, so no endpoint can own '
            'its keys',
            remedy='set shards to about 8 for each endpoint',
        )
    if pool.keyed and not pool.fenced:
        # Only route leases could protect such a pool; they are not
        # implemented yet.
        yield problems.Problem(
            path=('pools', i, 'fenced'),
            problem='exclusive ownership is not ensured for keyed upstreams '
            'that do not check leases',
            remedy='let the upstreams check leases and set fenced to true',
        )
    if not pool.keyed and pool.shards > 0:
        yield problems.Problem(
            path=('pools', i, 'shards'),
            problem='a pool without keys has shards',
            remedy='remove shards or set keyed to true',
        )
    if pool in shared and pool.slots == 1:
        yield problems.Problem(
            path=('pools', i, 'slots'),
            problem='bulk shares this pool, and one bulk request would '
            "hold its endpoints' only slot",
            remedy='use 2 slots or more, or give bulk a pool of its own',
        )


def _route_problems(
    i: int,
    route: presets.Route,
    pools: dict[ids.PoolName, presets.Pool],
) -> Iterator[problems.Problem]:
    if not route.prefix.startswith('/'):
        yield problems.Problem(
            path=('routes', i, 'prefix'),
            problem=f'{route.prefix!r} can never match: paths start with /',
            remedy=f'write /{route.prefix}',
        )
    for k, method in enumerate(route.methods):
        if _METHOD.fullmatch(method) is None:
            yield problems.Problem(
                path=('routes', i, 'methods', k),
                problem=f'the method {method!r} can never match',
                remedy=f'write {method.upper()}',
            )
    pool = pools.get(route.pool)
    if pool is None:
        return
    yield from _key_problems(i, route, pool)
    if not route.idempotent:
        yield from _dedup_problems(i, route, pool)


def _key_problems(
    i: int, route: presets.Route, pool: presets.Pool
) -> Iterator[problems.Problem]:
    path: problems.Path = ('routes', i, 'key_segment')
    if route.key_segment is None:
        return
    if not pool.keyed:
        yield problems.Problem(
            path=path,
            problem=f'the pool {pool.name!r} has no keys',
            remedy='remove key_segment or set keyed to true in the pool',
        )
    prefix_segments = max(route.prefix.count('/') - 1, 0)
    if route.key_segment < prefix_segments:
        yield problems.Problem(
            path=path,
            problem=f'segment {route.key_segment} is part of the prefix '
            f'{route.prefix!r}, so every request would have the same key',
            remedy=f'use {prefix_segments} or more',
        )


def _dedup_problems(
    i: int, route: presets.Route, pool: presets.Pool
) -> Iterator[problems.Problem]:
    path: problems.Path = ('routes', i, 'idempotent')
    if pool.dedup is presets.Dedup.NONE:
        yield problems.Problem(
            path=path,
            problem='the route is not idempotent and nothing prevents a '
            f'second execution in the pool {pool.name!r}',
            remedy='set dedup to store or upstream in the pool',
        )
    if pool.dedup is presets.Dedup.UPSTREAM and not pool.keyed:
        yield problems.Problem(
            path=path,
            problem='the route is not idempotent and no upstream receives '
            f'both copies, as the pool {pool.name!r} has no keys',
            remedy='set dedup to store in the pool',
        )


def _unreachable_problems(
    routes: dict[int, presets.Route],
) -> Iterator[problems.Problem]:
    """Find routes that never match, because earlier routes match first."""
    for i, route in routes.items():
        earlier = [
            (k, r)
            for k, r in routes.items()
            if k < i and route.prefix.startswith(r.prefix)
        ]
        for_all_methods = [k for k, r in earlier if not r.methods]
        covered_methods = {m for _, r in earlier for m in r.methods}
        covered = bool(route.methods) and set(route.methods) <= covered_methods
        if for_all_methods or covered:
            first = for_all_methods[0] if for_all_methods else earlier[0][0]
            yield problems.Problem(
                path=('routes', i, 'prefix'),
                problem=f'the route can never match, as routes[{first}] '
                f'({routes[first].prefix}) matches first',
                remedy='move it before that route or remove it',
            )


def _preset_problems(
    i: int, preset: presets.Preset, shared: list[presets.Pool]
) -> Iterator[problems.Problem]:
    at: problems.Path = ('presets', i)
    yield from _name_problem((*at, 'name'), preset.name)
    total = sum(preset.rank(rank).floor for rank in outcomes.RANKS)
    if total > 1.0 + _FLOOR_ROUNDING:
        yield problems.Problem(
            path=at,
            problem=f'the floors of the ranks sum to {total:g}',
            remedy='lower them so that they sum to 1 or less',
        )
    for rank in outcomes.RANKS:
        yield from _rank_problems((*at, rank.value), preset.rank(rank))
    yield from _claim_problems(at, preset)
    for pool in shared:
        if preset.bulk_cap is not None and preset.bulk_cap >= pool.slots:
            yield problems.Problem(
                path=(*at, 'bulk_cap'),
                problem=f'{preset.bulk_cap} lets bulk hold every slot of the '
                f'pool {pool.name!r}, which other ranks use',
                remedy=f'use {max(pool.slots - 1, 1)} or less, or remove it',
            )


def _rank_problems(
    at: problems.Path, policy: presets.RankPolicy
) -> Iterator[problems.Problem]:
    if policy.target <= timedelta():
        yield problems.Problem(
            path=(*at, 'target'),
            problem='the target is not above 0',
            remedy='use a duration such as 500ms',
        )
    if policy.target > policy.deadline:
        yield problems.Problem(
            path=(*at, 'target'),
            problem=f'{presets.format_duration(policy.target)} is above the '
            f'deadline {presets.format_duration(policy.deadline)}',
            remedy='lower the target or raise the deadline',
        )


def _claim_problems(
    at: problems.Path, preset: presets.Preset
) -> Iterator[problems.Problem]:
    if preset.claim_term < _MIN_CLAIM_TERM:
        least = presets.format_duration(_MIN_CLAIM_TERM)
        yield problems.Problem(
            path=(*at, 'claim_term'),
            problem='the term is too short to renew a claim',
            remedy=f'use {least} or more',
        )
    if preset.claim_grace < preset.claim_term:
        yield problems.Problem(
            path=(*at, 'claim_grace'),
            problem='the grace is below claim_term',
            remedy=f'use {presets.format_duration(preset.claim_term)} or more',
        )

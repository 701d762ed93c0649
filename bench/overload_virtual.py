"""The virtual benchmark with the shape and rates of ``real_overload``."""

from collections.abc import Mapping

from bench import deployments
from bench import fleet
from bench import overload_load
from bench import product
from bench import routers
from goldcresthaven import outcomes
from goldcresthaven import presets

LATENCY = 0.0001  # seconds on loopback, one way
BEGIN = 1.0  # seconds until the load starts
SETTLE = 8.0  # seconds after the last arrival, above the longest deadline
SEED = 1


def _random(owner: fleet.Fleet, number: int, zone: int) -> fleet.Entry:
    """The router of ``overload_entry.NaiveGate``.

    Deadlines and the limits of retries are the real request path's.
    """
    return routers.Direct(
        owner, number, zone, choice=routers.choose_random, careful=True
    )


def run(
    policy: str,
    document: presets.Document,
    *,
    endpoints: int,
    entries: int,
    zones: int,
    service_ms: Mapping[outcomes.Rank, float],
    loads: Mapping[outcomes.Rank, float],
    seconds: float,
) -> tuple[overload_load.Tallies, float]:
    """Simulate one phase; return the tallies and messages per request."""
    # The simulation reads its assumptions from these modules.
    for rank, mean in service_ms.items():
        deployments.SERVICE[rank] = mean / 1000.0
    deployments.ENTRIES = entries
    fleet.IMPATIENT = 0.0
    pool = deployments.PoolShape(
        settings=document.pools[0], endpoints=endpoints, mix=dict(loads)
    )
    deployment = deployments.Deployment(
        name='loopback',
        document=document,
        pools=(pool,),
        zones=zones,
        zone_latency=LATENCY,
        caller_latency=LATENCY,
    )
    end = BEGIN + seconds
    owner = fleet.Fleet(
        deployment,
        product.Product if policy == 'ours' else _random,
        seed=SEED,
        begin=BEGIN,
        end=end,
    )
    if policy == 'ours':
        product.start_claims(owner)
    for rank, load in loads.items():
        owner.offer(pool, rank, load, begin=BEGIN, end=end)
    owner.world.run(end + SETTLE)
    calls = max(owner.metrics.calls, 1)
    return _tallies(owner), owner.metrics.messages / calls


def _tallies(owner: fleet.Fleet) -> overload_load.Tallies:
    found: overload_load.Tallies = {}
    for (_, rank, _), group in owner.metrics.groups.items():
        found[rank] = overload_load.Tally(
            sent=group.sent,
            in_target=group.in_target,
            not_run=group.not_run,
            unknown=group.unknown,
            times=[seconds * 1000.0 for seconds in group.latencies],
        )
    return {rank: found[rank] for rank in outcomes.RANKS}

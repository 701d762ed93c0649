"""Simulation of the fleet, load and phases of ``bench.real_overload``."""

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
COOL_DOWN = 8.0  # seconds after the last arrival; more than any deadline
SEED = 1


def _naive(sim_fleet: fleet.Fleet, number: int, zone: int) -> fleet.Entry:
    """Create an entry process that routes like ``overload_entry.NaiveGate``.

    Deadlines and retry limits apply, as in the real request path.
    """
    return routers.Direct(
        sim_fleet, number, zone, choice=routers.choose_random, use_limits=True
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
    # The simulation reads these assumptions from module attributes.
    for rank, mean in service_ms.items():
        deployments.MEAN_SERVICE_TIME[rank] = mean / 1000.0
    deployments.ENTRIES = entries
    fleet.EARLY_DISCONNECTS = 0.0
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
    sim_fleet = fleet.Fleet(
        deployment,
        product.ProductEntry if policy == 'ours' else _naive,
        seed=SEED,
        begin=BEGIN,
        end=end,
    )
    if policy == 'ours':
        product.start_claims(sim_fleet)
    for rank, load in loads.items():
        sim_fleet.offer_load(pool, rank, load, begin=BEGIN, end=end)
    sim_fleet.world.run(end + COOL_DOWN)
    calls = max(sim_fleet.metrics.calls, 1)
    return _tallies(sim_fleet), sim_fleet.metrics.messages / calls


def _tallies(sim_fleet: fleet.Fleet) -> overload_load.Tallies:
    found: overload_load.Tallies = {}
    for (_, rank, _), group in sim_fleet.metrics.groups.items():
        found[rank] = overload_load.Tally(
            sent=group.sent,
            in_target=group.in_target,
            not_run=group.not_run,
            unknown=group.unknown,
            times=[seconds * 1000.0 for seconds in group.latencies],
        )
    return {rank: found[rank] for rank in outcomes.RANKS}

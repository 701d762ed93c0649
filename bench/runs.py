"""Simulate a scenario with a router and compute the metrics."""

from collections.abc import Iterable
from dataclasses import dataclass
import zlib

from bench import deployments
from bench import fleet
from bench import metrics
from bench import product
from bench import routers
from bench import scenarios
from bench import variants
from goldcresthaven import admission
from goldcresthaven import outcomes

SEED = 1

Figures = dict[str, float]

ROUTERS: dict[str, fleet.EntryFactory] = {
    'naive': routers.naive,
    'two-choices': routers.two_choices,
    'least-reported': routers.least_reported,
}


@dataclass(frozen=True, kw_only=True)
class Task:
    """Parameters of a run.

    ``router`` is 'ours' for the product, a key of ``ROUTERS``, or the name
    of a rule that is disabled in the product.
    """

    deployment: str
    scenario: str
    router: str = 'ours'
    seed: int = SEED


def run(task: Task) -> Figures:
    """Run the simulation and return the metrics by name.

    A task that disables a rule patches modules of the policy, so it must run
    in a separate process.
    """
    deployment = deployments.load(task.deployment)
    router = ROUTERS.get(task.router, product.ProductEntry)
    if router is product.ProductEntry and task.router != 'ours':
        deployment = variants.disable_rule(task.router, deployment)
    scenario = scenarios.BY_NAME[task.scenario]
    seed = task.seed + zlib.crc32(
        f'{task.deployment} {task.scenario}'.encode()
    )
    sim_fleet = fleet.Fleet(
        deployment,
        router,
        seed=seed,
        begin=scenarios.WARM_UP,
        end=scenario.end,
    )
    if router is product.ProductEntry:
        product.start_claims(sim_fleet)
    scenario.setup(sim_fleet)
    sim_fleet.world.run(scenario.end + scenarios.COOL_DOWN)
    return _figures(sim_fleet, scenario)


def _figures(sim_fleet: fleet.Fleet, scenario: scenarios.Scenario) -> Figures:
    found: Figures = {}
    measured = scenario.measured
    shapes = {str(p.settings.name): p for p in sim_fleet.deployment.pools}
    capacity = sum(p.slots for p in shapes.values()) * measured
    groups = sim_fleet.metrics.groups
    for rank in outcomes.RANKS:
        of_rank = {k: g for k, g in groups.items() if k[1] is rank}
        ordinary_groups = [g for k, g in of_rank.items() if not k[2]]
        _rank_figures(found, rank.value, ordinary_groups)
        excess_groups = [g for k, g in of_rank.items() if k[2]]
        _rank_figures(found, f'source.{rank.value}', excess_groups)
    good = sum(group.goodput_time for group in groups.values())
    found['goodput'] = good / capacity
    if scenario.overloading_rank:
        found |= _floor_shares(sim_fleet, shapes, measured)
    if scenario.split_by_keyed:
        found |= _urgent_split(sim_fleet, shapes, 'keyed', True)
        found |= _urgent_split(sim_fleet, shapes, 'unkeyed', False)
    found['late_work'] = sim_fleet.metrics.late_time / max(
        _busy(sim_fleet), 1e-9
    )
    found['gone_work'] = sim_fleet.metrics.disconnected_time / max(
        _busy(sim_fleet), 1e-9
    )
    found['imbalance'] = max(
        _imbalance(sim_fleet, name)
        for name, shape in shapes.items()
        if not shape.settings.keyed
    )
    calls = max(sim_fleet.metrics.calls, 1)
    found['retries'] = sim_fleet.metrics.retries / calls
    found['messages'] = sim_fleet.metrics.messages / calls
    return found


def _rank_figures(
    found: Figures, name: str, groups: Iterable[metrics.Group]
) -> None:
    groups = list(groups)
    sent = sum(g.sent - g.left for g in groups)
    if not sent:
        return
    found[f'{name}.in_target'] = sum(g.in_target for g in groups) / sent
    latencies = sorted(x for g in groups for x in g.latencies)
    if latencies:
        p99 = latencies[int(len(latencies) * 0.99)]
        found[f'{name}.p99_ms'] = p99 * 1000.0


def _urgent_split(
    sim_fleet: fleet.Fleet,
    shapes: dict[str, deployments.PoolShape],
    name: str,
    keyed: bool,
) -> Figures:
    groups = [
        group
        for key, group in sim_fleet.metrics.groups.items()
        if key[1] is outcomes.Rank.URGENT
        and shapes[key[0]].settings.keyed is keyed
    ]
    found: Figures = {}
    _rank_figures(found, f'urgent.{name}', groups)
    return found


def _floor_shares(
    sim_fleet: fleet.Fleet,
    shapes: dict[str, deployments.PoolShape],
    measured: float,
) -> Figures:
    """Return the share of its guaranteed slot time that each rank got.

    The guaranteed slot time is the ordinary load of the rank, but at most
    its floor. The share is that of the pool in which it is lowest.
    """
    found: Figures = {}
    preset = sim_fleet.deployment.preset
    for (pool, rank, is_excess), group in sim_fleet.metrics.groups.items():
        shape = shapes[pool]
        overloaded = (pool, rank, True) in sim_fleet.metrics.groups
        if is_excess or overloaded or admission.LEVEL_BY_RANK[rank] == 0:
            continue
        share = deployments.ORDINARY_LOAD * shape.mix[rank]
        guaranteed_time = (
            min(share, preset.rank(rank).floor) * shape.slots * measured
        )
        name = f'{rank.value}.kept'
        floor_share = group.goodput_time / guaranteed_time
        found[name] = min(found.get(name, floor_share), floor_share)
    return found


def _busy(sim_fleet: fleet.Fleet) -> float:
    return sum(sim_fleet.metrics.busy.values())


def _imbalance(sim_fleet: fleet.Fleet, pool: str) -> float:
    names = sim_fleet.by_pool[pool]
    busy = [sim_fleet.metrics.busy.get(name, 0.0) for name in names]
    mean = sum(busy) / len(busy)
    return max(busy) / mean if mean else 1.0

"""One run of one scenario by one router, reduced to figures."""

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

ROUTERS: dict[str, fleet.Router] = {
    'naive': routers.naive,
    'two-choices': routers.two_choices,
    'least-reported': routers.least_reported,
}


@dataclass(frozen=True, kw_only=True)
class Task:
    """A run: ``router`` is 'ours', a comparison, or ours without a rule."""

    deployment: str
    scenario: str
    router: str = 'ours'
    seed: int = SEED


def run(task: Task) -> Figures:
    """Simulate and return the figures by metric name.

    A variant changes the policy's modules, so it needs a process of its
    own.
    """
    deployment = deployments.load(task.deployment)
    router = ROUTERS.get(task.router, product.Product)
    if router is product.Product and task.router != 'ours':
        deployment = variants.leave_out(task.router, deployment)
    scenario = scenarios.BY_NAME[task.scenario]
    seed = task.seed + zlib.crc32(
        f'{task.deployment} {task.scenario}'.encode()
    )
    owner = fleet.Fleet(
        deployment,
        router,
        seed=seed,
        begin=scenarios.WARM_UP,
        end=scenario.end,
    )
    if router is product.Product:
        product.start_claims(owner)
    scenario.setup(owner)
    owner.world.run(scenario.end + scenarios.SETTLE)
    return _figures(owner, scenario)


def _figures(owner: fleet.Fleet, scenario: scenarios.Scenario) -> Figures:
    found: Figures = {}
    measured = scenario.measured
    shapes = {str(p.settings.name): p for p in owner.deployment.pools}
    capacity = sum(p.slots for p in shapes.values()) * measured
    groups = owner.metrics.groups
    for rank in outcomes.RANKS:
        mine = {k: g for k, g in groups.items() if k[1] is rank}
        others = [g for k, g in mine.items() if not k[2]]
        _rank_figures(found, rank.value, others)
        sources = [g for k, g in mine.items() if k[2]]
        _rank_figures(found, f'source.{rank.value}', sources)
    good = sum(group.good_time for group in groups.values())
    found['goodput'] = good / capacity
    if scenario.source:
        found |= _kept(owner, shapes, measured)
    if scenario.by_kind:
        found |= _urgent_by_kind(owner, shapes, 'keyed', True)
        found |= _urgent_by_kind(owner, shapes, 'unkeyed', False)
    found['late_work'] = owner.metrics.late_time / max(_busy(owner), 1e-9)
    found['gone_work'] = owner.metrics.gone_time / max(_busy(owner), 1e-9)
    found['imbalance'] = max(
        _imbalance(owner, name)
        for name, shape in shapes.items()
        if not shape.settings.keyed
    )
    calls = max(owner.metrics.calls, 1)
    found['retries'] = owner.metrics.retries / calls
    found['messages'] = owner.metrics.messages / calls
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


def _urgent_by_kind(
    owner: fleet.Fleet,
    shapes: dict[str, deployments.PoolShape],
    name: str,
    keyed: bool,
) -> Figures:
    groups = [
        group
        for key, group in owner.metrics.groups.items()
        if key[1] is outcomes.Rank.URGENT
        and shapes[key[0]].settings.keyed is keyed
    ]
    found: Figures = {}
    _rank_figures(found, f'urgent.{name}', groups)
    return found


def _kept(
    owner: fleet.Fleet,
    shapes: dict[str, deployments.PoolShape],
    measured: float,
) -> Figures:
    """Return what each rank keeps of its due, in the worst pool.

    A rank's due is its ordinary slot time, up to its floor.
    """
    found: Figures = {}
    preset = owner.deployment.preset
    for (pool, rank, source), group in owner.metrics.groups.items():
        shape = shapes[pool]
        overloaded = (pool, rank, True) in owner.metrics.groups
        if source or overloaded or admission.LEVEL_BY_RANK[rank] == 0:
            continue
        share = deployments.ORDINARY_LOAD * shape.mix[rank]
        due = min(share, preset.rank(rank).floor) * shape.slots * measured
        name = f'{rank.value}.kept'
        kept = group.good_time / due
        found[name] = min(found.get(name, kept), kept)
    return found


def _busy(owner: fleet.Fleet) -> float:
    return sum(owner.metrics.busy.values())


def _imbalance(owner: fleet.Fleet, pool: str) -> float:
    names = owner.by_pool[pool]
    busy = [owner.metrics.busy.get(name, 0.0) for name in names]
    mean = sum(busy) / len(busy)
    return max(busy) / mean if mean else 1.0

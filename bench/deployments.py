"""Simulated versions of the two deployments.

The numbers of zones and endpoints come from section 1 of the design, the
settings from examples/. Service times and the ordinary load are assumptions
of the benchmark, because the users specified none.
"""

from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path

import yaml

from bench import sim
from goldcresthaven import admission
from goldcresthaven import outcomes
from goldcresthaven import presets

EXAMPLES = Path(__file__).parent.parent / 'examples'
ENTRIES = 18

# Mean in seconds. Service times have a gamma distribution with the shape
# parameter SERVICE_SHAPE.
MEAN_SERVICE_TIME = {
    outcomes.Rank.URGENT: 80 * sim.MS,
    outcomes.Rank.STANDARD: 80 * sim.MS,
    outcomes.Rank.BULK: 800 * sim.MS,
}
SERVICE_SHAPE = 4.0
LOCAL_LATENCY = 0.25 * sim.MS  # within one zone
ORDINARY_LOAD = 0.5  # share of the slot time of each pool


@dataclass(frozen=True, kw_only=True)
class PoolShape:
    """Size and ordinary load of one pool.

    ``mix`` is the share of each rank in the ordinary load.
    """

    settings: presets.Pool
    endpoints: int
    mix: dict[outcomes.Rank, float]

    @property
    def slots(self) -> int:
        return self.endpoints * self.settings.slots

    @property
    def bulk_cap(self) -> int:
        """How many slots of an endpoint BULK requests may hold.

        If the pool also serves other ranks, one slot is kept free of BULK
        unless the endpoint has only one.
        """
        if len(self.mix) > 1:
            return max(self.settings.slots - 1, 1)
        return self.settings.slots

    def rate(self, rank: outcomes.Rank, load: float) -> float:
        """Return the requests per second that use a share of the slots."""
        return load * self.slots / MEAN_SERVICE_TIME[rank]

    def least_urgent(self) -> outcomes.Rank:
        return max(self.mix, key=lambda rank: admission.LEVEL_BY_RANK[rank])

    def most_urgent(self) -> outcomes.Rank:
        return min(self.mix, key=lambda rank: admission.LEVEL_BY_RANK[rank])


@dataclass(frozen=True, kw_only=True)
class Deployment:
    name: str
    document: presets.Document
    pools: tuple[PoolShape, ...]
    zones: int
    zone_latency: float
    caller_latency: float

    @property
    def preset(self) -> presets.Preset:
        return self.document.preset


_URGENT = outcomes.Rank.URGENT
_STANDARD = outcomes.Rank.STANDARD
_BULK = outcomes.Rank.BULK

_SHAPES = {
    'qasr': (
        3,
        1 * sim.MS,
        {
            'catalogue': (15, {_STANDARD: 0.85, _URGENT: 0.15}),
            'orders': (6, {_STANDARD: 0.6, _URGENT: 0.4}),
            'dispatch': (6, {_URGENT: 0.5, _BULK: 0.5}),
        },
    ),
    'kleepsuke': (
        4,
        8 * sim.MS,
        {
            'listings': (15, {_STANDARD: 0.85, _URGENT: 0.15}),
            'redemption': (9, {_STANDARD: 0.4, _URGENT: 0.6}),
            'shop': (8, {_URGENT: 0.5, _BULK: 0.5}),
        },
    ),
}
NAMES = tuple(_SHAPES)


def load(name: str) -> Deployment:
    """Return a deployment with the settings of its file in examples/."""
    text = (EXAMPLES / f'{name}.yaml').read_text()
    document = presets.Document(**yaml.safe_load(text))
    zones, caller_latency, shapes = _SHAPES[name]
    pools = tuple(
        PoolShape(
            settings=pool,
            endpoints=shapes[pool.name][0],
            mix=shapes[pool.name][1],
        )
        for pool in document.pools
    )
    return Deployment(
        name=name,
        document=document,
        pools=pools,
        zones=zones,
        zone_latency=1 * sim.MS,
        caller_latency=caller_latency,
    )


def with_preset(deployment: Deployment, preset: presets.Preset) -> Deployment:
    """Return the deployment with ``preset`` in force."""
    others = [
        candidate
        for candidate in deployment.document.presets
        if candidate.name != deployment.document.in_force
    ]
    document = deployment.document.model_copy(
        update={'presets': (preset, *others)}
    )
    return replace(deployment, document=document)

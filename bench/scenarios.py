"""Scenarios of the benchmark: load and faults over time.

Times are in virtual seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bench import deployments
from bench import fleet
from bench import product

WARM_UP = 5.0  # seconds before the measured part
OVERLOAD_AT = 2.0
MEASURED = 9.0
MEASURED_AT_HIGH_LOAD = 4.0  # shorter, as the request rate is higher
# Longer, because the floor of BULK is only one request in 4 s per endpoint.
MEASURED_FOR_FLOORS = 15.0
# Longer, because the imbalance is noisy over a short time.
MEASURED_FOR_IMBALANCE = 24.0
COOL_DOWN = 4.0  # seconds after the last call until the run ends
FREEZE_AT = 8.0
FREEZE_FOR = 4.0
KEYS_MOVED_AFTER = 2.3  # lease end, store write and grant to the new owner
FROZEN_ONE_IN = 5  # one in five endpoints of a pool freezes
HOT_LOAD = 0.3  # share of a keyed pool, all sent to one shard
DOWN_TIME = 1.0  # seconds from the drain of a VM until its replacement starts
ROLLING_STEP = 1.6  # seconds; only one upstream of a pool is down at a time
ENTRY_DRAIN_TIME = 5.0  # seconds for a stopping entry to finish its requests

Setup = Callable[[fleet.Fleet], None]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A scenario; ``setup`` schedules its load and faults.

    ``overloading_rank`` is 'least' or 'most' if the least or most urgent
    rank of each pool causes an overload, else empty. ``split_by_keyed`` adds
    separate metrics for keyed and unkeyed pools.
    """

    name: str
    setup: Setup
    measured: float = MEASURED
    overloading_rank: str = ''
    split_by_keyed: bool = False

    @property
    def end(self) -> float:
        return WARM_UP + self.measured


def ordinary(sim_fleet: fleet.Fleet) -> None:
    """Send the ordinary load to every pool."""
    _offer_mix(sim_fleet, '')


def _offer_mix(
    sim_fleet: fleet.Fleet, overloading_rank: str, times: float = 0.0
) -> None:
    """Send the ordinary load, and raise one rank of each pool later.

    From OVERLOAD_AT, the chosen rank sends ``times`` the capacity of the
    pool instead of its ordinary load.
    """
    end = sim_fleet.metrics.end
    for pool in sim_fleet.deployment.pools:
        excess = None
        if overloading_rank == 'least':
            excess = pool.least_urgent()
        elif overloading_rank == 'most':
            excess = pool.most_urgent()
        for rank, share in pool.mix.items():
            load = deployments.ORDINARY_LOAD * share
            if rank is excess:
                sim_fleet.offer_load(pool, rank, load, end=OVERLOAD_AT)
                sim_fleet.offer_load(
                    pool,
                    rank,
                    times,
                    begin=OVERLOAD_AT,
                    end=end,
                    is_excess=True,
                )
            else:
                sim_fleet.offer_load(pool, rank, load, end=end)


def overload(overloading_rank: str, times: float) -> Scenario:
    """Return a scenario in which a rank sends ``times`` the capacity."""

    def setup(sim_fleet: fleet.Fleet) -> None:
        _offer_mix(sim_fleet, overloading_rank, times)

    name = f'overload-{overloading_rank}-{times:g}x'
    measured = MEASURED if times <= 2.0 else MEASURED_AT_HIGH_LOAD
    if overloading_rank == 'most':
        measured = MEASURED_FOR_FLOORS
    return Scenario(
        name=name,
        setup=setup,
        overloading_rank=overloading_rank,
        measured=measured,
    )


def freeze(sim_fleet: fleet.Fleet) -> None:
    """Freeze a fifth of upstreams while the least urgent rank overloads."""
    _offer_mix(sim_fleet, 'least', 2.0)
    for pool in sim_fleet.deployment.pools:
        count = max(round(pool.endpoints / FROZEN_ONE_IN), 1)
        for name in sim_fleet.by_pool[pool.settings.name][:count]:
            sim_endpoint = sim_fleet.endpoints[name]
            sim_fleet.world.after(FREEZE_AT, sim_endpoint.freeze)
            sim_fleet.world.after(
                FREEZE_AT + FREEZE_FOR, sim_endpoint.unfreeze
            )
            if pool.settings.keyed:
                sim_fleet.world.after(
                    FREEZE_AT + KEYS_MOVED_AFTER,
                    sim_fleet.move_keys,
                    pool.settings.name,
                    name,
                )


def rolling_upstreams(sim_fleet: fleet.Fleet) -> None:
    ordinary(sim_fleet)
    for pool in sim_fleet.deployment.pools:
        for index in range(pool.endpoints):
            sim_fleet.world.after(
                OVERLOAD_AT + index * ROLLING_STEP,
                sim_fleet.replace_upstream,
                pool.settings.name,
                index,
                DOWN_TIME,
            )


def rolling_entries(sim_fleet: fleet.Fleet) -> None:
    ordinary(sim_fleet)
    step = (sim_fleet.metrics.end - OVERLOAD_AT) / deployments.ENTRIES
    for number in range(deployments.ENTRIES):
        sim_fleet.world.after(
            OVERLOAD_AT + number * step, _replace_entry, sim_fleet, number
        )


def _replace_entry(sim_fleet: fleet.Fleet, number: int) -> None:
    stopping_entry = sim_fleet.entries[number]
    new_entry = sim_fleet.add_entry(number + deployments.ENTRIES)
    if isinstance(new_entry, product.ProductEntry):
        product.send_claim_holders(sim_fleet, new_entry)
    stopping_entry.accepting = False
    stopping_entry.shut_down()
    sim_fleet.world.after(
        ENTRY_DRAIN_TIME, setattr, stopping_entry, 'live', False
    )


def lagging_reports(sim_fleet: fleet.Fleet) -> None:
    ordinary(sim_fleet)
    sim_fleet.report_loads('lagging', 1.0, 5.0)


def wrong_reports(sim_fleet: fleet.Fleet) -> None:
    ordinary(sim_fleet)
    sim_fleet.report_loads('wrong', 1.0, 0.0)


def hot_key(sim_fleet: fleet.Fleet) -> None:
    """Send a large load of the least urgent rank to one keyed shard."""
    ordinary(sim_fleet)
    sim_fleet.hot_shard = 7
    for pool in sim_fleet.deployment.pools:
        if pool.settings.keyed:
            sim_fleet.offer_load(
                pool,
                pool.least_urgent(),
                HOT_LOAD,
                begin=OVERLOAD_AT,
                end=sim_fleet.metrics.end,
                is_excess=True,
            )


def store_outage(sim_fleet: fleet.Fleet) -> None:
    """Crash an entry process that holds a claim while the store is down."""
    ordinary(sim_fleet)
    sim_fleet.world.after(7.0, setattr, sim_fleet, 'store_up', False)
    sim_fleet.world.after(8.0, _crash_entry, sim_fleet, 0)
    sim_fleet.world.after(12.0, setattr, sim_fleet, 'store_up', True)


def _crash_entry(sim_fleet: fleet.Fleet, number: int) -> None:
    entry = sim_fleet.entries[number]
    entry.accepting = False
    entry.live = False
    if isinstance(entry, product.ProductEntry):
        entry.crash()


ALL = (
    Scenario(name='ordinary', setup=ordinary, measured=MEASURED_FOR_IMBALANCE),
    overload('least', 1.0),
    overload('least', 2.0),
    overload('least', 5.0),
    overload('least', 10.0),
    overload('most', 1.0),
    overload('most', 2.0),
    overload('most', 5.0),
    overload('most', 10.0),
    Scenario(
        name='overload-freeze',
        setup=freeze,
        overloading_rank='least',
        split_by_keyed=True,
    ),
    Scenario(
        name='rolling-upstreams', setup=rolling_upstreams, split_by_keyed=True
    ),
    Scenario(name='rolling-entries', setup=rolling_entries),
    Scenario(name='reports-lag', setup=lagging_reports),
    Scenario(name='reports-wrong', setup=wrong_reports),
    Scenario(name='hot-key', setup=hot_key, overloading_rank='least'),
    Scenario(name='store-outage', setup=store_outage),
)
BY_NAME = {scenario.name: scenario for scenario in ALL}

"""Run the fault soak: ``python -m soak --seed 7 --seconds 20``.

Prints a line for each seed, followed by the violations that were found. The
logs of a run with violations are kept; those of a clean run are removed.
"""

from dataclasses import dataclass
from datetime import timedelta
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import typer

from goldcresthaven import aio
from soak import callers
from soak import checks
from soak import faults
from soak import fleet

# Time for recovery after the last fault. The platform allows 15 s; moving a
# key takes 10 s.
RECOVERY = timedelta(seconds=12)
# Period after recovery in which nearly all requests have to be served.
STEADY_PERIOD = timedelta(seconds=3)
WARM_UP = timedelta(seconds=3)

app = typer.Typer(add_completion=False)


@dataclass(kw_only=True)
class SeedResult:
    """The violations found in the run of one seed, and its counts.

    ``requests`` counts all requests sent, and ``served`` those with status
    200. ``arrived`` counts those that reached leaving upstreams, and
    ``turned_away`` those that were refused with a pause.
    """

    seed: int
    problems: list[str]
    requests: int
    served: int
    faults: int
    arrived: int
    turned_away: int


async def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    cluster: fleet.Fleet,
    results: list[SeedResult],
    restore_rng: random.Random | None,
    series_rng: random.Random | None,
    together: faults.Together | None,
) -> None:
    """Run one seed and append its result to ``results``.

    With ``together``, the upstreams without keys all do this at the start.
    """
    injector = faults.FaultInjector(
        cluster=cluster,
        rng=cluster.rng,
        restore_rng=restore_rng,
        series_rng=series_rng,
    )
    await cluster.start()
    caller_group = callers.Callers(
        gateways=cluster.gateways, rng=random.Random(seed + 1)
    )
    tasks = await caller_group.run()
    await aio.sleep(WARM_UP)
    if together is not None:
        # All requests go to this pool, so that each gateway sends some to
        # most of its upstreams, and the checks can see too many.
        caller_group.routes = callers.PLAIN_ROUTES
        await injector.signal_together(fleet.PLAIN_POOL, together)
        await aio.sleep(timedelta(seconds=cluster.pause_s))
        caller_group.routes = callers.ROUTES
    await injector.run(seconds)
    await aio.sleep(RECOVERY)
    steady_since = time.monotonic()
    await aio.sleep(STEADY_PERIOD)
    caller_group.stopped = True
    for task in tasks:
        await task.join()
    problems = checks.check_processes(cluster.gateways, injector.stops)
    cluster.kill_all()
    events = checks.read_events(cluster.upstreams)
    problems += checks.check_requests(caller_group.sent, events)
    problems += checks.check_owners(events)
    problems += checks.check_leaving(
        caller_group.sent, events, injector.disturbances
    )
    problems += checks.check_pauses(
        caller_group.sent, events, injector.disturbances
    )
    problems += checks.check_cut_off(
        caller_group.sent, events, injector.disturbances
    )
    problems += checks.check_recovery(caller_group.sent, steady_since)
    _write_report(folder / 'story.json', caller_group, injector)
    results.append(
        SeedResult(
            seed=seed,
            problems=problems,
            requests=len(caller_group.sent),
            served=sum(req.status == 200 for req in caller_group.sent),
            faults=len(injector.log_entries),
            arrived=len(events.arrivals),
            turned_away=len(events.turned_away),
        )
    )


def _write_report(
    file: pathlib.Path,
    caller_group: callers.Callers,
    injector: faults.FaultInjector,
) -> None:
    """Write the faults and the requests that were not served to a file."""
    failed = [
        {**vars(req), 'body': len(req.body)}
        for req in caller_group.sent
        if req.status != 200
    ]
    file.write_text(
        json.dumps(
            {'faults': injector.log_entries, 'failed': failed}, indent=1
        )
    )


def soak_seed(
    seed: int,
    seconds: float,
    *,
    restores: bool = False,
    series: bool = False,
    plain_count: int = fleet.PLAIN_COUNT,
    together: faults.Together | None = None,
) -> SeedResult:
    """Run one seed and print its result.

    With ``restores``, the store is also restored from older copies, and with
    ``series``, signals, restarts and changes also come in series. The folder
    with the logs is kept only if there were violations.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    results: list[SeedResult] = []
    cluster = fleet.Fleet(
        folder=folder,
        rng=random.Random(seed),
        plain_count=plain_count,
        pause_s=fleet.PAUSE_S if together is None else fleet.LONG_PAUSE_S,
    )
    restore_rng = random.Random(f'restores {seed}') if restores else None
    series_rng = random.Random(f'series {seed}') if series else None
    try:
        aio.run(
            run_seed,
            seed,
            seconds,
            folder,
            cluster,
            results,
            restore_rng,
            series_rng,
            together,
        )
    finally:
        cluster.kill_all()
    result = results[0]
    print(
        f'seed {seed}: {result.served} of {result.requests} served, '
        f'{result.faults} faults, {result.arrived} at leaving upstreams, '
        f'{result.turned_away} turned away, {len(result.problems)} problems',
        flush=True,
    )
    if result.problems:
        for problem in result.problems[:20]:
            print(f'  {problem}')
        print(f'  logs: {folder}', flush=True)
    else:
        shutil.rmtree(folder)
    return result


@app.command()
def main(
    seed: int | None = typer.Option(None, help='the first seed'),
    count: int = typer.Option(1, help='how many seeds'),
    seconds: float = typer.Option(20.0, help='time with faults, each seed'),
    restores: bool = typer.Option(
        True, help='also restore the store from older copies'
    ),
    series: bool = typer.Option(
        True, help='also send signals and changes in series'
    ),
    plain: int = typer.Option(
        fleet.PLAIN_COUNT, help='how many upstreams without keys'
    ),
    together: faults.Together | None = typer.Option(
        None, help='what the upstreams without keys all do at the start'
    ),
) -> None:
    """Run seeds one after the other; without a seed, fresh ones."""
    # Raises KeyboardInterrupt on SIGTERM, so that the ``finally`` clause ends
    # the processes of the fleet.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = random.SystemRandom().randrange(10**9) if seed is None else seed
    failed_seeds = [
        number
        for number in range(first, first + count)
        if soak_seed(
            number,
            seconds,
            restores=restores,
            series=series,
            plain_count=plain,
            together=together,
        ).problems
    ]
    print(
        f'{count - len(failed_seeds)} passed, {len(failed_seeds)} failed',
        *failed_seeds,
    )
    sys.exit(1 if failed_seeds else 0)


if __name__ == '__main__':
    app()

"""Run the fault soak: ``python -m soak --seed 7 --seconds 20``.

Prints a line for each seed, and what was violated. The logs of a run with a
violation are kept in its folder; those of a clean run are removed.
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

# After the last fault; the platform gives 15 s, a key's move takes 10 s.
RECOVERY = timedelta(seconds=12)
CALM = timedelta(seconds=3)
WARM_UP = timedelta(seconds=3)

app = typer.Typer(add_completion=False)


@dataclass(kw_only=True)
class Verdict:
    seed: int
    problems: list[str]
    requests: int
    served: int
    faults: int


async def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    world: fleet.Fleet,
    verdicts: list[Verdict],
) -> None:
    """Run one seed and add its verdict."""
    trouble = faults.Faults(world=world, rng=world.rng)
    await world.start()
    crowd = callers.Callers(
        gateways=world.gateways, rng=random.Random(seed + 1)
    )
    tasks = await crowd.run()
    await aio.sleep(WARM_UP)
    await trouble.run(seconds)
    await aio.sleep(RECOVERY)
    calm = time.monotonic()
    await aio.sleep(CALM)
    crowd.stopped = True
    for task in tasks:
        await task.join()
    problems = checks.check_processes(world.gateways, trouble.stops)
    world.end()
    events = checks.read_events(world.upstreams)
    problems += checks.check_requests(crowd.sent, events)
    problems += checks.check_owners(events)
    problems += checks.check_calm(crowd.sent, calm)
    _write_story(folder / 'story.json', crowd, trouble)
    verdicts.append(
        Verdict(
            seed=seed,
            problems=problems,
            requests=len(crowd.sent),
            served=sum(one.status == 200 for one in crowd.sent),
            faults=len(trouble.notes),
        )
    )


def _write_story(
    file: pathlib.Path, crowd: callers.Callers, trouble: faults.Faults
) -> None:
    """Keep the faults and the requests that were not served."""
    failed = [
        {**vars(one), 'body': len(one.body)}
        for one in crowd.sent
        if one.status != 200
    ]
    file.write_text(
        json.dumps({'faults': trouble.notes, 'failed': failed}, indent=1)
    )


def soak_one(seed: int, seconds: float) -> Verdict:
    """Run one seed; keeps its folder if something was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    verdicts: list[Verdict] = []
    world = fleet.Fleet(folder=folder, rng=random.Random(seed))
    try:
        aio.run(run_seed, seed, seconds, folder, world, verdicts)
    finally:
        world.end()
    verdict = verdicts[0]
    print(
        f'seed {seed}: {verdict.served} of {verdict.requests} served, '
        f'{verdict.faults} faults, {len(verdict.problems)} problems',
        flush=True,
    )
    if verdict.problems:
        for problem in verdict.problems[:20]:
            print(f'  {problem}')
        print(f'  logs: {folder}', flush=True)
    else:
        shutil.rmtree(folder)
    return verdict


@app.command()
def main(
    seed: int | None = typer.Option(None, help='the first seed'),
    count: int = typer.Option(1, help='how many seeds'),
    seconds: float = typer.Option(20.0, help='time with faults, each seed'),
) -> None:
    """Run seeds one after the other; without a seed, fresh ones."""
    # The processes of the fleet have to end with this one.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first = random.SystemRandom().randrange(10**9) if seed is None else seed
    bad = [
        number
        for number in range(first, first + count)
        if soak_one(number, seconds).problems
    ]
    print(f'{count - len(bad)} passed, {len(bad)} failed', *bad)
    sys.exit(1 if bad else 0)


if __name__ == '__main__':
    app()

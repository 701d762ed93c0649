"""Run all scenarios in both deployments.

Usage: ``python -m bench``.
"""

from concurrent import futures
import os
import sys

from bench import deployments
from bench import report
from bench import runs
from bench import scenarios

FULL_LOAD = '1x'
HIGH_LOAD = '10x'

Results = dict[runs.Task, runs.Figures]


def run_all(tasks: list[runs.Task]) -> Results:
    """Run the tasks in parallel, each in a new process."""
    with futures.ProcessPoolExecutor(
        max_workers=os.cpu_count(), max_tasks_per_child=1
    ) as pool:
        return dict(zip(tasks, pool.map(runs.run, tasks)))


def _make_tasks() -> list[runs.Task]:
    found = [
        runs.Task(deployment=deployment, scenario=scenario.name, router=name)
        for scenario in scenarios.ALL
        for deployment in deployments.NAMES
        for name in ('ours', 'naive')
    ]
    # Start the longest runs first; otherwise one of them could run alone at
    # the end while the other workers are idle.
    found.sort(key=lambda task: not task.scenario.endswith(HIGH_LOAD))
    return found


def compare_with_full_load(results: Results) -> None:
    """Add to each 10x run its goodput relative to the goodput at 1x."""
    for task, figures in results.items():
        if task.scenario.endswith(HIGH_LOAD):
            full = runs.Task(
                deployment=task.deployment,
                scenario=task.scenario.removesuffix(HIGH_LOAD) + FULL_LOAD,
                router=task.router,
            )
            share = figures['goodput'] / results[full]['goodput']
            figures['goodput_of_full_load'] = share


def main() -> int:
    """Print one line for each metric.

    Returns 1 if a metric misses its bound and KNOWN-RED.txt does not list
    it, else 0.
    """
    results = run_all(_make_tasks())
    compare_with_full_load(results)
    known = report.known_red()
    missed = 0
    print('scenario metric naive ours ratio bound verdict')
    for deployment in deployments.NAMES:
        for scenario in scenarios.ALL:
            naive, ours = (
                results[
                    runs.Task(
                        deployment=deployment,
                        scenario=scenario.name,
                        router=router,
                    )
                ]
                for router in ('naive', 'ours')
            )
            for line in report.lines(
                deployment, scenario.name, naive, ours, known
            ):
                print(line)
                missed += line.missed and not line.known
    print(f'{missed} bounds missed that KNOWN-RED.txt does not list')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())

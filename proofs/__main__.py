"""Runs the proofs of all promises and prints one line for each.

Exits with status 1 if the product violated a promise, or if a naive variant
never did, because then the injected failures do not test the promise.
"""

from concurrent import futures
import importlib
import sys

from proofs import report

# In the order of the promises in docs/design.md.
MODULES = (
    'sole_owner',
    'durable_assignment',
    'whole_answer',
    'not_run',
    'at_most_once',
    'drain',
    'graceful_stop',
    'config_monotonic',
)


def run_module(name: str) -> tuple[str, bool]:
    """Run one proof; return its output line and whether it passed."""
    proof: report.Proof = importlib.import_module(f'proofs.{name}').proof()
    verdict = report.run(proof)
    return str(verdict), verdict.passed


def main() -> int:
    with futures.ProcessPoolExecutor(max_workers=len(MODULES)) as pool:
        results = list(pool.map(run_module, MODULES))
    for line, _ in results:
        print(line)
    passed = sum(ok for _, ok in results)
    print(f'{passed} passed, {len(results) - passed} failed')
    return 0 if passed == len(results) else 1


if __name__ == '__main__':
    sys.exit(main())

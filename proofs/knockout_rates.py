"""Counts how often the simulation finds a violation without each rule.

Prints a Markdown table for docs/proofs.md. Without some rules, violations
are so rare that these seeds may show none. tests/test_knockouts.py therefore
names a seed with a violation for each rule.

    python -m proofs.knockout_rates
"""

from concurrent import futures

from proofs import knockouts

SEEDS = range(30)
WORKERS = 4


def violations(index: int) -> int:
    """Return the number of runs with a violation when a rule is removed."""
    rule = knockouts.RULES[index]
    return sum(bool(rule.run(seed).violations) for seed in SEEDS)


def main() -> None:
    print('| rule | removed by replacing | failures | violated in |')
    print('|---|---|---|---|')
    with futures.ProcessPoolExecutor(max_workers=WORKERS) as pool:
        counts = pool.map(violations, range(len(knockouts.RULES)))
        for rule, count in zip(knockouts.RULES, counts):
            replaced = ', '.join(
                f'`{getattr(p.target, "__name__", p.target)}.{p.name}`'
                for p in rule.patches
            )
            failures = f'`{rule.script}`' if rule.script else 'random'
            cells = (
                rule.rule,
                replaced,
                failures,
                f'{count} of {len(SEEDS)} runs',
            )
            print(f'| {" | ".join(cells)} |', flush=True)


if __name__ == '__main__':
    main()

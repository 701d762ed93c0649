"""Runs a proof, which checks one promise for two variants.

The variants are the product (``ours``) and a naive one. A check takes a seed
and returns whether the promise was violated. The naive variant must violate
the promise in some runs; otherwise the injected failures do not test it.
"""

from collections.abc import Callable
from dataclasses import dataclass

Check = Callable[[int], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """The checks of one promise for both variants, over the same seeds."""

    number: int
    name: str
    naive: Check
    ours: Check
    seeds: range = range(100)


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The number of runs in which each variant violated the promise."""

    proof: Proof
    naive_violated: int
    ours_violated: int

    @property
    def passed(self) -> bool:
        return self.naive_violated > 0 and self.ours_violated == 0

    def __str__(self) -> str:
        runs = len(self.proof.seeds)
        held = runs - self.ours_violated
        return (
            f'PROMISE {self.proof.number} {self.proof.name}: naive VIOLATED '
            f'{self.naive_violated} of {runs} runs, ours held {held} of '
            f'{runs}'
        )


def run(proof: Proof) -> Verdict:
    """Run both variants with all seeds."""
    return Verdict(
        proof=proof,
        naive_violated=sum(proof.naive(seed) for seed in proof.seeds),
        ours_violated=sum(proof.ours(seed) for seed in proof.seeds),
    )

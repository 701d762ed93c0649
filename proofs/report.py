"""The form of a proof: one promise, one naive variant, one product run.

A check is a function from a seed to whether the promise was violated. The
naive variant has to violate the promise in some runs, or the failures that
the check injects would prove nothing.
"""

from collections.abc import Callable
from dataclasses import dataclass

Check = Callable[[int], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """Two checks of one promise over the same seeds."""

    number: int
    name: str
    naive: Check
    ours: Check
    seeds: range = range(100)


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """How often each variant violated the promise."""

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
    """Run both variants over all seeds."""
    return Verdict(
        proof=proof,
        naive_violated=sum(proof.naive(seed) for seed in proof.seeds),
        ours_violated=sum(proof.ours(seed) for seed in proof.seeds),
    )

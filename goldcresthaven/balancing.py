"""Power-of-two-choices load balancing for pools without keys.

Two candidates are drawn at random, and the one with the lower score is
chosen. If the best of all upstreams were chosen, all entry processes would
send to the same one at once. Reported loads only break ties.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

from goldcresthaven import ids

Score = Callable[[ids.UpstreamId], float]


def choose(
    rng: random.Random,
    candidates: Sequence[ids.UpstreamId],
    score: Score,
    reported: Score,
) -> ids.UpstreamId | None:
    """Return the better of two random candidates.

    Returns None if there are no candidates. ``score`` is the load that
    this process computes itself, divided by the upstream's weight;
    ``reported`` is the load that the upstream reports.
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first = rng.randrange(len(candidates))
    second = rng.randrange(len(candidates) - 1)
    if second >= first:
        second += 1
    first_candidate = candidates[first]
    second_candidate = candidates[second]
    first_score = score(first_candidate)
    second_score = score(second_candidate)
    if first_score == second_score:
        first_score = reported(first_candidate)
        second_score = reported(second_candidate)
    return first_candidate if first_score <= second_score else second_candidate

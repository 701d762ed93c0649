"""Choice among interchangeable upstreams.

Used by the pools without keys. Two candidates are drawn at random and the
one with the shorter expected queue is taken: always taking the best would
send every entry to the same upstream at once. A reported load only decides
between equal candidates.
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
    """Return the better of two random candidates, or None without any.

    ``score`` is the load that this process knows of itself, divided by the
    upstream's weight; ``reported`` is what the upstream claims.
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first = rng.randrange(len(candidates))
    second = rng.randrange(len(candidates) - 1)
    if second >= first:
        second += 1
    one = candidates[first]
    two = candidates[second]
    left = score(one)
    right = score(two)
    if left == right:
        left = reported(one)
        right = reported(two)
    return one if left <= right else two

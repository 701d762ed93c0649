"""When a process looks at the claim of a pool.

All processes could take a claim over, and all fall silent to each other at
the same moment when its holder is lost. Only about ``READERS`` of them look
at a time, so that the calls do not grow with the fleet.
"""

from datetime import timedelta
import random

from goldcresthaven import key_claims

POLL_EVERY = timedelta(milliseconds=800)
# A coordinator reports three times a second.
SILENCE = timedelta(seconds=1)
# Processes that look at a claim in one round; one is enough to take it.
READERS = 8.0
# After this long those that looked seem to be cut off themselves.
LONG_SILENCE = timedelta(seconds=3)
LONG_SILENCE_FACTOR = 4.0
# Coordinating a hundred owners takes about this much of a core. A smaller
# VM lets larger ones take a claim first.
WANTED_PROCESSOR = 0.5
RELUCTANCE = timedelta(milliseconds=800)


class ClaimWatch:
    """Decides for one process and one claim.

    ``processor`` is what the VM has in cores.
    """

    def __init__(
        self, *, processor: float, started: timedelta, rng: random.Random
    ) -> None:
        small = processor < WANTED_PROCESSOR
        self._reluctance = RELUCTANCE if small else timedelta()
        self._not_before = started + self._reluctance
        self._rng = rng

    def pause(self) -> timedelta:
        """Return the time until the next decision."""
        return POLL_EVERY * self._rng.uniform(0.2, 1.0)

    def is_due(
        self, now: timedelta, silence: timedelta, fleet_size: int
    ) -> bool:
        """Return whether to look at the claim now.

        ``silence`` is how long its holder was not heard, ``fleet_size`` how
        many processes reported to it.
        """
        if now < self._not_before or silence < SILENCE + self._reluctance:
            return False
        share = READERS / max(1, fleet_size)
        if silence > LONG_SILENCE:
            share *= LONG_SILENCE_FACTOR
        return self._rng.random() < share

    def saw(
        self,
        claim: key_claims.Claim | None,
        store_clock: timedelta,
        now: timedelta,
    ) -> None:
        """Note a claim that was read; a live one is stale only later."""
        if claim is None:
            return
        left = key_claims.STALE_AFTER - (store_clock - claim.beat)
        self.abstain(now + min(left, key_claims.STALE_AFTER))

    def abstain(self, until: timedelta) -> None:
        """Leave the claim to others until then."""
        self._not_before = max(self._not_before, until)

"""When a process looks at the claim of a pool.

All processes could take a claim over, and all fall silent to each other at
the same moment when its holder is lost. Only about ``READERS`` of them look
at a time, so that the calls do not grow with the fleet.
"""

from datetime import timedelta
import random

from goldcresthaven import key_claims

POLL_INTERVAL = timedelta(milliseconds=800)
# A coordinator reports three times a second.
REPORT_TIMEOUT = timedelta(seconds=1)
# Processes that look at a claim in one round; one is enough to take it.
READERS_PER_ROUND = 8.0
# After this long those that looked seem to be cut off themselves.
LONG_REPORT_TIMEOUT = timedelta(seconds=3)
LONG_TIMEOUT_FACTOR = 4.0
# Coordinating a hundred owners takes about this much of a core. A smaller
# VM lets larger ones take a claim first.
MIN_CORES = 0.5
SMALL_VM_DELAY = timedelta(milliseconds=800)


class ClaimWatch:
    """Decides for one process and one claim.

    ``processor`` is what the VM has in cores.
    """

    def __init__(
        self, *, cpu_cores: float, started: timedelta, rng: random.Random
    ) -> None:
        small = cpu_cores < MIN_CORES
        self._delay = SMALL_VM_DELAY if small else timedelta()
        self._not_before = started + self._delay
        self._rng = rng

    def next_delay(self) -> timedelta:
        """Return the time until the next decision."""
        return POLL_INTERVAL * self._rng.uniform(0.2, 1.0)

    def should_read(
        self, now: timedelta, report_age: timedelta, fleet_size: int
    ) -> bool:
        """Return whether to look at the claim now.

        ``silence`` is how long its holder was not heard, ``fleet_size`` how
        many processes reported to it.
        """
        if now < self._not_before or report_age < REPORT_TIMEOUT + self._delay:
            return False
        share = READERS_PER_ROUND / max(1, fleet_size)
        if report_age > LONG_REPORT_TIMEOUT:
            share *= LONG_TIMEOUT_FACTOR
        return self._rng.random() < share

    def record_claim(
        self,
        claim: key_claims.Claim | None,
        store_clock: timedelta,
        now: timedelta,
    ) -> None:
        """Note a claim that was read; a live one is stale only later."""
        if claim is None:
            return
        left = key_claims.STALE_TIMEOUT - (store_clock - claim.renewed_at)
        self.defer(now + min(left, key_claims.STALE_TIMEOUT))

    def defer(self, until: timedelta) -> None:
        """Leave the claim to others until then."""
        self._not_before = max(self._not_before, until)

"""Decides when a process reads the claim of a pool from the store.

Every process can take over a claim, and all of them stop receiving reports
at the same moment when its holder is lost. Only about ``READERS_PER_ROUND``
of them read the claim in each round, so that the number of calls does not
grow with the fleet.
"""

from datetime import timedelta
import random

from goldcresthaven import key_claims

POLL_INTERVAL = timedelta(milliseconds=800)
# A coordinator sends three reports a second.
REPORT_TIMEOUT = timedelta(seconds=1)
# Processes that read a claim in one round. One of them is enough to take it.
READERS_PER_ROUND = 8.0
# After this time, the processes that read the claim are probably cut off from
# the store themselves, so that more have to read it.
LONG_REPORT_TIMEOUT = timedelta(seconds=3)
LONG_TIMEOUT_FACTOR = 4.0
# Coordinating a hundred owners takes about this share of a core. A smaller VM
# waits, so that larger ones can take a claim first.
MIN_CORES = 0.5
# Reports and announcements to 200 processes take about 15% of this link, in
# bytes/s. On a smaller one, responses to callers delay or displace them.
MIN_LINK = 2.5e6
SMALL_VM_DELAY = timedelta(milliseconds=800)


class ClaimWatch:
    """Schedules the reads of one claim by one process.

    ``cpu_cores`` is the VM's share of CPU cores, and ``link_bytes_per_s``
    the bandwidth of its network link.
    """

    def __init__(
        self,
        *,
        cpu_cores: float,
        link_bytes_per_s: float,
        started: timedelta,
        rng: random.Random,
    ) -> None:
        lacking = (cpu_cores < MIN_CORES) + (link_bytes_per_s < MIN_LINK)
        self._delay = SMALL_VM_DELAY * lacking
        self._not_before = started + self._delay
        self._rng = rng

    def next_delay(self) -> timedelta:
        """Return the randomized time until the next round."""
        return POLL_INTERVAL * self._rng.uniform(0.2, 1.0)

    def should_read(
        self, now: timedelta, report_age: timedelta, fleet_size: int
    ) -> bool:
        """Return whether to read the claim now.

        ``report_age`` is the time since the last report of its holder, and
        ``fleet_size`` the number of processes that reported to the holder.
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
        """Defer the next read until a claim that was read can be stale."""
        if claim is None:
            return
        left = key_claims.STALE_TIMEOUT - (store_clock - claim.renewed_at)
        self.defer(now + min(left, key_claims.STALE_TIMEOUT))

    def defer(self, until: timedelta) -> None:
        """Do not read the claim before ``until``."""
        self._not_before = max(self._not_before, until)

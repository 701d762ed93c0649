"""Open-loop load generator for requests of several ranks."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import clock as clock_module
from goldcresthaven import errors
from goldcresthaven import members
from goldcresthaven import outcomes
from tools import http_client

# Longer than the longest deadline, so that only a stuck request reaches it.
RESPONSE_TIMEOUT = timedelta(seconds=12)
METHODS = {
    outcomes.Rank.URGENT: 'POST',
    outcomes.Rank.STANDARD: 'GET',
    outcomes.Rank.BULK: 'GET',
}
_MS = timedelta(milliseconds=1)


@dataclass(kw_only=True)
class Tally:
    """Results of the requests of one rank in one phase.

    ``times`` are the response times of answered requests in ms; ``reasons``
    counts the others by outcome and reason.
    """

    sent: int = 0
    in_target: int = 0
    not_run: int = 0
    unknown: int = 0
    times: list[float] = field(default_factory=list)
    reasons: collections.Counter[str] = field(
        default_factory=collections.Counter
    )

    @property
    def answered(self) -> int:
        return len(self.times)

    def quantile(self, share: float) -> float:
        ordered = sorted(self.times)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Tallies = dict[outcomes.Rank, Tally]
Rates = Mapping[outcomes.Rank, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    at: timedelta
    rank: outcomes.Rank


def arrivals(
    rates: Rates, duration: timedelta, rng: random.Random
) -> list[Arrival]:
    """Return Poisson arrivals; rates are in requests per second."""
    found: list[Arrival] = []
    for rank, rate in rates.items():
        at = rng.expovariate(rate)
        while at < duration.total_seconds():
            found.append(Arrival(at=timedelta(seconds=at), rank=rank))
            at += rng.expovariate(rate)
    return sorted(found, key=lambda arrival: arrival.at)


class OpenLoad:
    """Sends each request when it is due, even if others are unanswered.

    Response times count from the due time, because a late generator would
    otherwise make the router look faster than it is. ``lag_ms`` is the
    longest time by which a request was sent late.
    """

    def __init__(
        self,
        *,
        entries: Sequence[members.Address],
        targets: Mapping[outcomes.Rank, timedelta],
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._idle: dict[members.Address, list[http_client.Caller]] = {
            address: [] for address in entries
        }
        self._count = 0
        self.tallies: Tallies = {}
        self.lag_ms = 0.0

    async def run(self, rates: Rates, duration: timedelta) -> Tallies:
        """Send the load of a phase and wait until all requests have ended."""
        self.tallies = {rank: Tally() for rank in rates}
        self.lag_ms = 0.0
        begin = self._clock.elapsed()
        tasks = []
        for arrival in arrivals(rates, duration, self._rng):
            due = begin + arrival.at
            wait = due - self._clock.elapsed()
            if wait > timedelta():
                await aio.sleep(wait)
            tasks.append(await aio.spawn(self._send_one(arrival.rank, due)))
        for task in tasks:
            await task.join()
        return self.tallies

    async def close(self) -> None:
        for callers in self._idle.values():
            for caller in callers:
                await caller.close()

    async def _send_one(self, rank: outcomes.Rank, due: timedelta) -> None:
        tally = self.tallies[rank]
        tally.sent += 1
        self.lag_ms = max(self.lag_ms, (self._clock.elapsed() - due) / _MS)
        self._count += 1
        key = f'{self._rng.getrandbits(64):x}-{self._count}'
        address = self._rng.choice(self._entries)
        idle = self._idle[address]
        caller = idle.pop() if idle else http_client.Caller(address)
        try:
            response = await caller.fetch(
                METHODS[rank],
                f'/{rank.value}/x',
                headers=(('idempotency-key', key),),
                timeout=RESPONSE_TIMEOUT,
            )
        except errors.ConnectionFailed:
            tally.not_run += 1
            tally.reasons['not connected'] += 1
            return
        except errors.Error as exc:
            tally.unknown += 1
            tally.reasons[f'unknown {type(exc).__name__}'] += 1
            return
        idle.append(caller)
        self._record(tally, rank, response, due)

    def _record(
        self,
        tally: Tally,
        rank: outcomes.Rank,
        response: http_client.Response,
        due: timedelta,
    ) -> None:
        response_time = self._clock.elapsed() - due
        match response.outcome:
            case 'done':
                tally.times.append(response_time / _MS)
                tally.in_target += response_time <= self._targets[rank]
                return
            case 'not-run':
                tally.not_run += 1
            case _:
                tally.unknown += 1
        tally.reasons[f'{response.outcome} {response.reason}'] += 1

"""Sends load of all ranks to a fleet and formats the results by rank."""

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

CALLERS_PER_RANK = 6
KEYS = 400
_MS = timedelta(milliseconds=1)


@dataclass(kw_only=True)
class Tally:
    """Counts of one rank; ``times`` are response times in milliseconds."""

    sent: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    run_twice: int = 0
    times: list[float] = field(default_factory=list)
    idempotency_keys: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)

    def quantile(self, share: float) -> float:
        ordered = sorted(self.times)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    method: str
    target: str
    has_idempotency_key: bool


def draw_request(rank: outcomes.Rank, rng: random.Random) -> Request:
    """Return a random request of a rank, according to Qasr's routes."""
    key = f'bakery-{rng.randrange(KEYS)}'
    match rank:
        case outcomes.Rank.URGENT:
            paths = ('/payments/new', f'/catalogue/{key}', '/orders/new')
            target = rng.choice(paths)
            return Request(
                method='POST', target=target, has_idempotency_key=True
            )
        case outcomes.Rank.STANDARD:
            target = rng.choice((f'/catalogue/{key}', '/orders/today'))
            return Request(
                method='GET', target=target, has_idempotency_key=False
            )
        case outcomes.Rank.BULK:
            size = rng.randrange(1 << 10, 128 << 10)
            target = rng.choice(('/sheets/a', '/photos/b'))
            target = f'{target}?size={size}'
            return Request(
                method='GET', target=target, has_idempotency_key=False
            )


class Load:
    """Closed-loop callers that pause between their requests."""

    def __init__(
        self,
        *,
        entries: Sequence[members.Address],
        clock: clock_module.Clock,
        pause: timedelta,
        seed: int = 1,
    ) -> None:
        self._entries = entries
        self._clock = clock
        self._pause = pause
        self._seed = seed
        self.tallies = {rank: Tally() for rank in outcomes.RANKS}

    async def run(self, duration: timedelta) -> None:
        stop = self._clock.elapsed() + duration
        tasks = [
            await aio.spawn(self._run_caller(rank, number, stop))
            for rank in outcomes.RANKS
            for number in range(CALLERS_PER_RANK)
        ]
        for task in tasks:
            await task.join()

    async def _run_caller(
        self, rank: outcomes.Rank, number: int, stop: timedelta
    ) -> None:
        rng = random.Random(f'{self._seed}-{rank.value}-{number}')
        entry = self._entries[number % len(self._entries)]
        caller = http_client.Caller(entry)
        count = 0
        while self._clock.elapsed() < stop:
            key = f'{self._seed}-{rank.value}-{number}-{count}'
            await self._send(caller, rank, draw_request(rank, rng), key)
            count += 1
            await aio.sleep(self._pause)
        await caller.close()

    async def _send(
        self,
        caller: http_client.Caller,
        rank: outcomes.Rank,
        request: Request,
        key: str,
    ) -> None:
        tally = self.tallies[rank]
        headers = (
            (('idempotency-key', key),) if request.has_idempotency_key else ()
        )
        if request.has_idempotency_key:
            tally.idempotency_keys.add(key)
        tally.sent += 1
        started = self._clock.elapsed()
        try:
            response = await caller.fetch(
                request.method, request.target, headers=headers
            )
        except errors.ConnectionFailed:
            tally.not_run += 1
            tally.not_run_keys.add(key)
            return
        except errors.Error:
            tally.unknown += 1
            return
        match response.outcome:
            case 'done':
                tally.answered += 1
                spent = self._clock.elapsed() - started
                tally.times.append(spent / _MS)
            case 'not-run':
                tally.not_run += 1
                tally.not_run_keys.add(key)
            case _:
                tally.unknown += 1


def format_table(tallies: dict[outcomes.Rank, Tally]) -> str:
    """Return the counts and latencies as a text table by rank."""
    lines = [
        f'{"rank":9}{"sent":>8}{"answered":>10}{"not run":>9}'
        f'{"unknown":>9}{"run twice":>11}{"p50 ms":>9}{"p99 ms":>9}'
    ]
    for rank, tally in tallies.items():
        lines.append(
            f'{rank.name:9}{tally.sent:8}{tally.answered:10}'
            f'{tally.not_run:9}{tally.unknown:9}{tally.run_twice:11}'
            f'{tally.quantile(0.5):9.1f}{tally.quantile(0.99):9.1f}'
        )
    return '\n'.join(lines)

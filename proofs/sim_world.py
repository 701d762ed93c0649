"""Simulated time, clocks, network and table service.

True time is in seconds since the start of a run. Every node has a clock
with its own offset and rate. All random choices derive from the seed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import heapq
import random

from goldcresthaven import leases
from goldcresthaven import tables

# The rates of two clocks may differ by DRIFT, so each deviates by up to half.
MAX_RATE_ERROR = leases.DRIFT * 0.49

LATENCY = 0.001  # mean of one direction, in seconds
STORE = 'store'


class Schedule:
    """Runs callbacks in the order of their true times."""

    def __init__(self) -> None:
        self.now = 0.0
        self.halted = False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            if self.halted:
                return
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


class NodeClock:
    """The drifting monotonic clock of one boot of a node."""

    def __init__(self, schedule: Schedule, rng: random.Random) -> None:
        self._schedule = schedule
        self._offset = rng.uniform(0.0, 1000.0)
        self._rate = 1 + rng.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)

    def elapsed(self) -> timedelta:
        seconds = self._offset + self._rate * self._schedule.now
        return timedelta(seconds=seconds)


@dataclass(kw_only=True)
class Faults:
    """The current faults; ``loss``, ``late``, ``duplicate`` are probabilities.

    Messages on ``blocked`` links are lost, and so are the store's responses
    to the nodes in ``lost_store_responses``. ``link_delays`` has additional
    delays, in seconds, by sender and receiver.
    """

    blocked: set[frozenset[str]] = field(default_factory=set)
    store_down: bool = False
    lost_store_responses: set[str] = field(default_factory=set)
    link_delays: dict[tuple[str, str], float] = field(default_factory=dict)
    loss: float = 0.0
    late: float = 0.0
    late_by: float = 3.0
    duplicate: float = 0.0


class Network:
    """Delivers messages between nodes, subject to the faults."""

    def __init__(
        self, schedule: Schedule, rng: random.Random, faults: Faults
    ) -> None:
        self._schedule = schedule
        self._rng = rng
        self._faults = faults

    def send(
        self, source: str, target: str, deliver: Callable[[], None]
    ) -> None:
        """Deliver a message once, late, twice or not at all."""
        faults = self._faults
        if frozenset((source, target)) in faults.blocked:
            return
        if self._rng.random() < faults.loss:
            return
        extra_delay = faults.link_delays.get((source, target), 0.0)
        self._schedule.after(extra_delay + self._delay(), deliver)
        if self._rng.random() < faults.duplicate:
            self._schedule.after(self._delay(), deliver)

    def _delay(self) -> float:
        delay = LATENCY * (0.5 + self._rng.random())
        if self._rng.random() < self._faults.late:
            delay += self._rng.uniform(0.0, self._faults.late_by)
        return delay


class Table:
    """The platform's table service without its protocol.

    It keeps no transaction ids, so the result of a repeated transaction
    depends only on its conditions.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tables.Row] = {}

    def transact(self, txn: tables.Transaction) -> tables.Result:
        failed = [c for c in txn.conditions if not self._condition_holds(c)]
        if failed:
            conflicting = {(c.table, c.key) for c in failed}
            rows = tuple(
                self.rows[k] for k in sorted(conflicting & set(self.rows))
            )
            return tables.Conflict(rows=rows)
        for write in txn.writes:
            row_key = write.table, write.key
            old = self.rows.get(row_key)
            version = 1 if old is None else old.version + 1
            self.rows[row_key] = tables.Row(
                key=write.key, version=version, value=write.value
            )
        return tables.Committed()

    def _condition_holds(self, condition: tables.Condition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        match condition:
            case tables.VersionIs():
                version = tables.ABSENT if row is None else row.version
                return version == condition.version
            case tables.FieldEquals():
                if row is None:
                    return False
                return bool(row.value[condition.name] == condition.value)

    def scan(self, table: str, after: str = '') -> tuple[tables.Row, ...]:
        row_keys = sorted(k for k in self.rows if k[0] == table)
        return tuple(self.rows[k] for k in row_keys if k[1] > after)


class Node:
    """A process that can be paused, stopped and started.

    Work that falls into a pause, such as received messages, is done when the
    pause ends, in order. Work of an earlier boot is discarded.
    """

    def __init__(
        self, name: str, schedule: Schedule, rng: random.Random
    ) -> None:
        self.name = name
        self.up = True
        self.boots = 0
        self.clock = NodeClock(schedule, rng)
        self._schedule = schedule
        self._rng = rng
        self._paused_until = 0.0

    @property
    def paused(self) -> bool:
        return self._schedule.now < self._paused_until

    def pause(self, duration: float) -> None:
        until = self._schedule.now + duration
        self._paused_until = max(self._paused_until, until)

    def stop(self) -> None:
        self.up = False
        self.boots += 1

    def start(self) -> None:
        self.up = True
        self._paused_until = 0.0
        self.clock = NodeClock(self._schedule, self._rng)

    def perform(self, work: Callable[[], None]) -> None:
        """Do the work now or after the pause, unless the node stops before."""
        if not self.up:
            return
        if not self.paused:
            work()
            return
        boot = self.boots

        def resume() -> None:
            if self.boots == boot:
                self.perform(work)

        self._schedule.at(self._paused_until, resume)


def zone_of(name: str) -> str:
    """Return the zone of a simulated node, such as ``z1`` for ``z1-e0``."""
    return name.partition('-')[0]


def pairs(left: list[str], right: list[str]) -> set[frozenset[str]]:
    """Return the links between two groups of nodes."""
    return {frozenset((a, b)) for a in left for b in right if a != b}

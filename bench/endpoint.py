"""Simulation model of an upstream endpoint."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
import random

from bench import deployments
from bench import sim
from goldcresthaven import ids
from goldcresthaven import outcomes

QUEUE_LIMIT = 100  # queued requests; further ones are shed
COLD_FACTOR = 3.0  # multiplier of the service time right after a start
COLD_TIME = 5.0  # seconds after a start until service times are normal
REPORT_INTERVAL = 1.0  # seconds


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """An attempt at an endpoint; ``reply`` is called when it ends.

    Times are virtual seconds. ``deadline``, the deadline of the caller, and
    ``disconnected_at``, when the caller disconnected, are used only by the
    metrics. ``version`` identifies the newest scheduled end of the job;
    ends that were scheduled earlier are ignored.
    """

    rank: outcomes.Rank
    deadline: float
    reply: Callable[['Job', outcomes.Outcome, bool], None]
    shard: int | None = None
    disconnected_at: float | None = None
    started_at: float = 0.0
    ends_at: float = 0.0
    done: bool = False
    version: int = 0


class Endpoint:
    """An endpoint with slots, a first-come-first-served queue and faults.

    It ignores deadlines and closed connections, because the router cannot
    require an upstream to handle either.
    """

    def __init__(
        self,
        world: sim.Simulation,
        *,
        name: ids.UpstreamId,
        zone: int,
        slot_count: int,
        rng: random.Random,
        on_finished: Callable[['Endpoint', Job, float], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.slot_count = slot_count
        self.draining = False
        self.owned: set[int] | None = None
        self.busy_time = 0.0
        self.received_draining = 0
        self.most_running = 0
        self._world = world
        self._rng = rng
        self._on_finished = on_finished
        self._queue: collections.deque[Job] = collections.deque()
        self._running: set[Job] = set()
        self._frozen_since: float | None = None
        self._started_at: float | None = None
        self._stopped = False

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._queue)

    def submit(self, job: Job) -> None:
        """Accept, queue or refuse an attempt from an entry process."""
        if self._stopped:
            job.reply(job, _CONNECT_FAILED, False)
            return
        if self.draining:
            self.received_draining += 1
        if self.owned is not None and job.shard not in self.owned:
            self._respond(job, _NOT_OWNER)
        elif len(self._running) < self.slot_count:
            self._start(job)
        elif len(self._queue) < QUEUE_LIMIT:
            self._queue.append(job)
        else:
            self._respond(job, _SHED)

    def freeze(self) -> None:
        self._frozen_since = self._world.now

    def unfreeze(self) -> None:
        """Resume after a freeze; running jobs continue where they stopped."""
        if self._frozen_since is None:
            return
        since = self._frozen_since
        self._frozen_since = None
        for job in self._running:
            pause = self._world.now - max(since, job.started_at)
            job.ends_at += pause
            # Do not count frozen time as slot time, as no request can use it.
            job.started_at += pause
            self._schedule(job)
        while self._queue and len(self._running) < self.slot_count:
            self._start(self._queue.popleft())

    def restart(self) -> None:
        """Drop all requests and restart; service is slow for COLD_TIME."""
        self._queue.clear()
        self._running.clear()
        self.draining = False
        self._stopped = False
        self._started_at = self._world.now

    def stop(self) -> None:
        self._stopped = True

    def _respond(self, job: Job, outcome: outcomes.Outcome) -> None:
        if self._frozen_since is None:
            job.done = True
            job.reply(job, outcome, self.draining)

    def _service(self, rank: outcomes.Rank) -> float:
        shape = deployments.SERVICE_SHAPE
        mean = deployments.MEAN_SERVICE_TIME[rank]
        service = self._rng.gammavariate(shape, mean / shape)
        if self._started_at is None:
            return service
        age = (self._world.now - self._started_at) / COLD_TIME
        if age >= 1.0:
            self._started_at = None
            return service
        return service * (COLD_FACTOR - (COLD_FACTOR - 1.0) * age)

    def _start(self, job: Job) -> None:
        self._running.add(job)
        self.most_running = max(self.most_running, len(self._running))
        job.started_at = self._world.now
        job.ends_at = job.started_at + self._service(job.rank)
        if self._frozen_since is None:
            self._schedule(job)

    def _schedule(self, job: Job) -> None:
        job.version += 1
        self._world.after(
            job.ends_at - self._world.now, self._finish, job, job.version
        )

    def _finish(self, job: Job, version: int) -> None:
        if self._frozen_since is not None or version != job.version:
            return
        if job not in self._running:
            return
        self._running.discard(job)
        slot_time = job.ends_at - job.started_at
        self.busy_time += slot_time
        self._on_finished(self, job, slot_time)
        self._respond(job, _DONE)
        if self._queue:
            self._start(self._queue.popleft())


_DONE = outcomes.Done(status=200)
_SHED = outcomes.NotRun(reason=outcomes.Reason.SHED)
_NOT_OWNER = outcomes.NotRun(reason=outcomes.Reason.NOT_OWNER, status=421)
_CONNECT_FAILED = outcomes.NotRun(reason=outcomes.Reason.CONNECT_FAILED)

"""Measurements of one simulated run."""

from dataclasses import dataclass
from dataclasses import field

from bench import endpoint
from goldcresthaven import outcomes


@dataclass(kw_only=True, slots=True, eq=False)
class Call:
    """A request from a caller; times are virtual seconds.

    ``slot_time`` is how long the answered attempt occupied a slot.
    ``is_excess`` is true for the calls that overload the pool.
    """

    number: int
    pool: str
    rank: outcomes.Rank
    sent: float
    deadline: float
    idempotent: bool
    shard: int | None = None
    is_excess: bool = False
    disconnected_at: float | None = None
    attempts: int = 0
    slot_time: float = 0.0
    finished: bool = False


@dataclass(kw_only=True, slots=True)
class Group:
    """Counts of the calls of a pool and rank, excess load kept separate.

    ``left`` counts callers that disconnected before a response.
    ``goodput_time`` is the slot time of calls answered by the deadline.
    ``unknown`` includes responses that arrived after the deadline.
    """

    sent: int = 0
    left: int = 0
    in_target: int = 0
    not_run: int = 0
    unknown: int = 0
    goodput_time: float = 0.0
    latencies: list[float] = field(default_factory=list)


# Pool, rank, and whether the calls are excess load.
Key = tuple[str, outcomes.Rank, bool]


@dataclass(kw_only=True)
class Metrics:
    """Counts events between ``begin`` and ``end`` of a run.

    ``late_time`` is slot time spent on attempts after the deadline, and
    ``disconnected_time`` after the disconnect of the caller.
    """

    begin: float
    end: float
    targets: dict[outcomes.Rank, float]
    groups: dict[Key, Group] = field(default_factory=dict)
    retries: int = 0
    calls: int = 0
    messages: int = 0
    busy: dict[str, float] = field(default_factory=dict)
    late_time: float = 0.0
    disconnected_time: float = 0.0
    new_work_while_draining: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    def in_window(self, when: float) -> bool:
        return self.begin <= when < self.end

    def group(self, call: Call) -> Group:
        key = (call.pool, call.rank, call.is_excess)
        return self.groups.setdefault(key, Group())

    def sent(self, call: Call) -> None:
        if self.in_window(call.sent):
            self.calls += 1
            self.group(call).sent += 1

    def left(self, call: Call) -> None:
        """Record that a caller disconnected before a response."""
        if self.in_window(call.sent):
            self.group(call).left += 1

    def attempted(self, call: Call) -> None:
        if self.in_window(call.sent) and call.attempts > 1:
            self.retries += 1

    def answered(
        self, now: float, call: Call, outcome: outcomes.Outcome
    ) -> None:
        """Record the outcome of a call, unless its caller disconnected."""
        if call.disconnected_at is not None:
            return
        group = self.group(call)
        if self.in_window(now) and isinstance(outcome, outcomes.Done):
            if now <= call.deadline:
                group.goodput_time += call.slot_time
        if not self.in_window(call.sent):
            return
        match outcome:
            case outcomes.Done() if now <= call.deadline:
                latency = now - call.sent
                group.latencies.append(latency)
                group.in_target += latency <= self.targets[call.rank]
            case outcomes.NotRun(reason=reason):
                group.not_run += 1
                name = reason.value
                self.refused[name] = self.refused.get(name, 0) + 1
            case _:
                group.unknown += 1

    def record_busy_time(
        self,
        sim_endpoint: endpoint.Endpoint,
        job: endpoint.Job,
        slot_time: float,
    ) -> None:
        """Record the slot time of a finished attempt."""
        if not self.in_window(job.started_at):
            return
        self.busy[sim_endpoint.name] = (
            self.busy.get(sim_endpoint.name, 0.0) + slot_time
        )
        if (
            job.disconnected_at is not None
            and job.disconnected_at < job.ends_at
        ):
            self.disconnected_time += min(
                slot_time, job.ends_at - job.disconnected_at
            )
        elif job.deadline < job.ends_at:
            self.late_time += min(slot_time, job.ends_at - job.deadline)

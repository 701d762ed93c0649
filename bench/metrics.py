"""What the benchmark measures in one run."""

from dataclasses import dataclass
from dataclasses import field

from bench import endpoint
from goldcresthaven import outcomes


@dataclass(kw_only=True, slots=True, eq=False)
class Call:
    """One caller's request; times are virtual seconds.

    ``spent`` is the slot time of the attempt that was answered.
    """

    number: int
    pool: str
    rank: outcomes.Rank
    sent: float
    deadline: float
    idempotent: bool
    shard: int | None = None
    source: bool = False
    gone: float | None = None
    attempts: int = 0
    spent: float = 0.0
    finished: bool = False


@dataclass(kw_only=True, slots=True)
class Group:
    """Calls of one rank in one pool, without or with the overload's own."""

    sent: int = 0
    left: int = 0
    in_target: int = 0
    not_run: int = 0
    unknown: int = 0
    good_time: float = 0.0
    latencies: list[float] = field(default_factory=list)


Key = tuple[str, outcomes.Rank, bool]


@dataclass(kw_only=True)
class Metrics:
    """Counts over the part of a run between ``begin`` and ``end``."""

    begin: float
    end: float
    targets: dict[outcomes.Rank, float]
    groups: dict[Key, Group] = field(default_factory=dict)
    retries: int = 0
    calls: int = 0
    messages: int = 0
    busy: dict[str, float] = field(default_factory=dict)
    late_time: float = 0.0
    gone_time: float = 0.0
    new_work_while_draining: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    def counts(self, when: float) -> bool:
        return self.begin <= when < self.end

    def group(self, call: Call) -> Group:
        key = (call.pool, call.rank, call.source)
        return self.groups.setdefault(key, Group())

    def sent(self, call: Call) -> None:
        if self.counts(call.sent):
            self.calls += 1
            self.group(call).sent += 1

    def left(self, call: Call) -> None:
        """Record that a caller disconnected before its response."""
        if self.counts(call.sent):
            self.group(call).left += 1

    def attempted(self, call: Call) -> None:
        if self.counts(call.sent) and call.attempts > 1:
            self.retries += 1

    def answered(
        self, now: float, call: Call, outcome: outcomes.Outcome
    ) -> None:
        """Record what the caller received, unless it has left."""
        if call.gone is not None:
            return
        group = self.group(call)
        if self.counts(now) and isinstance(outcome, outcomes.Done):
            if now <= call.deadline:
                group.good_time += call.spent
        if not self.counts(call.sent):
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

    def worked(
        self, where: endpoint.Endpoint, job: endpoint.Job, spent: float
    ) -> None:
        """Record slot time that a finished attempt took."""
        if not self.counts(job.started):
            return
        self.busy[where.name] = self.busy.get(where.name, 0.0) + spent
        if job.gone is not None and job.gone < job.ends:
            self.gone_time += min(spent, job.ends - job.gone)
        elif job.deadline < job.ends:
            self.late_time += min(spent, job.ends - job.deadline)

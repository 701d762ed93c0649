"""Simple routers with which the load policy is compared."""

from collections.abc import Callable

from bench import fleet
from bench import metrics
from goldcresthaven import ids
from goldcresthaven import outcomes

FIXED_TIMEOUT = 5.0  # seconds
FIXED_RETRIES = 3

Choice = Callable[['Direct', str], ids.UpstreamId]


class Direct(fleet.Entry):
    """Sends each request immediately; upstreams queue in order of arrival.

    The naive baseline uses ``choose_random`` without limits: a fixed timeout
    and three retries for every request. In the comparison of rules, the
    other choices replace slot leases. They run with ``use_limits``, which
    applies the deadlines and retry limits of the product, so that only the
    load balancing differs.
    """

    def __init__(
        self,
        sim_fleet: fleet.Fleet,
        number: int,
        zone: int,
        *,
        choice: Choice,
        use_limits: bool,
    ) -> None:
        super().__init__(sim_fleet, number, zone)
        self.running: dict[ids.UpstreamId, int] = {}
        self._choice = choice
        self._use_limits = use_limits
        self._draining: set[ids.UpstreamId] = set()
        # Retries left; each request adds 0.1, up to 10.
        self._budget = 10.0

    def candidates(self, pool: str) -> list[ids.UpstreamId]:
        names = self.fleet.by_pool[pool]
        return [name for name in names if name not in self._draining] or names

    def receive(self, call: metrics.Call) -> None:
        self._budget = min(self._budget + 0.1, 10.0)
        self._attempt(call)

    def _attempt(self, call: metrics.Call) -> None:
        timeout = FIXED_TIMEOUT
        if self._use_limits:
            timeout = call.deadline - self.world.now
        if timeout <= 0.0:
            self.respond(call, _TOO_LATE)
            return
        if call.shard is not None:
            name = self.owners[call.pool][call.shard]
        else:
            name = self._choice(self, call.pool)
        self.running[name] = self.running.get(name, 0) + 1
        self.submit(call, name, timeout)

    def attempt_ended(
        self,
        attempt: fleet.Attempt,
        outcome: outcomes.Outcome,
        draining: bool,
    ) -> None:
        self.running[attempt.sim_endpoint.name] -= 1
        if draining and self._use_limits:
            self._draining.add(attempt.sim_endpoint.name)
        call = attempt.call
        if isinstance(outcome, outcomes.Done) or not self._should_retry(
            call, outcome
        ):
            self.respond(call, outcome)
        else:
            self._attempt(call)

    def _should_retry(
        self, call: metrics.Call, outcome: outcomes.Outcome
    ) -> bool:
        if call.attempts > FIXED_RETRIES:
            return False
        if not self._use_limits:
            return True
        if isinstance(outcome, outcomes.Unknown) and not call.idempotent:
            return False
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def member_draining(self, name: ids.UpstreamId) -> None:
        self._draining.add(name)

    def member_live(self, name: ids.UpstreamId) -> None:
        self._draining.discard(name)


def choose_random(entry: Direct, pool: str) -> ids.UpstreamId:
    return entry.fleet.rng.choice(entry.candidates(pool))


def choose_two(entry: Direct, pool: str) -> ids.UpstreamId:
    """Choose two at random; return the one with fewer running requests.

    Only the requests of this entry process are counted.
    """
    names = entry.candidates(pool)
    one, two = (entry.fleet.rng.choice(names) for _ in range(2))
    running_one = entry.running.get(one, 0)
    return one if running_one <= entry.running.get(two, 0) else two


def choose_reported(entry: Direct, pool: str) -> ids.UpstreamId:
    """Return the endpoint with the lowest reported load."""
    reported_loads = entry.fleet.reported_loads
    names = list(entry.candidates(pool))
    entry.fleet.rng.shuffle(names)
    return min(names, key=lambda name: reported_loads.get(name, 0.0))


def naive(sim_fleet: fleet.Fleet, number: int, zone: int) -> fleet.Entry:
    return Direct(
        sim_fleet, number, zone, choice=choose_random, use_limits=False
    )


def two_choices(sim_fleet: fleet.Fleet, number: int, zone: int) -> fleet.Entry:
    return Direct(sim_fleet, number, zone, choice=choose_two, use_limits=True)


def least_reported(
    sim_fleet: fleet.Fleet, number: int, zone: int
) -> fleet.Entry:
    return Direct(
        sim_fleet, number, zone, choice=choose_reported, use_limits=True
    )


_TOO_LATE = outcomes.NotRun(reason=outcomes.Reason.DEADLINE_PASSED)

"""State of the slot manager: entry processes, upstreams and leases."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import heapq

from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import slots

# VM and boot of an entry process. A process that restarted on the same VM has
# another key; the leases of its predecessor time out.
ProcessKey = tuple[ids.VmId, ids.BootId]


@dataclass(kw_only=True, slots=True)
class Lease:
    """A slot that the manager granted to an entry process.

    ``basis`` is the entry's clock reading from which the lease counts.
    """

    lease: int
    entry: ProcessKey
    upstream: ids.UpstreamId
    level: int
    basis: timedelta
    recalled: bool = False


@dataclass(kw_only=True, slots=True)
class EntryState:
    """The manager's state of one entry process.

    ``basis`` is the entry's clock reading in the latest accepted demand,
    and ``last_seen`` the manager's clock reading when that demand arrived.
    ``seq`` and ``return_seq`` are the highest sequence numbers of accepted
    demands and returns.
    """

    seq: int = 0
    basis: timedelta = admission.ZERO
    last_seen: timedelta = admission.ZERO
    return_seq: int = 0
    unleased: tuple[ids.UpstreamId, ...] = ()
    leases: dict[int, Lease] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _WaitingEntry:
    count: int
    due: timedelta
    version: int


class UpstreamSlots:
    """The slots of one upstream and the entries that wait for them.

    ``held`` counts the leases and ``queued`` the waiting requests, both by
    level. ``unleased`` counts the requests that run without a lease, which
    occupy slots as well. ``grant_until`` is None unless the upstream drains.
    """

    def __init__(
        self,
        *,
        slot_count: int,
        bulk_cap: int,
        floors: Sequence[float],
        drain_grace: timedelta,
    ) -> None:
        self.slot_count = slot_count
        self.bulk_cap = bulk_cap
        self.shares = admission.Shares(floors=floors, slots=slot_count)
        self.leases: dict[int, Lease] = {}
        self.held = [0] * admission.RANK_COUNT
        self.queued = [0] * admission.RANK_COUNT
        self.drain_grace = drain_grace
        self.grant_until: timedelta | None = None
        self.unleased = 0
        self._waiting: list[dict[ProcessKey, _WaitingEntry]] = [
            {} for _ in range(admission.RANK_COUNT)
        ]
        # Heaps by deadline. An item is obsolete if its version is not that of
        # the entry in ``_waiting``.
        self._order: list[list[tuple[timedelta, int, ProcessKey]]] = [
            [] for _ in range(admission.RANK_COUNT)
        ]
        self._version = 0

    def set_policy(self, floors: Sequence[float], bulk_cap: int) -> None:
        """Apply a preset; slots that were granted before are not changed."""
        self.bulk_cap = bulk_cap
        self.shares.set_floors(floors, slots=self.slot_count)

    def set_want(
        self, now: timedelta, entry: ProcessKey, want: slots.Want
    ) -> None:
        self.advance(now)
        for level in range(admission.RANK_COUNT):
            waiting = self._waiting[level]
            previous = waiting.pop(entry, None)
            if previous is not None:
                self.queued[level] -= previous.count
            count = want.queued[level]
            if not count:
                continue
            self._version += 1
            due = now + want.slack[level]
            waiting[entry] = _WaitingEntry(
                count=count, due=due, version=self._version
            )
            self.queued[level] += count
            heapq.heappush(self._order[level], (due, self._version, entry))

    def remove_entry(self, now: timedelta, entry: ProcessKey) -> None:
        """Remove an entry's demand."""
        self.advance(now)
        for level in range(admission.RANK_COUNT):
            previous = self._waiting[level].pop(entry, None)
            if previous is not None:
                self.queued[level] -= previous.count

    def advance(self, now: timedelta) -> None:
        self.shares.advance(now, self.queued, self.held)

    def next_level(self, now: timedelta) -> int | None:
        """Return the level that gets the next slot, or None."""
        if self.grant_until is not None and now >= self.grant_until:
            return None
        if len(self.leases) + self.unleased >= self.slot_count:
            return None
        bulk = self.held[admission.BULK_LEVEL]
        allowed = admission.RANK_COUNT
        if bulk >= self.bulk_cap:
            allowed = admission.BULK_LEVEL
        return self.shares.choose(self.queued, allowed)

    def pop_waiting(self, level: int) -> ProcessKey:
        """Return the entry with the earliest deadline.

        Its demand decreases by one. At least one entry must be waiting.
        """
        order = self._order[level]
        waiting = self._waiting[level]
        while True:
            _, version, entry = order[0]
            waiting_entry = waiting.get(entry)
            if waiting_entry is not None and waiting_entry.version == version:
                break
            heapq.heappop(order)
        self.queued[level] -= 1
        waiting_entry.count -= 1
        if not waiting_entry.count:
            del waiting[entry]
            heapq.heappop(order)
        return entry

    def unmet_demand(self) -> int:
        """Return how many more slots could be used immediately."""
        bulk_room = self.bulk_cap - self.held[admission.BULK_LEVEL]
        bulk = min(self.queued[admission.BULK_LEVEL], max(bulk_room, 0))
        return sum(self.queued[: admission.BULK_LEVEL]) + bulk

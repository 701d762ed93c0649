"""Tests of queues, refusals and shares."""

from datetime import timedelta
import unittest

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets

POLICY = presets.RankPolicy.model_validate(
    {
        'target': '500ms',
        'deadline': '2s',
        'floor': 0.3,
        'queue_length': 4,
        'queue_bytes': '9B',
    }
)
PRESET = presets.Preset(
    name=ids.PresetName('test'), urgent=POLICY, standard=POLICY, bulk=POLICY
)


def make_request(
    number: int,
    *,
    deadline: float = 60.0,
    size: int = 1,
    rank: outcomes.Rank = outcomes.Rank.URGENT,
) -> admission.Request:
    return admission.Request(
        request_id=ids.RequestId(str(number)),
        pool=ids.PoolName('orders'),
        rank=rank,
        arrived=timedelta(),
        deadline=timedelta(seconds=deadline),
        size=size,
    )


class PlainQueue:
    """A simple reference queue."""

    def __init__(self) -> None:
        self.requests: list[admission.Request] = []

    def full(self, size: int) -> bool:
        total = sum(r.size for r in self.requests) + size
        return len(self.requests) >= 4 or total > 9

    def remove(self, name: str) -> None:
        self.requests = [r for r in self.requests if r.request_id != name]

    def expire(self, now: timedelta) -> set[str]:
        gone = {r.request_id for r in self.requests if r.deadline <= now}
        self.requests = [r for r in self.requests if r.deadline > now]
        return set(gone)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['add', 'pop', 'remove', 'expire']),
        st.integers(min_value=0, max_value=8),
        st.integers(min_value=0, max_value=5),
    ),
    max_size=60,
)


class RankQueueTest(unittest.TestCase):
    # On a busy machine generating the first inputs exceeds the time that
    # hypothesis allows. The number of examples is the default.
    @settings(suppress_health_check=[HealthCheck.too_slow])
    @given(STEPS)
    def test_agrees_with_plain_queue(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        """Guards against losing, repeating or misordering requests.

        Also checks the count of bytes and the earliest deadline.
        """
        queue = admission.RankQueue(POLICY)
        plain = PlainQueue()
        for number, (kind, value, size) in enumerate(steps):
            match kind:
                case 'add':
                    self.assertEqual(queue.is_full(size), plain.full(size))
                    if not plain.full(size):
                        request = make_request(
                            number, deadline=value, size=size
                        )
                        queue.add(request)
                        plain.requests.append(request)
                case 'pop' if plain.requests:
                    self.assertIs(queue.pop(), plain.requests.pop(0))
                case 'remove':
                    queue.remove(ids.RequestId(str(value)))
                    plain.remove(str(value))
                case 'expire':
                    now = timedelta(seconds=value)
                    gone = {r.request_id for r in queue.expire(now)}
                    self.assertEqual(gone, plain.expire(now))
            self.assertEqual(len(queue), len(plain.requests))
            self.assertEqual(queue.bytes, sum(r.size for r in plain.requests))
            earliest = min((r.deadline for r in plain.requests), default=None)
            self.assertEqual(queue.earliest_deadline(), earliest)


class RefusalTest(unittest.TestCase):
    def test_expired_work_is_refused(self) -> None:
        """Guards against queueing a request whose deadline has passed."""
        queue = admission.RequestQueue(preset=PRESET, slots=1)
        refusal = queue.offer(
            timedelta(seconds=2), make_request(1, deadline=2.0)
        )
        assert refusal is not None
        self.assertIs(refusal.reason, outcomes.Reason.DEADLINE_PASSED)

    def test_request_that_would_miss_its_deadline_is_refused(self) -> None:
        """Guards against queueing a request that cannot meet its deadline."""
        queue = admission.RequestQueue(preset=PRESET, slots=1)
        queue.set_elsewhere([100, 0, 0])
        queue.offer(timedelta(), make_request(1))
        refusal = queue.offer(timedelta(), make_request(2, deadline=2.0))
        assert refusal is not None
        self.assertIs(refusal.reason, outcomes.Reason.CANNOT_MEET_DEADLINE)
        assert refusal.retry_after is not None
        self.assertGreater(refusal.retry_after, timedelta(seconds=2))

    def test_full_queue_refuses(self) -> None:
        """Guards against unbounded memory under overload."""
        queue = admission.RequestQueue(preset=PRESET, slots=1)
        for number in range(4):
            self.assertIsNone(queue.offer(timedelta(), make_request(number)))
        refusal = queue.offer(timedelta(), make_request(9))
        assert refusal is not None
        self.assertIs(refusal.reason, outcomes.Reason.QUEUE_FULL)


class SharesTest(unittest.TestCase):
    def test_waiting_ranks_get_their_floors(self) -> None:
        """Guards against starvation of a rank by a more urgent one."""
        shares = admission.Shares(floors=[0.5, 0.3, 0.1], slots=1)
        served = [0, 0, 0]
        held = [0, 0, 0]
        for step in range(1000):
            now = timedelta(milliseconds=10 * step)
            shares.advance(now, [1, 1, 1], held)
            level = shares.choose([1, 1, 1], 3)
            assert level is not None
            held = [0, 0, 0]
            held[level] = 1
            served[level] += 1
        for count, floor in zip(served, [0.5, 0.3, 0.1]):
            self.assertGreaterEqual(count, 1000 * floor * 0.95)

    def test_a_rank_below_its_floor_has_no_debt(self) -> None:
        """Guards against debt of a rank that used less than its floor.

        A rank that had used 10% of the slots, with a floor of 30%, waited
        2.3 s for service when an overload of a more urgent rank began.
        """
        shares = admission.Shares(floors=[0.5, 0.3, 0.1], slots=1)
        for step in range(1000):
            now = timedelta(milliseconds=10 * step)
            held = [0, 1, 0] if step % 10 == 0 else [0, 0, 1]
            shares.advance(now, [0, 0, 1], held)
        waited = timedelta()
        while shares.choose([1, 1, 0], 3) != 1:
            waited += timedelta(milliseconds=10)
            shares.advance(now + waited, [1, 1, 0], [1, 0, 0])
        self.assertLess(waited, timedelta(milliseconds=300))

    def test_a_debt_ends_while_nothing_waits(self) -> None:
        """Guards against debt that remains after a time without work."""
        shares = admission.Shares(floors=[0.5, 0.3, 0.1], slots=1)
        shares.advance(timedelta(seconds=10), [0, 1, 0], [0, 1, 0])
        shares.advance(timedelta(seconds=20), [0, 0, 0], [0, 0, 0])
        shares.advance(timedelta(seconds=20.1), [1, 1, 0], [1, 0, 0])
        self.assertEqual(shares.choose([1, 1, 0], 3), 1)

    def test_rank_without_work_earns_no_credit(self) -> None:
        """Guards against an idle rank that accumulates credit for a burst."""
        shares = admission.Shares(floors=[0.5, 0.3, 0.1], slots=1)
        shares.advance(timedelta(seconds=10), [1, 0, 0], [0, 0, 0])
        self.assertEqual(shares.choose([1, 0, 1], 3), 0)
        shares.advance(timedelta(seconds=15), [1, 0, 0], [1, 0, 0])
        self.assertEqual(shares.choose([1, 0, 1], 3), 0)

"""Tests of slot leases with lost and late messages and lost processes."""

from datetime import timedelta
import random
import unittest

from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import slot_manager
from goldcresthaven import slots

UPSTREAM = ids.UpstreamId('orders-0')
DOMAIN = ids.DomainId('zone-0/0')
MANAGER = ids.VmId('manager')
SLOTS = 3
BULK_CAP = 2
STEP = timedelta(milliseconds=10)
POLICY = presets.RankPolicy.model_validate(
    {'target': '100ms', 'deadline': '400ms', 'floor': 0.3}
)
PRESET = presets.Preset(
    name=ids.PresetName('test'), urgent=POLICY, standard=POLICY, bulk=POLICY
)


def make_manager(
    epoch: int,
    *,
    settle_until: timedelta = timedelta(),
    expected: tuple[ids.VmId, ...] = (),
) -> slot_manager.Manager:
    manager = slot_manager.Manager(
        domain=DOMAIN,
        epoch=ids.Epoch(epoch),
        preset=PRESET,
        settle_until=settle_until,
        expected=expected,
    )
    manager.add_upstream(UPSTREAM, slot_count=SLOTS, bulk_cap=BULK_CAP)
    return manager


class FakeEntry:
    """An entry process that uses each slot for a random time."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.vm = ids.VmId(name)
        self.offset = timedelta(seconds=rng.uniform(0.0, 1000.0))
        self.alive = True
        self.entry_slots = slots.EntrySlots(
            entry=self.vm, boot=ids.BootId('1')
        )
        self.entry_slots.add_upstream(UPSTREAM, DOMAIN)
        self.running: list[tuple[timedelta, slots.HeldSlot]] = []
        self._rng = rng
        self.follow_manager(1)

    def follow_manager(self, epoch: int) -> None:
        self.entry_slots.set_manager(DOMAIN, MANAGER, ids.Epoch(epoch))

    def step(self, now: timedelta) -> list[slots.Message]:
        """Start and end requests; return the messages to the manager."""
        if not self.alive:
            return []
        now += self.offset
        messages: list[slots.Message] = []
        self._finish(now)
        for level in range(3):
            held = self.entry_slots.take(now, UPSTREAM, level)
            if held is not None and self._rng.random() < 0.7:
                length = timedelta(seconds=self._rng.uniform(0.01, 0.4))
                self.running.append((now + length, held))
            elif held is not None and self.entry_slots.release(now, held):
                messages.append(self.entry_slots.build_return([held]))
        for idle in self.entry_slots.idle_too_long(now):
            messages.append(self.entry_slots.build_return(idle))
        if self._rng.random() < 0.2:
            messages.append(
                self.entry_slots.build_demand(now, DOMAIN, (self._want(),))
            )
        return messages

    def _finish(self, now: timedelta) -> None:
        ended = [request for request in self.running if request[0] <= now]
        self.running = [
            request for request in self.running if request[0] > now
        ]
        for _, held in ended:
            self.entry_slots.release(now, held)

    def _want(self) -> slots.Want:
        queued = tuple(self._rng.randrange(3) for _ in range(3))
        slack = (timedelta(seconds=self._rng.random()),) * 3
        return slots.Want(upstream=UPSTREAM, queued=queued, slack=slack)


class Network:
    """Delays, repeats, reorders and loses messages."""

    def __init__(self, seed: int, *, loss: float) -> None:
        self.rng = random.Random(seed)
        self.now = timedelta()
        self.loss = loss
        self.manager = make_manager(1)
        self.entries = [FakeEntry(f'entry-{i}', self.rng) for i in range(4)]
        self.by_vm = {entry.vm: entry for entry in self.entries}
        self._in_transit: list[
            tuple[timedelta, ids.VmId, slots.Message, timedelta]
        ] = []

    def step(self) -> None:
        due = [item for item in self._in_transit if item[0] <= self.now]
        self._in_transit = [
            item for item in self._in_transit if item[0] > self.now
        ]
        for _, to, message, _ in due:
            self._deliver(to, message)
        for entry in self.entries:
            for message in entry.step(self.now):
                self._post(MANAGER, message)
        self._reply(self.manager.tick(self.now))
        self.now += STEP

    def _deliver(self, to: ids.VmId, message: slots.Message) -> None:
        match message:
            case slots.SlotDemand():
                self._reply(self.manager.handle_demand(self.now, message))
            case slots.SlotReturn():
                self._reply(self.manager.handle_return(self.now, message))
            case slots.SlotGrant():
                entry = self.by_vm[to]
                if entry.alive:
                    entry.entry_slots.accept_grant(
                        self.now + entry.offset, message
                    )
            case slots.SlotRecall():
                entry = self.by_vm[to]
                idle = entry.entry_slots.recall(message) if entry.alive else []
                if idle:
                    self._post(MANAGER, entry.entry_slots.build_return(idle))

    def _reply(self, replies: list[slot_manager.AddressedMessage]) -> None:
        for reply in replies:
            self._post(reply.entry, reply.message)

    def _post(self, to: ids.VmId, message: slots.Message) -> None:
        while self.rng.random() >= self.loss:
            delay = timedelta(seconds=self.rng.expovariate(8.0))
            self._in_transit.append((self.now + delay, to, message, self.now))
            if self.rng.random() < 0.9:
                return

    def running(self) -> int:
        """Return how many requests run at the upstream.

        The requests of a lost process continue until their normal end.
        """
        return sum(
            end > self.now + entry.offset
            for entry in self.entries
            for end, _ in entry.running
        )


class SlotLimitTest(unittest.TestCase):
    def test_limit_holds_despite_losses(self) -> None:
        """Guards against more requests at an upstream than it has slots.

        Messages are lost, and one entry process is lost halfway.
        """
        used = 0
        for seed in range(30):
            network = Network(seed, loss=0.2)
            for step in range(600):
                if step == 300:
                    network.entries[seed % 4].alive = False
                network.step()
                self.assertLessEqual(network.running(), SLOTS, seed)
                used = max(used, network.running())
        self.assertEqual(used, SLOTS)

    def test_limit_holds_during_a_failover(self) -> None:
        """Guards against a new manager that grants slots still in use."""
        for seed in range(30):
            network = Network(seed, loss=0.2)
            for step in range(700):
                if step == 300:
                    network.manager = make_manager(
                        2,
                        settle_until=network.now
                        + slots.settle_time(
                            timedelta(), timedelta(milliseconds=400)
                        ),
                        expected=tuple(network.by_vm),
                    )
                if 300 <= step < 340 and step % 10 == 0:
                    network.entries[(step - 300) // 10].follow_manager(2)
                network.step()
                self.assertLessEqual(network.running(), SLOTS, seed)

    def test_slots_of_lost_processes_become_free(self) -> None:
        """Guards against slots that stay leased to lost processes."""
        network = Network(1, loss=0.0)
        for _ in range(100):
            network.step()
        for entry in network.entries:
            entry.alive = False
        for _ in range(400):
            network.step()
        self.assertEqual(network.manager.held(UPSTREAM), 0)


class PlainManager:
    """Reference allocation that scans all entries for each slot."""

    def __init__(self) -> None:
        self.wants: dict[int, list[tuple[int, timedelta]]] = {}
        self.held: dict[int, tuple[int, int]] = {}

    def grant(self) -> list[tuple[int, int]]:
        """Return (entry, level) of each granted slot, most urgent first."""
        given: list[tuple[int, int]] = []
        while len(self.held) < SLOTS:
            candidate = self._next()
            if candidate is None:
                break
            level, _, entry = candidate
            count, due = self.wants[entry][level]
            self.wants[entry][level] = (count - 1, due)
            self.held[len(given) + 1000] = (entry, level)
            given.append((entry, level))
        return given

    def _next(self) -> tuple[int, timedelta, int] | None:
        bulk = sum(level == 2 for _, level in self.held.values())
        waiting = [
            (level, due, entry)
            for entry, wants in self.wants.items()
            for level, (count, due) in enumerate(wants)
            if count and (level < 2 or bulk < BULK_CAP)
        ]
        return min(waiting, default=None)


class AllocationTest(unittest.TestCase):
    def test_agrees_with_plain_manager(self) -> None:
        """Guards against violating the order of ranks or the BULK cap.

        Within a rank, slots are granted in order of deadline.
        """
        for seed in range(200):
            rng = random.Random(seed)
            manager = make_manager(1, settle_until=timedelta(seconds=1))
            plain = PlainManager()
            for entry in range(4):
                queued = tuple(rng.randrange(3) for _ in range(3))
                slack = tuple(
                    timedelta(seconds=rng.random()) for _ in range(3)
                )
                plain.wants[entry] = list(zip(queued, slack))
                manager.handle_demand(
                    timedelta(milliseconds=500),
                    self._demand(entry, 1, queued, slack),
                )
            zero = (timedelta(),) * 3
            plain.wants[9] = [(0, zero[0])] * 3
            replies = manager.handle_demand(
                timedelta(seconds=1), self._demand(9, 1, (0, 0, 0), zero)
            )
            given = [
                (int(reply.entry.removeprefix('entry-')), slot.level)
                for reply in replies
                if isinstance(reply.message, slots.SlotGrant)
                for slot in reply.message.slots
            ]
            self.assertEqual(sorted(given), sorted(plain.grant()), seed)

    def test_preset_switch_reaches_the_manager(self) -> None:
        """Guards against a preset that applies only to new claims."""
        manager = make_manager(1)
        manager.set_preset(PRESET.model_copy(update={'bulk_cap': 1}))
        slack = (timedelta(seconds=1),) * 3
        replies = manager.handle_demand(
            timedelta(), self._demand(1, 1, (0, 0, SLOTS), slack)
        )
        grants = [r.message for r in replies]
        given = sum(
            len(m.slots) for m in grants if isinstance(m, slots.SlotGrant)
        )
        self.assertEqual(given, 1)

    def _demand(
        self,
        entry: int,
        seq: int,
        queued: tuple[int, ...],
        slack: tuple[timedelta, ...],
    ) -> slots.SlotDemand:
        want = slots.Want(upstream=UPSTREAM, queued=queued, slack=slack)
        return slots.SlotDemand(
            entry=ids.VmId(f'entry-{entry}'),
            boot=ids.BootId('1'),
            domain=DOMAIN,
            epoch=ids.Epoch(1),
            seq=seq,
            basis=timedelta(),
            wants=(want,),
        )

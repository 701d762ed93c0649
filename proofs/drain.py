"""Promise 6: a leaving upstream gets no new requests after at most 3 s.

In each run the membership list, an operator or the upstream itself
announces at a random time that the upstream leaves. The list is 6 s behind,
and messages to and from the slot manager are delayed or lost. The naive
variant uses only the membership list.
"""

from collections.abc import Iterable
from datetime import timedelta
import random

from goldcresthaven import admission
from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import scheduler
from goldcresthaven import slot_manager
from goldcresthaven import slots
from proofs import report

DRAIN_LIMIT = timedelta(seconds=3)
STEP = timedelta(milliseconds=5)
STEPS = 2400
LIST_LAG = timedelta(seconds=6)
SERVICE_TIME = timedelta(milliseconds=40)
MESSAGE_LOSS_RATE = 0.05

POOL = presets.Pool(
    name=ids.PoolName('orders'), keyed=False, slots=2, connections=100
)
LEAVING = ids.UpstreamId('orders-0')
STAYING = ids.UpstreamId('orders-1')
DOMAIN = ids.DomainId('zone-0/0')
ENTRIES = tuple(ids.VmId(f'entry-{i}') for i in range(3))
PRESET = presets.Preset.model_validate(
    {
        'name': 'ordinary',
        'urgent': {'target': '500ms', 'deadline': '2s', 'floor': 0.5},
        'standard': {'target': '1s', 'deadline': '3s', 'floor': 0.3},
        'bulk': {'target': '8s', 'deadline': '30s', 'floor': 0.1},
    }
)
SIGNALS = ('list', 'operator', 'upstream')


class _Run:
    """Simulates three entry processes, a slot manager and two upstreams."""

    def __init__(self, seed: int, *, list_only: bool) -> None:
        self.rng = random.Random(seed)
        self.now = timedelta()
        self.signal = self.rng.choice(SIGNALS)
        self.drained = timedelta(seconds=self.rng.uniform(1.0, 4.0))
        self.violated = False
        self._list_only = list_only
        self._count = 0
        self._in_transit: list[tuple[timedelta, ids.VmId, slots.Message]] = []
        self._completions: list[
            tuple[timedelta, ids.VmId, ids.RequestId, ids.UpstreamId]
        ] = []
        self.manager = slot_manager.Manager(
            domain=DOMAIN, epoch=ids.Epoch(1), preset=PRESET
        )
        for name in (LEAVING, STAYING):
            self.manager.add_upstream(name, slot_count=2, bulk_cap=1)
        self.entries = {vm: self._entry(vm) for vm in ENTRIES}

    def _entry(self, vm: ids.VmId) -> scheduler.Scheduler:
        entry = scheduler.Scheduler(
            entry=vm,
            boot=ids.BootId('1'),
            preset=PRESET,
            rng=random.Random(self.rng.random()),
        )
        entry.add_pool(POOL)
        for name in (LEAVING, STAYING):
            entry.add_upstream(self.now, name, POOL.name, DOMAIN)
        self._perform(
            vm, entry.set_manager(self.now, DOMAIN, ENTRIES[0], ids.Epoch(1))
        )
        return entry

    def step(self) -> None:
        self._deliver()
        self._complete_requests()
        self._send_signals()
        for vm, entry in self.entries.items():
            if self.rng.random() < 0.15:
                self._perform(vm, entry.arrive(self.now, self._request()))
            self._perform(vm, entry.tick(self.now))
        self._send_all(self.manager.tick(self.now))
        self.now += STEP

    def _request(self) -> admission.Request:
        self._count += 1
        return admission.Request(
            request_id=ids.RequestId(str(self._count)),
            pool=POOL.name,
            rank=outcomes.Rank.URGENT,
            arrived=self.now,
            deadline=self.now + timedelta(seconds=2),
        )

    def _send_signals(self) -> None:
        """Deliver the signal of the list or the operator when it is due."""
        due = self.drained
        if self.signal == 'list' or self._list_only:
            due += LIST_LAG
        elif self.signal == 'upstream':
            return
        if not due <= self.now < due + STEP:
            return
        for vm, entry in self.entries.items():
            self._perform(vm, entry.drain(self.now, LEAVING))
        self._send_all(self.manager.drain(self.now, LEAVING))

    def _perform(
        self, vm: ids.VmId, actions: Iterable[scheduler.Action]
    ) -> None:
        for action in actions:
            match action:
                case scheduler.Dispatch(request=request, upstream=upstream):
                    self._check_dispatch(upstream)
                    end = self.now + SERVICE_TIME
                    self._completions.append(
                        (end, vm, request.request_id, upstream)
                    )
                case scheduler.Send(to=to, message=message):
                    self._send(to, message)
                case scheduler.Refuse():
                    pass

    def _check_dispatch(self, upstream: ids.UpstreamId) -> None:
        # If only the list announces it, the limit counts from the time at
        # which the list shows it, which is LIST_LAG (6 s) later.
        since = self.drained
        if self.signal == 'list':
            since += LIST_LAG
        if upstream == LEAVING and self.now > since + DRAIN_LIMIT:
            self.violated = True

    def _send(self, to: ids.VmId, message: slots.Message) -> None:
        if self.rng.random() >= MESSAGE_LOSS_RATE:
            delay = timedelta(seconds=self.rng.expovariate(50.0))
            self._in_transit.append((self.now + delay, to, message))

    def _deliver(self) -> None:
        due = [item for item in self._in_transit if item[0] <= self.now]
        self._in_transit = [
            item for item in self._in_transit if item[0] > self.now
        ]
        for _, to, message in due:
            match message:
                case slots.SlotDemand():
                    self._send_all(
                        self.manager.handle_demand(self.now, message)
                    )
                case slots.SlotReturn():
                    self._send_all(
                        self.manager.handle_return(self.now, message)
                    )
                case _:
                    entry = self.entries[to]
                    self._perform(to, entry.handle_message(self.now, message))

    def _send_all(
        self, outgoing: Iterable[slot_manager.AddressedMessage]
    ) -> None:
        for addressed in outgoing:
            self._send(addressed.entry, addressed.message)

    def _complete_requests(self) -> None:
        due = [item for item in self._completions if item[0] <= self.now]
        self._completions = [
            item for item in self._completions if item[0] > self.now
        ]
        for _, vm, name, upstream in due:
            leaving = upstream == LEAVING and self.now >= self.drained
            reports_draining = leaving and self.signal == 'upstream'
            self._perform(
                vm,
                self.entries[vm].finished(
                    self.now,
                    name,
                    outcomes.Done(status=200),
                    draining=reports_draining and not self._list_only,
                ),
            )


def _violates(seed: int, *, list_only: bool) -> bool:
    run = _Run(seed, list_only=list_only)
    for _ in range(STEPS):
        run.step()
    return run.violated


def _naive(seed: int) -> bool:
    return _violates(seed, list_only=True)


def _ours(seed: int) -> bool:
    return _violates(seed, list_only=False)


def proof() -> report.Proof:
    return report.Proof(
        number=6,
        name='drain',
        naive=_naive,
        ours=_ours,
        seeds=range(20),
    )

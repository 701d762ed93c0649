"""Hybrid logical clock, event buffer and merge of several processes' events.

A stamp follows the wall clock and is always later than any stamp received
with a message, so events sort in causal order although the clocks of the
VMs differ. Events are kept in a ring buffer. Milestones have a second one,
which keeps them for longer, and are copied to two peers, so that they
survive the loss of the process.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from datetime import datetime
from datetime import timedelta
import heapq
import random
from typing import Any

from goldcresthaven import clock
from goldcresthaven import events
from goldcresthaven import ids

MAX_EVENTS = 8192
MAX_MILESTONES = 1024
MAX_COPIED_MILESTONES = 4096
COPIES_PER_MILESTONE = 2
# A received stamp that is further ahead of the local clock is ignored, so
# that one wrong clock does not shift the stamps of all processes.
MAX_CLOCK_LEAD = timedelta(seconds=60)
_MS = timedelta(milliseconds=1)
_UNIX_EPOCH = datetime.fromisoformat('1970-01-01T00:00:00+00:00')
_MAX_COUNTER = (1 << 32) - 1


class HybridClock:
    """Creates increasing stamps, each later than every stamp received.

    Received stamps more than MAX_CLOCK_LEAD ahead are ignored.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._last = events.Stamp()

    def next(self) -> events.Stamp:
        """Return the stamp for a local event or for a message to send."""
        return self._advance(self._last)

    def receive(self, stamp: events.Stamp) -> events.Stamp:
        """Return the stamp for the receipt of a message with ``stamp``."""
        ahead = stamp.wall_ms - self._wall_ms()
        if ahead > MAX_CLOCK_LEAD // _MS:
            return self.next()
        return self._advance(max(self._last, stamp))

    def _advance(self, minimum: events.Stamp) -> events.Stamp:
        wall = self._wall_ms()
        if wall > minimum.wall_ms:
            self._last = events.Stamp(wall_ms=wall)
        elif minimum.counter < _MAX_COUNTER:
            self._last = events.Stamp(
                wall_ms=minimum.wall_ms, counter=minimum.counter + 1
            )
        else:
            self._last = events.Stamp(wall_ms=minimum.wall_ms + 1)
        return self._last

    def _wall_ms(self) -> int:
        return max((self._clock.now() - _UNIX_EPOCH) // _MS, 0)


class Timeline:
    """The events of one process and copies of other processes' milestones.

    Example::

        timeline.add(events.Kind.EPOCH_RAISED, domain=domain, epoch=epoch)
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        boot: ids.BootId,
        hybrid_clock: HybridClock,
        max_events: int = MAX_EVENTS,
        max_milestones: int = MAX_MILESTONES,
        max_copied_milestones: int = MAX_COPIED_MILESTONES,
    ) -> None:
        self._vm = vm
        self._boot = boot
        self._hybrid_clock = hybrid_clock
        self._seq = 0
        self._events: collections.deque[events.Event] = collections.deque(
            maxlen=max_events
        )
        self._milestones: collections.deque[events.Event] = collections.deque(
            maxlen=max_milestones
        )
        self._copies: collections.OrderedDict[Any, events.Event] = (
            collections.OrderedDict()
        )
        self._max_copied_milestones = max_copied_milestones
        self._uncopied: collections.deque[events.Event] = collections.deque(
            maxlen=max_milestones
        )

    def add(
        self, kind: events.Kind, text: str = '', **fields: Any
    ) -> events.Event:
        """Record an event; ``fields`` are fields of ``events.Event``.

        Text longer than MAX_TEXT_BYTES is truncated instead of refused,
        because recording an event must not make the reported operation
        fail.
        """
        self._seq += 1
        event = events.Event(
            vm=self._vm,
            boot=self._boot,
            seq=self._seq,
            stamp=self._hybrid_clock.next(),
            kind=kind,
            text=_truncate(text, events.MAX_TEXT_BYTES),
            **fields,
        )
        self._events.append(event)
        if kind in events.MILESTONES:
            self._milestones.append(event)
            self._uncopied.append(event)
        return event

    def take_uncopied(self) -> tuple[events.Event, ...]:
        """Return the milestones that have not been copied yet, each once.

        Each is to be sent to COPIES_PER_MILESTONE peers.
        """
        taken = tuple(self._uncopied)
        self._uncopied.clear()
        return taken

    def store_copies(self, copies: Iterable[events.Event]) -> None:
        """Store milestones sent by a peer.

        Beyond the limit the oldest copies are dropped.
        """
        for event in copies:
            if event.kind in events.MILESTONES and event.vm != self._vm:
                self._copies[event.identity] = event
        while len(self._copies) > self._max_copied_milestones:
            self._copies.popitem(last=False)

    def select(
        self, event_filter: events.Filter, limit: int
    ) -> tuple[tuple[events.Event, ...], bool]:
        """Return the newest matching events and whether some are left out.

        These include copies, and milestones that the ring buffer of all
        events has already dropped.
        """
        matching = merge(
            [
                list(self._events),
                list(self._milestones),
                sorted(self._copies.values(), key=sort_key),
            ],
            event_filter,
        )
        return tuple(matching[-limit:]), len(matching) > limit


def choose_copy_peers(
    peers: Mapping[ids.VmId, ids.ZoneId],
    own_zone: ids.ZoneId,
    rng: random.Random,
) -> tuple[ids.VmId, ...]:
    """Return COPIES_PER_MILESTONE peers that are to store copies.

    They are in different zones, and outside the zone of this process, if
    possible: a failed rack or zone then destroys at most one copy together
    with the process.
    """
    order = sorted(peers)
    rng.shuffle(order)
    order.sort(key=lambda vm: peers[vm] == own_zone)
    chosen = order[:1]
    zones = {peers[vm] for vm in chosen}
    others = sorted(order[1:], key=lambda vm: peers[vm] in zones)
    return tuple(chosen + others[: COPIES_PER_MILESTONE - 1])


def sort_key(event: events.Event) -> tuple[events.Stamp, str, str, int]:
    """Return the sort key of a total order that preserves causality."""
    return (event.stamp, event.vm, event.boot, event.seq)


def merge(
    buffers: Iterable[Sequence[events.Event]],
    event_filter: events.Filter | None = None,
) -> list[events.Event]:
    """Merge sorted buffers and return each event once, in causal order.

    A buffer that is not sorted, because it comes from a faulty peer, is
    sorted first.
    """
    event_filter = event_filter or events.Filter()
    merged: list[events.Event] = []
    last_key = None
    for event in heapq.merge(*map(_sorted_buffer, buffers), key=sort_key):
        if sort_key(event) != last_key and event_filter.matches(event):
            merged.append(event)
        last_key = sort_key(event)
    return merged


def _sorted_buffer(buffer: Sequence[events.Event]) -> Sequence[events.Event]:
    keys = [sort_key(event) for event in buffer]
    if all(a <= b for a, b in zip(keys, keys[1:])):
        return buffer
    return sorted(buffer, key=sort_key)


def format_detail(event: events.Event) -> str:
    """Return the fields of an event except its time, process and kind."""
    return ' '.join(
        [*_format_fields(event), to_printable(event.text)]
    ).rstrip()


def _format_fields(event: events.Event) -> list[str]:
    pairs = {
        'shard': event.shard,
        'upstream': event.upstream,
        'domain': event.domain,
        'epoch': event.epoch,
        'map': event.map_version,
        'config': event.config_version,
    }
    return [
        f'{k}={to_printable(str(v))}'
        for k, v in pairs.items()
        if v is not None
    ]


def to_printable(text: str) -> str:
    """Replace control characters by spaces.

    The text may come from a peer, and control characters could add lines
    to the output or send commands to the operator's terminal.
    """
    return ''.join(c if c.isprintable() else ' ' for c in text)


def _truncate(text: str, size: int) -> str:
    return text.encode(errors='replace')[:size].decode(errors='ignore')

"""Hybrid logical clock, event buffer and merge of several processes' events.

A stamp follows the wall clock and never falls behind a stamp received with
a message, so causes sort before their effects although clocks differ. The
buffer is a ring; milestones have a second, longer one and are copied to
two peers, in case the process is lost.
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
# A peer whose clock is further ahead than this does not pull ours along.
MAX_CLOCK_LEAD = timedelta(seconds=60)
_MS = timedelta(milliseconds=1)
_UNIX_EPOCH = datetime.fromisoformat('1970-01-01T00:00:00+00:00')
_MAX_COUNTER = (1 << 32) - 1


class HybridClock:
    """Makes stamps that increase and exceed every stamp received."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._last = events.Stamp()

    def next(self) -> events.Stamp:
        """Return the stamp of a local event or of a message to send."""
        return self._advance(self._last)

    def receive(self, stamp: events.Stamp) -> events.Stamp:
        """Return the stamp of the receipt of a message."""
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

        line.add(events.Kind.EPOCH_RAISED, domain=domain, epoch=epoch)
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
        """Record an event; ``fields`` are those of ``events.Event``.

        Text longer than the limit is cut, because an event must not fail
        the work that it reports.
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
        """Keep milestones that a peer sent, the newest within a bound."""
        for event in copies:
            if event.kind in events.MILESTONES and event.vm != self._vm:
                self._copies[event.identity] = event
        while len(self._copies) > self._max_copied_milestones:
            self._copies.popitem(last=False)

    def select(
        self, event_filter: events.Filter, limit: int
    ) -> tuple[tuple[events.Event, ...], bool]:
        """Return the newest matching events and whether some are left out.

        Milestones that the ring has dropped and copies are included.
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
    """Return the key of the total order that respects causes."""
    return (event.stamp, event.vm, event.boot, event.seq)


def merge(
    buffers: Iterable[Sequence[events.Event]],
    event_filter: events.Filter | None = None,
) -> list[events.Event]:
    """Return the events of ordered buffers in causal order, each once.

    A buffer that is not ordered, as a faulty peer may send, is sorted
    first.
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
    """Return what an event says besides its time, process and kind."""
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
    """Return text without control characters.

    It may come from a peer, and they would break the lines or drive the
    operator's terminal.
    """
    return ''.join(c if c.isprintable() else ' ' for c in text)


def _truncate(text: str, size: int) -> str:
    return text.encode(errors='replace')[:size].decode(errors='ignore')

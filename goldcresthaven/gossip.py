"""Gossip protocol that replicates map and configuration changes.

A process pushes a new entry at once to a few random peers, each of which
forwards it once. Every second it also pulls missing entries from one random
peer, which makes up for lost messages and for partitions. In addition, each
process reads the logs from the store, at an interval that grows with the
fleet. Whatever the source, ``replicated_log`` applies entries in order and
never returns to an older version.

This module does no I/O. The caller passes the time in, performs the
returned actions and calls ``tick`` about every 50 ms.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
import random

from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import replicated_log

FANOUT = 3
PULL_INTERVAL = timedelta(seconds=1)
# In a large fleet, push targets are kept for one second. With new targets
# for each change, a burst of 100 changes opened 20 connections a second at
# each of 1152 processes. Small fleets keep all connections open and draw
# targets more often, so that changes reach every process sooner.
MAX_DRAW_INTERVAL = timedelta(seconds=1)
DRAW_INTERVAL_PER_PROCESS = timedelta(milliseconds=3)
# Limits the reads of each log by the whole fleet to about 100 a second.
STORE_READS_PER_SECOND = 100
MIN_STORE_INTERVAL = timedelta(seconds=1)
STORE_ROWS = 64
# After this time a read without a result no longer blocks the next one.
STORE_TIMEOUT = timedelta(seconds=5)
# Replies from ready peers that a restarted process needs before it uses
# their versions without confirmation by the store.
BOOT_REPLIES = 3
BOOT_PULL_INTERVAL = timedelta(milliseconds=250)
# After a start, the replies of peers suffice only after this time, so that
# the store can confirm the heads first.
BOOT_STORE_WAIT = timedelta(seconds=2)
# After this time a process that is not ready pulls at the normal interval.
BOOT_PULL_DURATION = timedelta(seconds=5)
# Minimum time between two pulls caused by pushes or heartbeats of peers.
CATCH_UP_INTERVAL = timedelta(milliseconds=100)
# Recent senders are also used as peers, because a new process may not be in
# the membership list yet.
MAX_UNLISTED_PEERS = 128
MAX_UNLISTED_AGE = timedelta(seconds=60)


@dataclass(frozen=True, kw_only=True, slots=True)
class Apply:
    """Apply an entry to the map or the configuration."""

    log: messages.LogName
    entry: messages.LogEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class Push:
    """Send a one-way message."""

    to: ids.VmId
    message: messages.Changes


@dataclass(frozen=True, kw_only=True, slots=True)
class Pull:
    """Send a request and pass its reply to ``Gossip.received``."""

    to: ids.VmId
    message: messages.PullChanges


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadStore:
    """Read log rows; pass the result to ``store_rows`` or ``store_failed``."""

    log: messages.LogName
    after: int
    limit: int = STORE_ROWS


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmHead:
    """Check with the store that ``version`` is the last one of the log.

    This takes a transaction without writes under the condition that the
    next row is absent: a read may be served by a lagging replica, a
    condition is not. If it commits, call ``head_confirmed``; if it
    conflicts, pass the row to ``store_rows``; if there is no response, call
    ``store_failed``.
    """

    log: messages.LogName
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSnapshot:
    """Load a snapshot from ``peer``.

    Afterwards its version is passed to ``snapshot_loaded``.
    """

    log: messages.LogName
    peer: ids.VmId


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportMismatch:
    """Report an entry that differs from the applied one of its version."""

    log: messages.LogName
    version: int
    source: str


Action = (
    Apply
    | Push
    | Pull
    | ReadStore
    | ConfirmHead
    | LoadSnapshot
    | ReportMismatch
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Tuning:
    """Parameters that the gossip benchmark varies."""

    fanout: int = FANOUT
    pull: bool = True
    store: bool = True


class Gossip:
    """State of the gossip protocol for both logs of one process.

    Example::

        for action in core.tick(now):
            match action:
                case gossip.Push():
                    await links.send(action.to, action.message)
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        rng: random.Random,
        now: timedelta,
        tuning: Tuning | None = None,
    ) -> None:
        self._vm = vm
        self._rng = rng
        self._tuning = tuning or Tuning()
        self._started = now
        self._logs = {
            name: replicated_log.Log(name) for name in messages.LogName
        }
        self._peers: tuple[ids.VmId, ...] = ()
        self._peer_set: frozenset[ids.VmId] = frozenset()
        self._push_targets: list[ids.VmId] = []
        self._next_draw = timedelta()
        self._recent_contacts: dict[ids.VmId, timedelta] = {}
        self._next_pull = now
        self._next_store_read = now
        self._store_read_scheduled = False
        self._reads_in_flight: dict[messages.LogName, timedelta] = {}
        self._confirmed_heads: set[messages.LogName] = set()
        self._authoritative_peers: set[ids.VmId] = set()
        self._ready = False
        self._last_catch_up = now - CATCH_UP_INTERVAL

    # Queries.

    def version(self, log: messages.LogName) -> int:
        return self._logs[log].version

    @property
    def next_tick(self) -> timedelta:
        """The time of the next pull or store read."""
        times = [self._next_pull] if self._tuning.pull else []
        if self._tuning.store:
            times.append(self._next_store_read)
        return min(times, default=timedelta.max)

    def ready(self, now: timedelta) -> bool:
        """Return whether the local logs are recent enough to be used.

        After a start, the process is ready when the store has confirmed
        the heads of both logs. If the store does not respond, replies from
        several ready peers suffice. Without either, the process stays
        without a configuration rather than use an old one.
        """
        self._ready = self._ready or self._may_be_ready(now)
        return self._ready

    def _may_be_ready(self, now: timedelta) -> bool:
        if self.version(messages.LogName.CONFIG) == 0:
            return False
        if len(self._confirmed_heads) == len(self._logs):
            return True
        wanted = min(BOOT_REPLIES, len(self._peers))
        enough_replies = 0 < wanted <= len(self._authoritative_peers)
        return enough_replies and now - self._started >= BOOT_STORE_WAIT

    # Events.

    def set_peers(self, peers: Iterable[ids.VmId]) -> None:
        """Set the entry VMs in the membership list."""
        self._peer_set = frozenset(peers) - {self._vm}
        self._peers = tuple(sorted(self._peer_set))
        self._next_draw = timedelta()

    def published(
        self,
        log: messages.LogName,
        entry: messages.LogEntry,
        now: timedelta,
    ) -> list[Action]:
        """Apply and push an entry that this process committed to the store."""
        return self._offer(log, (entry,), now, source='store', push=True)

    def received(
        self,
        sender: ids.VmId,
        message: messages.Changes,
        now: timedelta,
        *,
        pulled: bool,
    ) -> list[Action]:
        """Handle a push or, if ``pulled``, the reply to a pull."""
        self._record_contact(sender, now)
        if pulled and message.authoritative and not self._ready:
            self._authoritative_peers.add(sender)
        actions: list[Action] = []
        behind = False
        for part in message.ranges:
            log = self._logs[part.log]
            before = log.version
            # Only pushed entries are forwarded: most peers already have
            # the entries that a pull returns.
            actions += self._offer(
                part.log,
                part.entries,
                now,
                source=sender,
                push=not pulled,
                sender=sender,
            )
            if part.head <= log.version:
                continue
            if part.too_old:
                actions.append(LoadSnapshot(log=part.log, peer=sender))
            else:
                behind |= not pulled or log.version > before
        if behind and now - self._last_catch_up >= CATCH_UP_INTERVAL:
            self._last_catch_up = now
            actions.append(self._pull(sender))
        elif behind and pulled:
            actions.append(self._pull(sender))
        return actions

    def pull_received(
        self, sender: ids.VmId, message: messages.PullChanges, now: timedelta
    ) -> tuple[messages.Changes, list[Action]]:
        """Return the reply to a pull, and actions.

        If the sender has a newer version, this process pulls from it too.
        """
        self._record_contact(sender, now)
        ranges = tuple(
            self._logs[have.log].since(have.version) for have in message.have
        )
        versions = {have.log: have.version for have in message.have}
        actions = self.versions_received(sender, versions, now)
        reply = messages.Changes(ranges=ranges, authoritative=self.ready(now))
        return reply, actions

    def versions_received(
        self,
        sender: ids.VmId,
        versions: Mapping[messages.LogName, int],
        now: timedelta,
    ) -> list[Action]:
        """Handle the versions that a peer reports in a heartbeat.

        If the peer has a newer version, this process pulls from it.
        """
        ahead = any(v > self.version(log) for log, v in versions.items())
        if not ahead or now - self._last_catch_up < CATCH_UP_INTERVAL:
            return []
        self._last_catch_up = now
        return [self._pull(sender)]

    def store_rows(
        self,
        log: messages.LogName,
        entries: Sequence[messages.LogEntry],
        now: timedelta,
    ) -> list[Action]:
        """Handle the rows that a store read returned, oldest first."""
        self._reads_in_flight.pop(log, None)
        # Many rows mean a long gap, after which the other processes read the
        # same rows themselves.
        push = len(entries) <= STORE_ROWS // 4
        actions = self._offer(log, entries, now, source='store', push=push)
        if len(entries) >= STORE_ROWS:
            actions += self._read_store(log, now)
        elif not self._ready:
            # The rows may come from a lagging replica. Without this check
            # a restarted process could use an older version than before.
            actions.append(ConfirmHead(log=log, version=self.version(log)))
        return actions

    def head_confirmed(self, log: messages.LogName, version: int) -> None:
        """Record that the store's log ended at ``version``."""
        if self.version(log) >= version:
            self._confirmed_heads.add(log)

    def store_failed(self, log: messages.LogName) -> None:
        """Record that a store read failed; ``tick`` schedules the next one."""
        self._reads_in_flight.pop(log, None)

    def snapshot_loaded(
        self, log: messages.LogName, version: int
    ) -> list[Action]:
        """Continue the log after a snapshot that the caller has applied.

        Returns the actions for entries received ahead of it. The caller
        must ignore a snapshot older than ``version(log)``.
        """
        return [
            Apply(log=log, entry=entry)
            for entry in self._logs[log].skip_to(version)
        ]

    def tick(self, now: timedelta) -> list[Action]:
        """Return the pulls and store reads that are due."""
        actions: list[Action] = []
        if self._tuning.pull and now >= self._next_pull:
            interval, count = PULL_INTERVAL, 1
            starting = now - self._started < BOOT_PULL_DURATION
            if starting and not self.ready(now):
                interval, count = BOOT_PULL_INTERVAL, BOOT_REPLIES
            self._next_pull = now + self._jitter(interval)
            actions += [self._pull(vm) for vm in self._choose_peers(count)]
        if self._tuning.store and now >= self._next_store_read:
            self._next_store_read = now + self._store_read_delay()
            for log in self._logs:
                actions += self._read_store(log, now)
        return actions

    def pull_from(self, vm: ids.VmId) -> Pull:
        """Return a pull from a peer that probably has newer versions."""
        return self._pull(vm)

    # Internals.

    def _offer(
        self,
        name: messages.LogName,
        entries: Sequence[messages.LogEntry],
        now: timedelta,
        *,
        source: str,
        push: bool,
        sender: ids.VmId | None = None,
    ) -> list[Action]:
        log = self._logs[name]
        actions: list[Action] = []
        fresh = []
        for entry in entries:
            offered = log.offer(entry)
            actions += [Apply(log=name, entry=e) for e in offered.applied]
            if offered.fresh:
                fresh.append(entry)
            if offered.differs:
                actions.append(
                    ReportMismatch(
                        log=name, version=entry.version, source=source
                    )
                )
        if fresh and push:
            actions += self._push(log, tuple(fresh), sender, now)
        return actions

    def _push(
        self,
        log: replicated_log.Log,
        fresh: tuple[messages.LogEntry, ...],
        sender: ids.VmId | None,
        now: timedelta,
    ) -> list[Action]:
        fanout = self._tuning.fanout
        if now >= self._next_draw:
            # One more than needed, because the sender is left out.
            self._push_targets = self._choose_peers(fanout + 1)
            self._next_draw = now + min(
                DRAW_INTERVAL_PER_PROCESS * len(self._peers),
                MAX_DRAW_INTERVAL,
            )
        targets = [vm for vm in self._push_targets if vm != sender][:fanout]
        actions: list[Action] = []
        for group in replicated_log.split(fresh):
            part = messages.LogRange(
                log=log.name, head=log.version, entries=group
            )
            message = messages.Changes(ranges=(part,))
            actions += [Push(to=vm, message=message) for vm in targets]
        return actions

    def _pull(self, vm: ids.VmId) -> Pull:
        have = tuple(
            messages.LogVersion(log=name, version=log.version)
            for name, log in self._logs.items()
        )
        return Pull(to=vm, message=messages.PullChanges(have=have))

    def _read_store(
        self, name: messages.LogName, now: timedelta
    ) -> list[Action]:
        # Only one read at a time, so that they do not pile up when the
        # store is slow.
        if now < self._reads_in_flight.get(name, now):
            return []
        self._reads_in_flight[name] = now + STORE_TIMEOUT
        return [ReadStore(log=name, after=self._logs[name].version)]

    def _store_interval(self) -> timedelta:
        fleet = len(self._peers) + 1
        return max(
            MIN_STORE_INTERVAL,
            timedelta(seconds=fleet / STORE_READS_PER_SECOND),
        )

    def _store_read_delay(self) -> timedelta:
        interval = self._store_interval()
        if self._store_read_scheduled:
            return self._jitter(interval)
        # The first delay is random, because processes that start together,
        # for example after a power failure, would otherwise keep reading at
        # the same time.
        self._store_read_scheduled = True
        return interval * self._rng.random()

    def _jitter(self, interval: timedelta) -> timedelta:
        # Desynchronizes processes that started together; the mean interval
        # stays the same.
        return interval * self._rng.uniform(0.9, 1.1)

    def _record_contact(self, vm: ids.VmId, now: timedelta) -> None:
        self._recent_contacts.pop(vm, None)
        self._recent_contacts[vm] = now
        oldest = next(iter(self._recent_contacts))
        if (
            len(self._recent_contacts) > MAX_UNLISTED_PEERS
            or now - self._recent_contacts[oldest] > MAX_UNLISTED_AGE
        ):
            del self._recent_contacts[oldest]

    def _choose_peers(self, count: int) -> list[ids.VmId]:
        peers = self._peers
        unlisted = [
            vm
            for vm in self._recent_contacts
            if vm not in self._peer_set and vm != self._vm
        ]
        total = len(peers) + len(unlisted)
        return [
            peers[i] if i < len(peers) else unlisted[i - len(peers)]
            for i in self._rng.sample(range(total), min(count, total))
        ]

"""The longest time from a change of a table to its use, on each path.

A deployment states within what time a process has to know a change: after the
change was acknowledged, and after the end of a fault of the process or of the
store. The limits of waits, polls and pauses on these paths are derived from
that here, so that their sums hold together. ``Limits.paths`` lists the sums.
A process that missed relayed rows needs up to 1.7 s, which does not depend on
the deployment.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import state_store
from goldcresthaven import store_retry
from goldcresthaven import table_relay

# Time to decode and apply what a read returned, on a busy VM.
APPLY_TIME = timedelta(milliseconds=100)
# Longest call that is answered. The store takes 4 ms, or 60 times as long
# while it is slow.
ANSWERED_CALL = timedelta(milliseconds=250)
# Longest time of a datagram on links that are not full.
DATAGRAM_TIME = timedelta(milliseconds=250)
# Longest wait of a poll for a change.
MAX_POLL_WAIT = timedelta(seconds=1)
# The same for a coordinator. It polls more often, because its reports are used
# only while the store's last answer to it is recent.
MAX_RELAY_WAIT = timedelta(milliseconds=700)
# Shortest wait. A deployment that allows less than 2.2 s after an outage gets
# some changes later.
MIN_POLL_WAIT = timedelta(milliseconds=200)
# Shortest of the longest pauses, for such a deployment.
MIN_LONGEST_PAUSE = timedelta(milliseconds=200)
# Shortest maximum age of the store's last answer to a coordinator. With less,
# its answers are too old between two reports.
MIN_ANSWER_AGE = timedelta(milliseconds=800)
# Pause after a change, so that a series of changes needs few calls. An
# upstream that leaves may still get work for 2 s after it announced this.
CHANGE_PAUSE = {
    state_store.Table.CONFIG: timedelta(milliseconds=50),
    state_store.Table.REGISTRY: timedelta(milliseconds=350),
}
# The same for a coordinator, whose calls serve all processes.
RELAY_CHANGE_PAUSE = timedelta(milliseconds=150)
# How long a new process waits for a coordinator's first report before it
# polls. An outage that it does not notice meanwhile lets no entry of the
# registry expire.
FIRST_REPORT_TIMEOUT = timedelta(seconds=1.5)
# How often a process checks whether it still gets reports. Each check wakes an
# idle process.
RELAY_CHECK_INTERVAL = timedelta(milliseconds=75)
# Spreads the calls of processes that have missed the same change.
MISSED_CHANGE_SPREAD = timedelta(milliseconds=150)
# How often a process checks whether a call that failed is due again.
RETRY_CHECK_INTERVAL = timedelta(milliseconds=50)
# Longest time from the first call that fails to the next one.
LONGEST_FIRST_PAUSE = (
    store_retry.FIRST_PAUSE * store_retry.MAX_SPREAD + RETRY_CHECK_INTERVAL
)
# The last call of an outage succeeds within its time limit.
_READ = state_store.CALL_TIMEOUT + APPLY_TIME


@dataclass(frozen=True, kw_only=True, slots=True)
class Targets:
    """The times within which a process has to know a change.

    ``applied_within`` counts from its acknowledgement, for a process without
    faults; ``connected_after`` from the end of an outage of the store, or of
    the process's path to it.
    """

    applied_within: timedelta = timedelta(seconds=2)
    connected_after: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, kw_only=True, slots=True)
class Path:
    """The longest time on one path, and the time that is allowed for it."""

    name: str
    longest: timedelta
    allowed: timedelta


class Limits:
    """The limits that follow from the targets of a deployment.

    ``poll_wait`` and ``relay_wait`` are how long a poll may wait for a
    change; the second one is a coordinator's. Reports of a coordinator
    replace polls while the store's last answer to it is not older than
    ``max_answer_age``. ``pauses`` are the longest ones between calls that
    fail. A process that reaches a coordinator or the store is told within
    ``confirmed_within`` that there is no newer configuration.
    """

    def __init__(self, targets: Targets) -> None:
        self._targets = targets
        after_poll = state_store.WATCH_SLACK + LONGEST_FIRST_PAUSE + _READ
        # The store never answers a poll that began just before the end of an
        # outage.
        self.poll_wait = max(
            MIN_POLL_WAIT,
            min(MAX_POLL_WAIT, targets.connected_after - after_poll),
        )
        # A process that relied on a report until it became too old still has
        # to poll the store.
        after_last_report = (
            DATAGRAM_TIME + RELAY_CHECK_INTERVAL + ANSWERED_CALL + APPLY_TIME
        )
        self.max_answer_age = max(
            MIN_ANSWER_AGE,
            min(
                table_relay.MAX_ANSWER_AGE,
                targets.applied_within - after_last_report,
            ),
        )
        # Answers must not become too old between two reports.
        until_report = ANSWERED_CALL + table_relay.REPORT_INTERVAL
        self.relay_wait = max(
            MIN_POLL_WAIT,
            min(
                MAX_RELAY_WAIT,
                self.poll_wait,
                self.max_answer_age - until_report,
            ),
        )
        # A poll that waits longer without an answer may have been lost.
        self.confirmed_within = (
            self.max_answer_age
            + RELAY_CHECK_INTERVAL
            + self.poll_wait
            + ANSWERED_CALL
        )
        from_start = targets.connected_after - RETRY_CHECK_INTERVAL - _READ
        self.pauses = store_retry.LongestPauses(
            from_start=_within(from_start, store_retry.LONGEST.from_start),
            from_end=_within(
                from_start - state_store.CALL_TIMEOUT,
                store_retry.LONGEST.from_end,
            ),
        )

    def paths(self) -> Iterator[Path]:
        """Return the paths on which a process learns of a change."""
        applied = self._targets.applied_within
        connected = self._targets.connected_after
        coordinator = RELAY_CHANGE_PAUSE + ANSWERED_CALL
        yield Path(
            name='rows that a coordinator relays',
            longest=coordinator + DATAGRAM_TIME + APPLY_TIME,
            allowed=applied,
        )
        yield Path(
            name='read by a process that missed the rows',
            longest=coordinator
            + table_relay.REPORT_INTERVAL
            + DATAGRAM_TIME
            + table_relay.ROWS_GRACE
            + MISSED_CHANGE_SPREAD
            + RELAY_CHECK_INTERVAL
            + ANSWERED_CALL
            + APPLY_TIME,
            allowed=applied,
        )
        yield Path(
            name='poll after the last report of a coordinator',
            longest=DATAGRAM_TIME
            + self.max_answer_age
            + RELAY_CHECK_INTERVAL
            + ANSWERED_CALL
            + APPLY_TIME,
            allowed=applied,
        )
        yield Path(
            name='poll while no coordinator reports',
            longest=max(CHANGE_PAUSE.values()) + ANSWERED_CALL + APPLY_TIME,
            allowed=applied,
        )
        yield Path(
            name='first poll of a new process',
            longest=FIRST_REPORT_TIMEOUT
            + RELAY_CHECK_INTERVAL
            + ANSWERED_CALL
            + APPLY_TIME,
            allowed=connected,
        )
        # Reports that arrived during a freeze are read after it.
        yield Path(
            name='poll after a freeze',
            longest=self.max_answer_age
            + RELAY_CHECK_INTERVAL
            + ANSWERED_CALL
            + APPLY_TIME,
            allowed=connected,
        )
        for wait in (self.poll_wait, self.relay_wait):
            yield Path(
                name=f'read after a poll of {wait} that began in an outage',
                longest=wait
                + state_store.WATCH_SLACK
                + LONGEST_FIRST_PAUSE
                + _READ,
                allowed=connected,
            )
        yield Path(
            name='read after a pause, the last call failed at once',
            longest=self.pauses.from_start + RETRY_CHECK_INTERVAL + _READ,
            allowed=connected,
        )
        yield Path(
            name='read after a pause, the last call got no answer',
            longest=state_store.CALL_TIMEOUT
            + self.pauses.from_end
            + RETRY_CHECK_INTERVAL
            + _READ,
            allowed=connected,
        )


def _within(longest: timedelta, limit: timedelta) -> timedelta:
    return max(MIN_LONGEST_PAUSE, min(limit, longest))


DEFAULT = Limits(Targets())
"""Used if a deployment states no times."""

"""Keeps the configuration, the registry and the key maps up to date.

Each table is read once from the store. Afterwards a coordinator watches the
tables with long polls and relays the changes. The other processes poll the
store only while they receive no reports of a coordinator. A poll without an
answer counts as an outage. If the outage was long enough for entries of the
registry to expire, the registry starts a grace period when the store answers
again. The key maps change by announcements instead; ``map_follower`` reads
them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import change_timing
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import known_state as known_state_module
from goldcresthaven import map_follower
from goldcresthaven import registry as registry_module
from goldcresthaven import state_store
from goldcresthaven import store_retry
from goldcresthaven import table_relay
from goldcresthaven import table_updates

# A change that a poll returns counts as new if the poll began within this
# time after the previous answer.
MAX_POLL_GAP = timedelta(milliseconds=400)
# Entries of the registry may expire during an outage of this length.
LAPSING_OUTAGE = timedelta(seconds=1.5)


class Follower:
    """Follows the configuration, the registry and the key maps.

    ``is_relay`` returns whether this process relays changes to the others,
    and ``relay_rows`` sends them. ``limits`` follow from how soon a process
    has to know a change. ``count_unreadable`` counts rows that are ignored.
    """

    def __init__(
        self,
        *,
        store: state_store.StateStore,
        decoder: table_updates.Decoder,
        known_state: known_state_module.KnownState,
        on_registry: Callable[[list[registry_module.Upstream]], None],
        is_relay: Callable[[], bool],
        relay_rows: Callable[[table_relay.RowChanges], None],
        clock: clock_module.Clock,
        rng: random.Random,
        limits: change_timing.Limits = change_timing.DEFAULT,
        count_unreadable: Callable[[int], None] = lambda rows: None,
    ) -> None:
        self._count_unreadable = count_unreadable
        self._limits = limits
        self._store = store
        self._known_state = known_state
        self._updates = table_updates.TableUpdates(
            decoder=decoder,
            known_state=known_state,
            on_registry=on_registry,
            clock=clock,
            rng=rng,
            count_unreadable=count_unreadable,
        )
        self._is_relay = is_relay
        self._relay_rows = relay_rows
        self._clock = clock
        self._rng = rng
        self._answers = store_retry.StoreAnswers()
        self._maps = map_follower.MapFollower(
            store=store,
            known_state=known_state,
            answers=self._answers,
            clock=clock,
            rng=rng,
        )
        # The start of the first call of this process that got no answer, until
        # one does.
        self._unanswered_since: dict[state_store.Table, timedelta] = {}
        # The last answer to anybody, from the first call of this process that
        # fails until the next answer to anybody.
        self._failed_since: dict[state_store.Table, timedelta] = {}
        # Tables of which the last report showed missed rows.
        self._missed: set[state_store.Table] = set()

    async def start(self) -> None:
        await aio.spawn(self._follow(state_store.Table.CONFIG))
        await aio.spawn(self._follow(state_store.Table.REGISTRY))
        await aio.spawn(self._maps.run())

    def apply_report(
        self, states: Iterable[table_relay.TableState], now: timedelta
    ) -> list[table_relay.MissedRows]:
        """Apply a coordinator's report on the tables that it follows.

        Returns which rows it shows to have been missed.
        """
        missed = []
        for state in states:
            position = self._known_state.positions.get(state.table)
            if position is None or not position.apply_report(state, now):
                continue
            self._end_outage(state.table, now - state.age, now)
            if position.reached is not None and (
                position.reached < state.changed
            ):
                self._missed.add(state.table)
                missed.append(
                    table_relay.MissedRows(
                        table=state.table, after=position.reached
                    )
                )
        return missed

    def rows_since(
        self, missed: table_relay.MissedRows
    ) -> table_relay.RowChanges | None:
        """Return the rows that another process missed, if they are known."""
        position = self._known_state.positions.get(missed.table)
        if position is None or position.reached is None:
            return None
        rows = self._updates.rows[missed.table].since(missed.after)
        if rows is None or position.reached < missed.after:
            return None
        return table_relay.RowChanges(
            table=missed.table,
            base=missed.after,
            reached=position.reached,
            rows=rows,
        )

    def apply_rows(
        self, changes: table_relay.RowChanges, now: timedelta
    ) -> None:
        """Apply changed rows that a coordinator relayed."""
        position = self._known_state.positions.get(changes.table)
        if position is None:
            return
        if position.lacks_changes_before(changes):
            decision_log.note(
                'rows-dropped',
                state=changes.table.value,
                map_version=position.reached,
                count=len(changes.rows),
                detail=f'earlier changes up to {changes.base} are missing',
            )
            return
        # Rows that were missed may have changed as long ago as the last
        # report without them.
        changed_since, source = now, table_relay.Source.RELAYED
        if changes.table in self._missed:
            changed_since = position.answered_at or now
            source = table_relay.Source.REQUESTED
        self._missed.discard(changes.table)
        rows = position.accept_rows(changes)
        if rows:
            self._updates.apply(
                changes.table,
                rows,
                version=changes.reached,
                full=False,
                changed_since=changed_since,
                source=source,
            )

    async def _follow(self, table: state_store.Table) -> None:
        retry = store_retry.RetrySchedule(
            answers=self._answers, rng=self._rng, longest=self._limits.pauses
        )
        lost_at: int | None = None
        confirming = False
        position = self._known_state.positions[table]
        process_started = self._clock.elapsed()
        while True:
            # A long poll without an answer is noticed late. After a failure
            # the table is therefore read without waiting for a change until
            # the store answers.
            if position.reached is not None:
                await self._wait_while_relayed(table, process_started)
            started = self._clock.elapsed()
            due = position.is_full_read_due(started)
            failing = table in self._unanswered_since
            full = due or position.reached is None or failing
            source = (
                table_relay.Source.READ if full else table_relay.Source.POLLED
            )
            base, answered_at = position.reached, position.answered_at
            changed = position.changed
            wait = timedelta() if full or confirming else self._poll_wait()
            confirming = False
            try:
                if full or base is None:
                    reading = await self._store.read(table)
                else:
                    reading = await self._store.watch(
                        table, after=base, wait=wait
                    )
            except state_store.HistoryLost:
                decision_log.note('history-lost', detail=table.value)
                lost_at = position.reached
                position.require_full_read()
                continue
            except errors.StoreUnavailable as exc:
                failed = self._clock.elapsed()
                self._record_failure(table, started, exc)
                decision_log.note(
                    'store-call-failed',
                    state=table.value,
                    source=source.value,
                    elapsed_ms=_milliseconds(failed - started),
                )
                retry.record_failure(started, failed)
                while not retry.is_due(self._clock.elapsed()):
                    await aio.sleep(change_timing.RETRY_CHECK_INTERVAL)
                continue
            now = self._clock.elapsed()
            retry.record_answer(now)
            self._missed.discard(table)
            self._record_answer(table, now)
            if reading.unreadable:
                self._count_unreadable(reading.unreadable)
            # A change that happened while no poll was waiting may have
            # happened as long ago as the previous answer.
            gap = (
                answered_at is not None
                and started - answered_at > MAX_POLL_GAP
            )
            changed_since = (
                answered_at if gap and answered_at is not None else now
            )
            since = lost_at
            if table is state_store.Table.CONFIG and since is None:
                since = base
            if full and since is not None:
                self._relay_changes_since(
                    table, since, reading, base=min(changed, since)
                )
                lost_at = None
            # Reports vouch for the table up to the time of the last answer.
            # One that was late on its way must not count from its arrival.
            made_at = min(now, started + wait) if self._is_relay() else now
            if reading.rows and not full and self._is_relay():
                # The rows do not show how long ago the store sent them.
                made_at, confirming = started, True
            rows = position.accept_reading(reading, made_at, full=full)
            if due and rows is not None:
                position.end_full_read()
            if rows or (full and rows is not None):
                self._updates.apply(
                    table,
                    rows,
                    version=reading.version,
                    full=full,
                    changed_since=changed_since,
                    source=source,
                )
            if not rows:
                continue
            if not full and base is not None:
                # Nothing changed between the last change and the begin of the
                # poll. The rows are all since then, also those that this
                # process has learned of otherwise in the meantime.
                self._relay_rows(
                    table_relay.RowChanges(
                        table=table,
                        base=min(changed, base),
                        reached=reading.version,
                        rows=reading.rows,
                    )
                )
            relay = self._is_relay()
            await aio.sleep(
                change_timing.RELAY_CHANGE_PAUSE
                if relay
                else change_timing.CHANGE_PAUSE[table]
            )

    def _relay_changes_since(
        self,
        table: state_store.Table,
        since: int,
        reading: state_store.Reading,
        *,
        base: int,
    ) -> None:
        """Relay what a full read shows to have changed after ``since``.

        Nothing changed between ``base`` and ``since``. If nothing has since,
        the others learn that they need not read the table. After an outage
        this is done for the configuration only: missing entries of the
        registry may have expired, so each process reads it and starts its
        own grace period.
        """
        removed = self._updates.rows[table].missing_from(reading.rows)
        rows = (
            *(row for row in reading.rows if row.version > since),
            *(
                state_store.Row(key=key, version=reading.version, value=None)
                for key in removed
            ),
        )
        self._relay_rows(
            table_relay.RowChanges(
                table=table, base=base, reached=reading.version, rows=rows
            )
        )

    async def _wait_while_relayed(
        self, table: state_store.Table, process_started: timedelta
    ) -> None:
        """Return once this process has to poll the store for a table."""
        position = self._known_state.positions[table]
        extra_grace = change_timing.MISSED_CHANGE_SPREAD * self._rng.random()
        relayed = False
        while not self._is_relay():
            now = self._clock.elapsed()
            if position.needs_read(now, extra_grace):
                waited = (
                    now - process_started > change_timing.FIRST_REPORT_TIMEOUT
                )
                if waited or position.was_reported:
                    break
            elif not relayed:
                relayed = True
                self._log_relay('relay-found', table, position)
            await aio.sleep(change_timing.RELAY_CHECK_INTERVAL)
        if relayed:
            self._log_relay('relay-lost', table, position)

    def _log_relay(
        self,
        kind: str,
        table: state_store.Table,
        position: table_relay.Position,
    ) -> None:
        """Log that a coordinator's reports replace polls, or no longer do."""
        answered_at = position.answered_at or timedelta()
        age = self._clock.elapsed() - answered_at
        decision_log.note(
            kind,
            state=table.value,
            map_version=position.reached,
            elapsed_ms=_milliseconds(age),
        )

    def _poll_wait(self) -> timedelta:
        if self._is_relay():
            return self._limits.relay_wait
        return self._limits.poll_wait

    def _record_failure(
        self,
        table: state_store.Table,
        started: timedelta,
        exc: errors.StoreUnavailable,
    ) -> None:
        """Record that a call of this process got no answer."""
        answered_at = self._known_state.positions[table].answered_at
        self._failed_since.setdefault(table, answered_at or started)
        if table not in self._unanswered_since:
            self._unanswered_since[table] = started
            decision_log.note('store-lost', detail=f'{table.value}: {exc}')

    def _record_answer(self, table: state_store.Table, now: timedelta) -> None:
        """Record that a call of this process was answered."""
        lost_at = self._unanswered_since.pop(table, None)
        if lost_at is not None:
            decision_log.note(
                'store-regained',
                detail=table.value,
                elapsed_ms=_milliseconds(now - lost_at),
            )
        self._end_outage(table, now, now)

    def _end_outage(
        self, table: state_store.Table, answered_at: timedelta, now: timedelta
    ) -> None:
        """Record that the store answered this process or a coordinator.

        If it answered a coordinator meanwhile, only this process did not
        reach it. Otherwise entries of the registry may have expired.
        """
        failed_since = self._failed_since.get(table)
        if failed_since is None or answered_at <= failed_since:
            return
        del self._failed_since[table]
        duration = answered_at - failed_since
        if duration > LAPSING_OUTAGE and table is state_store.Table.REGISTRY:
            self._known_state.registry.store_recovered(now)


def _milliseconds(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))

"""Controller of the domains that this process holds.

Every entry process runs one controller. It receives events with the current
time and returns actions; ``control`` defines both. Its parts are the claims
(``claim_manager``), the leases of each held domain (``held_domain``), the
decision to take over a domain (``candidates``) and the writes of the map
(``map_writer``, ``rebalance``).
"""

import dataclasses
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import candidates
from goldcresthaven import claim_manager
from goldcresthaven import claims
from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import held_domain
from goldcresthaven import ids
from goldcresthaven import map_writer
from goldcresthaven import pending_transactions
from goldcresthaven import rebalance
from goldcresthaven import shard_mover
from goldcresthaven import shards

READ_INTERVAL = timedelta(seconds=1)
# While a claim that was just taken waits for a read of the map log, and while
# a raise of an epoch waits for a response of the store.
FAST_READ_INTERVAL = timedelta(milliseconds=250)

# Maximum reads per second of the map log, and of the claims table, by all
# entry processes together.
FLEET_READS_PER_SECOND = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimState:
    """Latest known state of a claim.

    ``held_here`` says that the row names this process as the holder.
    ``ends_in`` is set while this process holds the claim and it is valid.
    ``extended`` says that it is valid only by the consent of the peers.
    """

    domain: ids.DomainId
    row: claims.ClaimRow
    held_here: bool
    ends_in: timedelta | None = None
    extended: bool = False


class Controller:
    """Claims domains, grants server leases and moves shards.

    ``boot`` is unique to this start of the process: transaction ids
    contain it.

    Example::

        for action in controller.handle(control.Tick(), now=clock.elapsed()):
            ...
    """

    def __init__(self, *, vm: ids.VmId, zone: ids.ZoneId, boot: str) -> None:
        self._view = cluster_state.View(vm=vm, zone=zone)
        self._transactions = pending_transactions.PendingTransactions(
            f'{vm}/{boot}'
        )
        self._candidacy = candidates.Candidacy(self._view)
        self._claim_manager = claim_manager.ClaimManager(
            self._view, self._candidacy, self._transactions
        )
        self._writer = map_writer.MapWriter(self._transactions)
        self._mover = shard_mover.Mover(
            self._view, self._candidacy, self._writer
        )
        self._token = 0
        self._read_at: timedelta | None = None
        self._claims_read_at = timedelta.min
        self._awaiting_log: dict[ids.DomainId, int] = {}
        self._stopped = False

    @property
    def shard_map(self) -> shards.ShardMap:
        """The newest map that this process has received."""
        return self._view.shard_map

    def holds(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        """Whether this process may manage the domain's upstreams now."""
        held = self._claim_manager.held.get(domain)
        return held is not None and held.claim.valid(now)

    def holder(self, domain: ids.DomainId) -> ids.VmId | None:
        """Return the holder in the latest known claim row."""
        row = self._candidacy.row(domain)
        return None if row is None else row.holder

    def epoch(self, domain: ids.DomainId) -> ids.Epoch | None:
        """Return the epoch in the latest known claim row."""
        row = self._candidacy.row(domain)
        return None if row is None else row.epoch

    def claim_states(self, *, now: timedelta) -> tuple[ClaimState, ...]:
        """Return the state of every claim whose row is known."""
        found = []
        for domain in sorted(
            self._view.domains() | set(self._claim_manager.held)
        ):
            held = self._claim_manager.held.get(domain)
            row = self._candidacy.row(domain)
            if held is not None:
                row = held.claim.row
            if row is None:
                continue
            valid = held is not None and held.claim.valid(now)
            state = ClaimState(
                domain=domain, row=row, held_here=row.holder == self._view.vm
            )
            if held is not None and valid:
                state = dataclasses.replace(
                    state,
                    ends_in=held.claim.ends_at(now) - now,
                    extended=held.claim.valid_by_consent(now),
                )
            found.append(state)
        return tuple(found)

    def lost_upstreams(self, *, now: timedelta) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that their domains' holders cannot reach."""
        found: set[ids.UpstreamId] = set()
        for domain in self._view.domains():
            row = self._candidacy.row(domain)
            if self.holds(domain, now=now):
                found |= self._claim_manager.held[domain].lost()
            elif row is not None:
                found |= row.lost
        return frozenset(found)

    def handle(
        self, event: control.Event, *, now: timedelta
    ) -> list[control.Action]:
        """Process one event and return the actions to take, in order."""
        actions = self._dispatch(event, now)
        actions.extend(self._advance(now))
        return actions

    def _dispatch(
        self, event: control.Event, now: timedelta
    ) -> list[control.Action]:
        match event:
            case control.Tick():
                return self._transactions.retries(now)
            case control.LeaseReplied():
                return self._lease_replied(event, now)
            case control.TransactResult():
                return self._transacted(event, now)
            case control.MapLogRead():
                return self._log_read(event, now)
            case control.MapChanges():
                return self._apply(event.changes, now)
            case control.ConsentRequested():
                return [self._reply_to_consent(event, now)]
            case control.ConsentReplied():
                self._claim_manager.record_consent(event)
            case control.HeartbeatAcked():
                self._candidacy.record_response(event.vm, now=now)
            case control.ReleaseNotified():
                self._candidacy.record_stop(event.vm)
                return [self._read_claims()]
            case _:
                self._update_view(event, now)
        return []

    def _update_view(self, event: control.Event, now: timedelta) -> None:
        match event:
            case control.MembersRead():
                self._view.set_members(event.members)
                self._refresh_domains(now)
            case control.ConfigApplied():
                self._view.set_document(event.document)
                self._refresh_domains(now)
            case control.ClaimsRead():
                rows = {
                    ids.DomainId(row.key): claims.ClaimRow.from_value(
                        row.value
                    )
                    for row in event.rows
                }
                self._candidacy.record_rows(rows, now=now)
            case control.LoadMeasured():
                self._view.loads = dict(event.by_shard)
                self._view.hot_keys = event.hot_keys
            case control.MapLoaded():
                if event.shard_map.version > self.shard_map.version:
                    self._view.set_map(event.shard_map)
                    self._refresh_domains(now)
            case control.Stopping():
                self._claim_manager.stopping = True

    def _advance(self, now: timedelta) -> list[control.Action]:
        actions = self._reads_due(now)
        actions.extend(self._candidacy.probes(self._view.domains(), now=now))
        actions.extend(self._claim_manager.tick(now))
        actions.extend(self._read_before_raise(now))
        held = self._claim_manager.held
        for domain in held.values():
            actions.extend(domain.tick(now))
        if not self._claim_manager.stopping:
            actions.extend(self._mover.tick(held, now=now))
        elif self._claim_manager.idle and not self._stopped:
            self._stopped = True
            actions.append(control.AllClaimsReleased())
        return actions

    def _reads_due(self, now: timedelta) -> list[control.Action]:
        entries = self._view.entry_count()
        interval = max(
            READ_INTERVAL, timedelta(seconds=entries / FLEET_READS_PER_SECOND)
        )
        if self._awaiting_log:
            interval = FAST_READ_INTERVAL
        if self._read_at is not None and now < self._read_at + interval:
            return []
        self._read_at = now
        return [self._read_log(), self._read_claims()]

    def _read_before_raise(self, now: timedelta) -> list[control.Action]:
        """Read the claims if a raise waits for a response of the store."""
        if not self._candidacy.awaits_store():
            return []
        if now < self._claims_read_at + FAST_READ_INTERVAL:
            return []
        self._claims_read_at = now
        return [self._read_claims()]

    def _read_log(self) -> control.Action:
        self._token += 1
        return control.ReadMapLog(
            token=self._token, after=self.shard_map.version
        )

    def _read_claims(self) -> control.Action:
        self._token += 1
        return control.ReadClaims(token=self._token)

    def _log_read(
        self, event: control.MapLogRead, now: timedelta
    ) -> list[control.Action]:
        actions = self._apply(event.changes, now)
        self._mover.log_was_read = True
        for domain, token in list(self._awaiting_log.items()):
            if event.token >= token:
                del self._awaiting_log[domain]
                held = self._claim_manager.held.get(domain)
                if held is not None:
                    held.log_read = True
        return actions

    def _apply(
        self, changes: tuple[shards.MapChange, ...], now: timedelta
    ) -> list[control.Action]:
        """Apply the changes that follow the map; request missing ones."""
        before = self.shard_map.version
        missing = False
        for change in sorted(changes, key=lambda c: c.version):
            if change.version == self.shard_map.version + 1:
                self._view.loads = rebalance.loads_after(self._view, change)
                self._view.set_map(self.shard_map.apply(change))
            elif change.version > self.shard_map.version:
                missing = True
        if self.shard_map.version != before:
            self._refresh_domains(now)
        return [self._read_log()] if missing else []

    def _refresh_domains(self, now: timedelta) -> None:
        self._mover.replan(now)
        for held in self._claim_manager.held.values():
            self._refresh_domain(held, now)

    def _refresh_domain(
        self, held: held_domain.HeldDomain, now: timedelta
    ) -> None:
        held.set_map(
            self.shard_map,
            self._view.owned(),
            self._view.keyed_upstreams(),
            now=now,
        )

    def _transacted(
        self, event: control.TransactResult, now: timedelta
    ) -> list[control.Action]:
        resolved = self._transactions.resolve(event, now=now)
        if resolved is None:
            return []
        self._candidacy.record_store_response(now=now)
        before = set(self._claim_manager.held)
        actions = self._claim_manager.resolved(
            event.txn, event.result, first_sent=resolved.first_sent, now=now
        )
        for domain in sorted(self._claim_manager.held.keys() - before):
            self._refresh_domain(self._claim_manager.held[domain], now)
            actions.append(self._read_log())
            self._awaiting_log[domain] = self._token
        own, others = self._writer.resolved(event.txn, event.result)
        if own is not None:
            actions.extend(self._apply((own,), now))
            actions.append(control.MapCommitted(change=own))
            actions.append(shard_mover.milestone(own))
        else:
            actions.extend(self._apply(others, now))
        return actions

    def _lease_replied(
        self, event: control.LeaseReplied, now: timedelta
    ) -> list[control.Action]:
        domain = event.request.domain
        if event.reply.epoch > event.request.epoch:
            return self._claim_manager.fenced(domain, event.reply.epoch)
        held = self._claim_manager.held.get(domain)
        if held is None:
            return []
        return held.handle_reply(event, now=now)

    def _reply_to_consent(
        self, event: control.ConsentRequested, now: timedelta
    ) -> control.Action:
        granted = self._candidacy.grant_consent(
            event, busy=self._claim_manager.busy(event.domain), now=now
        )
        return control.SendConsentReply(
            vm=event.vm,
            domain=event.domain,
            epoch=event.epoch,
            nonce=event.nonce,
            granted=granted,
        )

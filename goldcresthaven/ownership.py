"""Controller of the domains that this process holds.

Every entry process runs one. It takes events with the time and returns
actions; see ``control``. Its parts are the claims (``claim_manager``), the
leases of each held domain (``held_domain``), the decision to take a domain
over (``candidates``) and the writes of the map (``map_writer``,
``rebalance``).
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

READ_EVERY = timedelta(seconds=1)
READ_AGAIN = timedelta(milliseconds=250)

# The fleet together reads each log at most this often per second.
FLEET_READS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimState:
    """A claim as this process knows it.

    ``mine`` says that the row names this process; ``ends_in`` is set while
    the claim is valid here and ``extended`` while that rests on consent.
    """

    domain: ids.DomainId
    row: claims.ClaimRow
    mine: bool
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
        self._keeper = claim_manager.ClaimKeeper(
            self._view, self._candidacy, self._transactions
        )
        self._writer = map_writer.MapWriter(self._transactions)
        self._mover = shard_mover.Mover(
            self._view, self._candidacy, self._writer
        )
        self._token = 0
        self._read_at: timedelta | None = None
        self._awaiting: dict[ids.DomainId, int] = {}
        self._stopped = False

    @property
    def shard_map(self) -> shards.ShardMap:
        """The newest map that this process knows."""
        return self._view.shard_map

    def holds(self, domain: ids.DomainId, *, now: timedelta) -> bool:
        """Whether this process may manage the domain's upstreams now."""
        held = self._keeper.held.get(domain)
        return held is not None and held.claim.valid(now)

    def holder(self, domain: ids.DomainId) -> ids.VmId | None:
        """Return the holder according to the last row seen."""
        row = self._candidacy.row(domain)
        return None if row is None else row.holder

    def epoch(self, domain: ids.DomainId) -> ids.Epoch | None:
        """Return the epoch of the last row seen."""
        row = self._candidacy.row(domain)
        return None if row is None else row.epoch

    def claim_states(self, *, now: timedelta) -> tuple[ClaimState, ...]:
        """Return the claims of all domains that have a row."""
        found = []
        for domain in sorted(self._view.domains() | set(self._keeper.held)):
            held = self._keeper.held.get(domain)
            row = self._candidacy.row(domain)
            if held is not None:
                row = held.claim.row
            if row is None:
                continue
            valid = held is not None and held.claim.valid(now)
            state = ClaimState(
                domain=domain, row=row, mine=row.holder == self._view.vm
            )
            if held is not None and valid:
                state = dataclasses.replace(
                    state,
                    ends_in=held.claim.ends_at(now) - now,
                    extended=held.claim.extending(now),
                )
            found.append(state)
        return tuple(found)

    def lost_upstreams(self, *, now: timedelta) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that the holders of their claims miss."""
        found: set[ids.UpstreamId] = set()
        for domain in self._view.domains():
            row = self._candidacy.row(domain)
            if self.holds(domain, now=now):
                found |= self._keeper.held[domain].lost()
            elif row is not None:
                found |= row.lost
        return frozenset(found)

    def handle(
        self, event: control.Event, *, now: timedelta
    ) -> list[control.Action]:
        """Process one event and return what has to be done, in order."""
        actions = self._dispatch(event, now)
        actions.extend(self._advance(now))
        return actions

    def _dispatch(
        self, event: control.Event, now: timedelta
    ) -> list[control.Action]:
        match event:
            case control.Tick():
                return self._transactions.retries(now)
            case control.LeaseAnswered():
                return self._lease_answered(event, now)
            case control.TransactResult():
                return self._transacted(event, now)
            case control.MapLogRead():
                return self._log_read(event, now)
            case control.MapChanges():
                return self._apply(event.changes, now)
            case control.ConsentAsked():
                return [self._answer_consent(event, now)]
            case control.ConsentAnswered():
                self._keeper.consent(event)
            case control.PeerHeard():
                self._candidacy.heard(event.vm, now=now)
            case control.ReleaseNoticed():
                return [self._read_claims()]
            case _:
                self._inform(event, now)
        return []

    def _inform(self, event: control.Event, now: timedelta) -> None:
        match event:
            case control.MembersRead():
                self._view.set_members(event.members)
                self._spread_map(now)
            case control.ConfigApplied():
                self._view.set_document(event.document)
                self._spread_map(now)
            case control.ClaimsRead():
                rows = {
                    ids.DomainId(row.key): claims.ClaimRow.from_value(
                        row.value
                    )
                    for row in event.rows
                }
                self._candidacy.rows_read(rows, now=now)
            case control.LoadMeasured():
                self._view.loads = dict(event.by_shard)
                self._view.hot_keys = event.hot_keys
            case control.MapLoaded():
                if event.shard_map.version > self.shard_map.version:
                    self._view.set_map(event.shard_map)
                    self._spread_map(now)
            case control.Stopping():
                self._keeper.stopping = True

    def _advance(self, now: timedelta) -> list[control.Action]:
        actions = self._reads(now)
        actions.extend(self._candidacy.probes(self._view.domains(), now=now))
        actions.extend(self._keeper.tick(now))
        held = self._keeper.held
        for domain in held.values():
            actions.extend(domain.tick(now))
        if not self._keeper.stopping:
            actions.extend(self._mover.tick(held, now=now))
        elif self._keeper.idle and not self._stopped:
            self._stopped = True
            actions.append(control.Released())
        return actions

    def _reads(self, now: timedelta) -> list[control.Action]:
        entries = self._view.entry_count()
        every = max(READ_EVERY, timedelta(seconds=entries / FLEET_READS))
        if self._awaiting:
            every = READ_AGAIN
        if self._read_at is not None and now < self._read_at + every:
            return []
        self._read_at = now
        return [self._read_log(), self._read_claims()]

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
        for domain, token in list(self._awaiting.items()):
            if event.token >= token:
                del self._awaiting[domain]
                held = self._keeper.held.get(domain)
                if held is not None:
                    held.log_read = True
        return actions

    def _apply(
        self, changes: tuple[shards.MapChange, ...], now: timedelta
    ) -> list[control.Action]:
        """Apply the changes that follow the map; fetch those missing."""
        before = self.shard_map.version
        missing = False
        for change in sorted(changes, key=lambda c: c.version):
            if change.version == self.shard_map.version + 1:
                self._view.loads = rebalance.loads_after(self._view, change)
                self._view.set_map(self.shard_map.apply(change))
            elif change.version > self.shard_map.version:
                missing = True
        if self.shard_map.version != before:
            self._spread_map(now)
        return [self._read_log()] if missing else []

    def _spread_map(self, now: timedelta) -> None:
        self._mover.replan(now)
        for held in self._keeper.held.values():
            self._give_map(held, now)

    def _give_map(self, held: held_domain.HeldDomain, now: timedelta) -> None:
        held.set_map(
            self.shard_map,
            self._view.owned(),
            self._view.keyed_upstreams(),
            now=now,
        )

    def _transacted(
        self, event: control.TransactResult, now: timedelta
    ) -> list[control.Action]:
        known = self._transactions.resolve(event, now=now)
        if known is None:
            return []
        before = set(self._keeper.held)
        actions = self._keeper.resolved(
            event.txn, event.result, first_sent=known.first_sent, now=now
        )
        for domain in sorted(self._keeper.held.keys() - before):
            self._give_map(self._keeper.held[domain], now)
            actions.append(self._read_log())
            self._awaiting[domain] = self._token
        own, others = self._writer.resolved(event.txn, event.result)
        if own is not None:
            actions.extend(self._apply((own,), now))
            actions.append(control.MapCommitted(change=own))
            actions.append(shard_mover.milestone(own))
        else:
            actions.extend(self._apply(others, now))
        return actions

    def _lease_answered(
        self, event: control.LeaseAnswered, now: timedelta
    ) -> list[control.Action]:
        domain = event.request.domain
        if event.reply.epoch > event.request.epoch:
            return self._keeper.fenced(domain, event.reply.epoch)
        held = self._keeper.held.get(domain)
        if held is None:
            return []
        return held.answered(event, now=now)

    def _answer_consent(
        self, event: control.ConsentAsked, now: timedelta
    ) -> control.Action:
        granted = self._candidacy.promise(
            event, busy=self._keeper.busy(event.domain), now=now
        )
        return control.AnswerConsent(
            vm=event.vm,
            domain=event.domain,
            epoch=event.epoch,
            nonce=event.nonce,
            granted=granted,
        )

"""Takes, renews, extends and releases the claims of this process."""

from datetime import timedelta

from goldcresthaven import candidates
from goldcresthaven import claims
from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import held_domain
from goldcresthaven import ids
from goldcresthaven import pending_transactions
from goldcresthaven import tables

_DEFAULT_TERM = timedelta(seconds=10)
_DEFAULT_GRACE = timedelta(minutes=10)


class ClaimManager:
    """The claims that this process holds or is trying to take."""

    def __init__(
        self,
        view: cluster_state.View,
        candidacy: candidates.Candidacy,
        transactions: pending_transactions.PendingTransactions,
    ) -> None:
        self.held: dict[ids.DomainId, held_domain.HeldDomain] = {}
        self.stopping = False
        self._view = view
        self._candidacy = candidacy
        self._transactions = transactions
        self._raising: dict[
            ids.TxnId, tuple[ids.DomainId, claims.ClaimRow, timedelta]
        ] = {}
        self._renewing: dict[
            ids.TxnId, dict[ids.DomainId, claims.ClaimRow]
        ] = {}
        self._releasing: dict[
            ids.TxnId, tuple[ids.DomainId, claims.ClaimRow]
        ] = {}
        self._extended: set[ids.DomainId] = set()
        self._nonce = 0

    @property
    def idle(self) -> bool:
        """Whether no claim is held and no claim write is unresolved."""
        writes = self._raising or self._renewing or self._releasing
        return not self.held and not writes

    def busy(self, domain: ids.DomainId) -> bool:
        """Whether the domain is held or a raise of its epoch is unresolved."""
        raising = (d for d, _, _ in self._raising.values())
        return domain in self.held or domain in raising

    def tick(self, now: timedelta) -> list[control.Action]:
        """Return the claim writes and consent requests that are due."""
        actions: list[control.Action] = []
        if self._view.zone in self._view.lost_zones:
            for domain in list(self.held):
                actions.append(self._drop(domain))
            return actions
        if not self.stopping:
            actions.extend(self._raise(now))
            actions.extend(self._renew(now))
        else:
            actions.extend(self._release(now))
        actions.extend(self._request_consents(now))
        return actions

    def _terms(self, domain: ids.DomainId) -> claims.Terms:
        document = self._view.document
        preset = None if document is None else document.preset
        ranked = cluster_state.rank(
            domain, self._view.entries(self._view.zone)
        )
        others = [vm for vm in ranked if vm != self._view.vm]
        return claims.Terms(
            vm=self._view.vm,
            zone=self._view.zone,
            peers=frozenset(others[: claims.MAX_PEERS]),
            term=_DEFAULT_TERM if preset is None else preset.claim_term,
            grace=_DEFAULT_GRACE if preset is None else preset.claim_grace,
            lost=self._lost(domain),
        )

    def _lost(self, domain: ids.DomainId) -> frozenset[ids.UpstreamId]:
        held = self.held.get(domain)
        return frozenset() if held is None else held.lost()

    def _raise(self, now: timedelta) -> list[control.Action]:
        actions: list[control.Action] = []
        for domain in sorted(self._view.domains()):
            if self.busy(domain):
                continue
            if self._candidacy.should_raise(domain, now=now):
                actions.append(self._raise_one(domain, now=now))
        return actions

    def _raise_one(
        self, domain: ids.DomainId, *, now: timedelta
    ) -> control.Action:
        row = self._candidacy.row(domain)
        wait = claims.takeover_wait(row, self._view.vm, self._view.lost_zones)
        txn = self._transactions.new_id()
        raised = claims.raised_row(
            row, self._terms(domain), wait=wait, txn=txn
        )
        ends_at = self._candidacy.ends_at(domain, wait, now=now)
        self._raising[txn] = domain, raised, ends_at
        self._candidacy.record_raise(domain, now=now)
        transaction = tables.Transaction(
            txn=txn,
            conditions=(claims.unchanged(domain, row),),
            writes=(claims.write(domain, raised),),
        )
        return self._transactions.send(transaction, now=now)

    def _renew(self, now: timedelta) -> list[control.Action]:
        if self._renewing or not self.held:
            return []
        if not any(_renewal_due(h, now) for h in self.held.values()):
            return []
        txn = self._transactions.new_id()
        rows: dict[ids.DomainId, claims.ClaimRow] = {}
        conditions: list[tables.Condition] = []
        writes: list[tables.Write] = []
        for domain, held in sorted(self.held.items()):
            row = held.claim.renewed_row(self._terms(domain), txn=txn, now=now)
            conditions.append(claims.unchanged(domain, held.claim.row))
            writes.append(claims.write(domain, row))
            held.claim.pending = row
            rows[domain] = row
        self._renewing[txn] = rows
        transaction = tables.Transaction(
            txn=txn, conditions=tuple(conditions), writes=tuple(writes)
        )
        return [self._transactions.send(transaction, now=now)]

    def _release(self, now: timedelta) -> list[control.Action]:
        if self._renewing or self._releasing:
            return []
        actions: list[control.Action] = []
        for domain, held in sorted(self.held.items()):
            txn = self._transactions.new_id()
            row = held.claim.released_row(txn=txn, now=now)
            self._releasing[txn] = domain, row
            transaction = tables.Transaction(
                txn=txn,
                conditions=(claims.unchanged(domain, held.claim.row),),
                writes=(claims.write(domain, row),),
            )
            actions.append(self._transactions.send(transaction, now=now))
        self.held.clear()
        return actions

    def _request_consents(self, now: timedelta) -> list[control.Action]:
        actions: list[control.Action] = []
        for domain, held in sorted(self.held.items()):
            claim = held.claim
            self._nonce += 1
            for vm in claim.consent_requests_due(now, self._nonce):
                actions.append(
                    control.SendConsentRequest(
                        vm=vm,
                        domain=domain,
                        epoch=claim.epoch,
                        nonce=self._nonce,
                    )
                )
            if not claim.valid_by_consent(now):
                self._extended.discard(domain)
            elif domain not in self._extended:
                self._extended.add(domain)
                actions.append(
                    _milestone(control.MilestoneKind.CLAIM_EXTENDED, held)
                )
        return actions

    def record_consent(self, event: control.ConsentReplied) -> None:
        """Record a peer's consent to extend a claim."""
        held = self.held.get(event.domain)
        if held is None or not event.granted:
            return
        if held.claim.epoch == event.epoch:
            held.claim.record_consent(event.vm, event.nonce)

    def fenced(
        self, domain: ids.DomainId, epoch: ids.Epoch
    ) -> list[control.Action]:
        """Drop the domain's claim if ``epoch`` is higher than its own."""
        self._candidacy.record_epoch(domain, epoch)
        held = self.held.get(domain)
        if held is None or epoch <= held.claim.epoch:
            return []
        return [self._drop(domain)]

    def _drop(self, domain: ids.DomainId) -> control.Action:
        held = self.held.pop(domain)
        return _milestone(control.MilestoneKind.CLAIM_LOST, held)

    def resolved(
        self,
        txn: ids.TxnId,
        result: tables.Result,
        *,
        first_sent: timedelta,
        now: timedelta,
    ) -> list[control.Action]:
        """Process the result of a claim write."""
        if txn in self._raising:
            return self._raised(txn, result, first_sent, now)
        if txn in self._renewing:
            return self._renewed(txn, result, first_sent, now)
        if txn in self._releasing:
            return self._released(txn, result, now)
        return []

    def _raised(
        self,
        txn: ids.TxnId,
        result: tables.Result,
        first_sent: timedelta,
        now: timedelta,
    ) -> list[control.Action]:
        domain, row, ends_at = self._raising.pop(txn)
        if not self._applied(domain, row, result, now=now):
            found = _failed_rows(result).get(domain)
            if found is not None:
                self._candidacy.record_raise_conflict(
                    domain, row, found, now=now
                )
            return []
        claim = claims.HeldClaim(
            domain=domain,
            row=row,
            sent=first_sent,
            settled_at=max(now, ends_at),
        )
        held = held_domain.HeldDomain(claim)
        self.held[domain] = held
        return [_milestone(control.MilestoneKind.CLAIM_TAKEN, held)]

    def _renewed(
        self,
        txn: ids.TxnId,
        result: tables.Result,
        first_sent: timedelta,
        now: timedelta,
    ) -> list[control.Action]:
        actions: list[control.Action] = []
        failed = _failed_rows(result)
        for domain, row in self._renewing.pop(txn).items():
            held = self.held.get(domain)
            if held is None or held.claim.pending != row:
                continue
            found = failed.get(domain)
            if isinstance(result, tables.Committed) or found == row:
                held.claim.record_renewal(row, sent=first_sent)
                self._candidacy.record_row(domain, row, now=now)
            elif found is not None:
                self._candidacy.record_row(domain, found, now=now)
                actions.append(self._drop(domain))
            else:
                held.claim.pending = None
        return actions

    def _released(
        self, txn: ids.TxnId, result: tables.Result, now: timedelta
    ) -> list[control.Action]:
        domain, row = self._releasing.pop(txn)
        if not self._applied(domain, row, result, now=now):
            return []
        ranked = cluster_state.rank(
            domain, self._view.entries(cluster_state.zone_of(domain))
        )
        actions: list[control.Action] = [
            control.NotifyRelease(vm=vm, domain=domain)
            for vm in ranked[: candidates.PROBING_CANDIDATES]
            if vm != self._view.vm
        ]
        data: dict[str, str | int] = {'domain': domain, 'epoch': row.epoch}
        actions.append(
            control.Milestone(
                kind=control.MilestoneKind.CLAIM_RELEASED, data=data
            )
        )
        return actions

    def _applied(
        self,
        domain: ids.DomainId,
        row: claims.ClaimRow,
        result: tables.Result,
        *,
        now: timedelta,
    ) -> bool:
        if isinstance(result, tables.Committed):
            self._candidacy.record_row(domain, row, now=now)
            return True
        found = _failed_rows(result).get(domain)
        if found is None:
            return False
        self._candidacy.record_row(domain, found, now=now)
        return found == row


def _renewal_due(held: held_domain.HeldDomain, now: timedelta) -> bool:
    """Whether a renewal is due or the row's ``lost`` list is outdated."""
    changed = held.log_read and held.lost() != held.claim.row.lost
    return changed or held.claim.renewal_due(now)


def _failed_rows(
    result: tables.Result,
) -> dict[ids.DomainId, claims.ClaimRow]:
    if not isinstance(result, tables.Conflict):
        return {}
    return {
        ids.DomainId(row.key): claims.ClaimRow.from_value(row.value)
        for row in result.rows
    }


def _milestone(
    kind: control.MilestoneKind, held: held_domain.HeldDomain
) -> control.Milestone:
    claim = held.claim
    data: dict[str, str | int] = {
        'domain': claim.domain,
        'epoch': claim.epoch,
    }
    return control.Milestone(kind=kind, data=data)

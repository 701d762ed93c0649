"""Removes the ownership rules from the product, one at a time.

This is mutation testing of the simulation: each knockout replaces methods of
the product for the duration of a run. If the simulation finds no violation
without a rule, it does not test that rule.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import replace
from datetime import timedelta
from typing import Any
from unittest import mock

from goldcresthaven import candidates
from goldcresthaven import claims
from goldcresthaven import control
from goldcresthaven import held_domain
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import map_writer
from goldcresthaven import ownership
from goldcresthaven import tables
from proofs import ownership_sim
from proofs import sim_faults
from proofs import sim_splits


@dataclass(frozen=True, kw_only=True, slots=True)
class Patch:
    """The replacement of one attribute of a class or module."""

    target: Any
    name: str
    value: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class Knockout:
    """A rule and the replacements that remove it.

    ``script`` names the method of ``SplitWorld`` whose failures the rule
    protects against. If it is empty, the run has random failures.
    """

    rule: str
    patches: tuple[Patch, ...]
    script: str = ''

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Remove the rule while the context is active."""
        with contextlib.ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(
                    mock.patch.object(patch.target, patch.name, patch.value)
                )
            yield

    def run(self, seed: int) -> ownership_sim.Outcome:
        """Run the simulation without the rule."""
        with self.applied():
            if self.script:
                return sim_splits.run(seed, self.script)
            return sim_faults.run(seed)


def _no_epoch_check(
    guard: leases.LeaseGuard, req: leases.LeaseRequest
) -> leases.Refusal | None:
    return None


def _check_without(refusal: leases.Refusal) -> Callable[..., Any]:
    """Return a replacement of ``_check_grant`` that omits one check."""

    def check(
        guard: Any, req: leases.LeaseRequest, *, now: timedelta
    ) -> leases.Refusal | None:
        basis_time = guard._readings.get(req.basis_ns or 0)
        failed = {
            leases.Refusal.OLD_SEQUENCE: req.seq <= guard._seq,
            leases.Refusal.OTHER_BOOT: req.boot != guard._boot,
            leases.Refusal.UNKNOWN_BASIS: basis_time is None,
            leases.Refusal.STALE_BASIS: (
                basis_time is not None and now >= basis_time + req.duration
            ),
        }
        return next(
            (r for r, bad in failed.items() if bad and r is not refusal),
            None,
        )

    return check


def _accept_from_receipt(guard: Any, req: leases.LeaseRequest) -> None:
    guard._seq = req.seq
    guard._lease_epoch = req.epoch
    guard._shards = req.shards
    guard._end = max(guard._readings.values()) + req.duration


def _check_any_basis(
    guard: Any, req: leases.LeaseRequest, *, now: timedelta
) -> leases.Refusal | None:
    """Accept any basis, as if it had been read when the grant arrived."""
    guard._readings[req.basis_ns] = now
    if req.seq <= guard._seq:
        return leases.Refusal.OLD_SEQUENCE
    return None


def _no_bound(issuer: leases.Issuer) -> timedelta:
    return timedelta.min


def _no_wait_for_bound(
    held: held_domain.HeldDomain,
    release: held_domain.ShardRelease,
    now: timedelta,
) -> bool:
    return held.earlier_leases_ended(release.source, now)


def _lost_before_lease_end(
    state: held_domain.LeasedUpstream, now: timedelta, *, owner: bool
) -> bool:
    """Treat an upstream as lost while its lease may still be in force."""
    unresponsive = now >= state.last_reply_at + held_domain.RESEND_AFTER * 3
    changed = unresponsive != state.lost
    state.lost = unresponsive
    return changed


def _no_takeover_wait(*args: Any) -> timedelta:
    return timedelta()


def _earlier_leases_always_ended(
    held: held_domain.HeldDomain, upstream: ids.UpstreamId, now: timedelta
) -> bool:
    return True


def _record_any_drop(
    held: held_domain.HeldDomain,
    state: held_domain.LeasedUpstream,
    event: control.LeaseReplied,
) -> None:
    """Accept a confirmation requested before the earlier claim ended."""
    if event.reply.dropped and event.reply.epoch == held.claim.epoch:
        state.dropped = True


_original_raised_row = claims.raised_row


def _no_inherited_wait(
    row: claims.ClaimRow | None,
    terms: claims.Terms,
    *,
    wait: timedelta,
    txn: ids.TxnId,
) -> claims.ClaimRow:
    """Mark the row as settled before the new holder has waited."""
    raised = _original_raised_row(row, terms, wait=wait, txn=txn)
    return replace(raised, settled=True, peers=terms.peers)


_original_start_release = held_domain.HeldDomain.start_release


def _release_unconfirmed(
    held: held_domain.HeldDomain, shard: ids.ShardId, *, now: timedelta
) -> None:
    _original_start_release(held, shard, now=now)
    if shard in held.releases:
        held.releases[shard].released = True


_original_held_init = held_domain.HeldDomain.__init__


def _init_with_log_read(
    held: held_domain.HeldDomain, claim: claims.HeldClaim
) -> None:
    _original_held_init(held, claim)
    held.log_read = True


def _ignore_log(
    controller: Any, event: control.MapLogRead, now: timedelta
) -> list[control.Action]:
    """Ignore the changes that were read, so only peers provide them."""
    controller._mover.log_was_read = True
    controller._awaiting_log.clear()
    return []


def _always_valid(claim: claims.HeldClaim, now: timedelta) -> bool:
    return True


def _no_epoch_condition(change: Any) -> tuple[tables.Condition, ...]:
    return (
        tables.VersionIs(
            table=tables.MAP_LOG,
            key=tables.log_key(change.version),
            version=tables.ABSENT,
        ),
    )


_original_conditions = map_writer.conditions


def _no_absent_condition(change: Any) -> tuple[tables.Condition, ...]:
    return _original_conditions(change)[1:]


def _extended_without_consent(claim: Any, now: timedelta) -> bool:
    return bool(now < claim._sent_at + claims.shortened(claim._grace()))


def _extended_by_any(claim: Any, now: timedelta) -> bool:
    """Extend with the consent of one peer instead of all."""
    if now >= claim._sent_at + claims.shortened(claim._grace()):
        return False
    return any(now < until for until in claim._consent_until.values())


def _always_consent(
    candidacy: candidates.Candidacy,
    ask: control.ConsentRequested,
    *,
    busy: bool,
    now: timedelta,
) -> bool:
    return True


def _peers_of_confirmed_row(claim: claims.HeldClaim) -> frozenset[ids.VmId]:
    """Ignore the peers of a renewal that is not resolved yet."""
    return claim.row.peers


def _wait_term_for_all(
    row: claims.ClaimRow | None, vm: ids.VmId, lost: Any
) -> timedelta:
    """Let VMs that are not peers take over after the term, too."""
    return timedelta() if row is None else row.term


def _single_patch(
    rule: str, target: Any, name: str, value: Any, script: str = ''
) -> Knockout:
    return Knockout(
        rule=rule,
        patches=(Patch(target=target, name=name, value=value),),
        script=script,
    )


_GUARD = leases.LeaseGuard
_CLAIM = claims.HeldClaim
_DOMAIN = held_domain.HeldDomain

RULES = (
    _single_patch(
        '1 epoch',
        _GUARD,
        '_check_epoch',
        _no_epoch_check,
        'release_with_late_grants',
    ),
    _single_patch(
        '1 sequence',
        _GUARD,
        '_check_grant',
        _check_without(leases.Refusal.OLD_SEQUENCE),
    ),
    Knockout(
        rule='1 basis',
        patches=(
            Patch(target=_GUARD, name='_check_grant', value=_check_any_basis),
            Patch(target=_GUARD, name='_accept', value=_accept_from_receipt),
        ),
    ),
    _single_patch('2 bound', leases.Issuer, 'bound', property(_no_bound)),
    Knockout(
        rule='3 wait for the bound',
        patches=(
            Patch(
                target=_DOMAIN,
                name='_release_complete',
                value=_no_wait_for_bound,
            ),
            Patch(
                target=held_domain.LeasedUpstream,
                name='update_lost',
                value=_lost_before_lease_end,
            ),
        ),
    ),
    Knockout(
        rule='4 wait after a raise',
        patches=(
            Patch(
                target=_DOMAIN,
                name='earlier_leases_ended',
                value=_earlier_leases_always_ended,
            ),
            Patch(
                target=claims, name='takeover_wait', value=_no_takeover_wait
            ),
        ),
        script='split_with_some_peers',
    ),
    _single_patch(
        '5 release before a move',
        _DOMAIN,
        'start_release',
        _release_unconfirmed,
    ),
    Knockout(
        rule='6 read the log',
        patches=(
            Patch(target=_DOMAIN, name='__init__', value=_init_with_log_read),
            Patch(
                target=ownership.Controller,
                name='_log_read',
                value=_ignore_log,
            ),
        ),
    ),
    _single_patch(
        '7 check the claim',
        _CLAIM,
        'valid',
        _always_valid,
        'split_with_some_peers',
    ),
    _single_patch(
        '8 epoch condition',
        map_writer,
        'conditions',
        _no_epoch_condition,
    ),
    _single_patch(
        '8 absent condition', map_writer, 'conditions', _no_absent_condition
    ),
    _single_patch(
        'consent of all peers',
        _CLAIM,
        '_extended',
        _extended_by_any,
        'split_with_some_peers',
    ),
    _single_patch(
        'consent at all',
        _CLAIM,
        '_extended',
        _extended_without_consent,
        'split_with_some_peers',
    ),
    _single_patch(
        'consent refused',
        candidates.Candidacy,
        'grant_consent',
        _always_consent,
        'meet_again',
    ),
    _single_patch(
        'consent of both peer sets',
        _CLAIM,
        'consenters',
        _peers_of_confirmed_row,
        'split_after_unseen_renewal',
    ),
    _single_patch(
        'grace for other VMs',
        claims,
        'takeover_wait',
        _wait_term_for_all,
        'split_with_strangers_outside',
    ),
    _single_patch(
        '4 response after the old claim',
        _DOMAIN,
        '_record_dropped',
        _record_any_drop,
        'restart_between_holders',
    ),
    _single_patch(
        '4 inherited wait',
        claims,
        'raised_row',
        _no_inherited_wait,
        'split_with_strangers_outside',
    ),
)

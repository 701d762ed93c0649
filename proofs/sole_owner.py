"""Promise 1: a key has at most one owner at any time.

The naive variant uses plain leases: their duration counts from the time at
which the upstream receives them, and the upstream checks no epoch, sequence
number or basis. A new claim holder does not wait for the earlier claim and
its leases to end. It only waits before it moves a shard, until the upstream
has released the shard or its last lease has ended by the holder's clock.
"""

from datetime import timedelta
from typing import Any

from goldcresthaven import claims
from goldcresthaven import held_domain
from goldcresthaven import leases
from proofs import knockouts
from proofs import ownership_sim
from proofs import report
from proofs import sim_faults
from proofs import sim_splits

SEEDS = range(60)


def _accept_any_grant(
    guard: Any, req: leases.LeaseRequest, *, now: timedelta
) -> None:
    guard._readings[req.basis_ns] = now


def _any_epoch(*args: Any) -> None:
    """Accept a lease of any epoch and domain."""


def _no_wait(*args: Any) -> timedelta:
    return timedelta()


def _earlier_leases_always_ended(*args: Any) -> bool:
    return True


PLAIN_LEASE = knockouts.Knockout(
    rule='plain lease',
    patches=(
        knockouts.Patch(
            target=leases.LeaseGuard, name='_check_epoch', value=_any_epoch
        ),
        knockouts.Patch(
            target=leases.LeaseGuard,
            name='_check_grant',
            value=_accept_any_grant,
        ),
        knockouts.Patch(target=claims, name='takeover_wait', value=_no_wait),
        knockouts.Patch(
            target=held_domain.HeldDomain,
            name='earlier_leases_ended',
            value=_earlier_leases_always_ended,
        ),
    ),
)


def run(seed: int) -> ownership_sim.Outcome:
    """Run random failures for even seeds and a script for odd seeds."""
    if seed % 2:
        return sim_splits.run(seed)
    return sim_faults.run(seed)


def has_two_owners(outcome: ownership_sim.Outcome) -> bool:
    return any('served by' in v for v in outcome.violations)


def naive(seed: int) -> bool:
    """Return whether plain leases let two upstreams serve the same key."""
    with PLAIN_LEASE.applied():
        return has_two_owners(run(seed))


def ours(seed: int) -> bool:
    """Return whether the product let two upstreams serve the same key."""
    return has_two_owners(run(seed))


def proof() -> report.Proof:
    return report.Proof(
        number=1, name='sole-owner', naive=naive, ours=ours, seeds=SEEDS
    )

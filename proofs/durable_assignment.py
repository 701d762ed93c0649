"""Promise 2: an assignment reported as accepted is never lost.

The naive variant reports an assignment as soon as it sends the write. If the
write never reaches the store or conflicts with another one, the reported
change is not in the map log.
"""

from datetime import timedelta
from typing import Any

from goldcresthaven import control
from goldcresthaven import ownership
from proofs import knockouts
from proofs import ownership_sim
from proofs import report
from proofs import sole_owner

SEEDS = range(60)

_original_handle = ownership.Controller.handle


def _report_when_sent(
    controller: Any, event: control.Event, *, now: timedelta
) -> list[control.Action]:
    """Report each map change when its write is sent, not when it commits."""
    actions = _original_handle(controller, event, now=now)
    reports: list[control.Action] = []
    for action in actions:
        if isinstance(action, control.Transact):
            change = controller._writer._change
            if change is not None and change.txn == action.transaction.txn:
                reports.append(control.MapCommitted(change=change))
    others = [a for a in actions if not isinstance(a, control.MapCommitted)]
    return others + reports


REPORT_WHEN_SENT = knockouts.Knockout(
    rule='report when sent',
    patches=(
        knockouts.Patch(
            target=ownership.Controller,
            name='handle',
            value=_report_when_sent,
        ),
    ),
)


def has_lost_change(outcome: ownership_sim.Outcome) -> bool:
    return any('is lost' in v for v in outcome.violations)


def naive(seed: int) -> bool:
    """Return whether the naive variant loses a reported change."""
    with REPORT_WHEN_SENT.applied():
        return has_lost_change(sole_owner.run(seed))


def ours(seed: int) -> bool:
    """Return whether the product loses a reported change."""
    return has_lost_change(sole_owner.run(seed))


def proof() -> report.Proof:
    return report.Proof(
        number=2,
        name='durable-assignment',
        naive=naive,
        ours=ours,
        seeds=SEEDS,
    )

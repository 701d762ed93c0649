"""Promise 2: an assignment reported as accepted is never lost.

The naive variant reports an assignment as soon as it has sent the write,
so an ambiguous write or a lost race leaves a report without a log row.
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
    """Report each map change together with the action that sends it."""
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
    """Whether a change that was reported when sent is not in the log."""
    with REPORT_WHEN_SENT.applied():
        return has_lost_change(sole_owner.run(seed))


def ours(seed: int) -> bool:
    """Whether a change that the product reported is not in the log."""
    return has_lost_change(sole_owner.run(seed))


def proof() -> report.Proof:
    return report.Proof(
        number=2,
        name='durable-assignment',
        naive=naive,
        ours=ours,
        seeds=SEEDS,
    )

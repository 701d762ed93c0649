"""Variants of the load policy with one rule disabled, for ``bench.rules``.

The product has no switches for its rules. A variant therefore changes
settings or patches attributes of modules and classes in the running process.
"""

from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta

from bench import deployments
from bench import product
from goldcresthaven import admission
from goldcresthaven import health
from goldcresthaven import slot_manager

Change = Callable[[deployments.Deployment], deployments.Deployment]


def _without_floors(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    def no_credit(
        self: admission.Shares,
        now: timedelta,
        waiting: Sequence[int],
        held: Sequence[int],
    ) -> None:
        return None

    setattr(admission.Shares, 'advance', no_credit)
    return deployment


def _without_bulk_cap(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    cap = property(lambda shape: shape.settings.slots)
    setattr(deployments.PoolShape, 'bulk_cap', cap)
    return deployment


def _without_deadline_refusal(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    def no_wait(self: admission.RequestQueue, level: int) -> timedelta:
        return timedelta()

    setattr(admission.RequestQueue, 'expected_wait', no_wait)
    return deployment


def _without_slow_start(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    preset = deployment.preset.model_copy(update={'slow_start': timedelta()})
    return deployments.with_preset(deployment, preset)


def _without_breaker(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    setattr(health, 'CONSECUTIVE_FAILURES', 10**9)
    setattr(health, 'WINDOW_FAILURES', 10**9)
    return deployment


def _without_retry_budget(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    setattr(product.TokenBucket, 'spend', lambda self: True)
    return deployment


def _without_recall(
    deployment: deployments.Deployment,
) -> deployments.Deployment:
    def keep(
        self: slot_manager.Manager, state: object
    ) -> list[slot_manager.AddressedMessage]:
        return []

    setattr(slot_manager.Manager, '_recall_for', keep)
    return deployment


_CHANGES: dict[str, Change] = {
    'floors': _without_floors,
    'bulk-cap': _without_bulk_cap,
    'refusal of hopeless work': _without_deadline_refusal,
    'slow start': _without_slow_start,
    'breaker': _without_breaker,
    'retry budget': _without_retry_budget,
    'recall': _without_recall,
}
NAMES = tuple(_CHANGES)


def disable_rule(
    rule: str, deployment: deployments.Deployment
) -> deployments.Deployment:
    """Disable a rule in this process; return the deployment to simulate."""
    return _CHANGES[rule](deployment)

"""Promise 4: a request that is reported as not run was not executed.

The naive variant reports 503 not-run for every request without a response,
even if the request was sent.
"""

import random

from goldcresthaven import caller_server
from goldcresthaven import errors
from goldcresthaven import forwarding
from goldcresthaven import members
from goldcresthaven import outcomes
from proofs import failing_upstream
from proofs import report
from tools import entry_harness

REQUESTS = 8
CONTROL_REQUESTS = 4
SEEDS = range(25)
UNUSED_ADDRESS = members.Address(host=entry_harness.HOST, port=1)


class NaiveServer(caller_server.CallerServer):
    """Reports a request without a response as not run."""

    async def _run(self, call: forwarding.Call) -> outcomes.Outcome:
        outcome = await super()._run(call)
        if isinstance(outcome, outcomes.Unknown):
            return outcomes.NotRun(reason=outcome.reason)
        return outcome


async def _run_violates(
    seed: int, server_type: type[caller_server.CallerServer]
) -> bool:
    rng = random.Random(seed)
    failing = failing_upstream.FailingUpstream(rng)
    upstream = await entry_harness.start_scripted(failing.script)
    harness = await entry_harness.start(
        {'free-a': upstream.address, 'free-b': UNUSED_ADDRESS},
        server_type=server_type,
    )
    reported_not_run: list[str] = []
    for number in range(REQUESTS):
        key = f'{seed}-{number}'
        headers = (
            ('idempotency-key', key),
            ('x-deadline-ms', failing_upstream.DEADLINE_MS),
        )
        target = rng.choice(('/pay/x', '/free/x'))
        try:
            response = await harness.fetch('POST', target, headers=headers)
        except errors.Error:
            continue
        if response.outcome == 'not-run':
            reported_not_run.append(key)
    await failing.thaw()
    if any(failing.runs[key] for key in reported_not_run):
        return True
    return not await _uses_healthy_upstream(harness)


async def _uses_healthy_upstream(harness: entry_harness.EntryHarness) -> bool:
    """Return whether one of a few requests reaches the healthy upstream.

    Without this check a server that refuses every request would pass. One
    request is not enough, because nothing listens at the address of the other
    upstream and the retry budget may be used up.
    """
    for number in range(CONTROL_REQUESTS):
        key = (('idempotency-key', f'control-{number}'),)
        response = await harness.fetch('POST', '/pay/x', headers=key)
        if response.outcome == 'done':
            return True
    return False


def check(seed: int, server_type: type[caller_server.CallerServer]) -> bool:
    """Return whether a request that was reported as not run was executed.

    Also true if the healthy upstream gets no request at the end.
    """
    violations: list[bool] = []

    async def run() -> None:
        violations.append(await _run_violates(seed, server_type))

    entry_harness.run(run)
    return violations[0]


def proof() -> report.Proof:
    return report.Proof(
        number=4,
        name='not-run-is-true',
        naive=lambda seed: check(seed, NaiveServer),
        ours=lambda seed: check(seed, caller_server.CallerServer),
        seeds=SEEDS,
    )

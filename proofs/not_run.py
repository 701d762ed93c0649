"""Promise 4: what is reported as not run was not executed.

The naive variant reports 503 not-run for every request without a response,
also when it had been sent.
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
CONTROLS = 4
SEEDS = range(25)
DEAD = members.Address(host=entry_harness.HOST, port=1)


class NaiveServer(caller_server.CallerServer):
    """Takes a missing response for a proof that nothing ran."""

    async def _run(self, call: forwarding.Call) -> outcomes.Outcome:
        outcome = await super()._run(call)
        if isinstance(outcome, outcomes.Unknown):
            return outcomes.NotRun(reason=outcome.reason)
        return outcome


async def _violated(
    seed: int, server_type: type[caller_server.CallerServer]
) -> bool:
    rng = random.Random(seed)
    failing = failing_upstream.FailingUpstream(rng)
    upstream = await entry_harness.start_scripted(failing.script)
    path = await entry_harness.start(
        {'free-a': upstream.address, 'free-b': DEAD},
        server_type=server_type,
    )
    reported: list[str] = []
    for number in range(REQUESTS):
        key = f'{seed}-{number}'
        headers = (
            ('idempotency-key', key),
            ('x-deadline-ms', failing_upstream.DEADLINE_MS),
        )
        target = rng.choice(('/pay/x', '/free/x'))
        try:
            answer = await path.fetch('POST', target, headers=headers)
        except errors.Error:
            continue
        if answer.outcome == 'not-run':
            reported.append(key)
    await failing.thaw()
    if any(failing.runs[key] for key in reported):
        return True
    return not await _serves(path)


async def _serves(path: entry_harness.EntryHarness) -> bool:
    """Return whether a healthy upstream is used.

    Refusing everything would keep the promise too. One of the upstreams is
    dead and the retry budget may be spent, so one request is not enough.
    """
    for number in range(CONTROLS):
        key = (('idempotency-key', f'control-{number}'),)
        answer = await path.fetch('POST', '/pay/x', headers=key)
        if answer.outcome == 'done':
            return True
    return False


def check(seed: int, server_type: type[caller_server.CallerServer]) -> bool:
    """Return whether a request reported as not run was executed."""
    found: list[bool] = []

    async def run() -> None:
        found.append(await _violated(seed, server_type))

    entry_harness.run(run)
    return found[0]


def proof() -> report.Proof:
    return report.Proof(
        number=4,
        name='not-run-is-true',
        naive=lambda seed: check(seed, NaiveServer),
        ours=lambda seed: check(seed, caller_server.CallerServer),
        seeds=SEEDS,
    )

"""Promise 5: a payment is executed at most once.

Two entry processes share a store that loses some of its responses and is
sometimes unreachable. The caller sends each payment up to ``REPEATS`` times,
through both entry processes in turn, and stops when one answers ``done``.
The naive variant keeps no idempotency records and retries a payment after a
timeout.
"""

from datetime import timedelta
import random

from goldcresthaven import caller_server
from goldcresthaven import clock as clock_module
from goldcresthaven import dedup
from goldcresthaven import errors
from goldcresthaven import forwarding
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import store_client
from proofs import failing_upstream
from proofs import report
from standins import platform
from standins import server
from tools import entry_harness

PAYMENTS = 3
REPEATS = 4
SEEDS = range(15)
STORE_TIMEOUT = timedelta(milliseconds=20)


class NaiveRecords(dedup.Records):
    """Accepts every request and stores nothing."""

    async def reserve(
        self, routed: routing.Routed, *, timeout: timedelta
    ) -> dedup.Reserved | outcomes.NotRun | outcomes.Unknown:
        return dedup.Reserved(txn=ids.TxnId('naive'))

    async def release(
        self, reserved: dedup.Reserved, *, timeout: timedelta
    ) -> None:
        return


class NaiveServer(caller_server.CallerServer):
    """Retries up to the attempt limit, even if the request was sent."""

    async def _run_attempts(
        self, call: forwarding.Call, routed: routing.Routed
    ) -> outcomes.Outcome:
        outcome: outcomes.Outcome = outcomes.NotRun(
            reason=outcomes.Reason.NO_UPSTREAM
        )
        for _ in range(retries.MAX_ATTEMPTS):
            result = await self._attempt(call, routed, [])
            if isinstance(result, outcomes.NotRun):
                return result
            outcome = retries.classify(result)
            if call.relayed or isinstance(outcome, outcomes.Done):
                break
        return outcome


class Run:
    """One seeded run of the product or the naive variant."""

    def __init__(self, seed: int, *, naive: bool) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._naive = naive
        self._platform = platform.Platform()
        self._failing_upstream = failing_upstream.FailingUpstream(self._rng)

    async def violated(self) -> bool:
        upstream = await entry_harness.start_scripted(
            self._failing_upstream.script
        )
        listener = await entry_harness.listen(
            server.serve_with(self._platform.handle)
        )
        store = store_client.StoreClient(
            address=members.Address(
                host=entry_harness.HOST, port=listener.port
            ),
            clock=clock_module.SystemClock(),
            request_timeout=STORE_TIMEOUT,
        )
        entries = [await self._entry(upstream, store) for _ in range(2)]
        for number in range(PAYMENTS):
            await self._pay(entries, f'{self._seed}-{number}')
        await self._failing_upstream.thaw()
        # A server that refuses every request would also pass, so check that
        # a payment succeeds once there are no faults.
        self._platform.faults = platform.Faults()
        control = (('idempotency-key', 'control'),)
        response = await entries[0].fetch('POST', '/book/x', headers=control)
        await store.close()
        if response.outcome != 'done':
            return True
        return any(n > 1 for n in self._failing_upstream.runs.values())

    async def _entry(
        self,
        upstream: entry_harness.ScriptedUpstream,
        store: store_client.StoreClient,
    ) -> entry_harness.EntryHarness:
        ours = caller_server.CallerServer
        return await entry_harness.start(
            {'stored-a': upstream.address},
            records=NaiveRecords(store=store) if self._naive else None,
            store=store,
            server_type=NaiveServer if self._naive else ours,
        )

    async def _pay(
        self, entries: list[entry_harness.EntryHarness], key: str
    ) -> None:
        headers = (
            ('idempotency-key', key),
            ('x-deadline-ms', failing_upstream.DEADLINE_MS),
        )
        for number in range(REPEATS):
            faults = self._platform.faults
            faults.lose_answers = self._rng.choice((0, 0, 1))
            faults.down = self._rng.random() < 0.1
            entry = entries[number % len(entries)]
            try:
                response = await entry.fetch(
                    'POST', '/book/x', headers=headers
                )
            except errors.Error:
                continue
            if response.outcome == 'done':
                return


def check(seed: int, *, naive: bool) -> bool:
    """Return whether a payment ran twice or the fault-free one failed."""
    violations: list[bool] = []

    async def run() -> None:
        violations.append(await Run(seed, naive=naive).violated())

    entry_harness.run(run)
    return violations[0]


def proof() -> report.Proof:
    return report.Proof(
        number=5,
        name='at-most-once',
        naive=lambda seed: check(seed, naive=True),
        ours=lambda seed: check(seed, naive=False),
        seeds=SEEDS,
    )

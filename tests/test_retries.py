"""Tests how attempts are classified and when they are retried."""

from datetime import timedelta
import unittest

from hypothesis import given
from hypothesis import strategies as st

from goldcresthaven import ids
from goldcresthaven import outcomes
from goldcresthaven import retries

UP = ids.UpstreamId('u')
F = retries.Failure
R = outcomes.Reason

# (failure, bytes written, status, X-Outcome, result, reason)
CASES = (
    (None, 10, 200, None, outcomes.Done, None),
    (None, 10, 500, None, outcomes.Done, None),
    (None, 10, 503, None, outcomes.Done, None),
    (None, 10, 503, 'unknown', outcomes.Done, None),
    (None, 10, 409, 'not-run', outcomes.Done, None),
    (None, 10, 503, 'not-run', outcomes.NotRun, R.SHED),
    (None, 10, 421, None, outcomes.NotRun, R.NOT_OWNER),
    (F.TRUNCATED, 10, 421, None, outcomes.NotRun, R.NOT_OWNER),
    (F.CONNECT, 0, None, None, outcomes.NotRun, R.CONNECT_FAILED),
    (F.WITHHELD, 0, None, None, outcomes.NotRun, R.NO_UPSTREAM),
    (F.LOST, 0, None, None, outcomes.NotRun, R.CONNECT_FAILED),
    (F.DEADLINE, 0, None, None, outcomes.NotRun, R.DEADLINE_PASSED),
    (F.CALLER_GONE, 0, None, None, outcomes.NotRun, R.CALLER_GONE),
    (F.BAD_BODY, 0, None, None, outcomes.NotRun, R.BAD_REQUEST),
    (F.LOST, 1, None, None, outcomes.Unknown, R.CONNECTION_LOST),
    (F.WITHHELD, 1, None, None, outcomes.Unknown, R.CONNECTION_LOST),
    (F.DEADLINE, 1, None, None, outcomes.Unknown, R.TIMEOUT),
    (F.MALFORMED, 1, None, None, outcomes.Unknown, R.BAD_RESPONSE),
    (F.TRUNCATED, 1, 200, None, outcomes.Unknown, R.TRUNCATED),
    (F.CALLER_GONE, 1, None, None, outcomes.Unknown, R.CALLER_GONE),
    (F.BAD_BODY, 1, None, None, outcomes.Unknown, R.BAD_REQUEST),
)


def make(
    failure: F | None,
    written: int,
    status: int | None = None,
    x_outcome: str | None = None,
) -> retries.Attempt:
    return retries.Attempt(
        upstream=UP,
        bytes_written=written,
        status=status,
        x_outcome=x_outcome,
        failure=failure,
    )


def retry_context(
    idempotent: bool, *, replayable: bool = True, attempts: int = 1
) -> retries.RetryContext:
    return retries.RetryContext(
        idempotent=idempotent,
        replayable=replayable,
        attempts=attempts,
        remaining=timedelta(seconds=1),
    )


class ClassifyTest(unittest.TestCase):
    def test_outcome_of_each_attempt(self) -> None:
        """Guards against a timeout or reset taken as proof of "not run"."""
        for failure, written, status, x_outcome, kind, reason in CASES:
            with self.subTest(failure=failure, status=status):
                attempt = make(failure, written, status, x_outcome)
                result = retries.classify(attempt)
                self.assertIsInstance(result, kind)
                found = getattr(result, 'reason', None)
                self.assertEqual(reason, found)

    @given(
        st.sampled_from([f for f in F if f is not F.CONNECT]),
        st.integers(min_value=1, max_value=1 << 20),
        st.one_of(st.none(), st.integers(min_value=100, max_value=599)),
    )
    def test_sent_without_refusal_is_never_not_run(
        self, failure: F, written: int, status: int | None
    ) -> None:
        """Guards against "not run" for a request that may have run."""
        result = retries.classify(make(failure, written, status))
        if status != 421:
            self.assertIsInstance(result, outcomes.Unknown)

    def test_refused_retry_does_not_hide_an_unknown_attempt(self) -> None:
        """Guards against "not run" after an earlier unknown attempt."""
        earlier = [make(F.LOST, 5)]
        last = outcomes.NotRun(reason=R.NO_UPSTREAM)
        self.assertIsInstance(
            retries.final_outcome(earlier, last), outcomes.Unknown
        )
        refused = [make(None, 5, 421)]
        self.assertIs(last, retries.final_outcome(refused, last))


class RetryTest(unittest.TestCase):
    def test_non_idempotent_retry_needs_a_proof(self) -> None:
        """Guards against executing a payment twice."""
        for failure, written, status, x_outcome, kind, _ in CASES:
            attempt = make(failure, written, status, x_outcome)
            allowed = retries.may_retry(
                attempt, retry_context(False), retries.RetryBudget()
            )
            if allowed:
                self.assertIs(kind, outcomes.NotRun)

    def test_conditions_that_end_retries(self) -> None:
        """Guards against endless, late or partial retries."""
        lost = make(F.LOST, 1)
        cases = (
            (lost, retry_context(True), True),
            (lost, retry_context(False), False),
            (lost, retry_context(True, replayable=False), False),
            (lost, retry_context(True, attempts=3), False),
            (make(F.DEADLINE, 1), retry_context(True), False),
            (make(F.CALLER_GONE, 1), retry_context(True), False),
            (make(None, 1, 500), retry_context(True), False),
        )
        for attempt, context, expected in cases:
            with self.subTest(attempt=attempt, context=context):
                budget = retries.RetryBudget()
                found = retries.may_retry(attempt, context, budget)
                self.assertEqual(expected, found)

    def test_retry_after_a_failed_connection_needs_no_token(self) -> None:
        """Guards against refusals while other upstreams are healthy.

        A zone with a fifth of the upstreams was cut off, but the budget
        allowed retries for a tenth of the requests (Kleepsuke, grown).
        """
        spent = retries.RetryBudget(tokens=0.0)
        found = retries.may_retry(
            make(F.CONNECT, 0), retry_context(True), spent
        )
        self.assertTrue(found)
        lost = retries.may_retry(make(F.LOST, 0), retry_context(True), spent)
        self.assertFalse(lost)

    def test_failing_pool_gets_no_retries_of_other_pools(self) -> None:
        """Guards against more retries at a pool than its requests allow.

        The pool with a sixth of the requests failed, and the retries that
        all pools had earned went there (Toits Solides, grown, scale-1:
        BUDGET).
        """
        allowed = retries.FleetBudget(ratio=0.2, slack=247)
        budgets = retries.PoolBudgets(allowed=allowed, fleet_size=lambda: 92)
        sent = 0
        for number in range(600):
            failing = number % 6 == 0
            pool = ids.PoolName('failing' if failing else 'healthy')
            budget = budgets.request_arrived(pool)
            while failing and budget.spend():
                sent += 1
        self.assertLessEqual(sent, 100 * 0.2 + 247 / 92)

    def test_limit_of_retries_holds_for_any_size_of_the_fleet(self) -> None:
        """Guards against a burst that grows with the number of processes.

        With 3 stored retries each, 195 processes could send 585, where the
        deployment allows 430.
        """
        deployments = ((20, 129), (92, 247), (195, 430))
        for processes, slack in deployments:
            allowed = retries.FleetBudget(ratio=0.2, slack=slack)
            sent = requests = 0
            for _ in range(processes):
                budgets = retries.PoolBudgets(
                    allowed=allowed, fleet_size=iter([processes] * 10).__next__
                )
                for _ in range(10):
                    requests += 1
                    budget = budgets.request_arrived(ids.PoolName('failing'))
                    while budget.spend():
                        sent += 1
            with self.subTest(processes=processes):
                self.assertLessEqual(sent, requests * 0.2 + slack)
                self.assertGreater(sent, 0)

    @given(st.integers(min_value=0, max_value=2000))
    def test_budget_limits_the_share_of_retries(self, requests: int) -> None:
        """Guards against retries that increase an overload."""
        budget = retries.RetryBudget(tokens=10.0)
        spent = 0
        for _ in range(requests):
            budget.earn(0.1)
            while budget.spend():
                spent += 1
        self.assertLessEqual(spent, 10 + requests * 0.1)

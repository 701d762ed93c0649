"""Tests of the tool that checks the load policy with real processes."""

from datetime import timedelta
import random
import unittest

from bench import overload_load
from bench import overload_report
from goldcresthaven import aio
from goldcresthaven import clock
from goldcresthaven import members
from goldcresthaven import outcomes
from standins import lease_check
from standins import server
from standins import upstream
from tools import entry_harness
from tools import http_client


def result(
    *, policy: str = 'ours', peak: int = 2, unknown: int = 0
) -> overload_report.Result:
    tally = overload_load.Tally(sent=2, unknown=unknown)
    return overload_report.Result(
        policy=policy,
        phase='half load',
        run='real',
        tallies={outcomes.Rank.URGENT: tally},
        goodput=0.0,
        messages=0.0,
        peak=peak,
    )


class ViolationsTest(unittest.TestCase):
    """Guards against a run that exits with 0 despite a broken guarantee."""

    def test_only_the_products_policy_counts(self) -> None:
        """The naive policy is run only for comparison and may violate them."""
        cases = (
            (result(), 0),
            (result(peak=3), 1),
            (result(unknown=1), 1),
            (result(peak=3, unknown=1), 2),
            (result(peak=3, unknown=1, policy='naive'), 0),
        )
        for case, count in cases:
            with self.subTest(case):
                found = overload_report.violations([case], slots=2)
                self.assertEqual(len(found), count)


class ArrivalsTest(unittest.TestCase):
    """Guards against rates that differ from those of the simulated run."""

    def test_arrivals_have_the_given_rates(self) -> None:
        rates = {outcomes.Rank.URGENT: 100.0, outcomes.Rank.BULK: 10.0}
        found = overload_load.arrivals(
            rates, timedelta(seconds=100), random.Random(1)
        )
        for rank, rate in rates.items():
            count = sum(arrival.rank is rank for arrival in found)
            self.assertAlmostEqual(count / 100, rate, delta=rate * 0.1)
        self.assertEqual(found, sorted(found, key=lambda arrival: arrival.at))


class UpstreamTest(unittest.TestCase):
    """Guards against a stand-in that hides requests beyond its slot limit."""

    def peaks(self, queue_limit: int) -> tuple[list[int], list[int]]:
        """Send three concurrent requests; return their statuses and the peaks.

        The peak is read twice, because reading resets it.
        """
        statuses: list[int] = []
        peaks: list[int] = []

        async def main() -> None:
            endpoint = upstream.Upstream(
                cfg=upstream.Settings(
                    name='free-a',
                    slots=1,
                    service_ms=100.0,
                    queue_limit=queue_limit,
                ),
                lease=lease_check.make(fenced=True, clock=clock.SystemClock()),
            )
            listener = await entry_harness.listen(
                server.serve_with(endpoint.handle)
            )
            address = members.Address(
                host=entry_harness.HOST, port=listener.port
            )

            async def send_request() -> None:
                response = await http_client.fetch(address, 'GET', '/x')
                statuses.append(response.status)

            tasks = [await aio.spawn(send_request()) for _ in range(3)]
            for task in tasks:
                await task.join()
            for _ in range(2):
                response = await http_client.fetch(address, 'GET', '/peak')
                peaks.append(response.json()['peak'])

        entry_harness.run(main)
        return sorted(statuses), peaks

    def test_waiting_requests_count(self) -> None:
        self.assertEqual(self.peaks(2), ([200, 200, 200], [3, 0]))

    def test_refused_requests_count(self) -> None:
        self.assertEqual(self.peaks(0), ([200, 503, 503], [2, 0]))


if __name__ == '__main__':
    unittest.main()

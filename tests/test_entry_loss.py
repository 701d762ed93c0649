"""Process tests of killed and restarted entry processes."""

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import members
from tests import fleet_case
from tools import entry_harness
from tools import http_client

PAYMENT = (('idempotency-key', 'k'),)


async def book(entry: members.Address) -> str | None:
    """Send the payment; return its outcome, None if the connection broke."""
    try:
        response = await http_client.fetch(
            entry, 'POST', '/book/', headers=PAYMENT
        )
    except errors.Error:
        return None
    return response.outcome


class EntryLossTest(fleet_case.FleetCase):
    def test_payment_repeated_through_another_entry(self) -> None:
        """Guards against a second run after the first entry was killed.

        The caller repeats the payment through another entry.
        """
        self.start_upstream('free-a')
        self.start_upstream('stored-a', service_ms=400)
        first = self.start_entry('first')
        second = self.start_entry('second')

        async def test() -> None:
            await self.publish()
            for entry in (first, second):
                await self.until_served(fleet_case.address_of(entry))
            paying = await aio.spawn(book(fleet_case.address_of(first)))

            async def running() -> bool:
                return await self.in_use('stored-a') == 1

            await self.until(running)
            first.send(fleet_case.KILL)
            self.assertIsNone(await paying.join())
            again = await book(fleet_case.address_of(second))
            self.assertEqual('unknown', again)

            async def ran() -> bool:
                return await self.executions('stored-a', 'k') == 1

            await self.until(ran)
            self.assertEqual(
                'unknown', await book(fleet_case.address_of(second))
            )
            self.assertEqual(1, await self.executions('stored-a', 'k'))

        entry_harness.run(test)

    def test_start_without_store_is_not_ready(self) -> None:
        """Guards against serving without a configuration after a restart."""
        self.start_upstream('free-a')

        async def outage() -> None:
            await self.publish()
            await self.set_faults(down=True)

        entry_harness.run(outage)
        entry = fleet_case.address_of(self.start_entry())

        async def test() -> None:
            ready = await http_client.fetch(entry, 'GET', '/ready')
            self.assertEqual(503, ready.status)
            response = await http_client.fetch(entry, 'GET', '/free/x')
            self.assertEqual('not-ready', response.reason)
            await self.set_faults()
            # The platform lists the new VM only from here on.
            await self.store_member_list()
            await self.until_served(entry)

        entry_harness.run(test)

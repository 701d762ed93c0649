"""Tests of the store client and the records with the stand-in store."""

from datetime import timedelta
import json
import unittest

from goldcresthaven import clock
from goldcresthaven import dedup
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import routing
from goldcresthaven import store_client
from goldcresthaven import tables
from standins import platform
from standins import server
from tools import entry_harness

SHORT = timedelta(milliseconds=300)


async def start() -> tuple[platform.Platform, store_client.StoreClient]:
    service = platform.Platform()
    listener = await entry_harness.listen(server.serve_with(service.handle))
    client = store_client.StoreClient(
        address=members.Address(host=entry_harness.HOST, port=listener.port),
        clock=clock.SystemClock(),
        request_timeout=SHORT,
    )
    return service, client


def insert(txn: str, key: str = 'k') -> tables.Transaction:
    return tables.Transaction(
        txn=ids.TxnId(txn),
        conditions=(tables.VersionIs(table='log', key=key, version=0),),
        writes=(tables.Write(table='log', key=key, value={'txn': txn}),),
    )


def routed_request(key: str, entry: str = 'r') -> routing.Routed:
    return routing.Routed(
        request_id=ids.RequestId(entry),
        pool=entry_harness.make_document().pool(entry_harness.STORED),
        rank=outcomes.Rank.URGENT,
        idempotent=False,
        deadline=timedelta(hours=1),
        arrived=timedelta(),
        idempotency_key=key,
    )


class StoreClientTest(unittest.TestCase):
    def test_lost_answers_are_resolved(self) -> None:
        """Guards against a write reported as refused though applied."""

        async def test() -> None:
            service, client = await start()
            service.faults.lose_answers = 2
            result = await client.transact(insert('mine'))
            self.assertEqual(tables.Committed(), result)
            row = await client.row('log', 'k')
            assert row is not None
            self.assertEqual((1, 'mine'), (row.version, row.value['txn']))
            await client.close()

        entry_harness.run(test)

    def test_lost_answer_of_a_refused_write(self) -> None:
        """Guards against mistaking another writer's row for one's own."""

        async def test() -> None:
            service, client = await start()
            await client.transact(insert('other'))
            service.faults.lose_answers = 1
            result = await client.transact(insert('mine'))
            self.assertIsInstance(result, tables.Conflict)
            await client.close()

        entry_harness.run(test)

    def test_missing_response_is_ambiguous(self) -> None:
        """Guards against reporting a result without a response."""

        async def test() -> None:
            service, client = await start()
            service.faults.down = True
            result = await client.transact(insert('mine'), timeout=SHORT)
            self.assertIsInstance(result, tables.Ambiguous)
            with self.assertRaises(errors.StoreUnavailable):
                await client.rows('log')
            service.faults.down = False
            service.faults.delay_ms = 2000
            result = await client.transact(insert('mine'), timeout=SHORT)
            self.assertIsInstance(result, tables.Ambiguous)
            await client.close()

        entry_harness.run(test)

    def test_rows_objects_and_members(self) -> None:
        """Guards against rows out of order and members decoded wrongly."""

        async def test() -> None:
            service, client = await start()
            for key in ('b', 'a', 'c'):
                await client.transact(insert('t' + key, key))
            rows = await client.rows('log', after='a', limit=5)
            self.assertEqual(['b', 'c'], [r.key for r in rows])
            self.assertIsNone(await client.row('log', 'z'))
            await client.put_object('o', b'bytes')
            self.assertEqual(b'bytes', await client.get_object('o'))
            self.assertIsNone(await client.get_object('p'))
            service.members = json.loads(
                '[{"vm": "u", "zone": "a", "role": "upstream", "pool": "p",'
                ' "state": "leaving", "address": "127.0.0.1:9"}]'
            )
            (member,) = await client.members()
            self.assertIs(members.MemberState.LEAVING, member.state)
            self.assertEqual(9, member.address.port)
            await client.close()

        entry_harness.run(test)

    def test_repeated_transaction_without_txn_in_the_row(self) -> None:
        """Guards against guessing after another writer changed the row."""
        condition = tables.VersionIs(table='claims', key='d', version=3)
        write = tables.Write(table='claims', key='d', value={'epoch': 4})
        txn = tables.Transaction(
            txn=ids.TxnId('t'), conditions=(condition,), writes=(write,)
        )
        cases = (
            ({'epoch': 4}, tables.Committed),
            ({'epoch': 5}, tables.Ambiguous),
        )
        for value, expected in cases:
            row = tables.Row(key='d', version=4, value=value)
            result = store_client.resolve(txn, tables.Conflict(rows=(row,)))
            self.assertIsInstance(result, expected)


class DedupRecordsTest(unittest.TestCase):
    def test_second_entry_is_refused(self) -> None:
        """Guards against a payment sent by two entry processes."""

        async def test() -> None:
            service, client = await start()
            first = dedup.Records(store=client)
            second = dedup.Records(store=client)
            service.faults.lose_answers = 1
            mine = await first.reserve(routed_request('k'), timeout=SHORT)
            assert isinstance(mine, dedup.Reserved)
            other = await second.reserve(routed_request('k'), timeout=SHORT)
            assert isinstance(other, outcomes.Unknown)
            self.assertEqual(409, other.status)
            await first.release(mine, timeout=SHORT)
            again = await second.reserve(routed_request('k'), timeout=SHORT)
            self.assertIsInstance(again, dedup.Reserved)
            # The first entry's release must not free the second's record.
            await first.release(mine, timeout=SHORT)
            third = await first.reserve(routed_request('k'), timeout=SHORT)
            self.assertIsInstance(third, outcomes.Unknown)
            await client.close()

        entry_harness.run(test)

    def test_no_record_means_not_sent(self) -> None:
        """Guards against sending a payment while the store is down."""

        async def test() -> None:
            service, client = await start()
            service.faults.down = True
            upstream = await entry_harness.start_scripted(
                entry_harness.answering(entry_harness.ok_response(b''))
            )
            path = await entry_harness.start(
                {'stored-a': upstream.address}, store=client
            )
            key = (('idempotency-key', 'k'),)
            response = await path.fetch('POST', '/book/', headers=key)
            self.assertEqual('not-run', response.outcome)
            self.assertEqual('store-unavailable', response.reason)
            self.assertEqual(0, upstream.connections)
            await client.close()

        entry_harness.run(test)

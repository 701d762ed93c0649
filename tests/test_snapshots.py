"""Tests of the transfer of snapshots between peers."""

import dataclasses
from datetime import timedelta
from typing import Any
import unittest

from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import messages
from goldcresthaven import snapshots

MAP = messages.LogName.MAP
SIZE = 3 * messages.MAX_SNAPSHOT_CHUNK_BYTES + 5


class SnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.source = snapshots.SnapshotSource(MAP, self.clock)
        self.transfer = snapshots.SnapshotTransfer(MAP)

    def request_chunk(self, version: int) -> messages.SnapshotReply:
        return self.source.answer(
            self.transfer.query(), version, lambda: bytes([version]) * SIZE
        )

    def test_sender_applies_newer_versions(self) -> None:
        """Guards against chunks of two versions in one snapshot."""
        version = 7
        while not self.transfer.complete:
            self.transfer.add(self.request_chunk(version))
            version += 1
            self.clock.advance(timedelta(seconds=20))
        self.assertEqual(self.transfer.version, 7)
        self.assertEqual(self.transfer.data, b'\x07' * SIZE)

    def test_expired_transfer_must_restart(self) -> None:
        """Guards against an endless transfer and a snapshot kept in memory."""
        self.transfer.add(self.request_chunk(7))
        self.clock.advance(timedelta(seconds=31))
        self.source.release()
        with self.assertRaises(errors.ProtocolError):
            self.transfer.add(self.request_chunk(8))
        self.transfer = snapshots.SnapshotTransfer(MAP)
        self.transfer.add(self.request_chunk(8))
        self.assertEqual(self.transfer.version, 8)

    def test_invalid_chunks_are_refused(self) -> None:
        """Guards against accepting invalid or oversized chunks."""
        self.transfer.add(self.request_chunk(7))
        good = self.request_chunk(7)
        cases: list[dict[str, Any]] = [
            {'log': messages.LogName.CONFIG},
            {'version': 8},
            {'total': SIZE + 1},
            {'offset': 0},
            {'data': b''},
        ]
        for changes in cases:
            with self.subTest(changes):
                with self.assertRaises(errors.ProtocolError):
                    self.transfer.add(dataclasses.replace(good, **changes))
        other = snapshots.SnapshotTransfer(MAP)
        huge = snapshots.MAX_SNAPSHOT_BYTES + 1
        with self.assertRaises(errors.ProtocolError):
            other.add(dataclasses.replace(good, offset=0, total=huge))
        self.transfer.add(good)

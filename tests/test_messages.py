"""Tests of the peer messages and their decoding."""

import dataclasses
from datetime import timedelta
import enum
import tracemalloc
import types
import typing
from typing import Annotated
from typing import Any
import unittest

import cbor2
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from goldcresthaven import codec
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import slots


def values(hint: Any, limit: Any = None) -> st.SearchStrategy[Any]:
    """Return a strategy for the valid values of a field."""
    if typing.get_origin(hint) is Annotated:
        hint, limit = typing.get_args(hint)[0], typing.get_args(hint)[-1]
    hint = getattr(hint, '__supertype__', hint)
    origin = typing.get_origin(hint)
    args = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        return st.none() | values(args[0], limit)
    if origin is tuple:
        items = st.lists(
            values(args[0]),
            min_size=limit.low,
            max_size=min(limit.high, 3),
        )
        return items.map(tuple)
    if hint is int:
        return st.integers(limit.low, limit.high)
    if hint is timedelta:
        microseconds = st.integers(limit.low, limit.high)
        return microseconds.map(lambda us: us * timedelta(microseconds=1))
    if hint is str:
        return st.text(max_size=limit.high // 4)
    if hint is bytes:
        return st.binary(max_size=min(limit.high, 500))
    if hint is bool:
        return st.booleans()
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    return objects(hint)


def objects(cls: Any) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = {f.name: values(hints[f.name]) for f in dataclasses.fields(cls)}
    return st.builds(cls, **fields)


FRAMES = st.builds(
    messages.Frame,
    message=st.one_of([objects(cls) for cls in messages.TAGS.values()]),
    kind=st.just(messages.Kind.REQUEST),
    number=st.integers(1, codec.MAX_U63),
)
EXAMPLE = messages.Frame(
    message=slots.SlotReturn(
        entry=ids.VmId('e1'),
        boot=ids.BootId('b1'),
        domain=ids.DomainId('a/0'),
        epoch=ids.Epoch(4),
        seq=7,
        leases=(5,),
        wants=(
            slots.Want(
                upstream=ids.UpstreamId('u1'),
                queued=(3, 0, 0),
                slack=(timedelta(seconds=1), timedelta(), timedelta()),
            ),
        ),
    )
)


class MessagesTest(unittest.TestCase):
    @settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
    @given(FRAMES)
    def test_round_trip(self, frame: messages.Frame) -> None:
        """Guards against a field that is lost or changed on the wire."""
        self.assertEqual(messages.decode(messages.encode(frame)), frame)

    @given(st.binary(max_size=300))
    def test_random_bytes_give_protocol_error(self, data: bytes) -> None:
        """Guards against input that raises any other exception."""
        with self.assertRaises(errors.ProtocolError):
            messages.decode(data)

    @settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
    @given(FRAMES, st.data())
    def test_changed_bytes(self, frame: messages.Frame, data: Any) -> None:
        """Guards against corrupted bytes that decode to an invalid message."""
        raw = bytearray(messages.encode(frame))
        for _ in range(data.draw(st.integers(1, 3))):
            raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(
                st.integers(0, 255)
            )
        try:
            decoded = messages.decode(bytes(raw))
        except errors.ProtocolError:
            return
        # An accepted message is within its limits: encode checks them too.
        self.assertEqual(messages.decode(messages.encode(decoded)), decoded)

    def test_invalid_values(self) -> None:
        """Guards against wrong types, ranges, sizes and CBOR features."""
        good = cbor2.loads(messages.encode(EXAMPLE))
        want = ['u1', [3, 0, 0], [1_000_000, 0, 0]]
        self.assertEqual(
            good, [12, 'm', 0, 'e1', 'b1', 'a/0', 4, 7, [5], [want]]
        )
        log_query = [6, 'm', 0]
        cases: dict[str, Any] = {
            'unknown tag': [99, *good[1:]],
            'boolean tag': [True, *good[1:]],
            'unknown kind': [12, 'x', *good[2:]],
            'number without request': [12, 'm', 1, *good[3:]],
            'request without number': [12, 'q', 0, *good[3:]],
            'missing field': good[:4],
            'negative': [*good[:7], -1, *good[8:]],
            'too large': [*good[:7], 1 << 63, *good[8:]],
            'float': [*good[:7], 3.0, *good[8:]],
            'unknown log': [*log_query, 'best'],
            'unhashable log': [*log_query, []],
            'long name': [*good[:3], 'e' * 129, *good[4:]],
            'too many items': [*good[:9], [want] * 4097],
            'too few ranks': [*good[:9], [['u1', [3, 0], want[2]]]],
            'long duration': [*good[:9], [[*want[:2], [1 << 53, 0, 0]]]],
            'surrogate': [21, 'r', 1, cbor2.CBORTag(35, 'a*')],
            'map': {1: 2},
            'deep': [10, 'm', 0, [[[[[[[[[[]]]]]]]]]]],
        }
        for name, value in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.ProtocolError):
                    messages.decode(cbor2.dumps(value))

    def test_error_names_the_field(self) -> None:
        """Guards against an error that does not identify the field."""
        good = cbor2.loads(messages.encode(EXAMPLE))
        bad = cbor2.dumps([*good[:9], [['u1', [-1, 0, 0], [0, 0, 0]]]])
        with self.assertRaisesRegex(
            errors.ProtocolError, r'SlotReturn\.wants\.queued: not in 0'
        ):
            messages.decode(bad)

    def test_adjacent_releases(self) -> None:
        """Guards against a rolling upgrade that breaks communication."""
        *known, wants = cbor2.loads(messages.encode(EXAMPLE))
        older = cbor2.dumps(known)
        newer = cbor2.dumps([*known, [wants[0] + ['new']], 'new'])
        self.assertEqual(messages.decode(newer), EXAMPLE)
        message = messages.decode(older).message
        assert isinstance(message, slots.SlotReturn)
        self.assertEqual(message.leases, (5,))
        self.assertEqual(message.wants, ())

    def test_oversized_message(self) -> None:
        """Guards against messages above 1 MiB, sent or received."""
        entry = messages.LogEntry(
            version=1,
            txn=typing.cast(Any, 't'),
            value=bytes(messages.MAX_ENTRY_BYTES),
        )
        part = messages.LogRange(
            log=messages.LogName.MAP, head=1, entries=(entry,) * 3
        )
        changes = messages.Changes(ranges=(part,))
        with self.assertRaises(errors.ProtocolError):
            messages.encode(messages.Frame(message=changes))
        with self.assertRaises(errors.ProtocolError):
            messages.decode(bytes(messages.MAX_MESSAGE_BYTES + 1))

    def test_claimed_sizes_are_not_allocated(self) -> None:
        """Guards against allocating the size that a short frame claims."""
        huge = b'\x00\x00\x00\xff\xff\xff\xff\xff'
        blobs = [bytes([kind]) + huge for kind in (0x9B, 0x5B, 0x7B, 0xBB)]
        blobs.append(b'\x9f' * 1000)
        tracemalloc.start()
        try:
            for blob in blobs:
                with self.assertRaises(errors.ProtocolError):
                    messages.decode(blob)
            self.assertLess(tracemalloc.get_traced_memory()[1], 4 << 20)
        finally:
            tracemalloc.stop()

"""CBOR encoding of data classes, with every decoded value checked.

A data class is encoded as the array of its fields in order. Types, ranges
and sizes come from the annotations, so that adding a field is one line::

    count: Annotated[int, Range(0, 1024)] = 0

New fields are added at the end and have a default. Missing values are
replaced by defaults and surplus values are ignored, so that processes of
adjacent releases can communicate during a rolling upgrade.

The same checks run when encoding, so that a value which a peer would reject
already fails at the sender.
"""

from collections.abc import Callable
import dataclasses
from dataclasses import dataclass
from datetime import timedelta
import enum
import functools
import io
import types
import typing
from typing import Annotated
from typing import Any
from typing import TypeVar

import cbor2

from goldcresthaven import errors

T = TypeVar('T')

# The deepest message has five levels: frame, list of ranges, range, list of
# entries, entry. The rest is a reserve for later messages.
MAX_DEPTH = 8


@dataclass(frozen=True)
class Range:
    """Smallest and largest value of an integer."""

    low: int
    high: int


@dataclass(frozen=True)
class Size:
    """Largest size: UTF-8 bytes of text, bytes, or items of a tuple.

    ``low`` is the smallest number of items of a tuple.
    """

    high: int
    low: int = 0


_MICROSECOND = timedelta(microseconds=1)

MAX_U63 = (1 << 63) - 1
MAX_U64 = (1 << 64) - 1

Count = Annotated[int, Range(0, 1_000_000)]
U63 = Annotated[int, Range(0, MAX_U63)]
U64 = Annotated[int, Range(0, MAX_U64)]

_Convert = Callable[[Any], Any]


@dataclass(frozen=True)
class _Codec:
    """Conversions to and from CBOR values; both raise _Invalid."""

    dump: _Convert
    load: _Convert


class _Invalid(Exception):
    """A value has the wrong type or exceeds its limits.

    The path to the value is built only while the exception propagates:
    building it for each value made a slot message 15% slower.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem
        self.path = ''

    def at(self, name: str) -> '_Invalid':
        self.path = f'.{name}{self.path}'
        return self


class _RejectTags(dict[int, Any]):
    """Mapping of tag decoders that rejects all CBOR tags.

    The library's built-in decoders would otherwise compile regular
    expressions or build large numbers from a peer's bytes.
    """

    def __missing__(self, tag: int) -> Any:
        raise ValueError(f'tag {tag} is not allowed')


def _protocol_error(path: str, problem: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        f'{path}: {problem}',
        remedy='check that both processes run adjacent releases',
    )


def loads(data: bytes, *, max_size: int) -> Any:
    """Return the decoded value of a CBOR item.

    Raises ProtocolError when the item is malformed, larger than
    ``max_size`` bytes, nested deeper than MAX_DEPTH, followed by other
    bytes, or contains tags or indefinite lengths.
    """
    if len(data) > max_size:
        raise _protocol_error(
            'message', f'{len(data)} bytes exceed {max_size}'
        )
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(
            stream,
            semantic_decoders=_RejectTags(),
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, RecursionError) as exc:
        raise _protocol_error('message', f'malformed CBOR: {exc}') from exc
    if stream.tell() != len(data):
        raise _protocol_error('message', 'bytes follow the CBOR item')
    return value


def dumps(value: Any) -> bytes:
    return cbor2.dumps(value)


def dump(value: Any) -> list[Any]:
    """Return a data class as a list that ``load`` accepts.

    Raises ProtocolError when a field exceeds its limits.
    """
    cls: Any = type(value)
    try:
        return typing.cast(list[Any], _for_class(cls).dump(value))
    except _Invalid as exc:
        raise _protocol_error(cls.__name__ + exc.path, exc.problem) from None


def load(cls: type[T], value: Any) -> T:
    """Return the data class built from a decoded list.

    Raises ProtocolError when a type, range or size is wrong.
    """
    codec = _for_class(typing.cast(Any, cls))
    try:
        return typing.cast(T, codec.load(value))
    except _Invalid as exc:
        raise _protocol_error(cls.__name__ + exc.path, exc.problem) from None


@functools.cache
def _for_class(cls: Any) -> _Codec:
    hints = typing.get_type_hints(cls, include_extras=True)
    fields = [
        (f.name, _for_hint(hints[f.name]), _is_required(f))
        for f in dataclasses.fields(cls)
    ]

    def dump_object(value: Any) -> Any:
        if type(value) is not cls:
            raise _Invalid(f'not a {cls.__name__}')
        items = []
        for name, codec, _ in fields:
            try:
                items.append(codec.dump(getattr(value, name)))
            except _Invalid as exc:
                raise exc.at(name) from None
        return items

    def load_object(value: Any) -> Any:
        if type(value) is not list:
            raise _Invalid('not an array')
        args = {}
        for pos, (name, codec, required) in enumerate(fields):
            if pos < len(value):
                try:
                    args[name] = codec.load(value[pos])
                except _Invalid as exc:
                    raise exc.at(name) from None
            elif required:
                raise _Invalid(f'{name} is missing')
        return cls(**args)

    return _Codec(dump=dump_object, load=load_object)


def _is_required(field: 'dataclasses.Field[Any]') -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _for_hint(hint: Any) -> _Codec:
    limits: tuple[Any, ...] = ()
    if typing.get_origin(hint) is Annotated:
        hint, *rest = typing.get_args(hint)
        limits = tuple(rest)
    hint = getattr(hint, '__supertype__', hint)
    limit = limits[-1] if limits else None
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _for_optional(hint, limit)
    if origin is tuple:
        return _for_tuple(_for_hint(typing.get_args(hint)[0]), limit)
    if hint is int:
        return _for_int(limit)
    if hint is timedelta:
        return _for_timedelta(limit)
    if hint in (str, bytes):
        return _for_bytes(hint, limit)
    if hint is bool:
        return _for_bool()
    if issubclass(hint, enum.Enum):
        return _for_enum(hint)
    return _for_class(hint)


def _for_int(limit: Any) -> _Codec:
    assert isinstance(limit, Range), 'an integer field needs a Range'

    def check(value: Any) -> Any:
        if type(value) is not int:
            raise _Invalid('not an integer')
        if not limit.low <= value <= limit.high:
            raise _Invalid(f'not in {limit.low}..{limit.high}')
        return value

    return _Codec(dump=check, load=check)


def _for_timedelta(limit: Any) -> _Codec:
    """Encode a duration in microseconds, rounded down."""
    number = _for_int(limit)

    def dump_duration(value: Any) -> Any:
        if type(value) is not timedelta:
            raise _Invalid('not a duration')
        return number.dump(value // _MICROSECOND)

    def load_duration(value: Any) -> Any:
        return number.load(value) * _MICROSECOND

    return _Codec(dump=dump_duration, load=load_duration)


def _for_bytes(kind: Any, limit: Any) -> _Codec:
    assert isinstance(limit, Size), 'a text or bytes field needs a Size'

    def check(value: Any) -> Any:
        if type(value) is not kind:
            raise _Invalid(f'not {kind.__name__}')
        try:
            size = len(value.encode() if kind is str else value)
        except UnicodeEncodeError as exc:
            raise _Invalid('not valid Unicode') from exc
        if size > limit.high:
            raise _Invalid(f'{size} bytes exceed {limit.high}')
        return value

    return _Codec(dump=check, load=check)


def _for_bool() -> _Codec:
    def check(value: Any) -> Any:
        if type(value) is not bool:
            raise _Invalid('not a boolean')
        return value

    return _Codec(dump=check, load=check)


def _for_enum(kind: Any) -> _Codec:
    members = {member.value: member for member in kind}

    def dump_member(value: Any) -> Any:
        if not isinstance(value, kind):
            raise _Invalid(f'not a {kind.__name__}')
        return value.value

    def load_member(value: Any) -> Any:
        if type(value) is not str or value not in members:
            raise _Invalid(f'not a {kind.__name__}')
        return members[value]

    return _Codec(dump=dump_member, load=load_member)


def _for_optional(hint: Any, limit: Any) -> _Codec:
    inner, *others = [
        arg for arg in typing.get_args(hint) if arg is not types.NoneType
    ]
    assert not others, 'a union field may only add None to one type'
    codec = _for_hint(Annotated[inner, limit] if limit else inner)

    def dump_value(value: Any) -> Any:
        return None if value is None else codec.dump(value)

    def load_value(value: Any) -> Any:
        return None if value is None else codec.load(value)

    return _Codec(dump=dump_value, load=load_value)


def _for_tuple(item: _Codec, limit: Any) -> _Codec:
    assert isinstance(limit, Size), 'a tuple field needs a Size'

    def check(value: Any, kind: Any) -> None:
        if type(value) is not kind:
            raise _Invalid('not an array')
        if len(value) > limit.high:
            raise _Invalid(f'{len(value)} items exceed {limit.high}')
        if len(value) < limit.low:
            raise _Invalid(f'fewer than {limit.low} items')

    def dump_items(value: Any) -> Any:
        check(value, tuple)
        return [item.dump(v) for v in value]

    def load_items(value: Any) -> Any:
        check(value, list)
        return tuple(item.load(v) for v in value)

    return _Codec(dump=dump_items, load=load_items)

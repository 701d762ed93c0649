"""Writes eliot messages as JSON lines, without blocking.

Each line has a message or action type and only the fields in LOGGED_FIELDS,
so that secrets and bodies are not logged by accident. The number of lines per
type and second is limited; the next line of a type says how many were
suppressed. If the reader of the output stops reading, lines are dropped
instead of blocking the process.

Drivers call eliot directly::

    with eliot.start_action(action_type='request', request=request_id):
        eliot.log_message(message_type='retry', reason='not-owner')
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
import json
import select
from typing import Any

import eliot

from goldcresthaven import clock

LINES_PER_SECOND = 20.0
BURST = 50.0
# Types are constants in the code. The limit bounds memory if one is built
# from data by mistake.
MAX_TYPES = 256
MAX_VALUE_BYTES = 512
# A pipe that polls as writable accepts this many bytes without blocking.
MAX_LINE_BYTES = select.PIPE_BUF
_SECOND = timedelta(seconds=1)
OTHER = 'other'
SUPPRESSED = 'log:suppressed'

ELIOT_FIELDS = frozenset(
    {
        'action_status',
        'action_type',
        'exception',
        'message_type',
        'reason',
        'task_level',
        'task_uuid',
        'timestamp',
    }
)
LOGGED_FIELDS = ELIOT_FIELDS | {
    'attempt',
    'boot',
    'bytes',
    'change',
    'config_age_ms',
    'config_version',
    'count',
    'detail',
    'domain',
    'elapsed_ms',
    'epoch',
    'key_hash',
    'map_version',
    'operator',
    'outcome',
    'peer',
    'pool',
    'preset',
    'rank',
    'remedy',
    'request',
    'shard',
    'source',
    'state',
    'status',
    'suppressed',
    'upstream',
    'vm',
    'zone',
}
"""Fields that may be logged; others are counted and left out."""

Sink = Callable[[bytes], bool]


class DescriptorSink:
    """Writes whole lines to a file descriptor without blocking.

    The descriptor may be a pipe that nobody reads. It is polled before each
    write instead of being set to non-blocking, because other programs may
    share it.
    """

    def __init__(self, fd: int, write: Callable[[int, bytes], int]) -> None:
        self._fd = fd
        self._write = write
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def __call__(self, line: bytes) -> bool:
        """Return whether the line was written."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        try:
            self._write(self._fd, line)
        except OSError:
            return False
        return True


@dataclass
class _Bucket:
    tokens: float
    refilled_at: timedelta
    suppressed: int = 0


class LogWriter:
    """An eliot destination with allowed fields and a rate limit per type."""

    def __init__(
        self,
        *,
        sink: Sink,
        time: clock.Clock,
        context: Mapping[str, str] | None = None,
        rate: float = LINES_PER_SECOND,
        burst: float = BURST,
    ) -> None:
        self._sink = sink
        self._clock = time
        self._context = dict(context or {})
        self._rate = rate
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}
        self.suppressed = 0
        self.dropped = 0

    def install(self) -> None:
        """Register as a destination for all eliot messages."""
        eliot.add_destinations(self)

    def remove(self) -> None:
        eliot.remove_destination(self)

    def __call__(self, message: Mapping[str, Any]) -> None:
        bucket = self._bucket(_type_of(message))
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            self.suppressed += 1
            return
        bucket.tokens -= 1.0
        extra = {}
        if bucket.suppressed:
            extra['suppressed'] = bucket.suppressed
            bucket.suppressed = 0
        self._write({**message, **self._context, **extra})

    def flush(self) -> None:
        """Report the suppressed lines of types that log nothing at present.

        Called about every 10 s.
        """
        for name, bucket in self._buckets.items():
            if bucket.suppressed:
                self._write(
                    {
                        'message_type': SUPPRESSED,
                        'detail': name,
                        'suppressed': bucket.suppressed,
                        **self._context,
                    }
                )
                bucket.suppressed = 0

    def _bucket(self, name: str) -> _Bucket:
        if name not in self._buckets and len(self._buckets) >= MAX_TYPES:
            name = OTHER
        now = self._clock.elapsed()
        bucket = self._buckets.setdefault(
            name, _Bucket(tokens=self._burst, refilled_at=now)
        )
        gained = (now - bucket.refilled_at) / _SECOND * self._rate
        bucket.tokens = min(bucket.tokens + gained, self._burst)
        bucket.refilled_at = now
        return bucket

    def _write(self, message: Mapping[str, Any]) -> None:
        fields = {
            name: _to_json_value(value)
            for name, value in message.items()
            if name in LOGGED_FIELDS
        }
        hidden = len(message) - len(fields)
        if hidden:
            fields['hidden_fields'] = hidden
        line = _to_line(fields)
        if len(line) > MAX_LINE_BYTES:
            line = _shortened_line(message)
        if not self._sink(line):
            self.dropped += 1


def _shortened_line(message: Mapping[str, Any]) -> bytes:
    # Escaping turns one byte into at most 6, so this line always fits.
    fields = {
        'message_type': _truncate(_type_of(message), 64),
        'task_uuid': _truncate(str(message.get('task_uuid', '')), 64),
        'shortened': True,
    }
    return _to_line(fields)


def _type_of(message: Mapping[str, Any]) -> str:
    name = message.get('message_type')
    if name is None:
        action = message.get('action_type', OTHER)
        name = f'{action}:{message.get("action_status", "")}'
    return str(name)


def _to_json_value(value: Any) -> Any:
    match value:
        case None | bool() | int() | float():
            return value
        case list() | tuple():
            return [_to_json_value(item) for item in value[:16]]
        case bytes():
            return f'{len(value)} bytes'
        case str():
            return _truncate(value)
    return _truncate(str(value))


def _truncate(text: str, size: int = MAX_VALUE_BYTES) -> str:
    data = text.encode(errors='replace')
    if len(data) <= size:
        return text
    return data[:size].decode(errors='ignore') + '...'


def _to_line(fields: Mapping[str, Any]) -> bytes:
    return json.dumps(fields, sort_keys=True).encode() + b'\n'

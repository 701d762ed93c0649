"""The platform's headers; implements ``request_meta.Headers``."""

from datetime import timedelta
import math

from goldcresthaven import decision_log
from goldcresthaven import http_head
from goldcresthaven import ids
from goldcresthaven import request_meta
from goldcresthaven.platform import names

_MS = timedelta(milliseconds=1)
_MAX_KEY = 65535
# A longer number is not a plausible duration in milliseconds.
_MAX_DIGITS = 9
_REPLACED = frozenset({names.DEADLINE, names.EXPECT_INSTANCE})
# Also sent by another upstream that has taken over the address, so that its
# headers say nothing about the upstream that the request was meant for.
_NOT_RUN_STATUS = 421
_PAUSE_STATUS = 503
# Longer pauses are cut to this. An upstream that is to stay without work for
# longer leaves the registry.
MAX_PAUSE = timedelta(minutes=5)


class PlatformHeaders:
    def from_caller(
        self, headers: http_head.Headers
    ) -> request_meta.CallerMeta:
        found = dict(headers)
        deadline = _number(found.get(names.DEADLINE))
        key = _number(found.get(names.SHARD_KEY))
        return request_meta.CallerMeta(
            request_id=ids.RequestId(found.get(names.ATTEMPT_ID, '')),
            remaining=None if deadline is None else deadline * _MS,
            key=None if key is None or key > _MAX_KEY else key,
        )

    def to_upstream(
        self,
        headers: http_head.Headers,
        *,
        remaining: timedelta,
        upstream: ids.UpstreamId,
    ) -> http_head.Headers:
        kept = tuple((n, v) for n, v in headers if n not in _REPLACED)
        return (
            *kept,
            (names.DEADLINE, str(max(1, int(remaining / _MS)))),
            (names.EXPECT_INSTANCE, upstream),
        )

    def from_upstream(
        self, head: http_head.ResponseHead
    ) -> request_meta.UpstreamMeta:
        found = dict(head.headers)
        echoed = found.get(names.ATTEMPT_ID)
        return request_meta.UpstreamMeta(
            request_id=None if echoed is None else ids.RequestId(echoed),
            signed=names.SERVER_STAMP in found,
            not_run=(
                names.NOT_EXECUTED in found or head.status == _NOT_RUN_STATUS
            ),
            load=_load(found.get(names.INSTANCE_LOAD)),
            leaving=announces_leaving(head),
            pause=(
                _pause(found.get(names.RETRY_AFTER))
                if head.status == _PAUSE_STATUS
                else None
            ),
        )

    def for_local_response(
        self, request_id: ids.RequestId
    ) -> http_head.Headers:
        return ((names.ATTEMPT_ID, request_id),) if request_id else ()

    def is_ready_probe(self, target: str) -> bool:
        return target.partition('?')[0] == names.READY_PATH


def announces_leaving(head: http_head.ResponseHead) -> bool:
    """Return whether a response says that its upstream leaves."""
    value = http_head.find(head.headers, names.SERVER_LEAVING) or ''
    return value.strip() == '1' and head.status != _NOT_RUN_STATUS


def _number(text: str | None) -> int | None:
    if text is None or len(text) > _MAX_DIGITS:
        return None
    if not (text.isascii() and text.isdecimal()):
        return None
    return int(text)


def _pause(text: str | None) -> timedelta | None:
    """Decode the seconds of a pause; None without a usable value.

    A value beyond ``MAX_PAUSE`` is cut to it, so that a faulty one cannot
    take an upstream out of use for long.
    """
    if text is None:
        return None
    text = text.strip()
    digits = sum(char.isdigit() for char in text)
    try:
        seconds = float(text) if text.isascii() and '_' not in text else -1.0
    except ValueError:
        seconds = -1.0
    if digits > _MAX_DIGITS or not math.isfinite(seconds) or seconds < 0:
        decision_log.note('pause-unreadable', detail=text[:64])
        return None
    if seconds > MAX_PAUSE.total_seconds():
        decision_log.note('pause-too-long', detail=text[:64])
        return MAX_PAUSE
    return timedelta(seconds=seconds)


def _load(text: str | None) -> request_meta.Load | None:
    parts = [_number(part.strip()) for part in (text or '').split(',')]
    match parts:
        case [int(running), int(waiting), int(slots)] if slots > 0:
            return request_meta.Load(
                running=running, waiting=waiting, slots=slots
            )
    return None

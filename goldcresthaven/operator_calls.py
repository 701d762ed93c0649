"""Parses and validates query parameters and bodies of operator calls.

All functions raise CallRefused when the call is not valid.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
import urllib.parse

import pydantic

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import problems

MAX_BODY_BYTES = 512 << 10

_MAX_QUERY_PARAMETERS = 16


class ChangeCall(presets.Model):
    """Body of a configuration change.

    ``change`` is decoded by ``config_changes.decode``. ``expected`` is the
    version that the change was made for, 0 for the first configuration.
    With None the change is made to the version that the process has
    applied.
    """

    change: dict[str, Any]
    expected: int | None = None
    dry_run: bool = False


class DrainCall(presets.Model):
    """Body of a drain or undrain; ``expected`` as in ``ChangeCall``."""

    upstream: ids.UpstreamId = pydantic.Field(min_length=1)
    expected: int | None = None
    dry_run: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One call; ``author`` is the verified operator, empty for a read."""

    query: Mapping[str, str]
    body: bytes
    author: str


def parse_query(query: str) -> dict[str, str]:
    """Return the parameters of a raw query string."""
    try:
        pairs = urllib.parse.parse_qsl(
            query,
            strict_parsing=bool(query),
            max_num_fields=_MAX_QUERY_PARAMETERS,
            errors='strict',
        )
    except ValueError as exc:
        raise errors.CallRefused(
            f'the query is malformed: {exc}',
            remedy='write it as name=value pairs joined by &',
            status=400,
        ) from None
    if len(dict(pairs)) != len(pairs):
        raise errors.CallRefused(
            'a parameter of the query is repeated',
            remedy='give it once',
            status=400,
        )
    return dict(pairs)


def check_body_size(body: bytes) -> bytes:
    if len(body) > MAX_BODY_BYTES:
        raise errors.CallRefused(
            f'the body is longer than {MAX_BODY_BYTES >> 10} KiB',
            remedy='split the change',
            status=400,
        )
    return body


def require_parameter(call: Call, name: str) -> str:
    value = call.query.get(name)
    if not value:
        raise errors.CallRefused(
            f'the parameter {name!r} is missing',
            remedy=f'add {name}=...',
            status=400,
        )
    return value


def validate(view_type: type[views.T], data: Any) -> views.T:
    try:
        return pydantic.TypeAdapter(view_type).validate_python(data)
    except pydantic.ValidationError as exc:
        raise _malformed(exc) from None


def parse_body(model: type[views.T], body: bytes) -> views.T:
    try:
        return pydantic.TypeAdapter(model).validate_json(body)
    except pydantic.ValidationError as exc:
        raise _malformed(exc) from None


def _malformed(exc: pydantic.ValidationError) -> errors.Error:
    first = problems.from_validation(exc)[0]
    return errors.CallRefused(
        f'{first.field}: {first.problem}', remedy=first.remedy, status=400
    )

"""Problems in a configuration, each with its path and its remedy.

The path consists of the mapping keys and list indices that lead to the
value. ``settings`` adds the line number for settings files.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import pydantic

Path = tuple[str | int, ...]

_REMEDIES = {
    'missing': 'add it',
    'extra_forbidden': 'remove it or correct its name',
    'bool_type': 'write true or false',
    'bool_parsing': 'write true or false',
    'int_type': 'write a whole number',
    'int_parsing': 'write a whole number',
    'int_from_float': 'write a whole number',
    'float_type': 'write a number',
    'float_parsing': 'write a number',
    'finite_number': 'write a finite number',
    'string_type': 'write text; put it in quotes if it looks like a number',
    'tuple_type': 'write a list',
    'model_type': 'write a mapping of keys to values',
    'model_attributes_type': 'write a mapping of keys to values',
    'datetime_parsing': 'write a time such as 2026-01-31T10:00:00Z',
    'datetime_from_date_parsing': 'write a time such as 2026-01-31T10:00:00Z',
    'timezone_aware': 'add the time zone, for example Z for UTC',
    'dataclass_type': 'write a mapping of keys to values',
}
_REMEDY_SEPARATOR = '; '


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A problem in a configuration, its path and its remedy."""

    path: Path
    problem: str
    remedy: str

    @property
    def field(self) -> str:
        """The path as shown in messages, as in ``presets[0].name``."""
        return field_name(self.path)

    def __str__(self) -> str:
        return f'{self.field}: {self.problem}; {self.remedy}'


def field_name(path: Path) -> str:
    """Format a path; the empty path is ``(document)``."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or '(document)'


def from_validation(exc: pydantic.ValidationError) -> tuple[Problem, ...]:
    """Convert the errors reported by pydantic."""
    return tuple(_convert(error) for error in exc.errors())


def _convert(error: Any) -> Problem:
    kind = str(error['type'])
    context = error.get('ctx', {})
    path = tuple(error['loc'])
    message = str(error['msg'])
    if kind == 'value_error':
        problem, _, remedy = str(context['error']).partition(_REMEDY_SEPARATOR)
        return Problem(path=path, problem=problem, remedy=remedy)
    if kind in ('extra_forbidden', 'unexpected_keyword_argument'):
        kind = 'extra_forbidden'
        message = 'this key is unknown'
    if kind == 'missing':
        message = 'this key is required and missing'
    return Problem(path=path, problem=message, remedy=_remedy(kind, context))


def _remedy(kind: str, context: dict[str, Any]) -> str:
    if kind == 'enum':
        return f'use one of {context["expected"]}'
    if kind == 'greater_than_equal':
        return f'use {context["ge"]} or more'
    if kind == 'less_than_equal':
        return f'use {context["le"]} or less'
    if kind == 'union_tag_invalid':
        return f'use one of {context["expected_tags"]}'
    return _REMEDIES.get(kind, 'correct the value')


def as_text(found: Iterable[Problem]) -> str:
    """Return the problems as text, one per line."""
    return '\n'.join(str(p) for p in found)


def format_choices(names: Sequence[str]) -> str:
    """Format names for a message, as in ``a, b or c``."""
    ordered = sorted(names)
    if not ordered:
        return '(none)'
    if len(ordered) == 1:
        return ordered[0]
    return ', '.join(ordered[:-1]) + ' or ' + ordered[-1]

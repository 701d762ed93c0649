"""Changes of the configuration and the differences that they make.

A change is a small data class. It is applied to the newest document, the
result is checked, and both are stored as one row of the configuration
log. The ``kind`` of each class names it in JSON.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated
from typing import Any
from typing import ClassVar
from typing import Literal

import pydantic

from goldcresthaven import config_checks
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import problems

_STRICT = pydantic.ConfigDict(extra='forbid')
_NONE = 'none'


@dataclass(frozen=True, kw_only=True, slots=True)
class CreatePreset:
    """Add a preset; it is not in force until an operator switches to it."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: presets.Preset
    kind: Literal['create-preset'] = 'create-preset'


@dataclass(frozen=True, kw_only=True, slots=True)
class SetField:
    """Set one field of a preset, for example ``urgent.target`` to 400ms.

    ``value`` is written as in a settings file; ``none`` clears a field
    that may be empty.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: ids.PresetName
    field: str
    value: str
    kind: Literal['set-field'] = 'set-field'


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchPreset:
    """Put another preset in force."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: ids.PresetName
    kind: Literal['switch-preset'] = 'switch-preset'


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Give an upstream no new work."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    upstream: ids.UpstreamId
    kind: Literal['drain'] = 'drain'


@dataclass(frozen=True, kw_only=True, slots=True)
class Undrain:
    """Let an upstream receive work again."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    upstream: ids.UpstreamId
    kind: Literal['undrain'] = 'undrain'


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmLostZone:
    """Record that every VM of a zone is switched off."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    zone: ids.ZoneId
    kind: Literal['confirm-lost-zone'] = 'confirm-lost-zone'


@dataclass(frozen=True, kw_only=True, slots=True)
class RestoreZone:
    """Take back the record that a zone is lost."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    zone: ids.ZoneId
    kind: Literal['restore-zone'] = 'restore-zone'


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceDocument:
    """Replace pools, routes and presets, or write the first document.

    Upstreams that are drained and zones that are lost stay so: they are
    the state of operations, which a deployment file does not know.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    document: presets.Document
    kind: Literal['replace-document'] = 'replace-document'


Change = (
    CreatePreset
    | SetField
    | SwitchPreset
    | Drain
    | Undrain
    | ConfirmLostZone
    | RestoreZone
    | ReplaceDocument
)

_ADAPTER: pydantic.TypeAdapter[Change] = pydantic.TypeAdapter(
    Annotated[Change, pydantic.Field(discriminator='kind')]
)


def encode(change: Change) -> dict[str, Any]:
    """Return a change as JSON data."""
    return dict(_ADAPTER.dump_python(change, mode='json'))


def decode(data: Any) -> Change:
    """Return the change that JSON data describes.

    Raises ChangeError when the data is not a change.
    """
    try:
        return _ADAPTER.validate_python(data)
    except pydantic.ValidationError as exc:
        raise _refused(problems.from_validation(exc)) from None


def describe(change: Change) -> str:
    """Return one line that says what a change does."""
    match change:
        case CreatePreset():
            return f'create preset {change.preset.name}'
        case SetField():
            return f'set {change.preset}.{change.field} to {change.value}'
        case SwitchPreset():
            return f'switch to preset {change.preset}'
        case Drain():
            return f'drain {change.upstream}'
        case Undrain():
            return f'undrain {change.upstream}'
        case ConfirmLostZone():
            return f'confirm that zone {change.zone} is lost'
        case RestoreZone():
            return f'restore zone {change.zone}'
        case ReplaceDocument():
            return 'replace pools, routes and presets'


def apply(
    document: presets.Document | None, change: Change
) -> presets.Document:
    """Return the document after a change.

    ``document`` is None before the first document. Raises ChangeError when
    the change does not fit the document, has no effect or makes a document
    that contradicts itself.
    """
    if document is None:
        after = _first(change)
    else:
        after = _next(document, change)
    found = config_checks.check(after)
    if found:
        raise _refused(found)
    if after == document:
        raise errors.ChangeError(
            f'the change has no effect: {describe(change)}',
            remedy='nothing needs to be done',
        )
    return after


def _first(change: Change) -> presets.Document:
    if isinstance(change, ReplaceDocument):
        return change.document
    raise errors.ChangeError(
        'there is no configuration yet',
        remedy='write it with `goldcresthaven init FILE`',
    )


def _next(document: presets.Document, change: Change) -> presets.Document:
    match change:
        case CreatePreset():
            return _create(document, change.preset)
        case SetField():
            return _set_field(document, change)
        case SwitchPreset():
            _require_preset(document, change.preset)
            return _updated(document, in_force=change.preset)
        case Drain():
            drained = _with(document.drained, change.upstream)
            return _updated(document, drained=drained)
        case Undrain():
            left = _without(document.drained, change.upstream, 'drained')
            return _updated(document, drained=left)
        case ConfirmLostZone():
            zones = _with(document.lost_zones, change.zone)
            return _updated(document, lost_zones=zones)
        case RestoreZone():
            zones = _without(document.lost_zones, change.zone, 'lost')
            return _updated(document, lost_zones=zones)
        case ReplaceDocument():
            return _replace(document, change.document)


def _updated(document: presets.Document, **fields: Any) -> presets.Document:
    values = {name: getattr(document, name) for name in _fields(document)}
    return presets.Document(**{**values, **fields})


def _fields(model: presets.Model) -> list[str]:
    return list(type(model).model_fields)


def _with(names: tuple[Any, ...], name: Any) -> tuple[Any, ...]:
    if not name:
        raise errors.ChangeError('the name is empty', remedy='give a name')
    return tuple(sorted({*names, name}))


def _without(names: tuple[Any, ...], name: Any, state: str) -> tuple[Any, ...]:
    if name not in names:
        raise errors.ChangeError(
            f'{name!r} is not {state}',
            remedy=f'use {problems.format_choices(names)}',
        )
    return tuple(n for n in names if n != name)


def _require_preset(
    document: presets.Document, name: ids.PresetName
) -> presets.Preset:
    for preset in document.presets:
        if preset.name == name:
            return preset
    names = [p.name for p in document.presets]
    raise errors.ChangeError(
        f'the preset {name!r} does not exist',
        remedy=f'use {problems.format_choices(names)}',
    )


def _create(
    document: presets.Document, preset: presets.Preset
) -> presets.Document:
    if any(p.name == preset.name for p in document.presets):
        raise errors.ChangeError(
            f'the preset {preset.name!r} exists already',
            remedy='choose another name or set its fields',
        )
    return _updated(document, presets=(*document.presets, preset))


def _set_field(
    document: presets.Document, change: SetField
) -> presets.Document:
    old = _require_preset(document, change.preset)
    new = set_preset_field(old, change.field, change.value)
    changed = tuple(new if p is old else p for p in document.presets)
    return _updated(document, presets=changed)


def set_preset_field(
    preset: presets.Preset, field: str, value: str
) -> presets.Preset:
    """Return a preset with one field set, as in ``urgent.target``.

    Raises ChangeError when there is no such field or the value is wrong.
    """
    data = preset.model_dump(mode='json')
    known = dict(_flatten(data))
    if field not in known or field == 'name':
        names = [name for name in known if name != 'name']
        raise errors.ChangeError(
            f'a preset has no field {field!r} that can be set',
            remedy=f'use {problems.format_choices(names)}',
        )
    holder: Any = data
    *parents, last = field.split('.')
    for parent in parents:
        holder = holder[parent]
    holder[last] = None if value == _NONE else value
    try:
        return presets.Preset.model_validate(data)
    except pydantic.ValidationError as exc:
        raise _refused(problems.from_validation(exc)) from None


def _replace(old: presets.Document, new: presets.Document) -> presets.Document:
    drained = tuple(sorted({*old.drained, *new.drained}))
    lost_zones = tuple(sorted({*old.lost_zones, *new.lost_zones}))
    return _updated(new, drained=drained, lost_zones=lost_zones)


def _refused(found: tuple[problems.Problem, ...]) -> errors.ChangeError:
    first, *others = found
    text = f'{first.field}: {first.problem}'
    remedy = first.remedy
    if others:
        remedy += '\n' + problems.as_text(others)
    return errors.ChangeError(text, remedy=remedy)


def difference(
    old: presets.Document | None, new: presets.Document
) -> tuple[str, ...]:
    """Return the differences as lines that start with +, - or ~.

    Example::

        ~ presets.peak.urgent.target: 500ms -> 400ms
    """
    before = _facts(old) if old is not None else {}
    after = _facts(new)
    lines = []
    for name in [*after, *(n for n in before if n not in after)]:
        if name not in before:
            lines.append(f'+ {name}: {after[name]}')
        elif name not in after:
            lines.append(f'- {name}: {before[name]}')
        elif before[name] != after[name]:
            lines.append(f'~ {name}: {before[name]} -> {after[name]}')
    return tuple(lines)


def _facts(document: presets.Document) -> dict[str, str]:
    data = document.model_dump(mode='json')
    named: dict[str, Any] = {
        'in_force': data['in_force'],
        'presets': {p['name']: _unnamed(p) for p in data['presets']},
        'pools': {p['name']: _unnamed(p) for p in data['pools']},
        'routes': {
            f'[{i}]': {'match': _match(r), **_unmatched(r)}
            for i, r in enumerate(data['routes'])
        },
        'drained': {name: 'yes' for name in data['drained']},
        'lost_zones': {name: 'yes' for name in data['lost_zones']},
    }
    return {name: _text(value) for name, value in _flatten(named)}


def _unnamed(item: dict[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in item.items() if k != 'name'}


def _unmatched(route: dict[str, Any]) -> dict[str, Any]:
    hidden = ('prefix', 'methods')
    return {k: v for k, v in route.items() if k not in hidden}


def _match(route: dict[str, Any]) -> str:
    methods = ','.join(route['methods']) or 'any method'
    return f'{methods} {route["prefix"]}'


def _text(value: Any) -> str:
    match value:
        case None:
            return _NONE
        case bool():
            return str(value).lower()
        case _:
            return str(value)


def _flatten(data: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    for name, value in data.items():
        if isinstance(value, dict):
            for inner, item in _flatten(value):
                yield f'{name}.{inner}', item
        else:
            yield name, value

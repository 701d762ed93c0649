"""Changes to the configuration document, and diffs between documents.

A change is a small data class. It is applied to the newest document, the
resulting document is checked, and both are stored in one row of the
configuration log. The field ``kind`` identifies the class in JSON.
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
    """Add a preset; it has no effect until an operator switches to it."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: presets.Preset
    kind: Literal['create-preset'] = 'create-preset'


@dataclass(frozen=True, kw_only=True, slots=True)
class SetField:
    """Set one field of a preset, for example ``urgent.target`` to 400ms.

    ``value`` has the format of a settings file; ``none`` clears an optional
    field.
    """

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: ids.PresetName
    field: str
    value: str
    kind: Literal['set-field'] = 'set-field'


@dataclass(frozen=True, kw_only=True, slots=True)
class SwitchPreset:
    """Make another preset the active one."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    preset: ids.PresetName
    kind: Literal['switch-preset'] = 'switch-preset'


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Stop sending new work to an upstream."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    upstream: ids.UpstreamId
    kind: Literal['drain'] = 'drain'


@dataclass(frozen=True, kw_only=True, slots=True)
class Undrain:
    """Resume sending new work to an upstream."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    upstream: ids.UpstreamId
    kind: Literal['undrain'] = 'undrain'


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmLostZone:
    """Record the operator's confirmation that all VMs of a zone are off."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    zone: ids.ZoneId
    kind: Literal['confirm-lost-zone'] = 'confirm-lost-zone'


@dataclass(frozen=True, kw_only=True, slots=True)
class RestoreZone:
    """Remove the record that a zone is lost."""

    __pydantic_config__: ClassVar[pydantic.ConfigDict] = _STRICT
    zone: ids.ZoneId
    kind: Literal['restore-zone'] = 'restore-zone'


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceDocument:
    """Replace pools, routes and presets, or write the first document.

    Drained upstreams and lost zones are kept, because they are operational
    state that a deployment file does not contain.
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
        raise _change_error(problems.from_validation(exc)) from None


def describe(change: Change) -> str:
    """Return a one-line description of a change."""
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

    ``document`` is None if there is none yet. Raises ChangeError when the
    change is not applicable to the document, has no effect or leads to an
    inconsistent document.
    """
    if document is None:
        after = _apply_first(change)
    else:
        after = _apply_to(document, change)
    found = config_checks.check(after)
    if found:
        raise _change_error(found)
    if after == document:
        raise errors.ChangeError(
            f'the change has no effect: {describe(change)}',
            remedy='nothing needs to be done',
        )
    return after


def _apply_first(change: Change) -> presets.Document:
    if isinstance(change, ReplaceDocument):
        return change.document
    raise errors.ChangeError(
        'there is no configuration yet',
        remedy='write it with `goldcresthaven init FILE`',
    )


def _apply_to(document: presets.Document, change: Change) -> presets.Document:
    match change:
        case CreatePreset():
            return _create(document, change.preset)
        case SetField():
            return _set_field(document, change)
        case SwitchPreset():
            _require_preset(document, change.preset)
            return _updated(document, in_force=change.preset)
        case Drain():
            drained = _add_name(document.drained, change.upstream)
            return _updated(document, drained=drained)
        case Undrain():
            remaining = _remove_name(
                document.drained, change.upstream, 'drained'
            )
            return _updated(document, drained=remaining)
        case ConfirmLostZone():
            zones = _add_name(document.lost_zones, change.zone)
            return _updated(document, lost_zones=zones)
        case RestoreZone():
            zones = _remove_name(document.lost_zones, change.zone, 'lost')
            return _updated(document, lost_zones=zones)
        case ReplaceDocument():
            return _replace(document, change.document)


def _updated(document: presets.Document, **fields: Any) -> presets.Document:
    values = {name: getattr(document, name) for name in _field_names(document)}
    return presets.Document(**{**values, **fields})


def _field_names(model: presets.Model) -> list[str]:
    return list(type(model).model_fields)


def _add_name(names: tuple[Any, ...], name: Any) -> tuple[Any, ...]:
    if not name:
        raise errors.ChangeError('the name is empty', remedy='give a name')
    return tuple(sorted({*names, name}))


def _remove_name(
    names: tuple[Any, ...], name: Any, state: str
) -> tuple[Any, ...]:
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
    """Return a preset with one field set, for example ``urgent.target``.

    Raises ChangeError when the field does not exist or the value is invalid.
    """
    data = preset.model_dump(mode='json')
    known = dict(_flatten(data))
    if field not in known or field == 'name':
        names = [name for name in known if name != 'name']
        raise errors.ChangeError(
            f'a preset has no field {field!r} that can be set',
            remedy=f'use {problems.format_choices(names)}',
        )
    parent_data: Any = data
    *parents, last = field.split('.')
    for parent in parents:
        parent_data = parent_data[parent]
    parent_data[last] = None if value == _NONE else value
    try:
        return presets.Preset.model_validate(data)
    except pydantic.ValidationError as exc:
        raise _change_error(problems.from_validation(exc)) from None


def _replace(old: presets.Document, new: presets.Document) -> presets.Document:
    drained = tuple(sorted({*old.drained, *new.drained}))
    lost_zones = tuple(sorted({*old.lost_zones, *new.lost_zones}))
    return _updated(new, drained=drained, lost_zones=lost_zones)


def _change_error(found: tuple[problems.Problem, ...]) -> errors.ChangeError:
    first, *others = found
    text = f'{first.field}: {first.problem}'
    remedy = first.remedy
    if others:
        remedy += '\n' + problems.as_text(others)
    return errors.ChangeError(text, remedy=remedy)


def difference(
    old: presets.Document | None, new: presets.Document
) -> tuple[str, ...]:
    """Return the differences as lines that begin with +, - or ~.

    Example::

        ~ presets.peak.urgent.target: 500ms -> 400ms
    """
    before = _flat_values(old) if old is not None else {}
    after = _flat_values(new)
    lines = []
    for name in [*after, *(n for n in before if n not in after)]:
        if name not in before:
            lines.append(f'+ {name}: {after[name]}')
        elif name not in after:
            lines.append(f'- {name}: {before[name]}')
        elif before[name] != after[name]:
            lines.append(f'~ {name}: {before[name]} -> {after[name]}')
    return tuple(lines)


def _flat_values(document: presets.Document) -> dict[str, str]:
    data = document.model_dump(mode='json')
    named: dict[str, Any] = {
        'in_force': data['in_force'],
        'presets': {p['name']: _without_name(p) for p in data['presets']},
        'pools': {p['name']: _without_name(p) for p in data['pools']},
        'routes': {
            f'[{i}]': {'match': _match_text(r), **_without_match(r)}
            for i, r in enumerate(data['routes'])
        },
        'drained': {name: 'yes' for name in data['drained']},
        'lost_zones': {name: 'yes' for name in data['lost_zones']},
    }
    return {name: _value_text(value) for name, value in _flatten(named)}


def _without_name(item: dict[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in item.items() if k != 'name'}


def _without_match(route: dict[str, Any]) -> dict[str, Any]:
    hidden = ('prefix', 'methods')
    return {k: v for k, v in route.items() if k not in hidden}


def _match_text(route: dict[str, Any]) -> str:
    methods = ','.join(route['methods']) or 'any method'
    return f'{methods} {route["prefix"]}'


def _value_text(value: Any) -> str:
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

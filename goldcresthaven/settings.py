"""Parsing and validation of settings files.

A deployment file holds the configuration document, which is stored once
in the platform's table service. A process settings file holds what differs
between VMs. Both are validated as a whole, and all problems of a file are
reported together, each with its line, field and remedy.

Example::

    cfg = settings.parse_process(text, file='/etc/goldcresthaven.yaml')
"""

from collections.abc import Iterable
from datetime import timedelta
import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

from goldcresthaven import config_checks
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import presets
from goldcresthaven import problems
from goldcresthaven import yaml_text

MAX_BYTES = yaml_text.MAX_BYTES

_MAX_PORT = 65_535

ModelT = TypeVar('ModelT', bound=presets.Model)


def parse_address(value: Any) -> members.Address:
    """Parse an address written as an IPv4 address and a port.

    Raises ValueError for a host name, because a process must be able to
    start while name resolution is down.
    """
    return _parse_address(value, lowest_port=1)


def parse_listen_address(value: Any) -> members.Address:
    """Parse an address to listen on.

    With port 0 the operating system chooses a free port. That is meant for
    development only, because other VMs and the balancer must know the port.
    """
    return _parse_address(value, lowest_port=0)


def _parse_address(value: Any, *, lowest_port: int) -> members.Address:
    if isinstance(value, members.Address):
        return value
    host, _, port_text = str(value).rpartition(':')
    try:
        ipaddress.IPv4Address(host)
        port = int(port_text)
    except ValueError:
        port = -1
    if not lowest_port <= port <= _MAX_PORT:
        raise ValueError(
            f'{value!r} is not an address; write an IPv4 address and a port, '
            'as in 10.0.0.5:8080'
        )
    return members.Address(host=host, port=port)


def parse_file(value: Any) -> pathlib.Path:
    """Parse the absolute path of a file.

    Raises ValueError for a relative path, because it would depend on the
    directory in which the process was started.
    """
    if not isinstance(value, (str, pathlib.Path)):
        raise ValueError(f'{value!r} is not a path; write /directory/file')
    path = pathlib.Path(value)
    if not path.is_absolute():
        raise ValueError(
            f'{str(value)!r} is a relative path; write an absolute path'
        )
    return path


Address = Annotated[
    members.Address,
    pydantic.PlainValidator(parse_address),
    pydantic.PlainSerializer(str),
]
ListenAddress = Annotated[
    members.Address,
    pydantic.PlainValidator(parse_listen_address),
    pydantic.PlainSerializer(str),
]
File = Annotated[
    pathlib.Path,
    pydantic.PlainValidator(parse_file),
    pydantic.PlainSerializer(str),
]
ZERO = timedelta()


class Limits(presets.Model):
    """Limits that bound the memory of one process."""

    caller_connections: int = pydantic.Field(default=4096, ge=1)
    header_size: presets.Size = 32 << 10
    recent_requests: int = pydantic.Field(default=4096, ge=0)
    timeline_events: int = pydantic.Field(default=8192, ge=1)
    log_lines_per_second: int = pydantic.Field(default=200, ge=1)


class ProcessSettings(presets.Model):
    """Settings that differ between VMs.

    All other settings are in the configuration document.
    ``balancer_delay`` is the time that the balancer needs, after the
    process reports not ready, until it sends no new connections.
    """

    vm: ids.VmId = pydantic.Field(min_length=1)
    zone: ids.ZoneId = pydantic.Field(min_length=1)
    caller_address: ListenAddress
    peer_address: ListenAddress
    operator_address: ListenAddress
    platform_address: Address
    keys_file: File
    statsd_address: Address | None = None
    balancer_delay: presets.Duration = timedelta(seconds=5)
    limits: Limits = Limits()


def parse_process(text: str, *, file: str) -> ProcessSettings:
    """Parse the settings of one process.

    Raises InvalidSettings with every problem in the text.
    """
    loaded = yaml_text.load(text)
    cfg, found = _validate(ProcessSettings, loaded)
    if cfg is not None:
        found += _process_problems(cfg)
    _raise_if_any(loaded, found, file)
    assert cfg is not None
    return cfg


def parse_deployment(text: str, *, file: str) -> presets.Document:
    """Parse the configuration document in a deployment file.

    Raises InvalidSettings with every problem in the text. Contradictions
    among the valid items are reported even when other items are invalid.
    """
    loaded = yaml_text.load(text)
    document, found = _validate(presets.Document, loaded)
    # The model validator of Document reports bad references without a
    # path. _check_valid_items finds the same problems with their paths.
    found = [p for p in found if p.path]
    found += _check_valid_items(loaded.data)
    _raise_if_any(loaded, found, file)
    assert document is not None
    return document


def is_deployment(text: str) -> bool:
    """Return whether a text looks like a deployment file."""
    data = yaml_text.load(text).data
    return isinstance(data, dict) and ('pools' in data or 'presets' in data)


def _validate(
    model: type[ModelT], loaded: yaml_text.Loaded
) -> tuple[ModelT | None, list[problems.Problem]]:
    if loaded.data is None and loaded.faults:
        return None, []
    try:
        return model.model_validate(loaded.data), []
    except pydantic.ValidationError as exc:
        return None, list(problems.from_validation(exc))


def _check_valid_items(data: Any) -> tuple[problems.Problem, ...]:
    if not isinstance(data, dict):
        if data is None:
            return ()
        problem = 'the file does not contain a mapping of keys to values'
        remedy = 'write a mapping with pools, routes, presets and in_force'
        return (problems.Problem(path=(), problem=problem, remedy=remedy),)
    pools = _valid_items(presets.Pool, data.get('pools'))
    valid_presets = _valid_items(presets.Preset, data.get('presets'))
    in_force = data.get('in_force')
    found = config_checks.check_items(
        pools=pools,
        routes=_valid_items(presets.Route, data.get('routes')),
        presets_=valid_presets,
        in_force=ids.PresetName(in_force)
        if isinstance(in_force, str)
        else None,
    )
    # A reference to an invalid item is not reported as a second problem.
    invalid = _item_names(data.get('pools')) - {p.name for p in pools.values()}
    invalid |= _item_names(data.get('presets')) - {
        p.name for p in valid_presets.values()
    }
    return tuple(p for p in found if not _refers_to(data, p.path, invalid))


def _item_names(items: Any) -> set[str]:
    if not isinstance(items, list):
        return set()
    names = [i.get('name') for i in items if isinstance(i, dict)]
    return {name for name in names if isinstance(name, str)}


def _refers_to(data: Any, path: problems.Path, names: set[str]) -> bool:
    if path == ('in_force',):
        return data['in_force'] in names
    if path[0] == 'routes' and path[-1] == 'pool':
        return data['routes'][path[1]]['pool'] in names
    return False


def _valid_items(model: type[ModelT], items: Any) -> dict[int, ModelT]:
    result: dict[int, ModelT] = {}
    if not isinstance(items, list):
        return result
    for i, item in enumerate(items):
        try:
            result[i] = model.model_validate(item)
        except pydantic.ValidationError:
            continue
    return result


def _process_problems(cfg: ProcessSettings) -> list[problems.Problem]:
    found = []
    listening = {
        'caller_address': cfg.caller_address,
        'peer_address': cfg.peer_address,
        'operator_address': cfg.operator_address,
    }
    first_by_port: dict[int, str] = {}
    for name, address in listening.items():
        if address.port == 0:
            continue
        other = first_by_port.setdefault(address.port, name)
        if other != name and _overlap(listening[other], address):
            found.append(
                problems.Problem(
                    path=(name,),
                    problem=f'{address} overlaps with {other}',
                    remedy='use another port',
                )
            )
    for name in ('peer_address', 'platform_address', 'statsd_address'):
        target = getattr(cfg, name)
        if target is not None and _unspecified(target):
            found.append(
                problems.Problem(
                    path=(name,),
                    problem=f'{target} is not an address to connect to',
                    remedy='write the IP address of its network interface',
                )
            )
    return found


def _unspecified(address: members.Address) -> bool:
    return ipaddress.IPv4Address(address.host).is_unspecified


def _overlap(first: members.Address, second: members.Address) -> bool:
    same = first.host == second.host
    return same or _unspecified(first) or _unspecified(second)


def _raise_if_any(
    loaded: yaml_text.Loaded, found: Iterable[problems.Problem], file: str
) -> None:
    # A value that YAML could not read is already reported, and the data has
    # None in its place. Skip the validation error that this causes.
    unreadable = {f.path for f in loaded.faults if f.unreadable}
    faults = {
        errors.Fault(
            file=file,
            line=loaded.line(p.path),
            field=p.field,
            problem=p.problem,
            remedy=p.remedy,
        )
        for p in found
        if p.path not in unreadable
    }
    for fault in loaded.faults:
        faults.add(
            errors.Fault(
                file=file,
                line=fault.line,
                field=problems.field_name(fault.path),
                problem=fault.problem,
                remedy=fault.remedy,
            )
        )
    if faults:
        ordered = sorted(faults, key=lambda f: (f.line, f.field, f.problem))
        raise errors.InvalidSettings(tuple(ordered))

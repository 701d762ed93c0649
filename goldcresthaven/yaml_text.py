"""Parses YAML into plain data with the line of each value.

PyYAML alone accepts duplicate keys, expands aliases without bound and
discards line numbers. This module limits the size of the text, the nesting
depth and the number of values after alias expansion.
"""

from dataclasses import dataclass
from typing import Any

import yaml

from goldcresthaven import problems

MAX_BYTES = 256 << 10
MAX_DEPTH = 16
MAX_VALUES = 20_000

# A value takes about two events: a key and a scalar, or the start and the end
# of a collection.
_MAX_EVENTS = 2 * MAX_VALUES

_TAG = 'tag:yaml.org,2002:'
_SCALARS = frozenset(
    _TAG + name
    for name in ('str', 'int', 'float', 'bool', 'null', 'timestamp', 'merge')
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A problem in the YAML itself; ``line`` counts from 1.

    ``unreadable`` means that the value at ``path`` could not be read.
    """

    path: problems.Path
    line: int
    problem: str
    remedy: str
    unreadable: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Loaded:
    """Plain data with the line of each path.

    ``data`` is None when the text could not be parsed.
    """

    data: Any
    lines: dict[problems.Path, int]
    faults: tuple[Fault, ...] = ()

    def line(self, path: problems.Path) -> int:
        """Return the line of a path or of its closest recorded parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _LimitExceeded(Exception):
    """The text exceeds one of the limits."""

    def __init__(self, problem: str, remedy: str, line: int) -> None:
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy
        self.line = line


def load(text: str) -> Loaded:
    """Parse one YAML document."""
    if len(text.encode(errors='replace')) > MAX_BYTES:
        return _failure(
            f'the text is longer than {MAX_BYTES >> 10} KiB',
            'split it or remove what is not needed',
            1,
        )
    try:
        _check_events(text)
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        return _Builder().build(node)
    except _LimitExceeded as exc:
        return _failure(exc.problem, exc.remedy, exc.line)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line = mark.line + 1 if mark is not None else 1
        problem = f'the YAML is malformed: {exc.problem or exc.context}'
        return _failure(
            problem, 'correct the syntax on or before this line', line
        )
    except yaml.YAMLError as exc:
        problem = f'the YAML is malformed: {exc}'
        return _failure(problem, 'save the file as UTF-8 text', 1)


def _failure(problem: str, remedy: str, line: int) -> Loaded:
    fault = Fault(path=(), line=line, problem=problem, remedy=remedy)
    return Loaded(data=None, lines={(): line}, faults=(fault,))


def _check_events(text: str) -> None:
    """Reject deep nesting before the recursive composer parses it.

    Nesting could exhaust the stack of the composer. The number of events is
    limited too, because the composer is slow.
    """
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=yaml.SafeLoader)):
        if count > _MAX_EVENTS:
            raise _LimitExceeded(
                f'there are more than {MAX_VALUES} values',
                'split the file or remove what is not needed',
                event.start_mark.line + 1 if event.start_mark else 1,
            )
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _LimitExceeded(
                f'the values are nested more than {MAX_DEPTH} levels deep',
                'reduce the nesting',
                event.start_mark.line + 1 if event.start_mark else 1,
            )


class _Builder:
    """Builds plain data from the nodes of one document."""

    def __init__(self) -> None:
        self._lines: dict[problems.Path, int] = {}
        self._faults: list[Fault] = []
        self._values = 0
        self._scalars = yaml.constructor.SafeConstructor()

    def build(self, node: yaml.Node | None) -> Loaded:
        if node is None:
            return _failure('the file is empty', 'write the settings', 1)
        data = self._value(node, ())
        self._lines[()] = 1
        return Loaded(data=data, lines=self._lines, faults=tuple(self._faults))

    def _value(self, node: yaml.Node, path: problems.Path) -> Any:
        line = node.start_mark.line + 1
        self._lines.setdefault(path, line)
        self._values += 1
        if self._values > MAX_VALUES or len(path) > MAX_DEPTH:
            raise _LimitExceeded(
                f'there are more than {MAX_VALUES} values or {MAX_DEPTH} '
                'levels after alias expansion',
                'write out the values or remove the aliases',
                line,
            )
        match node:
            case yaml.MappingNode():
                return self._mapping(node, path)
            case yaml.SequenceNode():
                return [
                    self._value(item, (*path, i))
                    for i, item in enumerate(node.value)
                ]
            case _:
                return self._scalar(node, path)

    def _mapping(
        self, node: yaml.MappingNode, path: problems.Path
    ) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = str(key_node.value)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_fault(path, line, 'a key is not text', 'use a name')
                continue
            if key in result:
                first = self._lines[(*path, key)]
                problem = f'the key is a duplicate of the one on line {first}'
                remedy = 'remove one of them'
                self._add_fault((*path, key), line, problem, remedy)
                continue
            self._lines[(*path, key)] = line
            result[key] = self._value(value_node, (*path, key))
        return result

    def _scalar(self, node: yaml.Node, path: problems.Path) -> Any:
        if node.tag not in _SCALARS:
            self._add_unreadable(path, node, f'the tag {node.tag} is unknown')
            return None
        if node.tag in (_TAG + 'timestamp', _TAG + 'merge'):
            return node.value
        try:
            return self._scalars.construct_object(node)
        except (ValueError, yaml.YAMLError):
            self._add_unreadable(path, node, 'the value cannot be read')
            return None

    def _add_unreadable(
        self, path: problems.Path, node: yaml.Node, problem: str
    ) -> None:
        self._faults.append(
            Fault(
                path=path,
                line=node.start_mark.line + 1,
                problem=problem,
                remedy='remove the tag or put the value in quotes',
                unreadable=True,
            )
        )

    def _add_fault(
        self, path: problems.Path, line: int, problem: str, remedy: str
    ) -> None:
        self._faults.append(
            Fault(path=path, line=line, problem=problem, remedy=remedy)
        )

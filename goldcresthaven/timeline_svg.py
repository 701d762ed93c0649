"""A picture of the timeline: one column per process, time downwards.

Rows are equally high, because a takeover has many events within
milliseconds after minutes of silence; the time stands beside each. A line
leads from a process to the next event of another process that has the
same request, or the same domain and epoch.
"""

from typing import Any
from xml.etree import ElementTree

from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import timeline as timeline_module

# The picture is for a person; more rows cannot be read.
MAX_ROWS = 400

_LEFT = 190
_COLUMN = 300
_ROW = 22
_TOP = 60
_RADIUS = 4
_MAX_LABEL = 44
_TEXT = '#202020'
_FAINT = '#606060'
_ALARM = '#b00020'
_OTHER = '#1f5fa8'
_COLOURS = {
    'claim': '#1b6ca8',
    'epoch': '#1b6ca8',
    'consent': '#1b6ca8',
    'lease': '#4f8a10',
    'move': '#b35900',
    'map': '#777777',
    'config': '#6a3d9a',
    'preset': '#6a3d9a',
    'request': '#222222',
    'store': _ALARM,
    'peer': _ALARM,
    'upstream': _ALARM,
    'overload': _ALARM,
}


def render(timeline: views.Timeline) -> str:
    """Return an SVG document of the newest MAX_ROWS events.

    Processes that did not respond have a column that says so.
    """
    shown = timeline.events[-MAX_ROWS:]
    seen = {event.process for event in timeline.events}
    names = sorted(seen | set(timeline.unreachable))
    columns = {name: i for i, name in enumerate(names)}
    width = _LEFT + _COLUMN * max(len(columns), 1)
    height = _TOP + _ROW * (len(shown) + 1)
    root = _root(width, height)
    if timeline.truncated or len(shown) < len(timeline.events):
        _text(root, 8, 24, 'older events are left out', _ALARM)
    for name in names:
        lost = name in timeline.unreachable
        _draw_column(root, columns[name], name, lost, height)
    _draw_links(root, shown, columns)
    for row, event in enumerate(shown):
        _draw_event(root, row, columns[event.process], event)
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding='unicode') + '\n'


def _root(width: int, height: int) -> ElementTree.Element:
    root = ElementTree.Element(
        'svg',
        xmlns='http://www.w3.org/2000/svg',
        width=str(width),
        height=str(height),
        viewBox=f'0 0 {width} {height}',
    )
    root.set('font-family', 'monospace')
    root.set('font-size', '11')
    _add(root, 'rect', width=width, height=height, fill='#ffffff')
    return root


def _x(column: int) -> int:
    return _LEFT + _COLUMN * column


def _y(row: int) -> int:
    return _TOP + _ROW * row


def _add(
    parent: ElementTree.Element, tag: str, **attributes: Any
) -> ElementTree.Element:
    names = {k.replace('_', '-'): str(v) for k, v in attributes.items()}
    return ElementTree.SubElement(parent, tag, names)


def _text(
    parent: ElementTree.Element, x: int, y: int, text: str, fill: str
) -> None:
    # XML 1.0 has no control characters at all, not even escaped.
    clean = timeline_module.one_line(text)
    _add(parent, 'text', x=x, y=y, fill=fill).text = clean


def _draw_column(
    root: ElementTree.Element, i: int, name: ids.VmId, lost: bool, height: int
) -> None:
    label = f'{name} (no response)' if lost else name
    _text(root, _x(i) - _RADIUS, 44, label, _ALARM if lost else _TEXT)
    _add(
        root,
        'line',
        x1=_x(i),
        y1=50,
        x2=_x(i),
        y2=height,
        stroke=_ALARM if lost else '#c0c0c0',
        stroke_dasharray='4 4' if lost else 'none',
    )


def _draw_event(
    root: ElementTree.Element, row: int, column: int, event: views.Event
) -> None:
    at = event.at.isoformat(sep=' ', timespec='milliseconds')
    text = f'{event.kind} {event.detail}'.strip()
    _text(root, 8, _y(row) + 4, f'{at[:23]}+{event.counter}', _FAINT)
    group = _add(root, 'g')
    title = _add(group, 'title')
    title.text = timeline_module.one_line(f'{at} {event.process} {text}')
    area = event.kind.partition('-')[0]
    fill = _COLOURS.get(area, _OTHER)
    _add(group, 'circle', cx=_x(column), cy=_y(row), r=_RADIUS, fill=fill)
    _text(group, _x(column) + 10, _y(row) + 4, text[:_MAX_LABEL], _TEXT)


def _draw_links(
    root: ElementTree.Element,
    shown: tuple[views.Event, ...],
    columns: dict[ids.VmId, int],
) -> None:
    last: dict[Any, int] = {}
    for row, event in enumerate(shown):
        for cause in _causes(event):
            before = last.get(cause)
            last[cause] = row
            if before is None or shown[before].process == event.process:
                continue
            _add(
                root,
                'line',
                x1=_x(columns[shown[before].process]),
                y1=_y(before),
                x2=_x(columns[event.process]),
                y2=_y(row),
                stroke='#9ab7d3',
            )


def _causes(event: views.Event) -> list[Any]:
    causes: list[Any] = []
    if event.request is not None:
        causes.append(event.request)
    if event.domain is not None and event.epoch is not None:
        causes.append((event.domain, event.epoch))
    return causes

"""Draws the timeline as SVG: one column per process, time downwards.

All rows have the same height and are labelled with the time, because a
failover has many events within milliseconds after minutes without any. A
line connects an event with the next one of the same request, or of the
same domain and epoch, if that is in another process.
"""

from typing import Any
from xml.etree import ElementTree

from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import timeline as timeline_module

# A person cannot read a picture with more rows.
MAX_ROWS = 400

_LEFT_MARGIN = 190
_COLUMN_WIDTH = 300
_ROW_HEIGHT = 22
_TOP_MARGIN = 60
_DOT_RADIUS = 4
_MAX_LABEL_LENGTH = 44
_TEXT_COLOUR = '#202020'
_MUTED_COLOUR = '#606060'
_ALERT_COLOUR = '#b00020'
_DEFAULT_COLOUR = '#1f5fa8'
_CATEGORY_COLOURS = {
    'claim': '#1b6ca8',
    'epoch': '#1b6ca8',
    'consent': '#1b6ca8',
    'lease': '#4f8a10',
    'move': '#b35900',
    'map': '#777777',
    'config': '#6a3d9a',
    'preset': '#6a3d9a',
    'request': '#222222',
    'store': _ALERT_COLOUR,
    'peer': _ALERT_COLOUR,
    'upstream': _ALERT_COLOUR,
    'overload': _ALERT_COLOUR,
}


def render(timeline: views.Timeline) -> str:
    """Return an SVG document of the newest MAX_ROWS events.

    The column of a process that did not respond is marked.
    """
    shown = timeline.events[-MAX_ROWS:]
    processes = {event.process for event in timeline.events}
    names = sorted(processes | set(timeline.unreachable))
    columns = {name: column for column, name in enumerate(names)}
    width = _LEFT_MARGIN + _COLUMN_WIDTH * max(len(columns), 1)
    height = _TOP_MARGIN + _ROW_HEIGHT * (len(shown) + 1)
    root = _make_root(width, height)
    if timeline.truncated or len(shown) < len(timeline.events):
        _draw_text(root, 8, 24, 'older events are left out', _ALERT_COLOUR)
    for name in names:
        unreachable = name in timeline.unreachable
        _draw_column(root, columns[name], name, unreachable, height)
    _draw_links(root, shown, columns)
    for row, event in enumerate(shown):
        _draw_event(root, row, columns[event.process], event)
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding='unicode') + '\n'


def _make_root(width: int, height: int) -> ElementTree.Element:
    root = ElementTree.Element(
        'svg',
        xmlns='http://www.w3.org/2000/svg',
        width=str(width),
        height=str(height),
        viewBox=f'0 0 {width} {height}',
    )
    root.set('font-family', 'monospace')
    root.set('font-size', '11')
    _add_element(root, 'rect', width=width, height=height, fill='#ffffff')
    return root


def _x(column: int) -> int:
    return _LEFT_MARGIN + _COLUMN_WIDTH * column


def _y(row: int) -> int:
    return _TOP_MARGIN + _ROW_HEIGHT * row


def _add_element(
    parent: ElementTree.Element, tag: str, **attributes: Any
) -> ElementTree.Element:
    names = {k.replace('_', '-'): str(v) for k, v in attributes.items()}
    return ElementTree.SubElement(parent, tag, names)


def _draw_text(
    parent: ElementTree.Element, x: int, y: int, text: str, fill: str
) -> None:
    # XML 1.0 does not allow control characters, not even escaped ones.
    clean = timeline_module.to_printable(text)
    _add_element(parent, 'text', x=x, y=y, fill=fill).text = clean


def _draw_column(
    root: ElementTree.Element,
    column: int,
    name: ids.VmId,
    unreachable: bool,
    height: int,
) -> None:
    label = f'{name} (no response)' if unreachable else name
    _draw_text(
        root,
        _x(column) - _DOT_RADIUS,
        44,
        label,
        _ALERT_COLOUR if unreachable else _TEXT_COLOUR,
    )
    _add_element(
        root,
        'line',
        x1=_x(column),
        y1=50,
        x2=_x(column),
        y2=height,
        stroke=_ALERT_COLOUR if unreachable else '#c0c0c0',
        stroke_dasharray='4 4' if unreachable else 'none',
    )


def _draw_event(
    root: ElementTree.Element, row: int, column: int, event: views.Event
) -> None:
    at = event.at.isoformat(sep=' ', timespec='milliseconds')
    text = f'{event.kind} {event.detail}'.strip()
    _draw_text(
        root, 8, _y(row) + 4, f'{at[:23]}+{event.counter}', _MUTED_COLOUR
    )
    group = _add_element(root, 'g')
    title = _add_element(group, 'title')
    title.text = timeline_module.to_printable(f'{at} {event.process} {text}')
    category = event.kind.partition('-')[0]
    fill = _CATEGORY_COLOURS.get(category, _DEFAULT_COLOUR)
    _add_element(
        group, 'circle', cx=_x(column), cy=_y(row), r=_DOT_RADIUS, fill=fill
    )
    _draw_text(
        group,
        _x(column) + 10,
        _y(row) + 4,
        text[:_MAX_LABEL_LENGTH],
        _TEXT_COLOUR,
    )


def _draw_links(
    root: ElementTree.Element,
    shown: tuple[views.Event, ...],
    columns: dict[ids.VmId, int],
) -> None:
    last_row: dict[Any, int] = {}
    for row, event in enumerate(shown):
        for link_key in _link_keys(event):
            previous_row = last_row.get(link_key)
            last_row[link_key] = row
            if (
                previous_row is None
                or shown[previous_row].process == event.process
            ):
                continue
            _add_element(
                root,
                'line',
                x1=_x(columns[shown[previous_row].process]),
                y1=_y(previous_row),
                x2=_x(columns[event.process]),
                y2=_y(row),
                stroke='#9ab7d3',
            )


def _link_keys(event: views.Event) -> list[Any]:
    link_keys: list[Any] = []
    if event.request is not None:
        link_keys.append(event.request)
    if event.domain is not None and event.epoch is not None:
        link_keys.append((event.domain, event.epoch))
    return link_keys

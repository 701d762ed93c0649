"""Drawing of a merged timeline: one row for each process, time to the right.

Equal spacing is used instead of a time scale, because a takeover has many
events within milliseconds after minutes of silence. Each column shows its
time; an arrow leads from a process to the next event of another process
that has the same request, or the same domain and epoch.
"""

from typing import Any
from xml.etree import ElementTree

from goldcresthaven import events
from goldcresthaven import ids
from goldcresthaven import timeline

# The picture is for a person; more columns cannot be read.
MAX_COLUMNS = 400
_LEFT = 150
_TOP = 40
_COLUMN = 46
_ROW = 64
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
    'store': '#c00000',
    'peer': '#c00000',
    'overload': '#c00000',
}


def render_svg(view: timeline.View) -> str:
    """Return an SVG document of the newest MAX_COLUMNS events."""
    shown = view.events[-MAX_COLUMNS:]
    rows = {vm: i for i, vm in enumerate(view.vms)}
    width = _LEFT + _COLUMN * (len(shown) + 1)
    height = _TOP + _ROW * (len(rows) + 1)
    root = ElementTree.Element(
        'svg',
        xmlns='http://www.w3.org/2000/svg',
        width=str(width),
        height=str(height),
        viewBox=f'0 0 {width} {height}',
    )
    root.set('font-family', 'sans-serif')
    root.set('font-size', '10')
    _add(root, 'rect', width=width, height=height, fill='#ffffff')
    for vm, row in rows.items():
        _draw_row(root, vm, row, width, vm in view.unreachable)
    _draw_links(root, shown, rows)
    for column, event in enumerate(shown):
        _draw_event(root, event, _x(column), _y(rows[event.vm]))
    if len(shown) < len(view.events) or view.truncated:
        _text(root, 4, 14, 'older events are left out', '#c00000')
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding='unicode')


def _x(column: int) -> int:
    return _LEFT + _COLUMN * column + _COLUMN // 2


def _y(row: int) -> int:
    return _TOP + _ROW * row + _ROW // 2


def _add(
    parent: ElementTree.Element, tag: str, **attributes: Any
) -> ElementTree.Element:
    names = {k.replace('_', '-'): str(v) for k, v in attributes.items()}
    return ElementTree.SubElement(parent, tag, names)


def _text(
    parent: ElementTree.Element, x: int, y: int, text: str, fill: str
) -> None:
    # XML 1.0 has no control characters at all, not even escaped.
    clean = ''.join(c if c.isprintable() else ' ' for c in text)
    _add(parent, 'text', x=x, y=y, fill=fill).text = clean


def _draw_row(
    root: ElementTree.Element,
    vm: ids.VmId,
    row: int,
    width: int,
    unreachable: bool,
) -> None:
    colour = '#c00000' if unreachable else '#222222'
    _text(root, 4, _y(row) + 4, str(vm)[:22], colour)
    if unreachable:
        _text(root, 4, _y(row) + 16, 'unreachable', colour)
    _add(
        root,
        'line',
        x1=_LEFT,
        x2=width,
        y1=_y(row),
        y2=_y(row),
        stroke='#c00000' if unreachable else '#cccccc',
        stroke_dasharray='4 4' if unreachable else 'none',
    )


def _draw_event(
    root: ElementTree.Element, event: events.Event, x: int, y: int
) -> None:
    group = _add(root, 'g')
    title = ElementTree.SubElement(group, 'title')
    title.text = ''.join(
        c if c.isprintable() else ' ' for c in timeline.describe(event)
    )
    area = event.kind.value.partition('-')[0]
    _add(group, 'circle', cx=x, cy=y, r=5, fill=_COLOURS.get(area, '#777777'))
    _text(group, x - 20, y - 10, event.kind.value[:16], '#222222')
    when = timeline.format_time(event.stamp.wall_ms)[11:23]
    _text(group, x - 20, y + 20, when, '#777777')


def _draw_links(
    root: ElementTree.Element,
    shown: tuple[events.Event, ...],
    rows: dict[ids.VmId, int],
) -> None:
    last: dict[Any, int] = {}
    for column, event in enumerate(shown):
        for cause in _causes(event):
            before = last.get(cause)
            last[cause] = column
            if before is None or shown[before].vm == event.vm:
                continue
            _add(
                root,
                'line',
                x1=_x(before),
                y1=_y(rows[shown[before].vm]),
                x2=_x(column),
                y2=_y(rows[event.vm]),
                stroke='#9ab7d3',
            )


def _causes(event: events.Event) -> list[Any]:
    causes: list[Any] = []
    if event.request_id is not None:
        causes.append(event.request_id)
    if event.domain is not None and event.epoch is not None:
        causes.append((event.domain, event.epoch))
    return causes

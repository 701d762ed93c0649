"""A picture of the timeline: one column per process, time downwards."""

from xml.sax import saxutils

from goldcresthaven import ids
from goldcresthaven import operator_views as views

_LEFT = 190
_COLUMN = 260
_ROW = 22
_TOP = 60
_RADIUS = 4
_MAX_LABEL = 38


def render(timeline: views.Timeline) -> str:
    """Return an SVG document.

    Events keep their causal order, so the rows are equally high and the
    time is written beside each. Processes that did not respond have a
    column that says so.
    """
    seen = {event.process for event in timeline.events}
    columns = sorted(seen | set(timeline.unreachable))
    width = _LEFT + _COLUMN * max(len(columns), 1)
    height = _TOP + _ROW * (len(timeline.events) + 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="monospace" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for i, process in enumerate(columns):
        lost = process in timeline.unreachable
        parts += _column(i, process, lost, height)
    for row, event in enumerate(timeline.events):
        parts += _event(row, columns.index(event.process), event)
    parts.append('</svg>')
    return '\n'.join(parts) + '\n'


def _column(i: int, process: ids.VmId, lost: bool, height: int) -> list[str]:
    x = _LEFT + _COLUMN * i
    name = f'{process} (no response)' if lost else process
    colour = '#b00020' if lost else '#202020'
    dash = ' stroke-dasharray="4 4"' if lost else ''
    return [
        _label(x - _RADIUS, 24, name, colour),
        f'<line x1="{x}" y1="36" x2="{x}" y2="{height}" '
        f'stroke="#c0c0c0"{dash}/>',
    ]


def _event(row: int, column: int, event: views.Event) -> list[str]:
    x = _LEFT + _COLUMN * column
    y = _TOP + _ROW * row
    at = event.at.isoformat(sep=' ', timespec='milliseconds')
    text = f'{event.kind} {event.detail}'.strip()
    full = f'{at} {event.process} {text}'
    return [
        _label(8, y + 4, f'{at[:23]}+{event.counter}', '#606060'),
        f'<circle cx="{x}" cy="{y}" r="{_RADIUS}" fill="#1f5fa8">'
        f'<title>{saxutils.escape(full)}</title></circle>',
        _label(x + 10, y + 4, text[:_MAX_LABEL], '#202020'),
    ]


def _label(x: int, y: int, text: str, colour: str) -> str:
    escaped = saxutils.escape(text)
    return f'<text x="{x}" y="{y}" fill="{colour}">{escaped}</text>'

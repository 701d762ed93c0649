"""Logs decisions through eliot.

Each line contains a decision and the inputs that led to it. ``telemetry``
limits the lines per type and second, and drops lines that cannot be written
to standard output without blocking, so that logging never delays a request.
"""

from typing import Any

import eliot


def note(kind: str, **fields: Any) -> None:
    """Log a decision that changes this process's state or actions.

    ``kind`` is the log type and the names in ``fields`` are log fields.
    """
    eliot.log_message(message_type=kind, **fields)

"""Log lines of decisions, through eliot and a bounded writer.

Each line carries what was decided and the inputs that decided it.
``telemetry`` limits the lines of one type per second and drops lines that
standard output does not take, so that logging never blocks a request.
"""

from typing import Any

import eliot


def note(kind: str, **fields: Any) -> None:
    """Log a decision that changes what this process believes or does."""
    eliot.log_message(message_type=kind, **fields)

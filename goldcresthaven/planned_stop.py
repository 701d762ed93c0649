"""The planned stop of a process, as far as its requests depend on it.

The parts of the request path share this state: each looks at another step of
the stop.
"""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(kw_only=True)
class PlannedStop:
    """How far a stop has got.

    While ``draining``, callers are asked to close their connections. When
    ``closing_when_idle``, idle connections are closed. Requests still in
    progress at ``at`` are cut off.
    """

    draining: bool = False
    at: timedelta | None = None
    closing_when_idle: bool = False

    def can_finish(self, *, latest_end: timedelta, idempotent: bool) -> bool:
        """Return whether a request ends in time if the process is stopping.

        Its upstream may use all of the time until ``latest_end``. At first,
        idempotent requests are passed on all the same: few of them take so
        long, and callers repeat those that are cut off.
        """
        if self.at is None:
            return True
        if idempotent and not self.closing_when_idle:
            return True
        return latest_end <= self.at

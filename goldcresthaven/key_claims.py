"""The claim of a keyed pool: a row that its holder renews.

Whoever reads the row decides by the store's clock whether it is stale.
"""

from dataclasses import dataclass
from datetime import timedelta
import json

from goldcresthaven import decision_log
from goldcresthaven import state_store

RENEW_INTERVAL = timedelta(milliseconds=700)
# Two beats and a slow store's answer.
STALE_TIMEOUT = timedelta(seconds=1.6)
# A holder stops granting this long after its last renewal was sent.
CLAIM_VALIDITY = timedelta(seconds=4)
# A beat is by the holder's idea of the store's clock, which lags by the
# time of an answer, and its call may have been slow.
RENEWAL_TIME_ERROR = timedelta(seconds=1.2)


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The row's value; ``beat`` is the last renewal by the store's clock.

    A holder that gives its claim up writes a beat of zero.
    """

    holder: str
    renewed_at: timedelta

    def encode(self) -> bytes:
        return json.dumps(
            {'holder': self.holder, 'beat': self.renewed_at.total_seconds()}
        ).encode()


def decode(row: state_store.Row | None) -> Claim | None:
    """Decode a claim's row; None if there is none that can be read."""
    if row is None or row.value is None:
        return None
    try:
        document = json.loads(row.value)
        return Claim(
            holder=str(document['holder']),
            renewed_at=timedelta(seconds=document['beat']),
        )
    except (KeyError, OverflowError, TypeError, ValueError):
        decision_log.note('claim-unreadable', detail=row.key)
        return None


def is_stale(claim: Claim | None, reader: str, clock: timedelta) -> bool:
    """Return whether ``reader`` may take a claim over.

    A claim of its own is what an unanswered write of its own has left.
    """
    if claim is None or claim.holder == reader:
        return True
    return clock - claim.renewed_at > STALE_TIMEOUT


def renewal_age(claim: Claim | None, clock: timedelta) -> timedelta:
    """Return how long ago the holder has renewed its claim at least.

    Zero for a claim that was given up: its last renewal is not known.
    """
    if claim is None or not claim.renewed_at:
        return timedelta()
    return max(timedelta(), clock - claim.renewed_at - RENEWAL_TIME_ERROR)

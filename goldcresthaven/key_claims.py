"""The claim of a keyed pool: a lease stored as a row that its holder renews.

Each reader of the row decides by the store's clock whether it is stale.
"""

from dataclasses import dataclass
from datetime import timedelta
import json

from goldcresthaven import decision_log
from goldcresthaven import state_store

RENEW_INTERVAL = timedelta(milliseconds=700)
# Two renewal intervals plus a slow answer of the store.
STALE_TIMEOUT = timedelta(seconds=1.6)
# A holder stops granting when its last renewal was sent this long ago.
CLAIM_VALIDITY = timedelta(seconds=4)
# How often a successor repeats its request to step down.
STEP_DOWN_INTERVAL = timedelta(milliseconds=300)


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The value of a claim's row.

    ``renewed_at`` is the latest possible time of the last renewal on the
    store's clock. A holder that releases its claim writes zero. ``history``
    is the store's history in which it was written, and None if the program
    that wrote it knew none. ``acquired`` is the version with which the
    last holder that may have granted keys in it took the claim over. It is
    zero if no holder has, and of an earlier history while a holder that
    resumed may have had a successor.
    ``proven_at`` is set while the holder waits and grants nothing, because
    the store may have lost a later map. It is the time on the store's clock
    at which all holds under that map have ended.
    """

    holder: str
    renewed_at: timedelta
    history: state_store.History | None = None
    acquired: int = 0
    proven_at: timedelta = timedelta()

    def encode(self) -> bytes:
        return json.dumps(
            {
                'holder': self.holder,
                'beat': self.renewed_at.total_seconds(),
                'history': self.history,
                'acquired': self.acquired,
                'proven': self.proven_at.total_seconds(),
            }
        ).encode()

    def is_current(self, history: state_store.History) -> bool:
        """Return whether no later claim can have been lost by a restore."""
        return self.history is None or self.history == history

    def is_map_proven(self) -> bool:
        """Return whether the holder's map is the newest for certain."""
        if self.history is None:
            return True
        return state_store.history_of(self.acquired) >= self.history


def decode(row: state_store.Row | None) -> Claim | None:
    """Decode a claim's row; None if it is missing or malformed."""
    if row is None or row.value is None:
        return None
    try:
        document = json.loads(row.value)
        return Claim(
            holder=str(document['holder']),
            renewed_at=timedelta(seconds=document['beat']),
            history=document.get('history'),
            acquired=int(document.get('acquired', 0)),
            proven_at=timedelta(seconds=document.get('proven', 0)),
        )
    except (
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        decision_log.note('claim-unreadable', detail=row.key)
        return None


def last_acquisition(claim: Claim | None, row: state_store.Row | None) -> int:
    """Return with which version the last granting holder took the claim.

    ``claim`` is what the row contains, if it was written in the current
    history of the store. The result is 0 if nobody granted keys in it.
    Programs that know no histories do not state the version; it is then at
    most that of the row.
    """
    if claim is not None and claim.history is not None:
        return claim.acquired
    return row.version if row else state_store.ABSENT


def is_stale(claim: Claim | None, reader: str, clock: timedelta) -> bool:
    """Return whether ``reader`` may take over a claim.

    A process that reads its own claim without holding it wrote it without
    receiving the answer, so it may acquire it again.
    """
    if claim is None or claim.holder == reader:
        return True
    return clock - claim.renewed_at > STALE_TIMEOUT


def known_proven_at(
    claim: Claim | None, history: state_store.History
) -> timedelta:
    """Return when a waiting holder would have granted; zero if unknown.

    The time is on the store's clock. Until then nobody grants, so a successor
    need not wait for longer.
    """
    if claim is None or not claim.is_current(history):
        return timedelta()
    return claim.proven_at


def renewal_age(claim: Claim | None, clock: timedelta) -> timedelta:
    """Return the minimum time since the holder last renewed its claim.

    Zero if the claim was released, because its last renewal is not known.
    """
    if claim is None or not claim.renewed_at:
        return timedelta()
    return max(timedelta(), clock - claim.renewed_at)

"""Decides whether the rows of a pool can be older than rows that were lost.

A store that was restored from a copy states a new history. A row from an
earlier history may have had successors that the copy lacks, and a missing
row may have existed.
"""

from datetime import timedelta

from goldcresthaven import key_claims
from goldcresthaven import key_map
from goldcresthaven import state_store

# Without a restore, a store states this history.
INITIAL_HISTORY = state_store.History(1)


class StoreHistory:
    """The store's history as this process has seen it.

    ``seen_at`` is the time since when this process knows of it.
    """

    def __init__(self) -> None:
        self._current: state_store.History | None = None
        self._saw_restore = False
        self.seen_at = timedelta()

    def record(self, history: state_store.History, now: timedelta) -> None:
        """Record since when this process knows of the store's history."""
        if history == self._current:
            return
        self._saw_restore = self._current is not None
        self._current = history
        self.seen_at = now

    def is_claim_proven(
        self, claim: key_claims.Claim | None, history: state_store.History
    ) -> bool:
        """Return whether the store cannot have lost a later claim."""
        if claim is None:
            return not self._may_have_lost_rows(history)
        return claim.is_current(history)

    def is_map_proven(
        self, keys: key_map.KeyMap, history: state_store.History
    ) -> bool:
        """Return whether the store cannot have lost a later map."""
        if keys.version == state_store.ABSENT:
            return not self._may_have_lost_rows(history)
        return keys.is_current(history)

    def _may_have_lost_rows(self, history: state_store.History) -> bool:
        """Return whether a missing row may have been lost by a restore."""
        return self._saw_restore or history > INITIAL_HISTORY

"""Suspicion of watched peers that stop answering.

Only peers whose loss matters to this process are watched: the holders of
claims in its zone. Suspicion starts a takeover; the epochs of claims, not
this module, keep a wrong suspicion harmless.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import clock
from goldcresthaven import ids

INTERVAL = timedelta(milliseconds=250)
# Three heartbeats: one lost or late answer alone is no sign of a failure.
SUSPECT_AFTER = timedelta(milliseconds=750)
# A longer gap between two ticks means that this process was paused.
PAUSE = timedelta(milliseconds=500)


@dataclass(slots=True)
class _Watched:
    answered: timedelta
    send_at: timedelta
    suspected: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Beats:
    """What is due: heartbeats to send and peers newly suspected."""

    send: tuple[ids.VmId, ...] = ()
    suspected: tuple[ids.VmId, ...] = ()


class Watch:
    """The watched peers of one process; ``tick`` runs every 50 ms or so.

    A peer counts from the moment it is watched, so a new one has the full
    time to answer.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._watched: dict[ids.VmId, _Watched] = {}
        self._ticked = time.elapsed()

    def watch(self, vms: Iterable[ids.VmId]) -> None:
        """Replace the set of watched peers."""
        now = self._clock.elapsed()
        self._watched = {
            vm: self._watched.get(vm) or _Watched(answered=now, send_at=now)
            for vm in sorted(set(vms))
        }

    def answered(self, vm: ids.VmId) -> bool:
        """Note an answer or any message; returns whether vm is back."""
        watched = self._watched.get(vm)
        if watched is None:
            return False
        was_suspected = watched.suspected
        watched.answered = self._clock.elapsed()
        watched.suspected = False
        return was_suspected

    def is_suspected(self, vm: ids.VmId) -> bool:
        watched = self._watched.get(vm)
        return watched is not None and watched.suspected

    def silence(self, vm: ids.VmId) -> timedelta:
        """Return how long a watched peer has not answered."""
        watched = self._watched.get(vm)
        if watched is None:
            return timedelta()
        return self._clock.elapsed() - watched.answered

    def tick(self) -> Beats:
        now = self._clock.elapsed()
        if now - self._ticked >= PAUSE:
            self._forgive(now)
        self._ticked = now
        send, suspected = [], []
        for vm, watched in self._watched.items():
            if now >= watched.send_at:
                watched.send_at = now + INTERVAL
                send.append(vm)
            late = now - watched.answered >= SUSPECT_AFTER
            if late and not watched.suspected:
                watched.suspected = True
                suspected.append(vm)
        return Beats(send=tuple(send), suspected=tuple(suspected))

    def _forgive(self, now: timedelta) -> None:
        # Nobody could answer while this process was paused. Without this a
        # process that resumes suspects every peer at once.
        for watched in self._watched.values():
            if not watched.suspected:
                watched.answered = now
                watched.send_at = now

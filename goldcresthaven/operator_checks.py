"""Checks of a change against the current state of the fleet.

They detect mistakes of the operator, such as a mistyped name. Safety does
not depend on them, because the state known to one process may be stale.
"""

from collections.abc import Sequence

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views


def review_drain(upstream: ids.UpstreamId, local: views.Local) -> str:
    """Return a warning when this process has no upstream of this name."""
    if any(u.upstream == upstream for u in local.upstreams):
        return ''
    return f'{local.vm} knows no upstream {upstream!r}; check the name'


def review_lost_zone(
    zone: ids.ZoneId, local: views.Local, peers: Sequence[views.Peer]
) -> str:
    """Return a warning when this process has no VM or upstream of the zone.

    Raises ChangeError when a VM of the zone responds: it is still running,
    so its keys would get a second owner.
    """
    responding = [p.vm for p in peers if p.zone == zone and p.reachable]
    if local.zone == zone:
        responding.append(local.vm)
    if responding:
        raise errors.ChangeError(
            f'{", ".join(sorted(responding))} of {zone} responds, so the '
            'zone is not lost',
            remedy='switch off every VM of the zone first',
        )
    known_zones = {p.zone for p in peers} | {u.zone for u in local.upstreams}
    if zone in known_zones:
        return ''
    return f'{local.vm} knows no VM of the zone {zone!r}; check the name'

"""Checks of a change against what the process sees of the fleet.

They catch a slip of the operator; safety does not rest on them, as the
view of one process may lag.
"""

from collections.abc import Sequence

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views


def review_drain(upstream: ids.UpstreamId, local: views.Local) -> str:
    """Return a warning when no upstream of this name is known."""
    if any(u.upstream == upstream for u in local.upstreams):
        return ''
    return f'{local.vm} knows no upstream {upstream!r}; check the name'


def review_lost_zone(
    zone: ids.ZoneId, local: views.Local, peers: Sequence[views.Peer]
) -> str:
    """Return a warning when the zone is not known.

    Raises ChangeError when a VM of the zone responds: it is not switched
    off, and its keys would get a second owner.
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

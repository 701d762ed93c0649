"""What a gateway process has to know at its start."""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import ids
from goldcresthaven import members


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Settings of one process, given by where it runs.

    ``grace`` is the time between the request to stop and the end of the
    process by force, ``longest_hold`` the longest grant of keys that an
    upstream accepts. ``processor`` is what the VM has in cores, and
    ``link_bytes_per_s`` what its network link carries.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    callers: members.Address
    readiness: members.Address
    peers: members.Address
    store: members.Address
    grace: timedelta
    longest_hold: timedelta
    cpu_cores: float
    link_bytes_per_s: float

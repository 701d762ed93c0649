"""Settings that a gateway process reads at its start."""

from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import change_timing
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import retries


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Settings of one process, which depend on its VM.

    ``grace`` is the time from the stop signal until the process is killed.
    ``longest_hold`` is the longest grant of keys that an upstream accepts.
    ``drain`` is how long an upstream may get requests after it has announced
    that it leaves. ``change_targets`` are how soon a process has to know a
    change.
    ``cpu_cores`` is the VM's CPU capacity in standard cores, and
    ``link_bytes_per_s`` the bandwidth of its network link. ``retry_budget``
    limits the retries of all processes together.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    callers: members.Address
    readiness: members.Address
    peers: members.Address
    store: members.Address
    grace: timedelta
    longest_hold: timedelta
    drain: timedelta
    change_targets: change_timing.Targets
    cpu_cores: float
    link_bytes_per_s: float
    retry_budget: retries.FleetBudget

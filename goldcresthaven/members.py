"""The VMs in the platform's membership list.

The list lags: it may contain VMs that are lost and omit new ones. It is
used only to discover peers, candidates and upstreams. Nothing that protects
exclusive ownership depends on it.
"""

from dataclasses import dataclass
from enum import Enum

from goldcresthaven import ids


class Role(Enum):
    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class MemberState(Enum):
    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address of the form ``host:port``."""
        host, _, port = text.rpartition(':')
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One VM in the membership list.

    ``address`` is the peer address of an entry VM, or the address at which
    an upstream serves requests. ``pool`` is None for entry VMs.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    role: Role
    state: MemberState
    address: Address
    pool: ids.PoolName | None = None

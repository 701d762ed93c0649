"""The VMs that the platform's membership list names.

The list lags: it may name lost VMs and omit new ones. It is used only to
find peers, candidates and upstreams, never for safety.
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
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address written as ``host:port``."""
        host, _, port = text.rpartition(':')
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One VM of the list.

    ``address`` is the peer address of an entry VM and the serving address
    of an upstream. ``pool`` is None for entry VMs.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    role: Role
    state: MemberState
    address: Address
    pool: ids.PoolName | None = None

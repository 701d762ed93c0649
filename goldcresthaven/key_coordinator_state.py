"""State of one process while it holds the claim of a keyed pool."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta

from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_plan
from goldcresthaven import members
from goldcresthaven import registry as registry_module

# Fences that a holder may use before it writes the map again.
FENCE_BLOCK = 10000


@dataclass(kw_only=True)
class Transfer:
    """A move under way; ``freed`` once its source holds the keys no more.

    A move to the same owner gives it a higher fence.
    """

    move: key_plan.Move
    freed: bool = False
    handover: str | None = None


@dataclass(kw_only=True)
class Tenure:
    """One period in which this process holds the claim.

    ``store_clock`` is the store's clock less this process's. ``reserved``
    says that the stored map names this process and leaves fences above
    ``fence``; nothing is granted before. ``announced`` is the version of
    the map that the other processes have been told. ``doubtful`` is set
    while the fate of a write is not known, ``lost`` with the reason when
    the tenure ends.
    """

    address: str
    claim_version: int
    taken_version: int
    renewed: timedelta
    store_clock: timedelta
    keys: key_map.KeyMap
    book: key_grants.HoldBook
    fence: int
    load: key_plan.KeyLoad = field(default_factory=key_plan.KeyLoad)
    transfers: list[Transfer] = field(default_factory=list)
    due: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    renewing: set[key_map.Owner] = field(default_factory=set)
    failing: dict[key_map.Owner, timedelta] = field(default_factory=dict)
    handovers: dict[int, str] = field(default_factory=dict)
    granted: dict[tuple[key_map.Owner, int], key_grants.Connections] = field(
        default_factory=dict
    )
    announced: int = 0
    reserved: bool = False
    doubtful: bool = False
    lost: str | None = None

    def owners(self) -> set[key_map.Owner]:
        return {r.owner for r in self.keys.ranges if r.owner is not None}

    def moving(self) -> list[key_map.KeyRange]:
        return [transfer.move.source for transfer in self.transfers]

    def take_fence(self) -> int:
        self.fence += 1
        return self.fence

    def needs_fences(self) -> bool:
        return self.fence + FENCE_BLOCK // 2 > self.keys.next_fence

    def next_map(self, ready: Sequence[Transfer]) -> key_map.KeyMap:
        """Return the map after the moves that are ready.

        The first map of a tenure only raises the fences of all owners: one
        that accepts its new fence refuses what an earlier holder of the
        claim may still send.
        """
        if self.reserved:
            changes = [self._moved(transfer) for transfer in ready]
        else:
            changes = self._raised()
        for change in changes:
            self.book.created(change)
        return self.keys.replace(
            changes,
            next_fence=self.fence + FENCE_BLOCK,
            coordinator=self.address,
        )

    def adopt(self, keys: key_map.KeyMap) -> list[Transfer]:
        """Take a stored map over; returns the moves that it completes."""
        self.keys = keys
        self.reserved = (
            keys.coordinator == self.address and keys.next_fence > self.fence
        )
        done = [
            transfer
            for transfer in self.transfers
            if transfer.freed
            and keys.find(transfer.move.source.first).fence
            > transfer.move.source.fence
            and keys.find(transfer.move.source.first).owner
            == transfer.move.target
        ]
        for transfer in done:
            self.transfers.remove(transfer)
            self.due.pop(transfer.move.target, None)
        return done

    def _moved(self, transfer: Transfer) -> key_map.KeyRange:
        source = transfer.move.source
        target = transfer.move.target
        fence = self.take_fence()
        if source.owner == target:
            self.book.raised(target, source.fence, fence)
        else:
            self.book.moved(fence)
        if transfer.handover is not None:
            self.handovers[fence] = transfer.handover
        return key_map.KeyRange(
            first=source.first, last=source.last, owner=target, fence=fence
        )

    def _raised(self) -> list[key_map.KeyRange]:
        """Return all owned ranges under new fences, neighbours joined."""
        ranges: list[key_map.KeyRange] = []
        for held in self.keys.ranges:
            if held.owner is None:
                continue
            last = ranges[-1] if ranges else None
            adjacent = last is not None and last.last + 1 == held.first
            if last is not None and adjacent and last.owner == held.owner:
                ranges[-1] = last.piece(last.first, held.last)
                continue
            ranges.append(
                key_map.KeyRange(
                    first=held.first,
                    last=held.last,
                    owner=held.owner,
                    fence=self.take_fence(),
                )
            )
        return ranges


class OwnerView:
    """What the registry says of the owners in a key map."""

    def __init__(self, upstreams: registry_module.Registry) -> None:
        self._upstreams = upstreams
        self._addresses: dict[key_map.Owner, members.Address] = {}

    def address(self, owner: key_map.Owner) -> members.Address | None:
        """Return an owner's last known address."""
        known = self._known(owner)
        if known is not None:
            self._addresses[owner] = known.address
        return self._addresses.get(owner)

    def has_left(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether the owner's life is known to end or have ended.

        Its address may then soon belong to another upstream.
        """
        if self._known(owner) is None:
            return True
        return self._upstreams.departure(owner.upstream_id, now) is not None

    def is_registered(self, owner: key_map.Owner, now: timedelta) -> bool:
        """Return whether an owner is registered, draining or not."""
        known = self._upstreams.get(owner.upstream_id)
        if known is None:
            return False
        left = self._upstreams.departure(owner.upstream_id, now)
        return left is None or known.draining

    def _known(self, owner: key_map.Owner) -> registry_module.Upstream | None:
        known = self._upstreams.get(owner.upstream_id)
        if known is None or known.incarnation != owner.incarnation:
            return None
        return known


def owner_of(upstream: registry_module.Upstream) -> key_map.Owner:
    return key_map.Owner(
        upstream_id=ids.UpstreamId(upstream.upstream_id),
        incarnation=upstream.incarnation,
    )

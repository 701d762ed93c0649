"""Fakes of the store and of upstreams, and builders of test objects."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import members
from goldcresthaven import registry
from goldcresthaven import routes
from goldcresthaven import state_store

POOL = ids.PoolName('catalogue')


def upstream(
    name: str,
    *,
    incarnation: int = 1,
    draining: bool = False,
    zone: str = 'a',
    slots: int = 4,
    pool: ids.PoolName = POOL,
) -> registry.Upstream:
    return registry.Upstream(
        upstream_id=ids.UpstreamId(name),
        pool=pool,
        address=members.Address(host=name, port=80),
        zone=ids.ZoneId(zone),
        slots=slots,
        draining=draining,
        incarnation=registry.Incarnation(incarnation),
    )


def owner(name: str, incarnation: int = 1) -> key_map.Owner:
    return key_map.Owner(
        upstream_id=ids.UpstreamId(name),
        incarnation=registry.Incarnation(incarnation),
    )


def route(
    prefix: str = '/a/',
    *,
    kind: routes.RouteKind = routes.RouteKind.SAFE,
    pool: ids.PoolName = POOL,
    timeout: float = 0.8,
    attempts: int = 2,
    host: str = 'h.example',
) -> routes.Route:
    return routes.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=kind,
        weighted_pools=(routes.WeightedPool(pool=pool, weight=1.0),),
        timeout=timedelta(seconds=timeout),
        target=timedelta(seconds=0.4),
        priority=0,
        max_attempts=attempts,
    )


@dataclass(frozen=True, kw_only=True)
class Copy:
    """All rows of a store at one time."""

    rows: Mapping[tuple[state_store.Table, str], state_store.Row]
    version: int


class FakeStore:
    """A table store in memory.

    ``down`` makes calls fail; ``hanging`` makes them hang and then fail.
    ``clock`` is the store's own clock in seconds. The next ``lost_answers``
    writes are applied, but their answers are lost. With ``history_lost``, it
    answers polls as if it no longer kept the changes. With
    ``repeats_answers``, writes are not applied, and the response to the last
    one is sent once more.

    Versions contain the history in which the store answers, as those of the
    real client do. Expected versions are compared by the store's own number,
    which is all that the store is sent.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[state_store.Table, str], state_store.Row] = {}
        self.version = 0
        self.clock = 100.0
        self.down = False
        self.hanging = False
        self.lost_answers = 0
        self.repeats_answers = False
        self.history_lost = False
        self.reads = 0
        self.watches = 0

    def copy(self) -> 'Copy':
        return Copy(rows=dict(self.rows), version=self.version)

    def restore(self, copy: 'Copy') -> None:
        """Continue from a copy in a new history."""
        history = state_store.History(state_store.history_of(self.version) + 1)

        def moved(version: int) -> int:
            number = state_store.number_of(version)
            return state_store.version_in(history, number)

        self.version = moved(copy.version)
        self.rows = {
            place: state_store.Row(
                key=row.key, version=moved(row.version), value=row.value
            )
            for place, row in copy.rows.items()
        }

    def put(self, table: state_store.Table, key: str, value: bytes) -> None:
        self.version += 1
        self.rows[(table, key)] = state_store.Row(
            key=key, version=self.version, value=value
        )

    def remove(self, table: state_store.Table, key: str) -> None:
        self.version += 1
        self.rows[(table, key)] = state_store.Row(
            key=key, version=self.version, value=None
        )

    async def read(self, table: state_store.Table) -> state_store.Reading:
        self.reads += 1
        await self._fail_if_set()
        return self._reading(table, 0, removed=False)

    async def watch(
        self, table: state_store.Table, *, after: int, wait: timedelta
    ) -> state_store.Reading:
        self.watches += 1
        if self.hanging:
            await aio.sleep(wait)
        await self._fail_if_set()
        if self.history_lost or not self._has_version(after):
            raise state_store.HistoryLost('history lost', remedy='read all')
        waited = 0.0
        while waited < wait.total_seconds():
            reading = self._reading(table, after, removed=True)
            if reading.rows:
                return reading
            await aio.sleep(timedelta(milliseconds=5))
            waited += 0.005
        return self._reading(table, after, removed=True)

    async def write(
        self,
        *,
        expected: Mapping[state_store.Key, int],
        puts: Mapping[state_store.Key, bytes],
    ) -> state_store.WriteResult:
        await self._fail_if_set()
        if self.repeats_answers:
            return state_store.Committed(
                version=self.version, clock=timedelta(seconds=self.clock)
            )
        for key, version in expected.items():
            row = self.rows.get((key.table, key.key))
            found = row.version if row else state_store.ABSENT
            if not _same_number(found, version):
                return state_store.Conflict(
                    history=state_store.history_of(self.version)
                )
        self.version += 1
        for key, value in puts.items():
            self.rows[(key.table, key.key)] = state_store.Row(
                key=key.key, version=self.version, value=value
            )
        if self.lost_answers:
            self.lost_answers -= 1
            raise unavailable('the answer was lost')
        return state_store.Committed(
            version=self.version, clock=timedelta(seconds=self.clock)
        )

    def _has_version(self, version: int) -> bool:
        history = state_store.history_of(version)
        return (
            history == state_store.history_of(self.version)
            and version <= self.version
        )

    async def _fail_if_set(self) -> None:
        if self.hanging:
            await aio.sleep(timedelta(milliseconds=50))
            raise unavailable('the store does not answer')
        if self.down:
            raise unavailable('the store is down')

    def _reading(
        self, table: state_store.Table, after: int, *, removed: bool
    ) -> state_store.Reading:
        rows = [
            row
            for (row_table, _), row in sorted(
                self.rows.items(), key=lambda item: item[1].version
            )
            if row_table is table
            and row.version > after
            and (removed or row.value is not None)
        ]
        return state_store.Reading(
            rows=tuple(rows),
            version=self.version,
            clock=timedelta(seconds=self.clock),
        )


class FakeLeases:
    """Upstreams that are granted keys.

    ``held`` maps a host to its ranges and their fences, and ``log`` lists
    the calls in order. Hosts in ``unresponsive`` do not answer, those in
    ``late_grants`` answer releases but no grants, those in ``unreachable``
    cannot be connected to, and those in ``disconnected`` have lost the
    connections of their last grants. Hosts in ``leaving`` announce in all
    responses that they leave, those in ``leaving_in_releases`` only when they
    release keys. Hosts in ``keeping`` do not confirm releases.
    ``before_sending`` is awaited with the call and the host while the
    connection opens.
    """

    def __init__(self) -> None:
        self.held: dict[str, dict[tuple[int, int], int]] = {}
        self.fences: dict[str, int] = {}
        self.unresponsive: set[str] = set()
        self.late_grants: set[str] = set()
        self.unreachable: set[str] = set()
        self.disconnected: set[str] = set()
        self.all_disconnected: set[str] = set()
        self.leaving: set[str] = set()
        self.leaving_in_releases: set[str] = set()
        self.keeping: set[str] = set()
        self.before_sending: Callable[[str, str], Awaitable[None]] | None = (
            None
        )
        self.log: list[tuple[str, str, key_grants.Grant]] = []
        self.holds: list[timedelta] = []
        self.round_trips: list[str] = []

    async def grant(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        renewal: key_grants.Connections | None,
        hold: timedelta,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> key_grants.GrantReply:
        if self.before_sending is not None:
            await self.before_sending('grant', address.host)
            if not may_send():
                return key_grants.GrantReply(
                    result=key_grants.GrantResult.WITHDRAWN
                )
        result = await self._grant_result(address, grant, renewal, hold)
        answered = result in (
            key_grants.GrantResult.GRANTED,
            key_grants.GrantResult.FENCED_OFF,
        )
        return key_grants.GrantReply(
            result=result,
            connections=key_grants.Connections(1),
            leaving=answered and address.host in self.leaving,
        )

    async def _grant_result(
        self,
        address: members.Address,
        grant: key_grants.Grant,
        renewal: key_grants.Connections | None,
        hold: timedelta,
    ) -> key_grants.GrantResult:
        if renewal is not None and address.host in self.disconnected:
            self.disconnected.discard(address.host)
            return key_grants.GrantResult.DISCONNECTED
        if renewal is None:
            self.all_disconnected.discard(address.host)
        elif address.host in self.all_disconnected:
            return key_grants.GrantResult.DISCONNECTED
        self.log.append(('grant', address.host, grant))
        self.holds.append(hold)
        if address.host in self.unreachable:
            return key_grants.GrantResult.UNREACHABLE
        if address.host in self.unresponsive | self.late_grants:
            await aio.sleep(timedelta(milliseconds=20))
            return key_grants.GrantResult.NO_RESPONSE
        if grant.fence < self.fences.get(address.host, 0):
            return key_grants.GrantResult.FENCED_OFF
        ranges = self.held.setdefault(address.host, {})
        ranges[(grant.first, grant.last)] = grant.fence
        return key_grants.GrantResult.GRANTED

    async def reset(self, address: members.Address, number: int) -> None:
        pass

    async def round_trip(self, address: members.Address) -> bool:
        self.round_trips.append(address.host)
        return address.host not in self.unreachable | self.unresponsive

    async def release(
        self,
        upstream: ids.UpstreamId,
        address: members.Address,
        grant: key_grants.Grant,
        *,
        timeout: timedelta,
        may_send: Callable[[], bool],
    ) -> key_grants.ReleaseReply:
        if self.before_sending is not None:
            await self.before_sending('release', address.host)
            if not may_send():
                return key_grants.ReleaseReply(released=None)
        self.log.append(('release', address.host, grant))
        silent = self.unresponsive | self.unreachable | self.keeping
        if address.host in silent:
            return key_grants.ReleaseReply(released=None)
        return key_grants.ReleaseReply(
            released=key_grants.Released(handover=f'from-{address.host}'),
            leaving=address.host in self.leaving | self.leaving_in_releases,
        )

    def calls(self, kind: str, host: str) -> list[key_grants.Grant]:
        return [g for k, h, g in self.log if (k, h) == (kind, host)]


def _same_number(left: int, right: int) -> bool:
    number_of = state_store.number_of
    return number_of(left) == number_of(right)


def unavailable(problem: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(problem, remedy='none, this is a test')

"""Operator API of one entry process; implements ``operator_api.Process``."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
import os
import pathlib
import secrets
from typing import Protocol

from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import events
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import messages
from goldcresthaven import node as node_module
from goldcresthaven import operator_timeline
from goldcresthaven import operator_views as views
from goldcresthaven import ownership
from goldcresthaven import peer_queries
from goldcresthaven import request_history
from goldcresthaven import shards
from goldcresthaven import store_client
from goldcresthaven import tables
from goldcresthaven import upstream_pool

# Leaves time for a second attempt and the read within the time limit of an
# operator's call.
STORE_TIMEOUT = timedelta(seconds=4)
_MS = timedelta(milliseconds=1)
_STATM_FILE = pathlib.Path('/proc/self/statm')


class RequestStats(Protocol):
    """Status of the waiting and running requests, from the gate."""

    def in_use(self, upstream: ids.UpstreamId) -> int:
        """Return the number of requests in flight to an upstream."""

    def condition(self, upstream: ids.UpstreamId) -> health.Condition:
        """Return an upstream's condition, from this process's attempts."""

    def queues(self) -> tuple[views.Queue, ...]:
        """Return the requests queued here, by pool and rank."""


class ConfigStore:
    """Access to the table service for configuration changes."""

    def __init__(self, store: store_client.StoreClient) -> None:
        self._store = store

    async def transact(self, tx: tables.Transaction) -> tables.Result:
        """Send a transaction; raises ConnectionFailed if it was not sent."""
        result = await self._store.transact(tx, timeout=STORE_TIMEOUT)
        if isinstance(result, tables.Ambiguous) and not result.sent:
            raise errors.ConnectionFailed(
                result.detail, remedy='wait until the store responds'
            )
        return result

    async def read(self, table: str, key: str) -> tables.Row | None:
        return await self._store.row(table, key)


@dataclass(kw_only=True)
class LocalProcess:
    """Serves the operator API from the state of one entry process.

    ``publish`` applies a stored configuration here and sends it to the
    peers. ``is_ready`` returns whether the process reports ready to callers;
    one that drains does not, but still serves requests. ``store_is_up``
    returns whether the last reads of the table service succeeded.
    """

    node: node_module.Node
    request_stats: RequestStats
    conns: upstream_pool.UpstreamPool
    history: request_history.RequestHistory
    queries: peer_queries.PeerQueries
    store: config_log.Store
    publish: Callable[[config_log.Entry], Awaitable[None]]
    is_ready: Callable[[], bool]
    store_is_up: Callable[[], bool]

    def local(self) -> views.Local:
        """Return the status of this process, without querying peers."""
        view = self.node.current()
        return views.Local(
            vm=self.node.vm,
            zone=self.node.zone,
            boot=self.node.boot,
            readiness=self._readiness(view),
            config_version=None if view is None else view.config_version,
            map_version=self.node.state.shard_map.version,
            preset=None if view is None else view.document.in_force,
            store='up' if self.store_is_up() else 'down',
            memory_bytes=_memory_bytes(),
            claims=self._claims(),
            upstreams=self._upstreams(view),
            queues=self.request_stats.queues(),
        )

    def configuration(self) -> config_log.Entry | None:
        """Return the latest applied configuration."""
        return self.node.state.config_entry if self.node.ready else None

    def shard_map(self) -> shards.ShardMap:
        return self.node.state.shard_map

    async def peers(self) -> Sequence[views.Peer]:
        return await self.queries.status()

    async def find_request(
        self, request: ids.RequestId
    ) -> tuple[views.Request | None, tuple[ids.VmId, ...]]:
        """Return a recent request and the peers that did not respond."""
        found = self.history.find(request)
        if found is not None:
            return found, ()
        return await self.queries.find_request(request)

    async def timeline(self, query: views.TimelineQuery) -> views.Timeline:
        """Return the matching events of all processes, merged and sorted."""
        event_filter = operator_timeline.to_filter(query, self.shard_map())
        limit = min(query.limit, messages.MAX_ITEMS)
        local_events, truncated = self.node.timeline.select(
            event_filter, query.limit
        )
        found = await self.queries.query_all(
            messages.TimelineQuery(wanted=event_filter, limit=limit),
            messages.TimelineReply,
        )
        incomplete = [v for v, r in found.replies.items() if r.truncated]
        return operator_timeline.merge(
            [
                local_events,
                *(reply.events for reply in found.replies.values()),
            ],
            event_filter,
            limit=query.limit,
            unreachable=found.unreachable,
            incomplete=[*incomplete, *([self.node.vm] if truncated else [])],
        )

    async def submit(
        self, proposal: config_log.Proposal
    ) -> config_log.Outcome:
        """Store a proposal and apply the version that was committed."""
        outcome = await config_log.submit(proposal, self.store)
        match outcome:
            case config_log.Accepted():
                self._note_accepted(outcome.entry)
                await self.publish(outcome.entry)
            case config_log.Conflict():
                self.node.timeline.add(
                    events.Kind.CONFIG_CONFLICT,
                    f'{proposal.entry.author}: '
                    f'{config_changes.describe(proposal.entry.change)}; '
                    f'{outcome.other.author} was first',
                    config_version=outcome.other.version,
                )
                # The operator's client reads from this process again at once
                # and must see the other change.
                await self.publish(outcome.other)
        return outcome

    def new_txn(self) -> ids.TxnId:
        return ids.TxnId(f'{self.node.vm}/{secrets.token_hex(12)}')

    def _note_accepted(self, entry: config_log.Entry) -> None:
        kind = events.Kind.CONFIG_ACCEPTED
        if isinstance(entry.change, config_changes.SwitchPreset):
            kind = events.Kind.PRESET_SWITCHED
        self.node.timeline.add(
            kind,
            f'{entry.author}: {config_changes.describe(entry.change)}',
            config_version=entry.version,
        )

    def _readiness(self, view: dispatch.View | None) -> views.Readiness:
        if self.node.stopping or (view is not None and not self.is_ready()):
            return views.Readiness(ready=False, reason='it is stopping')
        if view is not None:
            return views.Readiness(ready=True)
        reason = 'no peer and no store has confirmed its map yet'
        if self.node.ready:
            reason = 'it has no configuration'
        return views.Readiness(ready=False, reason=reason)

    def _claims(self) -> tuple[views.Claim, ...]:
        now = self.node.clock.elapsed()
        found = self.node.controller.claim_states(now=now)
        return tuple(_to_claim(state) for state in found)

    def _upstreams(
        self, view: dispatch.View | None
    ) -> tuple[views.Upstream, ...]:
        now = self.node.clock.elapsed()
        lost = self.node.controller.lost_upstreams(now=now)
        found = sorted(self.node.state.upstreams.items())
        return tuple(
            self._upstream(name, member, view, lost) for name, member in found
        )

    def _upstream(
        self,
        name: ids.UpstreamId,
        member: members.Member,
        view: dispatch.View | None,
        lost: frozenset[ids.UpstreamId],
    ) -> views.Upstream:
        drained = view is not None and name in view.document.drained
        state, reason = _upstream_state(
            member,
            drained=drained,
            lost=name in lost,
            condition=self.request_stats.condition(name),
        )
        return views.Upstream(
            upstream=name,
            pool=member.pool or ids.PoolName(''),
            zone=member.zone,
            state=state,
            reason=reason,
            domain=self.node.domain_of(name),
            slots=_pool_slots(member, view),
            slots_in_use=self.request_stats.in_use(name),
            connections=self.conns.open_count(member.address),
        )


_CONDITION_REASONS = {
    health.Condition.UP: '',
    health.Condition.OPEN: 'it failed repeatedly here; one request tries it',
    health.Condition.SLOW_START: 'it is new or back and gets load slowly',
    health.Condition.DRAINING: 'its own responses say that it is leaving',
}


def _upstream_state(
    member: members.Member,
    *,
    drained: bool,
    lost: bool,
    condition: health.Condition,
) -> tuple[str, str]:
    if lost:
        return 'lost', 'the holder of its claim cannot reach it'
    if drained:
        return 'draining', 'an operator drained it'
    if member.state is members.MemberState.LEAVING:
        return 'draining', 'the membership list says that it is leaving'
    return condition.value, _CONDITION_REASONS[condition]


def _pool_slots(member: members.Member, view: dispatch.View | None) -> int:
    if view is None:
        return 0
    pools = [p for p in view.document.pools if p.name == member.pool]
    return pools[0].slots if pools else 0


def _to_claim(state: ownership.ClaimState) -> views.Claim:
    if state.ends_in is None:
        state_name = 'free' if state.row.holder is None else 'other'
        remaining_ms = None
    else:
        state_name = 'extended' if state.extended else 'held'
        remaining_ms = state.ends_in // _MS
    if state.held_here and state.ends_in is None:
        state_name = 'lost'
    return views.Claim(
        domain=state.domain,
        epoch=state.row.epoch,
        holder=state.row.holder,
        state=state_name,
        expires_in_ms=remaining_ms,
    )


def _memory_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(_STATM_FILE.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')

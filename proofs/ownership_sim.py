"""Simulates the ownership rules under failures.

Entry processes run the product's controller and upstreams the product's
lease guard, on virtual clocks that drift, with a simulated table service.
All random choices derive from the seed. After every accepted grant the
simulation checks that no two upstreams would serve the same key. At the end
it checks that the map log contains every map change that was reported.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
import random

from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import map_codec
from goldcresthaven import members
from goldcresthaven import outcomes
from goldcresthaven import ownership
from goldcresthaven import presets
from goldcresthaven import shards
from goldcresthaven import tables
from proofs import sim_world

POOL = ids.PoolName('catalogue')
TICK = 0.1  # seconds
STORE_TIMEOUT = 1.0  # seconds
SAMPLE_INTERVAL = 0.05  # seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """Size of a simulated deployment."""

    zones: int = 2
    entries: int = 2
    upstreams: int = 2
    shards: int = 8
    term: timedelta = timedelta(seconds=10)
    grace: timedelta = timedelta(seconds=30)


@dataclass(kw_only=True)
class Outcome:
    """Violations and measurements of a run.

    ``unserved`` and ``longest`` map each part of the hash space to its total
    and its longest unserved time, in seconds.
    """

    violations: list[str] = field(default_factory=list)
    moves: int = 0
    takeovers: int = 0
    extensions: int = 0
    unserved: dict[int, float] = field(default_factory=dict)
    longest: dict[int, float] = field(default_factory=dict)


class Entry(sim_world.Node):
    """An entry process; each start creates a new controller."""

    controller: ownership.Controller


class Upstream(sim_world.Node):
    """An upstream; each start creates a new lease guard."""

    guard: leases.LeaseGuard


class World:
    """The nodes, faults, checks and measurements of one run."""

    def __init__(self, seed: int, shape: Shape = Shape()) -> None:
        self.rng = random.Random(seed)
        self.shape = shape
        self.outcome = Outcome()
        self.schedule = sim_world.Schedule()
        self.faults = sim_world.Faults()
        self.network = sim_world.Network(self.schedule, self.rng, self.faults)
        self.table = sim_world.Table()
        self.drained: tuple[ids.UpstreamId, ...] = ()
        self.lost_zones: tuple[ids.ZoneId, ...] = ()
        self.leaving: set[str] = set()
        self.unlisted: set[str] = set()
        self.entries: dict[str, Entry] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._ranges: dict[ids.ShardId, tuple[int, int]] = {}
        self._reported: list[tuple[int, ids.TxnId]] = []
        self._unserved_since: dict[int, float] = {}
        self._milestones: list[control.Milestone] = []
        self._build()

    def _build(self) -> None:
        for zone in range(self.shape.zones):
            for i in range(self.shape.entries):
                name = f'z{zone}-e{i}'
                self.entries[name] = Entry(name, self.schedule, self.rng)
            for i in range(self.shape.upstreams):
                self.add_upstream(f'z{zone}-u{i}')
        for name in self.entries:
            self.start_entry(name)
        self.schedule.after(SAMPLE_INTERVAL, self._sample)

    def add_upstream(self, name: str) -> None:
        self.upstreams[name] = Upstream(name, self.schedule, self.rng)
        self.start_upstream(name)

    def zone_nodes(self, zone: str) -> list[str]:
        """Return all nodes of a zone."""
        names = [*self.entries, *self.upstreams]
        return [n for n in names if sim_world.zone_of(n) == zone]

    def start_upstream(self, name: str) -> None:
        node = self.upstreams[name]
        node.start()
        boot = ids.BootId(f'{name}/{node.boots}')
        node.guard = leases.LeaseGuard(boot=boot)

    def start_entry(self, name: str) -> None:
        node = self.entries[name]
        node.start()
        node.controller = ownership.Controller(
            vm=ids.VmId(name),
            zone=ids.ZoneId(sim_world.zone_of(name)),
            boot=str(node.boots),
        )
        boot = node.boots
        self.update_entry(name)

        def tick() -> None:
            if node.boots != boot:
                return
            self.schedule.after(TICK, tick)
            if not node.paused:
                self.deliver_event(name, control.Tick())

        self.schedule.after(self.rng.uniform(0.0, TICK), tick)

    def update_entry(self, name: str) -> None:
        """Send an entry process the configuration and the membership list."""
        self.deliver_event(
            name, control.ConfigApplied(document=self.document())
        )
        self.deliver_event(name, control.MembersRead(members=self.members()))

    def update_all_entries(self) -> None:
        """Update every entry process, each after its own random delay."""
        for name, node in self.entries.items():
            delay = self.rng.uniform(0.0, 2.0)
            boot = node.boots

            def update(name: str = name, boot: int = boot) -> None:
                if self.entries[name].boots == boot:
                    self.update_entry(name)

            self.schedule.after(delay, update)

    def document(self) -> presets.Document:
        policy = presets.RankPolicy(
            target=timedelta(seconds=1),
            deadline=timedelta(seconds=3),
            floor=0.3,
        )
        preset = presets.Preset(
            name=ids.PresetName('ordinary'),
            urgent=policy,
            standard=policy,
            bulk=policy,
            claim_term=self.shape.term,
            claim_grace=self.shape.grace,
        )
        pool = presets.Pool(
            name=POOL,
            keyed=True,
            slots=4,
            connections=250,
            shards=self.shape.shards,
        )
        route = presets.Route(
            prefix='/catalogue/',
            pool=POOL,
            rank=outcomes.Rank.STANDARD,
            key_segment=1,
            idempotent=True,
        )
        return presets.Document(
            pools=(pool,),
            routes=(route,),
            presets=(preset,),
            in_force=preset.name,
            drained=self.drained,
            lost_zones=self.lost_zones,
        )

    def members(self) -> tuple[members.Member, ...]:
        result = []
        for name in [*self.entries, *self.upstreams]:
            if name in self.unlisted:
                continue
            upstream = name in self.upstreams
            state = members.MemberState.LIVE
            if name in self.leaving:
                state = members.MemberState.LEAVING
            role = members.Role.UPSTREAM if upstream else members.Role.ENTRY
            result.append(
                members.Member(
                    vm=ids.VmId(name),
                    zone=ids.ZoneId(sim_world.zone_of(name)),
                    role=role,
                    state=state,
                    address=members.Address(host='127.0.0.1', port=1),
                    pool=POOL if upstream else None,
                )
            )
        return tuple(result)

    def deliver_event(self, name: str, event: control.Event) -> None:
        """Let a process handle an event and perform the resulting actions."""
        node = self.entries[name]

        def work() -> None:
            now = node.clock.elapsed()
            for action in node.controller.handle(event, now=now):
                self._perform_action(node, action)

        node.perform(work)

    def _perform_action(self, node: Entry, action: control.Action) -> None:
        """Perform an action; the process may pause just before it sends."""
        match action:
            case control.MapCommitted():
                self._record_report(node, action.change)
            case control.Milestone():
                self._count_milestone(action)
            case control.AllClaimsReleased():
                node.stop()
            case _:
                boot = node.boots
                if self.rng.random() < self.pause_probability:
                    node.pause(self.rng.uniform(0.1, 15.0))

                def send() -> None:
                    if node.boots == boot:
                        self._send(node, action)

                node.perform(send)

    # Probabilities that a process pauses before it sends, and that a peer does
    # not receive a map change by gossip.
    pause_probability = 0.0
    gossip_loss = 0.2

    def _count_milestone(self, milestone: control.Milestone) -> None:
        match milestone.kind:
            case control.MilestoneKind.CLAIM_TAKEN:
                self.outcome.takeovers += 1
            case control.MilestoneKind.CLAIM_EXTENDED:
                self.outcome.extensions += 1
            case _:
                pass

    def _send(self, node: Entry, action: control.Action) -> None:
        match action:
            case control.Transact():
                self._transact(node, action.transaction)
            case control.ReadMapLog():
                self._read_log(node, action)
            case control.ReadClaims():
                self._read_claims(node, action)
            case control.SendLease():
                self._send_lease(node, action)
            case control.SendHeartbeat():
                self._send_to_peer(
                    node, action.vm, lambda peer: self._heartbeat(node, peer)
                )
            case control.SendConsentRequest():
                consent_request = control.ConsentRequested(
                    vm=ids.VmId(node.name),
                    domain=action.domain,
                    epoch=action.epoch,
                    nonce=action.nonce,
                )
                self._send_to_peer(
                    node,
                    action.vm,
                    lambda peer: self.deliver_event(
                        peer.name, consent_request
                    ),
                )
            case control.SendConsentReply():
                consent_reply = control.ConsentReplied(
                    vm=ids.VmId(node.name),
                    domain=action.domain,
                    epoch=action.epoch,
                    nonce=action.nonce,
                    granted=action.granted,
                )
                self._send_to_peer(
                    node,
                    action.vm,
                    lambda peer: self.deliver_event(peer.name, consent_reply),
                )
            case control.NotifyRelease():
                notice = control.ReleaseNotified(
                    vm=ids.VmId(node.name), domain=action.domain
                )
                self._send_to_peer(
                    node,
                    action.vm,
                    lambda peer: self.deliver_event(peer.name, notice),
                )
            case _:
                pass

    def _send_to_peer(
        self, node: Entry, vm: ids.VmId, work: Callable[[Entry], None]
    ) -> None:
        peer = self.entries[vm]
        self.network.send(node.name, vm, lambda: work(peer))

    def _heartbeat(self, node: Entry, peer: Entry) -> None:
        ack = control.HeartbeatAcked(vm=ids.VmId(peer.name))

        def respond() -> None:
            self._send_to_peer(peer, ids.VmId(node.name), receive_ack)

        def receive_ack(target: Entry) -> None:
            self.deliver_event(target.name, ack)

        peer.perform(respond)

    def _request_store(
        self,
        node: Entry,
        request: Callable[[], control.Event],
        failed: control.Event | None,
    ) -> None:
        """Send a store request; deliver its response, or ``failed``.

        ``request`` runs when the store receives the request and returns the
        response. ``failed``, if given, is delivered if no response arrives
        within STORE_TIMEOUT.
        """
        boot = node.boots
        answered = False

        def finish(event: control.Event | None) -> None:
            nonlocal answered
            if answered or node.boots != boot:
                return
            answered = True
            if event is not None:
                self.deliver_event(node.name, event)

        def serve() -> None:
            if self.faults.store_down:
                return
            event = request()
            if node.name in self.faults.lost_store_responses:
                return
            self.network.send(
                sim_world.STORE, node.name, lambda: finish(event)
            )

        self.network.send(node.name, sim_world.STORE, serve)
        self.schedule.after(STORE_TIMEOUT, lambda: finish(failed))

    def _transact(self, node: Entry, txn: tables.Transaction) -> None:
        def request() -> control.Event:
            result = self.table.transact(txn)
            self._record_ranges(txn)
            return control.TransactResult(txn=txn.txn, result=result)

        ambiguous = control.TransactResult(
            txn=txn.txn, result=tables.Ambiguous(detail='timeout')
        )
        self._request_store(node, request, ambiguous)

    def _record_ranges(self, txn: tables.Transaction) -> None:
        for write in txn.writes:
            if write.table == tables.MAP_LOG:
                for shard in map_codec.from_value(write.value).shards:
                    self._ranges[shard.shard_id] = shard.low, shard.high

    def _read_log(self, node: Entry, action: control.ReadMapLog) -> None:
        def request() -> control.Event:
            rows = self.table.scan(
                tables.MAP_LOG, tables.log_key(action.after)
            )
            changes = tuple(map_codec.from_value(r.value) for r in rows)
            return control.MapLogRead(token=action.token, changes=changes)

        self._request_store(node, request, None)

    def _read_claims(self, node: Entry, action: control.ReadClaims) -> None:
        def request() -> control.Event:
            rows = self.table.scan(tables.CLAIMS)
            return control.ClaimsRead(token=action.token, rows=rows)

        self._request_store(node, request, None)

    def _send_lease(self, node: Entry, action: control.SendLease) -> None:
        upstream = self.upstreams.get(action.upstream)
        if upstream is None:
            return
        sender_boot = node.boots

        def respond() -> None:
            now = upstream.clock.elapsed()
            reply = upstream.guard.handle(action.request, now=now)
            if reply.accepted and action.request.basis_ns is not None:
                self._check_sole_owner(upstream)
            lease_reply = control.LeaseReplied(
                upstream=action.upstream, request=action.request, reply=reply
            )

            def receive() -> None:
                if node.boots == sender_boot:
                    self.deliver_event(node.name, lease_reply)

            boot = upstream.boots

            def send() -> None:
                if upstream.boots == boot:
                    self.network.send(upstream.name, node.name, receive)

            upstream.perform(send)

        self.network.send(
            node.name, upstream.name, lambda: upstream.perform(respond)
        )

    def serving(self, upstream: Upstream) -> list[ids.ShardId]:
        """Return the shards that an upstream would serve now."""
        if not upstream.up:
            return []
        now = upstream.clock.elapsed()
        return [s for s in self._ranges if upstream.guard.serves(s, now=now)]

    def _check_sole_owner(self, granted: Upstream) -> None:
        granted_ranges = [self._ranges[s] for s in self.serving(granted)]
        for other in self.upstreams.values():
            if other is granted:
                continue
            for shard in self.serving(other):
                low, high = self._ranges[shard]
                if any(low < h and lo < high for lo, h in granted_ranges):
                    self._record_violation(
                        f'{shard} is served by {other.name} and {granted.name}'
                    )
                    return

    def _record_report(self, node: Entry, change: shards.MapChange) -> None:
        """Record a map change reported as accepted, and gossip it to peers."""
        self.outcome.moves += len(change.shards)
        self._reported.append((change.version, change.txn))
        for name in self.entries:
            if name == node.name or self.rng.random() < self.gossip_loss:
                continue
            self._push(node, name, change)

    def _push(self, node: Entry, name: str, change: shards.MapChange) -> None:
        event = control.MapChanges(changes=(change,))
        self._send_to_peer(
            node,
            ids.VmId(name),
            lambda peer: self.deliver_event(peer.name, event),
        )

    def check_log(self) -> None:
        """Check at the end of a run that every reported change is in the log.

        Log rows never change, so a change that is missing at the end was
        lost or never written.
        """
        for version, txn in self._reported:
            row_key = tables.MAP_LOG, tables.log_key(version)
            row = self.table.rows.get(row_key)
            if row is None or row.value['txn'] != txn:
                self._record_violation(
                    f'map change {version} of {txn} is lost'
                )

    def _record_violation(self, text: str) -> None:
        """Record a violation and end the run."""
        self.outcome.violations.append(f'{self.schedule.now:.3f} {text}')
        self.schedule.halted = True

    def _sample(self) -> None:
        """Measure for how long each part of the hash space is unserved."""
        self.schedule.after(SAMPLE_INTERVAL, self._sample)
        served: list[tuple[int, int]] = []
        for upstream in self.upstreams.values():
            if not upstream.paused:
                served += [self._ranges[s] for s in self.serving(upstream)]
        for i in range(self.shape.shards):
            key = shards.HASH_SPACE * (2 * i + 1) // (2 * self.shape.shards)
            if any(low <= key < high for low, high in served):
                self._unserved_since.pop(i, None)
                continue
            since = self._unserved_since.setdefault(i, self.schedule.now)
            gap = self.schedule.now - since
            total = self.outcome.unserved.get(i, 0.0)
            self.outcome.unserved[i] = total + SAMPLE_INTERVAL
            longest = self.outcome.longest.get(i, 0.0)
            self.outcome.longest[i] = max(longest, gap)

    def reset_measurements(self) -> None:
        self.outcome.unserved.clear()
        self.outcome.longest.clear()
        self._unserved_since.clear()

    def holder_of(self, domain: str) -> str | None:
        """Return a process whose own state says that it holds a domain."""
        for name, node in self.entries.items():
            if not node.up:
                continue
            now = node.clock.elapsed()
            if node.controller.holds(ids.DomainId(domain), now=now):
                return name
        return None

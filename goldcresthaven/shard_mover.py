"""Decides which shards leave their owners and writes the moves."""

from collections.abc import Mapping
from datetime import timedelta

from goldcresthaven import candidates
from goldcresthaven import cluster_state
from goldcresthaven import control
from goldcresthaven import held_domain
from goldcresthaven import ids
from goldcresthaven import map_writer
from goldcresthaven import placement
from goldcresthaven import rebalance
from goldcresthaven import shards

PLAN_EVERY = timedelta(seconds=1)

# Moves for balance are not urgent, and each costs a short refusal.
BALANCE_MOVES_AT_ONCE = 8

# The holder of a lost upstream's claim moves its shards at once, but reports
# the loss to other domains only with its next renewal, after a third of the
# claim term; they read it up to 1 s later. Until then the upstream only
# looks empty to them. Without this pause the loss of one of 15 upstreams led
# to 18 to 44 map changes.
FILL_PAUSE = timedelta(seconds=5)

# Processes that all may write the same change take turns in rank order.
STAGGER = timedelta(milliseconds=300)

# After a pause of its own a process cannot tell which upstreams were silent.
OWN_PAUSE = timedelta(milliseconds=500)

Held = Mapping[ids.DomainId, held_domain.HeldDomain]


class Mover:
    """Plans and writes the map changes of this process."""

    def __init__(
        self,
        view: cluster_state.View,
        candidacy: candidates.Candidacy,
        writer: map_writer.MapWriter,
    ) -> None:
        self.log_was_read = False
        self._view = view
        self._candidacy = candidacy
        self._writer = writer
        self._targets: dict[ids.ShardId, ids.UpstreamId] = {}
        self._plan_at = timedelta.min
        self._checked_at = timedelta.max - OWN_PAUSE
        self._wanted_since: timedelta | None = None
        self._counts: dict[ids.UpstreamId, int] = {}
        self._counted = ids.MapVersion(0)
        self._emptied: dict[ids.UpstreamId, timedelta] = {}

    def replan(self, now: timedelta) -> None:
        """Plan again at the next tick."""
        self._plan_at = now

    def tick(self, held: Held, *, now: timedelta) -> list[control.Action]:
        """Return the map write that is due, and what was noticed."""
        if self._view.document is None or not self.log_was_read:
            return []
        actions = self._check_upstreams(held, now)
        self._note_emptied(now)
        if now >= self._plan_at:
            self._plan_at = now + PLAN_EVERY
            self._plan(held, now)
        if not self._writer.busy:
            draft = self._draft(held, now)
            if draft is not None:
                version = self._view.shard_map.version
                actions.append(self._writer.write(draft, version, now=now))
        return actions

    def _check_upstreams(
        self, held: Held, now: timedelta
    ) -> list[control.Action]:
        actions: list[control.Action] = []
        written = self._writer.touched()
        paused = now > self._checked_at + OWN_PAUSE
        self._checked_at = now
        for domain in held.values():
            if not domain.log_read or not domain.claim.valid(now):
                continue
            if paused:
                domain.forgive_silence(now)
            for upstream, state in domain.upstreams.items():
                owner = bool(domain.owned(upstream) - written)
                if state.check(now, owner=owner):
                    self._plan_at = now
                    kind = control.MilestoneKind.UPSTREAM_BACK
                    if state.lost:
                        kind = control.MilestoneKind.UPSTREAM_LOST
                    data = {'upstream': upstream}
                    actions.append(control.Milestone(kind=kind, data=data))
        return actions

    def _plan(self, held: Held, now: timedelta) -> None:
        known = self._candidacy.reported_lost()
        known.update({name: d.lost() for name, d in held.items()})
        lost = frozenset().union(*known.values())
        moves: list[placement.Move] = []
        for pool in self._view.keyed_pools():
            moves.extend(rebalance.plan_pool(self._view, pool.name, lost))
        self._targets = {m.shard: m.target for m in moves}
        for domain in held.values():
            if domain.log_read and domain.claim.valid(now):
                self._release(domain, moves, lost, now)

    def _release(
        self,
        domain: held_domain.HeldDomain,
        moves: list[placement.Move],
        lost: frozenset[ids.UpstreamId],
        now: timedelta,
    ) -> None:
        written = self._writer.touched()
        for shard in list(domain.releases):
            if shard not in self._targets and shard not in written:
                domain.cancel(shard)
        for move in moves:
            if move.source not in domain.upstreams:
                continue
            leaving = self._view.must_leave(move.source)
            needed = leaving or move.source in lost
            if needed or (
                self._may_balance(domain, now)
                and self._may_fill(move.target, domain, now)
            ):
                domain.release(move.shard, now=now)

    def _note_emptied(self, now: timedelta) -> None:
        """Note which upstreams lost their last shard in the newest map."""
        version = self._view.shard_map.version
        if version == self._counted:
            return
        self._counted = version
        counts = {u: len(s) for u, s in self._view.owned().items()}
        for upstream, before in self._counts.items():
            if before and not counts.get(upstream):
                self._emptied[upstream] = now
        self._counts = counts
        for upstream, since in list(self._emptied.items()):
            if now - since >= FILL_PAUSE:
                del self._emptied[upstream]

    def _may_fill(
        self,
        target: ids.UpstreamId,
        domain: held_domain.HeldDomain,
        now: timedelta,
    ) -> bool:
        """Whether a shard may move to an upstream only for balance."""
        since = self._emptied.get(target)
        if since is None or target in domain.upstreams:
            return True
        return now - since >= FILL_PAUSE

    def _may_balance(
        self, domain: held_domain.HeldDomain, now: timedelta
    ) -> bool:
        if now < domain.claim.settled_at:
            return False
        return len(domain.releases) < BALANCE_MOVES_AT_ONCE

    def _draft(self, held: Held, now: timedelta) -> map_writer.Draft | None:
        created = self._created(now)
        if created is not None:
            return created
        for domain in held.values():
            if not domain.log_read or not domain.claim.valid(now):
                continue
            draft = self._moves(domain, now) or self._split(domain)
            if draft is not None:
                return draft
        return None

    def _created(self, now: timedelta) -> map_writer.Draft | None:
        """Return the first map, a new pool's shards or new homes.

        No claim is needed: no upstream serves these shards yet.
        """
        homes = self._view.new_homes()
        fresh = rebalance.new_pool_shards(self._view)
        if not homes and not fresh:
            self._wanted_since = None
            return None
        if self._wanted_since is None:
            self._wanted_since = now
        entries = self._view.other_entries(ids.ZoneId(''))
        ranked = cluster_state.rank('map', entries)
        if self._view.vm not in ranked:
            return None
        turn = ranked.index(self._view.vm) * STAGGER
        if now < self._wanted_since + turn:
            return None
        return map_writer.Draft(
            reason='created' if fresh else 'joined',
            updated=fresh,
            homes=homes,
        )

    def _moves(
        self, domain: held_domain.HeldDomain, now: timedelta
    ) -> map_writer.Draft | None:
        targets = {
            shard: self._targets[shard]
            for shard in domain.released(now)
            if shard in self._targets
        }
        targets.update(self._unowned(domain))
        if not targets:
            return None
        return map_writer.Draft(
            reason='moved',
            updated=rebalance.moved(self._view.shard_map, targets),
            domain=domain.claim.domain,
            epoch=domain.claim.epoch,
        )

    def _unowned(
        self, domain: held_domain.HeldDomain
    ) -> dict[ids.ShardId, ids.UpstreamId]:
        """Return shards without an owner that this domain is to get."""
        known = self._view.shard_map.shards
        return {
            shard: target
            for shard, target in self._targets.items()
            if target in domain.upstreams
            and shard in known
            and known[shard].owner is None
        }

    def _split(
        self, domain: held_domain.HeldDomain
    ) -> map_writer.Draft | None:
        for shard, hot in rebalance.hot_shards(self._view):
            if shard.owner not in domain.upstreams:
                continue
            if shard.shard_id in domain.releases:
                continue
            parts = rebalance.split(shard, hot.key_hash)
            return map_writer.Draft(
                reason='split',
                updated=parts,
                removed=(shard.shard_id,),
                domain=domain.claim.domain,
                epoch=domain.claim.epoch,
            )
        return None


def milestone(change: shards.MapChange) -> control.Milestone:
    """Return the timeline event of a change that was written."""
    kinds = {
        'created': control.MilestoneKind.MAP_CREATED,
        'split': control.MilestoneKind.SHARD_SPLIT,
    }
    kind = kinds.get(change.reason, control.MilestoneKind.SHARDS_MOVED)
    data: dict[str, str | int] = {
        'version': change.version,
        'reason': change.reason,
        'shards': len(change.shards),
        'domain': change.domain or '',
        'epoch': change.epoch,
    }
    return control.Milestone(kind=kind, data=data)

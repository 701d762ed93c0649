"""Decides which shards move between upstreams and writes the moves."""

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

PLAN_INTERVAL = timedelta(seconds=1)

# Moves for balance are not urgent, and during each one the shard's requests
# are refused for a short time.
BALANCE_MOVES_AT_ONCE = 8

# The claim holder of a lost upstream moves its shards at once, but reports the
# loss to other domains only with its next renewal, after a third of the claim
# term, and they read it up to 1 s later. Until then they see the upstream as
# empty, not as lost, and would move shards to it. Without this delay the loss
# of one of 15 upstreams led to 18 to 44 map changes.
REFILL_DELAY = timedelta(seconds=5)

# Several processes may write the same change. Each waits for this time times
# its rank, so that usually only the first one writes it.
STAGGER = timedelta(milliseconds=300)

# If this process itself was paused for longer than this, missing responses say
# nothing about the upstreams.
PAUSE_THRESHOLD = timedelta(milliseconds=500)

HeldDomains = Mapping[ids.DomainId, held_domain.HeldDomain]


class Mover:
    """Plans the map changes of this process and writes them."""

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
        self._checked_at = timedelta.max - PAUSE_THRESHOLD
        self._creation_due_since: timedelta | None = None
        self._shard_counts: dict[ids.UpstreamId, int] = {}
        self._counted_version = ids.MapVersion(0)
        self._emptied: dict[ids.UpstreamId, timedelta] = {}

    def replan(self, now: timedelta) -> None:
        """Plan again at the next tick."""
        self._plan_at = now

    def tick(
        self, held: HeldDomains, *, now: timedelta
    ) -> list[control.Action]:
        """Return a due map write and milestones of upstreams lost or back."""
        if self._view.document is None or not self.log_was_read:
            return []
        actions = self._check_upstreams(held, now)
        self._update_emptied(now)
        if now >= self._plan_at:
            self._plan_at = now + PLAN_INTERVAL
            self._plan(held, now)
        if not self._writer.busy:
            draft = self._next_draft(held, now)
            if draft is not None:
                version = self._view.shard_map.version
                actions.append(self._writer.write(draft, version, now=now))
        return actions

    def _check_upstreams(
        self, held: HeldDomains, now: timedelta
    ) -> list[control.Action]:
        actions: list[control.Action] = []
        written = self._writer.unresolved_shards()
        paused = now > self._checked_at + PAUSE_THRESHOLD
        self._checked_at = now
        for domain in held.values():
            if not domain.log_read or not domain.claim.valid(now):
                continue
            if paused:
                domain.reset_reply_times(now)
            for upstream, state in domain.upstreams.items():
                owner = bool(domain.owned(upstream) - written)
                if state.update_lost(now, owner=owner):
                    self._plan_at = now
                    kind = control.MilestoneKind.UPSTREAM_BACK
                    if state.lost:
                        kind = control.MilestoneKind.UPSTREAM_LOST
                    data = {'upstream': upstream}
                    actions.append(control.Milestone(kind=kind, data=data))
        return actions

    def _plan(self, held: HeldDomains, now: timedelta) -> None:
        lost_by_domain = self._candidacy.reported_lost()
        lost_by_domain.update({name: d.lost() for name, d in held.items()})
        lost = frozenset().union(*lost_by_domain.values())
        moves: list[placement.Move] = []
        for pool in self._view.keyed_pools():
            moves.extend(rebalance.plan_pool(self._view, pool.name, lost))
        self._targets = {m.shard: m.target for m in moves}
        for domain in held.values():
            if domain.log_read and domain.claim.valid(now):
                self._update_releases(domain, moves, lost, now)

    def _update_releases(
        self,
        domain: held_domain.HeldDomain,
        moves: list[placement.Move],
        lost: frozenset[ids.UpstreamId],
        now: timedelta,
    ) -> None:
        written = self._writer.unresolved_shards()
        for shard in list(domain.releases):
            if shard not in self._targets and shard not in written:
                domain.cancel_release(shard)
        for move in moves:
            if move.source not in domain.upstreams:
                continue
            leaving = self._view.must_release_shards(move.source)
            needed = leaving or move.source in lost
            if needed or (
                self._may_balance(domain, now)
                and self._may_refill(move.target, domain, now)
            ):
                domain.start_release(move.shard, now=now)

    def _update_emptied(self, now: timedelta) -> None:
        """Record when an upstream has lost its last shard."""
        version = self._view.shard_map.version
        if version == self._counted_version:
            return
        self._counted_version = version
        counts = {u: len(s) for u, s in self._view.owned().items()}
        for upstream, before in self._shard_counts.items():
            if before and not counts.get(upstream):
                self._emptied[upstream] = now
        self._shard_counts = counts
        for upstream, since in list(self._emptied.items()):
            if now - since >= REFILL_DELAY:
                del self._emptied[upstream]

    def _may_refill(
        self,
        target: ids.UpstreamId,
        domain: held_domain.HeldDomain,
        now: timedelta,
    ) -> bool:
        """Whether shards may move to an upstream for balance alone.

        They may not move to an upstream of another domain that was emptied
        recently, because it may be lost.
        """
        since = self._emptied.get(target)
        if since is None or target in domain.upstreams:
            return True
        return now - since >= REFILL_DELAY

    def _may_balance(
        self, domain: held_domain.HeldDomain, now: timedelta
    ) -> bool:
        if now < domain.claim.settled_at:
            return False
        return len(domain.releases) < BALANCE_MOVES_AT_ONCE

    def _next_draft(
        self, held: HeldDomains, now: timedelta
    ) -> map_writer.Draft | None:
        created = self._creation_draft(now)
        if created is not None:
            return created
        for domain in held.values():
            if not domain.log_read or not domain.claim.valid(now):
                continue
            draft = self._moves_draft(domain, now) or self._split_draft(domain)
            if draft is not None:
                return draft
        return None

    def _creation_draft(self, now: timedelta) -> map_writer.Draft | None:
        """Return the first map, a new pool's shards or new homes.

        These changes need no claim, because no upstream serves the shards
        yet.
        """
        homes = self._view.new_homes()
        fresh = rebalance.new_pool_shards(self._view)
        if not homes and not fresh:
            self._creation_due_since = None
            return None
        if self._creation_due_since is None:
            self._creation_due_since = now
        entries = self._view.other_entries(ids.ZoneId(''))
        ranked = cluster_state.rank('map', entries)
        if self._view.vm not in ranked:
            return None
        turn = ranked.index(self._view.vm) * STAGGER
        if now < self._creation_due_since + turn:
            return None
        return map_writer.Draft(
            reason='created' if fresh else 'joined',
            updated=fresh,
            homes=homes,
        )

    def _moves_draft(
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
        """Return unowned shards whose target is in this domain."""
        mapped = self._view.shard_map.shards
        return {
            shard: target
            for shard, target in self._targets.items()
            if target in domain.upstreams
            and shard in mapped
            and mapped[shard].owner is None
        }

    def _split_draft(
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

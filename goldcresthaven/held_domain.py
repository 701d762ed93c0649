"""Leases of one held domain and the release of shards from upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import claims
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import shards

# A request without a response is repeated sooner than a renewal, so that
# one lost message costs less than the rest of the lease.
RESEND_AFTER = timedelta(milliseconds=250)
LOST_AFTER = timedelta(seconds=2)

# An upstream that was lost gets shards again only after it has answered
# for this long, so that one that flaps does not attract keys.
RETURN_AFTER = timedelta(seconds=5)

_REMEMBERED_REQUESTS = 16


@dataclass(kw_only=True, slots=True)
class Release:
    """A shard that its owner is being asked to give up.

    ``not_before`` bounds the leases that were granted with the shard.
    ``after_seq`` is the last request that may have contained it, and
    ``released`` says that the owner confirmed a later one.
    """

    shard: ids.ShardId
    source: ids.UpstreamId
    not_before: timedelta
    after_seq: int
    released: bool = False


class UpstreamState:
    """What the holder knows about one upstream of its domain."""

    def __init__(self, issuer: leases.Issuer, *, now: timedelta) -> None:
        self.issuer = issuer
        self.answered_at = now
        self.lost = False
        self.dropped = False
        self._back_since: timedelta | None = None
        self._boot: ids.BootId | None = None
        self._send_at = now
        self._sent: dict[int, timedelta] = {}

    def due(self, now: timedelta) -> bool:
        return now >= self._send_at

    def send_now(self, now: timedelta) -> None:
        """Make the next request due at once."""
        self._send_at = now

    def sent(self, req: leases.LeaseRequest, *, now: timedelta) -> None:
        """Record a request that is sent at ``now``."""
        self._send_at = now + RESEND_AFTER
        self._sent[req.seq] = now
        if len(self._sent) > _REMEMBERED_REQUESTS:
            del self._sent[min(self._sent)]

    def sent_at(self, seq: int) -> timedelta | None:
        return self._sent.get(seq)

    def answered(
        self, reply: leases.LeaseReply, *, probed: bool, now: timedelta
    ) -> None:
        """Record a response; a new boot or a first basis wants a grant."""
        restarted = reply.boot != self._boot
        self._boot = reply.boot
        self.answered_at = now
        if self.lost and self._back_since is None:
            self._back_since = now
        urgent = probed or restarted
        self._send_at = now if urgent else now + leases.RENEW_EVERY

    def check(self, now: timedelta, *, owner: bool) -> bool:
        """Update whether the upstream is lost; True if that changed.

        One that still owns shards is back at its first answer, because
        nothing else can serve them sooner.
        """
        silent = now >= self.answered_at + LOST_AFTER
        if silent:
            self._back_since = None
            if not self.lost and now > self.issuer.bound:
                self.lost = True
                return True
        elif self.lost and self._back_since is not None:
            if owner or now >= self._back_since + RETURN_AFTER:
                self.lost = False
                return True
        return False


class HeldDomain:
    """Leases and releases under one claim.

    Grants start once the map log was read to its end after the claim was
    taken; before, the map may lack a move of the earlier holder.
    """

    def __init__(self, claim: claims.HeldClaim) -> None:
        self.claim = claim
        self.log_read = False
        self.upstreams: dict[ids.UpstreamId, UpstreamState] = {}
        self.releases: dict[ids.ShardId, Release] = {}
        self._map = shards.ShardMap()
        self._owned: Mapping[ids.UpstreamId, frozenset[ids.ShardId]] = {}

    def set_map(
        self,
        shard_map: shards.ShardMap,
        owned: Mapping[ids.UpstreamId, frozenset[ids.ShardId]],
        keyed: frozenset[ids.UpstreamId],
        *,
        now: timedelta,
    ) -> None:
        """Take a new map; ``keyed`` are the upstreams that need leases."""
        self._map = shard_map
        old, self._owned = self._owned, owned
        for upstream in sorted(keyed):
            if shard_map.homes.get(upstream) == self.claim.domain:
                self._watch(upstream, now=now)
        for upstream, state in self.upstreams.items():
            if old.get(upstream) != owned.get(upstream):
                state.send_now(now)
        for release in list(self.releases.values()):
            shard = shard_map.shards.get(release.shard)
            if shard is None or shard.owner != release.source:
                del self.releases[release.shard]

    def _watch(self, upstream: ids.UpstreamId, *, now: timedelta) -> None:
        if upstream not in self.upstreams:
            issuer = leases.Issuer(
                domain=self.claim.domain, epoch=self.claim.epoch
            )
            self.upstreams[upstream] = UpstreamState(issuer, now=now)

    def lost(self) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that cannot be reached."""
        return frozenset(u for u, s in self.upstreams.items() if s.lost)

    def forgive_silence(self, now: timedelta) -> None:
        """Count the silence of upstreams from now on."""
        for state in self.upstreams.values():
            state.answered_at = now

    def owned(self, upstream: ids.UpstreamId) -> frozenset[ids.ShardId]:
        return self._owned.get(upstream, frozenset())

    def grantable(self, upstream: ids.UpstreamId) -> frozenset[ids.ShardId]:
        """Return the shards that a grant to the upstream contains."""
        return frozenset(
            s for s in self.owned(upstream) if s not in self.releases
        )

    def tick(self, now: timedelta) -> list[control.Action]:
        """Return the requests that are due."""
        if not self.claim.valid(now):
            return []
        actions: list[control.Action] = []
        for upstream, state in self.upstreams.items():
            if state.due(now):
                actions.append(self._request(upstream, state, now=now))
        return actions

    def _request(
        self,
        upstream: ids.UpstreamId,
        state: UpstreamState,
        *,
        now: timedelta,
    ) -> control.SendLease:
        granting = self.log_read and not state.lost
        if granting and state.issuer.usable(now):
            req = state.issuer.grant(self.grantable(upstream))
        else:
            req = state.issuer.probe()
        state.sent(req, now=now)
        return control.SendLease(upstream=upstream, request=req)

    def answered(
        self, event: control.LeaseAnswered, *, now: timedelta
    ) -> list[control.Action]:
        """Process an upstream's response; return a request that is due."""
        state = self.upstreams.get(event.upstream)
        req, reply = event.request, event.reply
        if state is None or req.epoch != self.claim.epoch:
            return []
        if not self.claim.valid(now):
            return []
        state.issuer.learn(reply, now=now)
        probed = req.basis_ns is None and self.log_read and not state.lost
        state.answered(reply, probed=probed, now=now)
        self._note_dropped(state, event)
        self._note_released(event)
        if state.due(now):
            return [self._request(event.upstream, state, now=now)]
        return []

    def _note_dropped(
        self, state: UpstreamState, event: control.LeaseAnswered
    ) -> None:
        sent = state.sent_at(event.request.seq)
        if sent is None or sent < self.claim.settled_at:
            return
        if event.reply.dropped and event.reply.epoch == self.claim.epoch:
            state.dropped = True

    def _note_released(self, event: control.LeaseAnswered) -> None:
        req, reply = event.request, event.reply
        if req.basis_ns is None or not reply.accepted:
            return
        if not reply.quiesced:
            return
        for release in self.releases.values():
            if release.source != event.upstream:
                continue
            if req.seq > release.after_seq:
                release.released = True

    def release(self, shard: ids.ShardId, *, now: timedelta) -> None:
        """Stop granting a shard to its owner."""
        owner = self._map.shards[shard].owner
        if owner not in self.upstreams or shard in self.releases:
            return
        state = self.upstreams[owner]
        self.releases[shard] = Release(
            shard=shard,
            source=owner,
            not_before=state.issuer.bound,
            after_seq=state.issuer.seq,
        )
        if not state.lost:
            state.send_now(now)

    def cancel(self, shard: ids.ShardId) -> None:
        """Grant a shard to its owner again; its move was not written."""
        self.releases.pop(shard, None)

    def released(self, now: timedelta) -> frozenset[ids.ShardId]:
        """Return the shards that no upstream can serve any more."""
        return frozenset(
            r.shard for r in self.releases.values() if self._ended(r, now)
        )

    def _ended(self, release: Release, now: timedelta) -> bool:
        if not self.cleared(release.source, now):
            return False
        return release.released or now > release.not_before

    def cleared(self, upstream: ids.UpstreamId, now: timedelta) -> bool:
        """Whether no lease of an earlier epoch is or will be in force.

        A response counts only if it was asked for after the earlier claim
        had ended. An upstream that restarts forgets the epoch that it has
        seen, and before that time the earlier holder could still grant.
        """
        settled = self.claim.settled_at
        if now > settled + leases.stretched(leases.LEASE):
            return True
        return self.upstreams[upstream].dropped

"""Grants the leases of one held domain and releases shards of upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from goldcresthaven import claims
from goldcresthaven import control
from goldcresthaven import ids
from goldcresthaven import leases
from goldcresthaven import shards

# A request without a response is repeated sooner than a renewal, so that a
# lease survives one lost message.
RESEND_AFTER = timedelta(milliseconds=250)
LOST_AFTER = timedelta(seconds=2)

# A lost upstream gets shards again only after it has responded for this
# long, so that an upstream that flaps does not attract keys.
RETURN_AFTER = timedelta(seconds=5)

# Latest requests to an upstream whose send times are kept.
_REMEMBERED_REQUESTS = 16


@dataclass(kw_only=True, slots=True)
class ShardRelease:
    """A shard that its owner has to release.

    At ``not_before`` every lease that was granted with the shard has
    ended. ``after_seq`` numbers the last request that may have contained
    the shard, and ``released`` says that the owner confirmed a later one.
    """

    shard: ids.ShardId
    source: ids.UpstreamId
    not_before: timedelta
    after_seq: int
    released: bool = False


class LeasedUpstream:
    """State of one upstream of a domain, kept by the claim holder."""

    def __init__(self, issuer: leases.Issuer, *, now: timedelta) -> None:
        self.issuer = issuer
        self.last_reply_at = now
        self.lost = False
        self.dropped = False
        self._replying_since: timedelta | None = None
        self._boot: ids.BootId | None = None
        self._send_at = now
        self._sent_times: dict[int, timedelta] = {}

    def due(self, now: timedelta) -> bool:
        return now >= self._send_at

    def send_now(self, now: timedelta) -> None:
        """Make the next request due at once."""
        self._send_at = now

    def sent(self, req: leases.LeaseRequest, *, now: timedelta) -> None:
        """Record a request that is sent at ``now``."""
        self._send_at = now + RESEND_AFTER
        self._sent_times[req.seq] = now
        if len(self._sent_times) > _REMEMBERED_REQUESTS:
            del self._sent_times[min(self._sent_times)]

    def sent_at(self, seq: int) -> timedelta | None:
        return self._sent_times.get(seq)

    def record_reply(
        self, reply: leases.LeaseReply, *, probed: bool, now: timedelta
    ) -> None:
        """Record a response and set when the next request is due.

        A grant is due at once if the upstream has restarted, or if
        ``probed`` says that only the missing basis prevented a grant.
        """
        restarted = reply.boot != self._boot
        self._boot = reply.boot
        self.last_reply_at = now
        if self.lost and self._replying_since is None:
            self._replying_since = now
        urgent = probed or restarted
        self._send_at = now if urgent else now + leases.RENEW_INTERVAL

    def update_lost(self, now: timedelta, *, owner: bool) -> bool:
        """Update whether the upstream is lost; True if that changed.

        An upstream that still owns shards is back at its first response,
        because no other upstream can serve them sooner.
        """
        unresponsive = now >= self.last_reply_at + LOST_AFTER
        if unresponsive:
            self._replying_since = None
            if not self.lost and now > self.issuer.bound:
                self.lost = True
                return True
        elif self.lost and self._replying_since is not None:
            if owner or now >= self._replying_since + RETURN_AFTER:
                self.lost = False
                return True
        return False


class HeldDomain:
    """Leases and shard releases under one claim.

    Grants start only when the map log has been read to its end after the
    claim was taken. Until then the map may lack a move that the earlier
    holder wrote.
    """

    def __init__(self, claim: claims.HeldClaim) -> None:
        self.claim = claim
        self.log_read = False
        self.upstreams: dict[ids.UpstreamId, LeasedUpstream] = {}
        self.releases: dict[ids.ShardId, ShardRelease] = {}
        self._lapsed = False
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
        """Apply a new map; ``keyed`` are the upstreams that need leases."""
        self._map = shard_map
        old, self._owned = self._owned, owned
        for upstream in sorted(keyed):
            if shard_map.homes.get(upstream) == self.claim.domain:
                self._add_upstream(upstream, now=now)
        for upstream, state in self.upstreams.items():
            if old.get(upstream) != owned.get(upstream):
                state.send_now(now)
        for release in list(self.releases.values()):
            shard = shard_map.shards.get(release.shard)
            if shard is None or shard.owner != release.source:
                del self.releases[release.shard]

    def _add_upstream(
        self, upstream: ids.UpstreamId, *, now: timedelta
    ) -> None:
        if upstream not in self.upstreams:
            issuer = leases.Issuer(
                domain=self.claim.domain, epoch=self.claim.epoch
            )
            self.upstreams[upstream] = LeasedUpstream(issuer, now=now)

    def lost(self) -> frozenset[ids.UpstreamId]:
        """Return the upstreams that cannot be reached."""
        return frozenset(u for u, s in self.upstreams.items() if s.lost)

    def reset_reply_times(self, now: timedelta) -> None:
        """Count the time without a response from now for every upstream."""
        for state in self.upstreams.values():
            state.last_reply_at = now

    def owned(self, upstream: ids.UpstreamId) -> frozenset[ids.ShardId]:
        return self._owned.get(upstream, frozenset())

    def grantable(self, upstream: ids.UpstreamId) -> frozenset[ids.ShardId]:
        """Return the upstream's shards that are not being released."""
        return frozenset(
            s for s in self.owned(upstream) if s not in self.releases
        )

    def tick(self, now: timedelta) -> list[control.Action]:
        """Return the lease requests that are due.

        While the claim is not valid none are sent, so missing responses of
        that time do not show that an upstream is lost.
        """
        if not self.claim.valid(now):
            self._lapsed = True
            return []
        if self._lapsed:
            self._lapsed = False
            self.reset_reply_times(now)
        actions: list[control.Action] = []
        for upstream, state in self.upstreams.items():
            if state.due(now):
                actions.append(self._request(upstream, state, now=now))
        return actions

    def _request(
        self,
        upstream: ids.UpstreamId,
        state: LeasedUpstream,
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

    def handle_reply(
        self, event: control.LeaseReplied, *, now: timedelta
    ) -> list[control.Action]:
        """Process an upstream's response and return a request if due."""
        state = self.upstreams.get(event.upstream)
        req, reply = event.request, event.reply
        if state is None or req.epoch != self.claim.epoch:
            return []
        if not self.claim.valid(now):
            return []
        state.issuer.update_basis(reply, now=now)
        probed = req.basis_ns is None and self.log_read and not state.lost
        state.record_reply(reply, probed=probed, now=now)
        self._record_dropped(state, event)
        self._record_released(event)
        if state.due(now):
            return [self._request(event.upstream, state, now=now)]
        return []

    def _record_dropped(
        self, state: LeasedUpstream, event: control.LeaseReplied
    ) -> None:
        sent = state.sent_at(event.request.seq)
        if sent is None or sent < self.claim.settled_at:
            return
        if event.reply.dropped and event.reply.epoch == self.claim.epoch:
            state.dropped = True

    def _record_released(self, event: control.LeaseReplied) -> None:
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

    def start_release(self, shard: ids.ShardId, *, now: timedelta) -> None:
        """Stop granting a shard to its owner, so that it can move."""
        owner = self._map.shards[shard].owner
        if owner not in self.upstreams or shard in self.releases:
            return
        state = self.upstreams[owner]
        self.releases[shard] = ShardRelease(
            shard=shard,
            source=owner,
            not_before=state.issuer.bound,
            after_seq=state.issuer.seq,
        )
        if not state.lost:
            state.send_now(now)

    def cancel_release(self, shard: ids.ShardId) -> None:
        """Grant a shard to its owner again instead of moving it."""
        self.releases.pop(shard, None)

    def released(self, now: timedelta) -> frozenset[ids.ShardId]:
        """Return the shards that no upstream can serve any longer."""
        return frozenset(
            r.shard
            for r in self.releases.values()
            if self._release_complete(r, now)
        )

    def _release_complete(self, release: ShardRelease, now: timedelta) -> bool:
        if not self.earlier_leases_ended(release.source, now):
            return False
        return release.released or now > release.not_before

    def earlier_leases_ended(
        self, upstream: ids.UpstreamId, now: timedelta
    ) -> bool:
        """Whether no lease of an earlier epoch is or will be in force.

        The upstream's confirmation counts only if it was requested after
        the earlier claim had ended. Before that the earlier holder could
        still grant a lease to an upstream that restarts, because a restart
        loses the highest epoch that the upstream has received.
        """
        settled = self.claim.settled_at
        if now > settled + leases.stretched(leases.LEASE):
            return True
        return self.upstreams[upstream].dropped

"""Scripted partitions between a claim holder and its successor.

Random failures seldom produce a partition with the holder and one of its
upstreams on one side, and a successor and the store on the other. These
scripts produce it and similar states, with random details and a few random
failures.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from proofs import ownership_sim
from proofs import sim_faults
from proofs import sim_world

SHAPE = ownership_sim.Shape(
    zones=2,
    entries=4,
    upstreams=2,
    shards=4,
    term=timedelta(seconds=6),
    grace=timedelta(seconds=40),
)
WARM_UP = 9.0  # seconds
DURATION = 60.0  # seconds
ZONE = 'z0'
DOMAIN = 'z0/0'


class SplitWorld(sim_faults.FaultyWorld):
    """A simulation that runs the named script, or a random one."""

    def __init__(self, seed: int, script: str = '') -> None:
        super().__init__(seed, SHAPE)
        self._script = script

    def run(self, duration: float = DURATION) -> ownership_sim.Outcome:
        self.schedule.run(WARM_UP + self.rng.uniform(0.0, 2.0))
        self.faults.loss = self.rng.choice((0.0, 0.01))
        holder = self.holder_of(DOMAIN)
        if holder is not None:
            self.choose_script()(self, holder)
        if self.rng.random() < 0.5:
            self._next_request()
        self.schedule.run(duration)
        self.check_log()
        return self.outcome

    def choose_script(self) -> Callable[['SplitWorld', str], None]:
        """Return the named script, or a random one."""
        scripts = {s.__name__: s for s in _SCRIPTS}
        if self._script:
            return scripts[self._script]
        return self.rng.choice(_SCRIPTS)

    def peers(self, holder: str) -> list[str]:
        """Return the other entry processes of the zone, shuffled."""
        names = [n for n in self.zone_nodes(ZONE) if n in self.entries]
        names.remove(holder)
        self.rng.shuffle(names)
        return names

    def split(self, side: list[str], duration: float) -> None:
        """Partition some nodes from the store and all other nodes."""
        everyone = [*self.entries, *self.upstreams, sim_world.STORE]
        rest = [n for n in everyone if n not in side]
        self.block(sim_world.pairs(side, rest), duration)

    def zone_upstreams(self) -> list[str]:
        return [n for n in self.zone_nodes(ZONE) if n in self.upstreams]

    def random_zone_upstream(self) -> str:
        return self.rng.choice(self.zone_upstreams())

    def set_members(self, name: str, without: set[str]) -> None:
        """Give one process a membership list that lacks some VMs."""
        listed = tuple(m for m in self.members() if m.vm not in without)
        self.deliver_event(name, control.MembersRead(members=listed))

    def drain_now(self, name: str, except_entry: str = '') -> None:
        """Drain an upstream and notify all processes except one."""
        self.drained = (ids.UpstreamId(name),)
        for entry in self.entries:
            if entry != except_entry and self.entries[entry].up:
                self.update_entry(entry)

    def split_with_some_peers(self, holder: str) -> None:
        """Partition a holder, an upstream and any number of peers."""
        peers = self.peers(holder)
        side = [holder, self.random_zone_upstream()]
        side += peers[: self.rng.randrange(len(peers) + 1)]
        self.split(side, self.rng.uniform(5.0, 60.0))

    def split_with_strangers_outside(self, holder: str) -> None:
        """Leave outside only VMs that the holder's claim row does not list.

        The first that takes over may then stop, and the second too.
        """
        first, second, inside = self.peers(holder)
        unlisted_peers = {first, second}
        for name in (holder, inside):
            self.set_members(name, unlisted_peers)
        upstream = self.random_zone_upstream()

        def split() -> None:
            self.split([holder, inside, upstream], 55.0)

        self.schedule.after(self.rng.uniform(2.5, 5.0), split)
        if self.rng.random() < 0.7:
            for name in (first, second):
                delay = self.rng.uniform(10.0, 14.0)
                self.schedule.after(delay, self.entries[name].stop)
                if self.rng.random() < 0.7:
                    break

    def split_after_unseen_renewal(self, holder: str) -> None:
        """Add a peer by a renewal whose response the holder does not get."""
        unlisted_peer, *inside = self.peers(holder)
        self.set_members(holder, {unlisted_peer})
        upstream = self.random_zone_upstream()

        def relist() -> None:
            self.faults.lost_store_responses.add(holder)
            self.set_members(holder, set())

        def split() -> None:
            self.split([holder, *inside, upstream], 50.0)

        delay = self.rng.uniform(3.0, 5.0)
        self.schedule.after(delay, relist)
        self.schedule.after(delay + self.rng.uniform(2.0, 3.0), split)

    def restart_between_holders(self, holder: str) -> None:
        """Restart an upstream that only the previous holder can reach."""
        upstream = self.random_zone_upstream()
        links = sim_world.pairs([holder], [*self.entries, sim_world.STORE])
        other = [u for u in self.zone_upstreams() if u != upstream]
        links |= sim_world.pairs([holder], other)
        self.block(links, self.rng.uniform(4.0, 10.0))
        self.drain_now(upstream, except_entry=holder)
        others = [e for e in self.entries if e != holder]

        def isolate() -> None:
            self.block(sim_world.pairs([upstream], others), 10.0)
            self.upstreams[upstream].stop()
            self.start_upstream(upstream)

        self.schedule.after(self.rng.uniform(1.2, 3.0), isolate)

    def release_with_late_grants(self, holder: str) -> None:
        """Release a claim while grants are delayed and a drain begins."""
        upstream = self.random_zone_upstream()

        def slow_down() -> None:
            delay = self.rng.uniform(0.8, 1.4)
            self.faults.link_delays[holder, upstream] = delay

        def release() -> None:
            self.deliver_event(holder, control.Stopping())
            self.drain_now(upstream, except_entry=holder)

        delay = self.rng.uniform(0.5, 2.0)
        self.schedule.after(delay, slow_down)
        delay += self.rng.uniform(0.2, 0.6)
        self.schedule.after(delay, release)

    def meet_again(self, holder: str) -> None:
        """Partition a holder from its peers until one takes its claim.

        The holder, which cannot reach the store, then asks the peers again
        for consent. They must refuse it, because one has raised the epoch.
        """
        peers = self.peers(holder)
        store = {frozenset((holder, sim_world.STORE))}
        self.block(store, self.rng.uniform(20.0, 50.0))
        apart = sim_world.pairs([holder], peers)
        self.block(apart, self.rng.uniform(1.0, 3.0))
        others = [e for e in self.entries if e != holder]
        self.block(sim_world.pairs(self.zone_upstreams(), others), 50.0)

    def pause_while_writing(self, holder: str) -> None:
        """Pause processes before their writes, so that claims are taken over.

        The drain of an upstream causes the writes.
        """
        self.pause_probability = self.rng.choice((0.005, 0.02))
        self.drain_now(self.random_zone_upstream())
        self.schedule.after(8.0, self.end_pauses)

    def end_pauses(self) -> None:
        self.pause_probability = 0.0

    def map_copy_lags(self, holder: str) -> None:
        """Pause a holder just after a move that its peers did not receive."""
        self.gossip_loss = self.rng.choice((0.5, 1.0))
        self.add_upstream('z1-j0')
        for name in self.entries:
            self.update_entry(name)
        delay = self.rng.uniform(0.0, 0.5)
        self.schedule.after(delay, lambda: self.entries[holder].pause(20.0))


_SCRIPTS: tuple[Callable[[SplitWorld, str], None], ...] = (
    SplitWorld.split_with_some_peers,
    SplitWorld.split_with_strangers_outside,
    SplitWorld.split_after_unseen_renewal,
    SplitWorld.restart_between_holders,
    SplitWorld.release_with_late_grants,
    SplitWorld.pause_while_writing,
    SplitWorld.map_copy_lags,
    SplitWorld.meet_again,
)


def run(seed: int, script: str = '') -> ownership_sim.Outcome:
    """Run the product with the named script or one chosen by the seed."""
    return SplitWorld(seed, script).run()

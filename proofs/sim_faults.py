"""Random failures for the ownership simulation."""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import control
from goldcresthaven import ids
from proofs import ownership_sim
from proofs import sim_world

SHAPE = ownership_sim.Shape(
    zones=2,
    entries=2,
    upstreams=2,
    shards=6,
    term=timedelta(seconds=6),
    grace=timedelta(seconds=18),
)
WARM_UP = 4.0  # seconds
DURATION = 60.0  # seconds


class FaultyWorld(ownership_sim.World):
    """A simulation with a random failure every few seconds."""

    def __init__(self, seed: int, shape: ownership_sim.Shape = SHAPE) -> None:
        super().__init__(seed, shape)
        self._joined = 0

    def run(self, duration: float = DURATION) -> ownership_sim.Outcome:
        """Warm up, inject failures and check the log at the end."""
        self.schedule.run(WARM_UP)
        self.pause_probability = self.rng.choice((0.0, 0.0002, 0.001))
        self.faults.loss = self.rng.choice((0.0, 0.01, 0.1))
        self.faults.late = self.rng.choice((0.0, 0.01, 0.1))
        self.faults.duplicate = self.rng.choice((0.0, 0.05))
        self._next_request()
        self._next_fault()
        self.schedule.run(duration)
        self.check_log()
        return self.outcome

    def _next_fault(self) -> None:
        self.schedule.after(self.rng.uniform(0.2, 4.0), self._next_fault)
        self.rng.choice(_FAULTS)(self)

    def _next_request(self) -> None:
        """Run a request for a random time at a random upstream."""
        self.schedule.after(self.rng.uniform(0.05, 0.5), self._next_request)
        node = self.rng.choice(list(self.upstreams.values()))
        serving = self.serving(node)
        if node.paused or not serving:
            return
        guard, now = node.guard, node.clock.elapsed()
        ticket = guard.start(self.rng.choice(serving), now=now)
        if ticket is not None:
            self.schedule.after(
                self.rng.uniform(0.01, 3.0), lambda: guard.finish(ticket)
            )

    def entry(self) -> ownership_sim.Entry:
        """Return a random entry process, more often a claim holder."""
        if self.rng.random() < 0.6:
            zone = self.rng.randrange(self.shape.zones)
            holder = self.holder_of(f'z{zone}/0')
            if holder is not None:
                return self.entries[holder]
        return self.rng.choice(list(self.entries.values()))

    def upstream(self) -> ownership_sim.Upstream:
        return self.rng.choice(list(self.upstreams.values()))

    def block(self, links: set[frozenset[str]], duration: float) -> None:
        """Block links for a while."""
        self.faults.blocked |= links
        self.schedule.after(
            duration, lambda: self.faults.blocked.difference_update(links)
        )

    def pause_entry(self) -> None:
        self.entry().pause(self.rng.uniform(0.2, 20.0))

    def freeze_upstream(self) -> None:
        self.upstream().pause(self.rng.uniform(0.2, 10.0))

    def restart_entry(self) -> None:
        node = self.entry()
        node.stop()
        self._start_later(node, lambda: self.start_entry(node.name))

    def restart_upstream(self) -> None:
        node = self.upstream()
        node.stop()
        self._start_later(node, lambda: self.start_upstream(node.name))

    def _start_later(
        self, node: sim_world.Node, start: Callable[[], None]
    ) -> None:
        boot = node.boots
        delay = self.rng.choice((0.01, 0.5, 8.0))

        def start_once() -> None:
            if node.boots == boot:
                start()

        self.schedule.after(delay, start_once)

    def release_entry(self) -> None:
        node = self.entry()
        self.deliver_event(node.name, control.Stopping())
        boot = node.boots

        def replace() -> None:
            if node.boots == boot:
                node.stop()
            if not node.up:
                self.start_entry(node.name)

        self.schedule.after(self.rng.uniform(1.0, 10.0), replace)

    def stop_store(self) -> None:
        self.faults.store_down = True
        duration = self.rng.uniform(0.5, 25.0)

        def restore() -> None:
            self.faults.store_down = False

        self.schedule.after(duration, restore)

    def cut_zone(self) -> None:
        name = f'z{self.rng.randrange(self.shape.zones)}'
        cut_off = self.zone_nodes(name)
        everyone = [*self.entries, *self.upstreams]
        others = [n for n in everyone if n not in cut_off]
        self.block(
            sim_world.pairs(cut_off, [*others, sim_world.STORE]),
            self.rng.uniform(1.0, 30.0),
        )

    def cut_entry_from_store(self) -> None:
        name = self.entry().name
        self.block(
            {frozenset((name, sim_world.STORE))},
            self.rng.uniform(0.5, 20.0),
        )

    def cut_entry_from_peers(self) -> None:
        name = self.entry().name
        links = sim_world.pairs([name], list(self.entries))
        self.block(links, self.rng.uniform(0.5, 20.0))

    def cut_entry_from_upstreams(self) -> None:
        name = self.entry().name
        links = sim_world.pairs([name], list(self.upstreams))
        self.block(links, self.rng.uniform(0.5, 10.0))

    def cut_peers_from_upstreams(self) -> None:
        """Leave one entry process as the only one that reaches upstreams."""
        name = self.entry().name
        others = [e for e in self.entries if e != name]
        links = sim_world.pairs(others, list(self.upstreams))
        self.block(links, self.rng.uniform(2.0, 15.0))

    def toggle_drain(self) -> None:
        name = ids.UpstreamId(self.upstream().name)
        if name in self.drained:
            self.drained = tuple(u for u in self.drained if u != name)
        else:
            self.drained = (name,)
        self.update_all_entries()

    def toggle_leaving(self) -> None:
        self.leaving ^= {self.upstream().name}
        self.update_all_entries()

    def toggle_listed(self) -> None:
        """Remove an entry process from the membership list or add it again."""
        self.unlisted ^= {self.entry().name}
        self.update_all_entries()

    def join_upstream(self) -> None:
        if self._joined == 2:
            return
        zone = self.rng.randrange(self.shape.zones)
        self.add_upstream(f'z{zone}-j{self._joined}')
        self._joined += 1
        self.update_all_entries()


_FAULTS: tuple[Callable[[FaultyWorld], None], ...] = (
    FaultyWorld.pause_entry,
    FaultyWorld.freeze_upstream,
    FaultyWorld.restart_entry,
    FaultyWorld.restart_upstream,
    FaultyWorld.release_entry,
    FaultyWorld.stop_store,
    FaultyWorld.cut_zone,
    FaultyWorld.cut_entry_from_store,
    FaultyWorld.cut_entry_from_peers,
    FaultyWorld.cut_entry_from_upstreams,
    FaultyWorld.cut_peers_from_upstreams,
    FaultyWorld.toggle_drain,
    FaultyWorld.toggle_drain,
    FaultyWorld.toggle_leaving,
    FaultyWorld.toggle_listed,
    FaultyWorld.join_upstream,
)


def run(seed: int) -> ownership_sim.Outcome:
    """Run the product with the random failures of a seed."""
    return FaultyWorld(seed).run()

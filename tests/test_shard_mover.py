"""Tests of the moves after the loss of an upstream."""

import unittest

from goldcresthaven import ids
from goldcresthaven import map_codec
from goldcresthaven import shards
from goldcresthaven import tables
from proofs import ownership_cases
from proofs import ownership_sim

# Size of the keyed pool in the deployment Qasr.
SHAPE = ownership_sim.Shape(
    zones=3,
    entries=2,
    upstreams=5,
    shards=120,
    term=ownership_cases.SHAPE.term,
    grace=ownership_cases.SHAPE.grace,
)
LOST = ids.UpstreamId('z0-u0')
WARM_UP = 20.0
AFTER = 15.0


class LossTest(unittest.TestCase):
    def test_no_shard_moves_to_a_lost_upstream(self) -> None:
        """Guards against moves for balance to an upstream that was lost.

        The holders of other domains read that the upstream is empty before
        they read that it is lost.
        """
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                world = ownership_sim.World(seed, SHAPE)
                world.schedule.run(WARM_UP)
                before = len(changes(world))
                world.upstreams[LOST].stop()
                world.schedule.run(WARM_UP + AFTER)
                self.assertEqual(world.outcome.violations, [])
                made = changes(world)[before:]
                given = [c.version for c in made if assigns_to(c, LOST)]
                self.assertEqual(given, [])
                self.assertGreater(len(made), 0)


def changes(world: ownership_sim.World) -> list[shards.MapChange]:
    rows = world.table.scan(tables.MAP_LOG)
    return [map_codec.from_value(row.value) for row in rows]


def assigns_to(change: shards.MapChange, upstream: ids.UpstreamId) -> bool:
    return any(shard.owner == upstream for shard in change.shards)

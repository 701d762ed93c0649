"""The two rows of a keyed pool in the store: its claim and its key map.

A map is written together with the claim, so that only the claim's holder can
store one.
"""

from goldcresthaven import ids
from goldcresthaven import key_claims
from goldcresthaven import key_map
from goldcresthaven import state_store


class KeyRows:
    """Reads and writes the rows of one pool."""

    def __init__(
        self, *, pool: ids.PoolName, store: state_store.StateStore
    ) -> None:
        self._pool = pool
        self._store = store
        self._claim_key = state_store.Key(
            table=state_store.Table.CLAIMS, key=pool
        )
        self._map_key = state_store.Key(
            table=state_store.Table.ASSIGNMENTS, key=pool
        )

    async def read_claims(self) -> state_store.Reading:
        return await self._store.read(state_store.Table.CLAIMS)

    async def read_maps(self) -> state_store.Reading:
        return await self._store.read(state_store.Table.ASSIGNMENTS)

    def find(self, reading: state_store.Reading) -> state_store.Row | None:
        """Return the pool's row in one of the tables."""
        return next(
            (row for row in reading.rows if row.key == self._pool), None
        )

    def version_in(self, reading: state_store.Reading) -> int:
        """Return the version of the pool's row in one of the tables."""
        row = self.find(reading)
        return state_store.ABSENT if row is None else row.version

    def map_in(self, maps: state_store.Reading) -> key_map.KeyMap:
        """Decode the pool's map; raises ProtocolError if it is malformed."""
        row = self.find(maps)
        if row is None or row.value is None:
            return key_map.empty()
        return key_map.decode(row.value, version=row.version)

    async def write_claim(
        self, claim: key_claims.Claim, *, expected: int
    ) -> state_store.WriteResult:
        """Replace version ``expected`` of the claim's row."""
        return await self._store.write(
            expected={self._claim_key: expected},
            puts={self._claim_key: claim.encode()},
        )

    async def write_claim_and_map(
        self,
        claim: key_claims.Claim,
        keys: key_map.KeyMap,
        *,
        expected: int,
        expected_map: int,
    ) -> state_store.WriteResult:
        """Replace version ``expected_map`` of the map's row as well."""
        return await self._store.write(
            expected={self._claim_key: expected, self._map_key: expected_map},
            puts={
                self._claim_key: claim.encode(),
                self._map_key: keys.encode(),
            },
        )

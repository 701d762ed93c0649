"""A table service in memory, for tests of code that writes rows."""

from collections.abc import Coroutine
import itertools
from typing import Any
from typing import TypeVar

from goldcresthaven import errors
from goldcresthaven import tables

T = TypeVar('T')


def drive(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that must not suspend; return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise AssertionError('the coroutine suspended')


class MemoryStore:
    """A table service in memory whose answers follow a script.

    Each letter of ``script`` determines one transaction: ``.`` succeeds,
    ``l`` is applied but its answer is lost, ``d`` is lost before it is
    applied, ``c`` fails to connect. ``read_fails`` makes reads fail.
    """

    def __init__(self, script: str = '', *, read_fails: bool = False) -> None:
        self.rows: dict[str, tables.Row] = {}
        self._script = itertools.chain(script, itertools.repeat('.'))
        self._read_fails = read_fails

    async def transact(self, tx: tables.Transaction) -> tables.Result:
        step = next(self._script)
        if step == 'c':
            raise errors.ConnectionFailed('refused', remedy='start it')
        if step == 'd':
            return tables.Ambiguous(detail='no response')
        result = self.apply(tx)
        return (
            tables.Ambiguous(detail='no response') if step == 'l' else result
        )

    def apply(self, tx: tables.Transaction) -> tables.Result:
        for condition in tx.conditions:
            assert isinstance(condition, tables.VersionIs)
            row = self.rows.get(condition.key)
            version = row.version if row is not None else tables.ABSENT
            if version != condition.version:
                rows = (row,) if row is not None else ()
                return tables.Conflict(rows=rows)
        for write in tx.writes:
            row = tables.Row(key=write.key, version=1, value=write.value)
            self.rows[write.key] = row
        return tables.Committed()

    async def read(self, table: str, key: str) -> tables.Row | None:
        if self._read_fails:
            raise errors.StoreUnavailable('no response', remedy='wait')
        return self.rows.get(key)

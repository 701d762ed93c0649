"""Reads of complete tables, at most one at a time for each table."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from goldcresthaven import aio
from goldcresthaven import store_client
from goldcresthaven import tables

T = TypeVar('T')


async def read_table(
    store: store_client.StoreClient, table: str, *, after: str = ''
) -> tuple[tables.Row, ...]:
    """Return all rows with keys after ``after``.

    Raises StoreUnavailable.
    """
    found: list[tables.Row] = []
    while True:
        page = await store.rows(table, after=after)
        found += page
        if len(page) < store_client.SCAN_LIMIT:
            return tuple(found)
        after = page[-1].key


class Reader(Generic[T]):
    """Runs one read at a time and keeps only the newest pending request.

    This prevents reads from piling up when the store is slow. A read that is
    requested while another one runs starts after that one has ended, so it
    includes everything written before the request.
    """

    def __init__(self, read: Callable[[T], Awaitable[None]]) -> None:
        self._read = read
        self._running = False
        self._next: T | None = None

    async def schedule(self, wanted: T) -> None:
        """Schedule a read and return without waiting for it."""
        self._next = wanted
        if not self._running:
            self._running = True
            await aio.spawn(self._run())

    async def _run(self) -> None:
        try:
            while (wanted := self._next) is not None:
                self._next = None
                await self._read(wanted)
        finally:
            self._running = False

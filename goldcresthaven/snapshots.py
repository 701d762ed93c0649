"""Transfer of a log's snapshot between peers, in chunks that fit a message.

A process that needs older log entries than its peers keep requests a
snapshot of the state from one of them. All chunks of a transfer belong to
one version: the sender keeps its snapshot while it applies newer versions.
A transfer that starts when no chunk has been requested for ``RETENTION``
replaces the snapshot by a newer one, and an older transfer must restart.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import messages

# The target scale is 900,000 shards of 60 bytes; the rest is a reserve.
MAX_SNAPSHOT_BYTES = 64 << 20
RETENTION = timedelta(seconds=30)


class SnapshotSource:
    """Serves snapshots of one log and keeps at most one in memory."""

    def __init__(self, log: messages.LogName, time: clock.Clock) -> None:
        self._log = log
        self._clock = time
        self._version = 0
        self._data = b''
        self._last_used = timedelta()

    def answer(
        self,
        query: messages.SnapshotQuery,
        version: int,
        encode: Callable[[], bytes],
    ) -> messages.SnapshotReply:
        """Return the requested chunk.

        ``encode`` returns a snapshot of the state at ``version``. It is
        called only when a new transfer needs it.
        """
        now = self._clock.elapsed()
        if query.version == 0 and (
            not self._data
            or (version > self._version and now - self._last_used > RETENTION)
        ):
            self._version, self._data = version, encode()
        if query.version not in (0, self._version):
            return messages.SnapshotReply(
                log=self._log, version=self._version, offset=0, total=0
            )
        self._last_used = now
        end = query.offset + messages.MAX_SNAPSHOT_CHUNK_BYTES
        return messages.SnapshotReply(
            log=self._log,
            version=self._version,
            offset=query.offset,
            total=len(self._data),
            data=self._data[query.offset : end],
        )

    def release(self) -> None:
        """Free the snapshot if it was not requested within ``RETENTION``."""
        if self._clock.elapsed() - self._last_used > RETENTION:
            self._version, self._data = 0, b''


class SnapshotTransfer:
    """Collects the chunks of one snapshot from one peer.

    Example::

        transfer = SnapshotTransfer(log)
        while not transfer.complete:
            transfer.add(await request(transfer.query()))
    """

    def __init__(self, log: messages.LogName) -> None:
        self._log = log
        self._data = bytearray()
        self._total: int | None = None
        self.version = 0

    @property
    def complete(self) -> bool:
        return len(self._data) == self._total

    @property
    def data(self) -> bytes:
        return bytes(self._data)

    def query(self) -> messages.SnapshotQuery:
        return messages.SnapshotQuery(
            log=self._log, version=self.version, offset=len(self._data)
        )

    def add(self, reply: messages.SnapshotReply) -> None:
        """Add the chunk in a reply.

        Raises ProtocolError when it is not the next chunk or the snapshot
        is too large. The caller then starts a new transfer, if possible
        with another peer.
        """
        first = self._total is None
        fits = (
            reply.log is self._log
            and reply.version > 0
            and 0 < reply.total <= MAX_SNAPSHOT_BYTES
            and reply.offset == len(self._data)
            and 0 < len(reply.data) <= reply.total - reply.offset
            and (first or reply.version == self.version)
            and (first or reply.total == self._total)
        )
        if not fits:
            raise errors.ProtocolError(
                f'a reply is not the chunk at byte {len(self._data)} of the '
                f'{self._log.value} snapshot, version {self.version}',
                remedy='start again with another peer',
            )
        self.version, self._total = reply.version, reply.total
        self._data += reply.data

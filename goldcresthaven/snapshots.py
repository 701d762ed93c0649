"""Transfer of a log's snapshot between peers, in pieces that fit a message.

A process whose gap is older than what its peers keep asks one of them for
the state itself. The pieces of one transfer belong to one version: when
the sender has moved on, it serves the version that was started for a
while, and afterwards the receiver starts again.
"""

from collections.abc import Callable
from datetime import timedelta

from goldcresthaven import clock
from goldcresthaven import errors
from goldcresthaven import messages

# 900,000 shards of 60 bytes, the target scale, with some room.
MAX_SNAPSHOT_BYTES = 64 << 20
RETENTION = timedelta(seconds=30)


class SnapshotSource:
    """Serves snapshots of one log; at most one is kept in memory."""

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
        """Return the piece that was asked for.

        ``make`` encodes the state, which is at ``version``; it is called
        only when a new transfer needs it.
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
        """Free a snapshot that nobody has asked for lately."""
        if self._clock.elapsed() - self._last_used > RETENTION:
            self._version, self._data = 0, b''


class SnapshotTransfer:
    """Collects the pieces of one snapshot from one peer.

    Example::

        transfer = SnapshotTransfer(log)
        while not transfer.complete:
            transfer.add(await ask(transfer.query()))
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
        """Take a reply.

        Raises ProtocolError when it does not continue the transfer or is
        too large; the caller then starts a new transfer, with another peer
        if there is one.
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
                f'snapshot of {self._log.value} does not continue at '
                f'{len(self._data)} bytes of version {self.version}',
                remedy='start again with another peer',
            )
        self.version, self._total = reply.version, reply.total
        self._data += reply.data

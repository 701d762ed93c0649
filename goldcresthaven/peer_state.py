"""State that ``peer_link`` keeps for each VM and for each connection."""

import collections
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from enum import Enum

from goldcresthaven import aio
from goldcresthaven import ids
from goldcresthaven import messages
from goldcresthaven import peer_session

# Frames are written in batches to save system calls, mainly for slot
# messages.
BATCH_BYTES = 64 << 10


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits on the memory, connections and time that peers may use.

    The queue has room for two messages of the maximum size.
    ``unauthenticated`` limits the connections that are in the handshake,
    ``write`` the time to write one batch and ``idle`` how long an unused
    connection stays open.
    """

    queue_bytes: int = 2 << 20
    queue_frames: int = 1024
    connections: int = 1024
    unauthenticated: int = 64
    connect: timedelta = timedelta(seconds=1)
    handshake: timedelta = timedelta(seconds=2)
    write: timedelta = timedelta(seconds=2)
    idle: timedelta = timedelta(seconds=60)
    backoff_first: timedelta = timedelta(milliseconds=100)
    backoff_last: timedelta = timedelta(seconds=5)


class LinkEventKind(Enum):
    """Event in the life of a connection."""

    OPENED = 'opened'
    CLOSED = 'closed'
    FAILED = 'failed'
    REFUSED = 'refused'
    MALFORMED = 'malformed'
    TOO_SLOW = 'too-slow'


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkEvent:
    """Event for logs and metrics; ``vm`` is None before authentication."""

    kind: LinkEventKind
    vm: ids.VmId | None
    detail: str = ''


@dataclass
class Waiter:
    """A pending request; ``reply`` stays None if the connection ends."""

    done: aio.Event = field(default_factory=aio.Event)
    reply: messages.Message | None = None


class Link:
    """One open connection; its reader and writer share this object.

    ``early_frames`` arrived together with the peer's Hello, ``wake`` tells
    the writer that there may be output, and ``closing`` ends both tasks.
    """

    def __init__(
        self,
        *,
        sock: aio.Socket,
        session: peer_session.Session,
        initiator: ids.VmId,
        opened_at: timedelta,
        early_frames: list[messages.Frame],
    ) -> None:
        self.sock = sock
        self.session = session
        self.initiator = initiator
        self.opened_at = opened_at
        self.early_frames = early_frames
        self.last_received = opened_at
        self.last_used = opened_at
        self.wake = aio.Event()
        self.closing = aio.Event()
        self.kind = LinkEventKind.CLOSED
        self.detail = ''

    @property
    def hello(self) -> messages.Hello:
        assert self.session.peer is not None
        return self.session.peer

    async def end(self, kind: LinkEventKind, detail: str) -> None:
        """Request that ``PeerLinks`` closes it; the first reason is kept."""
        if not self.closing.is_set():
            self.kind, self.detail = kind, detail
            await self.closing.set()


class Peer:
    """Send queue, pending requests and connection state of one VM.

    ``connect_failures`` counts consecutive failed attempts to connect and
    determines the backoff, which ends at ``retry_at``.
    """

    def __init__(self, vm: ids.VmId) -> None:
        self.vm = vm
        self.queue: collections.deque[bytes] = collections.deque()
        self.queued_bytes = 0
        self.pending: dict[int, Waiter] = {}
        self.link: Link | None = None
        self.connecting = False
        self.connect_failures = 0
        self.retry_at = timedelta()

    def is_idle(self, now: timedelta) -> bool:
        busy = self.link or self.connecting or self.pending
        return not busy and self.retry_at <= now

    def push(self, data: bytes, limits: Limits) -> bool:
        if (
            len(self.queue) >= limits.queue_frames
            or self.queued_bytes + len(data) > limits.queue_bytes
        ):
            return False
        self.queue.append(data)
        self.queued_bytes += len(data)
        return True

    def pop_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self.queue and size < BATCH_BYTES:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            size += len(data)
            batch.append(data)
        return batch

    async def fail(self) -> None:
        """Drop queued frames and end all pending requests without a reply."""
        self.queue.clear()
        self.queued_bytes = 0
        waiters = list(self.pending.values())
        self.pending.clear()
        for waiter in waiters:
            await waiter.done.set()

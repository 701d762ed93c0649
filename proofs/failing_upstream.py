"""An upstream that fails before, during or after it runs a request."""

import collections
import random

from goldcresthaven import aio
from tools import entry_harness

KINDS = (
    'good',
    'refuse',
    'not-owner',
    'drop-before',
    'drop-after',
    'cut-after',
    'error-after',
    'freeze',
)
DEADLINE_MS = '40'

_BODY = b'ok'
_REFUSE = (
    b'HTTP/1.1 503 Busy\r\nX-Outcome: not-run\r\n'
    b'X-Reason: queue-full\r\nContent-Length: 0\r\n\r\n'
)
_NOT_OWNER = b'HTTP/1.1 421 Not owner\r\nContent-Length: 0\r\n\r\n'
_ERROR = b'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n'


class FailingUpstream:
    """Chooses what happens to each request at random.

    ``runs`` counts the executions of each idempotency key. Frozen requests
    are executed when ``thaw`` is called, after their callers have timed out.
    From then on the upstream is healthy.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._thawed = aio.Event()
        self._frozen = 0
        self.healthy = False
        self.runs: collections.Counter[str] = collections.Counter()

    async def thaw(self) -> None:
        """Run the frozen requests and wait until they are finished."""
        self.healthy = True
        await self._thawed.set()
        await entry_harness.wait_for(lambda: self._frozen == 0)

    async def script(
        self, upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
    ) -> None:
        try:
            while head := await entry_harness.read_head(upstream, sock):
                kind = 'good' if self.healthy else self._rng.choice(KINDS)
                if not await self._handle(kind, _key(head), sock):
                    return
        except OSError:
            return

    async def _handle(self, kind: str, key: str, sock: aio.Socket) -> bool:
        """Handle a request; return whether the connection stays open."""
        match kind:
            case 'refuse':
                await sock.sendall(_REFUSE)
                return True
            case 'not-owner':
                await sock.sendall(_NOT_OWNER)
                return True
            case 'drop-before':
                return False
            case 'freeze':
                self._frozen += 1
                await self._thawed.wait()
                self.runs[key] += 1
                self._frozen -= 1
                return False
        self.runs[key] += 1
        match kind:
            case 'good':
                await sock.sendall(entry_harness.ok_response(_BODY))
                return True
            case 'error-after':
                await sock.sendall(_ERROR)
                return True
            case 'cut-after':
                await sock.sendall(entry_harness.ok_response(_BODY)[:-1])
        return False


def _key(head: bytes) -> str:
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'idempotency-key:'):
            return line.split(b':', 1)[1].strip().decode()
    return ''

"""Promise 3: a caller gets its own complete response and no other.

The upstream sends responses late, twice or truncated, and never echoes the
request id. The naive variant returns every connection to its pool, even if
the last exchange on it failed.
"""

from collections.abc import Container
from datetime import timedelta
import random

from goldcresthaven import aio
from goldcresthaven import errors
from goldcresthaven import http_io
from goldcresthaven import members
from goldcresthaven import upstream_pool
from proofs import report
from tools import entry_harness

REQUESTS = 6
LATE_DEADLINE = '40'
# An 'again' response is sent a second time after SECOND_COPY_DELAY. The next
# request waits for AFTER_SECOND_COPY_DELAY, so the copy arrives before it.
SECOND_COPY_DELAY = timedelta(milliseconds=2)
AFTER_SECOND_COPY_DELAY = timedelta(milliseconds=8)
KINDS = ('good', 'late', 'twice', 'again', 'cut')
SEEDS = range(25)


class NaivePool(upstream_pool.UpstreamPool):
    """Reuses a connection whether or not its last exchange succeeded."""

    async def take(
        self,
        address: members.Address,
        *,
        limit: int,
        excluded: Container[int] = (),
    ) -> http_io.UpstreamConn:
        endpoint = self._endpoints.get(address)
        if endpoint is None or not endpoint.idle:
            return await super().take(address, limit=limit)
        conn = endpoint.idle.pop()
        conn.begin()
        return conn

    async def give_back(
        self, address: members.Address, conn: http_io.UpstreamConn
    ) -> None:
        self._endpoints[address].idle.append(conn)


class Upstream:
    """Answers each request with its path, in the manner of its kind.

    The number at the end of the path is the index of the kind.
    """

    def __init__(self, kinds: list[str]) -> None:
        self._kinds = kinds
        self._late_response: tuple[aio.Socket, bytes] | None = None

    async def script(
        self, upstream: entry_harness.ScriptedUpstream, sock: aio.Socket
    ) -> None:
        try:
            while head := await entry_harness.read_head(upstream, sock):
                if not await self._answer(head, sock):
                    return
        except OSError:
            return

    async def _answer(self, head: bytes, sock: aio.Socket) -> bool:
        path = head.split(b' ')[1]
        kind = self._kinds[int(path.rsplit(b'/', 1)[1])]
        if self._late_response is not None:
            # Send the late response just before the next one.
            late_sock, late = self._late_response
            self._late_response = None
            await _send_ignoring_errors(late_sock, late)
        response = entry_harness.ok_response(path)
        match kind:
            case 'late':
                self._late_response = sock, response
            case 'twice':
                await sock.sendall(response * 2)
            case 'again':
                await sock.sendall(response)
                await aio.sleep(SECOND_COPY_DELAY)
                await sock.sendall(response)
            case 'cut':
                await sock.sendall(response[:-2])
                return False
            case _:
                await sock.sendall(response)
        return True


async def _send_ignoring_errors(sock: aio.Socket, data: bytes) -> None:
    try:
        await sock.sendall(data)
    except (OSError, AttributeError):
        # The entry closed the connection after its timeout, as it should.
        return


async def _run_violates(seed: int, pool: upstream_pool.UpstreamPool) -> bool:
    rng = random.Random(seed)
    kinds = [rng.choice(KINDS) for _ in range(REQUESTS)] + ['good']
    upstream = await entry_harness.start_scripted(Upstream(kinds).script)
    harness = await entry_harness.start(
        {'free-a': upstream.address}, conns=pool
    )
    for number, kind in enumerate(kinds):
        if 'again' in kinds[number - 1 : number]:
            await aio.sleep(AFTER_SECOND_COPY_DELAY)
        target = f'/free/{number}'
        limit = LATE_DEADLINE if kind == 'late' else '2000'
        try:
            response = await harness.fetch(
                'GET', target, headers=(('x-deadline-ms', limit),)
            )
        except errors.Error:
            if kind == 'good':
                return True
            continue
        if response.outcome == 'done' and response.body != target.encode():
            return True
        if response.outcome != 'done' and kind == 'good':
            return True
    return False


def check(seed: int, pool: upstream_pool.UpstreamPool) -> bool:
    """Return whether a caller did not get its own response.

    A request whose response was late or truncated may fail instead.
    """
    violations: list[bool] = []

    async def run() -> None:
        violations.append(await _run_violates(seed, pool))

    entry_harness.run(run)
    return violations[0]


def proof() -> report.Proof:
    return report.Proof(
        number=3,
        name='whole-answer',
        naive=lambda seed: check(seed, NaivePool()),
        ours=lambda seed: check(seed, upstream_pool.UpstreamPool()),
        seeds=SEEDS,
    )

"""Entry process for ``bench.real_overload``.

``python -m bench.overload_entry ours|naive SETTINGS`` runs an entry process
with the gate of the product or with ``NaiveGate``. It keeps the number of
slot messages that it sent to other processes in a file named like SETTINGS
with the suffix ``.sent``.
"""

from collections.abc import Callable
from collections.abc import Iterable
import os
import pathlib
import random
import sys

from goldcresthaven import aio
from goldcresthaven import dispatch
from goldcresthaven import entry
from goldcresthaven import health
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import node as node_module
from goldcresthaven import operator_views
from goldcresthaven import outcomes
from goldcresthaven import retries
from goldcresthaven import routing
from goldcresthaven import slot_gate
from goldcresthaven import slot_links
from goldcresthaven import slots

# More than a process ever has in flight, so that requests queue only in the
# upstreams.
NAIVE_CONNECTIONS = 4096
COUNT_BYTES = 8


def sent_file(settings: pathlib.Path) -> pathlib.Path:
    """Return the file that holds the number of sent messages."""
    return settings.with_suffix('.sent')


def read_sent(settings: pathlib.Path) -> int:
    return int.from_bytes(sent_file(settings).read_bytes(), 'big')


class MessageCounter:
    """Counts sent messages in a file, which the benchmark reads."""

    def __init__(self, file: pathlib.Path) -> None:
        self._fd = os.open(file, os.O_WRONLY | os.O_CREAT)
        self._sent = 0
        self._write()

    def counted_send(self, send: slot_gate.Send) -> slot_gate.Send:
        async def counted(vm: ids.VmId, message: slots.Message) -> object:
            self._sent += 1
            self._write()
            return await send(vm, message)

        return counted

    def _write(self) -> None:
        os.pwrite(self._fd, self._sent.to_bytes(COUNT_BYTES, 'big'), 0)


class NaiveGate:
    """Immediately sends each request to a random upstream of its pool.

    It has no queues, ranks or floors; the upstream serves requests in order
    of arrival.
    """

    def __init__(self, *, views: dispatch.Views, rng: random.Random) -> None:
        self._views = views
        self._rng = rng

    async def admit(
        self,
        routed: routing.Routed,
        *,
        tried: Iterable[ids.UpstreamId],
        caller_gone: Callable[[], bool],
    ) -> dispatch.Admitted | outcomes.NotRun:
        view = self._views.current()
        candidates: list[members.Member] = []
        if view is not None:
            candidates = [
                member
                for member in view.upstreams.values()
                if member.pool == routed.pool.name
            ]
        if not candidates:
            return outcomes.NotRun(reason=outcomes.Reason.NO_UPSTREAM)
        chosen = self._rng.choice(candidates)
        return dispatch.Admitted(
            upstream=ids.UpstreamId(chosen.vm),
            address=chosen.address,
            connection_limit=NAIVE_CONNECTIONS,
        )

    async def release(
        self,
        routed: routing.Routed,
        admitted: dispatch.Admitted,
        attempt: retries.Attempt | None,
    ) -> None:
        """Do nothing; the gate keeps no state."""

    def in_use(self, upstream: ids.UpstreamId) -> int:
        """Return 0; the gate does not count requests."""
        return 0

    def condition(self, upstream: ids.UpstreamId) -> health.Condition:
        """Return UP; the gate does not track the health of upstreams."""
        return health.Condition.UP

    def queues(self) -> tuple[operator_views.Queue, ...]:
        """Return no queues; the gate never lets a request wait."""
        return ()

    async def run(self) -> None:
        """Wait forever; the gate has no timers."""
        await aio.Event().wait()

    async def stop(self) -> None:
        """Do nothing; the gate has no resources to release."""


def main(policy: str, file: pathlib.Path) -> None:
    counter = MessageCounter(sent_file(file))

    def ours(node: node_module.Node, views: dispatch.Views) -> entry.Gate:
        send = counter.counted_send(node.links.send)
        return slot_links.connect(node, views, send)

    def naive(node: node_module.Node, views: dispatch.Views) -> entry.Gate:
        return NaiveGate(views=views, rng=node.rng)

    entry.main(file, ours if policy == 'ours' else naive)


if __name__ == '__main__':
    main(sys.argv[1], pathlib.Path(sys.argv[2]))

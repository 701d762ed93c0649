"""Measure the cost and delay of gossip for growing fleet sizes.

Runs the real ``gossip`` core on a virtual clock with a fixed seed. For each
fleet size and variant it prints how much a process sends per second and how
long it takes until all processes have applied a change. ``--write`` also
writes the tables to docs/measurements-gossip.md.
"""

from collections.abc import Sequence
from concurrent import futures
from dataclasses import dataclass
from datetime import timedelta
import math
import os
import pathlib
import sys

from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import gossip
from goldcresthaven import ids
from goldcresthaven import peer_session
from proofs import gossip_sim

SIZES = (18, 72, 288, 1152, 4608)
VARIANT_SIZES = (18, 288, 1152)
TARGET_FLEET = 14_000
CHANGES_PER_DAY = 34_000
BURST = 100
SMALL_BYTES = 300
DOCUMENT_BYTES = 4000
SEED = 7
WORKERS = 4
DOC = pathlib.Path(__file__).parent.parent / 'docs/measurements-gossip.md'
_SECOND = gossip_sim.SECOND
_MS = gossip_sim.MS
_DAY = timedelta(days=1)
# Three segments to open and four to close a TCP connection, each with 40
# bytes of IP and TCP headers.
_TCP_BYTES = 7 * 40


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Parameters of a run; ``size`` is the bytes of each change."""

    fleet: int
    burst: bool = False
    size: int = SMALL_BYTES
    fanout: int = gossip.FANOUT
    pull: bool = True
    loss_rate: float = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Result of a run.

    Rates are per process and second, and count only what is sent. The delay
    of a change is the time until the last process has applied it;
    ``delay_mean`` and ``delay_max`` are the mean and the maximum over all
    changes. ``missing`` counts the changes that at least one process had not
    applied at the end.
    """

    case: Case
    messages: float
    bytes: float
    connections: float
    reads: float
    delay_mean: timedelta
    delay_max: timedelta
    missing: int


def handshake_bytes() -> int:
    """Return the bytes that both sides send for a new connection.

    It includes the handshake of peers, and opening and closing of TCP.
    """
    system = clock.ManualClock()
    key = auth.Key(key_id='2026-12', secret=bytes(32))
    ring = auth.KeyRing(keys=(key,))

    def security(vm: str) -> peer_session.Security:
        return peer_session.Security(
            verifier=auth.Verifier(ring, target=vm, time=system),
            time=system,
            nonce=lambda: os.urandom(auth.NONCE_BYTES),
        )

    def identity(vm: str) -> peer_session.Identity:
        return peer_session.Identity(
            vm=ids.VmId(vm), zone=ids.ZoneId('zone-1'), boot=ids.BootId('b')
        )

    left, right = 'vm-00001', 'vm-00002'
    opened = peer_session.ClientSession(
        identity=identity(left),
        security=security(left),
        target=ids.VmId(right),
        authority='10.0.0.2:7400',
    )
    accepted = peer_session.ServerSession(
        identity=identity(right), security=security(right)
    )
    total = 0
    while opened.peer is None:
        for source, target in ((opened, accepted), (accepted, opened)):
            data = source.output()
            total += len(data) + 40
            target.receive(data)
    return total + _TCP_BYTES


def measure(case: Case) -> Cost:
    """Run a case; a warm-up first opens the usual set of connections."""
    fleet = gossip_sim.Fleet(
        case.fleet,
        seed=SEED,
        faults=gossip_sim.Faults(loss=case.loss_rate),
        tuning=gossip.Tuning(fanout=case.fanout, pull=case.pull),
    )
    # Write a first configuration, because processes without one pull more
    # often.
    _write(fleet, case.size)
    fleet.run((60 if case.fleet <= 1152 else 10) * _SECOND)
    messages, sent = fleet.sent_messages, fleet.sent_bytes
    connections, reads = fleet.connections, fleet.store_reads
    start = fleet.now
    if case.burst:
        count, interval = BURST, _SECOND / BURST
    else:
        count, interval = 12, _DAY / CHANGES_PER_DAY
    for i in range(count):
        fleet.at(start + i * interval, lambda: _write(fleet, case.size))
    fleet.run(max(count * interval, 10 * _SECOND))
    seconds = (fleet.now - start) / _SECOND * case.fleet
    opened = fleet.connections - connections
    rates = (
        (fleet.sent_messages - messages) / seconds,
        (fleet.sent_bytes - sent) / seconds,
        opened / seconds,
        (fleet.store_reads - reads) / seconds,
    )
    fleet.run_until_converged(60 * _SECOND)
    delays, missing = _delays(fleet)
    return Cost(
        case=case,
        messages=rates[0],
        bytes=rates[1] + rates[2] * handshake_bytes(),
        connections=rates[2],
        reads=rates[3],
        delay_mean=sum(delays, timedelta()) / max(len(delays), 1),
        delay_max=max(delays, default=timedelta()),
        missing=missing,
    )


def _write(fleet: gossip_sim.Fleet, size: int) -> None:
    """Commit a change at a random process that has applied the latest."""
    head = fleet.store.head(gossip_sim.CONFIG)
    vms = list(fleet.processes)
    while True:
        vm = fleet.rng.choice(vms)
        if fleet.processes[vm].core.version(gossip_sim.CONFIG) == head:
            fleet.write(vm, size=size)
            return


def _delays(fleet: gossip_sim.Fleet) -> tuple[list[timedelta], int]:
    delays, missing = [], 0
    for at, entry in fleet.store.rows[gossip_sim.CONFIG]:
        times = [
            process.applied_at.get(entry.version)
            for process in fleet.processes.values()
        ]
        known = [when for when in times if when is not None]
        if len(known) < len(times):
            missing += 1
        else:
            delays.append(max(known) - at)
    return delays, missing


def fit(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return the slope and intercept of the least squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return slope, mean_y - slope * mean_x


HEADER = (
    '| processes | fan-out | pull | change bytes | messages/s | bytes/s '
    '| connections/s | store reads/s, fleet | all have it: mean | max '
    '| not everywhere |\n|' + '---|' * 11
)


def row(cost: Cost) -> str:
    case = cost.case
    return (
        f'| {case.fleet} | {case.fanout} | {"yes" if case.pull else "no"} '
        f'| {case.size} | {cost.messages:.2f} | {cost.bytes:.0f} '
        f'| {cost.connections:.2f} | {cost.reads * case.fleet:.0f} '
        f'| {cost.delay_mean / _MS:.0f} ms | {cost.delay_max / _MS:.0f} ms '
        f'| {cost.missing} |'
    )


def slopes(costs: Sequence[Cost]) -> str:
    """Return the fitted increase for each doubling of the fleet size."""
    xs = [math.log2(cost.case.fleet) for cost in costs]
    target = math.log2(TARGET_FLEET)
    parts = []
    series = {
        'messages/s': [cost.messages for cost in costs],
        'bytes/s': [cost.bytes for cost in costs],
        'ms until all have it (mean)': [c.delay_mean / _MS for c in costs],
    }
    for name, ys in series.items():
        slope, start = fit(xs, ys)
        parts.append(
            f'{slope:+.2f} {name} per doubling '
            f'(extrapolated to {TARGET_FLEET}: {start + slope * target:.0f})'
        )
    return 'Fitted slopes: ' + '; '.join(parts) + '.'


def sections() -> dict[str, list[Case]]:
    """Return the cases of each table by the title of the table."""
    rate = f'{CHANGES_PER_DAY:,} changes a day'
    return {
        f'{rate}, small (map) changes': [Case(fleet=n) for n in SIZES],
        f'{rate}, whole documents (configuration)': [
            Case(fleet=n, size=DOCUMENT_BYTES) for n in SIZES
        ],
        f'Burst: {BURST} small changes within one second': [
            Case(fleet=n, burst=True) for n in SIZES
        ],
        'Fan-out and pull, 5% of messages lost': [
            Case(fleet=n, fanout=fanout, pull=pull, loss_rate=0.05)
            for n in VARIANT_SIZES
            for fanout in (2, 3, 5)
            for pull in (True, False)
        ],
    }


def run() -> list[str]:
    """Run all cases and return the lines of the report."""
    tables = sections()
    cases = [case for table in tables.values() for case in table]
    # Start the largest cases first; otherwise one of them could run alone at
    # the end. The results do not depend on the machine, because the clock is
    # virtual.
    cases.sort(key=lambda case: (case.fleet, case.burst), reverse=True)
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        results = dict(zip(cases, pool.map(measure, cases)))
    lines: list[str] = []
    for title, table in tables.items():
        costs = [results[case] for case in table]
        lines += ['', f'### {title}', '', HEADER]
        lines += [row(cost) for cost in costs]
        if len({case.pull for case in table}) == 1:
            lines += ['', slopes(costs)]
    return lines


INTRO = """# Measurements of the spread of changes

## Spread of changes

Printed by `python -m bench.gossip_cost --write`: the real `gossip` core on
a virtual clock, seed {seed}, latency 0.5 to 1.5 ms, 1% of messages lost
unless stated, both logs. Rates are what one process sends; it receives as
much. Bytes include WebSocket, TCP and IP headers and {handshake} bytes for
each new connection (half of them sent by each side); a connection that was
idle for 60 s has been closed. Acknowledgements of TCP and the bytes of
store reads are not included.
"""


def main() -> None:
    lines = run()
    print('\n'.join(lines))
    if '--write' in sys.argv:
        intro = INTRO.format(seed=SEED, handshake=handshake_bytes())
        DOC.write_text(intro + '\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()

"""The entry process: connects the core to the drivers.

Start it with ``goldcresthaven run SETTINGS``. When it listens, it prints one
JSON line with its addresses.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
import json
import os
import pathlib
import signal
import sys
from typing import Protocol

import statsd

from goldcresthaven import aio
from goldcresthaven import auth
from goldcresthaven import caller_server
from goldcresthaven import clock as clock_module
from goldcresthaven import control_driver
from goldcresthaven import dedup
from goldcresthaven import dispatch
from goldcresthaven import events
from goldcresthaven import forwarding
from goldcresthaven import ids
from goldcresthaven import local_process
from goldcresthaven import members
from goldcresthaven import membership
from goldcresthaven import metrics as metrics_module
from goldcresthaven import node as node_module
from goldcresthaven import operator_driver
from goldcresthaven import request_history
from goldcresthaven import settings
from goldcresthaven import settings_files
from goldcresthaven import slot_links
from goldcresthaven import store_client
from goldcresthaven import telemetry
from goldcresthaven import timeline_sync
from goldcresthaven import upstream_pool

FLUSH_INTERVAL = metrics_module.FLUSH_INTERVAL
# Counts of suppressed log lines are written once in this many flushes.
FLUSHES_PER_LOG_SUMMARY = 10


class Gate(dispatch.Gate, local_process.RequestStats, Protocol):
    """A gate that runs its own timers and reports its queues."""

    async def run(self) -> None:
        """Run the timers until cancelled."""

    async def stop(self) -> None:
        """Return idle slots before a planned shutdown."""


Connect = Callable[[node_module.Node, dispatch.Views], Gate]


@dataclass(kw_only=True)
class Parts:
    """The parts of one entry process.

    ``store`` serves the request path and ``control_store`` the control
    plane, so that a burst of payments cannot use up the connections that
    renew claims.
    """

    node: node_module.Node
    store: store_client.StoreClient
    control_store: store_client.StoreClient
    control: control_driver.ControlDriver
    membership: membership.Membership
    milestones: timeline_sync.TimelineSync
    conns: upstream_pool.UpstreamPool
    gate: Gate
    server: caller_server.CallerServer
    operator: operator_driver.OperatorDriver


def build_node(
    cfg: settings.ProcessSettings,
    ring: auth.KeyRing,
    clock: clock_module.Clock,
) -> node_module.Node:
    """Create the node, which the parts share."""
    client = None
    if cfg.statsd_address is not None:
        address = cfg.statsd_address
        client = statsd.StatsClient(
            address.host, address.port, prefix=metrics_module.PREFIX
        )
    return node_module.Node(
        vm=cfg.vm,
        zone=cfg.zone,
        ring=ring,
        clock=clock,
        metrics=metrics_module.Metrics(client),
        max_events=cfg.limits.timeline_events,
    )


def build(
    cfg: settings.ProcessSettings,
    ring: auth.KeyRing,
    clock: clock_module.Clock,
    connect: Connect = slot_links.connect,
) -> Parts:
    """Create the parts without starting them.

    ``connect`` creates the gate; a benchmark passes other gates to compare.
    """
    node = build_node(cfg, ring, clock)
    store, control_store = (
        store_client.StoreClient(address=cfg.platform_address, clock=clock)
        for _ in range(2)
    )
    control = control_driver.ControlDriver(node=node, store=control_store)
    views = control.gossip
    conns = upstream_pool.UpstreamPool()
    gate = connect(node, views)
    history = build_history(node, cfg.limits.recent_requests)
    server = caller_server.CallerServer(
        views=views,
        gate=gate,
        records=dedup.Records(store=store),
        forwarder=forwarding.Forwarder(conns=conns, clock=clock),
        history=history,
        clock=clock,
        limits=cfg.limits,
    )
    return Parts(
        node=node,
        store=store,
        control_store=control_store,
        control=control,
        membership=membership.Membership(
            node=node, store=control_store, on_change=control.members_changed
        ),
        milestones=timeline_sync.TimelineSync(node),
        conns=conns,
        gate=gate,
        server=server,
        operator=operator_driver.OperatorDriver(
            node=node,
            request_stats=gate,
            conns=conns,
            history=history,
            store=control_store,
            control=control,
            server=server,
        ),
    )


def build_history(
    node: node_module.Node, limit: int
) -> request_history.RequestHistory:
    """Create the record of recent requests."""

    def epoch_of(owner: ids.UpstreamId) -> ids.Epoch | None:
        domain = node.domain_of(owner)
        return None if domain is None else node.controller.epoch(domain)

    return request_history.RequestHistory(
        vm=node.vm,
        clock=node.clock,
        timeline=node.timeline,
        epoch_of=epoch_of,
        limit=limit,
    )


async def start(parts: Parts, cfg: settings.ProcessSettings) -> int:
    """Start the control plane and the gate; return the peer port."""
    port = await parts.node.listen(cfg.peer_address)
    await parts.milestones.start()
    await parts.membership.start()
    await parts.control.start()
    await aio.spawn(parts.gate.run())
    return port


async def serve(
    cfg: settings.ProcessSettings,
    ring: auth.KeyRing,
    connect: Connect = slot_links.connect,
) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully."""
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    clock = clock_module.SystemClock()
    parts = build(cfg, ring, clock, connect)
    logs = install_logs(cfg, clock)
    await aio.spawn(flush(parts.node.metrics, logs))
    peer_port = await start(parts, cfg)
    listener = aio.Listener(
        host=cfg.caller_address.host,
        port=cfg.caller_address.port,
        handler=parts.server.serve,
    )
    await listener.start()
    operator_port = await parts.operator.start(cfg.operator_address)
    addresses = {
        'vm': cfg.vm,
        'caller': str(_bound(cfg.caller_address, listener.port)),
        'peer': str(_bound(cfg.peer_address, peer_port)),
        'operator': str(_bound(cfg.operator_address, operator_port)),
    }
    print(json.dumps(addresses), flush=True)
    await stop.wait()
    await shut_down(parts, listener, cfg.balancer_delay)


def install_logs(
    cfg: settings.ProcessSettings, clock: clock_module.Clock
) -> telemetry.LogWriter:
    """Send log lines to standard error."""
    writer = telemetry.LogWriter(
        sink=telemetry.DescriptorSink(sys.stderr.fileno(), os.write),
        time=clock,
        context={'vm': cfg.vm, 'zone': cfg.zone},
        rate=float(cfg.limits.log_lines_per_second),
    )
    writer.install()
    return writer


async def flush(
    metrics: metrics_module.Metrics, writer: telemetry.LogWriter
) -> None:
    """Send metrics every second and log summaries every ten seconds."""
    count = 0
    while True:
        await aio.sleep(FLUSH_INTERVAL)
        metrics.flush()
        count += 1
        if count % FLUSHES_PER_LOG_SUMMARY == 0:
            writer.flush()


async def shut_down(
    parts: Parts, listener: aio.Listener, delay: timedelta
) -> None:
    """Finish the requests in flight, then stop all parts."""
    parts.node.timeline.add(events.Kind.PROCESS_STOPPING)
    await stop_callers(parts.server, listener, delay)
    await parts.gate.stop()
    await parts.control.release_claims()
    await parts.control.stop()
    await parts.membership.stop()
    await parts.milestones.stop()
    await parts.operator.stop()
    await parts.node.links.close()
    await parts.conns.close()
    await parts.control_store.close()
    await parts.store.close()


async def stop_callers(
    server: caller_server.CallerServer,
    listener: aio.Listener,
    delay: timedelta,
) -> None:
    """Stop accepting callers; return after the last request in flight.

    New callers are still served for ``delay``, until the load balancer has
    noticed that this process is not ready.
    """
    server.drain()
    await aio.sleep(delay)
    await listener.stop()
    server.close_when_idle()
    await listener.wait_closed()


def _bound(address: members.Address, port: int) -> members.Address:
    return members.Address(host=address.host, port=port)


def main(file: pathlib.Path, connect: Connect = slot_links.connect) -> None:
    """Run the process.

    Raises SettingsError if the settings or the keys file is invalid.
    """
    cfg = settings_files.read_process(file)
    text = settings_files.read_text(cfg.keys_file)
    ring = auth.parse_keys(text, source=str(cfg.keys_file))
    aio.run(serve, cfg, ring, connect)

"""The entry process: connects the core to the drivers.

Start it with ``python -m goldcresthaven.entry SETTINGS``. It prints one
JSON line with its addresses once it listens.
"""

from dataclasses import dataclass
import json
import pathlib
import signal
import sys

from goldcresthaven import aio
from goldcresthaven import caller_server
from goldcresthaven import clock as clock_module
from goldcresthaven import dedup
from goldcresthaven import dispatch
from goldcresthaven import errors
from goldcresthaven import follower
from goldcresthaven import forwarding
from goldcresthaven import members
from goldcresthaven import process_settings
from goldcresthaven import replica
from goldcresthaven import request_history
from goldcresthaven import store_client
from goldcresthaven import upstream_pool

EXIT_SETTINGS = 2


@dataclass(kw_only=True)
class Parts:
    """The parts of one entry process."""

    store: store_client.StoreClient
    follower: follower.Follower
    conns: upstream_pool.UpstreamPool
    server: caller_server.CallerServer


def build(
    cfg: process_settings.ProcessSettings, clock: clock_module.Clock
) -> Parts:
    """Create the parts; none of them does anything yet."""
    store = store_client.StoreClient(
        address=members.Address.parse(cfg.platform), clock=clock
    )
    views = follower.Follower(store=store, copy=replica.Replica(), clock=clock)
    conns = upstream_pool.UpstreamPool()
    server = caller_server.CallerServer(
        views=views,
        gate=dispatch.LocalGate(views=views, clock=clock),
        records=dedup.Records(store=store),
        forwarder=forwarding.Forwarder(conns=conns, clock=clock),
        history=request_history.RequestHistory(vm=cfg.vm, clock=clock),
        clock=clock,
    )
    return Parts(store=store, follower=views, conns=conns, server=server)


async def serve(cfg: process_settings.ProcessSettings) -> None:
    """Run until SIGTERM or SIGINT, then stop without cutting anything."""
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    parts = build(cfg, clock_module.SystemClock())
    address = members.Address.parse(cfg.listen)
    listener = aio.Listener(
        host=address.host, port=address.port, handler=parts.server.serve
    )
    await parts.follower.start()
    await listener.start()
    bound = members.Address(host=address.host, port=listener.port)
    print(json.dumps({'vm': cfg.vm, 'listen': str(bound)}), flush=True)
    await stop.wait()
    await shut_down(parts, listener, cfg)


async def shut_down(
    parts: Parts,
    listener: aio.Listener,
    cfg: process_settings.ProcessSettings,
) -> None:
    """Stop without interrupting a request in flight."""
    parts.server.drain()
    # Callers that the load balancer still sends are served meanwhile.
    await aio.sleep(cfg.stop_delay)
    await listener.stop()
    parts.server.stop_idle()
    await listener.wait_closed()
    await parts.follower.stop()
    await parts.conns.close()
    await parts.store.close()


def main(args: list[str]) -> int:
    """Run the process; returns its exit code."""
    if len(args) != 1:
        print('usage: python -m goldcresthaven.entry SETTINGS')
        return EXIT_SETTINGS
    try:
        cfg = process_settings.read(pathlib.Path(args[0]))
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    aio.run(serve, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

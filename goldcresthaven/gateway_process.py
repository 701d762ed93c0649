"""The gateway daemon; connects the request path to platform and sockets.

Started with ``python -m goldcresthaven.gateway_process``. It stores nothing
on disk; persistent state is in the platform's store.
"""

from datetime import timedelta
import os
import random
import secrets
import signal
import sys

from goldcresthaven import aio
from goldcresthaven import change_timing
from goldcresthaven import clock as clock_module
from goldcresthaven import decision_log
from goldcresthaven import errors
from goldcresthaven import fleet_link
from goldcresthaven import gateway
from goldcresthaven import gateway_metrics
from goldcresthaven import gateway_settings
from goldcresthaven import http_head
from goldcresthaven import http_io
from goldcresthaven import ids
from goldcresthaven import key_coordinator
from goldcresthaven import known_state as known_state_module
from goldcresthaven import registry
from goldcresthaven import selection
from goldcresthaven import store_follower
from goldcresthaven import telemetry
from goldcresthaven import upstream_exchange
from goldcresthaven import upstream_notices
from goldcresthaven import upstream_pool
from goldcresthaven.platform import decode
from goldcresthaven.platform import headers as platform_headers
from goldcresthaven.platform import leases
from goldcresthaven.platform import settings as platform_settings
from goldcresthaven.platform import store as platform_store

# The load balancer notices after two failed probes, which are a second apart.
LISTEN_AFTER_STOP = timedelta(seconds=2.3)
# Part of the grace period that is kept for all tasks to end on a busy machine.
# It is shorter than the last sixth of the period, before which the platform
# expects no request to be cut off.
STOP_MARGIN = timedelta(seconds=1)
STOP_MARGIN_SHARE = 0.15
# Round trips to upstreams take a few milliseconds. An upstream that does not
# accept within this time is unreachable, and there is time to try another.
CONNECT_TIMEOUT = timedelta(milliseconds=250)
# How often the configuration is checked for new keyed pools, before and after
# the first configuration was read.
FIRST_POOL_CHECK_INTERVAL = timedelta(milliseconds=200)
POOL_CHECK_INTERVAL = timedelta(seconds=1)
LOG_FLUSH_INTERVAL = timedelta(seconds=10)
SCRAPE_TIMEOUT = timedelta(seconds=2)


class GatewayProcess:
    """Creates, starts and stops the components of one gateway process."""

    def __init__(self, cfg: gateway_settings.GatewaySettings) -> None:
        self._cfg = cfg
        self._clock = clock_module.SystemClock()
        self._rng = random.Random()
        self._identity = f'{cfg.vm}/{secrets.token_hex(4)}'
        self._store = platform_store.PlatformStore(
            address=cfg.store, clock=self._clock
        )
        self._lease_calls = leases.PlatformLeases(clock=self._clock)
        self._metrics = gateway_metrics.GatewayMetrics()
        notices = upstream_notices.UpstreamNotices(
            drain=cfg.drain, rng=self._rng, observe=self._observe_notice
        )
        self._limits = change_timing.Limits(cfg.change_targets)
        self._known_state = known_state_module.KnownState(
            notices=notices, max_answer_age=self._limits.max_answer_age
        )
        self._selector = selection.Selector(zone=cfg.zone, rng=self._rng)
        headers = platform_headers.PlatformHeaders()
        self._gateway = gateway.Gateway(
            known_state=self._known_state,
            exchanger=upstream_exchange.Exchanger(
                conns=upstream_pool.UpstreamPool(
                    accept_unframed=True, connect_timeout=CONNECT_TIMEOUT
                ),
                headers=headers,
                notices=notices,
                clock=self._clock,
            ),
            headers=headers,
            selector=self._selector,
            metrics=self._metrics,
            retry_budget=cfg.retry_budget,
            clock=self._clock,
            rng=self._rng,
            config_confirmed_within=self._limits.confirmed_within,
        )
        self._coordinators: dict[
            ids.PoolName, key_coordinator.KeyCoordinator
        ] = {}
        self._fleet_link = fleet_link.FleetLink(
            socket=aio.DatagramSocket(
                host=cfg.peers.host, port=cfg.peers.port
            ),
            known_state=self._known_state,
            selector=self._selector,
            take_requested_keys=self._gateway.take_requested_keys,
            coordinators=self._coordinators,
            link_bytes_per_s=cfg.link_bytes_per_s,
            clock=self._clock,
        )

    async def run(self, stop: aio.SignalWaiter) -> None:
        """Serve until the stop signal, then finish requests in flight."""
        callers = aio.Listener(
            host=self._cfg.callers.host,
            port=self._cfg.callers.port,
            handler=self._gateway.serve,
        )
        readiness = aio.Listener(
            host=self._cfg.readiness.host,
            port=self._cfg.readiness.port,
            handler=self._gateway.serve_readiness,
        )
        metrics_listener = aio.Listener(
            host=self._cfg.readiness.host,
            port=platform_settings.METRICS_PORT,
            handler=self._serve_metrics,
        )
        for listener in (callers, readiness, metrics_listener):
            await listener.start()
        tables = store_follower.Follower(
            store=self._store,
            decoder=decode,
            known_state=self._known_state,
            on_registry=self._on_registry,
            is_relay=self._fleet_link.is_relay,
            relay_rows=self._fleet_link.relay_rows,
            clock=self._clock,
            rng=self._rng,
            limits=self._limits,
            count_unreadable=self._metrics.unreadable_rows,
        )
        await tables.start()
        await aio.spawn(self._start_coordinators())
        await self._fleet_link.start(tables)
        decision_log.note('started', detail=self._identity)
        await stop.wait()
        await self._stop(callers)

    async def _stop(self, callers: aio.Listener) -> None:
        started = self._clock.elapsed()
        decision_log.note('stopping', count=self._gateway.in_flight)
        end = started + _serving_time(self._cfg.grace)
        self._gateway.drain(stop_at=end)
        # The claims are released meanwhile; the store may not respond.
        releases = [
            await aio.spawn(coordinator.stop())
            for coordinator in self._coordinators.values()
        ]
        await aio.sleep(LISTEN_AFTER_STOP)
        await callers.stop()
        self._gateway.close_when_idle()
        try:
            async with aio.timeout(end - self._clock.elapsed()):
                await callers.wait_closed()
                for release in releases:
                    await release.join()
        except errors.DeadlineExceeded:
            decision_log.note('stop-cut-short', count=self._gateway.in_flight)
        await self._store.close()
        await self._lease_calls.close()
        decision_log.note('stopped', count=self._gateway.in_flight)

    def _on_registry(self, changed: list[registry.Upstream]) -> None:
        now = self._clock.elapsed()
        table = self._known_state.registry
        self._selector.remove_unregistered(table.all_upstreams())
        self._known_state.notices.remove_unregistered(
            table.all_upstreams(), now
        )
        for upstream in changed:
            self._selector.mark_cold(upstream, now)
            since = table.registered_departure(upstream.upstream_id, now)
            if upstream.draining and since is not None:
                self._known_state.notices.record_draining(upstream, since, now)

    def _observe_notice(self, notice: upstream_notices.Notice) -> None:
        upstream_notices.log(notice)
        self._metrics.upstream_notice(notice)

    async def _start_coordinators(self) -> None:
        """Start a coordinator for each keyed pool in the configuration."""
        while True:
            cfg = self._known_state.config
            for pool in cfg.pools.values() if cfg else ():
                if pool.keyed and pool.name not in self._coordinators:
                    await self._start_coordinator(pool.name)
            await aio.sleep(
                POOL_CHECK_INTERVAL if cfg else FIRST_POOL_CHECK_INTERVAL
            )

    async def _start_coordinator(self, pool: ids.PoolName) -> None:
        coordinator = key_coordinator.KeyCoordinator(
            pool=pool,
            identity=self._identity,
            store=self._store,
            calls=self._lease_calls,
            upstreams=self._known_state.registry,
            notices=self._known_state.notices,
            address=str(self._cfg.peers),
            capacity=self._selector.capacity,
            report_age=self._known_state.coordinator_report_age,
            fleet_size=lambda: self._known_state.fleet_size,
            known_map=self._known_state.maps.get,
            announce=self._fleet_link.announce,
            request_step_down=self._fleet_link.request_step_down,
            longest_hold=self._cfg.longest_hold,
            cpu_cores=self._cfg.cpu_cores,
            link_bytes_per_s=self._cfg.link_bytes_per_s,
            clock=self._clock,
            rng=self._rng,
        )
        self._coordinators[pool] = coordinator
        await aio.spawn(coordinator.run())

    async def _serve_metrics(self, sock: aio.Socket) -> None:
        conn = http_io.CallerConn(sock)
        try:
            async with aio.timeout(SCRAPE_TIMEOUT):
                if await conn.read_head() is not None:
                    await conn.read_piece()
                    head = http_head.ResponseHead(
                        status=200, headers=(('connection', 'close'),)
                    )
                    await conn.send_all(head, self._metrics.render())
        except errors.Error as exc:
            decision_log.note('scrape-failed', detail=str(exc))
        finally:
            await conn.close()


def _serving_time(grace: timedelta) -> timedelta:
    """Return how long requests are served after the stop signal."""
    return grace - min(STOP_MARGIN, grace * STOP_MARGIN_SHARE)


def _load() -> gateway_settings.GatewaySettings:
    file = platform_settings.path()
    try:
        text = file.read_text()
    except OSError as exc:
        raise errors.SettingsError(
            f'{file} cannot be read: {exc}', remedy='check the file'
        ) from exc
    return platform_settings.load(text)


async def _watch_reload(signal_waiter: aio.SignalWaiter) -> None:
    """Check the settings again on SIGHUP.

    They are not applied; changed addresses need a restart.
    """
    while True:
        await signal_waiter.wait()
        try:
            _load()
            decision_log.note('reloaded')
        except errors.SettingsError as exc:
            decision_log.note('reload-refused', detail=str(exc))


async def _flush_log(writer: telemetry.LogWriter) -> None:
    while True:
        await aio.sleep(LOG_FLUSH_INTERVAL)
        writer.flush()


async def _main(cfg: gateway_settings.GatewaySettings) -> None:
    stop = aio.SignalWaiter(signal.SIGTERM, signal.SIGINT)
    reload = aio.SignalWaiter(signal.SIGHUP)
    writer = telemetry.LogWriter(
        sink=telemetry.DescriptorSink(sys.stdout.fileno(), os.write),
        time=clock_module.SystemClock(),
        context={'vm': cfg.vm, 'zone': cfg.zone},
    )
    writer.install()
    await aio.spawn(_watch_reload(reload))
    await aio.spawn(_flush_log(writer))
    await GatewayProcess(cfg).run(stop)


def main() -> int:
    """Run the daemon and return its exit code."""
    try:
        cfg = _load()
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    aio.run(_main, cfg)
    return 0


if __name__ == '__main__':
    sys.exit(main())

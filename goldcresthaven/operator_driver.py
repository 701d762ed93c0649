"""Creates the operator endpoints of an entry process and their listener."""

from goldcresthaven import aio
from goldcresthaven import caller_server
from goldcresthaven import control_driver
from goldcresthaven import local_process
from goldcresthaven import members
from goldcresthaven import node as node_module
from goldcresthaven import operator_api
from goldcresthaven import operator_auth
from goldcresthaven import operator_server
from goldcresthaven import peer_queries
from goldcresthaven import request_history
from goldcresthaven import store_client
from goldcresthaven import upstream_pool


class OperatorDriver:
    """Serves the operator endpoints and the load balancer's health checks.

    It is stopped last, so that the load balancer gets "not ready" for as
    long as the process finishes its requests in flight.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        request_stats: local_process.RequestStats,
        conns: upstream_pool.UpstreamPool,
        history: request_history.RequestHistory,
        store: store_client.StoreClient,
        control: control_driver.ControlDriver,
        server: caller_server.CallerServer,
    ) -> None:
        process = local_process.LocalProcess(
            node=node,
            request_stats=request_stats,
            conns=conns,
            history=history,
            queries=peer_queries.PeerQueries(node=node, history=history),
            store=local_process.ConfigStore(store),
            publish=control.gossip.publish_config,
            is_ready=server.is_ready,
            store_is_up=control.store_is_up,
        )
        api = operator_api.OperatorApi(
            process=process,
            verifier=operator_auth.OperatorVerifier(node.verifier),
        )
        self._server = operator_server.OperatorServer(
            api=api, clock=node.clock
        )
        self._listener: aio.Listener | None = None

    async def start(self, address: members.Address) -> int:
        """Start to listen and return the port.

        With port 0 the system chooses a free one.
        """
        self._listener = aio.Listener(
            host=address.host, port=address.port, handler=self._server.serve
        )
        await self._listener.start()
        return self._listener.port

    async def stop(self) -> None:
        """Close the listener and wait until calls in progress are done."""
        if self._listener is None:
            return
        await self._listener.stop()
        self._server.close_when_idle()
        await self._listener.wait_closed()

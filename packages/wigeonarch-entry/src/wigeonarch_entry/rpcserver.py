"""RPC server: the services of the published schema, on grpc.aio."""

from __future__ import annotations

from collections.abc import Callable

import grpc
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.guarded_server import EndReason, ServerBounds
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry.caller_bounds import RPC_SHARE, connection_bound
from wigeonarch_entry.rpccatalogue import CatalogueServicer
from wigeonarch_entry.rpccommon import Dependencies
from wigeonarch_entry.rpcfleet import FleetServicer
from wigeonarch_entry.rpcrelay import RpcRelay
from wigeonarch_entry.rpcrequests import RequestsServicer


class RpcServer:
    """The gRPC server of an instance, with all services, behind a relay that bounds its callers."""

    __slots__ = ("_address", "_relay", "_server")

    def __init__(
        self,
        deps: Dependencies,
        caller_memory: CallerMemory,
        on_ended: Callable[[EndReason], None],
    ) -> None:
        """Makes the server.

        Args:
            deps: Components of the instance.
            caller_memory: Account of what the instance holds for callers.
            on_ended: Called when a connection is ended.
        """
        limits = deps.opts.limits
        self._address = deps.opts.rpc
        bounds = ServerBounds(
            connection_bound(limits.connections, RPC_SHARE),
            head_bytes=limits.head_bytes,
            head_time=deps.opts.timing.body_timeout,
        )
        self._relay = RpcRelay(caller_memory, bounds, on_ended)
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_concurrent_streams", limits.streams),
                ("grpc.max_receive_message_length", limits.body_bytes),
                # The flow control of a connection then bounds what it sends ahead.
                ("grpc.http2.bdp_probe", 0),
            ]
        )
        rpc.add_CatalogueServicer_to_server(CatalogueServicer(deps), self._server)
        rpc.add_RequestsServicer_to_server(RequestsServicer(deps), self._server)
        rpc.add_FleetServicer_to_server(FleetServicer(deps), self._server)
        self._server.add_insecure_port(f"unix:{self._relay.path}")

    async def start(self) -> None:
        """Starts listening."""
        await self._server.start()
        await self._relay.listen(self._address)

    async def stop(self, grace: float) -> None:
        """Stops listening; calls in progress get `grace` seconds to end."""
        self._relay.stop_accepting()
        await self._server.stop(grace)
        self._relay.close()

"""RPC server: the services of the published schema, on grpc.aio."""

from __future__ import annotations

import grpc
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry.rpccatalogue import CatalogueServicer
from wigeonarch_entry.rpccommon import Dependencies
from wigeonarch_entry.rpcfleet import FleetServicer
from wigeonarch_entry.rpcrequests import RequestsServicer


class RpcServer:
    """The gRPC server of an instance, with all services."""

    __slots__ = ("_server",)

    def __init__(self, deps: Dependencies) -> None:
        limits = deps.opts.limits
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_concurrent_streams", limits.streams),
                ("grpc.max_receive_message_length", limits.body_bytes),
                ("grpc.so_reuseport", 0),
            ]
        )
        rpc.add_CatalogueServicer_to_server(CatalogueServicer(deps), self._server)
        rpc.add_RequestsServicer_to_server(RequestsServicer(deps), self._server)
        rpc.add_FleetServicer_to_server(FleetServicer(deps), self._server)
        self._server.add_insecure_port(deps.opts.rpc)

    async def start(self) -> None:
        """Starts listening."""
        await self._server.start()

    async def stop(self, grace: float) -> None:
        """Stops listening; calls in progress get `grace` seconds to end."""
        await self._server.stop(grace)

"""The gRPC service `Fleet` of the published schema: status of the deployment, and draining."""

from __future__ import annotations

from typing import Any

import grpc
from wigeonarch_runtime.clock import monotonic
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry.enginestatus import engine_statuses
from wigeonarch_entry.rpccommon import Context, Dependencies, abort


class FleetServicer(rpc.FleetServicer):
    """Implements the service `Fleet`."""

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps

    async def Status(self, request: pb.StatusRequest, context: Context) -> pb.StatusReply:
        """Returns the state of all instances and engines as this instance knows it."""
        deps = self._deps
        timeout = deps.opts.timing.connect_timeout
        engines = await engine_statuses(deps.fleet, deps.engines, timeout)
        instances = sorted([self._own_status(), *self._peer_statuses()], key=lambda each: each.name)
        return pb.StatusReply(instances=instances, engines=engines, zones=_zone_configs(instances))

    async def Drain(self, request: pb.DrainRequest, context: Context) -> pb.DrainReply:
        """Starts the graceful shutdown of this instance, or forwards the call to the one named."""
        own_name = self._deps.opts.instance
        if request.instance in ("", own_name):
            self._deps.drain()
            remaining = self._deps.dispatcher.in_progress
            return pb.DrainReply(instance=own_name, draining=True, remaining=remaining)
        peer = self._deps.fleet.peers.get(request.instance)
        if peer is None:
            await abort(context, grpc.StatusCode.NOT_FOUND, f"no instance {request.instance}")
        async with grpc.aio.insecure_channel(peer.record.rpc) as channel:
            stub: Any = rpc.FleetStub(channel)
            try:
                reply: pb.DrainReply = await stub.Drain(request, timeout=5.0)
            except grpc.aio.AioRpcError as exc:
                await abort(context, grpc.StatusCode.UNAVAILABLE, exc.details() or "unreachable")
            return reply

    def _own_status(self) -> pb.InstanceStatus:
        membership = self._deps.membership
        is_valid = membership.lease.is_valid(monotonic())
        return pb.InstanceStatus(
            name=self._deps.opts.instance,
            zone=self._deps.opts.zone,
            ready=self._deps.gate.lasting_refusal() is None,
            draining=membership.draining,
            applied_change=self._deps.catalogue.applied,
            lease="held" if is_valid else "lapsed",
        )

    def _peer_statuses(self) -> list[pb.InstanceStatus]:
        now = monotonic()
        statuses = []
        for name, peer in self._deps.fleet.peers.items():
            lapsed = peer.lease.has_lapsed(now)
            heartbeat = peer.heartbeat
            statuses.append(
                pb.InstanceStatus(
                    name=name,
                    zone=peer.record.zone,
                    ready=not lapsed and not peer.record.draining,
                    draining=peer.record.draining,
                    applied_change=max(peer.record.applied, heartbeat.applied if heartbeat else 0),
                    lease="lapsed" if lapsed else "held",
                )
            )
        return statuses


def _zone_configs(instances: list[pb.InstanceStatus]) -> list[pb.ZoneConfig]:
    """Returns the lowest and highest change applied in each availability zone."""
    applied: dict[str, list[int]] = {}
    for each in instances:
        applied.setdefault(each.zone, []).append(each.applied_change)
    return [
        pb.ZoneConfig(zone=zone, lowest_applied=min(found), highest_applied=max(found))
        for zone, found in sorted(applied.items())
    ]

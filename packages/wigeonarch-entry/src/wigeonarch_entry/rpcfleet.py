"""The published service `Fleet`: the state of instances and engines, and the graceful shutdown."""

from __future__ import annotations

from typing import Any

import grpc
from wigeonarch_runtime.clock import monotonic
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry.enginestatus import engine_statuses
from wigeonarch_entry.rpccommon import Context, Dependencies, abort


class FleetServicer(rpc.FleetServicer):
    """The service `Fleet`."""

    def __init__(self, parts: Dependencies) -> None:
        self._deps = parts

    async def Status(self, request: pb.StatusRequest, context: Context) -> pb.StatusReply:
        """Tells the state of the fleet as this instance sees it."""
        parts = self._deps
        bound = parts.opts.timing.connect_timeout
        engines = await engine_statuses(parts.fleet, parts.engines, bound)
        instances = sorted([self._own_status(), *self._peer_statuses()], key=lambda each: each.name)
        return pb.StatusReply(instances=instances, engines=engines, zones=_zone_configs(instances))

    async def Drain(self, request: pb.DrainRequest, context: Context) -> pb.DrainReply:
        """Begins the graceful shutdown of this instance, or passes the order on."""
        me = self._deps.opts.instance
        if request.instance in ("", me):
            self._deps.drain()
            remaining = self._deps.dispatcher.in_progress
            return pb.DrainReply(instance=me, draining=True, remaining=remaining)
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
        held = membership.lease.is_valid(monotonic())
        return pb.InstanceStatus(
            name=self._deps.opts.instance,
            zone=self._deps.opts.zone,
            ready=self._deps.refusal_reason() is None,
            draining=membership.draining,
            applied_change=self._deps.catalogue.applied,
            lease="held" if held else "lapsed",
        )

    def _peer_statuses(self) -> list[pb.InstanceStatus]:
        now = monotonic()
        others = []
        for name, peer in self._deps.fleet.peers.items():
            lapsed = peer.lease.has_lapsed(now)
            beat = peer.heartbeat
            others.append(
                pb.InstanceStatus(
                    name=name,
                    zone=peer.record.zone,
                    ready=not lapsed and not peer.record.draining,
                    draining=peer.record.draining,
                    applied_change=max(peer.record.applied, beat.applied if beat else 0),
                    lease="lapsed" if lapsed else "held",
                )
            )
        return others


def _zone_configs(instances: list[pb.InstanceStatus]) -> list[pb.ZoneConfig]:
    applied: dict[str, list[int]] = {}
    for each in instances:
        applied.setdefault(each.zone, []).append(each.applied_change)
    return [
        pb.ZoneConfig(zone=zone, lowest_applied=min(found), highest_applied=max(found))
        for zone, found in sorted(applied.items())
    ]

"""Which services this instance reaches, and when a lost way is back.

Requests show that endpoints can't be reached. As soon as that holds for several endpoints of a
service, the others are probed by opening connections, and as long as none of a service can be
reached, all of them, so that requests need not find out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from wigeonarch_core.endpoint_health import EndpointHealth
from wigeonarch_core.endpoint_reach import EndpointReach
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.pools import ConnectionPools, ProbeResult
from wigeonarch_gateway.ports import EndpointRecord

PROBE_INTERVAL: Final = 0.5  # Seconds between two rounds of probes.


class ServiceReach:
    """The services whose endpoints this instance can't reach."""

    __slots__ = ("_health", "_lost_since", "_pools", "_reach", "_ready", "_suspicious", "_wake")

    def __init__(
        self,
        ready: Callable[[str], Sequence[EndpointRecord]],
        pools: ConnectionPools,
        health: EndpointHealth,
    ) -> None:
        """Creates a record that takes all services for reachable.

        Args:
            ready: Returns the endpoints of a service that take new requests.
            pools: Connections to endpoints.
            health: Health of endpoints; a pause ends when its endpoint is reached again.
        """
        self._ready = ready
        self._pools = pools
        self._health = health
        self._reach = EndpointReach()
        self._lost_since: dict[str, float] = {}
        self._suspicious: set[str] = set()
        self._wake = asyncio.Event()  # Set when there are endpoints to probe.

    def record_unreachable(self, record: EndpointRecord) -> None:
        """Notes that no connection to an endpoint could be opened."""
        if not self._reach.record_unreachable(record.endpoint):
            return
        if self._reach.is_suspicious(self._endpoints(record.service)):
            self._suspicious.add(record.service)
            self._wake.set()
        self._note_loss(record.service)

    def record_reached(self, record: EndpointRecord) -> None:
        """Notes that bytes of an endpoint arrived, or that a connection could be opened."""
        self._reach.record_reached(record.endpoint)
        self._note_return(record.service)

    def is_lost(self, service: str) -> bool:
        """Tells whether a service has endpoints and this instance reaches none of them."""
        if not self._lost_since and not self._reach.any_unreachable:
            return False
        self._note_loss(service)
        return service in self._lost_since

    def reaches_none(self, service: str) -> bool:
        """Tells what `is_lost` tells, without noting that a way was lost or is back."""
        return self._reach.reaches_none(self._endpoints(service))

    def lost_services(self) -> list[str]:
        """Returns the services of which this instance reaches no endpoint."""
        return [service for service in list(self._lost_since) if self.is_lost(service)]

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that no longer exists or has restarted."""
        self._reach.forget(endpoint)

    async def keep_probing(self) -> None:
        """Probes endpoints of services that may be out of reach; runs until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            services, self._suspicious = self._suspicious, set()
            services.update(self.lost_services())
            records = [record for service in services for record in self._ready(service)]
            await asyncio.gather(*(self._probe(record) for record in records))
            await asyncio.sleep(PROBE_INTERVAL)
            if self._lost_since:
                self._wake.set()

    async def _probe(self, record: EndpointRecord) -> None:
        if await self._pools.probe(record) is ProbeResult.OPEN:
            self._health.end_pause(record.endpoint)
            self.record_reached(record)
        else:
            self.record_unreachable(record)

    def _note_loss(self, service: str) -> None:
        """Brings the record of a service in line with the endpoints that it has now."""
        endpoints = self._endpoints(service)
        if not self._reach.reaches_none(endpoints):
            self._note_return(service)
        elif service not in self._lost_since:
            self._lost_since[service] = monotonic()
            self._wake.set()
            log("way_lost", "WARNING", service=service, endpoints=len(endpoints))

    def _note_return(self, service: str) -> None:
        """Notes that a service is not out of reach, and logs it if it was."""
        since = self._lost_since.pop(service, None)
        if since is not None:
            log("way_back", service=service, seconds=monotonic() - since)

    def _endpoints(self, service: str) -> list[str]:
        return [record.endpoint for record in self._ready(service)]

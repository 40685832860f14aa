"""State of the model engines for operators: this instance's view and each engine's own report.

The reports are read when an operator asks for them and not continuously, so that heartbeats carry
only what placement needs. "unreachable" means unreachable from this instance at this moment.
"""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.listing import Role
from wigeonarch_core.messages import EngineSummary
from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_entry.engines import EngineClient

MAX_CONCURRENT_REPORTS: Final = 32
LIVE: Final = "live"
LEAVING: Final = "leaving"
UNREACHABLE: Final = "unreachable"


async def engine_statuses(
    fleet: Fleet, engines: EngineClient, time_limit: float
) -> list[pb.EngineStatus]:
    """Returns the state of each model engine, by name.

    Args:
        fleet: This instance's view of the deployment.
        engines: Client of the engines.
        time_limit: Longest wait for one engine's report, in seconds.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REPORTS)
    endpoints = {
        name: endpoint
        for name, endpoint in sorted(fleet.endpoints.items())
        if endpoint.listed.role is Role.ENGINE
    }

    async def read_report(endpoint: Endpoint) -> EngineReport | None:
        async with semaphore:
            return await engines.report(endpoint.listed.address, time_limit)

    reports = await asyncio.gather(*map(read_report, endpoints.values()))
    return [
        _status(fleet, name, endpoint, report)
        for (name, endpoint), report in zip(endpoints.items(), reports, strict=True)
    ]


def _status(
    fleet: Fleet, name: str, endpoint: Endpoint, report: EngineReport | None
) -> pb.EngineStatus:
    owner = fleet.owners.get(name)
    summary = fleet.summaries.get(name)
    status = pb.EngineStatus(
        name=name,
        zone=endpoint.listed.zone,
        service=endpoint.listed.service,
        owner=owner.owner if owner else "",
        fencing_number=owner.fence if owner else 0,
        queue=summary.queued if summary else 0,
        state=_state(endpoint, report),
    )
    if report is not None:
        _add_report(status, report)
    elif summary is not None:
        _add_summary(status, summary)
    return status


def _state(endpoint: Endpoint, report: EngineReport | None) -> str:
    if report is None:
        return UNREACHABLE
    return LEAVING if endpoint.leaving or report.state == LEAVING else LIVE


def _add_report(status: pb.EngineStatus, report: EngineReport) -> None:
    status.incarnation = report.incarnation
    status.slots = report.slots
    status.running = report.running
    for slot in report.loaded:
        status.loaded.add(
            adapter=slot.adapter, version=slot.version, running=slot.running, state=slot.state
        )


def _add_summary(status: pb.EngineStatus, summary: EngineSummary) -> None:
    """Adds the owner's last summary, for an engine that can't be reached from this instance."""
    for state, targets in (("loaded", summary.loaded), ("loading", summary.coming)):
        for target in targets:
            status.loaded.add(adapter=target.adapter, version=target.version, state=state)

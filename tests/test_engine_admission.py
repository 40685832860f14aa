"""Gateway instances before engines that are asked for more prompts than they can process."""

from __future__ import annotations

import pytest
from gateway_world import World, world
from wigeonarch_core.service_admission import MAX_RETRY_SPREAD
from wigeonarch_gateway.messages import EndpointLoad, ServiceDemand

PATH = "/write/x"
ADAPTER = "a1"
FLOOD = 100_000  # Tenths of 1,000 prompt tokens a second.
BACKLOG = 20_000  # Prompt tokens that wait, about a second of work.


def overload(found: World, rank: int, backlog: int = BACKLOG) -> None:
    """Makes an instance hear of a peer whose callers ask for far too many prompts."""
    traffic = found.nodes[0]._traffic
    traffic.receive_loads("peer", [EndpointLoad("i-llm", 8, backlog, 0)])
    traffic.demands.receive("peer", [ServiceDemand("llm", 53, [(rank, 0, FLOOD)])])


@pytest.mark.parametrize(
    ("rank", "backlog", "status"),
    [
        (0, BACKLOG, 503),  # More urgent requests take all that engines can process.
        (9, BACKLOG, 200),  # Less urgent ones take nothing from it.
        (0, 0, 200),  # Nothing waits, whatever is said to be asked for.
    ],
)
async def test_prompts_beyond_what_engines_process_are_refused_by_rank(
    rank: int, backlog: int, status: int
) -> None:
    async with world() as found:
        await found.wait_until_served(PATH, adapter=ADAPTER)
        executed = len(found.replicas[0].executed)
        overload(found, rank, backlog)
        response = await found.send_request(PATH, b"new", adapter=ADAPTER)
        assert response.status == status
        assert len(found.replicas[0].executed) == executed + (status == 200)
        if status == 503:
            assert 0.1 <= float(response.headers["retry-after"]) <= 1.0 + MAX_RETRY_SPREAD
            assert 'service_refusals_total{reason="share",service="llm"} 1.0' in (
                await found.metrics()
            )


async def test_stream_that_goes_on_is_not_refused_for_the_prompts_of_others() -> None:
    async with world() as found:
        await found.wait_until_served(PATH, adapter=ADAPTER)
        overload(found, 0)
        resumed = await found.send_request(
            PATH, b"on", adapter=ADAPTER, Last_Event_Id="1", Resumes="r1"
        )
        page = await found.metrics()
        assert 'service_refusals_total{reason="share",service="llm"}' not in page
        assert resumed.status != 429


async def test_overload_that_silent_peers_told_of_is_forgotten() -> None:
    async with world() as found:
        await found.wait_until_served(PATH, adapter=ADAPTER)
        overload(found, 0)
        assert (await found.send_request(PATH, b"one", adapter=ADAPTER)).status == 503
        found.nodes[0]._traffic.forget_instance("peer")
        assert (await found.send_request(PATH, b"two", adapter=ADAPTER)).status == 200

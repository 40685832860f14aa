"""Gateway instances before a plain service that is asked for more than it can do."""

from __future__ import annotations

import pytest
from gateway_world import World, world
from wigeonarch_core.service_admission import MAX_RETRY_SPREAD
from wigeonarch_gateway.messages import EndpointLoad, ServiceDemand

PATH = "/ask/x"
FLOOD = 100_000  # Tenths of requests a second.


def overload(found: World, rank: int, running: int) -> None:
    """Makes an instance hear of a peer whose callers ask for far too much."""
    traffic = found.nodes[0]._traffic
    traffic.receive_loads("peer", [EndpointLoad("i-desk", running, 0, 0)])
    traffic.demands.receive("peer", [ServiceDemand("desk", 200, [(rank, 0, FLOOD)])])


async def test_a_request_beyond_the_capacity_is_refused_before_it_is_sent() -> None:
    async with world() as found:
        await found.wait_until_served(PATH)
        executed = len(found.replicas[1].executed)
        overload(found, 0, 8)
        response = await found.send_request(PATH, b"refused")
        assert response.status == 503
        assert 0.1 <= float(response.headers["retry-after"]) <= 1.0 + MAX_RETRY_SPREAD
        assert len(found.replicas[1].executed) == executed
        page = await found.metrics()
        assert 'service_refusals_total{reason="share",service="desk"} 1.0' in page


@pytest.mark.parametrize("rank", [2, 9])
async def test_a_less_urgent_flood_does_not_keep_a_request_out(rank: int) -> None:
    async with world() as found:
        await found.wait_until_served(PATH)
        overload(found, rank, 8)
        assert (await found.send_request(PATH, b"urgent")).status == 200


async def test_a_flood_of_a_silent_peer_is_forgotten() -> None:
    async with world() as found:
        await found.wait_until_served(PATH)
        overload(found, 0, 8)
        assert (await found.send_request(PATH, b"refused")).status == 503
        found.nodes[0]._traffic.forget_instance("peer")
        assert (await found.send_request(PATH, b"again")).status == 200


async def test_a_refusal_says_why_in_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        "wigeonarch_gateway.responder.log",
        lambda event, *args, **fields: logged.append((event, fields)),
    )
    async with world() as found:
        await found.wait_until_served(PATH)
        logged.clear()  # Requests before it serves are refused for other reasons.
        overload(found, 0, 8)
        await found.send_request(PATH, b"refused")
    reasons = {str(fields["reason"]): fields for event, fields in logged if event == "refused"}
    fields = reasons["service_overloaded"]
    assert fields["why"] == "share"
    assert (fields["rank"], fields["team"], fields["fraction"]) == (1, "", 0.0)
    assert {"asked", "kind_asked", "allowed", "running", "intended"} <= set(fields)

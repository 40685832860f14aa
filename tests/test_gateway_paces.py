"""Paces of endpoints in running gateway instances: measured, shared and shown."""

from __future__ import annotations

import re

import pytest
from gateway_world import until, until_true, world
from standins.replica import ReplicaFault
from wigeonarch_gateway.node import Node

METRIC = "wigeonarch_gateway_endpoint_pace"


def evidence(node: Node, endpoint: str) -> float:
    """Returns the expected seconds of an instance's evidence of a pace."""
    sums = node._traffic.paces._evidence.get(endpoint)
    return sums.expected if sums is not None else 0.0


async def test_paces_are_shared_by_heartbeats_and_shown() -> None:
    async with world(nodes=2) as deployment:
        first, second = deployment.nodes
        await deployment.wait_until_served("/ask/x")
        await deployment.wait_until_served("/write/x", adapter="a1")

        async def both_know() -> bool:
            await deployment.send_request("/ask/x")
            await deployment.send_request("/write/x", adapter="a1")
            return all(evidence(node, e) > 0 for node in (first, second) for e in names)

        names = ("i-desk", "i-llm")
        await until(both_know)
        found = dict(re.findall(METRIC + r'{endpoint="(.*)"} (.*)', await deployment.metrics()))
        # Each is the only endpoint of its service.
        assert {name: float(pace) for name, pace in found.items()} == pytest.approx(
            dict.fromkeys(names, 1.0)
        )


@pytest.mark.parametrize("fault", [ReplicaFault.ERROR, ReplicaFault.SHED, ReplicaFault.FALSE_503])
async def test_failures_and_refusals_say_nothing_of_pace(fault: ReplicaFault) -> None:
    async with world() as deployment:
        await until_true(lambda: deployment.nodes[0]._endpoints.ready("desk"))
        deployment.replicas[1].fault = fault
        for _ in range(5):
            assert (await deployment.send_request("/book/x")).status >= 500
        assert evidence(deployment.nodes[0], "i-desk") == 0.0

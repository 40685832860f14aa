"""Loads of other instances, as their heartbeats report them."""

from __future__ import annotations

import pytest
from wigeonarch_gateway.messages import EndpointLoad
from wigeonarch_gateway.traffic import InFlightTracker

FIRST_LOAD = EndpointLoad("i-1", 2, 100, 50)
SECOND_LOAD = EndpointLoad("i-2", 1, 10, 5)


@pytest.mark.parametrize(
    ("reports", "running"),
    [
        ([("b", [FIRST_LOAD])], {"i-1": 2, "i-2": 0}),
        ([("b", [FIRST_LOAD]), ("b", [FIRST_LOAD])], {"i-1": 2, "i-2": 0}),
        ([("b", [FIRST_LOAD]), ("c", [FIRST_LOAD])], {"i-1": 4, "i-2": 0}),
        ([("b", [FIRST_LOAD]), ("b", [FIRST_LOAD]), ("b", [SECOND_LOAD])], {"i-1": 0, "i-2": 1}),
        ([("b", [FIRST_LOAD]), ("b", [])], {"i-1": 0, "i-2": 0}),
        ([("b", []), ("b", []), ("b", [FIRST_LOAD])], {"i-1": 2, "i-2": 0}),
    ],
)
def test_last_report_of_each_instance_counts_once(
    reports: list[tuple[str, list[EndpointLoad]]], running: dict[str, int]
) -> None:
    traffic = InFlightTracker()
    for sender, loads in reports:
        traffic.receive_loads(sender, list(loads))
    assert {endpoint: traffic.load_at(endpoint).running for endpoint in running} == running


def test_instance_that_reported_no_load_is_known_and_can_be_forgotten() -> None:
    traffic = InFlightTracker()
    traffic.receive_loads("b", [])
    assert traffic.forget_instance("b")
    assert not traffic.forget_instance("b")

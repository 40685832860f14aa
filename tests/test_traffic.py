"""What others have under way, as their heartbeats tell."""

from __future__ import annotations

import pytest
from wigeonarch_gateway.messages import EndpointLoad
from wigeonarch_gateway.traffic import InFlightTracker

ONE = EndpointLoad("i-1", 2, 100, 50)
OTHER = EndpointLoad("i-2", 1, 10, 5)


@pytest.mark.parametrize(
    ("told", "running"),
    [
        ([("b", [ONE])], {"i-1": 2, "i-2": 0}),
        ([("b", [ONE]), ("b", [ONE])], {"i-1": 2, "i-2": 0}),
        ([("b", [ONE]), ("c", [ONE])], {"i-1": 4, "i-2": 0}),
        ([("b", [ONE]), ("b", [ONE]), ("b", [OTHER])], {"i-1": 0, "i-2": 1}),
        ([("b", [ONE]), ("b", [])], {"i-1": 0, "i-2": 0}),
        ([("b", []), ("b", []), ("b", [ONE])], {"i-1": 2, "i-2": 0}),
    ],
)
def test_the_last_of_each_counts_once(
    told: list[tuple[str, list[EndpointLoad]]], running: dict[str, int]
) -> None:
    traffic = InFlightTracker()
    for sender, loads in told:
        traffic.receive_loads(sender, list(loads))
    assert {endpoint: traffic.load_at(endpoint).running for endpoint in running} == running


def test_one_that_told_nothing_is_known_and_can_be_forgotten() -> None:
    traffic = InFlightTracker()
    traffic.receive_loads("b", [])
    assert traffic.forget_instance("b")
    assert not traffic.forget_instance("b")

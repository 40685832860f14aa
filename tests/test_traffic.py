"""What others have under way, as their heartbeats tell."""

from __future__ import annotations

import pytest
from wigeonarch_gateway.messages import LoadShare
from wigeonarch_gateway.traffic import Traffic

ONE = LoadShare("i-1", 2, 100, 50)
OTHER = LoadShare("i-2", 1, 10, 5)


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
    told: list[tuple[str, list[LoadShare]]], running: dict[str, int]
) -> None:
    traffic = Traffic()
    for sender, loads in told:
        traffic.heard(sender, list(loads))
    assert {endpoint: traffic.at(endpoint).running for endpoint in running} == running


def test_one_that_told_nothing_is_known_and_can_be_forgotten() -> None:
    traffic = Traffic()
    traffic.heard("b", [])
    assert traffic.forget("b")
    assert not traffic.forget("b")

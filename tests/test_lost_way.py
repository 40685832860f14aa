"""Decisions about a lost way: which services an instance reaches, and which peer helps."""

from __future__ import annotations

import pytest
from wigeonarch_core.endpoint_reach import EndpointReach
from wigeonarch_core.peer_choice import FAR_COST, PeerState, choose_peer


@pytest.mark.parametrize(
    ("unreachable", "endpoints", "none_reached", "suspicious"),
    [
        ("", "", False, False),
        ("", "abc", False, False),
        ("a", "abc", False, False),
        ("ab", "abc", False, True),
        ("abc", "abc", True, True),
        ("abc", "abcd", False, True),
        ("abcd", "ab", True, True),
        ("a", "a", True, True),
        ("a", "", False, False),
        ("x", "ab", False, False),
    ],
)
def test_reach_of_a_service(
    unreachable: str, endpoints: str, none_reached: bool, suspicious: bool
) -> None:
    reach = EndpointReach()
    for endpoint in unreachable:
        assert reach.record_unreachable(endpoint)
        assert not reach.record_unreachable(endpoint)
    assert reach.reaches_none(endpoints) == none_reached
    assert reach.is_suspicious(endpoints) == suspicious


def test_an_endpoint_that_answers_or_is_gone_is_not_out_of_reach() -> None:
    reach = EndpointReach()
    for endpoint in "ab":
        reach.record_unreachable(endpoint)
    reach.record_reached("a")
    assert not reach.reaches_none("ab")
    reach.forget("b")
    assert not reach.any_unreachable


@pytest.mark.parametrize(
    ("peers", "chosen"),
    [
        ([], ""),
        ([PeerState("far", False, 0)], "far"),
        ([PeerState("far", False, 0), PeerState("near", True, 0)], "near"),
        ([PeerState("far", False, 0), PeerState("near", True, FAR_COST - 1)], "near"),
        ([PeerState("far", False, 0), PeerState("near", True, FAR_COST + 1)], "far"),
        ([PeerState("one", True, 3), PeerState("two", True, 2)], "two"),
    ],
)
def test_choice_of_a_peer(peers: list[PeerState], chosen: str) -> None:
    assert choose_peer(peers, lambda: 0.0) == chosen


def test_equal_peers_share_the_work() -> None:
    peers = [PeerState(name, True, 0) for name in "abc"]
    draws = iter([0.9, 0.1, 0.5])
    assert choose_peer(peers, lambda: next(draws)) == "b"

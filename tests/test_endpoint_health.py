"""How far an endpoint is trusted."""

from __future__ import annotations

import pytest
from wigeonarch_core.endpoint_health import MAX_PAUSE, MIN_PAUSE, EndpointHealth

# Steps: u unreachable, s a request is sent, a answered, f answered with a failure, r ended without
# a verdict, w the first pause passes. Then: whether nothing should be sent.
CASES = [
    ("", False),
    ("u", True),
    ("uw", False),
    ("uws", True),  # One request tries it; no other goes with it.
    ("uwsa", False),
    ("uwsf", False),  # It answers, so there is a way.
    ("uwsw", True),  # The try has not ended.
    ("uwsrw", False),
    ("uwsu", True),
    ("uwsuw", True),  # The second pause is longer.
    ("uuuw", False),  # Losses of one moment are one.
    ("ffffff", False),
]


@pytest.mark.parametrize(("steps", "shut"), CASES)
def test_whether_an_endpoint_is_passed_over(steps: str, shut: bool) -> None:
    doubts = EndpointHealth()
    now = 100.0
    for step in steps:
        match step:
            case "u":
                doubts.record_unreachable("e", now)
            case "s":
                doubts.record_send("e", now)
            case "a" | "f":
                doubts.record_answer("e", failed=step == "f")
            case "r":
                doubts.end_probe("e")
            case "w":
                now += MIN_PAUSE + 0.01
    assert doubts.is_paused("e", now) is shut


def test_pauses_double_up_to_a_bound() -> None:
    doubts = EndpointHealth()
    now = 0.0
    pauses = []
    for _ in range(6):
        doubts.record_unreachable("e", now)
        began = now
        while doubts.is_paused("e", now):
            now += 0.05
        pauses.append(now - began)
        doubts.record_send("e", now)
        doubts.end_probe("e")
        now += MIN_PAUSE + 0.01
    assert pauses == sorted(pauses)
    assert pauses[-1] <= MAX_PAUSE + 0.1


def test_failures_are_a_share_of_the_last_answers() -> None:
    doubts = EndpointHealth()
    for number in range(200):
        doubts.record_answer("e", failed=number % 2 == 0)
    assert doubts.failure_share("e") == pytest.approx(0.5, abs=0.1)
    for _ in range(30):
        doubts.record_answer("e", failed=False)
    assert doubts.failure_share("e") < 0.02
    assert doubts.failure_share("other") == 0.0

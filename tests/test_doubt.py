"""How far an endpoint is trusted."""

from __future__ import annotations

import pytest
from wigeonarch_core.doubt import PAUSE_FIRST, PAUSE_MOST, Doubts

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
    doubts = Doubts()
    now = 100.0
    for step in steps:
        match step:
            case "u":
                doubts.unreachable("e", now)
            case "s":
                doubts.sending("e", now)
            case "a" | "f":
                doubts.answered("e", failed=step == "f")
            case "r":
                doubts.released("e")
            case "w":
                now += PAUSE_FIRST + 0.01
    assert doubts.shut("e", now) is shut


def test_pauses_double_up_to_a_bound() -> None:
    doubts = Doubts()
    now = 0.0
    pauses = []
    for _ in range(6):
        doubts.unreachable("e", now)
        began = now
        while doubts.shut("e", now):
            now += 0.05
        pauses.append(now - began)
        doubts.sending("e", now)
        doubts.released("e")
        now += PAUSE_FIRST + 0.01
    assert pauses == sorted(pauses)
    assert pauses[-1] <= PAUSE_MOST + 0.1


def test_failures_are_a_share_of_the_last_answers() -> None:
    doubts = Doubts()
    for number in range(200):
        doubts.answered("e", failed=number % 2 == 0)
    assert doubts.failing("e") == pytest.approx(0.5, abs=0.1)
    for _ in range(30):
        doubts.answered("e", failed=False)
    assert doubts.failing("e") < 0.02
    assert doubts.failing("other") == 0.0

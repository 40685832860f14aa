"""Health of endpoints: pauses after lost connections, and shares of failures."""

from __future__ import annotations

import pytest
from wigeonarch_core.endpoint_health import MAX_PAUSE, MIN_PAUSE, EndpointHealth

# Steps: u unreachable, s request sent, a answered, f answered with a failure, r request ended
# without evidence, w the first pause passes. Then: whether the endpoint is paused.
CASES = [
    ("", False),
    ("u", True),
    ("uw", False),
    ("uws", True),  # A single request probes it.
    ("uwsa", False),
    ("uwsf", False),  # It answers, so it is reachable.
    ("uwsw", True),  # The probe has not ended.
    ("uwsrw", False),
    ("uwsu", True),
    ("uwsuw", True),  # The second pause is longer.
    ("uuuw", False),  # Simultaneous losses count once.
    ("ffffff", False),
]


@pytest.mark.parametrize(("steps", "paused"), CASES)
def test_when_an_endpoint_is_paused(steps: str, paused: bool) -> None:
    health = EndpointHealth()
    now = 100.0
    for step in steps:
        match step:
            case "u":
                health.record_unreachable("e", now)
            case "s":
                health.record_send("e", now)
            case "a" | "f":
                health.record_answer("e", failed=step == "f")
            case "r":
                health.end_probe("e")
            case "w":
                now += MIN_PAUSE + 0.01
    assert health.is_paused("e", now) is paused


def test_pauses_grow_up_to_the_maximum() -> None:
    health = EndpointHealth()
    now = 0.0
    pauses = []
    for _ in range(6):
        health.record_unreachable("e", now)
        start = now
        while health.is_paused("e", now):
            now += 0.05
        pauses.append(now - start)
        health.record_send("e", now)
        health.end_probe("e")
        now += MIN_PAUSE + 0.01
    assert pauses == sorted(pauses)
    assert pauses[-1] <= MAX_PAUSE + 0.1


def test_failure_share_covers_the_last_answers() -> None:
    health = EndpointHealth()
    for number in range(200):
        health.record_answer("e", failed=number % 2 == 0)
    assert health.failure_share("e") == pytest.approx(0.5, abs=0.1)
    for _ in range(30):
        health.record_answer("e", failed=False)
    assert health.failure_share("e") < 0.02
    assert health.failure_share("other") == 0.0


def test_an_endpoint_may_be_unreachable_for_hours() -> None:
    health = EndpointHealth()
    now = 0.0
    for _ in range(2000):
        now += 2 * MAX_PAUSE
        health.record_send("e", now)
        health.record_unreachable("e", now)
    assert health.is_paused("e", now + MAX_PAUSE / 2)
    assert not health.is_paused("e", now + MAX_PAUSE)

"""Cooldowns that endpoints ask for."""

from __future__ import annotations

import pytest
from wigeonarch_core.cooldowns import Cooldowns


@pytest.mark.parametrize(
    ("demands", "now", "remaining"),
    [
        ([], 0.0, 0.0),
        ([(0.0, 3.0)], 0.0, 3.0),
        ([(0.0, 3.0)], 2.5, 0.5),
        ([(0.0, 3.0)], 3.0, 0.0),
        ([(0.0, 3.0)], 9.0, 0.0),
        # A later, shorter cooldown does not shorten an earlier one.
        ([(0.0, 3.0), (1.0, 0.5)], 2.0, 1.0),
        ([(0.0, 3.0), (1.0, 5.0)], 2.0, 4.0),
        ([(0.0, 1.0), (4.0, 1.0)], 4.5, 0.5),
    ],
)
def test_the_latest_end_of_all_cooldowns_holds(
    demands: list[tuple[float, float]], now: float, remaining: float
) -> None:
    cooldowns = Cooldowns()
    for at, seconds in demands:
        cooldowns.start("e", seconds, at)
    assert cooldowns.remaining("e", now) == pytest.approx(remaining)
    assert cooldowns.any_active(now) is (remaining > 0.0)
    assert cooldowns.remaining("other", now) == 0.0


def test_only_the_first_of_several_demands_is_reported_as_new() -> None:
    cooldowns = Cooldowns()
    assert cooldowns.start("e", 1.0, 0.0)
    assert not cooldowns.start("e", 1.0, 0.5)
    assert cooldowns.start("e", 1.0, 2.0)


def test_a_restarted_endpoint_has_no_cooldown() -> None:
    cooldowns = Cooldowns()
    cooldowns.start("e", 3.0, 0.0)
    cooldowns.forget("e")
    assert cooldowns.remaining("e", 0.0) == 0.0

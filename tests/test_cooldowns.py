"""How long endpoints are left alone that asked for it."""

from __future__ import annotations

import pytest
from wigeonarch_core.cooldowns import Cooldowns


@pytest.mark.parametrize(
    ("asked", "now", "left"),
    [
        ([], 0.0, 0.0),
        ([(0.0, 3.0)], 0.0, 3.0),
        ([(0.0, 3.0)], 2.5, 0.5),
        ([(0.0, 3.0)], 3.0, 0.0),
        ([(0.0, 3.0)], 9.0, 0.0),
        # A later answer that asks for less does not shorten the first time.
        ([(0.0, 3.0), (1.0, 0.5)], 2.0, 1.0),
        ([(0.0, 3.0), (1.0, 5.0)], 2.0, 4.0),
        ([(0.0, 1.0), (4.0, 1.0)], 4.5, 0.5),
    ],
)
def test_the_longest_time_asked_for_holds(
    asked: list[tuple[float, float]], now: float, left: float
) -> None:
    rests = Cooldowns()
    for at, seconds in asked:
        rests.start("e", seconds, at)
    assert rests.remaining("e", now) == pytest.approx(left)
    assert rests.any_active(now) is (left > 0.0)
    assert rests.remaining("other", now) == 0.0


def test_only_the_first_of_several_demands_is_news() -> None:
    rests = Cooldowns()
    assert rests.start("e", 1.0, 0.0)
    assert not rests.start("e", 1.0, 0.5)
    assert rests.start("e", 1.0, 2.0)


def test_an_endpoint_that_starts_again_wants_work() -> None:
    rests = Cooldowns()
    rests.start("e", 3.0, 0.0)
    rests.forget("e")
    assert rests.remaining("e", 0.0) == 0.0

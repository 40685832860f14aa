"""The retry limit holds over all instances, even while they can't reach each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wigeonarch_core.retry_window import RetryWindow

SHARE, ALLOWANCE, WINDOW = 0.2, 50.0, 10.0


@pytest.mark.parametrize(
    ("fresh", "instances", "allowed"),
    [
        (0, 1, 25),  # Half of the allowance.
        (0, 5, 5),
        (100, 5, 15),  # Also half of the share.
        (0, 60, 0),  # A part of a retry is none.
    ],
)
def test_retries_allowed_by_share_and_allowance(fresh: int, instances: int, allowed: int) -> None:
    window = RetryWindow(SHARE, ALLOWANCE, WINDOW)
    window.note_instance_count(instances)
    for _ in range(fresh):
        window.record_request("s", 1.0)
    assert sum(window.try_spend("s", 2.0) for _ in range(200)) == allowed


def test_a_smaller_instance_count_does_not_enlarge_the_allowance() -> None:
    window = RetryWindow(SHARE, ALLOWANCE, WINDOW)
    window.note_instance_count(6)
    before = window.remaining("s", 0.0)
    window.note_instance_count(1)
    assert window.remaining("s", 0.0) == before


def test_retries_are_allowed_again_after_the_window() -> None:
    window = RetryWindow(SHARE, 2.0, WINDOW)
    assert window.try_spend("s", 0.0)
    assert not window.try_spend("s", 9.9)
    assert window.try_spend("s", 10.1)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0.0, 2.0), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_window_has_more_retries_than_allowed(
    steps: list[tuple[int, float, bool]],
) -> None:
    """Four instances never learn how many retries the others send."""
    windows = [RetryWindow(SHARE, ALLOWANCE, WINDOW) for _ in range(4)]
    for window in windows:
        window.note_instance_count(4)
    now = 0.0
    fresh: list[float] = []
    retries: list[float] = []
    for instance, pause, is_retry in steps:
        now += pause
        if is_retry:
            retries += [now] * windows[instance].try_spend("s", now)
        else:
            windows[instance].record_request("s", now)
            fresh.append(now)
        recent = [at for at in retries if at > now - WINDOW]
        # Fresh requests of this window and the one before count.
        counted = [at for at in fresh if at > now - 2 * WINDOW]
        assert len(recent) <= SHARE * len(counted) + ALLOWANCE

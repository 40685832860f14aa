"""How long a request waits while its engine has no owner."""

from __future__ import annotations

import pytest
from wigeonarch_core.owner_wait import HEARING_TIME, RETRY_INTERVAL, OwnerWait

LONGEST = 2.5  # Seconds.


@pytest.mark.parametrize(
    ("can_be_taken_over", "after", "expected"),
    [
        (True, 0.0, True),
        (True, LONGEST - 0.1, True),
        # The takeover is overdue.
        (True, LONGEST, False),
        # Nobody reaches the platform, so nobody can own the engine.
        (False, HEARING_TIME, False),
        # After a pause of its process an instance has heard no other one for some time.
        (False, HEARING_TIME - 0.1, True),
    ],
)
def test_a_request_waits_while_a_takeover_can_be_expected(
    can_be_taken_over: bool, after: float, expected: bool
) -> None:
    wait = OwnerWait(LONGEST)
    wait.record_refusal("e", 7, 10.0)
    assert wait.may_go_on(can_be_taken_over, 10.0 + after) is expected


def test_further_refusals_do_not_lengthen_the_wait() -> None:
    wait = OwnerWait(LONGEST)
    for at in (10.0, 10.6, 11.2, 11.8, 12.4):
        wait.record_refusal("e", 7, at)
    assert not wait.may_go_on(True, 10.0 + LONGEST)


def test_an_owner_that_is_lost_again_is_waited_for_again() -> None:
    wait = OwnerWait(LONGEST)
    wait.record_refusal("e", 7, 10.0)
    # The next owner had the request in its queue until then.
    wait.record_refusal("e", 8, 14.0)
    assert wait.may_go_on(True, 14.0 + LONGEST - 0.1)
    assert not wait.may_go_on(True, 14.0 + LONGEST)


@pytest.mark.parametrize(
    ("engine", "fence", "after", "expected"),
    [
        ("e", 7, 0.1, False),
        # The same owner may own it again.
        ("e", 7, RETRY_INTERVAL, True),
        ("e", 8, 0.1, True),
        ("other", 3, 0.1, True),
    ],
)
def test_an_owner_is_asked_when_it_may_grant(
    engine: str, fence: int, after: float, expected: bool
) -> None:
    wait = OwnerWait(LONGEST)
    wait.record_refusal("e", 7, 10.0)
    assert wait.is_due(engine, fence, 10.0 + after) is expected

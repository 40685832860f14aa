"""What is known of a limit is the same in whatever order evidence of it arrives."""

from __future__ import annotations

import itertools

import pytest
from wigeonarch_core.stated_limits import END_TTL, LimitEvidence, StatedLimits

NOW = 1000.0
# Evidence by age, and the rate that follows from all of it.
CASES: list[tuple[list[LimitEvidence], float | None]] = [
    ([], None),
    ([LimitEvidence(2.0, 1.0)], 2.0),
    ([LimitEvidence(2.0, 5.0), LimitEvidence(None, 4.0)], None),
    ([LimitEvidence(2.0, 4.0), LimitEvidence(None, 5.0)], 2.0),
    ([LimitEvidence(2.0, 4.0), LimitEvidence(None, 4.0)], 2.0),
    ([LimitEvidence(2.0, 5.0), LimitEvidence(1.0, 3.0)], 1.0),
    ([LimitEvidence(2.0, 9.0), LimitEvidence(None, 6.0), LimitEvidence(1.0, 3.0)], 1.0),
    ([LimitEvidence(0.0, 2.0), LimitEvidence(None, 3.0), LimitEvidence(None, 8.0)], 0.0),
]


@pytest.mark.parametrize(("evidence", "rate"), CASES)
def test_order_and_repetition_of_evidence_change_nothing(
    evidence: list[LimitEvidence], rate: float | None
) -> None:
    for order in itertools.permutations([*evidence, *evidence[:1]]):
        known = StatedLimits()
        for found in order:
            known.adopt("e1", found, NOW)
        assert known.rate("e1") == rate


def test_an_end_that_is_known_is_not_overtaken_by_earlier_evidence() -> None:
    known = StatedLimits()
    known.record_named("e1", 2.0, NOW)
    known.record_none("e1", NOW + 2.0)
    known.adopt("e1", LimitEvidence(2.0, 1.5), NOW + 3.0)
    assert known.rate("e1") is None
    assert known.supersedes("e1", LimitEvidence(2.0, 1.5))
    assert known.evidence("e1", NOW + 3.0) == LimitEvidence(None, 1.0)


def test_an_end_is_forgotten_when_no_evidence_can_be_as_late() -> None:
    known = StatedLimits()
    known.record_named("e1", 2.0, NOW)
    known.record_none("e1", NOW + 1.0)
    known.expire(NOW + END_TTL)
    assert known.evidence("e1", NOW + 1.0) == LimitEvidence(None, 0.0)
    known.expire(NOW + 1.0 + END_TTL)
    assert known.evidence("e1", NOW) is None


def test_nothing_is_remembered_of_endpoints_without_a_limit() -> None:
    known = StatedLimits()
    known.record_none("e1", NOW)
    assert known.evidence("e1", NOW) is None

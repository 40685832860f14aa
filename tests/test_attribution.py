"""No order of refusals, answers and late copies makes a request that runs count as not run."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest
from wigeonarch_gateway.attribution import is_certain, may_carry


@pytest.mark.parametrize(
    ("request_id", "used", "number", "sent_before", "expected"),
    [
        ("r1", set(), 1, 0, True),
        ("r1", set(), 1, 9, True),
        ("r1", {2}, 1, 9, True),
        ("r1", {1}, 1, 1, False),
        ("r1", {1, 2}, 2, 5, False),
        ("", set(), 1, 0, True),
        ("", set(), 1, 1, False),
        ("", {1}, 1, 1, False),
    ],
)
def test_a_request_is_sent_only_on_connections_on_which_its_answer_can_be_told(
    request_id: str, used: set[int], number: int, sent_before: int, expected: bool
) -> None:
    assert may_carry(request_id, used, number, sent_before) is expected


@pytest.mark.parametrize(
    ("request_id", "answered_id", "sent_before", "expected"),
    [
        ("r1", "r1", 0, True),
        ("r1", "r1", 5, True),
        ("r1", None, 0, True),
        ("r1", None, 1, False),
        ("r1", "", 1, False),
        ("r1", "r2", 1, False),
        ("", None, 0, True),
        ("", None, 1, True),
    ],
)
def test_an_answer_that_may_belong_to_something_else_is_not_believed(
    request_id: str, answered_id: str | None, sent_before: int, expected: bool
) -> None:
    assert is_certain(request_id, answered_id, sent_before) is expected


IDS = ("r1", "r2", "")
CALL = "call"  # An order or a request for a report, which has no id.
LENGTH = 4  # Dispatches and calls on the two connections of the model.


def _histories() -> Iterator[tuple[tuple[str, int], ...]]:
    """Yields all orders in which requests and calls may go out on two connections."""
    steps = list(itertools.product((*IDS, CALL), (1, 2)))
    for history in itertools.product(steps, repeat=LENGTH):
        if _is_allowed(history):
            yield history


def _is_allowed(history: tuple[tuple[str, int], ...]) -> bool:
    used: dict[str, set[int]] = {name: set() for name in IDS}
    sent = {1: 0, 2: 0}
    for name, number in history:
        if name != CALL and not may_carry(name, used[name], number, sent[number]):
            return False
        if name != CALL:
            used[name].add(number)
        sent[number] += 1
    return True


def test_a_refusal_of_anything_earlier_is_never_believed_of_the_last_request() -> None:
    checked = 0
    for history in _histories():
        last, number = history[-1]
        earlier = [name for name, at in history[:-1] if at == number]
        if last == CALL:
            continue
        for name, named in itertools.product(earlier, (True, False)):
            answered_id = name if named and name in ("r1", "r2") else None
            if answered_id is not None and answered_id != last:
                continue  # It names another request and is skipped.
            checked += 1
            assert not is_certain(last, answered_id, len(earlier)), (history, name)
    assert checked > 100

"""Pieces put in order."""

from __future__ import annotations

import random

import pytest
from wigeonarch_core.reorder_buffer import MAX_AHEAD, ReorderBuffer

ORDERS: dict[str, tuple[int, list[int], list[list[int] | None]]] = {
    "in order": (0, [0, 1, 2], [[0], [1], [2]]),
    "swapped and doubled": (0, [1, 0, 0, 2], [[], [0, 1], [], [2]]),
    "from the middle": (5, [4, 6, 5], [[], [], [5, 6]]),
    "doubled ahead": (0, [2, 2, 0, 1], [[], [], [0], [1, 2]]),
    "too far ahead": (3, [3 + MAX_AHEAD], [None]),
}


@pytest.mark.parametrize("name", ORDERS)
def test_order(name: str) -> None:
    first, numbers, wanted = ORDERS[name]
    order: ReorderBuffer[int] = ReorderBuffer(first)
    assert [order.add(number, number) for number in numbers] == wanted


@pytest.mark.parametrize("seed", range(20))
def test_shuffled_and_doubled(seed: int) -> None:
    rng = random.Random(seed)
    numbers = [*range(MAX_AHEAD), *rng.sample(range(MAX_AHEAD), 10)]
    rng.shuffle(numbers)
    order: ReorderBuffer[int] = ReorderBuffer(0)
    given = [piece for number in numbers for piece in order.add(number, number) or []]
    assert given == list(range(MAX_AHEAD))

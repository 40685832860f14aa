"""The reorder buffer returns chunks in order, each once."""

from __future__ import annotations

import random

import pytest
from wigeonarch_core.reorder_buffer import MAX_AHEAD, ReorderBuffer

ORDERS: dict[str, tuple[int, list[int], list[list[int] | None]]] = {
    "in order": (0, [0, 1, 2], [[0], [1], [2]]),
    "swapped and repeated": (0, [1, 0, 0, 2], [[], [0, 1], [], [2]]),
    "from the middle": (5, [4, 6, 5], [[], [], [5, 6]]),
    "repeated early": (0, [2, 2, 0, 1], [[], [], [0], [1, 2]]),
    "too far ahead": (3, [3 + MAX_AHEAD], [None]),
}


@pytest.mark.parametrize("name", ORDERS)
def test_chunks_are_returned_in_order(name: str) -> None:
    first, numbers, expected = ORDERS[name]
    buffer: ReorderBuffer[int] = ReorderBuffer(first)
    assert [buffer.add(number, number) for number in numbers] == expected


@pytest.mark.parametrize("seed", range(20))
def test_shuffled_and_repeated_chunks_are_returned_in_order(seed: int) -> None:
    rng = random.Random(seed)
    numbers = [*range(MAX_AHEAD), *rng.sample(range(MAX_AHEAD), 10)]
    rng.shuffle(numbers)
    buffer: ReorderBuffer[int] = ReorderBuffer(0)
    returned = [chunk for number in numbers for chunk in buffer.add(number, number) or []]
    assert returned == list(range(MAX_AHEAD))

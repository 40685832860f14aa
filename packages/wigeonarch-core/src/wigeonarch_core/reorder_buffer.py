"""Puts the numbered chunks of an answer back in order.

A chunk that arrives early waits for the missing ones before it; a repeated chunk is dropped. How
far ahead a chunk may be is bounded: if one arrives beyond `MAX_AHEAD`, the missing ones count as
lost. Each chunk is returned exactly once, after all chunks before it.

Example: chunks that arrive as 1, 0, 0, 2 are returned as nothing, then 0 and 1, then nothing, then
chunk 2.
"""

from __future__ import annotations

from typing import Final, Generic, TypeVar

Chunk = TypeVar("Chunk")

MAX_AHEAD: Final = 32  # Chunk numbers, counted from the next one to return.


class ReorderBuffer(Generic[Chunk]):
    """Buffers early chunks until their predecessors have arrived.

    Attributes:
        next_number: Number of the next chunk to return.
    """

    __slots__ = ("_early", "next_number")

    def __init__(self, next_number: int) -> None:
        self.next_number = next_number
        self._early: dict[int, Chunk] = {}

    def add(self, number: int, chunk: Chunk) -> list[Chunk] | None:
        """Adds a chunk; returns the chunks now in order, or None if too many are missing."""
        if number < self.next_number:
            return []
        if number >= self.next_number + MAX_AHEAD:
            return None
        self._early[number] = chunk
        ready: list[Chunk] = []
        while self.next_number in self._early:
            ready.append(self._early.pop(self.next_number))
            self.next_number += 1
        return ready

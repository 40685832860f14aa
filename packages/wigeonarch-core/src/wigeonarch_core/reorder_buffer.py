"""Puts the numbered pieces of an answer in order.

A piece that comes ahead of its turn waits for the ones before it; a doubled one is dropped. How far
ahead a piece may be is bounded: beyond that, the missing ones count as lost. Safe because a piece
is only ever given out after all of those before it, once.

Example: 1, 0, 0, 2 comes out as nothing, then 0 and 1, then nothing, then 2.
"""

from __future__ import annotations

from typing import Final, Generic, TypeVar

Piece = TypeVar("Piece")

MAX_AHEAD: Final = 32


class ReorderBuffer(Generic[Piece]):
    """Pieces that came ahead of their turn, and the number of the next one due.

    Attributes:
        due: Number of the next piece to give out.
    """

    __slots__ = ("_ahead", "next_number")

    def __init__(self, due: int) -> None:
        self.next_number = due
        self._ahead: dict[int, Piece] = {}

    def add(self, number: int, piece: Piece) -> list[Piece] | None:
        """Takes a piece; returns those that are due now, or None when too many are missing."""
        if number < self.next_number:
            return []
        if number >= self.next_number + MAX_AHEAD:
            return None
        self._ahead[number] = piece
        ready: list[Piece] = []
        while self.next_number in self._ahead:
            ready.append(self._ahead.pop(self.next_number))
            self.next_number += 1
        return ready

"""Two exchanges with endpoints for one request, of which at most one answers the caller.

Each exchange runs in a task of its own. Whoever has an answer claims the right to forward it, which
ends the other exchange at once. A claim is made without a pause between the answer's arrival and
its forwarding, so a second claim always fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

ExchangeTask = asyncio.Task[Any]


class ExchangeRace:
    """The exchanges of one request that are open at the same time."""

    __slots__ = ("_is_head_seen", "_on_claim", "_tasks", "_winner")

    def __init__(self, on_claim: Callable[[bool], None]) -> None:
        """Creates a race without exchanges.

        Args:
            on_claim: Called when an answer is claimed, with whether it is a good one, before the
                other exchange is ended.
        """
        self._on_claim = on_claim
        self._tasks: list[ExchangeTask] = []
        self._winner: ExchangeTask | None = None
        self._is_head_seen = False

    def add(self, task: ExchangeTask) -> None:
        """Adds the task of an exchange."""
        self._tasks.append(task)

    @property
    def winner(self) -> ExchangeTask | None:
        """Returns the task whose answer is forwarded; None if there is none yet."""
        return self._winner

    @property
    def open_tasks(self) -> list[ExchangeTask]:
        """Returns the tasks that have not ended."""
        return [task for task in self._tasks if not task.done()]

    @property
    def has_other(self) -> bool:
        """Tells whether another exchange than that of the calling task is open."""
        current = asyncio.current_task()
        return any(task is not current for task in self.open_tasks)

    def claim(self, is_good: bool) -> bool:
        """Tells whether the calling task may forward its answer; ends the other exchange if so."""
        current = asyncio.current_task()
        if self._winner is not None:
            return self._winner is current
        self._winner = current
        self._on_claim(is_good)
        for task in self.open_tasks:
            if task is not current:
                task.cancel()
        return True

    def note_head(self) -> bool:
        """Records that the head of a response came; returns whether it is the request's first."""
        is_first, self._is_head_seen = not self._is_head_seen, True
        return is_first

"""Tells as of which time an answer of the store holds.

An answer may be handled long after the store gave it: on a slow link, or while the process was
suspended or busy. An instance that takes the time at which it handles an answer for that of the
answer believes its state to be younger than it is, and so do those that it tells. What it knows for
certain is when it made the call, and that the store waits the whole time before it answers a watch
without changes.
"""

from __future__ import annotations


def earliest_answer_time(
    called_at: float, handled_at: float, wait: float = 0.0, has_changes: bool = False
) -> float:
    """Returns the earliest time at which the store may have given an answer.

    Args:
        called_at: Time at which the call was made.
        handled_at: Time at which its answer is handled.
        wait: Seconds that the store waits for changes before it answers.
        has_changes: Whether the answer contains changes, for which the store did not wait further.
    """
    if has_changes or handled_at - called_at < wait:
        return called_at
    return called_at + wait

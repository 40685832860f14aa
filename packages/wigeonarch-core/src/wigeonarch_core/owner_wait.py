"""Decides how long a request waits while no instance owns its engine.

An owner whose process stood still for longer than its lease gives its engines up. Another instance
owns them about a lease term later, or the same one does at once, with help of its zone. A request
with time left is better served by waiting for that than by a refusal, after which its caller would
come back about as late. While nobody can take an engine over, or once the takeover is overdue, a
wait is in vain, and the request is refused.
"""

from __future__ import annotations

from typing import Final

# Seconds after which an owner that refused is asked again: it may own the engine again by then.
RETRY_INTERVAL: Final = 0.5
# Seconds in which an instance is heard that can be.
HEARING_TIME: Final = 0.5
# Seconds without a refusal after which another one belongs to another loss: an owner had taken the
# request into its queue meanwhile.
QUEUED_TIME: Final = 2 * RETRY_INTERVAL


class OwnerWait:
    """The waits of one request for an owner."""

    __slots__ = ("_last_refusal", "_longest", "_refused", "_since")

    def __init__(self, longest: float) -> None:
        """Starts without one; each lasts for at most `longest` seconds from its first refusal."""
        self._longest = longest
        self._since: float | None = None
        self._last_refusal = 0.0
        # Per engine, the fencing token of the ownership that could not be used, and when.
        self._refused: dict[str, tuple[int, float]] = {}

    def record_refusal(self, engine: str, fence: int, now: float) -> None:
        """Records that an engine had no owner who may grant.

        Args:
            engine: Name of the engine.
            fence: Fencing token of its last known ownership; 0 if none is known.
            now: Monotonic time, in seconds.
        """
        if self._since is None or now > self._last_refusal + QUEUED_TIME:
            self._since = now
        self._last_refusal = now
        self._refused[engine] = fence, now

    def may_go_on(self, can_be_taken_over: bool, now: float) -> bool:
        """Returns whether the request should wait.

        Args:
            can_be_taken_over: Whether an instance that is heard could own an engine. It counts
                after a moment only: after a pause of this process none was heard for some time.
            now: Monotonic time, in seconds.
        """
        if self._since is None:
            return False
        longest = self._longest if can_be_taken_over else HEARING_TIME
        return now < self._since + longest

    def is_due(self, engine: str, fence: int, now: float) -> bool:
        """Returns whether the owner of an engine should be asked, given its present ownership."""
        refused_fence, refused_at = self._refused.get(engine, (None, now))
        return fence != refused_fence or now >= refused_at + RETRY_INTERVAL

"""One account of all bytes that a process holds for its callers, and who goes when it is full.

All connections of all servers of a process take from the same account, whatever the bytes are:
heads, trailers, bodies, requests that wait in a pipeline, and answers that nobody reads. When the
sum is over its limit, the connection with the greatest product of bytes and seconds is ended, until
the sum is under it. So what goes first is large and lasts long, as a body that stops before its end
does; a small request that has just come goes last, whoever fills the account.

A request that is whole may have been sent to an endpoint, so it is not ended. Instead, large ones
are let in only up to a share of the limit, so that room for small ones is left.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

# Bytes of a request up to which it is let in while any room is left.
SMALL_BYTES: Final = 65_536
# Share of the limit that whole requests hold at most, when the next one is not small.
LARGE_SHARE: Final = 0.75
# Bytes that are added to what a connection holds: also those that hold nothing are ended in time.
CONNECTION_BYTES: Final = 1024


class Holding:
    """What one connection makes the process hold.

    Attributes:
        held: Bytes.
        since: Time from which it holds them, in seconds of the monotonic clock.
        may_end: Whether the connection can be ended: no request of it may have run whose answer is
            still to come.
    """

    __slots__ = ("end", "held", "may_end", "serving", "since")

    def __init__(self, end: Callable[[], None], now: float) -> None:
        """Creates a holding of nothing.

        Args:
            end: Ends the connection, or what it asks for.
            now: Time in seconds of the monotonic clock.
        """
        self.end = end
        self.held = 0
        self.since = now
        self.may_end = True
        self.serving = 0

    def cost(self, now: float) -> float:
        """Returns the product of its bytes and the time for which it holds them."""
        return (self.held + CONNECTION_BYTES) * (now - self.since)


class CallerMemory:
    """The account of a process.

    Attributes:
        held: Bytes that are held for callers.
        ended: Number of connections that were ended because the account was full.
        refused: Number of whole requests that were refused because it was.
    """

    __slots__ = ("_holdings", "_limit", "_serving", "ended", "held", "refused")

    def __init__(self, limit: Callable[[], int]) -> None:
        """Creates an account.

        Args:
            limit: Returns the bytes that may be held.
        """
        self._limit = limit
        self._holdings: set[Holding] = set()
        self._serving = 0
        self.held = 0
        self.ended = 0
        self.refused = 0

    def open(self, end: Callable[[], None], now: float) -> Holding:
        """Returns the holding of a new connection."""
        holding = Holding(end, now)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Gives back all that a connection held."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held -= holding.held
            self.stop_serving(holding)

    def set_held(self, holding: Holding, size: int, now: float) -> None:
        """Sets what a connection holds, and ends connections while the sum is over the limit."""
        if holding not in self._holdings:
            return
        self.held += size - holding.held
        holding.held = size
        while self.held > self._limit():
            victim = self._costliest(now)
            if victim is None:
                return
            self.ended += 1
            self.close(victim)
            victim.end()

    def may_serve(self, holding: Holding, size: int) -> bool:
        """Tells whether whole requests may be served, and counts them until `stop_serving`.

        Args:
            holding: What their connection holds.
            size: Size of all whole requests of the connection, in bytes.
        """
        others = self._serving - holding.serving
        if size > SMALL_BYTES and others and others + size > self._limit() * LARGE_SHARE:
            self.refused += 1
            return False
        self._serving = others + size
        holding.serving = size
        holding.may_end = False
        return True

    def stop_serving(self, holding: Holding, left: int = 0) -> None:
        """Records that requests of a connection have ended.

        Args:
            holding: What the connection holds.
            left: Size of those that are still being served, in bytes.
        """
        self._serving += left - holding.serving
        holding.serving = left
        holding.may_end = not left

    def _costliest(self, now: float) -> Holding | None:
        found = [holding for holding in self._holdings if holding.may_end and holding.held]
        return max(found, key=lambda holding: holding.cost(now), default=None)

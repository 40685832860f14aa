"""Holds requests for the short time in which this instance may not serve but soon may again.

When the lease lapses or begins anew, and after a pause of the process, the right to serve needs a
read of the log, a renewal or a heartbeat, which mostly takes milliseconds (see `serving_right`). A
request that comes meanwhile waits for it, within its deadline. The wait is the same for all: it
ends a fixed time after the instance could last serve. What comes later, or while nothing can be
expected soon, is refused at once, so that the caller can go to another instance.

Holding weakens no rule: the right is judged anew by the clock when a request is let in, and nothing
is awaited between that and the use of the configuration.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

# Reasons that a read of the log, a renewal or a heartbeat may remove.
_PASSING_REASONS: Final = frozenset({Reason.NOT_CAUGHT_UP, Reason.NOT_LEASED, Reason.CUT_OFF})
CHECK_INTERVAL: Final = 0.01  # Seconds between two checks while requests are held.
IDLE_CHECK_INTERVAL: Final = 0.05  # The same while none is.


class AdmissionGate:
    """Lets requests in when this instance may serve."""

    __slots__ = ("_checked_at", "_hasten", "_hold", "_reason", "_refusal_reason", "_refusing_since")

    def __init__(
        self, refusal_reason: Callable[[], Reason | None], hasten: Callable[[], None], hold: float
    ) -> None:
        """Makes the gate.

        Args:
            refusal_reason: Returns why no request may be served now; None when one may.
            hasten: Called when the right to serve is found to be missing, to regain it at once.
            hold: Seconds from then for which requests are held.
        """
        self._refusal_reason = refusal_reason
        self._hasten = hasten
        self._hold = hold
        # The last result, and when it was found. Before an instance has ever served, its start
        # lasts, so that requests are refused at once.
        self._reason: Reason | None = Reason.NOT_READY
        self._checked_at = 0.0
        # When the right to serve was first found to be missing; None while it is there and before
        # it has been there once.
        self._refusing_since: float | None = None

    def check(self) -> Reason | None:
        """Returns why no request may be served now; None when one may."""
        now = monotonic()
        could_serve, self._reason = self._reason is None, self._refusal_reason()
        self._checked_at = now
        if self._reason is None:
            self._refusing_since = None
        elif could_serve:
            self._refusing_since = now
            self._hasten()
        return self._reason

    async def run(self) -> None:
        """Checks at short intervals, so that a loss is seen early without requests, too."""
        while True:
            self.check()
            await asyncio.sleep(IDLE_CHECK_INTERVAL)

    def lasting_refusal(self) -> Reason | None:
        """Returns why a request that came now would be refused; None if it is served or held."""
        reason = self.check()
        return None if self._is_held(reason) else reason

    async def admit(self, received: float, deadline: float | None = None) -> Reason | None:
        """Waits until a request may be served; returns None then, or why it is refused.

        Args:
            received: Monotonic time of the request's receipt, in seconds.
            deadline: Seconds from then to its deadline; None if it names none.
        """
        reason = self.check()
        while self._is_held(reason) and not _is_over(received, deadline):
            await asyncio.sleep(CHECK_INTERVAL)
            reason = self._recent_result()
            if reason is None:
                reason = self.check()
        return reason

    def _recent_result(self) -> Reason | None:
        """Returns the result of a check that another held request made just now, or a new one."""
        is_recent = monotonic() < self._checked_at + CHECK_INTERVAL
        return self._reason if is_recent else self.check()

    def _is_held(self, reason: Reason | None) -> bool:
        """Tells whether requests are held for a reason, as it may be gone soon."""
        if reason not in _PASSING_REASONS or self._refusing_since is None:
            return False
        return monotonic() < self._refusing_since + self._hold


def _is_over(received: float, deadline: float | None) -> bool:
    return deadline is not None and monotonic() >= received + deadline

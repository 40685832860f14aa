"""Soak check of requests that crash engines by one part of their prompts, no two of them alike.

Callers send such requests and sound ones that share the first part, to any gateway. The check
counts the fatal ones that reach engines, from gateways that have run undisturbed for long enough,
after all must know the part. The bounds are those that operators require.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak_endpoints import SETTLE_SECONDS
from standins.replica import ReceivedRequest, Replica

FATAL_PART = "fa7a1"
FIRST_PART = "5c1e0"
CRASHES_KNOWN = 5  # Crashes after which the part must be known.
MAX_LATE_REQUESTS = 3  # Requests allowed more than `SETTLE_SECONDS` after that.

# Sends a request with an id, a body and the parts of its prompt; returns whether it was served.
Send = Callable[[str, bytes, str], Awaitable[bool]]


@dataclass
class PartChecks:
    """Sends requests with the fatal part and beside it, and checks what engines receive.

    Attributes:
        rng: Random source of this class alone, so that its draws don't change the other ones.
    """

    rng: random.Random
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def prepare(self, replicas: list[Replica]) -> None:
        """Makes engines crash on the fatal part."""
        for replica in replicas:
            if replica.model:
                replica.fatal_parts = frozenset({FATAL_PART})
                replica.writes_before_crash = self.rng.random() < 0.5

    async def send_requests(self, send: Send, is_stopping: Callable[[], bool]) -> None:
        """Sends fatal and sound requests in turn until the soak ends."""
        while not is_stopping():
            await self._send(send, self.rng.random() < 0.4)
            await asyncio.sleep(self.rng.uniform(0.0, 0.15))

    async def serves_sound_requests(self, send: Send) -> bool:
        """Tells whether a sound request with the same first part is served."""
        return await self._send(send, fatal=False)

    async def _send(self, send: Send, fatal: bool) -> bool:
        number = next(self._numbers)
        parts = [FIRST_PART, *([FATAL_PART] if fatal else []), f"{number:x}"]
        prefix = ",".join(f"{part}:100" for part in parts)
        return await send(f"part-{number}", b"part %d" % number, prefix)

    def violations(
        self, replicas: list[Replica], is_settled: Callable[[ReceivedRequest], bool]
    ) -> list[str]:
        """Returns the violated invariants.

        Args:
            replicas: All endpoints.
            is_settled: Tells whether the sender of a request had been undisturbed for long enough.
        """
        crashes = sorted(r.at for one in replicas for r in one.executed if is_fatal(r))
        if len(crashes) < CRASHES_KNOWN:
            return []
        known_at = crashes[CRASHES_KNOWN - 1] + SETTLE_SECONDS
        arrived = [r for one in replicas for r in one.received if is_fatal(r) and r.at > known_at]
        late = [request for request in arrived if is_settled(request)]
        if len(late) <= MAX_LATE_REQUESTS:
            return []
        return [f"PART: {len(late)} late requests with the fatal part; {len(crashes)} crashes"]


def is_fatal(request: ReceivedRequest) -> bool:
    """Tells whether a request has the fatal part."""
    return FATAL_PART in request.shared_parts()

"""Endpoints in need, for the soak: engines end under one request, a plain one names a limit.

A caller comes back again and again with the request that ends engines; the limit is named and
lifted by turns; endpoints say in answers that they leave, or ask for rest. The checks count what
arrives from gateways that had been undisturbed for long enough to know: the bounds are the ones
that the operators demand.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

from standins.replica import Replica, Seen

FATAL = b"ends whoever runs it"
AWAY = 0.6  # Seconds until an engine that ended is back.
ENDS = 3  # Engines that may end before the request is known for it,
MORE = 3  # and so many that it may reach later than `CONTACT` after that.
CONTACT = 3.0  # Seconds without a disturbance after which a gateway must know what others do.
WINDOW = 4.0  # Seconds over which arrivals under a limit count.
OVER = 1.5  # Times the limit that may arrive in a window,
BESIDES = 5  # and so many requests besides.
LEFT = 2.0  # Seconds from an answer that says so in which requests may still arrive.
REST_NOTICED = 0.5  # Seconds from a demand for rest in which requests may still arrive.
IN_REST = 2  # Requests of a gateway that may arrive in the rest of that time.


@dataclass
class Limit:
    """A time in which an endpoint named a limit."""

    rate: float
    begin: float
    end: float = float("inf")


@dataclass
class Needs:
    """The endpoints in need, and what disturbed gateways.

    Attributes:
        rng: What is drawn here; nothing else draws from it.
        limited: The endpoint that names limits.
        limits: When it did.
        disturbed: Begin and end of each disturbance, by the gateway's address.
    """

    rng: random.Random
    limited: Replica | None = None
    limits: list[Limit] = field(default_factory=list)
    disturbed: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def prepare(self, replicas: list[Replica], enter: Callable[[Replica], Awaitable[None]]) -> None:
        """Makes engines end under the fatal request, and chooses who will name limits."""
        for replica in replicas:
            if replica.model:
                replica.fatal, replica.away = FATAL, AWAY
                replica.on_end = partial(enter, replica)
        self.limited = next(replica for replica in replicas if not replica.model)

    def note(self, host: str, begin: float) -> None:
        """Notes a disturbance of a gateway that ends now."""
        self.disturbed[host].append((begin, time.monotonic()))

    async def name_limits(self, seconds: float) -> None:
        """Names limits and lifts them by turns until the time is over."""
        assert self.limited is not None
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            rate = self.rng.choice((1.0, 2.5, 6.0))
            self.limited.limit = str(rate)
            self.limits.append(Limit(rate, time.monotonic()))
            await asyncio.sleep(self.rng.uniform(CONTACT + 1.0, CONTACT + 2 * WINDOW))
            self.limited.limit = ""
            self.limits[-1].end = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    def broken(self, replicas: list[Replica]) -> list[str]:
        """Returns the promises that were broken."""
        return [
            *self._broken_quarantine(replicas),
            *self._broken_limits(),
            *self._broken_leaving(replicas),
            *self._broken_rests(replicas),
        ]

    def _broken_quarantine(self, replicas: list[Replica]) -> list[str]:
        runs = [seen for replica in replicas for seen in replica.ran if seen.body == FATAL]
        ended = sorted(seen.at for seen in runs)
        if len(ended) < ENDS:
            return []
        known = ended[ENDS - 1] + CONTACT
        arrived = [seen for one in replicas for seen in one.arrived if seen.body == FATAL]
        late = [seen for seen in arrived if seen.at > known and self._is_calm(seen)]
        if len(late) <= MORE:
            return []
        return [f"FATAL: {len(late)} sends after {ENDS} engines had ended; {len(ended)} in all"]

    def _broken_limits(self) -> list[str]:
        assert self.limited is not None
        found = []
        for limit in self.limits:
            seen = [one for one in self.limited.arrived if limit.begin <= one.at < limit.end]
            bound = [one for one in seen if one.at >= limit.begin + CONTACT]
            calm = [one.at for one in bound if self._is_calm(one)]
            most = max((sum(at <= t < at + WINDOW for t in calm) for at in calm), default=0)
            if most > OVER * limit.rate * WINDOW + BESIDES:
                found.append(f"OVER: {most} requests in {WINDOW} s at a limit of {limit.rate}")
        return found

    def _is_calm(self, seen: Seen) -> bool:
        """Tells whether the sending gateway had not been disturbed for long."""
        since = seen.at - CONTACT
        return all(end < since or begin > seen.at for begin, end in self.disturbed[seen.peer])

    def _broken_leaving(self, replicas: list[Replica]) -> list[str]:
        found = []
        for replica in replicas:
            first: dict[tuple[str, int], float] = {}
            for told in replica.told:
                first.setdefault((told.peer, told.born), told.at)
            for seen in replica.arrived:
                at = first.get((seen.peer, seen.born))
                if (
                    at is None
                    or seen.at <= at + LEFT
                    or self._was_disturbed(seen.peer, at, seen.at)
                ):
                    continue
                found.append(f"LEFT: {replica.name} got a request {seen.at - at:.1f} s after")
        return found

    def _broken_rests(self, replicas: list[Replica]) -> list[str]:
        found = []
        for replica in replicas:
            for away, rest in replica.rests:
                since, until = away.at + REST_NOTICED, away.at + rest
                late = [
                    seen
                    for seen in replica.arrived
                    if (seen.peer, seen.born) == (away.peer, away.born) and since < seen.at < until
                ]
                if len(late) > IN_REST and not self._was_disturbed(away.peer, away.at, until):
                    found.append(f"REST: {replica.name} got {len(late)} requests in {rest} s")
        return found

    def _was_disturbed(self, peer: str, since: float, until: float) -> bool:
        return any(end >= since and begin <= until for begin, end in self.disturbed[peer])

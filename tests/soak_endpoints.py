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

from standins.replica import ReceivedRequest, Replica

FATAL_BODY = b"ends whoever runs it"
RESTART_DELAY = 0.6  # Seconds until an engine that ended is back.
CRASHES_TO_QUARANTINE = 3  # Engines that may end before the request is known for it,
MAX_LATE_FATAL_REQUESTS = 3  # and so many that it may reach later than `CONTACT` after that.
SETTLE_SECONDS = (
    3.0  # Seconds without a disturbance after which a gateway must know what others do.
)
WINDOW_SECONDS = 4.0  # Seconds over which arrivals under a limit count.
MAX_LIMIT_FACTOR = 1.5  # Times the limit that may arrive in a window,
EXTRA_REQUESTS = 5  # and so many requests besides.
LEAVING_NOTICE_SECONDS = (
    2.0  # Seconds from an answer that says so in which requests may still arrive.
)
COOLDOWN_NOTICE_SECONDS = 0.5  # Seconds from a demand for rest in which requests may still arrive.
MAX_REQUESTS_IN_COOLDOWN = 2  # Requests of a gateway that may arrive in the rest of that time.


@dataclass
class RateLimitPeriod:
    """A time in which an endpoint named a limit."""

    rate: float
    begin: float
    end: float = float("inf")


@dataclass
class EndpointChecks:
    """The endpoints in need, and what disturbed gateways.

    Attributes:
        rng: What is drawn here; nothing else draws from it.
        limited: The endpoint that names limits.
        limits: When it did.
        disturbed: Begin and end of each disturbance, by the gateway's address.
    """

    rng: random.Random
    limited_replica: Replica | None = None
    limit_periods: list[RateLimitPeriod] = field(default_factory=list)
    disturbances: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def prepare(
        self, replicas: list[Replica], write_entry: Callable[[Replica], Awaitable[None]]
    ) -> None:
        """Makes engines end under the fatal request, and chooses who will name limits."""
        for replica in replicas:
            if replica.model:
                replica.fatal_body, replica.restart_delay = FATAL_BODY, RESTART_DELAY
                replica.on_restarted = partial(write_entry, replica)
        self.limited_replica = next(replica for replica in replicas if not replica.model)

    def note_disturbance(self, host: str, begin: float) -> None:
        """Notes a disturbance of a gateway that ends now."""
        self.disturbances[host].append((begin, time.monotonic()))

    async def vary_rate_limit(self, seconds: float) -> None:
        """Names limits and lifts them by turns until the time is over."""
        assert self.limited_replica is not None
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            rate = self.rng.choice((1.0, 2.5, 6.0))
            self.limited_replica.rate_limit = str(rate)
            self.limit_periods.append(RateLimitPeriod(rate, time.monotonic()))
            await asyncio.sleep(
                self.rng.uniform(SETTLE_SECONDS + 1.0, SETTLE_SECONDS + 2 * WINDOW_SECONDS)
            )
            self.limited_replica.rate_limit = ""
            self.limit_periods[-1].end = time.monotonic()
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    def violations(self, replicas: list[Replica]) -> list[str]:
        """Returns the promises that were broken."""
        return [
            *self._quarantine_violations(replicas),
            *self._limit_violations(),
            *self._leaving_violations(replicas),
            *self._cooldown_violations(replicas),
        ]

    def _quarantine_violations(self, replicas: list[Replica]) -> list[str]:
        runs = [
            seen for replica in replicas for seen in replica.executed if seen.body == FATAL_BODY
        ]
        ended = sorted(seen.at for seen in runs)
        if len(ended) < CRASHES_TO_QUARANTINE:
            return []
        known = ended[CRASHES_TO_QUARANTINE - 1] + SETTLE_SECONDS
        arrived = [seen for one in replicas for seen in one.received if seen.body == FATAL_BODY]
        late = [seen for seen in arrived if seen.at > known and self._is_from_settled_gateway(seen)]
        if len(late) <= MAX_LATE_FATAL_REQUESTS:
            return []
        return [
            f"FATAL: {len(late)} sends after {CRASHES_TO_QUARANTINE} engines had ended; {len(ended)} in all"
        ]

    def _limit_violations(self) -> list[str]:
        assert self.limited_replica is not None
        found = []
        for limit in self.limit_periods:
            seen = [
                one for one in self.limited_replica.received if limit.begin <= one.at < limit.end
            ]
            bound = [one for one in seen if one.at >= limit.begin + SETTLE_SECONDS]
            calm = [one.at for one in bound if self._is_from_settled_gateway(one)]
            most = max((sum(at <= t < at + WINDOW_SECONDS for t in calm) for at in calm), default=0)
            if most > MAX_LIMIT_FACTOR * limit.rate * WINDOW_SECONDS + EXTRA_REQUESTS:
                found.append(
                    f"OVER: {most} requests in {WINDOW_SECONDS} s at a limit of {limit.rate}"
                )
        return found

    def _is_from_settled_gateway(self, seen: ReceivedRequest) -> bool:
        """Tells whether the sending gateway had not been disturbed for long."""
        since = seen.at - SETTLE_SECONDS
        return all(end < since or begin > seen.at for begin, end in self.disturbances[seen.peer])

    def _leaving_violations(self, replicas: list[Replica]) -> list[str]:
        found = []
        for replica in replicas:
            first: dict[tuple[str, int], float] = {}
            for told in replica.leaving_announced:
                first.setdefault((told.peer, told.incarnation), told.at)
            for seen in replica.received:
                at = first.get((seen.peer, seen.incarnation))
                if (
                    at is None
                    or seen.at <= at + LEAVING_NOTICE_SECONDS
                    or self._was_disturbed(seen.peer, at, seen.at)
                ):
                    continue
                found.append(f"LEFT: {replica.name} got a request {seen.at - at:.1f} s after")
        return found

    def _cooldown_violations(self, replicas: list[Replica]) -> list[str]:
        found = []
        for replica in replicas:
            for away, rest in replica.cooldowns:
                since, until = away.at + COOLDOWN_NOTICE_SECONDS, away.at + rest
                late = [
                    seen
                    for seen in replica.received
                    if (seen.peer, seen.incarnation) == (away.peer, away.incarnation)
                    and since < seen.at < until
                ]
                if len(late) > MAX_REQUESTS_IN_COOLDOWN and not self._was_disturbed(
                    away.peer, away.at, until
                ):
                    found.append(f"REST: {replica.name} got {len(late)} requests in {rest} s")
        return found

    def _was_disturbed(self, peer: str, since: float, until: float) -> bool:
        return any(end >= since and begin <= until for begin, end in self.disturbances[peer])

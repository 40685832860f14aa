"""Rates that endpoints name, and the permits with which instances together keep to them.

An endpoint in need names in its answers how many requests a second it takes from all instances
together. Whoever reads it tells all. From then on a request goes there only with a permit. One
instance, the endpoint's limiter, gives them: all find it by the same hash of those they hear. The
others ask it beforehand, as a request that could go there looks for an endpoint; nobody waits for
the answer, as most requests can go elsewhere. Without a permit the endpoint is passed over, so a
limiter that is lost or cut off costs the endpoint its work and never gives it more.

The limit is over when an answer to a request that was sent after it was named names none, or when
the endpoint starts again. An endpoint whose entry is away for a moment still has it, so it is kept
for a while after the endpoint seems gone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.permits import HOLDS, PermitBucket
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import LimitNamed, Message, PermitAnswer, PermitAsk
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord

# Seconds without an answer after which a permit is asked for again, at this or another instance.
ANSWER_WAIT: Final = 0.3
# Seconds for which a request that can go nowhere else waits for the answer.
ANSWER_USUAL: Final = 0.06
NOT_THE_LIMITER: Final = 0.1  # Seconds after which to ask again who was asked in vain.
HINT_HOLDS: Final = 2.0  # Seconds for which another instance's word of who is the limiter holds.
GONE_KEPT: Final = 60.0  # Seconds for which the limit of an endpoint that seems gone is kept.
NUMBERS: Final = 1 << 40  # Numbers of questions begin at random below this.


@dataclass(slots=True)
class _Limited:
    """An endpoint with a limit.

    Attributes:
        rate: Requests a second.
        named: Time at which this instance first heard of the limit.
        permits: Times at which permits were asked for that are not used yet.
        asked: Time of the question that is open; None for none.
        number: Its number.
        closed_until: Time until which there is no permit, by the limiter's word.
        hint: Limiter by another instance's word, and the time until which that counts.
    """

    rate: float
    named: float
    permits: list[float] = field(default_factory=list)
    asked: float | None = None
    number: int = 0
    closed_until: float = 0.0
    hint: tuple[str, float] = ("", 0.0)


class Limits:
    """The limits of endpoints, as this instance knows them."""

    __slots__ = (
        "_buckets",
        "_gone",
        "_limited",
        "_limiter",
        "_me",
        "_metrics",
        "_number",
        "_send",
        "_send_all",
    )

    def __init__(
        self,
        me: str,
        limiter: Callable[[str], str],
        send: Callable[[str, Message], bool],
        send_all: Callable[[Message], None],
        metrics: Metrics,
    ) -> None:
        """Knows no limit.

        Args:
            me: Name of this instance.
            limiter: Returns the instance that gives permits for an endpoint.
            send: Sends a message to an instance.
            send_all: Sends a message to all instances.
            metrics: Counters.
        """
        self._me = me
        self._limiter = limiter
        self._send = send
        self._send_all = send_all
        self._metrics = metrics
        self._limited: dict[str, _Limited] = {}
        self._buckets: dict[str, PermitBucket] = {}
        self._gone: dict[str, float] = {}  # Endpoints with a limit that seem gone, and since when.
        self._number = random.randrange(NUMBERS)

    # What answers and others say of limits.

    def noted(self, record: EndpointRecord, rate: float | None, sent: float) -> None:
        """Notes what an answer says to a request that was sent at a time; None is no limit."""
        before = self._limited.get(record.endpoint)
        if rate is None and (before is None or sent <= before.named):
            return
        if self._set(record.endpoint, rate):
            self._send_all(LimitNamed(self._me, record.endpoint, rate))

    def told(self, message: LimitNamed) -> None:
        """Takes over what another instance read."""
        self._set(message.endpoint, message.rate)

    def gone(self, endpoint: str) -> None:
        """Notes that an endpoint seems gone."""
        if endpoint in self._limited:
            self._gone[endpoint] = monotonic()

    def tick(self, is_known: Callable[[str], bool]) -> None:
        """Forgets the limits of endpoints that stayed away."""
        for endpoint, since in list(self._gone.items()):
            if is_known(endpoint):
                del self._gone[endpoint]
            elif monotonic() - since >= GONE_KEPT:
                self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that started again or is gone for good."""
        self._gone.pop(endpoint, None)
        self._limited.pop(endpoint, None)
        self._buckets.pop(endpoint, None)

    def _set(self, endpoint: str, rate: float | None) -> bool:
        """Takes over a limit, or that there is none; returns whether that is news."""
        limited = self._limited.get(endpoint)
        before = None if limited is None else limited.rate
        if rate == before:
            return False
        log("limit_named", endpoint=endpoint, rate=rate, before=before)
        if rate is None:
            self.forget(endpoint)
            return True
        if limited is None:
            self._limited[endpoint] = _Limited(rate, monotonic())
        else:
            limited.rate = rate
        bucket = self._buckets.get(endpoint)
        if bucket is not None:
            bucket.set_rate(rate, monotonic())
        return True

    # Before and as a request is sent.

    @property
    def any_named(self) -> bool:
        """Tells whether any endpoint has a limit."""
        return bool(self._limited)

    def wait(self, endpoint: str, now: float) -> float:
        """Returns the seconds until a request may go to an endpoint, as expected; 0 for now.

        Where a permit is needed and none is known to be far, it is asked for.
        """
        limited = self._limited.get(endpoint)
        if limited is None:
            return 0.0
        limiter = self._who(endpoint, limited, now)
        if limiter == self._me:
            return self._bucket(endpoint, limited.rate, now).wait(now)
        limited.permits = [at for at in limited.permits if now - at < HOLDS]
        if limited.permits:
            return 0.0
        if now < limited.closed_until:
            return limited.closed_until - now
        self._ask(endpoint, limiter, limited, now)
        assert limited.asked is not None
        waited = now - limited.asked
        return ANSWER_USUAL if waited < ANSWER_USUAL else ANSWER_WAIT - waited

    def spend(self, endpoint: str, now: float) -> bool:
        """Uses a permit for a request that is about to be sent; False when there is none."""
        limited = self._limited.get(endpoint)
        if limited is None:
            return True
        spent = self._spend(endpoint, limited, now)
        self._metrics.permits.labels("used" if spent else "lacked").inc()
        return spent

    def _spend(self, endpoint: str, limited: _Limited, now: float) -> bool:
        if self._who(endpoint, limited, now) == self._me:
            return self._bucket(endpoint, limited.rate, now).take(now)
        while limited.permits:
            if now - limited.permits.pop(0) < HOLDS:
                return True
        return False

    def _who(self, endpoint: str, limited: _Limited, now: float) -> str:
        name, until = limited.hint
        return name if name and now < until else self._limiter(endpoint)

    def _bucket(self, endpoint: str, rate: float, now: float) -> PermitBucket:
        if endpoint not in self._buckets:
            self._buckets[endpoint] = PermitBucket(rate, now)
        return self._buckets[endpoint]

    def _ask(self, endpoint: str, limiter: str, limited: _Limited, now: float) -> None:
        if limited.asked is not None and now - limited.asked < ANSWER_WAIT:
            return
        self._number += 1
        limited.asked, limited.number = now, self._number
        self._send(limiter, PermitAsk(self._me, endpoint, self._number))

    # The limiter's side, and its answers.

    def asked(self, ask: PermitAsk) -> None:
        """Gives a permit, or says when to ask again and whom."""
        now = monotonic()
        limited = self._limited.get(ask.endpoint)
        if limited is None:
            # The limit is over, or this instance has not heard of it, and the answer will tell.
            self._answer(ask, True, 0.0, self._me)
            return
        limiter = self._limiter(ask.endpoint)
        if limiter != self._me:
            self._answer(ask, False, NOT_THE_LIMITER, limiter)
            return
        bucket = self._bucket(ask.endpoint, limited.rate, now)
        granted = bucket.take(now)
        self._answer(ask, granted, 0.0 if granted else bucket.wait(now), self._me)

    def _answer(self, ask: PermitAsk, granted: bool, wait: float, limiter: str) -> None:
        answer = PermitAnswer(
            self._me, ask.endpoint, ask.number, granted, int(wait * 1000), limiter
        )
        self._send(ask.sender, answer)

    def answered(self, answer: PermitAnswer) -> None:
        """Takes over what the limiter says; a permit counts from the question for it."""
        limited = self._limited.get(answer.endpoint)
        if limited is None or answer.number != limited.number or limited.asked is None:
            return
        now = monotonic()
        if answer.granted:
            limited.permits.append(limited.asked)
        else:
            limited.closed_until = now + answer.wait_ms / 1000
        if answer.limiter not in (answer.sender, self._me):
            limited.hint = answer.limiter, now + HINT_HOLDS
        limited.asked = None

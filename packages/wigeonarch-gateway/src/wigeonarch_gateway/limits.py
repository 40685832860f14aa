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

from wigeonarch_core.permits import PERMIT_LIFETIME, PermitBucket
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import Message, PermitReply, PermitRequest, RateLimitUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord

# Seconds without an answer after which a permit is asked for again, at this or another instance.
REPLY_TIMEOUT: Final = 0.3
# Seconds for which a request that can go nowhere else waits for the answer.
EXPECTED_REPLY_TIME: Final = 0.06
WRONG_LIMITER_RETRY_AFTER: Final = 0.1  # Seconds after which to ask again who was asked in vain.
LIMITER_HINT_TTL: Final = (
    2.0  # Seconds for which another instance's word of who is the limiter holds.
)
GONE_ENDPOINT_TTL: Final = (
    60.0  # Seconds for which the limit of an endpoint that seems gone is kept.
)
FIRST_NUMBER_BOUND: Final = 1 << 40  # Numbers of questions begin at random below this.


@dataclass(slots=True)
class _EndpointLimit:
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
    known_since: float
    permits: list[float] = field(default_factory=list)
    requested_at: float | None = None
    request_number: int = 0
    denied_until: float = 0.0
    hint: tuple[str, float] = ("", 0.0)


class EndpointLimits:
    """The limits of endpoints, as this instance knows them."""

    __slots__ = (
        "_buckets",
        "_gone_since",
        "_instance",
        "_limited",
        "_limiter",
        "_metrics",
        "_request_number",
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
        self._instance = me
        self._limiter = limiter
        self._send = send
        self._send_all = send_all
        self._metrics = metrics
        self._limited: dict[str, _EndpointLimit] = {}
        self._buckets: dict[str, PermitBucket] = {}
        self._gone_since: dict[str, float] = (
            {}
        )  # Endpoints with a limit that seem gone, and since when.
        self._request_number = random.randrange(FIRST_NUMBER_BOUND)

    # What answers and others say of limits.

    def record_limit(self, record: EndpointRecord, rate: float | None, sent: float) -> None:
        """Notes what an answer says to a request that was sent at a time; None is no limit."""
        before = self._limited.get(record.endpoint)
        if rate is None and (before is None or sent <= before.known_since):
            return
        if self._update(record.endpoint, rate):
            self._send_all(RateLimitUpdate(self._instance, record.endpoint, rate))

    def receive_limit(self, message: RateLimitUpdate) -> None:
        """Takes over what another instance read."""
        self._update(message.endpoint, message.rate)

    def endpoint_gone(self, endpoint: str) -> None:
        """Notes that an endpoint seems gone."""
        if endpoint in self._limited:
            self._gone_since[endpoint] = monotonic()

    def expire(self, is_known: Callable[[str], bool]) -> None:
        """Forgets the limits of endpoints that stayed away."""
        for endpoint, since in list(self._gone_since.items()):
            if is_known(endpoint):
                del self._gone_since[endpoint]
            elif monotonic() - since >= GONE_ENDPOINT_TTL:
                self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that started again or is gone for good."""
        self._gone_since.pop(endpoint, None)
        self._limited.pop(endpoint, None)
        self._buckets.pop(endpoint, None)

    def _update(self, endpoint: str, rate: float | None) -> bool:
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
            self._limited[endpoint] = _EndpointLimit(rate, monotonic())
        else:
            limited.rate = rate
        bucket = self._buckets.get(endpoint)
        if bucket is not None:
            bucket.set_rate(rate, monotonic())
        return True

    # Before and as a request is sent.

    @property
    def any_limited(self) -> bool:
        """Tells whether any endpoint has a limit."""
        return bool(self._limited)

    def permit_wait(self, endpoint: str, now: float) -> float:
        """Returns the seconds until a request may go to an endpoint, as expected; 0 for now.

        Where a permit is needed and none is known to be far, it is asked for.
        """
        limited = self._limited.get(endpoint)
        if limited is None:
            return 0.0
        limiter = self._limiter_of(endpoint, limited, now)
        if limiter == self._instance:
            return self._bucket(endpoint, limited.rate, now).seconds_until_permit(now)
        limited.permits = [at for at in limited.permits if now - at < PERMIT_LIFETIME]
        if limited.permits:
            return 0.0
        if now < limited.denied_until:
            return limited.denied_until - now
        self._request_permit(endpoint, limiter, limited, now)
        assert limited.requested_at is not None
        waited = now - limited.requested_at
        return EXPECTED_REPLY_TIME if waited < EXPECTED_REPLY_TIME else REPLY_TIMEOUT - waited

    def take_permit(self, endpoint: str, now: float) -> bool:
        """Uses a permit for a request that is about to be sent; False when there is none."""
        limited = self._limited.get(endpoint)
        if limited is None:
            return True
        spent = self._take_permit(endpoint, limited, now)
        self._metrics.permits.labels("used" if spent else "lacked").inc()
        return spent

    def _take_permit(self, endpoint: str, limited: _EndpointLimit, now: float) -> bool:
        if self._limiter_of(endpoint, limited, now) == self._instance:
            return self._bucket(endpoint, limited.rate, now).take(now)
        while limited.permits:
            if now - limited.permits.pop(0) < PERMIT_LIFETIME:
                return True
        return False

    def _limiter_of(self, endpoint: str, limited: _EndpointLimit, now: float) -> str:
        name, until = limited.hint
        return name if name and now < until else self._limiter(endpoint)

    def _bucket(self, endpoint: str, rate: float, now: float) -> PermitBucket:
        if endpoint not in self._buckets:
            self._buckets[endpoint] = PermitBucket(rate, now)
        return self._buckets[endpoint]

    def _request_permit(
        self, endpoint: str, limiter: str, limited: _EndpointLimit, now: float
    ) -> None:
        if limited.requested_at is not None and now - limited.requested_at < REPLY_TIMEOUT:
            return
        self._request_number += 1
        limited.requested_at, limited.request_number = now, self._request_number
        self._send(limiter, PermitRequest(self._instance, endpoint, self._request_number))

    # The limiter's side, and its answers.

    def receive_request(self, ask: PermitRequest) -> None:
        """Gives a permit, or says when to ask again and whom."""
        now = monotonic()
        limited = self._limited.get(ask.endpoint)
        if limited is None:
            # The limit is over, or this instance has not heard of it, and the answer will tell.
            self._reply(ask, True, 0.0, self._instance)
            return
        limiter = self._limiter(ask.endpoint)
        if limiter != self._instance:
            self._reply(ask, False, WRONG_LIMITER_RETRY_AFTER, limiter)
            return
        bucket = self._bucket(ask.endpoint, limited.rate, now)
        granted = bucket.take(now)
        self._reply(
            ask, granted, 0.0 if granted else bucket.seconds_until_permit(now), self._instance
        )

    def _reply(self, ask: PermitRequest, granted: bool, wait: float, limiter: str) -> None:
        answer = PermitReply(
            self._instance, ask.endpoint, ask.number, granted, int(wait * 1000), limiter
        )
        self._send(ask.sender, answer)

    def receive_reply(self, answer: PermitReply) -> None:
        """Takes over what the limiter says; a permit counts from the question for it."""
        limited = self._limited.get(answer.endpoint)
        if (
            limited is None
            or answer.number != limited.request_number
            or limited.requested_at is None
        ):
            return
        now = monotonic()
        if answer.granted:
            limited.permits.append(limited.requested_at)
        else:
            limited.denied_until = now + answer.wait_ms / 1000
        if answer.limiter not in (answer.sender, self._instance):
            limited.hint = answer.limiter, now + LIMITER_HINT_TTL
        limited.requested_at = None

"""Rate limits that endpoints state, and the permits with which all instances together keep them.

An overloaded endpoint states in its responses how many requests a second it takes from all
instances together. The instance that reads this first notifies all others. From then on a request
is sent there only with a permit. Permits are granted by one instance, the endpoint's limiter, which
all instances determine by the same hash over the peers that they hear (see `limiter`). The others
request permits in advance, whenever a request that could go to the endpoint is looking for one.
Nobody waits for the reply, as most requests can go elsewhere. Without a permit the endpoint is
skipped, so a limiter that crashed or is cut off may leave the endpoint idle, but never overloads
it.

A limiter that does not know the limit must not take that for none: it may just have started, or
have missed the notice. So whoever asks for a permit states what it knows, an instance that starts
is told of all limits, and limiters repeat theirs.

A limit ends when a response to a request that was sent after the last response with the limit
states none (see `core.stated_limits`). One that restarts under its id may name the limit again, so
it is kept until an answer tells. An endpoint whose entry is missing for a moment still has its
limit, so the limit is kept for a while after the endpoint seems gone.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.permits import PERMIT_LIFETIME
from wigeonarch_core.stated_limits import LimitEvidence, StatedLimits
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.limiter import Limiter
from wigeonarch_gateway.messages import Message, PermitReply, PermitRequest, RateLimitUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord

# Seconds without a reply after which a permit is requested again, from the same or another limiter.
REPLY_TIMEOUT: Final = 0.3
# Seconds for which a request that can go nowhere else waits for the reply.
EXPECTED_REPLY_TIME: Final = 0.06
# Seconds after which to request a permit again if the receiver was not the limiter.
WRONG_LIMITER_RETRY_AFTER: Final = 0.1
# Seconds for which another instance's hint at the limiter is followed.
LIMITER_HINT_TTL: Final = 2.0
# Seconds for which the limit of an endpoint that seems gone is kept.
GONE_ENDPOINT_TTL: Final = 60.0
FIRST_NUMBER_BOUND: Final = 1 << 40  # Request numbers start at a random value below this.


@dataclass(slots=True)
class _OwnPermits:
    """Permits for an endpoint that this instance has or asks for. All times are in seconds.

    Attributes:
        permits: Unused permits, each by the time at which it was requested.
        requested_at: Time of the pending permit request; None if there is none.
        request_number: Number of that request.
        denied_until: Time until which the limiter has no permit.
        hint: Limiter named by another instance, and the time until which the hint is followed.
        asked: Limiter that was asked last; empty if none was.
    """

    permits: list[float] = field(default_factory=list)
    requested_at: float | None = None
    request_number: int = 0
    denied_until: float = 0.0
    hint: tuple[str, float] = ("", 0.0)
    asked: str = ""


class EndpointLimits:
    """The rate limits of endpoints that this instance knows, and permits to send there."""

    __slots__ = (
        "_gone_since",
        "_instance",
        "_limiter",
        "_metrics",
        "_own",
        "_rates",
        "_request_number",
        "_send",
        "_send_all",
        "_stated",
        "_told_ended",
    )

    def __init__(
        self,
        instance: str,
        limiter: Callable[[str], str],
        rank: Callable[[str, Sequence[str]], list[str]],
        send: Callable[[str, Message], bool],
        send_all: Callable[[Message], None],
        metrics: Metrics,
    ) -> None:
        """Creates the limits; none is known at first.

        Args:
            instance: Name of this instance.
            limiter: Returns the instance that grants permits for an endpoint, as this one sees it.
            rank: Orders instances by their preference as an endpoint's limiter, alike everywhere.
            send: Sends a message to an instance.
            send_all: Sends a message to all instances.
            metrics: Counters.
        """
        self._instance = instance
        self._limiter = Limiter(instance, limiter, rank)
        self._send = send
        self._send_all = send_all
        self._metrics = metrics
        self._stated = StatedLimits()
        self._rates: dict[str, float] = {}  # The limits in force, as last logged.
        self._told_ended: set[str] = set()  # Endpoints whose end of a limit was sent to all.
        self._own: dict[str, _OwnPermits] = {}
        # Endpoints with a limit that seem gone, and since when.
        self._gone_since: dict[str, float] = {}
        self._request_number = random.randrange(FIRST_NUMBER_BOUND)

    # Limits that responses state and other instances report.

    def record_limit(self, record: EndpointRecord, rate: float | None, sent_at: float) -> None:
        """Records the limit that a response states, and notifies all instances of a change.

        Args:
            record: The endpoint.
            rate: Requests a second; None if the response states no limit.
            sent_at: Time at which the request was sent, in seconds.
        """
        if rate is None:
            self._stated.record_none(record.endpoint, sent_at)
        else:
            self._stated.record_named(record.endpoint, rate, monotonic())
        if self._note_change(record.endpoint, "response"):
            self._send_all(self._update(record.endpoint))
            self._told_ended.discard(record.endpoint)
            if rate is None:
                self._told_ended.add(record.endpoint)

    def receive_limit(self, message: RateLimitUpdate) -> None:
        """Takes over what another instance knows; tells it if something later is known here.

        An end that this instance has told to all, and that turns out to be none, is taken back.
        """
        self._limiter.note_announcement(
            message.endpoint, message.sender, message.grants, monotonic()
        )
        evidence = LimitEvidence(message.rate, message.age_ms / 1000)
        self._adopt(message.endpoint, evidence, message.sender)

    def _adopt(self, endpoint: str, evidence: LimitEvidence, sender: str) -> None:
        self._stated.adopt(endpoint, evidence, monotonic())
        if self._note_change(endpoint, sender) and endpoint in self._told_ended:
            self._told_ended.remove(endpoint)
            self._send_all(self._update(endpoint))
        if self._stated.supersedes(endpoint, evidence):
            self._send(sender, self._update(endpoint))

    def known_limits(self) -> list[RateLimitUpdate]:
        """Returns the limits in force, for an instance that just started."""
        return [self._update(endpoint) for endpoint in self._rates]

    def endpoint_gone(self, endpoint: str) -> None:
        """Records that an endpoint seems gone."""
        if self._stated.rate(endpoint) is not None:
            self._gone_since[endpoint] = monotonic()

    def expire(self, is_known: Callable[[str], bool]) -> None:
        """Forgets the limits of endpoints that did not come back, and repeats others to all.

        Args:
            is_known: Tells whether an endpoint is known at present.
        """
        now = monotonic()
        self._limiter.write_log(now)
        self._stated.expire(now)
        for endpoint in self._limiter.announcements_due(now):
            if endpoint in self._rates:
                self._send_all(self._update(endpoint))
        for endpoint, since in list(self._gone_since.items()):
            if is_known(endpoint):
                del self._gone_since[endpoint]
            elif now - since >= GONE_ENDPOINT_TTL:
                self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forgets the limit of an endpoint that is gone for good."""
        self._stated.forget(endpoint)
        self._told_ended.discard(endpoint)
        self._limiter.forget(endpoint)
        self._note_change(endpoint, "forgotten")

    def _note_change(self, endpoint: str, source: str) -> bool:
        """Follows a limit that a source began, changed or ended; returns whether it did."""
        rate = self._stated.rate(endpoint)
        rate_before = self._rates.get(endpoint)
        if rate == rate_before:
            return False
        log("limit_named", endpoint=endpoint, rate=rate, before=rate_before, by=source)
        if rate is None:
            del self._rates[endpoint]
            self._gone_since.pop(endpoint, None)
            self._own.pop(endpoint, None)
            self._limiter.forget(endpoint)
            return True
        self._rates[endpoint] = rate
        return True

    def _update(self, endpoint: str) -> RateLimitUpdate:
        """Returns what this instance knows of an endpoint's limit, for others."""
        evidence = self._stated.evidence(endpoint, monotonic())
        assert evidence is not None
        return RateLimitUpdate(
            self._instance,
            endpoint,
            evidence.rate,
            math.ceil(evidence.age * 1000),
            self._limiter.is_announced(endpoint),
        )

    # Permits for requests of this instance.

    @property
    def any_limited(self) -> bool:
        """Tells whether any endpoint has a limit."""
        return bool(self._rates)

    def is_limited(self, endpoint: str) -> bool:
        """Tells whether an endpoint has a limit."""
        return endpoint in self._rates

    def permit_wait(self, endpoint: str, now: float) -> float:
        """Returns the expected seconds until a request may be sent to an endpoint; 0 for now.

        If a permit is needed and the limiter has not denied it for now, it is requested.
        """
        rate = self._rates.get(endpoint)
        if rate is None:
            return 0.0
        own = self._own.setdefault(endpoint, _OwnPermits())
        limiter = self._limiter_of(endpoint, own, now)
        if limiter == self._instance:
            return self._limiter.wait(endpoint, rate, now)
        own.permits = [at for at in own.permits if now - at < PERMIT_LIFETIME]
        if not own.permits and now >= own.denied_until:
            self._request_permit(endpoint, limiter, own, now)
        return _expected_wait(own, now)

    def expected_permit_wait(self, endpoint: str, now: float) -> float:
        """Returns what `permit_wait` returns, without requesting a permit."""
        rate = self._rates.get(endpoint)
        if rate is None:
            return 0.0
        own = self._own.get(endpoint, _OwnPermits())
        if self._limiter_of(endpoint, own, now) == self._instance:
            return self._limiter.expected_wait(endpoint, rate, now)
        return _expected_wait(own, now)

    def take_permit(self, endpoint: str, now: float) -> bool:
        """Uses up a permit for a request that is about to be sent; False if there is none."""
        rate = self._rates.get(endpoint)
        if rate is None:
            return True
        spent = self._take_permit(endpoint, rate, now)
        self._metrics.permits.labels("used" if spent else "lacked").inc()
        return spent

    def _take_permit(self, endpoint: str, rate: float, now: float) -> bool:
        own = self._own.setdefault(endpoint, _OwnPermits())
        if self._limiter_of(endpoint, own, now) == self._instance:
            return self._limiter.take(endpoint, rate, now)
        while own.permits:
            if now - own.permits.pop(0) < PERMIT_LIFETIME:
                return True
        return False

    def _limiter_of(self, endpoint: str, own: _OwnPermits, now: float) -> str:
        name, until = own.hint
        return name if name and now < until else self._limiter.choose(endpoint, now)

    def _request_permit(self, endpoint: str, limiter: str, own: _OwnPermits, now: float) -> None:
        if own.requested_at is not None and now - own.requested_at < REPLY_TIMEOUT:
            return
        if limiter != own.asked:
            log("limiter_asked", endpoint=endpoint, peer=limiter, before=own.asked)
            own.asked = limiter
        self._request_number += 1
        own.requested_at, own.request_number = now, self._request_number
        known = self._stated.evidence(endpoint, now)
        assert known is not None
        self._send(
            limiter,
            PermitRequest(
                self._instance,
                endpoint,
                self._request_number,
                known.rate,
                math.ceil(known.age * 1000),
            ),
        )

    # The limiter's side, and its replies.

    def receive_request(self, request: PermitRequest) -> None:
        """Replies with a permit, or with when and from whom to request it again."""
        endpoint, now = request.endpoint, monotonic()
        if request.rate is not None:
            evidence = LimitEvidence(request.rate, request.age_ms / 1000)
            self._adopt(endpoint, evidence, request.sender)
        limiter = self._limiter.choose(endpoint, now)
        if limiter != self._instance:
            self._reply(request, False, WRONG_LIMITER_RETRY_AFTER, limiter)
            return
        rate = self._rates.get(endpoint)
        granted = self._limiter.grant(endpoint, rate, now)
        wait = 0.0 if granted else self._limiter.wait(endpoint, rate, now)
        self._reply(request, granted, wait, self._instance)

    def _reply(self, request: PermitRequest, granted: bool, wait: float, limiter: str) -> None:
        reply = PermitReply(
            self._instance, request.endpoint, request.number, granted, int(wait * 1000), limiter
        )
        self._send(request.sender, reply)

    def receive_reply(self, reply: PermitReply) -> None:
        """Takes over the limiter's reply; a permit is valid from the time it was requested."""
        own = self._own.get(reply.endpoint)
        if own is None or reply.number != own.request_number or own.requested_at is None:
            return
        now = monotonic()
        if reply.granted:
            own.permits.append(own.requested_at)
        else:
            own.denied_until = now + reply.wait_ms / 1000
        if reply.limiter not in (reply.sender, self._instance):
            own.hint = reply.limiter, now + LIMITER_HINT_TTL
        own.requested_at = None


def _expected_wait(own: _OwnPermits, now: float) -> float:
    """Returns the seconds until another instance's permit allows a request; 0 if one does now."""
    if any(now - at < PERMIT_LIFETIME for at in own.permits):
        return 0.0
    if now < own.denied_until:
        return own.denied_until - now
    waited = 0.0 if own.requested_at is None else now - own.requested_at
    if EXPECTED_REPLY_TIME <= waited < REPLY_TIMEOUT:
        return REPLY_TIMEOUT - waited
    return EXPECTED_REPLY_TIME

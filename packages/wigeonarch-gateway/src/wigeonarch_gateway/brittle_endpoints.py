"""Endpoints that crash when they have to turn too many requests away.

Such an endpoint says so in all its responses. What one instance reads it tells all others, also
those that start later, by evidence with its age (see `core.stated_limits`). An endpoint of which
nothing is known counts as brittle while others of its service are: it may just have restarted.

A request is sent to a brittle endpoint only with a place that one instance, the endpoint's granter,
grants to all (see `places`), so that it rarely has to turn any away.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from wigeonarch_core.stated_limits import LimitEvidence, StatedLimits
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import BrittleUpdate, Message
from wigeonarch_gateway.ports import EndpointRecord

# Seconds for which it is remembered that an endpoint that seems gone was brittle.
GONE_ENDPOINT_TTL: Final = 60.0


class BrittleEndpoints:
    """What this instance knows of brittle endpoints."""

    __slots__ = (
        "_gone_since",
        "_instance",
        "_on_change",
        "_send",
        "_send_all",
        "_services",
        "_since",
        "_stated",
    )

    def __init__(
        self,
        instance: str,
        send: Callable[[str, Message], bool],
        send_all: Callable[[Message], None],
        on_change: Callable[[], None],
    ) -> None:
        """Creates the knowledge; no endpoint is brittle at first.

        Args:
            instance: Name of this instance.
            send: Sends a message to an instance.
            send_all: Sends a message to all instances.
            on_change: Called after endpoints became brittle or ceased to be.
        """
        self._instance = instance
        self._send = send
        self._send_all = send_all
        self._on_change = on_change
        self._stated = StatedLimits()  # The rejections per second that endpoints tolerate.
        self._services: dict[str, str] = {}  # Service of each endpoint that is brittle.
        self._since: dict[str, float] = {}  # Time at which this instance learned it.
        self._gone_since: dict[str, float] = {}  # Of brittle endpoints that seem gone.

    @property
    def any_brittle(self) -> bool:
        """Whether any endpoint is brittle."""
        return bool(self._services)

    def is_brittle(self, record: EndpointRecord) -> bool:
        """Tells whether an endpoint must not be sent more than it has places for."""
        if not self._services:
            return False
        if record.endpoint in self._services:
            return True
        is_known = self._stated.evidence(record.endpoint, 0.0) is not None
        return not is_known and record.service in self._services.values()

    def record_response(
        self, record: EndpointRecord, tolerated: int | None, sent_at: float, ran: bool
    ) -> None:
        """Records what a response states, and tells all instances of a change.

        Args:
            record: The endpoint.
            tolerated: Rejections per second that it tolerates; None if it states none.
            sent_at: Time at which the request was sent, in seconds.
            ran: Whether the endpoint ran the request. A rejection that states nothing ends nothing.
        """
        endpoint, now = record.endpoint, monotonic()
        if tolerated is not None:
            self._stated.record_named(endpoint, tolerated, now)
        elif ran and self.is_brittle(record):
            self._stated.adopt(endpoint, LimitEvidence(None, now - sent_at), now)
        else:
            return
        if self._note_change(endpoint, record.service, "response"):
            self._send_all(self._update(endpoint, record.service))

    def receive_update(self, message: BrittleUpdate) -> None:
        """Takes over what another instance knows; tells it if something later is known here."""
        rate = None if message.tolerated is None else float(message.tolerated)
        evidence = LimitEvidence(rate, message.age_ms / 1000)
        self._stated.adopt(message.endpoint, evidence, monotonic())
        self._note_change(message.endpoint, message.service, message.sender)
        if self._stated.supersedes(message.endpoint, evidence):
            self._send(message.sender, self._update(message.endpoint, message.service))

    def known(self) -> list[BrittleUpdate]:
        """Returns what is known of brittle endpoints, for an instance that just started."""
        return [self._update(endpoint, service) for endpoint, service in self._services.items()]

    def known_for(self, endpoint: str, now: float) -> float:
        """Returns the seconds since this instance learned that an endpoint is brittle."""
        return now - self._since.get(endpoint, float("-inf"))

    def endpoint_gone(self, endpoint: str) -> None:
        """Records that an endpoint seems gone."""
        if endpoint in self._services:
            self._gone_since[endpoint] = monotonic()

    def expire(self, is_known: Callable[[str], bool]) -> None:
        """Forgets what is long past, and endpoints that did not come back.

        Args:
            is_known: Tells whether an endpoint is known at present.
        """
        now = monotonic()
        self._stated.expire(now)
        for endpoint, since in list(self._gone_since.items()):
            if is_known(endpoint):
                del self._gone_since[endpoint]
            elif now - since >= GONE_ENDPOINT_TTL:
                del self._gone_since[endpoint]
                self._stated.forget(endpoint)
                self._note_change(endpoint, "", "forgotten")

    def _note_change(self, endpoint: str, service: str, source: str) -> bool:
        """Follows what a source told; returns whether an endpoint became brittle, or sound."""
        tolerated = self._stated.rate(endpoint)
        if (tolerated is not None) == (endpoint in self._services):
            return False
        log("brittle_named", endpoint=endpoint, tolerated=tolerated, by=source)
        if tolerated is None:
            del self._services[endpoint], self._since[endpoint]
        else:
            self._services[endpoint], self._since[endpoint] = service, monotonic()
        self._on_change()
        return True

    def _update(self, endpoint: str, service: str) -> BrittleUpdate:
        evidence = self._stated.evidence(endpoint, monotonic())
        assert evidence is not None
        tolerated = None if evidence.rate is None else int(evidence.rate)
        age_ms = math.ceil(evidence.age * 1000)
        return BrittleUpdate(self._instance, endpoint, service, tolerated, age_ms)

"""Places at brittle endpoints: who waits for one, who has one, and who grants them.

For each endpoint a single instance grants the places (see `granter_choice`). The others state to it
what they have in use and what they want, whenever that changes and regularly (see
`core.place_ledger`). A request waits for its place, and goes to another endpoint if none comes
soon. Where nobody grants, nothing is sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.place_ledger import (
    STATEMENT_INTERVAL,
    PlaceLedger,
    Statement,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.brittle_endpoints import BrittleEndpoints
from wigeonarch_gateway.granter_choice import GranterChoice
from wigeonarch_gateway.messages import Message, PlaceGrant, PlacesGranted, PlaceStatement
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord

# Seconds after which an endpoint that grants a waiting request no place counts as full.
GRANT_TIME: Final = 0.03
# The same for an engine, which others can stand in for only after a load.
ENGINE_GRANT_TIME: Final = 0.15
# Seconds for which a request waits before it chooses among all endpoints anew.
QUEUE_TIME: Final = 0.1
# Seconds within which a place has to be used: the time to open a connection, and some more.
RESERVATION_TTL: Final = 0.3
# Seconds for which another instance's hint at the granter is followed.
GRANTER_HINT_TTL: Final = 2.0
# Seconds for which a granter that was worked out counts.
CHOICE_TTL: Final = 0.1
# Seconds before another hint is followed at once: two instances may name each other.
MIN_HINT_INTERVAL: Final = 0.1
# Seconds after which news that an endpoint is brittle is old: another instance may grant places.
NEWS_TIME: Final = 1.0
MAX_EPOCH: Final = 1 << 40  # Epochs are random numbers below this.
LOG_INTERVAL: Final = 1.0  # Seconds between log lines about the places of an endpoint.


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for a place.

    Attributes:
        rank: Its priority; 0 is first.
        since: Time since which it waits, in seconds.
        granted: Receives the endpoint at which it has a place.
    """

    rank: int
    since: float
    granted: asyncio.Future[str]


@dataclass(slots=True)
class _OwnPlaces:
    """Places of this instance at one endpoint; all times are in seconds.

    Attributes:
        waiters: Requests that wait for a place.
        reserved: Times at which places came that were not used yet.
        stated: What was stated last: places in use, and places wanted.
        stated_at: Time of that statement.
        ungranted_since: Time since which somebody waits and no place came; None if nobody does.
        ledger: Epoch of the ledger from which a grant came last.
        seen: Number of that grant.
        refused: Requests that the endpoint has refused to run.
        hint: Granter named by another instance, and the time until which the hint is followed.
    """

    waiters: list[_Waiter] = field(default_factory=list)
    reserved: list[float] = field(default_factory=list)
    stated: tuple[int, int] = (0, 0)
    stated_at: float = 0.0
    ungranted_since: float | None = None
    ledger: int = 0
    seen: int = 0
    refused: int = 0
    hint: tuple[str, float] = ("", 0.0)


class Places:
    """The places that this instance has, wants and grants at brittle endpoints."""

    __slots__ = (
        "_brittle",
        "_changed",
        "_choice",
        "_chosen",
        "_epoch",
        "_instance",
        "_ledgers",
        "_logged_at",
        "_metrics",
        "_number",
        "_own",
        "_own_running",
        "_record",
        "_send",
        "_send_all",
        "_timers",
    )

    def __init__(
        self,
        instance: str,
        brittle: BrittleEndpoints,
        choice: GranterChoice,
        record: Callable[[str], EndpointRecord | None],
        own_running: Callable[[str], int],
        send: Callable[[str, Message], bool],
        send_all: Callable[[Message], None],
        metrics: Metrics,
    ) -> None:
        """Creates the places; there are none at first.

        Args:
            instance: Name of this instance.
            brittle: The brittle endpoints.
            choice: The instances that grant endpoints' places, as this one sees it.
            record: Returns an endpoint's record; None if it is not known.
            own_running: Returns the requests that this instance has at an endpoint.
            send: Sends a message to an instance.
            send_all: Sends a message to all instances.
            metrics: Counters.
        """
        self._instance = instance
        self._brittle = brittle
        self._choice = choice
        self._record = record
        self._own_running = own_running
        self._send = send
        self._send_all = send_all
        self._metrics = metrics
        self._epoch = random.randrange(1, MAX_EPOCH)
        self._number = 0  # Of the last statement about any endpoint.
        self._own: dict[str, _OwnPlaces] = {}
        self._changed: set[str] = set()  # Endpoints of which a statement is about to be made.
        # Granters of endpoints, and the times until which they are not worked out anew.
        self._chosen: dict[str, tuple[str, float]] = {}
        self._ledgers: dict[str, PlaceLedger] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}  # When to grant places again.
        self._logged_at = 0.0

    # Used by requests.

    @property
    def any_needed(self) -> bool:
        """Whether requests to any endpoint need a place."""
        return self._brittle.any_brittle

    def is_needed(self, record: EndpointRecord) -> bool:
        """Tells whether requests to an endpoint need a place."""
        return self._brittle.is_brittle(record)

    def is_full(self, record: EndpointRecord, now: float, grant_time: float = GRANT_TIME) -> bool:
        """Tells whether a request that wants a place at an endpoint has to queue for it.

        Args:
            record: The endpoint.
            now: Current time, in seconds.
            grant_time: Seconds for which a request has got no place there.
        """
        own = self._own.get(record.endpoint)
        if own is None or own.ungranted_since is None or not self.is_needed(record):
            return False
        return now - own.ungranted_since >= grant_time

    def without_full(
        self, records: list[EndpointRecord], now: float, are_engines: bool = False
    ) -> list[EndpointRecord]:
        """Returns the endpoints at which a request need not queue; all if there are none.

        Args:
            records: The endpoints.
            now: Current time, in seconds.
            are_engines: Whether others may have to load the request's adapter first.
        """
        if not self.any_needed:
            return records
        grant_time = ENGINE_GRANT_TIME if are_engines else GRANT_TIME
        found = [record for record in records if not self.is_full(record, now, grant_time)]
        return found or records

    async def acquire(
        self, records: Sequence[EndpointRecord], rank: int, since: float, timeout: float
    ) -> str | None:
        """Waits for a place at one of some endpoints; returns the endpoint, None if none came.

        Args:
            records: The endpoints.
            rank: Priority of the request; 0 is first.
            since: Time since which it waits, in seconds.
            timeout: Seconds to wait at most.
        """
        waiter = _Waiter(rank, since, asyncio.get_running_loop().create_future())
        endpoints = [record.endpoint for record in records]
        for endpoint in endpoints:
            own = self._own.setdefault(endpoint, _OwnPlaces())
            own.waiters.append(waiter)
            if own.ungranted_since is None:
                own.ungranted_since = monotonic()
            self._state_soon(endpoint)
        try:
            async with timeout_after(timeout):
                return await waiter.granted
        except TimeoutError:
            return None
        finally:
            for endpoint in endpoints:
                self._stop_waiting(endpoint, waiter)

    def _stop_waiting(self, endpoint: str, waiter: _Waiter) -> None:
        own = self._own.get(endpoint)
        if own is None or waiter not in own.waiters:
            return
        own.waiters.remove(waiter)
        if not own.waiters:
            own.ungranted_since = None
        self._state_soon(endpoint)

    def take(self, record: EndpointRecord) -> bool:
        """Tells whether a request that is about to be sent may be, and uses up its place."""
        if not self.is_needed(record):
            return True
        own = self._own.get(record.endpoint)
        if own is None or not own.reserved:
            self._metrics.places.labels("lacked").inc()
            return False
        own.reserved.pop(0)
        self._metrics.places.labels("used").inc()
        return True

    def record_end(self, record: EndpointRecord) -> None:
        """Records that a request at an endpoint is over."""
        if self.any_needed and self.is_needed(record):
            self._state_soon(record.endpoint)

    def record_refusal(self, record: EndpointRecord) -> None:
        """Records that an endpoint refused to run a request."""
        if self.any_needed and self.is_needed(record):
            self._own.setdefault(record.endpoint, _OwnPlaces()).refused += 1
            self._state_soon(record.endpoint)

    def follow_change(self) -> None:
        """Makes statements about endpoints that became brittle, and drops those that ceased to be.

        Requests that wait for a place that is no longer needed go on.
        """
        for endpoint, own in list(self._own.items()):
            record = self._record(endpoint)
            if record is not None and not self.is_needed(record):
                for waiter in own.waiters:
                    _hand_over(waiter, endpoint)
                del self._own[endpoint]
        for endpoint in list(self._ledgers):
            record = self._record(endpoint)
            if record is not None and not self.is_needed(record):
                self._cease(endpoint)
                self._choice.forget(endpoint)
        for update in self._brittle.known():
            if self._own_running(update.endpoint):
                self._own.setdefault(update.endpoint, _OwnPlaces())
                self._state_soon(update.endpoint)

    # Statements to the granter, and its grants.

    def _state_soon(self, endpoint: str) -> None:
        """Makes a statement once the current step of the event loop is over."""
        if not self._changed:
            asyncio.get_running_loop().call_soon(self._state_changes)
        self._changed.add(endpoint)

    def _state_changes(self) -> None:
        changed, self._changed = self._changed, set()
        now = monotonic()
        for endpoint in changed:
            own = self._own.get(endpoint)
            if own is not None:
                self._state(endpoint, own, now)

    def _state(self, endpoint: str, own: _OwnPlaces, now: float) -> None:
        self._number += 1
        in_use = self._own_running(endpoint) + len(own.reserved)
        own.stated, own.stated_at = (in_use, len(own.waiters)), now
        statement = Statement(
            self._epoch,
            self._number,
            in_use,
            len(own.waiters),
            min((waiter.rank for waiter in own.waiters), default=0),
            min((now - waiter.since for waiter in own.waiters), default=0.0),
            own.ledger,
            own.seen,
            own.refused,
        )
        message = PlaceStatement(self._instance, endpoint, statement)
        granter = self._granter_of(endpoint, own, now)
        if granter == self._instance:
            self.receive_statement(message)
        else:
            self._send(granter, message)

    def _granter_of(self, endpoint: str, own: _OwnPlaces, now: float) -> str:
        name, until = own.hint
        return name if name and now < until else self._choose(endpoint, now)

    def _choose(self, endpoint: str, now: float) -> str:
        """Returns the granter of an endpoint, which is worked out anew after a moment."""
        name, until = self._chosen.get(endpoint, ("", 0.0))
        if now >= until:
            name = self._choice.choose(endpoint, now)
            self._chosen[endpoint] = name, now + CHOICE_TTL
        return name

    def receive_grant(self, grant: PlaceGrant) -> None:
        """Gives a place to the request that waits for it, or back if none does."""
        own, now = self._own.get(grant.endpoint), monotonic()
        if own is None:
            return
        if not grant.number:
            if grant.granter != self._instance:
                self._follow_hint(grant, own, now)
            return
        if grant.ledger != own.ledger:
            own.ledger, own.seen = grant.ledger, 0
        own.seen = max(own.seen, grant.number)
        self._state_soon(grant.endpoint)
        waiting = [waiter for waiter in own.waiters if not waiter.granted.done()]
        if not waiting:
            return
        first = min(waiting, key=lambda waiter: (waiter.rank, -waiter.since))
        own.waiters.remove(first)
        own.reserved.append(now)
        own.ungranted_since = now if own.waiters else None
        _hand_over(first, grant.endpoint)

    def _follow_hint(self, grant: PlaceGrant, own: _OwnPlaces, now: float) -> None:
        is_recent = now < own.hint[1] - GRANTER_HINT_TTL + MIN_HINT_INTERVAL
        own.hint = grant.granter, now + GRANTER_HINT_TTL
        if not is_recent:
            self._state_soon(grant.endpoint)

    def refresh(self) -> None:
        """Repeats statements, gives back places that were not used, and grants free ones."""
        now = monotonic()
        for endpoint, own in list(self._own.items()):
            own.reserved = [at for at in own.reserved if now - at < RESERVATION_TTL]
            state = self._own_running(endpoint) + len(own.reserved), len(own.waiters)
            is_due = any(state) and now - own.stated_at >= STATEMENT_INTERVAL
            if is_due or state != own.stated:
                self._state(endpoint, own, now)
        for endpoint in list(self._ledgers):
            if self._choose(endpoint, now) == self._instance:
                self._announce(endpoint, now)
                self._grant(endpoint)
            else:
                self._cease(endpoint)
        if now - self._logged_at >= LOG_INTERVAL:
            self._logged_at = now
            self._write_log(now)

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that is gone for good."""
        self._own.pop(endpoint, None)
        self._chosen.pop(endpoint, None)
        self._cease(endpoint)
        self._choice.forget(endpoint)

    # The granter's side.

    def receive_statement(self, message: PlaceStatement) -> None:
        """Takes over what an instance has and wants, and grants places that are free."""
        endpoint, now = message.endpoint, monotonic()
        granter = self._choose(endpoint, now)
        if granter != self._instance:
            self._cease(endpoint)
            if message.sender != self._instance:
                self._send(message.sender, PlaceGrant(endpoint, granter, 0, 0))
            return
        ledger = self._ledgers.get(endpoint)
        if ledger is None:
            is_news = self._brittle.known_for(endpoint, now) < NEWS_TIME
            ledger = PlaceLedger(random.randrange(1, MAX_EPOCH), now, is_news)
            self._ledgers[endpoint] = ledger
            log("places_begin", endpoint=endpoint, is_news=is_news, by=message.sender)
            self._announce(endpoint, now)
        ledger.note(message.sender, message.statement, now)
        self._grant(endpoint)

    def receive_announcement(self, message: PlacesGranted) -> None:
        """Notes whether another instance grants an endpoint's places."""
        now = monotonic()
        self._choice.note_announcement(message.endpoint, message.sender, message.grants, now)
        self._chosen.pop(message.endpoint, None)
        granter = self._choose(message.endpoint, now)
        if message.endpoint in self._ledgers and granter != self._instance:
            self._cease(message.endpoint)

    def _announce(self, endpoint: str, now: float) -> None:
        if self._choice.begins(endpoint, now):
            self._send_all(PlacesGranted(self._instance, endpoint, True))

    def _cease(self, endpoint: str) -> None:
        """Stops granting an endpoint's places."""
        if self._ledgers.pop(endpoint, None) is not None:
            log("places_end", endpoint=endpoint, granter=self._choose(endpoint, monotonic()))
        if self._choice.ends(endpoint):
            self._send_all(PlacesGranted(self._instance, endpoint, False))

    def _grant(self, endpoint: str) -> None:
        ledger, record, now = self._ledgers.get(endpoint), self._record(endpoint), monotonic()
        if ledger is None or record is None:
            return
        for sender, number in ledger.grant(record.slots, now):
            grant = PlaceGrant(endpoint, self._instance, ledger.epoch, number)
            if sender == self._instance:
                self.receive_grant(grant)
            else:
                self._send(sender, grant)
        pause = ledger.pause_left(now)
        if pause and endpoint not in self._timers:
            loop = asyncio.get_running_loop()
            self._timers[endpoint] = loop.call_later(pause, self._end_pause, endpoint)

    def _end_pause(self, endpoint: str) -> None:
        self._timers.pop(endpoint, None)
        self._grant(endpoint)

    def _write_log(self, now: float) -> None:
        """Logs the places of each endpoint that this instance grants."""
        for endpoint, ledger in self._ledgers.items():
            record = self._record(endpoint)
            if record is not None and (ledger.occupied() or ledger.waiting()):
                log(
                    "places",
                    endpoint=endpoint,
                    slots=record.slots,
                    room=ledger.room(record.slots, now),
                    occupied=ledger.occupied(),
                    waiting=ledger.waiting(),
                )


def _hand_over(waiter: _Waiter, endpoint: str) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(endpoint)

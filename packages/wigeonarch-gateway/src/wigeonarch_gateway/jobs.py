"""The state of a request in progress, and the ways in which a dispatch can fail."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.routes import Route, RouteKind, ServiceSpec
from wigeonarch_core.service_admission import Refusal
from wigeonarch_core.stream_origins import Origin
from wigeonarch_core.teams import Team

from wigeonarch_gateway.events import EventSplitter
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.exchange_race import ExchangeRace
from wigeonarch_gateway.ports import RequestTerms, ResponseHead


class DispatchFailure(enum.Enum):
    """Why a dispatch gave no response for the caller; decides whether it may be retried."""

    NOT_SENT = "not_sent"  # Nothing was sent: no connection, or the endpoint takes no request now.
    NOT_RUN = "not_run"  # The endpoint refused the request without running it.
    LACKS_ADAPTER = "lacks_adapter"  # The endpoint refused it because the adapter is not loaded.
    LOST = "lost"  # The request may have run: the response is missing or incomplete.
    SILENT = "silent"  # The request may have run: no response within the timeout of a dispatch.
    FAILED = "failed"  # The request ran and failed, or its response can't be forwarded.


MAY_HAVE_RUN: Final = frozenset(
    {DispatchFailure.LOST, DispatchFailure.SILENT, DispatchFailure.FAILED}
)


@dataclass(slots=True)
class Job:
    """A request in progress. All times are in seconds of the monotonic clock.

    Attributes:
        request: The request that the caller sent.
        terms: What its headers ask for.
        response: Sends the response to the caller.
        route: The route that it matched.
        service: Name of the service that serves it.
        content_key: Hash of method, host, target and body: the same each time that a caller
            repeats the request.
        deadline: Time after which a response is of no use to the caller, or the route's timeout.
        spec: Specification of the service; None if the configuration has none.
        dispatch_count: Number of dispatches so far.
        dispatched_at: Time of the last dispatch.
        writing_since: Time of the first event of the last dispatch; 0 before.
        may_have_run_on: Endpoints on which it may have run, in order of dispatch.
        connections: Numbers of the connections on which it was sent to endpoints.
        refusal_count: Number of dispatches after which it certainly had not run.
        avoided_endpoints: Endpoints to which it should not be sent again.
        splitter: Splits the event stream and counts the events that were forwarded.
        failure_response: Failure response of an endpoint, which is forwarded if no later dispatch
            does better.
        load_requested_from: Engine that was last asked to load the adapter; empty if none was.
        load_requested_at: Time of that load request.
        selection_time: Seconds spent so far on waiting for an endpoint.
        first_event_at: Time at which the first event was forwarded; 0 before.
        last_event_at: Time at which the last event was forwarded; 0 before the first.
        longest_pause: Longest time between two events so far, in seconds.
        requires_key: Whether the configuration asks callers for API keys.
        team: Team whose API key the request carries; None if there is none.
        from_peer: Whether a peer handed the request over to this instance.
        peers_tried: Peers to which it was handed over.
        origin: What began the stream of which the caller has events; None if it has none.
        origin_recorded: Whether that was recorded for this attempt.
        is_counted: Whether it was counted in what its service is asked for.
        is_admitted: Whether its service was found to have room for its kind.
        overload: Why it was refused by the overloaded service; None if it was not.
        race: Its exchanges, if it may be at two endpoints at the same time.
    """

    request: CallerRequest
    terms: RequestTerms
    response: ResponseWriter
    route: Route
    service: str
    content_key: str
    deadline: float
    spec: ServiceSpec | None
    dispatch_count: int = 0
    dispatched_at: float = 0.0
    writing_since: float = 0.0
    may_have_run_on: list[str] = field(default_factory=list)
    connections: set[int] = field(default_factory=set)
    refusal_count: int = 0
    avoided_endpoints: set[str] = field(default_factory=set)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    failure_response: tuple[ResponseHead, bytes] | None = None
    load_requested_from: str = ""
    load_requested_at: float = 0.0
    selection_time: float = 0.0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    requires_key: bool = False
    team: Team | None = None
    from_peer: bool = False
    peers_tried: list[str] = field(default_factory=list)
    origin: Origin | None = None
    origin_recorded: bool = False
    is_counted: bool = False
    is_admitted: bool = False
    overload: Refusal | None = None
    race: ExchangeRace | None = None

    def record_events(self, now: float) -> None:
        """Records that events were forwarded to the caller."""
        if self.first_event_at:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now
        self.writing_since = self.writing_since or now

    @property
    def writing_time(self) -> float | None:
        """Returns the seconds from the first to the last event of the last dispatch, if any came.

        The time since the last event does not count: this process may have stood still.
        """
        return self.last_event_at - self.writing_since if self.writing_since else None

    @property
    def request_id(self) -> str:
        """Returns the request's id, which log lines carry."""
        return self.terms.request_id

    @property
    def priority(self) -> int:
        """Returns the priority of the request's team, or else that of its route."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def takes_up_stream(self) -> bool:
        """Tells whether the caller has events of the stream, and what began it is not known yet."""
        is_stream = self.route.kind is RouteKind.STREAMING
        return is_stream and self.terms.resumed and self.origin is None

    @property
    def may_repeat(self) -> bool:
        """Tells whether the request may be sent again although it may have run.

        A stream of which the caller has events only goes on where its route allows that.
        """
        has_no_events = not self.splitter.count
        repeatable = self.route.resumable or (self.route.repeatable and has_no_events)
        return repeatable and len(set(self.may_have_run_on)) < self.route.attempts

    def claim_answer(self, is_good: bool = True) -> bool:
        """Tells whether an exchange may forward its answer, as no other one has done so."""
        return self.race is None or self.race.claim(is_good)

    def note_head(self) -> bool:
        """Records that the head of a response came; returns whether it is the first of these."""
        return self.race is None or self.race.note_head()

    @property
    def has_other_exchange(self) -> bool:
        """Tells whether the request is open at another endpoint as well."""
        return self.race is not None and self.race.has_other

"""A request on its way, and what a try says about another one."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.routes import Route, ServiceSpec
from wigeonarch_core.teams import Team

from wigeonarch_gateway.events import EventSplitter
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.ports import RequestTerms, ResponseHead


class DispatchFailure(enum.Enum):
    """What a try says about another one."""

    NOT_SENT = "not_sent"  # There was no way to the endpoint.
    NOT_RUN = "not_run"  # The endpoint did not run it.
    LACKS_ADAPTER = "lacks_adapter"  # It did not run it for lack of the adapter.
    LOST = "lost"  # It may have run: no answer, or only a part.
    SILENT = "silent"  # It may have run: the endpoint did not answer in the time for one try.
    FAILED = "failed"  # It ran and failed, or the answer can't be passed on.


MAY_HAVE_RUN: Final = frozenset(
    {DispatchFailure.LOST, DispatchFailure.SILENT, DispatchFailure.FAILED}
)


@dataclass(slots=True)
class Job:
    """A request on its way.

    Attributes:
        req: What the caller sent.
        terms: What its headers ask for.
        answer: Where the answer goes.
        route: Its route.
        service: Service that serves it.
        content: Key of what it asks for, the same for each attempt of its caller.
        deadline: Time at which its answer is of no use or the route allows no more.
        spec: The service.
        sends: Sends so far.
        sent_at: Time of the last one, in seconds.
        ran: Endpoints at which it may have run, in order of the sends.
        refused: Sends that were refused.
        avoid: Endpoints that it should not be sent to again.
        splitter: Events passed on so far.
        stored: A failure of an endpoint that is passed on if nothing better comes.
        wished: Engine that was last asked for a load; empty if none was.
        wished_at: When that was, in seconds.
        waited: Seconds for which an endpoint was looked for.
        first_event: Time of the first event that was passed on, in seconds; 0 before.
        last_event: The same for the last one.
        pause: Longest pause between events so far, in seconds.
        keyed: Whether callers show keys.
        team: Team for which it is made; None for none.
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
    may_have_run_on: list[str] = field(default_factory=list)
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

    def record_events(self, now: float) -> None:
        """Notes that events were passed on."""
        if self.first_event_at:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        else:
            self.first_event_at = now
        self.last_event_at = now

    @property
    def request_id(self) -> str:
        """Returns the id for the log."""
        return self.terms.request_id

    @property
    def priority(self) -> int:
        """Returns its rank: its team's, or else its route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def may_repeat(self) -> bool:
        """Tells whether it may be sent again although it may have run."""
        repeatable = self.route.repeatable or self.route.resumable
        return repeatable and len(set(self.may_have_run_on)) < self.route.attempts

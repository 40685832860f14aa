"""A request on its way, and what a try says about another one."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.routes import Route, ServiceSpec
from wigeonarch_core.teams import Team

from wigeonarch_gateway.events import EventSplitter
from wigeonarch_gateway.exchange import Answer, Incoming
from wigeonarch_gateway.ports import AnswerHead, RequestTerms


class Again(enum.Enum):
    """What a try says about another one."""

    NOT_SENT = "not_sent"  # There was no way to the endpoint.
    NOT_RUN = "not_run"  # The endpoint did not run it.
    LACKS_ADAPTER = "lacks_adapter"  # It did not run it for lack of the adapter.
    LOST = "lost"  # It may have run: no answer, or only a part.
    SILENT = "silent"  # It may have run: the endpoint did not answer in the time for one try.
    FAILED = "failed"  # It ran and failed, or the answer can't be passed on.


MAY_HAVE_RUN: Final = frozenset({Again.LOST, Again.SILENT, Again.FAILED})


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

    req: Incoming
    terms: RequestTerms
    answer: Answer
    route: Route
    service: str
    content: str
    deadline: float
    spec: ServiceSpec | None
    sends: int = 0
    sent_at: float = 0.0
    ran: list[str] = field(default_factory=list)
    refused: int = 0
    avoid: set[str] = field(default_factory=set)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    stored: tuple[AnswerHead, bytes] | None = None
    wished: str = ""
    wished_at: float = 0.0
    waited: float = 0.0
    first_event: float = 0.0
    last_event: float = 0.0
    pause: float = 0.0
    keyed: bool = False
    team: Team | None = None

    def passed(self, now: float) -> None:
        """Notes that events were passed on."""
        if self.first_event:
            self.pause = max(self.pause, now - self.last_event)
        else:
            self.first_event = now
        self.last_event = now

    @property
    def key(self) -> str:
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
        return repeatable and len(set(self.ran)) < self.route.attempts

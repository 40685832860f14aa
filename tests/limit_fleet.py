"""Instances that keep the rate limit of one endpoint, simulated in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.messages import Message, PermitReply, PermitRequest, RateLimitUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord, EndpointState
from wigeonarch_gateway.roles import Roles

WINDOW = 4.0  # Seconds over which arrivals are counted.
MAX_EXCESS = 1.5  # A window may hold this many times the limit,
MAX_EXTRA = 5.0  # and this many more requests.
NOTICE_TIME = 3.0  # Seconds within which all instances must keep a limit; also after a restart.
STEP = 0.01  # Seconds of virtual time.
STEPS_PER_TICK = 25  # Steps between two calls of `expire`.
ENDPOINT = EndpointRecord("e1", "desk", "127.0.0.1:1", "a", 8, EndpointState.READY, ())


@dataclass
class Answer:
    """The head of an answer on its way to an instance."""

    due: float
    to: EndpointLimits
    sent_at: float


@dataclass
class Fleet:
    """Instances in virtual time; a message takes one step, or is lost with probability `lost`.

    Attributes:
        count: Number of instances at first, named i0, i1, and so on.
        draw: Source of all random decisions.
        lost: Probability with which a message is lost.
        answer_time: Seconds until an answer's head arrives; it is written just before.
        callers: Instances to which callers come; None for all.
        limiter: Returns the limiter of the endpoint, as the named instance sees it.
        states_limits: Whether requests for permits state the limit; older builds don't.
        cut: Instances that no message reaches or leaves.
        deaf: Instances that miss notices of limits.
        arrivals: Time and sender of each request that reached the endpoint.
        started: Time of each instance's last start.
    """

    count: int
    draw: random.Random
    lost: float = 0.0
    answer_time: float = 0.0
    callers: Collection[str] | None = None
    now: float = 1000.0
    limiter: Callable[[str], str] = lambda asking: "i0"
    states_limits: bool = True
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)
    limits: dict[str, EndpointLimits] = field(default_factory=dict)
    mail: list[tuple[str, Message]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    started: dict[str, float] = field(default_factory=dict)
    steps: int = 0

    def __post_init__(self) -> None:
        for number in range(self.count):
            self.start(f"i{number}")

    def start(self, name: str) -> None:
        """Starts or restarts an instance."""
        self.started[name] = self.now
        self.limits[name] = EndpointLimits(
            name,
            lambda endpoint: self.limiter(name),
            Roles.ranked_limiters,
            lambda to, message: self._send(name, to, message),
            lambda message: self._send_all(name, message),
            Metrics(),
        )

    def _send(self, sender: str, name: str, message: Message) -> bool:
        if isinstance(message, PermitRequest) and not self.states_limits:
            message = PermitRequest(message.sender, message.endpoint, message.number)
        if (
            name in self.limits
            and not {sender, name} & self.cut
            and self.draw.random() >= self.lost
        ):
            self.mail.append((name, message))
        return True

    def _send_all(self, sender: str, message: Message) -> None:
        for name in self.limits:
            if name != sender:
                self._send(sender, name, message)

    def step(self, rate: float | None, request_probability: float) -> None:
        """Delivers messages and answers; then each instance has a request with a probability."""
        self.now += STEP
        self.steps += 1
        mail, self.mail = self.mail, []
        for name, message in mail:
            if not (isinstance(message, RateLimitUpdate) and name in self.deaf):
                deliver(self.limits[name], message)
        self._deliver_answers(rate)
        for name, limits in list(self.limits.items()):
            if self.callers is not None and name not in self.callers:
                continue
            if (
                self.draw.random() < request_probability
                and limits.permit_wait("e1", self.now) == 0.0
            ):
                self._request(name, limits, rate)
        if self.steps % STEPS_PER_TICK == 0:
            for limits in self.limits.values():
                limits.expire(lambda endpoint: True)

    def run(self, seconds: float, rate: float | None, request_probability: float = 0.3) -> None:
        """Takes the steps of so many seconds."""
        for _ in range(round(seconds / STEP)):
            self.step(rate, request_probability)

    def _request(self, name: str, limits: EndpointLimits, rate: float | None) -> None:
        if not limits.take_permit("e1", self.now):
            return
        self.arrivals.append((self.now, name))
        if not self.answer_time:
            limits.record_limit(ENDPOINT, rate, self.now)
        else:
            self.answers.append(Answer(self.now + self.answer_time, limits, self.now))

    def _deliver_answers(self, rate: float | None) -> None:
        due = [answer for answer in self.answers if answer.due <= self.now]
        self.answers = [answer for answer in self.answers if answer.due > self.now]
        for answer in due:
            if answer.to in self.limits.values():
                answer.to.record_limit(ENDPOINT, rate, answer.sent_at)

    def most(self, since: float, excused: Collection[str] = ()) -> int:
        """Returns the largest number of arrivals in any window from a time on.

        Args:
            since: Time from which arrivals count.
            excused: Instances whose arrivals don't count until `NOTICE_TIME` after their start.
        """
        times = [
            at
            for at, sender in self.arrivals
            if at >= since and not (sender in excused and at < self.started[sender] + NOTICE_TIME)
        ]
        return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


def allowed(rate: float) -> float:
    """Returns the number of requests that an endpoint with a limit may get in a window."""
    return MAX_EXCESS * rate * WINDOW + MAX_EXTRA


def deliver(limits: EndpointLimits, message: Message) -> None:
    """Hands a message to its receiver."""
    match message:
        case RateLimitUpdate():
            limits.receive_limit(message)
        case PermitRequest():
            limits.receive_request(message)
        case PermitReply():
            limits.receive_reply(message)

"""Several instances keep to the limit that an endpoint names, over messages that may be lost."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from wigeonarch_gateway import limits as module
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.messages import Message, PermitReply, PermitRequest, RateLimitUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord, EndpointState

WINDOW = 4.0
OVER = 1.5
BESIDES = 5.0
STEP = 0.01  # Seconds.
ENDPOINT = EndpointRecord("e1", "desk", "127.0.0.1:1", "a", 8, EndpointState.READY, ())


@dataclass
class Fleet:
    """Instances in virtual time; a message takes one step, or is lost."""

    count: int
    draw: random.Random
    lost: float = 0.0
    now: float = 1000.0
    limiter: Callable[[str], str] = lambda me: "i0"
    cut: set[str] = field(default_factory=set)
    limits: dict[str, EndpointLimits] = field(default_factory=dict)
    mail: list[tuple[str, Message]] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        for number in range(self.count):
            self.start(f"i{number}")

    def start(self, name: str) -> None:
        """Starts an instance, or starts it anew."""
        self.limits[name] = EndpointLimits(
            name,
            lambda endpoint: self.limiter(name),
            lambda to, message: self._send(name, to, message),
            lambda message: self._send_all(name, message),
            Metrics(),
        )

    def _send(self, sender: str, name: str, message: Message) -> bool:
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

    def step(self, rate: float | None, eager: float) -> None:
        """Delivers messages; each instance then has a request with a chance of `eager`."""
        self.now += STEP
        mail, self.mail = self.mail, []
        for name, message in mail:
            _deliver(self.limits[name], message)
        for limits in self.limits.values():
            if self.draw.random() < eager and limits.permit_wait("e1", self.now) == 0.0:
                self._request(limits, rate)

    def _request(self, limits: EndpointLimits, rate: float | None) -> None:
        if limits.take_permit("e1", self.now):
            self.arrivals.append(self.now)
            limits.record_limit(ENDPOINT, rate, self.now)

    def most(self, since: float) -> int:
        """Returns the most arrivals in any window that begins after a time."""
        times = [at for at in self.arrivals if at >= since]
        return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


def _deliver(limits: EndpointLimits, message: Message) -> None:
    match message:
        case RateLimitUpdate():
            limits.receive_limit(message)
        case PermitRequest():
            limits.receive_request(message)
        case PermitReply():
            limits.receive_reply(message)


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> list[Fleet]:
    fleets: list[Fleet] = []
    monkeypatch.setattr(module, "monotonic", lambda: fleets[0].now)
    return fleets


def fleet(clock: list[Fleet], count: int, seed: int, lost: float = 0.0) -> Fleet:
    clock.append(Fleet(count, random.Random(seed), lost))
    return clock[0]


@pytest.mark.parametrize("count", [1, 7, 64])
@pytest.mark.parametrize("rate", [0.5, 1.2, 5.0])
@pytest.mark.parametrize("lost", [0.0, 0.2])
def test_all_together_keep_to_the_limit_and_use_it(
    count: int, rate: float, lost: float, clock: list[Fleet]
) -> None:
    found = fleet(clock, count, 3, lost)
    begun = found.now
    for _ in range(3000):
        found.step(rate, 0.3)
    assert found.most(begun + 3.0) <= OVER * rate * WINDOW + BESIDES
    used = len([at for at in found.arrivals if at >= begun + 3.0])
    assert used >= 0.5 * rate * 27.0


@pytest.mark.parametrize("seed", range(8))
def test_the_limit_holds_while_limiters_are_lost_and_come_back(
    seed: int, clock: list[Fleet]
) -> None:
    found = fleet(clock, 7, seed, 0.05)
    rate, begun = 2.0, found.now
    who = 0
    for step in range(4000):
        if step % 400 == 399:
            # The limiter starts anew and knows nothing; the others find the next one.
            found.start(f"i{who}")
            who = (who + 1) % 7
            found.limiter = lambda me, who=who: f"i{who}"  # type: ignore[misc]
        found.step(rate, 0.3)
    # An instance that starts anew is told by its first answer, and sends no more than that before.
    assert found.most(begun + 3.0) <= OVER * rate * WINDOW + BESIDES


def test_one_that_is_cut_off_from_the_limiter_sends_nothing_there(clock: list[Fleet]) -> None:
    found = fleet(clock, 3, 1)
    for _ in range(100):
        found.step(1.0, 1.0)
    found.cut = {"i2"}
    for _ in range(200):
        found.step(1.0, 0.0)
    assert found.limits["i2"].permit_wait("e1", found.now) > 0.0
    assert not found.limits["i2"].take_permit("e1", found.now)


def test_who_asks_the_wrong_instance_is_told_the_right_one(clock: list[Fleet]) -> None:
    found = fleet(clock, 3, 1)
    found.limiter = lambda me: "i1" if me == "i2" else "i0"
    for _ in range(100):
        found.step(5.0, 0.0)
        for limits in found.limits.values():
            limits.receive_limit(RateLimitUpdate("i9", "e1", 5.0))
    for _ in range(200):
        found.limits["i2"].permit_wait("e1", found.now)
        found.step(5.0, 0.0)
    assert found.limits["i2"].take_permit("e1", found.now)


def test_a_permit_is_void_after_its_time(clock: list[Fleet]) -> None:
    found = fleet(clock, 2, 1)
    for limits in found.limits.values():
        limits.receive_limit(RateLimitUpdate("i9", "e1", 5.0))
    for _ in range(40):
        found.limits["i0"].permit_wait("e1", found.now)
        found.step(5.0, 0.0)
    found.limits["i1"].permit_wait("e1", found.now)
    for _ in range(3):
        found.step(5.0, 0.0)
    assert found.limits["i1"].permit_wait("e1", found.now) == 0.0
    found.now += 1.0
    assert not found.limits["i1"].take_permit("e1", found.now)


@pytest.mark.parametrize(("sent", "over"), [(-1.0, False), (1.0, True)])
def test_only_an_answer_to_a_later_request_ends_the_limit(
    sent: float, over: bool, clock: list[Fleet]
) -> None:
    found = fleet(clock, 2, 1)
    limits = found.limits["i1"]
    limits.record_limit(ENDPOINT, 1.0, found.now)
    found.now += 2.0
    limits.record_limit(ENDPOINT, None, found.now - 2.0 + sent)
    assert (limits.permit_wait("e1", found.now) == 0.0) is over


def test_a_limit_that_is_over_is_over_for_all(clock: list[Fleet]) -> None:
    found = fleet(clock, 5, 2)
    for _ in range(300):
        found.step(3.0, 0.2)
    for _ in range(300):
        found.step(None, 0.2)
    assert all(limits.permit_wait("e1", found.now) == 0.0 for limits in found.limits.values())


def test_an_endpoint_that_starts_again_has_no_limit(clock: list[Fleet]) -> None:
    found = fleet(clock, 2, 1)
    found.limits["i1"].receive_limit(RateLimitUpdate("i0", "e1", 1.0))
    assert found.limits["i1"].permit_wait("e1", found.now) > 0.0
    found.limits["i1"].forget("e1")
    assert found.limits["i1"].permit_wait("e1", found.now) == 0.0


def test_one_that_was_told_nothing_by_the_endpoint_hears_of_the_limit(clock: list[Fleet]) -> None:
    found = fleet(clock, 3, 1)
    found.limits["i1"].record_limit(ENDPOINT, 1.0, found.now)
    found.step(1.0, 0.0)
    assert all(limits.permit_wait("e1", found.now) > 0.0 for limits in found.limits.values())

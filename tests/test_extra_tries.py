"""When and how many extra tries are sent: tables, and a small arithmetic world of one service."""

from __future__ import annotations

import heapq
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from wigeonarch_core.extra_tries import (
    LATEST_SAMPLES,
    MIN_SAMPLES,
    REFUSAL_PAUSE,
    AnswerTimes,
    Denial,
    ExtraTryLimit,
    Places,
    expected_time,
    judge_second,
    judge_service,
    plan,
)
from wigeonarch_core.service_choice import ServiceState, choose_endpoint
from wigeonarch_core.service_load import admitted_share

SLOTS, QUEUE = 6, 24
WORK = 0.075  # Mean seconds that a request takes.
OBJECTIVE = 0.3
LAG = 0.55  # Seconds between heartbeats.
INSTANCES, ENDPOINTS = 4, 4
SECONDS, WARM = 60.0, 5.0
WINDOW = 10.0
SLOW_NOTICED = 2.0  # Seconds after which all endpoints are known to be slow.
SPELL, SPELL_SHARE, SPELL_FACTOR = 0.6, 0.15, 2.5


@dataclass(eq=False)
class Request:
    """A request of a caller with its tries."""

    instance: int
    arrived: float
    work: tuple[float, float]  # Seconds at the first and second endpoint, if these are not slow.
    tries: list[Try] = field(default_factory=list)
    is_answered: bool = False


@dataclass(eq=False)
class Try:
    """A request at one endpoint."""

    request: Request
    endpoint: int
    sent: float
    is_running: bool = False
    is_over: bool = False


@dataclass
class World:
    """One service: `load` is the share of its capacity, `slowness` the factor of all endpoints."""

    load: float
    share: float
    seed: int = 1
    spells: tuple[int, ...] = (0, 1, 2, 3)  # Endpoints that are slow for spells.
    factor: float = SPELL_FACTOR
    slowness: Callable[[float], float] = lambda now: 1.0
    objective: float = OBJECTIVE
    took: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)  # First tries.
    extra_at: list[float] = field(default_factory=list)
    denied: dict[Denial, int] = field(default_factory=dict)
    refused: int = 0

    def run(self) -> World:
        self.rng, self.other_rng = random.Random(self.seed), random.Random(self.seed + 1)
        self.spell_rng = random.Random(self.seed + 2)
        self.now, self.number = 0.0, 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.waiting: list[deque[Try]] = [deque() for _ in range(ENDPOINTS)]
        self.running = [0] * ENDPOINTS
        self.slow = [False] * ENDPOINTS
        self.times = [AnswerTimes() for _ in range(INSTANCES)]
        self.limits = [ExtraTryLimit(self.share, WINDOW) for _ in range(INSTANCES)]
        self.refused_at = [float("-inf")] * INSTANCES
        for endpoint in self.spells:
            self.schedule(self.spell_rng.random() * 4.0, self.turn, endpoint)
        self.schedule(0.0, self.arrive)
        while self.events and self.events[0][0] <= SECONDS:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action, args))

    def turn(self, endpoint: int) -> None:
        """Begins or ends a slow spell."""
        self.slow[endpoint] = not self.slow[endpoint]
        normal = SPELL * (1.0 - SPELL_SHARE) / SPELL_SHARE
        after = SPELL if self.slow[endpoint] else self.spell_rng.expovariate(1.0 / normal)
        self.schedule(self.now + after, self.turn, endpoint)

    def places(self, endpoint: int, more: int = 0) -> Places:
        return Places(self.running[endpoint] + len(self.waiting[endpoint]) + more, SLOTS)

    def arrive(self) -> None:
        rate = self.load * ENDPOINTS * SLOTS / WORK
        self.schedule(self.now + self.rng.expovariate(rate), self.arrive)
        first_work, second_work = (WORK * self.rng.lognormvariate(-0.11, 0.47) for _ in range(2))
        request = Request(self.rng.randrange(INSTANCES), self.now, (first_work, second_work))
        endpoint = self.choose(range(ENDPOINTS), self.rng.random())
        running, draw = self.places(endpoint).running, self.rng.random()
        if draw >= admitted_share(running, SLOTS, WORK, self.objective):
            self.refused += 1
            return
        self.limits[request.instance].record_request("s", self.now)
        self.sent_at.append(self.now)
        summary = self.times[request.instance].summary(self.now)
        wait = plan(summary, self.share, self.objective)
        self.send(request, endpoint)
        if self.share and isinstance(wait, float):
            self.schedule(self.now + wait, self.try_again, request)

    def choose(self, endpoints: Any, draw: float) -> int:
        states = [ServiceState(str(e), True, SLOTS, self.places(e).running, 0.0) for e in endpoints]
        return int(choose_endpoint(states, LAG, WORK, draw) or 0)

    def try_again(self, request: Request) -> None:
        if request.is_answered or request.tries[0].is_over:
            return
        denial = self.deny(request)
        if denial is not None:
            self.denied[denial] = self.denied.get(denial, 0) + 1

    def deny(self, request: Request) -> Denial | None:
        times, limit = self.times[request.instance], self.limits[request.instance]
        summary = times.summary(self.now)
        if summary is None or summary.is_all_slow:
            return Denial.ALL_SLOW
        places = [self.places(endpoint) for endpoint in range(ENDPOINTS)]
        denial = judge_service(places, self.refused_at[request.instance], self.now)
        if denial is not None:
            return denial
        first = request.tries[0].endpoint
        second = self.choose([e for e in range(ENDPOINTS) if e != first], self.other_rng.random())
        recent = times.endpoint_time(str(second), self.now)
        expected = expected_time(summary.usual(), self.places(second, 1), recent)
        waited = self.now - request.arrived
        denial = judge_second(expected, waited, self.objective - waited)
        if denial is not None:
            return denial
        if not limit.try_spend("s", self.now):
            return Denial.LIMIT
        self.extra_at.append(self.now)
        self.send(request, second)
        return None

    def send(self, request: Request, endpoint: int) -> None:
        each = Try(request, endpoint, self.now)
        request.tries.append(each)
        if len(self.waiting[endpoint]) >= QUEUE:
            each.is_over = True
            self.refused_at[request.instance] = self.now
            self.refused += len(request.tries) == 1
            return
        self.waiting[endpoint].append(each)
        self.start(endpoint)

    def start(self, endpoint: int) -> None:
        while self.running[endpoint] < SLOTS and self.waiting[endpoint]:
            each = self.waiting[endpoint].popleft()
            each.is_running = True
            self.running[endpoint] += 1
            factor = self.slowness(self.now) * (self.factor if self.slow[endpoint] else 1.0)
            work = factor * each.request.work[each.request.tries.index(each)]
            self.schedule(self.now + work, self.finish, each)

    def finish(self, each: Try) -> None:
        if each.is_over:
            return
        request, times = each.request, self.times[each.request.instance]
        request.is_answered = True
        first = request.tries[0]
        if not first.is_over:
            times.record(str(first.endpoint), self.now - first.sent, self.objective, self.now)
        if each is not first:
            times.record_endpoint(str(each.endpoint), self.now - each.sent, self.now)
        if request.arrived >= WARM:
            self.took.append(self.now - request.arrived)
        for open_try in request.tries:
            self.end(open_try)

    def end(self, each: Try) -> None:
        if each.is_over:
            return
        each.is_over = True
        if each.is_running:
            self.running[each.endpoint] -= 1
        else:
            self.waiting[each.endpoint].remove(each)
        self.start(each.endpoint)

    def percentile(self, part: float) -> float:
        return sorted(self.took)[int(part * len(self.took))]

    def most_extra_share(self) -> float:
        """Returns the greatest share of extra tries in any window that ends with one."""
        worst = 0.0
        for count, end in enumerate(self.extra_at, 1):
            extra = count - bisect_right(self.extra_at, end - WINDOW)
            sent = bisect_right(self.sent_at, end) - bisect_right(self.sent_at, end - WINDOW)
            worst = max(worst, extra / sent)
        return worst


@pytest.mark.parametrize("share", [0.0, 0.01, 0.02, 0.05])
@pytest.mark.parametrize("load", [0.2, 0.4, 0.6, 0.8, 1.0, 1.2])
def test_extra_tries_stay_within_the_limit_in_each_window(load: float, share: float) -> None:
    found = World(load, share).run()
    assert found.most_extra_share() <= share
    if load <= 0.6 and share:
        assert found.extra_at
    if load > 1.0:
        assert not found.extra_at


@pytest.mark.parametrize(
    ("spells", "factor"), [((0, 1, 2, 3), SPELL_FACTOR), ((0,), 8.0)], ids=["noise", "stalls"]
)
@pytest.mark.parametrize("load", [0.2, 0.4, 0.6])
def test_the_slowest_answers_get_faster_with_the_share(
    load: float, spells: tuple[int, ...], factor: float
) -> None:
    without, some, more = (
        World(load, share, spells=spells, factor=factor).run().percentile(0.99)
        for share in (0.0, 0.02, 0.05)
    )
    assert more < some < without


@pytest.mark.parametrize(("load", "factor"), [(0.2, 2.5), (0.3, 2.5), (0.4, 2.0), (0.7, 2.0)])
def test_nothing_is_sent_twice_while_all_endpoints_are_slow(load: float, factor: float) -> None:
    slow_from = SECONDS / 2
    found = World(
        load, 0.05, spells=(), slowness=lambda now: factor if now > slow_from else 1.0
    ).run()
    assert found.most_extra_share() <= 0.05
    # Until an instance has seen some slow answers, it can't tell.
    assert not [at for at in found.extra_at if at > slow_from + SLOW_NOTICED]


# The limit of one instance.


@pytest.mark.parametrize(
    ("share", "requests", "allowed"),
    [(0.0, 1000, 0), (0.02, 0, 0), (0.02, 49, 0), (0.02, 50, 1), (0.05, 100, 5), (0.05, 119, 5)],
)
def test_limit_by_requests_of_this_instance(share: float, requests: int, allowed: int) -> None:
    limit = ExtraTryLimit(share, WINDOW)
    for _ in range(requests):
        limit.record_request("s", 9.0)
    assert sum(limit.try_spend("s", 9.5) for _ in range(requests + 1)) == allowed
    assert not limit.try_spend("other", 9.5)


def test_unused_tries_are_not_carried_over() -> None:
    limit = ExtraTryLimit(0.05, WINDOW)
    for number in range(1000):
        limit.record_request("s", number * 0.1)
    assert limit.remaining("s", 100.0) == pytest.approx(5.0, abs=0.1)
    assert limit.remaining("s", 100.0 + WINDOW) == 0.0


def test_a_falling_rate_lowers_the_limit_before_the_window_has_passed() -> None:
    limit = ExtraTryLimit(0.05, WINDOW)
    for number in range(100):
        limit.record_request("s", number * 0.04)
    assert limit.remaining("s", 4.0) == pytest.approx(5.0)
    assert limit.remaining("s", 9.1) == 0.0


@pytest.mark.parametrize("instances", [1, 7, 64])
def test_the_parts_of_all_instances_keep_the_limit_also_after_restarts(instances: int) -> None:
    rng = random.Random(instances)
    limits = [ExtraTryLimit(0.02, WINDOW) for _ in range(instances)]
    tries = 0
    for number in range(1, 2001):
        at = number * WINDOW / 2001
        limit = limits[rng.randrange(instances)]
        limit.record_request("s", at)
        tries += limit.try_spend("s", at)
        if number % 500 == 0:
            limits[rng.randrange(instances)] = ExtraTryLimit(0.02, WINDOW)
        assert tries <= 0.02 * number


def test_a_limit_that_is_turned_on_again_starts_without_credit() -> None:
    limit = ExtraTryLimit(0.05, WINDOW)
    for _ in range(100):
        limit.record_request("s", 1.0)
    limit.set_bounds(0.0, WINDOW)
    limit.set_bounds(0.05, WINDOW)
    assert not limit.try_spend("s", 1.0)


# The moment.


def answers(*took: float, objective: float = OBJECTIVE) -> AnswerTimes:
    """Returns answer times after some answers within one second."""
    times = AnswerTimes()
    for seconds in took:
        times.record("e", seconds, objective, 1.0)
    return times


STEADY = tuple(0.05 + 0.001 * (number * 37 % 100) for number in range(100))  # 0.050 to 0.149


@pytest.mark.parametrize(
    ("took", "share", "left", "expected"),
    [
        (STEADY, 0.05, 0.3, 0.145),
        (STEADY, 0.02, 0.3, 0.148),
        (STEADY, 0.2, 0.3, 0.145),
        (STEADY, 0.05, 0.24, Denial.TOO_LATE),
        (STEADY[: MIN_SAMPLES - 1], 0.05, 0.3, Denial.UNKNOWN),
        ((*STEADY, *[0.2] * LATEST_SAMPLES), 0.05, 0.5, Denial.ALL_SLOW),
        ((*STEADY, *[0.4] * 5), 0.05, 0.3, 0.145),  # Late answers don't count for the moment.
        ((0.4,) * 50, 0.05, 0.3, Denial.ALL_SLOW),
    ],
)
def test_moment_of_a_try(
    took: tuple[float, ...], share: float, left: float, expected: float | Denial
) -> None:
    found = plan(answers(*took).summary(1.0), share, left)
    if isinstance(expected, Denial):
        assert found is expected
    else:
        assert found == pytest.approx(expected)


def test_answers_are_forgotten() -> None:
    times = answers(*STEADY)
    assert times.summary(2.0) is not None
    assert times.summary(40.0) is None
    assert times.endpoint_time("e", 1.5) > 0.0
    assert times.endpoint_time("e", 3.0) == 0.0


@pytest.mark.parametrize(
    ("usual", "running", "recent", "expected"),
    [(0.1, 0, 0.0, 0.1), (0.1, 6, 0.0, 0.1), (0.1, 12, 0.0, 0.2), (0.1, 1, 0.25, 0.25)],
)
def test_expected_time(usual: float, running: int, recent: float, expected: float) -> None:
    assert expected_time(usual, Places(running, SLOTS), recent) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("running", "refused_at", "expected"),
    [
        ((0, 0), -9.0, None),
        ((5, 5), -9.0, None),
        ((6, 5), -9.0, Denial.FULL),
        ((24, 0), -9.0, None),  # A queue at one endpoint does not take the others' places.
        ((0, 0), 10.0 - REFUSAL_PAUSE / 2, Denial.REFUSED),
        ((0, 0), 10.0 - REFUSAL_PAUSE, None),
    ],
)
def test_service_at_its_limit(
    running: tuple[int, ...], refused_at: float, expected: Denial | None
) -> None:
    places = [Places(each, SLOTS) for each in running]
    assert judge_service(places, refused_at, 10.0) is expected


@pytest.mark.parametrize(
    ("expected_time", "waited", "left", "denial"),
    [
        (0.05, 0.1, 0.2, None),
        (0.1, 0.1, 0.2, Denial.ALL_SLOW),
        (0.15, 0.1, 0.2, Denial.ALL_SLOW),
        (0.05, 0.26, 0.04, Denial.TOO_LATE),
    ],
)
def test_second_endpoint(
    expected_time: float, waited: float, left: float, denial: Denial | None
) -> None:
    assert judge_second(expected_time, waited, left) is denial

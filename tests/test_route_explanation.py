"""The explanation of where a request would go: it equals the decision and has no effects."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from loguru import logger
from route_states import (
    ADAPTERS,
    FREE_KEY,
    KEY,
    NOW,
    PARTS,
    Instance,
    held,
    record_sends,
    set_random_state,
    standing_clock,
)
from wigeonarch_core.engine_choice import choose_engine, estimate_engines
from wigeonarch_core.quota_ledger import QuotaBounds, QuotaLedger, QuotaShare
from wigeonarch_core.teams import Quota, Unit
from wigeonarch_gateway.admission import QUOTA_WAIT_SHARE, Admitted, Deferred
from wigeonarch_gateway.exchange import CallerRequest
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.messages import Message, PermitReply, PermitRequest, RateLimitUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.refusal_reasons import NoEndpointReason
from wigeonarch_gateway.roles import Roles
from wigeonarch_gateway.route_answer import (
    MAX_HEADERS,
    MAX_QUERY_BYTES,
    Action,
    Choice,
    Problem,
    RouteAnswer,
    RouteQuery,
)
from wigeonarch_gateway.route_question import _NoCaller
from wigeonarch_gateway.serving import make_job
from wigeonarch_platform.dialect import DIALECT

HOST = "shop.example"
STATES = 400

Make = Callable[[], Instance]


@pytest.fixture
async def instance(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Make]:
    """Returns a function that makes an instance; the test first stops the clock."""
    made: list[Instance] = []

    def make() -> Instance:
        made.append(Instance(record_sends(monkeypatch)))
        return made[-1]

    yield make
    for each in made:
        await each.node._store.close()


def random_query(rng: random.Random) -> RouteQuery:
    name = rng.choice(("ask", "book", "both", "write", "write", "draft"))
    headers = [("X-Request-Id", "r1"), ("X-Token-Counts", f"{rng.randrange(9000)},20")]
    if name in ("write", "draft"):
        adapter = rng.choice(("", *(f"/{each}" for each in ADAPTERS)))
        headers.append(("X-Model", f"m{adapter}"))
        if rng.random() < 0.5:
            headers.append(("X-Prefix-Hash", f"{rng.choice(PARTS)}:9,last:3"))
    return RouteQuery(
        HOST, f"/{name}/x", "POST", tuple(headers), key=FREE_KEY, seed=rng.randrange(1000)
    )


def job_of(instance: Instance, query: RouteQuery, draw: float) -> Job:
    """Returns the request that a question is about, as it is served."""
    table = instance.node._catalogue.table
    assert table is not None
    route = table.find(query.host, query.path)
    assert route is not None
    headers = {name.lower(): value for name, value in query.headers}
    request = CallerRequest(query.method, query.path, query.host, [], headers, b"", NOW)
    assert table.teams is not None
    team = table.teams.get("free")
    return make_job(request, DIALECT.read_terms(headers), _NoCaller(), route, table, team, draw)


async def next_decision(instance: Instance, query: RouteQuery) -> tuple[str, str]:
    """Serves the request of a question as far as its first wait; returns what was done, where."""
    draw = random.Random(query.seed).random
    job = job_of(instance, query, draw())
    instance.selector._plain._draw = instance.selector._engines._draw = draw
    asked = []

    def request_load(endpoint: str, *_: Any, **__: Any) -> None:
        asked.append(endpoint)

    requests: Any = SimpleNamespace(request_load=request_load)
    instance.selector._engines._load_requests = requests
    task = asyncio.create_task(instance.selector.select(job))
    await asyncio.sleep(0)
    if task.done():
        found = task.result()
        if found is NoEndpointReason.OUT_OF_REACH:
            return Action.HAND_OVER, "edge-9"
        return (
            ("refused", found.value)
            if not isinstance(found, EndpointRecord)
            else (Action.SEND, found.endpoint)
        )
    task.cancel()
    return (Action.LOAD, asked[0]) if asked else ("waits", "")


def explained(answer: RouteAnswer) -> tuple[str, str]:
    if answer.choice is None:
        assert answer.refusal is not None
        return "refused", answer.refusal.reason
    if answer.choice.action in (Action.WAIT, Action.HOLD_BACK):
        return "waits", ""
    return answer.choice.action, answer.choice.endpoint


@pytest.mark.parametrize("seed", range(STATES))
async def test_explanation_equals_the_next_decision_and_changes_nothing(
    instance: Make, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    with standing_clock(monkeypatch):
        found = instance()
        rng = random.Random(seed)
        set_random_state(found, rng)
        query = random_query(rng)
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(str(line)), format="{message} {extra}")
        before, draws = held(found.node), random.getstate()
        metrics = found.node._metrics.text()
        found.sent.clear()
        try:
            answer = found.explainer.explain(query)
        finally:
            logger.remove(sink)
        assert held(found.node) == before
        assert random.getstate() == draws
        assert found.node._metrics.text() == metrics
        assert found.sent == []
        assert lines == []
        assert FREE_KEY not in msgspec.json.encode(answer).decode()
        assert explained(answer) == await next_decision(found, query)


async def test_random_states_lead_to_each_kind_of_decision(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: Counter[str] = Counter()
    with standing_clock(monkeypatch):
        for seed in range(STATES):
            found, rng = instance(), random.Random(seed)
            set_random_state(found, rng)
            answer = found.explainer.explain(random_query(rng))
            seen[answer.choice.action if answer.choice else explained(answer)[1]] += 1
    reasons = {"endpoints_limited", "part_held", "service_overloaded"}
    assert {*Action, *reasons} <= set(seen), seen


async def test_explaining_would_be_seen_to_have_effects(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the comparison above: the decision itself does change what components hold."""
    with standing_clock(monkeypatch):
        changed = sent = 0
        for seed in range(40):
            found = instance()
            rng = random.Random(seed)
            set_random_state(found, rng)
            query = random_query(rng)
            before = held(found.node)
            found.sent.clear()
            job = job_of(found, query, 0.5)
            found.selector.decide(job, NOW, 0.0)
            changed += held(found.node) != before
            sent += bool(found.sent)
        assert changed > 0
    assert sent > 0


@pytest.mark.parametrize(
    ("spent", "expected"),
    [
        ((), "admitted"),
        ((3000.0,), "admitted"),
        ((4200.0,), "waits"),
        ((4200.0, 2000.0), "deferred"),
        ((4200.0, 2000.0, 380.0), "deferred"),  # By an earlier refusal that still applies.
    ],
)
async def test_admission_is_explained_as_it_is_decided(
    instance: Make, monkeypatch: pytest.MonkeyPatch, spent: tuple[float, ...], expected: str
) -> None:
    with standing_clock(monkeypatch) as clock:
        found = instance()
        found.configure()
        # The ledger counts as running when it was updated all along.
        for step in range(100):
            clock.now = NOW + step * 0.2
            found.node._quotas.refresh()
        admission = found.explainer._admission
        table = found.node._catalogue.table
        assert table is not None
        assert table.teams is not None
        route, team = table.find(HOST, "/ask/x"), table.teams.get("deli")
        assert route is not None
        assert team is not None
        assert team.quota is not None
        query = RouteQuery(HOST, "/ask/x", headers=(("X-Token-Counts", "300,100"),), key=KEY)
        for cost in spent:
            await found.node._quotas.acquire(team, team.quota, cost)
        before = held(found.node)
        answer = found.explainer.explain(query)
        assert held(found.node) == before
        headers = [(b"authorization", b"Bearer " + KEY.encode())]
        request = CallerRequest("GET", "/ask/x", HOST, headers, {}, b"", clock.now)
        terms = DIALECT.read_terms({"x-token-counts": "300,100"})
        decision = await admission.admit(request, terms, route, table)
        assert answer.admission is not None
        assert answer.admission.decision == expected
        assert expected in (type(decision).__name__.lower(), "waits")
        assert answer.admission.cost == 400.0
        assert answer.admission.coordinator == "edge-0"
        if expected == "waits":
            assert 0.0 < answer.admission.wait < QUOTA_WAIT_SHARE * route.objective
        elif isinstance(decision, Deferred):
            assert answer.refusal is not None
            assert (answer.refusal.status, answer.refusal.reason) == (429, "over_quota")
            assert answer.refusal.retry_after == pytest.approx(decision.retry_after)
            assert answer.admission.left == pytest.approx(decision.log_fields["left"])
        else:
            assert isinstance(decision, Admitted)
            assert answer.refusal is None


async def test_quota_kept_by_another_instance_is_not_asked_for(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    with standing_clock(monkeypatch):
        found = instance()
        found.configure()
        zone: Any = SimpleNamespace(quota_coordinators=lambda team: ["edge-7"])
        found.node._quotas._zone = zone
        answer = found.explainer.explain(RouteQuery(HOST, "/ask/x", team="deli"))
        assert answer.admission is not None
        assert (answer.admission.decision, answer.admission.left) == ("unknown", None)
        assert answer.admission.coordinator == "edge-7"
        assert found.sent == []


@pytest.mark.parametrize(
    ("query", "problem", "status"),
    [
        (RouteQuery("elsewhere", "/ask/x"), Problem.UNKNOWN_HOST, 404),
        (RouteQuery(HOST, "/nothing"), Problem.UNKNOWN_ROUTE, 404),
        (RouteQuery(route="nothing"), Problem.UNKNOWN_ROUTE, 404),
        (RouteQuery(HOST, "/ask/x", service="llm", key=KEY), Problem.UNKNOWN_SERVICE, None),
        (RouteQuery(HOST, "/ask/x", team="nobody"), Problem.UNKNOWN_TEAM, None),
        (
            RouteQuery(HOST, "/write/x", headers=(("X-Model", "n/a1"),), key=KEY),
            Problem.UNKNOWN_MODEL,
            None,
        ),
        (RouteQuery(route="write", adapter="a99", key=KEY), Problem.UNKNOWN_ADAPTER, None),
        (RouteQuery(HOST, "/ask/x", key="no-such-key"), None, 401),
        (RouteQuery(HOST, "/ask/x"), None, 401),
        (RouteQuery(HOST, "/ask/x", key=KEY), None, None),
    ],
)
async def test_what_is_unknown_is_told(
    instance: Make,
    monkeypatch: pytest.MonkeyPatch,
    query: RouteQuery,
    problem: Problem | None,
    status: int | None,
) -> None:
    with standing_clock(monkeypatch):
        found = instance()
        found.configure()
        # The configuration counts as confirmed just now.
        monkeypatch.setattr(type(found.node._freshness), "is_behind", lambda _: False)
        answer = found.explainer.explain(query)
        assert answer.problems == (() if problem is None else (problem,))
        assert (answer.refusal.status if answer.refusal else None) == status


async def test_route_that_may_be_in_a_newer_configuration_is_unsure(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    with standing_clock(monkeypatch):
        found = instance()
        found.configure()
        answer = found.explainer.explain(RouteQuery(HOST, "/nothing"))
        assert answer.refusal is not None
        assert (answer.refusal.status, answer.refusal.reason) == (503, "route_unsure")
        assert answer.known.may_be_behind


async def test_instance_without_configuration_says_so(instance: Make) -> None:
    found = instance()
    answer = found.explainer.explain(RouteQuery(HOST, "/ask/x"))
    assert answer.refusal is not None
    assert answer.refusal.reason == "no_configuration"


async def test_adapter_from_a_log_gets_its_model(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    with standing_clock(monkeypatch):
        found = instance()
        set_random_state(found, random.Random(3))
        answer = found.explainer.explain(RouteQuery(route="write", adapter="a1", key=KEY))
        assert answer.generation is not None
        assert (answer.generation.model, answer.generation.adapter) == ("m", "a1")


@pytest.mark.parametrize(
    "question",
    [
        b"",
        b"[]",
        b'{"host": 3}',
        json.dumps({"host": HOST, "key": [KEY]}).encode(),
        json.dumps({"host": HOST, KEY: 1}).encode(),
        json.dumps({"host": HOST, "headers": [[f"Bearer {KEY}"]]}).encode(),
        json.dumps({"headers": [["a", KEY]] * (MAX_HEADERS + 1)}).encode(),
        b'{"key": "' + KEY.encode(),
        b"\xff" + KEY.encode(),
    ],
)
async def test_question_that_is_refused_is_not_repeated(instance: Make, question: bytes) -> None:
    found = instance()
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message} {extra}")
    status, body = found.explainer.answer(question)
    logger.remove(sink)
    assert status == 400
    assert set(json.loads(body)) == {"error"}
    assert KEY not in body.decode()
    assert lines == []
    assert len(question) <= MAX_QUERY_BYTES


def test_text_of_a_question_has_no_key() -> None:
    query = RouteQuery(HOST, headers=(("Authorization", f"Bearer {KEY}"),), key=KEY)
    assert KEY not in repr(query)
    assert KEY not in str(query)


async def test_expected_waits_are_those_that_are_compared(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    with standing_clock(monkeypatch):
        compared = 0
        for seed in range(60):
            found = instance()
            rng = random.Random(seed)
            set_random_state(found, rng)
            job = job_of(found, RouteQuery(HOST, "/write/x", headers=(("X-Model", "m/a1"),)), 0.5)
            states = found.selector.engine_states(job, found.node._endpoints.ready("llm"), NOW)
            choice = choose_engine(states, 700)
            estimates = estimate_engines(states, 700)
            if choice is not None:
                compared += 1
                assert estimates[choice.endpoint] == choice
                assert choice.expected == min(each.expected for each in estimates.values())
        assert compared > 20


async def test_refused_by_the_choice_it_goes_to_the_runner_up(
    instance: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The runner-up is where the request goes once the choice has refused it."""
    with standing_clock(monkeypatch):
        compared = 0
        for seed in range(STATES):
            found = instance()
            rng = random.Random(seed)
            set_random_state(found, rng)
            query = random_query(rng)
            answer = found.explainer.explain(query)
            first, other = answer.choice, answer.runner_up
            if isinstance(first, Choice) and other is not None and other.action is Action.SEND:
                job = job_of(found, query, random.Random(query.seed).random())
                job.avoided_endpoints, job.dispatch_count = {first.endpoint}, 1
                names = {record.endpoint for record in found.selector.usable(job, NOW)}
                assert other.endpoint in names
                assert other.endpoint != first.endpoint
                compared += 1
        assert compared > 20


@pytest.mark.parametrize("limiter", ["edge-0", "edge-5"])
@pytest.mark.parametrize("seed", range(10))
def test_expected_wait_for_a_permit_is_that_of_the_next_request(
    monkeypatch: pytest.MonkeyPatch, limiter: str, seed: int
) -> None:
    rng = random.Random(seed)
    requests: list[Message] = []
    waits = set()

    def send(_: str, message: Message) -> bool:
        requests.append(message)
        return True

    with standing_clock(monkeypatch) as clock:
        limits = EndpointLimits(
            "edge-0", lambda _: limiter, Roles.ranked_limiters, send, requests.append, Metrics()
        )
        limits.receive_limit(RateLimitUpdate("edge-5", "e", 3.0))
        for _ in range(200):
            clock.now += rng.choice((0.0, 0.01, 0.05, 0.3, 1.0))
            limits.receive_limit(RateLimitUpdate("edge-5", "e", 3.0))
            before = held(limits)
            expected = limits.expected_permit_wait("e", clock.now)
            assert held(limits) == before
            assert limits.permit_wait("e", clock.now) == expected
            waits.add(expected > 0.0)
            if rng.random() < 0.3:
                limits.take_permit("e", clock.now)
            last = requests[-1] if requests else None
            if isinstance(last, PermitRequest) and rng.random() < 0.4:
                granted = rng.random() < 0.5
                limits.receive_reply(PermitReply("edge-5", "e", last.number, granted, 80, "edge-5"))
    assert waits == {True, False}


@pytest.mark.parametrize("seed", range(20))
def test_preview_of_a_quota_is_what_is_granted_next(seed: int) -> None:
    rng = random.Random(seed)
    now, quota, share = NOW, Quota(Unit.TOKENS, 100.0, 100.0), QuotaShare(0.5, True)
    ledger = QuotaLedger(QuotaBounds(), now)
    verdicts = set()
    for number in range(300):
        now += rng.choice((0.0, 0.1, 0.2, 0.2, 0.2, 1.5))
        if rng.random() < 0.5:
            ledger.update({"deli": (quota, share)}, now)
        if rng.random() < 0.05:
            share = QuotaShare(rng.choice((0.2, 0.5, 1.0)), rng.random() < 0.8)
        cost = rng.choice((1.0, 20.0, 200.0))
        before = held(ledger)
        preview = ledger.preview("deli", quota, share, cost, now)
        assert held(ledger) == before
        found = ledger.acquire("deli", quota, share, cost, now)
        assert found == preview
        verdicts.add(found.granted)
        if found.granted and rng.random() < 0.3:
            ledger.record_grant("edge-1", number, "deli", cost, now)
            ledger.refund("edge-1", number)
    assert verdicts == {True, False}

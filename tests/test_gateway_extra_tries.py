"""Extra tries through a gateway: who answers, what is ended, and that all is counted once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from gateway_world import HOST, STEP, World, until_true, world
from msgspec.structs import replace
from standins.replica import Replica, ReplicaFault
from wigeonarch_core.extra_tries import AnswerTimes, Denial
from wigeonarch_gateway.extra_tries import ExtraTries
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.options import ExtraTryOptions
from wigeonarch_runtime.clock import monotonic

USUAL = 0.02  # Seconds of an answer that the gateway is told of; a try is due some later.
SHORT, MIDDLE, LONG = 0.15, 0.4, 2.0  # Delays of replicas, in seconds, all longer than that.
SHARE = 0.2


@dataclass
class Pair:
    """A deployment with two plain endpoints; requests go to `first` first."""

    deployment: World
    first: Replica
    second: Replica
    responses_before: float = 0.0

    @property
    def node(self) -> Node:
        return self.deployment.nodes[0]

    @property
    def extra_tries(self) -> ExtraTries:
        return self.node._extra_tries

    def count(self, name: str, label: str) -> float:
        """Returns a counter of extra tries."""
        sample = self.node._metrics.registry.get_sample_value
        labels = {"reason" if name.endswith("denied") else "outcome": label}
        return sample(f"wigeonarch_gateway_{name}_total", labels) or 0.0

    def count_responses(self, outcome: str = "answered") -> float:
        """Returns how many requests had an outcome since `make_first`."""
        sample = self.node._metrics.registry.get_sample_value
        labels = {"route": "ask", "outcome": outcome}
        found = sample("wigeonarch_gateway_requests_total", labels) or 0.0
        return found - (self.responses_before if outcome == "answered" else 0.0)

    def running(self) -> int:
        """Returns the exchanges that the gateway believes to be open."""
        return sum(load.running for load in self.node._traffic.own_load_report())

    def assert_counted(self, sent: int, won: int = 0, ended: int = 0, failed: int = 0) -> None:
        found = [self.count("extra_tries", name) for name in ("sent", "won", "ended", "failed")]
        assert found == [sent, won, ended, failed]
        assert self.running() == 0


@asynccontextmanager
async def pair(share: float = SHARE, knows: bool = True) -> AsyncIterator[Pair]:
    """Starts a deployment that has answered many requests quickly."""
    async with world(extra_tries=ExtraTryOptions(share)) as deployment:
        second = await deployment.add_replica(Replica("desk", name="i-desk2"))
        await deployment.wait_until_served("/ask/x")
        found = Pair(deployment, deployment.replicas[1], second)
        ready = found.node._endpoints.ready
        await until_true(lambda: len(ready("desk")) == 2)
        await make_first(found)
        if knows:
            teach(found)
        yield found


async def make_first(found: Pair) -> None:
    """Finds out to which endpoint a single request goes, and clears what was recorded."""
    found.first.executed.clear()
    found.second.executed.clear()
    await found.deployment.send_request("/ask/x")
    if found.second.executed:
        found.first, found.second = found.second, found.first
    found.first.executed.clear()
    found.second.received.clear()
    found.responses_before = found.count_responses()


def teach(found: Pair) -> None:
    """Tells the gateway of many quick answers."""
    now = monotonic()
    times = found.extra_tries._times[("desk", "ask")] = AnswerTimes()
    for _ in range(100):
        times.record(found.first.name, USUAL, 0.8, now)
        found.extra_tries._limit.record_request("desk", now)


# What both endpoints do (delay in seconds, fault), who answers (or the gateway's own status), and
# how the extra try ended.
OK = ReplicaFault.NONE
RACES: list[tuple[tuple[float, ReplicaFault], tuple[float, ReplicaFault], str | int, str]] = [
    ((LONG, OK), (0.0, OK), "second", "won"),
    ((SHORT, OK), (LONG, OK), "first", "ended"),
    ((LONG, ReplicaFault.SILENT), (SHORT, OK), "second", "won"),
    ((SHORT, ReplicaFault.RESET), (MIDDLE, OK), "second", "won"),
    ((SHORT, ReplicaFault.CUT), (MIDDLE, OK), "second", "won"),
    ((SHORT, ReplicaFault.GARBAGE), (MIDDLE, OK), "second", "won"),
    ((SHORT, ReplicaFault.ERROR), (MIDDLE, OK), "second", "won"),
    ((MIDDLE, OK), (SHORT, ReplicaFault.RESET), "first", "failed"),
    ((MIDDLE, OK), (SHORT, ReplicaFault.CUT), "first", "failed"),
    ((MIDDLE, OK), (SHORT, ReplicaFault.ERROR), "first", "failed"),
    ((MIDDLE, OK), (0.0, ReplicaFault.SHED), "first", "failed"),
    ((SHORT, ReplicaFault.RESET), (MIDDLE, ReplicaFault.RESET), 502, "failed"),
    ((SHORT, ReplicaFault.ERROR), (MIDDLE, ReplicaFault.RESET), 500, "failed"),
    ((MIDDLE, ReplicaFault.ERROR), (SHORT, ReplicaFault.ERROR), 500, "failed"),
]


@pytest.mark.parametrize(("first", "second", "expected", "outcome"), RACES)
async def test_one_answer_for_two_exchanges(
    first: tuple[float, ReplicaFault],
    second: tuple[float, ReplicaFault],
    expected: str | int,
    outcome: str,
) -> None:
    async with pair() as found:
        found.first.answer_delay, found.first.fault = first
        found.second.answer_delay, found.second.fault = second
        answer = await found.deployment.send_request("/ask/x", b"body")
        if isinstance(expected, int):
            assert answer.status == expected
        else:
            winner = found.first if expected == "first" else found.second
            assert (answer.status, answer.complete) == (200, True)
            assert answer.body == b"answer of " + winner.name.encode() + b" to body"
        await until_true(lambda: not found.running())
        assert len(found.first.executed) == 1
        assert len(found.second.received) == 1
        assert len(found.second.executed) == (second[1] is not ReplicaFault.SHED)
        found.assert_counted(1, **{outcome: 1})
        if outcome == "ended":
            await until_true(lambda: found.second.cancelled == 1)
        if outcome == "won" and first == (LONG, OK):
            await until_true(lambda: found.first.cancelled == 1)
        assert found.count_responses("failed" if expected == 502 else "answered") == 1


async def test_the_retry_budget_and_the_limit_each_pay_for_a_try() -> None:
    async with pair() as found:
        found.first.answer_delay = LONG
        now = monotonic()
        limit, retries = found.extra_tries._limit, found.node._retries
        before = limit.remaining("desk", now), retries.remaining("desk", now)
        assert (await found.deployment.send_request("/ask/x")).status == 200
        after = limit.remaining("desk", monotonic()), retries.remaining("desk", monotonic())
        assert after[0] == pytest.approx(before[0] + SHARE - 1.0)
        assert after[1] == pytest.approx(before[1] + 0.1 - 1.0)


async def test_retries_keep_as_much_of_their_budget_as_extra_tries_use() -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        retries, limit, now = found.node._retries, found.extra_tries._limit, monotonic()
        for _ in range(3):
            assert limit.try_spend("desk", now)
        while retries.remaining("desk", now) >= 3.5:
            assert retries.try_spend("desk", now)
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert found.count("extra_tries_denied", Denial.RETRY_BUDGET.value) == 1
        assert not found.second.executed


async def test_an_answer_that_begins_to_be_forwarded_wins_and_is_never_joined() -> None:
    async with pair() as found:
        # Its stream ends inside an event, so that the caller's connection is cut.
        found.first.extra_headers = {"Content-Type": "text/event-stream"}
        found.first.answer_delay, found.second.answer_delay = SHORT, LONG
        answer = await found.deployment.send_request("/ask/x")
        assert (answer.status, answer.complete, answer.body) == (200, False, b"")
        await until_true(lambda: found.second.cancelled == 1)
        found.assert_counted(1, ended=1)


async def test_an_ended_exchange_is_neither_failure_nor_silence() -> None:
    async with pair() as found:
        found.first.answer_delay = LONG
        assert (await found.deployment.send_request("/ask/x")).status == 200
        health = found.node._endpoint_health
        assert not health.is_paused(found.first.name, monotonic())
        assert health.failure_share(found.first.name) == 0.0


async def test_an_unreachable_second_endpoint_leaves_the_first_one_alone() -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        found.node._pools.forget(found.second.name)
        assert found.second._server is not None
        found.second._server.close()
        answer = await found.deployment.send_request("/ask/x")
        assert (answer.status, answer.body[:16]) == (
            200,
            f"answer of {found.first.name}".encode()[:16],
        )
        assert not found.second.executed
        found.assert_counted(0)


async def test_the_deadline_ends_both_exchanges() -> None:
    async with pair() as found:
        found.first.answer_delay = found.second.answer_delay = LONG
        answer = await found.deployment.send_request("/ask/x", X_Deadline_Ms="400")
        assert answer.status == 504
        await until_true(lambda: found.first.cancelled == found.second.cancelled == 1)
        found.assert_counted(1, ended=1)


async def test_a_caller_that_leaves_ends_both_exchanges() -> None:
    async with pair() as found:
        found.first.answer_delay = found.second.answer_delay = LONG
        host, _, port = found.deployment.options[0].front.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET /ask/x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        await until_true(lambda: found.first.executed and found.second.executed)
        writer.close()
        await until_true(lambda: found.first.cancelled == found.second.cancelled == 1)
        await until_true(lambda: not found.running())
        found.assert_counted(1, ended=1)


async def test_a_drain_lets_two_exchanges_finish_and_begins_no_second_one() -> None:
    async with pair() as found:
        found.first.answer_delay, found.second.answer_delay = LONG, MIDDLE
        waiting = asyncio.create_task(found.deployment.send_request("/ask/x", b"1"))
        await until_true(lambda: found.second.executed)
        found.node.stop()
        late = asyncio.create_task(found.deployment.send_request("/ask/x", b"2"))
        answers = await asyncio.gather(waiting, late)
        assert [answer.status for answer in answers] == [200, 200]
        assert found.count("extra_tries", "sent") == 1
        assert found.count("extra_tries_denied", Denial.DRAINING.value) == 1


async def test_simultaneous_answers_reach_the_caller_once() -> None:
    async with pair() as found:
        # Answers of both come close together, in either order, again and again.
        for delay in (0.05, 0.052, 0.054, 0.056, 0.058, 0.06, 0.07, 0.08):
            teach(found)
            found.first.answer_delay, found.second.answer_delay = 0.1, delay
            answer = await found.deployment.send_request("/ask/x", b"body")
            assert (answer.status, answer.complete) == (200, True)
            names = [replica.name.encode() for replica in (found.first, found.second)]
            assert answer.body in [b"answer of " + name + b" to body" for name in names]
        await until_true(lambda: not found.running())


async def test_no_try_for_what_may_run_only_once() -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        assert (await found.deployment.send_request("/book/x")).status == 200
        assert len(found.first.executed) + len(found.second.executed) == 1
        found.assert_counted(0)


@pytest.mark.parametrize("state", ["draining", "gone", "cooldown", "no_permit", "restarted"])
async def test_no_try_at_an_endpoint_that_may_not_take_it(state: str) -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        second, store = found.second, found.deployment.store
        ready = found.node._endpoints.ready
        if state == "cooldown":
            found.node._cooldowns.start(second.name, 5.0, monotonic())
        if state == "no_permit":
            found.node._limits._rates[second.name] = 0.001
            found.node._limits._limiter.take(second.name, 0.001, monotonic())
        if state == "draining":
            await store.put("servers", second.name, second.record("leaving"))
            await until_true(lambda: len(ready("desk")) == 1)
        if state in ("gone", "restarted"):
            await store.put("servers", second.name, second.record("leaving"))
            await until_true(lambda: len(ready("desk")) == 1)
        waiting = asyncio.create_task(found.deployment.send_request("/ask/x"))
        if state == "restarted":
            # The first endpoint's id comes back as a new incarnation, while it has the request.
            await until_true(lambda: found.first.executed)
            found.first.incarnation = 1000
            await store.put("servers", found.first.name, found.first.record())
        assert (await waiting).status == 200
        assert len(found.first.executed) == 1
        assert not second.executed
        found.assert_counted(0)


async def test_no_try_for_what_a_peer_handed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        dispatch = ExtraTries.dispatch

        async def dispatch_from_peer(self: ExtraTries, job: Any, *args: Any) -> Any:
            job.from_peer = True
            return await dispatch(self, job, *args)

        monkeypatch.setattr(ExtraTries, "dispatch", dispatch_from_peer)
        before = len(found.extra_tries._limit._requests["desk"])
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert not found.second.executed
        assert len(found.extra_tries._limit._requests["desk"]) == before


async def test_suspect_content_is_not_sent_to_a_second_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        monkeypatch.setattr(type(found.node._suspects), "crash_count", lambda self, key: 1)
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert found.count("extra_tries_denied", Denial.SUSPECT.value) == 1
        assert not found.second.executed


async def test_nothing_is_sent_twice_just_after_a_refusal_of_the_service() -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        found.extra_tries._refused_at["desk"] = monotonic()
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert found.count("extra_tries_denied", Denial.REFUSED.value) == 1
        assert not found.second.executed


async def test_an_instance_without_credit_sends_nothing_twice() -> None:
    async with pair() as found:
        found.first.answer_delay = MIDDLE
        found.extra_tries._limit._requests.clear()
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert found.count("extra_tries_denied", Denial.LIMIT.value) == 1
        assert not found.second.executed


async def test_without_a_share_no_task_timer_or_state_is_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with pair(share=0.0, knows=False) as found:

        def fail(*args: Any) -> Any:
            raise AssertionError("made although extra tries are off")

        monkeypatch.setattr("wigeonarch_gateway.extra_tries.asyncio", None)
        monkeypatch.setattr("wigeonarch_gateway.extra_tries.timeout_after", fail)
        monkeypatch.setattr("wigeonarch_gateway.extra_tries.ExchangeRace", fail)
        monkeypatch.setattr("wigeonarch_gateway.extra_tries.AnswerTimes", fail)
        found.first.answer_delay = SHORT
        assert (await found.deployment.send_request("/ask/x")).status == 200
        assert not found.second.executed
        extra = found.extra_tries
        assert not (extra._times or extra._refused_at or extra._limit._requests)


async def test_a_reload_turns_extra_tries_on_and_off() -> None:
    async with pair(share=0.0, knows=False) as found:
        opts = found.deployment.options[0]
        found.node.reload(replace(opts, extra_tries=ExtraTryOptions(SHARE)))
        teach(found)
        found.first.answer_delay = LONG
        assert (await found.deployment.send_request("/ask/x")).body.startswith(
            f"answer of {found.second.name}".encode()
        )
        found.node.reload(replace(opts, extra_tries=ExtraTryOptions()))
        assert not found.extra_tries._times
        await asyncio.sleep(STEP)
        found.first.answer_delay = SHORT
        await found.deployment.send_request("/ask/x")
        found.assert_counted(1, won=1)

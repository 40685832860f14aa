"""What an instance tells of requests under which endpoints ended, and what it takes over."""

from __future__ import annotations

import asyncio

import pytest
from wigeonarch_core.fatal_requests import CRASHES_TO_QUARANTINE, MAX_STORED
from wigeonarch_gateway import suspects as module
from wigeonarch_gateway.messages import CrashReport, Message, encode
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.peer_socket import MAX_MESSAGE_BYTES
from wigeonarch_gateway.pools import ProbeResult
from wigeonarch_gateway.ports import EndpointRecord, EndpointState
from wigeonarch_gateway.suspects import (
    ABANDONED_RUN_TTL,
    BATCH_DELAY,
    MAX_PER_MESSAGE,
    STARTUP_PERIOD,
    SuspectRequests,
)


class Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    found = Clock()
    monkeypatch.setattr(module, "monotonic", found)
    return found


class Seen:
    """What an instance sent, and how often its lease should be renewed."""

    def __init__(self, name: str = "me", reach: ProbeResult = ProbeResult.REFUSED) -> None:
        self.messages: list[CrashReport] = []
        self.renewals = 0
        self.reach = reach
        self.suspects = SuspectRequests(name, self._send, self._renew, self._reach, Metrics())

    async def _reach(self, record: EndpointRecord) -> ProbeResult:
        return self.reach

    def _send(self, message: Message) -> None:
        assert isinstance(message, CrashReport)
        self.messages.append(message)

    def _renew(self) -> None:
        self.renewals += 1


async def lose(seen: Seen, clock: Clock, content: str, *endpoints: str) -> None:
    """Has an instance lose a request at endpoints, one after the other."""
    for name in endpoints:
        seen.suspects.record_connection_lost(content, endpoint(name), clock.now)
        await looked()
        clock.now += 1.0


async def looked() -> None:
    """Lets an instance look whether an endpoint lives."""
    for _ in range(3):
        await asyncio.sleep(0)


def endpoint(name: str, born: int = 1) -> EndpointRecord:
    return EndpointRecord(name, "llm", "127.0.0.1:1", "a", 8, EndpointState.READY, (), born)


async def test_losses_of_one_moment_are_told_in_one_message(clock: Clock) -> None:
    seen = Seen()
    for content in ("x", "y", "x"):
        seen.suspects.record_connection_lost(content, endpoint("e1"), clock.now - 0.25)
    await asyncio.sleep(2 * BATCH_DELAY)
    assert [message.crashes for message in seen.messages] == [
        [("x", "e1@1", 250), ("y", "e1@1", 250)]
    ]


async def test_many_losses_fit_into_datagrams() -> None:
    seen = Seen()
    for number in range(3 * MAX_PER_MESSAGE):
        seen.suspects.record_connection_lost(
            f"{number:024x}", endpoint("e" * 40, 1_700_000_000_000), 0.0
        )
    await asyncio.sleep(2 * BATCH_DELAY)
    assert sum(len(message.crashes) for message in seen.messages) == 3 * MAX_PER_MESSAGE
    assert all(len(encode(message)) < MAX_MESSAGE_BYTES for message in seen.messages)


async def test_ends_that_several_instances_saw_add_up(clock: Clock) -> None:
    first, second = Seen("first"), Seen("second")
    await lose(first, clock, "x", "e1")
    await lose(second, clock, "x", "e2", "e3")
    assert not second.suspects.quarantine_left("x")
    await asyncio.sleep(2 * BATCH_DELAY)
    for message in first.messages:
        second.suspects.receive_report(message)
    assert second.suspects.crash_count("x") == CRASHES_TO_QUARANTINE
    assert second.suspects.quarantine_left("x") > 0.0


@pytest.mark.parametrize(
    ("ends", "kept"), [(["e1"], 0), (["e1", "e1"], 0), (["e1", "e2"], 1), (["e1", "e2", "e3"], 1)]
)
async def test_what_was_seen_more_than_once_goes_into_the_lease(
    ends: list[str], kept: int, clock: Clock
) -> None:
    seen = Seen()
    await lose(seen, clock, "x", *ends)
    assert len(seen.suspects.crashes_to_store()) == kept
    assert bool(seen.renewals) is bool(kept)


async def test_a_lease_keeps_a_bounded_number(clock: Clock) -> None:
    seen = Seen()
    for number in range(3 * MAX_STORED):
        await lose(seen, clock, f"r{number}", "e1", "e2")
    assert len(seen.suspects.crashes_to_store()) == MAX_STORED


@pytest.mark.parametrize("young", [True, False])
async def test_what_a_lease_says_is_taken_over_and_told_unless_all_just_read_it(
    young: bool, clock: Clock
) -> None:
    seen = Seen()
    clock.now += 0.0 if young else STARTUP_PERIOD
    for _ in range(2):
        seen.suspects.adopt_stored_crashes([("x", ["e1@1", "e2@1", "e3@1"])])
    assert seen.suspects.quarantine_left("x") > 0.0
    await asyncio.sleep(2 * BATCH_DELAY)
    assert len(seen.messages) == (0 if young else 1)


@pytest.mark.parametrize(
    ("after", "blamed"), [(0.5 * ABANDONED_RUN_TTL, 1), (1.5 * ABANDONED_RUN_TTL, 0)]
)
async def test_a_run_whose_end_nobody_saw_counts_when_its_endpoint_is_gone(
    after: float, blamed: int, clock: Clock
) -> None:
    seen = Seen()
    seen.suspects.record_abandoned("x", endpoint("e1"), clock.now)
    assert seen.suspects.crash_count("x") == 0
    clock.now += after
    seen.suspects.endpoint_ended("e2")
    assert seen.suspects.crash_count("x") == 0
    seen.suspects.endpoint_ended("e1")
    assert seen.suspects.crash_count("x") == blamed


async def test_a_cleared_request_is_told_and_one_without_ends_is_not() -> None:
    seen, other = Seen(), Seen("other")
    seen.suspects.record_answered("y")
    seen.suspects.record_connection_lost("x", endpoint("e1"), 0.0)
    await looked()
    seen.suspects.record_answered("x")
    await asyncio.sleep(2 * BATCH_DELAY)
    assert len(seen.messages) == 1
    other.suspects.receive_report(seen.messages[0])
    assert other.suspects.crash_count("x") == 0


async def test_a_newcomer_is_told_what_is_known(clock: Clock) -> None:
    seen, newcomer = Seen(), Seen("newcomer")
    await lose(seen, clock, "x", "e1", "e2", "e3")
    newcomer.suspects.receive_report(seen.suspects.known_crashes())
    assert newcomer.suspects.quarantine_left("x") > 0.0


@pytest.mark.parametrize(
    ("reach", "before", "after"),
    [(ProbeResult.REFUSED, 1, 1), (ProbeResult.OPEN, 0, 0), (ProbeResult.UNKNOWN, 0, 1)],
)
async def test_a_connection_that_broke_while_its_endpoint_lives_on_blames_nobody(
    reach: ProbeResult, before: int, after: int, clock: Clock
) -> None:
    seen = Seen(reach=reach)
    await lose(seen, clock, "x", "e1")
    assert seen.suspects.crash_count("x") == before
    seen.suspects.endpoint_ended("e1")
    assert seen.suspects.crash_count("x") == after


async def test_one_look_decides_on_all_runs_that_were_lost_with_an_endpoint(clock: Clock) -> None:
    seen = Seen()
    for number in range(10):
        seen.suspects.record_connection_lost(f"r{number}", endpoint("e1"), clock.now)
    assert len(seen.suspects._checks) == 1
    await looked()
    assert all(seen.suspects.crash_count(f"r{number}") == 1 for number in range(10))
    assert not seen.suspects._checks

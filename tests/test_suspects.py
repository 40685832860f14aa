"""Crash reports of an instance: what it sends, stores in its lease, and takes over from others."""

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
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    fake_clock = Clock()
    monkeypatch.setattr(module, "monotonic", fake_clock)
    monkeypatch.setattr("wigeonarch_gateway.suspect_parts.monotonic", fake_clock)
    return fake_clock


class Instance:
    """An instance; records what it sent, and how often it asked for a renewal of its lease."""

    def __init__(self, name: str = "me", probe_result: ProbeResult = ProbeResult.REFUSED) -> None:
        self.messages: list[CrashReport] = []
        self.renewals = 0
        self.probe_result = probe_result
        self.suspects = SuspectRequests(name, self._send, self._renew, self._probe, Metrics())

    async def _probe(self, record: EndpointRecord) -> ProbeResult:
        return self.probe_result

    def _send(self, message: Message) -> None:
        assert isinstance(message, CrashReport)
        self.messages.append(message)

    def _renew(self) -> None:
        self.renewals += 1


async def lose_connections(
    instance: Instance, clock: Clock, content_key: str, *endpoints: str
) -> None:
    """Has an instance lose the connection of a request at one endpoint after the other."""
    for name in endpoints:
        instance.suspects.record_connection_lost(content_key, endpoint(name), clock.now)
        await finish_probe()
        clock.now += 1.0


async def finish_probe() -> None:
    """Lets an instance finish its probe of an endpoint."""
    for _ in range(3):
        await asyncio.sleep(0)


def endpoint(name: str, born: int = 1) -> EndpointRecord:
    return EndpointRecord(name, "llm", "127.0.0.1:1", "a", 8, EndpointState.READY, (), born)


async def test_simultaneous_crashes_are_reported_in_one_message(clock: Clock) -> None:
    instance = Instance()
    for content_key in ("x", "y", "x"):
        instance.suspects.record_connection_lost(content_key, endpoint("e1"), clock.now - 0.25)
    await asyncio.sleep(2 * BATCH_DELAY)
    assert [message.crashes for message in instance.messages] == [
        [("x", "e1@1", 250), ("y", "e1@1", 250)]
    ]


async def test_many_crashes_fit_into_datagrams() -> None:
    instance = Instance()
    for number in range(3 * MAX_PER_MESSAGE):
        instance.suspects.record_connection_lost(
            f"{number:024x}", endpoint("e" * 40, 1_700_000_000_000), 0.0
        )
    await asyncio.sleep(2 * BATCH_DELAY)
    assert sum(len(message.crashes) for message in instance.messages) == 3 * MAX_PER_MESSAGE
    assert all(len(encode(message)) < MAX_MESSAGE_BYTES for message in instance.messages)


async def test_crashes_seen_by_several_instances_add_up(clock: Clock) -> None:
    first, second = Instance("first"), Instance("second")
    await lose_connections(first, clock, "x", "e1")
    await lose_connections(second, clock, "x", "e2", "e3")
    assert not second.suspects.quarantine_left("x")
    await asyncio.sleep(2 * BATCH_DELAY)
    for message in first.messages:
        second.suspects.receive_report(message)
    assert second.suspects.crash_count("x") == CRASHES_TO_QUARANTINE
    assert second.suspects.quarantine_left("x") > 0.0


@pytest.mark.parametrize(
    ("crashed", "stored"),
    [(["e1"], 0), (["e1", "e1"], 0), (["e1", "e2"], 1), (["e1", "e2", "e3"], 1)],
)
async def test_request_with_several_crashes_is_stored_in_the_lease(
    crashed: list[str], stored: int, clock: Clock
) -> None:
    instance = Instance()
    await lose_connections(instance, clock, "x", *crashed)
    assert len(instance.suspects.crashes_to_store()) == stored
    assert bool(instance.renewals) is bool(stored)


async def test_lease_stores_a_bounded_number_of_requests(clock: Clock) -> None:
    instance = Instance()
    for number in range(3 * MAX_STORED):
        await lose_connections(instance, clock, f"r{number}", "e1", "e2")
    assert len(instance.suspects.crashes_to_store()) == MAX_STORED


@pytest.mark.parametrize("just_started", [True, False])
async def test_crashes_read_from_a_lease_are_reported_except_just_after_the_start(
    just_started: bool, clock: Clock
) -> None:
    instance = Instance()
    clock.now += 0.0 if just_started else STARTUP_PERIOD
    for _ in range(2):
        instance.suspects.adopt_stored_crashes([("x", ["e1@1", "e2@1", "e3@1"])])
    assert instance.suspects.quarantine_left("x") > 0.0
    await asyncio.sleep(2 * BATCH_DELAY)
    assert len(instance.messages) == (0 if just_started else 1)


@pytest.mark.parametrize(
    ("after", "crashes"), [(0.5 * ABANDONED_RUN_TTL, 1), (1.5 * ABANDONED_RUN_TTL, 0)]
)
async def test_abandoned_run_counts_as_crash_if_its_endpoint_is_soon_gone(
    after: float, crashes: int, clock: Clock
) -> None:
    instance = Instance()
    instance.suspects.record_abandoned("x", endpoint("e1"), clock.now)
    assert instance.suspects.crash_count("x") == 0
    clock.now += after
    instance.suspects.endpoint_ended("e2")
    assert instance.suspects.crash_count("x") == 0
    instance.suspects.endpoint_ended("e1")
    assert instance.suspects.crash_count("x") == crashes


async def test_cleared_request_is_reported_only_if_it_had_crashes() -> None:
    instance, other = Instance(), Instance("other")
    instance.suspects.record_answered("y")
    instance.suspects.record_connection_lost("x", endpoint("e1"), 0.0)
    await finish_probe()
    instance.suspects.record_answered("x")
    await asyncio.sleep(2 * BATCH_DELAY)
    assert len(instance.messages) == 1
    other.suspects.receive_report(instance.messages[0])
    assert other.suspects.crash_count("x") == 0


async def test_newcomer_gets_the_known_crashes(clock: Clock) -> None:
    instance, newcomer = Instance(), Instance("newcomer")
    await lose_connections(instance, clock, "x", "e1", "e2", "e3")
    newcomer.suspects.receive_report(instance.suspects.known_crashes())
    assert newcomer.suspects.quarantine_left("x") > 0.0


@pytest.mark.parametrize(
    ("probe_result", "after_probe", "after_end"),
    [(ProbeResult.REFUSED, 1, 1), (ProbeResult.OPEN, 0, 0), (ProbeResult.UNKNOWN, 0, 1)],
)
async def test_lost_connection_is_no_crash_while_its_endpoint_is_up(
    probe_result: ProbeResult, after_probe: int, after_end: int, clock: Clock
) -> None:
    instance = Instance(probe_result=probe_result)
    await lose_connections(instance, clock, "x", "e1")
    assert instance.suspects.crash_count("x") == after_probe
    instance.suspects.endpoint_ended("e1")
    assert instance.suspects.crash_count("x") == after_end


async def test_one_probe_decides_on_all_runs_that_an_endpoint_lost(clock: Clock) -> None:
    instance = Instance()
    for number in range(10):
        instance.suspects.record_connection_lost(f"r{number}", endpoint("e1"), clock.now)
    assert len(instance.suspects._checks) == 1
    await finish_probe()
    assert all(instance.suspects.crash_count(f"r{number}") == 1 for number in range(10))
    assert not instance.suspects._checks


@pytest.mark.parametrize(
    ("born", "sent_after", "connected_before", "counts"),
    [
        (0, True, False, False),
        (0, True, True, False),
        (0, False, True, True),  # The answer may have been sent before the crash.
        (7, True, True, False),
        (7, True, False, True),  # The answer may be that of the next incarnation.
        (7, False, True, True),
    ],
)
async def test_crash_is_retracted_only_by_proof_that_the_incarnation_lives(
    clock: Clock, born: int, sent_after: bool, connected_before: bool, counts: bool
) -> None:
    cut_off, other = Instance("cut-off"), Instance("other")
    record = endpoint("e", born)
    cut_off.suspects.record_connection_lost("key", record, clock.now)
    await finish_probe()
    await asyncio.sleep(2 * BATCH_DELAY)
    for message in cut_off.messages:
        other.suspects.receive_report(message)
    assert other.suspects.crash_count("key") == 1
    before, after = clock.now - 1.0, clock.now + 1.0
    clock.now += 2.0
    other.suspects.record_head(
        record, after if sent_after else before, before if connected_before else after
    )
    for message in other.messages:
        cut_off.suspects.receive_report(message)
    assert [i.suspects.crash_count("key") for i in (cut_off, other)] == [counts, counts]


async def test_crash_after_a_retraction_counts(clock: Clock) -> None:
    instance = Instance()
    await lose_connections(instance, clock, "key", "e")
    instance.suspects.record_head(endpoint("e"), clock.now, 0.0)
    assert instance.suspects.crash_count("key") == 0
    await lose_connections(instance, clock, "key", "e")
    assert instance.suspects.crash_count("key") == 1


async def test_retracted_crash_is_not_adopted_from_an_instance_that_still_counts_it(
    clock: Clock,
) -> None:
    other, instance = Instance("other"), Instance()
    stored = [("key", ["a@1", "b@1", "c@1"])]
    instance.suspects.adopt_stored_crashes(stored)
    instance.suspects.receive_report(CrashReport("other", [], [], [], ["a@1"]))
    instance.suspects.adopt_stored_crashes(stored)
    assert instance.suspects.crash_count("key") == 2
    # The same incarnation really crashes.
    instance.suspects.receive_report(CrashReport("other", [("key", "a@1", 0)], [], []))
    instance.suspects.adopt_stored_crashes(stored)
    assert instance.suspects.crash_count("key") == 3
    other.suspects.adopt_stored_crashes(stored)
    assert other.suspects.crash_count("key") == 3


async def test_parts_of_a_crash_are_reported_once_and_fit_into_datagrams(clock: Clock) -> None:
    instance = Instance()
    for number in range(64):
        parts = ("5c1e07a2", f"{number:08x}", f"{number + 100:08x}")
        instance.suspects.record_connection_lost(
            f"{number:024x}", endpoint("e" * 40, 1_700_000_000_000), clock.now - 0.2, parts
        )
    await asyncio.sleep(2 * BATCH_DELAY)
    reports = [message.parts for message in instance.messages if message.parts is not None]
    reported = [part for report in reports for part, _, _, _ in report.crashes]
    assert len(reported) == len(set(reported)) == 129
    assert all(len(encode(message)) < MAX_MESSAGE_BYTES for message in instance.messages)


async def test_run_that_wrote_speaks_for_its_parts_although_its_endpoint_crashed(
    clock: Clock,
) -> None:
    instance = Instance()
    for number in range(CRASHES_TO_QUARANTINE):
        one = endpoint(f"e{number}")
        instance.suspects.record_connection_lost("a", one, clock.now, ("5c", "fa"), wrote=False)
        instance.suspects.record_connection_lost("b", one, clock.now, ("5c", "a0"), wrote=True)
        await finish_probe()
    assert instance.suspects.parts.held_part(["5c", "a0", "fa"], "") == "fa"
    assert instance.suspects.parts._fatal_parts.crash_count("5c") == 0


async def test_retracted_crash_no_longer_counts_against_parts(clock: Clock) -> None:
    instance = Instance()
    one = endpoint("e1")
    instance.suspects.record_connection_lost("a", one, clock.now, ("fa",))
    await finish_probe()
    found = instance.suspects.parts._fatal_parts
    assert found.crash_count("fa") == 1
    clock.now += 1.0
    instance.suspects.record_head(one, clock.now, clock.now - 10.0)
    assert found.crash_count("fa") == 0


async def test_one_that_tries_a_held_part_tells_the_others(clock: Clock) -> None:
    first, second = Instance("first"), Instance("second")
    for number in range(CRASHES_TO_QUARANTINE):
        first.suspects.record_connection_lost("a", endpoint(f"e{number}"), clock.now, ("fa",))
        await finish_probe()
    for message in first.messages:
        second.suspects.receive_report(message)
    clock.now += first.suspects.parts.hold_left(["fa"], "") + 0.1
    first.messages.clear()
    assert first.suspects.parts.admit(["fa"], "")
    assert not first.suspects.parts.admit(["fa"], "")
    for message in first.messages:
        second.suspects.receive_report(message)
    assert not second.suspects.parts.admit(["fa"], "")


# Seconds from the moment at which an endpoint counts as gone to that at which its run is given up.
@pytest.mark.parametrize("given_up_after", [0.4, 2.0])
async def test_a_run_that_is_given_up_after_its_endpoint_is_gone_counts_as_a_crash(
    clock: Clock, given_up_after: float
) -> None:
    instance = Instance(probe_result=ProbeResult.UNKNOWN)
    for number in range(CRASHES_TO_QUARANTINE):
        dispatched_at = clock.now
        clock.now += 3.0
        instance.suspects.endpoint_ended(f"e{number}")
        clock.now += given_up_after
        instance.suspects.record_abandoned("x", endpoint(f"e{number}"), dispatched_at)
        await finish_probe()
        clock.now += 1.0
    assert instance.suspects.quarantine_left("x")

"""Which instances count as alive, and who may take an endpoint."""

from __future__ import annotations

import pytest
from gateway_world import contact
from ports import free_port
from wigeonarch_gateway import members as module
from wigeonarch_gateway.directory import GONE, LIST_EVERY
from wigeonarch_gateway.duties import SETTLED, ZONE_EMPTY
from wigeonarch_gateway.links import Links
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import Beat
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.ports import StoredObject
from wigeonarch_gateway.traffic import Traffic


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
    monkeypatch.setattr("wigeonarch_gateway.duties.monotonic", found)
    monkeypatch.setattr("wigeonarch_gateway.discovery.monotonic", found)
    return found


@pytest.fixture
def members(clock: Clock) -> Members:
    port = free_port("127.0.0.1")
    opts = Options("me", "a", "127.0.0.1", "127.0.0.1:1", "127.0.0.1:2", port, 3)
    links = Links(f"127.0.0.1:{port}", lambda message: None)
    return Members(
        opts,
        "boot",
        links,
        Traffic(),
        lambda: (1, 1000),
        lambda name, revision, left: None,
        lambda endpoint: "",
        lambda name: None,
        lambda name: None,
        Metrics(),
        contact(),
    )


def beat(name: str, zone: str = "a", left: int = 3000, leaving: bool = False) -> Beat:
    return Beat(name, "boot", "127.0.0.1:9", zone, leaving, 5, left, [], [])


@pytest.mark.parametrize(
    ("zone", "heard", "witnesses"),
    [
        ("a", {"near": "a", "far": "b"}, ["near"]),
        ("b", {"near": "a", "far": "b"}, ["far"]),
        ("c", {"near": "a", "far": "b"}, ["near", "far"]),  # No instance lives there.
        ("a", {"far": "b"}, []),  # Of the own zone nobody else can tell.
    ],
)
def test_who_would_have_shared_an_outage_of_a_zone(
    members: Members, clock: Clock, zone: str, heard: dict[str, str], witnesses: list[str]
) -> None:
    since = {}
    for number, (name, where) in enumerate(heard.items()):
        said = beat(name, zone=where)
        said.contact_ms, said.answered_ms = 5000 + number, 700
        since[name] = clock.now - said.contact_ms / 1000
        members.beat(said)
    members.beat(beat("started", zone=zone))  # It has had no answer yet.
    clock.now += 60.0  # What they said of the past holds.
    told = members.duties.contacts(zone)
    assert [contact.since for contact in told] == [since[n] for n in witnesses]


def lease(name: str, revision: int, zone: str = "a") -> StoredObject:
    return StoredObject(name, revision, {"address": "127.0.0.1:9", "zone": zone})


def test_a_lease_found_at_the_first_look_must_change_soon(members: Members, clock: Clock) -> None:
    members.discovery.leases_listed([lease("dead", 5), lease("alive", 6)])
    assert members.duties.rivals({"a"}) == {"dead", "alive"}
    clock.now += LIST_EVERY
    members.discovery.leases_listed([lease("dead", 5), lease("alive", 7)])
    clock.now += 0.1
    assert members.duties.rivals({"a"}) == {"alive"}


def test_who_was_alive_stays_so_while_the_store_is_away(members: Members, clock: Clock) -> None:
    members.discovery.leases_listed([lease("first", 1)])
    members.discovery.leases_listed([lease("first", 2)])
    for _ in range(5):
        clock.now += LIST_EVERY
        members.discovery.directory.nothing_listed(clock.now)
    assert members.duties.rivals({"a"}) == {"first"}
    clock.now += GONE + 0.1
    members.discovery.leases_listed([lease("first", 2)])
    assert not members.duties.rivals({"a"})


def test_only_instances_of_the_zone_are_rivals_and_candidates(
    members: Members, clock: Clock
) -> None:
    members.beat(beat("near"))
    members.beat(beat("far", zone="b"))
    assert members.duties.rivals({"a"}) == {"near"}
    assert members.duties.candidates("a", me=True) == ["me", "near"]
    assert members.duties.candidates("b", me=True) == []
    assert members.duties.candidates("c", me=True) == ["far", "me", "near"]  # Nobody lives there.


def test_a_zone_that_fell_silent_is_left_alone_for_a_while(members: Members, clock: Clock) -> None:
    members.beat(beat("far", zone="b"))
    clock.now += ZONE_EMPTY - 0.1
    assert members.duties.candidates("b", me=True) == []
    clock.now += 0.2
    assert members.duties.candidates("b", me=True) == ["me"]


@pytest.mark.parametrize(
    ("told", "expected"),
    [
        (beat("peer"), ["me", "peer"]),
        (beat("peer", left=0), ["me"]),  # Its lease does not hold.
        (beat("peer", leaving=True), ["me"]),
    ],
)
def test_candidates(members: Members, told: Beat, expected: list[str]) -> None:
    members.beat(told)
    assert members.duties.candidates("a", me=True) == expected
    assert members.duties.candidates("a", me=False) == [name for name in expected if name != "me"]


def test_an_instance_that_just_started_is_not_preferred(members: Members, clock: Clock) -> None:
    clock.now += SETTLED
    members.beat(beat("young"))
    assert members.duties.candidates("a", me=True) == ["me"]
    for _ in range(6):
        clock.now += 1.0
        members.beat(beat("young"))
    assert members.duties.candidates("a", me=True) == ["me", "young"]

"""Tests which instances count as alive, and which may own an endpoint."""

from __future__ import annotations

import pytest
from gateway_world import new_store_contact
from ports import free_port
from wigeonarch_gateway import members as module
from wigeonarch_gateway.directory import GONE_AFTER, LIST_INTERVAL
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import AdaptersInUse, EndpointLoad, Heartbeat
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket
from wigeonarch_gateway.ports import StoredObject
from wigeonarch_gateway.roles import PREFERRED_AFTER, ZONE_EMPTY_AFTER
from wigeonarch_gateway.traffic import InFlightTracker


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
    monkeypatch.setattr("wigeonarch_gateway.roles.monotonic", found)
    monkeypatch.setattr("wigeonarch_gateway.discovery.monotonic", found)
    return found


@pytest.fixture
def members(clock: Clock) -> Members:
    port = free_port("127.0.0.1")
    opts = Options("me", "a", "127.0.0.1", "127.0.0.1:1", "127.0.0.1:2", port, 3)
    socket = PeerSocket(f"127.0.0.1:{port}", lambda message: None)
    return Members(
        opts,
        "boot",
        socket,
        InFlightTracker(),
        lambda: (1, 1000),
        lambda name, revision, left: None,
        lambda endpoint: "",
        lambda name: None,
        lambda name: None,
        Metrics(),
        new_store_contact(),
    )


def heartbeat(name: str, zone: str = "a", left: int = 3000, leaving: bool = False) -> Heartbeat:
    return Heartbeat(name, "boot", "127.0.0.1:9", zone, leaving, 5, left, [], [])


@pytest.mark.parametrize(
    ("zone", "live", "witnesses"),
    [
        ("a", {"near": "a", "far": "b"}, ["near"]),
        ("b", {"near": "a", "far": "b"}, ["far"]),
        ("c", {"near": "a", "far": "b"}, ["near", "far"]),  # The zone has no instance.
        ("a", {"far": "b"}, []),  # Only instances of the same zone count for the own zone.
    ],
)
def test_store_contacts_of_instances_that_would_share_an_outage_of_a_zone(
    members: Members, clock: Clock, zone: str, live: dict[str, str], witnesses: list[str]
) -> None:
    since = {}
    for number, (name, where) in enumerate(live.items()):
        received = heartbeat(name, zone=where)
        received.store_contact_ms, received.store_answered_ms = 5000 + number, 700
        since[name] = clock.now - received.store_contact_ms / 1000
        members.receive_heartbeat(received)
    members.receive_heartbeat(heartbeat("started", zone=zone))  # The store has not answered it yet.
    clock.now += 60.0  # What they reported of the past stays true.
    contacts = members.roles.store_contacts(zone)
    assert [contact.since for contact in contacts] == [since[n] for n in witnesses]


def lease(name: str, revision: int, zone: str = "a") -> StoredObject:
    return StoredObject(name, revision, {"address": "127.0.0.1:9", "zone": zone})


def test_a_lease_in_the_first_list_counts_only_if_it_changes_soon(
    members: Members, clock: Clock
) -> None:
    members.discovery.take_leases([lease("dead", 5), lease("alive", 6)])
    assert members.roles.possible_successors({"a"}) == {"dead", "alive"}
    clock.now += LIST_INTERVAL
    members.discovery.take_leases([lease("dead", 5), lease("alive", 7)])
    clock.now += 0.1
    assert members.roles.possible_successors({"a"}) == {"alive"}


def test_live_instances_stay_present_while_the_store_is_away(
    members: Members, clock: Clock
) -> None:
    members.discovery.take_leases([lease("first", 1)])
    members.discovery.take_leases([lease("first", 2)])
    for _ in range(5):
        clock.now += LIST_INTERVAL
        members.discovery.directory.extend_presence(clock.now)
    assert members.roles.possible_successors({"a"}) == {"first"}
    clock.now += GONE_AFTER + 0.1
    members.discovery.take_leases([lease("first", 2)])
    assert not members.roles.possible_successors({"a"})


def test_only_instances_of_the_zone_are_possible_successors_and_owner_candidates(
    members: Members, clock: Clock
) -> None:
    members.receive_heartbeat(heartbeat("near"))
    members.receive_heartbeat(heartbeat("far", zone="b"))
    assert members.roles.possible_successors({"a"}) == {"near"}
    assert members.roles.owner_candidates("a", include_self=True) == ["me", "near"]
    assert members.roles.owner_candidates("b", include_self=True) == []
    assert members.roles.owner_candidates("c", include_self=True) == [
        "far",
        "me",
        "near",
    ]  # The zone has no instance.


def test_endpoints_of_a_silent_zone_are_not_taken_at_once(members: Members, clock: Clock) -> None:
    members.receive_heartbeat(heartbeat("far", zone="b"))
    clock.now += ZONE_EMPTY_AFTER - 0.1
    assert members.roles.owner_candidates("b", include_self=True) == []
    clock.now += 0.2
    assert members.roles.owner_candidates("b", include_self=True) == ["me"]


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        (heartbeat("peer"), ["me", "peer"]),
        (heartbeat("peer", left=0), ["me"]),  # Its lease is not in force.
        (heartbeat("peer", leaving=True), ["me"]),
    ],
)
def test_owner_candidates(members: Members, received: Heartbeat, expected: list[str]) -> None:
    members.receive_heartbeat(received)
    assert members.roles.owner_candidates("a", include_self=True) == expected
    assert members.roles.owner_candidates("a", include_self=False) == [
        name for name in expected if name != "me"
    ]


def test_an_instance_that_just_started_is_not_preferred(members: Members, clock: Clock) -> None:
    clock.now += PREFERRED_AFTER
    members.receive_heartbeat(heartbeat("young"))
    assert members.roles.owner_candidates("a", include_self=True) == ["me"]
    for _ in range(6):
        clock.now += 1.0
        members.receive_heartbeat(heartbeat("young"))
    assert members.roles.owner_candidates("a", include_self=True) == ["me", "young"]


def test_instance_that_just_started_is_no_limiter_where_there_are_others(
    members: Members, clock: Clock
) -> None:
    clock.now += PREFERRED_AFTER
    for name in ("b", "c", "d"):
        settled = heartbeat(name)
        settled.uptime_ms = 60_000
        members.receive_heartbeat(settled)
    endpoints = [f"e{n}" for n in range(40)]
    before = [members.roles.limiter(endpoint, "a") for endpoint in endpoints]
    newcomer = heartbeat("n")
    newcomer.uptime_ms = 500
    members.receive_heartbeat(newcomer)
    assert [members.roles.limiter(endpoint, "a") for endpoint in endpoints] == before
    newcomer.uptime_ms = int(PREFERRED_AFTER * 1000)
    members.receive_heartbeat(newcomer)
    assert "n" in {members.roles.limiter(endpoint, "a") for endpoint in endpoints}


def test_instances_that_all_just_started_have_a_limiter(members: Members) -> None:
    members.receive_heartbeat(heartbeat("b"))
    assert {members.roles.limiter(f"e{n}", "a") for n in range(40)} == {"me", "b"}


@pytest.mark.parametrize(("seconds", "running"), [(1, 3), (5, 0)])
def test_loads_that_an_instance_no_longer_tells_of_are_not_counted_for_good(
    members: Members, clock: Clock, seconds: int, running: int
) -> None:
    told = heartbeat("far", zone="b")
    told.loads = [EndpointLoad("i-llm", 3, 0, 0)]
    members.receive_heartbeat(told)
    for _ in range(seconds):
        clock.now += 1.0
        of_uses = heartbeat("far", zone="b")
        of_uses.states_loads = False
        members.receive_heartbeat(of_uses)
        members._forget_silent()
    assert members.reachable() == ["far"]
    assert members._traffic.load_at("i-llm").running == running


@pytest.mark.parametrize(("seconds", "used"), [(1, {("m", "a1")}), (5, set())])
def test_adapter_that_a_delegate_told_of_last_is_not_in_use_for_good(
    members: Members, clock: Clock, seconds: int, used: set[tuple[str, str]]
) -> None:
    told = heartbeat("far", zone="b")
    told.adapters_in_use = [AdaptersInUse("i-llm", [("m", "a1", 1)])]
    members.receive_heartbeat(told)
    for _ in range(seconds):
        clock.now += 1.0
        of_zone = heartbeat("far", zone="b")
        of_zone.states_uses = False
        members.receive_heartbeat(of_zone)
    assert members.adapters_in_use("i-llm") == used

"""Tests of large zones: delegates act for each zone, and relays forward messages between zones."""

from __future__ import annotations

from collections import Counter

import pytest
from gateway_world import new_store_contact
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway import members as module
from wigeonarch_gateway.directory import LARGE_ZONE, PRESENT_WITHIN, RELAY_RENEWED_WITHIN
from wigeonarch_gateway.discovery import SEED_REPLY_TIME
from wigeonarch_gateway.members import ANNOUNCEMENT_TIME, Members
from wigeonarch_gateway.messages import (
    AdapterUse,
    EndpointLoad,
    Heartbeat,
    Message,
    PeerAddresses,
    PeerQuery,
    Relay,
    decode,
    encode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket
from wigeonarch_gateway.ports import StoredObject
from wigeonarch_gateway.roles import MIN_DELEGATES, PREFERRED_AFTER, STORE_LOST_AFTER
from wigeonarch_gateway.traffic import InFlightTracker

PORT = 7700
ZONE_SIZE = 10
HERE, THERE = "a", "b"
SHARE = EndpointLoad("i-1", 2, 30, 400)


class RecordingSocket(PeerSocket):
    """Records the messages that are sent, with their addresses."""

    def __init__(self) -> None:
        super().__init__("127.0.0.1:1", lambda message: None)
        self.sent: list[tuple[str, Message]] = []

    def send_frame(self, address: str, frame: bytes) -> bool:
        message = decode(frame)
        assert message is not None
        self.sent.append((address, message))
        return True


class Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def address(name: str) -> str:
    zone, _, number = name.partition("-")
    return f"10.{ord(zone)}.0.{number}:{PORT}"


class Deployment:
    """The members as one instance sees them, in two zones of equal size."""

    def __init__(self, clock: Clock, me: str, size: int, owner: str = "") -> None:
        self.clock = clock
        self.socket = RecordingSocket()
        self.traffic = InFlightTracker()
        ip = address(me).partition(":")[0]
        opts = Options(me, me[0], ip, f"{ip}:1", f"{ip}:2", PORT, 3)
        self.members = Members(
            opts,
            "boot",
            self.socket,
            self.traffic,
            lambda: (1, 1000),
            lambda name, revision, left: None,
            lambda endpoint: owner,
            lambda name: None,
            lambda name: None,
            Metrics(),
            new_store_contact(),
        )
        self.names = [f"{zone}-{n}" for zone in (HERE, THERE) for n in range(size)]
        self.others = [name for name in self.names if name != me]
        objects = [
            StoredObject(name, 1, {"address": address(name), "zone": name[0]})
            for name in self.names
        ]
        self.members.discovery.take_leases(objects)
        self.receive_all_heartbeats()

    def receive_all_heartbeats(self) -> None:
        for name in self.others:
            self.receive_heartbeat(name)

    def receive_heartbeat(
        self, name: str, leaving: bool = False, store_silence: float = 0.0
    ) -> None:
        """Receives a heartbeat whose sender got the store's last answer `store_silence` s ago."""
        heartbeat = Heartbeat(name, "boot", address(name), name[0], leaving, 5, 3000, [SHARE], [])
        heartbeat.store_contact_ms, heartbeat.store_answered_ms = 60_000, int(store_silence * 1000)
        self.members.receive_heartbeat(heartbeat)

    def send_heartbeats(self) -> Counter[str]:
        """Sends one round of heartbeats; returns how many went to each zone."""
        self.socket.sent.clear()
        self.members._send_heartbeat_round()
        return Counter(self.zone(to) for to, _ in self.socket.sent)

    def zone(self, to: str) -> str:
        return chr(int(to.split(".")[1]))


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    found = Clock()
    monkeypatch.setattr(module, "monotonic", found)
    monkeypatch.setattr("wigeonarch_gateway.roles.monotonic", found)
    monkeypatch.setattr("wigeonarch_gateway.discovery.monotonic", found)
    monkeypatch.setattr("wigeonarch_gateway.traffic.monotonic", found)
    return found


def started_long_ago(
    clock: Clock, is_delegate: bool, size: int = ZONE_SIZE, owner: str = ""
) -> Deployment:
    """Returns the view of an instance some time after its start, as a delegate or not."""
    names = Deployment(clock, f"{HERE}-0", size).members.roles.delegates()
    other = [name for name in (f"{HERE}-{n}" for n in range(size)) if name not in names]
    found = Deployment(clock, names[0] if is_delegate else other[0], size, owner)
    clock.now += PREFERRED_AFTER + ANNOUNCEMENT_TIME
    found.receive_all_heartbeats()
    return found


def test_all_instances_of_a_zone_agree_on_its_delegates(clock: Clock) -> None:
    views = {
        tuple(Deployment(clock, f"{HERE}-{n}", ZONE_SIZE).members.roles.delegates())
        for n in range(ZONE_SIZE)
    }
    assert len(views) == 1
    assert len(views.pop()) == MIN_DELEGATES


def test_all_instances_of_a_small_zone_are_delegates_and_send_heartbeats_to_all(
    clock: Clock,
) -> None:
    found = started_long_ago(clock, True, size=LARGE_ZONE)
    assert len(found.members.roles.delegates()) == LARGE_ZONE
    assert found.send_heartbeats() == {HERE: LARGE_ZONE - 1, THERE: LARGE_ZONE}


def test_a_delegate_that_leaves_is_replaced(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    gone = found.members.roles.delegates()[1]
    found.receive_heartbeat(gone, leaving=True)
    assert gone not in found.members.roles.delegates()
    assert len(found.members.roles.delegates()) == MIN_DELEGATES


def test_a_newcomer_does_not_become_a_delegate_at_once(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    before = found.members.roles.delegates()
    newcomers = [f"{HERE}-{n}" for n in range(100, 100 + ZONE_SIZE)]
    for name in newcomers:
        found.receive_heartbeat(name)
    assert not set(newcomers) & set(found.members.roles.delegates())
    assert set(before) <= set(found.members.roles.delegates())


def test_an_instance_that_just_started_sends_heartbeats_to_all(clock: Clock) -> None:
    found = Deployment(clock, f"{HERE}-0", ZONE_SIZE)
    assert found.send_heartbeats() == {HERE: ZONE_SIZE - 1, THERE: ZONE_SIZE}


@pytest.mark.parametrize(("is_delegate", "relayed_count"), [(True, 1), (False, 0)])
def test_heartbeats_between_large_zones(
    clock: Clock, is_delegate: bool, relayed_count: int
) -> None:
    found = started_long_ago(clock, is_delegate)
    assert found.send_heartbeats() == Counter(
        {HERE: ZONE_SIZE - 1, THERE: relayed_count} if relayed_count else {HERE: 9}
    )
    relayed = [message for _, message in found.socket.sent if isinstance(message, Relay)]
    assert len(relayed) == relayed_count


def test_the_first_delegate_sends_all_loads_of_its_zone_to_other_zones(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    found.traffic.begin("i-1", 5, 7, AdapterKey("m", "x", 1))
    found.send_heartbeats()
    inner = [decode(m.frame) for _, m in found.socket.sent if isinstance(m, Relay)]
    assert [message.loads for message in inner if isinstance(message, Heartbeat)] == [
        [EndpointLoad("i-1", 2 * (ZONE_SIZE - 1) + 1, 30 * (ZONE_SIZE - 1) + 5, 3607, 5)]
    ]


def test_an_instance_that_uses_an_engine_of_another_zone_tells_its_owner(clock: Clock) -> None:
    found = started_long_ago(clock, False, owner=f"{THERE}-4")
    found.traffic.begin("i-1", 5, 7, AdapterKey("m", "x", 1))
    found.send_heartbeats()
    heartbeats = [m for to, m in found.socket.sent if to == address(f"{THERE}-4")]
    assert [(b.loads, len(b.adapters_in_use)) for b in heartbeats if isinstance(b, Heartbeat)] == [
        ([], 1)
    ]


def test_a_message_for_all_goes_to_one_instance_of_each_other_zone(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    reached = set()
    for _ in range(200):
        found.socket.sent.clear()
        found.members.send_all(AdapterUse("me", "i-1", ("m", "x", 1)))
        assert Counter(found.zone(to) for to, _ in found.socket.sent) == {HERE: 9, THERE: 1}
        reached |= {to for to, message in found.socket.sent if isinstance(message, Relay)}
    assert len(reached) == ZONE_SIZE  # The load is spread over all instances.


def test_an_instance_whose_lease_does_not_change_is_not_used_as_a_relay(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    living = [name for name in found.names if name != f"{THERE}-3"]
    clock.now += RELAY_RENEWED_WITHIN
    found.members.discovery.take_leases(
        [StoredObject(name, 2, {"address": address(name), "zone": name[0]}) for name in living]
    )
    assert len(found.members._relays()[THERE]) == ZONE_SIZE - 1
    found.receive_heartbeat(f"{THERE}-4", leaving=True)
    assert len(found.members._relays()[THERE]) == ZONE_SIZE - 2


def test_a_relay_forwards_only_within_its_own_zone(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    found.socket.sent.clear()
    found.members.forward_in_zone(Relay(encode(AdapterUse("you", "i-1", ("m", "x", 1)))))
    assert Counter(found.zone(to) for to, _ in found.socket.sent) == {HERE: ZONE_SIZE - 1}


def test_unreachable_instances_count_for_the_retry_budget(clock: Clock) -> None:
    found = started_long_ago(clock, True)
    found.members.discovery.take_leases(
        [StoredObject(name, 2, {"address": address(name), "zone": name[0]}) for name in found.names]
    )
    clock.now += 2 * PREFERRED_AFTER  # No heartbeats arrive.
    assert found.members.roles.instance_count() == len(found.names)


def test_leases_of_instances_that_are_gone_do_not_make_a_zone_large(
    clock: Clock,
) -> None:
    found = started_long_ago(clock, True)
    assert THERE in found.members._relays()
    clock.now += PRESENT_WITHIN
    left = [f"{HERE}-{n}" for n in range(ZONE_SIZE)] + [f"{THERE}-{n}" for n in range(LARGE_ZONE)]
    found.members.discovery.take_leases(
        [
            StoredObject(
                name, 2 if name in left else 1, {"address": address(name), "zone": name[0]}
            )
            for name in found.names
        ]
    )
    assert found.members._relays() == {}
    assert found.members.roles.instance_count() == len(left)


def test_a_small_zone_has_no_watchers(clock: Clock) -> None:
    assert started_long_ago(clock, True, size=LARGE_ZONE).members.roles.watchers() == []


def test_a_delegate_that_lost_the_store_is_ranked_last_as_watcher(clock: Clock) -> None:
    found = started_long_ago(clock, False)
    first, second, third = found.members.roles.watchers()
    assert {first, second, third} == set(found.members.roles.delegates())
    found.receive_heartbeat(first, store_silence=STORE_LOST_AFTER + 0.1)
    found.receive_heartbeat(second, store_silence=STORE_LOST_AFTER - 0.1)
    assert found.members.roles.watchers() == [second, third, first]
    found.receive_heartbeat(second, store_silence=STORE_LOST_AFTER + 0.1)
    found.receive_heartbeat(third, store_silence=STORE_LOST_AFTER + 0.1)
    # All have lost the store, so the order does not change.
    assert found.members.roles.watchers() == [first, second, third]


def test_an_instance_that_just_started_gets_the_addresses_of_its_zone(clock: Clock) -> None:
    seed = started_long_ago(clock, True)
    seed.socket.sent.clear()
    newcomer = address(f"{THERE}-99")
    seed.members.discovery.answer_query(PeerQuery(f"{THERE}-99", newcomer, THERE))
    [(to, reply)] = seed.socket.sent
    assert to == newcomer
    assert isinstance(reply, PeerAddresses)
    assert sorted(reply.addresses) == sorted(a for a in map(address, seed.names) if "98" in a)


def just_started(clock: Clock) -> Deployment:
    """Returns the view of an instance that knows no others yet."""
    return Deployment(clock, f"{HERE}-0", 1)


def test_a_seeds_reply_shows_that_the_zone_is_large(clock: Clock) -> None:
    found = just_started(clock)
    assert not found.members.discovery.is_zone_small()  # A seed may still reply.
    clock.now += SEED_REPLY_TIME + 0.01
    assert found.members.discovery.is_zone_small()
    many = [address(f"{HERE}-{n}") for n in range(1, LARGE_ZONE + 1)]
    found.members.discovery.take_addresses(
        PeerAddresses(HERE, [*many[:-1], "nonsense", "10.0.0.1:99999"])
    )
    assert found.members.discovery.is_zone_small()
    found.members.discovery.take_addresses(PeerAddresses(HERE, many))
    assert not found.members.discovery.is_zone_small()
    assert set(many) <= {to for to, _ in messages_sent_by(found)}


def messages_sent_by(found: Deployment) -> list[tuple[str, Message]]:
    found.send_heartbeats()
    return found.socket.sent

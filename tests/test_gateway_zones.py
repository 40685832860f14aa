"""Large zones: a few instances speak for each, and what goes between zones goes by relays."""

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


class RecordingLinks(PeerSocket):
    """Keeps what is sent, by address."""

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
    """One instance's members, in two zones of a size."""

    def __init__(self, clock: Clock, me: str, size: int, holder: str = "") -> None:
        self.clock = clock
        self.links = RecordingLinks()
        self.traffic = InFlightTracker()
        ip = address(me).partition(":")[0]
        opts = Options(me, me[0], ip, f"{ip}:1", f"{ip}:2", PORT, 3)
        self.members = Members(
            opts,
            "boot",
            self.links,
            self.traffic,
            lambda: (1, 1000),
            lambda name, revision, left: None,
            lambda endpoint: holder,
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
        self.hear_all()

    def hear_all(self) -> None:
        for name in self.others:
            self.hear(name)

    def hear(self, name: str, leaving: bool = False, silent: float = 0.0) -> None:
        """Hears a heartbeat; `silent` are the seconds since the store's last answer to it."""
        beat = Heartbeat(name, "boot", address(name), name[0], leaving, 5, 3000, [SHARE], [])
        beat.store_contact_ms, beat.store_answered_ms = 60_000, int(silent * 1000)
        self.members.receive_heartbeat(beat)

    def told(self) -> Counter[str]:
        """Sends heartbeats; returns how many went to each zone."""
        self.links.sent.clear()
        self.members._send_heartbeat_round()
        return Counter(self.zone(to) for to, _ in self.links.sent)

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


def grown(clock: Clock, keeper: bool, size: int = ZONE_SIZE, holder: str = "") -> Deployment:
    """Returns the view of an instance that is a keeper, or is not, some time after the start."""
    names = Deployment(clock, f"{HERE}-0", size).members.roles.delegates()
    other = [name for name in (f"{HERE}-{n}" for n in range(size)) if name not in names]
    found = Deployment(clock, names[0] if keeper else other[0], size, holder)
    clock.now += PREFERRED_AFTER + ANNOUNCEMENT_TIME
    found.hear_all()
    return found


def test_all_instances_of_a_zone_agree_on_its_keepers(clock: Clock) -> None:
    views = {
        tuple(Deployment(clock, f"{HERE}-{n}", ZONE_SIZE).members.roles.delegates())
        for n in range(ZONE_SIZE)
    }
    assert len(views) == 1
    assert len(views.pop()) == MIN_DELEGATES


def test_all_of_a_small_zone_are_keepers_and_tell_everybody(clock: Clock) -> None:
    found = grown(clock, True, size=LARGE_ZONE)
    assert len(found.members.roles.delegates()) == LARGE_ZONE
    assert found.told() == {HERE: LARGE_ZONE - 1, THERE: LARGE_ZONE}


def test_a_keeper_that_leaves_is_replaced(clock: Clock) -> None:
    found = grown(clock, True)
    gone = found.members.roles.delegates()[1]
    found.hear(gone, leaving=True)
    assert gone not in found.members.roles.delegates()
    assert len(found.members.roles.delegates()) == MIN_DELEGATES


def test_a_newcomer_is_no_keeper_before_it_has_stayed_for_a_while(clock: Clock) -> None:
    found = grown(clock, True)
    before = found.members.roles.delegates()
    newcomers = [f"{HERE}-{n}" for n in range(100, 100 + ZONE_SIZE)]
    for name in newcomers:
        found.hear(name)
    assert not set(newcomers) & set(found.members.roles.delegates())
    assert set(before) <= set(found.members.roles.delegates())


def test_one_that_just_started_makes_itself_known_to_all(clock: Clock) -> None:
    found = Deployment(clock, f"{HERE}-0", ZONE_SIZE)
    assert found.told() == {HERE: ZONE_SIZE - 1, THERE: ZONE_SIZE}


@pytest.mark.parametrize(("keeper", "far"), [(True, 1), (False, 0)])
def test_heartbeats_between_large_zones(clock: Clock, keeper: bool, far: int) -> None:
    found = grown(clock, keeper)
    assert found.told() == Counter({HERE: ZONE_SIZE - 1, THERE: far} if far else {HERE: 9})
    relayed = [message for _, message in found.links.sent if isinstance(message, Relay)]
    assert len(relayed) == far


def test_the_first_keeper_tells_other_zones_of_all_loads_of_its_own(clock: Clock) -> None:
    found = grown(clock, True)
    found.traffic.begin("i-1", 5, 7, AdapterKey("m", "x", 1))
    found.told()
    inner = [decode(m.frame) for _, m in found.links.sent if isinstance(m, Relay)]
    assert [beat.loads for beat in inner if isinstance(beat, Heartbeat)] == [
        [EndpointLoad("i-1", 2 * (ZONE_SIZE - 1) + 1, 30 * (ZONE_SIZE - 1) + 5, 3607, 5)]
    ]


def test_who_uses_an_engine_far_away_tells_its_holder(clock: Clock) -> None:
    found = grown(clock, False, holder=f"{THERE}-4")
    found.traffic.begin("i-1", 5, 7, AdapterKey("m", "x", 1))
    found.told()
    beats = [m for to, m in found.links.sent if to == address(f"{THERE}-4")]
    assert [(b.loads, len(b.adapters_in_use)) for b in beats if isinstance(b, Heartbeat)] == [
        ([], 1)
    ]


def test_what_all_should_know_goes_to_one_of_each_other_zone(clock: Clock) -> None:
    found = grown(clock, True)
    reached = set()
    for _ in range(200):
        found.links.sent.clear()
        found.members.send_all(AdapterUse("me", "i-1", ("m", "x", 1)))
        assert Counter(found.zone(to) for to, _ in found.links.sent) == {HERE: 9, THERE: 1}
        reached |= {to for to, message in found.links.sent if isinstance(message, Relay)}
    assert len(reached) == ZONE_SIZE  # Each bears its part.


def test_an_instance_whose_lease_does_not_change_is_no_relay(clock: Clock) -> None:
    found = grown(clock, True)
    living = [name for name in found.names if name != f"{THERE}-3"]
    clock.now += RELAY_RENEWED_WITHIN
    found.members.discovery.take_leases(
        [StoredObject(name, 2, {"address": address(name), "zone": name[0]}) for name in living]
    )
    assert len(found.members._relays()[THERE]) == ZONE_SIZE - 1
    found.hear(f"{THERE}-4", leaving=True)
    assert len(found.members._relays()[THERE]) == ZONE_SIZE - 2


def test_a_relay_hands_on_in_its_own_zone_only(clock: Clock) -> None:
    found = grown(clock, True)
    found.links.sent.clear()
    found.members.forward_in_zone(Relay(encode(AdapterUse("you", "i-1", ("m", "x", 1)))))
    assert Counter(found.zone(to) for to, _ in found.links.sent) == {HERE: ZONE_SIZE - 1}


def test_instances_that_are_not_heard_count_for_the_retry_bound(clock: Clock) -> None:
    found = grown(clock, True)
    found.members.discovery.take_leases(
        [StoredObject(name, 2, {"address": address(name), "zone": name[0]}) for name in found.names]
    )
    clock.now += 2 * PREFERRED_AFTER  # Nobody is heard.
    assert found.members.roles.instance_count() == len(found.names)


def test_a_zone_whose_instances_are_gone_is_not_large_although_their_leases_stay(
    clock: Clock,
) -> None:
    found = grown(clock, True)
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


def test_nobody_watches_for_the_instances_of_a_small_zone(clock: Clock) -> None:
    assert grown(clock, True, size=LARGE_ZONE).members.roles.watchers() == []


def test_a_keeper_without_the_store_is_the_last_to_watch_for_others(clock: Clock) -> None:
    found = grown(clock, False)
    first, second, third = found.members.roles.watchers()
    assert {first, second, third} == set(found.members.roles.delegates())
    found.hear(first, silent=STORE_LOST_AFTER + 0.1)
    found.hear(second, silent=STORE_LOST_AFTER - 0.1)
    assert found.members.roles.watchers() == [second, third, first]
    found.hear(second, silent=STORE_LOST_AFTER + 0.1)
    found.hear(third, silent=STORE_LOST_AFTER + 0.1)
    # Nobody has it: no reason to move.
    assert found.members.roles.watchers() == [first, second, third]


def test_one_that_just_started_is_told_of_its_zone(clock: Clock) -> None:
    seed = grown(clock, True)
    seed.links.sent.clear()
    newcomer = address(f"{THERE}-99")
    seed.members.discovery.answer_query(PeerQuery(f"{THERE}-99", newcomer, THERE))
    [(to, answer)] = seed.links.sent
    assert to == newcomer
    assert isinstance(answer, PeerAddresses)
    assert sorted(answer.addresses) == sorted(a for a in map(address, seed.names) if "98" in a)


def started(clock: Clock) -> Deployment:
    """Returns the view of an instance that knows nobody yet."""
    return Deployment(clock, f"{HERE}-0", 1)


def test_an_introduction_says_that_the_zone_is_large(clock: Clock) -> None:
    found = started(clock)
    assert not found.members.discovery.is_zone_small()  # A seed may still answer.
    clock.now += SEED_REPLY_TIME + 0.01
    assert found.members.discovery.is_zone_small()
    many = [address(f"{HERE}-{n}") for n in range(1, LARGE_ZONE + 1)]
    found.members.discovery.take_addresses(
        PeerAddresses(HERE, [*many[:-1], "nonsense", "10.0.0.1:99999"])
    )
    assert found.members.discovery.is_zone_small()
    found.members.discovery.take_addresses(PeerAddresses(HERE, many))
    assert not found.members.discovery.is_zone_small()
    assert set(many) <= {to for to, _ in sent_by(found)}


def sent_by(found: Deployment) -> list[tuple[str, Message]]:
    found.told()
    return found.links.sent

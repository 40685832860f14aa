"""A model for the property test of the configuration: three instances in two zones, a platform.

The platform, the network and the clock are modelled; who may serve, what is accepted and how the
log is taken are the core's own decisions. Readings, renewals and judgements begin and end in rules
of their own, so an instance is paused between any two steps; messages are held up, doubled, lost
and taken out of order; instances and zones are cut off and heal.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from wigeonarch_core import acceptance, serving_right
from wigeonarch_core.acceptance import LaggingInstance, Member
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.changelog import Change, Put, Snapshot
from wigeonarch_core.entries import Service, ServiceKind
from wigeonarch_core.lease import PeerLease
from wigeonarch_core.messages import ChangeNotice, Heartbeat
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.records import LeaseRecord
from wigeonarch_core.replica import Replica
from wigeonarch_core.serving_right import (
    LeasePeriod,
    PlatformReachability,
    ServingState,
    ZonePeer,
    ZoneView,
)

TERM, MARGIN, TIMEOUT, SILENCE = 2.0, 0.5, 1.0, 1.0
ZONES = {"a1": "a", "b1": "b", "b2": "b"}
NAMES = st.sampled_from(sorted(ZONES))
PICK = st.integers(0, 10**6)
DEFECTS: dict[str, tuple[Any, str, Any]] = {}


@dataclass(eq=False)
class Seen:
    """What one instance knows of another one."""

    record: LeaseRecord
    lease: PeerLease
    beat: Heartbeat | None = None


@dataclass(eq=False)
class Node:
    """One process."""

    name: str
    boot: str
    period: LeasePeriod
    replica: Replica = field(default_factory=Replica)
    reach: PlatformReachability = field(
        default_factory=lambda: PlatformReachability(SILENCE, TIMEOUT + MARGIN)
    )
    view: ZoneView = field(default_factory=lambda: ZoneView(TIMEOUT))
    seen: dict[str, Seen] = field(default_factory=dict)
    is_paused: bool = False
    is_cut: bool = False
    reading: tuple[float, list[Change] | None] | None = None
    renewing: float | None = None
    judging: tuple[int, float, dict[str, tuple[int, LeaseRecord]]] | None = None

    @property
    def applied(self) -> int:
        return self.replica.catalogue.applied


class ConfigurationMachine(RuleBasedStateMachine):
    """Changes by operators, while anything fails."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.boots = 0
        self.revision = 0
        self.log: list[Change] = []
        self.leases: dict[str, tuple[int, LeaseRecord]] = {}
        self.messages: list[tuple[str, str, Heartbeat | ChangeNotice]] = []
        self.snapshots: list[Snapshot] = []
        self.accepted = 0
        self.highest: dict[str, int] = {}
        self.nodes = {name: self._started(name) for name in ZONES}
        self.all_is_well("")

    def _started(self, name: str) -> Node:
        self.boots += 1
        return Node(name, f"boot-{self.boots}", LeasePeriod(TERM, MARGIN, self.now))

    # Faults ---------------------------------------------------------------------------------

    @rule(seconds=st.sampled_from([0.1, 0.4, 0.9, 3.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=NAMES)
    def pause(self, name: str) -> None:
        self.nodes[name].is_paused = True

    @rule(name=NAMES)
    def resume(self, name: str) -> None:
        self.nodes[name].is_paused = False

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        is_cut = self.nodes[name].is_cut
        self.nodes[name] = self._started(name)
        self.nodes[name].is_cut = is_cut

    @rule(zone=st.sampled_from(["a", "b"]), is_cut=st.booleans())
    def cut_zone(self, zone: str, is_cut: bool) -> None:
        for node in self.nodes.values():
            if ZONES[node.name] == zone:
                node.is_cut = is_cut

    @rule(name=NAMES, is_cut=st.booleans())
    def cut_one(self, name: str, is_cut: bool) -> None:
        """Cuts an instance off from the platform and the other zone; its zone still hears it."""
        self.nodes[name].is_cut = is_cut

    # Steps of an instance -------------------------------------------------------------------

    def _awake(self, name: str) -> Node | None:
        node = self.nodes[name]
        return None if node.is_paused else node

    @rule(name=NAMES)
    def renew_begins(self, name: str) -> None:
        node = self._awake(name)
        if node and not node.is_cut:
            node.renewing = self.now
            self.revision += 1
            settled = node.reach.is_settled(self.now)
            record = LeaseRecord(
                name, ZONES[name], node.boot, "", "", TERM, node.applied, False, settled
            )
            self.leases[name] = (self.revision, record)

    @rule(name=NAMES)
    def renew_ends(self, name: str) -> None:
        node = self._awake(name)
        if node and node.renewing is not None:
            node.period.record_renewal(node.renewing, self.now)
            node.reach.record_answer(self.now)
            node.renewing = None

    @rule(name=NAMES)
    def read_begins(self, name: str) -> None:
        node = self._awake(name)
        if node:
            node.reading = (self.now, None if node.is_cut else list(self.log))

    @rule(name=NAMES)
    def read_ends(self, name: str) -> None:
        node = self._awake(name)
        if node and node.reading:
            began, log = node.reading
            for number, change in enumerate(log or [], 1):
                node.replica.add(number, change)
            node.replica.record_read(began, log is not None)
            if log is not None:
                node.reach.record_answer(self.now)
            node.reading = None

    @rule(name=NAMES)
    def sees_leases(self, name: str) -> None:
        node = self._awake(name)
        if node and not node.is_cut:
            self._saw(node, self.leases)
            node.reach.record_answer(self.now)

    def _saw(self, node: Node, leases: dict[str, tuple[int, LeaseRecord]]) -> None:
        for name, (version, record) in leases.items():
            known = node.seen.get(name)
            if name == node.name:
                continue
            if known is None or (
                known.record.boot != record.boot and version > known.lease.version
            ):
                node.seen[name] = Seen(record, PeerLease(TERM, MARGIN, version, self.now))
            elif version > known.lease.version:
                known.record = record
                known.lease.observe(version, self.now)

    @rule(name=NAMES)
    def beats(self, name: str) -> None:
        node = self._awake(name)
        for other, seen in (node.seen if node else {}).items():
            assert node is not None
            beat = Heartbeat(
                instance=name,
                zone=ZONES[name],
                boot=node.boot,
                applied=node.applied,
                draining=False,
                platform=True,
                leased=node.period.is_valid(self.now),
                reaches=node.reach.is_reachable(self.now),
                settled=node.reach.is_settled(self.now),
                sent=self.now,
                echo=seen.beat.sent if seen.beat else 0.0,
            )
            self._send(name, other, beat)

    def _send(self, sender: str, receiver: str, message: Heartbeat | ChangeNotice) -> None:
        is_cut = self.nodes[sender].is_cut or self.nodes[receiver].is_cut
        if ZONES[sender] == ZONES[receiver] or not is_cut:
            self.messages.append((sender, receiver, message))

    @rule(pick=PICK, doubled=st.booleans())
    def deliver(self, pick: int, doubled: bool) -> None:
        if not self.messages:
            return
        place = pick % len(self.messages)
        sender, receiver, message = self.messages[place]
        node = self._awake(receiver)
        if node is None:
            return
        if not doubled:
            del self.messages[place]
        if isinstance(message, ChangeNotice):
            node.replica.add(message.number, message.change)
            return
        seen = node.seen.get(sender)
        if seen and seen.record.boot == message.boot:
            seen.beat = message
        if ZONES[sender] == ZONES[receiver]:
            heard = heard_at(message, self.now)
            peer = ZonePeer(sender, heard, message.leased, message.reaches, message.applied)
            node.view.record(peer)

    @rule(pick=PICK)
    def lose(self, pick: int) -> None:
        if self.messages:
            del self.messages[pick % len(self.messages)]

    @rule(name=NAMES, expected=st.integers(0, 3))
    def change(self, name: str, expected: int) -> None:
        """An operator's change; its number is the next one only if the instance is up to date."""
        node = self._awake(name)
        if node is None or node.is_cut or node.applied != len(self.log):
            return
        number = len(self.log) + 1
        change = Change(f"op-{number}", Put(Service("s", ServiceKind.PLAIN), expected))
        self.log.append(change)
        node.replica.add(number, change)
        for other in node.seen:
            self._send(name, other, ChangeNotice(number, name, change))

    @rule(name=NAMES)
    def judge_begins(self, name: str) -> None:
        node = self._awake(name)
        if node and not node.is_cut and node.applied:
            node.judging = (node.applied, self.now, copy.copy(self.leases))

    @rule(name=NAMES)
    def judge_ends(self, name: str) -> None:
        node = self._awake(name)
        if node is None or node.judging is None:
            return
        (number, asked_at, leases), node.judging = node.judging, None
        self._saw(node, leases)
        members = [
            acceptance.build_member(
                s.record, s.beat, number, not s.lease.has_lapsed(asked_at), True
            )
            for s in node.seen.values()
        ]
        leased = node.period.is_valid(asked_at)
        settled = node.reach.is_settled(asked_at)
        members.append(Member(name, ZONES[name], node.applied, leased, True, settled))
        if not acceptance.find_lagging(number, members):
            self.accepted = max(self.accepted, number)

    @rule(name=NAMES)
    def keep_snapshot(self, name: str) -> None:
        self.snapshots.append(self.nodes[name].replica.catalogue.snapshot())

    @rule(name=NAMES, pick=PICK)
    def read_snapshot(self, name: str, pick: int) -> None:
        node = self._awake(name)
        if node and self.snapshots:
            node.replica.restore(self.snapshots[pick % len(self.snapshots)])

    # Runs of steps, so that few rules lead far ------------------------------------------------

    @rule(deaf=st.sampled_from(["", *ZONES]))
    def all_is_well(self, deaf: str) -> None:
        """A while in which whoever is awake does all that it does; one may lose its messages."""
        for _ in range(4):
            for name in ZONES:
                for step in (
                    *(self.renew_begins, self.renew_ends, self.sees_leases),
                    *(self.read_begins, self.read_ends, self.beats),
                ):
                    step(name)
            self.messages = [message for message in self.messages if message[1] != deaf]
            for place in reversed(range(len(self.messages))):
                self.deliver(place, False)
            self.now += 0.4

    @rule(name=NAMES)
    def change_and_judge(self, name: str) -> None:
        self.change(name, len(self.log))
        self.all_is_well("")
        self.judge_begins(name)
        self.judge_ends(name)

    # What must hold -------------------------------------------------------------------------

    @invariant()
    def whoever_serves_has_what_is_accepted(self) -> None:
        for node in self.nodes.values():
            if not node.is_paused and serving_right.refusal_reason(self._situation(node)) is None:
                assert node.applied >= self.accepted, (node, self.accepted, self.now)

    @invariant()
    def never_down(self) -> None:
        for node in self.nodes.values():
            assert node.applied >= self.highest.get(node.boot, 0), node
            self.highest[node.boot] = node.applied

    def _situation(self, node: Node) -> ServingState:
        return ServingState(
            has_configuration=node.replica.has_configuration,
            leased=node.period.is_valid(self.now),
            ever_leased=node.period.ever_valid,
            leased_since=node.period.since,
            lapsed_at=node.period.last_ended_at(self.now),
            caught_up_at=node.replica.caught_up_at,
            last_attempt=node.replica.last_attempt,
            applied=node.applied,
            newest=node.view.newest,
            others_known=any(ZONES[name] == ZONES[node.name] for name in node.seen),
            recent_peers=node.view.recent_peers(self.now),
        )


def heard_at(beat: Heartbeat, now: float) -> float:
    """Returns what a heartbeat is at least as new as, by the receiver's clock."""
    return beat.echo


def _nobody_lags(number: int, members: list[Member]) -> tuple[LaggingInstance, ...]:
    return ()


def _serves_without_a_lease(at: ServingState) -> Reason | None:
    return None if at.has_configuration else Reason.NO_CONFIGURATION


def _serves_unread(at: ServingState) -> Reason | None:
    if at.has_configuration and at.leased:
        return None
    return _REFUSAL(at)


def _only_leases_count(member: Member, number: int, covered: bool) -> bool:
    return member.leased and member.applied < number


_REFUSAL = serving_right.refusal_reason
_RESTORE = Catalogue.restore


def _restore_any(catalogue: Catalogue, snapshot: Snapshot) -> bool:
    catalogue.applied = -1
    return _RESTORE(catalogue, snapshot)


# Schedules that lead to what random ones seldom find.


def paused_across_a_change(m: ConfigurationMachine) -> None:
    """An instance is paused, a change is accepted without it, and it goes on."""
    m.pause("b2")
    for _ in range(3):
        m.all_is_well("")
    m.change_and_judge("a1")
    assert m.accepted == 1
    m.resume("b2")


def paused_and_renewed(m: ConfigurationMachine) -> None:
    """The same, and the first thing that it does is to renew its lease."""
    paused_across_a_change(m)
    m.renew_begins("b2")
    m.renew_ends("b2")


def neighbour_is_back(m: ConfigurationMachine) -> None:
    """A cut zone serves; one of its instances is back and tells the other zone before its own."""
    m.cut_zone("b", True)
    for _ in range(3):
        m.all_is_well("")
    m.cut_one("b1", False)
    m.messages.clear()
    m.change("a1", 0)
    for step in (m.renew_begins, m.renew_ends, m.read_begins, m.read_ends, m.sees_leases, m.beats):
        step("b1")
    m.messages = [message for message in m.messages if message[1] == "a1"]
    while m.messages:
        m.deliver(0, False)
    m.judge_begins("a1")
    m.judge_ends("a1")


def held_up_heartbeat(m: ConfigurationMachine) -> None:
    """The last heartbeat from before its neighbour was back reaches an instance much later."""
    m.cut_zone("b", True)
    for _ in range(3):
        m.all_is_well("")
    m.beats("b1")
    held = [message for message in m.messages if message[1] == "b2"]
    m.cut_one("b1", False)
    for _ in range(4):
        m.all_is_well("b2")
    m.change("a1", 0)
    m.all_is_well("b2")
    m.judge_begins("a1")
    m.judge_ends("a1")
    assert m.accepted == 1
    m.messages = held
    m.deliver(0, False)


SCHEDULES = (paused_across_a_change, paused_and_renewed, neighbour_is_back, held_up_heartbeat)

# Defects that random schedules find, then those that need a schedule of their own.
DEFECTS["accepted before it is applied"] = (acceptance, "find_lagging", _nobody_lags)
DEFECTS["a zone without leases does not count"] = (acceptance, "_is_lagging", _only_leases_count)
DEFECTS["an older snapshot is taken"] = (Catalogue, "restore", _restore_any)

SCHEDULED = {
    "a lapsed instance serves": (
        paused_across_a_change,
        (serving_right, "refusal_reason", _serves_without_a_lease),
    ),
    "the log is not read after a new lease": (
        paused_and_renewed,
        (serving_right, "refusal_reason", _serves_unread),
    ),
    "reach counts at once": (
        neighbour_is_back,
        (PlatformReachability, "is_settled", PlatformReachability.is_reachable),
    ),
    "held up heartbeats count as new": (
        held_up_heartbeat,
        (__import__(__name__), "heard_at", lambda _beat, now: now),
    ),
}

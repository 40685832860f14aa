"""State machine for the property test of the configuration: three instances in two zones.

The platform, the network and the clock are modelled. Who may serve, which changes are accepted and
how the log is applied are decided by the core's own code. Reads of the log, lease renewals and
acceptance checks each begin and end in separate rules, so an instance may be paused between any two
steps. Messages are delayed, doubled, lost and reordered; instances and zones are cut off and come
back.
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
# Defects by name: object, name of its attribute, and a value that disables a mechanism.
DEFECTS: dict[str, tuple[Any, str, Any]] = {}


@dataclass(eq=False)
class Seen:
    """What one instance has seen of another: its lease and its last heartbeat."""

    record: LeaseRecord
    lease: PeerLease
    beat: Heartbeat | None = None


@dataclass(eq=False)
class Node:
    """One process of an instance.

    Attributes:
        name: Name of the instance.
        boot: Nonce of the process.
        period: The time for which the platform has held the lease.
        replica: The configuration that has been read.
        reach: Reachability of the platform.
        view: What is known of the instances of the zone.
        seen: Leases and heartbeats of the other instances.
        is_paused: Whether the process is paused.
        is_cut: Whether it is cut off from the platform and the other zone.
        woke_at: When its last pause ended.
        reading: Start time and result of the read in progress; no result if it fails.
        renewing: Start time of the renewal in progress.
        acceptance_check: Number, start time and leases of the acceptance check in progress.
    """

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
    woke_at: float = float("-inf")
    reading: tuple[float, list[Change] | None] | None = None
    renewing: float | None = None
    acceptance_check: tuple[int, float, dict[str, tuple[int, LeaseRecord]]] | None = None

    @property
    def applied(self) -> int:
        return self.replica.catalogue.applied


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators change the configuration while instances and the network fail."""

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
        # Instances that the platform's list has dropped.
        self.unlisted: set[str] = set()
        self.nodes = {name: self._start(name) for name in ZONES}
        self.run_without_faults("")

    def _start(self, name: str) -> Node:
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
        self.nodes[name].woke_at = self.now

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        is_cut = self.nodes[name].is_cut
        self.nodes[name] = self._start(name)
        self.nodes[name].is_cut = is_cut

    @rule(zone=st.sampled_from(["a", "b"]), is_cut=st.booleans())
    def cut_zone(self, zone: str, is_cut: bool) -> None:
        for node in self.nodes.values():
            if ZONES[node.name] == zone:
                node.is_cut = is_cut

    @rule(name=NAMES, is_cut=st.booleans())
    def cut_one(self, name: str, is_cut: bool) -> None:
        """Cuts an instance off from the platform and the other zone, but not from its own zone."""
        self.nodes[name].is_cut = is_cut

    # Steps of an instance -------------------------------------------------------------------

    def _unless_paused(self, name: str) -> Node | None:
        node = self.nodes[name]
        return None if node.is_paused else node

    @rule(name=NAMES)
    def renew_begins(self, name: str) -> None:
        node = self._unless_paused(name)
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
        node = self._unless_paused(name)
        if node and node.renewing is not None:
            node.period.record_renewal(node.renewing, self.now)
            node.reach.record_answer(self.now)
            node.renewing = None

    @rule(name=NAMES)
    def renewal_fails(self, name: str) -> None:
        node = self._unless_paused(name)
        if node and node.is_cut:
            node.reach.record_failure(self.now)

    @rule(name=NAMES)
    def read_begins(self, name: str) -> None:
        node = self._unless_paused(name)
        if node:
            node.reading = (self.now, None if node.is_cut else list(self.log))

    @rule(name=NAMES)
    def read_ends(self, name: str) -> None:
        node = self._unless_paused(name)
        if node and node.reading:
            started_at, log = node.reading
            for number, change in enumerate(log or [], 1):
                node.replica.add(number, change)
            node.replica.record_read(started_at, log is not None)
            if log is not None:
                node.reach.record_answer(self.now)
            node.reading = None

    @rule(name=NAMES)
    def read_leases(self, name: str) -> None:
        node = self._unless_paused(name)
        if node and not node.is_cut:
            self._observe_leases(node, self.leases)
            node.reach.record_answer(self.now)

    def _observe_leases(self, node: Node, leases: dict[str, tuple[int, LeaseRecord]]) -> None:
        for name, (version, record) in leases.items():
            seen = node.seen.get(name)
            if name == node.name:
                continue
            if seen is None or (seen.record.boot != record.boot and version > seen.lease.version):
                node.seen[name] = Seen(record, PeerLease(TERM, MARGIN, version, self.now))
            elif version > seen.lease.version:
                seen.record = record
                seen.lease.observe(version, self.now)

    @rule(name=NAMES)
    def send_heartbeats(self, name: str) -> None:
        node = self._unless_paused(name)
        for other, seen in (node.seen if node else {}).items():
            assert node is not None
            heartbeat = Heartbeat(
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
            self._send(name, other, heartbeat)

    def _send(self, sender: str, receiver: str, message: Heartbeat | ChangeNotice) -> None:
        is_cut = self.nodes[sender].is_cut or self.nodes[receiver].is_cut
        if ZONES[sender] == ZONES[receiver] or not is_cut:
            self.messages.append((sender, receiver, message))

    @rule(pick=PICK, doubled=st.booleans())
    def deliver(self, pick: int, doubled: bool) -> None:
        if not self.messages:
            return
        index = pick % len(self.messages)
        sender, receiver, message = self.messages[index]
        node = self._unless_paused(receiver)
        if node is None:
            return
        if not doubled:
            del self.messages[index]
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
        """Makes an operator's change; only an instance that has applied the whole log can do so."""
        node = self._unless_paused(name)
        if node is None or node.is_cut or node.applied != len(self.log):
            return
        number = len(self.log) + 1
        change = Change(f"op-{number}", Put(Service("s", ServiceKind.PLAIN), expected))
        self.log.append(change)
        node.replica.add(number, change)
        for other in node.seen:
            self._send(name, other, ChangeNotice(number, name, change))

    @rule(name=NAMES)
    def acceptance_check_begins(self, name: str) -> None:
        node = self._unless_paused(name)
        if node and not node.is_cut and node.applied:
            node.acceptance_check = (node.applied, self.now, copy.copy(self.leases))

    @rule(name=NAMES)
    def acceptance_check_ends(self, name: str) -> None:
        node = self._unless_paused(name)
        if node is None or node.acceptance_check is None:
            return
        (number, asked_at, leases), node.acceptance_check = node.acceptance_check, None
        self._observe_leases(node, leases)
        members = [
            acceptance.build_member(
                s.record,
                s.beat,
                number,
                not s.lease.has_lapsed(asked_at),
                other not in self.unlisted,
            )
            for other, s in node.seen.items()
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
        node = self._unless_paused(name)
        if node and self.snapshots:
            node.replica.restore(self.snapshots[pick % len(self.snapshots)])

    # Sequences of steps, so that few rules reach many states ----------------------------------

    @rule(deaf=st.sampled_from(["", *ZONES]))
    def run_without_faults(self, deaf: str) -> None:
        """Lets all instances that are not paused do all their steps, four times.

        The instance `deaf`, if any, loses all messages sent to it.
        """
        for _ in range(4):
            for name in ZONES:
                for step in (
                    *(self.renew_begins, self.renew_ends, self.read_leases),
                    *(self.read_begins, self.read_ends, self.send_heartbeats),
                ):
                    step(name)
            self.messages = [message for message in self.messages if message[1] != deaf]
            for index in reversed(range(len(self.messages))):
                self.deliver(index, False)
            self.now += 0.4

    @rule(name=NAMES)
    def change_and_check_acceptance(self, name: str) -> None:
        self.change(name, len(self.log))
        self.run_without_faults("")
        self.acceptance_check_begins(name)
        self.acceptance_check_ends(name)

    # Invariants -----------------------------------------------------------------------------

    @invariant()
    def serving_instances_have_accepted_changes(self) -> None:
        for node in self.nodes.values():
            if (
                not node.is_paused
                and serving_right.refusal_reason(self._serving_state(node)) is None
            ):
                assert node.applied >= self.accepted, (node, self.accepted, self.now)

    @invariant()
    def applied_never_decreases(self) -> None:
        for node in self.nodes.values():
            assert node.applied >= self.highest.get(node.boot, 0), node
            self.highest[node.boot] = node.applied

    def _serving_state(self, node: Node) -> ServingState:
        return ServingState(
            has_configuration=node.replica.has_configuration,
            leased=node.period.is_valid(self.now),
            ever_leased=node.period.ever_valid,
            leased_since=node.period.since,
            attempt_needed_since=serving_right.attempt_needed_since(
                node.period.last_ended_at(self.now), node.woke_at
            ),
            caught_up_at=node.replica.caught_up_at,
            last_attempt=max(
                (t for t in (node.replica.last_attempt, node.reach.last_failure) if t is not None),
                default=None,
            ),
            applied=node.applied,
            newest=node.view.newest,
            others_known=any(ZONES[name] == ZONES[node.name] for name in node.seen),
            recent_peers=node.view.recent_peers(self.now),
        )


def heard_at(heartbeat: Heartbeat, now: float) -> float:
    """Returns a lower bound of the time at which a heartbeat was sent, by the receiver's clock."""
    return heartbeat.echo


def _no_instance_lags(number: int, members: list[Member]) -> tuple[LaggingInstance, ...]:
    return ()


def _serves_without_a_lease(state: ServingState) -> Reason | None:
    return None if state.has_configuration else Reason.NO_CONFIGURATION


def _serves_unread(state: ServingState) -> Reason | None:
    if state.has_configuration and state.leased:
        return None
    return _REFUSAL(state)


def _only_leases_count(member: Member, number: int, covered: bool) -> bool:
    return member.leased and member.applied < number


_REFUSAL = serving_right.refusal_reason
_RESTORE = Catalogue.restore


def _restore_any(catalogue: Catalogue, snapshot: Snapshot) -> bool:
    catalogue.applied = -1
    return _RESTORE(catalogue, snapshot)


# Schedules that lead to states which random ones rarely reach.


def paused_across_a_change(m: ConfigurationMachine) -> None:
    """An instance is paused, a change is accepted without it, and it continues."""
    m.pause("b2")
    for _ in range(3):
        m.run_without_faults("")
    m.change_and_check_acceptance("a1")
    assert m.accepted == 1
    m.resume("b2")


def paused_and_renewed(m: ConfigurationMachine) -> None:
    """As `paused_across_a_change`; the first thing that the instance does is to renew its lease."""
    paused_across_a_change(m)
    m.renew_begins("b2")
    m.renew_ends("b2")


def neighbour_comes_back(m: ConfigurationMachine) -> None:
    """A zone that is cut off serves; one of its instances comes back.

    Its heartbeats reach the other zone before its own.
    """
    m.cut_zone("b", True)
    for _ in range(3):
        m.run_without_faults("")
    m.cut_one("b1", False)
    m.messages.clear()
    m.change("a1", 0)
    for step in (
        m.renew_begins,
        m.renew_ends,
        m.read_begins,
        m.read_ends,
        m.read_leases,
        m.send_heartbeats,
    ):
        step("b1")
    m.messages = [message for message in m.messages if message[1] == "a1"]
    while m.messages:
        m.deliver(0, False)
    m.acceptance_check_begins("a1")
    m.acceptance_check_ends("a1")


def delayed_heartbeat(m: ConfigurationMachine) -> None:
    """A heartbeat is delayed until long after its sender has come back from a cut.

    The sender's neighbour in the zone, still cut off, receives it after a change was accepted.
    """
    m.cut_zone("b", True)
    for _ in range(3):
        m.run_without_faults("")
    m.send_heartbeats("b1")
    delayed = [message for message in m.messages if message[1] == "b2"]
    m.cut_one("b1", False)
    for _ in range(4):
        m.run_without_faults("b2")
    m.change("a1", 0)
    m.run_without_faults("b2")
    m.acceptance_check_begins("a1")
    m.acceptance_check_ends("a1")
    assert m.accepted == 1
    m.messages = delayed
    m.deliver(0, False)


def dropped_from_the_list_while_paused(m: ConfigurationMachine) -> None:
    """The only instance of a zone is cut off and goes on serving, as it found no platform.

    It is paused until the platform's list has dropped it and a change was accepted without it.
    """
    m.cut_zone("a", True)
    for _ in range(3):
        m.run_without_faults("")
    m.pause("a1")
    m.now += 60.0
    m.run_without_faults("")
    m.unlisted.add("a1")
    m.change_and_check_acceptance("b1")
    assert m.accepted == 1
    m.resume("a1")


SCHEDULES = (
    paused_across_a_change,
    paused_and_renewed,
    neighbour_comes_back,
    delayed_heartbeat,
    dropped_from_the_list_while_paused,
)

# Defects that random schedules find. Those in `SCHEDULED` need a certain schedule.
DEFECTS["accepted before it is applied"] = (acceptance, "find_lagging", _no_instance_lags)
DEFECTS["a zone without leases does not count"] = (acceptance, "_is_lagging", _only_leases_count)
DEFECTS["an older snapshot is taken"] = (Catalogue, "restore", _restore_any)

SCHEDULED = {
    "a lapsed instance serves": (
        paused_across_a_change,
        (serving_right, "refusal_reason", _serves_without_a_lease),
    ),
    "an attempt from before a pause counts": (
        dropped_from_the_list_while_paused,
        (serving_right, "attempt_needed_since", lambda lapsed_at, woke_at: lapsed_at),
    ),
    "the log is not read after a new lease": (
        paused_and_renewed,
        (serving_right, "refusal_reason", _serves_unread),
    ),
    "reach counts at once": (
        neighbour_comes_back,
        (PlatformReachability, "is_settled", PlatformReachability.is_reachable),
    ),
    "held up heartbeats count as new": (
        delayed_heartbeat,
        (__import__(__name__), "heard_at", lambda _beat, now: now),
    ),
}

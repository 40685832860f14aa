"""Entries missing after an outage are kept while they may have lapsed, but never beyond the bound.

The second half plays a small world with a clock of its own: two availability zones, instances that
lose the store alone, by zone or all together, and endpoints that renew their entries, leave, or let
them lapse.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest
from wigeonarch_core.store_contact import NEVER, Contact, LapseTimes, StoreContact

TIMES = LapseTimes(lapse=3.0, return_time=2.2, reaction_time=2.5)


@pytest.mark.parametrize(
    ("answers", "failed", "witnesses", "until"),
    [
        # No outage long enough for an entry to lapse.
        ([10.0], [], [], NEVER),
        ([10.0, 12.9], [12.0], [], NEVER),
        # An outage that the witnesses shared, or without witnesses.
        ([10.0, 15.0], [14.8], [], 17.2),
        ([10.0, 15.0], [14.8], [Contact(2.0, 11.0)], 17.2),
        ([10.0, 15.0], [14.8], [Contact(14.9, 15.3)], 17.2),
        ([10.0, 15.0], [14.8], [Contact(2.0, 11.0), Contact(14.9, 15.3)], 17.2),
        # An outage of this instance alone: the endpoints could renew their entries.
        ([10.0, 15.0], [14.8], [Contact(2.0, 15.1)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(2.0, 12.5)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(12.5, 15.1)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(14.9, 15.3), Contact(2.0, 15.1)], NEVER),
        # Late notice leaves less time: the store may have been reachable since the last failed
        # call.
        ([10.0, 15.0], [13.4], [], 15.9),
        ([10.0, 15.0], [11.0, 13.4, 12.0], [], 15.9),
        # Without a failed call there was no outage: the store may have been reachable all the time.
        ([10.0, 15.0], [], [], NEVER),
        ([10.0, 15.0], [9.0], [], NEVER),
        ([10.0, 15.0, 18.5], [14.8], [], NEVER),
        # Later failures and late answers don't belong to an outage that is over.
        ([10.0, 15.0, 15.2, 15.1], [14.8], [], 17.2),
    ],
)
def test_until_when_a_missing_entry_may_have_lapsed(
    answers: list[float], failed: list[float], witnesses: list[Contact], until: float
) -> None:
    contact = StoreContact(TIMES)
    contact.record_answer(answers[0])
    for at in failed:
        contact.record_failure(at)
    for at in answers[1:]:
        contact.record_answer(at)
    assert contact.may_lapse_until(witnesses) == pytest.approx(until)


def test_calls_that_fail_after_an_outage_do_not_extend_it() -> None:
    contact = StoreContact(TIMES)
    contact.record_answer(10.0)
    contact.record_failure(14.8)
    contact.record_answer(15.0)
    contact.record_failure(16.0)
    contact.record_answer(16.4)
    assert contact.may_lapse_until([]) == pytest.approx(17.2)


# The world. Times are in seconds; the bound and the contact time are those of the smallest
# deployments.

STEP = 0.05
SPAN = 40.0
HEARTBEAT = 1.2
MISSED_HEARTBEATS_TO_LAPSE = 3
BOUND = 2.0
CONTACT = 3.0
RESERVE = 0.5  # Seconds reserved for the interval between checks and for requests under way.
BEAT = 0.5
# Pauses after failed calls: of zone watchers, and the longest one of other instances.
RETRY_PAUSES = (0.25, 1.6)
ZONES = ("a", "b")

KeepUntil = Callable[[StoreContact, list[Contact]], float]


@dataclass
class Entry:
    """An endpoint and its entry in the store."""

    zone: str
    leaves_at: float
    next_heartbeat: float
    written_at: float = 0.0
    present: bool = True
    gone_at: float = float("inf")  # When the store accepted the removal.


@dataclass
class Instance:
    """An instance and the endpoints to which it would send requests."""

    zone: str
    retry: float
    contact: StoreContact
    next_call: float = 0.0
    last_cut_off: float = 0.0  # Last time at which it could not reach the store.
    contacts: dict[int, Contact] = field(default_factory=dict)
    used: set[int] = field(default_factory=set)
    missing: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class Cut:
    """A period without the store, for some instances or for whole zones with their endpoints."""

    begin: float
    end: float
    zones: frozenset[str]
    numbers: frozenset[int]

    def concerns(self, zone: str, number: int, now: float) -> bool:
        return self.begin <= now < self.end and (zone in self.zones or number in self.numbers)


def random_cut(rng: random.Random, wide: bool) -> Cut:
    begin = rng.uniform(3.0, SPAN - 8.0)
    end = begin + rng.uniform(0.5, 7.0)
    zones = frozenset(ZONES if wide else rng.choice((ZONES, "a", "b", "")))
    numbers = rng.sample(range(6), rng.randint(1, 6))
    return Cut(begin, end, zones, frozenset() if zones else frozenset(numbers))


def play(seed: int, keep_until: KeepUntil, leaving: bool = True) -> int:
    """Plays a world; returns how often an instance dropped an endpoint that had not left.

    Fails if an instance that has had contact with the store for long enough still uses an endpoint
    that left. Without `leaving`, no endpoint leaves and every outage affects all zones.
    """
    rng = random.Random(seed)
    times = LapseTimes(3.0, 2.2, CONTACT - RESERVE)
    cuts = [random_cut(rng, wide=not leaving) for _ in range(rng.randint(1, 4))]
    never = float("inf")
    entries = [
        Entry(zone, rng.uniform(5.0, SPAN) if leaving else never, rng.uniform(0.0, HEARTBEAT))
        for zone in ZONES
        for _ in "123"
    ]
    instances = [
        Instance(ZONES[n % 2], rng.choice(RETRY_PAUSES), StoreContact(times)) for n in range(6)
    ]
    dropped = 0

    def cut(zone: str, number: int, now: float) -> bool:
        return any(item.concerns(zone, number, now) for item in cuts)

    def renew(entry: Entry, now: float) -> None:
        reached = not cut(entry.zone, -1, now)
        if now - entry.written_at >= MISSED_HEARTBEATS_TO_LAPSE * HEARTBEAT:
            entry.present = False
        if reached and now >= entry.leaves_at:
            entry.present = False
            entry.gone_at = min(entry.gone_at, now)
        elif now >= entry.next_heartbeat:
            entry.next_heartbeat += HEARTBEAT
            if reached:
                entry.written_at, entry.present = now, True

    def call(instance: Instance, number: int, now: float) -> None:
        if cut(instance.zone, number, now):
            instance.contact.record_failure(now)
            instance.next_call = now + instance.retry
            return
        instance.contact.record_answer(now)
        instance.next_call = now + 0.25
        present = {n for n, entry in enumerate(entries) if entry.present}
        instance.used |= present
        instance.missing = set(range(len(entries))) - present

    def drop_missing(instance: Instance) -> int:
        """Drops the missing endpoints that are not kept; returns how many of these had not left."""
        lost = 0
        for n in sorted(instance.missing & instance.used):
            entry = entries[n]
            witnesses = [
                item for m, item in instance.contacts.items() if instances[m].zone == entry.zone
            ]
            if now >= keep_until(instance.contact, witnesses):
                instance.used.discard(n)
                lost += now < entry.leaves_at
        return lost

    def check(instance: Instance, number: int, now: float) -> None:
        for n in instance.used:
            late = now - entries[n].gone_at
            if now - instance.last_cut_off > CONTACT and late > BOUND:
                raise AssertionError(
                    f"seed {seed}: {number} uses an endpoint that left {late:.2f} s ago"
                )

    now = 0.0
    while now < SPAN:
        now += STEP
        for entry in entries:
            renew(entry, now)
        for number, instance in enumerate(instances):
            if cut(instance.zone, number, now):
                instance.last_cut_off = now
            if now >= instance.next_call:
                call(instance, number, now)
            if rng.random() < STEP / BEAT:
                own_contact = instance.contact.contact()
                for other in instances:
                    if own_contact is not None and other is not instance:
                        other.contacts[number] = own_contact
            dropped += drop_missing(instance)
            check(instance, number, now)
    return dropped


def keep_as_implemented(contact: StoreContact, witnesses: list[Contact]) -> float:
    return contact.may_lapse_until(witnesses)


@pytest.mark.parametrize("seed", range(60))
def test_no_endpoint_that_left_is_used_beyond_the_bound(seed: int) -> None:
    play(seed, keep_as_implemented)


def count_from_first_answer(contact: StoreContact, witnesses: list[Contact]) -> float:
    """Counts from this instance's first answer after the outage, whatever calls failed before."""
    last_contact = contact.contact()
    return last_contact.since + TIMES.return_time if last_contact is not None else NEVER


def keep_forever(contact: StoreContact, witnesses: Iterable[Contact]) -> float:
    """Keeps missing endpoints until the end."""
    return float("inf")


@pytest.mark.parametrize("defect", [count_from_first_answer, keep_forever])
def test_a_planted_defect_is_caught(defect: KeepUntil) -> None:
    with pytest.raises(AssertionError, match="uses an endpoint that left"):
        for seed in range(200):
            play(seed, defect)


def test_lapsed_endpoints_stay_in_use_after_an_outage_of_the_store() -> None:
    """Compares with dropping at once, where lapsed endpoints are unused until they are back."""

    def drop_at_once(contact: StoreContact, witnesses: list[Contact]) -> float:
        return NEVER

    seeds = range(60)
    kept = sum(play(seed, keep_as_implemented, leaving=False) for seed in seeds)
    lost = sum(play(seed, drop_at_once, leaving=False) for seed in seeds)
    assert lost > 0
    assert kept < lost / 2

"""What is missing after an outage is kept while it may have lapsed, and never beyond the bound.

The second half plays a small world with a clock of its own: two availability zones, instances that
lose the store alone, by zone or all together, endpoints that renew their entries, leave, or lapse.
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
        # No outage in which an entry could lapse.
        ([10.0], [], [], NEVER),
        ([10.0, 12.9], [12.0], [], NEVER),
        # An outage that others shared, or of which nobody tells.
        ([10.0, 15.0], [14.8], [], 17.2),
        ([10.0, 15.0], [14.8], [Contact(2.0, 11.0)], 17.2),
        ([10.0, 15.0], [14.8], [Contact(14.9, 15.3)], 17.2),
        ([10.0, 15.0], [14.8], [Contact(2.0, 11.0), Contact(14.9, 15.3)], 17.2),
        # An outage of this instance alone: endpoints could renew their entries.
        ([10.0, 15.0], [14.8], [Contact(2.0, 15.1)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(2.0, 12.5)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(12.5, 15.1)], NEVER),
        ([10.0, 15.0], [14.8], [Contact(14.9, 15.3), Contact(2.0, 15.1)], NEVER),
        # Late notice leaves less time: the way may be back since the last call that failed.
        ([10.0, 15.0], [13.4], [], 15.9),
        ([10.0, 15.0], [11.0, 13.4, 12.0], [], 15.9),
        # Without a failed call there was none: the way may have been there all along.
        ([10.0, 15.0], [], [], NEVER),
        ([10.0, 15.0], [9.0], [], NEVER),
        ([10.0, 15.0, 18.5], [14.8], [], NEVER),
        # What fails later, or comes late, belongs to no outage that is over.
        ([10.0, 15.0, 15.2, 15.1], [14.8], [], 17.2),
    ],
)
def test_how_long_a_missing_entry_may_be_one_that_lapsed(
    answers: list[float], failed: list[float], witnesses: list[Contact], until: float
) -> None:
    contact = StoreContact(TIMES)
    contact.record_answer(answers[0])
    for at in failed:
        contact.record_failure(at)
    for at in answers[1:]:
        contact.record_answer(at)
    assert contact.may_lapse_until(witnesses) == pytest.approx(until)


def test_calls_that_fail_after_an_outage_do_not_lengthen_it() -> None:
    contact = StoreContact(TIMES)
    contact.record_answer(10.0)
    contact.record_failure(14.8)
    contact.record_answer(15.0)
    contact.record_failure(16.0)
    contact.record_answer(16.4)
    assert contact.may_lapse_until([]) == pytest.approx(17.2)


# The world. Times in seconds; the bound and the contact are those of the smallest deployments.

STEP = 0.05
SPAN = 40.0
HEARTBEAT = 1.2
SILENT_BEATS = 3
BOUND = 2.0
CONTACT = 3.0
LATE = 0.5  # Seconds that are left for the look at the clock and for requests under way.
BEAT = 0.5
RETRIES = (0.25, 1.6)  # Pauses after failed calls, of keepers and, at most, of others.
ZONES = ("a", "b")

Kept = Callable[[StoreContact, list[Contact]], float]


@dataclass
class Entry:
    """An endpoint and its entry in the store."""

    zone: str
    leaves: float
    next_beat: float
    written: float = 0.0
    present: bool = True
    gone_at: float = float("inf")  # When the store accepted its leaving.


@dataclass
class Instance:
    """An instance, and which endpoints it would send to."""

    zone: str
    retry: float
    contact: StoreContact
    next_call: float = 0.0
    since_cut: float = 0.0  # Start of the time for which it has had a way to the store.
    told: dict[int, Contact] = field(default_factory=dict)
    uses: set[int] = field(default_factory=set)
    missing: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class Cut:
    """A time without the store for instances by number and, in whole zones, endpoints, too."""

    begin: float
    end: float
    zones: frozenset[str]
    numbers: frozenset[int]

    def concerns(self, zone: str, number: int, now: float) -> bool:
        return self.begin <= now < self.end and (zone in self.zones or number in self.numbers)


def drawn_cut(rng: random.Random, wide: bool) -> Cut:
    begin = rng.uniform(3.0, SPAN - 8.0)
    end = begin + rng.uniform(0.5, 7.0)
    zones = frozenset(ZONES if wide else rng.choice((ZONES, "a", "b", "")))
    some = rng.sample(range(6), rng.randint(1, 6))
    return Cut(begin, end, zones, frozenset() if zones else frozenset(some))


def play(seed: int, kept: Kept, leaving: bool = True) -> int:
    """Plays a world; returns how often an instance dropped an endpoint that had not left.

    Fails when an instance that had a way to the store for long enough uses what left. Without
    `leaving` no endpoint does, and outages are those of all.
    """
    rng = random.Random(seed)
    times = LapseTimes(3.0, 2.2, CONTACT - LATE)
    cuts = [drawn_cut(rng, wide=not leaving) for _ in range(rng.randint(1, 4))]
    never = float("inf")
    entries = [
        Entry(zone, rng.uniform(5.0, SPAN) if leaving else never, rng.uniform(0.0, HEARTBEAT))
        for zone in ZONES
        for _ in "123"
    ]
    instances = [Instance(ZONES[n % 2], rng.choice(RETRIES), StoreContact(times)) for n in range(6)]
    dropped = 0

    def cut(zone: str, number: int, now: float) -> bool:
        return any(found.concerns(zone, number, now) for found in cuts)

    def renew(entry: Entry, now: float) -> None:
        reached = not cut(entry.zone, -1, now)
        if now - entry.written >= SILENT_BEATS * HEARTBEAT:
            entry.present = False
        if reached and now >= entry.leaves:
            entry.present = False
            entry.gone_at = min(entry.gone_at, now)
        elif now >= entry.next_beat:
            entry.next_beat += HEARTBEAT
            if reached:
                entry.written, entry.present = now, True

    def call(instance: Instance, number: int, now: float) -> None:
        if cut(instance.zone, number, now):
            instance.contact.record_failure(now)
            instance.next_call = now + instance.retry
            return
        instance.contact.record_answer(now)
        instance.next_call = now + 0.25
        present = {n for n, entry in enumerate(entries) if entry.present}
        instance.uses |= present
        instance.missing = set(range(len(entries))) - present

    def look(instance: Instance) -> int:
        """Drops what is missing and not kept; returns how many of these had not left."""
        lost = 0
        for n in sorted(instance.missing & instance.uses):
            entry = entries[n]
            witnesses = [
                found for m, found in instance.told.items() if instances[m].zone == entry.zone
            ]
            if now >= kept(instance.contact, witnesses):
                instance.uses.discard(n)
                lost += now < entry.leaves
        return lost

    def check(instance: Instance, number: int, now: float) -> None:
        for n in instance.uses:
            late = now - entries[n].gone_at
            if now - instance.since_cut > CONTACT and late > BOUND:
                raise AssertionError(f"seed {seed}: {number} uses what left {late:.2f} s ago")

    now = 0.0
    while now < SPAN:
        now += STEP
        for entry in entries:
            renew(entry, now)
        for number, instance in enumerate(instances):
            if cut(instance.zone, number, now):
                instance.since_cut = now
            if now >= instance.next_call:
                call(instance, number, now)
            if rng.random() < STEP / BEAT:
                said = instance.contact.contact()
                for other in instances:
                    if said is not None and other is not instance:
                        other.told[number] = said
            dropped += look(instance)
            check(instance, number, now)
    return dropped


def sound(contact: StoreContact, witnesses: list[Contact]) -> float:
    return contact.may_lapse_until(witnesses)


@pytest.mark.parametrize("seed", range(60))
def test_nothing_that_left_is_used_beyond_the_bound(seed: int) -> None:
    play(seed, sound)


def own_notice(contact: StoreContact, witnesses: list[Contact]) -> float:
    """Counts from this instance's own first answer, whatever came before it."""
    known = contact.contact()
    return known.since + TIMES.return_time if known is not None else NEVER


def any_failure(contact: StoreContact, witnesses: Iterable[Contact]) -> float:
    """Keeps what is missing until the end."""
    return float("inf")


@pytest.mark.parametrize("defect", [own_notice, any_failure])
def test_a_planted_defect_is_caught(defect: Kept) -> None:
    with pytest.raises(AssertionError, match="uses what left"):
        for seed in range(200):
            play(seed, defect)


def test_what_lapsed_stays_in_use_where_all_were_without_the_store() -> None:
    """The other side: dropped at once, lapsed endpoints are missing until they are back."""

    def at_once(contact: StoreContact, witnesses: list[Contact]) -> float:
        return NEVER

    seeds = range(60)
    kept = sum(play(seed, sound, leaving=False) for seed in seeds)
    lost = sum(play(seed, at_once, leaving=False) for seed in seeds)
    assert lost > 0
    assert kept < lost / 2

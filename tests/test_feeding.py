"""Changes of the store told by several, late, twice and with gaps: the state is the store's."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wigeonarch_gateway.feeding import MAX_RETAINED_CHANGES, ChangeFeed
from wigeonarch_gateway.ports import Change, StoredObject


def put(name: str, revision: int) -> Change:
    return Change(StoredObject(name, revision, revision), False)


def removed(name: str, revision: int) -> Change:
    return Change(StoredObject(name, revision, None), True)


def feed(as_of: int = 10, **known: int) -> ChangeFeed:
    found = ChangeFeed()
    found.apply_list(
        [StoredObject(name, revision, None) for name, revision in known.items()], as_of
    )
    return found


@pytest.mark.parametrize(
    ("known", "changes", "since", "as_of", "news"),
    [
        ({}, [put("a", 12)], 10, 12, ["a"]),
        ({"a": 9}, [put("a", 9)], 8, 12, []),  # Told again.
        ({}, [put("a", 9)], 8, 12, []),  # Removed before the state was read.
        ({"a": 9}, [removed("a", 9)], 10, 12, ["a"]),
        ({"a": 9}, [removed("a", 11)], 10, 12, ["a"]),
        ({"a": 9}, [removed("a", 5)], 4, 12, []),  # Made anew since.
        ({}, [removed("a", 5)], 4, 12, []),
        ({"a": 9}, [removed("a", 9), put("a", 12)], 10, 12, ["a", "a"]),
        ({}, [put("a", 14)], 12, 14, None),  # What was between 10 and 12 is missing.
    ],
)
def test_what_is_news(
    known: dict[str, int], changes: list[Change], since: int, as_of: int, news: list[str] | None
) -> None:
    fresh = feed(**known).apply_changes(changes, since, as_of)
    assert (None if fresh is None else [change.stored.name for change in fresh]) == news


def test_a_list_that_is_older_than_the_state_does_not_count() -> None:
    found = feed(as_of=10)
    assert found.apply_list([], 9) is None
    assert found.as_of == 10


def listed(**found: int) -> list[StoredObject]:
    return [StoredObject(name, revision, revision) for name, revision in found.items()]


@pytest.mark.parametrize(
    ("known", "found", "changes"),
    [
        ({}, listed(a=12), [put("a", 12)]),
        ({"a": 9}, listed(a=9), []),
        ({"a": 9}, listed(a=12, b=11), [put("a", 12), put("b", 11)]),
        ({"a": 9, "b": 8}, listed(b=8), [removed("a", 14)]),
        ({"a": 9}, listed(b=13), [removed("a", 14), put("b", 13)]),
    ],
)
def test_a_list_is_told_as_what_differs(
    known: dict[str, int], found: list[StoredObject], changes: list[Change]
) -> None:
    teller = feed(**known)
    assert teller.apply_list(found, 14) == changes
    teller.retain(changes)
    # A peer that has the state before it needs no list of its own.
    peer = feed(**known)
    told = teller.changes_after(10)
    assert told is not None
    assert peer.apply_changes(told, 10, 14) == changes
    assert peer.apply_list(found, 14) == []


def test_the_first_list_differs_from_nothing() -> None:
    assert ChangeFeed().apply_list(listed(a=9), 10) == []


def test_who_lacks_more_than_is_kept_must_ask_the_store() -> None:
    found = feed(as_of=10)
    for revision in range(11, 12 + MAX_RETAINED_CHANGES):
        change = put("a", revision)
        assert found.apply_changes([change], revision - 1, revision) == [change]
        found.retain([change])
    assert found.changes_after(10) is None
    after = found.changes_after(11)
    assert after is not None
    assert len(after) == MAX_RETAINED_CHANGES


def test_a_peer_that_has_the_last_change_kept_needs_no_earlier_one() -> None:
    teller, peer = feed(as_of=10), feed(as_of=10)
    for revision, needed in ((12, True), (14, False), (16, True)):
        up_to = teller.retained_up_to()
        fresh = teller.apply_changes([put(f"o{revision}", revision)], revision - 2, revision)
        assert fresh
        if needed:
            teller.retain(fresh)
            assert peer.apply_changes(fresh, up_to, revision) == fresh


def test_nothing_can_be_told_before_the_first_list() -> None:
    assert ChangeFeed().changes_after(0) is None
    assert ChangeFeed().apply_changes([put("a", 2)], 0, 2) is None


@dataclass
class Mirror:
    """A process with a state of its own, and what is on its way to it."""

    feed: ChangeFeed = field(default_factory=ChangeFeed)
    objects: dict[str, int] = field(default_factory=dict)
    coming: list[tuple[list[Change], int, int]] = field(default_factory=list)

    def take(self, changes: list[Change], since: int, as_of: int) -> None:
        fresh = self.feed.apply_changes(changes, since, as_of) or []
        self.feed.retain(fresh)
        for change in fresh:
            if change.deleted:
                self.objects.pop(change.stored.name)
            else:
                self.objects[change.stored.name] = change.stored.revision


class Stored:
    """The store: all changes, by revision."""

    def __init__(self) -> None:
        self.log: list[tuple[int, Change]] = []
        self.objects: dict[str, int] = {}

    @property
    def revision(self) -> int:
        return len(self.log)

    def write(self, name: str) -> None:
        """Makes, changes or removes an object."""
        at = self.revision + 1
        known = self.objects.get(name)
        if known is not None and at % 3 == 0:
            # The event carries the object as it was last.
            self.log.append((at, removed(name, known)))
            del self.objects[name]
            return
        self.log.append((at, put(name, at)))
        self.objects[name] = at

    def state(self, as_of: int) -> dict[str, int]:
        found: dict[str, int] = {}
        for at, change in self.log[:as_of]:
            if change.deleted:
                found.pop(change.stored.name)
            else:
                found[change.stored.name] = at
        return found

    def since(self, revision: int) -> list[Change]:
        return [change for at, change in self.log if at > revision]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "watch", "answer", "push", "deliver", "twice", "lose"]),
        st.integers(0, 2),
        st.integers(0, 7),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_each_state_is_that_of_the_store_at_its_revision(
    steps: list[tuple[str, int, int]],
) -> None:
    store = Stored()
    mirrors = [Mirror(), Mirror(), Mirror()]
    for mirror in mirrors:
        mirror.feed.apply_list([], 0)
    for what, number, pick in steps:
        mirror, other = mirrors[number], mirrors[(number + 1 + pick % 2) % 3]
        since = mirror.feed.as_of
        assert since is not None
        if what == "write":
            store.write("abc"[pick % 3])
        elif what == "watch":
            # The call goes out now; its answer comes in any order with what peers tell.
            mirror.coming.append((store.since(since), since, store.revision))
        elif what in ("answer", "push"):
            # A peer asks with its state, or is told of news after the teller's last one.
            asked = other.feed.as_of if what == "answer" else max(since - 1 - pick % 3, 0)
            assert asked is not None
            changes = mirror.feed.changes_after(asked)
            if changes is not None:
                other.coming.append((changes, asked, max(asked, since)))
        elif mirror.coming:
            told = mirror.coming[pick % len(mirror.coming)]
            if what != "twice":
                mirror.coming.remove(told)
            if what != "lose":
                mirror.take(*told)
        for each in mirrors:
            as_of = each.feed.as_of
            assert as_of is not None
            assert each.objects == store.state(as_of)

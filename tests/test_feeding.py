"""Tests that a feed keeps the store's state although changes come late, twice or with gaps."""

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
    ("known", "changes", "since", "as_of", "fresh_names"),
    [
        ({}, [put("a", 12)], 10, 12, ["a"]),
        ({"a": 9}, [put("a", 9)], 8, 12, []),  # A repeated change.
        ({}, [put("a", 9)], 8, 12, []),  # The object was removed before the state was read.
        ({"a": 9}, [removed("a", 9)], 10, 12, ["a"]),
        ({"a": 9}, [removed("a", 11)], 10, 12, ["a"]),
        ({"a": 9}, [removed("a", 5)], 4, 12, []),  # The object was created again since.
        ({}, [removed("a", 5)], 4, 12, []),
        ({"a": 9}, [removed("a", 9), put("a", 12)], 10, 12, ["a", "a"]),
        ({}, [put("a", 14)], 12, 14, None),  # The changes between 10 and 12 are missing.
    ],
)
def test_only_new_changes_are_returned(
    known: dict[str, int],
    changes: list[Change],
    since: int,
    as_of: int,
    fresh_names: list[str] | None,
) -> None:
    fresh = feed(**known).apply_changes(changes, since, as_of)
    assert (None if fresh is None else [change.stored.name for change in fresh]) == fresh_names


def test_a_list_that_is_older_than_the_state_is_ignored() -> None:
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
def test_a_list_is_passed_on_as_changes(
    known: dict[str, int], found: list[StoredObject], changes: list[Change]
) -> None:
    sender = feed(**known)
    assert sender.apply_list(found, 14) == changes
    sender.retain(changes)
    # A peer with the state before needs no list of its own.
    peer = feed(**known)
    retained = sender.changes_after(10)
    assert retained is not None
    assert peer.apply_changes(retained, 10, 14) == changes
    assert peer.apply_list(found, 14) == []


def test_a_change_that_a_watch_passed_over_reaches_peers_by_the_next_list() -> None:
    sender, peer = feed(as_of=10, a=9), feed(as_of=10, a=9)
    for each in (sender, peer):
        each.apply_changes([], 10, 14)  # The answer lacks the change of revision 12.
    sender.retain(sender.apply_list(listed(a=12), 15) or [])
    retained = sender.changes_after(14)
    assert retained is not None
    assert peer.apply_changes(retained, 14, 15) == [put("a", 12)]


def test_the_first_list_yields_no_changes() -> None:
    assert ChangeFeed().apply_list(listed(a=9), 10) == []


def test_a_peer_that_lacks_more_changes_than_are_retained_must_read_the_store() -> None:
    found = feed(as_of=10)
    for revision in range(11, 12 + MAX_RETAINED_CHANGES):
        change = put("a", revision)
        assert found.apply_changes([change], revision - 1, revision) == [change]
        found.retain([change])
    assert found.changes_after(10) is None
    after = found.changes_after(11)
    assert after is not None
    assert len(after) == MAX_RETAINED_CHANGES


def test_a_peer_with_the_last_retained_change_needs_no_earlier_one() -> None:
    sender, peer = feed(as_of=10), feed(as_of=10)
    for revision, needed in ((12, True), (14, False), (16, True)):
        up_to = sender.retained_up_to()
        fresh = sender.apply_changes([put(f"o{revision}", revision)], revision - 2, revision)
        assert fresh
        if needed:
            sender.retain(fresh)
            assert peer.apply_changes(fresh, up_to, revision) == fresh


def test_a_feed_has_no_changes_before_the_first_list() -> None:
    assert ChangeFeed().changes_after(0) is None
    assert ChangeFeed().apply_changes([put("a", 2)], 0, 2) is None


@dataclass
class Mirror:
    """A process with its own state, and the changes in transit to it."""

    feed: ChangeFeed = field(default_factory=ChangeFeed)
    objects: dict[str, int] = field(default_factory=dict)
    in_transit: list[tuple[list[Change], int, int]] = field(default_factory=list)

    def apply(self, changes: list[Change], since: int, as_of: int) -> None:
        fresh = self.feed.apply_changes(changes, since, as_of) or []
        self.feed.retain(fresh)
        for change in fresh:
            if change.deleted:
                self.objects.pop(change.stored.name)
            else:
                self.objects[change.stored.name] = change.stored.revision


class Stored:
    """The store, with all changes by revision."""

    def __init__(self) -> None:
        self.log: list[tuple[int, Change]] = []
        self.objects: dict[str, int] = {}

    @property
    def revision(self) -> int:
        return len(self.log)

    def write(self, name: str) -> None:
        """Creates, changes or removes an object."""
        at = self.revision + 1
        known = self.objects.get(name)
        if known is not None and at % 3 == 0:
            # The event carries the last state of the object.
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
def test_each_state_equals_that_of_the_store_at_its_revision(
    steps: list[tuple[str, int, int]],
) -> None:
    store = Stored()
    mirrors = [Mirror(), Mirror(), Mirror()]
    for mirror in mirrors:
        mirror.feed.apply_list([], 0)
    for step, number, pick in steps:
        mirror, other = mirrors[number], mirrors[(number + 1 + pick % 2) % 3]
        since = mirror.feed.as_of
        assert since is not None
        if step == "write":
            store.write("abc"[pick % 3])
        elif step == "watch":
            # The call is made now; its answer arrives in any order with the updates of peers.
            mirror.in_transit.append((store.since(since), since, store.revision))
        elif step in ("answer", "push"):
            # A peer requests changes since its state, or gets those after an earlier revision.
            revision = other.feed.as_of if step == "answer" else max(since - 1 - pick % 3, 0)
            assert revision is not None
            changes = mirror.feed.changes_after(revision)
            if changes is not None:
                other.in_transit.append((changes, revision, max(revision, since)))
        elif mirror.in_transit:
            message = mirror.in_transit[pick % len(mirror.in_transit)]
            if step != "twice":
                mirror.in_transit.remove(message)
            if step != "lose":
                mirror.apply(*message)
        for each in mirrors:
            as_of = each.feed.as_of
            assert as_of is not None
            assert each.objects == store.state(as_of)

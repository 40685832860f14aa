"""The platform's list, which instances take turns to read and of which they send updates."""

from __future__ import annotations

import pytest
from wigeonarch_core.listing import Listed, ListUpdate, Presence, Role, SharedList, read_interval

A = Listed("a", "127.0.0.1:1", "zone-a", Role.ENGINE, "drafting")
B = Listed("b", "127.0.0.1:2", "zone-a", Role.ENGINE, "drafting")
B_LEAVES = Listed("b", "127.0.0.1:2", "zone-a", Role.ENGINE, "drafting", Presence.LEAVING)
C = Listed("c", "127.0.0.1:3", "zone-b", Role.SERVICE, "orders")

READ_CASES = [
    # List before, list read now, update for the peers.
    ([A, B], [A, B], None),
    ([A, B], [A, B_LEAVES], ListUpdate("me", (B_LEAVES,), (), 0.1)),
    ([A, B], [A], ListUpdate("me", (), ("b",), 0.1)),
    ([A], [A, C], ListUpdate("me", (C,), (), 0.1)),
    ([A, B], [C], ListUpdate("me", (C,), ("a", "b"), 0.1)),
]


@pytest.mark.parametrize(("before", "now", "update"), READ_CASES)
def test_read_returns_what_has_changed(
    before: list[Listed], now: list[Listed], update: ListUpdate | None
) -> None:
    shared = SharedList()
    assert shared.replace("me", before, 0.1) is None
    assert shared.replace("me", now, 0.1) == update
    peer = SharedList()
    peer.replace("peer", before, 0.1)
    if update is not None:
        assert peer.apply(update)
    assert peer.items == shared.items


UPDATE_CASES = [
    # Whether the list was read before, age of the update, whether the update is used.
    (False, 0.1, False),
    (True, 0.1, True),
    (True, 60.0, False),  # Its sender was frozen between reading and sending.
]


@pytest.mark.parametrize(("read", "age", "used"), UPDATE_CASES)
def test_update_that_was_held_up_is_not_used(read: bool, age: float, used: bool) -> None:
    shared = SharedList()
    if read:
        shared.replace("me", [A], 0.1)
    assert shared.apply(ListUpdate("peer", (C,), (), age)) is used
    assert ("c" in shared.items) is used


@pytest.mark.parametrize(
    ("interval", "peers", "expected"), [(1.0, 0, 1.0), (1.0, 1, 2.0), (2.0, 33, 60.0)]
)
def test_read_interval_grows_with_the_zone(interval: float, peers: int, expected: float) -> None:
    assert read_interval(interval, peers) == expected

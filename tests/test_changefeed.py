"""Reads of the change log while a watch brings more changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import msgspec
import pytest
from wigeonarch_core.changelog import Change, Put
from wigeonarch_core.entries import Adapter, Service, ServiceKind
from wigeonarch_core.records import change_name
from wigeonarch_core.replica import Replica
from wigeonarch_entry.changefeed import ChangeFeed
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import Found, Missing, Page, PlatformClient


def change(number: int) -> Change:
    if number == 1:
        return Change("op-1", Put(Service("drafting", ServiceKind.MODEL, "base"), 0))
    return Change(f"op-{number}", Put(Adapter("drafting", f"a{number}"), 0))


class StubPlatform:
    """A log of `length` changes, with a callback that runs while a page of it is being fetched."""

    def __init__(self, length: int, meanwhile: Callable[[], None]) -> None:
        self._length = length
        self._meanwhile = meanwhile

    async def list(self, _kind: str, after: str = "", _limit: int = 500) -> Page:
        names = [change_name(number) for number in range(1, self._length + 1)]
        items = tuple(
            Found(name, int(name), msgspec.to_builtins(change(int(name))))
            for name in names
            if name > after
        )
        self._meanwhile()
        return Page(items, self._length, False)

    async def get(self, _kind: str, _name: str) -> Missing:
        return Missing()


@pytest.mark.parametrize(
    ("applied", "listed", "watched", "rolled_back"),
    [
        (3, 3, 0, False),
        (3, 3, 1, False),  # The watch is one change ahead of the read, then several.
        (3, 3, 4, False),
        (3, 5, 2, False),
        (3, 2, 0, True),
        (3, 2, 1, True),
    ],
)
async def test_log_is_compared_with_the_replica_as_it_was_when_the_read_began(
    applied: int, listed: int, watched: int, rolled_back: bool
) -> None:
    replica = Replica()

    def deliver_watched() -> None:
        for number in range(applied + 1, applied + watched + 1):
            feed.add(number, change(number))

    stub = StubPlatform(listed, deliver_watched)
    feed = ChangeFeed(cast(PlatformClient, stub), replica, 1.0, lambda: False, Metrics())
    for number in range(1, applied + 1):
        feed.add(number, change(number))
    await feed.catch_up()
    assert replica.rolled_back is rolled_back
    assert replica.catalogue.applied == max(applied + watched, 0 if rolled_back else listed)

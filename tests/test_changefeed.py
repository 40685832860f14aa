"""A reading of the log while a watch brings more of it."""

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
    """A log of `length` changes; something happens while a page of it is on its way."""

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
    ("known", "listed", "brought", "back"),
    [
        (3, 3, 0, False),
        (3, 3, 1, False),  # The watch is ahead of the reading by one, and by several.
        (3, 3, 4, False),
        (3, 5, 2, False),
        (3, 2, 0, True),
        (3, 2, 1, True),
    ],
)
async def test_a_reading_is_compared_with_what_it_began_from(
    known: int, listed: int, brought: int, back: bool
) -> None:
    replica = Replica()

    def bring() -> None:
        for number in range(known + 1, known + brought + 1):
            feed.add(number, change(number))

    stub = StubPlatform(listed, bring)
    feed = ChangeFeed(cast(PlatformClient, stub), replica, 1.0, lambda: False, Metrics())
    for number in range(1, known + 1):
        feed.add(number, change(number))
    await feed.catch_up()
    assert replica.rolled_back is back
    assert replica.catalogue.applied == max(known + brought, 0 if back else listed)

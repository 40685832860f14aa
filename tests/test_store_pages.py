"""A list of several pages, between which objects change, is as of one revision."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
from standins.store import StoreStandIn
from wigeonarch_gateway.ports import Listing, ObjectKind
from wigeonarch_platform.store import Store

KIND = ObjectKind.ENDPOINTS
NAME = "servers"


def put(name: str) -> Callable[[StoreStandIn], Awaitable[object]]:
    return lambda store: store.put(NAME, name, {"changed": True})


def delete(name: str) -> Callable[[StoreStandIn], Awaitable[object]]:
    return lambda store: store.delete(NAME, name)


@pytest.mark.parametrize(
    "change",
    [put("a"), put("c"), put("aa"), put("d"), delete("a"), delete("c")],
    ids=["put-a", "put-c", "put-aa", "put-d", "delete-a", "delete-c"],
)
async def test_a_change_between_two_pages_of_a_list_is_not_lost(
    change: Callable[[StoreStandIn], Awaitable[object]],
) -> None:
    standin = StoreStandIn()
    await standin.start()
    store = Store(standin.address)
    try:
        for name in ("a", "b", "c"):
            await standin.put(NAME, name, {})
        standin.page_size = 2

        async def change_once() -> None:
            standin.page_size = 500
            await change(standin)

        standin.after_page = change_once
        listing = await store.list(KIND)
        assert isinstance(listing, Listing)
        state = {found.name: found.revision for found in listing.objects}
        stored = {
            name: found["metadata"]["revision"] for (_, name), found in standin.objects.items()
        }
        assert state == stored
        assert listing.as_of == standin.revision
    finally:
        await store.close()
        await standin.stop()

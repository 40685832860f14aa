"""What a lease keeps for the instances that come after is written at once, and survives a start."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from gateway_world import HOLDING, until
from standins.store import StoreStandIn
from wigeonarch_gateway.leasing import CrashMemory, Identity, OwnLease
from wigeonarch_gateway.suspects import CrashesByContent
from wigeonarch_platform.store import Store

KEPT: CrashesByContent = [("x", ["e1@1", "e2@1"])]


@dataclass
class Kept:
    """What should be kept, and what was read."""

    notable: CrashesByContent = field(default_factory=list)
    read: CrashesByContent = field(default_factory=list)


@asynccontextmanager
async def leasing(
    store: StoreStandIn, kept: Kept, incarnation: str, needed: bool
) -> AsyncIterator[OwnLease]:
    client = Store(store.address)
    found = OwnLease(
        client,
        HOLDING,
        Identity("edge-0", incarnation, "127.0.0.1:1", "a"),
        lambda plea: None,
        lambda: ["edge-1"],
        lambda: needed,
        _never_seen,
        CrashMemory(lambda: kept.notable, kept.read.extend),
    )
    task = asyncio.create_task(found.keep_renewed())
    try:
        yield found
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await client.close()


async def _never_seen() -> int:
    return 0


def in_store(store: StoreStandIn) -> CrashesByContent:
    found = store.objects.get(("wigeonarch-leases", "edge-0"))
    if found is None:
        return []
    return [(content, list(ends)) for content, ends in found["spec"]["ended_under"]]


@pytest.mark.parametrize("needed", [True, False])
async def test_what_is_new_is_written_at_once_also_by_an_instance_that_rests(needed: bool) -> None:
    store, kept = StoreStandIn(), Kept()
    await store.start()
    async with leasing(store, kept, "first", needed) as found:

        async def written() -> bool:
            return ("wigeonarch-leases", "edge-0") in store.objects

        await until(written)
        kept.notable = KEPT
        found.renew_soon()

        async def stored() -> bool:
            return in_store(store) == KEPT

        await until(stored)
    await store.stop()


async def test_the_next_incarnation_reads_it_before_it_writes() -> None:
    store, kept, after = StoreStandIn(), Kept(KEPT), Kept()
    await store.start()
    async with leasing(store, kept, "first", True):

        async def stored() -> bool:
            return in_store(store) == KEPT

        await until(stored)
    async with leasing(store, after, "second", True):

        async def read() -> bool:
            return after.read == KEPT

        await until(read)
    await store.stop()

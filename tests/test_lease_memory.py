"""Tests that crashes are stored in the lease at once, and restored by the next incarnation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from gateway_world import HOLDING, until
from standins.store import StoreStandIn
from wigeonarch_gateway.leasing import CrashMemory, Identity, OwnLease
from wigeonarch_gateway.suspect_parts import CrashesByPart
from wigeonarch_gateway.suspects import CrashesByContent
from wigeonarch_platform.store import Store

CRASHES: CrashesByContent = [("x", ["e1@1", "e2@1"])]
PART_CRASHES: CrashesByPart = [("5c", "v1", ["e1@1", "e2@1"])]


@dataclass
class Memory:
    """The crashes to store, and those that were restored."""

    crashes: CrashesByContent = field(default_factory=list)
    restored: CrashesByContent = field(default_factory=list)
    parts: CrashesByPart = field(default_factory=list)
    restored_parts: CrashesByPart = field(default_factory=list)


@asynccontextmanager
async def keep_lease(
    store: StoreStandIn, memory: Memory, incarnation: str, needed: bool
) -> AsyncIterator[OwnLease]:
    client = Store(store.address)
    found = OwnLease(
        client,
        HOLDING,
        Identity("edge-0", incarnation, "127.0.0.1:1", "a"),
        lambda request: None,
        lambda: ["edge-1"],
        lambda: needed,
        _no_listed_lease,
        CrashMemory(
            lambda: memory.crashes,
            memory.restored.extend,
            lambda: memory.parts,
            memory.restored_parts.extend,
        ),
    )
    task = asyncio.create_task(found.keep_renewed())
    try:
        yield found
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await client.close()


async def _no_listed_lease() -> None:
    return None


def stored_crashes(store: StoreStandIn) -> CrashesByContent:
    found = store.objects.get(("wigeonarch-leases", "edge-0"))
    if found is None:
        return []
    return [(content, list(ends)) for content, ends in found["spec"]["ended_under"]]


@pytest.mark.parametrize("needed", [True, False])
async def test_new_crashes_are_stored_at_once_also_by_an_idle_instance(needed: bool) -> None:
    store, memory = StoreStandIn(), Memory()
    await store.start()
    async with keep_lease(store, memory, "first", needed) as found:

        async def written() -> bool:
            return ("wigeonarch-leases", "edge-0") in store.objects

        await until(written)
        memory.crashes = CRASHES
        found.renew_soon()

        async def stored() -> bool:
            return stored_crashes(store) == CRASHES

        await until(stored)
    await store.stop()


async def test_the_next_incarnation_restores_them_before_it_writes() -> None:
    store, memory, next_memory = StoreStandIn(), Memory(CRASHES, parts=PART_CRASHES), Memory()
    await store.start()
    async with keep_lease(store, memory, "first", True):

        async def stored() -> bool:
            return stored_crashes(store) == CRASHES

        await until(stored)
    async with keep_lease(store, next_memory, "second", True):

        async def restored() -> bool:
            return next_memory.restored == CRASHES and next_memory.restored_parts == PART_CRASHES

        await until(restored)
    await store.stop()

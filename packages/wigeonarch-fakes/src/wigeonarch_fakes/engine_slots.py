"""Adapter slots of the engine stand-in.

An adapter is loaded from the weight store, or, without a weight store, in a fixed time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import aiohttp

from wigeonarch_fakes.engine_documents import Faults, LoadRecord, Settings

READ_CHUNK_BYTES: Final = 64 * 1024


class Slot:
    """One occupied adapter slot; ``loading`` is the load task until the adapter is ready."""

    __slots__ = ("adapter", "loading", "version")

    def __init__(self, adapter: str, version: str) -> None:
        self.adapter = adapter
        self.version = version
        self.loading: asyncio.Task[str] | None = None


class Slots:
    """The occupied slots, by adapter and version."""

    def __init__(
        self,
        settings: Settings,
        faults: Callable[[], Faults],
        loads: list[LoadRecord],
        now_ms: Callable[[], float],
    ) -> None:
        self.occupied: dict[tuple[str, str], Slot] = {}
        self._settings = settings
        self._faults = faults
        self._loads = loads
        self._now_ms = now_ms
        self._tasks: set[asyncio.Task[Any]] = set()

    def clear(self) -> None:
        """Empty all slots and cancel the loads in progress."""
        for slot in self.occupied.values():
            if slot.loading is not None:
                slot.loading.cancel()
        self.occupied.clear()

    def free(self, adapter: str, version: str) -> Slot | None:
        """Empty the slot of an adapter, if it has one, and cancel its load; return the slot."""
        slot = self.occupied.pop((adapter, version), None)
        if slot is not None and slot.loading is not None:
            slot.loading.cancel()
        return slot

    async def load(self, adapter: str, version: str) -> str:
        """Load an adapter; return ``loaded``, ``no_slot`` or ``load_failed``."""
        slot = self.occupied.get((adapter, version))
        if slot is None:
            if len(self.occupied) >= self._settings.slots:
                return "no_slot"
            slot = self.occupied[adapter, version] = Slot(adapter, version)
            slot.loading = asyncio.create_task(self._load(slot))
            self._tasks.add(slot.loading)
            slot.loading.add_done_callback(self._tasks.discard)
        task = slot.loading
        if task is None:
            return "loaded"
        await asyncio.wait({task})
        return "load_failed" if task.cancelled() else task.result()

    async def _load(self, slot: Slot) -> str:
        started = self._now_ms()
        outcome = "dropped"
        try:
            is_loaded = await self._load_weights(slot)
            outcome = "loaded" if is_loaded else "failed"
        finally:
            took = self._now_ms() - started
            self._loads.append(LoadRecord(slot.adapter, slot.version, started, took, outcome))
            if outcome == "failed":
                self.occupied.pop((slot.adapter, slot.version), None)
        if is_loaded:
            slot.loading = None
        return "loaded" if is_loaded else "load_failed"

    async def _load_weights(self, slot: Slot) -> bool:
        faults = self._faults()
        is_failing = faults.fail_loads > 0
        if is_failing:
            faults.fail_loads -= 1
        if self._settings.weight_store:
            return await self._download(slot, is_failing)
        await asyncio.sleep(self._settings.load_ms / 1000 / (2 if is_failing else 1))
        return not is_failing

    async def _download(self, slot: Slot, is_failing: bool) -> bool:
        size = self._settings.weight_bytes
        path = f"/v1/weights/{slot.adapter}/{slot.version}?bytes={size}"
        url = f"http://{self._settings.weight_store}{path}"
        read_limit = size // 2 if is_failing else size
        received = 0
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                if response.status != 200:
                    return False
                async for data in response.content.iter_chunked(READ_CHUNK_BYTES):
                    received += len(data)
                    if received >= read_limit:
                        break
        except (aiohttp.ClientError, OSError):
            return False
        return received >= size and not is_failing

    def is_loaded(self, adapter: str, version: str) -> bool:
        """Return whether an adapter version is loaded and ready."""
        slot = self.occupied.get((adapter, version))
        return slot is not None and slot.loading is None

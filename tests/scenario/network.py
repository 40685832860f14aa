"""The links of a case: TCP relays in front of programs, in an event loop of a separate thread."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from wigeonarch_fakes.link import Link, Mode

T = TypeVar("T")
# Longest wait for a call in the event loop, in seconds.
MAX_WAIT: Final = 30.0


class LoopThread:
    """An event loop that runs in its own thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine in the loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(MAX_WAIT)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a coroutine in the loop without waiting for it."""
        asyncio.run_coroutine_threadsafe(work, self._loop)

    def close(self) -> None:
        """Cancels all tasks, then stops the loop and its thread."""
        self.run(_cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(MAX_WAIT)
        self._loop.close()


async def _cancel_all() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


class Network:
    """The links in front of programs, by the program's name.

    A link distinguishes its callers by the IP that they connect from; each entry instance has its
    own.
    """

    def __init__(self, loop: LoopThread) -> None:
        self._loop = loop
        self._links: dict[str, Link] = {}

    def link(self, name: str, target: str) -> str:
        """Starts a link in front of a program; returns the link's address."""
        link = Link(target)
        self._loop.run(link.start())
        self._links[name] = link
        return link.address

    def set(self, name: str, mode: Mode, sources: list[str]) -> None:
        """Sets the mode of a link for callers from these IPs; for all callers if there are none."""
        for source in sources or [""]:
            self._loop.run(self._links[name].set_mode(mode, source))

    def delay(self, name: str, delay_ms: float) -> None:
        """Delays the bytes of a link in each direction."""
        self._loop.run(self._links[name].set_delay(delay_ms))

    def close(self) -> None:
        """Stops all links."""
        for link in self._links.values():
            self._loop.run(link.stop())

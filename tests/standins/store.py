"""A stand-in of the platform's object store: revisions, conditional writes, watches and faults."""

from __future__ import annotations

import asyncio
import enum
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

SHUTDOWN_TIMEOUT = 0.1  # Seconds that `stop` waits for calls in progress.


async def _do_nothing() -> None:
    pass


class StoreFault(enum.Enum):
    """How the store fails calls."""

    NONE = "none"
    BUSY = "busy"  # Responds with 503 and does nothing.
    RATE_LIMITED = "many"  # Responds with 429 and does nothing.
    SILENT = "silent"  # Sends no response and does nothing.
    RESPONSE_LOST = "lost"  # Executes writes without a response.
    RESET = "reset"


@dataclass(frozen=True)
class _State:
    """The objects by kind and name after a change; the time is monotonic, in seconds."""

    at: float
    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class StoreStandIn:
    """The store.

    Attributes:
        fault: How calls fail: those of `faulty_callers`, or all calls if that is empty.
        faulty_callers: IP addresses of the callers whose calls fail.
        oldest_watch_revision: Oldest revision from which a watch may continue.
        calls: Method, kind and status of each call.
        body_replacements: Byte strings replaced in each response's body, with their replacements.
        page_size: Objects in one page of a list.
        after_page: Called after a page that others follow.
        stale_lags: Seconds by which lists of a kind are old whose callers accept that.
        era: Number of times that an older copy was restored; None if responses name no era.
        revision: Revision of the last change.
        objects: Stored documents by kind and name.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.faulty_callers: set[str] = set()
        self.oldest_watch_revision = 0
        self.calls: list[tuple[str, str, int]] = []
        self.body_replacements: dict[bytes, bytes] = {}
        self.page_size = 500
        self.after_page: Callable[[], Awaitable[None]] = _do_nothing
        self.stale_lags: dict[str, float] = {}
        self.era: int | None = 0
        self.revision = 1
        self._saved_copy: tuple[int, dict[tuple[str, str], dict[str, Any]]] = (1, {})
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._states: list[_State] = []  # After each change, the oldest first.
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen."""
        server = web.Server(self._handle)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        sockname = self._runner.addresses[0]
        self.address = f"{sockname[0]}:{sockname[1]}"

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object like the operator or an endpoint; returns the store's revision."""
        async with self._changed:
            self._write(kind, name, spec)
            self._changed.notify_all()
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        async with self._changed:
            self._remove(kind, name)
            self._changed.notify_all()

    async def compact_history(self) -> None:
        """Drops all events, so that watches have to start again with a list."""
        async with self._changed:
            self._events.clear()
            self.oldest_watch_revision = self.revision + 1
            self.revision += 1
            self._changed.notify_all()

    def take_copy(self) -> None:
        """Copies all objects for a later `restore_copy`."""
        self._saved_copy = self.revision, dict(self.objects)

    async def restore_copy(self) -> None:
        """Restores the copy: a new era begins, in which later revisions are assigned again."""
        async with self._changed:
            assert self.era is not None
            self.era += 1
            self.revision, self.objects = self._saved_copy[0], dict(self._saved_copy[1])
            self._events = [event for event in self._events if event[0] <= self.revision]
            self._changed.notify_all()

    def spec(self, kind: str, name: str) -> Any:
        """Returns the content of an object."""
        return self.objects[kind, name]["spec"]

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        before = self.objects.get((kind, name))
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind, name] = stored
        self._events.append((self.revision, kind, stored, False))
        self._note_state()
        return stored

    def _remove(self, kind: str, name: str) -> None:
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._events.append((self.revision, kind, stored, True))
            self._note_state()

    def _note_state(self) -> None:
        self._states.append(_State(time.monotonic(), self.revision, dict(self.objects)))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        _, _, path = request.path.partition("/wigeonarch/objects/")
        kind, _, name = path.partition("/")
        fault = self.fault
        if self.faulty_callers and request.remote not in self.faulty_callers:
            fault = StoreFault.NONE
        if fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        if fault is StoreFault.RESET and request.transport is not None:
            request.transport.abort()
        if fault in (StoreFault.BUSY, StoreFault.RATE_LIMITED):
            status = 503 if fault is StoreFault.BUSY else 429
            self.calls.append((request.method, kind, status))
            return web.Response(status=status, headers={"Store-Era": str(self.era or 0)})
        status, document = await self._execute(request, kind, name)
        self.calls.append((request.method, kind, status))
        if fault is StoreFault.RESPONSE_LOST and request.method != "GET":
            await asyncio.sleep(3600)
        body = json.dumps(document).encode()
        for good, bad in self.body_replacements.items():
            body = body.replace(good, bad)
        headers = {} if self.era is None else {"Store-Era": str(self.era)}
        return web.Response(
            body=body, status=status, content_type="application/json", headers=headers
        )

    async def _execute(self, request: web.BaseRequest, kind: str, name: str) -> tuple[int, Any]:
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request)
        if request.method == "GET" and not name:
            lag = self.stale_lags.get(kind, 0.0) if "stale_ok" in request.query else 0.0
            state = self._state_before(time.monotonic() - lag)
            return 200, await self._list(kind, request.query.get("after", ""), state)
        if request.method == "GET":
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if request.method == "DELETE":
            await self.delete(kind, name)
            return 200, {}
        return await self._handle_write(request, kind, name)

    def _state_before(self, at: float) -> _State:
        """Returns the state at a time; the present one if nothing has changed since."""
        earlier = [state for state in self._states if state.at <= at]
        is_present = earlier == self._states
        if is_present or not earlier:
            return _State(at, self.revision, self.objects)
        return earlier[-1]

    async def _list(self, kind: str, after: str, state: _State) -> Any:
        names = sorted(n for k, n in state.objects if k == kind and n > after)
        items = [state.objects[kind, name] for name in names[: self.page_size]]
        page = {
            "items": items,
            "truncated": len(items) < len(names),
            "as_of": state.revision,
        }
        if page["truncated"]:
            await self.after_page()
        return page

    async def _handle_write(
        self, request: web.BaseRequest, kind: str, name: str
    ) -> tuple[int, Any]:
        body = json.loads(await request.read())
        name = name or body["metadata"]["name"]
        async with self._changed:
            stored = self.objects.get((kind, name))
            if request.method == "POST" and stored is not None:
                return 409, stored
            if request.method == "PUT":
                if stored is None:
                    return 404, {}
                revision = body["metadata"].get("revision")
                if revision is not None and revision != stored["metadata"]["revision"]:
                    return 409, stored
            written = self._write(kind, name, body["spec"])
            self._changed.notify_all()
        return 200, written

    async def _watch(self, kind: str, request: web.BaseRequest) -> tuple[int, Any]:
        since = int(request.query["watch"])
        era = self.era
        wait = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: self._events_after(kind, since)
                    or self._is_unwatchable(since)
                    or self.era != era
                )
        except TimeoutError:
            pass
        if self._is_unwatchable(since) or self.era != era:
            return 410, {}
        events = [
            {"object": o, "deleted": d} for _, k, o, d in self._events_after(kind, since) if k
        ]
        return 200, {"events": events, "as_of": self.revision}

    def _is_unwatchable(self, since: int) -> bool:
        return since < self.oldest_watch_revision or since > self.revision

    def _events_after(self, kind: str, since: int) -> list[tuple[int, str, dict[str, Any], bool]]:
        return [event for event in self._events if event[0] > since and event[1] == kind]

"""Stand-in for the platform: the object store with watches, and the lagging instance list.

Faults (``POST /_control/faults``, merged into the current ones; null or 0 clears a fault):

* ``down``: all calls are answered with 503, and open watches are ended.
* ``swallow``: calls are accepted but neither executed nor answered; open watches stay open and
  send nothing.
* ``delay_ms``: each call is handled only after this delay.
* ``lose_answers``: the next N writes take effect, but their connections are closed without a
  response.
* ``mute_watches``: the watches open now send nothing more; watches opened later work.
* ``list_lag_s``: lag of the instance list, in seconds.
* ``freeze_list``: the instance list stays as it is.
* ``blocked_callers``: values of the headers ``X-Instance`` or ``X-Zone``; connections of these
  callers are closed.
* ``writes_per_s``, ``reads_per_s``: rate limits, 0 for none; the burst is the limit of one second.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving
from wigeonarch_fakes.platform_instances import Instance, InstanceList
from wigeonarch_fakes.platform_objects import Change, Conflict, ObjectStore, Watch

BOOKMARK_INTERVAL_S: Final = 0.5
MAX_HISTORY: Final = 100_000
MAX_VALUE_BYTES: Final = 1024 * 1024
DEFAULT_PAGE_SIZE: Final = 500
WRITE_METHODS: Final = frozenset({"PUT", "DELETE"})
ANY_VERSION: Final = "*"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; see the module docstring."""

    down: bool | int = False
    swallow: bool | int = False
    delay_ms: float = 0
    lose_answers: int = 0
    mute_watches: bool | int = False
    list_lag_s: float = 0
    freeze_list: bool | int = False
    blocked_callers: list[str] | int = 0
    writes_per_s: float = 0
    reads_per_s: float = 0


class CallCounts:
    """Number of calls by method and kind, and the highest number in one second."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.peak_per_s = 0
        self._second = 0
        self._in_second = 0

    def add(self, key: str) -> None:
        """Count one call."""
        self.calls[key] += 1
        second = int(time.monotonic())
        self._in_second = self._in_second + 1 if second == self._second else 1
        self._second = second
        self.peak_per_s = max(self.peak_per_s, self._in_second)


def expected_version(request: web.Request) -> int | None:
    """Return the version that a conditional write expects; None if it has no condition."""
    if request.headers.get("If-None-Match") == ANY_VERSION:
        return 0
    tag = request.headers.get("If-Match")
    return None if tag is None else int(tag.strip().strip('"'))


def call_key(request: web.Request) -> str:
    """Return the method and kind of a call as a key of the call counts."""
    parts = request.path.split("/")
    family = parts[2] if len(parts) > 2 else ""
    if family == "watch":
        return f"WATCH {request.match_info.get('kind', '')}"
    return f"{request.method} {request.match_info.get('kind', family)}"


class Platform:
    """State and HTTP handlers of the platform."""

    def __init__(self, history: int = MAX_HISTORY) -> None:
        self.faults = Faults()
        self.objects = ObjectStore(history)
        self.instances = InstanceList()
        self.counts = CallCounts()
        self._frozen_list: list[Instance] | None = None
        self._buckets = {True: serving.TokenBucket(0), False: serving.TokenBucket(0)}

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            middlewares=[serving.refuse_malformed, self._apply_request_faults],
            client_max_size=serving.MAX_BODY_BYTES,
        )
        app.add_routes(
            [
                web.get("/v1/objects/{kind}", self._list),
                web.get("/v1/objects/{kind}/{name}", self._get),
                web.put("/v1/objects/{kind}/{name}", self._put),
                web.delete("/v1/objects/{kind}/{name}", self._delete),
                web.get("/v1/watch/{kind}", self._watch),
                web.get("/v1/instances", self._list_instances),
                web.put("/v1/instances/{name}", self._put_instance),
                web.delete("/v1/instances/{name}", self._delete_instance),
                web.post("/_control/faults", self._set_faults),
                web.get("/_control/record", self._record),
            ]
        )
        return app

    def apply_faults(self, change: bytes) -> None:
        """Merge a JSON document into the active faults."""
        before = self.faults
        self.faults = faults = serving.merge_document(before, change)
        if faults.mute_watches and not before.mute_watches:
            for watch in self._open_watches():
                watch.muted = True
        if (faults.writes_per_s, faults.reads_per_s) != (before.writes_per_s, before.reads_per_s):
            self._buckets = {
                True: serving.TokenBucket(faults.writes_per_s),
                False: serving.TokenBucket(faults.reads_per_s),
            }
        if faults.freeze_list and self._frozen_list is None:
            self._frozen_list = self.instances.lagging_list(before.list_lag_s)
        if not faults.freeze_list:
            self._frozen_list = None
        for watch in self._open_watches():
            watch.wake.set()

    def _open_watches(self) -> list[Watch]:
        return [watch for group in self.objects.watches.values() for watch in group]

    def _is_blocked(self, request: web.Request) -> bool:
        blocked = self.faults.blocked_callers
        if not isinstance(blocked, list):
            return False
        headers = request.headers
        return headers.get("X-Instance") in blocked or headers.get("X-Zone") in blocked

    @web.middleware
    async def _apply_request_faults(
        self, request: web.Request, handler: serving.Handler
    ) -> web.StreamResponse:
        if serving.is_control(request):
            return await handler(request)
        if self._is_blocked(request):
            self.counts.refused["blocked"] += 1
            return serving.drop_connection(request)
        self.counts.add(call_key(request))
        if self.faults.swallow:
            self.counts.refused["swallowed"] += 1
            return await serving.never_answer(request)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return self._refusal(request) or await self._run_handler(request, handler)

    def _refusal(self, request: web.Request) -> web.Response | None:
        if self.faults.down:
            self.counts.refused["unavailable"] += 1
            return serving.error_response(503, "unavailable", retry_after_s=1)
        wait_s = self._buckets[request.method in WRITE_METHODS].take()
        if wait_s > 0:
            self.counts.refused["rate_limited"] += 1
            return serving.error_response(429, "rate_limited", retry_after_s=round(wait_s, 3))
        return None

    async def _run_handler(
        self, request: web.Request, handler: serving.Handler
    ) -> web.StreamResponse:
        response = await handler(request)
        is_successful_write = request.method in WRITE_METHODS and response.status == 200
        if is_successful_write and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.counts.refused["answer_lost"] += 1
            return serving.drop_connection(request)
        return response

    async def _get(self, request: web.Request) -> web.Response:
        item = self.objects.get(request.match_info["kind"], request.match_info["name"])
        if item is None:
            return serving.error_response(404, "not_found")
        return serving.json_response(item)

    async def _list(self, request: web.Request) -> web.Response:
        limit = max(1, int(request.query.get("limit", DEFAULT_PAGE_SIZE)))
        after = request.query.get("after", "")
        items, has_more = self.objects.page(request.match_info["kind"], after, limit)
        document = {"items": items, "revision": self.objects.revision, "more": has_more}
        return serving.json_response(document)

    async def _put(self, request: web.Request) -> web.Response:
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return serving.error_response(413, "too_large")
        msgspec.json.decode(value)
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self._write(request, lambda version: self.objects.put(kind, name, version, value))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self._write(request, lambda version: self.objects.delete(kind, name, version))

    def _write(self, request: web.Request, write: Callable[[int], int]) -> web.Response:
        expected = expected_version(request)
        if expected is None:
            return serving.error_response(400, "bad_request", "a write needs a condition")
        try:
            return serving.json_response({"version": write(expected)})
        except Conflict as conflict:
            return serving.error_response(412, "conflict", str(conflict), version=conflict.version)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["kind"]
        since = int(request.query.get("since", "0"))
        if since < self.objects.compacted:
            return serving.error_response(410, "compacted")
        watch = Watch(self.objects.changes_since(kind, since))
        group = self.objects.watches.setdefault(kind, set())
        group.add(watch)
        try:
            response = await serving.open_stream(request, "application/x-ndjson")
            await self._send_changes(request, response, watch)
        except ConnectionError:
            return serving.drop_connection(request)
        finally:
            group.discard(watch)
        return serving.drop_connection(request)

    async def _send_changes(
        self, request: web.Request, response: web.StreamResponse, watch: Watch
    ) -> None:
        bookmark_at = 0.0
        while not (
            serving.is_disconnected(request) or self.faults.down or self._is_blocked(request)
        ):
            if not (watch.muted or self.faults.swallow):
                lines = list(watch.pending)
                watch.pending.clear()
                if time.monotonic() >= bookmark_at:
                    lines.append(Change("bookmark", self.objects.revision))
                    bookmark_at = time.monotonic() + BOOKMARK_INTERVAL_S
                if lines:
                    await response.write(msgspec.json.Encoder().encode_lines(lines))
            wait_s = bookmark_at - time.monotonic()
            await _wait_for(watch.wake, wait_s if wait_s > 0 else BOOKMARK_INTERVAL_S)

    async def _list_instances(self, request: web.Request) -> web.Response:
        items = self._frozen_list
        if items is None:
            items = self.instances.lagging_list(self.faults.list_lag_s)
        return serving.json_response({"items": items})

    async def _put_instance(self, request: web.Request) -> web.Response:
        instance = msgspec.json.decode(await request.read(), type=Instance)
        instance.name = request.match_info["name"]
        self.instances.set(instance.name, instance)
        return serving.json_response({})

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self.instances.set(request.match_info["name"], None)
        return serving.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.apply_faults(await request.read())
        return serving.json_response(self.faults)

    async def _record(self, request: web.Request) -> web.Response:
        return serving.json_response(self.record())

    def record(self) -> dict[str, Any]:
        """Return the calls received and the objects and instances stored."""
        return {
            "calls": dict(self.counts.calls),
            "refused": dict(self.counts.refused),
            "peak_calls_per_s": self.counts.peak_per_s,
            "waiting_watches": len(self._open_watches()),
            "revision": self.objects.revision,
            "objects": {kind: list(items.values()) for kind, items in self.objects.kinds.items()},
            "instances": list(self.instances.current.values()),
        }


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
    event.clear()


class RunningPlatform:
    """A running platform with its HTTP server."""

    __slots__ = ("_server", "address", "platform")

    def __init__(self, platform: Platform, server: serving.Server) -> None:
        self.platform = platform
        self.address = server.address
        self._server = server

    async def stop(self) -> None:
        """Stop the HTTP server."""
        await self._server.stop()


async def start_platform(
    port: int = 0, *, history: int = MAX_HISTORY, list_lag_s: float = 0
) -> RunningPlatform:
    """Start a platform on a loopback port."""
    platform = Platform(history)
    platform.faults.list_lag_s = list_lag_s
    return RunningPlatform(platform, await serving.start_app(platform.app(), port))


def main() -> None:
    """Run the platform as a program."""
    parser = serving.common_parser("stand-in for the platform")
    parser.add_argument("--history", type=int, default=MAX_HISTORY)
    parser.add_argument("--list-lag-s", type=float, default=0)
    args = parser.parse_args()
    serving.run_main(
        lambda: start_platform(args.port, history=args.history, list_lag_s=args.list_lag_s)
    )


if __name__ == "__main__":
    main()

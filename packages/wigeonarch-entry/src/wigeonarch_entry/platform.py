"""Client of the platform's object API; the only module that knows its protocol.

Each call returns one of several result classes. `Unavailable` says whether the call may have taken
effect, so that a writer knows when it must read the object back. After a failure the client goes on
to the next of the platform's addresses.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import msgspec
from wigeonarch_core.addresses import is_address
from wigeonarch_core.decoding import decode_json, decode_json_value
from wigeonarch_core.json_members import decode_by_member
from wigeonarch_core.listing import Listed
from wigeonarch_core.serving_right import PlatformReachability
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.http_client import NO_TIMEOUT
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_entry.metrics import Metrics

INSTANCE_HEADER: Final = "X-Instance"
ZONE_HEADER: Final = "X-Zone"
_PRECONDITION_FAILED: Final = 412
_NOT_FOUND: Final = 404
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class Found:
    """An object that was read; `value` is its JSON document."""

    name: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Missing:
    """The object does not exist."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; `version` is the new version of the object."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect; the object is at another version, `version` (0: it is absent)."""

    version: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """There was no usable response.

    Attributes:
        may_have_written: Whether a write may have taken effect all the same.
        detail: Description of the fault.
    """

    may_have_written: bool
    detail: str


@dataclass(frozen=True, slots=True)
class Page:
    """A page of objects in order of name, and the store's revision at which it was read."""

    items: tuple[Found, ...]
    revision: int
    more: bool


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """An event of a watch; a bookmark has an empty name, a deletion has no value."""

    name: str
    version: int
    value: Any = None


class _ListReply(msgspec.Struct):
    """The platform's list; its items are decoded one by one."""

    items: list[msgspec.Raw]


WriteResult = Written | Conflict | Unavailable


class PlatformClient:
    """Client of the platform for one instance.

    Attributes:
        reachability: Tracks whether the platform has been answering.
    """

    __slots__ = (
        "_address_index",
        "_addresses",
        "_metrics",
        "_session",
        "_timeout",
        "_unusable_items",
        "reachability",
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        instance: str,
        zone: str,
        timeout: float,
        metrics: Metrics,
        reachability: PlatformReachability,
        source: str = "",
    ) -> None:
        """Makes the client; `source` is the local IP to connect from, empty for any."""
        self._addresses = addresses
        self._address_index = 0
        self._unusable_items: frozenset[bytes] = frozenset()
        self._metrics = metrics
        self.reachability = reachability
        self._timeout = timeout
        self._session = aiohttp.ClientSession(
            headers={INSTANCE_HEADER: instance, ZONE_HEADER: zone},
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=10.0, local_addr=(source, 0) if source else None
            ),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def get(self, kind: str, name: str) -> Found | Missing | Unavailable:
        """Reads one object."""
        reply = await self._call("get", "GET", f"/v1/objects/{kind}/{name}")
        if isinstance(reply, Unavailable):
            return reply
        status, doc = reply
        if status == _NOT_FOUND:
            return Missing()
        return Found(doc["name"], doc["version"], doc["value"])

    async def list(self, kind: str, after: str = "", limit: int = 500) -> Page | Unavailable:
        """Reads a page of the objects of a kind."""
        query = f"?after={after}&limit={limit}"
        reply = await self._call("list", "GET", f"/v1/objects/{kind}{query}")
        if isinstance(reply, Unavailable):
            return reply
        _, doc = reply
        items = tuple(Found(i["name"], i["version"], i["value"]) for i in doc["items"])
        return Page(items, doc["revision"], doc["more"])

    async def create(self, kind: str, name: str, value: msgspec.Struct) -> WriteResult:
        """Creates an object on condition that it does not exist."""
        return await self._write("create", kind, name, value, {"If-None-Match": "*"})

    async def replace(
        self, kind: str, name: str, value: msgspec.Struct, version: int
    ) -> WriteResult:
        """Replaces an object on condition that it is at `version`."""
        return await self._write("replace", kind, name, value, {"If-Match": f'"{version}"'})

    async def delete(self, kind: str, name: str, version: int) -> WriteResult:
        """Deletes an object on condition that it is at `version`."""
        path = f"/v1/objects/{kind}/{name}"
        headers = {"If-Match": f'"{version}"'}
        return _write_result(await self._call("delete", "DELETE", path, None, headers))

    async def list_instances(self) -> tuple[Listed, ...] | Unavailable:
        """Reads the platform's list of instances, which lags behind the real state.

        Anyone may write to the list, so items that can't be used are left out.
        """
        reply = await self._call("instances", "GET", "/v1/instances", decode=_read_items)
        if isinstance(reply, Unavailable):
            return reply
        found: list[Listed] = []
        unusable: dict[bytes, str] = {}
        for raw in reply[1]:
            try:
                found.append(_read_listed(bytes(raw)))
            except ValueError as exc:
                unusable[bytes(raw)] = str(exc)
        self._log_unusable_items(unusable)
        return tuple(found)

    def _log_unusable_items(self, reasons: dict[bytes, str]) -> None:
        """Logs items that can't be used, each once for as long as it is on the list."""
        for text in reasons.keys() - self._unusable_items:
            log("listed_item_unusable", "ERROR", bytes=len(text), reason=reasons[text])
        self._unusable_items = frozenset(reasons)

    async def register(self, item: Listed) -> WriteResult:
        """Puts this instance on the list."""
        body = msgspec.json.encode(item)
        reply = await self._call("register", "PUT", f"/v1/instances/{item.name}", body)
        if isinstance(reply, Unavailable):
            return reply
        return Written(0)

    async def unregister(self, name: str) -> None:
        """Takes this instance off the list."""
        await self._call("unregister", "DELETE", f"/v1/instances/{name}")

    async def watch(
        self, kind: str, since: int, silence: float
    ) -> AsyncIterator[WatchEvent | Unavailable]:
        """Yields the changes of a kind after revision `since`.

        The iterator ends with `Unavailable` when the watch breaks, is refused (the revision may be
        too old) or is silent for longer than `silence` seconds; the caller then opens a new watch.
        """
        url = f"http://{self._address()}/v1/watch/{kind}?since={since}"
        try:
            async with timeout_after(silence):
                resp = await self._session.get(url, timeout=NO_TIMEOUT)
            async with resp:
                self._metrics.platform_calls.labels("watch", str(resp.status)).inc()
                if resp.status != _OK:
                    yield Unavailable(False, f"status {resp.status}")
                    return
                while line := await _next_line(resp, silence):
                    self.reachability.record_answer(monotonic())
                    self._metrics.control_bytes.labels("platform", "in").inc(len(line))
                    yield _watch_event(decode_json_value(line))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            self._next_address()
            yield Unavailable(False, repr(exc))
            return
        yield Unavailable(False, "watch ended")

    async def _write(
        self, call: str, kind: str, name: str, value: msgspec.Struct, headers: dict[str, str]
    ) -> WriteResult:
        body = msgspec.json.encode(value)
        path = f"/v1/objects/{kind}/{name}"
        return _write_result(await self._call(call, "PUT", path, body, headers))

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        decode: Callable[[bytes], Any] = decode_json_value,
    ) -> tuple[int, Any] | Unavailable:
        """Makes one call.

        Args:
            call: Name of the call, for the metrics.
            method: HTTP method.
            path: HTTP path and query.
            body: Body of the request.
            headers: Headers of the request.
            decode: Decodes the body of the response; raises ValueError if that can't be done.

        Returns:
            The status and the document if the platform answered the call (200, 404, 412).
        """
        url = f"http://{self._address()}{path}"
        called_at = monotonic()
        try:
            async with (
                timeout_after(self._timeout),
                self._session.request(
                    method, url, data=body, headers=headers, timeout=NO_TIMEOUT
                ) as resp,
            ):
                text = await resp.read()
                status = resp.status
        except aiohttp.ClientConnectorError as exc:
            self._record_failure(call, "unreachable", called_at)
            return Unavailable(False, repr(exc))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self._record_failure(call, "lost", called_at)
            return Unavailable(True, repr(exc))
        self._metrics.platform_calls.labels(call, str(status)).inc()
        self._metrics.control_bytes.labels("platform", "out").inc(len(body or b""))
        self._metrics.control_bytes.labels("platform", "in").inc(len(text))
        if status in (_OK, _NOT_FOUND, _PRECONDITION_FAILED):
            try:
                document = decode(text)
            except ValueError as exc:
                self._record_failure(call, "unreadable", called_at)
                return Unavailable(True, repr(exc))
            self.reachability.record_answer(called_at)
            return status, document
        self.reachability.record_failure(called_at)
        self._next_address()
        return Unavailable(status >= 500, f"status {status}")

    def _record_failure(self, call: str, result: str, called_at: float) -> None:
        self.reachability.record_failure(called_at)
        self._metrics.platform_calls.labels(call, result).inc()
        self._next_address()

    def _address(self) -> str:
        return self._addresses[self._address_index % len(self._addresses)]

    def _next_address(self) -> None:
        self._address_index += 1


def _read_items(text: bytes) -> list[msgspec.Raw]:
    """Returns the items of a list, not decoded; raises ValueError if this is no list."""
    try:
        return decode_json(text, _ListReply).items
    except ValueError:
        return decode_by_member(text, _ListReply).items


def _read_listed(text: bytes) -> Listed:
    """Returns an item of the list; raises ValueError if it can't be used."""
    item = decode_json(text, Listed)
    if not is_address(item.address):
        raise ValueError("its address is not IP:PORT")
    return item


async def _next_line(resp: aiohttp.ClientResponse, silence: float) -> bytes:
    """Returns the next line of a watch; empty at its end."""
    async with timeout_after(silence):
        return await resp.content.readline()


def _write_result(reply: tuple[int, Any] | Unavailable) -> WriteResult:
    if isinstance(reply, Unavailable):
        return reply
    status, doc = reply
    if status == _OK:
        return Written(doc["version"])
    return Conflict(doc.get("version", 0))


def _watch_event(doc: Any) -> WatchEvent:
    return WatchEvent(doc.get("name", ""), doc["version"], doc.get("value"))

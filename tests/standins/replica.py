"""A stand-in of an endpoint, an engine or a plain service, with faults to inject.

It writes HTTP responses to the socket itself, so that it can truncate, duplicate or corrupt them
byte by byte. It records the requests and orders that it received, executed and rejected, for tests
to check.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from ports import free_port

from standins.room import Room

TOKEN_INTERVAL = 0.004
DEFAULT_SOFTWARE = "v1"


class ReplicaFault(enum.Enum):
    """How a replica's responses are faulty."""

    NONE = "none"
    SILENT = "silent"  # Runs the request and sends no response.
    RESET = "reset"  # Runs the request and resets the connection.
    ERROR = "error"  # Runs the request and responds with 500.
    FALSE_503 = "false_503"  # Runs it and responds with 503, without "X-Not-Executed".
    SHED = "shed"  # Responds with 503 and "X-Not-Executed", and does not run it.
    CUT = "cut"  # Closes or resets the connection in the middle of the response.
    DOUBLE = "double"  # Sends the response twice.
    FOREIGN_FIRST = "foreign_first"  # Sends a response to another request first.
    UNFRAMED = "unframed"  # Sends a body whose end is the end of the connection.
    UNFRAMED_RESET = "unframed_reset"  # The same, but the connection is reset.
    GARBAGE = "garbage"  # Sends bytes that are not HTTP.


class Framing(enum.Enum):
    """How a replica marks the end of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"  # Only by closing the connection.


class Ending(enum.Enum):
    """How a response ends."""

    MARKED = "marked"  # As its framing tells: with its last byte, or with the empty chunk.
    CLOSED = "closed"  # The connection is closed in order.
    RESET = "reset"


@dataclass(frozen=True)
class ResponseEnd:
    """How and where a replica ends its responses.

    Attributes:
        framing: How the end is marked.
        ending: How the response really ends.
        size: Bytes of the body that are sent; None for all.
        head_size: Bytes of the head that are sent, from its end if negative; None for all. Nothing
            follows a head that is cut.
    """

    framing: Framing
    ending: Ending
    size: int | None = None
    head_size: int | None = None


@dataclass(frozen=True)
class LateCopies:
    """Further copies of each rejection, sent on its connection.

    Attributes:
        count: Number of copies.
        delay: Seconds after the rejection at which the first is sent, and between two; None to send
            all when the next response on the connection is due.
        size: Bytes of each copy that are sent; None for all.
        named: Whether the copies name the request.
    """

    count: int = 1
    delay: float | None = 0.25
    size: int | None = None
    named: bool = True


@dataclass
class ReceivedRequest:
    """A received request.

    Attributes:
        at: Monotonic time of arrival, in seconds.
        peer: IP address of the sender.
        incarnation: Start time of the replica's incarnation that received it; 0 if not reported.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)
    peer: str = ""
    incarnation: int = 0

    @property
    def id(self) -> str:
        """Returns the request's id; empty if it has none."""
        return self.headers.get("x-request-id", "")

    def shared_parts(self) -> set[str]:
        """Returns the ids of all parts of its prompt but the last."""
        parts = self.headers.get("x-prefix-hash", "").split(",")
        return {part.partition(":")[0] for part in parts[:-1]}


@dataclass
class Replica:
    """A replica of a service.

    Attributes:
        service: Name of the service.
        model: Model that it serves; empty for a plain service.
        places: Number of adapters that fit.
        load_time: Duration of an adapter load, in seconds.
        events: Number of events in a whole stream.
        fault: How responses are faulty.
        signs: Whether its responses bear its signature.
        software: Version of its software, which marks its events.
        extra_headers: Headers that its answers bear besides.
        rejects_next: Number of requests that it rejects next, whatever its fault.
        late_copies: Copies of its rejections that follow; None for none.
        resets_rejections: Whether the connection is reset in the midst of each rejection.
        response_end: How and where responses end; None to mark the end of whole ones.
        delays_orders: Whether orders get no response and are executed after `order_delay` seconds.
        silent_loads: Number of next loads that are executed without a response.
        executed: Requests that it started to run.
        received: Requests addressed to it, except orders and reports.
        answer_delay: Seconds for which it holds each response back.
        report_delay: Seconds for which it holds each report back.
        cancelled: Number of streams and held responses whose caller closed the connection.
        orders: Bodies of the executed or refused orders, with the response's status.
        order_arrivals: Event loop time, owner and fence of each order.
        loaded: Version of each loaded adapter.
        newest_versions: Version that an order without a version loads; 1 if not listed.
        use_counts: Number of running requests by adapter.
        evicted_in_use: Number of adapters unloaded while requests used them.
        overfill_count: Number of loads ordered beyond `places`.
        sequence: Number of changes by orders; an order that expects another number is refused.
        model_time: Duration of a model load, in seconds.
        model_missing: Whether the model is not loaded.
        replacing_adapter: Adapter whose new version waits for requests on the old one.
        unloading_adapter: Adapter whose unload waits for the requests that use it.
        connection_count: Number of connections accepted.
        control_requests: Monotonic time and peer of each order and request for a report.
        rejections: Monotonic time and peer of each rejected request.
        cooldowns: Rejected requests, with the seconds of cooldown that the response asked for.
        leaving_announced: Requests whose response announced that it leaves.
        on_restarted: Called when it listens again after a crash.
        room: Its places and when it falls; None if it runs all requests at once.
    """

    service: str
    zone: str = "a"
    model: str = ""
    places: int = 3
    load_time: float = 0.05
    events: int = 6
    fault: ReplicaFault = ReplicaFault.NONE
    rejects_next: int = 0
    late_copies: LateCopies | None = None
    resets_rejections: bool = False
    signs: bool = True
    software: str = DEFAULT_SOFTWARE
    extra_headers: dict[str, str] = field(default_factory=dict)
    response_end: ResponseEnd | None = None
    delays_orders: bool = False
    silent_loads: int = 0
    order_delay: float = 0.6
    name: str = "i-1"
    executed: list[ReceivedRequest] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
    answer_delay: float = 0.0
    report_delay: float = 0.0
    cancelled: int = 0
    orders: list[tuple[dict[str, Any], int]] = field(default_factory=list)
    order_arrivals: list[tuple[float, str, int]] = field(default_factory=list)
    loaded: dict[str, int] = field(default_factory=dict)
    newest_versions: dict[str, int] = field(default_factory=dict)
    use_counts: dict[str, int] = field(default_factory=dict)
    evicted_in_use: int = 0
    overfill_count: int = 0
    sequence: int = 0
    model_time: float = 0.5
    model_missing: bool = False
    loading_model: bool = False
    unloading_adapter: str = ""
    replacing_adapter: str = ""
    connection_count: int = 0
    address: str = ""
    _pending: dict[str, int] = field(default_factory=dict)
    incarnation: int = 0  # Start time of its incarnation; 0 if it reports none.
    rate_limit: str = ""  # Requests per second, sent in responses; empty for none.
    leaving: bool = False  # Whether all its responses announce that it leaves.
    unsolicited_leaving: bool = False  # Whether only unsolicited responses announce it.
    retry_after: str = ""  # Seconds of cooldown that its rejections ask for.
    control_requests: list[tuple[float, str]] = field(default_factory=list)
    rejections: list[tuple[float, str]] = field(default_factory=list)
    cooldowns: list[tuple[ReceivedRequest, float]] = field(default_factory=list)
    leaving_announced: list[ReceivedRequest] = field(default_factory=list)
    fatal_body: bytes = b""  # Body of a request that crashes it.
    fatal_parts: frozenset[str] = frozenset()  # Parts of prompts that crash it, but for the last.
    writes_before_crash: bool = False  # Whether such a crash comes after the head.
    crash_count: int = 0  # Number of such crashes.
    restart_delay: float = 0.3  # Seconds until it listens again.
    on_restarted: Callable[[], Awaitable[None]] | None = None
    room: Room | None = None
    _due_copies: dict[asyncio.StreamWriter, list[bytes]] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _connection_tasks: set[asyncio.Task[None]] = field(default_factory=set)  # One per connection.

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen, on a port that no other process takes while this replica is down."""
        port = port or free_port(host)
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        sockname = self._server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"

    async def stop(self) -> None:
        """Closes all connections and cancels all tasks."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def record(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry for the store."""
        models = []
        if self.model and not self.model_missing:
            adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
            models = [{"name": self.model, "version": 1, "adapters": adapters}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.room.places if self.room else 8,
            "state": state,
            "version": self.software,
            "models": models,
            **({"born": self.incarnation} if self.incarnation else {}),
        }

    def restart(self) -> None:
        """Starts a new incarnation under the same id: nothing is loaded, `sequence` is 0."""
        for task in list(self._connection_tasks):
            task.cancel()
        self.incarnation += 1000
        self.sequence = 0
        self.loaded.clear()
        self._pending.clear()
        self.replacing_adapter = self.unloading_adapter = ""

    async def _crash(self) -> None:
        """Closes all connections, which cancels the calling task too, and starts again later."""
        self.crash_count += 1
        assert self._server is not None
        self._server.close()
        self.restart()
        self._spawn(self._listen_again())
        await asyncio.sleep(3600)

    async def _listen_again(self) -> None:
        await asyncio.sleep(self.restart_delay)
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))
        if self.on_restarted is not None:
            await self.on_restarted()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._connection_tasks.add(task)
        self.connection_count += 1
        try:
            while (request := await _read_request(reader)) is not None:
                request.peer = writer.get_extra_info("peername")[0]
                request.incarnation = self.incarnation
                if not await self._handle_request(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._connection_tasks.discard(task)
            self._due_copies.pop(writer, None)
            writer.close()

    async def _handle_request(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self._write_misdirected(request, writer)
            return True
        if request.target == "/wigeonarch/report":
            self.control_requests.append((time.monotonic(), request.peer))
            await asyncio.sleep(self.report_delay)
            _write_response(writer, 200, self._state_headers(), json.dumps(self._report()).encode())
            return True
        if request.target == "/wigeonarch/order":
            return await self._handle_order(json.loads(request.body), request.peer, writer)
        return await self._handle_call(request, reader, writer)

    def _state_headers(self) -> dict[str, str]:
        """Returns the headers of all responses while it is leaving or brittle."""
        leaving = {"Server-Leaving": "1"} if self.leaving else {}
        return leaving | (self.room.headers() if self.room else {})

    def _report(self) -> dict[str, Any]:
        adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
        models = [{"name": self.model, "version": 1, "adapters": adapters}]
        if self.model_missing or not self.model:
            models = []
        pending = [f"{self.model}/{name}@{version}" for name, version in self._pending.items()]
        return {
            "models": models,
            "seq": self.sequence,
            "busy": self.loading_model,
            "pending": pending,
            **({"born": self.incarnation} if self.incarnation else {}),
        }

    async def _handle_order(
        self, body: dict[str, Any], peer: str, writer: asyncio.StreamWriter
    ) -> bool:
        arrived_at = asyncio.get_running_loop().time()
        self.control_requests.append((time.monotonic(), peer))
        self.order_arrivals.append((arrived_at, str(body["holder"]), int(body["fence"])))
        if self.delays_orders:
            self._spawn(self._delayed_order(body))
            await asyncio.sleep(3600)
        status = self._execute_order(body)
        self.orders.append((body, status))
        if self.silent_loads and body["op"] == "load":
            self.silent_loads -= 1
            await asyncio.sleep(3600)
        _write_response(writer, status, self._state_headers())
        return True

    async def _delayed_order(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.order_delay)
        self.orders.append((body, self._execute_order(body)))

    def _execute_order(self, body: dict[str, Any]) -> int:
        if body.get("expect", self.sequence) != self.sequence:
            return 409
        waiting_order = self.replacing_adapter or self.unloading_adapter
        if waiting_order and body.get("adapter") != waiting_order:
            return 409
        name = body.get("adapter", "")
        if not name:
            return self._load_model()
        if self.model_missing:
            return 421
        if body["op"] == "unload":
            return self._unload_adapter(name)
        if self.unloading_adapter:
            return 409
        version = body.get("version") or self.newest_versions.get(name, 1)
        if self.loaded.get(name) == version:
            return 200
        if self.replacing_adapter:
            return 202 if self.replacing_adapter == name else 409
        if name in self.loaded and self.use_counts.get(name):
            self.sequence += 1
            self.replacing_adapter = name
            self._spawn(self._replace_adapter(name, version))
            return 202
        occupied = set(self.loaded) | set(self._pending) | {name}
        if len(occupied) > self.places:
            self.overfill_count += 1
        self.sequence += 1
        self._pending[name] = version
        self._spawn(self._load_adapter(name, version))
        return 202

    def _unload_adapter(self, name: str) -> int:
        """Unloads an adapter, or waits for its requests; a repeated order changes nothing."""
        if name not in self.loaded:
            return 200
        if self.unloading_adapter:
            return 202
        self.sequence += 1
        if not self.use_counts.get(name):
            del self.loaded[name]
            return 200
        self.evicted_in_use += 1
        self.unloading_adapter = name
        self._spawn(self._unload_when_idle(name))
        return 202

    async def _unload_when_idle(self, name: str) -> None:
        """Waits for the requests that use an adapter; other orders are refused meanwhile."""
        while self.use_counts.get(name):  # noqa: ASYNC110 - polling keeps the stand-in simple.
            await asyncio.sleep(TOKEN_INTERVAL)
        self.loaded.pop(name, None)
        self.unloading_adapter = ""

    def _load_model(self) -> int:
        """Starts to load the model; a repeated order leaves `sequence` unchanged."""
        if not self.loading_model:
            self.loading_model = True
            self.sequence += 1
            self._spawn(self._end_model_load())
        return 202

    async def _end_model_load(self) -> None:
        await asyncio.sleep(self.model_time)
        self.loading_model = False
        self.model_missing = False

    async def _replace_adapter(self, name: str, version: int) -> None:
        """Waits for the requests that use the old version; other orders are refused meanwhile."""
        while self.use_counts.get(name):  # noqa: ASYNC110 - polling keeps the stand-in simple.
            await asyncio.sleep(TOKEN_INTERVAL)
        await self._load_adapter(name, version)
        self.replacing_adapter = ""

    async def _load_adapter(self, name: str, version: int) -> None:
        incarnation = self.incarnation
        await asyncio.sleep(self.load_time)
        if self.incarnation != incarnation:
            return
        self._pending.pop(name, None)
        self.loaded[name] = version

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_call(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.received.append(request)
        model, _, adapter = request.headers.get("x-model", "").partition("/")
        version = request.headers.get("x-expect-version")
        is_missing = (adapter and adapter not in self.loaded) or (model and self.model_missing)
        is_other_version = adapter and version and self.loaded.get(adapter) != int(version)
        if (model and model != self.model) or is_missing or is_other_version:
            self._write_misdirected(request, writer)
            return True
        if self.fault is ReplicaFault.SHED and self.resets_rejections:
            self.rejections.append((time.monotonic(), request.peer))
            head = {"X-Not-Executed": "1", **_echoed_id(request)}
            writer.write(_encode_head(503, head, 10) + b"ful")
            await writer.drain()
            await asyncio.sleep(0.05)  # So that the head arrives before the reset.
            writer.transport.abort()
            return False
        if self.fault is ReplicaFault.SHED or self.rejects_next:
            self.rejects_next = max(0, self.rejects_next - 1)
            if self.retry_after:
                self.cooldowns.append((request, float(self.retry_after)))
            self._reject(request, writer, {"Retry-After": self.retry_after})
            return True
        if self.room is None:
            return await self._run(request, reader, writer, adapter)
        if not self.room.has_room():
            if self.room.reject():
                self.rejections.append((time.monotonic(), request.peer))
                await self._crash()
            self._reject(request, writer, {})
            return True
        await self.room.enter()
        try:
            await asyncio.sleep(self.room.work_time)
            goes_on = await self._run(request, reader, writer, adapter)
            self.room.served.append(time.monotonic())
            return goes_on
        finally:
            await self.room.leave()

    def _write_misdirected(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        headers = {"X-Instance-Id": self.name, **_echoed_id(request), **self._state_headers()}
        _write_response(writer, 421, headers)

    def _reject(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        """Rejects a request with 503, also by the late copies."""
        self.rejections.append((time.monotonic(), request.peer))
        found = {name: value for name, value in headers.items() if value} | self._state_headers()
        found["X-Not-Executed"] = "1"
        _write_response(writer, 503, {**found, **_echoed_id(request)})
        late = self.late_copies
        if late is None:
            return
        named = _echoed_id(request) if late.named else {}
        copy = _encode_head(503, {**found, **named}, 0)[: late.size]
        if late.delay is None:
            self._due_copies.setdefault(writer, []).extend([copy] * late.count)
            return
        for number in range(late.count):
            when = (number + 1) * late.delay
            asyncio.get_running_loop().call_later(when, _write_if_open, writer, copy)

    async def _run(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        adapter: str,
    ) -> bool:
        self.executed.append(request)
        if self.fatal_body and request.body == self.fatal_body:
            await self._crash()
        if self.fatal_parts & request.shared_parts():
            if self.writes_before_crash:
                head = {"X-Server-Stamp": self.name, "Content-Type": "text/event-stream"}
                head["X-Request-Id"] = request.headers.get("x-request-id", "")
                writer.write(_encode_head(200, head, None, chunked=True))
                await writer.drain()
                await asyncio.sleep(TOKEN_INTERVAL)
            await self._crash()
        if adapter:
            self.use_counts[adapter] = self.use_counts.get(adapter, 0) + 1
        try:
            return await self._respond(request, reader, writer)
        finally:
            if adapter:
                self.use_counts[adapter] -= 1

    async def _respond(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            **({"X-Server-Stamp": self.name} if self.signs else {}),
        }
        headers |= self._state_headers() | self.extra_headers
        if self.rate_limit:
            headers["Server-Limit"] = self.rate_limit
        if self.answer_delay and await _wait_for_close(reader, self.answer_delay):
            self.cancelled += 1
            return False
        writer.writelines(self._due_copies.pop(writer, ()))
        if self.fault is ReplicaFault.SILENT:
            await asyncio.sleep(3600)
        if self.fault is ReplicaFault.RESET:
            writer.transport.abort()
            return False
        if self.fault in (ReplicaFault.ERROR, ReplicaFault.FALSE_503):
            status = 500 if self.fault is ReplicaFault.ERROR else 503
            _write_response(writer, status, headers, b"failed")
            return True
        if self.fault is ReplicaFault.GARBAGE:
            writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            return False
        if self.leaving and self.fault is ReplicaFault.NONE:
            self.leaving_announced.append(request)
        if self.response_end is not None:
            return await self._send_ended(request, writer, headers, self.response_end)
        if self.model:
            return await self._send_stream(request, reader, writer, headers)
        return await self._send_plain(request, writer, headers)

    async def _send_ended(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        end: ResponseEnd,
    ) -> bool:
        """Sends a response at once and ends it as told; returns whether to keep the connection."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        whole = b"answer of " + self.name.encode() + b" to " + request.body
        if self.model:
            headers = {**headers, "Content-Type": "text/event-stream"}
            whole = b"".join(encode_event(n, self.software) for n in range(first, self.events + 1))
        body = whole[: end.size]
        marked = end.ending is Ending.MARKED
        length = None
        if end.framing is Framing.LENGTH:
            length = len(body) if marked else len(whole)
        is_chunked = end.framing is Framing.CHUNKS
        head = _encode_head(200, headers, length, chunked=is_chunked)
        writer.write(head[: end.head_size])
        if end.head_size is not None:
            body, is_chunked = b"", False
        if is_chunked and body:
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        elif body:
            writer.write(body)
        if marked and is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if end.ending is Ending.RESET:
            await asyncio.sleep(0.05)  # So that the bytes sent arrive before the reset.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return marked

    async def _send_plain(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        body = b"answer of " + self.name.encode() + b" to " + request.body
        if self.fault is ReplicaFault.FOREIGN_FIRST:
            leaving = {"Server-Leaving": "1"} if self.unsolicited_leaving else {}
            _write_response(
                writer, 200, {**headers, **leaving, "X-Request-Id": "somebody-else"}, b"not yours"
            )
        if self.fault is ReplicaFault.CUT:
            writer.write(_encode_head(200, headers, len(body)) + body[: len(body) // 2])
            return False
        if self.fault in (ReplicaFault.UNFRAMED, ReplicaFault.UNFRAMED_RESET):
            writer.write(_encode_head(200, {**headers, "Connection": "close"}, None) + body)
            await writer.drain()
            if self.fault is ReplicaFault.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                writer.transport.abort()
            return False
        _write_response(writer, 200, headers, body)
        if self.fault is ReplicaFault.DOUBLE:
            leaving = {"Server-Leaving": "1"} if self.unsolicited_leaving else {}
            _write_response(writer, 200, {**headers, **leaving}, body)
        return True

    async def _send_stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> bool:
        headers = {**headers, "Content-Type": "text/event-stream"}
        writer.write(_encode_head(200, headers, None, chunked=True))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = encode_event(number, self.software)
            if self.fault is ReplicaFault.CUT and number == 4:
                writer.write(b"%x\r\n" % len(event) + event[:7])
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if await _wait_for_token(reader):
                self.cancelled += 1
                return False
        writer.write(b"0\r\n\r\n")
        return True


def encode_event(number: int, software: str = DEFAULT_SOFTWARE) -> bytes:
    """Returns the event of a stream that has a number, as a version of the software writes it."""
    mark = "" if software == DEFAULT_SOFTWARE else f" by {software}"
    return f"id: {number}\ndata: piece {number}{mark}\n\n".encode()


async def _wait_for_token(reader: asyncio.StreamReader) -> bool:
    """Waits one token interval; returns whether the caller has closed the connection."""
    await asyncio.sleep(TOKEN_INTERVAL)
    return reader.at_eof() or reader.exception() is not None


async def _wait_for_close(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Waits some seconds; returns early and with True if the caller closes the connection."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if reader.at_eof() or reader.exception() is not None:
            return True
        await asyncio.sleep(TOKEN_INTERVAL)
    return False


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return ReceivedRequest(method, target, headers, body)
    return None


def _echoed_id(request: ReceivedRequest) -> dict[str, str]:
    return {"X-Request-Id": request.id} if request.id else {}


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def _encode_head(
    status: int, headers: dict[str, str], length: int | None, chunked: bool = False
) -> bytes:
    lines = [f"HTTP/1.1 {status} Any"] + [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _write_response(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
) -> None:
    writer.write(_encode_head(status, headers, len(body)) + body)

"""A stand-in of an endpoint: an engine with adapter places, or a plain service, and its troubles.

It is written on plain sockets, so that it can break off, double or spoil its answers byte by byte.
What it ran, refused and was ordered is kept for the tests to judge.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

TOKEN_INTERVAL = 0.004


class ReplicaFault(enum.Enum):
    """What a replica does to its answers."""

    NONE = "none"
    SILENT = "silent"  # Runs the request and never answers.
    RESET = "reset"  # Runs it and resets the connection.
    ERROR = "error"  # Runs it and answers 500.
    FALSE_503 = "false_503"  # Runs it and answers 503 without saying that it did not.
    SHED = "shed"  # 503 and does not run it.
    CUT = "cut"  # Breaks off in the middle of the answer.
    DOUBLE = "double"  # Sends the answer twice.
    FOREIGN_FIRST = "foreign_first"  # Sends an answer of another request before its own.
    UNFRAMED = "unframed"  # An answer without a length that ends with its connection.
    UNFRAMED_RESET = "unframed_reset"  # The same, reset on the way.
    GARBAGE = "garbage"  # Bytes that are no answer.


@dataclass
class ReceivedRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)
    peer: str = ""  # Address that it came from.
    incarnation: int = 0  # Start of the incarnation that it came to.


@dataclass
class Replica:
    """A replica.

    Attributes:
        service: Its service.
        model: Model that it holds; empty for a plain service.
        places: Adapters that fit.
        trouble: What it does to answers.
        ran: Requests that it began to run.
        orders: Bodies of the orders that arrived, with the status of the answer.
        late_orders: Whether orders get no answer and are carried out after `late` seconds.
    """

    service: str
    zone: str = "a"
    model: str = ""
    places: int = 3
    load_time: float = 0.05
    events: int = 6
    fault: ReplicaFault = ReplicaFault.NONE
    delays_orders: bool = False
    order_delay: float = 0.6
    name: str = "i-1"
    executed: list[ReceivedRequest] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
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
    replacing_adapter: str = ""
    connection_count: int = 0
    address: str = ""
    _pending: dict[str, int] = field(default_factory=dict)
    incarnation: int = 0  # Start of its incarnation; 0 when it does not say.
    rate_limit: str = ""  # Requests a second that its answers name; empty for none.
    leaving: bool = False  # Whether all its answers say that it leaves.
    unsolicited_leaving: bool = False  # Whether only answers that nobody asked for say so.
    retry_after: str = ""  # Seconds of rest that it asks for when it turns a request away.
    control_requests: list[tuple[float, str]] = field(default_factory=list)  # Orders and reports.
    rejections: list[tuple[float, str]] = field(
        default_factory=list
    )  # When, and whom it turned away.
    cooldowns: list[tuple[ReceivedRequest, float]] = field(
        default_factory=list
    )  # Turned away, seconds of rest.
    leaving_announced: list[ReceivedRequest] = field(
        default_factory=list
    )  # Requests whose answer said that it leaves.
    fatal_body: bytes = b""  # Body of a request that ends it as it begins to run.
    crash_count: int = 0  # Times that it ended so.
    restart_delay: float = 0.3  # Seconds after which it is back.
    on_restarted: Callable[[], Awaitable[None]] | None = None
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _connection_tasks: set[asyncio.Task[None]] = field(
        default_factory=set
    )  # One for each connection.

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        sockname = self._server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"

    async def stop(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def record(self, state: str = "ready") -> dict[str, Any]:
        """Returns its entry in the store."""
        models = []
        if self.model and not self.model_missing:
            adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
            models = [{"name": self.model, "version": 1, "adapters": adapters}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": 8,
            "state": state,
            "models": models,
            **({"born": self.incarnation} if self.incarnation else {}),
        }

    def restart(self) -> None:
        """Starts again under its id: it holds and knows nothing, and its counts begin anew."""
        for task in list(self._connection_tasks):
            task.cancel()
        self.incarnation += 1000
        self.sequence = 0
        self.loaded.clear()
        self._pending.clear()
        self.replacing_adapter = ""

    async def _crash(self) -> None:
        """Ends with all its connections, and starts again later; the run is cancelled."""
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
            while (seen := await _read_request(reader)) is not None:
                seen.peer = writer.get_extra_info("peername")[0]
                seen.incarnation = self.incarnation
                if not await self._handle_request(seen, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._connection_tasks.discard(task)
            writer.close()

    async def _handle_request(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        expected = seen.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            _write_response(writer, 421, {"X-Instance-Id": self.name, **self._leaving_headers()})
            return True
        if seen.target == "/wigeonarch/report":
            self.control_requests.append((time.monotonic(), seen.peer))
            _write_response(
                writer, 200, self._leaving_headers(), json.dumps(self._report()).encode()
            )
            return True
        if seen.target == "/wigeonarch/order":
            return await self._handle_order(json.loads(seen.body), seen.peer, writer)
        return await self._handle_call(seen, reader, writer)

    def _leaving_headers(self) -> dict[str, str]:
        """Returns what all its answers say of it."""
        return {"Server-Leaving": "1"} if self.leaving else {}

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
        arrived = asyncio.get_running_loop().time()
        self.control_requests.append((time.monotonic(), peer))
        self.order_arrivals.append((arrived, str(body["holder"]), int(body["fence"])))
        if self.delays_orders:
            self._spawn(self._delayed_order(body))
            await asyncio.sleep(3600)
        status = self._execute_order(body)
        self.orders.append((body, status))
        _write_response(writer, status, self._leaving_headers())
        return True

    async def _delayed_order(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.order_delay)
        self.orders.append((body, self._execute_order(body)))

    def _execute_order(self, body: dict[str, Any]) -> int:
        if body.get("expect", self.sequence) != self.sequence:
            return 409
        if self.replacing_adapter and body.get("adapter") != self.replacing_adapter:
            return 409
        name = body.get("adapter", "")
        if not name:
            return self._load_model()
        if self.model_missing:
            return 421
        if body["op"] == "unload":
            if name not in self.loaded:
                return 200
            self.sequence += 1
            self.evicted_in_use += bool(self.use_counts.get(name))
            del self.loaded[name]
            return 200
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
        taken = set(self.loaded) | set(self._pending) | {name}
        if len(taken) > self.places:
            self.overfill_count += 1
        self.sequence += 1
        self._pending[name] = version
        self._spawn(self._load_adapter(name, version))
        return 202

    def _load_model(self) -> int:
        """Begins to load the model; an order for what is under way moves nothing on."""
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
        """Waits for the requests that use the old version; no other order is taken meanwhile."""
        while self.use_counts.get(name):  # noqa: ASYNC110 - as simple as the engine it stands for.
            await asyncio.sleep(TOKEN_INTERVAL)
        await self._load_adapter(name, version)
        self.replacing_adapter = ""

    async def _load_adapter(self, name: str, version: int) -> None:
        born = self.incarnation
        await asyncio.sleep(self.load_time)
        if self.incarnation != born:
            return
        self._pending.pop(name, None)
        self.loaded[name] = version

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_call(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.received.append(seen)
        model, _, adapter = seen.headers.get("x-model", "").partition("/")
        version = seen.headers.get("x-expect-version")
        lacks = (adapter and adapter not in self.loaded) or (model and self.model_missing)
        other = adapter and version and self.loaded.get(adapter) != int(version)
        if (model and model != self.model) or lacks or other:
            _write_response(writer, 421, {"X-Instance-Id": self.name, **self._leaving_headers()})
            return True
        if self.fault is ReplicaFault.SHED:
            self.rejections.append((time.monotonic(), seen.peer))
            asked = {"Retry-After": self.retry_after} if self.retry_after else {}
            if self.retry_after:
                self.cooldowns.append((seen, float(self.retry_after)))
            _write_response(
                writer, 503, {"X-Not-Executed": "1", **asked, **self._leaving_headers()}
            )
            return True
        self.executed.append(seen)
        if self.fatal_body and seen.body == self.fatal_body:
            await self._crash()
        if adapter:
            self.use_counts[adapter] = self.use_counts.get(adapter, 0) + 1
        try:
            return await self._respond(seen, reader, writer)
        finally:
            if adapter:
                self.use_counts[adapter] -= 1

    async def _respond(
        self, seen: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        own = {"X-Request-Id": seen.headers.get("x-request-id", ""), "X-Server-Stamp": self.name}
        own |= self._leaving_headers()
        if self.rate_limit:
            own["Server-Limit"] = self.rate_limit
        if self.fault is ReplicaFault.SILENT:
            await asyncio.sleep(3600)
        if self.fault is ReplicaFault.RESET:
            writer.transport.abort()
            return False
        if self.fault in (ReplicaFault.ERROR, ReplicaFault.FALSE_503):
            status = 500 if self.fault is ReplicaFault.ERROR else 503
            _write_response(writer, status, own, b"failed")
            return True
        if self.fault is ReplicaFault.GARBAGE:
            writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            return False
        if self.leaving and self.fault is ReplicaFault.NONE:
            self.leaving_announced.append(seen)
        if self.model:
            return await self._send_stream(seen, reader, writer, own)
        return await self._send_plain(seen, writer, own)

    async def _send_plain(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter, own: dict[str, str]
    ) -> bool:
        body = b"answer of " + self.name.encode() + b" to " + seen.body
        if self.fault is ReplicaFault.FOREIGN_FIRST:
            said = {"Server-Leaving": "1"} if self.unsolicited_leaving else {}
            _write_response(
                writer, 200, {**own, **said, "X-Request-Id": "somebody-else"}, b"not yours"
            )
        if self.fault is ReplicaFault.CUT:
            writer.write(_encode_head(200, own, len(body)) + body[: len(body) // 2])
            return False
        if self.fault in (ReplicaFault.UNFRAMED, ReplicaFault.UNFRAMED_RESET):
            writer.write(_encode_head(200, {**own, "Connection": "close"}, None) + body)
            await writer.drain()
            if self.fault is ReplicaFault.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                writer.transport.abort()
            return False
        _write_response(writer, 200, own, body)
        if self.fault is ReplicaFault.DOUBLE:
            said = {"Server-Leaving": "1"} if self.unsolicited_leaving else {}
            _write_response(writer, 200, {**own, **said}, body)
        return True

    async def _send_stream(
        self,
        seen: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> bool:
        own = {**own, "Content-Type": "text/event-stream"}
        writer.write(_encode_head(200, own, None, chunked=True))
        first = int(seen.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
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


async def _wait_for_token(reader: asyncio.StreamReader) -> bool:
    """Waits for the next token; tells whether the caller has left."""
    await asyncio.sleep(TOKEN_INTERVAL)
    return reader.at_eof() or reader.exception() is not None


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

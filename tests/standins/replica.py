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

TOKEN_PAUSE = 0.004


class Trouble(enum.Enum):
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
class Seen:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)
    peer: str = ""  # Address that it came from.
    born: int = 0  # Start of the incarnation that it came to.


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
    trouble: Trouble = Trouble.NONE
    late_orders: bool = False
    late: float = 0.6
    name: str = "i-1"
    ran: list[Seen] = field(default_factory=list)
    arrived: list[Seen] = field(default_factory=list)
    cancelled: int = 0
    orders: list[tuple[dict[str, Any], int]] = field(default_factory=list)
    order_arrivals: list[tuple[float, str, int]] = field(default_factory=list)
    held: dict[str, int] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)
    using: dict[str, int] = field(default_factory=dict)
    evicted_in_use: int = 0
    overfilled: int = 0
    sequence: int = 0
    model_time: float = 0.5
    without_model: bool = False
    loading_model: bool = False
    replacing: str = ""
    connections: int = 0
    address: str = ""
    _pending: dict[str, int] = field(default_factory=dict)
    born: int = 0  # Start of its incarnation; 0 when it does not say.
    limit: str = ""  # Requests a second that its answers name; empty for none.
    leaving: bool = False  # Whether all its answers say that it leaves.
    foreign_leaving: bool = False  # Whether only answers that nobody asked for say so.
    rest: str = ""  # Seconds of rest that it asks for when it turns a request away.
    asked_at: list[tuple[float, str]] = field(default_factory=list)  # Orders and reports.
    away_at: list[tuple[float, str]] = field(default_factory=list)  # When, and whom it turned away.
    rests: list[tuple[Seen, float]] = field(default_factory=list)  # Turned away, seconds of rest.
    told: list[Seen] = field(default_factory=list)  # Requests whose answer said that it leaves.
    fatal: bytes = b""  # Body of a request that ends it as it begins to run.
    ends: int = 0  # Times that it ended so.
    away: float = 0.3  # Seconds after which it is back.
    on_end: Callable[[], Awaitable[None]] | None = None
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _serving: set[asyncio.Task[None]] = field(default_factory=set)  # One for each connection.

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)
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
        if self.model and not self.without_model:
            adapters = [f"{name}@{version}" for name, version in self.held.items()]
            models = [{"name": self.model, "version": 1, "adapters": adapters}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": 8,
            "state": state,
            "models": models,
            **({"born": self.born} if self.born else {}),
        }

    def restart(self) -> None:
        """Starts again under its id: it holds and knows nothing, and its counts begin anew."""
        for task in list(self._serving):
            task.cancel()
        self.born += 1000
        self.sequence = 0
        self.held.clear()
        self._pending.clear()
        self.replacing = ""

    async def _end(self) -> None:
        """Ends with all its connections, and starts again later; the run is cancelled."""
        self.ends += 1
        assert self._server is not None
        self._server.close()
        self.restart()
        self._spawn(self._come_back())
        await asyncio.sleep(3600)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.away)
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))
        if self.on_end is not None:
            await self.on_end()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._serving.add(task)
        self.connections += 1
        try:
            while (seen := await _read(reader)) is not None:
                seen.peer = writer.get_extra_info("peername")[0]
                seen.born = self.born
                if not await self._answer(seen, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._serving.discard(task)
            writer.close()

    async def _answer(
        self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        expected = seen.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            _write(writer, 421, {"X-Instance-Id": self.name, **self._said()})
            return True
        if seen.target == "/wigeonarch/report":
            self.asked_at.append((time.monotonic(), seen.peer))
            _write(writer, 200, self._said(), json.dumps(self._report()).encode())
            return True
        if seen.target == "/wigeonarch/order":
            return await self._order(json.loads(seen.body), seen.peer, writer)
        return await self._run(seen, reader, writer)

    def _said(self) -> dict[str, str]:
        """Returns what all its answers say of it."""
        return {"Server-Leaving": "1"} if self.leaving else {}

    def _report(self) -> dict[str, Any]:
        adapters = [f"{name}@{version}" for name, version in self.held.items()]
        models = [{"name": self.model, "version": 1, "adapters": adapters}]
        if self.without_model or not self.model:
            models = []
        pending = [f"{self.model}/{name}@{version}" for name, version in self._pending.items()]
        return {
            "models": models,
            "seq": self.sequence,
            "busy": self.loading_model,
            "pending": pending,
            **({"born": self.born} if self.born else {}),
        }

    async def _order(self, body: dict[str, Any], peer: str, writer: asyncio.StreamWriter) -> bool:
        arrived = asyncio.get_running_loop().time()
        self.asked_at.append((time.monotonic(), peer))
        self.order_arrivals.append((arrived, str(body["holder"]), int(body["fence"])))
        if self.late_orders:
            self._spawn(self._late_order(body))
            await asyncio.sleep(3600)
        status = self._carry_out(body)
        self.orders.append((body, status))
        _write(writer, status, self._said())
        return True

    async def _late_order(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.late)
        self.orders.append((body, self._carry_out(body)))

    def _carry_out(self, body: dict[str, Any]) -> int:
        if body.get("expect", self.sequence) != self.sequence:
            return 409
        if self.replacing and body.get("adapter") != self.replacing:
            return 409
        name = body.get("adapter", "")
        if not name:
            return self._load_model()
        if self.without_model:
            return 421
        if body["op"] == "unload":
            if name not in self.held:
                return 200
            self.sequence += 1
            self.evicted_in_use += bool(self.using.get(name))
            del self.held[name]
            return 200
        version = body.get("version") or self.newest.get(name, 1)
        if self.held.get(name) == version:
            return 200
        if self.replacing:
            return 202 if self.replacing == name else 409
        if name in self.held and self.using.get(name):
            self.sequence += 1
            self.replacing = name
            self._spawn(self._replace(name, version))
            return 202
        taken = set(self.held) | set(self._pending) | {name}
        if len(taken) > self.places:
            self.overfilled += 1
        self.sequence += 1
        self._pending[name] = version
        self._spawn(self._load(name, version))
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
        self.without_model = False

    async def _replace(self, name: str, version: int) -> None:
        """Waits for the requests that use the old version; no other order is taken meanwhile."""
        while self.using.get(name):  # noqa: ASYNC110 - as simple as the engine it stands for.
            await asyncio.sleep(TOKEN_PAUSE)
        await self._load(name, version)
        self.replacing = ""

    async def _load(self, name: str, version: int) -> None:
        born = self.born
        await asyncio.sleep(self.load_time)
        if self.born != born:
            return
        self._pending.pop(name, None)
        self.held[name] = version

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.arrived.append(seen)
        model, _, adapter = seen.headers.get("x-model", "").partition("/")
        version = seen.headers.get("x-expect-version")
        lacks = (adapter and adapter not in self.held) or (model and self.without_model)
        other = adapter and version and self.held.get(adapter) != int(version)
        if (model and model != self.model) or lacks or other:
            _write(writer, 421, {"X-Instance-Id": self.name, **self._said()})
            return True
        if self.trouble is Trouble.SHED:
            self.away_at.append((time.monotonic(), seen.peer))
            asked = {"Retry-After": self.rest} if self.rest else {}
            if self.rest:
                self.rests.append((seen, float(self.rest)))
            _write(writer, 503, {"X-Not-Executed": "1", **asked, **self._said()})
            return True
        self.ran.append(seen)
        if self.fatal and seen.body == self.fatal:
            await self._end()
        if adapter:
            self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            return await self._work(seen, reader, writer)
        finally:
            if adapter:
                self.using[adapter] -= 1

    async def _work(
        self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        own = {"X-Request-Id": seen.headers.get("x-request-id", ""), "X-Server-Stamp": self.name}
        own |= self._said()
        if self.limit:
            own["Server-Limit"] = self.limit
        if self.trouble is Trouble.SILENT:
            await asyncio.sleep(3600)
        if self.trouble is Trouble.RESET:
            writer.transport.abort()
            return False
        if self.trouble in (Trouble.ERROR, Trouble.FALSE_503):
            status = 500 if self.trouble is Trouble.ERROR else 503
            _write(writer, status, own, b"failed")
            return True
        if self.trouble is Trouble.GARBAGE:
            writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            return False
        if self.leaving and self.trouble is Trouble.NONE:
            self.told.append(seen)
        if self.model:
            return await self._stream(seen, reader, writer, own)
        return await self._plain(seen, writer, own)

    async def _plain(self, seen: Seen, writer: asyncio.StreamWriter, own: dict[str, str]) -> bool:
        body = b"answer of " + self.name.encode() + b" to " + seen.body
        if self.trouble is Trouble.FOREIGN_FIRST:
            said = {"Server-Leaving": "1"} if self.foreign_leaving else {}
            _write(writer, 200, {**own, **said, "X-Request-Id": "somebody-else"}, b"not yours")
        if self.trouble is Trouble.CUT:
            writer.write(_head(200, own, len(body)) + body[: len(body) // 2])
            return False
        if self.trouble in (Trouble.UNFRAMED, Trouble.UNFRAMED_RESET):
            writer.write(_head(200, {**own, "Connection": "close"}, None) + body)
            await writer.drain()
            if self.trouble is Trouble.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                writer.transport.abort()
            return False
        _write(writer, 200, own, body)
        if self.trouble is Trouble.DOUBLE:
            said = {"Server-Leaving": "1"} if self.foreign_leaving else {}
            _write(writer, 200, {**own, **said}, body)
        return True

    async def _stream(
        self,
        seen: Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> bool:
        own = {**own, "Content-Type": "text/event-stream"}
        writer.write(_head(200, own, None, chunked=True))
        first = int(seen.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if self.trouble is Trouble.CUT and number == 4:
                writer.write(b"%x\r\n" % len(event) + event[:7])
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if await _left(reader):
                self.cancelled += 1
                return False
        writer.write(b"0\r\n\r\n")
        return True


async def _left(reader: asyncio.StreamReader) -> bool:
    """Waits for the next token; tells whether the caller has left."""
    await asyncio.sleep(TOKEN_PAUSE)
    return reader.at_eof() or reader.exception() is not None


async def _read(reader: asyncio.StreamReader) -> Seen | None:
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Seen(method, target, headers, body)
    return None


def _head(status: int, headers: dict[str, str], length: int | None, chunked: bool = False) -> bytes:
    lines = [f"HTTP/1.1 {status} Any"] + [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _write(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
) -> None:
    writer.write(_head(status, headers, len(body)) + body)

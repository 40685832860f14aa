"""Stand-ins of replicas: an engine that streams, with adapters, and a plain service.

What a faulty replica does is decided by its `Fault`: it sends an extra response late. Without a
fault, both are sound.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from common import http11

Log = Callable[..., None]
# Adapters that may be on their way to one engine at the same time.
MAX_PENDING: Final = 4
# An adapter that a replica held before loads so many times as fast.
WARM_SPEED: Final = 10.0
MODEL_LOAD_SECONDS: Final = 0.81  # By the sheet.
# Part of its refusals that a faulty replica sends twice, as long as its share allows it.
REFUSALS_REPEATED: Final = 0.25


@dataclass
class Fault:
    """What a replica does wrong, and how often.

    Attributes:
        extra_share: Share of its responses of which it sends a second copy, late: where the next
            response on that connection is expected. It does so for refusals drawn at random, as
            long as these copies are no larger share of all its responses since the fault began.
        unanswered_share: Share of the orders that it carries out without a response.
        responses: Responses to clients' requests since then.
        extras: Second copies since then.
        draw: Source of randomness.
    """

    extra_share: float = 0.0
    responses: int = 0
    extras: int = 0
    unanswered_share: float = 0.0
    draw: random.Random = field(default_factory=lambda: random.Random(1))


@dataclass
class Replica:
    """A replica of a service; an engine if it has a model.

    Attributes:
        name: Its id.
        service: Its service.
        zone: Its zone.
        log: Writes a line of the record.
        model: The model that it holds; empty for a plain service.
        places: Adapters that fit.
        load_s: Returns the seconds that the load of an adapter takes from the weight store.
        has_model: Whether its model is loaded; replicas restart empty.
        loads_model: Whether its model is being loaded; no other order is taken then.
        event_s: Seconds between two events of a stream.
        events: Events of a whole stream.
        events_of: Returns the events of a stream by its adapter; None if all have `events`.
        work_s: Seconds that a request takes at a plain service.
        slots: Requests that it runs at once.
        fault: What it does wrong.
        runs: How often each request began to run, by its id.
        crashed: Whether it was ordered to load more than it holds.
        most_held: Most adapters that it was ordered to hold at a time.
        waiting: Adapter whose order waits for its runs to finish; no other order is taken.
    """

    name: str
    service: str
    zone: str
    log: Log
    model: str = ""
    places: int = 21
    load_s: Callable[[], float] = lambda: 0.25
    has_model: bool = True
    loads_model: bool = False
    event_s: float = 0.03
    events: int = 12
    events_of: Callable[[str], int] | None = None
    work_s: float = 0.06
    slots: int = 64
    fault: Fault = field(default_factory=Fault)
    runs: dict[str, int] = field(default_factory=dict)
    crashed: bool = False
    most_held: int = 0
    address: str = ""
    sequence: int = 0
    loaded: dict[str, int] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)
    in_use: dict[str, int] = field(default_factory=dict)
    waiting: str = ""
    _held_before: set[str] = field(default_factory=set)
    _connections: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def entry(self) -> dict[str, Any]:
        """Returns its entry for the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            "models": self._models(),
        }

    def _models(self) -> list[dict[str, Any]]:
        if not self.model or not self.has_model:
            return []
        adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        late: list[bytes] = []
        try:
            while (request := await http11.read_request(reader)) is not None:
                if not await self._answer(request, reader, writer, late):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _answer(
        self,
        request: http11.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        late: list[bytes],
    ) -> bool:
        """Answers one request; returns whether the connection is kept."""
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(http11.encode_response(421, {"X-Instance-Id": self.name}))
            return True
        if request.path == "/wigeonarch/report":
            writer.write(http11.encode_response(200, {}, json.dumps(self._report()).encode()))
            return True
        if request.path == "/wigeonarch/order":
            return await self._answer_order(json.loads(request.body), reader, writer)
        return await self._answer_call(request, reader, writer, late)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "colocated",
            "models": self._models(),
            "busy": self.loads_model,
            "seq": self.sequence,
            "queued": 0,
            "active": sum(self.in_use.values()),
            "kv_used": 0,
            "kv_total": 129183,
            "handles": 0,
            "pending": [f"{self.model}/{name}@{v}" for name, v in self.pending.items()],
        }

    # Orders.

    async def _answer_order(
        self, order: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        unanswered = self.fault.draw.random() < self.fault.unanswered_share
        held = len(self.loaded) + len(self.pending)
        status = self._carry_out(order)
        self.log(
            "order",
            replica=self.name,
            op=order["op"],
            adapter=order.get("adapter", ""),
            version=order.get("version", ""),
            expect=order.get("expect", "none"),
            holder=order["holder"],
            fence=order["fence"],
            status=status,
            answered=not unanswered,
            held_before=held,
            held=len(self.loaded) + len(self.pending),
            places=self.places,
        )
        if self.crashed:
            self._crash()
            return False
        if unanswered:
            await reader.read()  # Until the caller gives up.
            return False
        writer.write(http11.encode_response(status, {}))
        return True

    def _carry_out(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fence" not in order:
            return 400
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        name = order.get("adapter", "")
        if self.loads_model or self.waiting:
            return 409
        if not name:
            return self._load_model()
        if not self.has_model:
            return 421
        if order["op"] == "unload":
            return self._unload(name)
        version = order.get("version") or self.newest.get(name, 1)
        if self.loaded.get(name) == version or self.pending.get(name) == version:
            return 200
        if len(self.pending) >= MAX_PENDING:
            return 409
        self.sequence += 1
        if self.in_use.get(name):
            self._spawn(self._replace_when_idle(name, version))
            return 202
        self._begin_load(name, version)
        return 202

    def _load_model(self) -> int:
        if self.has_model:
            return 200
        self.sequence += 1
        self.loads_model = True
        self._spawn(self._end_model_load())
        return 202

    async def _end_model_load(self) -> None:
        await asyncio.sleep(MODEL_LOAD_SECONDS)
        self.loads_model = False
        self.has_model = True

    def _begin_load(self, name: str, version: int) -> None:
        self.loaded.pop(name, None)
        self.pending[name] = version
        self.most_held = max(self.most_held, len(self.loaded) + len(self.pending))
        self.crashed = self.most_held > self.places
        self._spawn(self._load(name, version))

    def _unload(self, name: str) -> int:
        if name not in self.loaded:
            return 200
        self.sequence += 1
        if self.in_use.get(name):
            self._spawn(self._unload_when_idle(name))
            return 202
        del self.loaded[name]
        return 200

    async def _unload_when_idle(self, name: str) -> None:
        await self._wait_until_idle(name)
        self.loaded.pop(name, None)

    async def _replace_when_idle(self, name: str, version: int) -> None:
        await self._wait_until_idle(name)
        self._begin_load(name, version)

    async def _wait_until_idle(self, name: str) -> None:
        """Waits for the runs that use an adapter to finish."""
        self.waiting = name
        while self.in_use.get(name):
            await asyncio.sleep(0.01)
        self.waiting = ""

    async def _load(self, name: str, version: int) -> None:
        seconds = self.load_s()
        if name in self._held_before:
            seconds /= WARM_SPEED
        self._held_before.add(name)
        await asyncio.sleep(seconds)
        if not self.crashed and self.pending.get(name) == version:
            del self.pending[name]
            self.loaded[name] = version

    def _crash(self) -> None:
        """Falls over, as a replica does that is ordered to load more than it holds."""
        self.log("crash", replica=self.name, running=sum(self.in_use.values()))
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Requests of clients.

    async def _answer_call(
        self,
        request: http11.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        late: list[bytes],
    ) -> bool:
        request_id = request.headers.get("x-request-id", "")
        self.fault.responses += self.fault.extra_share > 0.0
        refusal = self._refusal(request)
        if refusal is not None:
            self._flush_late(writer, late, request_id)
            status, headers = refusal
            headers["X-Request-Id"] = request_id
            encoded = http11.encode_response(status, headers)
            writer.write(encoded)
            self.log("refuse", replica=self.name, request=request_id, status=status)
            self._may_repeat_late(late, encoded, request_id)
            return True
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.log("run", replica=self.name, request=request_id, number=self.runs[request_id])
        self._flush_late(writer, late, request_id)
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"{self.name}.1"}
        if self.model:
            return await self._stream(request, reader, writer, headers)
        await asyncio.sleep(self.work_s)
        body = b"done by " + self.name.encode()
        writer.write(http11.encode_response(200, headers, body))
        return True

    def _refusal(self, request: http11.Request) -> tuple[int, dict[str, str]] | None:
        """Returns the status and headers with which a request is refused; None if it runs."""
        model, _, adapter = request.headers.get("x-model", "").partition("/")
        if model and not self.has_model:
            return 421, {"X-Instance-Id": self.name, "X-Not-Executed": "1"}
        wanted = request.headers.get("x-expect-version")
        if adapter and adapter not in self.loaded:
            return 421, {"X-Instance-Id": self.name, "X-Not-Executed": "1"}
        if adapter and wanted and self.loaded[adapter] != int(wanted):
            return 421, {"X-Instance-Id": self.name, "X-Not-Executed": "1"}
        if sum(self.in_use.values()) >= self.slots:
            return 503, {"X-Not-Executed": "1"}
        return None

    def _may_repeat_late(self, late: list[bytes], encoded: bytes, request_id: str) -> None:
        """Keeps a second copy of a refusal for later, if the fault's share allows it."""
        fault = self.fault
        is_allowed = fault.extra_share and fault.extras + 1 <= fault.extra_share * fault.responses
        if is_allowed and fault.draw.random() < REFUSALS_REPEATED:
            fault.extras += 1
            late.append(encoded)
            self.log("extra_pending", replica=self.name, request=request_id)

    def _flush_late(self, writer: asyncio.StreamWriter, late: list[bytes], request_id: str) -> None:
        for encoded in late:
            self.log("extra_sent", replica=self.name, before_answer_to=request_id)
            writer.write(encoded)
        late.clear()

    async def _stream(
        self,
        request: http11.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> bool:
        _, _, adapter = request.headers.get("x-model", "").partition("/")
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        try:
            head = {**headers, "Content-Type": "text/event-stream"}
            writer.write(http11.encode_response(200, head, None))
            events = self.events if self.events_of is None else self.events_of(adapter)
            for number in range(1, events + 1):
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(http11.encode_chunk(event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
                if reader.at_eof() or self.crashed:
                    request_id = headers["X-Request-Id"]
                    self.log("dropped", replica=self.name, request=request_id, events=number)
                    return False
            writer.write(http11.encode_chunk(b""))
            return True
        finally:
            self.in_use[adapter] -= 1

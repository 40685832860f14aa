"""Runs gateways of the deploy file as processes, with small stand-ins of all that is around them.

Everything is on loopback addresses that are drawn for each run. The store, the replicas and the
clients are asyncio servers and functions of this process, written by the pages of the users; where
a page is silent, they behave like a sound platform, server or client. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of sites/gm-blendhouse.toml, as its sheet and DEPLOY.md show them.
SETTINGS = """
role=gateway
machine_class=edge
serves=edge,control
region=leith
zones.mill-hall=leith
zones.bond-hall=leith
zones.quay-hall=leith
is_bootstrap=true
is_counted=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_ms=250
bounds.max_stretch_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=52
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.fencing_required=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overshoot=1.1
bounds.version_ms=5000
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304


class CouldNotRun(Exception):
    """The case could not be run."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


# HTTP of the stand-ins.


@dataclass
class Request:
    """A request as it came: names of headers in lower case, all else as sent."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)
    peer: str = ""

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    method, _, rest = lines[0].partition(" ")
    target = rest.rpartition(" ")[0]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a response with the length of its body."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A server of this process; closes its connections when it stops."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._accept, host, 0, limit=1 << 20)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while (request := await read_request(reader)) is not None:
                request.peer = peer
                if not await self.serve(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a request; returns whether the connection stays open."""
        raise NotImplementedError


# The platform's store.


class Store(Listener):
    """The platform's store: revisions, conditional writes, lists in pages, and watches.

    The content of an object is kept as bytes, as its writer sent it.
    """

    PAGE_OBJECTS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1000
        self.objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._events: list[tuple[int, float, str, bytes]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: bytes | dict[str, Any]) -> int:
        """Writes an object, as the operator, a replica or another writer does."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        async with self._changed:
            before = self.objects.get((kind, name))
            if before is not None and before[1] == raw:
                return before[0]
            self.revision += 1
            self.objects[kind, name] = self.revision, raw
            self._note(kind, self._document(kind, name), False)
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        async with self._changed:
            if (kind, name) in self.objects:
                self.revision += 1
                document = self._document(kind, name)
                del self.objects[kind, name]
                self._note(kind, document, True)

    def _document(self, kind: str, name: str) -> bytes:
        revision, raw = self.objects[kind, name]
        metadata = json.dumps({"name": name, "revision": revision}).encode()
        return b'{"metadata":' + metadata + b',"spec":' + raw + b"}"

    def _note(self, kind: str, document: bytes, deleted: bool) -> None:
        flag = b"true" if deleted else b"false"
        event = b'{"object":' + document + b',"deleted":' + flag + b"}"
        now = time.monotonic()
        self._events.append((self.revision, now, kind, event))
        while self._events and now - self._events[0][1] > 20.0:
            self._events.pop(0)
        self._changed.notify_all()

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        status, body = await self._execute(request)
        headers = {"Content-Type": "application/json", "Store-Era": "0"}
        writer.write(encode_response(status, headers, body))
        await writer.drain()
        return True

    async def _execute(self, request: Request) -> tuple[int, bytes]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/wigeonarch/objects/").partition("/")
        name = name.removesuffix("/status")
        if request.method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
            return 200, self._list(kind, query.get("after", ""))
        if request.method == "GET":
            found = (kind, name) in self.objects
            return (200, self._document(kind, name)) if found else (404, b"{}")
        if request.method == "DELETE":
            return await self._remove(kind, name, query.get("revision"))
        return await self._write(request, kind, name)

    def _list(self, kind: str, after: str) -> bytes:
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        items: list[bytes] = []
        size = 0
        for name in names[: self.PAGE_OBJECTS]:
            document = self._document(kind, name)
            if items and size + len(document) > self.PAGE_BYTES:
                break
            items.append(document)
            size += len(document)
        truncated = b"true" if len(items) < len(names) else b"false"
        return (
            b'{"items":[' + b",".join(items) + b'],"truncated":' + truncated
            + b',"as_of":%d}' % self.revision
        )

    async def _watch(self, kind: str, since: int, wait: float) -> tuple[int, bytes]:
        def events() -> list[bytes]:
            return [event for rev, _, k, event in self._events if rev > since and k == kind]

        if since > self.revision or (self._events and since < self._events[0][0] - 1):
            return 410, b"{}"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(events)
        return 200, b'{"events":[' + b",".join(events()) + b'],"as_of":%d}' % self.revision

    async def _write(self, request: Request, kind: str, name: str) -> tuple[int, bytes]:
        sent = json.loads(request.body)
        name = name or sent["metadata"]["name"]
        spec = json.dumps(sent["spec"]).encode()
        before = self.objects.get((kind, name))
        if request.method == "POST" and before is not None:
            return 409, self._document(kind, name)
        if request.method == "PUT":
            if before is None:
                return 404, b"{}"
            if sent["metadata"].get("revision", before[0]) != before[0]:
                return 409, self._document(kind, name)
        await self.put(kind, name, spec)
        return 200, self._document(kind, name)

    async def _remove(self, kind: str, name: str, revision: str | None) -> tuple[int, bytes]:
        before = self.objects.get((kind, name))
        if before is None:
            return 404, b"{}"
        if revision is not None and int(revision) != before[0]:
            return 409, self._document(kind, name)
        await self.delete(kind, name)
        return 200, b"{}"


# Replicas.


class Server(Listener):
    """A sound replica of a plain service.

    Attributes:
        ran: Requests that it began to run.
        turned_away: Requests that it answered with 421.
        answer: Called for each request that runs; writes the response, and returns whether the
            connection stays open. None for a small answer after `work` seconds.
    """

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.work = 0.06
        self.slots = 6
        self.ran: list[Request] = []
        self.turned_away: list[Request] = []
        self.answer: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.seq = 0
        self._record = record

    def entry(self, state: str = "ready") -> dict[str, Any]:
        self.seq += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
            "seq": self.seq,
        }

    def head(self, request: Request) -> dict[str, str]:
        return {"X-Request-Id": request.id, "X-Server-Stamp": f"3e1b.{self.name}.{len(self.ran)}"}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self.turned_away.append(request)
            self._record.line(f"421 {self.name} id={request.id} expected={expected}")
            writer.write(encode_response(421, {"X-Request-Id": request.id}, b""))
            return True
        self.ran.append(request)
        target = request.target if len(request.target) < 200 else f"({len(request.target)} bytes)"
        self._record.line(f"ran {self.name} id={request.id} {request.method} {target!r}")
        if self.answer is not None:
            return await self.answer(request, writer)
        await asyncio.sleep(self.work)
        writer.write(encode_response(200, self.head(request), b"done " + request.id.encode("latin-1")))
        await writer.drain()
        return True


MODEL = "daka510000"
ADAPTERS = 3000
ADAPTER_SLOTS = 21


class Engine(Server):
    """A sound replica of a language-model service, which holds one model and some adapters.

    Attributes:
        held: Adapters that it holds, with the times from which they can be used.
        orders: Orders as they came, with the status of each answer.
        overfilled: Whether it was ordered to load more adapters than it has places for.
    """

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        super().__init__(name, service, zone, record)
        self.slots = 64
        self.events = 20
        self.pause = 0.02
        self.software = "v1"
        self.held: dict[str, float] = {}
        self.in_use: dict[str, int] = {}
        self.orders: list[tuple[dict[str, Any], int]] = []
        self.overfilled = False
        self.accepted = 0

    def models(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        ready = [f"{name}@1" for name, at in self.held.items() if at <= now]
        return [{"name": MODEL, "version": 1, "adapters": ready}]

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return {**super().entry(state), "models": self.models(), "version": self.software}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get("x-expect-instance", self.name) == self.name:
            if request.target == "/wigeonarch/report":
                return self._report(writer)
            if request.target == "/wigeonarch/order":
                return self._order(request, writer)
            adapter = request.headers.get("x-model", "").partition("/")[2]
            if adapter and self.held.get(adapter, float("inf")) > time.monotonic():
                writer.write(encode_response(421, {"X-Request-Id": request.id}, b""))
                return True
        return await super().serve(request, writer)

    def _report(self, writer: asyncio.StreamWriter) -> bool:
        now = time.monotonic()
        pending = [f"{MODEL}/{name}@1" for name, at in self.held.items() if at > now]
        report = {
            "stage": "colocated", "models": self.models(), "busy": False, "seq": self.accepted,
            "queued": 0, "active": sum(self.in_use.values()), "kv_used": 0, "kv_total": 129183,
            "handles": 0, "pending": pending,
        }
        headers = {"Content-Type": "application/json"}
        writer.write(encode_response(200, headers, json.dumps(report).encode()))
        return True

    def _order(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        order = json.loads(request.body)
        status = self._carry_out(order)
        self.orders.append((order, status))
        writer.write(encode_response(status, {}, b""))
        return True

    def _carry_out(self, order: dict[str, Any]) -> int:
        adapter = order.get("adapter", "")
        number = adapter[1:]
        known = adapter[:1] == "a" and number.isdecimal() and 1 <= int(number) <= ADAPTERS
        if not order.get("holder") or not order.get("fence") or order["model"] != MODEL:
            return 400
        if adapter and not known:
            return 400
        if order.get("expect", self.accepted) != self.accepted:
            return 409
        now = time.monotonic()
        if order["op"] == "load":
            if not adapter or adapter in self.held:
                return 200
            if sum(at > now for at in self.held.values()) >= 4:
                return 409
            self.overfilled = self.overfilled or len(self.held) >= ADAPTER_SLOTS
            self.held[adapter] = now + 0.25
            self.accepted += 1
            return 202
        if self.in_use.get(adapter):
            return 409
        self.held.pop(adapter, None)
        self.accepted += 1
        return 200

    async def write_stream(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a request by a stream of events, in chunks; goes on after `Last-Event-Id`."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        adapter = request.headers.get("x-model", "").partition("/")[2]
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in self.head(request).items()]
            lines.append("Transfer-Encoding: chunked")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause)
                text = f"id: {number}\ndata: {self.software} {request.id}\n\n"
                event = text.encode("latin-1")
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.in_use[adapter] -= 1
        return True


async def heartbeat(store: Store, server: Server, interval: float = 1.2) -> None:
    """Writes a replica's entry as it does while it is alive."""
    while True:
        await store.put("servers", server.name, server.entry())
        await asyncio.sleep(interval)


# Gateways.


def deploy_role() -> tuple[list[str], dict[str, str]]:
    """Returns the command and the environment of the gateway's role in the deploy file."""
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
    return role["run"].split(), dict(role.get("env", {}))


@dataclass(frozen=True)
class Ports:
    """The ports of all gateways, which are the same on all machines."""

    front: int
    ready: int
    control: int
    internal: int

    @classmethod
    def find(cls, hosts: list[str]) -> Ports:
        """Returns ports that are free on all hosts."""
        found: list[int] = []
        while len(found) < 4:
            port = random.randint(20_000, 30_000)
            if port not in found and all(is_free(host, port) for host in hosts):
                found.append(port)
        return cls(*found)


def is_free(host: str, port: int) -> bool:
    """Tells whether a port can be bound by TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Gateway:
    """One gateway process, started by the deploy file's command."""

    def __init__(
        self, name: str, zone: str, host: str, ports: Ports, folder: Path, pairs: dict[str, str]
    ) -> None:
        self.name, self.zone, self.host = name, zone, host
        self.front, self.ready = (host, ports.front), (host, ports.ready)
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        own = {
            "node_name": name, "zone": zone, "ip": host,
            "internal_ports": f"{ports.internal},{ports.internal}",
            "listen.front": f"{host}:{ports.front}", "listen.ready": f"{host}:{ports.ready}",
            "listen.control_addr": f"{host}:{ports.control}", **pairs,
        }
        self._settings.write_text(SETTINGS + "\n".join(f"{k}={v}" for k, v in own.items()) + "\n")

    async def start(self) -> None:
        command, variables = deploy_role()
        if not (ROOT / "target" / "deps" / "wigeonarch_platform").is_dir():
            raise CouldNotRun("target/deps is missing: run the build of the deploy file")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = {
            **kept, **variables, "PYTHONPATH": "target/deps",
            "WIGEONARCH_NODE_FILE": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.starts += 1

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self, timeout: float = 1.0) -> bool:
        """Asks as the platform does."""
        answer = await call(self.ready, b"GET /wigeonarch/readyz HTTP/1.1\r\nHost: x\r\n\r\n", timeout)
        return answer.status == 200


# Clients.


@dataclass
class Answer:
    """What a client got; status 0 if there was no whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    took: float
    ended: str = ""


async def call(address: tuple[str, int], sent: bytes, timeout: float) -> Answer:
    """Sends a request on a new connection and reads its answer."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(sent)
            status, headers, body = await read_response(reader)
            return Answer(status, headers, body, time.monotonic() - began)
    except TimeoutError:
        return Answer(0, {}, b"", time.monotonic() - began, "time limit")
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return Answer(0, {}, b"", time.monotonic() - began, type(exc).__name__)
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads a response with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(lines[0].split()[1])
    if "chunked" in headers.get("transfer-encoding", ""):
        return status, headers, await read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, headers, body


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Reads a body in chunks up to its end."""
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def encode_request(
    method: str, target: str, request_id: str, deadline_ms: int = 1500, body: bytes = b"",
    more: str = "",
) -> bytes:
    """Returns a request as the clients of the pages send it."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{more}"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode("utf-8") + body


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


# The whole.


def route(name: str, kind: str, service: str, attempts: int, timeout_ms: int) -> dict[str, Any]:
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "route_kind": kind,
        "timeout_ms": timeout_ms, "slo_ms": 300, "priority": 2, "service": service,
        "attempts": attempts, "sticky": False, "resumable": False, "gap_target_ms": 0,
    }


def configuration(version: int = 4) -> dict[str, Any]:
    """Returns four of the routes of sites/gm-blendhouse.toml."""
    return {
        "version": version,
        "routes": [
            route("despatch-note", "non_idempotent", "order-desk", 1, 800),
            route("stock-check", "idempotent", "order-desk", 2, 800),
            {
                **route("batch-sheet", "streaming", "blend-scribe", 1, 15000),
                "slo_ms": 800, "sticky": True, "gap_target_ms": 250,
            },
            {
                **route("allergen-decl", "streaming", "blend-scribe", 2, 15000),
                "slo_ms": 1000, "sticky": True, "gap_target_ms": 250, "resumable": True,
                "priority": 1,
            },
        ],
        "services": [
            {"name": "order-desk", "max_conns": 96},
            {
                "name": "blend-scribe", "max_conns": 360,
                "engine": {
                    "slots": 64, "kv_capacity": 129183, "weights_mb": 75600.0,
                    "adapter_slots": ADAPTER_SLOTS, "loads_per_s": 2.8,
                    "models": [{
                        "name": MODEL, "weights_mb": 72700.0, "load_s": 0.81,
                        "adapters": ADAPTERS, "adapter_mb": 66.0,
                    }],
                },
            },
        ],
        "limits": {
            "max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 5000, "idle_timeout_ms": 15000,
        },
    }


ZONES = ("mill-hall", "bond-hall", "quay-hall")


@dataclass
class World:
    """A small deployment: the store, three replicas of a plain service, and some gateways."""

    folder: Path
    record: Record
    prefix: str = field(
        default_factory=lambda: f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
    )
    store: Store = field(default_factory=Store)
    servers: list[Server] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)

    async def start(self, gateways: int, engines: int = 0) -> None:
        """Starts all, and waits until the gateways are ready and serve."""
        await self.store.start(f"{self.prefix}.2")
        await self.store.put("config", "main", configuration())
        for number, zone in enumerate(ZONES):
            server = Server(f"i-desk-{number}", "order-desk", zone, self.record)
            await server.start(f"{self.prefix}.{100 + number}")
            self.servers.append(server)
            self.run(heartbeat(self.store, server))
        for number in range(engines):
            zone = ZONES[number % len(ZONES)]
            engine = Engine(f"i-llm-{number}", "blend-scribe", zone, self.record)
            engine.answer = engine.write_stream
            await engine.start(f"{self.prefix}.{120 + number}")
            self.engines.append(engine)
            self.run(heartbeat(self.store, engine))
        hosts = [f"{self.prefix}.{10 + number}" for number in range(gateways)]
        ports = Ports.find(hosts)
        pairs = {
            "seeds": ",".join(f"{host}:{ports.control}" for host in hosts[:3]),
            "platform.address": self.store.address,
        }
        for number, host in enumerate(hosts):
            zone = ZONES[number % len(ZONES)]
            gateway = Gateway(f"edge-{zone}-{number}", zone, host, ports, self.folder, pairs)
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await self.wait_until_serving(gateway)

    async def wait_until_serving(self, gateway: Gateway, seconds: float = 20.0) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            sent = encode_request("GET", "/stock-check/2f", new_id())
            if await gateway.is_ready() and (await call(gateway.front, sent, 2.0)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{gateway.name} does not serve")

    def run(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        for task in self.tasks:
            task.cancel()
        for listener in (*self.servers, *self.engines, self.store):
            await listener.stop()


def main(
    case: str, gateways: int, play: Callable[[World], Awaitable[int]], engines: int = 0
) -> None:
    """Runs a case; exits with its result."""
    folder = Path(case).resolve().parent
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            world = World(Path(temporary), record)
            try:
                async with asyncio.timeout(112):
                    await world.start(gateways, engines)
                    record.line(f"started trouble={int(TROUBLE)}")
                    return await play(world)
            except Exception as exc:  # Whatever goes wrong here is no broken rule.
                record.line(f"could not run: {exc!r}")
                traceback.print_exc()
                return NOT_RUN
            finally:
                await world.stop()
                for gateway in world.gateways:
                    (folder / "logs").mkdir(exist_ok=True) if "KEEP_LOGS" in os.environ else None
                    if "KEEP_LOGS" in os.environ:
                        (folder / "logs" / gateway.log.name).write_bytes(gateway.log.read_bytes())

    result = asyncio.run(run())
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result]
    record.line(f"result: {verdict}")
    print(f"{folder.name}: {verdict}")
    sys.exit(result)

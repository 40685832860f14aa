"""Randomised soak test: gateway processes run under injected faults while invariants are checked.

    python tests/soak.py --seed 7 --seconds 20 [--gateways 3] [--all-faults]

The seed determines all faults: which processes are killed, paused, stopped or restarted, how the
store and the endpoints fail, which connections a proxy delays, resets or silences, and when the
configuration and adapter versions change. Callers reuse open connections until the process exits.
The checks use only what callers received, what endpoints received and what the processes logged.
They hold at any time, so the result does not depend on the speed of the machine. Faults that were
added later are drawn only with `--all-faults`, so that older seeds replay unchanged.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import aiohttp
from gateway_world import HOST, configuration
from ports import free_port
from soak_brittle import POURING_PATH, BrittleChecks
from soak_copies import RefusalCopies
from soak_endpoints import FATAL_BODY, EndpointChecks
from soak_parts import PartChecks
from soak_teams import SETTINGS, UNLIMITED_TEAM, Teams
from soak_versions import StreamChecks
from standins.proxy import ConnectionMode, Proxy
from standins.replica import Replica, ReplicaFault
from standins.store import StoreFault, StoreStandIn

NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
# Required time between the last order of an engine's previous owner and the first of the next one.
MIN_OWNER_CHANGE_SECONDS = 3.0
FIRST_INCARNATION = 1000  # Start time that endpoints report for their first incarnation.
FOREIGN_ENTRIES = [None, 7, "text", {}, {"state": "ready"}, {"service": "llm", "address": 5}]
PLATFORM_RESTART_SECONDS = 0.5  # Until the platform starts a process again that ended by itself.
QUIET_SECONDS = 12.0  # From the last fault until all gateways must serve; leases take 9 s.
ENGINE_FAULTS = [ReplicaFault.CUT, ReplicaFault.RESET, ReplicaFault.SHED]
PLAIN_SERVICE_FAULTS = [fault for fault in ReplicaFault if fault is not ReplicaFault.NONE]


@dataclass
class Gateway:
    """A gateway process and the settings with which it can be restarted.

    SIGHUP ends a process whose program has not run yet: nothing but the interpreter's start can
    have come before its handler. Like the platform, the gateway then starts it again.

    Attributes:
        early_hangups: How often SIGHUP ended a process before its program ran.
        late_hangups: How often it ended one whose program had logged its start, which must not be.
    """

    number: int
    front_address: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    early_hangups: int = 0
    late_hangups: int = 0
    _starting: asyncio.Lock = field(default_factory=asyncio.Lock)
    _watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the process unless it is running."""
        async with self._starting:
            if self.process is not None and self.process.returncode is None:
                return
            env = {**os.environ, "WIGEONARCH_NODE_FILE": str(self.settings)}
            with self.settings.with_suffix(".log").open("ab") as log:
                size = log.tell()
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "wigeonarch_platform", env=env, stdout=log, stderr=log
                )
            self._watch = asyncio.create_task(self._restart_after_hangup(self.process, size))

    async def _restart_after_hangup(
        self, process: asyncio.subprocess.Process, log_size: int
    ) -> None:
        if await process.wait() != -signal.SIGHUP:
            return
        if b"event=started" in self.settings.with_suffix(".log").read_bytes()[log_size:]:
            self.late_hangups += 1
        else:
            self.early_hangups += 1
        await asyncio.sleep(PLATFORM_RESTART_SECONDS)
        await self.start()

    async def end(self) -> None:
        """Kills the process for good."""
        if self._watch is not None:
            self._watch.cancel()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class CallerResponse:
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 without a response.
        complete: Whether the whole body arrived.
    """

    path: str
    status: int
    body: bytes
    complete: bool


@dataclass
class Soak:
    """A deployment under injected faults.

    Attributes:
        responses: Responses by request id.
        injected_faults: Names of the faults, in order.
        all_faults: Whether to draw also the faults that were added later.
        teams: Authenticates requests and checks quotas; None if the deployment has no teams.
        endpoint_checks: Makes engines crash and endpoints limit requests, and checks how gateways
            react; None to do neither.
        part_checks: Sends requests that crash engines by a part of their prompts; None without.
        stream_checks: Takes up streams of several software versions; None if there is one.
        brittle_checks: Makes endpoints brittle, and one pour; None without.
    """

    rng: random.Random
    folder: Path
    store: StoreStandIn = field(default_factory=StoreStandIn)
    proxy: Proxy = field(default_factory=Proxy)
    gateways: list[Gateway] = field(default_factory=list)
    replicas: list[Replica] = field(default_factory=list)
    responses: dict[str, CallerResponse] = field(default_factory=dict)
    injected_faults: list[str] = field(default_factory=list)
    stopping: bool = False
    configuration_version: int = 1
    all_faults: bool = False
    teams: Teams | None = None
    endpoint_checks: EndpointChecks | None = None
    part_checks: PartChecks | None = None
    stream_checks: StreamChecks | None = None
    brittle_checks: BrittleChecks | None = None

    async def start(self, gateways: int) -> None:
        """Starts the stand-ins and the gateway processes."""
        await self.store.start()
        await self.proxy.start(self.store.address)
        await self._write_configuration()
        for number in range(3 if self.stream_checks is None else 5):
            await self._add_replica(Replica("llm", model="m", name=f"i-llm{number}", load_time=0.1))
        for number in range(2):
            await self._add_replica(Replica("desk", name=f"i-desk{number}"))
        if self.endpoint_checks is not None:
            self.endpoint_checks.prepare(self.replicas, self._write_entry)
        if self.part_checks is not None:
            self.part_checks.prepare(self.replicas)
        if self.brittle_checks is not None:
            self.brittle_checks.prepare(self.replicas, self._write_entry)
            pouring = self.brittle_checks.pouring
            await pouring.start()
            await self.store.put("servers", pouring.name, pouring.record())
        if self.stream_checks is not None:
            self.stream_checks.prepare(self.replicas)
            for replica in self.replicas:
                await self._write_entry(replica)
        peer_port = free_port("127.0.0.10", socket.SOCK_DGRAM)
        for number in range(gateways):
            gateway = self._make_gateway(number, peer_port)
            self.gateways.append(gateway)
            await gateway.start()

    async def _add_replica(self, replica: Replica) -> None:
        await replica.start()
        replica.incarnation = FIRST_INCARNATION
        self.replicas.append(replica)
        await self._write_entry(replica)

    async def _write_entry(self, replica: Replica) -> None:
        await self.store.put("servers", replica.name, replica.record())

    def _make_gateway(self, number: int, peer_port: int) -> Gateway:
        host = f"127.0.0.{number + 10}"
        front = f"{host}:{free_port(host)}"
        pairs = {
            "node_name": f"edge-{number}",
            "zone": "a",
            "ip": host,
            "listen.front": front,
            "listen.ready": f"{host}:{free_port(host)}",
            "internal_ports": f"{peer_port},{peer_port + 10}",
            "seeds": "127.0.0.10:1,127.0.0.11:1",
            "bounds.grace_s": "6",
            "bounds.lease_ms": str(int(MIN_OWNER_CHANGE_SECONDS * 1000)),
            "platform.address": self.proxy.address,
            **({} if self.teams is None else SETTINGS),
        }
        settings = self.folder / f"edge-{number}.conf"
        settings.write_text("\n".join(f"{key}={value}" for key, value in pairs.items()))
        return Gateway(number, front, settings)

    # Callers.

    async def send_requests(self, caller: int) -> None:
        """Sends requests on persistent connections until the soak ends."""
        rng = random.Random(f"{self.rng.random()}-{caller}")
        number = 0
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self.stopping:
                number += 1
                path = rng.choice(["/ask/x", "/book/x", "/write/x", "/draft/x"])
                await self._send_request(session, f"c{caller}-{number}", path, rng)
                await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def send_fatal_requests(self) -> None:
        """Repeats the request that crashes engines until the soak ends."""
        rng = random.Random(self.rng.random())
        number = 0
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self.stopping:
                number += 1
                await self._send_request(
                    session, f"fatal-{number}", "/write/x", rng, body=FATAL_BODY
                )
                await asyncio.sleep(rng.uniform(0.1, 0.6))

    async def send_parts(self) -> None:
        """Sends requests with the fatal part, and sound ones beside, until the soak ends."""
        assert self.part_checks is not None
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            await self.part_checks.send_requests(
                partial(self._send_part, session, None), lambda: self.stopping
            )

    async def call_pouring(self) -> None:
        """Sends requests to the endpoint that pours until the soak ends."""
        assert self.brittle_checks is not None
        rng = self.brittle_checks.rng
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            await self.brittle_checks.call_pouring(
                lambda number: self._send_request(session, number, POURING_PATH, rng),
                lambda: self.stopping,
            )

    async def _send_part(
        self,
        session: aiohttp.ClientSession,
        gateway: Gateway | None,
        request_id: str,
        body: bytes,
        prefix: str,
    ) -> bool:
        """Sends a request with parts of a prompt; returns whether it was served."""
        assert self.part_checks is not None
        await self._send_request(
            session, request_id, "/write/x", self.part_checks.rng, gateway, "", body, prefix
        )
        return self.responses[request_id].status == 200

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        request_id: str,
        path: str,
        rng: random.Random,
        gateway: Gateway | None = None,
        team: str = "",
        body: bytes = b"",
        prefix: str = "",
    ) -> None:
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
        if prefix:
            headers["X-Prefix-Hash"] = prefix
        if path in ("/write/x", "/draft/x"):
            headers["X-Model"] = f"m/a{min(int(rng.paretovariate(0.8)), 12)}"
            headers["X-Token-Counts"] = "100,20"
        if self.teams is not None:
            headers |= self.teams.authorize(request_id, rng, team)
        gateway = gateway or rng.choice(self.gateways)
        parts: list[bytes] = []
        status, complete = 0, False
        try:
            async with (
                asyncio.timeout(6),
                session.post(
                    f"http://{gateway.front_address}{path}",
                    data=body or request_id.encode(),
                    headers=headers,
                ) as resp,
            ):
                status = resp.status
                async for part in resp.content.iter_any():
                    parts.append(part)
                complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.responses[request_id] = CallerResponse(path, status, b"".join(parts), complete)

    # Faults.

    async def inject_faults(self, seconds: float) -> None:
        """Injects faults, which may overlap, for the given time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end:
            fault = self.rng.choice(self._faults())
            self.injected_faults.append(fault.__name__)
            running.add(asyncio.create_task(fault()))  # type: ignore[arg-type]
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        self.store.fault = StoreFault.NONE
        self.proxy.mode = ConnectionMode.OPEN

    def _faults(self) -> list[Callable[[], Awaitable[None]]]:
        # A seed depends on the order of this list; the names of the methods are printed.
        return [
            self.kill,
            self.stop,
            self.pause,
            self.reload,
            self.store_trouble,
            self.store_history,
            self.store_way,
            self.replica_trouble,
            self.late_orders,
            self.new_version,
            self.new_configuration,
            self.leave,
            *([self.restart, self.foreign] if self.all_faults else []),
            *([self.older_store, self.rest] if self.endpoint_checks is not None else []),
        ]

    async def kill(self) -> None:
        """Kills a gateway and starts it again."""
        gateway = self.rng.choice(self.gateways)
        begin = time.monotonic()
        gateway.send_signal(signal.SIGKILL)
        await self._start_again(gateway, begin)

    async def stop(self) -> None:
        """Shuts a gateway down gracefully and starts it again."""
        gateway = self.rng.choice(self.gateways)
        begin = time.monotonic()
        gateway.send_signal(signal.SIGTERM)
        await self._start_again(gateway, begin)

    async def _start_again(self, gateway: Gateway, begin: float) -> None:
        if gateway.process is not None:
            await gateway.process.wait()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await gateway.start()
        self._note_disturbance([gateway], begin)

    def _note_disturbance(self, gateways: list[Gateway], begin: float) -> None:
        if self.endpoint_checks is not None:
            for gateway in gateways:
                self.endpoint_checks.note_disturbance(
                    gateway.front_address.partition(":")[0], begin
                )

    async def pause(self) -> None:
        """Suspends a gateway process for up to 6 s."""
        gateway = self.rng.choice(self.gateways)
        begin = time.monotonic()
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 6.0))
        gateway.send_signal(signal.SIGCONT)
        self._note_disturbance([gateway], begin)

    async def reload(self) -> None:
        """Makes a gateway reload its settings."""
        self.rng.choice(self.gateways).send_signal(signal.SIGHUP)

    async def store_trouble(self) -> None:
        """Makes the store fail calls."""
        self.store.fault = self.rng.choice(list(StoreFault))
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.store.fault = StoreFault.NONE

    async def store_history(self) -> None:
        """Compacts the store's history, so that watches have to start again."""
        await self.store.compact_history()

    async def older_store(self) -> None:
        """Makes the store unreachable for a moment, then restores a copy some seconds old."""
        self.store.take_copy()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.proxy.mode = ConnectionMode.RESET
        begin = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        await self.store.restore_copy()
        self.proxy.mode = ConnectionMode.OPEN
        self._note_disturbance(self.gateways, begin)
        # The operator and the endpoints repeat what they wrote after the copy was made.
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        await self._write_configuration()
        for replica in self.replicas:
            if not replica.leaving:
                await self._write_entry(replica)

    async def rest(self) -> None:
        """Makes an endpoint reject all requests and ask for a cooldown in each rejection."""
        replica = self.rng.choice(self.replicas)
        replica.retry_after = str(self.rng.choice((1, 2.5)))
        replica.fault = ReplicaFault.SHED
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        replica.fault = ReplicaFault.NONE
        replica.retry_after = ""

    async def store_way(self) -> None:
        """Delays, resets or silences the connections to the store, or drops only its responses."""
        self.proxy.mode = self.rng.choice(list(ConnectionMode))
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        self.proxy.mode = ConnectionMode.OPEN

    async def replica_trouble(self) -> None:
        """Makes an endpoint send faulty responses."""
        replica = self.rng.choice(self.replicas)
        replica.fault = self.rng.choice(ENGINE_FAULTS if replica.model else PLAIN_SERVICE_FAULTS)
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        replica.fault = ReplicaFault.NONE

    async def late_orders(self) -> None:
        """Makes an engine execute orders late and send no response to them."""
        replica = self.rng.choice([replica for replica in self.replicas if replica.model])
        replica.delays_orders = True
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        replica.delays_orders = False

    async def new_version(self) -> None:
        """Publishes a new version of an adapter."""
        name = f"a{self.rng.randrange(1, 6)}"
        for replica in self.replicas:
            replica.newest_versions[name] = replica.newest_versions.get(name, 1) + 1
        spec = {"model": "m", "adapter": name, "version": self.replicas[0].newest_versions[name]}
        await self.store.put("versions", f"m.{name}", spec)

    async def new_configuration(self) -> None:
        """Writes the next version of the configuration."""
        self.configuration_version += self.rng.randrange(1, 4)
        if self.teams is not None:
            self.teams.rotate_keys()
        await self._write_configuration()

    async def _write_configuration(self) -> None:
        teams = None if self.teams is None else self.teams.configuration_entries()
        document = configuration(self.configuration_version, teams=teams)
        if self.brittle_checks is not None:
            self.brittle_checks.extend(document)
        await self.store.put("config", "main", document)

    async def leave(self) -> None:
        """Makes an endpoint announce that it is leaving, and later come back as a new incarnation.

        With `endpoint_checks` its responses announce it first; its entry may follow late or never.
        """
        replica = self.rng.choice(self.replicas)
        if self.endpoint_checks is not None:
            replica.leaving = True
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        await self.store.put("servers", replica.name, replica.record("draining"))
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        replica.leaving = False
        replica.restart()
        await self.store.put("servers", replica.name, replica.record())

    async def restart(self) -> None:
        """Restarts an endpoint under the same id while it is running requests and orders."""
        replica = self.rng.choice(self.replicas)
        if self.stream_checks is not None:
            self.stream_checks.change_software(replica)
        replica.restart()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.store.put("servers", replica.name, replica.record())

    async def foreign(self) -> None:
        """Writes invalid entries to the store, one of them over an endpoint's entry."""
        replica, spec = self.rng.choice(self.replicas), self.rng.choice(FOREIGN_ENTRIES)
        for kind, name in (("servers", replica.name), ("servers", "i-x"), ("versions", "m.a1")):
            await self.store.put(kind, name, spec)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        await self.store.put("servers", replica.name, replica.record())

    # Checks.

    async def check_recovery(self) -> list[str]:
        """Returns the gateways and paths that fail although all faults have ended."""
        await asyncio.sleep(QUIET_SECONDS)
        failures = []
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            for gateway in self.gateways:
                for path in ("/ask/x", "/write/x"):
                    if not await self._serves(session, gateway, path):
                        failures.append(f"RECOVERY: edge-{gateway.number} does not serve {path}")
                if self.part_checks is not None and not await self._serves_parts(session, gateway):
                    failures.append(f"RECOVERY: edge-{gateway.number} serves no sound part")
        return failures

    async def _serves_parts(self, session: aiohttp.ClientSession, gateway: Gateway) -> bool:
        assert self.part_checks is not None
        send = partial(self._send_part, session, gateway)
        for _ in range(40):
            if await self.part_checks.serves_sound_requests(send):
                return True
            await asyncio.sleep(0.25)
        return False

    async def _serves(self, session: aiohttp.ClientSession, gateway: Gateway, path: str) -> bool:
        for attempt in range(40):
            request_id = f"end-{gateway.number}-{path[1]}-{attempt}"
            await self._send_request(
                session, request_id, path, random.Random(request_id), gateway, UNLIMITED_TEAM
            )
            if self.responses[request_id].status == 200:
                return True
            await asyncio.sleep(0.25)
        return False

    def violations(self) -> list[str]:
        """Returns the violated invariants, judged by what callers and endpoints received."""
        executions = Counter(
            one.headers.get("x-request-id", "") for r in self.replicas for one in r.executed
        )
        taken_up = set(self.stream_checks.sent) if self.stream_checks is not None else set()
        violations = [
            f"UNASKED: {request_id} ran"
            for request_id in executions
            if request_id not in self.responses and request_id not in taken_up
        ]
        violations += [
            f"RELOAD: SIGHUP ended edge-{gateway.number}, which had started"
            for gateway in self.gateways
            if gateway.late_hangups
        ]
        for request_id, response in self.responses.items():
            violations += self._response_violations(request_id, response, executions[request_id])
        for replica in self.replicas:
            violations += _order_violations(replica)
        if self.teams is not None:
            violations += self.teams.violations(self.replicas, self.folder)
        if self.endpoint_checks is not None:
            violations += self.endpoint_checks.violations(self.replicas)
        if self.part_checks is not None and self.endpoint_checks is not None:
            is_settled = self.endpoint_checks.is_from_settled_gateway
            violations += self.part_checks.violations(self.replicas, is_settled)
        if self.brittle_checks is not None and self.endpoint_checks is not None:
            violations += self.brittle_checks.violations(self.endpoint_checks.was_settled)
        if self.stream_checks is not None:
            violations += self.stream_checks.violations()
        return violations

    def _response_violations(
        self, request_id: str, response: CallerResponse, executions: int
    ) -> list[str]:
        violations = []
        if response.path in ("/book/x", "/write/x") and executions > 1:
            violations.append(f"TWICE: {request_id} ran {executions} times")
        if (
            response.path in ("/book/x", "/write/x")
            and response.status in NOT_EXECUTED_STATUSES
            and executions
        ):
            violations.append(f"REFUSED: {request_id} got {response.status} and ran")
        if response.status != 200 or not response.complete:
            return violations
        if response.path in ("/write/x", "/draft/x"):
            checks = self.stream_checks
            whole = {STREAM} if checks is None else checks.whole_streams()
            if response.body not in whole:
                violations.append(f"ORDER: {request_id} got {response.body[-40:]!r}")
        elif not response.body.endswith(b" to " + request_id.encode()):
            violations.append(f"MIXED: {request_id} got {response.body[:60]!r}")
        return violations

    async def stop_all(self) -> None:
        """Stops the processes and stand-ins that this soak started."""
        self.stopping = True
        for gateway in self.gateways:
            await gateway.end()
        for replica in self.replicas:
            await replica.stop()
        if self.brittle_checks is not None:
            await self.brittle_checks.pouring.stop()
        await self.proxy.stop()
        await self.store.stop()


def _order_violations(replica: Replica) -> list[str]:
    """Returns the violated invariants of the orders that one engine received."""
    violations = []
    if replica.overfill_count:
        violations.append(f"LIMIT: {replica.name} was overfilled {replica.overfill_count} times")
    last: tuple[float, str, int] | None = None
    for at, owner, fence in replica.order_arrivals:
        if last is not None and fence < last[2]:
            violations.append(f"ONE: {replica.name} got fence {fence} after {last[2]}")
        if last is not None and owner != last[1] and at - last[0] < MIN_OWNER_CHANGE_SECONDS:
            violations.append(f"ONE: {replica.name} got orders of {last[1]} and {owner}")
        if last is not None and owner != last[1] and fence == last[2]:
            violations.append(f"ONE: {replica.name} got fence {fence} from two holders")
        last = (at, owner, fence)
    return violations


async def run(
    seed: int,
    seconds: float,
    gateways: int,
    callers: int,
    all_faults: bool = False,
    teams: bool = False,
    endpoint_checks: bool = False,
    versions: bool = False,
    parts: bool = False,
    brittle: bool = False,
    copies: bool = False,
) -> tuple[Soak, list[str]]:
    """Runs one seed; returns the soak and the violated invariants."""
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        soak = Soak(random.Random(seed), Path(name), all_faults=all_faults)
        soak.teams = Teams(random.Random(seed)) if teams else None
        soak.endpoint_checks = EndpointChecks(random.Random(seed)) if endpoint_checks else None
        soak.part_checks = PartChecks(random.Random(seed)) if parts else None
        soak.stream_checks = StreamChecks(random.Random(seed)) if versions else None
        soak.brittle_checks = BrittleChecks(random.Random(seed)) if brittle else None
        refusal_copies = RefusalCopies(random.Random(seed)) if copies else None
        await soak.start(gateways)
        tasks = [asyncio.create_task(soak.send_requests(number)) for number in range(callers)]
        if soak.endpoint_checks is not None:
            tasks.append(asyncio.create_task(soak.send_fatal_requests()))
            tasks.append(asyncio.create_task(soak.endpoint_checks.vary_rate_limit(seconds)))
        if refusal_copies is not None:
            tasks.append(asyncio.create_task(refusal_copies.vary(soak.replicas, seconds)))
        if soak.part_checks is not None:
            tasks.append(asyncio.create_task(soak.send_parts()))
        if soak.brittle_checks is not None:
            tasks.append(asyncio.create_task(soak.brittle_checks.vary(seconds)))
            tasks.append(asyncio.create_task(soak.call_pouring()))
        if soak.stream_checks is not None:
            addresses = [gateway.front_address for gateway in soak.gateways]
            tasks += [
                asyncio.create_task(
                    soak.stream_checks.take_up_streams(number, addresses, lambda: soak.stopping)
                )
                for number in range(callers)
            ]
        try:
            await asyncio.sleep(3.0)
            await soak.inject_faults(seconds)
            violations = await soak.check_recovery()
            soak.stopping = True
            await asyncio.gather(*tasks)
            return soak, violations + soak.violations()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await soak.stop_all()


def main() -> int:
    """Runs a series of seeds; returns 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description="Runs gateways under injected faults.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, run in sequence")
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of the faults")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--all-faults", action="store_true", help="draw also faults added later")
    parser.add_argument("--teams", action="store_true", help="callers authenticate as teams")
    parser.add_argument("--needs", action="store_true", help="endpoints crash and limit requests")
    parser.add_argument("--versions", action="store_true", help="several software versions serve")
    parser.add_argument(
        "--parts", action="store_true", help="with --needs: parts of prompts crash engines, too"
    )
    parser.add_argument(
        "--brittle", action="store_true", help="with --needs: endpoints fall, and one pours"
    )
    parser.add_argument("--copies", action="store_true", help="endpoints repeat refusals late")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        options = (args.seconds, args.gateways, args.callers)
        kinds = (args.all_faults, args.teams, args.needs, args.versions, args.parts)
        coroutine = run(seed, *options, *kinds, brittle=args.brittle, copies=args.copies)
        soak, violations = asyncio.run(coroutine)
        statuses = Counter(response.status for response in soak.responses.values())
        print(f"seed={seed} requests={len(soak.responses)} statuses={dict(statuses)}", flush=True)
        early = sum(gateway.early_hangups for gateway in soak.gateways)
        print(f"  faults={dict(Counter(soak.injected_faults))} early_hangups={early}", flush=True)
        if soak.stream_checks is not None:
            print(f"  {soak.stream_checks.count()}", flush=True)
        for line in violations[:20]:
            print(f"  BROKEN {line}", flush=True)
        failed += bool(violations)
    print(f"{args.seeds} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())

"""Shows the gateway to a newcomer: separate processes on loopback, one thing after the other.

    make gateway-demo          # runs the steps; exits 0 only if each showed what it says
    python tests/gateway_demo.py --keep    # leaves all running until Ctrl-C

A stand-in of the store, two engines with adapters, one plain service, and four gateways in two
availability zones. Each step tells what was shown and how to see it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
from gateway_world import HOST, configuration, route
from ports import free_port

WAIT_SECONDS: Final = 20.0  # Seconds within which what a step waits for must be true.
POLL_INTERVAL: Final = 0.05
REQUESTS_PER_STEP: Final = 12  # Requests of a step that asks for several.
OUTAGE_SECONDS: Final = 4.0  # Seconds for which the store does not answer.
ENGINES: Final = {"i-llm-a": "a", "i-llm-b": "b"}
REPLACEMENT_ENGINE: Final = "i-llm-a2"  # Takes the place of one that leaves.
ZONES: Final = ("a", "a", "b", "b")
TESTS: Final = Path(__file__).parent


class StepFailedError(Exception):
    """A step did not show what it should."""


@dataclass
class Program:
    """One process and its log."""

    name: str
    log: Path
    process: asyncio.subprocess.Process

    def log_lines(self) -> list[str]:
        """Returns what it wrote."""
        return self.log.read_text().splitlines()

    def send_signal(self, number: int) -> None:
        """Sends it a signal, by its id, if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class CallerResponse:
    """What a caller got."""

    status: int
    body: bytes
    request_id: str


@dataclass
class Demo:
    """The deployment.

    Attributes:
        fronts: Address of each gateway that should serve.
    """

    folder: Path
    session: aiohttp.ClientSession
    programs: dict[str, Program] = field(default_factory=dict)
    records: dict[str, dict[str, Any]] = field(default_factory=dict)
    front_addresses: dict[str, str] = field(default_factory=dict)
    store_address: str = ""
    request_count: int = 0

    # Processes.

    async def start(self) -> None:
        """Starts all processes."""
        self.store_address = await self._start_standin("store", "store")
        await self.write_object("POST", "config", "main", configuration())
        for name, zone in ENGINES.items():
            await self.add_endpoint(name, "llm", zone, "--model", "m")
        await self.add_endpoint("i-desk", "desk", "a")
        peer_port = free_port("127.0.0.10", socket.SOCK_DGRAM)
        for number, zone in enumerate(ZONES):
            await self._start_gateway(number, zone, peer_port)

    async def _start_standin(self, name: str, *words: str) -> str:
        program = await self._start_process(
            name, {"PYTHONPATH": str(TESTS)}, "-m", "standins", *words
        )

        def ready() -> bool:
            return any(line.startswith("ready ") for line in program.log_lines())

        await wait_until(ready, f"{name} listens")
        return program.log_lines()[0].split()[1]

    async def add_endpoint(self, name: str, service: str, zone: str, *more: str) -> None:
        """Starts an endpoint and enters it into the store."""
        words = ("--service", service, "--zone", zone, "--name", name, *more)
        address = await self._start_standin(name, "replica", *words)
        models = [{"name": "m", "version": 1, "adapters": []}] if more else []
        self.records[name] = {
            "service": service,
            "address": address,
            "zone": zone,
            "slots": 8,
            "state": "ready",
            "models": models,
        }
        await self.write_object("POST", "servers", name, self.records[name])

    async def _start_gateway(self, number: int, zone: str, peer_port: int) -> None:
        host, name = f"127.0.0.{number + 10}", f"edge-{number}"
        self.front_addresses[name] = f"{host}:{free_port(host)}"
        pairs = {
            "node_name": name,
            "zone": zone,
            "ip": host,
            "listen.front": self.front_addresses[name],
            "listen.ready": f"{host}:{free_port(host)}",
            "internal_ports": f"{peer_port},{peer_port + 10}",
            "seeds": "127.0.0.10:1,127.0.0.12:1",
            "bounds.grace_s": "6",
            "bounds.lease_ms": "3000",
            "platform.address": self.store_address,
        }
        settings = self.folder / f"{name}.conf"
        settings.write_text("\n".join(f"{key}={value}" for key, value in pairs.items()))
        environment = {"WIGEONARCH_NODE_FILE": str(settings)}
        await self._start_process(name, environment, "-m", "wigeonarch_platform")

    async def _start_process(self, name: str, environment: dict[str, str], *words: str) -> Program:
        path = self.folder / f"{name}.log"
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *words, env={**os.environ, **environment}, stdout=log, stderr=log
            )
        self.programs[name] = Program(name, path, process)
        return self.programs[name]

    async def stop_all(self) -> None:
        """Ends all processes."""
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGKILL)
        await asyncio.gather(*(program.process.wait() for program in self.programs.values()))

    # What operators and callers do.

    async def write_object(
        self, method: str, kind: str, name: str, spec: dict[str, Any] | None = None
    ) -> None:
        """Writes an object to the store, or deletes it."""
        body = json.dumps({"metadata": {"name": name}, "spec": spec})
        tail = "" if method == "POST" else f"/{name}"
        url = f"http://{self.store_address}/wigeonarch/objects/{kind}{tail}"
        async with self.session.request(method, url, data=body) as resp:
            if resp.status != 200:
                raise StepFailedError(f"the store answered {resp.status}")

    async def send_request(self, path: str, gateway: str = "", adapter: str = "") -> CallerResponse:
        """Sends a request to a gateway; to one after the other where none is named."""
        self.request_count += 1
        request = f"demo-{self.request_count}"
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "8000"}
        if adapter:
            headers |= {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}
        names = list(self.front_addresses)
        front = self.front_addresses[gateway or names[self.request_count % len(names)]]
        url = f"http://{front}{path}"
        async with self.session.post(url, data=request, headers=headers) as resp:
            return CallerResponse(resp.status, await resp.read(), request)

    async def send_requests(self, path: str, adapter: str = "") -> list[CallerResponse]:
        """Sends some requests; all must be answered."""
        answers = [await self.send_request(path, adapter=adapter) for _ in range(REQUESTS_PER_STEP)]
        failed = [answer for answer in answers if answer.status != 200]
        require(not failed, f"not answered: {failed}")
        return answers

    async def wait_until_served(self, path: str, adapter: str = "") -> None:
        """Waits until each gateway serves a path."""
        for gateway in self.front_addresses:

            async def answered(name: str = gateway) -> bool:
                with contextlib.suppress(aiohttp.ClientError):
                    return (await self.send_request(path, name, adapter)).status == 200
                return False

            await wait_until_async(answered, f"{gateway} serves {path}")

    def owners(self, engine: str) -> set[str]:
        """Returns the gateways that have taken an engine to order it."""
        claimed = f"endpoint={engine} "
        return {
            name
            for name in self.programs
            for line in self.programs[name].log_lines()
            if "event=claim " in line and claimed in line and "result=StoredObject" in line
        }

    def has_logged(self, gateway: str, endpoint: str, what: str) -> bool:
        """Tells whether a gateway has logged something of an endpoint."""
        lines = self.programs[gateway].log_lines()
        return any(f"endpoint={endpoint} " in line and what in line for line in lines)

    def executed_requests(self, name: str) -> list[str]:
        """Returns the requests that an endpoint ran."""
        return [line[4:] for line in self.programs[name].log_lines() if line.startswith("ran ")]


def require(condition: bool, message: str) -> None:
    """Ends a step that did not show what it should.

    Raises:
        NotShownError: It did not.
    """
    if not condition:
        raise StepFailedError(message)


async def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Waits for a condition.

    Raises:
        NotShownError: It was not true in time.
    """

    async def found() -> bool:
        return condition()

    await wait_until_async(found, what)


async def wait_until_async(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Waits for a condition that asks somebody.

    Raises:
        NotShownError: It was not true in time.
    """
    end = time.monotonic() + WAIT_SECONDS
    while not await condition():
        require(time.monotonic() < end, f"not within {WAIT_SECONDS:.0f} s: {what}")
        await asyncio.sleep(POLL_INTERVAL)


# Steps: each returns what was shown and how to see it.


async def all_serve(demo: Demo) -> tuple[str, str]:
    """Four gateways serve."""
    await demo.wait_until_served("/ask/x")
    front = demo.front_addresses["edge-0"]
    return (
        f"four gateways in two zones serve, each at its own door: {', '.join(demo.front_addresses)}",
        f"curl -s -H 'Host: {HOST}' -d hello http://{front}/ask/x",
    )


async def stream(demo: Demo) -> tuple[str, str]:
    """A stream comes whole."""
    await demo.wait_until_served("/write/x", "a1")
    answer = await demo.send_request("/write/x", "edge-3", "a1")
    pieces = answer.body.count(b"data: ")
    require(pieces == 6, f"{pieces} pieces of 6")
    front = demo.front_addresses["edge-3"]
    return (
        "an answer streamed by an engine, whole",
        f"curl -sN -H 'Host: {HOST}' -H 'X-Model: m/a1' -d hi http://{front}/write/x",
    )


async def rare_adapter(demo: Demo) -> tuple[str, str]:
    """An adapter is loaded for the request that names it."""
    answer = await demo.send_request("/write/x", "edge-2", "rare")
    require(answer.status == 200, f"{answer}")
    logs = " ".join(str(demo.programs[name].log) for name in demo.front_addresses)
    return (
        "a request for an adapter that no engine held: it was loaded, then the request ran",
        f"wigeonctl explain {answer.request_id} --logs {logs}",
    )


async def run_once(demo: Demo) -> tuple[str, str]:
    """What may not be repeated ran once."""
    answers = await demo.send_requests("/book/x")
    runs = demo.executed_requests("i-desk")
    require(all(runs.count(answer.request_id) == 1 for answer in answers), f"{runs}")
    return (
        f"{REQUESTS_PER_STEP} calls that may not be repeated: each ran once",
        f"grep ran {demo.programs['i-desk'].log}",
    )


async def engine_leaves(demo: Demo) -> tuple[str, str]:
    """An engine that leaves gets nothing more."""
    leaving = "i-llm-a"
    await demo.write_object(
        "PUT", "servers", leaving, {**demo.records[leaving], "state": "draining"}
    )

    async def unused() -> bool:
        before = len(demo.executed_requests(leaving))
        await demo.send_requests("/write/x", "a1")
        return len(demo.executed_requests(leaving)) == before

    await wait_until(
        lambda: all(
            demo.has_logged(name, leaving, "state=leaving") for name in demo.front_addresses
        ),
        f"all gateways know that {leaving} leaves",
    )
    await wait_until_async(unused, f"{leaving} gets no request")
    demo.programs[leaving].send_signal(signal.SIGTERM)
    await demo.write_object("DELETE", "servers", leaving)
    await demo.add_endpoint(REPLACEMENT_ENGINE, "llm", "a", "--model", "m")
    await wait_until(
        lambda: bool(demo.owners(REPLACEMENT_ENGINE)), f"somebody orders {REPLACEMENT_ENGINE}"
    )
    return (
        f"{leaving} said that it leaves: the other engine ran all, {REPLACEMENT_ENGINE} took its place",
        f"grep endpoint_state {demo.programs['edge-0'].log}",
    )


async def gateway_killed(demo: Demo) -> tuple[str, str]:
    """The others go on, and load adapters as before."""
    engine = REPLACEMENT_ENGINE
    killed = next(iter(demo.owners(engine)))
    demo.programs[killed].send_signal(signal.SIGKILL)
    await demo.programs[killed].process.wait()
    del demo.front_addresses[killed]
    await demo.send_requests("/ask/x")
    await wait_until(lambda: bool(demo.owners(engine) - {killed}), f"another one orders {engine}")
    await demo.wait_until_served("/write/x", "after-the-kill")
    return (
        f"{killed}, which ordered {engine}, was killed: the others answer all, one took it over",
        f"grep -h claim {demo.folder}/edge-*.log",
    )


async def store_away(demo: Demo) -> tuple[str, str]:
    """Requests are served while the store does not answer."""
    asked = demo.request_count
    demo.programs["store"].send_signal(signal.SIGSTOP)
    try:
        end = time.monotonic() + OUTAGE_SECONDS
        while time.monotonic() < end:
            await demo.send_requests("/ask/x")
            await demo.send_requests("/write/x", "a1")
        answer = await demo.send_request("/write/x", adapter="during-the-outage")
        require(answer.status == 200, f"{answer}")
    finally:
        demo.programs["store"].send_signal(signal.SIGCONT)
    return (
        f"the store was silent for {OUTAGE_SECONDS:.0f} s: all of {demo.request_count - asked} requests were "
        "answered meanwhile, one with an adapter that had to be loaded",
        f"grep -ho 'store_away=[A-Za-z]*' {demo.folder}/edge-*.log",
    )


async def configuration_changed(demo: Demo) -> tuple[str, str]:
    """A new route is served everywhere."""
    new = configuration(2, route("news", "idempotent", "desk"))
    begun = time.monotonic()
    await demo.write_object("PUT", "config", "main", new)
    await demo.wait_until_served("/news/x")
    took = time.monotonic() - begun
    return (
        f"a configuration with a new route: served by all gateways within {took:.1f} s",
        f"grep -h configuration_in_force {demo.folder}/edge-*.log",
    )


Step = Callable[[Demo], Awaitable[tuple[str, str]]]
STEPS: Final[tuple[Step, ...]] = (
    all_serve,
    stream,
    rare_adapter,
    run_once,
    engine_leaves,
    gateway_killed,
    store_away,
    configuration_changed,
)


@contextlib.asynccontextmanager
async def running_demo(folder: Path) -> AsyncIterator[Demo]:
    """Starts the deployment, with its logs in a folder, and ends it."""
    timeout = aiohttp.ClientTimeout(total=WAIT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        demo = Demo(folder, session)
        try:
            await demo.start()
            yield demo
        finally:
            await demo.stop_all()


async def wait_for_signal() -> None:
    """Waits until somebody ends the demo."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


async def run_steps(keep: bool) -> int:
    """Runs the steps; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="wigeonarch-demo-") as folder:
        async with running_demo(Path(folder)) as demo:
            for number, step in enumerate(STEPS, 1):
                try:
                    shown, how = await step(demo)
                except StepFailedError as exc:
                    print(f"{number}. {step.__name__}: NOT SHOWN: {exc}", flush=True)
                    return 1
                print(f"{number}. {shown}\n     {how}", flush=True)
            print("all shown")
            if keep:
                print("Ctrl-C ends it", flush=True)
                await wait_for_signal()
            else:
                print("with KEEP=--keep all runs on, so that the commands can be tried")
    return 0


def main() -> int:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--keep", action="store_true", help="leave all running until Ctrl-C")
    return asyncio.run(run_steps(parser.parse_args().keep))


if __name__ == "__main__":
    sys.exit(main())

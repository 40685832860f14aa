"""A demo of the gateway, step by step, with separate processes on loopback addresses.

    make gateway-demo                      # runs the steps; exits with 0 only if all succeed
    python tests/gateway_demo.py --keep    # leaves all processes running until Ctrl-C

It starts a stand-in of the store, two engines with adapters, one plain service, and four gateways
in two availability zones. Each step prints what it showed and a command with which to see it.
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

WAIT_SECONDS: Final = 20.0  # Time limit of each wait and each request.
POLL_INTERVAL: Final = 0.05  # Seconds.
REQUESTS_PER_STEP: Final = 12
OUTAGE_SECONDS: Final = 4.0  # Duration of the store outage.
ENGINES: Final = {"i-llm-a": "a", "i-llm-b": "b"}  # Zones by engine.
REPLACEMENT_ENGINE: Final = "i-llm-a2"  # Replaces the engine that leaves.
ZONES: Final = ("a", "a", "b", "b")  # Of the gateways.
TESTS: Final = Path(__file__).parent


class StepFailedError(Exception):
    """A step did not show the expected behaviour."""


@dataclass
class Program:
    """A process and its log."""

    name: str
    log: Path
    process: asyncio.subprocess.Process

    def log_lines(self) -> list[str]:
        """Returns the lines that it has logged."""
        return self.log.read_text().splitlines()

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class CallerResponse:
    """The response that a caller received."""

    status: int
    body: bytes
    request_id: str


@dataclass
class Demo:
    """The deployment.

    Attributes:
        folder: Where settings and logs are written.
        session: Client session of the callers and of the operator.
        programs: Processes by name.
        records: Store entries of the endpoints, by name.
        front_addresses: Address of each gateway that should serve, by name.
        store_address: Address of the store stand-in.
        request_count: Number of requests sent.
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

    async def _start_standin(self, name: str, *args: str) -> str:
        program = await self._start_process(
            name, {"PYTHONPATH": str(TESTS)}, "-m", "standins", *args
        )

        def ready() -> bool:
            return any(line.startswith("ready ") for line in program.log_lines())

        await wait_until(ready, f"{name} listens")
        return program.log_lines()[0].split()[1]

    async def add_endpoint(self, name: str, service: str, zone: str, *extra_args: str) -> None:
        """Starts an endpoint and writes its entry to the store."""
        args = ("--service", service, "--zone", zone, "--name", name, *extra_args)
        address = await self._start_standin(name, "replica", *args)
        models = [{"name": "m", "version": 1, "adapters": []}] if extra_args else []
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

    async def _start_process(self, name: str, environment: dict[str, str], *args: str) -> Program:
        path = self.folder / f"{name}.log"
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *args, env={**os.environ, **environment}, stdout=log, stderr=log
            )
        self.programs[name] = Program(name, path, process)
        return self.programs[name]

    async def stop_all(self) -> None:
        """Kills all processes."""
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGKILL)
        await asyncio.gather(*(program.process.wait() for program in self.programs.values()))

    # Operators and callers.

    async def write_object(
        self, method: str, kind: str, name: str, spec: dict[str, Any] | None = None
    ) -> None:
        """Creates, replaces or deletes an object in the store.

        Raises:
            StepFailedError: The store did not respond with 200.
        """
        body = json.dumps({"metadata": {"name": name}, "spec": spec})
        suffix = "" if method == "POST" else f"/{name}"
        url = f"http://{self.store_address}/wigeonarch/objects/{kind}{suffix}"
        async with self.session.request(method, url, data=body) as resp:
            if resp.status != 200:
                raise StepFailedError(f"the store responded with {resp.status}")

    async def send_request(self, path: str, gateway: str = "", adapter: str = "") -> CallerResponse:
        """Sends a request to the given gateway, or to each gateway in turn."""
        self.request_count += 1
        request_id = f"demo-{self.request_count}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "8000"}
        if adapter:
            headers |= {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}
        names = list(self.front_addresses)
        front = self.front_addresses[gateway or names[self.request_count % len(names)]]
        url = f"http://{front}{path}"
        async with self.session.post(url, data=request_id, headers=headers) as resp:
            return CallerResponse(resp.status, await resp.read(), request_id)

    async def send_requests(self, path: str, adapter: str = "") -> list[CallerResponse]:
        """Sends `REQUESTS_PER_STEP` requests.

        Raises:
            StepFailedError: A response had a status other than 200.
        """
        responses = [
            await self.send_request(path, adapter=adapter) for _ in range(REQUESTS_PER_STEP)
        ]
        failed = [response for response in responses if response.status != 200]
        require(not failed, f"failed: {failed}")
        return responses

    async def wait_until_served(self, path: str, adapter: str = "") -> None:
        """Waits until each gateway serves a path."""
        for gateway in self.front_addresses:

            async def is_served(name: str = gateway) -> bool:
                with contextlib.suppress(aiohttp.ClientError):
                    return (await self.send_request(path, name, adapter)).status == 200
                return False

            await wait_until_async(is_served, f"{gateway} serves {path}")

    def owners(self, engine: str) -> set[str]:
        """Returns the gateways whose logs say that they became the owner of an engine."""
        engine_field = f"endpoint={engine} "
        return {
            name
            for name in self.programs
            for line in self.programs[name].log_lines()
            if "event=claim " in line and engine_field in line and "result=StoredObject" in line
        }

    def has_logged(self, gateway: str, endpoint: str, text: str) -> bool:
        """Returns whether a gateway has logged a text about an endpoint."""
        lines = self.programs[gateway].log_lines()
        return any(f"endpoint={endpoint} " in line and text in line for line in lines)

    def executed_requests(self, name: str) -> list[str]:
        """Returns the ids of the requests that an endpoint ran."""
        return [line[4:] for line in self.programs[name].log_lines() if line.startswith("ran ")]


def require(condition: bool, message: str) -> None:
    """Checks a condition of a step.

    Raises:
        StepFailedError: The condition is false.
    """
    if not condition:
        raise StepFailedError(message)


async def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Waits for a condition.

    Raises:
        StepFailedError: It did not become true within `WAIT_SECONDS`.
    """

    async def check_now() -> bool:
        return condition()

    await wait_until_async(check_now, description)


async def wait_until_async(condition: Callable[[], Awaitable[bool]], description: str) -> None:
    """Waits for a condition that sends requests.

    Raises:
        StepFailedError: It did not become true within `WAIT_SECONDS`.
    """
    end = time.monotonic() + WAIT_SECONDS
    while not await condition():
        require(time.monotonic() < end, f"not within {WAIT_SECONDS:.0f} s: {description}")
        await asyncio.sleep(POLL_INTERVAL)


# Steps: each returns what it showed and a command with which to see it.


async def all_serve(demo: Demo) -> tuple[str, str]:
    """All four gateways serve."""
    await demo.wait_until_served("/ask/x")
    front = demo.front_addresses["edge-0"]
    return (
        f"four gateways in two zones serve: {', '.join(demo.front_addresses)}",
        f"curl -s -H 'Host: {HOST}' -d hello http://{front}/ask/x",
    )


async def stream(demo: Demo) -> tuple[str, str]:
    """A streamed response arrives complete."""
    await demo.wait_until_served("/write/x", "a1")
    response = await demo.send_request("/write/x", "edge-3", "a1")
    event_count = response.body.count(b"data: ")
    require(event_count == 6, f"{event_count} events instead of 6")
    front = demo.front_addresses["edge-3"]
    return (
        "an engine streamed a response, which arrived complete",
        f"curl -sN -H 'Host: {HOST}' -H 'X-Model: m/a1' -d hi http://{front}/write/x",
    )


async def rare_adapter(demo: Demo) -> tuple[str, str]:
    """An adapter is loaded when a request names it."""
    response = await demo.send_request("/write/x", "edge-2", "rare")
    require(response.status == 200, f"{response}")
    logs = " ".join(str(demo.programs[name].log) for name in demo.front_addresses)
    return (
        "an adapter that no engine had loaded was loaded for a request, which then ran",
        f"wigeonctl explain {response.request_id} --logs {logs}",
    )


async def run_once(demo: Demo) -> tuple[str, str]:
    """Requests that may not be repeated run once."""
    responses = await demo.send_requests("/book/x")
    executed = demo.executed_requests("i-desk")
    require(all(executed.count(response.request_id) == 1 for response in responses), f"{executed}")
    return (
        f"{REQUESTS_PER_STEP} requests that may not be repeated ran once each",
        f"grep ran {demo.programs['i-desk'].log}",
    )


async def engine_leaves(demo: Demo) -> tuple[str, str]:
    """An engine that is leaving receives no more requests."""
    leaving = "i-llm-a"
    await demo.write_object(
        "PUT", "servers", leaving, {**demo.records[leaving], "state": "draining"}
    )

    async def receives_nothing() -> bool:
        before = len(demo.executed_requests(leaving))
        await demo.send_requests("/write/x", "a1")
        return len(demo.executed_requests(leaving)) == before

    await wait_until(
        lambda: all(
            demo.has_logged(name, leaving, "state=leaving") for name in demo.front_addresses
        ),
        f"all gateways know that {leaving} is leaving",
    )
    await wait_until_async(receives_nothing, f"{leaving} receives no request")
    demo.programs[leaving].send_signal(signal.SIGTERM)
    await demo.write_object("DELETE", "servers", leaving)
    await demo.add_endpoint(REPLACEMENT_ENGINE, "llm", "a", "--model", "m")
    await wait_until(
        lambda: bool(demo.owners(REPLACEMENT_ENGINE)), f"a gateway owns {REPLACEMENT_ENGINE}"
    )
    return (
        f"{leaving} announced that it leaves: the other engine ran all requests, "
        f"{REPLACEMENT_ENGINE} replaced it",
        f"grep endpoint_state {demo.programs['edge-0'].log}",
    )


async def gateway_killed(demo: Demo) -> tuple[str, str]:
    """After a gateway is killed, the others keep serving and loading adapters."""
    engine = REPLACEMENT_ENGINE
    killed = next(iter(demo.owners(engine)))
    demo.programs[killed].send_signal(signal.SIGKILL)
    await demo.programs[killed].process.wait()
    del demo.front_addresses[killed]
    await demo.send_requests("/ask/x")
    await wait_until(lambda: bool(demo.owners(engine) - {killed}), f"another gateway owns {engine}")
    await demo.wait_until_served("/write/x", "after-the-kill")
    return (
        f"{killed}, the owner of {engine}, was killed: the others serve, one took the engine over",
        f"grep -h claim {demo.folder}/edge-*.log",
    )


async def store_away(demo: Demo) -> tuple[str, str]:
    """Requests are served while the store does not respond."""
    sent_before = demo.request_count
    demo.programs["store"].send_signal(signal.SIGSTOP)
    try:
        end = time.monotonic() + OUTAGE_SECONDS
        while time.monotonic() < end:
            await demo.send_requests("/ask/x")
            await demo.send_requests("/write/x", "a1")
        response = await demo.send_request("/write/x", adapter="during-the-outage")
        require(response.status == 200, f"{response}")
    finally:
        demo.programs["store"].send_signal(signal.SIGCONT)
    return (
        f"the store did not respond for {OUTAGE_SECONDS:.0f} s: all of "
        f"{demo.request_count - sent_before} requests were served, one with an adapter that had to "
        "be loaded",
        f"grep -ho 'store_away=[A-Za-z]*' {demo.folder}/edge-*.log",
    )


async def configuration_changed(demo: Demo) -> tuple[str, str]:
    """All gateways serve a new route."""
    new = configuration(2, route("news", "idempotent", "desk"))
    started_at = time.monotonic()
    await demo.write_object("PUT", "config", "main", new)
    await demo.wait_until_served("/news/x")
    elapsed = time.monotonic() - started_at
    return (
        f"a new route in the configuration: all gateways served it within {elapsed:.1f} s",
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
    """Starts the deployment, with its logs in the folder, and stops it at the end."""
    timeout = aiohttp.ClientTimeout(total=WAIT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        demo = Demo(folder, session)
        try:
            await demo.start()
            yield demo
        finally:
            await demo.stop_all()


async def wait_for_signal() -> None:
    """Waits for SIGINT or SIGTERM."""
    received = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, received.set)
    await received.wait()


async def run_steps(keep: bool) -> int:
    """Runs the steps; returns the exit code.

    Args:
        keep: Whether to leave all processes running until a signal.
    """
    with tempfile.TemporaryDirectory(prefix="wigeonarch-demo-") as folder:
        async with running_demo(Path(folder)) as demo:
            for number, step in enumerate(STEPS, 1):
                try:
                    result, command = await step(demo)
                except StepFailedError as exc:
                    print(f"{number}. {step.__name__}: FAILED: {exc}", flush=True)
                    return 1
                print(f"{number}. {result}\n     {command}", flush=True)
            print("all steps succeeded")
            if keep:
                print("press Ctrl-C to stop", flush=True)
                await wait_for_signal()
            else:
                print("KEEP=--keep leaves all processes running, so that the commands can be tried")
    return 0


def main() -> int:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--keep", action="store_true", help="leave all processes running until Ctrl-C"
    )
    return asyncio.run(run_steps(parser.parse_args().keep))


if __name__ == "__main__":
    sys.exit(main())

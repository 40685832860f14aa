"""The state of one running case: its programs, links, callers and noted values."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from wigeonarch_fakes import processes
from wigeonarch_fakes.processes import Deployment, Program

from scenario.callers import Call, Callers, RequestSpec
from scenario.language import Section
from scenario.network import LoopThread, Network

# Longest wait of a case for anything, in seconds; generous, as the machine may be busy.
MAX_WAIT: Final = 30.0
PLATFORM: Final = "platform"
POLL_INTERVAL: Final = 0.05
PLURALS: Final = {"entry": "entries", "engine": "engines", "service": "services"}
HTTP_PORT, RPC_PORT, PEER_PORT = 7000, 7001, 7002
FIRST_ENTRY_HOST: Final = 10

# Short durations in seconds, so that leases lapse and silence is noticed while a test waits.
QUICK: Final[dict[str, Any]] = {
    "lease_term": 2.0,
    "lease_margin": 0.5,
    "heartbeat": 0.1,
    "peer_timeout": 1.0,
    "list_interval": 0.3,
    "report_interval": 0.1,
    "grant_validity": 2.0,
    "connect_timeout": 0.5,
    "call_timeout": 1.0,
    "first_token_timeout": 3.0,
    "token_timeout": 0.7,
    "watch_silence": 1.5,
    "drain_report": 0.3,
    "drain_notice": 0.5,
    "default_deadline": 15.0,
    "max_deadline": 15.0,
}


@dataclass(frozen=True)
class CommandResult:
    """Result of an operator's command: exit code, JSON documents printed, and advice."""

    code: int
    output: list[Any]
    advice: str


@dataclass
class World:
    """The state of one running case.

    Attributes:
        dep: The processes of the case.
        deployments: The deployment sections that cases can refer to.
        loop: Event loop of the callers and links.
        network: The links in front of programs.
        callers: The callers of the case.
        pool: Threads for starting stand-ins and for commands in the background.
        starting: Stand-ins that are being started.
        linked: Whether programs are reachable only over links.
        zones: Availability zones by program.
        roles: Roles by program.
        listed: Items of the platform's list, by endpoint.
        exits: Exit codes of the last ended processes, by instance.
        calls: Requests, by the name that a case gives them.
        loading: Threads that still send requests, by that name.
        runs: Commands of operators, by the name that a case gives them.
        notes: Values of the step `note`, by name.
        balancing: Whether the load balancer is running.
    """

    dep: Deployment
    deployments: dict[str, Section]
    loop: LoopThread
    network: Network
    callers: Callers
    pool: ThreadPoolExecutor
    starting: list[Future[None]] = field(default_factory=list)
    linked: bool = False
    zones: dict[str, str] = field(default_factory=dict)
    roles: dict[str, str] = field(default_factory=dict)
    listed: dict[str, dict[str, Any]] = field(default_factory=dict)
    exits: dict[str, int] = field(default_factory=dict)
    calls: dict[str, list[Call]] = field(default_factory=dict)
    loading: dict[str, Future[None]] = field(default_factory=dict)
    runs: dict[str, Future[CommandResult]] = field(default_factory=dict)
    notes: dict[str, Any] = field(default_factory=dict)
    balancing: bool = False

    def settle(self) -> None:
        """Waits until the stand-ins that are starting have started."""
        for future in self.starting:
            future.result(MAX_WAIT)
        self.starting.clear()

    def program(self, name: str) -> Program:
        """Returns a started program by its name."""
        assert name in self.dep.programs, f"no program {name!r}"
        return self.dep.programs[name]

    def names(self, names: str) -> list[str]:
        """Returns programs by name, zone or role (`engines`), or a list of these with commas."""
        programs: list[str] = []
        for name in str(names).split(","):
            by_zone = [each for each, zone in self.zones.items() if zone == name]
            by_role = [each for each, role in self.roles.items() if PLURALS.get(role) == name]
            programs += by_zone or by_role or [name]
        return programs

    def entries(self, names: str) -> list[str]:
        """Returns the entry instances among programs."""
        return [name for name in self.names(names) if self.roles.get(name) == "entry"]

    def source(self, entry: str) -> str:
        """Returns the IP that an entry instance connects from."""
        return str(self.dep.entries[entry]["source"])

    def host(self) -> str:
        """Returns the loopback IP for the next entry instance; test processes share none."""
        number = os.getpid()
        return f"127.{1 + number // 250 % 250}.{1 + number % 250}.{FIRST_ENTRY_HOST + self.count()}"

    def count(self) -> int:
        """Returns the number of entry instances."""
        return len(self.dep.entries)

    def note_exits(self) -> None:
        """Stores the exit codes of ended processes, before a program's name is used again."""
        for name, program in self.dep.programs.items():
            code = program.process.poll()
            if code is not None:
                self.exits[name] = code

    def submit(self, call: Call, via: str) -> None:
        """Starts a call through an instance or the load balancer."""
        if via == "balancer":
            if not self.balancing:
                self.balancing = True
                addresses = {name: doc["http"] for name, doc in self.dep.entries.items()}
                self.loop.start(self.callers.balance(addresses))
            self.loop.start(self.callers.run(call, via, ""))
            return
        self.loop.start(self.callers.run(call, via, self.program(via).address))

    def drop(self, call: Call) -> None:
        """Closes a call's connection from the caller's side."""
        self.loop.run(self.callers.drop(call))

    def ended(self, name: str) -> list[Call]:
        """Returns the calls of a name once all of them have ended."""
        assert name in self.calls, f"no request {name!r}"
        if name in self.loading:
            self.loading[name].result(MAX_WAIT)
        until = time.monotonic() + MAX_WAIT
        for call in self.calls[name]:
            assert call.ended.wait(max(0.0, until - time.monotonic())), f"{name} has not ended"
        return self.calls[name]


def wait_until(holds: Callable[[], bool], what: Callable[[], str]) -> None:
    """Waits until a condition holds; fails after `MAX_WAIT` seconds."""
    until = time.monotonic() + MAX_WAIT
    while not holds():
        assert time.monotonic() < until, f"not within {MAX_WAIT:g} s: {what()}"
        time.sleep(POLL_INTERVAL)


@contextlib.contextmanager
def world(folder: Path, deployments: dict[str, Section]) -> Iterator[World]:
    """Yields the state of a new case; afterwards ends everything that was started in it."""
    loop = LoopThread()
    callers = loop.run(_callers())
    with ThreadPoolExecutor(16) as pool, processes.deployment(folder) as dep:
        network = Network(loop)
        state = World(dep, deployments, loop, network, callers, pool)
        try:
            yield state
        finally:
            for program in dep.programs.values():
                if program.process.poll() is None:
                    program.process.send_signal(signal.SIGKILL)
            for future in state.starting:
                future.exception(MAX_WAIT)
            network.close()
            loop.run(callers.close())
            loop.close()


async def _callers() -> Callers:
    return Callers()


__all__ = [
    "MAX_WAIT",
    "QUICK",
    "Call",
    "CommandResult",
    "RequestSpec",
    "World",
    "wait_until",
    "world",
]

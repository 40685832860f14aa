"""Starts entry instances and stand-ins as separate processes on loopback ports, and stops them."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.05
LOOPBACK: Final = "127.0.0.1"
PORT_RANGE: Final = (10_240, 32_000)

_reserved_ports: list[socket.socket] = []


def free_address() -> str:
    """Returns a loopback address whose port stays free for the program that will listen on it.

    Ports are below the range used for outgoing connections. The UDP port of the same number stays
    bound while this process runs, so that other processes that call this function skip the port.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((LOOPBACK, port))
            with socket.socket() as probe:
                probe.bind((LOOPBACK, port))
        except OSError:
            reservation.close()
            continue
        _reserved_ports.append(reservation)
        return f"{LOOPBACK}:{port}"


def wait_for(condition: Callable[[], bool], description: str, timeout_s: float = TIMEOUT_S) -> None:
    """Polls until a condition holds; the timeout is generous and does not test speed."""
    until = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until, f"not within {timeout_s} s: {description}"
        # The condition depends on another process, which sends no notification.
        time.sleep(POLL_INTERVAL_S)


def call(
    method: str, url: str, doc: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any, dict[str, str]]:
    """Makes an HTTP request; returns the status, the decoded body and the headers.

    Args:
        method: HTTP method.
        url: Address and path, without the scheme.
        doc: Body; bytes are sent as they are, other values as JSON.
        headers: Additional headers.
    """
    data = doc if isinstance(doc, bytes) else None if doc is None else json.dumps(doc).encode()
    req = urllib.request.Request(f"http://{url}", data=data, method=method)
    req.add_header("Content-Type", "application/json")
    for key, value in (headers or {}).items():
        req.add_header(key, value)
    try:
        with urllib.request.urlopen(req, timeout=TIMEOUT_S) as resp:
            return resp.status, _decode(resp.read()), dict(resp.headers)
    except urllib.error.HTTPError as exc:
        return exc.code, _decode(exc.read()), dict(exc.headers)


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode("utf-8", "replace")


@dataclass
class Program:
    """One process that was started, with the address it listens on and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    address: str
    log: Path

    def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Sends a signal if the process runs, waits for its exit and returns the exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.process.wait(TIMEOUT_S)


@dataclass
class Deployment:
    """A platform, endpoints and entry instances, each in its own process.

    Attributes:
        folder: Folder of the log and settings files.
        programs: The processes by name.
        entries: Settings of the entry instances by name.
    """

    folder: Path
    programs: dict[str, Program] = field(default_factory=dict)
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)

    def start_stand_in(self, kind: str, name: str, *args: str) -> Program:
        """Starts the stand-in in module `kind` and waits for its ready line."""
        command = [sys.executable, "-m", f"wigeonarch_fakes.{kind}", *args]
        log = self.folder / f"{name}.log"
        with log.open("wb") as out:
            process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        wait_for(lambda: b"ready " in log.read_bytes(), f"{name} is ready")
        line = next(x for x in log.read_text().splitlines() if x.startswith("ready "))
        self.programs[name] = Program(name, process, line.split()[1], log)
        return self.programs[name]

    def start_platform(self) -> Program:
        """Starts the platform stand-in."""
        return self.start_stand_in("platform", "platform")

    def start_endpoint(self, kind: str, name: str, zone: str, service: str, *args: str) -> Program:
        """Starts an engine or plain service stand-in and registers it with the platform."""
        program = self.start_stand_in(kind, name, *args)
        item = {
            "name": name,
            "address": program.address,
            "zone": zone,
            "role": kind,
            "service": service,
            "state": "live",
        }
        status, _, _ = call("PUT", f"{self.address('platform')}/v1/instances/{name}", item)
        assert status == 200
        return program

    def start_entry(self, name: str, zone: str, **settings: Any) -> Program:
        """Starts an entry instance without waiting until it is ready."""
        doc = {
            "instance": name,
            "zone": zone,
            "http": free_address(),
            "rpc": free_address(),
            "peer": free_address(),
            "platform": [self.address("platform")],
            **settings,
        }
        self.entries[name] = doc
        return self.restart_entry(name)

    def restart_entry(self, name: str) -> Program:
        """Starts an entry instance with the settings of its first start."""
        doc = self.entries[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(doc))
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", "wigeonarch_entry", "serve", "--settings", str(path)]
        with log.open("ab") as out:
            process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        self.programs[name] = Program(name, process, doc["http"], log)
        return self.programs[name]

    def address(self, name: str) -> str:
        """Returns the HTTP address of a program."""
        return self.programs[name].address

    def wait_ready(self, *names: str) -> None:
        """Waits until entry instances report on `/readyz` that they are ready."""
        for name in names:
            self._wait_entry_ready(name)

    def _wait_entry_ready(self, name: str) -> None:
        program = self.programs[name]
        wait_for(
            lambda: self._is_ready(name) or program.process.poll() is not None,
            f"{name} is ready",
        )
        ended = program.process.poll()
        assert ended is None, f"{name} ended with {ended}: {program.log.read_text()[-2000:]}"

    def _is_ready(self, name: str) -> bool:
        try:
            return call("GET", f"{self.address(name)}/readyz")[0] == 200
        except OSError:
            return False

    def run_ctl(self, entry: str, *args: str) -> tuple[int, Any]:
        """Runs `wigeonctl` against an entry instance; returns the exit code and decoded output."""
        server = self.entries[entry]["rpc"]
        command = [
            *(sys.executable, "-m", "wigeonarch_ctl", "--server", server),
            *("--output", "json", *args),
        ]
        done = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=False)
        output = done.stdout.decode() or done.stderr.decode()
        try:
            return done.returncode, json.loads(output)
        except ValueError:
            return done.returncode, output

    def read_record(self, name: str) -> Any:
        """Returns a stand-in's record of what it really did."""
        return call("GET", f"{self.address(name)}/_control/record")[1]

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets faults in a stand-in."""
        assert call("POST", f"{self.address(name)}/_control/faults", faults)[0] == 200

    def close(self) -> None:
        """Kills the processes of this deployment, including suspended ones."""
        for program in self.programs.values():
            if program.process.poll() is None:
                os.kill(program.process.pid, signal.SIGCONT)
                program.process.kill()
                program.process.wait(TIMEOUT_S)


@contextmanager
def deployment(folder: Path) -> Iterator[Deployment]:
    """Yields an empty deployment and kills the processes started in it on exit."""
    started = Deployment(folder)
    try:
        yield started
    finally:
        started.close()

"""Starts the system's programs as separate processes on loopback ports, and ends them."""

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
    """Returns a loopback address whose port nobody takes before the program it is meant for.

    Ports come from below the range that outgoing connections use. The UDP port of the same number
    stays bound as long as this process runs, so that others who start programs pass it over.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((LOOPBACK, port))
            with socket.socket() as probe:
                probe.bind((LOOPBACK, port))
        except OSError:
            claim.close()
            continue
        _reserved_ports.append(claim)
        return f"{LOOPBACK}:{port}"


def wait_for(condition: Callable[[], bool], description: str, timeout_s: float = TIMEOUT_S) -> None:
    """Waits until a condition holds; a generous bound, never a verdict on speed."""
    until = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until, f"not within {timeout_s} s: {description}"
        time.sleep(
            POLL_INTERVAL_S
        )  # The condition is in another process, so it can only be asked again.


def call(
    method: str, url: str, doc: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any, dict[str, str]]:
    """Makes an HTTP call with a JSON body; returns status, decoded body and headers."""
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
    """One started process."""

    name: str
    process: subprocess.Popen[bytes]
    address: str
    log: Path

    def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Signals the process, waits for its end and returns its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.process.wait(TIMEOUT_S)


@dataclass
class Deployment:
    """A platform, endpoints and entry instances, each a process of its own."""

    folder: Path
    programs: dict[str, Program] = field(default_factory=dict)
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)

    def start_stand_in(self, kind: str, name: str, *args: str) -> Program:
        """Starts a stand-in and waits for its ready line."""
        command = [sys.executable, "-m", f"wigeonarch_fakes.{kind}", *args]
        log = self.folder / f"{name}.log"
        with log.open("wb") as out:
            process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        wait_for(lambda: b"ready " in log.read_bytes(), f"{name} is ready")
        line = next(x for x in log.read_text().splitlines() if x.startswith("ready "))
        self.programs[name] = Program(name, process, line.split()[1], log)
        return self.programs[name]

    def start_platform(self) -> Program:
        """Starts the platform."""
        return self.start_stand_in("platform", "platform")

    def start_endpoint(self, kind: str, name: str, zone: str, service: str, *args: str) -> Program:
        """Starts a model engine or a plain service and puts it on the platform's list."""
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
        """Starts an entry instance; the process is running, not necessarily ready."""
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
        """Starts an entry instance again with the settings it had."""
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
        """Waits until entry instances are ready and know each other."""
        for name in names:
            self._wait_ready(name)

    def _wait_ready(self, name: str) -> None:
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
        """Runs `wigeonctl` against an entry instance; returns exit code and decoded output."""
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
        """Returns what a stand-in really did."""
        return call("GET", f"{self.address(name)}/_control/record")[1]

    def set_faults(self, name: str, **faults: Any) -> None:
        """Brings faults about in a stand-in."""
        assert call("POST", f"{self.address(name)}/_control/faults", faults)[0] == 200

    def close(self) -> None:
        """Ends every process that was started here."""
        for program in self.programs.values():
            if program.process.poll() is None:
                os.kill(program.process.pid, signal.SIGCONT)
                program.process.kill()
                program.process.wait(TIMEOUT_S)


@contextmanager
def deployment(folder: Path) -> Iterator[Deployment]:
    """Gives a deployment without processes and ends all that were started in it."""
    started = Deployment(folder)
    try:
        yield started
    finally:
        started.close()

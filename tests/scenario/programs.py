"""Steps that start, signal and restart programs, and put endpoints on the platform's list."""

from __future__ import annotations

import signal
import time
from typing import Any, Final

from wigeonarch_fakes.processes import call as http_call

from scenario.world import HTTP_PORT, PEER_PORT, PLATFORM, QUICK, RPC_PORT, World

ENTRY: Final = "entry"
STAND_INS: Final = ("engine", "service", "weightstore")


def links(world: World) -> None:
    """Makes all programs that start later reachable only over links, which can be cut."""
    world.linked = True


def start(world: World, role: str, name: str, zone: str = "", **options: Any) -> None:
    """Starts a program; the options are a stand-in's arguments or an instance's settings."""
    world.roles[name] = role
    if zone:
        world.zones[name] = zone
    if role == ENTRY:
        world.settle()
        _start_entry(world, name, zone, options)
        return
    if role == PLATFORM:
        world.dep.start_stand_in(PLATFORM, name, *_arguments(options))
        return
    assert role in STAND_INS, f"no role {role!r}"
    world.starting.append(world.pool.submit(_start_stand_in, world, role, name, zone, options))


def _start_entry(world: World, name: str, zone: str, options: dict[str, Any]) -> None:
    host = world.host()
    peer = f"{host}:{PEER_PORT}"
    doc: dict[str, Any] = {"timing": dict(QUICK), "log_level": "DEBUG"}
    for key, value in options.items():
        group, _, leaf = key.rpartition(".")
        (doc.setdefault(group, {}) if group else doc)[leaf] = value
    platform = world.program(PLATFORM).address
    if world.linked:
        doc["peer_public"] = world.network.link(name, peer)
        platform = world.network.link(f"{PLATFORM}<{name}", platform)
    doc |= {"platform": [platform], "source": host, "peer": peer}
    doc |= {"http": f"{host}:{HTTP_PORT}", "rpc": f"{host}:{RPC_PORT}"}
    world.dep.start_entry(name, zone, **doc)


def _start_stand_in(world: World, role: str, name: str, zone: str, options: dict[str, Any]) -> None:
    service = options.pop("service", "")
    program = world.dep.start_stand_in(role, name, *_arguments(options))
    if role == "weightstore":
        return
    address = world.network.link(name, program.address) if world.linked else program.address
    item = {"name": name, "address": address, "zone": zone, "role": role}
    world.listed[name] = item | {"service": service, "state": "live"}
    put_on_list(world, name)


def _arguments(options: dict[str, Any]) -> list[str]:
    arguments: list[str] = []
    for key, value in options.items():
        arguments.append("--" + key.replace("_", "-"))
        if value is not True:
            arguments.append(str(value))
    return arguments


def put_on_list(world: World, name: str) -> None:
    """Writes an endpoint's item of `world.listed` to the platform's list."""
    platform = world.program(PLATFORM).address
    status, _, _ = http_call("PUT", f"{platform}/v1/instances/{name}", world.listed[name])
    assert status == 200, f"the platform answers {status}"


def ready(world: World, names: str = "entries") -> None:
    """Waits until instances are ready; all instances by default."""
    world.dep.wait_ready(*world.names(names))


def kill(world: World, names: str) -> None:
    """Kills processes (SIGKILL)."""
    for name in world.names(names):
        world.program(name).stop(signal.SIGKILL)
    world.note_exits()


def freeze(world: World, names: str) -> None:
    """Stops processes where they stand (SIGSTOP)."""
    for name in world.names(names):
        world.program(name).process.send_signal(signal.SIGSTOP)


def thaw(world: World, names: str) -> None:
    """Continues frozen processes (SIGCONT)."""
    for name in world.names(names):
        world.program(name).process.send_signal(signal.SIGCONT)


def term(world: World, names: str) -> None:
    """Asks instances to shut down gracefully (SIGTERM)."""
    for name in world.names(names):
        world.program(name).process.send_signal(signal.SIGTERM)


def signal_to(world: World, names: str, signal_name: str) -> None:
    """Sends any other signal by its name."""
    for name in world.names(names):
        world.program(name).process.send_signal(signal.Signals[signal_name])


def restart(world: World, name: str) -> None:
    """Starts an ended instance again. An engine is cold-started: it loses all its state."""
    if world.roles[name] == ENTRY:
        assert world.program(name).process.poll() is not None, f"{name} still runs"
        world.note_exits()
        world.dep.restart_entry(name)
        return
    assert http_call("POST", f"{world.program(name).address}/_control/restart", {})[0] == 200


def pause(world: World, seconds: float) -> None:
    """Lets time pass, for example a lease's term. No case takes a pause as a proof of anything."""
    time.sleep(seconds)

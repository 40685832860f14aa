"""No crowd of callers that don't behave ends a gateway, fills its machine, or shuts others out.

Each test starts a store, a plain service and a gateway as processes of their own. The gateway runs
on the smallest machine known, by its settings.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import aiohttp
import pytest
from crowd import (
    CONNECTION_FORMS,
    FORMS,
    MB,
    Form,
    Target,
    crowd,
    limit_descriptors,
    open_descriptors,
    peak_memory,
)
from gateway_demo import Demo, Program, wait_until_async
from gateway_world import HOST, configuration, route
from ports import free_port

pytestmark = pytest.mark.alone

MEMORY_MB: Final = 160  # Memory of the gateway's machine.
DESCRIPTORS: Final = 512  # Descriptors that the gateway's process may open.
FILE_DESCRIPTORS: Final = 200  # Of these, how many are kept for files.
MAX_BODY_BYTES: Final = 4 * MB
GATEWAY_HOST: Final = "127.0.0.10"
METRICS_PORT: Final = 9102
ANSWER_TIME: Final = 20.0  # Seconds after which an ordinary request counts as not answered.
PATH: Final = "/ask/x"


@dataclass(frozen=True)
class Door:
    """An address at which the gateway accepts connections.

    Attributes:
        name: Name of the test case.
        path: Path of the crowd's requests.
    """

    name: str
    path: str


FRONT: Final = Door("front", PATH)
DOORS: Final = (
    Door("hand_over", PATH),
    Door("ready", "/wigeonarch/readyz"),
    Door("metrics", "/metrics"),
    Door("metrics", "/route"),
)


class Gateway(Demo):
    """A deployment of one gateway, on a machine of its own."""

    peer_port = 0
    ready_address = ""

    async def start(self) -> None:
        """Starts all processes."""
        self.store_address = await self._start_standin("store", "store")
        await self.write_object("POST", "config", "main", _configuration())
        await self.add_endpoint("i-desk", "desk", "a")
        await self._start_limited()
        await self.wait_until_served(PATH)

    async def _start_limited(self) -> None:
        self.peer_port = free_port(GATEWAY_HOST, socket.SOCK_DGRAM)
        self.front_addresses["edge-0"] = f"{GATEWAY_HOST}:{free_port(GATEWAY_HOST)}"
        self.ready_address = f"{GATEWAY_HOST}:{free_port(GATEWAY_HOST)}"
        pairs = {
            "node_name": "edge-0",
            "zone": "a",
            "ip": GATEWAY_HOST,
            "listen.front": self.front_addresses["edge-0"],
            "listen.ready": self.ready_address,
            "internal_ports": f"{self.peer_port},{self.peer_port + 10}",
            "seeds": f"{GATEWAY_HOST}:1",
            "limits.memory_mb": str(MEMORY_MB),
            "limits.max_fds": str(DESCRIPTORS),
            "platform.address": self.store_address,
        }
        settings = self.folder / "edge-0.conf"
        settings.write_text("\n".join(f"{key}={value}" for key, value in pairs.items()))
        environment = {"WIGEONARCH_NODE_FILE": str(settings)}
        program = await self._start_process("edge-0", environment, "-m", "wigeonarch_platform")
        limit_descriptors(program.process.pid, DESCRIPTORS)

    @property
    def program(self) -> Program:
        """Returns the gateway's process."""
        return self.programs["edge-0"]

    def target(self, door: Door) -> Target:
        """Returns where a crowd goes that comes to a door."""
        addresses = {
            "front": self.front_addresses["edge-0"],
            "hand_over": f"{GATEWAY_HOST}:{self.peer_port}",
            "ready": self.ready_address,
            "metrics": f"{GATEWAY_HOST}:{METRICS_PORT}",
        }
        lines = "X-Request-Id: crowd\r\nX-Deadline-Ms: 15000\r\n"
        return Target(addresses[door.name], door.path, HOST, lines, MAX_BODY_BYTES)

    async def check_answers(self, door: Door) -> None:
        """Sends one ordinary request to the front, and one page request to a door of its own."""
        async with asyncio.timeout(ANSWER_TIME):
            response = await self.send_request(PATH, "edge-0")
        assert response.status == 200, response
        if door.name in ("ready", "metrics"):
            page = "/metrics" if door.name == "metrics" else door.path
            url = f"http://{self.target(door).address}{page}"
            async with self.session.get(url) as resp:
                assert resp.status == 200
                await resp.read()

    def check_process(self) -> None:
        """Checks that the process lives, and what it holds."""
        process = self.program.process
        assert process.returncode is None, self.program.log_lines()[-5:]
        assert peak_memory(process.pid) < MEMORY_MB
        assert open_descriptors(process.pid) <= DESCRIPTORS - FILE_DESCRIPTORS


def _configuration() -> dict[str, Any]:
    config = configuration()
    config["routes"] = [route("ask", "idempotent", "desk", timeout_ms=15_000)]
    config["services"] = [{"name": "desk", "max_conns": 100}]
    limits = {"max_body_bytes": MAX_BODY_BYTES, "max_header_bytes": 16_384}
    config["limits"] = limits | {"header_timeout_ms": 3000, "idle_timeout_ms": 15_000}
    return config


@asynccontextmanager
async def running_gateway(folder: Path) -> AsyncIterator[Gateway]:
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIME)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        gateway = Gateway(folder, session)
        try:
            await gateway.start()
            yield gateway
        finally:
            await gateway.stop_all()


async def _check_crowd(folder: Path, form: Form, door: Door) -> None:
    async with running_gateway(folder) as gateway:
        async with crowd(form, gateway.target(door)):
            gateway.check_process()
            await gateway.check_answers(door)
            gateway.check_process()

        async def is_answered() -> bool:
            await gateway.check_answers(door)
            return True

        await wait_until_async(is_answered, "an ordinary request is answered afterwards")
        gateway.check_process()
        print(f"{form.name} at {door.name}: {peak_memory(gateway.program.process.pid):.0f} MB")


@pytest.mark.parametrize("form", (*FORMS, *CONNECTION_FORMS), ids=lambda form: form.name)
async def test_crowd_of_callers_harms_neither_process_nor_others(
    tmp_path: Path, form: Form
) -> None:
    await _check_crowd(tmp_path, form, FRONT)


@pytest.mark.parametrize("door", DOORS, ids=lambda door: f"{door.name}{door.path}")
@pytest.mark.parametrize("form", (*FORMS, *CONNECTION_FORMS), ids=lambda form: form.name)
async def test_crowd_at_another_door_harms_neither_process_nor_others(
    tmp_path: Path, form: Form, door: Door
) -> None:
    await _check_crowd(tmp_path, form, door)


@pytest.mark.parametrize("size", [1, MAX_BODY_BYTES], ids=["small", "largest"])
async def test_single_request_inside_the_limits_is_served_in_calm(
    tmp_path: Path, size: int
) -> None:
    async with running_gateway(tmp_path) as gateway:
        headers = {"Host": HOST, "X-Request-Id": "calm", "X-Deadline-Ms": "15000"}
        url = f"http://{gateway.front_addresses['edge-0']}{PATH}"
        async with gateway.session.post(url, data=b"x" * size, headers=headers) as resp:
            assert resp.status == 200
            assert (await resp.read()).endswith(b"x" * size)
        gateway.check_process()

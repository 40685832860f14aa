"""TCP relay in front of one address, which simulates network faults between two programs.

Modes:

* ``pass``: bytes are relayed.
* ``cut``: open connections are reset, and new ones are refused by a reset.
* ``swallow``: connections stay open and new ones are accepted, but their bytes are discarded.
* ``swallow_open``: bytes of the connections open now are discarded; new connections pass.

A swallowed connection stays swallowed when the mode goes back to ``pass``, as its stream has lost
bytes. ``delay_ms`` delays bytes in each direction. A mode can also be set for the callers of one
source IP; it takes precedence over the mode for all.

As a program, the relay is controlled over HTTP on ``--control-port``: ``POST /_control/faults``
with ``{"mode": ..., "delay_ms": ...}`` and ``GET /_control/record``.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final, Literal

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving

READ_BYTES: Final = 64 * 1024

Mode = Literal["pass", "cut", "swallow", "swallow_open"]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The current mode and delay."""

    mode: Mode = "pass"
    delay_ms: float = 0


class Counts(msgspec.Struct):
    """Counters of connections and bytes."""

    accepted: int = 0
    refused: int = 0
    reset: int = 0
    bytes_passed: int = 0
    bytes_dropped: int = 0
    open: int = 0


class Connection:
    """One relayed connection."""

    __slots__ = ("is_swallowed", "source", "task", "writers")

    def __init__(self, task: asyncio.Task[None], writer: asyncio.StreamWriter) -> None:
        self.task = task
        self.writers = [writer]
        self.source = str(writer.get_extra_info("peername")[0])
        self.is_swallowed = False

    def reset(self) -> None:
        """Reset the connections to the caller and to the target."""
        for writer in self.writers:
            writer.transport.abort()
        self.task.cancel()


class Link:
    """A relay from a loopback port to a target address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.faults = Faults()
        self.counts = Counts()
        self._modes: dict[str, Mode] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; port 0 takes any free one."""
        self._server = await asyncio.start_server(self._accept, serving.HOST, port)
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"{serving.HOST}:{bound}"

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self._reset(list(self._connections))

    async def set_mode(self, mode: Mode, source: str = "") -> None:
        """Change the mode, also for the connections that are open now.

        Args:
            mode: The new mode.
            source: Source IP of the callers affected; empty for all callers, which also removes
                the modes set for single source IPs.
        """
        if source:
            self._modes[source] = mode
        else:
            self._modes.clear()
            self.faults.mode = mode
        affected = [each for each in self._connections if source in ("", each.source)]
        if mode == "cut":
            self._reset(affected)
        if mode in ("swallow", "swallow_open"):
            for connection in affected:
                connection.is_swallowed = True

    async def set_delay(self, delay_ms: float) -> None:
        """Change the delay of bytes in each direction."""
        self.faults.delay_ms = delay_ms

    def record(self) -> Counts:
        """Return the counters, with the number of connections that are open now."""
        return msgspec.structs.replace(self.counts, open=len(self._connections))

    def _reset(self, connections: list[Connection]) -> None:
        for connection in connections:
            self.counts.reset += 1
            connection.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is None or writer.get_extra_info("peername") is None:
            writer.transport.abort()
            return
        connection = Connection(task, writer)
        mode = self._modes.get(connection.source, self.faults.mode)
        if mode == "cut":
            self.counts.refused += 1
            writer.transport.abort()
            return
        self.counts.accepted += 1
        connection.is_swallowed = mode == "swallow"
        self._connections.add(connection)
        try:
            await self._relay(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            for side in connection.writers:
                side.transport.abort()

    async def _relay(
        self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        connection.writers.append(target_writer)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(connection, reader, target_writer))
            group.create_task(self._pump(connection, target_reader, writer))

    async def _pump(
        self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay bytes in one direction until the sender closes, each piece after the delay."""
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=256)
        sender = asyncio.create_task(self._send(connection, pieces, writer))
        loop = asyncio.get_running_loop()
        try:
            data = b"-"
            while data:
                with contextlib.suppress(ConnectionError):
                    data = await reader.read(READ_BYTES)
                if reader.exception() is not None:
                    data = b""
                await pieces.put((loop.time() + self.faults.delay_ms / 1000, data))
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        connection: Connection,
        pieces: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await pieces.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if not data:
                self._close_side(connection, writer)
                return
            if connection.is_swallowed:
                self.counts.bytes_dropped += len(data)
                continue
            self.counts.bytes_passed += len(data)
            with contextlib.suppress(ConnectionError):
                writer.write(data)
                await writer.drain()

    def _close_side(self, connection: Connection, writer: asyncio.StreamWriter) -> None:
        """Relay the sender's close, unless the connection is swallowed."""
        if not connection.is_swallowed:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class LinkControl:
    """HTTP control of a link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(middlewares=[serving.refuse_malformed])
        app.add_routes(
            [
                web.post("/_control/faults", self._set_faults),
                web.get("/_control/record", self._record),
            ]
        )
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        faults = serving.merge_document(self._link.faults, body)
        if "mode" in msgspec.json.decode(body, type=dict[str, object]):
            await self._link.set_mode(faults.mode)
        await self._link.set_delay(faults.delay_ms)
        return serving.json_response(self._link.faults)

    async def _record(self, request: web.Request) -> web.Response:
        return serving.json_response(self._link.record())


class RunningLink:
    """A running link with its HTTP control."""

    __slots__ = ("_server", "address", "control_address", "link")

    def __init__(self, link: Link, server: serving.Server) -> None:
        self.link = link
        self.address = link.address
        self.control_address = server.address
        self._server = server

    async def stop(self) -> None:
        """Stop the relay and its HTTP control."""
        await self.link.stop()
        await self._server.stop()


async def start_link(target: str, port: int = 0, control_port: int = 0) -> RunningLink:
    """Start a relay to a target address, with its HTTP control on a second port."""
    link = Link(target)
    await link.start(port)
    return RunningLink(link, await serving.start_app(LinkControl(link).app(), control_port))


def main() -> None:
    """Run a link as a program."""
    parser = serving.common_parser("TCP relay that simulates network faults")
    parser.add_argument("--target", required=True, help="IP:PORT to relay to")
    parser.add_argument("--control-port", type=int, default=0)
    args = parser.parse_args()
    serving.run_main(lambda: start_link(args.target, args.port, args.control_port))


if __name__ == "__main__":
    main()

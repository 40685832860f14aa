"""A loopback TCP proxy that delays, resets or silences connections, or drops their responses."""

from __future__ import annotations

import asyncio
import enum


class ConnectionMode(enum.Enum):
    """How the proxy treats the bytes of all connections."""

    OPEN = "open"
    SLOW = "slow"  # Each chunk is delayed by `SLOW_DELAY`.
    RESET = "reset"  # Open and new connections are reset.
    ONE_WAY = "one_way"  # Requests arrive; responses are dropped.
    SILENT = "silent"  # Connections that carry data drop it, and all later data.


SLOW_DELAY = 0.3  # Seconds.


class Proxy:
    """A proxy in front of one address.

    Attributes:
        mode: The current treatment of bytes.
        address: The address that it listens on, `IP:PORT`.
    """

    def __init__(self) -> None:
        self.mode = ConnectionMode.OPEN
        self.address = ""
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: str) -> None:
        """Listens for connections to a target `IP:PORT`."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        sockname = self._server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"

    async def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if self.mode is ConnectionMode.RESET:
                writer.transport.abort()
                return
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            silenced = asyncio.Event()
            forward = asyncio.create_task(
                self._forward(reader, target_writer, silenced, responses=False)
            )
            backward = asyncio.create_task(
                self._forward(target_reader, writer, silenced, responses=True)
            )
            await asyncio.wait({forward, backward}, return_when=asyncio.FIRST_COMPLETED)
            for direction in (forward, backward):
                direction.cancel()
            target_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silenced: asyncio.Event,
        responses: bool,
    ) -> None:
        while data := await reader.read(65_536):
            if self.mode is ConnectionMode.RESET:
                return
            if self.mode is ConnectionMode.SILENT:
                silenced.set()  # Permanent, also when the mode is `OPEN` again.
            if silenced.is_set() or (responses and self.mode is ConnectionMode.ONE_WAY):
                continue
            if self.mode is ConnectionMode.SLOW:
                await asyncio.sleep(SLOW_DELAY)
            writer.write(data)
            await writer.drain()

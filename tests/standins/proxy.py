"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

from __future__ import annotations

import asyncio
import enum


class ConnectionMode(enum.Enum):
    """What happens to the bytes of all connections."""

    OPEN = "open"
    SLOW = "slow"  # Each piece is held up.
    RESET = "reset"  # Connections are reset, new ones too.
    ONE_WAY = "one_way"  # What the callers send arrives; answers don't.
    SILENT = "silent"  # Open connections carry nothing any more; new ones work.


SLOW_DELAY = 0.3  # Seconds.


class Proxy:
    """A proxy before one address.

    Attributes:
        way: What happens to bytes now.
    """

    def __init__(self) -> None:
        self.mode = ConnectionMode.OPEN
        self.address = ""
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: str) -> None:
        """Listens before a target `IP:PORT`."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        sockname = self._server.sockets[0].getsockname()
        self.address = f"{sockname[0]}:{sockname[1]}"

    async def stop(self) -> None:
        """Ends all connections."""
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
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            deaf = asyncio.Event()
            there = asyncio.create_task(self._forward(reader, far_writer, deaf, responses=False))
            back = asyncio.create_task(self._forward(far_reader, writer, deaf, responses=True))
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
            for part in (there, back):
                part.cancel()
            far_writer.transport.abort()
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
                silenced.set()  # For good, also when the way is open again.
            if silenced.is_set() or (responses and self.mode is ConnectionMode.ONE_WAY):
                continue
            if self.mode is ConnectionMode.SLOW:
                await asyncio.sleep(SLOW_DELAY)
            writer.write(data)
            await writer.drain()

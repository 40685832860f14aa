"""Stands before the RPC server, and bounds what its callers make the instance hold.

The RPC library bounds a message and the calls on one connection, but neither connections nor the
sum of messages, and it reads each message whole before any code of ours is asked. So callers
connect to this relay, which passes bytes on over a socket that only this process can reach. It
follows the frames (see `rpcframes`) and counts what is open in the account of the process (see
`runtime.caller_memory`). Ended is a connection

- that holds much for long while the account is full, if a request on it is not whole;
- on which a request does not become whole in time, or whose heads are too large;
- that has been idle for longest, when there are too many.

A request that was cut off before it was whole has not run. Of others on the same connection the
caller does not learn the outcome, as with any connection that is lost.
"""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Final, cast

from wigeonarch_runtime.caller_memory import CallerMemory, Holding
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.guarded_server import EndReason, ServerBounds
from wigeonarch_runtime.logs import log

from wigeonarch_entry.rpcframes import PREFACE_BYTES, FrameReader, OpenCalls

# Copies of a message that are held at once: as it came, decoded, and as it is passed on.
COPIES: Final = 3
SWEEP_INTERVAL: Final = 0.1  # Seconds between checks of what changes only as time passes.
LISTEN_BACKLOG: Final = 1024


class _ServerSide(asyncio.Protocol):
    """The connection to the RPC server that belongs to a caller's."""

    def __init__(self, caller: _CallerSide) -> None:
        self._caller = caller
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._caller.pass_back(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._caller.server_closed()

    def pause_writing(self) -> None:
        self._caller.server_waits(True)

    def resume_writing(self) -> None:
        self._caller.server_waits(False)


class _CallerSide(asyncio.Protocol):
    """The connection of a caller.

    Attributes:
        calls: The calls that are open on it.
        holding: What it holds.
    """

    def __init__(self, relay: RpcRelay) -> None:
        self._relay = relay
        self._transport: asyncio.Transport | None = None
        self._server: _ServerSide | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._early: list[bytes] = []  # Bytes that came before the server was connected.
        self._end_reason: EndReason | None = None
        # Why nothing is read from the caller for the moment.
        self._is_connecting = True
        self._server_waits = False
        self.calls = OpenCalls()
        self.holding = Holding(self._end_for_room, 0.0)
        self._requests = FrameReader(
            lambda frame: self.calls.note_client_frame(frame, monotonic()), PREFACE_BYTES
        )
        self._answers = FrameReader(self.calls.note_server_frame)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.pause_reading()
        self.holding = self._relay.memory.open(self._end_for_room, monotonic())
        if self._relay.add(self):
            self._connecting = asyncio.create_task(self._connect())

    def data_received(self, data: bytes) -> None:
        self._requests.feed(data)
        self._count()
        if self.calls.head_bytes > self._relay.bounds.head_bytes:
            self.end(EndReason.HEAD_TOO_LARGE)
        if self._end_reason is not None:
            return
        if self._server is None or self._server.transport is None:
            self._early.append(data)
        else:
            self._server.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._relay.remove(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self._server is not None and self._server.transport is not None:
            self._server.transport.abort()

    def pause_writing(self) -> None:
        if self._server is not None and self._server.transport is not None:
            self._server.transport.pause_reading()

    def resume_writing(self) -> None:
        if self._server is not None and self._server.transport is not None:
            self._server.transport.resume_reading()

    # Used by the other side and by the relay.

    def pass_back(self, data: bytes) -> None:
        """Passes bytes of the server on to the caller."""
        self._answers.feed(data)
        self._count()
        if self._transport is not None:
            self._transport.write(data)

    def server_closed(self) -> None:
        """Closes the caller's connection when the server has closed its own."""
        if self._transport is not None:
            self._transport.close()

    def server_waits(self, waits: bool) -> None:
        """Reads no more from the caller while the server doesn't take what was read."""
        self._server_waits = waits
        self._update_reading()

    def end(self, reason: EndReason) -> None:
        """Resets the connection."""
        if self._end_reason is not None or self._transport is None:
            return
        self._end_reason = reason
        log("caller_ended", "INFO", reason=reason.value, calls=len(self.calls))
        self._relay.on_ended(reason)
        self._transport.abort()

    def sweep(self, now: float) -> None:
        """Ends the connection if a request takes too long."""
        since = self.calls.incomplete_since
        if since is not None and now - since > self._relay.bounds.head_time:
            self.end(EndReason.HEAD_TOO_SLOW)

    def _end_for_room(self) -> None:
        self.end(EndReason.NO_ROOM)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, self._server = await loop.create_unix_connection(
                lambda: _ServerSide(self), self._relay.path
            )
        except OSError as exc:
            log("rpc_relay_failed", "ERROR", error=repr(exc))
            self.server_closed()
            return
        if self._server.transport is not None:
            self._server.transport.writelines(self._early)
        self._early.clear()
        self._is_connecting = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_connecting or self._server_waits:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _count(self) -> None:
        now, was_idle = monotonic(), self.holding.may_end and not self.holding.held
        whole = COPIES * self.calls.whole_size
        if whole < self.holding.serving:
            self._relay.memory.stop_serving(self.holding, whole)
        elif whole > self.holding.serving and not self._relay.memory.may_serve(self.holding, whole):
            # What made the request whole is not passed on, so it has not run.
            self.end(EndReason.NO_ROOM)
            return
        since = self.calls.incomplete_since
        self.holding.may_end = since is not None or not self.calls
        if since is not None:
            self.holding.since = since
        elif not self.calls and not was_idle:
            self.holding.since = now
        self._relay.memory.set_held(self.holding, COPIES * self.calls.size, now)


class RpcRelay:
    """Accepts the connections of RPC callers.

    Attributes:
        path: Socket on which the RPC server is to listen.
        memory: Account of the process.
        bounds: Bounds on connections and heads, and on the time for a request.
        on_ended: Called when a connection is ended.
    """

    def __init__(
        self, memory: CallerMemory, bounds: ServerBounds, on_ended: Callable[[EndReason], None]
    ) -> None:
        """Creates a relay that does not listen yet."""
        self._folder = tempfile.mkdtemp(prefix="wigeonarch-rpc-")
        self.path = str(Path(self._folder) / "socket")
        self.memory = memory
        self.bounds = bounds
        self.on_ended = on_ended
        self._conns: dict[_CallerSide, None] = {}
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.Task[None] | None = None

    async def listen(self, address: str) -> None:
        """Starts to accept connections at `IP:PORT`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerSide(self), host, int(port), backlog=LISTEN_BACKLOG
        )
        self._sweeping = asyncio.create_task(self._sweep())

    def stop_accepting(self) -> None:
        """Accepts no more connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Closes all connections."""
        self.stop_accepting()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for conn in list(self._conns):
            conn.server_closed()
        shutil.rmtree(self._folder, ignore_errors=True)

    def add(self, conn: _CallerSide) -> bool:
        """Counts a new connection and returns whether it stays; another one may be ended for it."""
        if len(self._conns) >= self.bounds.connections:
            idle = min(
                (found for found in self._conns if found.holding.may_end),
                key=lambda found: found.holding.since,
                default=conn,
            )
            self._conns.pop(idle, None)
            idle.end(EndReason.TOO_MANY)
            if idle is conn:
                return False
        self._conns[conn] = None
        return True

    def remove(self, conn: _CallerSide) -> None:
        """Forgets a connection that has ended."""
        self._conns.pop(conn, None)
        self.memory.close(conn.holding)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            now = monotonic()
            for conn in list(self._conns):
                conn.sweep(now)

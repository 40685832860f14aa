"""Messages between instances, over one ZeroMQ ROUTER socket and one DEALER socket per peer.

Messages travel only from a DEALER to the receiver's ROUTER; a reply is sent through the replying
instance's own DEALER. Sending never blocks: a message that a peer does not take is dropped. Each
protocol on top handles a lost message by repeating it or by a timeout.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import zmq
import zmq.asyncio
from wigeonarch_core.messages import Message, decode, encode
from wigeonarch_runtime.logs import log

from wigeonarch_entry.metrics import Metrics

MAX_QUEUED_MESSAGES: Final = 10_000
MAX_MESSAGE_BYTES: Final = 1 << 20


class Peers:
    """The sockets that connect this instance to the others."""

    __slots__ = ("_context", "_deliver", "_links", "_metrics", "_router", "_source")

    def __init__(
        self,
        address: str,
        deliver: Callable[[Message], None],
        metrics: Metrics,
        source: str = "",
    ) -> None:
        """Listens for messages.

        Args:
            address: `IP:PORT` to listen on.
            deliver: Called with each message that arrives.
            metrics: Counters.
            source: Local IP address of outgoing connections; empty to let the system choose.
        """
        self._source = f"{source}:0;" if source else ""
        self._deliver = deliver
        self._metrics = metrics
        self._context = zmq.asyncio.Context()
        self._links: dict[str, tuple[str, zmq.asyncio.Socket]] = {}
        self._router: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._router.bind(f"tcp://{address}")

    async def receive(self) -> None:
        """Delivers each message that arrives; runs until cancelled."""
        while True:
            frames = await self._router.recv_multipart()
            self._metrics.peer_messages.labels("in").inc()
            self._metrics.control_bytes.labels("peers", "in").inc(len(frames[-1]))
            message = decode(frames[-1])
            if message is None:
                log("peer_message_unknown", "WARNING", bytes=len(frames[-1]))
                continue
            self._deliver(message)

    def connect(self, name: str, address: str) -> None:
        """Connects to a peer; reconnects if its address has changed."""
        known = self._links.get(name)
        if known is not None and known[0] == address:
            return
        self.disconnect(name)
        link: zmq.asyncio.Socket = self._context.socket(zmq.DEALER)
        link.setsockopt(zmq.LINGER, 0)
        link.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        # ZeroMQ's own heartbeat closes and reopens a connection that has gone silent.
        link.setsockopt(zmq.HEARTBEAT_IVL, 500)
        link.setsockopt(zmq.HEARTBEAT_TIMEOUT, 1500)
        link.setsockopt(zmq.RECONNECT_IVL, 50)
        link.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        link.connect(f"tcp://{self._source}{address}")
        self._links[name] = (address, link)

    def disconnect(self, name: str) -> None:
        """Closes the connection to a peer."""
        known = self._links.pop(name, None)
        if known is not None:
            known[1].close()

    def send(self, name: str, message: Message) -> bool:
        """Sends a message without blocking; returns False if it was dropped at once."""
        known = self._links.get(name)
        if known is None:
            self._metrics.peer_messages_dropped.inc()
            return False
        frame = encode(message)
        self._metrics.peer_messages.labels("out").inc()
        self._metrics.control_bytes.labels("peers", "out").inc(len(frame))
        try:
            # The blocking socket behind the asyncio one sends at once or raises, without a future.
            zmq.Socket.shadow(known[1]).send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.peer_messages_dropped.inc()
            return False
        return True

    def close(self) -> None:
        """Closes all sockets."""
        for name in list(self._links):
            self.disconnect(name)
        self._router.close()
        self._context.term()

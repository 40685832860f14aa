"""Messages between instances, over one ZeroMQ ROUTER socket and one DEALER socket per peer.

All messages travel one way, from a DEALER to the other side's ROUTER; an answer goes through the
answering side's own DEALER. Sending never waits: a peer that does not take messages loses them, and
every protocol above copes with a lost message by asking again or by timing out.
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
    """The sockets between this instance and the others."""

    __slots__ = ("_context", "_deliver", "_links", "_metrics", "_router", "_source")

    def __init__(
        self,
        address: str,
        deliver: Callable[[Message], None],
        metrics: Metrics,
        source: str = "",
    ) -> None:
        """Listens on `address`; `source` is the IP that connections come from, if it matters."""
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
        """Hands each message that arrives to the receiver; runs until cancelled."""
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
        """Makes sure that messages to a peer go to this address."""
        known = self._links.get(name)
        if known is not None and known[0] == address:
            return
        self.disconnect(name)
        link: zmq.asyncio.Socket = self._context.socket(zmq.DEALER)
        link.setsockopt(zmq.LINGER, 0)
        link.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        # A connection that went silent is closed and opened anew by the library's own heartbeat.
        link.setsockopt(zmq.HEARTBEAT_IVL, 500)
        link.setsockopt(zmq.HEARTBEAT_TIMEOUT, 1500)
        link.setsockopt(zmq.RECONNECT_IVL, 50)
        link.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        link.connect(f"tcp://{self._source}{address}")
        self._links[name] = (address, link)

    def disconnect(self, name: str) -> None:
        """Forgets a peer."""
        known = self._links.pop(name, None)
        if known is not None:
            known[1].close()

    def send(self, name: str, message: Message) -> bool:
        """Sends a message; False when it was dropped at once."""
        known = self._links.get(name)
        if known is None:
            self._metrics.peer_messages_dropped.inc()
            return False
        frame = encode(message)
        self._metrics.peer_messages.labels("out").inc()
        self._metrics.control_bytes.labels("peers", "out").inc(len(frame))
        try:
            # The shadowed blocking socket sends at once or raises; no future is made.
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

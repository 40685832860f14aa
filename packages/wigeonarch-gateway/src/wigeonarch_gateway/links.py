"""Sockets between gateways: one ROUTER to hear with, one DEALER per peer to speak with.

Sending never waits: a peer that does not take messages loses them, and all that depends on them
copes with a lost message. Connections that went silent are found by the library's own heartbeat.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import zmq
import zmq.asyncio
from wigeonarch_entry.logs import log

from wigeonarch_gateway.messages import Message, decode, encode

QUEUE_BOUND: Final = 2_000  # Messages; some seconds of the busiest peer.
MESSAGE_BOUND: Final = 1 << 20  # Bytes.
HEARTBEAT_MS: Final = 700
HEARTBEAT_TIMEOUT_MS: Final = 1_800
RECONNECT_MS: Final = 100
RECONNECT_MOST_MS: Final = 1_000


class Links:
    """The sockets of one instance."""

    __slots__ = ("_context", "_deliver", "_peers", "_router", "_source", "dropped")

    def __init__(self, address: str, source: str, deliver: Callable[[Message], None]) -> None:
        """Listens on `address`; connections to peers come from the IP `source`."""
        self._deliver = deliver
        self._source = f"{source}:0;" if source else ""
        self._context = zmq.asyncio.Context(io_threads=1)
        self._peers: dict[str, tuple[zmq.asyncio.Socket, zmq.Socket[bytes]]] = {}
        self._router: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, QUEUE_BOUND)
        self._router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BOUND)
        self._router.bind(f"tcp://{address}")
        self.dropped = 0

    async def receive(self) -> None:
        """Hands over each message that arrives; runs until cancelled."""
        while True:
            frames = await self._router.recv_multipart()
            message = decode(frames[-1])
            if message is None:
                log("peer_message_unknown", "WARNING", bytes=len(frames[-1]))
                continue
            self._deliver(message)

    def addresses(self) -> list[str]:
        """Returns the addresses that messages can be sent to."""
        return list(self._peers)

    def connect(self, address: str) -> None:
        """Makes sure that messages can be sent to an address."""
        if address in self._peers:
            return
        link: zmq.asyncio.Socket = self._context.socket(zmq.DEALER)
        link.setsockopt(zmq.LINGER, 0)
        link.setsockopt(zmq.SNDHWM, QUEUE_BOUND)
        link.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        link.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        link.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        link.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MOST_MS)
        link.connect(f"tcp://{self._source}{address}")
        self._peers[address] = (link, zmq.Socket.shadow(link))

    def disconnect(self, address: str) -> None:
        """Forgets an address."""
        known = self._peers.pop(address, None)
        if known is not None:
            known[0].close()

    def send(self, address: str, message: Message) -> bool:
        """Sends a message; False when it was dropped at once."""
        known = self._peers.get(address)
        if known is None:
            self.dropped += 1
            return False
        try:
            known[1].send(encode(message), zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        return True

    def close(self) -> None:
        """Closes all sockets."""
        for address in list(self._peers):
            self.disconnect(address)
        self._router.close()
        self._context.term()

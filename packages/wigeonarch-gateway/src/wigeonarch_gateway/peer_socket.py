"""Sends and receives messages between gateway instances over one UDP socket.

Each message is one datagram. Sending never waits, and a message may be lost; whatever depends on a
message repeats it or copes without it. A queued connection would therefore bring no advantage, and
a messaging library's thread and wake-ups would cost more than the one system call that a datagram
takes on each side.

A message that is too long for a datagram is not sent. Senders split messages that can grow.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, cast

from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import Message, decode, encode

# Bytes of one message; less than the largest datagram. The operating system splits datagrams into
# packets.
MAX_MESSAGE_BYTES: Final = 60_000


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket of one instance.

    Attributes:
        dropped: Number of messages that could not be sent.
    """

    def __init__(self, address: str, deliver: Callable[[Message], None]) -> None:
        """Creates a socket that `open` binds to `address`; received messages go to `deliver`."""
        self._address = split_address(address)
        self._deliver = deliver
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, tuple[str, int]] = {}
        self.dropped = 0

    async def open(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, as part of `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram and delivers its message."""
        message = decode(data)
        if message is None:
            log("peer_message_unknown", "WARNING", bytes=len(data), peer=addr[0])
            return
        self._deliver(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores an error, such as nobody listening at a peer's address.

        The peer's missing heartbeats show the same.
        """

    def connect(self, address: str) -> None:
        """Allows messages to be sent to an address."""
        self._peers.setdefault(address, split_address(address))

    def disconnect(self, address: str) -> None:
        """Forgets an address, so that messages to it are dropped."""
        self._peers.pop(address, None)

    def send(self, address: str, message: Message) -> bool:
        """Sends a message; returns False if it was dropped at once."""
        return self.send_frame(address, encode(message))

    def send_frame(self, address: str, frame: bytes) -> bool:
        """Sends an encoded message; returns False if it was dropped at once."""
        peer = self._peers.get(address)
        if peer is None or self._transport is None or len(frame) > MAX_MESSAGE_BYTES:
            self.dropped += 1
            return False
        self._transport.sendto(frame, peer)
        return True

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)

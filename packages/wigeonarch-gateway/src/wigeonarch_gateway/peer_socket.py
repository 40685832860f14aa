"""Messages between gateways: one datagram socket, one datagram a message.

Sending never waits, and a message may be lost: all that depends on one is repeated or copes without
it. So a datagram does what a queued connection would, with one system call each way; a messaging
library's thread and wake-ups would cost more than the messages.

A message that is too long for a datagram is not sent; those that can grow are cut up by their
senders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Final, cast

from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import Message, decode, encode

# Bytes of one message; less than the largest datagram, which the system takes apart for the way.
MAX_MESSAGE_BYTES: Final = 60_000
MAX_PORT: Final = 65_535


class PeerSocket(asyncio.DatagramProtocol):
    """The socket of one instance.

    Attributes:
        dropped: Messages that could not be sent.
    """

    def __init__(self, address: str, deliver: Callable[[Message], None]) -> None:
        """Makes a socket that is opened later, at `address`."""
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
        """Keeps the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands over a message."""
        message = decode(data)
        if message is None:
            log("peer_message_unknown", "WARNING", bytes=len(data), peer=addr[0])
            return
        self._deliver(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores that nobody listens at a peer's address; its silence tells the same."""

    def connect(self, address: str) -> None:
        """Makes sure that messages can be sent to an address."""
        self._peers.setdefault(address, split_address(address))

    def disconnect(self, address: str) -> None:
        """Forgets an address."""
        self._peers.pop(address, None)

    def send(self, address: str, message: Message) -> bool:
        """Sends a message; False when it was dropped at once."""
        return self.send_frame(address, encode(message))

    def send_frame(self, address: str, frame: bytes) -> bool:
        """Sends a message that was encoded once for many; False when it was dropped at once."""
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
    """Returns the parts of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Tells whether a text is `IP:PORT`."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT

"""Reads addresses of the form `IP:PORT`.

Other processes choose them, so any text may come: nothing here raises for one.
"""

from __future__ import annotations

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def parse_ip(host: str) -> IpAddress | None:
    """Returns an IP address, version 6 also in brackets; None if the text is none."""
    in_brackets = host.startswith("[") and host.endswith("]")
    try:
        return ipaddress.IPv6Address(host[1:-1]) if in_brackets else ipaddress.ip_address(host)
    except ValueError:
        return None


def is_port(text: str) -> bool:
    """Tells whether a text is a port in decimal digits."""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT


def is_address(text: str) -> bool:
    """Tells whether a text has the form `IP:PORT`."""
    host, _, port = text.rpartition(":")
    return parse_ip(host) is not None and is_port(port)


def is_ipv4_address(text: str) -> bool:
    """Tells whether a text has the form `IP:PORT` with an address of version 4."""
    host, _, port = text.rpartition(":")
    return isinstance(parse_ip(host), ipaddress.IPv4Address) and is_port(port)

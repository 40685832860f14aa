"""How many connections of callers an instance accepts, from the descriptors it may open.

The rest of the descriptors is for engines, services, the platform and peers.
"""

from __future__ import annotations

import resource
from typing import Final

FILE_DESCRIPTORS: Final = 200  # Descriptors that are no sockets, and are not shared out.
MIN_CONNECTIONS: Final = 4
# Shares of the descriptors. Each request may need one more, for an endpoint, and a connection of an
# RPC caller takes three.
HTTP_SHARE: Final = 0.3
RPC_SHARE: Final = 0.08


def connection_bound(stated: int, share: float) -> int:
    """Returns the connections that a server accepts.

    Args:
        stated: What the settings state; 0 if nothing.
        share: Share of the descriptors otherwise.
    """
    if stated:
        return stated
    available = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(available * share))

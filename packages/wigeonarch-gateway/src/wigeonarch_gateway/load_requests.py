"""Sends load requests and notes of adapter use to the owner of an engine.

Many requests may need the same adapter at once. One load request is sent for all of them, and is
repeated a few times per second while it is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.engineviews import EngineViews, to_adapter
from wigeonarch_gateway.messages import AdapterUse, LoadRequest, Message

# Seconds until a load request is sent again, which is also the delay caused by a lost message.
REPEAT_INTERVAL: Final = 0.15
MAX_REMEMBERED: Final = 500  # Load requests whose times are kept before old ones are dropped.


class LoadRequests:
    """Asks the owners of engines for adapters."""

    __slots__ = ("_me", "_ownership", "_send", "_sent", "_views")

    def __init__(
        self,
        me: str,
        views: EngineViews,
        ownership: EngineOwnership,
        send: Callable[[str, Message], bool],
    ) -> None:
        self._me = me
        self._views = views
        self._ownership = ownership
        self._send = send
        self._sent: dict[tuple[str, AdapterKey], float] = {}

    def request_load(self, endpoint: str, key: AdapterKey, priority: int, missing: bool) -> None:
        """Asks the owner of an engine to load an adapter.

        Args:
            endpoint: The engine.
            key: The adapter.
            priority: Rank of the request; 0 is the most urgent.
            missing: Whether the engine just refused a request because it lacks the adapter; such a
                load request is sent at once.
        """
        now = monotonic()
        if not missing and now - self._sent.get((endpoint, key), 0.0) < REPEAT_INTERVAL:
            return
        if len(self._sent) > MAX_REMEMBERED:
            self._sent = {k: at for k, at in self._sent.items() if now - at < REPEAT_INTERVAL}
        self._sent[endpoint, key] = now
        controller = self._ownership.controller(endpoint)
        if controller is not None:
            controller.request_load(key, priority, missing)
            return
        owner = self._views.get(endpoint).owner
        if owner:
            load_request = LoadRequest(self._me, endpoint, to_adapter(key), priority, missing)
            self._send(owner, load_request)

    def report_use(self, endpoint: str, key: AdapterKey) -> None:
        """Tells the owner of an engine that a request for an adapter is dispatched there."""
        controller = self._ownership.controller(endpoint)
        if controller is not None:
            controller.note_use(key.name)
            return
        owner = self._views.get(endpoint).owner
        if owner:
            self._send(owner, AdapterUse(self._me, endpoint, to_adapter(key)))

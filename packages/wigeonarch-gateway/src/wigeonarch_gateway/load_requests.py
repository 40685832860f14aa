"""Wishes for adapters and notes of their use, sent to the holder of the engine.

Many requests may want one adapter at once; their wishes go out together, a few times a second.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.engineviews import EngineViews, to_adapter
from wigeonarch_gateway.messages import AdapterUse, LoadRequest, Message

REPEAT_INTERVAL: Final = (
    0.15  # Seconds until a wish is sent again; a lost message costs no more than that.
)
MAX_REMEMBERED: Final = 500


class LoadRequests:
    """What this instance asks holders for."""

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
        """Asks the holder of an engine for an adapter."""
        now = monotonic()
        if not missing and now - self._sent.get((endpoint, key), 0.0) < REPEAT_INTERVAL:
            return
        if len(self._sent) > MAX_REMEMBERED:
            self._sent = {k: at for k, at in self._sent.items() if now - at < REPEAT_INTERVAL}
        self._sent[endpoint, key] = now
        orderer = self._ownership.controller(endpoint)
        if orderer is not None:
            orderer.request_load(key, priority, missing)
            return
        holder = self._views.get(endpoint).owner
        if holder:
            wish = LoadRequest(self._me, endpoint, to_adapter(key), priority, missing)
            self._send(holder, wish)

    def report_use(self, endpoint: str, key: AdapterKey) -> None:
        """Tells the holder that a request is sent."""
        orderer = self._ownership.controller(endpoint)
        if orderer is not None:
            orderer.note_use(key.name)
            return
        holder = self._views.get(endpoint).owner
        if holder:
            self._send(holder, AdapterUse(self._me, endpoint, to_adapter(key)))

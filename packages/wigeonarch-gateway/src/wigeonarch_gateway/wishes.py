"""Wishes for adapters and notes of their use, sent to the holder of the engine.

Many requests may want one adapter at once; their wishes go out together, a few times a second.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.engineviews import EngineViews, to_adapter
from wigeonarch_gateway.holders import Holders
from wigeonarch_gateway.messages import LoadWish, Message, Used

REPEAT: Final = 0.15  # Seconds until a wish is sent again; a lost message costs no more than that.
REMEMBERED: Final = 500


class Wishes:
    """What this instance asks holders for."""

    __slots__ = ("_holders", "_me", "_send", "_sent", "_views")

    def __init__(
        self,
        me: str,
        views: EngineViews,
        holders: Holders,
        send: Callable[[str, Message], bool],
    ) -> None:
        self._me = me
        self._views = views
        self._holders = holders
        self._send = send
        self._sent: dict[tuple[str, AdapterKey], float] = {}

    def wish(self, endpoint: str, key: AdapterKey, priority: int, missing: bool) -> None:
        """Asks the holder of an engine for an adapter."""
        now = monotonic()
        if not missing and now - self._sent.get((endpoint, key), 0.0) < REPEAT:
            return
        if len(self._sent) > REMEMBERED:
            self._sent = {k: at for k, at in self._sent.items() if now - at < REPEAT}
        self._sent[endpoint, key] = now
        orderer = self._holders.orderer(endpoint)
        if orderer is not None:
            orderer.wish(key, priority, missing)
            return
        holder = self._views.get(endpoint).holder
        if holder:
            wish = LoadWish(self._me, endpoint, to_adapter(key), priority, missing)
            self._send(holder, wish)

    def using(self, endpoint: str, key: AdapterKey) -> None:
        """Tells the holder that a request is sent."""
        orderer = self._holders.orderer(endpoint)
        if orderer is not None:
            orderer.used(key.name)
            return
        holder = self._views.get(endpoint).holder
        if holder:
            self._send(holder, Used(self._me, endpoint, to_adapter(key)))

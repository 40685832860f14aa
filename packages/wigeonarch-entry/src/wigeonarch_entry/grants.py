"""The asking side of grants: asks an engine's owner and waits for its answer.

An ask is repeated while it waits; the answer to a lost message thus comes with the next one. Each
repetition goes to whoever owns the engine then, so an ask follows an engine that is handed over.
Which grants may be used is decided in `wigeonarch_core.asking`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.asking import Asking
from wigeonarch_core.fleet import Fleet, Ownership
from wigeonarch_core.messages import Ask, DeclarePins, Granted, Message, Moved, Refused, Release
from wigeonarch_core.options import Timing
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

REPEAT: Final = 0.5


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    deadline: float
    answer: asyncio.Future[Granted | Refused]
    owner: str = ""
    number: int = 0


class Grants:
    """Asks of this instance and the grants that it holds."""

    __slots__ = ("_asking", "_fleet", "_send", "_timing", "_waiting")

    def __init__(
        self,
        timing: Timing,
        use_bound: float,
        fleet: Fleet,
        send: Callable[[str, Message], None],
    ) -> None:
        """Makes the asker; a grant is used within `use_bound` seconds or not at all."""
        self._timing = timing
        self._fleet = fleet
        self._send = send
        self._asking = Asking(fleet.me, fleet.boot, timing.grant_validity, use_bound)
        self._waiting: dict[str, _Waiting] = {}

    async def ask(self, ask: Ask, deadline: float) -> Granted | Refused:
        """Asks the owner of `ask.engine`; returns its answer, or a refusal of our own.

        Cancelling the call withdraws the ask.
        """
        ask = msgspec.structs.replace(ask, boot=self._fleet.boot)
        answer: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(ask, deadline, answer)
        self._waiting[ask.ask] = waiting
        given: Granted | Refused | None = None
        try:
            given = await self._wait(waiting)
            return given
        finally:
            del self._waiting[ask.ask]
            self._asking.settled(ask.ask)
            if not isinstance(given, Granted):
                self._asking.release(ask.ask)
                self._tell_owner(ask.engine, waiting.owner, ask.ask)

    def answered(self, answer: Granted | Refused) -> None:
        """Takes an owner's answer; one that is late or not recent is not used."""
        waiting = self._waiting.get(answer.ask)
        if waiting is None or waiting.answer.done():
            if isinstance(answer, Granted) and self._asking.unwanted(answer):
                self._tell_owner(answer.engine, "", answer.ask)
            return
        if isinstance(answer, Granted):
            now = monotonic()
            if not self._asking.accepts(answer, now):
                return
            # Held from this moment on, so that a declaration made before the asker runs lists it.
            self._asking.hold(waiting.ask, waiting.deadline, now)
        waiting.answer.set_result(answer)

    def moved(self, moved: Moved) -> None:
        """Repeats the asks for an engine at its new owner at once."""
        for waiting in self._waiting.values():
            if waiting.ask.engine == moved.engine and not waiting.answer.done():
                self._repeat(waiting, monotonic())

    def reaches(self, engine: str, now: float) -> bool:
        """Tells whether the owner of an engine can be asked."""
        held = self._fleet.owners.get(engine)
        return held is not None and self._reachable(held, now)

    def usable(self, ask: str) -> bool:
        """Tells whether a request may still be sent under its grant."""
        return self._asking.usable(ask, monotonic())

    def release(self, ask: str) -> None:
        """Gives a grant back: the engine certainly no longer runs the request."""
        held = self._asking.release(ask)
        if held is not None:
            self._tell_owner(held.engine, "", ask)

    def forget(self, ask: str) -> None:
        """Stops using a grant without knowing whether the engine still runs the request.

        The owner keeps the pin until the deadline has passed and the engine reports it idle.
        """
        self._asking.forget(ask, monotonic())

    def declare(self, request: DeclarePins) -> None:
        """Tells an owner of an engine which pins this instance holds there."""
        held = self._asking.declare(request, monotonic())
        if held is not None:
            self._send(request.owner, held)

    async def _wait(self, waiting: _Waiting) -> Granted | Refused:
        while True:
            now = monotonic()
            if now >= waiting.deadline:
                return Refused(waiting.ask.ask, Reason.DEADLINE, 0.0)
            if not self._repeat(waiting, now):
                return Refused(waiting.ask.ask, Reason.NO_OWNER, self._timing.lease_term)
            pause = min(REPEAT, waiting.deadline - now)
            done, _ = await asyncio.wait([waiting.answer], timeout=pause)
            if done:
                return waiting.answer.result()

    def _repeat(self, waiting: _Waiting, now: float) -> bool:
        """Sends the next round to the present owner; False when there is none to be reached."""
        held = self._fleet.owners.get(waiting.ask.engine)
        if held is None or not self._reachable(held, now):
            return False
        number = waiting.number
        waiting.owner = held.owner
        waiting.number += 1
        self._asking.sending(waiting.ask.ask, number, now)
        remaining = waiting.deadline - now
        self._send(
            held.owner, msgspec.structs.replace(waiting.ask, round=number, remaining=remaining)
        )
        return True

    def _tell_owner(self, engine: str, also: str, ask: str) -> None:
        """Releases an ask at the present owner, and at the one that was asked last."""
        held = self._fleet.owners.get(engine)
        owners = {also, held.owner if held else ""} - {""}
        for owner in sorted(owners):
            self._send(owner, Release(ask, self._fleet.me, engine))

    def _reachable(self, held: Ownership, now: float) -> bool:
        if held.owner == self._fleet.me:
            return True
        peer = self._fleet.peers.get(held.owner)
        if peer is None or peer.heard is None:
            return False
        return now - peer.heard <= self._timing.peer_timeout

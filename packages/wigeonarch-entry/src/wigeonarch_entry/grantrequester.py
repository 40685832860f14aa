"""The asking side of grants: asks an engine's owner and waits for its answer.

An ask is repeated while it waits; the answer to a lost message thus comes with the next one. Each
repetition goes to whoever owns the engine then, so an ask follows an engine that is handed over.
Which grants may be used is decided in `wigeonarch_core.grant_requests`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.fleet import Fleet, Ownership
from wigeonarch_core.grant_requests import GrantRequests
from wigeonarch_core.messages import (
    DeclarePins,
    Granted,
    GrantRequest,
    Message,
    Moved,
    Refused,
    Release,
)
from wigeonarch_core.options import Timing
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

REPEAT_INTERVAL: Final = 0.5


@dataclass(slots=True)
class _PendingRequest:
    request: GrantRequest
    deadline: float
    reply: asyncio.Future[Granted | Refused]
    owner: str = ""
    next_round: int = 0


class GrantRequester:
    """Asks of this instance and the grants that it holds."""

    __slots__ = ("_fleet", "_grant_requests", "_pending", "_send", "_timing")

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
        self._grant_requests = GrantRequests(
            fleet.own_name, fleet.boot, timing.grant_validity, use_bound
        )
        self._pending: dict[str, _PendingRequest] = {}

    async def request(self, ask: GrantRequest, deadline: float) -> Granted | Refused:
        """Asks the owner of `ask.engine`; returns its answer, or a refusal of our own.

        Cancelling the call withdraws the ask.
        """
        ask = msgspec.structs.replace(ask, boot=self._fleet.boot)
        answer: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        waiting = _PendingRequest(ask, deadline, answer)
        self._pending[ask.dispatch_id] = waiting
        given: Granted | Refused | None = None
        try:
            given = await self._await_answer(waiting)
            return given
        finally:
            del self._pending[ask.dispatch_id]
            self._grant_requests.stop_waiting(ask.dispatch_id)
            if not isinstance(given, Granted):
                self._grant_requests.release(ask.dispatch_id)
                self._send_release(ask.engine, waiting.owner, ask.dispatch_id)

    def handle_answer(self, answer: Granted | Refused) -> None:
        """Takes an owner's answer; one that is late or not recent is not used."""
        waiting = self._pending.get(answer.dispatch_id)
        if waiting is None or waiting.reply.done():
            if isinstance(answer, Granted) and self._grant_requests.is_unwanted(answer):
                self._send_release(answer.engine, "", answer.dispatch_id)
            return
        if isinstance(answer, Granted):
            now = monotonic()
            if not self._grant_requests.may_use(answer, now):
                return
            # Held from this moment on, so that a declaration made before the asker runs lists it.
            self._grant_requests.hold(waiting.request, waiting.deadline, now)
        waiting.reply.set_result(answer)

    def handle_moved(self, moved: Moved) -> None:
        """Repeats the asks for an engine at its new owner at once."""
        for waiting in self._pending.values():
            if waiting.request.engine == moved.engine and not waiting.reply.done():
                self._send_round(waiting, monotonic())

    def is_owner_reachable(self, engine: str, now: float) -> bool:
        """Tells whether the owner of an engine can be asked."""
        held = self._fleet.owners.get(engine)
        return held is not None and self._is_reachable(held, now)

    def is_usable(self, ask: str) -> bool:
        """Tells whether a request may still be sent under its grant."""
        return self._grant_requests.is_usable(ask, monotonic())

    def release(self, ask: str) -> None:
        """Gives a grant back: the engine certainly no longer runs the request."""
        held = self._grant_requests.release(ask)
        if held is not None:
            self._send_release(held.engine, "", ask)

    def abandon(self, ask: str) -> None:
        """Stops using a grant without knowing whether the engine still runs the request.

        The owner keeps the pin until the deadline has passed and the engine reports it idle.
        """
        self._grant_requests.abandon(ask, monotonic())

    def handle_declare_pins(self, request: DeclarePins) -> None:
        """Tells an owner of an engine which pins this instance holds there."""
        held = self._grant_requests.declare_pins(request, monotonic())
        if held is not None:
            self._send(request.owner, held)

    async def _await_answer(self, waiting: _PendingRequest) -> Granted | Refused:
        while True:
            now = monotonic()
            if now >= waiting.deadline:
                return Refused(waiting.request.dispatch_id, Reason.DEADLINE, 0.0)
            if not self._send_round(waiting, now):
                return Refused(
                    waiting.request.dispatch_id, Reason.NO_OWNER, self._timing.lease_term
                )
            pause = min(REPEAT_INTERVAL, waiting.deadline - now)
            done, _ = await asyncio.wait([waiting.reply], timeout=pause)
            if done:
                return waiting.reply.result()

    def _send_round(self, waiting: _PendingRequest, now: float) -> bool:
        """Sends the next round to the present owner; False when there is none to be reached."""
        held = self._fleet.owners.get(waiting.request.engine)
        if held is None or not self._is_reachable(held, now):
            return False
        number = waiting.next_round
        waiting.owner = held.owner
        waiting.next_round += 1
        self._grant_requests.note_sent(waiting.request.dispatch_id, number, now)
        remaining = waiting.deadline - now
        self._send(
            held.owner, msgspec.structs.replace(waiting.request, round=number, remaining=remaining)
        )
        return True

    def _send_release(self, engine: str, also: str, ask: str) -> None:
        """Releases an ask at the present owner, and at the one that was asked last."""
        held = self._fleet.owners.get(engine)
        owners = {also, held.owner if held else ""} - {""}
        for owner in sorted(owners):
            self._send(owner, Release(ask, self._fleet.own_name, engine))

    def _is_reachable(self, held: Ownership, now: float) -> bool:
        if held.owner == self._fleet.own_name:
            return True
        peer = self._fleet.peers.get(held.owner)
        if peer is None or peer.heard_at is None:
            return False
        return now - peer.heard_at <= self._timing.peer_timeout

"""The requesting side of grants: sends grant requests to engines' owners and awaits their answers.

A grant request is repeated while it waits, so that a lost message or answer is made up for by the
next round. Each round is sent to the engine's current owner, so a request follows an engine that is
handed over. Which grants may be used is decided in `wigeonarch_core.grant_requests`.
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

# Seconds between two rounds of a grant request.
REPEAT_INTERVAL: Final = 0.5


@dataclass(slots=True)
class _PendingRequest:
    request: GrantRequest
    deadline: float
    reply: asyncio.Future[Granted | Refused]
    owner: str = ""
    next_round: int = 0


class GrantRequester:
    """Grant requests of this instance and the grants that it holds."""

    __slots__ = ("_fleet", "_grant_requests", "_pending", "_send", "_timing")

    def __init__(
        self,
        timing: Timing,
        send_within: float,
        fleet: Fleet,
        send: Callable[[str, Message], None],
    ) -> None:
        """Makes the requester.

        Args:
            timing: Timeouts.
            send_within: Seconds after the receipt of a grant in which its request must be sent; an
                older grant is not used.
            fleet: This instance's view of the deployment.
            send: Sends a message to an instance, also to this one.
        """
        self._timing = timing
        self._fleet = fleet
        self._send = send
        self._grant_requests = GrantRequests(
            fleet.own_name, fleet.boot, timing.grant_validity, send_within
        )
        self._pending: dict[str, _PendingRequest] = {}

    async def request(self, request: GrantRequest, deadline: float) -> Granted | Refused:
        """Requests a grant from the owner of `request.engine`.

        Cancelling the call withdraws the request.

        Args:
            request: The grant request.
            deadline: Monotonic time of the hard deadline, in seconds.

        Returns:
            The owner's answer, or a refusal made here if there is no owner to reach or the deadline
            has passed.
        """
        request = msgspec.structs.replace(request, boot=self._fleet.boot)
        future: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        pending = _PendingRequest(request, deadline, future)
        self._pending[request.dispatch_id] = pending
        reply: Granted | Refused | None = None
        try:
            reply = await self._await_answer(pending)
            return reply
        finally:
            del self._pending[request.dispatch_id]
            self._grant_requests.stop_waiting(request.dispatch_id)
            if not isinstance(reply, Granted):
                self._grant_requests.release(request.dispatch_id)
                self._send_release(request.engine, pending.owner, request.dispatch_id)

    def handle_answer(self, answer: Granted | Refused) -> None:
        """Handles an owner's answer.

        A grant that comes too late, or for a round that is no longer recent, is not used.
        """
        pending = self._pending.get(answer.dispatch_id)
        if pending is None or pending.reply.done():
            if isinstance(answer, Granted) and self._grant_requests.is_unwanted(answer):
                self._send_release(answer.engine, "", answer.dispatch_id)
            return
        if isinstance(answer, Granted):
            now = monotonic()
            if not self._grant_requests.may_use(answer, now):
                return
            # Held from now on, so that a declaration of pins lists the grant even if it is made
            # before the waiting task runs.
            self._grant_requests.hold(pending.request, pending.deadline, now)
        pending.reply.set_result(answer)

    def handle_moved(self, moved: Moved) -> None:
        """Repeats the waiting requests for an engine to its new owner, without a delay."""
        for pending in self._pending.values():
            if pending.request.engine == moved.engine and not pending.reply.done():
                self._send_round(pending, monotonic())

    def is_owner_reachable(self, engine: str, now: float) -> bool:
        """Returns whether an engine has an owner that can be reached."""
        ownership = self._fleet.owners.get(engine)
        return ownership is not None and self._is_reachable(ownership, now)

    def is_usable(self, dispatch_id: str) -> bool:
        """Returns whether a request may still be sent under its grant."""
        return self._grant_requests.is_usable(dispatch_id, monotonic())

    def release(self, dispatch_id: str) -> None:
        """Releases a grant when the engine certainly no longer runs the request."""
        held = self._grant_requests.release(dispatch_id)
        if held is not None:
            self._send_release(held.engine, "", dispatch_id)

    def abandon(self, dispatch_id: str) -> None:
        """Stops using a grant without knowing whether the engine still runs the request.

        The owner keeps the pin until the deadline has passed and the engine reports it idle.
        """
        self._grant_requests.abandon(dispatch_id, monotonic())

    def handle_declare_pins(self, request: DeclarePins) -> None:
        """Sends an engine's owner the pins that this instance holds on the engine."""
        held = self._grant_requests.declare_pins(request, monotonic())
        if held is not None:
            self._send(request.owner, held)

    async def _await_answer(self, pending: _PendingRequest) -> Granted | Refused:
        while True:
            now = monotonic()
            if now >= pending.deadline:
                return Refused(pending.request.dispatch_id, Reason.DEADLINE, 0.0)
            if not self._send_round(pending, now):
                return Refused(
                    pending.request.dispatch_id, Reason.NO_OWNER, self._timing.lease_term
                )
            pause = min(REPEAT_INTERVAL, pending.deadline - now)
            done, _ = await asyncio.wait([pending.reply], timeout=pause)
            if done:
                return pending.reply.result()

    def _send_round(self, pending: _PendingRequest, now: float) -> bool:
        """Sends the next round to the current owner; returns False if none can be reached."""
        ownership = self._fleet.owners.get(pending.request.engine)
        if ownership is None or not self._is_reachable(ownership, now):
            return False
        round_number = pending.next_round
        pending.owner = ownership.owner
        pending.next_round += 1
        self._grant_requests.note_sent(pending.request.dispatch_id, round_number, now)
        remaining = pending.deadline - now
        self._send(
            ownership.owner,
            msgspec.structs.replace(pending.request, round=round_number, remaining=remaining),
        )
        return True

    def _send_release(self, engine: str, last_owner: str, dispatch_id: str) -> None:
        """Releases a grant or withdraws a request, at the current owner and at `last_owner`."""
        current = self._fleet.owners.get(engine)
        owners = {last_owner, current.owner if current else ""} - {""}
        for owner in sorted(owners):
            self._send(owner, Release(dispatch_id, self._fleet.own_name, engine))

    def _is_reachable(self, ownership: Ownership, now: float) -> bool:
        if ownership.owner == self._fleet.own_name:
            return True
        peer = self._fleet.peers.get(ownership.owner)
        if peer is None or peer.heard_at is None:
            return False
        return now - peer.heard_at <= self._timing.peer_timeout

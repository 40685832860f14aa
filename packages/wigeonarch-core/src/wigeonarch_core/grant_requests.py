"""The asker's side of grants: which grants it takes and which pins it declares.

A grant counts only if the ask's round was sent recently on the asker's own clock, so an owner that
was paused can't hand out a live grant late; and only if its fencing number is not older than that
of the owner to whom the asker has declared its pins, so a declaration is complete for good.

A grant taken is used at once or not at all: the request must be on its way within a short bound,
which also keeps the deadline that the engine is told close to the true one.

A grant given up without knowing whether the engine still runs the request is not used any more, but
is declared until its hard deadline has passed.
"""

from __future__ import annotations

from dataclasses import dataclass

from wigeonarch_core.messages import DeclarePins, Granted, GrantRequest, HeldPin, HeldPins


@dataclass(slots=True)
class _Held:
    request: GrantRequest
    deadline: float
    granted_at: float


class GrantRequests:
    """Asks of one instance that wait, and the grants that it holds.

    Attributes:
        me: Name of this instance.
        boot: Nonce made at its start.
    """

    __slots__ = (
        "_abandoned",
        "_declared_fences",
        "_held",
        "_rounds_sent",
        "_send_within",
        "_validity",
        "boot",
        "own_name",
    )

    def __init__(self, own_name: str, boot: str, validity: float, send_within: float) -> None:
        """Makes an asker.

        Args:
            me: Name of this instance.
            boot: Nonce made at its start.
            validity: Seconds after its own ask in which it may use a grant.
            bound: Seconds after taking a grant in which the request must be sent; for as long after
                its hard deadline is a forgotten grant declared.
        """
        self.own_name = own_name
        self.boot = boot
        self._validity = validity
        self._send_within = send_within
        self._rounds_sent: dict[str, dict[int, float]] = {}
        self._held: dict[str, _Held] = {}
        self._abandoned: dict[str, _Held] = {}
        self._declared_fences: dict[str, int] = {}

    def note_sent(self, dispatch_id: str, round_number: int, now: float) -> None:
        """Notes that a round of an ask is sent."""
        rounds = self._rounds_sent.setdefault(dispatch_id, {})
        for old in [n for n, at in rounds.items() if now - at > self._validity]:
            del rounds[old]
        rounds[round_number] = now

    def stop_waiting(self, dispatch_id: str) -> None:
        """Notes that an ask waits no longer."""
        self._rounds_sent.pop(dispatch_id, None)

    def may_use(self, granted: Granted, now: float) -> bool:
        """Tells whether a grant may be used."""
        sent = self._rounds_sent.get(granted.dispatch_id, {}).get(granted.round)
        if sent is None or now - sent > self._validity:
            return False
        return granted.fence >= self._declared_fences.get(granted.engine, 0)

    def is_unwanted(self, granted: Granted) -> bool:
        """Tells whether a grant is for an ask that is over here, so that it is to be released."""
        ask = granted.dispatch_id
        return not (ask in self._rounds_sent or ask in self._held or ask in self._abandoned)

    def hold(self, request: GrantRequest, deadline: float, now: float) -> None:
        """Takes a grant; `deadline` is the hard one, in seconds."""
        self._held[request.dispatch_id] = _Held(request, deadline, now)

    def is_usable(self, dispatch_id: str, now: float) -> bool:
        """Tells whether a request may still be sent under its grant."""
        held = self._held.get(dispatch_id)
        return held is not None and now - held.granted_at <= self._send_within

    def release(self, dispatch_id: str) -> GrantRequest | None:
        """Ends a grant that the engine certainly doesn't use any more; returns its ask."""
        held = self._held.pop(dispatch_id, None)
        return None if held is None else held.request

    def abandon(self, dispatch_id: str, now: float) -> None:
        """Stops using a grant that the engine may still use."""
        held = self._held.pop(dispatch_id, None)
        if held is not None:
            self._abandoned[dispatch_id] = held
        over = [k for k, v in self._abandoned.items() if now > v.deadline + self._send_within]
        for key in over:
            del self._abandoned[key]

    def declare_pins(self, request: DeclarePins, now: float) -> HeldPins | None:
        """Returns the declaration to an owner; None to one that is older than the last."""
        if request.fence < self._declared_fences.get(request.engine, 0):
            return None
        self._declared_fences[request.engine] = request.fence
        kept = [*self._held.items(), *self._abandoned.items()]
        held = tuple(
            HeldPin(name, each.request.target, each.deadline - now)
            for name, each in kept
            if each.request.engine == request.engine and now <= each.deadline + self._send_within
        )
        return HeldPins(
            self.own_name, self.boot, request.engine, request.fence, request.number, held
        )

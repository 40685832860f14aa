"""The requesting side of grants: which grants an instance uses and which pins it declares.

An instance repeats a grant request in numbered rounds while it waits. It uses a grant only if the
grant answers a round that this instance sent recently by its own clock, so an owner that was paused
cannot hand out a usable grant late. The grant's fencing token must also be no older than the
one of the owner to which this instance last declared its pins: a declaration therefore stays
complete, as no older owner can add a pin to it.

A request must be sent to its engine within a short time after the grant, or the grant is not used.
This also keeps the deadline that the engine receives close to the true one.

A grant that is abandoned while the engine may still run its request is not used any more, but it is
declared as a pin until its hard deadline has passed.
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
    """Waiting grant requests of one instance, and the grants that it holds.

    Attributes:
        own_name: Name of this instance.
        boot: Nonce made when this instance started.
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
        """Starts without requests and grants.

        Args:
            own_name: Name of this instance.
            boot: Nonce made when this instance started.
            validity: Seconds after sending a round in which a grant that answers it may be used.
            send_within: Seconds after taking a grant in which its request must be sent to the
                engine. An abandoned grant is declared for as long after its hard deadline.
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
        """Notes that a round of a grant request is sent, and forgets rounds that are too old."""
        rounds = self._rounds_sent.setdefault(dispatch_id, {})
        for old in [n for n, at in rounds.items() if now - at > self._validity]:
            del rounds[old]
        rounds[round_number] = now

    def stop_waiting(self, dispatch_id: str) -> None:
        """Notes that a grant request is answered or withdrawn."""
        self._rounds_sent.pop(dispatch_id, None)

    def may_use(self, granted: Granted, now: float) -> bool:
        """Tells whether a grant answers a recent round and comes from no outdated owner."""
        sent = self._rounds_sent.get(granted.dispatch_id, {}).get(granted.round)
        if sent is None or now - sent > self._validity:
            return False
        return granted.fence >= self._declared_fences.get(granted.engine, 0)

    def is_unwanted(self, granted: Granted) -> bool:
        """Tells whether to release a grant, as its request neither waits nor is granted here."""
        name = granted.dispatch_id
        return not (name in self._rounds_sent or name in self._held or name in self._abandoned)

    def hold(self, request: GrantRequest, deadline: float, now: float) -> None:
        """Records a grant as held; `deadline` is the request's hard deadline, in seconds."""
        self._held[request.dispatch_id] = _Held(request, deadline, now)

    def is_usable(self, dispatch_id: str, now: float) -> bool:
        """Tells whether the request of a held grant may still be sent to its engine."""
        held = self._held.get(dispatch_id)
        return held is not None and now - held.granted_at <= self._send_within

    def release(self, dispatch_id: str) -> GrantRequest | None:
        """Drops a grant that the engine certainly does not use any more; returns its request."""
        held = self._held.pop(dispatch_id, None)
        return None if held is None else held.request

    def abandon(self, dispatch_id: str, now: float) -> None:
        """Stops using a grant whose request may still run; drops those past their deadline."""
        held = self._held.pop(dispatch_id, None)
        if held is not None:
            self._abandoned[dispatch_id] = held
        expired = [k for k, v in self._abandoned.items() if now > v.deadline + self._send_within]
        for key in expired:
            del self._abandoned[key]

    def declare_pins(self, request: DeclarePins, now: float) -> HeldPins | None:
        """Returns the pins to declare to an owner, or None if a newer owner has asked before.

        Pins of held and abandoned grants are declared until `send_within` after their hard
        deadlines.
        """
        if request.fence < self._declared_fences.get(request.engine, 0):
            return None
        self._declared_fences[request.engine] = request.fence
        declared = [*self._held.items(), *self._abandoned.items()]
        pins = tuple(
            HeldPin(name, each.request.target, each.deadline - now)
            for name, each in declared
            if each.request.engine == request.engine and now <= each.deadline + self._send_within
        )
        return HeldPins(
            self.own_name, self.boot, request.engine, request.fence, request.number, pins
        )

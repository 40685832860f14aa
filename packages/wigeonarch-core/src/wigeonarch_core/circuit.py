"""Circuit state per endpoint: whether recent calls say that new ones are worth trying.

A state table maps (state, event) to the next state. Only failures of the transport count (no
connection, connection lost, silence); an endpoint that answers, even with an error, is alive. While
a circuit is open the endpoint is passed over; after a pause with jitter one call may try it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random
from typing import Final

from wigeonarch_core.retry import full_jitter

FAILURES_TO_OPEN: Final = 3
MIN_PAUSE: Final = 0.5
MAX_PAUSE: Final = 15.0


class State(enum.Enum):
    """State of a circuit."""

    CLOSED = "closed"  # Calls go through.
    OPEN = "open"  # No calls until the pause is over.
    PROBING = "probing"  # One call is under way to see whether the endpoint is back.


class Event(enum.Enum):
    """What can happen to a circuit."""

    SUCCESS = "success"
    FAILURE = "failure"  # One too few to open a closed circuit.
    OPENING_FAILURE = "last_failure"  # The one that opens it.
    PROBE = "probe"  # The pause is over and a call is tried.


TRANSITIONS: Final[dict[tuple[State, Event], State]] = {
    (State.CLOSED, Event.SUCCESS): State.CLOSED,
    (State.CLOSED, Event.FAILURE): State.CLOSED,
    (State.CLOSED, Event.OPENING_FAILURE): State.OPEN,
    # Calls that began before the circuit opened may still end afterwards.
    (State.OPEN, Event.SUCCESS): State.CLOSED,
    (State.OPEN, Event.FAILURE): State.OPEN,
    (State.OPEN, Event.OPENING_FAILURE): State.OPEN,
    (State.OPEN, Event.PROBE): State.PROBING,
    (State.PROBING, Event.SUCCESS): State.CLOSED,
    (State.PROBING, Event.FAILURE): State.OPEN,
    (State.PROBING, Event.OPENING_FAILURE): State.OPEN,
    # The probe was given up on without a verdict: another may follow.
    (State.PROBING, Event.PROBE): State.PROBING,
}


@dataclass(slots=True)
class _Circuit:
    state: State = State.CLOSED
    failures: int = 0
    times_opened: int = 0
    retry_at: float = 0.0


class CircuitBreakers:
    """Circuits of the endpoints that an instance calls."""

    __slots__ = ("_circuits", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._circuits: dict[str, _Circuit] = {}

    def allows(self, endpoint: str, now: float) -> bool:
        """Tells whether a call to an endpoint is worth trying; asking changes nothing."""
        circuit = self._circuits.get(endpoint)
        return circuit is None or circuit.state is State.CLOSED or now >= circuit.retry_at

    def retry_after(self, endpoint: str, now: float) -> float:
        """Returns the seconds until a call to an endpoint may be tried; 0 when it may be now."""
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.state is State.CLOSED:
            return 0.0
        return max(0.0, circuit.retry_at - now)

    def begin_call(self, endpoint: str, now: float) -> None:
        """Notes that a call begins; it is the probe if the circuit is not closed.

        Until the probe ends, or a pause has passed without its end, no other call is tried.
        """
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.state is State.CLOSED:
            return
        self._transition(circuit, Event.PROBE)
        circuit.retry_at = now + MAX_PAUSE

    def record_success(self, endpoint: str) -> None:
        """Notes that an endpoint answered."""
        circuit = self._circuits.get(endpoint)
        if circuit is not None:
            self._transition(circuit, Event.SUCCESS)
            del self._circuits[endpoint]

    def record_failure(self, endpoint: str, now: float) -> None:
        """Notes that an endpoint could not be reached, or went silent."""
        circuit = self._circuits.setdefault(endpoint, _Circuit())
        circuit.failures += 1
        last = circuit.failures >= FAILURES_TO_OPEN
        before = circuit.state
        self._transition(circuit, Event.OPENING_FAILURE if last else Event.FAILURE)
        if circuit.state is State.OPEN and before is not State.OPEN:
            # At least half of the bound, since a pause near 0 would be no pause.
            bound = full_jitter(circuit.times_opened, MIN_PAUSE, MAX_PAUSE, self._rng)
            floor = min(MAX_PAUSE, MIN_PAUSE * 2.0**circuit.times_opened) / 2
            circuit.retry_at = now + floor + bound / 2
            circuit.times_opened += 1

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that is gone."""
        self._circuits.pop(endpoint, None)

    def state(self, endpoint: str) -> State:
        """Returns the state of an endpoint's circuit."""
        circuit = self._circuits.get(endpoint)
        return circuit.state if circuit else State.CLOSED

    def _transition(self, circuit: _Circuit, event: Event) -> None:
        circuit.state = TRANSITIONS[circuit.state, event]

"""Circuit breakers: whether an endpoint's recent failures allow another call to it.

A table maps (state, event) to the next state. Only transport failures count: no connection, a lost
connection, or silence. An endpoint that answers, even with an error, is alive. While its circuit is
open, an endpoint gets no calls. After a pause with jitter, a single call probes it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random
from typing import Final

from wigeonarch_core.retry import doubled, full_jitter

FAILURES_TO_OPEN: Final = 3
MIN_PAUSE: Final = 0.5  # Seconds.
MAX_PAUSE: Final = 15.0  # Seconds.


class State(enum.Enum):
    """State of a circuit."""

    CLOSED = "closed"  # Calls are allowed.
    OPEN = "open"  # No calls are allowed until the pause has passed.
    PROBING = "probing"  # One call checks whether the endpoint is back.


class Event(enum.Enum):
    """Event that may change the state of a circuit."""

    SUCCESS = "success"
    FAILURE = "failure"  # Does not reach `FAILURES_TO_OPEN`.
    OPENING_FAILURE = "last_failure"  # Reaches `FAILURES_TO_OPEN`.
    PROBE = "probe"  # The pause has passed and a call begins.


TRANSITIONS: Final[dict[tuple[State, Event], State]] = {
    (State.CLOSED, Event.SUCCESS): State.CLOSED,
    (State.CLOSED, Event.FAILURE): State.CLOSED,
    (State.CLOSED, Event.OPENING_FAILURE): State.OPEN,
    # Calls that began before the circuit opened may end while it is open.
    (State.OPEN, Event.SUCCESS): State.CLOSED,
    (State.OPEN, Event.FAILURE): State.OPEN,
    (State.OPEN, Event.OPENING_FAILURE): State.OPEN,
    (State.OPEN, Event.PROBE): State.PROBING,
    (State.PROBING, Event.SUCCESS): State.CLOSED,
    (State.PROBING, Event.FAILURE): State.OPEN,
    (State.PROBING, Event.OPENING_FAILURE): State.OPEN,
    # The probe ended without success or failure, so another call becomes the probe.
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
        """Tells whether an endpoint may be called now; does not change the circuit."""
        circuit = self._circuits.get(endpoint)
        return circuit is None or circuit.state is State.CLOSED or now >= circuit.retry_at

    def retry_after(self, endpoint: str, now: float) -> float:
        """Returns the seconds until an endpoint may be called; 0 if it may be called now."""
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.state is State.CLOSED:
            return 0.0
        return max(0.0, circuit.retry_at - now)

    def begin_call(self, endpoint: str, now: float) -> None:
        """Notes that a call begins; if the circuit is not closed, the call is the probe.

        No other call is allowed until the probe ends, or until `MAX_PAUSE` has passed without its
        end.
        """
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.state is State.CLOSED:
            return
        self._transition(circuit, Event.PROBE)
        circuit.retry_at = now + MAX_PAUSE

    def record_success(self, endpoint: str) -> None:
        """Closes the circuit of an endpoint that answered."""
        circuit = self._circuits.get(endpoint)
        if circuit is not None:
            self._transition(circuit, Event.SUCCESS)
            del self._circuits[endpoint]

    def record_failure(self, endpoint: str, now: float) -> None:
        """Notes that an endpoint could not be reached or did not answer in time."""
        circuit = self._circuits.setdefault(endpoint, _Circuit())
        circuit.failures += 1
        opens = circuit.failures >= FAILURES_TO_OPEN
        before = circuit.state
        self._transition(circuit, Event.OPENING_FAILURE if opens else Event.FAILURE)
        if circuit.state is State.OPEN and before is not State.OPEN:
            # Full jitter alone could give a pause near 0, so half of the bound is always waited.
            jitter = full_jitter(circuit.times_opened, MIN_PAUSE, MAX_PAUSE, self._rng)
            half_bound = doubled(MIN_PAUSE, circuit.times_opened, MAX_PAUSE) / 2
            circuit.retry_at = now + half_bound + jitter / 2
            circuit.times_opened += 1

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that no longer exists."""
        self._circuits.pop(endpoint, None)

    def state(self, endpoint: str) -> State:
        """Returns the state of an endpoint's circuit."""
        circuit = self._circuits.get(endpoint)
        return circuit.state if circuit else State.CLOSED

    def _transition(self, circuit: _Circuit, event: Event) -> None:
        circuit.state = TRANSITIONS[circuit.state, event]

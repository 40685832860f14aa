"""Service times of plain services, learned from the responses of their endpoints.

They tell how many requests a second the endpoints can finish and how long a queue takes, which
`service_admission` and `service_choice` need. Requests that did not have to wait tell most. While
there are none, as after a restart under overload or when endpoints became slower than is known,
the time is worked out from those that waited, by their place in the queue.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Responses in a row to requests that waited, after which they change an estimate too.
MAX_UNCONFIRMED: Final = 100
# Weights of one response by whether it took longer or shorter than estimated. Requests that seemed
# to find a free place may have waited behind others that were not known yet.
LONGER_WEIGHT: Final = 0.02
SHORTER_WEIGHT: Final = 0.2
MIN_ANSWERS: Final = 5  # Responses before which an estimate is used.


class ServiceTimes:
    """Service times of each service, learned from the responses to its requests."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record_answer(self, service: str, took: float, running: int, slots: int) -> None:
        """Notes a response.

        Args:
            service: The service.
            took: Seconds from the send to the response.
            running: Requests that the endpoint had when this one was sent, itself included.
            slots: Requests that the endpoint can run at the same time.
        """
        has_waited = running > slots
        # The endpoint finished that many requests until this one's end, in `slots` at a time.
        value = took * slots / running if has_waited else took
        estimate = self._estimates.setdefault(service, _Estimate(value))
        estimate.unconfirmed = estimate.unconfirmed + 1 if has_waited else 0
        is_known = estimate.answers >= MIN_ANSWERS
        if has_waited and is_known and estimate.unconfirmed <= MAX_UNCONFIRMED:
            return
        weight = LONGER_WEIGHT if value > estimate.value else SHORTER_WEIGHT
        estimate.value += weight * (value - estimate.value)
        estimate.answers += 1

    def estimate(self, service: str) -> float | None:
        """Returns the seconds that a request takes without waiting; None while unknown."""
        found = self._estimates.get(service)
        return found.value if found is not None and found.answers >= MIN_ANSWERS else None


@dataclass(slots=True)
class _Estimate:
    """An estimate of a service time.

    Attributes:
        value: Seconds.
        answers: Responses from which it was learned.
        unconfirmed: Responses in a row to requests that waited.
    """

    value: float
    answers: int = 0
    unconfirmed: int = 0

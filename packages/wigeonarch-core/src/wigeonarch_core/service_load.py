"""Load shedding for plain services: which share of the requests an overloaded endpoint still gets.

An endpoint of a plain service queues the requests that it can't run at once. If it gets slightly
more requests than it can serve, its queue fills up and stays full, and then every request waits for
the whole queue: all are late, though most could be on time. So a part of the requests is refused
before it is sent, large enough to keep the queue short enough for the rest. Which requests are
refused is random: instances learn of each other's requests late, and would otherwise all refuse or
all send.

This helps a plain service that lost an endpoint, or whose callers send bursts and retry. The
service time of a request is learned from requests that did not have to wait.
"""

from __future__ import annotations

from typing import Final

# Share of the latency objective that an endpoint's queue may take. The rest allows for requests
# that take longer than usual, and for requests of other instances that are not known yet.
QUEUE_SHARE: Final = 0.5
ANSWER_WEIGHT: Final = 0.1  # Of one response: about the last ten count.
MIN_ANSWERS: Final = 5  # Responses before which nothing is refused.


class ServiceTimes:
    """Service times of each service, learned from requests that did not wait in a queue."""

    __slots__ = ("_answers", "_times")

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._answers: dict[str, int] = {}

    def record_answer(self, service: str, took: float, running: int, slots: int) -> None:
        """Notes a response; it is ignored if its request had to wait.

        Args:
            service: The service.
            took: Seconds from the send to the response.
            running: Requests that the endpoint had when this one was sent, itself included.
            slots: Requests that the endpoint can run at the same time.
        """
        if running > slots:
            return
        before = self._times.get(service, took)
        self._times[service] = before + ANSWER_WEIGHT * (took - before)
        self._answers[service] = self._answers.get(service, 0) + 1

    def estimate(self, service: str) -> float | None:
        """Returns the seconds that a request takes without waiting; None while unknown."""
        if self._answers.get(service, 0) < MIN_ANSWERS:
            return None
        return self._times[service]


def admitted_share(running: int, slots: int, service_time: float | None, objective: float) -> float:
    """Returns the part of the requests that should be sent to an endpoint, from 0 to 1.

    Args:
        running: Requests at the endpoint, including those that wait.
        slots: Requests that it can run at the same time.
        service_time: Seconds that a request takes without waiting; None if unknown.
        objective: Latency objective of the response, in seconds.
    """
    if service_time is None or service_time <= 0.0 or running < slots:
        return 1.0
    target = max(slots, slots * QUEUE_SHARE * objective / service_time)
    return min(1.0, target / (running + 1))

"""Whether a plain service has time for one more request, and which part to refuse when it has not.

An endpoint of a plain service queues what it can't run at once. When a little more is asked for
than it can do, its queue fills up and stays full, and then every request waits for as long as the
whole queue takes: all are late, though most could be in time. So a part is refused at once, before
it is sent, so great that the queue stays short enough for the others. Which ones is left to chance:
instances see each other's requests late, and would all refuse or all send otherwise.

It answers a plain service that lost an endpoint, or whose callers come in bursts and repeat. What
one request takes is learned where it did not have to wait.
"""

from __future__ import annotations

from typing import Final

# Part of the objective that an endpoint's queue may take: the rest is for work that takes longer
# than usual, and for requests of others that are not heard of yet.
QUEUE_SHARE: Final = 0.5
ANSWER_WEIGHT: Final = 0.1  # Weight of one answer: about the last ten count.
MIN_ANSWERS: Final = 5  # Answers before which nothing is refused.


class ServiceTimes:
    """How long requests of each service take where they don't wait."""

    __slots__ = ("_answers", "_times")

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._answers: dict[str, int] = {}

    def record_answer(self, service: str, took: float, running: int, slots: int) -> None:
        """Notes an answer.

        Args:
            service: The service.
            took: Seconds from the send to the answer.
            running: Requests that the endpoint had when this one was sent, itself included.
            slots: Requests that it runs at once.
        """
        if running > slots:
            return
        before = self._times.get(service, took)
        self._times[service] = before + ANSWER_WEIGHT * (took - before)
        self._answers[service] = self._answers.get(service, 0) + 1

    def estimate(self, service: str) -> float | None:
        """Returns the seconds that a request takes; None while that is not known."""
        if self._answers.get(service, 0) < MIN_ANSWERS:
            return None
        return self._times[service]


def admitted_share(running: int, slots: int, service_time: float | None, objective: float) -> float:
    """Returns the part of the requests that should be sent to an endpoint, from 0 to 1.

    Args:
        running: Requests there, also those that wait.
        slots: Requests that it runs at once.
        usual: Seconds that a request takes without waiting; None if unknown.
        objective: Time to the answer that counts as prompt, in seconds.
    """
    if service_time is None or service_time <= 0.0 or running < slots:
        return 1.0
    most = max(slots, slots * QUEUE_SHARE * objective / service_time)
    return min(1.0, most / (running + 1))

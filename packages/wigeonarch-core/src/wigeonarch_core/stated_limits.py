"""Rate limits that endpoints state in their answers, as known from answers that anybody received.

An endpoint states its limit in each answer for as long as it has one. So there are two kinds of
evidence. An answer that states a limit shows that it was in force until shortly before the answer
arrived. One that states none shows that there was none at some time after its request was sent. A
limit is in force if the last evidence of it is later than the last evidence of its end; where the
order is uncertain, it is in force. As only the latest evidence of each kind counts, instances may
exchange theirs in any order and as often as they like.

Evidence of other instances arrives with its age. A delayed message makes it look younger than it
is. Of a limit this is safe. Of an end it may hide evidence of a limit that came in between; whoever
has that tells it again (see `supersedes`).

That nothing is known of an endpoint does not show that it has no limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec

NEVER: Final = float("-inf")  # Before all times.
# Seconds for which the end of a limit is remembered, so that late evidence of it does not count.
END_TTL: Final = 60.0


class LimitEvidence(msgspec.Struct, frozen=True):
    """The latest evidence on an endpoint's limit.

    Attributes:
        rate: Requests per second; None if it has no limit.
        age: Seconds since the answer with the limit arrived, or since the request was sent whose
            answer stated none.
    """

    rate: float | None
    age: float


@dataclass(slots=True)
class _Known:
    """What is known of one endpoint; all times in seconds.

    Attributes:
        rate: Requests per second that it stated last.
        named_at: Time up to which that limit is known to have been in force.
        ended_at: Time from which there was none.
    """

    rate: float = 0.0
    named_at: float = NEVER
    ended_at: float = NEVER

    @property
    def in_force(self) -> bool:
        """Whether the endpoint has a limit, as far as is known."""
        return self.named_at >= self.ended_at and self.named_at > NEVER


class StatedLimits:
    """The rate limits of all endpoints."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def rate(self, endpoint: str) -> float | None:
        """Returns an endpoint's limit in requests per second; None if none is known to hold."""
        known = self._known.get(endpoint)
        return known.rate if known is not None and known.in_force else None

    def record_named(self, endpoint: str, rate: float, at: float) -> None:
        """Records that an answer that arrived at a time stated a limit."""
        known = self._known.setdefault(endpoint, _Known())
        if at >= known.named_at:
            known.rate, known.named_at = rate, at

    def record_none(self, endpoint: str, sent_at: float) -> None:
        """Records that an answer to a request that was sent at a time stated no limit.

        Nothing is remembered of endpoints without a limit so far.
        """
        known = self._known.get(endpoint)
        if known is not None:
            known.ended_at = max(known.ended_at, sent_at)

    def evidence(self, endpoint: str, now: float) -> LimitEvidence | None:
        """Returns the latest evidence on an endpoint's limit; None if there is none."""
        known = self._known.get(endpoint)
        if known is None:
            return None
        if known.in_force:
            return LimitEvidence(known.rate, now - known.named_at)
        return LimitEvidence(None, now - known.ended_at)

    def adopt(self, endpoint: str, evidence: LimitEvidence, now: float) -> None:
        """Takes over the evidence of another instance; it tells only of limits that there were."""
        at = now - evidence.age
        if evidence.rate is None:
            self._known.setdefault(endpoint, _Known())
            self.record_none(endpoint, at)
        else:
            self.record_named(endpoint, evidence.rate, at)

    def supersedes(self, endpoint: str, evidence: LimitEvidence) -> bool:
        """Tells whether another result is known here than evidence, which was adopted, shows."""
        known = self._known.get(endpoint)
        if known is None:
            return False
        return (known.rate if known.in_force else None) != evidence.rate

    def forget(self, endpoint: str) -> None:
        """Forgets all evidence on an endpoint."""
        self._known.pop(endpoint, None)

    def expire(self, now: float) -> None:
        """Forgets ends that are long past."""
        for endpoint, known in list(self._known.items()):
            if not known.in_force and now - known.ended_at >= END_TTL:
                del self._known[endpoint]

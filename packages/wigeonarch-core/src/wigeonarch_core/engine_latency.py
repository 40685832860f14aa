"""How slow each engine is, learned from its own first tokens.

Engines differ between deployments, and one may turn slow while it goes on answering; silence and
failures don't show that. What the choice of engines expects of a request until its first token is
compared with what it took. The ratio of the sums of both, newest requests first, is the engine's
slowness: 1 is as fast as the constants of the choice say, 5 takes five times as long. Sums in place
of single ratios, as short expectations are mostly noise.

A request without a first token counts as soon as it has waited longer than expected, so a stalled
engine is noticed within about the time that two answers should have taken. Evidence fades, so an
engine that was slow is tried again with a few requests. It is safe to be wrong: it moves the choice
between engines only.

Only engines far slower than usual are told apart; what is usual does not scale the choice, or it
would crowd requests on few engines wherever all are fast.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Part of an engine's evidence that one more first token replaces: the last five or six count.
SAMPLE_WEIGHT: Final = 0.18
EVIDENCE_HALF_LIFE: Final = 4.0  # Seconds in which evidence loses half of its weight against none.
# Weight of "as usual", in seconds of expectation: one first token of an idle engine.
PRIOR_EXPECTED: Final = 0.06
# Part of what is usual over all engines that one first token replaces: the last hundred count.
BASELINE_SAMPLE_WEIGHT: Final = 0.01
MIN_RATIO: Final = 0.2  # Least and greatest slowness.
MAX_RATIO: Final = 20.0
# Times of what is usual from which an engine counts as slow; below it the difference is noise of
# what else it happens to read.
SLOW_RATIO: Final = 2.0
# Seconds by which a first token may come later than expected before it counts as late: noise.
OVERDUE_MARGIN: Final = 0.1


@dataclass(slots=True)
class Wait:
    """A request that was sent and waits for its first token.

    Attributes:
        endpoint: The engine.
        since: Time of the send, in seconds.
        expected: Seconds until its first token at a slowness of 1.
    """

    endpoint: str
    since: float
    expected: float


@dataclass(slots=True)
class _Evidence:
    observed: float = 0.0
    expected: float = 0.0
    at: float = 0.0


class EngineLatency:
    """Slowness of the engines that an instance sends to."""

    __slots__ = ("_baseline", "_evidence", "_waiting")

    def __init__(self) -> None:
        """Takes all engines to be as usual."""
        self._evidence: dict[str, _Evidence] = {}
        self._waiting: dict[str, dict[int, Wait]] = {}
        self._baseline = 1.0

    def record_send(self, endpoint: str, expected: float, now: float) -> Wait:
        """Notes that a request was sent whose first token is expected within so many seconds."""
        wait = Wait(endpoint, now, expected)
        self._waiting.setdefault(endpoint, {})[id(wait)] = wait
        return wait

    def record_first_token(self, wait: Wait, now: float) -> None:
        """Notes a first token."""
        self.stop_waiting(wait)
        self._add_sample(wait.endpoint, now - wait.since, wait.expected, now)

    def stop_waiting(self, wait: Wait) -> None:
        """Notes that a request waits no more; one that ended otherwise says nothing."""
        waiting = self._waiting.get(wait.endpoint)
        if waiting is None or waiting.pop(id(wait), None) is None:
            return
        if not waiting:
            del self._waiting[wait.endpoint]

    def forget(self, endpoint: str) -> None:
        """Forgets an engine that is gone or started again."""
        self._evidence.pop(endpoint, None)
        self._waiting.pop(endpoint, None)

    def slowness(self, endpoint: str, now: float) -> float:
        """Returns how many times as long as usual an engine takes; 1 if it is not far slower."""
        ratio = self.latency_ratio(endpoint, now) / self._baseline
        return ratio if ratio > SLOW_RATIO else 1.0

    def latency_ratio(self, endpoint: str, now: float) -> float:
        """Returns how many times as long as the constants say an engine takes."""
        found = self._evidence.get(endpoint)
        took, expected = PRIOR_EXPECTED * self._baseline, PRIOR_EXPECTED
        if found is not None:
            weight = 0.5 ** ((now - found.at) / EVIDENCE_HALF_LIFE)
            took += weight * found.observed
            expected += weight * found.expected
        oldest = self._oldest_overdue(endpoint, now)
        if oldest is not None:
            took += now - oldest.since
            expected += oldest.expected
        return min(MAX_RATIO, max(MIN_RATIO, took / expected))

    def _oldest_overdue(self, endpoint: str, now: float) -> Wait | None:
        """Returns the request that has waited longest, if for longer than usual there."""
        waiting = self._waiting.get(endpoint)
        if not waiting:
            return None
        oldest = next(iter(waiting.values()))
        found = self._evidence.get(endpoint)
        usual = found.observed / found.expected if found is not None and found.expected else 1.0
        late = now - oldest.since > oldest.expected * max(1.0, usual) + OVERDUE_MARGIN
        return oldest if late else None

    def _add_sample(self, endpoint: str, took: float, expected: float, now: float) -> None:
        found = self._evidence.setdefault(endpoint, _Evidence(at=now))
        fades = 0.5 ** ((now - found.at) / EVIDENCE_HALF_LIFE)
        found.observed = fades * (1.0 - SAMPLE_WEIGHT) * found.observed + took
        found.expected = fades * (1.0 - SAMPLE_WEIGHT) * found.expected + expected
        found.at = now
        ratio = max(MIN_RATIO, took / max(expected, PRIOR_EXPECTED / 2))
        # One that is far slower than usual says nothing of the others.
        self._baseline += BASELINE_SAMPLE_WEIGHT * (
            min(ratio, 2.0 * self._baseline) - self._baseline
        )

"""Slowness of each engine, learned from the time until its first tokens.

Engines differ between deployments, and an engine may become slow while it still answers, which
neither silence nor failures show. So the time until each first token is compared with the time that
the choice of engines expected. An engine's ratio is the sum of observed times over the sum of
expected times, with the newest requests weighted most: 1 is as fast as the constants in
`engine_choice` say, 5 takes five times as long. Sums are used instead of single ratios because
short expected times are mostly noise.

A request without a first token counts as soon as it has waited longer than expected, so a stalled
engine is noticed within about the time that two responses should have taken. Evidence fades, so an
engine that was slow gets a few requests again. An error is harmless, as the slowness only affects
which engine is chosen.

Only engines far slower than the baseline over all engines count as slow. The baseline itself does
not change the choice, as it would otherwise crowd requests onto few engines wherever all are fast.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Weight of one first token in an engine's evidence: the last five or six count.
SAMPLE_WEIGHT: Final = 0.18
EVIDENCE_HALF_LIFE: Final = 4.0  # Seconds, with no newer evidence.
# Weight of the prior assumption that an engine is at the baseline, in seconds of expected time: one
# first token of an idle engine.
PRIOR_EXPECTED: Final = 0.06
# Weight of one first token in the baseline over all engines: the last hundred count.
BASELINE_SAMPLE_WEIGHT: Final = 0.01
MIN_RATIO: Final = 0.2
MAX_RATIO: Final = 20.0
# Multiple of the baseline from which an engine counts as slow. Smaller differences are noise from
# the other prompts that it happens to process.
SLOW_RATIO: Final = 2.0
# Seconds that a first token may come later than expected without being overdue, to allow for noise.
OVERDUE_MARGIN: Final = 0.1


@dataclass(slots=True)
class Wait:
    """A request that was sent and has no first token yet.

    Attributes:
        endpoint: Id of the engine.
        since: Time of the send, in seconds.
        expected: Expected seconds until the first token at a ratio of 1.
    """

    endpoint: str
    since: float
    expected: float


@dataclass(slots=True)
class _Evidence:
    observed: float = 0.0
    expected: float = 0.0
    updated_at: float = 0.0


class EngineLatency:
    """Observed latency of the engines that an instance sends requests to."""

    __slots__ = ("_baseline", "_evidence", "_waiting")

    def __init__(self) -> None:
        """Starts with all engines at the usual latency."""
        self._evidence: dict[str, _Evidence] = {}
        self._waiting: dict[str, dict[int, Wait]] = {}
        self._baseline = 1.0

    def record_send(self, endpoint: str, expected: float, now: float) -> Wait:
        """Notes a send; `expected` is the expected number of seconds until its first token."""
        wait = Wait(endpoint, now, expected)
        self._waiting.setdefault(endpoint, {})[id(wait)] = wait
        return wait

    def record_first_token(self, wait: Wait, now: float) -> None:
        """Adds the time until a first token to the engine's evidence."""
        self.stop_waiting(wait)
        self._add_sample(wait.endpoint, now - wait.since, wait.expected, now)

    def stop_waiting(self, wait: Wait) -> None:
        """Notes that a request no longer waits; without a first token it is no evidence."""
        waiting = self._waiting.get(wait.endpoint)
        if waiting is None or waiting.pop(id(wait), None) is None:
            return
        if not waiting:
            del self._waiting[wait.endpoint]

    def forget(self, endpoint: str) -> None:
        """Forgets an engine that no longer exists or has restarted."""
        self._evidence.pop(endpoint, None)
        self._waiting.pop(endpoint, None)

    def slowness(self, endpoint: str, now: float) -> float:
        """Returns an engine's latency as a multiple of the baseline; 1 if it is not far slower."""
        ratio = self.latency_ratio(endpoint, now) / self._baseline
        return ratio if ratio > SLOW_RATIO else 1.0

    def latency_ratio(self, endpoint: str, now: float) -> float:
        """Returns the observed latency of an engine over the expected one."""
        found = self._evidence.get(endpoint)
        observed, expected = PRIOR_EXPECTED * self._baseline, PRIOR_EXPECTED
        if found is not None:
            weight = 0.5 ** ((now - found.updated_at) / EVIDENCE_HALF_LIFE)
            observed += weight * found.observed
            expected += weight * found.expected
        oldest = self._oldest_overdue(endpoint, now)
        if oldest is not None:
            observed += now - oldest.since
            expected += oldest.expected
        return min(MAX_RATIO, max(MIN_RATIO, observed / expected))

    def _oldest_overdue(self, endpoint: str, now: float) -> Wait | None:
        """Returns the request that has waited longest, if its first token is overdue."""
        waiting = self._waiting.get(endpoint)
        if not waiting:
            return None
        oldest = next(iter(waiting.values()))
        found = self._evidence.get(endpoint)
        ratio = found.observed / found.expected if found is not None and found.expected else 1.0
        overdue = now - oldest.since > oldest.expected * max(1.0, ratio) + OVERDUE_MARGIN
        return oldest if overdue else None

    def _add_sample(self, endpoint: str, observed: float, expected: float, now: float) -> None:
        found = self._evidence.setdefault(endpoint, _Evidence(updated_at=now))
        weight = 0.5 ** ((now - found.updated_at) / EVIDENCE_HALF_LIFE)
        found.observed = weight * (1.0 - SAMPLE_WEIGHT) * found.observed + observed
        found.expected = weight * (1.0 - SAMPLE_WEIGHT) * found.expected + expected
        found.updated_at = now
        ratio = max(MIN_RATIO, observed / max(expected, PRIOR_EXPECTED / 2))
        # Capped, as an engine that is far slower says nothing about the others.
        self._baseline += BASELINE_SAMPLE_WEIGHT * (
            min(ratio, 2.0 * self._baseline) - self._baseline
        )

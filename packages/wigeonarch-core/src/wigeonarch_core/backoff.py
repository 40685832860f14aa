"""Backoff between failed loads of an adapter version, with jitter that needs no random source.

The jitter is a hash of the engine, the adapter version and the number of failures. So engines whose
loads failed at the same time try again at different times, and a replayed run has the same times.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.rendezvous import score
from wigeonarch_core.retry import doubled

MIN_JITTER: Final = 0.5  # Smallest share of the backoff that is waited.
HASH_RANGE: Final = 1 << 64


@dataclass(slots=True)
class _Failures:
    count: int = 0
    retry_at: float = 0.0


class LoadBackoff:
    """Failed loads of one engine, per adapter version."""

    __slots__ = ("_engine", "_failures", "_policy")

    def __init__(self, engine: str, opts: PolicyOptions) -> None:
        self._engine = engine
        self._policy = opts
        self._failures: dict[AdapterVersion, _Failures] = {}

    def may_load(self, target: AdapterVersion, now: float) -> bool:
        """Tells whether a load may be tried now."""
        failures = self._failures.get(target)
        return failures is None or now >= failures.retry_at

    def remaining(self, target: AdapterVersion, now: float) -> float:
        """Returns the seconds until a load may be tried again."""
        failures = self._failures.get(target)
        return 0.0 if failures is None else max(0.0, failures.retry_at - now)

    def exhausted(self, target: AdapterVersion) -> bool:
        """Tells whether so many loads failed in a row that no request should wait for another."""
        failures = self._failures.get(target)
        return failures is not None and failures.count >= self._policy.load_attempts

    def record_success(self, target: AdapterVersion) -> None:
        """Forgets the earlier failures of an adapter version."""
        self._failures.pop(target, None)

    def record_failure(self, target: AdapterVersion, now: float) -> None:
        """Counts a failed load and sets the time of the next try."""
        failures = self._failures.setdefault(target, _Failures())
        wait = doubled(self._policy.load_backoff, failures.count, self._policy.load_backoff_limit)
        failures.count += 1
        failures.retry_at = now + wait * self._jitter(target, failures.count)

    def _jitter(self, target: AdapterVersion, count: int) -> float:
        share = score(f"{target}#{count}", self._engine) / HASH_RANGE
        return MIN_JITTER + (1.0 - MIN_JITTER) * share

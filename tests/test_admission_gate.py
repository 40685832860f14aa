"""Requests that come while an instance may not serve for a moment."""

from __future__ import annotations

import asyncio

import pytest
from wigeonarch_core.outcomes import Reason
from wigeonarch_entry.admission_gate import AdmissionGate
from wigeonarch_runtime.clock import monotonic

HOLD = 0.3  # Seconds for which requests are held.
PASSING = (Reason.NOT_CAUGHT_UP, Reason.NOT_LEASED, Reason.CUT_OFF)
LASTING = (Reason.DRAINING, Reason.NOT_READY, Reason.NO_CONFIGURATION)


class Right:
    """The right to serve, as a test sets it; counts how often it was to be regained."""

    def __init__(self, reason: Reason | None = None) -> None:
        self.reason = reason
        self.hastened = 0
        self.gate = AdmissionGate(lambda: self.reason, self._hasten, HOLD)

    def _hasten(self) -> None:
        self.hastened += 1

    async def admit(self, deadline: float | None = None) -> Reason | None:
        return await self.gate.admit(monotonic(), deadline)


def lost(reason: Reason) -> Right:
    """Returns a right that was there and is now missing."""
    right = Right()
    right.gate.check()
    right.reason = reason
    return right


@pytest.mark.parametrize("reason", PASSING)
async def test_requests_are_held_until_the_right_to_serve_is_back(reason: Reason) -> None:
    right = lost(reason)
    held = [asyncio.create_task(right.admit()) for _ in range(20)]
    await asyncio.sleep(HOLD / 4)
    assert not any(task.done() for task in held)
    assert right.gate.lasting_refusal() is None
    # Another reason in between, as when a lease begins before the log was read.
    right.reason = Reason.NOT_CAUGHT_UP
    await asyncio.sleep(HOLD / 4)
    right.reason = None
    assert await asyncio.gather(*held) == [None] * len(held)
    assert right.hastened == 1


@pytest.mark.parametrize("reason", PASSING)
async def test_requests_are_refused_at_once_when_the_right_stays_away(reason: Reason) -> None:
    right = lost(reason)
    assert await right.admit() is reason
    began = monotonic()
    assert right.gate.lasting_refusal() is reason
    assert await right.admit() is reason
    assert monotonic() - began < HOLD


@pytest.mark.parametrize("reason", LASTING)
async def test_reasons_that_last_are_not_waited_for(reason: Reason) -> None:
    right = lost(reason)
    assert right.gate.lasting_refusal() is reason
    assert await asyncio.wait_for(right.admit(), HOLD / 2) is reason


@pytest.mark.parametrize("reason", PASSING)
async def test_a_start_holds_no_requests(reason: Reason) -> None:
    right = Right(reason)
    assert await asyncio.wait_for(right.admit(), HOLD / 2) is reason
    assert right.hastened == 0


async def test_a_held_request_ends_at_its_deadline() -> None:
    right = lost(Reason.NOT_CAUGHT_UP)
    assert await asyncio.wait_for(right.admit(HOLD / 6), HOLD / 2) is Reason.NOT_CAUGHT_UP


async def test_a_drain_ends_held_requests() -> None:
    right = lost(Reason.NOT_CAUGHT_UP)
    held = asyncio.create_task(right.admit())
    await asyncio.sleep(HOLD / 6)
    right.reason = Reason.DRAINING
    assert await asyncio.wait_for(held, HOLD / 2) is Reason.DRAINING


async def test_a_right_that_is_lost_again_is_judged_at_the_moment_of_use() -> None:
    right = lost(Reason.NOT_CAUGHT_UP)
    held = asyncio.create_task(right.admit())
    await asyncio.sleep(HOLD / 6)
    # A check finds the right; it is gone before the held request runs.
    right.reason = None
    right.gate.check()
    right.reason = Reason.CUT_OFF
    await asyncio.sleep(HOLD / 6)
    assert not held.done()
    assert await held is Reason.CUT_OFF

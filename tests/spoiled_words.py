"""Defects planted in what a keeper tells, which tests of ages must find."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_gateway.messages import Told


def without_age(told: Told) -> Told:
    """Says that the keeper is up to date, whenever it last was."""
    told.age_ms = 0
    return told


def without_outage(told: Told) -> Told:
    """Says that the keeper has the store, and just heard of it."""
    told.away = False
    told.age_ms = 0
    return told


def without_gap(told: Told) -> Told:
    """Says that nothing is missing before what is told."""
    told.since = 0
    return told


DEFECTS: Final[tuple[Callable[[Told], Told], ...]] = (without_age, without_outage, without_gap)

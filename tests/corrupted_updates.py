"""Defects planted in what a keeper tells, which tests of ages must find."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_gateway.messages import StoreUpdate


def without_age(told: StoreUpdate) -> StoreUpdate:
    """Says that the keeper is up to date, whenever it last was."""
    told.age_ms = 0
    return told


def without_outage(told: StoreUpdate) -> StoreUpdate:
    """Says that the keeper has the store, and just heard of it."""
    told.store_away = False
    told.age_ms = 0
    return told


def without_gap(told: StoreUpdate) -> StoreUpdate:
    """Says that nothing is missing before what is told."""
    told.since = 0
    return told


DEFECTS: Final[tuple[Callable[[StoreUpdate], StoreUpdate], ...]] = (
    without_age,
    without_outage,
    without_gap,
)

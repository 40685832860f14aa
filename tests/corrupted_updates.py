"""Defects planted in a watcher's updates, which the tests of their age must detect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_gateway.messages import StoreUpdate


def without_age(update: StoreUpdate) -> StoreUpdate:
    """Claims that the watcher is up to date, however old its state is."""
    update.age_ms = 0
    return update


def without_outage(update: StoreUpdate) -> StoreUpdate:
    """Claims that the store answers the watcher, and just did."""
    update.store_away = False
    update.age_ms = 0
    return update


def without_gap(update: StoreUpdate) -> StoreUpdate:
    """Claims that no changes are missing before those of the update."""
    update.since = 0
    return update


DEFECTS: Final[tuple[Callable[[StoreUpdate], StoreUpdate], ...]] = (
    without_age,
    without_outage,
    without_gap,
)

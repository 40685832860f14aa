"""Tells how up to date the configuration in force is, for answers that depend on what it lacks.

A route or an API key that is not in the configuration may be in a newer one. An instance may say
that it does not exist only if it knows the configuration that was in force everywhere when the
request was sent, which is so as long as the store confirmed its own within the time that a change
may take to be in force.
"""

from __future__ import annotations

from wigeonarch_core.revisions import store_revision

from wigeonarch_gateway.ports import ObjectKind
from wigeonarch_gateway.selection import LogFields
from wigeonarch_gateway.sharing import Confirmation, WatchSharing


class ConfigurationFreshness:
    """How up to date this instance's configuration is known to be."""

    __slots__ = ("_bound", "_sharing")

    def __init__(self, sharing: WatchSharing, bound: float) -> None:
        """Creates the freshness of the configuration.

        Args:
            sharing: Knows when the store confirmed the configuration.
            bound: Seconds within which a configuration must be in force everywhere.
        """
        self._sharing = sharing
        self._bound = bound

    def is_behind(self) -> bool:
        """Tells whether a configuration unknown here may have been in force for too long."""
        return self._sharing.age(ObjectKind.CONFIGURATION) > self._bound

    def confirmation(self) -> Confirmation:
        """Returns how up to date the configuration is known to be, and by whom."""
        return self._sharing.confirmation(ObjectKind.CONFIGURATION)

    def log_fields(self) -> LogFields:
        """Returns log fields that tell what a decision knew of the configuration."""
        found = self.confirmation()
        return {
            "age": found.age,
            "confirmed_by": found.confirmed_by,
            "as_of": store_revision(found.as_of) if found.as_of is not None else 0,
        }

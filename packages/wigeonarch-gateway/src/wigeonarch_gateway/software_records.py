"""What the lease of an instance tells of the software at which its streams may have begun.

All memory of streams is lost if all instances are lost at once. Then only the leases prove at which
software the streams of a service can have begun (see `core.stream_origins`). Each instance records
this of its own streams alone, so its record is complete however long the others were away.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import msgspec
from wigeonarch_core.stream_origins import NEVER, SEVERAL, Evidence, combine_evidence

from wigeonarch_gateway.object_contents import LeaseContent

CLOCK_DIFFERENCE: Final = 10.0  # Seconds by which the clocks of instances may differ.
# Seconds after which a lease that was not written says nothing any more. Far longer than a stream
# lasts, as an instance may go on without the store.
RECORD_VALID: Final = 600.0
MS: Final = 1000.0


class SoftwareRecord(msgspec.Struct, frozen=True):
    """At which software streams of an instance may have begun lately.

    Attributes:
        software: The software of each service; `SEVERAL` if there are several.
        mixed: Services that had several, with the time until which they did, in seconds on the
            clock of this process.
    """

    software: Mapping[str, str] = {}
    mixed: Mapping[str, float] = {}

    def covers(self, service: str, software: str) -> bool:
        """Tells whether a stream of a software is one of those that are recorded."""
        found = self.software.get(service)
        return found is not None and found in (software, SEVERAL)


def mixed_to_store(record: SoftwareRecord, now: float, unix_now: float) -> dict[str, int]:
    """Returns the times of a record as `LeaseContent.mixed` has them."""
    return {service: int((unix_now - (now - at)) * MS) for service, at in record.mixed.items()}


def record_in_lease(lease: LeaseContent, now: float, unix_now: float) -> SoftwareRecord:
    """Returns the record in a lease; an empty one if an older version of the product wrote it."""
    mixed = {}
    for service, at_ms in lease.mixed.items():
        # A time in the future, by a clock that differs, counts as now.
        ago = max(0.0, unix_now - at_ms / MS - CLOCK_DIFFERENCE)
        mixed[service] = now - ago
    return SoftwareRecord(lease.software or {}, mixed)


def evidence_in_leases(
    leases: Iterable[LeaseContent], now: float, unix_now: float
) -> dict[str, Evidence]:
    """Returns what the leases of all instances tell of each service."""
    return combine_evidence(
        found
        for lease in leases
        if unix_now - lease.written_ms / MS < RECORD_VALID
        for found in _evidence(record_in_lease(lease, now, unix_now))
    )


def _evidence(record: SoftwareRecord) -> Iterator[tuple[str, Evidence]]:
    for service, software in record.software.items():
        yield service, Evidence(software, record.mixed.get(service, NEVER))
    for service in record.mixed.keys() - record.software.keys():
        yield service, Evidence(SEVERAL, record.mixed[service])

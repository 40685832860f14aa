"""Decides when a change is accepted: when every instance that may serve has applied it.

Each instance decides for itself whether it may serve (see `serving_right`). The functions here
judge the other instances from what this one has observed. When in doubt they must count an instance
as serving, since a change must not be accepted too early:

* An instance whose lease has not lapsed counts as serving. The leases must have been read after the
  change was written, and they are judged as of a time before that read.
* An instance whose lease has lapsed but which is still on the platform's list may be serving while
  its zone is cut off from the platform. It counts as serving unless its zone is covered: some
  instance of the zone has a valid lease and the change, and has told its zone for long enough that
  it reaches the platform (`settled`). By then, the instances of that zone without a lease have
  stopped serving or have learned of the change.

Example: a zone is cut off. Its leases lapse, the list still names its instances, and no instance
covers the zone, so changes stay pending and name these instances as lagging. After the cut heals,
they renew their leases and catch up, and the next query finds the change accepted.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from wigeonarch_core.messages import Heartbeat
from wigeonarch_core.records import LeaseRecord


class LaggingInstance(msgspec.Struct, frozen=True, order=True):
    """An instance that is not known to have applied a change."""

    zone: str
    instance: str


class Member(msgspec.Struct, frozen=True):
    """What this instance knows of another one, as far as acceptance depends on it.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        applied: Number of the last change that it said it had applied.
        leased: Whether its lease has not lapsed.
        listed: Whether it is on the platform's list.
        settled: Whether it reported, together with `applied`, that it had reached the platform for
            so long that all instances of its zone know.
    """

    name: str
    zone: str
    applied: int
    leased: bool
    listed: bool
    settled: bool


def build_member(
    record: LeaseRecord, heartbeat: Heartbeat | None, number: int, leased: bool, listed: bool
) -> Member:
    """Returns what is known of an instance with regard to change `number`.

    Args:
        record: Its lease record.
        heartbeat: Last heartbeat from the same process; None if there was none.
        number: Number of the change.
        leased: Whether its lease has not lapsed.
        listed: Whether it is on the platform's list.
    """
    reports: list[LeaseRecord | Heartbeat] = [record] if heartbeat is None else [record, heartbeat]
    return Member(
        name=record.instance,
        zone=record.zone,
        applied=max(report.applied for report in reports),
        leased=leased,
        listed=listed,
        settled=any(report.settled and report.applied >= number for report in reports),
    )


def find_lagging(number: int, members: Iterable[Member]) -> tuple[LaggingInstance, ...]:
    """Returns the instances that keep change `number` from being accepted, sorted."""
    all_members = list(members)
    covered_zones = {m.zone for m in all_members if m.leased and m.settled and m.applied >= number}
    return tuple(
        sorted(
            LaggingInstance(m.zone, m.name)
            for m in all_members
            if _is_lagging(m, number, m.zone in covered_zones)
        )
    )


def _is_lagging(member: Member, number: int, zone_covered: bool) -> bool:
    if member.applied >= number:
        return False
    return member.leased or (member.listed and not zone_covered)

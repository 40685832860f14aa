"""When a change counts as accepted: every instance that may serve has it in force.

Which instances may serve is decided by each of them (see `serving_right`); here an instance judges
the others from what it has seen, and must err on the side of counting too many:

* An instance whose lease has not lapsed counts. The leases must have been read after the change was
  written, and are judged as of the time before that reading.
* An instance whose lease has lapsed, but which the platform's list still names, may be serving
  with its zone cut off. It counts, unless an instance of its zone that holds its lease has the
  change and has been telling its zone for long enough that it reaches the platform: then those
  without a lease have stopped, or heard of the change.

Example: a zone is cut off. Its leases lapse, the list still names its instances, and none of them
is covered, so changes stay pending and name them. After healing they renew, catch up, and the
change is accepted when it is asked about again.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from wigeonarch_core.messages import Heartbeat
from wigeonarch_core.records import LeaseRecord


class LaggingInstance(msgspec.Struct, frozen=True, order=True):
    """An instance that is not known to have a change in force."""

    zone: str
    instance: str


class Member(msgspec.Struct, frozen=True):
    """An instance as seen by the one that judges.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        applied: Last change that it said it had in force.
        leased: Whether its lease has not lapsed.
        listed: Whether the platform's list names it.
        settled: Whether it said, with `applied`, that it had reached the platform for so long that
            its zone knows.
    """

    name: str
    zone: str
    applied: int
    leased: bool
    listed: bool
    settled: bool


def build_member(
    record: LeaseRecord, beat: Heartbeat | None, number: int, leased: bool, listed: bool
) -> Member:
    """Returns what counts of a peer for change `number`.

    Args:
        record: Its lease record.
        beat: The last heartbeat of the same process; None without one.
        number: The change.
        leased: Whether its lease has not lapsed.
        listed: Whether the platform's list names it.
    """
    said: list[LeaseRecord | Heartbeat] = [record] if beat is None else [record, beat]
    return Member(
        name=record.instance,
        zone=record.zone,
        applied=max(each.applied for each in said),
        leased=leased,
        listed=listed,
        settled=any(each.settled and each.applied >= number for each in said),
    )


def find_lagging(number: int, members: Iterable[Member]) -> tuple[LaggingInstance, ...]:
    """Returns the instances that keep change `number` from being accepted."""
    known = list(members)
    covered = {m.zone for m in known if m.leased and m.settled and m.applied >= number}
    return tuple(
        sorted(
            LaggingInstance(m.zone, m.name) for m in known if _lacks(m, number, m.zone in covered)
        )
    )


def _lacks(member: Member, number: int, covered: bool) -> bool:
    if member.applied >= number:
        return False
    return member.leased or (member.listed and not covered)

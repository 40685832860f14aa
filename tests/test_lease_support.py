"""What peers may do for the lease of a gateway instance that is cut off from the store."""

from __future__ import annotations

from typing import Any, cast

import pytest
from gateway_world import HOLDING
from wigeonarch_core.lease import HeldLease
from wigeonarch_gateway import leasing
from wigeonarch_gateway.leasing import CrashMemory, Identity, OwnLease
from wigeonarch_gateway.messages import LeaseRenewed, LeaseSupportRequest
from wigeonarch_gateway.ports import ObjectStore

END = HOLDING.term - HOLDING.margin  # Of a lease that was renewed at 0, in seconds.


def _own_lease(sent: list[LeaseSupportRequest]) -> OwnLease:
    return OwnLease(
        cast(ObjectStore, None),
        HOLDING,
        Identity("edge-0", "first", "127.0.0.1:1", "a"),
        sent.append,
        lambda: ["edge-1"],
        lambda: True,
        _no_listed_lease,
        CrashMemory(lambda: [], lambda found: None),
    )


async def _no_listed_lease() -> None:
    return None


@pytest.mark.parametrize(
    ("at", "asks", "valid"),
    [
        (END - 0.1, True, True),
        # It could not write its ownerships in a new period, so its peers must be free to take over.
        (END + 0.1, False, False),
    ],
)
def test_peers_renew_no_lease_that_has_lapsed(
    monkeypatch: pytest.MonkeyPatch, at: float, asks: bool, valid: bool
) -> None:
    sent: list[LeaseSupportRequest] = []
    own = _own_lease(sent)
    clock: dict[str, Any] = {"now": 0.0}
    monkeypatch.setattr(leasing, "monotonic", lambda: clock["now"])
    _renew(own.lease, at)
    clock["now"] = at
    own._ask_peers_for_support()
    assert bool(sent) is asks
    for request in sent:
        own.note_peer_renewal(LeaseRenewed("edge-1", request.number, 2))
    assert own.lease.is_valid(at) is valid
    assert own.lease.generation == 1


def test_renewal_that_comes_after_the_end_begins_no_new_generation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[LeaseSupportRequest] = []
    own = _own_lease(sent)
    clock: dict[str, Any] = {"now": END - 0.05}
    monkeypatch.setattr(leasing, "monotonic", lambda: clock["now"])
    _renew(own.lease, END - 0.05)
    own._ask_peers_for_support()
    clock["now"] = END + 0.05
    own.note_peer_renewal(LeaseRenewed("edge-1", sent[0].number, 2))
    assert (own.lease.is_valid(END + 0.05), own.lease.generation) == (False, 1)


def _renew(lease: HeldLease, running_until: float) -> None:
    """Records a renewal at 0 of a process that runs until a time."""
    lease.record_renewal(0.0, 1, 0.0)
    now = 0.0
    while now < running_until:
        lease.record_running(now)
        now += HOLDING.margin / 4
    lease.record_running(running_until)

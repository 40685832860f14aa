"""An odd address is told from a good one, whoever wrote it, and ends nobody."""

from __future__ import annotations

import pytest
from odd_addresses import ADDRESSES, ODD_ADDRESSES
from wigeonarch_core.addresses import is_address, is_ipv4_address
from wigeonarch_gateway.directory import Directory
from wigeonarch_gateway.ports import StoredObject
from wigeonarch_platform import records


@pytest.mark.parametrize("address", ADDRESSES, ids=range(len(ADDRESSES)))
def test_addresses(address: str) -> None:
    assert is_address(address) is ADDRESSES[address]
    assert is_ipv4_address(address) is ADDRESSES[address]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_a_lease_with_an_odd_address_hides_no_other(address: str) -> None:
    good = {"incarnation": "x", "address": "127.0.0.1:80", "zone": "a"}
    leases = [
        StoredObject("e-1", 1, good),
        StoredObject("e-2", 2, {**good, "address": address}),
        StoredObject("e-3", 3, good),
    ]
    directory = Directory()
    directory.take_leases(leases, 0.0)
    assert sorted(directory.entries) == ["e-1", "e-3"]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
def test_an_endpoint_with_an_odd_address_is_refused(address: str) -> None:
    spec = {"service": "s", "address": address, "zone": "a", "slots": 6, "state": "ready"}
    with pytest.raises(ValueError, match=r"IP:PORT|`str` of length"):
        records.decode_endpoint(StoredObject("i-1", 1, spec))

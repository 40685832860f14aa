"""Entries of the store that another writer made: they name no endpoint, and the others hold."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins.store import StoreStandIn
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.directory import Directory
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.object_contents import read_lease, read_owner
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import Changes, EndpointState, Listing, ObjectKind, StoredObject
from wigeonarch_gateway.store_updates import StoreUpdateHandlers
from wigeonarch_platform import documents, records
from wigeonarch_platform.store import Store

GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "b",
    "slots": 6,
    "state": "ready",
    "models": [{"name": "m", "version": 1, "adapters": ["a1@3"]}],
    "born": 1_700_000_000_000,
}


def but(**changes: Any) -> dict[str, Any]:
    return {**GOOD, **changes}


def without(name: str) -> dict[str, Any]:
    return {key: value for key, value in GOOD.items() if key != name}


FOREIGN: list[Any] = [
    None,
    "text",
    7,
    [],
    [GOOD],
    {},
    without("service"),
    without("address"),
    without("zone"),
    without("slots"),
    without("state"),
    but(service=""),
    but(service=5),
    but(service=None),
    but(zone=["b"]),
    but(address="10.0.0.9"),
    but(address="10.0.0.9:"),
    but(address=":80"),
    but(address="10.0.0.9:0"),
    but(address="10.0.0.9:99999"),
    but(address="10.0.0.9:8\u0661"),
    but(address="somewhere:80"),
    but(address={"ip": "10.0.0.9"}),
    but(slots=0),
    but(slots=-4),
    but(slots="6"),
    but(slots=6.5),
    but(slots=10**15),
    but(state="paused"),
    but(state=""),
    but(state=True),
    but(models="m"),
    but(models=[{"version": 1}]),
    but(models=[{"name": "m", "adapters": ["a1@x"]}]),
    but(models=[{"name": "m", "adapters": [3]}]),
    but(born="soon"),
    but(born=None),
    but(born=1.5),
    but(born=-1),
    but(born=True),
]


@dataclass
class Seen:
    """What an instance knows by the store's answers."""

    store: Store
    endpoints: EndpointRegistry
    intake: StoreUpdateHandlers

    async def read(self) -> int:
        found = await self.store.list(ObjectKind.ENDPOINTS)
        assert isinstance(found, Listing)
        self.intake._endpoints_listed(found.objects)
        return found.as_of

    async def watch(self, since: int) -> None:
        found = await self.store.watch(ObjectKind.ENDPOINTS, since, 0.2)
        assert isinstance(found, Changes)
        for change in found.changes:
            self.intake._endpoint_changed(change)

    def ready(self) -> list[str]:
        return sorted(record.endpoint for record in self.endpoints.ready("s"))


@asynccontextmanager
async def instance() -> AsyncIterator[tuple[StoreStandIn, Seen]]:
    standin = StoreStandIn()
    await standin.start()
    store = Store(standin.address)
    # What is missing may be one that lapsed all the while; what can't be read is not missing.
    endpoints = EndpointRegistry(lambda zone: 1e12, lambda endpoint: None, lambda record: None)
    catalogue = Catalogue(records.decode_configuration, records.decode_version)
    intake = StoreUpdateHandlers(
        StoreOptions(), catalogue, endpoints, EngineViews(), records.decode_endpoint
    )
    try:
        yield standin, Seen(store, endpoints, intake)
    finally:
        await store.close()
        await standin.stop()


@pytest.mark.parametrize("spec", FOREIGN, ids=range(len(FOREIGN)))
async def test_a_foreign_entry_names_no_endpoint(spec: Any) -> None:
    async with instance() as (standin, seen):
        for name in ("i-1", "i-2"):
            await standin.put("servers", name, GOOD)
        await standin.put("servers", "i-foreign", spec)
        since = await seen.read()
        assert seen.ready() == ["i-1", "i-2"]
        # One that was good before names none from then on, by a watch and by a list.
        await standin.put("servers", "i-2", spec)
        await seen.watch(since)
        assert seen.ready() == ["i-1"]
        assert seen.endpoints.get("i-2") is None
        # And again when it is good again.
        await standin.put("servers", "i-2", GOOD)
        await seen.read()
        assert seen.ready() == ["i-1", "i-2"]
        await standin.put("servers", "i-2", spec)
        await seen.read()
        assert seen.ready() == ["i-1"]


@pytest.mark.parametrize(
    "spoiled",
    [
        (b'"spoil"', b'"\xff\xfe"'),
        (b'"spoil"', b"1e999"),
        (b'{"state": "spoil"}', b"123456789012345678901234567890"),
        (b'"name": "i-foreign"', b'"name": 5'),
        (b'"name": "i-foreign"', b'"name": "\xff"'),
        (b'"name": "i-foreign"', b'"title": ""'),
    ],
)
async def test_bytes_that_are_no_text_hide_nothing_else(spoiled: tuple[bytes, bytes]) -> None:
    async with instance() as (standin, seen):
        standin.spoiled = dict([spoiled])
        await standin.put("servers", "i-1", GOOD)
        since = await seen.read()
        await standin.put("servers", "i-foreign", {"state": "spoil"})
        await standin.put("servers", "i-2", GOOD)
        await seen.watch(since)
        assert seen.ready() == ["i-1", "i-2"]
        await seen.read()
        assert seen.ready() == ["i-1", "i-2"]


async def test_an_entry_that_stays_unreadable_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        "wigeonarch_gateway.store_updates.log", lambda event, *args, **more: logged.append(event)
    )
    async with instance() as (standin, seen):
        await standin.put("servers", "i-foreign", 7)
        for _ in range(3):
            await seen.read()
        await standin.put("servers", "i-foreign", 8)
        await seen.read()
    assert logged == ["endpoint_unreadable"] * 2


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
ITEM = JSON | st.builds(
    lambda name, spec: {"metadata": {"name": name, "revision": 3}, "spec": spec},
    st.text(max_size=8) | st.integers(),
    JSON | st.builds(but, state=st.text(max_size=8) | st.integers(), slots=JSON),
)


@given(before=st.lists(ITEM, max_size=4), after=st.lists(ITEM, max_size=4))
def test_whatever_is_listed_beside_it_a_good_entry_is_found(
    before: list[Any], after: list[Any]
) -> None:
    good = {"metadata": {"name": "i-good-one", "revision": 4}, "spec": GOOD}
    body = json.dumps({"items": [*before, good, *after], "as_of": 9}).encode()
    page = documents.read_document(body, documents.WireList)
    found = {one.name: one.spec for one in documents.read_objects(page.items, 0)}
    assert found["i-good-one"] == GOOD
    events = [*before, {"object": good, "deleted": False}, *after]
    body = json.dumps({"events": events, "as_of": 9}).encode()
    told = documents.read_document(body, documents.WireEvents)
    changes = {change.stored.name: change for change in documents.read_events(told.events, 0)}
    record = records.decode_endpoint(changes["i-good-one"].stored)
    assert record.state is EndpointState.READY


@pytest.mark.parametrize(
    ("name", "spec", "readable"),
    [
        ("m.a1", {"model": "m", "adapter": "a1", "version": 2}, True),
        ("m", {"model": "m", "version": 2}, True),
        ("m.a2", {"model": "m", "adapter": "a1", "version": 9}, False),
        ("m.a1", {"model": "m", "adapter": "a1", "version": -1}, False),
        ("m.a1", {"model": "m", "adapter": "a1", "version": "2"}, False),
        ("m.a1", None, False),
    ],
)
def test_a_foreign_version_changes_nothing(name: str, spec: Any, readable: bool) -> None:
    catalogue = Catalogue(records.decode_configuration, records.decode_version)
    catalogue.take_version_list((StoredObject(name, 1, spec),))
    assert (catalogue.version("m", "a1") or catalogue.version("m", "")) == (2 if readable else 0)


def test_only_one_object_holds_the_configuration() -> None:
    with pytest.raises(ValueError):
        records.decode_configuration(
            StoredObject("other", 1, {"version": 9, "routes": [], "services": []})
        )


@pytest.mark.parametrize("spec", [None, 5, [], {}, {"address": 5}, {"holder": None}])
def test_own_objects_that_another_writer_changed_name_nobody(spec: Any) -> None:
    found = StoredObject("i-1", 1, spec)
    assert read_owner(found) is None
    assert read_lease(found) is None
    assert Directory().take_leases([found], 0.0) == []


def test_a_lease_without_an_address_to_use_is_no_instance() -> None:
    spec = {"incarnation": "x", "address": "nowhere", "zone": "a"}
    assert Directory().take_leases([StoredObject("e", 1, spec)], 0.0) == []


def test_what_adapters_an_entry_tells_of() -> None:
    record = records.decode_endpoint(StoredObject("i-1", 1, GOOD))
    assert (record.born, record.models[0].adapters) == (GOOD["born"], (AdapterKey("m", "a1", 3),))
    assert records.decode_endpoint(StoredObject("i-1", 1, without("born"))).born == 0

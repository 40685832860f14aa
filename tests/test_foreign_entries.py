"""Tests that invalid store entries of other writers are ignored and do not affect valid ones."""

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

VALID: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "b",
    "slots": 6,
    "state": "ready",
    "models": [{"name": "m", "version": 1, "adapters": ["a1@3"]}],
    "born": 1_700_000_000_000,
}


def changed(**changes: Any) -> dict[str, Any]:
    return {**VALID, **changes}


def without(name: str) -> dict[str, Any]:
    return {key: value for key, value in VALID.items() if key != name}


INVALID: list[Any] = [
    None,
    "text",
    7,
    [],
    [VALID],
    {},
    without("service"),
    without("address"),
    without("zone"),
    without("slots"),
    without("state"),
    changed(service=""),
    changed(service=5),
    changed(service=None),
    changed(zone=["b"]),
    changed(address="10.0.0.9"),
    changed(address="10.0.0.9:"),
    changed(address=":80"),
    changed(address="10.0.0.9:0"),
    changed(address="10.0.0.9:99999"),
    changed(address="10.0.0.9:8\u0661"),
    changed(address="somewhere:80"),
    changed(address={"ip": "10.0.0.9"}),
    changed(slots=0),
    changed(slots=-4),
    changed(slots="6"),
    changed(slots=6.5),
    changed(slots=10**15),
    changed(state="paused"),
    changed(state=""),
    changed(state=True),
    changed(models="m"),
    changed(models=[{"version": 1}]),
    changed(models=[{"name": "m", "adapters": ["a1@x"]}]),
    changed(models=[{"name": "m", "adapters": [3]}]),
    changed(born="soon"),
    changed(born=None),
    changed(born=1.5),
    changed(born=-1),
    changed(born=True),
]


@dataclass
class StoreReader:
    """The endpoints that an instance knows from the store's answers."""

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
async def instance() -> AsyncIterator[tuple[StoreStandIn, StoreReader]]:
    standin = StoreStandIn()
    await standin.start()
    store = Store(standin.address)
    # Missing entries count as lapsed for the whole test; an invalid entry is not a missing one.
    endpoints = EndpointRegistry(lambda zone: 1e12, lambda endpoint: None, lambda record: None)
    catalogue = Catalogue(records.decode_configuration, records.decode_version)
    intake = StoreUpdateHandlers(
        StoreOptions(), catalogue, endpoints, EngineViews(), records.decode_endpoint
    )
    try:
        yield standin, StoreReader(store, endpoints, intake)
    finally:
        await store.close()
        await standin.stop()


@pytest.mark.parametrize("spec", INVALID, ids=range(len(INVALID)))
async def test_an_invalid_entry_is_no_endpoint(spec: Any) -> None:
    async with instance() as (standin, reader):
        for name in ("i-1", "i-2"):
            await standin.put("servers", name, VALID)
        await standin.put("servers", "i-foreign", spec)
        since = await reader.read()
        assert reader.ready() == ["i-1", "i-2"]
        # An entry that becomes invalid is no endpoint any more, whether a watch or a list shows it.
        await standin.put("servers", "i-2", spec)
        await reader.watch(since)
        assert reader.ready() == ["i-1"]
        assert reader.endpoints.get("i-2") is None
        # An entry that becomes valid again is an endpoint again.
        await standin.put("servers", "i-2", VALID)
        await reader.read()
        assert reader.ready() == ["i-1", "i-2"]
        await standin.put("servers", "i-2", spec)
        await reader.read()
        assert reader.ready() == ["i-1"]


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
async def test_undecodable_bytes_in_an_entry_do_not_hide_other_entries(
    spoiled: tuple[bytes, bytes],
) -> None:
    async with instance() as (standin, reader):
        standin.body_replacements = dict([spoiled])
        await standin.put("servers", "i-1", VALID)
        since = await reader.read()
        await standin.put("servers", "i-foreign", {"state": "spoil"})
        await standin.put("servers", "i-2", VALID)
        await reader.watch(since)
        assert reader.ready() == ["i-1", "i-2"]
        await reader.read()
        assert reader.ready() == ["i-1", "i-2"]


def nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


# Contents that are found among others only if nobody looks into them.
UNDECODABLE_CONTENTS = {
    "deep_lists": nested(1200),
    "lists_as_deep_as_the_stack": nested(950),
    "deep_objects": b'{"a":' * 1200 + b"1" + b"}" * 1200,
    "deepest": nested(300_000),
    "lone_surrogate": b'"mill\\udcff"',
    "control_character": b'"mill\x01"',
    "not_a_number": b"NaN",
    "long_integer": b"9" * 25,
}
PLACES = {
    "content": (b'"@"', b"%s"),
    "field": (b'"models": "@"', b'"models": %s'),
    "unknown_field": (b'"models": "@"', b'"colour": %s'),
    "unknown_metadata": (b'"name": "i-2"', b'"name": "i-2", "labels": %s'),
    "name": (b'"name": "i-2"', b'"name": %s'),
}


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("content", UNDECODABLE_CONTENTS)
async def test_a_content_on_which_decoders_fail_neither_hides_entries_nor_ends_the_watch(
    content: str, place: str
) -> None:
    good, bad = PLACES[place]
    async with instance() as (standin, reader):
        standin.body_replacements = {good: bad % UNDECODABLE_CONTENTS[content]}
        await standin.put("servers", "i-1", VALID)
        since = await reader.read()
        await standin.put("servers", "i-2", "@" if place == "content" else changed(models="@"))
        await standin.put("servers", "i-3", VALID)
        await reader.watch(since)
        assert reader.ready() == ["i-1", "i-3"]
        await reader.read()
        assert reader.ready() == ["i-1", "i-3"]


@pytest.mark.parametrize("content", UNDECODABLE_CONTENTS)
async def test_an_endpoint_whose_entry_becomes_undecodable_is_dropped(content: str) -> None:
    async with instance() as (standin, reader):
        for name in ("i-1", "i-2"):
            await standin.put("servers", name, VALID)
        since = await reader.read()
        standin.body_replacements = {
            b'"models": "@"': b'"models": ' + UNDECODABLE_CONTENTS[content]
        }
        await standin.put("servers", "i-2", changed(models="@"))
        await reader.watch(since)
        assert reader.ready() == ["i-1"]
        await reader.read()
        assert reader.ready() == ["i-1"]


async def test_pages_that_hold_undecodable_entries_only_do_not_end_a_list() -> None:
    async with instance() as (standin, reader):
        standin.body_replacements = {b'"@"': nested(1200)}
        standin.page_size = 1
        for name in ("i-2", "i-4"):
            await standin.put("servers", name, "@")
        for name in ("i-1", "i-3", "i-5"):
            await standin.put("servers", name, VALID)
        await reader.read()
        assert reader.ready() == ["i-1", "i-3", "i-5"]


async def test_an_entry_that_stays_invalid_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        "wigeonarch_gateway.store_updates.log", lambda event, *args, **more: logged.append(event)
    )
    async with instance() as (standin, reader):
        await standin.put("servers", "i-foreign", 7)
        for _ in range(3):
            await reader.read()
        await standin.put("servers", "i-foreign", 8)
        await reader.read()
    assert logged == ["endpoint_unreadable"] * 2


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
ITEM = JSON | st.builds(
    lambda name, spec: {"metadata": {"name": name, "revision": 3}, "spec": spec},
    st.text(max_size=8) | st.integers(),
    JSON | st.builds(changed, state=st.text(max_size=8) | st.integers(), slots=JSON),
)


@given(before=st.lists(ITEM, max_size=4), after=st.lists(ITEM, max_size=4))
def test_a_valid_entry_is_found_among_any_other_entries(
    before: list[Any], after: list[Any]
) -> None:
    valid = {"metadata": {"name": "i-good-one", "revision": 4}, "spec": VALID}
    body = json.dumps({"items": [*before, valid, *after], "as_of": 9}).encode()
    page = documents.read_document(body, documents.WireList)
    found = {one.name: one.spec for one in documents.read_objects(page.items, 0)}
    assert found["i-good-one"] == VALID
    events = [*before, {"object": valid, "deleted": False}, *after]
    body = json.dumps({"events": events, "as_of": 9}).encode()
    decoded = documents.read_document(body, documents.WireEvents)
    changes = {change.stored.name: change for change in documents.read_events(decoded.events, 0)}
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
def test_an_invalid_adapter_version_is_ignored(name: str, spec: Any, readable: bool) -> None:
    catalogue = Catalogue(records.decode_configuration, records.decode_version)
    catalogue.take_version_list((StoredObject(name, 1, spec),))
    assert (catalogue.version("m", "a1") or catalogue.version("m", "")) == (2 if readable else 0)


def test_only_the_object_named_main_is_the_configuration() -> None:
    with pytest.raises(ValueError):
        records.decode_configuration(
            StoredObject("other", 1, {"version": 9, "routes": [], "services": []})
        )


@pytest.mark.parametrize("spec", [None, 5, [], {}, {"address": 5}, {"holder": None}])
def test_invalid_owner_objects_and_leases_are_ignored(spec: Any) -> None:
    found = StoredObject("i-1", 1, spec)
    assert read_owner(found) is None
    assert read_lease(found) is None
    assert Directory().take_leases([found], 0.0) == []


def test_a_lease_without_a_valid_address_is_ignored() -> None:
    spec = {"incarnation": "x", "address": "nowhere", "zone": "a"}
    assert Directory().take_leases([StoredObject("e", 1, spec)], 0.0) == []


def test_an_entrys_adapters_and_start_time() -> None:
    record = records.decode_endpoint(StoredObject("i-1", 1, VALID))
    assert (record.born, record.models[0].adapters) == (VALID["born"], (AdapterKey("m", "a1", 3),))
    assert records.decode_endpoint(StoredObject("i-1", 1, without("born"))).born == 0

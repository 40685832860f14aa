"""The catalogue: results of changes, pages, snapshots and routing."""

from __future__ import annotations

import msgspec
import pytest
from wigeonarch_core.catalogue import MAX_REMEMBERED_RESULTS, Catalogue
from wigeonarch_core.changelog import Change, Delete, Mutation, Put, Snapshot, Verdict
from wigeonarch_core.entries import (
    Adapter,
    EntryKey,
    EntryKind,
    Rule,
    Service,
    ServiceKind,
    Split,
    Version,
    key_of,
)
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion, ModelName
from wigeonarch_core.routing import Unresolved, resolve

SERVICE = Service("drafting", ServiceKind.MODEL, "base")
BLEND = Adapter("drafting", "blend")
# Its name begins like another adapter's, but the entries below that one must not count as its own.
BLEND_2 = Adapter("drafting", "blend-2")
V1 = Version("drafting", "blend", "v1")
RULE = Rule("drafting", "blend", (Split("v1", 1),))
RULE_2 = Rule("drafting", "blend-2", (Split("v1", 1),))
V1_2 = Version("drafting", "blend-2", "v1")


def catalogue_after(*mutations: Mutation) -> Catalogue:
    """Returns a catalogue after the given changes, numbered from 1."""
    catalogue = Catalogue()
    for number, mutation in enumerate(mutations, 1):
        catalogue.apply(number, Change(f"op-{number}", mutation))
    return catalogue


def full_catalogue() -> Catalogue:
    entries = (SERVICE, BLEND, V1, RULE, BLEND_2, V1_2, RULE_2)
    return catalogue_after(*(Put(entry, 0) for entry in entries))


@pytest.mark.parametrize(
    ("mutation", "verdict", "version"),
    [
        (Put(Adapter("drafting", "new"), 0), Verdict.APPLIED, 8),
        (Put(SERVICE, 1), Verdict.APPLIED, 8),
        (Put(SERVICE, 0), Verdict.CONFLICT, 1),
        (Put(SERVICE, 2), Verdict.CONFLICT, 1),
        (Put(Adapter("absent", "new"), 0), Verdict.INVALID, 0),
        (Put(Rule("drafting", "blend", (Split("v9"),)), 4), Verdict.INVALID, 4),
        (Put(Rule("drafting", "blend", (Split("v1", 0),)), 4), Verdict.INVALID, 4),
        (Delete(key_of(RULE), 4), Verdict.APPLIED, 0),
        (Delete(key_of(RULE), 0), Verdict.CONFLICT, 4),
        (Delete(EntryKey(EntryKind.RULE, "drafting/none"), 0), Verdict.CONFLICT, 0),
        (Delete(key_of(V1), 3), Verdict.INVALID, 3),
        (Delete(key_of(BLEND), 2), Verdict.INVALID, 2),
        (Delete(key_of(SERVICE), 1), Verdict.INVALID, 1),
    ],
)
def test_results_of_changes(mutation: Mutation, verdict: Verdict, version: int) -> None:
    catalogue = full_catalogue()
    assert catalogue.evaluate(8, mutation).verdict is verdict
    result = catalogue.apply(8, Change("op-8", mutation))
    assert (result.verdict, result.version) == (verdict, version)
    assert catalogue.applied == 8


def test_version_can_be_deleted_once_no_rule_needs_it() -> None:
    catalogue = full_catalogue()
    for number, mutation in enumerate(
        (Delete(key_of(RULE), 4), Delete(key_of(V1), 3), Delete(key_of(BLEND), 2)), 8
    ):
        result = catalogue.apply(number, Change(f"op-{number}", mutation))
        assert result.verdict is Verdict.APPLIED, result
    assert resolve(catalogue, ModelName("drafting", "blend-2"), 0.0) == AdapterVersion(
        "drafting", "blend-2", "v1"
    )


def test_repeated_operation_gets_its_first_result() -> None:
    catalogue = full_catalogue()
    first = catalogue.result_of("op-2")
    assert catalogue.apply(8, Change("op-2", Put(BLEND, 0))) == first
    assert (catalogue.applied, catalogue.last) == (8, "op-2")


def test_only_the_last_results_are_remembered() -> None:
    catalogue = full_catalogue()
    for number in range(8, MAX_REMEMBERED_RESULTS + 9):
        catalogue.apply(number, Change(f"op-{number}", Put(SERVICE, 0)))
    assert catalogue.result_of("op-8") is None
    assert catalogue.result_of("op-9") is not None


@pytest.mark.parametrize(
    ("kind", "after", "limit", "names"),
    [
        (EntryKind.ADAPTER, "", 9, ["drafting/blend", "drafting/blend-2"]),
        (EntryKind.ADAPTER, "", 1, ["drafting/blend"]),
        (EntryKind.ADAPTER, "drafting/blend", 9, ["drafting/blend-2"]),
        (EntryKind.ADAPTER, "drafting/blend-2", 9, []),
        (EntryKind.SERVICE, "", 9, ["drafting"]),
    ],
)
def test_pages(kind: EntryKind, after: str, limit: int, names: list[str]) -> None:
    assert [
        key_of(stored.entry).name for stored in full_catalogue().list(kind, after, limit)
    ] == names


def test_restore_ignores_an_older_snapshot() -> None:
    newer, older = full_catalogue(), catalogue_after(Put(SERVICE, 0))
    raw = msgspec.msgpack.encode(newer.snapshot())
    assert older.restore(msgspec.msgpack.decode(raw, type=Snapshot))
    assert older.snapshot() == newer.snapshot()
    assert not newer.restore(catalogue_after(Put(SERVICE, 0)).snapshot())
    assert newer.applied == 7


@pytest.mark.parametrize(
    ("model", "draw", "resolved"),
    [
        (ModelName("drafting", "blend"), 0.0, AdapterVersion("drafting", "blend", "v1")),
        (ModelName("drafting", "blend"), 0.76, AdapterVersion("drafting", "blend", "v2")),
        (ModelName("drafting", "blend", "v2"), 0.0, AdapterVersion("drafting", "blend", "v2")),
        (ModelName("drafting", "blend", "v3"), 0.0, Unresolved(Reason.NO_SUCH_VERSION)),
        (ModelName("drafting", "blend-2"), 0.0, AdapterVersion("drafting", "blend-2", "v1")),
        (ModelName("drafting", "none"), 0.0, Unresolved(Reason.NO_SUCH_ADAPTER)),
        (ModelName("none", "blend"), 0.0, Unresolved(Reason.NO_SUCH_SERVICE)),
    ],
)
def test_resolve(model: ModelName, draw: float, resolved: object) -> None:
    catalogue = full_catalogue()
    catalogue.apply(8, Change("op-8", Put(Version("drafting", "blend", "v2"), 0)))
    split = Rule("drafting", "blend", (Split("v1", 3), Split("v2", 1)))
    catalogue.apply(9, Change("op-9", Put(split, 4)))
    assert resolve(catalogue, model, draw) == resolved

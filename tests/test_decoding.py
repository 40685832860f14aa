"""Tests that decoders raise nothing but `ValueError`, whatever bytes another process sends."""

from __future__ import annotations

import contextlib
import json
import sys
import urllib.request
import zlib
from collections.abc import Callable
from io import BytesIO
from typing import Any

import msgspec
import pytest
from gateway_world import configuration, until_true, world
from hypothesis import given
from hypothesis import strategies as st
from standins.store import StoreFault
from wigeonarch_core import messages as entry_messages
from wigeonarch_core import settings, snapshots
from wigeonarch_core.decoding import MAX_DEPTH, check_plain_value, decode_json_value
from wigeonarch_core.json_members import decode_by_member, split_array, split_object
from wigeonarch_ctl import routequery
from wigeonarch_entry import completions, engines, intake, services
from wigeonarch_gateway import messages
from wigeonarch_gateway.peer_terms import decode_terms
from wigeonarch_platform import dialect, names, records
from wigeonarch_platform.documents import WireEvents, WireList
from wigeonarch_platform.store import Store

# Some values are too deep for what is left of the interpreter's stack only, others for all of it.
DEPTHS = [sys.getrecursionlimit() * 9 // 10, 5 * sys.getrecursionlimit()]


def deep_json(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


def deep_msgpack(depth: int) -> bytes:
    return b"\x91" * depth + b"\xc0"


JSON_DECODERS: dict[str, Callable[[bytes], object]] = {
    "report": records.decode_report,
    "handover_terms": decode_terms,
    "settings": settings.decode_options,
    "completion": lambda body: completions._decode(body, completions.Completion),
    "caller_body": intake._is_json,
    "engine_chunk": lambda body: engines._parse(body + b"\n"),
    "engine_error": engines._error_reason,
    "service_error": lambda body: services._decline_reason(503, body),
    "any_form": decode_json_value,
    "object": split_object,
    "array": split_array,
}


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("form", [b"%s", b'{"colour": %s}'], ids=["whole", "unknown_field"])
@pytest.mark.parametrize("decoder", JSON_DECODERS)
def test_deep_json_raises_value_errors_only(decoder: str, form: bytes, depth: int) -> None:
    with contextlib.suppress(ValueError):
        JSON_DECODERS[decoder](form % deep_json(depth))


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("decode", [messages.decode, entry_messages.decode])
@pytest.mark.parametrize("is_packed", [False, True])
def test_a_deep_datagram_is_no_message(
    decode: Callable[[bytes], object], is_packed: bool, depth: int
) -> None:
    frame = b"\x92\xa4told" + deep_msgpack(depth)
    if is_packed:
        frame = msgspec.msgpack.encode(("packed", zlib.compress(frame)))
    assert decode(frame) is None


def test_an_update_with_a_content_that_nobody_could_pass_on_is_no_message() -> None:
    update = messages.StoreUpdate("e", 0, 1, 2, 0, False, [("n", 2, "@", False)])
    frame = msgspec.msgpack.encode(update)
    assert messages.decode(frame) == update
    deep = frame.replace(b"\xa1@", deep_msgpack(MAX_DEPTH + 1))
    assert messages.decode(deep) is None


@pytest.mark.parametrize("depth", DEPTHS)
def test_a_snapshot_with_deep_contents_is_damaged(depth: int) -> None:
    piece = deep_msgpack(depth)
    assert snapshots.decode(zlib.compress(len(piece).to_bytes(4, "big") + piece)) is None


@pytest.mark.parametrize("depth", DEPTHS)
def test_a_deep_answer_of_an_instance_is_told_as_no_answer(
    monkeypatch: pytest.MonkeyPatch, depth: int
) -> None:
    monkeypatch.setattr(
        urllib.request.OpenerDirector, "open", lambda *args, **more: BytesIO(deep_json(depth))
    )
    assert routequery.ask("127.0.0.1:1", routequery.Question(), 1.0).error


@pytest.mark.parametrize(
    ("value", "is_allowed"),
    [
        (None, True),
        ([[], {}, "text", 1.5, True], True),
        (2**64 - 1, True),
        (-(2**63), True),
        ([{"a": 2**64}], False),
        ({"a": -(2**63) - 1}, False),
        (json.loads(deep_json(MAX_DEPTH)), True),
        (json.loads(deep_json(MAX_DEPTH + 2)), False),
    ],
)
def test_values_that_can_be_encoded_again(value: Any, is_allowed: bool) -> None:
    with contextlib.nullcontext() if is_allowed else pytest.raises(ValueError):
        check_plain_value(value)
    if is_allowed:
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(value)) == value


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)


@given(value=st.lists(JSON, max_size=5), indent=st.none() | st.just(1))
def test_an_array_is_split_into_its_elements(value: list[Any], indent: int | None) -> None:
    pieces = split_array(json.dumps(value, indent=indent).encode())
    assert [json.loads(piece) for piece in pieces] == value


@given(value=st.dictionaries(st.text(max_size=8), JSON))
def test_an_object_is_split_into_its_members(value: dict[str, Any]) -> None:
    members = split_object(json.dumps(value).encode())
    assert {name: json.loads(piece) for name, piece in members.items()} == value


@given(
    value=JSON, cut=st.integers(0, 200), added=st.sampled_from([b"", b"]", b"}", b",", b'"', b"1"])
)
def test_a_damaged_document_is_a_value_error_or_is_read(value: Any, cut: int, added: bytes) -> None:
    text = json.dumps({"items": [value], "as_of": 3}).encode()
    with contextlib.suppress(ValueError):
        decode_by_member(text[:cut] + added + text[cut + 1 :], WireList)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"as_of": 1',
        b'{"as_of": 1}}',
        b'{"as_of": 1}]',
        b'{"as_of": }',
        b'{"as_of" 1}',
        b'{"as_of": 1, "events": [1,]}',
        b'{"as_of": 1, "events": 7}',
        b'{"as_of": "1", "events": []}',
        b'{"events": []}',
        b'{"as_of": 1, "events": ["]}',
    ],
)
def test_a_document_that_is_no_watch_answer(text: bytes) -> None:
    with pytest.raises(ValueError):
        decode_by_member(text, WireEvents)


async def test_an_entry_nested_deep_ends_no_instance() -> None:
    async with world(nodes=2) as deployment:
        for number in (0, 1):
            await deployment.wait_until_served("/ask/x", node=number)
        deployment.store.body_replacements = {b'"@"': deep_json(1200)}
        foreign = {**deployment.replicas[1].record(), "models": "@"}
        for number in range(3):
            await deployment.store.put("servers", f"i-foreign-{number}", foreign)
        # Calls after these show that the instances have read the entry and go on watching.
        calls = len(deployment.store.calls)
        await until_true(lambda: len(deployment.store.calls) > calls + 20)
        await deployment.add_node(2)
        for number in (0, 1, 2):
            await deployment.wait_until_served("/ask/x", node=number)
        assert not any(task.done() for task in deployment.tasks)


@pytest.mark.parametrize(
    "content", [b'"mill\\udcff"', b'"mill', b"]"], ids=["lone_surrogate", "no_end", "no_begin"]
)
async def test_configurations_come_into_force_after_an_outage_beside_unreadable_endpoints(
    content: bytes,
) -> None:
    async with world() as deployment:
        [node], store = deployment.nodes, deployment.store
        await deployment.wait_until_served("/ask/x")
        store.body_replacements = {b'"@"': content}
        await store.put("servers", "i-foreign", {**deployment.replicas[1].record(), "models": "@"})
        calls = len(store.calls)
        await until_true(lambda: len(store.calls) > calls + 10)
        store.fault = StoreFault.SILENT
        await until_true(
            lambda: len(node._store_state._failing_kinds) == len(node._sharing.kinds())
        )
        store.fault = StoreFault.NONE
        await store.put("config", "main", configuration(2))
        await until_true(lambda: node._catalogue.table.version == 2)  # type: ignore[union-attr]


LONG_NUMBERS = [digits + "0" * 25 for digits in ("1", "9")] + ["9" * 400, "9" * 5000]


@pytest.mark.parametrize("number", LONG_NUMBERS, ids=len)
@pytest.mark.parametrize(
    ("header", "value"),
    [
        (names.TOKEN_COUNTS, "{},80"),
        (names.TOKEN_COUNTS, "80,{}"),
        (names.DEADLINE_MS, "{}"),
        (names.PREFIX_PARTS, "a:{},b:1"),
    ],
)
def test_a_long_number_in_a_callers_header_counts_as_not_sent(
    header: str, value: str, number: str
) -> None:
    terms = dialect.read_terms({header: value.format(number)})
    assert terms == dialect.read_terms({header: value.format("x")})


@pytest.mark.parametrize("number", LONG_NUMBERS, ids=len)
@pytest.mark.parametrize(
    "report",
    [
        '{{"models": [], "seq": {}}}',
        '{{"models": [], "seq": 1, "born": {}}}',
        '{{"models": [], "seq": 1, "pending": ["m/a@{}"]}}',
        '{{"models": [{{"name": "m", "adapters": ["a@{}"]}}], "seq": 1}}',
        '{{"models": [{{"name": "m", "adapters": ["a@-{}"]}}], "seq": 1}}',
    ],
)
def test_a_report_with_a_long_number_is_a_value_error(report: str, number: str) -> None:
    with pytest.raises(ValueError):
        records.decode_report(report.format(number).encode())


@pytest.mark.parametrize("number", LONG_NUMBERS, ids=len)
async def test_a_long_era_in_an_answer_of_the_store_counts_as_not_sent(number: str) -> None:
    store = Store("127.0.0.1:1")
    try:
        assert store._read_era("3") == 3
        assert store._read_era(number) == 3
    finally:
        await store.close()

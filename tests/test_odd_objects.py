"""An instance serves and follows the store beside odd objects of each kind that others left."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest
from gateway_world import configuration, route, until_true, world
from odd_addresses import LONG_PORT
from standins.replica import Replica
from wigeonarch_gateway.node import Node

# Contents of objects, as JSON; a text that stands for them is replaced on their way.
CONTENTS = {
    "deep_lists": b"[" * 1200 + b"]" * 1200,
    "deep_objects": b'{"a":' * 1200 + b"1" + b"}" * 1200,
    "long_number": b"9" * 25,
    "longer_number": b"9" * 5000,
    "infinite": b"1e999",
    "negative": b"-9223372036854775809",
    "lone_surrogate": b'"\\udcff"',
    "null": b"null",
}
FIELDS = ("address", "slots", "models", "born", "version", "cold_left_ms", "seq", "zone")
KINDS = ("servers", "versions", "wigeonarch-leases", "wigeonarch-holders", "config")
PORTS = ("0", "65536", "99999", "-1", LONG_PORT)


def _entry(name: str, **changes: Any) -> dict[str, Any]:
    valid = {"service": "desk", "address": "127.0.0.1:9", "zone": "a", "slots": 6, "version": "v1"}
    return {**valid, "state": "ready", "title": name, **changes}


def _odd_entries() -> dict[str, dict[str, Any]]:
    """Returns entries of endpoints with an odd port, or with `@` as the value of a field."""
    found = {f"i-port-{number}": port for number, port in enumerate(PORTS)}
    entries = {name: _entry(name, address=f"127.0.0.1:{port}") for name, port in found.items()}
    return entries | {f"i-{field}": _entry(field, **{field: "@"}) for field in FIELDS}


def _has_followed(node: Node) -> bool:
    """Tells whether an instance knows the newest endpoint and the newest configuration."""
    table = node._catalogue.table
    return table is not None and table.version == 2 and node._endpoints.get("i-desk2") is not None


@pytest.mark.parametrize("content", CONTENTS)
async def test_an_instance_serves_and_follows_the_store_beside_odd_objects(content: str) -> None:
    async with world() as deployment:
        store = deployment.store
        store.body_replacements = {b'"@"': CONTENTS[content]}
        await deployment.wait_until_served("/ask/x")
        for name, entry in _odd_entries().items():
            await store.put("servers", name, entry)
        for kind in KINDS:
            await store.put(kind, "odd", "@")
            lease = {"address": f"127.0.0.1:{LONG_PORT}", "zone": "a", "incarnation": "x"}
            await store.put(kind, "odd-port", lease)
        await deployment.add_node(1)  # One that lists them at its start.
        await deployment.add_replica(Replica("desk", name="i-desk2"))
        await store.put("config", "main", configuration(2, route("new", "idempotent", "desk")))
        for number, node in enumerate(deployment.nodes):
            await until_true(partial(_has_followed, node))
            await deployment.wait_until_served("/new/x", node=number)
            ready = {record.endpoint for record in node._endpoints.ready("desk")}
            assert not any(name.startswith("i-port-") for name in ready)
            assert {"i-desk", "i-desk2"} <= ready
        assert not any(task.done() for task in deployment.tasks)

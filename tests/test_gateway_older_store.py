"""Tests of a store that comes back from a copy that is some seconds old."""

from __future__ import annotations

import pytest
from gateway_world import World, configuration, route, until, until_true, world
from standins.replica import Replica
from wigeonarch_gateway.ports import EndpointState

REVISIONS_LOST = 100_000  # Revisions by which the copy is behind the known state.


async def advance_revisions(found: World) -> None:
    """Advances the store's revision, and waits until all instances know it for all kinds."""
    found.store.revision += REVISIONS_LOST
    least = found.store.revision
    await found.store.put("servers", "i-desk", {**found.replicas[1].record(), "n": least})
    await until_true(
        lambda: all(
            (node._sharing.feed(kind).as_of or 0) >= least
            for node in found.nodes
            for kind in node._sharing.kinds()
        )
    )


async def wait_until_in_force(found: World, version: int) -> None:
    """Waits until a configuration is in force on all instances."""
    await until_true(
        lambda: all(
            node._catalogue.table is not None and node._catalogue.table.version == version
            for node in found.nodes
        )
    )


# In a zone of eight instances, most follow a watcher.
@pytest.mark.parametrize("nodes", [1, 3, 8])
async def test_a_configuration_with_a_reused_revision_takes_effect(nodes: int) -> None:
    async with world(nodes=nodes) as found:
        for node in range(nodes):
            await found.wait_until_served("/ask/x", node=node)
        found.store.take_copy()
        await found.store.put("config", "main", configuration(2))
        await wait_until_in_force(found, 2)
        await advance_revisions(found)
        await found.store.restore_copy()
        await found.store.put("config", "main", configuration(2))
        await found.store.put(
            "config", "main", configuration(3, route("new", "idempotent", "desk"))
        )
        await wait_until_in_force(found, 3)
        for node in range(nodes):
            assert (await found.send_request("/new/x", node=node)).status == 200


async def test_an_endpoint_that_leaves_with_a_reused_revision_gets_no_requests() -> None:
    async with world(nodes=2) as found:
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )
        found.store.take_copy()
        await advance_revisions(found)
        await found.store.restore_copy()
        await found.store.put("servers", other.name, other.record("draining"))
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 1 for node in found.nodes)
        )


async def test_a_configuration_that_the_copy_lacks_stays_in_force() -> None:
    async with world(nodes=2) as found:
        await found.wait_until_served("/ask/x")
        found.store.take_copy()
        await found.store.put(
            "config", "main", configuration(2, route("new", "idempotent", "desk"))
        )
        await wait_until_in_force(found, 2)
        await found.store.restore_copy()

        async def know_new_era() -> bool:
            return all(node._store.era == found.store.era for node in found.nodes)

        await until(know_new_era)
        for node in range(2):
            assert (await found.send_request("/new/x", node=node)).status == 200


async def test_the_copy_does_not_make_a_leaving_endpoint_ready() -> None:
    async with world(nodes=2) as found:
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )
        found.store.take_copy()
        await found.store.put("servers", other.name, other.record("draining"))
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 1 for node in found.nodes)
        )
        await found.store.restore_copy()
        await found.store.put("config", "main", configuration(2))
        await wait_until_in_force(found, 2)
        for node in found.nodes:
            record = node._endpoints.get(other.name)
            assert record is None or record.state is EndpointState.LEAVING


async def test_endpoints_that_the_copy_lacks_stay_in_use_until_they_are_written_again() -> None:
    async with world(nodes=2) as found:
        found.store.take_copy()
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )
        await found.store.restore_copy()
        await until_true(
            lambda: all(node._endpoints.is_missing(other.name) for node in found.nodes)
        )
        assert all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        await found.store.put("servers", other.name, other.record())
        await until_true(
            lambda: not any(node._endpoints.is_missing(other.name) for node in found.nodes)
        )
        assert all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)


async def test_an_endpoint_that_writes_its_entry_again_late_is_used_at_once() -> None:
    async with world(nodes=1) as found:
        found.store.take_copy()
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        endpoints = found.nodes[0]._endpoints
        await until_true(lambda: len(endpoints.ready("desk")) == 2)
        await found.store.restore_copy()
        await until_true(lambda: endpoints.get(other.name) is None)
        await found.store.put("servers", other.name, other.record())
        await until_true(
            lambda: other.name in endpoints._old_copy_records or endpoints.get(other.name)
        )
        assert other.name not in endpoints._old_copy_records


async def remove_and_restore_entry(found: World) -> Replica:
    """Removes an endpoint whose entry then reappears in the copy; returns the endpoint."""
    other = await found.add_replica(Replica("desk", name="i-desk2"))
    await until_true(lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes))
    found.store.take_copy()
    await found.store.delete("servers", other.name)
    await until_true(lambda: all(len(node._endpoints.ready("desk")) == 1 for node in found.nodes))
    await found.store.restore_copy()
    await found.store.put("config", "main", configuration(2))
    await until_true(
        lambda: all(other.name in node._endpoints._old_copy_records for node in found.nodes)
    )
    await wait_until_in_force(found, 2)
    return other


async def test_an_entry_in_the_copy_does_not_bring_back_an_endpoint_that_was_gone() -> None:
    async with world(nodes=2) as found:
        other = await remove_and_restore_entry(found)
        for _ in range(20):
            assert (await found.send_request("/ask/x")).status == 200
        assert other.received == []
        await found.store.delete("servers", other.name)
        await until_true(
            lambda: not any(other.name in node._endpoints._old_copy_records for node in found.nodes)
        )
        assert all(len(node._endpoints.ready("desk")) == 1 for node in found.nodes)


@pytest.mark.parametrize("written", [True, False])
async def test_an_endpoint_that_was_gone_is_used_again_if_it_writes_or_its_entry_stays(
    written: bool,
) -> None:
    async with world(nodes=2) as found:
        other = await remove_and_restore_entry(found)
        if written:
            await found.store.put("servers", other.name, {**other.record(), "n": 1})
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )

"""One instance of a large zone watches the store for the others, also through failures."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import World, configuration, cut_from_store, new_store_contact, until_true, world
from standins.store import StoreFault
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.options import PropagationBounds, StoreOptions
from wigeonarch_gateway.ports import EndpointState, ObjectKind
from wigeonarch_gateway.sharing import (
    KINDS,
    MIN_WATCH_WAIT,
    OWN_CALL_TIME,
    STORE,
    WatchSharing,
)
from wigeonarch_runtime.clock import monotonic

KIND = ObjectKind.ENDPOINTS
LAPSE = StoreOptions().lapse
INSTANCES = 8  # Three of them are delegates, and one of these watches the store.


def followers(found: World) -> list[Node]:
    return [node for node in found.nodes if node._sharing.following]


def watchers(found: World) -> list[Node]:
    return [node for node in found.nodes if not node._sharing.following]


def delegates(found: World) -> list[Node]:
    names = found.nodes[0]._members.roles.delegates()
    return [node for node in found.nodes if node._opts.instance in names]


async def wait_for_followers(found: World) -> list[Node]:
    """Waits until all instances but one follow a watcher; returns the followers."""

    def all_follow() -> bool:
        is_current = [
            all(map(node._sharing.is_kept_current, node._sharing.kinds())) for node in found.nodes
        ]
        return is_current.count(True) == INSTANCES - 1 and len(watchers(found)) == 1

    await until_true(all_follow)
    return followers(found)


def versions(nodes: list[Node]) -> set[int]:
    tables = [node._catalogue.table for node in nodes]
    return {0 if table is None else table.version for table in tables}


def count_store_reads(node: Node) -> int:
    """Returns the number of watch and list calls that an instance has made."""
    return node._store.calls["watch"] + node._store.calls["list"]


def crash(node: Node) -> None:
    """Ends an instance without any message, as a power cut does."""
    for task in node._tasks:
        task.cancel()
    node._links.close()


async def test_followers_get_all_changes_without_a_watch_of_their_own() -> None:
    async with world(nodes=INSTANCES) as found:
        follower_nodes = await wait_for_followers(found)
        await asyncio.sleep(1.0)  # A watch call in progress ends.
        before = [node._store.calls["watch"] for node in follower_nodes]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(found.nodes) == {2})
        leaving = {**found.replicas[1].record(), "state": "draining"}
        await found.store.put("servers", "i-desk", leaving)

        def is_leaving_everywhere() -> bool:
            records = [node._endpoints.get("i-desk") for node in found.nodes]
            return all(r is not None and r.state is EndpointState.LEAVING for r in records)

        await until_true(is_leaving_everywhere)
        await found.store.delete("servers", "i-desk")
        await until_true(lambda: all(n._endpoints.get("i-desk") is None for n in found.nodes))
        assert [node._store.calls["watch"] for node in follower_nodes] == before


async def test_only_delegates_have_leases_and_own_engines() -> None:
    async with world(nodes=INSTANCES) as found:
        await wait_for_followers(found)
        names = [node._opts.instance for node in delegates(found)]
        assert len(names) == 3
        others = [node for node in found.nodes if node._opts.instance not in names]
        await until_true(lambda: not any(node._own_lease_left()[1] for node in others))
        await found.wait_until_served("/write/x", adapter="a1")
        assert found.recorded_owner("i-llm") in names


async def test_a_follower_without_a_watcher_watches_the_store_itself() -> None:
    async with world(nodes=INSTANCES) as found:
        await wait_for_followers(found)
        lost = delegates(found)
        for delegate in lost:
            crash(delegate)
        left = [node for node in found.nodes if node not in lost]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(left) == {2})
        # The remaining instances are too few to need a watcher.
        await until_true(lambda: not any(node._sharing.following for node in left))


async def test_a_watcher_that_lost_the_store_is_not_relied_on() -> None:
    async with world(nodes=INSTANCES) as found:
        await wait_for_followers(found)
        cut = delegates(found)
        for delegate in cut:
            cut_from_store(delegate)
        follower_nodes = [node for node in found.nodes if node not in cut]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(follower_nodes) == {2})


async def test_followers_call_the_store_less_and_less_often_in_an_outage() -> None:
    async with world(nodes=INSTANCES) as found:
        follower_nodes = await wait_for_followers(found)
        found.store.fault = StoreFault.BUSY
        await until_true(lambda: all(node._store_state.is_away for node in found.nodes))
        before = [count_store_reads(node) for node in found.nodes]
        await asyncio.sleep(2.0)
        calls = {
            node._opts.instance: count_store_reads(node) - old
            for node, old in zip(found.nodes, before, strict=True)
        }
        most = max(calls[node._opts.instance] for node in follower_nodes)
        asking = [node for node in found.nodes if node not in follower_nodes]
        assert len(asking) == 1
        assert all(calls[node._opts.instance] > most for node in asking)
        found.store.fault = StoreFault.NONE
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(found.nodes) == {2})


async def test_followers_keep_using_endpoints_whose_entries_expire_in_an_outage() -> None:
    async with world(nodes=INSTANCES) as found:
        await wait_for_followers(found)
        dropped: list[str] = []
        for node in found.nodes:
            node._endpoints.on_gone = dropped.append
        watching = watchers(found)
        found.store.fault = StoreFault.BUSY
        await asyncio.sleep(1.5)
        await found.store.delete("servers", "i-desk")
        found.store.fault = StoreFault.NONE
        await until_true(lambda: not any(node._store_state.is_away for node in watching))
        await found.store.put("servers", "i-desk", found.replicas[1].record())
        await until_true(lambda: not any(node._store_state.is_away for node in found.nodes))
        await asyncio.sleep(1.5)  # Longer than a missing endpoint is kept.
        assert not dropped
        assert all(node._endpoints.get("i-desk") is not None for node in found.nodes)


async def test_a_follower_whose_messages_are_lost_watches_the_store_itself() -> None:
    async with world(nodes=INSTANCES) as found:
        follower_nodes = await wait_for_followers(found)
        for node in follower_nodes:
            node._links._transport = None  # It still receives, but can no longer send.
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(follower_nodes) == {2})


async def test_dropped_history_and_lost_messages_leave_no_gap() -> None:
    async with world(nodes=INSTANCES) as found:
        follower_nodes = await wait_for_followers(found)
        deliver = {id(node): node._links._deliver for node in follower_nodes}
        for node in follower_nodes:
            node._links._deliver = lambda message: None
        await found.store.put("config", "main", configuration(2))
        await found.store.compact_history()
        await until_true(
            lambda: versions([n for n in found.nodes if n not in follower_nodes]) == {2}
        )
        for node in follower_nodes:
            node._links._deliver = deliver[id(node)]
        await until_true(lambda: versions(follower_nodes) == {2})


def follower(
    opts: StoreOptions | None = None, store_contact: StoreContact | None = None
) -> tuple[WatchSharing, list[bytes]]:
    """Returns the `WatchSharing` of a follower of `k` at revision 10, and its sent frames."""
    sent: list[bytes] = []

    def send(name: str, frame: bytes) -> bool:
        sent.append(frame)
        return True

    sharing = WatchSharing(
        "me", opts or StoreOptions(), lambda: ["k"], send, store_contact or new_store_contact()
    )
    sharing.add_kind(KIND, lambda change: True)
    sharing.feed(KIND).apply_list([], 10)
    sharing._request_update()
    return sharing, sent


def message(since: int, as_of: int, age: float = 0.0) -> StoreUpdate:
    """Returns the reply to the first request of `follower`."""
    age_ms = int(age * 1000)
    return StoreUpdate("k", KINDS.index(KIND), since, as_of, age_ms, False, [], in_reply_to=1)


@pytest.mark.parametrize(("since", "is_current"), [(10, True), (8, True), (12, False)])
def test_an_update_after_a_gap_does_not_bring_a_follower_up_to_date(
    since: int, is_current: bool
) -> None:
    sharing, _ = follower()
    sharing.receive_update(message(since, 14))
    assert sharing.is_kept_current(KIND) is is_current
    # Once the watcher lacks needed changes, only an update without a gap counts.
    sharing.receive_unavailable(UpdateUnavailable("k", KINDS.index(KIND)))
    assert not sharing.is_kept_current(KIND)
    sharing.receive_update(message(30, 31))
    assert not sharing.is_kept_current(KIND)


def test_a_follower_whose_watcher_lacks_its_changes_watches_the_store_at_once() -> None:
    sharing, _ = follower()
    sharing._is_zone_small = lambda: False
    assert sharing.watch_not_needed_for(KIND) > 0.0
    sharing.receive_unavailable(UpdateUnavailable("k", KINDS.index(KIND)))
    assert sharing.watch_not_needed_for(KIND) == 0.0
    assert sharing.wait_of_watch(KIND, 3.5) == MIN_WATCH_WAIT
    sharing.take_changes(KIND, [], 12, monotonic())
    assert sharing.watch_not_needed_for(KIND) > 0.0


@pytest.mark.parametrize("contact", [3.0, 4.0, 5.0])
def test_an_instance_without_a_watcher_is_up_to_date_when_it_counts_as_in_touch(
    contact: float,
) -> None:
    sharing, _ = follower(StoreOptions(contact=contact))
    sharing._is_zone_small = lambda: False
    process_start = 0.7
    search_ends = process_start + sharing.watch_not_needed_for(KIND)
    assert search_ends + OWN_CALL_TIME < contact


def test_a_watcher_reports_the_stores_return_only_after_reading_what_it_missed() -> None:
    sharing, sent = follower()
    sharing.answer_follower(FollowRequest("f", []))
    sharing.note_store_failure(KIND)
    before = len(sent)
    sharing.note_store_answer(KIND)
    assert len(sent) == before


@pytest.mark.parametrize(
    ("relied_on", "age", "outage"),
    [
        (True, LAPSE, True),
        (True, LAPSE - 0.5, False),  # No entry expires in less time, so removed endpoints are gone.
        (True, 0.0, False),
        (False, LAPSE, False),
    ],
)
def test_a_lost_watcher_counts_as_an_outage_only_if_it_was_relied_on(
    relied_on: bool, age: float, outage: bool
) -> None:
    # With this bound a follower relies on state of that age.
    store_contact = new_store_contact()
    sharing, _ = follower(
        StoreOptions(propagation=PropagationBounds(endpoints=2 * LAPSE)), store_contact
    )
    if relied_on:
        sharing.receive_update(message(10, 12, age))
    sharing.receive_update(StoreUpdate("k", KINDS.index(KIND), 12, 12, 0, True, []))
    assert not sharing.following
    store_contact.record_failure(monotonic())  # Its own watch fails, then gets two answers.
    for _ in range(2):
        store_contact.record_answer(monotonic())
        sharing.note_store_answer(KIND)
    assert (store_contact.may_lapse_until([]) > monotonic()) is outage


@pytest.mark.parametrize(
    ("age", "is_confirmed"), [(0.5, True), (StoreOptions().propagation.endpoints, False)]
)
def test_a_watcher_with_a_state_older_than_the_bound_confirms_nothing(
    age: float, is_confirmed: bool
) -> None:
    store_contact = new_store_contact()
    sharing, _ = follower(store_contact=store_contact)
    sharing.receive_update(message(10, 12, age))
    assert sharing.is_kept_current(KIND) is is_confirmed
    assert (store_contact.contact() is not None) is is_confirmed


def test_the_confirmation_of_a_state_names_who_gave_it() -> None:
    sharing, _ = follower()
    assert sharing.confirmation(KIND).confirmed_by == ""
    sharing.receive_update(message(10, 12, 0.5))
    told = sharing.confirmation(KIND)
    assert (told.confirmed_by, told.as_of) == ("k", 12)
    assert told.age >= 0.5
    sharing.take_changes(KIND, [], 14, monotonic())
    assert sharing.confirmation(KIND).confirmed_by == STORE

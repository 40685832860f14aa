"""Some instances of a zone watch the store for the others: what that saves, and without them."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import World, configuration, cut_from_store, new_store_contact, until_true, world
from standins.store import Trouble
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.options import PropagationBounds, StoreOptions
from wigeonarch_gateway.ports import EndpointState, ObjectKind
from wigeonarch_gateway.sharing import KINDS, WatchSharing
from wigeonarch_runtime.clock import monotonic

KIND = ObjectKind.ENDPOINTS
LAPSE = StoreOptions().lapse
INSTANCES = 8  # Of which three are keepers, and one of these watches.


def followers(found: World) -> list[Node]:
    return [node for node in found.nodes if node._sharing.following]


def watchers(found: World) -> list[Node]:
    return [node for node in found.nodes if not node._sharing.following]


def keepers(found: World) -> list[Node]:
    names = found.nodes[0]._members.roles.delegates()
    return [node for node in found.nodes if node._opts.instance in names]


async def settled(found: World) -> list[Node]:
    """Waits until one instance watches for all others; returns those."""

    def told() -> bool:
        lately = [
            all(map(node._sharing.is_kept_current, node._sharing.kinds())) for node in found.nodes
        ]
        return lately.count(True) == INSTANCES - 1 and len(watchers(found)) == 1

    await until_true(told)
    return followers(found)


def versions(nodes: list[Node]) -> set[int]:
    tables = [node._catalogue.table for node in nodes]
    return {0 if table is None else table.version for table in tables}


def asked(node: Node) -> int:
    """Returns how often an instance has asked the store what changed, or what is so."""
    return node._store.calls["watch"] + node._store.calls["list"]


def silence(node: Node) -> None:
    """Ends an instance without a word, as a power cut does."""
    for task in node._tasks:
        task.cancel()
    node._links.close()


async def test_followers_learn_of_all_changes_without_a_watch() -> None:
    async with world(nodes=INSTANCES) as found:
        told = await settled(found)
        await asyncio.sleep(1.0)  # A watch that was under way ends.
        before = [node._store.calls["watch"] for node in told]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(found.nodes) == {2})
        leaving = {**found.replicas[1].record(), "state": "draining"}
        await found.store.put("servers", "i-desk", leaving)

        def obeyed() -> bool:
            records = [node._endpoints.get("i-desk") for node in found.nodes]
            return all(r is not None and r.state is EndpointState.LEAVING for r in records)

        await until_true(obeyed)
        await found.store.delete("servers", "i-desk")
        await until_true(lambda: all(n._endpoints.get("i-desk") is None for n in found.nodes))
        assert [node._store.calls["watch"] for node in told] == before


async def test_only_keepers_hold_leases_and_engines() -> None:
    async with world(nodes=INSTANCES) as found:
        await settled(found)
        names = [node._opts.instance for node in keepers(found)]
        assert len(names) == 3
        others = [node for node in found.nodes if node._opts.instance not in names]
        await until_true(lambda: not any(node._own_lease_left()[1] for node in others))
        await found.wait_until_served("/write/x", adapter="a1")
        assert found.recorded_owner("i-llm") in names


async def test_without_a_keeper_a_follower_watches_for_itself() -> None:
    async with world(nodes=INSTANCES) as found:
        await settled(found)
        lost = keepers(found)
        for keeper in lost:
            silence(keeper)
        left = [node for node in found.nodes if node not in lost]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(left) == {2})
        # Those that are left are too few to need a keeper now.
        await until_true(lambda: not any(node._sharing.following for node in left))


async def test_a_keeper_that_lost_the_store_is_not_relied_on() -> None:
    async with world(nodes=INSTANCES) as found:
        await settled(found)
        cut = keepers(found)
        for keeper in cut:
            cut_from_store(keeper)
        told = [node for node in found.nodes if node not in cut]
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(told) == {2})


async def test_in_an_outage_followers_ask_ever_less_often() -> None:
    async with world(nodes=INSTANCES) as found:
        told = await settled(found)
        found.store.trouble = Trouble.BUSY
        await until_true(lambda: all(node._store_state.is_away for node in found.nodes))
        before = [asked(node) for node in found.nodes]
        await asyncio.sleep(2.0)
        calls = {
            node._opts.instance: asked(node) - old
            for node, old in zip(found.nodes, before, strict=True)
        }
        most = max(calls[node._opts.instance] for node in told)
        asking = [node for node in found.nodes if node not in told]
        assert len(asking) == 1
        assert all(calls[node._opts.instance] > most for node in asking)
        found.store.trouble = Trouble.NONE
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(found.nodes) == {2})


async def test_endpoints_that_lapse_in_an_outage_stay_in_use_at_followers() -> None:
    async with world(nodes=INSTANCES) as found:
        await settled(found)
        dropped: list[str] = []
        for node in found.nodes:
            node._endpoints.on_gone = dropped.append
        watching = watchers(found)
        found.store.trouble = Trouble.BUSY
        await asyncio.sleep(1.5)
        await found.store.delete("servers", "i-desk")
        found.store.trouble = Trouble.NONE
        await until_true(lambda: not any(node._store_state.is_away for node in watching))
        await found.store.put("servers", "i-desk", found.replicas[1].record())
        await until_true(lambda: not any(node._store_state.is_away for node in found.nodes))
        await asyncio.sleep(1.5)  # Longer than what is missing is kept.
        assert not dropped
        assert all(node._endpoints.get("i-desk") is not None for node in found.nodes)


async def test_a_follower_whose_messages_are_lost_watches_for_itself() -> None:
    async with world(nodes=INSTANCES) as found:
        told = await settled(found)
        for node in told:
            node._links._transport = None  # It hears, and says nothing any more.
        await found.store.put("config", "main", configuration(2))
        await until_true(lambda: versions(told) == {2})


async def test_dropped_history_and_lost_messages_leave_no_gap() -> None:
    async with world(nodes=INSTANCES) as found:
        told = await settled(found)
        deliver = {id(node): node._links._deliver for node in told}
        for node in told:
            node._links._deliver = lambda message: None
        await found.store.put("config", "main", configuration(2))
        await found.store.forget_history()
        await until_true(lambda: versions([n for n in found.nodes if n not in told]) == {2})
        for node in told:
            node._links._deliver = deliver[id(node)]
        await until_true(lambda: versions(told) == {2})


def follower(
    opts: StoreOptions | None = None, known: StoreContact | None = None
) -> tuple[WatchSharing, list[bytes]]:
    """Returns the sharing of an instance that follows `k` and has the state of revision 10."""
    sent: list[bytes] = []

    def send(name: str, frame: bytes) -> bool:
        sent.append(frame)
        return True

    sharing = WatchSharing(
        "me", opts or StoreOptions(), lambda: ["k"], send, known or new_store_contact()
    )
    sharing.add_kind(KIND, lambda change: True)
    sharing.feed(KIND).apply_list([], 10)
    sharing._request_update()
    return sharing, sent


def message(since: int, as_of: int, age: float = 0.0) -> StoreUpdate:
    """Returns an answer to the first word of `follower`."""
    age_ms = int(age * 1000)
    return StoreUpdate("k", KINDS.index(KIND), since, as_of, age_ms, False, [], in_reply_to=1)


@pytest.mark.parametrize(("since", "lately"), [(10, True), (8, True), (12, False)])
def test_a_message_with_a_gap_before_it_does_not_bring_a_follower_up_to_date(
    since: int, lately: bool
) -> None:
    sharing, _ = follower()
    sharing.receive_update(message(since, 14))
    assert sharing.is_kept_current(KIND) is lately
    # After it is known that the keeper lacks what is needed, only a message without a gap counts.
    sharing.receive_unavailable(UpdateUnavailable("k", KINDS.index(KIND)))
    assert not sharing.is_kept_current(KIND)
    sharing.receive_update(message(30, 31))
    assert not sharing.is_kept_current(KIND)


def test_a_keeper_says_nothing_of_the_stores_return_before_it_has_read_what_it_missed() -> None:
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
        (True, LAPSE - 0.5, False),  # In less time no entry lapses: what is removed, is gone.
        (True, 0.0, False),
        (False, LAPSE, False),
    ],
)
def test_only_what_a_keeper_was_relied_on_for_may_have_been_missed(
    relied_on: bool, age: float, outage: bool
) -> None:
    # A bound that lets a follower rely on knowledge of that age.
    known = new_store_contact()
    sharing, _ = follower(StoreOptions(propagation=PropagationBounds(endpoints=2 * LAPSE)), known)
    if relied_on:
        sharing.receive_update(message(10, 12, age))
    sharing.receive_update(StoreUpdate("k", KINDS.index(KIND), 12, 12, 0, True, []))
    assert not sharing.following
    known.record_failure(monotonic())  # Its own watch fails, then is answered twice.
    for _ in range(2):
        known.record_answer(monotonic())
        sharing.note_store_answer(KIND)
    assert (known.may_lapse_until([]) > monotonic()) is outage


@pytest.mark.parametrize(
    ("age", "vouched"), [(0.5, True), (StoreOptions().propagation.endpoints, False)]
)
def test_a_keeper_that_was_never_up_to_date_vouches_for_nothing(age: float, vouched: bool) -> None:
    known = new_store_contact()
    sharing, _ = follower(known=known)
    sharing.receive_update(message(10, 12, age))
    assert sharing.is_kept_current(KIND) is vouched
    assert (known.contact() is not None) is vouched

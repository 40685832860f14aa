"""Streams of a service whose endpoints run several versions of their software.

What two versions write does not fit together, so a stream goes on only at the version that began
it, within one answer and over the tries of its caller. The stand-ins mark their events with the
version that wrote them.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import aiohttp
import pytest
from gateway_world import (
    HOST,
    CallerResponse,
    World,
    configuration,
    cut_from_endpoints,
    cut_from_store,
    route,
    team,
    until,
    until_true,
    world,
)
from standins.replica import Ending, Framing, Replica, ReplicaFault, ResponseEnd, encode_event
from wigeonarch_gateway.node import Node

OLD, NEW = "v1", "v1.1"
EVENTS = 6
BREAKS_AT_ONCE = ResponseEnd(Framing.CHUNKS, Ending.CLOSED, 0)

LONG = 400  # Events of a stream that its caller leaves.
TAKEN_UP = 24  # Streams of a run that are taken up.
LEAST_SHARE = 0.9  # Of the share of new streams that begin.
DRAFT = "/draft/x"


def events(first: int, last: int, software: str) -> bytes:
    """Returns a part of a stream as a version writes it."""
    return b"".join(encode_event(number, software) for number in range(first, last + 1))


def breaks_off(software: str) -> ResponseEnd:
    """Returns the end of a stream that breaks off after three events."""
    return ResponseEnd(Framing.CHUNKS, Ending.CLOSED, len(events(1, 3, software)))


async def add_engine(
    deployment: World, name: str, software: str, zone: str = "a", adapter: str = "a1"
) -> Replica:
    """Adds an engine that has an adapter loaded, and waits until it is owned."""
    engine = Replica("llm", zone, "m", name=name, software=software, loaded={adapter: 1})
    await deployment.add_replica(engine)
    await until_true(lambda: deployment.recorded_owner(name))
    nodes = deployment.nodes
    await until_true(lambda: all(node._endpoints.get(name) for node in nodes))
    await until_true(lambda: all(node._views.get(name).owner for node in nodes))
    return engine


async def remove_engine(deployment: World, engine: Replica) -> None:
    """Removes an engine and its entry, and waits until no instance uses it."""
    await engine.stop()
    await deployment.store.delete("servers", engine.name)
    nodes = deployment.nodes
    await until_true(lambda: all(node._endpoints.get(engine.name) is None for node in nodes))


async def place_first_engine(deployment: World, zone: str, software: str = OLD) -> Replica:
    """Describes the first engine anew, with its adapter loaded, and waits until all know it."""
    engine = deployment.replicas[0]
    await deployment.wait_until_served(DRAFT, adapter="a1")
    engine.zone, engine.software = zone, software
    await deployment.store.put("servers", engine.name, engine.record())

    def is_known() -> bool:
        found = [node._endpoints.get(engine.name) for node in deployment.nodes]
        return all(r is not None and (r.zone, r.software) == (zone, software) for r in found)

    await until_true(is_known)
    return engine


class LeftStream:
    """A stream whose caller lost its connection.

    Attributes:
        request_id: Id of the attempt.
        last: Number of the last event that the caller has.
        body: The whole events that it has.
    """

    def __init__(self, request_id: str, body: bytes) -> None:
        end = body.rfind(b"\n\n") + 2
        self.request_id = request_id
        self.body = body[:end]
        self.last = self.body.count(b"\n\n")


async def leave_stream(
    deployment: World, node: int = 0, request_id: str = "", **headers: Any
) -> LeftStream:
    """Begins a stream, or takes one up, and leaves it after some events."""
    deployment.sent += 1
    request_id = request_id or f"r{deployment.sent}"
    own = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "5000", "X-Model": "m/a1"}
    own |= {"X-Token-Counts": "100,20"}
    own |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{deployment.options[node].front}{DRAFT}"
    async with aiohttp.ClientSession() as session, session.post(url, headers=own) as resp:
        assert resp.status == 200
        body = b""
        while body.count(b"\n\n") < 2:
            body += await resp.content.readany()
        resp.close()
    return LeftStream(request_id, body)


async def take_up(
    deployment: World, left: LeftStream, node: int = 0, **headers: Any
) -> CallerResponse:
    """Takes a stream up as its caller does after a lost connection."""
    more: dict[str, Any] = {"Resumes": left.request_id, "Last_Event_Id": str(left.last)} | headers
    return await deployment.send_request(DRAFT, node=node, adapter="a1", **more)


# Within one answer.


async def test_stream_breaks_off_if_no_other_endpoint_has_the_version_that_began_it() -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a")
        other = await add_engine(deployment, "i-other", NEW, zone="b")
        first.response_end = breaks_off(OLD)
        other.executed.clear()
        answer = await deployment.send_request(DRAFT, adapter="a1")
        assert (answer.status, answer.complete) == (200, False)
        assert (answer.body, other.executed) == (events(1, 3, OLD), [])


@pytest.mark.parametrize(("began_at", "newer"), [(OLD, NEW), (NEW, OLD)])
async def test_stream_goes_on_at_another_endpoint_of_the_version_that_began_it(
    began_at: str, newer: str
) -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a", began_at)
        await add_engine(deployment, "i-other", newer, zone="a")
        alike = await add_engine(deployment, "i-alike", began_at, zone="b")
        first.response_end = breaks_off(began_at)
        for _ in range(3):
            answer = await send_until_first(deployment, first)
            assert (answer.status, answer.complete) == (200, True)
            assert answer.body == events(1, EVENTS, began_at)
            assert alike.executed[-1].headers["last-event-id"] == "3"


async def send_until_first(deployment: World, first: Replica) -> CallerResponse:
    """Sends requests until one began at an engine, which is paused after a lost connection."""
    first.executed.clear()
    while True:
        answer = await deployment.send_request(DRAFT, adapter="a1")
        if first.executed:
            return answer


async def test_stream_without_an_event_may_go_on_at_any_version() -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a")
        await add_engine(deployment, "i-other", NEW, zone="b")
        first.response_end = BREAKS_AT_ONCE
        answer = await send_until_first(deployment, first)
        assert (answer.complete, answer.body) == (True, events(1, EVENTS, NEW))


@pytest.mark.parametrize(
    "version", [None, 7, "", "v" * 10_000], ids=["missing", "number", "empty", "long"]
)
async def test_endpoint_whose_version_is_unknown_goes_on_with_no_stream_of_another(
    version: object,
) -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a")
        other = await add_engine(deployment, "i-other", OLD, zone="b")
        await deployment.store.put("servers", other.name, {**other.record(), "version": version})
        node = deployment.nodes[0]
        await until_true(lambda: node._endpoints.get(other.name).software == "")  # type: ignore[union-attr]
        first.response_end = breaks_off(OLD)
        other.executed.clear()
        answer = await send_until_first(deployment, first)
        assert (answer.complete, answer.body) == (False, events(1, 3, OLD))


# Over the tries of a caller.

PLACES = ["same", "another", "later", "first_is_stopping", "first_is_gone"]


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(("began_at", "newer"), [(OLD, NEW), (NEW, OLD)])
async def test_stream_that_its_caller_takes_up_goes_on_at_the_version_that_began_it(
    place: str, began_at: str, newer: str
) -> None:
    async with world(nodes=3) as deployment:
        # The other version is nearer to all instances, so that the choice alone prefers it.
        first = await place_first_engine(deployment, "b", began_at)
        other = await add_engine(deployment, "i-other", newer)
        left = await begin_at(deployment, first, other)
        node = await move_caller(deployment, place)
        await until_preferred(deployment, other, node)
        set_length(deployment, LONG + 10)
        answer = await take_up(deployment, left, node)
        assert (answer.status, answer.complete) == (200, True)
        assert left.body + answer.body == events(1, LONG + 10, began_at)


async def test_stream_taken_up_twice_goes_on_at_the_version_that_began_it() -> None:
    async with world(nodes=3) as deployment:
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        left = await begin_at(deployment, first, other)
        await until_preferred(deployment, other, 1)
        more: dict[str, Any] = {"Resumes": left.request_id, "Last_Event_Id": str(left.last)}
        again = await leave_stream(deployment, 1, **more)
        assert left.body + again.body == events(1, left.last + again.last, OLD)
        left.last, left.body = left.last + again.last, left.body + again.body
        await until_preferred(deployment, other, 2)
        set_length(deployment, LONG + 10)
        answer = await take_up(deployment, left, 2)
        assert (answer.complete, left.body + answer.body) == (True, events(1, LONG + 10, OLD))


async def test_stream_that_is_handed_over_to_a_peer_goes_on_at_the_version_that_began_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        left = await begin_at(deployment, first, other)
        await until_preferred(deployment, other, 1)
        set_length(deployment, LONG + 10)
        cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False)
        answer = await deployment.send_request(DRAFT, adapter="a1")
        while answer.status != 200:
            answer = await deployment.send_request(DRAFT, adapter="a1")
        answer = await take_up(deployment, left, 0)
        assert (answer.status, answer.complete) == (200, True)
        assert left.body + answer.body == events(1, LONG + 10, OLD)


async def test_stream_begun_by_way_of_a_peer_goes_on_at_the_version_that_began_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=3) as deployment:
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        await until_preferred(deployment, other, 1)
        cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False)
        left = await begin_at(deployment, first, other)
        monkeypatch.undo()
        await until_preferred(deployment, other, 2)
        set_length(deployment, LONG + 10)
        answer = await take_up(deployment, left, 2)
        assert (answer.status, answer.complete) == (200, True)
        assert left.body + answer.body == events(1, LONG + 10, OLD)


async def test_stream_is_refused_at_once_if_no_endpoint_of_its_version_is_left() -> None:
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        left = await begin_at(deployment, first, other)
        await remove_engine(deployment, first)
        await until_preferred(deployment, other, 1)
        other.executed.clear()
        answer = await take_up(deployment, left, 1)
        assert (answer.status, other.executed) == (503, [])
        assert float(answer.headers["retry-after"]) > 0.0


# Streams of which nobody knows what began them.


@pytest.mark.parametrize(
    "headers",
    [
        {"Resumes": "unknown"},
        {"Resumes": ""},
        {"Resumes": "x" * 7_000},
        {"Resumes": "itself", "X_Request_Id": "itself"},
        {"Resumes": "unknown", "Last_Event_Id": "not a number"},
    ],
    ids=["unknown", "empty", "long", "itself", "no_number"],
)
async def test_unknown_stream_goes_on_nowhere_while_two_versions_serve(
    headers: dict[str, Any],
) -> None:
    async with world(nodes=2) as deployment:
        await place_first_engine(deployment, "a")
        await add_engine(deployment, "i-other", NEW)
        for engine in deployment.replicas:
            engine.executed.clear()
        answer = await deployment.send_request(
            DRAFT, b"unknown", adapter="a1", **({"Last_Event_Id": "3"} | headers)
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert not any(engine.executed for engine in deployment.replicas)


@pytest.mark.parametrize("node", [0, 1])
async def test_unknown_stream_goes_on_if_only_one_version_can_have_begun_it(node: int) -> None:
    async with world(nodes=1) as deployment:
        quick = route("quick", "streaming", "llm", resumable=True, timeout_ms=400)
        await deployment.store.put("config", "main", configuration(2, quick))
        await place_first_engine(deployment, "a")
        await add_engine(deployment, "i-alike", OLD)
        await deployment.add_node(1)
        await deployment.wait_until_served("/quick/x", adapter="a1")

        async def goes_on() -> bool:
            answer = await deployment.send_request(
                "/quick/x", b"unknown", node, adapter="a1", Resumes="unknown", Last_Event_Id="3"
            )
            return (answer.status, answer.body) == (200, events(4, EVENTS, OLD))

        await until(goes_on)


async def test_unknown_stream_goes_on_after_all_instances_started_if_one_version_served() -> None:
    async with world(nodes=2) as deployment:
        slow = route("slow", "streaming", "llm", resumable=True, timeout_ms=600_000)
        await deployment.store.put("config", "main", configuration(2, slow))
        await place_first_engine(deployment, "a")
        await restart_all(deployment)
        await deployment.wait_until_served("/slow/x", node=2, adapter="a1")

        async def goes_on() -> bool:
            answer = await deployment.send_request(
                "/slow/x", b"unknown", 2, adapter="a1", Resumes="unknown", Last_Event_Id="3"
            )
            return (answer.status, answer.body) == (200, events(4, EVENTS, OLD))

        await until(goes_on)


async def test_unknown_stream_is_refused_after_all_instances_started_if_two_versions_served() -> (
    None
):
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "a")
        other = await add_engine(deployment, "i-other", NEW)
        await until_true(lambda: all(mixed_in_lease(deployment, f"edge-{n}") for n in (0, 1)))
        await remove_engine(deployment, other)
        await restart_all(deployment)
        await deployment.wait_until_served(DRAFT, node=2, adapter="a1")
        first.executed.clear()
        answer = await deployment.send_request(
            DRAFT, b"unknown", 2, adapter="a1", Resumes="unknown", Last_Event_Id="3"
        )
        assert (answer.status, first.executed) == (503, [])


async def restart_all(deployment: World) -> None:
    """Ends the first two instances and starts a third one, which hears no other."""
    for node in (0, 1):
        await kill(deployment, node)
    await deployment.add_node(2)
    await until(lambda: is_ready(deployment, 2))


def mixed_in_lease(deployment: World, instance: str) -> Any:
    """Returns the services that have run several versions according to an instance's lease."""
    found = deployment.store.objects.get(("wigeonarch-leases", instance))
    return found["spec"].get("mixed") if found else None


# Endpoints that restart under their id.


async def test_stream_does_not_go_on_at_an_endpoint_that_restarted_with_other_software() -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a")
        second = await add_restarting_engine(deployment)
        cut_from_store(deployment.nodes[0])
        restart(second, NEW)
        first.response_end = breaks_off(OLD)
        answer = await send_until_first(deployment, first)
        assert (answer.complete, answer.body) == (False, events(1, 3, OLD))
        assert not second.executed


async def test_stream_goes_on_at_an_endpoint_whose_incarnation_is_known() -> None:
    async with world() as deployment:
        first = await place_first_engine(deployment, "a")
        second = await add_restarting_engine(deployment)
        cut_from_store(deployment.nodes[0])
        first.response_end = breaks_off(OLD)
        answer = await send_until_first(deployment, first)
        assert (answer.complete, answer.body) == (True, events(1, EVENTS, OLD))
        assert second.executed


async def test_stream_that_began_before_a_restart_was_known_goes_on_at_neither_version() -> None:
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "a")
        second = await add_restarting_engine(deployment)
        restart(second, NEW)
        left = await begin_at(deployment, second, first)
        await deployment.store.put("servers", second.name, second.record())
        nodes = deployment.nodes
        await until_true(lambda: all(n._endpoints.get(second.name).software == NEW for n in nodes))  # type: ignore[union-attr]
        for engine in deployment.replicas:
            engine.executed.clear()
        answers = [await take_up(deployment, left, node) for node in (0, 1)]
        assert [answer.status for answer in answers] == [503, 503]
        assert not any(engine.executed for engine in deployment.replicas)


async def add_restarting_engine(deployment: World) -> Replica:
    """Adds an engine that states when it started."""
    engine = Replica(
        "llm", "b", "m", name="i-second", software=OLD, loaded={"a1": 1}, incarnation=1000
    )
    await deployment.add_replica(engine)
    await until_true(lambda: deployment.recorded_owner(engine.name))
    nodes = deployment.nodes
    await until_true(lambda: all(node._views.get(engine.name).owner for node in nodes))
    return engine


def restart(engine: Replica, software: str) -> None:
    """Restarts an engine under its id with other software; its entry stays as it was."""
    engine.restart()
    engine.software = software
    engine.loaded = {"a1": 1}
    engine.executed.clear()


# Routes that lead to several services.


def two_services(version: int, split: dict[str, int]) -> dict[str, Any]:
    """Returns a configuration in which the streams' route leads to these services, by weight."""
    found = configuration(version)
    engine = next(s for s in found["services"] if s["name"] == "llm")["engine"]
    found["services"].append({"name": "llm2", "max_conns": 100, "engine": engine})
    drafts = next(r for r in found["routes"] if r["name"] == "draft")
    drafts["split"] = [{"service": name, "weight": weight} for name, weight in split.items()]
    return found


async def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it() -> None:
    async with world(nodes=2) as deployment:
        first, other = await begin_with_two_services(deployment, {"llm": 1, "llm2": 1})
        left = await asyncio.gather(*(leave_stream(deployment, 0) for _ in range(12)))
        set_length(deployment, LONG + 10)
        answers = await asyncio.gather(*(take_up(deployment, stream, 1) for stream in left))
        whole = [s.body + a.body for s, a in zip(left, answers, strict=True)]
        expected = {events(1, LONG + 10, first.software), events(1, LONG + 10, other.software)}
        assert set(whole) == expected


async def test_stream_whose_route_leads_to_another_service_now_is_refused() -> None:
    async with world(nodes=2) as deployment:
        _, other = await begin_with_two_services(deployment, {"llm": 1})
        left = await leave_stream(deployment, 0)
        await deployment.store.put("config", "main", two_services(9, {"llm2": 1}))
        await until_true(lambda: all(n._catalogue.table.version == 9 for n in deployment.nodes))  # type: ignore[union-attr]
        other.executed.clear()
        answers = [await take_up(deployment, left, node) for node in (0, 1)]
        assert [answer.status for answer in answers] == [503, 503]
        assert not other.executed


async def begin_with_two_services(
    deployment: World, split: dict[str, int]
) -> tuple[Replica, Replica]:
    """Adds an engine of a second service; both have one version, and mark their events."""
    await deployment.store.put("config", "main", two_services(2, split))
    first = await place_first_engine(deployment, "a")
    other = Replica("llm2", "a", "m", name="i-llm2", software=NEW, loaded={"a1": 1})
    await deployment.add_replica(other)
    await until_true(lambda: deployment.recorded_owner("i-llm2"))
    nodes = deployment.nodes
    await until_true(lambda: all(node._views.get("i-llm2").owner for node in nodes))
    set_length(deployment, LONG)
    return first, other


# Streams of other callers.


async def test_stream_of_another_team_can_not_be_taken_up() -> None:
    async with world(nodes=2) as deployment:
        teams = [team("gold", "key-gold"), team("tin", "key-tin")]
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        await deployment.store.put("config", "main", configuration(2, teams=teams))
        key: dict[str, Any] = {"Authorization": "Bearer key-gold"}

        async def is_known() -> bool:
            found = [
                await deployment.send_request(DRAFT, node=node, adapter="a1", **key)
                for node in (0, 1)
            ]
            return all(answer.status == 200 for answer in found)

        await until(is_known)
        left = await begin_at(deployment, first, other, **key)
        answers = [
            await take_up(deployment, left, node, Authorization="Bearer key-tin") for node in (0, 1)
        ]
        unknown = LeftStream("unknown", left.body)
        answers += [
            await take_up(deployment, unknown, node, Authorization="Bearer key-tin")
            for node in (0, 1)
        ]
        assert [answer.status for answer in answers] == [503] * 4
        assert len({answer.body for answer in answers}) == 1


async def test_id_that_two_callers_use_joins_no_streams_of_two_versions() -> None:
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "b")
        other = await add_engine(deployment, "i-other", NEW)
        left = await begin_at(deployment, first, other, request_id="shared")
        await begin_at(deployment, other, first, request_id="shared")
        for engine in deployment.replicas:
            engine.executed.clear()
        for node in (0, 1):
            answer = await take_up(deployment, left, node)
            assert answer.status == 503
        assert not any(engine.executed for engine in deployment.replicas)


# Many streams.


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_streams_that_are_taken_up_go_on_as_often_as_new_ones_begin(seed: int) -> None:
    rng = random.Random(seed)
    async with world(nodes=3) as deployment:
        await place_first_engine(deployment, "a")
        for name, software, zone in [("i-2", OLD, "b"), ("i-3", NEW, "a"), ("i-4", NEW, "b")]:
            await add_engine(deployment, name, software, zone)
        nodes = deployment.nodes
        await until_true(lambda: all(is_settled(node, "i-4") for node in nodes))
        set_length(deployment, LONG)
        left = [
            stream
            for software in (OLD, NEW)
            for stream in await begin_streams(deployment, software, rng)
        ]
        resumed = await asyncio.gather(*(take_up_by_chance(deployment, s, rng) for s in left))
        whole = [stream for stream in resumed if stream is not None]
        assert set(whole) == {events(1, LONG, OLD), events(1, LONG, NEW)}
        fresh = [deployment.send_request(DRAFT, adapter="a1") for _ in left]
        begun = [answer for answer in await asyncio.gather(*fresh) if answer.complete]
        assert len(whole) >= LEAST_SHARE * len(begun)


async def begin_streams(deployment: World, software: str, rng: random.Random) -> list[LeftStream]:
    """Begins streams at the engines of a version, which their callers leave."""
    for engine in deployment.replicas:
        refuses = engine.software != software
        engine.fault = ReplicaFault.SHED if refuses else ReplicaFault.NONE
    nodes = range(len(deployment.nodes))
    streams = [leave_stream(deployment, rng.choice(nodes)) for _ in range(TAKEN_UP // 2)]
    left = await asyncio.gather(*streams)
    for engine in deployment.replicas:
        engine.fault = ReplicaFault.NONE
    return left


def is_settled(node: Node, engine: str) -> bool:
    """Tells whether streams that may be resumed begin at an engine's software."""
    record = node._endpoints.get(engine)
    return record is not None and node._streams.is_settled(record)


async def take_up_by_chance(
    deployment: World, left: LeftStream, rng: random.Random
) -> bytes | None:
    """Takes a stream up, at times after leaving it again, each time at any instance.

    Returns:
        What its caller has then; None if it did not go on.
    """
    nodes = range(len(deployment.nodes))
    for _ in range(rng.choice([0, 0, 1, 2])):
        more: dict[str, Any] = {"Resumes": left.request_id, "Last_Event_Id": str(left.last)}
        again = await leave_stream(deployment, rng.choice(nodes), **more)
        left.last, left.body = left.last + again.last, left.body + again.body
    answer = await take_up(deployment, left, rng.choice(nodes))
    is_whole = answer.status == 200 and answer.complete
    return left.body + answer.body if is_whole else None


# What the tests do.


def set_length(deployment: World, count: int) -> None:
    """Sets the number of events of streams."""
    for engine in deployment.replicas:
        engine.events = count


async def begin_at(
    deployment: World, engine: Replica, other: Replica, node: int = 0, **more: Any
) -> LeftStream:
    """Begins a stream at an engine, which its caller leaves; the other one refuses meanwhile."""
    set_length(deployment, LONG)
    other.fault = ReplicaFault.SHED
    left = await leave_stream(deployment, node, **more)
    other.fault = ReplicaFault.NONE
    assert left.body == events(1, left.last, engine.software)
    return left


async def until_preferred(deployment: World, engine: Replica, node: int) -> None:
    """Waits until new streams at an instance begin at an engine."""
    set_length(deployment, EVENTS)

    async def begins_there() -> bool:
        engine.executed.clear()
        answer = await deployment.send_request(DRAFT, b"new", node, adapter="a1")
        return answer.status == 200 and bool(engine.executed)

    await until(begins_there)


async def move_caller(deployment: World, place: str) -> int:
    """Returns the instance at which a caller comes back."""
    if place == "same":
        return 0
    if place == "later":
        await deployment.add_node(3)
        await until(lambda: is_ready(deployment, 3))
        return 3
    if place == "first_is_stopping":
        deployment.nodes[0].stop()
    if place == "first_is_gone":
        await kill(deployment, 0)
    return 1


async def kill(deployment: World, node: int) -> None:
    """Ends an instance without its shutdown."""
    gone = deployment.nodes[node]
    deployment.tasks[node].cancel()
    for task in gone._tasks:
        task.cancel()
    gone._links.close()
    await gone._http_server.close()


async def is_ready(deployment: World, node: int) -> bool:
    return await deployment.readiness_status(node) == 200

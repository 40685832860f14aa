"""Streams of a service whose endpoints run several versions of their software.

The stand-ins mark their events with the version that wrote them. Callers begin streams at a chosen
engine, leave them and take them up again.
"""

from __future__ import annotations

from typing import Any

import aiohttp
from gateway_world import HOST, CallerResponse, World, until, until_true
from standins.replica import Ending, Framing, Replica, ReplicaFault, ResponseEnd, encode_event

OLD, NEW = "v1", "v1.1"
EVENTS = 6  # Events of a stream.
LONG = 400  # Events of a stream that its caller leaves.
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


async def send_until_first(deployment: World, first: Replica) -> CallerResponse:
    """Sends requests until one began at an engine, which is paused after a lost connection."""
    first.executed.clear()
    while True:
        answer = await deployment.send_request(DRAFT, adapter="a1")
        if first.executed:
            return answer


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


async def lose(deployment: World, number: int) -> None:
    """Ends an instance without its shutdown, and leaves its sockets to its next incarnation."""
    await kill(deployment, number)
    node = deployment.nodes.pop(number)
    del deployment.tasks[number], deployment.options[number]
    await node._peer_server.close()
    for status in (node._ready_server, node._metrics_server):
        await status.close()
    await node._store.close()


async def is_ready(deployment: World, node: int) -> bool:
    return await deployment.readiness_status(node) == 200

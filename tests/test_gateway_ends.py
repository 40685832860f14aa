"""Ends of answers: what a caller may take for complete is what the endpoint meant as complete.

An endpoint marks the end of an answer by its length, by chunks, or only by closing the connection.
A stream that ends inside an event has broken off, however its end is marked.
"""

from __future__ import annotations

import asyncio
from itertools import product

import pytest
from gateway_world import HOST, World, until_true, world
from raw_http import RawResponse, request_raw
from standins.replica import Ending, Framing, Replica, ReplicaFault, ResponseEnd, encode_event

EVENTS = [encode_event(number) for number in range(1, 7)]
STREAM = b"".join(EVENTS)
THREE = len(b"".join(EVENTS[:3]))
# Bytes of the stream that are sent, by the place where that ends.
PLACES = {
    "before_first": 0,
    "between_events": THREE,
    "inside_event": THREE + 7,
    "inside_blank_line": THREE + len(EVENTS[3]) - 1,
    "whole": len(STREAM),
}
ENDINGS = [
    (framing, ending)
    for framing, ending in product(Framing, Ending)
    if framing is not Framing.CONNECTION or ending is not Ending.MARKED
]


def is_meant_as_complete(framing: Framing, ending: Ending, place: str) -> bool:
    """Tells whether a stream that ends so is complete."""
    if place.startswith("inside"):
        return False
    if framing is Framing.CONNECTION:
        # Without an event, an answer can't be told from a connection that broke after its head.
        return ending is Ending.CLOSED and place != "before_first"
    # The last byte of a stated length ends the answer, whatever comes after it.
    return ending is Ending.MARKED or (framing is Framing.LENGTH and place == "whole")


async def send(
    deployment: World, path: str, http: str = "HTTP/1.1", adapter: str = "a1"
) -> RawResponse:
    """Sends a request and reads the response from the socket."""
    deployment.sent += 1
    headers = {"Host": HOST, "X-Request-Id": f"r{deployment.sent}", "X-Deadline-Ms": "5000"}
    if adapter:
        headers |= {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}
    return await request_raw(deployment.options[0].front, path, headers, http)


@pytest.mark.parametrize("http", ["HTTP/1.1", "HTTP/1.0"])
@pytest.mark.parametrize(("framing", "ending"), ENDINGS)
async def test_stream_that_broke_off_does_not_look_complete(
    framing: Framing, ending: Ending, http: str
) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        looks_complete, meant = {}, {}
        for place, size in PLACES.items():
            deployment.replicas[0].response_end = ResponseEnd(framing, ending, size)
            answer = await send_until_run(deployment, http)
            looks_complete[place] = answer.status == 200 and answer.complete
            meant[place] = is_meant_as_complete(framing, ending, place)
            if meant[place]:
                assert answer.body == STREAM[:size]
            elif answer.status == 200:
                assert STREAM[:size].startswith(answer.body)
        assert looks_complete == meant


async def send_until_run(deployment: World, http: str) -> RawResponse:
    """Sends requests until the engine runs one; after a lost connection it is paused a moment."""
    replica = deployment.replicas[0]
    while True:
        replica.executed.clear()
        answer = await send(deployment, "/write/x", http)
        if replica.executed:
            return answer


@pytest.mark.parametrize(
    ("framing", "ending", "size", "status"),
    [
        (Framing.LENGTH, Ending.MARKED, None, 200),
        (Framing.LENGTH, Ending.CLOSED, 5, 502),
        (Framing.LENGTH, Ending.RESET, 5, 502),
        (Framing.CHUNKS, Ending.MARKED, None, 200),
        (Framing.CHUNKS, Ending.CLOSED, None, 502),
        (Framing.CHUNKS, Ending.RESET, None, 502),
        (Framing.CHUNKS, Ending.CLOSED, 5, 502),
        (Framing.CHUNKS, Ending.RESET, 5, 502),
        (Framing.CONNECTION, Ending.CLOSED, None, 200),
        (Framing.CONNECTION, Ending.RESET, None, 502),
        (Framing.CONNECTION, Ending.RESET, 5, 502),
    ],
)
async def test_whole_answer_that_broke_off_is_not_delivered(
    framing: Framing, ending: Ending, size: int | None, status: int
) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/book/x")
        deployment.replicas[1].response_end = ResponseEnd(framing, ending, size)
        answer = await send(deployment, "/book/x", adapter="")
        assert (answer.status, answer.complete) == (status, True)
        if status == 200:
            assert answer.body == b"answer of i-desk to "


RESUMED_PLACES = [place for place in PLACES if place not in ("between_events", "whole")]


@pytest.mark.parametrize("place", RESUMED_PLACES)
async def test_stream_that_broke_off_without_a_mark_is_resumed(place: str) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/draft/x", adapter="a1")
        first = deployment.replicas[0]
        await deployment.add_replica(Replica("llm", model="m", name="i-llm2"))
        await until_true(lambda: deployment.recorded_owner("i-llm2"))
        first.response_end = ResponseEnd(Framing.CONNECTION, Ending.CLOSED, PLACES[place])
        first.executed.clear()
        while not first.executed:
            answer = await send(deployment, "/draft/x")
        assert (answer.complete, answer.body) == (True, STREAM)


@pytest.mark.parametrize("http", ["HTTP/1.1", "HTTP/1.0"])
async def test_stream_cut_by_a_stopping_instance_does_not_look_complete(http: str) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        deployment.replicas[0].events = 100_000
        deployment.replicas[0].executed.clear()
        answer = asyncio.create_task(send(deployment, "/write/x", http))
        await until_true(lambda: deployment.replicas[0].executed)
        await deployment.nodes[0]._http_server.close()
        assert not (await answer).complete


@pytest.mark.parametrize("path", ["/book/x", "/ask/x"])
async def test_refusal_that_broke_off_still_says_that_nothing_ran(path: str) -> None:
    async with world() as deployment:
        await deployment.wait_until_served(path)
        desk = deployment.replicas[1]
        desk.fault, desk.resets_rejections = ReplicaFault.SHED, True
        desk.executed.clear()
        answer = await send(deployment, path, adapter="")
        assert desk.rejections
        assert (answer.status, desk.executed) == (503, [])


@pytest.mark.parametrize(("path", "adapter"), [("/write/x", "a1"), ("/book/x", "")])
async def test_answer_without_a_signature_is_not_delivered(path: str, adapter: str) -> None:
    async with world() as deployment:
        await deployment.wait_until_served(path, adapter=adapter)
        replica = deployment.replicas[0 if adapter else 1]
        replica.signs = False
        answer = await send(deployment, path, adapter=adapter)
        assert (answer.status, answer.complete) == (502, True)

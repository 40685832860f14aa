"""Streams that are taken up after all instances were lost at once and came back.

Nobody remembers then what began them. One goes on only if the store proves that no other version
of the software can have begun it.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import pytest
from gateway_world import CallerResponse, World, until, until_true, world
from standins.replica import Replica
from standins.store import StoreFault
from version_streams import (
    DRAFT,
    LONG,
    NEW,
    OLD,
    LeftStream,
    add_engine,
    begin_at,
    events,
    is_ready,
    lose,
    place_first_engine,
    remove_engine,
    set_length,
    take_up,
    until_preferred,
)
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.stream_origins import StreamOrigins, software_of
from wigeonarch_runtime import clock

STREAMS = 4
LAG = 4.0  # Seconds by which lists are old.
OLD_LEASES = {"wigeonarch-leases": LAG}
OLD_LISTS = OLD_LEASES | {"servers": LAG}
TRIED_FOR = 4.0  # Seconds after the begin of the streams within which their callers come back.
TRY_INTERVAL = 0.15  # Seconds between a caller's tries.


@dataclass(frozen=True)
class Loss:
    """How all instances are lost and come back.

    Attributes:
        instances: Number of instances.
        side_by_side: Seconds for which two versions serve before the streams begin.
        gone_for: Seconds between the end of the older version and the loss.
        pause: Seconds between the starts of the instances.
        stale_lags: Seconds by which lists are old whose callers accept that, by kind.
        store_fault: How the store fails calls in the first half second after the loss.
    """

    instances: int = 3
    side_by_side: float = 0.0
    gone_for: float = 0.0
    pause: float = 0.0
    stale_lags: dict[str, float] = field(default_factory=dict)
    store_fault: StoreFault = StoreFault.NONE


async def lose_all(deployment: World) -> None:
    """Ends all instances at once, without their shutdown."""
    for node in deployment.nodes:
        node._links.close()
    while deployment.nodes:
        await lose(deployment, 0)


async def start_all(deployment: World, loss: Loss) -> None:
    """Starts all instances again under their own names."""
    for number in range(loss.instances):
        await deployment.add_node(number)
        await asyncio.sleep(loss.pause)


async def go_on(deployment: World, left: LeftStream, node: int, end: float) -> CallerResponse:
    """Takes a stream up until it goes on or its caller gives up; returns the last answer."""
    while True:
        answer = await take_up(deployment, left, node)
        if answer.status == 200 or time.monotonic() > end:
            return answer
        await asyncio.sleep(TRY_INTERVAL)


async def take_all_up(
    deployment: World, left: list[LeftStream], end: float
) -> list[tuple[LeftStream, CallerResponse]]:
    """Takes streams up at all instances in turn; returns them with their last answers."""
    nodes = len(deployment.nodes)
    for node in range(nodes):
        await until(lambda node=node: is_ready(deployment, node))  # type: ignore[misc]
    set_length(deployment, LONG + 10)
    tries = [go_on(deployment, one, number % nodes, end) for number, one in enumerate(left)]
    return list(zip(left, await asyncio.gather(*tries), strict=True))


LOSSES = {
    "at_once": Loss(),
    "one_instance": Loss(instances=1),
    "one_by_one": Loss(pause=0.3),
    "after_a_second": Loss(gone_for=1.0),
    "side_by_side_for_a_second": Loss(side_by_side=1.0),
    "side_by_side_for_a_second_and_gone_for_one": Loss(side_by_side=1.0, gone_for=1.0),
    "old_lists": Loss(stale_lags=OLD_LISTS),
    "old_lists_of_one_instance": Loss(instances=1, stale_lags=OLD_LISTS),
    "old_lists_after_side_by_side": Loss(side_by_side=1.0, stale_lags=OLD_LISTS),
    "old_leases": Loss(side_by_side=1.0, stale_lags=OLD_LEASES),
    "old_leases_of_one_instance": Loss(instances=1, side_by_side=1.0, stale_lags=OLD_LEASES),
    "store_refuses": Loss(store_fault=StoreFault.BUSY),
    "store_is_silent": Loss(store_fault=StoreFault.SILENT),
    "store_is_silent_to_one": Loss(instances=1, store_fault=StoreFault.SILENT),
}


@pytest.mark.parametrize("case", LOSSES)
async def test_streams_of_a_version_that_is_gone_do_not_go_on_at_another_after_the_loss_of_all(
    case: str,
) -> None:
    loss = LOSSES[case]
    async with world(nodes=loss.instances) as deployment:
        first = await place_first_engine(deployment, "a")
        other = await add_engine(deployment, "i-other", NEW)
        await asyncio.sleep(loss.side_by_side)
        began = time.monotonic()
        left = [
            await begin_at(deployment, first, other, n % loss.instances) for n in range(STREAMS)
        ]
        deployment.store.stale_lags = loss.stale_lags
        await remove_engine(deployment, first)
        await asyncio.sleep(loss.gone_for)
        await lose_all(deployment)
        deployment.store.fault = loss.store_fault
        await asyncio.sleep(0.5)
        starting = asyncio.create_task(start_all(deployment, loss))
        await asyncio.sleep(0.5)
        deployment.store.fault = StoreFault.NONE
        await starting
        found = await take_all_up(deployment, left, began + TRIED_FOR)
        joined = [stream for stream, answer in found if answer.status == 200]
        assert not joined


@pytest.mark.parametrize("stale_lags", [{}, OLD_LEASES], ids=["present", "old_leases"])
async def test_streams_of_a_version_that_an_instance_has_not_seen_do_not_go_on_there(
    stale_lags: dict[str, float],
) -> None:
    async with world(nodes=2) as deployment:
        first = await place_first_engine(deployment, "a")
        await lose(deployment, 1)
        other = await add_engine(deployment, "i-other", NEW)
        left = [await begin_at(deployment, other, first) for _ in range(STREAMS)]
        deployment.store.stale_lags = stale_lags
        await remove_engine(deployment, other)
        await lose(deployment, 0)
        await deployment.add_node(1)
        found = await take_all_up(deployment, left, time.monotonic() + 2.0)
        assert not [stream for stream, answer in found if answer.status == 200]


async def test_streams_begin_at_a_new_version_only_once_the_store_has_its_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world() as deployment:
        [node] = deployment.nodes
        await place_first_engine(deployment, "b")
        await until_true(lambda: node._streams._stored.software)
        monkeypatch.setattr(StreamOrigins, "note_stored", lambda self, record: None)
        other = await add_engine(deployment, "i-other", NEW)  # It is nearer.
        software = software_of(other_record(node, other))
        await until_true(
            lambda: node._streams._history.is_settled("llm", software, clock.monotonic())
        )
        for _ in range(5):
            answer = await deployment.send_request(DRAFT, adapter="a1")
            assert answer.status == 200
        assert not other.executed
        monkeypatch.undo()
        await until_preferred(deployment, other, 0)


def other_record(node: Node, engine: Replica) -> EndpointRecord:
    record = node._endpoints.get(engine.name)
    assert record is not None
    return record


@pytest.mark.parametrize("instances", [1, 3])
async def test_streams_of_the_only_version_go_on_after_the_loss_of_all(instances: int) -> None:
    loss = Loss(instances=instances)
    async with world(nodes=instances) as deployment:
        first = await place_first_engine(deployment, "a")
        alike = await add_engine(deployment, "i-alike", OLD)
        left = [await begin_at(deployment, first, alike, n % instances) for n in range(STREAMS)]
        await lose_all(deployment)
        await asyncio.sleep(0.5)
        await start_all(deployment, loss)
        found = await take_all_up(deployment, left, time.monotonic() + TRIED_FOR)
        assert [answer.status for _, answer in found] == [200] * STREAMS
        for stream, answer in found:
            assert stream.body + answer.body == events(1, LONG + 10, OLD)


async def test_streams_of_both_versions_are_never_joined_after_the_loss_of_all() -> None:
    async with world(nodes=3) as deployment:
        first = await place_first_engine(deployment, "a")
        other = await add_engine(deployment, "i-other", NEW)
        began = time.monotonic()
        left = [await begin_at(deployment, first, other, n % 3) for n in range(STREAMS)]
        left += [await begin_at(deployment, other, first, n % 3) for n in range(STREAMS)]
        await lose_all(deployment)
        await asyncio.sleep(0.5)
        await start_all(deployment, Loss())
        found = await take_all_up(deployment, left, began + TRIED_FOR)
        for stream, answer in found:
            software = (
                OLD if OLD.encode() in stream.body and NEW.encode() not in stream.body else NEW
            )
            if answer.status == 200:
                assert stream.body + answer.body == events(1, LONG + 10, software)

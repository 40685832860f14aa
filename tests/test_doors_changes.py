"""What an operator is told of a change while the platform loses answers: only what is sure."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import grpc
import pytest
import pytest_asyncio
from wigeonarch_core.records import CHANGES
from wigeonarch_entry.platform import Conflict, PlatformClient, Unavailable
from wigeonarch_fakes.demo_fleet import Plan, demo_fleet
from wigeonarch_fakes.demo_steps import Tour, make_tour
from wigeonarch_schema import wigeonarch_pb2 as pb

pytestmark = pytest.mark.asyncio(loop_scope="module")

REFUSED = Unavailable(False, "connection refused")
LOST = Unavailable(True, "answer lost")
TAKEN = Conflict(1)
THROUGH = None  # The call goes through to the platform.


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def tour() -> AsyncIterator[Tour]:
    async with (
        demo_fleet(Plan(zones=("zone-a",))) as fleet,
        aiohttp.ClientSession() as http,
        grpc.aio.insecure_channel(fleet.rpc("entry-zone-a")) as channel,
    ):
        yield make_tour(fleet, http, channel, lambda _text: None)


class Script:
    """Answers of the platform to writes of the log and to reads of its elements, in order."""

    def __init__(
        self, writes: list[Any], reads: list[Any], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._patch("create", writes, monkeypatch)
        self._patch("get", reads, monkeypatch)

    def _patch(self, method: str, answers: list[Any], monkeypatch: pytest.MonkeyPatch) -> None:
        original = getattr(PlatformClient, method)
        left = list(answers)

        async def answer(platform: PlatformClient, kind: str, *args: Any) -> Any:
            scripted = left.pop(0) if kind == CHANGES and left else THROUGH
            if scripted is THROUGH:
                return await original(platform, kind, *args)
            return scripted

        monkeypatch.setattr(PlatformClient, method, answer)


CASES: dict[str, tuple[list[Any], list[Any], pb.Status.ValueType]] = {
    # What: answers to writes, to reads of one element, what the operator is told.
    "all is well": ([], [], pb.STATUS_ACCEPTED),
    "refused": ([REFUSED], [], pb.STATUS_UNAVAILABLE),
    "lost, then written": ([LOST], [], pb.STATUS_ACCEPTED),
    "lost, then refused and unreadable": (
        [LOST, REFUSED, REFUSED],
        [REFUSED] * 3,
        pb.STATUS_PENDING,
    ),
    "lost, then taken and unreadable": ([LOST, TAKEN, TAKEN], [REFUSED] * 3, pb.STATUS_PENDING),
    "lost each time": ([LOST] * 3, [REFUSED] * 3, pb.STATUS_PENDING),
}


@pytest.mark.parametrize("case", CASES)
async def test_change(tour: Tour, case: str, monkeypatch: pytest.MonkeyPatch) -> None:
    writes, reads, status = CASES[case]
    name = case.replace(" ", "-").replace(",", "")
    service = pb.Service(name=name, kind=pb.SERVICE_KIND_PLAIN)
    mutation = pb.Mutation(put_service=pb.PutService(service=service))
    request = pb.MutateRequest(operation_id=case, mutation=mutation, wait_ms=10_000)
    with monkeypatch.context() as patched:
        Script(writes, reads, patched)
        reply = await tour.catalogue.Mutate(request)
    assert pb.Status.Name(reply.status) == pb.Status.Name(status)
    assert bool(reply.change) == (status == pb.STATUS_ACCEPTED)
    if status != pb.STATUS_ACCEPTED:
        assert reply.message
        assert reply.retry_after_s > 0
    # The same operation settles it, and is made once.
    settled = await tour.catalogue.Mutate(request)
    assert settled.status == pb.STATUS_ACCEPTED
    assert settled == await tour.catalogue.Mutate(request)


async def test_change_that_cannot_be_looked_up_is_not_told_as_unmade(
    tour: Tour, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def no_page(*_args: Any, **_more: Any) -> Unavailable:
        return REFUSED

    with monkeypatch.context() as patched:
        patched.setattr(PlatformClient, "list", no_page)
        patched.setattr(PlatformClient, "get", no_page)
        reply = await tour.catalogue.GetChange(pb.GetChangeRequest(operation_id="elsewhere"))
    assert (reply.status, reply.change) == (pb.STATUS_PENDING, 0)

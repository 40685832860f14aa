"""Replies about a change while the platform refuses calls or their responses are lost.

Guards against a reply that calls a change rejected or unavailable although it may be in the log.
"""

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
from wigeonarch_fakes.demo_steps import StepContext, make_context
from wigeonarch_schema import wigeonarch_pb2 as pb

pytestmark = pytest.mark.asyncio(loop_scope="module")

REFUSED = Unavailable(False, "connection refused")
LOST = Unavailable(True, "response lost")
CONFLICT = Conflict(1)
PASS_THROUGH = None  # The call reaches the platform.


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def demo() -> AsyncIterator[StepContext]:
    async with (
        demo_fleet(Plan(zones=("zone-a",))) as fleet,
        aiohttp.ClientSession() as http,
        grpc.aio.insecure_channel(fleet.rpc_address("entry-zone-a")) as channel,
    ):
        yield make_context(fleet, http, channel, lambda _text: None)


class ScriptedResults:
    """Replaces results of the platform client for the change log, in order: writes and reads."""

    def __init__(
        self, writes: list[Any], reads: list[Any], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._patch("create", writes, monkeypatch)
        self._patch("get", reads, monkeypatch)

    def _patch(self, method: str, results: list[Any], monkeypatch: pytest.MonkeyPatch) -> None:
        original = getattr(PlatformClient, method)
        remaining = list(results)

        async def scripted_call(platform: PlatformClient, kind: str, *args: Any) -> Any:
            scripted = remaining.pop(0) if kind == CHANGES and remaining else PASS_THROUGH
            if scripted is PASS_THROUGH:
                return await original(platform, kind, *args)
            return scripted

        monkeypatch.setattr(PlatformClient, method, scripted_call)


CASES: dict[str, tuple[list[Any], list[Any], pb.Status.ValueType]] = {
    # Name: results of writes, results of reads of one change, status in the reply.
    "written": ([], [], pb.STATUS_ACCEPTED),
    "refused": ([REFUSED], [], pb.STATUS_UNAVAILABLE),
    "lost, then written": ([LOST], [], pb.STATUS_ACCEPTED),
    "lost, then refused and unreadable": (
        [LOST, REFUSED, REFUSED],
        [REFUSED] * 3,
        pb.STATUS_PENDING,
    ),
    "lost, then conflict and unreadable": (
        [LOST, CONFLICT, CONFLICT],
        [REFUSED] * 3,
        pb.STATUS_PENDING,
    ),
    "lost each time": ([LOST] * 3, [REFUSED] * 3, pb.STATUS_PENDING),
}


@pytest.mark.parametrize("case", CASES)
async def test_reply_to_a_change(
    demo: StepContext, case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    writes, reads, status = CASES[case]
    name = case.replace(" ", "-").replace(",", "")
    service = pb.Service(name=name, kind=pb.SERVICE_KIND_PLAIN)
    mutation = pb.Mutation(put_service=pb.PutService(service=service))
    request = pb.MutateRequest(operation_id=case, mutation=mutation, wait_ms=10_000)
    with monkeypatch.context() as patched:
        ScriptedResults(writes, reads, patched)
        reply = await demo.catalogue.Mutate(request)
    assert pb.Status.Name(reply.status) == pb.Status.Name(status)
    assert bool(reply.change) == (status == pb.STATUS_ACCEPTED)
    if status != pb.STATUS_ACCEPTED:
        assert reply.message
        assert reply.retry_after_s > 0
    # Repeating the operation id gets the change accepted, and makes it only once.
    repeated = await demo.catalogue.Mutate(request)
    assert repeated.status == pb.STATUS_ACCEPTED
    assert repeated == await demo.catalogue.Mutate(request)


async def test_change_that_cannot_be_looked_up_is_pending_not_missing(
    demo: StepContext, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def refuse(*_args: Any, **_kwargs: Any) -> Unavailable:
        return REFUSED

    with monkeypatch.context() as patched:
        patched.setattr(PlatformClient, "list", refuse)
        patched.setattr(PlatformClient, "get", refuse)
        reply = await demo.catalogue.GetChange(pb.GetChangeRequest(operation_id="elsewhere"))
    assert (reply.status, reply.change) == (pb.STATUS_PENDING, 0)

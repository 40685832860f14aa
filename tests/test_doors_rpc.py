"""The RPC server over real sockets: malformed messages, refusals, callers that disconnect."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import grpc
import pytest
import pytest_asyncio
from wigeonarch_core.options import Limits
from wigeonarch_fakes.demo_fleet import Plan, demo_fleet, wait_for
from wigeonarch_fakes.demo_steps import (
    ADAPTER,
    OTHER_ADAPTER,
    StepContext,
    configure,
    make_context,
    wait_for_owners,
)
from wigeonarch_fakes.engine_documents import Settings
from wigeonarch_fakes.engine_model import Engine
from wigeonarch_schema import wigeonarch_pb2 as pb

pytestmark = pytest.mark.asyncio(loop_scope="module")

MODEL = f"drafting/{ADAPTER}"
MANY_TOKENS = 3_000
PLAN = Plan(
    zones=("zone-a",),
    engine=Settings(slots=1, base_ms=1),
    bytes_per_s=100e6,
    loads_per_s=50,
    limits=Limits(prompt_chars=1000),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def demo() -> AsyncIterator[StepContext]:
    async with (
        demo_fleet(PLAN) as fleet,
        aiohttp.ClientSession() as http,
        grpc.aio.insecure_channel(fleet.rpc_address("entry-zone-a")) as channel,
    ):
        demo = make_context(fleet, http, channel, lambda _text: None)
        assert (await wait_for_owners(demo)).ok
        assert (await configure(demo)).ok
        yield demo


def generate(
    model: str = MODEL, tokens: int = 4, prompt: str = "x", **fields: Any
) -> pb.SubmitRequest:
    work = pb.Generate(prompt=prompt, max_tokens=tokens)
    return pb.SubmitRequest(model=model, generate=work, **fields)


def call(model: str = "orders", operation: str = "confirm", body: str = "{}") -> pb.SubmitRequest:
    return pb.SubmitRequest(model=model, call=pb.Call(operation=operation, body=body))


REFUSED: dict[str, tuple[pb.SubmitRequest, str]] = {
    "model without an adapter": (generate("drafting"), "malformed"),
    "unknown adapter": (generate("drafting/none"), "no_such_adapter"),
    "unknown version": (generate(f"{MODEL}@v9"), "no_such_version"),
    "unknown service": (generate("none/x"), "no_such_service"),
    "long prompt": (generate(prompt="x" * 1001), "too_large"),
    "many tokens": (generate(tokens=2**31), "too_large"),
    "long caller": (generate(caller="c" * 256), "malformed"),
    "key with a control character": (generate(idempotency_key="a\n"), "malformed"),
    "unknown plain service": (call("none"), "no_such_service"),
    "call of a model service": (call("drafting"), "no_such_service"),
    "operation with a path": (call(operation="../x"), "malformed"),
    "body is no JSON": (call(body="{"), "malformed"),
}


@pytest.mark.parametrize("case", REFUSED)
async def test_refused_request_gets_its_reason_whole_and_streamed(
    demo: StepContext, case: str
) -> None:
    request, reason = REFUSED[case]
    reply = await demo.requests.Submit(request)
    events = [event async for event in demo.requests.SubmitStream(request)]
    assert [event.WhichOneof("event") for event in events] == ["end"]
    for found in (reply, events[0].end):
        assert (found.outcome, found.reason) == (pb.OUTCOME_NOT_RUN, reason)
        assert found.message
        explained = await demo.requests.Explain(pb.ExplainRequest(request_id=found.request_id))
        assert [(each.step, each.reason) for each in explained.decisions] == [("intake", reason)]


SERVICE = pb.Service(name="s", kind=pb.SERVICE_KIND_MODEL)
MALFORMED: dict[str, tuple[str, str, Any]] = {
    "no work": ("requests", "Submit", pb.SubmitRequest(model=MODEL)),
    "no model": ("requests", "Submit", pb.SubmitRequest(generate=pb.Generate())),
    "lookup without a key": ("requests", "Lookup", pb.LookupRequest()),
    "no operation id": (
        *("catalogue", "Mutate"),
        pb.MutateRequest(mutation=pb.Mutation(put_service=pb.PutService(service=SERVICE))),
    ),
    "no mutation": ("catalogue", "Mutate", pb.MutateRequest(operation_id="x")),
    "status of no change": ("catalogue", "GetChange", pb.GetChangeRequest()),
    "entry without a kind": ("catalogue", "GetEntry", pb.GetEntryRequest(name="s")),
    "list without a kind": ("catalogue", "ListEntries", pb.ListEntriesRequest()),
}


@pytest.mark.parametrize("case", MALFORMED)
async def test_malformed_message_is_an_invalid_argument(demo: StepContext, case: str) -> None:
    stub, method, request = MALFORMED[case]
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await getattr(getattr(demo, stub), method)(request)
    assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert caught.value.details()


def _adapter(service: str, name: str) -> pb.Mutation:
    adapter = pb.Adapter(service=service, name=name)
    return pb.Mutation(put_adapter=pb.PutAdapter(adapter=adapter))


def _rule(*splits: pb.Split) -> pb.Mutation:
    rule = pb.Rule(service="drafting", adapter=ADAPTER, splits=splits)
    return pb.Mutation(put_rule=pb.PutRule(rule=rule), expected_version=7)


def _service(name: str, kind: pb.ServiceKind.ValueType) -> pb.Mutation:
    return pb.Mutation(put_service=pb.PutService(service=pb.Service(name=name, kind=kind)))


BAD_MUTATIONS: dict[str, pb.Mutation] = {
    "service without a kind": _service("s", pb.SERVICE_KIND_UNSPECIFIED),
    "service without a name": _service("", pb.SERVICE_KIND_MODEL),
    "service name with a slash": _service("a/b", pb.SERVICE_KIND_MODEL),
    "adapter name with a version": _adapter("drafting", "a@v1"),
    "adapter name with a space": _adapter("drafting", "a b"),
    "adapter name too long": _adapter("drafting", "a" * 129),
    "rule without splits": _rule(),
    "rule with a split of weight 0": _rule(
        pb.Split(version="v1"), pb.Split(version="v2", weight=1)
    ),
    "rule that names a version twice": _rule(
        pb.Split(version="v1", weight=1), pb.Split(version="v1", weight=2)
    ),
    "deletion without a name": pb.Mutation(
        delete_entry=pb.DeleteEntry(kind=pb.ENTRY_KIND_SERVICE), expected_version=1
    ),
    "deletion of an adapter by a service's name": pb.Mutation(
        delete_entry=pb.DeleteEntry(kind=pb.ENTRY_KIND_ADAPTER, name="drafting"),
        expected_version=1,
    ),
}


@pytest.mark.parametrize("case", BAD_MUTATIONS)
async def test_malformed_mutation_is_not_written_to_the_log(demo: StepContext, case: str) -> None:
    request = pb.MutateRequest(operation_id=case, mutation=BAD_MUTATIONS[case])
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await demo.catalogue.Mutate(request)
    assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT


async def test_kind_of_a_service_cannot_change(demo: StepContext) -> None:
    key = pb.GetEntryRequest(kind=pb.ENTRY_KIND_SERVICE, name="drafting")
    entry = await demo.catalogue.GetEntry(key)
    mutation = _service("drafting", pb.SERVICE_KIND_PLAIN)
    mutation.expected_version = entry.version
    reply = await demo.catalogue.Mutate(pb.MutateRequest(operation_id="kind", mutation=mutation))
    assert reply.status == pb.STATUS_REJECTED_INVALID
    assert "kind" in reply.message
    assert await demo.catalogue.GetEntry(key) == entry


async def test_list_returns_all_entries_page_by_page(demo: StepContext) -> None:
    request = pb.ListEntriesRequest(kind=pb.ENTRY_KIND_VERSION, page_size=3)
    names: list[str] = []
    while True:
        page = await demo.catalogue.ListEntries(request)
        names.extend(entry.name for entry in page.entries)
        if not page.next_page_token:
            break
        request.page_token = page.next_page_token
    assert names == sorted(
        f"drafting/{a}@{v}" for a in (ADAPTER, OTHER_ADAPTER) for v in ("v1", "v2")
    )


async def test_stream_has_no_gaps_and_ends(demo: StepContext) -> None:
    events = [event async for event in demo.requests.SubmitStream(generate(tokens=6))]
    chunks = [event.chunk for event in events[:-1]]
    assert [chunk.seq for chunk in chunks] == list(range(len(chunks)))
    assert "".join(chunk.text for chunk in chunks) == "".join(
        f"{ADAPTER}@v1#{i} " for i in range(6)
    )
    end = events[-1].end
    assert (end.outcome, end.tokens, end.text) == (pb.OUTCOME_ANSWERED, 6, "")


async def test_request_is_explained_by_the_instance_that_received_it(demo: StepContext) -> None:
    reply = await demo.requests.Submit(generate())
    explained = await demo.requests.Explain(pb.ExplainRequest(request_id=reply.request_id))
    assert {"route", "grant", "outcome"} <= {each.step for each in explained.decisions}
    found = await demo.requests.Lookup(pb.LookupRequest(request_id=reply.request_id))
    assert (found.state, found.reply.outcome) == (pb.REQUEST_STATE_ENDED, pb.OUTCOME_ANSWERED)
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await demo.requests.Explain(pb.ExplainRequest(request_id="none"))
    assert caught.value.code() is grpc.StatusCode.NOT_FOUND


def _engine(demo: StepContext) -> Engine:
    return demo.fleet.engines["engine-zone-a"].engine


async def _read_one(stream: Any) -> None:
    await stream.read()


async def _read_nothing(_stream: Any) -> None:
    """Reads nothing, so that the buffers between server and caller fill up."""


@pytest.mark.parametrize("read", [_read_one, _read_nothing])
async def test_caller_that_disconnects_frees_the_engine(demo: StepContext, read: Any) -> None:
    node = demo.fleet.nodes["entry-zone-a"]
    records = _engine(demo).record.dispatches
    before = len(records)
    tasks = len(asyncio.all_tasks())
    stream = demo.requests.SubmitStream(generate(tokens=MANY_TOKENS))
    await read(stream)
    running = _engine(demo).running
    await wait_for(lambda: len(records) > before and any(len(r.chunks) > 100 for r in running))
    stream.cancel()
    await wait_for(lambda: node._dispatcher.in_progress == 0)
    await wait_for(lambda: list(records.values())[-1].finish == "cancelled")
    await wait_for(lambda: len(asyncio.all_tasks()) <= tasks)
    # Another adapter can be loaded into the only slot, so the pin has been released.
    reply = await demo.requests.Submit(generate(f"drafting/{OTHER_ADAPTER}"))
    assert reply.outcome == pb.OUTCOME_ANSWERED
    assert not _engine(demo).record.evicted_in_use


async def test_draining_instance_refuses_requests(demo: StepContext) -> None:
    """Must be the last test: it drains the instance that all tests of the module share."""
    for _ in range(2):
        reply = await demo.status.Drain(pb.DrainRequest())
        assert (reply.instance, reply.draining) == ("entry-zone-a", True)
    refused = await demo.requests.Submit(generate())
    assert (refused.outcome, refused.reason) == (pb.OUTCOME_NOT_RUN, "draining")
    assert refused.retry_after_s > 0
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await demo.status.Drain(pb.DrainRequest(instance="none"))
    assert caught.value.code() is grpc.StatusCode.NOT_FOUND

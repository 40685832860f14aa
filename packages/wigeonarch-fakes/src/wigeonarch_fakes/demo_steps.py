"""Steps of the demo: each uses one function of the HTTP or RPC interface and checks the result."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias

import aiohttp
import grpc
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_fakes.demo_fleet import MODEL_SERVICE, PLAIN_SERVICE, POLL_INTERVAL_S, DemoFleet

ADAPTER: Final = "curry-blend"
OTHER_ADAPTER: Final = "chai-blend"
MODEL: Final = f"{MODEL_SERVICE}/{ADAPTER}"
PROMPT: Final = "Write the batch sheet for 40 kg of Madras blend."
MAX_TOKENS: Final = 12
IDEMPOTENCY_KEY: Final = "despatch-4711"
WAIT_MS: Final = 10_000
OWNERS_TIMEOUT_S: Final = 20.0
EVENT_PREFIX: Final = b"data: "
LAST_EVENT: Final = b"data: [DONE]"

Stub: TypeAlias = Any


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a step, with a line of detail for the terminal."""

    ok: bool
    detail: str


@dataclass(slots=True)
class StepContext:
    """State that the steps share.

    Attributes:
        fleet: The deployment.
        http: HTTP client session for all entry instances.
        catalogue: Stub of the Catalogue RPCs at the first entry instance.
        requests: Stub of the Requests RPCs at the first entry instance.
        status: Stub of the Fleet RPCs at the first entry instance.
        show: Writes text to the terminal without a line break.
        last_request: Id of the last request submitted at the first entry instance.
        versions: Versions of the rules' entries after their last change, by service/adapter.
    """

    fleet: DemoFleet
    http: aiohttp.ClientSession
    catalogue: Stub
    requests: Stub
    status: Stub
    show: Callable[[str], None]
    last_request: str = ""
    versions: dict[str, int] = field(default_factory=dict)

    @property
    def entries(self) -> list[str]:
        """Names of the entry instances."""
        return list(self.fleet.nodes)


@dataclass(frozen=True, slots=True)
class Step:
    """One step: its title and the function that runs it."""

    title: str
    run: Callable[[StepContext], Awaitable[Result]]


def make_context(
    fleet: DemoFleet,
    http: aiohttp.ClientSession,
    channel: grpc.aio.Channel,
    show: Callable[[str], None],
) -> StepContext:
    """Returns a context whose RPCs go to the instance that `channel` is connected to."""
    return StepContext(
        fleet=fleet,
        http=http,
        catalogue=rpc.CatalogueStub(channel),
        requests=rpc.RequestsStub(channel),
        status=rpc.FleetStub(channel),
        show=show,
    )


async def wait_for_owners(context: StepContext) -> Result:
    """Waits until each engine has an owner that is allowed to send it orders."""
    async with asyncio.timeout(OWNERS_TIMEOUT_S):
        while True:
            reply = await context.status.Status(pb.StatusRequest())
            owners = {engine.name: engine.owner for engine in reply.engines}
            if len(owners) == len(context.fleet.engines) and all(owners.values()):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    detail = ", ".join(f"{engine} by {owner}" for engine, owner in owners.items())
    return Result(True, detail)


async def configure(context: StepContext) -> Result:
    """Creates two services and two adapters, each adapter with two versions and a rule."""
    names = sorted(name for name in context.fleet.engines if _checks_fence(context, name))
    model = pb.Service(
        name=MODEL_SERVICE,
        kind=pb.SERVICE_KIND_MODEL,
        base_model="base",
        fencing_endpoints=names,
    )
    plain = pb.Service(name=PLAIN_SERVICE, kind=pb.SERVICE_KIND_PLAIN)
    mutations = [pb.Mutation(put_service=pb.PutService(service=s)) for s in (model, plain)]
    for adapter in (ADAPTER, OTHER_ADAPTER):
        mutations.extend(_adapter_mutations(adapter))
    for mutation in mutations:
        reply = await _mutate(context, mutation)
        if reply.status != pb.STATUS_ACCEPTED:
            return Result(False, f"{pb.Status.Name(reply.status)}: {reply.message}")
    return Result(True, f"{len(mutations)} changes accepted: in force in every zone")


async def complete(context: StepContext) -> Result:
    """Requests a completion from each entry instance over HTTP."""
    for name in context.entries:
        status, doc = await _post(context, name, "/v1/completions", _completion(MODEL))
        if status != 200 or doc["choices"][0]["text"] != _expected("v1"):
            return Result(False, f"{name}: {status} {doc}")
    return Result(True, f"{len(context.entries)} entry instances answered from {ADAPTER}@v1")


async def submit(context: StepContext) -> Result:
    """Submits one request by RPC that names its adapter version."""
    generate = pb.Generate(prompt=PROMPT, max_tokens=MAX_TOKENS)
    model = f"{MODEL_SERVICE}/{OTHER_ADAPTER}@v2"
    reply = await context.requests.Submit(pb.SubmitRequest(model=model, generate=generate))
    context.last_request = reply.request_id
    ok = reply.outcome == pb.OUTCOME_ANSWERED and (reply.adapter, reply.version) == (
        OTHER_ADAPTER,
        "v2",
    )
    return Result(ok, f"{pb.Outcome.Name(reply.outcome)} from {reply.adapter}@{reply.version}")


async def explain(context: StepContext) -> Result:
    """Fetches the decisions that routed the last request."""
    reply = await context.requests.Explain(pb.ExplainRequest(request_id=context.last_request))
    for decision in reply.decisions:
        context.show(
            f"    {decision.at_s:.3f} s  {decision.step} {decision.reason} {decision.detail}\n"
        )
    return Result(bool(reply.decisions), f"{len(reply.decisions)} decisions")


async def stream(context: StepContext) -> Result:
    """Streams a completion to the terminal."""
    body = _completion(MODEL) | {"stream": True}
    texts: list[str] = []
    context.show("    ")
    async for doc in _events(context, "/v1/completions", body):
        if "error" in doc:
            return Result(False, str(doc["error"]))
        texts.append(doc["choices"][0]["text"])
        context.show(texts[-1])
    context.show("\n")
    text = "".join(texts)
    return Result(text == _expected("v1"), f"{len(texts)} events, answer complete")


async def repeat_keyed_call(context: StepContext) -> Result:
    """Sends one non-idempotent call to two instances with the same idempotency key.

    The service must run it only once.
    """
    answers = []
    for name in context.entries[:2]:
        path = f"/v1/services/{PLAIN_SERVICE}/confirm"
        answers.append(
            await _post(context, name, path, {"order": 4711}, {"Idempotency-Key": IDEMPOTENCY_KEY})
        )
    services = context.fleet.services.values()
    runs = sum(
        replica.service.record()["runs_by_key"].get(IDEMPOTENCY_KEY, 0) for replica in services
    )
    same = [status for status, _ in answers] == [200, 200] and answers[0] == answers[1]
    return Result(same and runs == 1, f"called twice, the endpoints' records show {runs} run")


async def move_rule(context: StepContext) -> Result:
    """Switches the rule to version 2; each instance must use it from the next request on."""
    reply = await _mutate(context, _rule(ADAPTER, "v2"), context.versions[MODEL])
    if reply.status != pb.STATUS_ACCEPTED:
        return Result(False, f"{pb.Status.Name(reply.status)}: {reply.message}")
    for name in context.entries:
        status, doc = await _post(context, name, "/v1/completions", _completion(MODEL))
        if status != 200 or doc["choices"][0]["text"] != _expected("v2"):
            return Result(False, f"{name}: {status} {doc}")
    return Result(True, f"accepted as change {reply.change}; next answers from {ADAPTER}@v2")


async def check_records(context: StepContext) -> Result:
    """Checks the engines' own records: no adapter may have been evicted while in use."""
    records = [running.engine.record for running in context.fleet.engines.values()]
    evicted = sum(len(record.evicted_in_use) for record in records)
    loads = sum(len(record.loads) for record in records)
    return Result(evicted == 0, f"{loads} loads, {evicted} evictions of an adapter in use")


STEPS: Final = (
    Step("each engine has an owner", wait_for_owners),
    Step("create services, adapters, versions and rules (RPC)", configure),
    Step("complete at each entry instance (HTTP)", complete),
    Step("submit a request that names its version (RPC)", submit),
    Step("explain that request (RPC)", explain),
    Step("stream an answer (HTTP)", stream),
    Step("repeat a call that may run only once (HTTP)", repeat_keyed_call),
    Step("move the rule to version 2 (RPC, HTTP)", move_rule),
    Step("read the engines' records", check_records),
)


def _checks_fence(context: StepContext, engine: str) -> bool:
    return context.fleet.engines[engine].engine.settings.checks_fence


def _adapter_mutations(adapter: str) -> list[pb.Mutation]:
    mutations = [
        pb.Mutation(
            put_adapter=pb.PutAdapter(adapter=pb.Adapter(service=MODEL_SERVICE, name=adapter))
        )
    ]
    for name in ("v1", "v2"):
        version = pb.Version(
            service=MODEL_SERVICE, adapter=adapter, name=name, weights=f"{adapter}/{name}"
        )
        mutations.append(pb.Mutation(put_version=pb.PutVersion(version=version)))
    return [*mutations, _rule(adapter, "v1")]


def _rule(adapter: str, version: str) -> pb.Mutation:
    splits = [pb.Split(version=version, weight=1)]
    rule = pb.Rule(service=MODEL_SERVICE, adapter=adapter, splits=splits)
    return pb.Mutation(put_rule=pb.PutRule(rule=rule))


async def _mutate(context: StepContext, mutation: pb.Mutation, expected: int = 0) -> pb.MutateReply:
    mutation.expected_version = expected
    request = pb.MutateRequest(operation_id=uuid.uuid4().hex, mutation=mutation, wait_ms=WAIT_MS)
    reply: pb.MutateReply = await context.catalogue.Mutate(request)
    if mutation.HasField("put_rule"):
        rule = mutation.put_rule.rule
        context.versions[f"{rule.service}/{rule.adapter}"] = reply.entry_version
    return reply


def _completion(model: str) -> dict[str, Any]:
    return {"model": model, "prompt": PROMPT, "max_tokens": MAX_TOKENS}


def _expected(version: str) -> str:
    """Returns the text that the engine stand-in generates for an adapter version."""
    return "".join(f"{ADAPTER}@{version}#{i} " for i in range(MAX_TOKENS))


async def _post(
    context: StepContext, entry: str, path: str, body: Any, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    url = context.fleet.http_url(entry) + path
    async with context.http.post(url, json=body, headers=headers) as resp:
        return resp.status, await resp.json()


async def _events(context: StepContext, path: str, body: Any) -> AsyncIterator[Any]:
    """Yields the JSON documents of a stream of server-sent events."""
    url = context.fleet.http_url(context.entries[0]) + path
    async with context.http.post(url, json=body) as resp:
        if resp.status != 200:
            yield await resp.json()
            return
        async for line in resp.content:
            if line.startswith(EVENT_PREFIX) and not line.startswith(LAST_EVENT):
                yield json.loads(line.removeprefix(EVENT_PREFIX))

"""Creates services, adapters, versions and rules in bulk through the Catalogue RPCs."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Sequence
from typing import Any, Final

import grpc
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

WAIT_MS: Final = 20_000
RPC_TIMEOUT_S: Final = 60.0


def model_service(name: str, *, fencing: Sequence[str] = ()) -> pb.Mutation:
    """Returns the mutation that creates a model service."""
    service = pb.Service(
        name=name,
        kind=pb.SERVICE_KIND_MODEL,
        base_model="base",
        fencing_endpoints=fencing,
    )
    return pb.Mutation(put_service=pb.PutService(service=service))


def adapter_with_rule(service: str, adapter: str, version: str = "v1") -> list[pb.Mutation]:
    """Returns the mutations that create an adapter, a version and a rule, in the required order."""
    rule = pb.Rule(service=service, adapter=adapter, splits=[pb.Split(version=version, weight=1)])
    first = pb.Version(service=service, adapter=adapter, name=version, weights=f"{adapter}-1")
    return [
        pb.Mutation(put_adapter=pb.PutAdapter(adapter=pb.Adapter(service=service, name=adapter))),
        pb.Mutation(put_version=pb.PutVersion(version=first)),
        pb.Mutation(put_rule=pb.PutRule(rule=rule)),
    ]


async def apply_mutations(
    server: str, mutations: Sequence[pb.Mutation], wait_ms: int = WAIT_MS
) -> None:
    """Applies mutations one after the other and waits until the last is in force everywhere.

    Earlier mutations are only waited for until they are accepted or pending.

    Raises:
        RuntimeError: A mutation was rejected, or the last one was not in force in time.
    """
    async with grpc.aio.insecure_channel(server) as channel:
        stub: Any = rpc.CatalogueStub(channel)
        for number, mutation in enumerate(mutations):
            last = number == len(mutations) - 1
            req = pb.MutateRequest(
                operation_id=uuid.uuid4().hex,
                mutation=mutation,
                wait_ms=wait_ms if last else 1,
            )
            reply = await stub.Mutate(req, timeout=RPC_TIMEOUT_S)
            expected = (pb.STATUS_ACCEPTED,) if last else (pb.STATUS_ACCEPTED, pb.STATUS_PENDING)
            if reply.status not in expected:
                raise RuntimeError(f"change {number}: {reply}")


def apply_mutations_blocking(server: str, mutations: Sequence[pb.Mutation]) -> None:
    """Applies mutations from synchronous code and waits until they are in force everywhere."""
    asyncio.run(apply_mutations(server, mutations))


def create_model_service(server: str, service: str, adapters: int) -> None:
    """Creates a model service with `adapters` adapters, named `a0`, `a1` and so on."""
    mutations = [model_service(service)]
    for number in range(adapters):
        mutations += adapter_with_rule(service, f"a{number}")
    apply_mutations_blocking(server, mutations)

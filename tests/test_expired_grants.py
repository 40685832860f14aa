"""A grant that expires before its request is sent says nothing of the engine."""

from __future__ import annotations

import asyncio

from wigeonarch_core.lifecycle import (
    Event,
    OutcomeKind,
    Phase,
    disposition_of,
    may_retry,
    may_retry_same_endpoint,
)
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_entry.engines import EngineClient, Generation, StreamBroken


async def test_request_whose_grant_expired_while_connecting_may_go_to_the_engine_again() -> None:
    received = b""

    async def receive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        received += await reader.read()
        writer.close()

    server = await asyncio.start_server(receive, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    gen = Generation("d", AdapterVersion("s", "a", "v"), "p", 1, 0, 5.0)
    client = EngineClient(1.0)
    stream = client.generate(f"{host}:{port}", gen, 1.0, 1.0, lambda: False)
    items = [item async for item in stream]
    await client.close()
    server.close()
    await server.wait_closed()
    assert received == b""
    assert items == [StreamBroken(Event.REFUSED, Reason.LEASE_LOST, False)]
    disposition = disposition_of(Phase.QUEUED, Event.REFUSED)
    assert disposition.outcome_kind is OutcomeKind.NOT_RUN
    assert may_retry(disposition, Reason.LEASE_LOST, idempotent=False, answer_started=False)
    assert may_retry_same_endpoint(Reason.LEASE_LOST)

"""The HTTP server over real sockets.

Every request gets a clear response, and no request leaves work behind at an engine.
"""

from __future__ import annotations

import asyncio
import gzip
import json
import socket
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import grpc
import pytest
import pytest_asyncio
from wigeonarch_core.options import Limits, Timing
from wigeonarch_core.outcomes import Reason
from wigeonarch_entry import httpserver
from wigeonarch_entry.dispatch import Dispatcher
from wigeonarch_fakes.demo_fleet import DemoFleet, Plan, demo_fleet, wait_for
from wigeonarch_fakes.demo_steps import (
    ADAPTER,
    OTHER_ADAPTER,
    configure,
    make_context,
    wait_for_owners,
)
from wigeonarch_fakes.engine_documents import Settings

pytestmark = pytest.mark.asyncio(loop_scope="module")

MODEL = f"drafting/{ADAPTER}"
BODY_BYTES = 20_000
PROMPT_CHARS = 5_000
MAX_TOKENS = 4_000
REQUESTS = 4
PLAN = Plan(
    zones=("zone-a",),
    engine=Settings(slots=1, base_ms=2),
    bytes_per_s=100e6,
    loads_per_s=50,
    limits=Limits(
        body_bytes=BODY_BYTES,
        prompt_chars=PROMPT_CHARS,
        max_tokens=MAX_TOKENS,
        requests=REQUESTS,
        event_streams=2,
    ),
    timing=Timing(write_timeout=1.0, body_timeout=1.0),
)


class ServerUnderTest:
    """The HTTP server under test, with its deployment and its engine."""

    def __init__(self, fleet: DemoFleet, http: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.http = http
        self.url = fleet.http_url("entry-zone-a")
        self.engine = fleet.engines["engine-zone-a"].engine

    async def post(
        self, path: str, body: bytes | dict[str, Any], headers: dict[str, str] | None = None
    ) -> tuple[int, Any, Mapping[str, str]]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.http.post(self.url + path, data=data, headers=headers) as resp:
            return resp.status, await resp.json(), resp.headers

    async def raw(self, data: bytes) -> bytes:
        """Sends raw bytes; returns all that is received until the server closes the connection."""
        host, _, port = self.url.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        return answer

    async def stream(self, tokens: int, model: str = MODEL) -> aiohttp.ClientResponse:
        """Starts a stream and returns once its first event has been received."""
        body = completion(model=model, max_tokens=tokens, stream=True)
        resp = await self.http.post(f"{self.url}/v1/completions", json=body)
        assert resp.status == 200, await resp.text()
        await resp.content.readline()
        return resp

    def finishes(self) -> list[str]:
        """Returns how each dispatch received by the engine ended; an empty string while it runs."""
        return [record.finish for record in self.engine.record.dispatches.values()]

    async def wait_idle(self) -> None:
        """Waits until no request is in progress and nothing runs at the engine."""
        node = self.fleet.nodes["entry-zone-a"]
        await wait_for(lambda: node._dispatcher.in_progress == 0)
        await wait_for(lambda: all(self.finishes()))


def completion(**fields: Any) -> dict[str, Any]:
    return {"model": MODEL, "prompt": "Madras", "max_tokens": 4} | fields


def chat(**fields: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": "Madras"}]
    return {"model": MODEL, "messages": messages, "max_tokens": 4} | fields


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def server() -> AsyncIterator[ServerUnderTest]:
    async with demo_fleet(PLAN) as fleet, aiohttp.ClientSession() as http:
        async with grpc.aio.insecure_channel(fleet.rpc_address("entry-zone-a")) as channel:
            demo = make_context(fleet, http, channel, lambda _text: None)
            assert (await wait_for_owners(demo)).ok
            assert (await configure(demo)).ok
        yield ServerUnderTest(fleet, http)


TEXT, CHAT, CALL = "/v1/completions", "/v1/chat/completions", "/v1/services/orders/confirm"

REFUSED: dict[str, tuple[str, bytes | dict[str, Any], dict[str, str], int, str]] = {
    # Name: path, body, headers, status, reason.
    "empty body": (TEXT, b"", {}, 400, "malformed"),
    "torn body": (TEXT, b'{"model": "drafting/', {}, 400, "malformed"),
    "body is a list": (TEXT, b"[]", {}, 400, "malformed"),
    "bad UTF-8": (
        TEXT,
        b'{"model": "' + MODEL.encode() + b'", "prompt": "\xff"}',
        {},
        400,
        "malformed",
    ),
    "lone surrogate": (
        TEXT,
        b'{"model": "' + MODEL.encode() + b'", "prompt": "\\ud800"}',
        {},
        400,
        "malformed",
    ),
    "no model": (TEXT, {"prompt": "x"}, {}, 400, "malformed"),
    "no prompt": (TEXT, {"model": MODEL}, {}, 400, "malformed"),
    "model is a number": (TEXT, completion(model=7), {}, 400, "malformed"),
    "model has no adapter": (TEXT, completion(model="drafting"), {}, 400, "malformed"),
    "model has an empty version": (TEXT, completion(model=f"{MODEL}@"), {}, 400, "malformed"),
    "prompt is tokens": (TEXT, completion(prompt=[1, 2]), {}, 400, "malformed"),
    "two prompts": (TEXT, completion(prompt=["a", "b"]), {}, 400, "malformed"),
    "no prompts": (TEXT, completion(prompt=[]), {}, 400, "malformed"),
    "two choices": (TEXT, completion(n=2), {}, 400, "malformed"),
    "stream is a text": (TEXT, completion(stream="yes"), {}, 400, "malformed"),
    "max_tokens is a text": (TEXT, completion(max_tokens="4"), {}, 400, "malformed"),
    "max_tokens is a fraction": (TEXT, completion(max_tokens=1.5), {}, 400, "malformed"),
    "negative max_tokens": (TEXT, completion(max_tokens=-1), {}, 400, "malformed"),
    "too many tokens": (TEXT, completion(max_tokens=MAX_TOKENS + 1), {}, 413, "too_large"),
    "absurdly many tokens": (TEXT, completion(max_tokens=10**40), {}, 413, "too_large"),
    "long prompt": (TEXT, completion(prompt="x" * (PROMPT_CHARS + 1)), {}, 413, "too_large"),
    "large body": (TEXT, completion(prompt="x" * (BODY_BYTES + 1)), {}, 413, "too_large"),
    "unknown service": (TEXT, completion(model="nowhere/blend"), {}, 404, "no_such_service"),
    "plain service": (TEXT, completion(model="orders/blend"), {}, 404, "no_such_adapter"),
    "unknown adapter": (TEXT, completion(model="drafting/none"), {}, 404, "no_such_adapter"),
    "unknown version": (TEXT, completion(model=f"{MODEL}@v9"), {}, 404, "no_such_version"),
    "no messages": (CHAT, chat(messages=[]), {}, 400, "malformed"),
    "message without a role": (
        CHAT,
        chat(messages=[{"content": "x"}]),
        {},
        400,
        "malformed",
    ),
    "content is a number": (
        CHAT,
        chat(messages=[{"role": "x", "content": 1}]),
        {},
        400,
        "malformed",
    ),
    "content is an image": (
        CHAT,
        chat(messages=[{"role": "user", "content": [{"type": "image_url", "image_url": {}}]}]),
        *({}, 400, "malformed"),
    ),
    "chat with an unknown adapter": (
        CHAT,
        chat(model="drafting/none"),
        {},
        404,
        "no_such_adapter",
    ),
    "unknown plain service": ("/v1/services/none/confirm", {}, {}, 404, "no_such_service"),
    "call of a model service": ("/v1/services/drafting/confirm", {}, {}, 404, "no_such_service"),
    "call with a torn body": (CALL, b"{", {}, 400, "malformed"),
    "call with bad UTF-8": (CALL, b'"\xff"', {}, 400, "malformed"),
    "call with a large body": (CALL, b'"' + b"x" * BODY_BYTES + b'"', {}, 413, "too_large"),
    "operation with a path in it": ("/v1/services/orders/a%2F..%2Fb", {}, {}, 400, "malformed"),
    "operation with a query in it": ("/v1/services/orders/a%3Fb", {}, {}, 400, "malformed"),
    "operation with bad UTF-8": ("/v1/services/orders/%ff", {}, {}, 400, "malformed"),
    "priority is a text": (TEXT, completion(), {"X-Priority": "high"}, 400, "malformed"),
    "priority out of bounds": (TEXT, completion(), {"X-Priority": "9" * 11}, 400, "malformed"),
    "negative deadline": (TEXT, completion(), {"X-Deadline-Ms": "-1"}, 400, "malformed"),
    "endless deadline": (TEXT, completion(), {"X-Deadline-Ms": "9" * 5000}, 400, "malformed"),
    "empty key": (CALL, {}, {"Idempotency-Key": " "}, 400, "malformed"),
    "long key": (CALL, {}, {"Idempotency-Key": "k" * 256}, 400, "malformed"),
    "long caller": (TEXT, completion(), {"X-Caller": "c" * 256}, 400, "malformed"),
    "unknown path": ("/v1/embeddings", {}, {}, 404, "malformed"),
    "wrong method": ("/v1/models", {}, {}, 405, "malformed"),
}


@pytest.mark.parametrize("case", REFUSED)
async def test_refused_with_status_and_reason(server: ServerUnderTest, case: str) -> None:
    path, body, headers, status, reason = REFUSED[case]
    before = len(server.finishes())
    found, doc, response_headers = await server.post(path, body, headers)
    assert (found, doc["error"]["reason"]) == (status, reason), doc
    assert doc["error"]["outcome"] == response_headers["X-Outcome"] == "not_run"
    assert doc["error"]["message"]
    # Requests that the HTTP library itself refuses get no id.
    assert ("X-Request-Id" in response_headers) == (case not in ("unknown path", "wrong method"))
    assert len(server.finishes()) == before, "something reached the engine"


RAW: dict[str, tuple[bytes, bytes]] = {
    # Name: bytes sent, start of the response.
    "no HTTP": (b"hello\r\n\r\n", b"HTTP/1.0 400"),
    "long header": (
        b"GET /livez HTTP/1.1\r\nHost: x\r\nX-A: " + b"a" * 20_000 + b"\r\n\r\n",
        b"HTTP/1.0 400",
    ),
    "long line": (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.0 400"),
    "many headers": (
        b"GET /livez HTTP/1.1\r\nHost: x\r\n" + b"X-A: a\r\n" * 500 + b"\r\n",
        b"HTTP/1.0 400",
    ),
    "caller's name is no UTF-8": (
        b"POST /v1/services/orders/confirm HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"X-Caller: \xff\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 400",
    ),
    "key is no UTF-8": (
        b"POST /v1/services/orders/confirm HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Idempotency-Key: \xff\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 400",
    ),
    "body that never ends": (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Content-Length: 500\r\n\r\n{",
        b"HTTP/1.1 503",
    ),
}


def _gzip(body: bytes) -> bytes:
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Encoding: gzip\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


RAW |= {
    "body that is no gzip": (_gzip(b"not at all"), b"HTTP/1.1 400"),
    "body that grows over the limit": (
        _gzip(gzip.compress(b" " * 100 * BODY_BYTES)),
        b"HTTP/1.1 413",
    ),
    "chunks without a length": (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.",
    ),
}


@pytest.mark.parametrize("case", RAW)
async def test_malformed_http_gets_an_error_status(server: ServerUnderTest, case: str) -> None:
    sent, expected_start = RAW[case]
    response = await server.raw(sent)
    assert response.startswith(expected_start), response[:300]


ANSWERED: dict[str, tuple[str, dict[str, Any]]] = {
    "text": (TEXT, completion()),
    "list of one prompt": (TEXT, completion(prompt=["Madras"])),
    "unknown keys": (
        TEXT,
        completion(temperature=0.2, stream_options={"include_usage": True}, user="u"),
    ),
    "null keys": (TEXT, completion(stream=None, n=None)),
    "chat": (CHAT, chat()),
    "content of text parts": (
        CHAT,
        chat(messages=[{"role": "user", "content": [{"type": "text", "text": "Madras"}]}]),
    ),
    "newer name of max_tokens": (CHAT, chat(max_tokens=None, max_completion_tokens=4)),
    "a reply without content": (
        CHAT,
        chat(messages=[{"role": "assistant", "content": None}, {"role": "user", "content": "x"}]),
    ),
}


@pytest.mark.parametrize("case", ANSWERED)
async def test_answer_has_the_format_that_openai_clients_expect(
    server: ServerUnderTest, case: str
) -> None:
    path, body = ANSWERED[case]
    status, doc, headers = await server.post(path, body)
    assert status == 200, doc
    text = "".join(f"{ADAPTER}@v1#{i} " for i in range(4))
    choice = doc["choices"][0]
    if path == CHAT:
        assert doc["object"] == "chat.completion"
        assert choice["message"] == {"role": "assistant", "content": text}
    else:
        assert doc["object"] == "text_completion"
        assert choice["text"] == text
    assert (choice["index"], choice["finish_reason"], choice["logprobs"]) == (0, "length", None)
    assert doc["usage"] == {"prompt_tokens": 0, "completion_tokens": 4, "total_tokens": 4}
    assert doc["model"] == f"{MODEL}@v1"
    assert doc["created"] > 1_700_000_000
    assert doc["id"] == headers["X-Request-Id"]
    assert headers["X-Outcome"] == "answered"


@pytest.mark.parametrize("path", [TEXT, CHAT])
async def test_stream_has_the_format_that_openai_clients_expect(
    server: ServerUnderTest, path: str
) -> None:
    body = (chat if path == CHAT else completion)(
        stream=True, stream_options={"include_usage": True}
    )
    async with server.http.post(server.url + path, json=body) as resp:
        assert resp.headers["Content-Type"].startswith("text/event-stream")
        events = (await resp.text()).split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    docs = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    assert len({(doc["id"], doc["object"], doc["model"]) for doc in docs}) == 1
    choices = [doc["choices"][0] for doc in docs]
    if path == CHAT:
        assert choices[0]["delta"] == {"role": "assistant", "content": ""}
        texts = [choice["delta"].get("content", "") for choice in choices]
    else:
        texts = [choice["text"] for choice in choices]
    assert "".join(texts) == "".join(f"{ADAPTER}@v1#{i} " for i in range(4))
    assert [choice["finish_reason"] for choice in choices[:-1]] == [None] * (len(choices) - 1)
    assert choices[-1]["finish_reason"] == "length"


async def test_models_are_listed_and_looked_up(server: ServerUnderTest) -> None:
    async with server.http.get(f"{server.url}/v1/models") as resp:
        doc = await resp.json()
    assert [item["id"] for item in doc["data"]] == sorted([MODEL, f"drafting/{OTHER_ADAPTER}"])
    for name, status in ((MODEL, 200), ("drafting/none", 404)):
        async with server.http.get(f"{server.url}/v1/models/{name}") as resp:
            assert resp.status == status


async def test_probes_answer_200(server: ServerUnderTest) -> None:
    for path in ("/livez", "/readyz"):
        async with server.http.get(server.url + path) as resp:
            assert resp.status == 200


async def _read_samples(server: ServerUnderTest) -> dict[str, float]:
    """Returns all samples of the server's metrics, by name and labels."""
    async with server.http.get(f"{server.url}/metrics") as resp:
        assert resp.headers["Content-Type"].startswith("text/plain; version=")
        lines = (await resp.text()).splitlines()
    return {
        name: float(value)
        for name, _, value in (x.rpartition(" ") for x in lines if not x.startswith("#"))
    }


async def test_counters_are_shown_before_their_first_event(server: ServerUnderTest) -> None:
    samples = await _read_samples(server)
    for reason in Reason:
        assert f'wigeonarch_refusals_total{{reason="{reason}"}}' in samples
        assert f'wigeonarch_retries_total{{reason="{reason}"}}' in samples
    for outcome in ("answered", "notrun", "unknown", "failed"):
        assert f'wigeonarch_requests_total{{outcome="{outcome}"}}' in samples
    for name in ("load_stall", "first_token", "between_tokens"):
        assert f"wigeonarch_{name}_seconds_count" in samples
    assert "wigeonarch_batch_fill_ratio_count" in samples


@pytest.mark.parametrize("case", ["torn body", "unknown adapter", "large body"])
async def test_each_refusal_is_counted_once(server: ServerUnderTest, case: str) -> None:
    path, body, headers, _, reason = REFUSED[case]
    name = f'wigeonarch_refusals_total{{reason="{reason}"}}'
    before = (await _read_samples(server))[name]
    await server.post(path, body, headers)
    assert (await _read_samples(server))[name] == before + 1


async def _close(resp: aiohttp.ClientResponse) -> None:
    resp.close()


async def _reset(resp: aiohttp.ClientResponse) -> None:
    assert resp.connection is not None
    assert resp.connection.transport is not None
    resp.connection.transport.abort()


@pytest.mark.parametrize("disconnect", [_close, _reset])
async def test_caller_that_disconnects_frees_the_engine(
    server: ServerUnderTest, disconnect: Any
) -> None:
    await server.wait_idle()
    before = len(server.finishes())
    resp = await server.stream(MAX_TOKENS)
    await disconnect(resp)
    await server.wait_idle()
    assert server.finishes()[before:] == ["cancelled"]
    # Another adapter can be loaded into the only slot, so the pin has been released.
    status, doc, _ = await server.post(TEXT, completion(model=f"drafting/{OTHER_ADAPTER}"))
    assert status == 200, doc
    assert not server.engine.record.evicted_in_use


async def test_request_of_a_caller_that_does_not_read_is_cancelled(server: ServerUnderTest) -> None:
    await server.wait_idle()
    before = len(server.finishes())
    host, _, port = server.url.removeprefix("http://").partition(":")
    sock = socket.socket()
    # With a small receive buffer the stream blocks after a few events.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    body = json.dumps(completion(max_tokens=MAX_TOKENS, stream=True)).encode()
    head = f"POST {TEXT} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    await loop.sock_sendall(sock, head.encode() + body)
    await wait_for(lambda: len(server.finishes()) > before)
    await server.wait_idle()
    sock.close()
    assert server.finishes()[before:] == ["cancelled"]


async def test_unstreamed_request_of_a_disconnected_caller_is_cancelled(
    server: ServerUnderTest,
) -> None:
    await server.wait_idle()
    before = len(server.finishes())
    body = completion(max_tokens=MAX_TOKENS)
    post = asyncio.create_task(server.post(TEXT, body))
    await wait_for(lambda: len(server.finishes()) > before)
    post.cancel()
    await server.wait_idle()
    assert server.finishes()[before:] == ["cancelled"]


async def test_limit_on_concurrent_streams(server: ServerUnderTest) -> None:
    await server.wait_idle()
    streams = [await server.stream(MAX_TOKENS) for _ in range(2)]
    status, doc, headers = await server.post(TEXT, completion(stream=True))
    assert (status, doc["error"]["reason"]) == (429, "concurrency")
    assert int(headers["Retry-After"]) >= 1
    assert (await server.post(TEXT, completion()))[0] == 200, "the limit is on streams only"
    for resp in streams:
        resp.close()
    await server.wait_idle()
    resp = await server.stream(4)
    resp.close()
    await server.wait_idle()


async def test_limit_on_concurrent_requests(server: ServerUnderTest) -> None:
    await server.wait_idle()
    posts = [
        asyncio.create_task(server.post(TEXT, completion(max_tokens=MAX_TOKENS)))
        for _ in range(REQUESTS)
    ]
    await wait_for(lambda: sum(not finish for finish in server.finishes()) == REQUESTS)
    status, doc, headers = await server.post(TEXT, completion())
    assert (status, doc["error"]["reason"]) == (429, "concurrency")
    assert int(headers["Retry-After"]) >= 1
    for task in posts:
        task.cancel()
    await server.wait_idle()
    assert (await server.post(TEXT, completion()))[0] == 200


UNANSWERED: dict[str, tuple[dict[str, Any], dict[str, str], int, str, str]] = {
    # Name: faults of the service, headers, status, outcome, part of the message.
    "refused before it ran": ({"refuse": True}, {}, 503, "not_run", "did not run"),
    "answer lost": (
        {"lose_answers": True},
        {"Idempotency-Key": "k1"},
        502,
        "unknown",
        "may have run",
    ),
    "ran and failed": ({"status": 422}, {}, 422, "failed", "answers 422"),
    "ran and answered 503": ({"status": 503}, {}, 500, "failed", "answers 503"),
}


@pytest.mark.parametrize("case", UNANSWERED)
async def test_outcome_of_a_service_call_that_got_no_answer(
    server: ServerUnderTest, case: str
) -> None:
    faults, headers, status, outcome, message = UNANSWERED[case]
    service = server.fleet.services["orders-zone-a"]
    control = f"http://{service.address}/_control/faults"
    async with server.http.post(control, json=faults) as resp:
        assert resp.status == 200
    try:
        found, doc, response_headers = await server.post(CALL, {}, headers)
    finally:
        no_faults = dict.fromkeys(faults)
        async with server.http.post(control, json=no_faults) as resp:
            assert resp.status == 200
    assert (found, response_headers["X-Outcome"]) == (status, outcome), doc
    assert message in doc["error"]["message"]
    assert ("Retry-After" in response_headers) == (status == 503)


async def _raise(*_args: Any, **_kwargs: Any) -> Any:
    raise RuntimeError("a broken invariant")


async def test_internal_error_is_an_unknown_outcome(
    server: ServerUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patched:
        patched.setattr(Dispatcher, "run", _raise)
        status, doc, headers = await server.post(TEXT, completion())
    assert (status, doc["error"]["outcome"], headers["X-Outcome"]) == (500, "unknown", "unknown")
    assert "may have run" in doc["error"]["message"]


async def test_internal_error_within_a_stream_aborts_it(
    server: ServerUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patched:
        patched.setattr(httpserver, "_end_stream", _raise)
        async with server.http.post(server.url + TEXT, json=completion(stream=True)) as resp:
            with pytest.raises(aiohttp.ClientError):
                await resp.read()


async def test_draining_instance_refuses_requests_and_finishes_those_in_progress(
    server: ServerUnderTest,
) -> None:
    """Must be the last test: it drains the instance that all tests of the module share."""
    await server.wait_idle()
    running = asyncio.create_task(server.post(TEXT, completion(max_tokens=200)))
    await wait_for(lambda: not all(server.finishes()))
    server.fleet.nodes["entry-zone-a"].drain()
    status, doc, headers = await server.post(TEXT, completion())
    assert (status, doc["error"]["reason"]) == (503, "draining")
    assert int(headers["Retry-After"]) >= 1
    async with server.http.get(f"{server.url}/readyz") as resp:
        assert (resp.status, (await resp.text()).startswith("draining")) == (503, True)
    async with server.http.get(f"{server.url}/livez") as resp:
        assert resp.status == 200
    status, doc, _ = await running
    assert (status, doc["usage"]["completion_tokens"]) == (200, 200)

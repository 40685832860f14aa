"""Steps that send requests and run operators' commands."""

from __future__ import annotations

import time
from typing import Any

from scenario import operators
from scenario.callers import BALANCER
from scenario.world import Call, RequestSpec, World


def submit(
    world: World,
    name: str,
    model: str,
    via: str,
    tokens: int = 5,
    key: str = "",
    prompt: str = "a prompt",
    caller: str = "",
    deadline: float = 0.0,
    priority: int = 0,
    count: int = 1,
    stream: bool = False,
) -> None:
    """Starts requests in the background, all at once.

    The model is `SERVICE/ADAPTER[@VERSION]`, or `SERVICE:OPERATION` for a plain service. `via`
    names instances, which get the requests in turn, or is `balancer`.
    """
    spec = _request_spec(model, tokens, key, prompt, caller, deadline, priority, stream)
    calls = [Call(spec) for _ in range(count)]
    world.calls[name] = world.calls.get(name, []) + calls
    turns = [BALANCER] if via == BALANCER else world.names(via)
    for number, call in enumerate(calls):
        world.submit(call, turns[number % len(turns)])


def load(
    world: World, name: str, model: str, via: str, count: int, rate: float, **options: Any
) -> None:
    """Starts `count` requests in the background, `rate` per second, without waiting for answers.

    The options are those of `submit`; the number of the request is appended to a key.
    """
    key = options.pop("key", "")
    world.calls[name] = []

    def run() -> None:
        started_at = time.monotonic()
        for number in range(count):
            time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            instances = world.names(via)
            request_options = {**options, "key": f"{key}-{number}"} if key else options
            submit(world, name, model, instances[number % len(instances)], **request_options)

    world.loading[name] = world.pool.submit(run)


def drop(world: World, name: str) -> None:
    """Closes the connections of a name's requests from the caller's side."""
    for call in world.calls[name]:
        world.drop(call)


def _request_spec(
    model: str,
    tokens: int,
    key: Any,
    prompt: str,
    caller: str,
    deadline: float,
    priority: int,
    stream: bool,
) -> RequestSpec:
    headers = {"X-Caller": caller, "X-Priority": str(priority)}
    if deadline:
        headers["X-Deadline-Ms"] = str(round(deadline * 1000))
    if key:
        headers["Idempotency-Key"] = str(key)
    if ":" in model:
        service, _, operation = model.partition(":")
        return RequestSpec(f"/v1/services/{service}/{operation}", {"n": 1}, headers, False)
    body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return RequestSpec("/v1/completions", body, headers, stream)


def ctl(world: World, entry: str, line: str) -> None:
    """Runs a command line of `wigeonctl` against an instance; it must succeed."""
    result = operators.run(world.dep.entries[entry]["rpc"], line)
    assert result.code == 0, f"exit code {result.code}: {result.advice} {result.output}"


def attempt(world: World, name: str, entry: str, line: str) -> None:
    """Runs `wigeonctl` in the background; the probes `code` and `output` return its result."""
    server = world.dep.entries[entry]["rpc"]
    world.runs[name] = world.pool.submit(operators.run, server, line)

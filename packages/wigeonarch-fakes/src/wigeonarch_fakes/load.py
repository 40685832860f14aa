"""Open-loop load generator: sends streamed completions and records latency histograms.

Arrivals follow a Poisson process that is determined by the seed. Each request is sent at its
scheduled time, whether or not earlier ones have been answered, so that a slow system does not get
fewer requests. Latency is measured from the scheduled time, so that it includes delays in the
load generator itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any, Final

import aiohttp
import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0, 100.0)
US_PER_S: Final = 1_000_000.0


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Describes the load of one run.

    Attributes:
        targets: `IP:PORT` of the HTTP servers, used round-robin.
        service: Name of the model service.
        adapters: Number of adapters, named `a0`, `a1` and so on.
        skew: Exponent of the Zipf distribution of requests over adapters; 0 for equal shares.
        rate: Requests per second.
        seconds: Length of the run, in seconds.
        tokens: Tokens per request.
        deadline_ms: Deadline of each request, in milliseconds.
        callers: Number of callers; each request has one picked at random.
        seed: Seed of the arrival times and of the choices of adapter and caller.
    """

    targets: tuple[str, ...]
    service: str = "drafting"
    adapters: int = 1
    skew: float = 1.0
    rate: float = 10.0
    seconds: float = 10.0
    tokens: int = 20
    deadline_ms: int = 30_000
    callers: int = 8
    seed: int = 1


class Arrival(msgspec.Struct, frozen=True):
    """One request to send, `at` seconds after the start of the run."""

    at: float
    target: str
    adapter: int
    caller: int


def schedule(plan: Plan) -> list[Arrival]:
    """Returns all arrivals of a run; equal plans give equal arrivals."""
    rng = Random(plan.seed)
    weights = [(rank + 1) ** -plan.skew for rank in range(plan.adapters)]
    arrivals: list[Arrival] = []
    at = rng.expovariate(plan.rate)
    while at < plan.seconds:
        adapter = rng.choices(range(plan.adapters), weights)[0] if plan.adapters > 1 else 0
        target = plan.targets[len(arrivals) % len(plan.targets)]
        arrivals.append(Arrival(at, target, adapter, rng.randrange(plan.callers)))
        at += rng.expovariate(plan.rate)
    return arrivals


class Results:
    """Latency and outcomes as callers see them.

    Attributes:
        first_token: Latency to the first token, in microseconds.
        between_tokens: Time between tokens, in microseconds.
        total: Latency of the complete answer, in microseconds.
        outcomes: Number of requests by outcome.
        tokens: Tokens received.
    """

    __slots__ = ("between_tokens", "first_token", "outcomes", "tokens", "total")

    def __init__(self) -> None:
        self.first_token = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.between_tokens = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.total = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.tokens = 0

    def document(self, seconds: float) -> dict[str, Any]:
        """Returns the results of a run that took `seconds`; latencies are in milliseconds."""
        return {
            "ends": dict(sorted(self.outcomes.items())),
            "answered_per_s": round(self.outcomes["answered"] / seconds, 2),
            "tokens_per_s": round(self.tokens / seconds, 1),
            "first_token_ms": _percentiles(self.first_token),
            "between_tokens_ms": _percentiles(self.between_tokens),
            "whole_ms": _percentiles(self.total),
        }


def _percentiles(histogram: Any) -> dict[str, float]:
    values = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
    return {name: round(value, 3) for name, value in values.items()}


def record_latency(histogram: Any, seconds: float) -> None:
    """Records a duration in a histogram of microseconds, clamped to its range."""
    histogram.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, math.ceil(seconds * US_PER_S))))


async def run(plan: Plan, arrivals: Sequence[Arrival] | None = None) -> Results:
    """Sends all requests of a plan and waits until they have finished."""
    results = Results()
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = loop.time()
        tasks = []
        for arrival in arrivals if arrivals is not None else schedule(plan):
            await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
            request = _send(session, plan, arrival, start + arrival.at, results)
            tasks.append(asyncio.create_task(request))
        await asyncio.gather(*tasks)
    return results


async def _send(
    session: aiohttp.ClientSession, plan: Plan, arrival: Arrival, due: float, results: Results
) -> None:
    doc = {
        "model": f"{plan.service}/a{arrival.adapter}",
        "prompt": "load",
        "max_tokens": plan.tokens,
        "stream": True,
    }
    headers = {"X-Caller": f"caller-{arrival.caller}", "X-Deadline-Ms": str(plan.deadline_ms)}
    url = f"http://{arrival.target}/v1/completions"
    timeout = aiohttp.ClientTimeout(total=plan.deadline_ms / 1000.0 + 10.0)
    try:
        async with session.post(url, json=doc, headers=headers, timeout=timeout) as resp:
            if resp.status != 200:
                results.outcomes[await _refusal_outcome(resp)] += 1
                return
            await _read_stream(resp, due, results)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        results.outcomes[f"lost:{type(exc).__name__}"] += 1


async def _refusal_outcome(resp: aiohttp.ClientResponse) -> str:
    doc = await resp.json(content_type=None)
    error = doc.get("error", {}) if isinstance(doc, dict) else {}
    return f"{error.get('outcome', resp.status)}:{error.get('reason', '')}"


async def _read_stream(resp: aiohttp.ClientResponse, due: float, results: Results) -> None:
    """Reads the server-sent events of one answer and records its latency and outcome."""
    loop = asyncio.get_running_loop()
    last = due
    seen = 0
    async for line in resp.content:
        if not line.startswith(b"data: "):
            continue
        if line.startswith(b"data: [DONE]"):
            results.outcomes["answered"] += 1
            record_latency(results.total, loop.time() - due)
            return
        doc = json.loads(line[6:])
        if "error" in doc:
            results.outcomes[f"{doc['error'].get('outcome')}:{doc['error'].get('reason')}"] += 1
            return
        if not doc["choices"][0].get("text"):
            continue
        now = loop.time()
        record_latency(results.between_tokens if seen else results.first_token, now - last)
        last = now
        seen += 1
        results.tokens += 1
    results.outcomes["cut"] += 1


def main() -> None:
    """Runs the load generator as a program; prints the results as JSON."""
    parser = argparse.ArgumentParser(
        description="open-loop load generator for wigeonarch's HTTP servers"
    )
    parser.add_argument("--targets", required=True, help="comma-separated IP:PORT on loopback")
    for field in msgspec.structs.fields(Plan):
        if field.name != "targets":
            option = "--" + field.name.replace("_", "-")
            parser.add_argument(option, type=type(field.default), default=field.default)
    options = vars(parser.parse_args())
    plan = Plan(targets=tuple(options.pop("targets").split(",")), **options)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run(plan))
    document = {"plan": msgspec.to_builtins(plan), "results": results.document(plan.seconds)}
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()

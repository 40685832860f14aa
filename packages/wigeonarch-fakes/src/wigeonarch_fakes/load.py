"""The load tool: open-loop arrivals of streamed completions, with histograms of what callers see.

Arrivals are a Poisson process fixed by the seed: a request is sent at its time whether or not
earlier ones have been answered, so a slow system is not asked less. Latency counts from the time
at which a request was due, which keeps waits in the tool itself from being left out.
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
    """What to send.

    Attributes:
        targets: `IP:PORT` of the doors, used in turn.
        service: Name of the model service.
        adapters: Number of adapters, named `a0`, `a1` and so on.
        skew: Exponent of the Zipf popularity; 0 for equal shares.
        rate: Requests a second.
        seconds: Length of the run.
        tokens: Tokens per request.
        deadline_ms: Deadline of each request.
        callers: Number of callers, used in turn.
        seed: Seed of arrivals and choices.
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
    """One request to send: `at` seconds after the start."""

    at: float
    target: str
    adapter: int
    caller: int


def schedule(plan: Plan) -> list[Arrival]:
    """Returns all requests of a run; the same for the same plan."""
    rng = Random(plan.seed)
    weights = [(rank + 1) ** -plan.skew for rank in range(plan.adapters)]
    shots: list[Arrival] = []
    at = rng.expovariate(plan.rate)
    while at < plan.seconds:
        adapter = rng.choices(range(plan.adapters), weights)[0] if plan.adapters > 1 else 0
        target = plan.targets[len(shots) % len(plan.targets)]
        shots.append(Arrival(at, target, adapter, rng.randrange(plan.callers)))
        at += rng.expovariate(plan.rate)
    return shots


class Results:
    """What callers saw."""

    __slots__ = ("between_tokens", "first_token", "outcomes", "tokens", "total")

    def __init__(self) -> None:
        self.first_token = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.between_tokens = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.total = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[str] = Counter()
        self.tokens = 0

    def document(self, seconds: float) -> dict[str, Any]:
        """Returns the figures as a document; times are milliseconds."""
        return {
            "ends": dict(sorted(self.outcomes.items())),
            "answered_per_s": round(self.outcomes["answered"] / seconds, 2),
            "tokens_per_s": round(self.tokens / seconds, 1),
            "first_token_ms": _percentiles(self.first_token),
            "between_tokens_ms": _percentiles(self.between_tokens),
            "whole_ms": _percentiles(self.total),
        }


def _percentiles(histogram: Any) -> dict[str, float]:
    found = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
    return {name: round(value, 3) for name, value in found.items()}


def record_latency(histogram: Any, seconds: float) -> None:
    """Records a duration in a histogram of microseconds."""
    histogram.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, math.ceil(seconds * US_PER_S))))


async def run(plan: Plan, arrivals: Sequence[Arrival] | None = None) -> Results:
    """Sends all requests of a plan and waits for their ends."""
    results = Results()
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = loop.time()
        tasks = []
        for shot in arrivals if arrivals is not None else schedule(plan):
            await asyncio.sleep(max(0.0, start + shot.at - loop.time()))
            work = _send(session, plan, shot, start + shot.at, results)
            tasks.append(asyncio.create_task(work))
        await asyncio.gather(*tasks)
    return results


async def _send(
    session: aiohttp.ClientSession, plan: Plan, shot: Arrival, due: float, results: Results
) -> None:
    doc = {
        "model": f"{plan.service}/a{shot.adapter}",
        "prompt": "load",
        "max_tokens": plan.tokens,
        "stream": True,
    }
    headers = {"X-Caller": f"caller-{shot.caller}", "X-Deadline-Ms": str(plan.deadline_ms)}
    url = f"http://{shot.target}/v1/completions"
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
    """Reads server-sent events to their end."""
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
    """Runs the load tool as a program; prints one JSON document."""
    parser = argparse.ArgumentParser(description="open-loop load on wigeonarch's HTTP doors")
    parser.add_argument("--targets", required=True, help="comma-separated IP:PORT on loopback")
    for field in msgspec.structs.fields(Plan):
        if field.name != "targets":
            option = "--" + field.name.replace("_", "-")
            parser.add_argument(option, type=type(field.default), default=field.default)
    given = vars(parser.parse_args())
    plan = Plan(targets=tuple(given.pop("targets").split(",")), **given)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run(plan))
    document = {"plan": msgspec.to_builtins(plan), "results": results.document(plan.seconds)}
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()

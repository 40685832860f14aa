"""The process bench: what wigeonarch adds to a request, and what a core carries.

Three entry instances in three zones, with engine stand-ins, are started as processes of their own.
The same engine is then asked directly and through wigeonarch in one run, with the same arrivals;
the difference of the percentiles is what wigeonarch adds. Adapters are loaded beforehand, so that
no load stall is in the figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec
import uvloop

from wigeonarch_fakes import catalogue_setup as setting_up
from wigeonarch_fakes import load, usage
from wigeonarch_fakes.processes import Deployment, call, deployment, wait_for

ZONES: Final = ("zone-a", "zone-b", "zone-c")
SERVICE: Final = "drafting"
ENGINE_ARGS: Final = (*("--max-batch", "64"), *("--base-ms", "10"), *("--load-ms", "20"))
SETTLE_S: Final = 2.0


def start_deployment(dep: Deployment, engines: int, adapters: int) -> list[str]:
    """Starts platform, engines and one entry instance per zone; returns the doors' addresses."""
    platform = dep.start_platform()
    dep.start_stand_in(
        "many",
        "engines",
        *("--platform", platform.address, "--zones", ",".join(ZONES), "--service", SERVICE),
        *("--count", str(engines), "--slots", str(adapters), *ENGINE_ARGS),
    )
    for zone in ZONES:
        dep.start_entry(f"entry-{zone}", zone, log_level="WARNING")
    names = [f"entry-{zone}" for zone in ZONES]
    dep.wait_ready(*names)
    setting_up.create_model_service(dep.entries[names[0]]["rpc"], SERVICE, adapters)
    doors = [dep.address(name) for name in names]
    for door in doors:
        for adapter in range(adapters):
            _load_adapter(door, adapter)
    return doors


def _load_adapter(door: str, adapter: int) -> None:
    doc = {"model": f"{SERVICE}/a{adapter}", "prompt": "warm", "max_tokens": 2}
    wait_for(lambda: call("POST", f"{door}/v1/completions", doc)[0] == 200, f"a{adapter} warm")


async def run_direct(address: str, plan: load.Plan) -> load.Results:
    """Sends the plan's arrivals straight to one engine stand-in."""
    results = load.Results()
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        order = {"fence": 1, "adapter": "a0", "version": "v1"}
        async with session.post(f"http://{address}/v1/adapters/load", json=order) as resp:
            resp.raise_for_status()
        begin = loop.time()
        tasks = []
        for number, shot in enumerate(load.schedule(plan)):
            await asyncio.sleep(max(0.0, begin + shot.at - loop.time()))
            work = _send_direct(session, address, plan, number, begin + shot.at, results)
            tasks.append(asyncio.create_task(work))
        await asyncio.gather(*tasks)
    return results


async def _send_direct(
    session: aiohttp.ClientSession,
    address: str,
    plan: load.Plan,
    number: int,
    due: float,
    results: load.Results,
) -> None:
    loop = asyncio.get_running_loop()
    doc = {
        "dispatch": f"direct-{number}",
        "adapter": "a0",
        "version": "v1",
        "prompt": "load",
        "max_tokens": plan.tokens,
        "priority": 0,
        "deadline_ms": plan.deadline_ms,
    }
    last, seen = due, 0
    async with session.post(f"http://{address}/v1/generate", json=doc) as resp:
        if resp.status != 200:
            results.outcomes[f"status:{resp.status}"] += 1
            return
        async for line in resp.content:
            chunk = json.loads(line)
            now = loop.time()
            load.record_latency(results.between_tokens if seen else results.first_token, now - last)
            last, seen = now, seen + 1
            results.tokens += 1
            if chunk["final"]:
                results.outcomes["answered"] += 1
                load.record_latency(results.total, now - due)


def measure(rate: float, seconds: float, tokens: int, adapters: int, engines: int) -> Any:
    """Runs both ways at one rate; returns the figures as a document."""
    with tempfile.TemporaryDirectory() as folder, deployment(Path(folder)) as dep:
        doors = start_deployment(dep, engines, adapters)
        alone = dep.start_stand_in("engine", "alone", *ENGINE_ARGS, "--slots", "1")
        plan = load.Plan(
            targets=tuple(doors), adapters=adapters, rate=rate, seconds=seconds, tokens=tokens
        )
        # One engine gets directly what each of the others gets through the doors.
        share = msgspec.structs.replace(plan, rate=rate / engines)
        straight = _run_coroutine(run_direct(alone.address, share))
        time.sleep(SETTLE_S)  # The stand-ins end what the direct run left behind.
        pids = {name: dep.programs[name].process.pid for name in dep.entries}
        before = {name: usage.read_usage(pid, dep.address(name)) for name, pid in pids.items()}
        through = run_load(plan)
        after = {name: usage.read_usage(pid, dep.address(name)) for name, pid in pids.items()}
    spent = sum(after[name].since(before[name]).cpu_s for name in pids)
    document = through.document(seconds)
    answered = max(1, through.outcomes["answered"])
    return {
        "rate": rate,
        "direct": straight.document(seconds),
        "through": document,
        "added_first_token_ms": _added_latency(straight, through, "first_token_ms", seconds),
        "added_between_tokens_ms": _added_latency(straight, through, "between_tokens_ms", seconds),
        "cpu_s": round(spent, 3),
        "requests_per_core_s": round(answered / spent, 1),
        "tokens_per_core_s": round(through.tokens / spent, 1),
        "rss_mib": {name: round(each.rss_mib, 1) for name, each in after.items()},
    }


def run_load(plan: load.Plan) -> load.Results:
    """Runs a plan of the load tool to its end."""
    return _run_coroutine(load.run(plan))


def _run_coroutine(work: Any) -> load.Results:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results: load.Results = runner.run(work)
    return results


def _added_latency(
    straight: load.Results, through: load.Results, figure: str, seconds: float
) -> dict[str, float]:
    """Returns the difference of the percentiles, in milliseconds."""
    one = straight.document(seconds)[figure]
    two = through.document(seconds)[figure]
    return {name: round(two[name] - one[name], 3) for name in one}


def main() -> None:
    """Runs the bench as a program; prints one JSON document."""
    parser = argparse.ArgumentParser(description="latency added and load carried, per core")
    parser.add_argument("--rates", default="20,60,120", help="requests a second, comma-separated")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=50)
    parser.add_argument("--adapters", type=int, default=6)
    parser.add_argument("--engines", type=int, default=6)
    args = parser.parse_args()
    rates = [float(rate) for rate in args.rates.split(",")]
    runs = [measure(rate, args.seconds, args.tokens, args.adapters, args.engines) for rate in rates]
    print(json.dumps({"bench": "processes", "runs": runs}, indent=2))


if __name__ == "__main__":
    main()

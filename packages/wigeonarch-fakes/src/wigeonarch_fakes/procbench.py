"""Benchmark of the latency that wigeonarch adds and of the load that one CPU core serves.

Three entry instances in three zones and the engine stand-ins run as separate processes. Each run
sends requests directly to one engine, then through wigeonarch to several equal engines; the direct
rate is the share of one engine. The difference of the latency percentiles is the latency that
wigeonarch adds. Adapters are loaded beforehand, so that the figures include no adapter loads.
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

from wigeonarch_fakes import catalogue_setup, load, usage
from wigeonarch_fakes.processes import Deployment, call, deployment, wait_for

ZONES: Final = ("zone-a", "zone-b", "zone-c")
SERVICE: Final = "drafting"
ENGINE_ARGS: Final = (*("--max-batch", "64"), *("--base-ms", "10"), *("--load-ms", "20"))
SETTLE_S: Final = 2.0


def start_deployment(dep: Deployment, engines: int, adapters: int) -> list[str]:
    """Starts the platform, engines and one entry instance per zone, and loads all adapters.

    Returns:
        HTTP addresses of the entry instances.
    """
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
    catalogue_setup.create_model_service(dep.entries[names[0]]["rpc"], SERVICE, adapters)
    servers = [dep.address(name) for name in names]
    for server in servers:
        for adapter in range(adapters):
            _load_adapter(server, adapter)
    return servers


def _load_adapter(server: str, adapter: int) -> None:
    doc = {"model": f"{SERVICE}/a{adapter}", "prompt": "warm", "max_tokens": 2}
    wait_for(
        lambda: call("POST", f"{server}/v1/completions", doc)[0] == 200, f"a{adapter} is loaded"
    )


async def run_direct(address: str, plan: load.Plan) -> load.Results:
    """Sends the plan's arrivals directly to one engine stand-in."""
    results = load.Results()
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        order = {"fence": 1, "adapter": "a0", "version": "v1"}
        async with session.post(f"http://{address}/v1/adapters/load", json=order) as resp:
            resp.raise_for_status()
        start = loop.time()
        tasks = []
        for number, arrival in enumerate(load.schedule(plan)):
            await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
            request = _send_direct(session, address, plan, number, start + arrival.at, results)
            tasks.append(asyncio.create_task(request))
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
    """Sends requests directly and through wigeonarch at one rate; returns the figures."""
    with tempfile.TemporaryDirectory() as folder, deployment(Path(folder)) as dep:
        servers = start_deployment(dep, engines, adapters)
        direct_engine = dep.start_stand_in("engine", "alone", *ENGINE_ARGS, "--slots", "1")
        plan = load.Plan(
            targets=tuple(servers), adapters=adapters, rate=rate, seconds=seconds, tokens=tokens
        )
        # The engine called directly gets the same rate as each engine behind wigeonarch.
        direct_plan = msgspec.structs.replace(plan, rate=rate / engines)
        direct_results = _run_coroutine(run_direct(direct_engine.address, direct_plan))
        # Lets the engine finish requests left over from the direct run.
        time.sleep(SETTLE_S)
        pids = {name: dep.programs[name].process.pid for name in dep.entries}
        before = {name: usage.read_usage(pid, dep.address(name)) for name, pid in pids.items()}
        routed_results = run_load(plan)
        after = {name: usage.read_usage(pid, dep.address(name)) for name, pid in pids.items()}
    cpu_s = sum(after[name].since(before[name]).cpu_s for name in pids)
    document = routed_results.document(seconds)
    answered = max(1, routed_results.outcomes["answered"])
    return {
        "rate": rate,
        "direct": direct_results.document(seconds),
        "through": document,
        "added_first_token_ms": _added_latency(
            direct_results, routed_results, "first_token_ms", seconds
        ),
        "added_between_tokens_ms": _added_latency(
            direct_results, routed_results, "between_tokens_ms", seconds
        ),
        "cpu_s": round(cpu_s, 3),
        "requests_per_core_s": round(answered / cpu_s, 1),
        "tokens_per_core_s": round(routed_results.tokens / cpu_s, 1),
        "rss_mib": {name: round(each.rss_mib, 1) for name, each in after.items()},
    }


def run_load(plan: load.Plan) -> load.Results:
    """Runs a plan of the load generator to its end."""
    return _run_coroutine(load.run(plan))


def _run_coroutine(coroutine: Any) -> load.Results:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results: load.Results = runner.run(coroutine)
    return results


def _added_latency(
    direct_results: load.Results, routed_results: load.Results, figure: str, seconds: float
) -> dict[str, float]:
    """Returns the differences between the latency percentiles, in milliseconds."""
    direct = direct_results.document(seconds)[figure]
    routed = routed_results.document(seconds)[figure]
    return {name: round(routed[name] - direct[name], 3) for name in direct}


def main() -> None:
    """Runs the benchmark as a program; prints the figures as JSON."""
    parser = argparse.ArgumentParser(
        description="latency added by wigeonarch and load served per CPU core"
    )
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

"""Demo that runs a small deployment in one process and checks each of its main functions.

python -m wigeonarch_fakes.demo            # runs the steps, prints a summary, exits with 0 or 1
python -m wigeonarch_fakes.demo --serve    # if all pass, leaves the deployment running
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from typing import Final

import aiohttp
import grpc
import uvloop
from wigeonarch_runtime import logs

from wigeonarch_fakes.demo_fleet import PLAIN_SERVICE, DemoFleet, Plan, demo_fleet
from wigeonarch_fakes.demo_steps import MODEL, STEPS, Result, Step, StepContext, make_context

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
STEP_TIMEOUT_S: Final = 25.0

EXAMPLE_COMMANDS: Final = """
The deployment is running; press Ctrl-C to stop it. In another terminal:

  curl -s {http}/v1/models
  curl -s {http}/v1/completions -H 'Content-Type: application/json' \\
      -d '{{"model": "{model}", "prompt": "Madras blend, 40 kg", "max_tokens": 8}}'
  curl -sN {http}/v1/chat/completions -H 'Content-Type: application/json' \\
      -d '{{"model": "{model}", "messages": [{{"role": "user", "content": "hi"}}], "stream": true}}'
  curl -s {http}/v1/services/{plain}/confirm -H 'Idempotency-Key: my-key-1' -d '{{"order": 1}}'
  curl -s {http}/metrics

  export WIGEONARCH_SERVER={rpc}
  .venv/bin/wigeonctl status
  .venv/bin/wigeonctl rule get {model}
  .venv/bin/wigeonctl submit {model} --prompt 'Madras blend, 40 kg' --stream
  .venv/bin/wigeonctl explain REQUEST-ID
"""


def main(argv: list[str] | None = None) -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m wigeonarch_fakes.demo", description=__doc__)
    parser.add_argument("--serve", action="store_true", help="leave the deployment running")
    args = parser.parse_args(argv)
    logs.set_up("WARNING", instance="demo")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_demo(args.serve))


async def _demo(serve: bool) -> int:
    started = time.monotonic()
    _print("three availability zones, each with an entry instance, an engine and a plain service\n")
    async with demo_fleet(Plan()) as fleet:
        results = await _run_steps(fleet)
        failed = sum(not result.ok for result in results)
        elapsed = time.monotonic() - started
        _print(f"\n{len(results) - failed} of {len(results)} steps passed in {elapsed:.1f} s\n")
        if serve and not failed:
            await _serve(fleet)
    return EXIT_FAILED if failed else EXIT_OK


async def _run_steps(fleet: DemoFleet) -> list[Result]:
    first = next(iter(fleet.nodes))
    async with (
        aiohttp.ClientSession() as http,
        grpc.aio.insecure_channel(fleet.rpc_address(first)) as channel,
    ):
        context = make_context(fleet, http, channel, _print)
        return [await _run_step(context, step) for step in STEPS]


async def _run_step(context: StepContext, step: Step) -> Result:
    _print(f"\n{step.title}\n")
    try:
        result = await asyncio.wait_for(step.run(context), STEP_TIMEOUT_S)
    except (TimeoutError, OSError, aiohttp.ClientError, grpc.aio.AioRpcError) as exc:
        result = Result(False, repr(exc))
    _print(f"  {'ok' if result.ok else 'FAILED'}: {result.detail}\n")
    return result


async def _serve(fleet: DemoFleet) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    first = next(iter(fleet.nodes))
    _print(
        EXAMPLE_COMMANDS.format(
            http=fleet.http_url(first),
            rpc=fleet.rpc_address(first),
            model=MODEL,
            plain=PLAIN_SERVICE,
        )
    )
    await stopped.wait()


def _print(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())

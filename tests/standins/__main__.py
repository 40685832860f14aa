"""Runs one stand-in as a process: `python -m standins store`, `python -m standins replica ...`.

The first line on standard output is `ready ADDRESS`. A replica also prints `ran ID` for each
request that it starts to run.
"""

from __future__ import annotations

import argparse
import asyncio

from standins.replica import ReceivedRequest, Replica
from standins.store import StoreStandIn


class PrintedExecutions(list[ReceivedRequest]):
    """A list of executed requests that prints the id of each one added."""

    def append(self, request: ReceivedRequest) -> None:
        """Adds a request and prints its id."""
        super().append(request)
        print("ran", request.headers.get("x-request-id", ""), flush=True)


async def run(args: argparse.Namespace) -> None:
    """Serves until the process is killed."""
    if args.what == "store":
        store = StoreStandIn()
        await store.start()
        print("ready", store.address, flush=True)
    else:
        replica = Replica(
            args.service, args.zone, args.model, name=args.name, executed=PrintedExecutions()
        )
        replica.load_time = args.load_time
        await replica.start()
        print("ready", replica.address, flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in named on the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins", description=__doc__)
    parser.add_argument("what", choices=["store", "replica"])
    parser.add_argument("--service", default="")
    parser.add_argument("--zone", default="a")
    parser.add_argument(
        "--model", default="", help="model that it serves; empty for a plain service"
    )
    parser.add_argument("--name", default="i-1")
    parser.add_argument("--load-time", type=float, default=0.1, help="seconds")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()

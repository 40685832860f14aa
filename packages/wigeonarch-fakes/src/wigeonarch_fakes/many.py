"""Hosts many engine stand-ins in one process, so that large deployments fit on one machine.

The engines are registered in the platform's instance list before the ready line is printed. Their
steps are long and their reports short, so that benchmarks measure the entry instance rather than
the stand-ins.
"""

from __future__ import annotations

import aiohttp
import msgspec

from wigeonarch_fakes import serving
from wigeonarch_fakes.engine import RunningEngine, start_engine
from wigeonarch_fakes.engine_documents import Settings


class HostedEngines:
    """Engine stand-ins hosted in this process.

    Attributes:
        address: Address of the first engine.
        engines: The engines, by name.
    """

    __slots__ = ("address", "engines")

    def __init__(self, engines: dict[str, RunningEngine]) -> None:
        self.engines = engines
        self.address = next(iter(engines.values())).address

    async def stop(self) -> None:
        """Stops all engines."""
        for engine in self.engines.values():
            await engine.stop()


async def host_engines(
    platform: str, zones: list[str], service: str, count: int, settings: Settings
) -> HostedEngines:
    """Starts `count` engines spread over the zones and registers them with the platform."""
    engines: dict[str, RunningEngine] = {}
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f"{service}-{zone}-{number}"
            engines[name] = await start_engine(0, settings)
            item = {
                "name": name,
                "address": engines[name].address,
                "zone": zone,
                "role": "engine",
                "service": service,
                "state": "live",
            }
            url = f"http://{platform}/v1/instances/{name}"
            async with session.put(url, data=msgspec.json.encode(item)) as resp:
                resp.raise_for_status()
    return HostedEngines(engines)


def main() -> None:
    """Runs the hosted engines as a program."""
    parser = serving.common_parser("many stand-ins for model engines in one process")
    parser.add_argument("--platform", required=True, metavar="IP:PORT")
    parser.add_argument("--zones", required=True, help="comma-separated")
    parser.add_argument("--service", required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--base-ms", type=float, default=20.0)
    parser.add_argument("--load-ms", type=float, default=300.0)
    args = parser.parse_args()
    settings = Settings(
        slots=args.slots, max_batch=args.max_batch, base_ms=args.base_ms, load_ms=args.load_ms
    )
    zones = args.zones.split(",")
    serving.run_main(lambda: host_engines(args.platform, zones, args.service, args.count, settings))


if __name__ == "__main__":
    main()

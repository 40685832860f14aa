"""Stand-in for the weight store: transfers adapter weights at a limited bandwidth.

At most ``rate`` transfers may start per second; others get 429 with ``Retry-After``. Concurrent
transfers share the bandwidth ``bytes_per_s`` evenly.

Faults (``POST /_control/faults``, merged into the current ones; null or 0 clears a fault):

* ``fail_partway``: the next N transfers break off after half of their bytes.
* ``slow_factor``: transfers take longer by this factor.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving

DEFAULT_BYTES: Final = 1_000_000
PIECE_DURATION_S: Final = 0.02


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; see the module docstring."""

    fail_partway: int = 0
    slow_factor: float = 0


class Transfer(msgspec.Struct):
    """One transfer.

    Its outcome is ``whole``, ``failed`` by a fault, or ``broken`` if the connection was lost.
    """

    adapter: str
    version: str
    bytes_wanted: int
    bytes_sent: int = 0
    took_ms: float = 0
    outcome: str = ""


class WeightStore:
    """State and HTTP handlers of the weight store."""

    def __init__(self, rate: float, bytes_per_s: float) -> None:
        self.faults = Faults()
        self.transfers: list[Transfer] = []
        self.rate_limited = 0
        self.peak_open = 0
        self._open = 0
        self._bytes_per_s = bytes_per_s
        self._start_limit = serving.TokenBucket(rate)

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(middlewares=[serving.refuse_malformed])
        app.add_routes(
            [
                web.get("/v1/weights/{adapter}/{version}", self._get),
                web.post("/_control/faults", self._set_faults),
                web.get("/_control/record", self._record),
            ]
        )
        return app

    def record(self) -> dict[str, Any]:
        """Return the record of what the weight store really did."""
        return {
            "transfers": self.transfers,
            "rate_limited": self.rate_limited,
            "open": self._open,
            "peak_open": self.peak_open,
        }

    async def _get(self, request: web.Request) -> web.StreamResponse:
        size = max(0, int(request.query.get("bytes", DEFAULT_BYTES)))
        wait_s = self._start_limit.take()
        if wait_s > 0:
            self.rate_limited += 1
            return serving.error_response(429, "rate_limited", retry_after_s=round(wait_s, 3))
        names = request.match_info
        transfer = Transfer(names["adapter"], names["version"], size)
        self.transfers.append(transfer)
        return await self._transfer(request, transfer)

    async def _transfer(self, request: web.Request, transfer: Transfer) -> web.StreamResponse:
        is_failing = self.faults.fail_partway > 0
        if is_failing:
            self.faults.fail_partway -= 1
        started = time.monotonic()
        self._open += 1
        self.peak_open = max(self.peak_open, self._open)
        transfer.outcome = "broken"
        try:
            response = web.StreamResponse(headers={"Content-Length": str(transfer.bytes_wanted)})
            await response.prepare(request)
            until = transfer.bytes_wanted // 2 if is_failing else transfer.bytes_wanted
            await self._send(response, transfer, until)
            transfer.outcome = "failed" if is_failing else "whole"
        except ConnectionError:
            return serving.drop_connection(request)
        finally:
            self._open -= 1
            transfer.took_ms = round((time.monotonic() - started) * 1000, 3)
        return serving.drop_connection(request) if is_failing else response

    async def _send(self, response: web.StreamResponse, transfer: Transfer, until: int) -> None:
        """Send the first ``until`` bytes, paced at this transfer's share of the bandwidth."""
        due = time.monotonic()
        while transfer.bytes_sent < until:
            share = self._bytes_per_s / self._open / (self.faults.slow_factor or 1.0)
            piece = min(until - transfer.bytes_sent, max(1, int(share * PIECE_DURATION_S)))
            due += piece / share
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await response.write(bytes(piece))
            transfer.bytes_sent += piece

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = serving.merge_document(self.faults, await request.read())
        return serving.json_response(self.faults)

    async def _record(self, request: web.Request) -> web.Response:
        return serving.json_response(self.record())


class RunningWeightStore:
    """A running weight store with its HTTP server."""

    __slots__ = ("_server", "address", "store")

    def __init__(self, store: WeightStore, server: serving.Server) -> None:
        self.store = store
        self.address = server.address
        self._server = server

    async def stop(self) -> None:
        """Stop the HTTP server."""
        await self._server.stop()


async def start_weight_store(
    port: int = 0, *, rate: float = 0, bytes_per_s: float = 100e6
) -> RunningWeightStore:
    """Start a weight store on a loopback port; rate 0 means no limit on starts."""
    store = WeightStore(rate, bytes_per_s)
    return RunningWeightStore(store, await serving.start_app(store.app(), port))


def main() -> None:
    """Run the weight store as a program."""
    parser = serving.common_parser("stand-in for the weight store")
    parser.add_argument(
        "--rate", type=float, default=0, help="maximum transfers started per second; 0 for no limit"
    )
    parser.add_argument("--bytes-per-s", type=float, default=100e6)
    args = parser.parse_args()
    serving.run_main(
        lambda: start_weight_store(args.port, rate=args.rate, bytes_per_s=args.bytes_per_s)
    )


if __name__ == "__main__":
    main()

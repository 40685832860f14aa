"""Client of model engines; the only module that knows their protocol.

A generation is read as a series of tagged results: chunks in order without gaps, then one ending.
Whatever comes for another dispatch or twice never reaches the caller of this module.

Only reports, which are read all the time and may be lost, use pooled connections. A pooled one may
have gone silent without either end knowing, and the client library sends a GET or DELETE again by
itself when one drops; so generations, their resumes and orders each open a new connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import msgspec
from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.lifecycle import Event
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.reorder_buffer import ReorderBuffer

from wigeonarch_entry.sending import CheckedConnector, NoLongerUsableError, send_only_if
from wigeonarch_entry.streamlines import StreamLines

_OK: Final = 200
_MAX_LINE_BYTES: Final = 1 << 20

# What an engine answers before it runs anything; all of them promise that it did not run.
DECLINE_REASONS: Final = {
    "leaving": Reason.ENDPOINT_LEAVING,
    "overloaded": Reason.ENDPOINT_OVERLOADED,
    "not_loaded": Reason.NOT_LOADED,
}


class Chunk(msgspec.Struct):
    """One line of a generation's stream."""

    dispatch: str
    seq: int
    text: str
    tokens: int
    adapter: str
    version: str
    final: bool
    finish: str = ""


@dataclass(frozen=True, slots=True)
class Generation:
    """What an engine is to generate.

    Attributes:
        dispatch: Id of this dispatch.
        target: Adapter version to use.
        prompt: The prompt.
        max_tokens: Most tokens to generate.
        priority: Greater goes first.
        remaining: Seconds until the hard deadline.
    """

    dispatch: str
    target: AdapterVersion
    prompt: str
    max_tokens: int
    priority: int
    remaining: float


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The stream ended without its final chunk.

    Attributes:
        event: What happened, for the state table of requests.
        reason: Why.
        sent: Whether the engine may have received the request.
    """

    event: Event
    reason: Reason
    sent: bool


@dataclass(frozen=True, slots=True)
class OrderResult:
    """How an order to an engine ended; `reason` is the engine's word when it is not done."""

    done: bool
    reason: str = ""


_CONNECT_FAILED: Final = StreamBroken(Event.CONNECT_FAILED, Reason.UNREACHABLE, False)
_LOST: Final = StreamBroken(Event.LOST, Reason.CONNECTION_LOST, True)
_SILENT: Final = StreamBroken(Event.SILENT, Reason.SILENT, True)
_MISMATCH: Final = StreamBroken(Event.MISMATCH, Reason.WRONG_ADAPTER, True)


class EngineClient:
    """Calls to model engines."""

    __slots__ = ("_connect_timeout", "_pooled", "_unpooled")

    def __init__(self, connect_timeout: float, source: str = "") -> None:
        """Makes the client; `source` is the IP that connections come from, if it matters."""
        self._connect_timeout = connect_timeout
        local = (source, 0) if source else None
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0, local_addr=local)
        )
        self._unpooled = aiohttp.ClientSession(
            connector=CheckedConnector(limit=0, force_close=True, local_addr=local),
            read_bufsize=_MAX_LINE_BYTES,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    def generate(
        self,
        address: str,
        gen: Generation,
        first: float,
        silence: float,
        usable: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Chunk | StreamBroken]:
        """Starts a generation and yields its chunks from sequence number 0.

        Args:
            address: `IP:PORT` of the engine.
            gen: What to generate.
            first: Longest wait for the first chunk, in seconds.
            silence: Longest wait for a further one, in seconds.
            usable: Asked last before the request is sent; if it does not hold, nothing is sent.
        """
        doc = {
            "dispatch": gen.dispatch,
            "adapter": gen.target.adapter,
            "version": gen.target.version,
            "prompt": gen.prompt,
            "max_tokens": gen.max_tokens,
            "priority": gen.priority,
            "deadline_ms": max(1, int(gen.remaining * 1000)),
        }
        url = f"http://{address}/v1/generate"
        return self._read("POST", url, doc, gen, 0, (first, silence), usable)

    def resume(
        self, address: str, gen: Generation, seq: int, silence: float
    ) -> AsyncIterator[Chunk | StreamBroken]:
        """Reads a running or finished generation from sequence number `seq` on."""
        url = f"http://{address}/v1/generate/{gen.dispatch}?from={seq}"
        return self._read("GET", url, None, gen, seq, (silence, silence))

    async def cancel(self, address: str, dispatch: str) -> bool:
        """Cancels a generation; False when the engine could not be told."""
        url = f"http://{address}/v1/generate/{dispatch}"
        timeout = aiohttp.ClientTimeout(total=self._connect_timeout * 2)
        try:
            async with self._unpooled.delete(url, timeout=timeout) as resp:
                return resp.status == _OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def load(
        self, address: str, fence: int, target: AdapterVersion, bound: float
    ) -> OrderResult:
        """Orders an engine to load an adapter version; returns once it is loaded or has failed."""
        return await self._send_order(address, "load", fence, target, bound)

    async def evict(
        self, address: str, fence: int, target: AdapterVersion, bound: float
    ) -> OrderResult:
        """Orders an engine to evict an adapter version."""
        return await self._send_order(address, "evict", fence, target, bound)

    async def report(self, address: str, bound: float) -> EngineReport | None:
        """Reads an engine's report; None when it cannot be had."""
        timeout = aiohttp.ClientTimeout(total=bound)
        try:
            async with self._pooled.get(f"http://{address}/v1/report", timeout=timeout) as resp:
                if resp.status != _OK:
                    return None
                return msgspec.json.decode(await resp.read(), type=EngineReport)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return None

    async def _send_order(
        self, address: str, order: str, fence: int, target: AdapterVersion, bound: float
    ) -> OrderResult:
        doc = {"fence": fence, "adapter": target.adapter, "version": target.version}
        timeout = aiohttp.ClientTimeout(total=bound, connect=self._connect_timeout)
        url = f"http://{address}/v1/adapters/{order}"
        try:
            async with self._unpooled.post(url, json=doc, timeout=timeout) as resp:
                if resp.status == _OK:
                    return OrderResult(True)
                return OrderResult(False, _error_reason(await resp.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return OrderResult(False, type(exc).__name__)

    async def _read(
        self,
        method: str,
        url: str,
        doc: dict[str, Any] | None,
        gen: Generation,
        seq: int,
        waits: tuple[float, float],
        usable: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Chunk | StreamBroken]:
        first, silence = waits
        timeout = aiohttp.ClientTimeout(total=None, connect=self._connect_timeout)
        sent = False
        try:
            request = self._unpooled.request(method, url, json=doc, timeout=timeout)
            with send_only_if(usable):
                async with asyncio.timeout(first):
                    resp = await request
            sent = True
            async with resp:
                if resp.status != _OK:
                    yield _decline(_error_reason(await resp.read()))
                    return
                async for item in _chunks(resp, gen, seq, (first, silence)):
                    yield item
        except (aiohttp.ClientConnectorError, NoLongerUsableError):
            yield _CONNECT_FAILED
        except aiohttp.ConnectionTimeoutError:
            yield _CONNECT_FAILED
        except TimeoutError:
            yield _SILENT
        except (aiohttp.ClientError, OSError):
            yield _LOST if sent or method == "POST" else _CONNECT_FAILED


async def _chunks(
    resp: aiohttp.ClientResponse, gen: Generation, seq: int, waits: tuple[float, float]
) -> AsyncIterator[Chunk | StreamBroken]:
    """Yields the chunks of one response in order from `seq` on, up to the final one."""
    wait, silence = waits
    lines = StreamLines(resp.content)
    order: ReorderBuffer[Chunk] = ReorderBuffer(seq)
    while True:
        line = await lines.next(wait)
        wait = silence
        chunk = _parse(line)
        if chunk is None:
            yield _LOST
            return
        if chunk.dispatch != gen.dispatch:
            continue
        if (chunk.adapter, chunk.version) != (gen.target.adapter, gen.target.version):
            yield _MISMATCH
            return
        ready = order.add(chunk.seq, chunk)
        if ready is None:
            yield _LOST
            return
        for each in ready:
            yield each
            if each.final:
                return


def _parse(line: bytes) -> Chunk | None:
    """Returns the chunk in a line, or None at the end of the stream or for a torn line."""
    if not line.endswith(b"\n"):
        return None
    try:
        return msgspec.json.decode(line, type=Chunk)
    except msgspec.DecodeError:
        return None


def _decline(word: str) -> StreamBroken:
    reason = DECLINE_REASONS.get(word)
    if reason is None:
        return StreamBroken(Event.ERROR, Reason.ENDPOINT_ERROR, True)
    return StreamBroken(Event.DECLINED, reason, True)


def _error_reason(text: bytes) -> str:
    try:
        doc = msgspec.json.decode(text, type=dict[str, dict[str, str]])
    except msgspec.DecodeError:
        return ""
    return doc.get("error", {}).get("reason", "")

"""Client of model engines; the only module that knows their protocol.

A generation is read as a stream of chunks in order of their sequence numbers, without gaps, that
ends with the final chunk or a `StreamBroken`. Duplicates and other dispatches' chunks are dropped.

Only reports, which are read all the time and may be lost, use pooled connections. A pooled
connection may have gone silent without either end noticing, and the HTTP library by itself repeats
a GET or DELETE whose pooled connection drops. So each generation, resume, cancellation and order
opens a new connection.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import msgspec
from wigeonarch_core.decoding import decode_json
from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.lifecycle import Event
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.reorder_buffer import ReorderBuffer
from wigeonarch_runtime.http_client import NO_TIMEOUT, TimedConnector
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_entry.sending import (
    CheckedConnector,
    NoLongerUsableError,
    SendCheck,
    checked,
)
from wigeonarch_entry.streamlines import StreamLines

_OK: Final = 200
_MAX_LINE_BYTES: Final = 1 << 20

# Reasons with which an engine declines a request; each guarantees that nothing of it ran.
DECLINE_REASONS: Final = {
    "leaving": Reason.ENDPOINT_LEAVING,
    "overloaded": Reason.ENDPOINT_OVERLOADED,
    "not_loaded": Reason.NOT_LOADED,
}


class Chunk(msgspec.Struct):
    """One line of a generation's stream.

    Attributes:
        dispatch: Id of the dispatch that the chunk belongs to.
        seq: Sequence number of the chunk, from 0.
        text: The text that it adds.
        tokens: Number of tokens in that text.
        adapter: Adapter that generated it.
        version: Version of that adapter.
        final: Whether it is the last chunk.
        finish: Why the generation finished; set in the last chunk.
    """

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
    """A generation to run on an engine.

    Attributes:
        dispatch: Id of this dispatch.
        target: Adapter version to use.
        prompt: The prompt.
        max_tokens: Largest number of tokens to generate.
        priority: Requests with a greater value go first.
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
        event: What happened, as an event of the state table in `wigeonarch_core.lifecycle`.
        reason: Why it happened.
        sent: Whether the engine may have received the request.
    """

    event: Event
    reason: Reason
    sent: bool


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order to an engine.

    Attributes:
        done: Whether the engine carried the order out.
        reason: If not, the reason that the engine gave, or the class name of the exception.
    """

    done: bool
    reason: str = ""


# Nothing was sent, as the grant expired first, for example while this process stood still.
_GRANT_EXPIRED: Final = StreamBroken(Event.REFUSED, Reason.LEASE_LOST, False)
_CONNECT_FAILED: Final = StreamBroken(Event.CONNECT_FAILED, Reason.UNREACHABLE, False)
_LOST: Final = StreamBroken(Event.LOST, Reason.CONNECTION_LOST, True)
_SILENT: Final = StreamBroken(Event.SILENT, Reason.SILENT, True)
_MISMATCH: Final = StreamBroken(Event.MISMATCH, Reason.WRONG_ADAPTER, True)


class EngineClient:
    """HTTP client for all model engines."""

    __slots__ = ("_connect_timeout", "_pooled", "_unpooled")

    def __init__(self, connect_timeout: float, source: str = "") -> None:
        """Makes the client.

        Args:
            connect_timeout: Longest time to open a connection, in seconds.
            source: Local IP address of the connections; empty to let the system choose.
        """
        self._connect_timeout = connect_timeout
        local = (source, 0) if source else None
        self._pooled = aiohttp.ClientSession(
            connector=TimedConnector(connect_timeout, keepalive_timeout=5.0, local_addr=local)
        )
        self._unpooled = aiohttp.ClientSession(
            connector=CheckedConnector(connect_timeout, force_close=True, local_addr=local),
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
        first_timeout: float,
        next_timeout: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Chunk | StreamBroken]:
        """Starts a generation and yields its chunks from sequence number 0.

        Args:
            address: `IP:PORT` of the engine.
            gen: What to generate.
            first_timeout: Longest wait for the first chunk, in seconds.
            next_timeout: Longest wait for each further chunk, in seconds.
            may_send: Called as the last step before the request is sent; if it returns False,
                nothing is sent.
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
        return self._read("POST", url, doc, gen, 0, (first_timeout, next_timeout), may_send)

    def resume(
        self, address: str, gen: Generation, seq: int, next_timeout: float
    ) -> AsyncIterator[Chunk | StreamBroken]:
        """Reads a running or finished generation again, from sequence number `seq`."""
        url = f"http://{address}/v1/generate/{gen.dispatch}?from={seq}"
        return self._read("GET", url, None, gen, seq, (next_timeout, next_timeout))

    async def cancel(self, address: str, dispatch: str) -> bool:
        """Cancels a generation; returns whether the engine has confirmed it."""
        url = f"http://{address}/v1/generate/{dispatch}"
        try:
            async with (
                timeout_after(self._connect_timeout * 2),
                self._unpooled.delete(url, timeout=NO_TIMEOUT) as resp,
            ):
                return resp.status == _OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def load(
        self, address: str, fence: int, target: AdapterVersion, time_limit: float
    ) -> OrderResult:
        """Orders an engine to load an adapter version; returns once the load has ended."""
        return await self._send_order(address, "load", fence, target, time_limit)

    async def evict(
        self, address: str, fence: int, target: AdapterVersion, time_limit: float
    ) -> OrderResult:
        """Orders an engine to evict an adapter version."""
        return await self._send_order(address, "evict", fence, target, time_limit)

    async def report(self, address: str, time_limit: float) -> EngineReport | None:
        """Reads an engine's report; returns None if that fails."""
        url = f"http://{address}/v1/report"
        try:
            async with (
                timeout_after(time_limit),
                self._pooled.get(url, timeout=NO_TIMEOUT) as resp,
            ):
                if resp.status != _OK:
                    return None
                return decode_json(await resp.read(), EngineReport)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def _send_order(
        self, address: str, order: str, fence: int, target: AdapterVersion, time_limit: float
    ) -> OrderResult:
        doc = {"fence": fence, "adapter": target.adapter, "version": target.version}
        url = f"http://{address}/v1/adapters/{order}"
        try:
            async with (
                timeout_after(time_limit),
                self._unpooled.post(url, json=doc, timeout=NO_TIMEOUT) as resp,
            ):
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
        timeouts: tuple[float, float],
        may_send: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Chunk | StreamBroken]:
        first_timeout, next_timeout = timeouts
        sent = False
        check = SendCheck(may_send)
        try:
            request = self._unpooled.request(method, url, json=doc, timeout=NO_TIMEOUT)
            with checked(check):
                async with timeout_after(first_timeout):
                    resp = await request
            sent = True
            async with resp:
                if resp.status != _OK:
                    yield _decline(_error_reason(await resp.read()))
                    return
                async for item in _chunks(resp, gen, seq, (first_timeout, next_timeout)):
                    yield item
        except NoLongerUsableError:
            yield _GRANT_EXPIRED
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            yield _CONNECT_FAILED
        except TimeoutError:
            yield _SILENT if check.passed else _CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            yield _LOST if sent or method == "POST" else _CONNECT_FAILED


async def _chunks(
    resp: aiohttp.ClientResponse, gen: Generation, seq: int, timeouts: tuple[float, float]
) -> AsyncIterator[Chunk | StreamBroken]:
    """Yields the chunks of one response in order from `seq`, up to the final one."""
    timeout, next_timeout = timeouts
    lines = StreamLines(resp.content)
    ordered: ReorderBuffer[Chunk] = ReorderBuffer(seq)
    while True:
        line = await lines.next(timeout)
        timeout = next_timeout
        chunk = _parse(line)
        if chunk is None:
            yield _LOST
            return
        if chunk.dispatch != gen.dispatch:
            continue
        if (chunk.adapter, chunk.version) != (gen.target.adapter, gen.target.version):
            yield _MISMATCH
            return
        ready = ordered.add(chunk.seq, chunk)
        if ready is None:
            yield _LOST
            return
        for chunk_in_order in ready:
            yield chunk_in_order
            if chunk_in_order.final:
                return


def _parse(line: bytes) -> Chunk | None:
    """Returns the chunk in a line; None at the end of the stream or for an incomplete line."""
    if not line.endswith(b"\n"):
        return None
    try:
        return decode_json(line, Chunk)
    except ValueError:
        return None


def _decline(engine_reason: str) -> StreamBroken:
    reason = DECLINE_REASONS.get(engine_reason)
    if reason is None:
        return StreamBroken(Event.ERROR, Reason.ENDPOINT_ERROR, True)
    return StreamBroken(Event.DECLINED, reason, True)


def _error_reason(body: bytes) -> str:
    try:
        doc = decode_json(body, dict[str, dict[str, str]])
    except ValueError:
        return ""
    return doc.get("error", {}).get("reason", "")

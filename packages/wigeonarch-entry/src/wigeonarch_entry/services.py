"""Client of plain services; the only module that knows their protocol.

A call that is not idempotent always uses a new connection: a pooled one may have gone silent
without either end noticing, and then it would be unknown whether the call ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import aiohttp
from wigeonarch_core.decoding import decode_json
from wigeonarch_core.lifecycle import Event
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.http_client import NO_TIMEOUT
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_entry.sending import CheckedConnector, NoLongerUsableError, send_only_if

KEY_HEADER: Final = "Idempotency-Key"
DISPATCH_HEADER: Final = "X-Dispatch"
_DECLINE_REASONS: Final = {
    "leaving": Reason.ENDPOINT_LEAVING,
    "overloaded": Reason.ENDPOINT_OVERLOADED,
}


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service.

    Attributes:
        dispatch: Id of this dispatch.
        operation: Name of the operation.
        body: JSON in UTF-8.
        key: Idempotency key; empty if there is none.
        idempotent: Whether the call may run more than once.
        remaining: Seconds until the hard deadline.
    """

    dispatch: str
    operation: str
    body: bytes
    key: str
    idempotent: bool
    remaining: float


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The service's response."""

    status: int
    body: str


@dataclass(frozen=True, slots=True)
class CallBroken:
    """A call that got no response, or that the service declined before it ran."""

    event: Event
    reason: Reason


_NOT_SENT_IN_TIME: Final = CallBroken(Event.REFUSED, Reason.DEADLINE)
_TIMED_OUT: Final = CallBroken(Event.SILENT, Reason.SILENT)


class ServiceClient:
    """HTTP client for the instances of all plain services."""

    __slots__ = ("_pooled", "_unpooled")

    def __init__(self, connect_timeout: float, source: str = "") -> None:
        """Makes the client.

        Args:
            connect_timeout: Longest time to open a connection, in seconds.
            source: Local IP address of the connections; empty to let the system choose.
        """
        local = (source, 0) if source else None
        self._pooled = aiohttp.ClientSession(
            connector=CheckedConnector(connect_timeout, keepalive_timeout=5.0, local_addr=local)
        )
        self._unpooled = aiohttp.ClientSession(
            connector=CheckedConnector(connect_timeout, force_close=True, local_addr=local)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def call(self, address: str, call: ServiceCall) -> ServiceReply | CallBroken:
        """Makes a call; returns the response, or why there is none."""
        session = self._pooled if call.idempotent else self._unpooled
        headers = {DISPATCH_HEADER: call.dispatch, "Content-Type": "application/json"}
        if call.key:
            headers[KEY_HEADER] = call.key
        url = f"http://{address}/v1/call/{call.operation}"
        deadline = monotonic() + call.remaining
        with send_only_if(lambda: monotonic() < deadline) as check:
            reply = await self._try_send(session, url, call, headers)
        if reply == _TIMED_OUT and not check.passed:
            return _NOT_SENT_IN_TIME
        return reply

    async def _try_send(
        self, session: aiohttp.ClientSession, url: str, call: ServiceCall, headers: dict[str, str]
    ) -> ServiceReply | CallBroken:
        """Sends a call; returns the response, or how the call failed."""
        try:
            return await self._send(session, url, call, headers)
        except NoLongerUsableError:
            return _NOT_SENT_IN_TIME
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return CallBroken(Event.CONNECT_FAILED, Reason.UNREACHABLE)
        except TimeoutError:
            return _TIMED_OUT
        except (aiohttp.ClientError, OSError):
            return CallBroken(Event.LOST, Reason.CONNECTION_LOST)

    @staticmethod
    async def _send(
        session: aiohttp.ClientSession, url: str, call: ServiceCall, headers: dict[str, str]
    ) -> ServiceReply | CallBroken:
        """Sends a call and reads its response, within the time that is left for it."""
        async with (
            timeout_after(call.remaining),
            session.post(url, data=call.body, headers=headers, timeout=NO_TIMEOUT) as resp,
        ):
            return _reply(resp, await resp.read(), call.dispatch)


def _reply(resp: aiohttp.ClientResponse, body: bytes, dispatch: str) -> ServiceReply | CallBroken:
    declined = _decline_reason(resp.status, body)
    if declined is not None:
        return CallBroken(Event.DECLINED, declined)
    if resp.headers.get(DISPATCH_HEADER, dispatch) != dispatch:
        return CallBroken(Event.MISMATCH, Reason.ENDPOINT_ERROR)
    return ServiceReply(resp.status, body.decode("utf-8", "replace"))


def _decline_reason(status: int, body: bytes) -> Reason | None:
    if status != 503:
        return None
    try:
        doc = decode_json(body, dict[str, dict[str, str]])
    except ValueError:
        return None
    return _DECLINE_REASONS.get(doc.get("error", {}).get("reason", ""))

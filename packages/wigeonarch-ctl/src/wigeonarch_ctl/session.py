"""Calls to one server, with each way they can fail turned into a value.

A connection is made before the first call is sent, so that "unreachable" means that nothing was
sent. After that a lost reply to a call with an effect is an unknown outcome, never "not run".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

import grpc
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_ctl import exits, texts

Request = TypeVar("Request")
Reply = TypeVar("Reply")

# A reply over a size limit would be dropped by the client after the request had run.
CHANNEL_OPTIONS: Final = (("grpc.max_receive_message_length", -1), ("grpc.enable_retries", 0))

# Only a server that refused the call before it did anything answers these.
REFUSAL_CODES: Final = frozenset(
    {
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.FAILED_PRECONDITION,
        grpc.StatusCode.PERMISSION_DENIED,
        grpc.StatusCode.UNAUTHENTICATED,
        grpc.StatusCode.UNIMPLEMENTED,
    }
)


@dataclass(frozen=True, slots=True)
class CallError:
    """A call without a reply.

    Attributes:
        exit_code: One of `exits`.
        message: What happened and what to do.
    """

    exit_code: int
    message: str


LostReplyHandler = Callable[[str, str], CallError]
"""Tells what a lost reply means, from the status code's name and its details."""


class Session:
    """A connection to one server.

    Attributes:
        server: Its address, `HOST:PORT`.
        timeout: Seconds that connecting, and each call, may take.
        catalogue: Stub of the configuration.
        requests: Stub of the requests.
        fleet: Stub of the fleet.
    """

    __slots__ = ("_channel", "catalogue", "fleet", "requests", "server", "timeout")

    def __init__(self, server: str, timeout: float) -> None:
        self.server = server
        self.timeout = timeout
        self._channel = grpc.insecure_channel(server, options=CHANNEL_OPTIONS)
        self.catalogue = rpc.CatalogueStub(self._channel)
        self.requests = rpc.RequestsStub(self._channel)
        self.fleet = rpc.FleetStub(self._channel)

    def connect(self) -> CallError | None:
        """Waits until the connection stands; returns an error if it does not within the timeout."""
        ready = grpc.channel_ready_future(self._channel)
        try:
            ready.result(timeout=self.timeout)
        except grpc.FutureTimeoutError:
            ready.cancel()
            text = texts.UNREACHABLE.format(server=self.server, timeout=self.timeout)
            return CallError(exits.UNREACHABLE, text)
        return None

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()

    def call(
        self,
        method: grpc.UnaryUnaryMultiCallable[Request, Reply],
        request: Request,
        lost: LostReplyHandler | None = None,
        missing: CallError | None = None,
    ) -> Reply | CallError:
        """Makes one call.

        Args:
            method: The call, of one of the stubs.
            request: Its request.
            lost: What a lost reply means; None for a call that only reads.
            missing: What "not found" means; None for the usual meaning.

        Returns:
            The reply, or why there is none.
        """
        try:
            return method(request, timeout=self.timeout)
        except grpc.RpcError as exc:
            if missing is not None and _code_and_details(exc)[0] is grpc.StatusCode.NOT_FOUND:
                return missing
            return self.error_of_failed_call(exc, lost or self._lost_read_reply)
        except KeyboardInterrupt:
            meaning = lost or self._lost_read_reply
            return meaning(grpc.StatusCode.CANCELLED.name, texts.INTERRUPTED_CALL)

    def error_of_failed_call(
        self, exc: grpc.RpcError, lost: LostReplyHandler, *, reply_started: bool = False
    ) -> CallError:
        """Returns what a failed call means.

        Args:
            exc: How it failed.
            lost: What a lost reply means.
            begun: Whether part of the reply has come, so that the call can't have been refused.
        """
        code, details = _code_and_details(exc)
        if reply_started:
            return lost(code.name, details)
        if code in REFUSAL_CODES:
            return CallError(exits.NOT_RUN, texts.REFUSED.format(code=code.name, details=details))
        if code is grpc.StatusCode.NOT_FOUND:
            return CallError(exits.NOT_RUN, texts.NOT_FOUND.format(details=details))
        return lost(code.name, details)

    def _lost_read_reply(self, code: str, details: str) -> CallError:
        text = texts.READ_LOST.format(server=self.server, code=code, details=details)
        return CallError(exits.UNREACHABLE, text)


def lost_reply_handler(text: str, **values: str) -> LostReplyHandler:
    """Returns the meaning of a lost reply to a call with an effect: an unknown outcome.

    Args:
        text: The message, with places for `code`, `details` and the values.
        values: What fills the other places of the message.
    """

    def lost(code: str, details: str) -> CallError:
        return CallError(exits.UNKNOWN, text.format(code=code, details=details, **values))

    return lost


def _code_and_details(exc: grpc.RpcError) -> tuple[grpc.StatusCode, str]:
    """Returns the code and the details of a failed call."""
    if isinstance(exc, grpc.Call):
        return exc.code(), exc.details() or ""
    return grpc.StatusCode.UNKNOWN, str(exc)

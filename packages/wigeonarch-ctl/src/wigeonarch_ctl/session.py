"""Makes calls to one server and returns their failures as values.

The session connects before it sends the first call, so the error "unreachable" there means that
nothing was sent. After that, a lost reply to a call that changes something is an unknown outcome,
never "not run".
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

# No limit on the size of replies: the client would drop a larger one after the request had run.
CHANNEL_OPTIONS: Final = (("grpc.max_receive_message_length", -1), ("grpc.enable_retries", 0))

# A server returns these codes only if it refused the call before doing anything.
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
    """The failure of a call that returned no reply.

    Attributes:
        exit_code: One of the codes of `exits`.
        message: What happened, and what the operator can do.
    """

    exit_code: int
    message: str


LostReplyHandler = Callable[[str, str], CallError]
"""Returns the error for a lost reply, given the name of the status code and its details."""


class Session:
    """A connection to one server.

    Attributes:
        server: Address of the server, `HOST:PORT`.
        timeout: Timeout in seconds for connecting and for each call.
        catalogue: Stub of the service for configuration entries.
        requests: Stub of the service for requests.
        fleet: Stub of the service for the state of the fleet.
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
        """Connects to the server; returns an error if that takes longer than the timeout."""
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
            method: A method of one of the stubs.
            request: The request message.
            lost: Returns the error for a lost reply; None for a call that only reads.
            missing: The error for the status "not found"; None for the default one.

        Returns:
            The reply, or the error if there is none.
        """
        try:
            return method(request, timeout=self.timeout)
        except grpc.RpcError as exc:
            if missing is not None and _code_and_details(exc)[0] is grpc.StatusCode.NOT_FOUND:
                return missing
            return self.error_of_failed_call(exc, lost or self._lost_read_reply)
        except KeyboardInterrupt:
            handler = lost or self._lost_read_reply
            return handler(grpc.StatusCode.CANCELLED.name, texts.INTERRUPTED_CALL)

    def error_of_failed_call(
        self, exc: grpc.RpcError, lost: LostReplyHandler, *, reply_started: bool = False
    ) -> CallError:
        """Returns the error for a failed call.

        Args:
            exc: The exception that the call raised.
            lost: Returns the error for a lost reply.
            reply_started: Whether part of the reply has arrived, so that the server can't have
                refused the call.
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
    """Returns the handler of lost replies for a call that changes something.

    Its error has the exit code for an unknown outcome.

    Args:
        text: The message, with placeholders for `code`, `details` and the keys of `values`.
        values: Values for the other placeholders of the message.
    """

    def lost(code: str, details: str) -> CallError:
        return CallError(exits.UNKNOWN, text.format(code=code, details=details, **values))

    return lost


def _code_and_details(exc: grpc.RpcError) -> tuple[grpc.StatusCode, str]:
    """Returns the status code and the details of a failed call."""
    if isinstance(exc, grpc.Call):
        return exc.code(), exc.details() or ""
    return grpc.StatusCode.UNKNOWN, str(exc)

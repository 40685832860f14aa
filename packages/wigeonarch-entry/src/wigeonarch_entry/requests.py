"""A caller's request, as the HTTP and RPC servers pass it to the dispatcher."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonarch_core.refs import AdapterVersion

# Sends a piece of the answer's text to the caller.
SendText = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Generate:
    """Text generation with one adapter version."""

    target: AdapterVersion
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class Call:
    """A call to a plain service; `body` is JSON in UTF-8."""

    service: str
    operation: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Attributes:
        id: Unique id, generated at receipt.
        work: What to run.
        caller: Name of the caller, for fair sharing.
        priority: Requests with a greater value go first.
        idempotent: Whether it may run more than once.
        key: Idempotency key; empty for idempotent requests without one.
        received: Monotonic time of receipt, in seconds.
        deadline: Monotonic time after which its answer is useless, in seconds.
        digest: Digest of the request as the caller wrote it; two requests with the same idempotency
            key must have the same digest.
    """

    id: str
    work: Generate | Call
    caller: str
    priority: int
    idempotent: bool
    key: str
    received: float
    deadline: float
    digest: str = ""

    @property
    def service(self) -> str:
        """Name of the service that the request is for."""
        return self.work.target.service if isinstance(self.work, Generate) else self.work.service

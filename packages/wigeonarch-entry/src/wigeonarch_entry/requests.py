"""A caller's request as the doors hand it to the dispatcher."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonarch_core.refs import AdapterVersion

SendText = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Generate:
    """Text generation by an adapter version."""

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
    """One request.

    Attributes:
        id: Unique id, made at receipt.
        work: What to run.
        caller: Who asks, for fair shares.
        priority: Greater goes first.
        idempotent: Whether it may run more than once.
        key: Idempotency key; empty for idempotent requests without one.
        received: Monotonic time of receipt, in seconds.
        deadline: Monotonic time at which its answer is worthless, in seconds.
        digest: Of what the caller asked for, as it wrote it; two requests with one idempotency key
            must agree in it.
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
        """Name of the service that is to answer."""
        return self.work.target.service if isinstance(self.work, Generate) else self.work.service

"""One engine owned by this instance, and what the owner duties share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from wigeonarch_core.decisions import Grant
from wigeonarch_core.engine_grants import EngineGrants
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.messages import GrantRequest, Message
from wigeonarch_core.options import Options
from wigeonarch_core.scheduler import EngineScheduler

from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import PlatformClient

Send = Callable[[str, Message], None]


@dataclass(slots=True)
class OwnedEngine:
    """One owned engine.

    Attributes:
        custody: What the owner may do there.
        scheduler: Its queue, pins and slots.
        wake: Set when the queue should be looked at.
        tasks: Work that ends with the ownership.
        asks: Last round of each ask that waits or is pinned.
        granted: Grants in use, to be told again.
        loads: Loads under way.
        successor: To whom it is being handed over; empty otherwise.
    """

    engine_grants: EngineGrants
    scheduler: EngineScheduler
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    requests: dict[str, GrantRequest] = field(default_factory=dict)
    sent_grants: dict[str, Grant] = field(default_factory=dict)
    loads: set[asyncio.Task[None]] = field(default_factory=set)
    successor: str = ""

    @property
    def engine(self) -> str:
        """Name of the engine."""
        return self.engine_grants.engine

    @property
    def fence(self) -> int:
        """Fencing number of the ownership."""
        return self.engine_grants.ownership.fence

    @property
    def bid_id(self) -> str:
        """Id of this engine's bid for the turn to load; one engine has one bid at a time."""
        return f"{self.engine}#{self.fence}"

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs work that ends with the ownership."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def start_load(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a load, which a hand-over waits for."""
        task = self.start(work)
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """What the owner duties share.

    Attributes:
        opts: Settings.
        platform: The platform.
        membership: This instance's place among the others.
        engines: Calls to engines.
        send: Delivers to any instance, this one included.
        metrics: Counters.
        checks_fence: Tells whether an endpoint of a service refuses old fencing numbers.
        owned: The owned engines, by name.
    """

    opts: Options
    platform: PlatformClient
    membership: Membership
    engines: EngineClient
    send: Send
    metrics: Metrics
    checks_fence: Callable[[str, str], bool]
    owned: dict[str, OwnedEngine] = field(default_factory=dict)

    @property
    def fleet(self) -> Fleet:
        """What is known of the deployment."""
        return self.membership.fleet

    @property
    def lease(self) -> HeldLease:
        """This instance's lease."""
        return self.membership.lease

    @property
    def identity(self) -> tuple[str, str]:
        """Name of this instance and nonce of this process."""
        return self.opts.instance, self.fleet.boot

    def address(self, engine: str) -> str | None:
        """Returns the address of an engine; None when it is gone."""
        endpoint = self.fleet.endpoints.get(engine)
        return None if endpoint is None else endpoint.listed.address

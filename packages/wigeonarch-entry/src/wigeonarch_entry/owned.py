"""The state of one engine owned by this instance, and the context shared by the owner duties."""

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
        engine_grants: The ownership, and the grants that requesters have been sent or declared.
        scheduler: The engine's queue, pins and slots.
        wake: Set when the scheduler should decide again.
        tasks: Tasks that are cancelled when the ownership ends.
        requests: Last round of each grant request that waits or is granted, by dispatch id.
        sent_grants: Grants in use, by dispatch id; sent again when the request is repeated.
        loads: Loads in progress.
        successor: Instance that the engine is being handed over to; empty otherwise.
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
        """Fencing token of the ownership."""
        return self.engine_grants.ownership.fence

    @property
    def bid_id(self) -> str:
        """Id of this engine's bid for a load permit; an engine has one bid at a time."""
        return f"{self.engine}#{self.fence}"

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs work in a task that is cancelled when the ownership ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def start_load(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a load in a task; a hand-over waits for it to end."""
        task = self.start(work)
        self.loads.add(task)
        task.add_done_callback(self.loads.discard)


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """Context shared by the owner duties.

    Attributes:
        opts: Settings.
        platform: Client of the platform.
        membership: This instance's lease and its view of the other instances.
        engines: Client of the engines.
        send: Sends a message to an instance, also to this one.
        metrics: Counters.
        checks_fence: Returns whether an endpoint (service, name) refuses orders with an old fencing
            token.
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
        """This instance's view of the deployment."""
        return self.membership.fleet

    @property
    def lease(self) -> HeldLease:
        """This instance's lease."""
        return self.membership.lease

    @property
    def identity(self) -> tuple[str, str]:
        """Name of this instance and the nonce of this process."""
        return self.opts.instance, self.fleet.boot

    def address(self, engine: str) -> str | None:
        """Returns the address of an engine; None if the engine is no longer listed."""
        endpoint = self.fleet.endpoints.get(engine)
        return None if endpoint is None else endpoint.listed.address

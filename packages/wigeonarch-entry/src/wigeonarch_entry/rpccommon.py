"""What the calls of the RPC door share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, TypeAlias

import grpc
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Reason

from wigeonarch_entry.configuration import Configuration
from wigeonarch_entry.dispatch import Dispatcher
from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.keys import IdempotencyKeys
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.refusals import Refusals

Context: TypeAlias = "grpc.aio.ServicerContext[Any, Any]"


@dataclass(frozen=True, slots=True)
class Dependencies:
    """What the RPC door passes calls on to."""

    opts: Options
    membership: Membership
    configuration: Configuration
    dispatcher: Dispatcher
    engines: EngineClient
    journal: Journal
    keys: IdempotencyKeys
    refusals: Refusals
    refusal_reason: Callable[[], Reason | None]
    drain: Callable[[], None]

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force here."""
        return self.configuration.catalogue

    @property
    def fleet(self) -> Fleet:
        """What is known of the deployment."""
        return self.membership.fleet


async def abort(context: Context, code: grpc.StatusCode, message: str) -> NoReturn:
    """Ends a call with a status other than OK."""
    await context.abort(code, message)
    raise AssertionError("abort raises")


async def abort_malformed(context: Context, message: str) -> NoReturn:
    """Ends a call whose message is malformed; nothing was done."""
    await abort(context, grpc.StatusCode.INVALID_ARGUMENT, message)

"""What the gRPC services share: their dependencies, and ways to end a call with an error."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, TypeAlias

import grpc
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.options import Options

from wigeonarch_entry.admission_gate import AdmissionGate
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
    """Components of the instance that the gRPC services use.

    Attributes:
        gate: Lets requests in when the instance may serve.
        drain: Starts the graceful shutdown of the instance.
    """

    opts: Options
    membership: Membership
    configuration: Configuration
    dispatcher: Dispatcher
    engines: EngineClient
    journal: Journal
    keys: IdempotencyKeys
    refusals: Refusals
    gate: AdmissionGate
    drain: Callable[[], None]

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue as of the last change applied here."""
        return self.configuration.catalogue

    @property
    def fleet(self) -> Fleet:
        """The instances and engines of the deployment, as known here."""
        return self.membership.fleet


async def abort(context: Context, code: grpc.StatusCode, message: str) -> NoReturn:
    """Ends a call with an error status."""
    await context.abort(code, message)
    raise AssertionError("abort raises")


async def abort_malformed(context: Context, message: str) -> NoReturn:
    """Ends a call whose message is malformed, before anything was done."""
    await abort(context, grpc.StatusCode.INVALID_ARGUMENT, message)

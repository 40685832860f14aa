"""Answers of the page `/route` of an instance, by the names of their fields in JSON.

The instance may be of an older or newer version: a field that it lacks has its default here, and
one that is not known here is left out. Times are in seconds; an age is None if it is infinite.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class Knowledge:
    """How up to date the instance is; `peer_lag` is the age of what others reported."""

    configuration: int | None = None
    configuration_age: float | None = None
    confirmed_by: str = ""
    may_be_behind: bool = False
    endpoints_age: float | None = None
    peer_lag: float = 0.0


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """The route, the service, and the request's rank; `split` has the weights of services."""

    name: str = ""
    host: str = ""
    prefix: str = ""
    kind: str = ""
    service: str = ""
    split: dict[str, int] = field(default_factory=dict)
    objective: float = 0.0
    timeout: float = 0.0
    attempts: int = 0
    rank: int = 0


@dataclass(frozen=True, slots=True)
class GenerationFacts:
    """What a generation needs; `version` is 0 if the adapter was never published."""

    model: str = ""
    adapter: str = ""
    version: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionFacts:
    """How admission decides; `left` is None if only `coordinator` knows."""

    decision: str = ""
    team: str = ""
    cost: float | None = None
    left: float | None = None
    rate: float | None = None
    burst: float | None = None
    wait: float = 0.0
    coordinator: str = ""


@dataclass(frozen=True, slots=True)
class CandidateFacts:
    """An endpoint; `figures` is what the choice is based on, whatever it consists of."""

    endpoint: str = ""
    address: str = ""
    zone: str = ""
    state: str = ""
    software: str = ""
    usable: bool = False
    paused: bool = False
    pause_left: float = 0.0
    cooldown: float = 0.0
    limit_wait: float = 0.0
    part_hold_left: float = 0.0
    expected: float | None = None
    crowded: bool = False
    owner: str = ""
    owner_heard: float | None = None
    figures: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Choice:
    """What is done with a request that is admitted; `endpoint` may be a peer, or empty."""

    action: str = ""
    endpoint: str = ""
    expected: float | None = None
    crowded: bool = False
    waits_for: float = 0.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The response of the instance itself."""

    status: int = 0
    reason: str = ""
    text: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class RouteAnswer:
    """Where a request would go now at one instance, and why."""

    instance: str = ""
    zone: str = ""
    known: Knowledge = field(default_factory=Knowledge)
    problems: Sequence[str] = ()
    refusal: Refusal | None = None
    route: RouteFacts | None = None
    generation: GenerationFacts | None = None
    admission: AdmissionFacts | None = None
    choice: Choice | None = None
    runner_up: Choice | None = None
    service_time: float | None = None
    candidate_count: int = 0
    candidates: Sequence[CandidateFacts] = ()
    notes: Sequence[str] = ()


def read_answer(document: Mapping[str, Any]) -> RouteAnswer:
    """Returns the answer in a JSON document.

    Raises:
        TypeError: A part of it is not of the expected form.
    """
    parts = {
        "known": _read(Knowledge, document.get("known") or {}),
        "refusal": _read_optional(Refusal, document.get("refusal")),
        "route": _read_optional(RouteFacts, document.get("route")),
        "generation": _read_optional(GenerationFacts, document.get("generation")),
        "admission": _read_optional(AdmissionFacts, document.get("admission")),
        "choice": _read_optional(Choice, document.get("choice")),
        "runner_up": _read_optional(Choice, document.get("runner_up")),
        "candidates": [_read(CandidateFacts, each) for each in document.get("candidates") or ()],
    }
    return _read(RouteAnswer, {**document, **parts})


def _read_optional(record: type[Record], document: Any) -> Record | None:
    return None if document is None else _read(record, document)


def _read(record: type[Record], document: Any) -> Record:
    if not isinstance(document, dict):
        raise TypeError(f"no {record.__name__}")
    names = {each.name for each in dataclasses.fields(record)}  # type: ignore[arg-type]
    return record(**{name: value for name, value in document.items() if name in names})

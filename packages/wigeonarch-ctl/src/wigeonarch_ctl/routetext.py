"""Prints answers on where a request would go: a block for each instance, then how they differ.

The figures of endpoints are printed by whatever names they have, so that new ones appear by
themselves.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from wigeonarch_ctl import texts
from wigeonarch_ctl.routeanswer import (
    AdmissionFacts,
    CandidateFacts,
    Choice,
    GenerationFacts,
    Knowledge,
    Refusal,
    RouteAnswer,
    RouteFacts,
)

LABEL_WIDTH: Final = 11
NEVER: Final = "never"
CHOSEN_MARK: Final = ">"
RUNNER_UP_MARK: Final = "+"

# Facts of candidates that are left out of the text while they have their ordinary value.
ORDINARY: Final[dict[str, object]] = {
    "paused": False,
    "pause_left": 0.0,
    "cooldown": 0.0,
    "limit_wait": 0.0,
    "part_hold_left": 0.0,
    "software": "",
    "crowded": False,
    "owner": "",
    "owner_heard": None,
}

ACTIONS: Final = {
    "send": "{endpoint}",
    "load": "{endpoint}, once it has loaded the adapter (refused after {waits_for} s)",
    "hold_back": "{endpoint}, once it has read the prompts before",
    "wait": "no endpoint yet: none can take it (refused after {waits_for} s)",
    "hand_over": "peer {endpoint}, as this instance reaches no endpoint of the service",
}


def format_answers(answers: Sequence[RouteAnswer]) -> str:
    """Returns the answers of all instances as text, and how they differ."""
    blocks = [format_answer(answer) for answer in answers]
    if len(answers) > 1:
        blocks.append(_format_differences(answers))
    return "\n".join(blocks)


def format_answer(answer: RouteAnswer) -> str:
    """Returns the answer of one instance as text."""
    lines = [f"{answer.instance} in zone {answer.zone}", _line("knows", _knowledge(answer.known))]
    if answer.route is not None:
        lines.append(_line("route", _route(answer.route, answer.service_time)))
    if answer.generation is not None:
        lines.append(_line("needs", _generation(answer.generation)))
    if answer.admission is not None:
        lines.append(_line("admission", _admission(answer.admission)))
    lines += [_line("problem", texts.ROUTE_PROBLEMS.get(name, name)) for name in answer.problems]
    if answer.refusal is not None:
        lines.append(_line("refused", _refusal(answer.refusal)))
    if answer.choice is not None:
        label = "goes to" if answer.refusal is None else "else went"
        lines.append(_line(label, _choice(answer.choice)))
    if answer.runner_up is not None:
        lines.append(_line("then to", _choice(answer.runner_up)))
    if answer.candidate_count:
        lines.append(_line("endpoints", str(answer.candidate_count)))
        lines += [f"  {_candidate(each, answer)}" for each in answer.candidates]
    if len(answer.candidates) < answer.candidate_count:
        left_out = answer.candidate_count - len(answer.candidates)
        lines.append(f"    {left_out} more are not listed")
    lines += [_line("left out", note) for note in answer.notes]
    return "\n".join(lines) + "\n"


def _format_differences(answers: Sequence[RouteAnswer]) -> str:
    by_choice: dict[str, list[str]] = {}
    for answer in answers:
        by_choice.setdefault(_summary(answer), []).append(answer.instance)
    if len(by_choice) == 1:
        lines = [f"all {len(answers)} agree: {next(iter(by_choice))}"]
    else:
        ranked = sorted(by_choice.items(), key=lambda item: -len(item[1]))
        lines = ["they disagree:", *(f"  {what}: {', '.join(who)}" for what, who in ranked)]
    lines += [f"  {answer.instance} knows {_knowledge(answer.known)}" for answer in answers]
    return "\n".join(lines) + "\n"


def _summary(answer: RouteAnswer) -> str:
    """Returns what an instance does with the request, in a few words."""
    if answer.refusal is not None:
        return f"refused {answer.refusal.reason}"
    if answer.choice is None:
        return "nothing"
    return f"{answer.choice.action} {answer.choice.endpoint}".strip()


def _line(label: str, text: str) -> str:
    return f"  {label.ljust(LABEL_WIDTH)}{text}"


def _knowledge(known: Knowledge) -> str:
    configuration = "no configuration"
    if known.configuration is not None:
        configuration = f"configuration {known.configuration}"
    behind = " (a newer one may be in force)" if known.may_be_behind else ""
    by = f" by {known.confirmed_by}" if known.confirmed_by else ""
    return (
        f"{configuration}{behind}, confirmed {_age(known.configuration_age)}{by}; endpoints as of "
        f"{_age(known.endpoints_age)}; others' requests each {known.peer_lag:.2g} s"
    )


def _age(seconds: float | None) -> str:
    return NEVER if seconds is None else f"{seconds:.1f} s ago"


def _route(route: RouteFacts, service_time: float | None) -> str:
    split = ""
    if len(route.split) > 1:
        split = f" (of {', '.join(f'{name}={part}' for name, part in route.split.items())})"
    took = "" if service_time is None else f", takes {_number(service_time)} s"
    return (
        f"{route.name} for {route.host}{route.prefix}, {route.kind}; service {route.service}"
        f"{split}{took}; objective {route.objective:g} s, timeout {route.timeout:g} s, "
        f"{route.attempts} attempts, rank {route.rank}"
    )


def _generation(needs: GenerationFacts) -> str:
    adapter = f"/{needs.adapter} version {needs.version}" if needs.adapter else ""
    return (
        f"{needs.model}{adapter}; {needs.prompt_tokens} tokens to read, "
        f"{needs.output_tokens} to write, {needs.parts} shared parts"
    )


def _admission(admission: AdmissionFacts) -> str:
    team = f"{admission.decision}, team {admission.team}" if admission.team else admission.decision
    if admission.cost is None:
        return team
    left = "unknown here" if admission.left is None else f"{admission.left:.0f}"
    wait = f", covered in {_number(admission.wait)} s" if admission.wait else ""
    return (
        f"{team}: costs {admission.cost:.0f}, left {left}{wait}; quota {admission.rate or 0:.0f} a "
        f"second with a burst of {admission.burst or 0:.0f}, kept by {admission.coordinator or '?'}"
    )


def _refusal(refusal: Refusal) -> str:
    after = "" if refusal.retry_after is None else f", Retry-After {refusal.retry_after:.2f}"
    return f"{refusal.status} {refusal.reason}{after}: {refusal.text}"


def _choice(choice: Choice) -> str:
    text = ACTIONS.get(choice.action, "{endpoint} (" + choice.action + ")")
    text = text.format(endpoint=choice.endpoint, waits_for=_number(choice.waits_for))
    expected = "" if choice.expected is None else f", expected wait {_number(choice.expected)} s"
    return text + expected + (", crowded" if choice.crowded else "")


def _candidate(candidate: CandidateFacts, answer: RouteAnswer) -> str:
    mark = " "
    if answer.choice is not None and candidate.endpoint == answer.choice.endpoint:
        mark = CHOSEN_MARK
    elif answer.runner_up is not None and candidate.endpoint == answer.runner_up.endpoint:
        mark = RUNNER_UP_MARK
    facts = {name: getattr(candidate, name) for name in ("zone", "state", "usable", "expected")}
    for name, ordinary in ORDINARY.items():
        value = getattr(candidate, name)
        if value != ordinary:
            facts[name] = value
    return f"{mark} {candidate.endpoint} {_pairs(facts)} {_pairs(candidate.figures)}".rstrip()


def _pairs(facts: Mapping[str, object]) -> str:
    return " ".join(f"{name}={_value(value)}" for name, value in facts.items())


def _value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return _number(value)
    return "-" if value is None or value == "" else str(value)


def _number(value: float) -> str:
    return f"{value:.4g}"

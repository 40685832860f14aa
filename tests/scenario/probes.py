"""Probes: one function for each value that a scenario can check.

A probe's name and arguments are the syntax of the scenario language.
"""

from __future__ import annotations

import operator
import re
import shlex
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families
from wigeonarch_fakes.processes import call as http_call

from scenario import operators
from scenario.language import Function, Step
from scenario.world import MAX_WAIT, World

NOTE: Final = re.compile(r"\$\{?(\w+)\}?")

OPERATORS: Final[dict[str, Callable[[Any, Any], bool]]] = {
    "==": operator.eq,
    "!=": operator.ne,
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
    "~": lambda found, part: str(part) in str(found),
}


# Requests ---------------------------------------------------------------------------------------


def outcome(world: World, name: str) -> Any:
    """Returns a request's outcome; for several requests, the common one or the counts of each."""
    return _same(call.outcome for call in world.ended(name))


def reason(world: World, name: str) -> Any:
    """Returns the reason that was reported for a request."""
    return _same(call.reason for call in world.ended(name))


def text(world: World, name: str) -> Any:
    """Returns the text of a request's response, also if the response was cut off."""
    return _same(call.text for call in world.ended(name))


def status(world: World, name: str) -> Any:
    """Returns the HTTP status of a request's response."""
    return _same(call.status for call in world.ended(name))


def retry_after(world: World, name: str) -> float:
    """Returns the smallest `Retry-After` of a name's responses, in seconds; 0 if one has none."""
    return min(call.retry_after for call in world.ended(name))


def answers(world: World, name: str, **wanted: Any) -> int:
    """Counts the name's requests that ended with these values: outcome, reason, status, text."""
    calls = world.ended(name)
    return sum(all(getattr(call, k) == v for k, v in wanted.items()) for call in calls)


def whole(world: World, name: str, version: str, tokens: int) -> int:
    """Counts the responses that consist of exactly the tokens of one adapter version, in order."""
    wanted = "".join(f"{version}#{number} " for number in range(tokens))
    calls = world.ended(name)
    return sum(call.outcome == "answered" and call.text == wanted for call in calls)


def impure(world: World, name: str, version: str) -> int:
    """Counts the requests whose response contains a token of another adapter version."""
    pieces = [call.text.split() for call in world.ended(name)]
    return sum(any(not each.startswith(f"{version}#") for each in words) for words in pieces)


def ended(world: World, name: str) -> int:
    """Counts the name's requests that have ended by now; does not wait."""
    return sum(call.ended.is_set() for call in world.calls[name])


def pieces(world: World, name: str) -> int:
    """Counts the pieces of streamed responses that have arrived by now; does not wait."""
    return sum(len(call.texts) for call in world.calls[name])


def lied(world: World, name: str) -> int:
    """Counts the requests with outcome `not_run` that did run by an endpoint's record."""
    begun = _begun(world)
    return sum(begun[call.id] > 0 for call in world.ended(name) if call.outcome == "not_run")


def repeated(world: World, name: str) -> int:
    """Counts the requests that ran more than once, by the endpoints' records."""
    begun = _begun(world)
    return sum(begun[call.id] > 1 for call in world.ended(name))


def begun(world: World, name: str) -> int:
    """Counts the runs of a name's requests, by the endpoints' records; does not wait."""
    runs = _begun(world)
    calls = world.calls[name]
    assert all(
        call.id or call.ended.is_set() for call in calls
    ), "the ids of some requests are not known yet; use begun_at"
    return sum(runs[call.id] for call in calls)


def begun_at(world: World, names: str) -> int:
    """Counts the runs that these endpoints have started, by their records."""
    return _begun(world, names).total()


def retried_later(world: World, name: str) -> int:
    """Counts the requests with outcome `not_run` whose response has no `Retry-After`."""
    calls = world.ended(name)
    return sum(call.outcome == "not_run" and call.retry_after <= 0 for call in calls)


def other_than(world: World, name: str, first: str, second: str) -> str:
    """Returns the other one of two names."""
    return second if name == first else first


def _begun(world: World, names: str = "engines,services") -> Counter[str]:
    """Counts the runs by request id; the id of a dispatch starts with the request's id.

    The record of a killed endpoint is lost; cases kill an endpoint only before they submit.
    """
    runs: Counter[str] = Counter()
    for name in world.names(names):
        if name not in world.dep.programs or not running(world, name):
            continue
        record = world.dep.read_record(name)
        for item in record.get("dispatches", []):
            runs[item["dispatch"].partition(".")[0]] += item["times_begun"]
        for item in record.get("runs", []):
            runs[item["dispatch"].partition(".")[0]] += 1
    return runs


def _same(values: Any) -> Any:
    values = list(values)
    return values[0] if len(set(values)) == 1 else dict(Counter(values))


# Records ----------------------------------------------------------------------------------------


def record(world: World, names: str, path: str) -> Any:
    """Returns the number at a path of a stand-in's record; the sum for several stand-ins."""
    values = [at_path(world.dep.read_record(name), path) or 0 for name in world.names(names)]
    return values[0] if len(values) == 1 else sum(values)


def count(world: World, names: str, path: str, **wanted: Any) -> int:
    """Counts the items of a list in stand-ins' records that have these values."""
    items = [i for n in world.names(names) for i in at_path(world.dep.read_record(n), path) or []]
    return len([item for item in items if matches(item, wanted)])


def at_path(doc: Any, path: str) -> Any:
    """Returns the value at a path with dots, or None."""
    for part in str(path).split("."):
        if isinstance(doc, list):
            doc = doc[int(part)] if int(part) < len(doc) else None
        elif isinstance(doc, dict):
            doc = doc.get(part)
        else:
            return None
    return doc


def matches(item: Any, wanted: dict[str, Any]) -> bool:
    """Returns whether an item has the wanted values at their paths."""
    return all(at_path(item, path) == value for path, value in wanted.items())


# Instances --------------------------------------------------------------------------------------


def metric(world: World, names: str, name: str, **labels: Any) -> float:
    """Returns the sum of the samples with these labels; `name` is without `wigeonarch_`."""
    total = 0.0
    for entry in world.entries(names):
        _, body, _ = http_call("GET", f"{world.program(entry).address}/metrics")
        for family in text_string_to_metric_families(body):
            for sample in family.samples:
                is_wanted = all(sample.labels.get(k) == str(v) for k, v in labels.items())
                if sample.name == f"wigeonarch_{name}" and is_wanted:
                    total += sample.value
    return total


def log(world: World, names: str, event: str, **pairs: Any) -> int:
    """Counts the log lines of instances with this event and these values."""
    wanted = {"event": event} | {key: str(value) for key, value in pairs.items()}
    found = 0
    for name in world.names(names):
        for line in world.program(name).log.read_text().splitlines():
            if line.startswith("ts="):
                fields = dict(word.partition("=")[::2] for word in shlex.split(line))
                found += all(fields.get(key) == value for key, value in wanted.items())
    return found


def exit(world: World, name: str) -> Any:
    """Returns the exit code of an instance's last ended process; None if none has ended."""
    world.note_exits()
    return world.exits.get(name)


def running(world: World, name: str) -> bool:
    """Returns whether a process is running; a frozen one counts as running."""
    return world.program(name).process.poll() is None


def is_ready(world: World, name: str) -> bool:
    """Returns whether an instance reports that it is ready."""
    try:
        return http_call("GET", f"{world.program(name).address}/readyz")[0] == 200
    except OSError:
        return False


def shown(world: World, entry: str, path: str, **wanted: Any) -> Any:
    """Counts the items of a list in an instance's `wigeonctl status` that have these values."""
    doc = _output(world, entry, "status")
    return len([item for item in at_path(doc, path) or [] if matches(item, wanted)])


def owner(world: World, entry: str, engine: str) -> str:
    """Returns the owner of an engine as an instance sees it; empty if it has none."""
    for item in _output(world, entry, "status").get("engines", []):
        if item["name"] == engine:
            return str(item.get("owner", ""))
    return ""


def unowned(world: World, names: str) -> int:
    """Counts the engines without an owner, as these instances see them."""
    found = 0
    for entry in world.entries(names):
        engines = _output(world, entry, "status").get("engines", [])
        listed = [name for name, role in world.roles.items() if role == "engine"]
        owned = [item["name"] for item in engines if item.get("owner")]
        found += len(set(listed) - set(owned))
    return found


def stored(world: World, entry: str, kind: str, name: str, path: str = "version") -> Any:
    """Returns a field of a catalogue entry as an instance sees it; its version by default."""
    value = at_path(_output(world, entry, f"{kind} get {name}"), path)
    return int(value) if isinstance(value, str) and value.isdigit() else value


def _output(world: World, entry: str, line: str) -> dict[str, Any]:
    done = operators.run(world.dep.entries[entry]["rpc"], line)
    return done.output[0] if done.output else {}


# Commands ---------------------------------------------------------------------------------------


def code(world: World, name: str) -> int:
    """Returns the exit code of an operator's command, once it has ended."""
    return world.runs[name].result(MAX_WAIT).code


def output(world: World, name: str, path: str) -> Any:
    """Returns a field of the output of an operator's command, once it has ended."""
    return at_path(world.runs[name].result(MAX_WAIT).output, f"0.{path}")


PROBES: Final[dict[str, Function]] = {
    each.__name__: each
    for each in (
        *(outcome, reason, text, status, retry_after, answers, whole, impure, ended, pieces),
        *(lied, repeated, begun, begun_at, retried_later, other_than, record, count),
        *(metric, log, exit, running, is_ready, shown, owner, unowned, stored, code, output),
    )
}


def noted(world: World, value: Any) -> Any:
    """Returns a value in which each `$NAME` is replaced by the value noted under that name."""
    if not isinstance(value, str) or "$" not in value:
        return value
    whole = NOTE.fullmatch(value)
    if whole:
        return world.notes[whole[1]]
    return NOTE.sub(lambda found: str(world.notes[found[1]]), value)


def read(world: World, step: Step) -> Any:
    """Returns the present value of a probe."""
    words = [noted(world, word) for word in step.words[1:]]
    options = {key: noted(world, value) for key, value in step.options.items()}
    return PROBES[str(step.words[0])](world, *words, **options)


def holds(world: World, step: Step, found: Any) -> bool:
    """Returns whether a probe's value meets the step's comparison, or is true without one."""
    if not step.operator:
        return bool(found)
    return OPERATORS[step.operator](found, noted(world, step.value))
